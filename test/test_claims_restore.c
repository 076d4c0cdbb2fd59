#include "claims_fixture.h"

#define SETTLED_MS 3500

static void restore(void)
{
	assert_int_equal(memory_store_restore(fixture.memory), 0);
}

static struct request *claim_after_copy(void)
{
	struct request *r;

	fixture.polls = true;
	run_ms(1000);
	assert_int_equal(memory_store_save(fixture.memory), 0);
	r = begin(0, 0, 1);
	run_ms(200);
	assert_int_equal(r->state, CLAIM_FRESH);
	return r;
}

/*
 * A claim that was acknowledged is gone after the store came back from an older
 * copy, and a repeat of its key runs the request a second time.
 */
static void finished_request_does_not_run_again_after_restore(void **state)
{
	struct request *r;

	(void)state;
	assert_int_equal(memory_store_save(fixture.memory), 0);
	r = begin(0, 0, 1);
	run_ms(200);
	assert_int_equal(r->state, CLAIM_FRESH);
	finish(r, 100);
	run_ms(500);
	assert_int_equal(repeat(1, 0), CLAIM_DONE);
	assert_int_equal(memory_store_restore(fixture.memory), 0);
	assert_int_not_equal(repeat(1, 0), CLAIM_FRESH);
}

/* The stored answer of a lost claim is no longer given to a repeat. */
static void stored_answer_is_back_after_restore(void **state)
{
	struct request *r;

	(void)state;
	r = claim_after_copy();
	finish(r, 100);
	run_ms(500);
	restore();
	assert_int_equal(repeat(1, 0), CLAIM_STORE_UNAVAILABLE);
	run_ms(SETTLED_MS);
	r = begin(1, 0, 1);
	run_ms(DEADLINE_MS);
	assert_int_equal(r->state, CLAIM_DONE);
	assert_int_equal(r->status, 201);
	assert_int_equal(r->body_len, 100);
}

/* A request that runs while its claim is lost is started again elsewhere. */
static void running_request_does_not_run_again_after_restore(void **state)
{
	struct request *r;

	(void)state;
	r = claim_after_copy();
	restore();
	run_ms(SETTLED_MS);
	assert_int_equal(repeat(1, 0), CLAIM_RUNNING);
	finish(r, 100);
	run_ms(500);
	assert_int_equal(repeat(2, 0), CLAIM_DONE);
}

/* The copy has the claim as running, and its holder has long finished it. */
static void outcome_is_back_after_restore(void **state)
{
	struct request *r;

	(void)state;
	fixture.polls = true;
	r = begin(0, 0, 1);
	run_ms(1000);
	assert_int_equal(memory_store_save(fixture.memory), 0);
	finish(r, 100000);
	run_ms(500);
	restore();
	run_ms(SETTLED_MS);
	assert_int_equal(repeat(1, 0), CLAIM_DONE);
}

/* The store goes back twice, the second time while records are written again.
 */
static void claims_outlast_two_restores(void **state)
{
	struct request *r;
	int key;

	(void)state;
	fixture.polls = true;
	run_ms(1000);
	assert_int_equal(memory_store_save(fixture.memory), 0);
	for (key = 0; key < KEYS; key++) {
		r = begin(key % NODES, key, 1);
		run_ms(20);
		if (key % 2)
			finish(r, 100);
	}
	run_ms(500);
	restore();
	run_ms(1200);
	restore();
	run_ms(SETTLED_MS);
	for (key = 0; key < KEYS; key++)
		assert_int_equal(repeat((key + 1) % NODES, key),
				 key % 2 ? CLAIM_DONE : CLAIM_RUNNING);
}

/* A request that was released may run again, before and after a restore. */
static void released_key_is_free_after_restore(void **state)
{
	struct request *r;

	(void)state;
	r = claim_after_copy();
	end_request(r, END_RELEASE);
	run_ms(500);
	restore();
	run_ms(SETTLED_MS);
	assert_int_equal(repeat(1, 0), CLAIM_FRESH);
}

#define RESTORE_TEST(name) \
	cmocka_unit_test_setup_teardown(name, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		RESTORE_TEST(finished_request_does_not_run_again_after_restore),
		RESTORE_TEST(stored_answer_is_back_after_restore),
		RESTORE_TEST(running_request_does_not_run_again_after_restore),
		RESTORE_TEST(outcome_is_back_after_restore),
		RESTORE_TEST(claims_outlast_two_restores),
		RESTORE_TEST(released_key_is_free_after_restore),
	};

	log_set_level(LOG_CRIT);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
