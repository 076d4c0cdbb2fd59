#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "store/store.h"
#include "store/store_impl.h"

#define CALLS_S 40
#define TICK_US (10 * USEC_PER_MSEC)
#define SECONDS 5

struct call_counts {
	int done;
	int denied;
	int64_t last_us;
};

static void on_done(void *ctx, uint64_t tag, const struct store_result *r,
		    int64_t now)
{
	struct call_counts *t = ctx;

	(void)tag;
	if (r->outcome == STORE_NOT_DONE)
		t->denied++;
	else
		t->done++;
	t->last_us = now;
}

static void submit(struct store *s, enum store_priority p,
		   struct call_counts *t, int64_t now)
{
	struct store_op op = {.kind = STORE_GET,
			      .priority = p,
			      .timeout_us = 50 * USEC_PER_MSEC,
			      .key = "k"};
	struct store_done done = {.ctx = t, .fn = on_done};

	store_submit(s, &op, &done, now);
}

static struct store *open_capped(uint32_t calls_s)
{
	struct store_options o = {.kind = STORE_MEMORY, .calls_s = calls_s};
	struct error err;

	return store_open(&o, &err);
}

static void calls_in_any_second_stay_within_the_cap(void **state)
{
	struct store *s = open_capped(CALLS_S);
	struct call_counts t = {0};
	int started[SECONDS * 100] = {0};
	int64_t tick;
	int i, window;

	(void)state;
	for (tick = 0; tick < SECONDS * 100; tick++) {
		int before = t.done;

		for (i = 0; i < 3; i++)
			submit(s, STORE_CLAIM, &t, tick * TICK_US);
		store_tick(s, tick * TICK_US);
		started[tick] = t.done - before;
	}
	for (tick = 100; tick < SECONDS * 100; tick++) {
		for (window = 0, i = 0; i < 100; i++)
			window += started[tick - i];
		assert_true(window <= CALLS_S);
	}
	assert_true(t.denied > 0);
	store_close(s);
}

static void higher_priority_goes_first(void **state)
{
	struct store *s = open_capped(CALLS_S);
	struct call_counts claim = {0}, seed = {0};
	int64_t now;

	(void)state;
	for (now = 0; now < SECONDS * USEC_PER_SEC; now += TICK_US) {
		/* 200 seeds/s, five times the cap; 10 claims/s, a quarter. */
		submit(s, STORE_SEED, &seed, now);
		submit(s, STORE_SEED, &seed, now);
		if (now % (100 * USEC_PER_MSEC) == 0)
			submit(s, STORE_CLAIM, &claim, now);
		store_tick(s, now);
	}
	assert_int_equal(claim.denied, 0);
	assert_int_equal(claim.done, SECONDS * 10);
	assert_true(seed.denied > 0);
	assert_true(seed.done > 0);
	store_close(s);
}

static void ignore_event(void *ctx, const struct store_entry *e, int64_t now)
{
	(void)ctx;
	(void)e;
	(void)now;
}

static void ignore_end(void *ctx, const struct error *err, int64_t now)
{
	(void)ctx;
	(void)err;
	(void)now;
}

static void open_watches_leave_budget_for_calls(void **state)
{
	struct store_watch w = {"k", 0, NULL, ignore_event, ignore_end};
	struct store *s = open_capped(8);
	struct call_counts t = {0};
	int open = 0;

	(void)state;
	while (store_watch_start(s, &w, 0)) {
		store_tick(s, 0);
		open++;
	}
	assert_in_range(open, 1, 7);
	submit(s, STORE_SEED, &t, 10 * USEC_PER_SEC);
	store_tick(s, 10 * USEC_PER_SEC);
	assert_int_equal(t.done, 1);
	store_close(s);
}

/* A queued call must not point into its caller's memory. */
static void queued_calls_are_deep_copies(void **state)
{
	char key[] = "a", value[] = "one";
	const char *read = key;
	struct store_compare compare = {key, 7};
	struct store_write write = {key, value, 3, 0, false};
	struct store_op op = {.kind = STORE_TXN,
			      .txn = {&compare, 1, &write, 1, &read, 1}};
	struct queued_call *call = queued_call_copy(&op);

	(void)state;
	memset(key, 'x', 1);
	memset(value, 'x', 3);
	memset(&compare, 0, sizeof(compare));
	memset(&write, 0, sizeof(write));
	assert_string_equal(call->op.txn.compares[0].key, "a");
	assert_int_equal(call->op.txn.compares[0].mod_revision, 7);
	assert_string_equal(call->op.txn.writes[0].key, "a");
	assert_memory_equal(call->op.txn.writes[0].value, "one", 3);
	assert_string_equal(call->op.txn.reads[0], "a");
	free(call);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(calls_in_any_second_stay_within_the_cap),
		cmocka_unit_test(higher_priority_goes_first),
		cmocka_unit_test(open_watches_leave_budget_for_calls),
		cmocka_unit_test(queued_calls_are_deep_copies),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
