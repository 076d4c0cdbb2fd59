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

static bool is_watcher(const struct cluster *w, int i)
{
	return members_chosen(w->nodes[i].members, name_hash("notes"), 2);
}

static void inject_faults(struct cluster *w, const struct fault_case *t)
{
	struct store_faults down = {.down = true};
	struct store_faults slow = {.latency_us = t->store_latency_us};
	int i;

	w->loss_percent = t->loss_percent;
	w->duplicate_percent = t->duplicate_percent;
	w->delay_us = t->delay_us;
	w->partitioned = t->partitioned;
	cluster_store_faults(w, -1, &slow);
	if (t->store_down_data_centre >= 0)
		cluster_store_faults(w, t->store_down_data_centre, &down);
	for (i = 1; t->kill_watchers && i < w->n; i += 2)
		if (is_watcher(w, i))
			cluster_stop(w, i);
}

static void clear_faults(struct cluster *w)
{
	struct store_faults none = {0};

	w->loss_percent = 0;
	w->duplicate_percent = 0;
	w->partitioned = false;
	cluster_store_faults(w, -1, &none);
}

static void notes_reach_all_nodes(void **state)
{
	const struct fault_case *t = fault_cases;
	struct append_result result;
	struct cluster w;
	int i;

	(void)state;
	for (; t < fault_cases + ROWS(fault_cases); t++) {
		cluster_begin(&w, 10, 2);
		inject_faults(&w, t);
		for (i = 0; i < 12; i++) {
			cluster_append(&w, i % 2 ? 0 : 4,
				       rate_note(i, t->padding), NULL, &result);
			if (result.status != APPEND_ACCEPTED)
				fail_msg("%s: %s", t->name, result.text);
		}
		if (t->in_force_us &&
		    !cluster_wait_number(&w, 13, t->in_force_us))
			fail_msg("%s: not in force in time", t->name);
		clear_faults(&w);
		if (!cluster_wait_number(&w, 13, RECOVERY_US))
			fail_msg("%s: not in force after recovery", t->name);
		cluster_assert_same(&w, 13);
		cluster_close(&w);
	}
}

static void withdrawn_key_reaches_connected_nodes(void **state)
{
	static const uint8_t hash[KEY_HASH_SIZE];
	struct store_faults down = {.down = true}, none = {0};
	struct append_result result;
	struct cluster w;
	int i;

	(void)state;
	cluster_begin(&w, 9, 3);
	cluster_store_faults(&w, 1, &down);
	cluster_store_faults(&w, 2, &down);
	cluster_run(&w, 60 * USEC_PER_SEC);
	cluster_append(
		&w, 0,
		"{\"release\": \"w\", \"withdrawn\": {\"keys\": [\"k\"]}}",
		NULL, &result);
	assert_true(cluster_wait_number(&w, 2, IN_FORCE_US));
	for (i = 0; i < w.n; i++)
		assert_null(config_key(notes_config(w.nodes[i].notes), hash));
	/* Nodes without the store are confirmed up to date by peers. */
	cluster_run(&w, 60 * USEC_PER_SEC);
	for (i = 0; i < w.n; i++)
		assert_true(notes_stale_us(w.nodes[i].notes, w.now) <
			    60 * USEC_PER_SEC);
	w.partitioned = true;
	cluster_run(&w, 600 * USEC_PER_SEC);
	assert_true(notes_stale_us(w.nodes[0].notes, w.now) <
		    60 * USEC_PER_SEC);
	assert_true(notes_stale_us(w.nodes[1].notes, w.now) >
		    500 * USEC_PER_SEC);
	w.partitioned = false;
	cluster_store_faults(&w, -1, &none);
	cluster_run(&w, RECOVERY_US);
	assert_true(notes_stale_us(w.nodes[1].notes, w.now) < RECOVERY_US);
	cluster_close(&w);
}

