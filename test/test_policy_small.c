#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "policy/policy.h"

#define MS USEC_PER_MSEC

static void bucket_never_exceeds_rate_and_burst(void **state)
{
	struct bucket b;
	uint32_t taken = 0;
	int64_t now;

	(void)state;
	bucket_init(&b, 100, 5, 50, 0);
	for (now = 0; now < 2000 * MS; now += MS)
		taken += bucket_take(&b, 1, now);
	assert_in_range(taken, 5 + 199 - 1, 5 + 200);
	/* A clock that stops or steps back adds no tokens. */
	while (bucket_take(&b, 1, now))
		;
	assert_false(bucket_take(&b, 1, now - 1000 * MS));
	assert_false(bucket_take(&b, 1, now));
}

static void bucket_wait_is_reported(void **state)
{
	struct bucket b;
	int64_t wait;

	(void)state;
	bucket_init(&b, 10, 2, 0, 0);
	assert_int_equal(bucket_wait_us(&b, 0), 0);
	assert_int_equal(bucket_wait_us(&b, 3), -1);
	wait = bucket_wait_us(&b, 1);
	assert_false(bucket_take(&b, 1, wait - 10));
	assert_true(bucket_take(&b, 1, wait));
	bucket_init(&b, 0, 2, 1, 0);
	assert_int_equal(bucket_wait_us(&b, 2), -1);
}

static void allowance_is_split_never_copied(void **state)
{
	uint8_t left, lent, before;
	uint32_t total;

	(void)state;
	for (total = 0; total <= UINT8_MAX; total++) {
		left = before = (uint8_t)total;
		do {
			lent = allowance_lend(&left);
			assert_int_equal(lent + left, before);
			assert_true(lent >= left);
			before = left;
		} while (lent);
	}
}

static void ratio_bounds_retries(void **state)
{
	struct retry_ratio r;
	uint32_t i, taken = 0;

	(void)state;
	retry_ratio_init(&r, 10);
	for (i = 0; i < 10000; i++) {
		retry_ratio_call(&r);
		taken += retry_ratio_take(&r);
	}
	assert_in_range(taken, 1000, 1000 + 10);
	retry_ratio_init(&r, 0);
	retry_ratio_call(&r);
	assert_false(retry_ratio_take(&r));
}

static void backoff_grows_within_bounds(void **state)
{
	uint32_t attempt;
	uint64_t seed;
	int64_t wait, most = 0;

	(void)state;
	for (attempt = 1; attempt < 100; attempt++)
		for (seed = 0; seed < 100; seed++) {
			wait = retry_backoff_us(attempt, seed);
			assert_in_range(wait, 2 * MS, 200 * MS);
			if (attempt == 1)
				assert_in_range(wait, 2 * MS, 5 * MS);
			if (wait > most)
				most = wait;
		}
	assert_true(most > 150 * MS);
	assert_int_not_equal(retry_backoff_us(3, 1), retry_backoff_us(3, 2));
}

static void only_idempotent_methods_are_retried(void **state)
{
	static const char *const twice[] = {"GET", "HEAD", "PUT", "DELETE"};
	static const char *const once[] = {"POST", "PATCH", "get", "", "X"};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(twice) / sizeof(*twice); i++)
		assert_true(method_is_idempotent(twice[i]));
	for (i = 0; i < sizeof(once) / sizeof(*once); i++)
		assert_false(method_is_idempotent(once[i]));
}

static void once_only_is_sent_again_only_if_not_run(void **state)
{
	static const struct {
		enum outcome outcome;
		enum reason reason;
		bool once, allowed;
	} rows[] = {
		{OUTCOME_NOT_RUN, REASON_QUEUE_FULL, false, true},
		{OUTCOME_NOT_RUN, REASON_QUEUE_FULL, true, true},
		{OUTCOME_NOT_RUN, REASON_LINK_LOST, true, true},
		{OUTCOME_NOT_RUN, REASON_STOPPING, true, true},
		{OUTCOME_NOT_RUN, REASON_NO_UPSTREAM, true, true},
		{OUTCOME_UNKNOWN, REASON_LINK_LOST, true, false},
		{OUTCOME_UNKNOWN, REASON_LINK_LOST, false, true},
		{OUTCOME_UNKNOWN, REASON_UPSTREAM_FAILED, true, false},
		{OUTCOME_UNKNOWN, REASON_UPSTREAM_FAILED, false, true},
		{OUTCOME_DONE, REASON_UPSTREAM_FAILED, true, false},
		{OUTCOME_DONE, REASON_NONE, false, false},
		{OUTCOME_NOT_RUN, REASON_SHED, false, false},
		{OUTCOME_NOT_RUN, REASON_DEADLINE, false, false},
		{OUTCOME_NOT_RUN, REASON_CANCELLED, false, false},
		{OUTCOME_NOT_RUN, REASON_OVER_RATE, false, false},
		{OUTCOME_NOT_RUN, REASON_BAD_KEY, false, false},
	};
	size_t i;
	int reason;

	(void)state;
	for (i = 0; i < sizeof(rows) / sizeof(*rows); i++)
		assert_int_equal(retry_allowed(rows[i].outcome, rows[i].reason,
					       rows[i].once),
				 rows[i].allowed);
	for (reason = 0; reason < REASON_COUNT; reason++) {
		assert_false(retry_allowed(OUTCOME_UNKNOWN, reason, true));
		assert_false(retry_allowed(OUTCOME_DONE, reason, true));
	}
}

