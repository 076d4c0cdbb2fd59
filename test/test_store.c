#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "store/store.h"

#define TIMEOUT_US (100 * USEC_PER_MSEC)

/* The results of the last call and of the watch of a test. */
struct reported {
	int calls;
	enum store_outcome outcome;
	int64_t revision;
	int64_t lease;
	size_t n;
	char value[32];
	int64_t mod_revision;
	int events;
	int removals;
	int ended;
};

static void on_done(void *ctx, uint64_t tag, const struct store_result *r,
		    int64_t now)
{
	struct reported *s = ctx;

	(void)tag;
	(void)now;
	s->calls++;
	s->outcome = r->outcome;
	s->revision = r->revision;
	s->lease = r->lease;
	s->n = r->n;
	s->mod_revision = 0;
	if (r->n) {
		memcpy(s->value, r->entries[0].value, r->entries[0].len);
		s->value[r->entries[0].len] = 0;
		s->mod_revision = r->entries[0].mod_revision;
	}
}

static void on_event(void *ctx, const struct store_entry *e, int64_t now)
{
	struct reported *s = ctx;

	(void)now;
	s->events++;
	s->removals += !e->value;
}

static void on_ended(void *ctx, const struct error *err, int64_t now)
{
	struct reported *s = ctx;

	(void)err;
	(void)now;
	s->ended++;
}

static void submit(struct store *s, struct store_op *op,
		   struct reported *reported, int64_t now)
{
	struct store_done done = {.ctx = reported, .fn = on_done};

	op->timeout_us = TIMEOUT_US;
	store_submit(s, op, &done, now);
}

static void get(struct store *s, const char *key, struct reported *reported,
		int64_t now)
{
	struct store_op op = {.kind = STORE_GET, .key = key};

	submit(s, &op, reported, now);
	store_tick(s, now);
}

/* Writes a key if its revision is if_revision; value NULL removes it. */
static void put(struct store *s, const char *key, const char *value,
		int64_t if_revision, int64_t lease, struct reported *reported,
		int64_t now)
{
	struct store_compare compare = {key, if_revision};
	struct store_write write = {key, value, value ? strlen(value) : 0,
				    lease, !value};
	struct store_op op = {.kind = STORE_TXN,
			      .txn = {&compare, 1, &write, 1, &key, 1}};

	submit(s, &op, reported, now);
	store_tick(s, now);
}

static void compare_and_swap(void **state)
{
	struct memory_store *m = memory_store_new();
	struct store *a = store_open_memory(m), *b = store_open_memory(m);
	struct reported reported = {0};
	int64_t first;

	(void)state;
	put(a, "k", "one", 0, 0, &reported, 1);
	assert_int_equal(reported.outcome, STORE_DONE);
	first = reported.revision;
	put(b, "k", "two", 0, 0, &reported, 2);
	assert_int_equal(reported.outcome, STORE_CONFLICT);
	assert_string_equal(reported.value, "one");
	assert_int_equal(reported.mod_revision, first);
	put(b, "k", "two", first, 0, &reported, 3);
	assert_int_equal(reported.outcome, STORE_DONE);
	get(a, "k", &reported, 4);
	assert_string_equal(reported.value, "two");
	put(a, "k", NULL, reported.mod_revision, 0, &reported, 5);
	get(b, "k", &reported, 6);
	assert_int_equal(reported.n, 0);
	store_close(a);
	store_close(b);
	memory_store_free(m);
}

struct fault_case {
	int64_t at_us;
	struct store_faults faults;
	enum store_outcome outcome;
	bool effect;
};

static void faults_give_their_documented_outcome(void **state)
{
	static const struct fault_case cases[] = {
		{0, {0}, STORE_DONE, true},
		{0, {.down = true}, STORE_NOT_DONE, false},
		{0, {.lose_response = true}, STORE_UNKNOWN, true},
		{5000, {.latency_us = 5000}, STORE_DONE, true},
		{TIMEOUT_US,
		 {.latency_us = TIMEOUT_US + 1},
		 STORE_UNKNOWN,
		 true},
	};
	struct store_faults none = {0};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		struct memory_store *m = memory_store_new();
		struct store *s = store_open_memory(m);
		struct reported reported = {0};

		store_set_faults(s, &cases[i].faults);
		put(s, "k", "v", 0, 0, &reported, 0);
		if (cases[i].at_us) {
			store_tick(s, cases[i].at_us - 1);
			assert_int_equal(reported.calls, 0);
			store_tick(s, cases[i].at_us);
		}
		assert_int_equal(reported.calls, 1);
		assert_int_equal(reported.outcome, cases[i].outcome);
		store_set_faults(s, &none);
		get(s, "k", &reported, TIMEOUT_US * 2);
		assert_int_equal(reported.n, cases[i].effect);
		store_close(s);
		memory_store_free(m);
	}
}

