#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#include "replay_model.h"

static void replay(struct replay_trace *t, const char *name,
		   enum overload_mode mode, struct replay_result *r)
{
	struct error err;
	char path[256];

	snprintf(path, sizeof(path), "test/traces/%s.json", name);
	if (replay_load(t, path, &err) < 0)
		fail_msg("%s: %s", err.peer, err.text);
	assert_int_equal(replay_run(t, mode, t->seed, r), 0);
}

static void overload_keeps_goodput(void **state)
{
	static const char *const traces[] = {"aralsk-3x", "trinacria-3x"};
	struct replay_result r, off;
	struct replay_trace t;
	size_t i;

	(void)state;
	for (i = 0; i < 2; i++) {
		replay(&t, traces[i], OVERLOAD_ENFORCE, &r);
		assert_true(replay_goodput_ratio(&r) >= 0.95);
		assert_true((double)r.class_good[SHED_LAST] >=
			    0.99 * (double)r.class_offered[SHED_LAST]);
		assert_true((double)r.wasted <= 0.05 * (double)r.runs);
		/* Without overload control the trace overloads the chain. */
		replay(&t, traces[i], OVERLOAD_OFF, &off);
		assert_true(replay_goodput_ratio(&off) < 0.5);
	}
}

static void goodput_recovers_after_a_slow_service(void **state)
{
	struct replay_result r, off;
	struct replay_trace t;

	(void)state;
	replay(&t, "aralsk-slow", OVERLOAD_ENFORCE, &r);
	assert_true(r.recovery_s >= 0 && r.recovery_s <= 2);
	replay(&t, "aralsk-slow", OVERLOAD_OFF, &off);
	assert_true(off.recovery_s < 0);
}

static void within_capacity_nothing_is_refused(void **state)
{
	static const char *const traces[] = {"aralsk-within",
					     "trinacria-within"};
	struct replay_result r;
	struct replay_trace t;
	size_t i;

	(void)state;
	for (i = 0; i < 2; i++) {
		replay(&t, traces[i], OVERLOAD_ENFORCE, &r);
		assert_true((double)(r.offered - r.good) <=
			    0.005 * (double)r.offered);
	}
}

static void one_account_cannot_starve_the_others(void **state)
{
	static const char *const traces[] = {"aralsk-surge", "trinacria-surge"};
	struct replay_result r;
	struct replay_trace t;
	size_t i;

	(void)state;
	for (i = 0; i < 2; i++) {
		replay(&t, traces[i], OVERLOAD_ENFORCE, &r);
		assert_true(replay_worst_share(&t, &r) >= 0.95);
	}
}

static void retries_stay_inside_the_allowance(void **state)
{
	struct replay_result r, off;
	struct replay_trace t;

	(void)state;
	replay(&t, "aralsk-deep", OVERLOAD_ENFORCE, &r);
	assert_int_equal(t.hop_count, 15);
	assert_in_range(r.retries_max, 1, t.allowance);
	assert_in_range(r.attempts_max, 2, 1 + t.allowance);
	replay(&t, "aralsk-deep", OVERLOAD_OFF, &off);
	assert_true(off.retries_max > t.allowance);
}

static void same_seed_same_result(void **state)
{
	struct replay_result a, b;
	struct replay_trace t;

	(void)state;
	replay(&t, "aralsk-within", OVERLOAD_ENFORCE, &a);
	replay(&t, "aralsk-within", OVERLOAD_ENFORCE, &b);
	assert_memory_equal(&a, &b, sizeof(a));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(overload_keeps_goodput),
		cmocka_unit_test(goodput_recovers_after_a_slow_service),
		cmocka_unit_test(within_capacity_nothing_is_refused),
		cmocka_unit_test(one_account_cannot_starve_the_others),
		cmocka_unit_test(retries_stay_inside_the_allowance),
		cmocka_unit_test(same_seed_same_result),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
