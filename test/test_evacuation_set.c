/* Precedence between states of evacuations, and the move of the load. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "control/evacuations/evacuations.h"
#include "policy/policy.h"

#define BOUND_US (5 * USEC_PER_SEC)
#define NOW_US (100 * USEC_PER_SEC)

static struct evacuation_set set_of(int64_t era, int64_t revision,
				    const char *data_centre, int64_t learnt_us)
{
	struct evacuation_set s = {
		.known = true, .era = era, .revision = revision};

	if (data_centre)
		evacuation_set_add(&s, data_centre, learnt_us, EVACUATION_READ);
	return s;
}

static bool has(const struct evacuation_set *s, const char *data_centre)
{
	return evacuation_set_find(s, name_hash(data_centre)) != NULL;
}

/* A late read or message must not undo what a newer one told. */
static void newer_state_takes_precedence(void **state)
{
	struct evacuation_set s = {0}, from = set_of(2, 10, "a", NOW_US);

	(void)state;
	assert_true(evacuation_set_merge(&s, &from));
	from = set_of(2, 9, NULL, 0);
	assert_false(evacuation_set_merge(&s, &from));
	from = set_of(1, 99, NULL, 0);
	assert_false(evacuation_set_merge(&s, &from));
	assert_true(has(&s, "a"));
	from = set_of(3, 4, "b", NOW_US);
	assert_true(evacuation_set_merge(&s, &from));
	assert_false(has(&s, "a"));
	assert_true(has(&s, "b"));
	memset(&from, 0, sizeof(from));
	assert_false(evacuation_set_merge(&s, &from));
	assert_true(has(&s, "b"));
}

/* The move would begin again, and last longer than promised. */
static void known_order_keeps_its_time(void **state)
{
	struct evacuation_set s = set_of(1, 10, "a", NOW_US);
	struct evacuation_set from = set_of(1, 12, "a", NOW_US + USEC_PER_SEC);
	struct evacuation again = {.data_centre = "a",
				   .hash = name_hash("a"),
				   .learnt_us = NOW_US + USEC_PER_SEC};

	(void)state;
	assert_true(evacuation_set_merge(&s, &from));
	assert_int_equal(s.items[0].learnt_us, NOW_US);
	assert_true(evacuation_set_change(&s, 1, 13, &again, true));
	assert_int_equal(s.n, 1);
	assert_int_equal(s.items[0].learnt_us, NOW_US);
}

/* Events of a watch may repeat what a read has told, or be overtaken by it. */
static void older_changes_do_nothing(void **state)
{
	struct evacuation_set s = set_of(1, 10, "a", NOW_US);
	struct evacuation a = {.data_centre = "a", .hash = name_hash("a")};
	struct evacuation b = {.data_centre = "b", .hash = name_hash("b")};

	(void)state;
	assert_false(evacuation_set_change(&s, 1, 10, &a, false));
	assert_false(evacuation_set_change(&s, 2, 11, &a, false));
	assert_true(evacuation_set_change(&s, 1, 11, &b, true));
	assert_true(evacuation_set_change(&s, 1, 12, &a, false));
	assert_false(has(&s, "a"));
	assert_true(has(&s, "b"));
	s.known = false;
	assert_false(evacuation_set_change(&s, 1, 13, &b, false));
}

static void set_is_bounded(void **state)
{
	struct evacuation_set s = {.known = true};
	char name[] = "a", longest[2 * NAME_SIZE];
	int i;

	(void)state;
	memset(longest, 'x', sizeof(longest) - 1);
	longest[sizeof(longest) - 1] = 0;
	assert_int_equal(evacuation_set_add(&s, longest, 0, EVACUATION_READ),
			 -1);
	assert_int_equal(evacuation_set_add(&s, "", 0, EVACUATION_READ), -1);
	for (i = 0; i < EVACUATIONS_MAX; i++, name[0]++)
		assert_int_equal(
			evacuation_set_add(&s, name, 0, EVACUATION_READ), 0);
	assert_int_equal(evacuation_set_add(&s, name, 0, EVACUATION_READ), -1);
	assert_int_equal(evacuation_set_add(&s, "a", 0, EVACUATION_READ), 0);
	assert_int_equal(s.n, EVACUATIONS_MAX);
}

/*
 * A node that was cut off, or has just started, may have missed the order for
 * long, and must not send calls there for another move.
 */
static void missed_orders_count_from_the_last_proof(void **state)
{
	int64_t proof = NOW_US - 1500 * USEC_PER_MSEC;

	(void)state;
	assert_int_equal(evacuation_learnt_us(proof, 0, BOUND_US, NOW_US),
			 NOW_US);
	proof = NOW_US - 3 * USEC_PER_SEC;
	assert_int_equal(evacuation_learnt_us(proof, 0, BOUND_US, NOW_US),
			 proof);
	assert_int_equal(
		evacuation_learnt_us(proof, 4 * USEC_PER_SEC, BOUND_US, NOW_US),
		NOW_US - 4 * USEC_PER_SEC);
	assert_int_equal(evacuation_learnt_us(INT64_MIN, 0, BOUND_US, NOW_US),
			 NOW_US - BOUND_US);
}

/* Load that moves at once overloads the other data centres. */
static void load_moves_evenly(void **state)
{
	const char *const names[] = {"a", "b"};
	int64_t age_us;
	double share;
	int hash, passed, d;

	(void)state;
	for (age_us = 0; age_us <= 2 * USEC_PER_SEC; age_us += 100000) {
		share = evacuation_share(NOW_US, BOUND_US, NOW_US + age_us);
		assert_float_equal(
			share, age_us < 1500000 ? 1 - age_us / 1.5e6 : 0, 1e-9);
		for (d = 0; d < 2; d++) {
			passed = 0;
			/* Only the lower half, as an overloaded gate admits. */
			for (hash = 0; hash < 32768; hash++)
				passed += evacuation_admits((uint16_t)hash,
							    name_hash(names[d]),
							    share);
			assert_float_equal(passed / 32768.0, share, 0.01);
		}
	}
	assert_float_equal(
		evacuation_share(NOW_US, BOUND_US, NOW_US - USEC_PER_SEC), 1,
		0);
	assert_false(evacuation_gates_closed(NOW_US, BOUND_US,
					     NOW_US + 2499 * USEC_PER_MSEC));
	assert_true(evacuation_gates_closed(NOW_US, BOUND_US,
					    NOW_US + 2500 * USEC_PER_MSEC));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(newer_state_takes_precedence),
		cmocka_unit_test(known_order_keeps_its_time),
		cmocka_unit_test(older_changes_do_nothing),
		cmocka_unit_test(set_is_bounded),
		cmocka_unit_test(missed_orders_count_from_the_last_proof),
		cmocka_unit_test(load_moves_evenly),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
