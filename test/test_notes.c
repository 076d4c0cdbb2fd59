#include "notes_cluster.h"

#define ROWS(a) (sizeof(a) / sizeof(*(a)))

/* Faults while notes are appended by nodes of data centre 0. */
struct fault_case {
	const char *name;
	int loss_percent;
	int duplicate_percent;
	int64_t delay_us;
	int64_t store_latency_us;
	int padding;
	int store_down_data_centre; /* or -1 */
	bool partitioned;
	bool kill_watchers;
	int64_t in_force_us; /* limit with the faults; 0: no check */
};

static const struct fault_case fault_cases[] = {
	{.name = "none",
	 .store_down_data_centre = -1,
	 .in_force_us = IN_FORCE_US},
	{.name = "too large for datagrams",
	 .store_down_data_centre = -1,
	 .padding = 2000,
	 .in_force_us = IN_FORCE_US},
	{.name = "loss, duplicates and delay",
	 .store_down_data_centre = -1,
	 .loss_percent = 40,
	 .duplicate_percent = 40,
	 .delay_us = 300 * USEC_PER_MSEC,
	 .in_force_us = 2 * IN_FORCE_US},
	{.name = "slow store",
	 .store_down_data_centre = -1,
	 .store_latency_us = 700 * USEC_PER_MSEC,
	 .in_force_us = IN_FORCE_US},
	{.name = "watchers killed",
	 .store_down_data_centre = -1,
	 .kill_watchers = true,
	 .in_force_us = IN_FORCE_US},
	{.name = "store down in a data centre",
	 .store_down_data_centre = 1,
	 .in_force_us = IN_FORCE_US},
	{.name = "store down in a data centre, with loss",
	 .store_down_data_centre = 1,
	 .loss_percent = 40,
	 .duplicate_percent = 40,
	 .delay_us = 300 * USEC_PER_MSEC,
	 .in_force_us = 5 * IN_FORCE_US},
	{.name = "partition, store reachable by both",
	 .store_down_data_centre = -1,
	 .partitioned = true,
	 .in_force_us = IN_FORCE_US},
	{.name = "partition, store down in a data centre",
	 .store_down_data_centre = 1,
	 .partitioned = true},
};

static bool is_watcher(const struct cluster *c, int i)
{
	return members_chosen(c->nodes[i].members, name_hash("notes"), 2);
}

static void inject_faults(struct cluster *c, const struct fault_case *t)
{
	struct store_faults down = {.down = true};
	struct store_faults slow = {.latency_us = t->store_latency_us};
	int i;

	c->loss_percent = t->loss_percent;
	c->duplicate_percent = t->duplicate_percent;
	c->delay_us = t->delay_us;
	c->partitioned = t->partitioned;
	cluster_store_faults(c, -1, &slow);
	if (t->store_down_data_centre >= 0)
		cluster_store_faults(c, t->store_down_data_centre, &down);
	for (i = 1; t->kill_watchers && i < c->n; i += 2)
		if (is_watcher(c, i))
			cluster_stop(c, i);
}

static void clear_faults(struct cluster *c)
{
	struct store_faults none = {0};

	c->loss_percent = 0;
	c->duplicate_percent = 0;
	c->partitioned = false;
	cluster_store_faults(c, -1, &none);
}

static void notes_reach_all_nodes(void **state)
{
	const struct fault_case *t = fault_cases;
	struct append_result result;
	struct cluster c;
	int i;

	(void)state;
	for (; t < fault_cases + ROWS(fault_cases); t++) {
		cluster_begin(&c, 10, 2);
		inject_faults(&c, t);
		for (i = 0; i < 12; i++) {
			cluster_append(&c, i % 2 ? 0 : 4,
				       rate_note(i, t->padding), NULL, &result);
			if (result.status != APPEND_ACCEPTED)
				fail_msg("%s: %s", t->name, result.text);
		}
		if (t->in_force_us &&
		    !cluster_wait_number(&c, 13, t->in_force_us))
			fail_msg("%s: not in force in time", t->name);
		clear_faults(&c);
		if (!cluster_wait_number(&c, 13, RECOVERY_US))
			fail_msg("%s: not in force after recovery", t->name);
		cluster_assert_same(&c, 13);
		cluster_close(&c);
	}
}

