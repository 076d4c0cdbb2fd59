/*
 * Load pattern: one request that crashes each upstream that runs it comes again
 * and again, among popular requests that run on the same upstreams.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "policy/poison.h"

#define MAX 64
#define ROUNDS 200
#define T0 USEC_PER_SEC

static struct fingerprint id_of(uint64_t i)
{
	struct fingerprint id = {.low = pair_hash(i, 1),
				 .high = pair_hash(i, 2)};

	return id;
}

static bool end(struct poison *p, uint64_t id, uint64_t incarnation,
		int64_t now)
{
	struct fingerprint f = id_of(id);

	return poison_add_end(p, &f, "s", incarnation, now);
}

static bool ended_well(struct poison *p, uint64_t id, int64_t now)
{
	struct fingerprint f = id_of(id);

	return poison_run_ended_well(p, &f, now);
}

static enum poison_verdict check(struct poison *p, uint64_t id, int64_t now)
{
	struct fingerprint f = id_of(id);

	return poison_check(p, &f, now);
}

/* A request that crashes upstreams was sent to them without end. */
static void request_is_refused_after_three_ends(void **state)
{
	struct poison *p = poison_new(MAX);

	(void)state;
	assert_int_equal(check(p, 1, 0), POISON_NONE);
	assert_true(end(p, 1, 10, 1));
	assert_int_equal(check(p, 1, 1), POISON_SUSPECT);
	assert_false(end(p, 1, 10, 2));
	assert_true(end(p, 1, 11, 2));
	assert_int_equal(check(p, 1, 2), POISON_SUSPECT);
	assert_true(end(p, 1, 12, 3));
	assert_int_equal(check(p, 1, 3), POISON_REFUSED);
	/* Another body, account or path is another request. */
	assert_int_equal(check(p, 2, 3), POISON_NONE);
	poison_free(p);
}

/* A popular request was refused as upstreams ended by themselves under it. */
static void popular_request_is_not_suspected(void **state)
{
	struct poison *p = poison_new(MAX);
	uint64_t i;

	(void)state;
	for (i = 0; i < 6; i++) {
		ended_well(p, 1, (int64_t)i);
		assert_false(end(p, 1, 10 + i, (int64_t)i));
	}
	/* Without a good run between them, ends count from the second on. */
	assert_true(end(p, 1, 20, 7));
	assert_true(end(p, 1, 21, 7));
	assert_true(ended_well(p, 1, 8));
	assert_int_equal(check(p, 1, 8), POISON_NONE);
	poison_free(p);
}

/*
 * An innocent request that was running at every end with the guilty one was
 * refused as long as that.
 */
static void request_that_shared_all_ends_is_tried_soon(void **state)
{
	struct poison *p = poison_new(MAX);
	struct fingerprint innocent = id_of(2);
	int64_t soon = T0 + 2 * USEC_PER_SEC;
	uint64_t i;

	(void)state;
	end(p, 1, 9, T0);
	for (i = 0; i < 3; i++) {
		end(p, 2, 10 + i, T0);
		end(p, 1, 10 + i, T0);
	}
	assert_int_equal(check(p, 2, T0), POISON_REFUSED);
	assert_int_equal(check(p, 1, soon), POISON_REFUSED);
	assert_int_equal(check(p, 2, soon), POISON_TRIAL_DUE);
	poison_begin_trial(p, &innocent, soon);
	assert_int_equal(check(p, 2, soon), POISON_REFUSED);
	assert_true(ended_well(p, 2, soon));
	assert_int_equal(check(p, 2, soon), POISON_NONE);
	assert_int_equal(check(p, 1, soon), POISON_REFUSED);
	poison_free(p);
}

/* Hosts that tried a refused request each by themselves crashed more. */
static void refused_request_is_tried_once(void **state)
{
	struct poison *p = poison_new(MAX), *other = poison_new(MAX);
	struct fingerprint id = id_of(1);
	int64_t late = 3600 * USEC_PER_SEC;
	uint64_t i;

	(void)state;
	for (i = 0; i < 3; i++)
		end(p, 1, i, T0);
	poison_merge(other, &poison_find(p, &id)->facts, T0);
	assert_int_equal(check(other, 1, late), POISON_TRIAL_DUE);
	poison_begin_trial(p, &id, late);
	assert_int_equal(check(p, 1, late), POISON_REFUSED);
	assert_true(poison_merge(other, &poison_find(p, &id)->facts, late));
	assert_int_equal(check(other, 1, late), POISON_REFUSED);
	assert_true(end(p, 1, 7, late));
	assert_int_equal(check(p, 1, 2 * late), POISON_REFUSED);
	poison_free(p);
	poison_free(other);
}

