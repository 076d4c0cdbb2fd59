#include "claims_fixture.h"

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

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			finished_request_does_not_run_again_after_restore,
			set_up, tear_down),
	};

	log_set_level(LOG_CRIT);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
