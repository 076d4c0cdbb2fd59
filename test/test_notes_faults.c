/*
 * Faults that come together, drawn from fixed seeds, while operators write.
 * What an operator was told must be true in the end.
 */
#include "notes_world.h"

#define NODES 8
#define SEEDS 12
#define APPENDS 60
#define ROUND_US (500 * USEC_PER_MSEC)
#define ROUNDS_MAX 400
#define SETTLE_US (120 * USEC_PER_SEC)

struct run {
	struct world w;
	uint64_t seed;
	uint64_t draws;
	int appends;
	struct outcome_seen seen[APPENDS];
};

static uint64_t rnd(struct run *r, uint64_t below)
{
	return pair_hash(r->seed, ++r->draws) % below;
}

static void random_store_faults(struct run *r)
{
	struct store_faults f = {0};

	switch (rnd(r, 4)) {
	case 0:
		f.down = true;
		break;
	case 1:
		f.lose_answer = true;
		break;
	case 2:
		f.latency_us = (int64_t)rnd(r, 3 * USEC_PER_SEC);
		break;
	default:
		break;
	}
	world_store_faults(&r->w, (int)rnd(r, 3) - 1, &f);
}

static void random_node_fault(struct run *r)
{
	int i = (int)rnd(r, NODES);
	struct node *node = &r->w.nodes[i];

	if (!node->up)
		world_start(&r->w, i);
	else if (node->paused)
		node->paused = false;
	else if (rnd(r, 2))
		node->paused = true;
	else
		world_stop(&r->w, i);
}

static void random_fault(struct run *r)
{
	switch (rnd(r, 4)) {
	case 0:
		random_store_faults(r);
		break;
	case 1:
		random_node_fault(r);
		break;
	case 2:
		r->w.apart = !r->w.apart;
		break;
	default:
		r->w.loss_percent = (int)rnd(r, 60);
		r->w.twice_percent = (int)rnd(r, 60);
		r->w.delay_us = (int64_t)rnd(r, 2 * USEC_PER_SEC);
		break;
	}
}

/* The read before a write is answered, the write itself is not. */
static void lose_write(struct run *r, int node)
{
	struct store_faults lose = {.lose_answer = true}, none = {0};

	store_set_faults(r->w.nodes[node].store, &lose);
	world_run(&r->w, STEP_US);
	store_set_faults(r->w.nodes[node].store, &none);
}

static void random_append(struct run *r)
{
	int node = (int)rnd(r, NODES), i = r->appends;
	struct node *n = &r->w.nodes[node];
	char text[256], after[32] = "";

	if (i == APPENDS || !n->up || n->paused)
		return;
	if (rnd(r, 3) == 0)
		snprintf(after, sizeof(after), "\"after\": %d,",
			 (int)n->number);
	snprintf(text, sizeof(text),
		 "{\"release\": \"n%d\", %s \"changed\": {\"accounts\": "
		 "[{\"name\": \"%s\", \"rate\": %d}]}}",
		 i, after, rnd(r, 2) ? "a" : "b", i + 1);
	world_append_start(&r->w, node, text, NULL, &r->seen[i]);
	r->appends++;
	if (rnd(r, 4) == 0)
		lose_write(r, node);
}

static void heal(struct run *r)
{
	struct store_faults none = {0};
	int i;

	r->w.apart = false;
	r->w.loss_percent = 0;
	r->w.twice_percent = 0;
	for (i = 0; i < NODES; i++) {
		if (!r->w.nodes[i].up)
			world_start(&r->w, i);
		r->w.nodes[i].paused = false;
	}
	world_store_faults(&r->w, -1, &none);
	world_run(&r->w, SETTLE_US);
}

static void check_told(const struct run *r, int i, const struct config *c)
{
	const struct outcome_seen *s = &r->seen[i];
	uint64_t number;
	char release[16];

	snprintf(release, sizeof(release), "n%d", i);
	number = config_release_number(c, release);
	if (!s->done || s->status == APPEND_UNKNOWN)
		return;
	if (s->status == APPEND_ACCEPTED ? number != s->number : number != 0)
		fail_msg("seed %d: %s: told %d %d, is note %d", (int)r->seed,
			 release, s->status, (int)s->number, (int)number);
}

static void run_seed(struct run *r, uint64_t seed, int *counts)
{
	struct config *c;
	int i;

	memset(r, 0, sizeof(*r));
	r->seed = seed;
	world_begin(&r->w, NODES, 2);
	for (i = 0; i < ROUNDS_MAX && r->appends < APPENDS; i++) {
		if (rnd(r, 4) == 0)
			random_fault(r);
		random_append(r);
		world_run(&r->w, ROUND_US);
	}
	heal(r);
	c = notes_config(r->w.nodes[0].notes);
	assert_non_null(c);
	world_assert_same(&r->w, config_number(c));
	for (i = 0; i < r->appends; i++) {
		check_told(r, i, c);
		counts[r->seen[i].done ? r->seen[i].status : APPEND_UNKNOWN]++;
	}
	world_close(&r->w);
}

static void what_operators_are_told_is_true(void **state)
{
	static struct run r;
	int counts[APPEND_UNKNOWN + 1] = {0};
	uint64_t seed;

	(void)state;
	for (seed = 1; seed <= SEEDS; seed++)
		run_seed(&r, seed, counts);
	print_message("accepted %d, conflict %d, store out %d, unknown %d\n",
		      counts[APPEND_ACCEPTED], counts[APPEND_CONFLICT],
		      counts[APPEND_STORE_OUT], counts[APPEND_UNKNOWN]);
	assert_true(counts[APPEND_ACCEPTED] > 0);
	assert_true(counts[APPEND_CONFLICT] > 0);
	assert_true(counts[APPEND_STORE_OUT] > 0);
	assert_true(counts[APPEND_UNKNOWN] > 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(what_operators_are_told_is_true),
	};

	log_set_level(LOG_EMERG);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
