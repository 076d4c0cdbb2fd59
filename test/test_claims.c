#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>
#include <gsl/gsl_rng.h>

#include "control/control.h"

#define NODES 3
#define TICK_US (5 * USEC_PER_MSEC)
#define DEADLINE_MS 500
#define REQUESTS_MAX 4096
#define KEYS 32
#define HOUR_MS (3600 * 1000)
#define SEEDS 60
#define STEPS 400

/* Members as the claims see them: one row for each node. */
struct members {
	struct member_info rows[NODES];
};

struct request {
	int node;
	int key;
	int reports;
	enum claim_state state;
	uint64_t claim;
	int status;
	size_t body_len;
	bool ended;
};

static struct {
	struct memory_store *memory;
	struct store *stores[NODES];
	struct claims *claims[NODES];
	struct members members;
	bool paused[NODES];
	int64_t now;
	struct request requests[REQUESTS_MAX];
	int request_count;
	int fresh[KEYS];
	int held[KEYS]; /* fresh and not released */
	bool finished[KEYS];
	char *json;
} world;

const struct member_info *members_find(const struct members *m,
				       const struct addr *nodes)
{
	int i;

	for (i = 0; i < NODES; i++)
		if (addr_equal(&m->rows[i].nodes, nodes))
			return &m->rows[i];
	return NULL;
}

static void start_node(int i, uint64_t incarnation)
{
	struct member_info *m = &world.members.rows[i];
	struct claims_options o = {.members = &world.members,
				   .incarnation = incarnation};
	char text[ADDR_TEXT_SIZE];

	snprintf(text, sizeof(text), "127.0.0.1:%d", 7000 + i);
	addr_parse(&m->nodes, text);
	m->incarnation = incarnation;
	m->state = MEMBER_ALIVE;
	world.stores[i] = store_open_memory(world.memory);
	o.store = world.stores[i];
	o.self = m->nodes;
	world.claims[i] = claims_new(&o, world.now);
}

/* The process ends without another word; others learn of it later. */
static void crash_node(int i)
{
	store_close(world.stores[i]);
	claims_free(world.claims[i]);
	world.claims[i] = NULL;
	world.stores[i] = NULL;
}

static int set_up(void **state)
{
	int i;

	(void)state;
	memset(&world, 0, sizeof(world));
	world.memory = memory_store_new();
	for (i = 0; i < NODES; i++)
		start_node(i, 1);
	/* Past the time in which members are still being learnt. */
	world.now = 60 * USEC_PER_SEC;
	return 0;
}

static int tear_down(void **state)
{
	int i;

	(void)state;
	for (i = 0; i < NODES; i++)
		if (world.claims[i])
			crash_node(i);
	memory_store_free(world.memory);
	free(world.json);
	return 0;
}

static void run_ms(int64_t ms)
{
	int64_t until = world.now + ms * USEC_PER_MSEC;
	int i;

	for (; world.now < until; world.now += TICK_US)
		for (i = 0; i < NODES; i++) {
			if (!world.claims[i] || world.paused[i])
				continue;
			store_tick(world.stores[i], world.now);
			claims_tick(world.claims[i], world.now);
		}
}

static void on_state(void *ctx, uint64_t tag, enum claim_state state,
		     uint64_t claim, const struct message *answer, int64_t now)
{
	struct request *r = &world.requests[tag];

	(void)ctx;
	(void)now;
	r->reports++;
	r->state = state;
	r->claim = claim;
	r->status = answer ? answer->status : 0;
	r->body_len = answer ? answer->body.len : 0;
	if (state == CLAIM_FRESH) {
		world.fresh[r->key]++;
		assert_int_equal(++world.held[r->key], 1);
	}
	if (state == CLAIM_DONE)
		assert_true(world.finished[r->key]);
}

static struct request *begin(int node, int key, uint64_t fingerprint)
{
	struct request *r = &world.requests[world.request_count];
	struct claim_done done = {.tag = (uint64_t)world.request_count++,
				  .fn = on_state};
	char name[16];

	memset(r, 0, sizeof(*r));
	r->node = node;
	r->key = key;
	snprintf(name, sizeof(name), "key-%d", key);
	claims_begin(world.claims[node], "acme", "issue", name, fingerprint,
		     "request-1", world.now + DEADLINE_MS * USEC_PER_MSEC,
		     &done, world.now);
	return r;
}

