#include "claims_fixture.h"

struct begin_case {
	struct store_faults faults;
	int fault_end_ms; /* time until the faults end */
	enum claim_state state;
	enum claim_state repeat_state; /* reported to another node afterwards */
};

static void claims_are_decided_under_faults(void **state)
{
	static const struct begin_case cases[] = {
		{{0}, 0, CLAIM_FRESH, CLAIM_RUNNING},
		{{.down = true}, 100, CLAIM_FRESH, CLAIM_RUNNING},
		{{.down = true}, 800, CLAIM_STORE_UNAVAILABLE, CLAIM_FRESH},
		{{.lose_response = true}, 100, CLAIM_FRESH, CLAIM_RUNNING},
		{{.lose_response = true},
		 800,
		 CLAIM_STORE_UNAVAILABLE,
		 CLAIM_FRESH},
		{{.latency_us = 50000}, 300, CLAIM_FRESH, CLAIM_RUNNING},
		{{.latency_us = 600000},
		 700,
		 CLAIM_STORE_UNAVAILABLE,
		 CLAIM_FRESH},
		{{.latency_us = 3000000},
		 9000,
		 CLAIM_STORE_UNAVAILABLE,
		 CLAIM_FRESH},
		{{.lose_response = true, .latency_us = 100000},
		 300,
		 CLAIM_FRESH,
		 CLAIM_RUNNING},
	};
	struct store_faults none = {0};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		struct request *r;

		set_up(state);
		set_faults(0, cases[i].faults);
		r = begin(0, 0, 1);
		run_ms(cases[i].fault_end_ms);
		set_faults(0, none);
		run_ms(4000);
		assert_int_equal(r->reports, 1);
		assert_int_equal(r->state, cases[i].state);
		assert_int_equal(repeat(1, 0), cases[i].repeat_state);
		tear_down(state);
	}
}

struct end_case {
	enum end end;
	struct store_faults faults;	/* of the holder, from the end on */
	bool crash;			/* while the faults last */
	enum member_state holder_state; /* as known to other nodes */
	enum claim_state repeat_state;
	int status;
};

static const struct end_case end_cases[] = {
	{END_FINISH, {0}, false, MEMBER_ALIVE, CLAIM_DONE, 201},
	{END_FINISH_LARGE, {0}, false, MEMBER_ALIVE, CLAIM_DONE, 0},
	{END_FINISH,
	 {.lose_response = true},
	 false,
	 MEMBER_ALIVE,
	 CLAIM_DONE,
	 201},
	{END_FINISH, {.down = true}, false, MEMBER_ALIVE, CLAIM_DONE, 201},
	{END_RELEASE, {0}, false, MEMBER_ALIVE, CLAIM_FRESH, 0},
	{END_RELEASE,
	 {.lose_response = true},
	 false,
	 MEMBER_ALIVE,
	 CLAIM_FRESH,
	 0},
	{END_RELEASE, {.down = true}, false, MEMBER_ALIVE, CLAIM_FRESH, 0},
	{END_MARK_UNRESOLVED, {0}, false, MEMBER_ALIVE, CLAIM_UNRESOLVED, 0},
	{END_MARK_UNRESOLVED,
	 {.lose_response = true},
	 false,
	 MEMBER_ALIVE,
	 CLAIM_UNRESOLVED,
	 0},
	/* Crash at any time between the claim and the answer. */
	{END_NONE, {0}, true, MEMBER_DEAD, CLAIM_UNRESOLVED, 0},
	{END_NONE, {0}, true, MEMBER_ALIVE, CLAIM_RUNNING, 0},
	{END_NONE, {0}, true, MEMBER_SUSPECT, CLAIM_RUNNING, 0},
	{END_NONE, {0}, true, MEMBER_LEFT, CLAIM_UNRESOLVED, 0},
	/* Crash before the outcome is known to be written. */
	{END_FINISH, {.down = true}, true, MEMBER_DEAD, CLAIM_UNRESOLVED, 0},
	{END_FINISH,
	 {.lose_response = true},
	 true,
	 MEMBER_DEAD,
	 CLAIM_DONE,
	 201},
	{END_RELEASE, {.down = true}, true, MEMBER_DEAD, CLAIM_UNRESOLVED, 0},
};

