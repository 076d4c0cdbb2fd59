/*
 * Random combinations of faults from fixed seeds while operators append notes.
 * After recovery, the status reported for each append must be correct: accepted
 * notes are in force under their number, rejected ones are not.
 */
#include "notes_cluster.h"

#define NODES 8
#define SEEDS 12
#define APPENDS 60
#define ROUND_US (500 * USEC_PER_MSEC)
#define ROUNDS_MAX 400
#define RECOVERY_RUN_US (120 * USEC_PER_SEC)

struct run {
	struct cluster cluster;
	uint64_t seed;
	uint64_t draws;
	int appends;
	struct append_result result[APPENDS];
};

static uint64_t run_random(struct run *r, uint64_t below)
{
	return pair_hash(r->seed, ++r->draws) % below;
}

static void random_store_faults(struct run *r)
{
	struct store_faults f = {0};

	switch (run_random(r, 4)) {
	case 0:
		f.down = true;
		break;
	case 1:
		f.lose_response = true;
		break;
	case 2:
		f.latency_us = (int64_t)run_random(r, 3 * USEC_PER_SEC);
		break;
	default:
		break;
	}
	cluster_store_faults(&r->cluster, (int)run_random(r, 3) - 1, &f);
}

static void random_node_fault(struct run *r)
{
	int i = (int)run_random(r, NODES);
	struct node *node = &r->cluster.nodes[i];

	if (!node->up)
		cluster_start(&r->cluster, i);
	else if (node->paused)
		node->paused = false;
	else if (run_random(r, 2))
		node->paused = true;
	else
		cluster_stop(&r->cluster, i);
}

static void random_fault(struct run *r)
{
	switch (run_random(r, 4)) {
	case 0:
		random_store_faults(r);
		break;
	case 1:
		random_node_fault(r);
		break;
	case 2:
		r->cluster.partitioned = !r->cluster.partitioned;
		break;
	default:
		r->cluster.loss_percent = (int)run_random(r, 60);
		r->cluster.duplicate_percent = (int)run_random(r, 60);
		r->cluster.delay_us = (int64_t)run_random(r, 2 * USEC_PER_SEC);
		break;
	}
}

/* The read before the write succeeds; the response to the write is lost. */
static void lose_write_response(struct run *r, int node)
{
	struct store_faults lose = {.lose_response = true}, none = {0};

	store_set_faults(r->cluster.nodes[node].store, &lose);
	cluster_run(&r->cluster, STEP_US);
	store_set_faults(r->cluster.nodes[node].store, &none);
}

static void random_append(struct run *r)
{
	int node = (int)run_random(r, NODES), i = r->appends;
	struct node *n = &r->cluster.nodes[node];
	char text[256], after[32] = "";

	if (i == APPENDS || !n->up || n->paused)
		return;
	if (run_random(r, 3) == 0)
		snprintf(after, sizeof(after), "\"after\": %d,",
			 (int)n->number);
	snprintf(text, sizeof(text),
		 "{\"release\": \"n%d\", %s \"changed\": {\"accounts\": "
		 "[{\"name\": \"%s\", \"rate\": %d}]}}",
		 i, after, run_random(r, 2) ? "a" : "b", i + 1);
	cluster_append_start(&r->cluster, node, text, NULL, &r->result[i]);
	r->appends++;
	if (run_random(r, 4) == 0)
		lose_write_response(r, node);
}

static void clear_faults(struct run *r)
{
	struct store_faults none = {0};
	int i;

	r->cluster.partitioned = false;
	r->cluster.loss_percent = 0;
	r->cluster.duplicate_percent = 0;
	for (i = 0; i < NODES; i++) {
		if (!r->cluster.nodes[i].up)
			cluster_start(&r->cluster, i);
		r->cluster.nodes[i].paused = false;
	}
	cluster_store_faults(&r->cluster, -1, &none);
	cluster_run(&r->cluster, RECOVERY_RUN_US);
}

static void check_outcome(const struct run *r, int i, const struct config *c)
{
	const struct append_result *s = &r->result[i];
	uint64_t number;
	char release[16];

	snprintf(release, sizeof(release), "n%d", i);
	number = config_release_number(c, release);
	if (!s->done || s->status == APPEND_UNKNOWN)
		return;
	if (s->status == APPEND_ACCEPTED ? number != s->number : number != 0)
		fail_msg("seed %d: %s: reported status %d note %d, is note %d",
			 (int)r->seed, release, s->status, (int)s->number,
			 (int)number);
}

static void run_seed(struct run *r, uint64_t seed, int *counts)
{
	struct config *c;
	int i;

	memset(r, 0, sizeof(*r));
	r->seed = seed;
	cluster_begin(&r->cluster, NODES, 2);
	for (i = 0; i < ROUNDS_MAX && r->appends < APPENDS; i++) {
		if (run_random(r, 4) == 0)
			random_fault(r);
		random_append(r);
		cluster_run(&r->cluster, ROUND_US);
	}
	clear_faults(r);
	c = notes_config(r->cluster.nodes[0].notes);
	assert_non_null(c);
	cluster_assert_same(&r->cluster, config_number(c));
	for (i = 0; i < r->appends; i++) {
		check_outcome(r, i, c);
		counts[r->result[i].done ? r->result[i].status
					 : APPEND_UNKNOWN]++;
	}
	cluster_close(&r->cluster);
}

static void reported_outcomes_are_true(void **state)
{
	static struct run r;
	int counts[APPEND_UNKNOWN + 1] = {0};
	uint64_t seed;

	(void)state;
	for (seed = 1; seed <= SEEDS; seed++)
		run_seed(&r, seed, counts);
	print_message(
		"accepted %d, conflict %d, store unavailable %d, unknown %d\n",
		counts[APPEND_ACCEPTED], counts[APPEND_CONFLICT],
		counts[APPEND_STORE_UNAVAILABLE], counts[APPEND_UNKNOWN]);
	assert_true(counts[APPEND_ACCEPTED] > 0);
	assert_true(counts[APPEND_CONFLICT] > 0);
	assert_true(counts[APPEND_STORE_UNAVAILABLE] > 0);
	assert_true(counts[APPEND_UNKNOWN] > 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(reported_outcomes_are_true),
	};

	log_set_level(LOG_EMERG);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