static void finish(struct request *r, size_t body_len)
{
	struct message m = {.status = 201};
	char *body = calloc(1, body_len + 1);

	world.finished[r->key] = true;
	message_add_header(&m, "content-type", "text/plain");
	buffer_append(&m.body, body, body_len, SIZE_MAX);
	claims_finish(world.claims[r->node], r->claim, &m, world.now);
	message_free(&m);
	free(body);
}

static void set_faults(int node, struct store_faults f)
{
	store_set_faults(world.stores[node], &f);
}

static enum claim_state repeat(int node, int key)
{
	struct request *r = begin(node, key, 1);

	run_ms(DEADLINE_MS + 10);
	assert_int_equal(r->reports, 1);
	return r->state;
}

struct begin_case {
	struct store_faults faults;
	int lift_ms; /* when the faults end */
	enum claim_state state;
	enum claim_state repeated; /* from another node, after the faults */
};

static void claims_are_settled_under_faults(void **state)
{
	static const struct begin_case cases[] = {
		{{0}, 0, CLAIM_FRESH, CLAIM_RUNNING},
		{{.down = true}, 100, CLAIM_FRESH, CLAIM_RUNNING},
		{{.down = true}, 800, CLAIM_STORE_OUT, CLAIM_FRESH},
		{{.lose_answer = true}, 100, CLAIM_FRESH, CLAIM_RUNNING},
		{{.lose_answer = true}, 800, CLAIM_STORE_OUT, CLAIM_FRESH},
		{{.latency_us = 50000}, 300, CLAIM_FRESH, CLAIM_RUNNING},
		{{.latency_us = 600000}, 700, CLAIM_STORE_OUT, CLAIM_FRESH},
		{{.latency_us = 3000000}, 9000, CLAIM_STORE_OUT, CLAIM_FRESH},
		{{.lose_answer = true, .latency_us = 100000},
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
		run_ms(cases[i].lift_ms);
		set_faults(0, none);
		run_ms(4000);
		assert_int_equal(r->reports, 1);
		assert_int_equal(r->state, cases[i].state);
		assert_int_equal(repeat(1, 0), cases[i].repeated);
		tear_down(state);
	}
}

enum end {
	END_FINISH,
	END_FINISH_LARGE,
	END_RELEASE,
	END_ABANDON,
	END_NOT_TOLD,
};

struct end_case {
	enum end end;
	struct store_faults faults; /* of the holder, while it ends */
	bool crash;		    /* before the faults are over */
	enum member_state seen;	    /* what others know of the holder */
	enum claim_state repeated;
	int status;
};

static void end_request(struct request *r, enum end end)
{
	switch (end) {
	case END_FINISH:
		finish(r, 100);
		break;
	case END_FINISH_LARGE:
		finish(r, 100000);
		break;
	case END_RELEASE:
		world.held[r->key]--;
		claims_release(world.claims[r->node], r->claim, world.now);
		break;
	case END_ABANDON:
		claims_abandon(world.claims[r->node], r->claim, world.now);
		break;
	case END_NOT_TOLD:
		break;
	}
}

static const struct end_case end_cases[] = {
	{END_FINISH, {0}, false, MEMBER_ALIVE, CLAIM_DONE, 201},
	{END_FINISH_LARGE, {0}, false, MEMBER_ALIVE, CLAIM_DONE, 0},
	{END_FINISH,
	 {.lose_answer = true},
	 false,
	 MEMBER_ALIVE,
	 CLAIM_DONE,
	 201},
	{END_FINISH, {.down = true}, false, MEMBER_ALIVE, CLAIM_DONE, 201},
	{END_RELEASE, {0}, false, MEMBER_ALIVE, CLAIM_FRESH, 0},
	{END_RELEASE,
	 {.lose_answer = true},
	 false,
	 MEMBER_ALIVE,
	 CLAIM_FRESH,
	 0},
	{END_RELEASE, {.down = true}, false, MEMBER_ALIVE, CLAIM_FRESH, 0},
	{END_ABANDON, {0}, false, MEMBER_ALIVE, CLAIM_UNRESOLVED, 0},
	{END_ABANDON,
	 {.lose_answer = true},
	 false,
	 MEMBER_ALIVE,
	 CLAIM_UNRESOLVED,
	 0},
	/* Crash before sending, after sending, before the answer. */
	{END_NOT_TOLD, {0}, true, MEMBER_DEAD, CLAIM_UNRESOLVED, 0},
	{END_NOT_TOLD, {0}, true, MEMBER_ALIVE, CLAIM_RUNNING, 0},
	{END_NOT_TOLD, {0}, true, MEMBER_SUSPECT, CLAIM_RUNNING, 0},
	{END_NOT_TOLD, {0}, true, MEMBER_LEFT, CLAIM_UNRESOLVED, 0},
	/* Crash with the outcome still to be written. */
	{END_FINISH, {.down = true}, true, MEMBER_DEAD, CLAIM_UNRESOLVED, 0},
	{END_FINISH, {.lose_answer = true}, true, MEMBER_DEAD, CLAIM_DONE, 201},
	{END_RELEASE, {.down = true}, true, MEMBER_DEAD, CLAIM_UNRESOLVED, 0},
};

static void repeats_get_the_truth(void **state)
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
		world.members.rows[0].state = t->seen;
		run_ms(2000);
		assert_int_equal(repeat(1, 0), t->repeated);
		assert_int_equal(world.requests[world.request_count - 1].status,
				 t->status);
		if (t->repeated != CLAIM_FRESH)
			assert_int_equal(repeat(2, 0), t->repeated);
		tear_down(state);
	}
}

