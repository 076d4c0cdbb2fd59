/*
 * Confirmed changes of the document that came into force late, were undone, or
 * were held for the newest ones too long.
 */
#include "notes_cluster.h"

#define NODES 6
#define START_US (8 * USEC_PER_SEC)
#define SLOW_STORE_US (700 * USEC_PER_MSEC)
#define PHASES 40 /* of the reads when the fault begins, in steps */
#define PHASE_US (50 * USEC_PER_MSEC)

/* Opens a cluster of two data centres with document 8 in force. */
static void open_in_force(struct cluster *c, int nodes)
{
	cluster_open_document(c, nodes, 2);
	cluster_put(c, DOCUMENT_KEY, "8");
	cluster_run(c, START_US);
	assert_true(all_at_number(c, 8));
}

static bool is_document_reader(const struct cluster *c, int i)
{
	return members_chosen(c->nodes[i].members, name_hash("notes"), 1);
}

/* Returns a node that relies on its peers. */
static int other_than_reader(const struct cluster *c)
{
	int i = 0;

	while (is_document_reader(c, i))
		i++;
	return i;
}

static void silence_all(struct cluster *c)
{
	int i;

	for (i = 0; i < c->n; i++)
		store_silence(c->nodes[i].store, c->now);
}

/*
 * A read of the store that got no answer held up the next one until its
 * timeout, so that a change was in force only after 3 s.
 */
static void unanswered_read_does_not_hold_up_the_next(void **state)
{
	struct store_faults slow = {.latency_us = 100 * USEC_PER_MSEC};
	struct cluster c;
	int phase, i;

	(void)state;
	for (phase = 0; phase < PHASES; phase++) {
		open_in_force(&c, 2);
		cluster_store_faults(&c, -1, &slow);
		cluster_run(&c, 2 * USEC_PER_SEC);
		cluster_run(&c, phase * PHASE_US);
		for (i = 0; i < 3; i++) {
			silence_all(&c);
			cluster_run(&c, 450 * USEC_PER_MSEC);
		}
		silence_all(&c);
		cluster_put(&c, DOCUMENT_KEY, "9");
		if (!cluster_wait_number(&c, 9, IN_FORCE_US))
			fail_msg("phase %d: not in force in time", phase);
		cluster_close(&c);
	}
}

/*
 * A host that knew of a newer number pulled it over a silent link, and read
 * the store only when its own proof had become old.
 */
static void silent_links_do_not_delay_a_change(void **state)
{
	struct store_faults slow = {.latency_us = SLOW_STORE_US};
	struct cluster c;
	int phase;

	(void)state;
	for (phase = 0; phase < PHASES; phase++) {
		open_in_force(&c, NODES);
		cluster_store_faults(&c, -1, &slow);
		cluster_run(&c, 2 * USEC_PER_SEC);
		cluster_run(&c, phase * PHASE_US);
		c.links_silent = true;
		cluster_put(&c, DOCUMENT_KEY, "9");
		if (!cluster_wait_number(&c, 9, IN_FORCE_US))
			fail_msg("phase %d: not in force in time", phase);
		cluster_close(&c);
	}
}

/*
 * Runs on, and asserts that no node with a number below newest says that it
 * was the newest one later than at_us.
 */
static void run_and_check_proofs(struct cluster *c, uint64_t newest,
				 int64_t at_us, int64_t us)
{
	int64_t until = c->now + us;
	int i;

	while (c->now < until) {
		run_step(c);
		for (i = 0; i < c->n; i++)
			if (!c->nodes[i].paused && c->nodes[i].number < newest)
				assert_true(c->now - notes_stale_us(
							     c->nodes[i].notes,
							     c->now) <=
					    at_us);
	}
}

/*
 * A paused host took messages that had waited for it as proof that its
 * configuration was the newest, and served withdrawn keys on.
 */
static void paused_node_takes_no_proof_from_waiting_messages(void **state)
{
	struct cluster c;
	int64_t acked_us;
	int i;

	(void)state;
	open_in_force(&c, NODES);
	i = other_than_reader(&c);
	c.nodes[i].paused = true;
	cluster_run(&c, 4 * USEC_PER_SEC);
	cluster_put(&c, DOCUMENT_KEY, "9");
	acked_us = c.now;
	cluster_run(&c, 6 * USEC_PER_SEC);
	c.nodes[i].paused = false;
	run_and_check_proofs(&c, 9, acked_us, 2 * USEC_PER_SEC);
	assert_true(all_at_number(&c, 9));
	cluster_close(&c);
}

/*
 * The age of a proof did not count the time that its message was under way,
 * so that a delayed one proved too much.
 */
