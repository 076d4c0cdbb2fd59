/* Departures in the store: what outlasts a process, and odd entries. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "control/departures/departures_impl.h"

#define STEP_US (10 * USEC_PER_MSEC)

static struct {
	struct memory_store *shared;
	struct store *store;
	struct members *members;
	struct departures *d;
	int64_t now;
	int learnt;
} t;

static int send_nothing(void *ctx, const struct addr *to, struct peer_msg *msg,
			int64_t now)
{
	(void)ctx;
	(void)to;
	(void)msg;
	(void)now;
	return -1;
}

static int datagram_nothing(void *ctx, const struct addr *to,
			    struct peer_msg *msg)
{
	return send_nothing(ctx, to, msg, 0);
}

static void on_learnt(void *ctx, int64_t now)
{
	(void)ctx;
	(void)now;
	t.learnt++;
}

static void start(void)
{
	struct members_options m = {
		.io = {NULL, send_nothing, datagram_nothing}, .store = t.store};
	struct departures_options o = {
		.store = t.store, .host = "h", .learnt = on_learnt};

	addr_parse(&m.self.node_addr, "10.0.0.1:1000");
	t.members = members_new(&m, t.now);
	o.members = t.members;
	t.d = departures_new(&o, t.now);
	assert_non_null(t.d);
	t.learnt = 0;
}

/* Ends as by SIGKILL: what is under way in the store stays under way. */
static void end(void)
{
	members_free(t.members);
	departures_free(t.d);
	store_close(t.store);
	t.store = store_open_memory(t.shared);
}

static void run(double seconds)
{
	int64_t until = t.now + (int64_t)(seconds * USEC_PER_SEC);

	for (; t.now < until; t.now += STEP_US) {
		store_tick(t.store, t.now);
		members_tick(t.members, t.now);
		departures_tick(t.d, t.now);
	}
}

static int setup(void **state)
{
	(void)state;
	log_set_level(LOG_CRIT);
	memset(&t, 0, sizeof(t));
	t.now = 1000 * USEC_PER_SEC;
	t.shared = memory_store_new();
	t.store = store_open_memory(t.shared);
	start();
	return 0;
}

static int teardown(void **state)
{
	(void)state;
	end();
	store_close(t.store);
	memory_store_free(t.shared);
	return 0;
}

/* A leave was acknowledged that nothing but the process knew. */
static void kept_means_that_the_next_process_knows(void **state)
{
	struct departure leave = {1, 500, DEPARTED_FOR_GOOD};
	struct departure draining = {2, 600, 7};
	struct store_faults out = {.down = true}, none = {0};
	uint64_t ticket;

	(void)state;
	run(0.1);
	assert_true(departures_known(t.d));
	store_set_faults(t.store, &out);
	ticket = departures_add(t.d, &leave, t.now);
	run(2);
	assert_false(departures_are_kept(t.d, ticket));
	store_set_faults(t.store, &none);
	run(1);
	assert_true(departures_are_kept(t.d, ticket));
	assert_int_equal(departures_add(t.d, &leave, t.now), ticket);
	ticket = departures_add(t.d, &draining, t.now);
	run(0.1);
	assert_true(departures_are_kept(t.d, ticket));
	end();
	start();
	assert_false(departures_known(t.d));
	run(0.1);
	assert_true(departures_known(t.d));
	assert_true(departures_cover(t.d, 1, 500, 1000));
	assert_true(departures_cover(t.d, 1, 499, 1000));
	assert_false(departures_cover(t.d, 1, 501, 1));
	assert_true(departures_cover(t.d, 2, 600, 7));
	assert_false(departures_cover(t.d, 2, 600, 8));
	assert_false(departures_cover(t.d, 3, 1, 1));
}

/* Answers of the store that got lost left a leave unkept, or kept an old one. */
static void lost_answers_keep_the_newest(void **state)
{
	struct store_faults lose = {.lose_response = true}, none = {0};
	struct departure d = {1, 500, 3};
	uint64_t ticket;

	(void)state;
	run(0.1);
	store_set_faults(t.store, &lose);
	departures_add(t.d, &d, t.now);
	run(3);
	d.sequence = 9;
	ticket = departures_add(t.d, &d, t.now);
	run(3);
	store_set_faults(t.store, &none);
	run(2);
	assert_true(departures_are_kept(t.d, ticket));
	end();
	start();
	run(0.1);
	assert_true(departures_cover(t.d, 1, 500, 9));
}

static void ignore_result(void *ctx, uint64_t tag, const struct store_result *r,
			  int64_t now)
{
	(void)ctx;
	(void)tag;
	(void)r;
	(void)now;
}

static void write_odd(const char *value, size_t len)
{
	struct store_write w = {
		.key = "departures/h", .value = value, .len = len};
	struct store_op op = {.kind = STORE_TXN, .timeout_us = USEC_PER_SEC};
	struct store_done done = {.fn = ignore_result};

	op.txn.writes = &w;
	op.txn.write_count = 1;
	store_submit(t.store, &op, &done, t.now);
	store_tick(t.store, t.now);
}

/* An odd entry of another writer stopped a process, or what it keeps itself. */
static void odd_entries_name_no_departure(void **state)
{
	static const char *const odd[] = {
		"",
		"\n\n\n",
		"x",
		"[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[",
		"0000000000000001 -5 1\n",
		"0000000000000001 99999999999999999999999 1\n",
		"0000000000000001 5 99999999999999999999999\n",
		"0000000000000001 9999999999999999999 1\n",
		"0000000000000001 5\n",
		"0000000000000001 5 1 1\n",
		"zz 5 1\n0000000000000002 5 1\n",
	};
	static char large[200000];
	struct departure d = {9, 500, 1};
	uint64_t ticket;
	size_t i;

	(void)state;
	memset(large, '[', sizeof(large));
	for (i = 0; i <= sizeof(odd) / sizeof(*odd); i++) {
		end();
		if (i < sizeof(odd) / sizeof(*odd))
			write_odd(odd[i], strlen(odd[i]));
		else
			write_odd(large, sizeof(large));
		start();
		run(0.1);
		assert_true(departures_known(t.d));
		assert_false(departures_cover(t.d, 1, 5, 1));
		assert_false(departures_cover(t.d, 1, INT64_MAX, 1));
		ticket = departures_add(t.d, &d, t.now);
		run(0.1);
		assert_true(departures_are_kept(t.d, ticket));
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			kept_means_that_the_next_process_knows, setup,
			teardown),
		cmocka_unit_test_setup_teardown(lost_answers_keep_the_newest,
						setup, teardown),
		cmocka_unit_test_setup_teardown(odd_entries_name_no_departure,
						setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
