#include "notes_world.h"

#define ROWS(a) (sizeof(a) / sizeof(*(a)))

/* Faults while notes are written; the writer is in data centre 0. */
struct trouble {
	const char *name;
	int loss_percent;
	int twice_percent;
	int64_t delay_us;
	int64_t store_latency_us;
	int pad;
	int store_down_in; /* data centre whose store is out, or -1 */
	bool apart;
	bool kill_watchers;
	int64_t in_force_us; /* before healing; 0: only after it */
};

static const struct trouble troubles[] = {
	{.name = "none", .store_down_in = -1, .in_force_us = IN_FORCE_US},
	{.name = "too large for datagrams",
	 .store_down_in = -1,
	 .pad = 2000,
	 .in_force_us = IN_FORCE_US},
	{.name = "lost, doubled, late",
	 .store_down_in = -1,
	 .loss_percent = 40,
	 .twice_percent = 40,
	 .delay_us = 300 * USEC_PER_MSEC,
	 .in_force_us = 2 * IN_FORCE_US},
	{.name = "store slow",
	 .store_down_in = -1,
	 .store_latency_us = 700 * USEC_PER_MSEC,
	 .in_force_us = IN_FORCE_US},
	{.name = "watchers die",
	 .store_down_in = -1,
	 .kill_watchers = true,
	 .in_force_us = IN_FORCE_US},
	{.name = "a data centre without store",
	 .store_down_in = 1,
	 .in_force_us = IN_FORCE_US},
	{.name = "that, with losses",
	 .store_down_in = 1,
	 .loss_percent = 40,
	 .twice_percent = 40,
	 .delay_us = 300 * USEC_PER_MSEC,
	 .in_force_us = 5 * IN_FORCE_US},
	{.name = "data centres apart, both with the store",
	 .store_down_in = -1,
	 .apart = true,
	 .in_force_us = IN_FORCE_US},
	{.name = "a data centre cut off", .store_down_in = 1, .apart = true},
};

static bool world_watches(const struct world *w, int i)
{
	return members_chosen(w->nodes[i].members, name_hash("notes"), 2);
}

static void begin(struct world *w, const struct trouble *t)
{
	struct store_faults down = {.down = true};
	struct store_faults slow = {.latency_us = t->store_latency_us};
	int i;

	w->loss_percent = t->loss_percent;
	w->twice_percent = t->twice_percent;
	w->delay_us = t->delay_us;
	w->apart = t->apart;
	world_store_faults(w, -1, &slow);
	if (t->store_down_in >= 0)
		world_store_faults(w, t->store_down_in, &down);
	for (i = 1; t->kill_watchers && i < w->n; i += 2)
		if (world_watches(w, i))
			world_stop(w, i);
}

static void heal(struct world *w)
{
	struct store_faults none = {0};

	w->loss_percent = 0;
	w->twice_percent = 0;
	w->apart = false;
	world_store_faults(w, -1, &none);
}

static void notes_get_everywhere(void **state)
{
	const struct trouble *t = troubles;
	struct outcome_seen seen;
	struct world w;
	int i;

	(void)state;
	for (; t < troubles + ROWS(troubles); t++) {
		world_begin(&w, 10, 2);
		begin(&w, t);
		for (i = 0; i < 12; i++) {
			world_append(&w, i % 2 ? 0 : 4, rate_note(i, t->pad),
				     NULL, &seen);
			if (seen.status != APPEND_ACCEPTED)
				fail_msg("%s: %s", t->name, seen.text);
		}
		if (t->in_force_us && !world_reaches(&w, 13, t->in_force_us))
			fail_msg("%s: not in force in time", t->name);
		heal(&w);
		if (!world_reaches(&w, 13, HEAL_US))
			fail_msg("%s: not in force after healing", t->name);
		world_assert_same(&w, 13);
		world_close(&w);
	}
}

static void a_withdrawn_key_reaches_all_that_can_be_reached(void **state)
{
	static const uint8_t hash[KEY_HASH_SIZE];
	struct store_faults down = {.down = true}, none = {0};
	struct outcome_seen seen;
	struct world w;
	int i;

	(void)state;
	world_begin(&w, 9, 3);
	world_store_faults(&w, 1, &down);
	world_store_faults(&w, 2, &down);
	world_run(&w, 60 * USEC_PER_SEC);
	world_append(&w, 0,
		     "{\"release\": \"w\", \"withdrawn\": {\"keys\": [\"k\"]}}",
		     NULL, &seen);
	assert_true(world_reaches(&w, 2, IN_FORCE_US));
	for (i = 0; i < w.n; i++)
		assert_null(config_key(notes_config(w.nodes[i].notes), hash));
	/* They know that they are up to date, by way of peers. */
	world_run(&w, 60 * USEC_PER_SEC);
	for (i = 0; i < w.n; i++)
		assert_true(notes_stale_us(w.nodes[i].notes, w.now) <
			    60 * USEC_PER_SEC);
	w.apart = true;
	world_run(&w, 600 * USEC_PER_SEC);
	assert_true(notes_stale_us(w.nodes[0].notes, w.now) <
		    60 * USEC_PER_SEC);
	assert_true(notes_stale_us(w.nodes[1].notes, w.now) >
		    500 * USEC_PER_SEC);
	w.apart = false;
	world_store_faults(&w, -1, &none);
	world_run(&w, HEAL_US);
	assert_true(notes_stale_us(w.nodes[1].notes, w.now) < HEAL_US);
	world_close(&w);
}

