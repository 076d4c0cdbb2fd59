#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "policy/policy.h"

#define MS USEC_PER_MSEC
#define N_MAX 9
#define PICKS 1000

/* Warmed-up upstreams with a latency of 5 ms; the first two are local. */
struct fixture {
	struct upstream_load loads[N_MAX];
	struct balance_candidate c[N_MAX];
	size_t n;
	int64_t now;
};

static void answer(struct fixture *f, size_t i, enum reason reason,
		   uint32_t queue_us, int64_t latency_us)
{
	struct answer_head h = {
		.outcome = reason ? OUTCOME_UNKNOWN : OUTCOME_DONE,
		.reason = reason,
		.queue_us = queue_us,
		.admission = {{ADMIT_ALL, ADMIT_ALL, ADMIT_ALL}},
	};

	load_sent(&f->loads[i], f->now);
	load_answered(&f->loads[i], &h, latency_us, f->now);
}

static void set_up(struct fixture *f, size_t n)
{
	size_t i, k;

	memset(f, 0, sizeof(*f));
	f->n = n;
	for (i = 0; i < n; i++) {
		f->c[i] = (struct balance_candidate){.load = &f->loads[i],
						     .slots = 100,
						     .same_data_centre = i < 2};
		f->now = 1;
		load_sent(&f->loads[i], f->now);
		load_cancelled(&f->loads[i]);
		f->now = 10 * USEC_PER_SEC;
		for (k = 0; k < 50; k++)
			answer(f, i, REASON_NONE, 0, 5 * MS);
	}
}

static void count_picks(const struct fixture *f, uint32_t picks[N_MAX])
{
	uint64_t seed;
	int i;

	memset(picks, 0, N_MAX * sizeof(*picks));
	for (seed = 0; seed < PICKS; seed++) {
		i = balance_pick(f->c, f->n, seed, f->now);
		assert_in_range(i, 0, f->n - 1);
		picks[i]++;
	}
}

static uint32_t local_picks(const uint32_t picks[N_MAX])
{
	return picks[0] + picks[1];
}

static void no_candidates(void **state)
{
	(void)state;
	assert_int_equal(balance_pick(NULL, 0, 1, 0), -1);
}

static void own_data_centre_comes_first(void **state)
{
	struct fixture f;
	uint32_t picks[N_MAX];

	(void)state;
	set_up(&f, 4);
	count_picks(&f, picks);
	assert_int_equal(local_picks(picks), PICKS);
	assert_true(picks[0] > PICKS / 4 && picks[1] > PICKS / 4);
}

static void spills_when_remote_is_faster(void **state)
{
	struct fixture f;
	uint32_t picks[N_MAX];

	(void)state;
	set_up(&f, 4);
	answer(&f, 0, REASON_NONE, 50 * MS, 5 * MS);
	answer(&f, 1, REASON_NONE, 50 * MS, 5 * MS);
	count_picks(&f, picks);
	assert_int_equal(local_picks(picks), 0);
}

static void set_detour(struct fixture *f, int64_t us)
{
	size_t i;

	for (i = 0; i < f->n; i++)
		f->c[i].detour_us = us;
}

/*
 * Light load, with slow local upstreams and fast remote ones. If the detour
 * must save more than the difference, calls stay local while there is room.
 */
static void light_load_stays_in_own_data_centre(void **state)
{
	uint32_t picks[N_MAX];
	struct fixture f;
	int k;

	(void)state;
	set_up(&f, 4);
	for (k = 0; k < 200; k++) {
		answer(&f, 0, REASON_NONE, 0, 120 * MS);
		answer(&f, 1, REASON_NONE, 0, 120 * MS);
		answer(&f, 2, REASON_NONE, 0, 40 * MS);
		answer(&f, 3, REASON_NONE, 0, 40 * MS);
	}
	set_detour(&f, 200 * MS);
	count_picks(&f, picks);
	assert_int_equal(picks[0] + picks[1], PICKS);
	/* A small required saving makes the calls go to the remote ones. */
	set_detour(&f, 15 * MS);
	count_picks(&f, picks);
	assert_true(picks[2] + picks[3] > PICKS * 9 / 10);
}

/* Local queues are long: calls go to the remote data centre. */
static void local_overload_spills_to_remote(void **state)
{
	uint32_t picks[N_MAX];
	struct fixture f;
	int k;

	(void)state;
	set_up(&f, 4);
	set_detour(&f, 200 * MS);
	for (k = 0; k < 50; k++) {
		answer(&f, 0, REASON_NONE, 80 * MS, 90 * MS);
		answer(&f, 1, REASON_NONE, 80 * MS, 90 * MS);
	}
	count_picks(&f, picks);
	assert_true(picks[2] + picks[3] > PICKS * 9 / 10);
}

/*
 * With equal queues in all data centres a detour saves nothing, so calls stay
 * local; a remote data centre with much shorter queues still gets them.
 */