static void delayed_messages_prove_nothing_too_young(void **state)
{
	struct store_faults down = {.down = true};
	struct cluster c;
	int64_t acked_us;

	(void)state;
	open_in_force(&c, NODES);
	c.delay_us = 5 * USEC_PER_SEC;
	cluster_run(&c, 6 * USEC_PER_SEC);
	/* The nodes of one data centre have to rely on messages alone. */
	cluster_store_faults(&c, 1, &down);
	cluster_put(&c, DOCUMENT_KEY, "9");
	acked_us = c.now;
	run_and_check_proofs(&c, 9, acked_us, 8 * USEC_PER_SEC);
	cluster_close(&c);
}

/*
 * A process that started beside a store that was back from an older copy put
 * the copy in force until it heard from a peer.
 */
static void new_process_asks_peers_before_it_believes_a_copy(void **state)
{
	struct cluster c;
	int64_t until;

	(void)state;
	open_in_force(&c, NODES);
	assert_int_equal(memory_store_save(c.shared), 0);
	cluster_put(&c, DOCUMENT_KEY, "9");
	assert_true(cluster_wait_number(&c, 9, IN_FORCE_US));
	cluster_stop(&c, 0);
	assert_int_equal(memory_store_restore(c.shared), 0);
	cluster_start(&c, 0);
	for (until = c.now + IN_FORCE_US; c.now < until; run_step(&c))
		assert_int_not_equal(c.nodes[0].number, 8);
	assert_int_equal(c.nodes[0].number, 9);
	cluster_close(&c);
}

/*
 * A process that had waited for its peers put its document in force without the
 * proof that it had read, and refused requests with keys for a second.
 */
static void first_document_comes_with_its_proof(void **state)
{
	struct cluster c;

	(void)state;
	open_in_force(&c, NODES);
	cluster_stop(&c, 0);
	cluster_run(&c, USEC_PER_SEC);
	cluster_start(&c, 0);
	while (!c.nodes[0].number)
		run_step(&c);
	assert_true(notes_stale_us(c.nodes[0].notes, c.now) < USEC_PER_SEC);
	cluster_close(&c);
}

/* Changes that come while another one is being spread, and one that is bad. */
static void bad_document_between_two_good_ones_changes_nothing(void **state)
{
	struct cluster c;
	int i;

	(void)state;
	open_in_force(&c, NODES);
	cluster_put(&c, DOCUMENT_KEY, "9");
	cluster_run(&c, 20 * USEC_PER_MSEC);
	cluster_put(&c, DOCUMENT_KEY, INVALID_DOCUMENT);
	assert_true(cluster_wait_number(&c, 9, IN_FORCE_US));
	cluster_put(&c, DOCUMENT_KEY, "11");
	cluster_put(&c, DOCUMENT_KEY, "14");
	assert_true(cluster_wait_number(&c, 14, IN_FORCE_US));
	/* A lower number that the store holds under a newer revision. */
	cluster_put(&c, DOCUMENT_KEY, "13");
	cluster_run(&c, 2 * IN_FORCE_US);
	assert_true(all_at_number(&c, 14));
	for (i = 0; i < NODES; i++)
		assert_int_equal(c.nodes[i].non_increasing, 0);
	cluster_close(&c);
}

/* A reader that is cut off from its peers, from the store, or killed. */
static void change_is_in_force_without_its_reader(void **state)
{
	struct store_faults down = {.down = true};
	struct cluster c;
	int fault, i;

	(void)state;
	for (fault = 0; fault < 3; fault++) {
		open_in_force(&c, NODES);
		for (i = 0; i < NODES; i++) {
			if (!is_document_reader(&c, i))
				continue;
			if (fault == 0)
				store_set_faults(c.nodes[i].store, &down);
			else if (fault == 1)
				c.nodes[i].paused = true;
			else
				cluster_stop(&c, i);
		}
		cluster_put(&c, DOCUMENT_KEY, "9");
		cluster_run(&c, IN_FORCE_US);
		for (i = 0; i < NODES; i++)
			if (c.nodes[i].up && !c.nodes[i].paused &&
			    c.nodes[i].number != 9)
				fail_msg("fault %d: node %d is late", fault, i);
		cluster_close(&c);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(unanswered_read_does_not_hold_up_the_next),
		cmocka_unit_test(silent_links_do_not_delay_a_change),
		cmocka_unit_test(
			paused_node_takes_no_proof_from_waiting_messages),
		cmocka_unit_test(delayed_messages_prove_nothing_too_young),
		cmocka_unit_test(
			new_process_asks_peers_before_it_believes_a_copy),
		cmocka_unit_test(first_document_comes_with_its_proof),
		cmocka_unit_test(
			bad_document_between_two_good_ones_changes_nothing),
		cmocka_unit_test(change_is_in_force_without_its_reader),
	};

	log_set_level(LOG_EMERG);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
