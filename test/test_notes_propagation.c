/*
 * Measures, by the simulated clock, how long a note takes to be in force on 60
 * nodes in three data centres, and how many messages that costs.
 */
#include "notes_cluster.h"

#define NODES 60
#define NOTES 20
#define IN_FORCE_MAX_US (2 * USEC_PER_SEC)
#define IDLE_US (10 * USEC_PER_SEC)

struct scenario {
	const char *name;
	int loss_percent;
	bool only_one_store; /* store down for the other two data centres */
};

static const struct scenario scenarios[] = {
	{"healthy", 0, false},
	{"store in one data centre", 0, true},
	{"20 % of datagrams lost", 20, false},
};

static uint32_t sent(const struct cluster *c)
{
	uint32_t n = 0;
	int i;

	for (i = 0; i < c->n; i++)
		n += c->nodes[i].sent;
	return n;
}

static int64_t measure_note(struct cluster *c, int i)
{
	struct append_result result;
	int64_t start;

	cluster_append(c, 0, rate_note(i, 0), NULL, &result);
	assert_int_equal(result.status, APPEND_ACCEPTED);
	start = c->now;
	assert_true(cluster_wait_number(c, result.number, IN_FORCE_MAX_US));
	return c->now - start;
}

static void measure_scenario(const struct scenario *s)
{
	struct store_faults down = {.down = true};
	int64_t slowest = 0, sum = 0, took, start;
	uint32_t before, idle, messages;
	struct cluster c;
	int i;

	cluster_begin(&c, NODES, 3);
	c.loss_percent = s->loss_percent;
	for (i = 1; s->only_one_store && i < 3; i++)
		cluster_store_faults(&c, i, &down);
	cluster_run(&c, IDLE_US);
	before = sent(&c);
	cluster_run(&c, IDLE_US);
	idle = sent(&c) - before;
	before = sent(&c);
	start = c.now;
	for (i = 0; i < NOTES; i++) {
		took = measure_note(&c, i);
		slowest = took > slowest ? took : slowest;
		sum += took;
		cluster_run(&c, USEC_PER_SEC / 2);
	}
	messages = sent(&c) - before;
	messages -= (uint32_t)(idle * (c.now - start) / IDLE_US);
	print_message("%s: mean %d ms, slowest %d ms, %.1f messages per node "
		      "and note\n",
		      s->name, (int)(sum / NOTES / USEC_PER_MSEC),
		      (int)(slowest / USEC_PER_MSEC),
		      (double)messages / NODES / NOTES);
	cluster_assert_same(&c, NOTES + 1);
	cluster_close(&c);
}

static void notes_reach_all_nodes_in_time(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(scenarios) / sizeof(*scenarios); i++)
		measure_scenario(&scenarios[i]);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(notes_reach_all_nodes_in_time),
	};

	log_set_level(LOG_EMERG);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
