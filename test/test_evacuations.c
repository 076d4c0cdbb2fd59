/* Evacuation orders among several nodes that share a store, with faults. */
#include "notes_cluster.h"

#define NODES 12
#define DATA_CENTRES 3
#define SETTLE_US (5 * USEC_PER_SEC)
#define ORDER EVACUATION_PREFIX "dc1"
/* Until every connected node has learnt of a change: rule EVAC needs 2.5 s. */
#define LEARNT_MAX_US (2200 * USEC_PER_MSEC)
/* The same while watches work, which is less than the time between polls. */
#define WATCHED_MAX_US (500 * USEC_PER_MSEC)

static bool knows(const struct node *node, const char *data_centre)
{
	const struct evacuation_set *s = evacuations_set(node->evacuations);

	return evacuation_set_find(s, name_hash(data_centre)) != NULL;
}

static bool all_know(const struct cluster *c, const char *data_centre,
		     bool expected)
{
	int i;

	for (i = 0; i < c->n; i++)
		if (c->nodes[i].up &&
		    (!evacuations_set(c->nodes[i].evacuations)->known ||
		     knows(&c->nodes[i], data_centre) != expected))
			return false;
	return true;
}

/* Returns the time until all nodes agree, or INT64_MAX after max_us. */
static int64_t time_until(struct cluster *c, const char *data_centre,
			  bool expected, int64_t max_us)
{
	int64_t start = c->now;

	while (!all_know(c, data_centre, expected)) {
		if (c->now - start > max_us)
			return INT64_MAX;
		run_step(c);
	}
	return c->now - start;
}

static void begin(struct cluster *c)
{
	cluster_open_evacuations(c, NODES, DATA_CENTRES);
	cluster_put(c, DOCUMENT_KEY, "1");
	cluster_run(c, SETTLE_US);
	assert_true(all_at_number(c, 1));
	assert_true(all_know(c, "dc1", false));
}

static void assert_learnt(struct cluster *c, const char *data_centre,
			  bool expected)
{
	assert_true(time_until(c, data_centre, expected, LEARNT_MAX_US) <=
		    LEARNT_MAX_US);
}

static void orders_reach_all_nodes(void **state)
{
	struct cluster c;

	(void)state;
	begin(&c);
	cluster_put(&c, ORDER, "{}");
	assert_true(time_until(&c, "dc1", true, LEARNT_MAX_US) <=
		    WATCHED_MAX_US);
	cluster_put(&c, EVACUATION_PREFIX "dc2", "{}");
	assert_learnt(&c, "dc2", true);
	assert_true(all_know(&c, "dc1", true));
	cluster_remove(&c, ORDER);
	assert_learnt(&c, "dc1", false);
	assert_true(all_know(&c, "dc2", true));
	cluster_close(&c);
}

/* Orders are made at various times between two polls of the readers. */
static void watched_orders_reach_all_nodes(void **state)
{
	int64_t took_us, slowest_us = 0;
	struct cluster c;
	int i;

	(void)state;
	begin(&c);
	for (i = 0; i < 8; i++) {
		cluster_run(&c, 1130 * USEC_PER_MSEC);
		if (i % 2)
			cluster_remove(&c, ORDER);
		else
			cluster_put(&c, ORDER, "{}");
		took_us = time_until(&c, "dc1", !(i % 2), LEARNT_MAX_US);
		if (took_us > slowest_us)
			slowest_us = took_us;
	}
	printf("known on all nodes after %lld ms at most\n",
	       (long long)(slowest_us / USEC_PER_MSEC));
	assert_true(slowest_us <= WATCHED_MAX_US);
	cluster_close(&c);
}

/* Returns the store calls of ten quiet seconds. */
static uint64_t quiet_reads(bool evacuations)
{
	struct cluster c;
	uint64_t before;

	memset(&c, 0, sizeof(c));
	c.document = true;
	c.evacuations = evacuations;
	cluster_open_store(&c, NODES, DATA_CENTRES);
	cluster_put(&c, DOCUMENT_KEY, "1");
	cluster_run(&c, SETTLE_US);
	before = counter_get(COUNTER_STORE_READS);
	cluster_run(&c, 10 * USEC_PER_SEC);
	before = counter_get(COUNTER_STORE_READS) - before;
	cluster_close(&c);
	return before;
}

/* The store charges for calls: orders must not cost any. */
static void reads_cost_no_more_calls(void **state)
{
	uint64_t without = quiet_reads(false), with = quiet_reads(true);

	(void)state;
	printf("reads in 10 s: %llu without, %llu with evacuations\n",
	       (unsigned long long)without, (unsigned long long)with);
	assert_int_equal(without, with);
}