static void admit_hashes_are_stable_and_ordered(void **state)
{
	uint32_t admit_hash;

	(void)state;
	assert_int_equal(root_admit_hash("a", 1), root_admit_hash("a", 1));
	assert_int_not_equal(root_admit_hash("a", 1), root_admit_hash("b", 1));
	assert_int_not_equal(root_admit_hash("a", 1), root_admit_hash("a", 2));
	assert_true(admit_hash_passes(UINT16_MAX, ADMIT_ALL));
	assert_false(admit_hash_passes(0, 0));
	for (admit_hash = 0; admit_hash <= UINT16_MAX; admit_hash += 5)
		assert_true(admit_hash_at_depth((uint16_t)admit_hash, 1) <=
				    admit_hash &&
			    admit_hash_at_depth((uint16_t)admit_hash, 0) ==
				    admit_hash);
}

static struct admission uniform_admission(uint16_t open)
{
	return (struct admission){{open, open, open}};
}

static void cutoffs_hold_the_mean_of_several_gates(void **state)
{
	struct cutoffs *c = cutoffs_new(10);
	struct admission high = uniform_admission(ADMIT_ALL),
			 low = uniform_admission(0), a;
	int64_t now;

	(void)state;
	a = cutoffs_get(c, 1, 1, 0);
	assert_int_equal(a.admitted[SHED_FIRST], ADMIT_ALL);
	for (now = MS; now < 500 * MS; now += MS)
		cutoffs_merge(c, 1, 1, now / MS % 2 ? &high : &low, now);
	a = cutoffs_get(c, 1, 1, now);
	assert_in_range(a.admitted[SHED_FIRST], ADMIT_ALL * 0.4,
			ADMIT_ALL * 0.6);
	a = cutoffs_get(c, 1, 2, now);
	assert_int_equal(a.admitted[SHED_FIRST], ADMIT_ALL);
	a = cutoffs_get(c, 2, 1, now);
	assert_int_equal(a.admitted[SHED_FIRST], ADMIT_ALL);
	cutoffs_free(c);
}

static void cutoffs_reopen_without_updates(void **state)
{
	struct cutoffs *c = cutoffs_new(10);
	struct admission closed = uniform_admission(0);

	(void)state;
	cutoffs_merge(c, 1, 1, &closed, 0);
	assert_false(cutoffs_admit(c, 1, 1, SHED_LAST, 0, 100 * MS));
	assert_true(cutoffs_admit(c, 1, 1, SHED_LAST, 0, 500 * MS));
	assert_false(cutoffs_admit(c, 1, 1, SHED_LAST, 60000, 500 * MS));
	assert_true(cutoffs_admit(c, 1, 1, SHED_LAST, UINT16_MAX, 2000 * MS));
	cutoffs_free(c);
}

static void cutoffs_evict_the_least_recently_used(void **state)
{
	struct cutoffs *c = cutoffs_new(3);
	struct admission closed = uniform_admission(0);
	uint64_t account;

	(void)state;
	for (account = 1; account <= 4; account++) {
		cutoffs_merge(c, 1, account, &closed, 0);
		cutoffs_get(c, 1, 1, 0);
	}
	assert_false(cutoffs_admit(c, 1, 1, SHED_LAST, 9, 0));
	assert_true(cutoffs_admit(c, 1, 2, SHED_LAST, 9, 0));
	assert_false(cutoffs_admit(c, 1, 3, SHED_LAST, 9, 0));
	assert_false(cutoffs_admit(c, 1, 4, SHED_LAST, 9, 0));
	cutoffs_free(c);
}

static void shed_calls_are_reported_once(void **state)
{
	struct cutoffs *c = cutoffs_new(3);
	uint32_t unreported[SHED_CLASSES];

	(void)state;
	cutoffs_count_shed(c, 1, 1, SHED_MIDDLE, 0);
	cutoffs_count_shed(c, 1, 1, SHED_MIDDLE, 0);
	cutoffs_take_unreported(c, 1, 1, unreported);
	assert_int_equal(unreported[SHED_MIDDLE], 2);
	assert_int_equal(unreported[SHED_FIRST], 0);
	cutoffs_take_unreported(c, 1, 1, unreported);
	assert_int_equal(unreported[SHED_MIDDLE], 0);
	cutoffs_take_unreported(c, 1, 2, unreported);
	assert_int_equal(unreported[SHED_MIDDLE], 0);
	cutoffs_free(c);
}

/*
 * Callers refused at the same time are spread over the retry interval, which
 * is longer the smaller the admitted share.
 */
static void retry_after_is_spread(void **state)
{
	uint32_t tenth[10] = {0}, ms, i;
	uint64_t many_in = 0, few_in = 0;

	(void)state;
	for (i = 0; i < 10000; i++) {
		ms = retry_after_ms(0, i);
		assert_in_range(ms, 750, 2250);
		tenth[(ms - 750) * 10 / 1501]++;
		few_in += ms;
		ms = retry_after_ms(ADMIT_ALL, i);
		assert_in_range(ms, 250, 750);
		many_in += ms;
	}
	for (i = 0; i < 10; i++)
		assert_in_range(tenth[i], 800, 1200);
	assert_true(few_in > 2 * many_in);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(bucket_never_exceeds_rate_and_burst),
		cmocka_unit_test(bucket_wait_is_reported),
		cmocka_unit_test(allowance_is_split_never_copied),
		cmocka_unit_test(ratio_bounds_retries),
		cmocka_unit_test(backoff_grows_within_bounds),
		cmocka_unit_test(retry_after_is_spread),
		cmocka_unit_test(only_idempotent_methods_are_retried),
		cmocka_unit_test(once_only_is_sent_again_only_if_not_run),
		cmocka_unit_test(admit_hashes_are_stable_and_ordered),
		cmocka_unit_test(cutoffs_hold_the_mean_of_several_gates),
		cmocka_unit_test(cutoffs_reopen_without_updates),
		cmocka_unit_test(cutoffs_evict_the_least_recently_used),
		cmocka_unit_test(shed_calls_are_reported_once),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