static void withdrawn_key_reaches_connected_nodes(void **state)
{
	static const uint8_t hash[KEY_HASH_SIZE];
	struct store_faults down = {.down = true}, none = {0};
	struct append_result result;
	struct cluster c;
	int i;

	(void)state;
	cluster_begin(&c, 9, 3);
	cluster_store_faults(&c, 1, &down);
	cluster_store_faults(&c, 2, &down);
	cluster_run(&c, 60 * USEC_PER_SEC);
	cluster_append(
		&c, 0,
		"{\"release\": \"w\", \"withdrawn\": {\"keys\": [\"k\"]}}",
		NULL, &result);
	assert_true(cluster_wait_number(&c, 2, IN_FORCE_US));
	for (i = 0; i < c.n; i++)
		assert_null(config_key(notes_config(c.nodes[i].notes), hash));
	/* Nodes without the store are confirmed up to date by peers. */
	cluster_run(&c, 60 * USEC_PER_SEC);
	for (i = 0; i < c.n; i++)
		assert_true(notes_stale_us(c.nodes[i].notes, c.now) <
			    60 * USEC_PER_SEC);
	c.partitioned = true;
	cluster_run(&c, 600 * USEC_PER_SEC);
	assert_true(notes_stale_us(c.nodes[0].notes, c.now) <
		    60 * USEC_PER_SEC);
	assert_true(notes_stale_us(c.nodes[1].notes, c.now) >
		    500 * USEC_PER_SEC);
	c.partitioned = false;
	cluster_store_faults(&c, -1, &none);
	cluster_run(&c, RECOVERY_US);
	assert_true(notes_stale_us(c.nodes[1].notes, c.now) < RECOVERY_US);
	cluster_close(&c);
}

static void new_node_loads_from_peers(void **state)
{
	struct store_faults down = {.down = true};
	struct append_result result;
	struct cluster c;
	int i;

	(void)state;
	cluster_begin(&c, 6, 2);
	cluster_stop(&c, 4);
	for (i = 0; i < 5; i++)
		cluster_append(&c, 0, rate_note(i, 0), NULL, &result);
	cluster_store_faults(&c, -1, &down);
	cluster_run(&c, 600 * USEC_PER_SEC);
	cluster_start(&c, 4);
	store_set_faults(c.nodes[4].store, &down);
	assert_null(notes_config(c.nodes[4].notes));
	assert_true(cluster_wait_number(&c, 6, 5 * USEC_PER_SEC));
	cluster_assert_same(&c, 6);
	/* Staleness counts from the confirmation, not from the start. */
	cluster_run(&c, RECOVERY_US);
	assert_true(notes_stale_us(c.nodes[4].notes, c.now) >
		    500 * USEC_PER_SEC);
	cluster_close(&c);
}

static void on_list(void *ctx, uint64_t tag, const struct store_result *r,
		    int64_t now)
{
	(void)tag;
	(void)now;
	*(size_t *)ctx = r->n;
}

static size_t count_keys(struct store *s, const char *prefix, int64_t now)
{
	struct store_op op = {.kind = STORE_LIST, .list = {.prefix = prefix}};
	size_t n = 0;
	struct store_done done = {.ctx = &n, .fn = on_list};

	store_submit(s, &op, &done, now);
	store_tick(s, now);
	return n;
}

/* Appends notes, with pauses long enough to write each due snapshot. */
static void append_notes(struct cluster *c, int from, int to)
{
	struct append_result result;
	int i;

	for (i = from; i < to; i++) {
		cluster_append(c, 0, rate_note(i, 0), NULL, &result);
		assert_int_equal(result.status, APPEND_ACCEPTED);
		if (i % 600 == 599)
			cluster_run(c, 60 * USEC_PER_SEC);
	}
}