static void a_restarted_holder_knows_no_more(void **state)
{
	(void)state;
	assert_int_equal(repeat(0, 0), CLAIM_FRESH);
	crash_node(0);
	start_node(0, 2);
	assert_int_equal(repeat(0, 0), CLAIM_UNRESOLVED);
	assert_int_equal(repeat(1, 0), CLAIM_UNRESOLVED);
}

/* A holder that was taken for dead still knows what became of it. */
static void a_paused_holder_tells_the_outcome(void **state)
{
	struct request *r = begin(0, 0, 1);

	(void)state;
	run_ms(100);
	world.paused[0] = true;
	world.members.rows[0].state = MEMBER_DEAD;
	assert_int_equal(repeat(1, 0), CLAIM_UNRESOLVED);
	world.paused[0] = false;
	finish(r, 10);
	run_ms(200);
	assert_int_equal(repeat(1, 0), CLAIM_DONE);
	assert_int_equal(world.fresh[0], 1);
}

static void one_of_two_at_once_wins(void **state)
{
	struct request *a = begin(0, 0, 1), *b = begin(1, 0, 1);
	struct request *c = begin(0, 1, 1), *d = begin(0, 1, 1);

	(void)state;
	run_ms(100);
	assert_int_equal(world.fresh[0], 1);
	assert_true(a->state == CLAIM_RUNNING || b->state == CLAIM_RUNNING);
	assert_int_equal(c->state, CLAIM_FRESH);
	assert_int_equal(d->state, CLAIM_RUNNING);
	finish(c, 10);
	assert_int_equal(repeat(0, 1), CLAIM_DONE);
}

static void another_body_is_a_mismatch(void **state)
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

static void one_existing_key_holds_up_no_batch(void **state)
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
	/* A lease, the batch, and the batch without the existing key. */
	assert_int_equal(counter_get(COUNTER_STORE_WRITES) - writes, 3);
}

static void a_forgotten_claim_is_released(void **state)
{
	struct request *r = begin(0, 0, 1);

	(void)state;
	run_ms(5);
	claims_forget(world.claims[0], 0);
	run_ms(200);
	assert_int_equal(r->reports, 0);
	assert_true(claims_idle(world.claims[0]));
	assert_int_equal(repeat(1, 0), CLAIM_FRESH);
}

static void idle_only_when_the_store_has_every_end(void **state)
{
	struct store_faults none = {0}, down = {.down = true};
	struct request *r = begin(0, 0, 1);

	(void)state;
	run_ms(100);
	assert_false(claims_idle(world.claims[0]));
	set_faults(0, down);
	finish(r, 10);
	run_ms(3000);
	assert_false(claims_idle(world.claims[0]));
	set_faults(0, none);
	run_ms(1000);
	assert_true(claims_idle(world.claims[0]));
}

static void done_claims_expire_and_others_stay(void **state)
{
	struct request *r = begin(0, 0, 1);

	(void)state;
	assert_int_equal(repeat(0, 1), CLAIM_FRESH);
	finish(r, 10);
	run_ms(200);
	world.now += INT64_C(46) * HOUR_MS * USEC_PER_MSEC;
	assert_int_equal(repeat(1, 0), CLAIM_DONE);
	world.now += INT64_C(3) * HOUR_MS * USEC_PER_MSEC;
	/* The key is forgotten with its claim. */
	world.held[0] = 0;
	assert_int_equal(repeat(1, 0), CLAIM_FRESH);
	assert_int_equal(repeat(1, 1), CLAIM_RUNNING);
}

