/* What hosts tell each other of requests that crash upstreams. */
#include "notes_cluster.h"

#define NODES 16
#define START_US (8 * USEC_PER_SEC)
#define STABILITY_US (3 * USEC_PER_SEC)

static const struct fingerprint poison_id = {.low = 1, .high = 2};

static void end_on(struct cluster *c, int i, uint64_t incarnation)
{
	poison_add_end(c->nodes[i].poison, &poison_id, "s", incarnation,
		       c->now);
}

static bool refuses(const struct cluster *c, int i)
{
	return poison_check(c->nodes[i].poison, &poison_id, c->now) ==
	       POISON_REFUSED;
}

static void assert_all_refuse(const struct cluster *c)
{
	int i;

	for (i = 0; i < c->n; i++)
		if (c->nodes[i].up && !refuses(c, i))
			fail_msg("node %d does not refuse", i);
}

static void open_cluster(struct cluster *c)
{
	cluster_open_document(c, NODES, 4);
	cluster_run(c, START_US);
}

/* Three ends that three hosts saw were one to each of them. */
static void ends_on_three_hosts_are_three(void **state)
{
	struct cluster c;

	(void)state;
	open_cluster(&c);
	c.loss_percent = 30;
	end_on(&c, 0, 10);
	end_on(&c, 0, 10);
	end_on(&c, 1, 11);
	cluster_run(&c, STABILITY_US);
	assert_false(refuses(&c, 2));
	end_on(&c, 6, 12);
	cluster_run(&c, STABILITY_US);
	assert_all_refuse(&c);
	cluster_close(&c);
}

/* A host that was away when the others learnt of it ran the request again. */
static void hosts_that_missed_it_learn_it(void **state)
{
	struct cluster c;
	int i;

	(void)state;
	open_cluster(&c);
	c.nodes[5].paused = true;
	cluster_stop(&c, 9);
	for (i = 0; i < 3; i++)
		end_on(&c, i, 10 + (uint64_t)i);
	cluster_run(&c, 20 * USEC_PER_SEC);
	c.nodes[5].paused = false;
	cluster_start(&c, 9);
	cluster_run(&c, STABILITY_US);
	assert_all_refuse(&c);
	cluster_close(&c);
}

/* A data centre that is cut off relies on what it saw itself. */
static void data_centre_alone_refuses_too(void **state)
{
	struct cluster c;
	int i;

	(void)state;
	open_cluster(&c);
	c.partitioned = true;
	for (i = 0; i < 3; i++)
		end_on(&c, 4 * i, 10 + (uint64_t)i);
	cluster_run(&c, STABILITY_US);
	for (i = 0; i < NODES; i++)
		assert_int_equal(refuses(&c, i), i % 4 == 0);
	c.partitioned = false;
	cluster_run(&c, STABILITY_US);
	assert_all_refuse(&c);
	cluster_close(&c);
}

/* A request that ran well on one host was still refused by the others. */
static void clearing_reaches_all_hosts(void **state)
{
	struct cluster c;
	int i;

	(void)state;
	open_cluster(&c);
	for (i = 0; i < 3; i++)
		end_on(&c, i, 10 + (uint64_t)i);
	cluster_run(&c, STABILITY_US);
	assert_all_refuse(&c);
	poison_run_ended_well(c.nodes[7].poison, &poison_id, c.now);
	cluster_run(&c, STABILITY_US);
	for (i = 0; i < NODES; i++)
		assert_int_equal(
			poison_check(c.nodes[i].poison, &poison_id, c.now),
			POISON_NONE);
	cluster_close(&c);
}

/* Nothing is sent about requests while there is no evidence against any. */
static void calm_costs_no_messages(void **state)
{
	struct cluster c;
	struct poison_gossip *gossip;
	uint32_t sent;

	(void)state;
	open_cluster(&c);
	gossip = c.nodes[0].gossip;
	sent = c.nodes[0].sent;
	poison_gossip_tick(gossip, c.now);
	assert_int_equal(c.nodes[0].sent, sent);
	cluster_close(&c);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(ends_on_three_hosts_are_three),
		cmocka_unit_test(hosts_that_missed_it_learn_it),
		cmocka_unit_test(data_centre_alone_refuses_too),
		cmocka_unit_test(clearing_reaches_all_hosts),
		cmocka_unit_test(calm_costs_no_messages),
	};

	log_set_level(LOG_EMERG);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