/* Nodes whose watches report nothing rely on the reads of each second. */
static void orders_are_read_without_a_watch(void **state)
{
	struct cluster c;
	int i;

	(void)state;
	begin(&c);
	for (i = 0; i < c.n; i++)
		store_silence(c.nodes[i].store, c.now);
	cluster_put(&c, ORDER, "{}");
	assert_learnt(&c, "dc1", true);
	cluster_remove(&c, ORDER);
	assert_learnt(&c, "dc1", false);
	cluster_close(&c);
}

/* An order on a page after the first was missed, and a part proved freshness. */
static void truncated_reads_continue(void **state)
{
	struct store_faults pages = {.list_max = 2};
	struct cluster c;
	char key[64];
	int i;

	(void)state;
	begin(&c);
	cluster_store_faults(&c, -1, &pages);
	for (i = 0; i < 7; i++) {
		snprintf(key, sizeof(key), OPERATOR_PREFIX "a%d", i);
		cluster_put(&c, key, "{}");
	}
	for (i = 0; i < c.n; i++)
		store_silence(c.nodes[i].store, c.now);
	cluster_run(&c, SETTLE_US);
	for (i = 0; i < c.n; i++)
		assert_true(notes_stale_us(c.nodes[i].notes, c.now) <
			    2 * USEC_PER_SEC);
	cluster_put(&c, ORDER, "{}");
	assert_learnt(&c, "dc1", true);
	cluster_put(&c, DOCUMENT_KEY, "2");
	assert_true(cluster_wait_number(&c, 2, LEARNT_MAX_US));
	cluster_close(&c);
}

/* A third of the nodes can't reach the store and rely on the others. */
static void nodes_without_the_store_learn_from_peers(void **state)
{
	struct store_faults down = {.down = true};
	struct cluster c;
	int i;

	(void)state;
	begin(&c);
	for (i = 0; i < c.n; i += 3)
		store_set_faults(c.nodes[i].store, &down);
	cluster_run(&c, SETTLE_US);
	cluster_put(&c, ORDER, "{}");
	assert_learnt(&c, "dc1", true);
	cluster_remove(&c, ORDER);
	assert_learnt(&c, "dc1", false);
	cluster_close(&c);
}

/* The readers fail, and their peers have to notice. */
static void nodes_learn_when_readers_are_paused(void **state)
{
	struct cluster c;
	int i, paused = 0;

	(void)state;
	begin(&c);
	for (i = 0; i < c.n; i++)
		if (members_chosen(c.nodes[i].members, name_hash("notes"), 1)) {
			c.nodes[i].paused = true;
			paused++;
		}
	assert_int_equal(paused, DATA_CENTRES);
	cluster_put(&c, ORDER, "{}");
	cluster_run(&c, LEARNT_MAX_US);
	for (i = 0; i < c.n; i++)
		assert_true(c.nodes[i].paused || knows(&c.nodes[i], "dc1"));
	cluster_close(&c);
}

/* While the store is out, what was last known stays in force. */
static void orders_stay_while_the_store_is_out(void **state)
{
	struct store_faults down = {.down = true}, none = {0};
	struct cluster c;

	(void)state;
	begin(&c);
	cluster_put(&c, ORDER, "{}");
	assert_learnt(&c, "dc1", true);
	cluster_store_faults(&c, -1, &down);
	cluster_run(&c, 3 * SETTLE_US);
	assert_true(all_know(&c, "dc1", true));
	cluster_remove(&c, ORDER);
	cluster_store_faults(&c, -1, &none);
	assert_learnt(&c, "dc1", false);
	cluster_close(&c);
}

/* A store that came back from an older copy has lower revisions. */
static void restored_store_decides_after_a_complete_read(void **state)
{
	struct cluster c;

	(void)state;
	begin(&c);
	assert_int_equal(memory_store_save(c.shared), 0);
	cluster_put(&c, ORDER, "{}");
	assert_learnt(&c, "dc1", true);
	assert_int_equal(memory_store_restore(c.shared), 0);
	assert_learnt(&c, "dc1", false);
	cluster_put(&c, ORDER, "{}");
	assert_learnt(&c, "dc1", true);
	cluster_close(&c);
}