static void on_list(void *ctx, uint64_t tag, const char *json,
		    const struct error *err)
{
	(void)ctx;
	(void)tag;
	(void)err;
	free(world.json);
	world.json = json ? strdup(json) : NULL;
}

static void listing_names_what_is_not_done(void **state)
{
	struct store_faults down = {.down = true};
	struct request *r[3];
	int i;

	(void)state;
	for (i = 0; i < 3; i++)
		r[i] = begin(i, i, 1);
	run_ms(100);
	finish(r[0], 10);
	claims_abandon(world.claims[1], r[1]->claim, world.now);
	run_ms(100);
	claims_list(world.claims[0], NULL, 0, on_list, world.now);
	run_ms(20);
	assert_non_null(world.json);
	assert_non_null(strstr(world.json, "\"state\": \"unresolved\""));
	assert_non_null(strstr(world.json, "\"state\": \"running\""));
	assert_null(strstr(world.json, "7000"));
	set_faults(0, down);
	claims_list(world.claims[0], NULL, 0, on_list, world.now);
	run_ms(20);
	assert_null(world.json);
}

/* The first request from a place on that runs on a node at work. */
static struct request *first_held(unsigned long from)
{
	int i, n = world.request_count;

	for (i = 0; i < n; i++) {
		struct request *r = &world.requests[((int)from + i) % n];

		if (r->reports && r->state == CLAIM_FRESH && !r->ended &&
		    !world.paused[r->node])
			return r;
	}
	return NULL;
}

/* One thing that happens to a random node or request. */
static void random_step(gsl_rng *rng, uint64_t *incarnation)
{
	int node = (int)gsl_rng_uniform_int(rng, NODES);
	static const enum end ends[] = {END_FINISH, END_RELEASE, END_ABANDON};
	struct store_faults f = {0};
	struct request *r;
	int i;

	switch (gsl_rng_uniform_int(rng, 12)) {
	case 0:
		f.down = gsl_rng_uniform_int(rng, 2);
		f.lose_answer = gsl_rng_uniform_int(rng, 2);
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
		for (i = 0; i < world.request_count; i++)
			if (world.requests[i].node == node)
				world.requests[i].ended = true;
		break;
	case 4:
		world.paused[node] = !world.paused[node];
		world.members.rows[node].state =
			world.paused[node] ? MEMBER_DEAD : MEMBER_ALIVE;
		break;
	case 5:
	case 6:
	case 7:
		r = first_held(gsl_rng_uniform_int(rng, REQUESTS_MAX));
		if (!r)
			break;
		r->ended = true;
		end_request(r, ends[gsl_rng_uniform_int(rng, 3)]);
		break;
	default:
		begin(node, (int)gsl_rng_uniform_int(rng, KEYS), 1);
	}
}

/* on_state checks that no key is fresh again unless it was released. */
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
			fresh += world.fresh[key];
			finished += world.finished[key];
		}
		tear_down(state);
	}
	/* The faults leave enough of the ordinary course to be worth it. */
	assert_true(fresh > (int)SEEDS * KEYS / 2);
	assert_true(finished > (int)SEEDS * KEYS / 8);
	gsl_rng_free(rng);
}

#define CLAIMS_TEST(fn) cmocka_unit_test_setup_teardown(fn, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(claims_are_settled_under_faults),
		cmocka_unit_test(repeats_get_the_truth),
		CLAIMS_TEST(a_restarted_holder_knows_no_more),
		CLAIMS_TEST(a_paused_holder_tells_the_outcome),
		CLAIMS_TEST(one_of_two_at_once_wins),
		CLAIMS_TEST(another_body_is_a_mismatch),
		CLAIMS_TEST(one_existing_key_holds_up_no_batch),
		CLAIMS_TEST(a_forgotten_claim_is_released),
		CLAIMS_TEST(idle_only_when_the_store_has_every_end),
		CLAIMS_TEST(done_claims_expire_and_others_stay),
		CLAIMS_TEST(listing_names_what_is_not_done),
		cmocka_unit_test(random_faults_never_make_a_key_fresh_twice),
	};

	log_set_level(LOG_CRIT);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
