/* What evacuations mean for the gates and the entry of a node. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "control/evacuations/evacuations.h"
#include "node/evacuation.h"
#include "node/gates.h"
#include "platform/platform.h"
#include "platform_node.h"

#define UPSTREAM_ADDR "127.0.0.1:9"
#define GATES_CLOSE_US (2500 * USEC_PER_MSEC)
#define CALLS 6

static struct node *open_node(void)
{
	struct node *n =
		open_platform_node(",\"store\":{\"kind\":\"platform\","
				   "\"address\":\"127.0.0.1:9\"},"
				   "\"promises\":[\"evacuation_s=5\"]");

	n->config = config_new();
	return n;
}

/* Makes the state known, with an order for a data centre unless NULL. */
static void learn(struct node *n, int64_t revision, const char *data_centre,
		  int64_t learnt_us, int64_t now)
{
	struct evacuation_set s = {
		.known = true, .era = 1, .revision = revision};

	if (data_centre)
		evacuation_set_add(&s, data_centre, learnt_us, EVACUATION_READ);
	evacuations_merge(n->evacuations, &s, now);
}

static struct local_upstream *announce(struct node *n, int64_t now)
{
	/* Later than the node, which need not ask whether it had left. */
	struct upstream_announcement a = {
		.instance = "u", .started_ms = INT64_C(1) << 50, .sequence = 1};

	copy_name(a.info.service, sizeof(a.info.service), "s");
	addr_parse(&a.info.addr, UPSTREAM_ADDR);
	a.info.slots = 2;
	gates_announce_platform(n, &a, now);
	return gates_find(n, &a.info.addr, "s");
}

static uint64_t submit(struct node *n, enum reply_kind kind, int64_t now)
{
	struct call_head head = {.service = "s", .deadline_ms = 10000};
	struct message m = {.method = "GET"};

	m.target = strdup("/");
	addr_parse(&head.upstream, UPSTREAM_ADDR);
	return gates_submit(n, kind, 0, &head, &m, now);
}

/* A node that has just started must not send calls where it must not. */
static void nothing_is_served_without_a_state(void **state)
{
	struct node *n = open_node();
	int64_t now = clock_monotonic_us();

	(void)state;
	assert_false(node_is_configured(n));
	assert_int_equal(evacuation_gate_reason(n, now), REASON_NO_UPSTREAM);
	announce(n, now);
	submit(n, REPLY_LINK, now);
	assert_int_equal(n->calls.count, 0);
	learn(n, 1, NULL, 0, now);
	assert_true(node_is_configured(n));
	submit(n, REPLY_LINK, now);
	assert_int_equal(n->calls.count, 1);
	node_close(n);
}

/* A queued call would reach the upstream long after its gate closed. */
static void gates_reject_queued_and_new_calls(void **state)
{
	struct node *n = open_node();
	int64_t now = clock_monotonic_us();
	int64_t closed = now + 50 * USEC_PER_MSEC;
	uint64_t before = counter_get(COUNTER_EVACUATED);
	struct local_upstream *u = announce(n, now);
	struct gate_report r;
	int i;

	(void)state;
	learn(n, 1, "a", closed - GATES_CLOSE_US, now);
	for (i = 0; i < CALLS; i++)
		submit(n, REPLY_LINK, now);
	gate_report(u->gate, &r);
	assert_int_equal(n->calls.count, CALLS);
	assert_true(r.running > 0 && r.queued > 0);
	gates_dispatch(n, u->handle, closed);
	assert_int_equal(n->calls.count, r.running);
	assert_int_equal(counter_get(COUNTER_EVACUATED) - before, r.queued);
	submit(n, REPLY_LINK, closed);
	assert_int_equal(n->calls.count, r.running);
	learn(n, 2, NULL, 0, closed);
	submit(n, REPLY_LINK, closed);
	assert_int_equal(n->calls.count, r.running + 1);
	node_close(n);
}

/* The load of a service must not move at once, nor leave a part behind. */
static void entries_avoid_the_data_centre(void **state)
{
	struct member_info m = {.host = "g",
				.data_centre = "b",
				.state = MEMBER_ALIVE,
				.upstream_count = 1};
	struct request r = {.service = "s"};
	struct node *n = open_node();
	int64_t now = clock_monotonic_us(), at;
	int hash, permitted = 0;

	(void)state;
	copy_name(m.upstreams[0].service, NAME_SIZE, "s");
	addr_parse(&m.upstreams[0].addr, UPSTREAM_ADDR);
	addr_parse(&m.node_addr, "127.0.0.1:7");
	directory_update(n->directory, &m, 1);
	learn(n, 1, "b", now, now);
	at = now + 750 * USEC_PER_MSEC;
	for (hash = 0; hash < 1000; hash++) {
		r.admit_hash = (uint16_t)(hash * 64);
		permitted += evacuation_permits(n, &r, name_hash("b"), at);
		assert_true(evacuation_permits(n, &r, name_hash("c"), at));
	}
	assert_in_range(permitted, 450, 550);
	at = now + 1500 * USEC_PER_MSEC;
	assert_false(evacuation_permits(n, &r, name_hash("b"), at));
	assert_true(evacuation_leaves_none(n, &r, at));
	r.service = "other";
	assert_false(evacuation_leaves_none(n, &r, at));
	learn(n, 2, NULL, 0, at);
	assert_true(evacuation_permits(n, &r, name_hash("b"), at));
	r.evacuated = name_hash("b");
	assert_false(evacuation_permits(n, &r, name_hash("b"), at));
	node_close(n);
}

/* Calls that waited in the sockets of a paused process ran afterwards. */
static void paused_gates_reject_calls_of_others(void **state)
{
	struct node *n = open_node();
	int64_t now = clock_monotonic_us(), resumed = now + 2 * USEC_PER_SEC;
	uint64_t local;

	(void)state;
	learn(n, 1, NULL, 0, now);
	announce(n, now);
	evacuation_ticked(n, now);
	assert_false(evacuation_resumes(n, now + 5 * USEC_PER_MSEC));
	assert_false(evacuation_resumes(n, now + USEC_PER_SEC));
	assert_true(evacuation_resumes(n, resumed));
	submit(n, REPLY_LINK, resumed);
	assert_int_equal(n->calls.count, 0);
	evacuation_ticked(n, resumed);
	assert_true(evacuation_resumes(n, resumed));
	local = submit(n, REPLY_LOCAL, resumed);
	assert_int_equal(n->calls.count, 1);
	gates_cancel_call(n, local, resumed);
	evacuation_ticked(n, resumed + 400 * USEC_PER_MSEC);
	evacuation_ticked(n, resumed + 800 * USEC_PER_MSEC);
	evacuation_ticked(n, resumed + 1200 * USEC_PER_MSEC);
	evacuation_ticked(n, resumed + 1600 * USEC_PER_MSEC);
	evacuation_ticked(n, resumed + 2000 * USEC_PER_MSEC);
	assert_false(evacuation_resumes(n, resumed + 2000 * USEC_PER_MSEC));
	node_close(n);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(nothing_is_served_without_a_state),
		cmocka_unit_test(gates_reject_queued_and_new_calls),
		cmocka_unit_test(entries_avoid_the_data_centre),
		cmocka_unit_test(paused_gates_reject_calls_of_others),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
