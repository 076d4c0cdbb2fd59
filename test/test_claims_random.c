#include "claims_fixture.h"

#include <gsl/gsl_rng.h>

#define SEEDS 60
#define STEPS 400

/* Finds the first claimed request from an index on whose node is not paused. */
static struct request *find_running_request(unsigned long from)
{
	int i, n = fixture.request_count;

	for (i = 0; i < n; i++) {
		struct request *r = &fixture.requests[((int)from + i) % n];

		if (r->reports && r->state == CLAIM_FRESH && !r->ended &&
		    !fixture.paused[r->node])
			return r;
	}
	return NULL;
}

/* Applies one random event to a node or request. */
static void random_step(gsl_rng *rng, uint64_t *incarnation)
{
	int node = (int)gsl_rng_uniform_int(rng, NODES);
	static const enum end ends[] = {END_FINISH, END_RELEASE,
					END_MARK_UNRESOLVED};
	struct store_faults f = {0};
	struct request *r;
	int i;

	switch (gsl_rng_uniform_int(rng, 12)) {
	case 0:
		f.down = gsl_rng_uniform_int(rng, 2);
		f.lose_response = gsl_rng_uniform_int(rng, 2);
		f.latency_us = (int64_t)gsl_rng_uniform_int(rng, 3000000);
		set_faults(node, f);
		break;
	case 1:
	case 2:
		set_faults(node, f);
		break;
	case 3:
		crash_node(node);
		start_node(node, ++*incarnation);
		for (i = 0; i < fixture.request_count; i++)
			if (fixture.requests[i].node == node)
				fixture.requests[i].ended = true;
		break;
	case 4:
		fixture.paused[node] = !fixture.paused[node];
		fixture.members.rows[node].state =
			fixture.paused[node] ? MEMBER_DEAD : MEMBER_ALIVE;
		break;
	case 5:
	case 6:
	case 7:
		r = find_running_request(
			gsl_rng_uniform_int(rng, REQUESTS_MAX));
		if (!r)
			break;
		r->ended = true;
		end_request(r, ends[gsl_rng_uniform_int(rng, 3)]);
		break;
	default:
		begin(node, (int)gsl_rng_uniform_int(rng, KEYS), 1);
	}
}

/* on_state asserts that a key is CLAIM_FRESH again only after a release. */
static void random_faults_never_make_a_key_fresh_twice(void **state)
{
	gsl_rng *rng = gsl_rng_alloc(gsl_rng_taus2);
	int key, step, fresh = 0, finished = 0;
	unsigned long seed;

	for (seed = 1; seed <= SEEDS; seed++) {
		uint64_t incarnation = 1;

		gsl_rng_set(rng, seed);
		set_up(state);
		for (step = 0; step < STEPS; step++) {
			random_step(rng, &incarnation);
			run_ms((int64_t)gsl_rng_uniform_int(rng, 200));
		}
		for (key = 0; key < KEYS; key++) {
			fresh += fixture.fresh[key];
			finished += fixture.finished[key];
		}
		tear_down(state);
	}
	/* Enough claims must succeed in spite of the faults. */
	assert_true(fresh > (int)SEEDS * KEYS / 2);
	assert_true(finished > (int)SEEDS * KEYS / 8);
	gsl_rng_free(rng);
}

/* Applies one random event of a fleet whose store goes back to copies. */
static void random_restore_step(gsl_rng *rng)
{
	static const enum end ends[] = {END_FINISH, END_RELEASE,
					END_MARK_UNRESOLVED};
	int node = (int)gsl_rng_uniform_int(rng, NODES);
	unsigned long step = gsl_rng_uniform_int(rng, 24);
	struct store_faults f = {.lose_response = step == 0};
	struct request *r;

	if (step <= 2) {
		set_faults(node, f);
	} else if (step <= 4) {
		assert_int_equal(memory_store_save(fixture.memory), 0);
	} else if (step == 5) {
		assert_int_equal(memory_store_restore(fixture.memory), 0);
		for (node = 0; node < NODES; node++)
			set_faults(node, f);
		run_ms(1000);
	} else if (step <= 11) {
		r = find_running_request(
			gsl_rng_uniform_int(rng, REQUESTS_MAX));
		if (!r)
			return;
		r->ended = true;
		end_request(r, ends[gsl_rng_uniform_int(rng, 3)]);
	} else {
		begin(node, (int)gsl_rng_uniform_int(rng, KEYS), 1);
	}
}

/*
 * A store that goes back to copies of up to a minute ago, and that each node
 * reaches within a second of its return. on_state asserts as above.
 */
static void random_restores_never_make_a_key_fresh_twice(void **state)
{
	gsl_rng *rng = gsl_rng_alloc(gsl_rng_taus2);
	int key, step, fresh = 0;
	unsigned long seed;

	for (seed = 1; seed <= SEEDS; seed++) {
		gsl_rng_set(rng, seed);
		set_up(state);
		fixture.polls = true;
		assert_int_equal(memory_store_save(fixture.memory), 0);
		for (step = 0; step < STEPS; step++) {
			random_restore_step(rng);
			run_ms((int64_t)gsl_rng_uniform_int(rng, 200));
		}
		for (key = 0; key < KEYS; key++)
			fresh += fixture.fresh[key];
		tear_down(state);
	}
	assert_true(fresh > (int)SEEDS * KEYS / 2);
	gsl_rng_free(rng);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(random_faults_never_make_a_key_fresh_twice),
		cmocka_unit_test(random_restores_never_make_a_key_fresh_twice),
	};

	log_set_level(LOG_CRIT);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