static void a_new_node_starts_from_its_peers(void **state)
{
	struct store_faults down = {.down = true};
	struct outcome_seen seen;
	struct world w;
	int i;

	(void)state;
	world_begin(&w, 6, 2);
	world_stop(&w, 4);
	for (i = 0; i < 5; i++)
		world_append(&w, 0, rate_note(i, 0), NULL, &seen);
	world_store_faults(&w, -1, &down);
	world_run(&w, 600 * USEC_PER_SEC);
	world_start(&w, 4);
	store_set_faults(w.nodes[4].store, &down);
	assert_null(notes_config(w.nodes[4].notes));
	assert_true(world_reaches(&w, 6, 5 * USEC_PER_SEC));
	world_assert_same(&w, 6);
	/* It tells how old its knowledge is, not how long it has run. */
	world_run(&w, HEAL_US);
	assert_true(notes_stale_us(w.nodes[4].notes, w.now) >
		    500 * USEC_PER_SEC);
	world_close(&w);
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

/* Writes notes so slowly that every snapshot that falls due is written. */
static void write_rounds(struct world *w, int from, int to)
{
	struct outcome_seen seen;
	int i;

	for (i = from; i < to; i++) {
		world_append(w, 0, rate_note(i, 0), NULL, &seen);
		assert_int_equal(seen.status, APPEND_ACCEPTED);
		if (i % 600 == 599)
			world_run(w, 60 * USEC_PER_SEC);
	}
}

static void snapshots_replace_old_notes(void **state)
{
	struct store_faults down = {.down = true}, none = {0};
	struct outcome_seen seen;
	struct world w;

	(void)state;
	world_begin(&w, 4, 2);
	write_rounds(&w, 0, 900);
	/* Data centre 1 falls behind by less than the kept notes. */
	w.apart = true;
	world_store_faults(&w, 1, &down);
	write_rounds(&w, 900, 1800);
	assert_int_equal(w.nodes[1].number, 901);
	/* Two snapshots, a head each, and the notes after the older one. */
	assert_int_equal(count_keys(w.nodes[0].store, "notes/", w.now), 601);
	assert_int_equal(count_keys(w.nodes[0].store, "snapshot/", w.now), 3);
	world_store_faults(&w, 1, &none);
	assert_true(world_reaches(&w, 1801, HEAL_US));
	world_assert_same(&w, 1801);
	/* New nodes: one from the store alone, one from peers alone. */
	world_stop(&w, 2);
	w.loss_percent = 100;
	world_start(&w, 2);
	assert_true(world_reaches(&w, 1801, HEAL_US));
	w.loss_percent = 0;
	w.apart = false;
	world_stop(&w, 3);
	world_start(&w, 3);
	store_set_faults(w.nodes[3].store, &down);
	assert_true(world_reaches(&w, 1801, HEAL_US));
	world_assert_same(&w, 1801);
	/* A release from before the snapshot is still recognised. */
	world_append(&w, 2, rate_note(3, 0), NULL, &seen);
	assert_int_equal(seen.status, APPEND_REPEATED);
	assert_int_equal(seen.number, 5);
	world_close(&w);
}

static void late_news_change_nothing(void **state)
{
	struct peer_msg old = {.kind = PEER_NOTE},
			snapshot = {.kind = PEER_SNAPSHOT};
	struct outcome_seen seen;
	struct world w;
	int i;

	(void)state;
	world_begin(&w, 2, 1);
	assert_int_equal(config_pack(notes_config(w.nodes[0].notes),
				     &snapshot.snapshot.bytes),
			 0);
	for (i = 0; i < 3; i++)
		world_append(&w, 0, rate_note(i, 0), NULL, &seen);
	assert_true(world_reaches(&w, 4, IN_FORCE_US));
	old.from = w.nodes[0].addr;
	old.note.number = 2;
	buffer_printf(&old.note.text, "%s", rate_note(0, 0));
	snapshot.from = w.nodes[0].addr;
	snapshot.snapshot.number = 1;
	snapshot.snapshot.parts = 1;
	notes_receive(w.nodes[1].notes, &old, w.now);
	notes_receive(w.nodes[1].notes, &snapshot, w.now);
	/* A false number in front of an old snapshot does not help it. */
	snapshot.snapshot.number = 99;
	notes_receive(w.nodes[1].notes, &snapshot, w.now);
	world_run(&w, USEC_PER_SEC);
	world_assert_same(&w, 4);
	buffer_free(&old.note.text);
	buffer_free(&snapshot.snapshot.bytes);
	world_close(&w);
}

static void a_bad_note_does_not_keep_out_the_good_one(void **state)
{
	struct peer_msg bad = {.kind = PEER_NOTE};
	struct outcome_seen seen;
	struct world w;

	(void)state;
	world_begin(&w, 4, 2);
	bad.from = w.nodes[0].addr;
	bad.note.number = 2;
	buffer_printf(&bad.note.text, "{\"release\": \"x\", \"adds\": 1}");
	notes_receive(w.nodes[3].notes, &bad, w.now);
	assert_int_equal(w.nodes[3].number, 1);
	world_append(&w, 0, rate_note(0, 0), NULL, &seen);
	assert_true(world_reaches(&w, 2, IN_FORCE_US));
	world_assert_same(&w, 2);
	buffer_free(&bad.note.text);
	world_close(&w);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(notes_get_everywhere),
		cmocka_unit_test(
			a_withdrawn_key_reaches_all_that_can_be_reached),
		cmocka_unit_test(a_new_node_starts_from_its_peers),
		cmocka_unit_test(snapshots_replace_old_notes),
		cmocka_unit_test(late_news_change_nothing),
		cmocka_unit_test(a_bad_note_does_not_keep_out_the_good_one),
	};

	log_set_level(LOG_EMERG);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