static void overload_of_all_data_centres_stays_local(void **state)
{
	struct fixture f;
	uint32_t picks[N_MAX], i, k;

	(void)state;
	set_up(&f, 4);
	for (i = 0; i < 4; i++) {
		f.c[i].detour_us = 20 * MS;
		for (k = 0; k < 20; k++)
			answer(&f, i, REASON_NONE, 80 * MS, 90 * MS);
	}
	count_picks(&f, picks);
	assert_int_equal(local_picks(picks), PICKS);
	for (i = 2; i < 4; i++)
		for (k = 0; k < 20; k++)
			answer(&f, i, REASON_NONE, 10 * MS, 20 * MS);
	count_picks(&f, picks);
	assert_true(local_picks(picks) < PICKS / 10);
}

static void more_outstanding_calls_get_fewer_picks(void **state)
{
	struct fixture f;
	uint32_t picks[N_MAX], i;

	(void)state;
	set_up(&f, 2);
	for (i = 0; i < 100; i++)
		load_sent(&f.loads[0], f.now);
	count_picks(&f, picks);
	assert_true(picks[0] < picks[1] / 4);
}

/* Each makes upstream 0 look better than it is; it must get few picks. */
static void reports_idle_but_is_slow(struct fixture *f)
{
	uint32_t k;

	for (k = 0; k < 50; k++)
		answer(f, 0, REASON_NONE, 0, 200 * MS);
}

static void fails_fast(struct fixture *f)
{
	uint32_t k;

	for (k = 0; k < 5; k++)
		answer(f, 0, REASON_UPSTREAM_FAILED, 0, 10);
	assert_true(f->loads[0].latency_us > 4 * MS);
}

static void refuses_fast(struct fixture *f)
{
	struct answer_head h = {.outcome = OUTCOME_NOT_RUN,
				.reason = REASON_SHED};
	uint32_t k;

	for (k = 0; k < 200; k++) {
		load_sent(&f->loads[0], f->now);
		load_answered(&f->loads[0], &h, 10, f->now);
	}
}

static void loses_links(struct fixture *f)
{
	uint32_t k;

	for (k = 0; k < 20; k++) {
		load_sent(&f->loads[0], f->now);
		load_failed(&f->loads[0], f->now);
	}
}

static void misleading_upstreams_are_not_preferred(void **state)
{
	static void (*const rows[])(struct fixture *
				    f) = {reports_idle_but_is_slow, fails_fast,
					  refuses_fast, loses_links};
	struct fixture f;
	uint32_t picks[N_MAX];
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(rows) / sizeof(*rows); i++) {
		set_up(&f, 2);
		rows[i](&f);
		count_picks(&f, picks);
		assert_true(picks[0] < PICKS / 4);
	}
}

static void old_measurements_lose_weight(void **state)
{
	struct fixture f;
	uint32_t picks[N_MAX];

	(void)state;
	set_up(&f, 2);
	answer(&f, 0, REASON_NONE, 500 * MS, 200 * MS);
	count_picks(&f, picks);
	assert_int_equal(picks[0], 0);
	f.now += 10 * USEC_PER_SEC;
	count_picks(&f, picks);
	assert_true(picks[0] > 0);
}

static void at_most_a_third_or_one_of_two_is_ejected(void **state)
{
	struct fixture f;
	uint32_t picks[N_MAX], left;
	size_t n, i;

	(void)state;
	for (n = 1; n <= N_MAX; n++) {
		set_up(&f, n);
		for (i = 0; i < n; i++) {
			f.c[i].same_data_centre = true;
			f.loads[i].ejected_until_us =
				f.now + (int64_t)(1 + i % 3) * MS;
		}
		count_picks(&f, picks);
		for (i = 0, left = 0; i < n; i++)
			left += picks[i] > 0;
		if (n == 2)
			assert_int_equal(left, 1);
		else
			assert_true(left >= n - n / 3);
	}
}

static void ejection_ends(void **state)
{
	struct fixture f;
	uint32_t picks[N_MAX];

	(void)state;
	set_up(&f, 4);
	loses_links(&f);
	assert_true(f.loads[0].ejected_until_us > f.now);
	count_picks(&f, picks);
	assert_int_equal(picks[0], 0);
	f.now += 60 * USEC_PER_SEC;
	count_picks(&f, picks);
	assert_true(picks[0] > 0);
}

static void tried_upstreams_are_picked_last(void **state)
{
	struct fixture f;
	uint32_t picks[N_MAX];

	(void)state;
	set_up(&f, 3);
	f.c[0].tried = f.c[1].tried = true;
	count_picks(&f, picks);
	assert_int_equal(picks[2], PICKS);
	f.c[2].tried = true;
	count_picks(&f, picks);
	assert_int_equal(local_picks(picks), PICKS);
}

static void new_upstream_is_not_flooded(void **state)
{
	struct fixture f;
	uint32_t i, sent = 0;
	int pick;

	(void)state;
	set_up(&f, 2);
	memset(&f.loads[0], 0, sizeof(f.loads[0]));
	for (i = 0; i < 100; i++) {
		pick = balance_pick(f.c, f.n, i, f.now);
		load_sent(&f.loads[pick], f.now);
		sent += pick == 0;
	}
	assert_in_range(sent, 1, 60);
}

