/*
 * Retry allowances between a request, its gate and its parent call: no retries
 * may appear that the route of the root did not give.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "node/gates.h"
#include "platform_node.h"

static struct route route = {.name = "r"};

/* Adds a sub-call of c in flight. */
static struct request *add_sub_call(struct node *n, struct call *c)
{
	struct request *r;
	void *item;
	uint64_t handle = table_add(&n->requests, &item);

	assert_true(handle);
	r = item;
	r->handle = handle;
	r->config = config_new();
	r->route = &route;
	r->service = "s";
	r->parent = c->handle;
	r->in_flight = true;
	c->open_sub_calls++;
	return r;
}

/* A sub-call's allowance, what its gate then reports, and the parent's after. */
struct sub_call_case {
	const char *description;
	uint8_t allowance, borrowed, lent, reported, expected;
};

static const struct sub_call_case cases[] = {
	{"retries of its own route are not its parent's", 2, 0, 0, 0, 0},
	{"nor are those that a gate of an older build reports", 2, 0, 0, 3, 0},
	{"what it borrowed and did not use comes back", 1, 2, 1, 1, 2},
	{"what it used does not", 0, 2, 1, 0, 0},
	{"its gate returns no more than it was lent", 1, 2, 1, 200, 2},
};

/*
 * Guards against requests that run on more upstreams than their route allows,
 * as calls return retries to them that they never lent.
 */
static void sub_calls_return_what_they_borrowed(void **state)
{
	struct call_head call_head = {.service = "s", .deadline_ms = 1000};
	struct answer_head head = {.outcome = OUTCOME_DONE};
	struct node *n = open_platform_node(",\"store\":{\"kind\":\"none\"}");
	struct message none = {0}, answer;
	struct request *r;
	struct call *c;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		c = call_add(n, REPLY_LOCAL, 0, &call_head, &none, 0);
		assert_int_equal(call_index_add(n, c), 0);
		r = add_sub_call(n, c);
		r->allowance = cases[i].allowance;
		r->borrowed = cases[i].borrowed;
		r->lent = cases[i].lent;
		head.allowance_left = cases[i].reported;
		answer = (struct message){.status = 200};
		place_answered(n, r->handle, &head, &answer, 0);
		if (c->allowance != cases[i].expected)
			print_error("%s\n", cases[i].description);
		assert_int_equal(c->allowance, cases[i].expected);
		call_free(n, c);
	}
	node_close(n);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(sub_calls_return_what_they_borrowed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