static void repeats_get_the_outcome(void **state)
{
	struct store_faults none = {0};
	size_t i;

	for (i = 0; i < sizeof(end_cases) / sizeof(*end_cases); i++) {
		const struct end_case *t = &end_cases[i];
		struct request *r;

		set_up(state);
		r = begin(0, 0, 1);
		run_ms(100);
		assert_int_equal(r->state, CLAIM_FRESH);
		set_faults(0, t->faults);
		end_request(r, t->end);
		run_ms(300);
		if (t->crash)
			crash_node(0);
		else
			set_faults(0, none);
		fixture.members.rows[0].state = t->holder_state;
		run_ms(2000);
		assert_int_equal(repeat(1, 0), t->repeat_state);
		assert_int_equal(
			fixture.requests[fixture.request_count - 1].status,
			t->status);
		if (t->repeat_state != CLAIM_FRESH)
			assert_int_equal(repeat(2, 0), t->repeat_state);
		tear_down(state);
	}
}

static void claims_of_a_restarted_holder_are_unresolved(void **state)
{
	(void)state;
	assert_int_equal(repeat(0, 0), CLAIM_FRESH);
	assert_int_equal(repeat(0, 1), CLAIM_FRESH);
	crash_node(0);
	start_node(0, 2);
	assert_int_equal(repeat(0, 0), CLAIM_UNRESOLVED);
	assert_int_equal(repeat(1, 1), CLAIM_UNRESOLVED);
}

/* An unresolved claim stays so even if its holder is seen alive again. */
static void unresolved_is_stored(void **state)
{
	(void)state;
	assert_int_equal(repeat(0, 0), CLAIM_FRESH);
	fixture.members.rows[0].state = MEMBER_DEAD;
	assert_int_equal(repeat(1, 0), CLAIM_UNRESOLVED);
	fixture.members.rows[0].state = MEMBER_ALIVE;
	assert_int_equal(repeat(2, 0), CLAIM_UNRESOLVED);
}

/* A holder that was wrongly taken for dead can still store the outcome. */
static void paused_holder_still_stores_the_outcome(void **state)
{
	struct request *r = begin(0, 0, 1);

	(void)state;
	run_ms(100);
	fixture.paused[0] = true;
	fixture.members.rows[0].state = MEMBER_DEAD;
	assert_int_equal(repeat(1, 0), CLAIM_UNRESOLVED);
	fixture.paused[0] = false;
	finish(r, 10);
	run_ms(200);
	assert_int_equal(repeat(1, 0), CLAIM_DONE);
	assert_int_equal(fixture.fresh[0], 1);
}

static void claim_acquired_past_its_deadline_is_released(void **state)
{
	struct request *r = begin(0, 0, 1);

	(void)state;
	run_ms(5);
	fixture.paused[0] = true;
	run_ms(DEADLINE_MS + 100);
	fixture.paused[0] = false;
	run_ms(200);
	assert_int_equal(r->reports, 1);
	assert_int_equal(r->state, CLAIM_STORE_UNAVAILABLE);
	assert_int_equal(repeat(1, 0), CLAIM_FRESH);
}

/*
 * A claim whose write was stored but not confirmed costs one more write, not
 * two: the holder recognises its own record.
 */
static void own_claims_are_recognised(void **state)
{
	struct store_faults none = {0}, lose = {.lose_response = true};
	uint64_t writes = counter_get(COUNTER_STORE_WRITES);
	struct request *r = begin(0, 0, 1);

	(void)state;
	set_faults(0, lose);
	run_ms(10);
	set_faults(0, none);
	run_ms(200);
	assert_int_equal(r->state, CLAIM_FRESH);
	/* One write for the lease grant, two for the claim. */
	assert_in_range(counter_get(COUNTER_STORE_WRITES) - writes, 3, 3);
}

