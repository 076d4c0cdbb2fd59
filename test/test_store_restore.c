/*
 * A store that comes back from an older copy: revisions and leases are given
 * out again, and what was written since the copy is gone.
 */
#include "notes_cluster.h"

#define NODES 8
#define START_US (8 * USEC_PER_SEC)
#define STALE_READS_US (1500 * USEC_PER_MSEC)
#define SEEDS_BACK_US (2 * USEC_PER_SEC)
#define PROVEN_US (2 * USEC_PER_SEC)

struct restore_case {
	const char *name;
	int writes_before; /* between the copy and the lost change */
	bool written_again;
	const char *next; /* the change after the restore */
};

static const struct restore_case restore_cases[] = {
	{"lower revision, after the lost change was written again", 20, true,
	 "12"},
	{"lower revision, the lost change never written again", 20, false,
	 "12"},
	{"same revision, another document", 0, false, "12"},
	{"higher revision", 0, true, "12"},
};

/* Opens a cluster with document 8 in force and saved in the store's copy. */
static void open_with_copy(struct cluster *c)
{
	cluster_open_document(c, NODES, 2);
	cluster_put(c, DOCUMENT_KEY, "8");
	cluster_run(c, START_US);
	assert_true(all_at_number(c, 8));
	assert_int_equal(memory_store_save(c->shared), 0);
}

static void check_change_after_restore(const struct restore_case *t)
{
	struct cluster c;
	int i;

	open_with_copy(&c);
	for (i = 0; i < t->writes_before; i++)
		cluster_put(&c, "other/key", "x");
	cluster_put(&c, DOCUMENT_KEY, "9");
	assert_true(cluster_wait_number(&c, 9, IN_FORCE_US));
	assert_int_equal(memory_store_restore(c.shared), 0);
	cluster_run(&c, 300 * USEC_PER_MSEC);
	if (t->written_again)
		cluster_put(&c, DOCUMENT_KEY, "9");
	cluster_run(&c, 300 * USEC_PER_MSEC);
	cluster_put(&c, DOCUMENT_KEY, t->next);
	if (!cluster_wait_number(&c, strtoull(t->next, NULL, 10), IN_FORCE_US))
		fail_msg("%s: not in force in time", t->name);
	for (i = 0; i < NODES; i++)
		assert_int_equal(c.nodes[i].non_increasing, 0);
	cluster_close(&c);
}

/* A document under a lower revision than the last one was passed over. */
static void change_after_restore_is_in_force(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(restore_cases) / sizeof(*restore_cases); i++)
		check_change_after_restore(&restore_cases[i]);
}

/*
 * The copy's version was taken for the newest one, although a later one had
 * been acknowledged and lost.
 */
static void restored_store_proves_nothing_at_once(void **state)
{
	struct cluster c;
	int i;

	(void)state;
	open_with_copy(&c);
	cluster_put(&c, DOCUMENT_KEY, "9");
	assert_int_equal(memory_store_restore(c.shared), 0);
	cluster_run(&c, STALE_READS_US);
	for (i = 0; i < NODES; i++)
		assert_true(notes_stale_us(c.nodes[i].notes, c.now) >=
			    STALE_READS_US);
	cluster_put(&c, DOCUMENT_KEY, "9");
	assert_true(cluster_wait_number(&c, 9, IN_FORCE_US));
	cluster_run(&c, PROVEN_US);
	for (i = 0; i < NODES; i++)
		assert_true(notes_stale_us(c.nodes[i].notes, c.now) <
			    PROVEN_US);
	cluster_close(&c);
}

struct listing {
	size_t n;
	bool done;
};

static void on_seeds(void *ctx, uint64_t tag, const struct store_result *r,
		     int64_t now)
{
	struct listing *l = ctx;

	(void)tag;
	(void)now;
	l->n = r->n;
	l->done = true;
}

/* Returns how many seeds a process that starts now would find. */
static size_t seeds_in_store(struct cluster *c)
{
	struct store_op op = {.kind = STORE_LIST, .list = {.prefix = "seeds/"}};
	struct listing l = {0};
	struct store_done done = {.ctx = &l, .fn = on_seeds};

	store_submit(c->operator_store, &op, &done, c->now);
	while (!l.done)
		run_step(c);
	return l.n;
}

/*
 * Seeds whose leases the store had lost were back only after their holders'
 * next renewal and a pause, 21 s at most, or never, as the id of the lease had
 * been given to another node.
 */
static void seeds_are_back_after_restore(void **state)
{
	struct cluster c;

	(void)state;
	cluster_open_document(&c, NODES, 2);
	assert_int_equal(memory_store_save(c.shared), 0);
	cluster_put(&c, DOCUMENT_KEY, "8");
	cluster_run(&c, 4 * START_US);
	assert_int_equal(seeds_in_store(&c), 6);
	assert_int_equal(memory_store_restore(c.shared), 0);
	assert_int_equal(seeds_in_store(&c), 0);
	cluster_put(&c, DOCUMENT_KEY, "8");
	cluster_run(&c, SEEDS_BACK_US);
	assert_int_equal(seeds_in_store(&c), 6);
	cluster_run(&c, 4 * START_US);
	assert_int_equal(seeds_in_store(&c), 6);
	/* Entries of the copy whose leases are no longer known. */
	assert_int_equal(memory_store_save(c.shared), 0);
	cluster_run(&c, START_US);
	assert_int_equal(memory_store_restore(c.shared), 0);
	cluster_run(&c, 4 * START_US);
	assert_int_equal(seeds_in_store(&c), 6);
	cluster_close(&c);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(change_after_restore_is_in_force),
		cmocka_unit_test(restored_store_proves_nothing_at_once),
		cmocka_unit_test(seeds_are_back_after_restore),
	};

	log_set_level(LOG_EMERG);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
