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

/*
 * A note that the store had lost was acknowledged under its number, so no
 * other note may get it.
 */
static void restored_store_takes_no_number_twice(void **state)
{
	struct append_result result;
	struct cluster c;
	int i;

	(void)state;
	cluster_begin(&c, NODES, 2);
	assert_int_equal(memory_store_save(c.shared), 0);
	cluster_append(&c, 0, rate_note(1, 0), NULL, &result);
	assert_int_equal(result.status, APPEND_ACCEPTED);
	assert_int_equal(result.number, 2);
	assert_true(cluster_wait_number(&c, 2, IN_FORCE_US));
	assert_int_equal(memory_store_restore(c.shared), 0);
	for (i = 0; i < NODES; i += 3) {
		cluster_append(&c, i, rate_note(2 + i, 0), NULL, &result);
		assert_int_equal(result.status, APPEND_STORE_UNAVAILABLE);
	}
	cluster_assert_same(&c, 2);
	cluster_close(&c);
}

/* One process as far as the secret of links is concerned. */
struct secret_holder {
	struct store *store;
	struct secret *secret;
	uint8_t value[SECRET_SIZE];
	bool known;
	bool paused;
};

static void on_secret(void *ctx, const uint8_t secret[SECRET_SIZE], int64_t now)
{
	struct secret_holder *h = ctx;

	(void)now;
	memcpy(h->value, secret, SECRET_SIZE);
	h->known = true;
}

static void secret_replaced(void *ctx, int64_t now)
{
	struct secret_holder *h = ctx;

	secret_store_replaced(h->secret, now);
}

static void holder_open(struct secret_holder *h, struct memory_store *shared)
{
	struct secret_options o = {.ctx = h, .on_known = on_secret};

	memset(h, 0, sizeof(*h));
	h->store = store_open_memory(shared);
	o.store = h->store;
	h->secret = secret_new(&o);
	store_on_replaced(h->store, h, secret_replaced);
}

/* Also reads from the store once a second, as the other controllers do. */
static void holders_run(struct secret_holder *h, size_t n, int64_t *now,
			int64_t us)
{
	struct store_op read = {.kind = STORE_GET, .key = DOCUMENT_KEY};
	struct store_done done = {.fn = ignore_result};
	int64_t until = *now + us;
	size_t i;

	for (; *now < until; *now += STEP_US)
		for (i = 0; i < n; i++) {
			if (h[i].paused)
				continue;
			if (*now % USEC_PER_SEC == 0)
				store_submit(h[i].store, &read, &done, *now);
			store_tick(h[i].store, *now);
			secret_tick(h[i].secret, *now);
		}
}

static void check_one_secret(bool survivors_paused)
{
	struct memory_store *shared = memory_store_new();
	struct secret_holder h[3];
	int64_t now = USEC_PER_SEC;
	size_t i;

	assert_int_equal(memory_store_save(shared), 0);
	holder_open(&h[0], shared);
	holder_open(&h[1], shared);
	holders_run(h, 2, &now, START_US);
	assert_true(h[0].known && h[1].known);
	assert_int_equal(memory_store_restore(shared), 0);
	h[0].paused = survivors_paused;
	h[1].paused = survivors_paused;
	holder_open(&h[2], shared);
	holders_run(h, 3, &now, START_US);
	h[0].paused = false;
	h[1].paused = false;
	holders_run(h, 3, &now, START_US);
	assert_true(h[2].known);
	assert_memory_equal(h[0].value, h[1].value, SECRET_SIZE);
	assert_memory_equal(h[0].value, h[2].value, SECRET_SIZE);
	for (i = 0; i < 3; i++) {
		store_close(h[i].store);
		secret_free(h[i].secret);
	}
	memory_store_free(shared);
}

/*
 * Where the store had lost the secret, a process that started wrote another
 * one, and could not talk to those that ran before.
 */
static void processes_share_one_secret_after_restore(void **state)
{
	(void)state;
	check_one_secret(false);
	check_one_secret(true);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(change_after_restore_is_in_force),
		cmocka_unit_test(restored_store_proves_nothing_at_once),
		cmocka_unit_test(seeds_are_back_after_restore),
		cmocka_unit_test(restored_store_takes_no_number_twice),
		cmocka_unit_test(processes_share_one_secret_after_restore),
	};

	log_set_level(LOG_EMERG);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