static void one_of_two_concurrent_claims_is_granted(void **state)
{
	struct request *a = begin(0, 0, 1), *b = begin(1, 0, 1);
	struct request *c = begin(0, 1, 1), *d = begin(0, 1, 1);

	(void)state;
	run_ms(100);
	assert_int_equal(fixture.fresh[0], 1);
	assert_true(a->state == CLAIM_RUNNING || b->state == CLAIM_RUNNING);
	assert_int_equal(c->state, CLAIM_FRESH);
	assert_int_equal(d->state, CLAIM_RUNNING);
	finish(c, 10);
	assert_int_equal(repeat(0, 1), CLAIM_DONE);
}

static void different_fingerprint_is_a_mismatch(void **state)
{
	struct request *r;

	(void)state;
	assert_int_equal(repeat(0, 0), CLAIM_FRESH);
	r = begin(1, 0, 2);
	run_ms(100);
	assert_int_equal(r->state, CLAIM_MISMATCH);
	r = begin(0, 0, 2);
	run_ms(100);
	assert_int_equal(r->state, CLAIM_MISMATCH);
}

static void one_existing_key_does_not_block_a_batch(void **state)
{
	struct request *r[KEYS];
	uint64_t writes;
	int i;

	(void)state;
	assert_int_equal(repeat(1, 3), CLAIM_FRESH);
	run_ms(1000);
	writes = counter_get(COUNTER_STORE_WRITES);
	for (i = 0; i < KEYS; i++)
		r[i] = begin(0, i, 1);
	run_ms(100);
	for (i = 0; i < KEYS; i++)
		assert_int_equal(r[i]->state,
				 i == 3 ? CLAIM_RUNNING : CLAIM_FRESH);
	/* Lease grant, whole batch, and the batch without the existing key. */
	assert_int_equal(counter_get(COUNTER_STORE_WRITES) - writes, 3);
}

/*
 * A transaction with an existing key fails as a whole. A stream of such
 * repeats must not keep a new key from being claimed before its deadline.
 */
static void repeats_do_not_delay_new_keys(void **state)
{
	struct store_faults slow = {.latency_us = 30 * USEC_PER_MSEC};
	struct request *r;
	int i;

	(void)state;
	for (i = 1; i < KEYS; i++)
		begin(1, i, 1);
	run_ms(200);
	set_faults(0, slow);
	r = begin(0, 0, 1);
	for (i = 0; i < DEADLINE_MS; i += 5) {
		begin(0, 1 + i / 5 % (KEYS - 1), 1);
		run_ms(5);
	}
	assert_int_equal(r->state, CLAIM_FRESH);
}

static void discarded_claims_are_cleaned_up_in_batches(void **state)
{
	struct store_faults none = {0}, lose = {.lose_response = true};
	uint64_t writes;
	int i;

	(void)state;
	set_faults(0, lose);
	for (i = 0; i < KEYS; i++)
		begin(0, i, 1);
	run_ms(DEADLINE_MS + 300);
	set_faults(0, none);
	writes = counter_get(COUNTER_STORE_WRITES);
	run_ms(25000);
	/* Read, remove and read again; also a lease grant and a retry. */
	assert_in_range(counter_get(COUNTER_STORE_WRITES) - writes, 3, 5);
	for (i = 0; i < KEYS; i++)
		begin(1, i, 1);
	run_ms(200);
	for (i = 0; i < KEYS; i++)
		assert_int_equal(fixture.fresh[i], 1);
}

static void claim_without_requester_is_released(void **state)
{
	struct request *r = begin(0, 0, 1);

	(void)state;
	run_ms(5);
	claims_cancel_wait(fixture.claims[0], 0);
	run_ms(200);
	assert_int_equal(r->reports, 0);
	assert_true(claims_idle(fixture.claims[0]));
	assert_int_equal(repeat(1, 0), CLAIM_FRESH);
}