/* Old news from a host that was cut off must not undo what is known since. */
static void cleared_request_stays_cleared(void **state)
{
	struct poison *p = poison_new(MAX);
	struct fingerprint id = id_of(1);
	struct poison_facts old;
	uint64_t i;

	(void)state;
	for (i = 0; i < 3; i++)
		end(p, 1, i, 0);
	old = poison_find(p, &id)->facts;
	assert_true(poison_clear(p, &id, 1));
	assert_false(poison_merge(p, &old, 2));
	assert_int_equal(check(p, 1, 2), POISON_NONE);
	poison_free(p);
}

/* Facts that arrive twice or in another order lead to the same verdicts. */
static void nodes_agree_in_any_order(void **state)
{
	struct poison *p[3];
	struct fingerprint id = id_of(1);
	uint64_t i, j, k, from, to;

	(void)state;
	for (i = 0; i < ROUNDS; i++) {
		for (j = 0; j < 3; j++)
			p[j] = poison_new(MAX);
		for (k = 0; k < 12; k++) {
			from = pair_hash(i, k) % 3;
			to = pair_hash(k, i) % 3;
			if (k < 4)
				end(p[from], 1, k, 0);
			else if (k == 6 && i % 4 == 0)
				ended_well(p[from], 1, 0);
			else if (poison_find(p[from], &id))
				poison_merge(p[to],
					     &poison_find(p[from], &id)->facts,
					     0);
		}
		for (k = 0; k < 12; k++)
			if (poison_find(p[k % 3], &id))
				poison_merge(p[(k + 1 + k / 6) % 3],
					     &poison_find(p[k % 3], &id)->facts,
					     0);
		assert_int_equal(check(p[0], 1, 0), check(p[1], 1, 0));
		assert_int_equal(check(p[0], 1, 0), check(p[2], 1, 0));
		for (j = 0; j < 3; j++)
			poison_free(p[j]);
	}
}

/* A million different requests pushed out the one that is refused. */
static void refused_requests_are_kept_under_attack(void **state)
{
	struct poison *p = poison_new(MAX);
	uint64_t i;

	(void)state;
	for (i = 0; i < 3; i++)
		end(p, 1, i, T0);
	for (i = 0; i < 1000000; i++)
		end(p, 10 + i, 100 + i, T0 + (int64_t)i);
	assert_int_equal(poison_count(p), MAX);
	assert_int_equal(check(p, 1, T0), POISON_REFUSED);
	poison_expire(p, 3600 * USEC_PER_SEC);
	assert_int_equal(poison_count(p), 1);
	poison_free(p);
}

static void fingerprints_round_trip(void **state)
{
	static const char *const bad[] = {"", "12",
					  "0123456789abcdef0123456789abcdeg",
					  "0123456789abcdef0123456789abcdef0"};
	char text[FINGERPRINT_TEXT_SIZE];
	struct fingerprint id = id_of(1), read;
	size_t i;

	(void)state;
	fingerprint_format(&id, text);
	assert_int_equal(fingerprint_parse(&read, text), 0);
	assert_memory_equal(&id, &read, sizeof(id));
	for (i = 0; i < sizeof(bad) / sizeof(*bad); i++)
		assert_int_equal(fingerprint_parse(&read, bad[i]), -1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(request_is_refused_after_three_ends),
		cmocka_unit_test(popular_request_is_not_suspected),
		cmocka_unit_test(request_that_shared_all_ends_is_tried_soon),
		cmocka_unit_test(refused_request_is_tried_once),
		cmocka_unit_test(cleared_request_stays_cleared),
		cmocka_unit_test(nodes_agree_in_any_order),
		cmocka_unit_test(refused_requests_are_kept_under_attack),
		cmocka_unit_test(fingerprints_round_trip),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