static void snapshots_replace_old_notes(void **state)
{
	struct store_faults down = {.down = true}, none = {0};
	struct append_result result;
	struct cluster c;

	(void)state;
	cluster_begin(&c, 4, 2);
	append_notes(&c, 0, 900);
	/* Data centre 1 falls behind, by less than the note cache holds. */
	c.partitioned = true;
	cluster_store_faults(&c, 1, &down);
	append_notes(&c, 900, 1800);
	assert_int_equal(c.nodes[1].number, 901);
	/* Two snapshots, notes/head, snapshot/head, notes since the older. */
	assert_int_equal(count_keys(c.nodes[0].store, "notes/", c.now), 601);
	assert_int_equal(count_keys(c.nodes[0].store, "snapshot/", c.now), 3);
	cluster_store_faults(&c, 1, &none);
	assert_true(cluster_wait_number(&c, 1801, RECOVERY_US));
	cluster_assert_same(&c, 1801);
	/* New nodes: one loads from the store alone, one from peers alone. */
	cluster_stop(&c, 2);
	c.loss_percent = 100;
	cluster_start(&c, 2);
	assert_true(cluster_wait_number(&c, 1801, RECOVERY_US));
	c.loss_percent = 0;
	c.partitioned = false;
	cluster_stop(&c, 3);
	cluster_start(&c, 3);
	store_set_faults(c.nodes[3].store, &down);
	assert_true(cluster_wait_number(&c, 1801, RECOVERY_US));
	cluster_assert_same(&c, 1801);
	/* A release from before the snapshot is still recognised. */
	cluster_append(&c, 2, rate_note(3, 0), NULL, &result);
	assert_int_equal(result.status, APPEND_REPEATED);
	assert_int_equal(result.number, 5);
	cluster_close(&c);
}

static void outdated_messages_are_ignored(void **state)
{
	struct peer_msg old = {.kind = PEER_NOTE},
			snapshot = {.kind = PEER_SNAPSHOT};
	struct append_result result;
	struct cluster c;
	int i;

	(void)state;
	cluster_begin(&c, 2, 1);
	assert_int_equal(config_pack(notes_config(c.nodes[0].notes),
				     &snapshot.snapshot.bytes),
			 0);
	for (i = 0; i < 3; i++)
		cluster_append(&c, 0, rate_note(i, 0), NULL, &result);
	assert_true(cluster_wait_number(&c, 4, IN_FORCE_US));
	old.from = c.nodes[0].addr;
	old.note.number = 2;
	buffer_printf(&old.note.text, "%s", rate_note(0, 0));
	snapshot.from = c.nodes[0].addr;
	snapshot.snapshot.number = 1;
	snapshot.snapshot.parts = 1;
	notes_receive(c.nodes[1].notes, &old, c.now);
	notes_receive(c.nodes[1].notes, &snapshot, c.now);
	/* An old snapshot sent with a false, higher number is ignored too. */
	snapshot.snapshot.number = 99;
	notes_receive(c.nodes[1].notes, &snapshot, c.now);
	cluster_run(&c, USEC_PER_SEC);
	cluster_assert_same(&c, 4);
	buffer_free(&old.note.text);
	buffer_free(&snapshot.snapshot.bytes);
	cluster_close(&c);
}

static void invalid_note_does_not_block_valid_one(void **state)
{
	struct peer_msg bad = {.kind = PEER_NOTE};
	struct append_result result;
	struct cluster c;

	(void)state;
	cluster_begin(&c, 4, 2);
	bad.from = c.nodes[0].addr;
	bad.note.number = 2;
	buffer_printf(&bad.note.text, "{\"release\": \"x\", \"adds\": 1}");
	notes_receive(c.nodes[3].notes, &bad, c.now);
	assert_int_equal(c.nodes[3].number, 1);
	cluster_append(&c, 0, rate_note(0, 0), NULL, &result);
	assert_true(cluster_wait_number(&c, 2, IN_FORCE_US));
	cluster_assert_same(&c, 2);
	buffer_free(&bad.note.text);
	cluster_close(&c);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(notes_reach_all_nodes),
		cmocka_unit_test(withdrawn_key_reaches_connected_nodes),
		cmocka_unit_test(new_node_loads_from_peers),
		cmocka_unit_test(snapshots_replace_old_notes),
		cmocka_unit_test(outdated_messages_are_ignored),
		cmocka_unit_test(invalid_note_does_not_block_valid_one),
	};

	log_set_level(LOG_EMERG);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