static void idle_only_when_every_outcome_is_stored(void **state)
{
	struct store_faults none = {0}, down = {.down = true};
	struct request *r = begin(0, 0, 1);

	(void)state;
	run_ms(100);
	assert_false(claims_idle(fixture.claims[0]));
	set_faults(0, down);
	finish(r, 10);
	run_ms(3000);
	assert_false(claims_idle(fixture.claims[0]));
	set_faults(0, none);
	run_ms(1000);
	assert_true(claims_idle(fixture.claims[0]));
}

static void done_claims_expire_and_others_stay(void **state)
{
	struct request *r = begin(0, 0, 1);

	(void)state;
	run_ms(200);
	assert_int_equal(repeat(0, 1), CLAIM_FRESH);
	finish(r, 10);
	run_ms(200);
	fixture.now += INT64_C(46) * HOUR_MS * USEC_PER_MSEC;
	assert_int_equal(repeat(1, 0), CLAIM_DONE);
	fixture.now += INT64_C(3) * HOUR_MS * USEC_PER_MSEC;
	/* The record has expired, so the key may be claimed again. */
	fixture.held[0] = 0;
	assert_int_equal(repeat(1, 0), CLAIM_FRESH);
	assert_int_equal(repeat(1, 1), CLAIM_RUNNING);
}

static void on_list(void *ctx, uint64_t tag, const char *json,
		    const struct error *err)
{
	(void)ctx;
	(void)tag;
	(void)err;
	free(fixture.json);
	fixture.json = json ? strdup(json) : NULL;
}

static void listing_contains_claims_without_outcome(void **state)
{
	struct store_faults down = {.down = true};
	struct request *r[3];
	int i;

	(void)state;
	for (i = 0; i < 3; i++)
		r[i] = begin(i, i, 1);
	run_ms(100);
	finish(r[0], 10);
	claims_mark_unresolved(fixture.claims[1], r[1]->claim, fixture.now);
	run_ms(100);
	claims_list(fixture.claims[0], NULL, 0, on_list, fixture.now);
	run_ms(20);
	assert_non_null(fixture.json);
	assert_non_null(strstr(fixture.json, "\"state\": \"unresolved\""));
	assert_non_null(strstr(fixture.json, "\"state\": \"running\""));
	assert_null(strstr(fixture.json, "7000"));
	set_faults(0, down);
	claims_list(fixture.claims[0], NULL, 0, on_list, fixture.now);
	run_ms(20);
	assert_null(fixture.json);
}

#define CLAIMS_TEST(fn) cmocka_unit_test_setup_teardown(fn, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(claims_are_decided_under_faults),
		cmocka_unit_test(repeats_get_the_outcome),
		CLAIMS_TEST(claims_of_a_restarted_holder_are_unresolved),
		CLAIMS_TEST(paused_holder_still_stores_the_outcome),
		CLAIMS_TEST(unresolved_is_stored),
		CLAIMS_TEST(claim_acquired_past_its_deadline_is_released),
		CLAIMS_TEST(own_claims_are_recognised),
		CLAIMS_TEST(one_of_two_concurrent_claims_is_granted),
		CLAIMS_TEST(different_fingerprint_is_a_mismatch),
		CLAIMS_TEST(one_existing_key_does_not_block_a_batch),
		CLAIMS_TEST(repeats_do_not_delay_new_keys),
		CLAIMS_TEST(discarded_claims_are_cleaned_up_in_batches),
		CLAIMS_TEST(claim_without_requester_is_released),
		CLAIMS_TEST(idle_only_when_every_outcome_is_stored),
		CLAIMS_TEST(done_claims_expire_and_others_stay),
		CLAIMS_TEST(listing_contains_claims_without_outcome),
	};

	log_set_level(LOG_CRIT);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