/* A second order began its move anew only where the first one was withdrawn. */
static void withdrawn_and_ordered_again(void **state)
{
	struct cluster c;

	(void)state;
	begin(&c);
	cluster_put(&c, ORDER, "{}");
	cluster_run(&c, 300 * USEC_PER_MSEC);
	cluster_remove(&c, ORDER);
	cluster_run(&c, 200 * USEC_PER_MSEC);
	cluster_put(&c, ORDER, "{}");
	assert_learnt(&c, "dc1", true);
	cluster_run(&c, SETTLE_US);
	assert_true(all_know(&c, "dc1", true));
	cluster_remove(&c, ORDER);
	cluster_put(&c, ORDER, "{}");
	cluster_remove(&c, ORDER);
	assert_learnt(&c, "dc1", false);
	cluster_run(&c, SETTLE_US);
	assert_true(all_know(&c, "dc1", false));
	cluster_close(&c);
}

/* A process that starts finds the order as old as it may be. */
static void started_node_takes_orders_for_in_force(void **state)
{
	const struct evacuation *e;
	struct cluster c;

	(void)state;
	begin(&c);
	cluster_put(&c, ORDER, "{}");
	cluster_run(&c, 2 * SETTLE_US);
	cluster_stop(&c, 4);
	cluster_start(&c, 4);
	assert_false(evacuations_set(c.nodes[4].evacuations)->known);
	assert_true(time_until(&c, "dc1", true, 4 * USEC_PER_SEC) <=
		    4 * USEC_PER_SEC);
	e = evacuation_set_find(evacuations_set(c.nodes[4].evacuations),
				name_hash("dc1"));
	assert_true(c.now - e->learnt_us >= EVACUATION_US);
	cluster_close(&c);
}

/*
 * A peer of an older build has read nothing of evacuations: its proof of a
 * fresh document must not keep a node from reading the store.
 */
static void proofs_of_older_builds_are_not_taken_over(void **state)
{
	struct store_faults down = {.down = true};
	struct cluster c;
	int i;

	(void)state;
	memset(&c, 0, sizeof(c));
	c.document = true;
	cluster_open_store(&c, 3, 1);
	cluster_put(&c, DOCUMENT_KEY, "1");
	cluster_run(&c, SETTLE_US);
	c.evacuations = true;
	cluster_stop(&c, 0);
	cluster_start(&c, 0);
	cluster_run(&c, SETTLE_US);
	assert_true(evacuations_set(c.nodes[0].evacuations)->known);
	store_set_faults(c.nodes[0].store, &down);
	cluster_run(&c, SETTLE_US);
	assert_true(notes_stale_us(c.nodes[0].notes, c.now) >=
		    SETTLE_US - USEC_PER_SEC);
	for (i = 1; i < 3; i++)
		assert_true(notes_stale_us(c.nodes[i].notes, c.now) <
			    2 * USEC_PER_SEC);
	cluster_close(&c);
}

/*
 * A node that got its document from a peer of an older build must go on asking
 * for the evacuations, as it serves nothing without them.
 */
static void missing_state_is_asked_for(void **state)
{
	struct store_faults down = {.down = true};
	struct cluster c;

	(void)state;
	memset(&c, 0, sizeof(c));
	c.document = true;
	cluster_open_store(&c, 6, 1);
	cluster_put(&c, DOCUMENT_KEY, "1");
	cluster_run(&c, SETTLE_US);
	c.evacuations = true;
	cluster_stop(&c, 0);
	cluster_start(&c, 0);
	cluster_run(&c, SETTLE_US);
	cluster_store_faults(&c, -1, &down);
	cluster_run(&c, SETTLE_US);
	cluster_stop(&c, 1);
	cluster_start(&c, 1);
	store_set_faults(c.nodes[1].store, &down);
	cluster_run(&c, 4 * USEC_PER_SEC);
	assert_int_equal(c.nodes[1].number, 1);
	assert_true(evacuations_set(c.nodes[1].evacuations)->known);
	cluster_close(&c);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(orders_reach_all_nodes),
		cmocka_unit_test(watched_orders_reach_all_nodes),
		cmocka_unit_test(reads_cost_no_more_calls),
		cmocka_unit_test(orders_are_read_without_a_watch),
		cmocka_unit_test(truncated_reads_continue),
		cmocka_unit_test(nodes_without_the_store_learn_from_peers),
		cmocka_unit_test(nodes_learn_when_readers_are_paused),
		cmocka_unit_test(orders_stay_while_the_store_is_out),
		cmocka_unit_test(restored_store_decides_after_a_complete_read),
		cmocka_unit_test(withdrawn_and_ordered_again),
		cmocka_unit_test(started_node_takes_orders_for_in_force),
		cmocka_unit_test(proofs_of_older_builds_are_not_taken_over),
		cmocka_unit_test(missing_state_is_asked_for),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