static void new_node_loads_from_peers(void **state)
{
	struct store_faults down = {.down = true};
	struct append_result result;
	struct cluster w;
	int i;

	(void)state;
	cluster_begin(&w, 6, 2);
	cluster_stop(&w, 4);
	for (i = 0; i < 5; i++)
		cluster_append(&w, 0, rate_note(i, 0), NULL, &result);
	cluster_store_faults(&w, -1, &down);
	cluster_run(&w, 600 * USEC_PER_SEC);
	cluster_start(&w, 4);
	store_set_faults(w.nodes[4].store, &down);
	assert_null(notes_config(w.nodes[4].notes));
	assert_true(cluster_wait_number(&w, 6, 5 * USEC_PER_SEC));
	cluster_assert_same(&w, 6);
	/* Staleness counts from the confirmation, not from the start. */
	cluster_run(&w, RECOVERY_US);
	assert_true(notes_stale_us(w.nodes[4].notes, w.now) >
		    500 * USEC_PER_SEC);
	cluster_close(&w);
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
static void append_notes(struct cluster *w, int from, int to)
{
	struct append_result result;
	int i;

	for (i = from; i < to; i++) {
		cluster_append(w, 0, rate_note(i, 0), NULL, &result);
		assert_int_equal(result.status, APPEND_ACCEPTED);
		if (i % 600 == 599)
			cluster_run(w, 60 * USEC_PER_SEC);
	}
}

static void snapshots_replace_old_notes(void **state)
{
	struct store_faults down = {.down = true}, none = {0};
	struct append_result result;
	struct cluster w;

	(void)state;
	cluster_begin(&w, 4, 2);
	append_notes(&w, 0, 900);
	/* Data centre 1 falls behind, by less than the note cache holds. */
	w.partitioned = true;
	cluster_store_faults(&w, 1, &down);
	append_notes(&w, 900, 1800);
	assert_int_equal(w.nodes[1].number, 901);
	/* Two snapshots, notes/head, snapshot/head, notes since the older. */
	assert_int_equal(count_keys(w.nodes[0].store, "notes/", w.now), 601);
	assert_int_equal(count_keys(w.nodes[0].store, "snapshot/", w.now), 3);
	cluster_store_faults(&w, 1, &none);
	assert_true(cluster_wait_number(&w, 1801, RECOVERY_US));
	cluster_assert_same(&w, 1801);
	/* New nodes: one loads from the store alone, one from peers alone. */
	cluster_stop(&w, 2);
	w.loss_percent = 100;
	cluster_start(&w, 2);
	assert_true(cluster_wait_number(&w, 1801, RECOVERY_US));
	w.loss_percent = 0;
	w.partitioned = false;
	cluster_stop(&w, 3);
	cluster_start(&w, 3);
	store_set_faults(w.nodes[3].store, &down);
	assert_true(cluster_wait_number(&w, 1801, RECOVERY_US));
	cluster_assert_same(&w, 1801);
	/* A release from before the snapshot is still recognised. */
	cluster_append(&w, 2, rate_note(3, 0), NULL, &result);
	assert_int_equal(result.status, APPEND_REPEATED);
	assert_int_equal(result.number, 5);
	cluster_close(&w);
}

static void outdated_messages_are_ignored(void **state)
{
	struct peer_msg old = {.kind = PEER_NOTE},
			snapshot = {.kind = PEER_SNAPSHOT};
	struct append_result result;
	struct cluster w;
	int i;

	(void)state;
	cluster_begin(&w, 2, 1);
	assert_int_equal(config_pack(notes_config(w.nodes[0].notes),
				     &snapshot.snapshot.bytes),
			 0);
	for (i = 0; i < 3; i++)
		cluster_append(&w, 0, rate_note(i, 0), NULL, &result);
	assert_true(cluster_wait_number(&w, 4, IN_FORCE_US));
	old.from = w.nodes[0].addr;
	old.note.number = 2;
	buffer_printf(&old.note.text, "%s", rate_note(0, 0));
	snapshot.from = w.nodes[0].addr;
	snapshot.snapshot.number = 1;
	snapshot.snapshot.parts = 1;
	notes_receive(w.nodes[1].notes, &old, w.now);
	notes_receive(w.nodes[1].notes, &snapshot, w.now);
	/* An old snapshot sent with a false, higher number is ignored too. */
	snapshot.snapshot.number = 99;
	notes_receive(w.nodes[1].notes, &snapshot, w.now);
	cluster_run(&w, USEC_PER_SEC);
	cluster_assert_same(&w, 4);
	buffer_free(&old.note.text);
	buffer_free(&snapshot.snapshot.bytes);
	cluster_close(&w);
}

static void invalid_note_does_not_block_valid_one(void **state)
{
	struct peer_msg bad = {.kind = PEER_NOTE};
	struct append_result result;
	struct cluster w;

	(void)state;
	cluster_begin(&w, 4, 2);
	bad.from = w.nodes[0].addr;
	bad.note.number = 2;
	buffer_printf(&bad.note.text, "{\"release\": \"x\", \"adds\": 1}");
	notes_receive(w.nodes[3].notes, &bad, w.now);
	assert_int_equal(w.nodes[3].number, 1);
	cluster_append(&w, 0, rate_note(0, 0), NULL, &result);
	assert_true(cluster_wait_number(&w, 2, IN_FORCE_US));
	cluster_assert_same(&w, 2);
	buffer_free(&bad.note.text);
	cluster_close(&w);
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