static void leases_expire_with_their_keys(void **state)
{
	struct memory_store *m = memory_store_new();
	struct store *s = store_open_memory(m);
	struct store_op grant = {.kind = STORE_LEASE_GRANT,
				 .lease = {.ttl_s = 10}};
	struct store_op renew = {.kind = STORE_LEASE_RENEW};
	struct reported reported = {0};
	int64_t lease;

	(void)state;
	submit(s, &grant, &reported, 0);
	store_tick(s, 0);
	lease = reported.lease;
	assert_int_not_equal(lease, 0);
	put(s, "k", "v", 0, lease, &reported, 0);
	renew.lease.id = lease;
	submit(s, &renew, &reported, 9 * USEC_PER_SEC);
	store_tick(s, 9 * USEC_PER_SEC);
	assert_int_equal(reported.lease, lease);
	get(s, "k", &reported, 18 * USEC_PER_SEC);
	assert_int_equal(reported.n, 1);
	get(s, "k", &reported, 19 * USEC_PER_SEC);
	assert_int_equal(reported.n, 0);
	submit(s, &renew, &reported, 19 * USEC_PER_SEC);
	store_tick(s, 19 * USEC_PER_SEC);
	assert_int_equal(reported.lease, 0);
	put(s, "k", "v", 0, lease, &reported, 20 * USEC_PER_SEC);
	assert_int_equal(reported.outcome, STORE_NOT_DONE);
	store_close(s);
	memory_store_free(m);
}

static void watches_report_every_change_once(void **state)
{
	struct memory_store *m = memory_store_new();
	struct store *a = store_open_memory(m), *b = store_open_memory(m);
	struct store_faults down = {.down = true};
	struct reported reported = {0}, calls = {0};
	struct store_watch w = {"p/", 0, &reported, on_event, on_ended};

	(void)state;
	put(b, "p/a", "1", 0, 0, &calls, 0);
	assert_int_not_equal(store_watch_start(a, &w, 0), 0);
	put(b, "p/b", "1", 0, 0, &calls, 1);
	put(b, "q/b", "1", 0, 0, &calls, 1);
	put(b, "p/b", NULL, calls.revision - 1, 0, &calls, 1);
	store_tick(a, 1);
	assert_int_equal(reported.events, 2);
	assert_int_equal(reported.removals, 1);
	store_set_faults(a, &down);
	store_tick(a, 2);
	store_tick(a, 3);
	assert_int_equal(reported.ended, 1);
	store_set_faults(a, &(struct store_faults){0});
	w.from_revision = 2;
	store_watch_start(a, &w, 4);
	store_tick(a, 4);
	assert_int_equal(reported.events, 5);
	store_close(a);
	store_close(b);
	memory_store_free(m);
}

static void lists_are_paged(void **state)
{
	struct memory_store *m = memory_store_new();
	struct store *s = store_open_memory(m);
	struct store_op op = {.kind = STORE_LIST,
			      .list = {.prefix = "p/", .limit = 2}};
	struct reported reported = {0};

	(void)state;
	put(s, "p/a", "1", 0, 0, &reported, 0);
	put(s, "p/b", "2", 0, 0, &reported, 0);
	put(s, "p/c", "3", 0, 0, &reported, 0);
	put(s, "q", "4", 0, 0, &reported, 0);
	submit(s, &op, &reported, 0);
	store_tick(s, 0);
	assert_int_equal(reported.n, 2);
	op.list.after = "p/b";
	submit(s, &op, &reported, 0);
	store_tick(s, 0);
	assert_int_equal(reported.n, 1);
	assert_string_equal(reported.value, "3");
	store_close(s);
	memory_store_free(m);
}

static void store_none_fails_every_call(void **state)
{
	struct store_options o = {.kind = STORE_NONE};
	struct error err;
	struct store *s = store_open(&o, &err);
	struct reported reported = {0};

	(void)state;
	put(s, "k", "v", 0, 0, &reported, 0);
	assert_int_equal(reported.outcome, STORE_NOT_DONE);
	store_close(s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(compare_and_swap),
		cmocka_unit_test(faults_give_their_documented_outcome),
		cmocka_unit_test(leases_expire_with_their_keys),
		cmocka_unit_test(watches_report_every_change_once),
		cmocka_unit_test(lists_are_paged),
		cmocka_unit_test(store_none_fails_every_call),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