/* Entries placed work by slots that the upstream's limit left unused. */
static void upstream_with_a_named_limit_gets_few_picks(void **state)
{
	uint32_t picks[N_MAX];
	struct fixture f;

	(void)state;
	set_up(&f, 2);
	f.loads[0].rate = 5;
	f.loads[0].in_flight = 1;
	f.loads[1].in_flight = 50;
	count_picks(&f, picks);
	assert_true(picks[0] < PICKS / 10);
	f.loads[0].rate = 0;
	count_picks(&f, picks);
	assert_true(picks[0] > PICKS / 2);
	/* A limit heard a second ago may have ended. */
	f.loads[0].rate = 5;
	f.now += USEC_PER_SEC;
	count_picks(&f, picks);
	assert_true(picks[0] > PICKS / 4);
}

/*
 * One of two upstreams failed every call and got half of them: nothing was
 * ejected, and the other one was in another data centre.
 */
static void one_of_two_is_ejected(void **state)
{
	uint32_t picks[N_MAX];
	struct fixture f;
	int k;

	(void)state;
	set_up(&f, 2);
	for (k = 0; k < 12; k++)
		answer(&f, 0, REASON_UPSTREAM_MALFORMED, 0, 5 * MS);
	count_picks(&f, picks);
	assert_int_equal(picks[0], 0);
	for (k = 0; k < 12; k++)
		answer(&f, 1, REASON_UPSTREAM_MALFORMED, 0, 5 * MS);
	count_picks(&f, picks);
	assert_int_equal(picks[0] + picks[1], PICKS);
	f.now += 2 * USEC_PER_SEC;
	for (k = 0; k < 50; k++)
		answer(&f, 0, REASON_NONE, 0, 5 * MS);
	count_picks(&f, picks);
	assert_true(picks[0] > 0);
}

static void the_last_upstream_is_never_ejected(void **state)
{
	uint32_t picks[N_MAX];
	struct fixture f;
	int k;

	(void)state;
	set_up(&f, 1);
	for (k = 0; k < 50; k++)
		answer(&f, 0, REASON_UPSTREAM_FAILED, 0, 5 * MS);
	count_picks(&f, picks);
	assert_int_equal(picks[0], PICKS);
}

/* A detour is short against the time that failed calls cost. */
static void failing_local_upstream_is_left(void **state)
{
	uint32_t picks[N_MAX];
	struct fixture f;
	size_t i;
	int k;

	(void)state;
	set_up(&f, 2);
	f.c[1].same_data_centre = false;
	set_detour(&f, 25 * MS);
	for (i = 0; i < f.n; i++)
		f.c[i].failure_us = 150 * MS;
	count_picks(&f, picks);
	assert_int_equal(picks[0], PICKS);
	for (k = 0; k < 4; k++)
		answer(&f, 0, REASON_UPSTREAM_MALFORMED, 0, 5 * MS);
	count_picks(&f, picks);
	assert_int_equal(picks[0], 0);
}

/* Upstreams that reject many calls get fewer than those that don't. */
static void rejecting_upstream_gets_fewer_calls(void **state)
{
	struct answer_head h = {
		.outcome = OUTCOME_NOT_RUN,
		.reason = REASON_UPSTREAM_REFUSED,
		.admission = {{ADMIT_ALL, ADMIT_ALL, ADMIT_ALL}}};
	uint32_t picks[N_MAX];
	struct fixture f;
	int k;

	(void)state;
	set_up(&f, 2);
	for (k = 0; k < 100; k++) {
		load_sent(&f.loads[0], f.now);
		load_answered(&f.loads[0], &h, MS, f.now);
	}
	count_picks(&f, picks);
	assert_true(picks[0] < PICKS / 10);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(no_candidates),
		cmocka_unit_test(own_data_centre_comes_first),
		cmocka_unit_test(spills_when_remote_is_faster),
		cmocka_unit_test(light_load_stays_in_own_data_centre),
		cmocka_unit_test(local_overload_spills_to_remote),
		cmocka_unit_test(overload_of_all_data_centres_stays_local),
		cmocka_unit_test(more_outstanding_calls_get_fewer_picks),
		cmocka_unit_test(misleading_upstreams_are_not_preferred),
		cmocka_unit_test(old_measurements_lose_weight),
		cmocka_unit_test(at_most_a_third_or_one_of_two_is_ejected),
		cmocka_unit_test(ejection_ends),
		cmocka_unit_test(tried_upstreams_are_picked_last),
		cmocka_unit_test(upstream_with_a_named_limit_gets_few_picks),
		cmocka_unit_test(new_upstream_is_not_flooded),
		cmocka_unit_test(one_of_two_is_ejected),
		cmocka_unit_test(the_last_upstream_is_never_ejected),
		cmocka_unit_test(failing_local_upstream_is_left),
		cmocka_unit_test(rejecting_upstream_gets_fewer_calls),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
