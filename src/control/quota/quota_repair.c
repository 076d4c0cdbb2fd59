/*
 * Repairs a ledger whose entries another writer has overwritten. A node clears
 * its own slice if it can't read it and uses no share. A pool is counted anew
 * from the slices of its group. Those of nodes that run are awaited: they write
 * them again. A slice of a node that is gone gets all that is not accounted
 * for, so that it comes back to the pool by halves, as any other.
 */
#include "control/quota/quota_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SLICE_PREFIX "quota/s/"
#define LIST_PAGE 500
#define CALL_TIMEOUT_US (2 * USEC_PER_SEC)
#define AWAIT_US (2 * USEC_PER_SEC)
/* A node that reaches the store writes its slices twice in this time. */
#define GONE_DIVISOR 4 /* of the hold period */
/* Slices whose revision is compared; stores take 32 entries. */
#define COMPARES_MAX 14

struct slice_key {
	char text[STORE_KEY_SIZE];
};

/* The count of one group; the pool is written only if nothing has moved. */
struct repair {
	struct account_group *group; /* NULL: none under way */
	char after[STORE_KEY_SIZE];
	uint64_t sum; /* of the slices that can be read */
	bool awaits;  /* a node that runs has not written its slice again */
	struct slice_key gone; /* the first slice of a node that is gone */
	int64_t gone_revision; /* 0: there is none */
	struct slice_key keys[COMPARES_MAX];
	int64_t revisions[COMPARES_MAX];
	size_t n;
};

struct repair *repair_new(void)
{
	return calloc(1, sizeof(struct repair));
}

static void log_repair(const char *event, const struct account_group *g,
		       uint64_t share)
{
	struct log_line line;
	char text[32];

	log_start(&line, LOG_WARNING, event);
	log_str(&line, "holding", g->name);
	snprintf(text, sizeof(text), "%.4f", (double)share / SHARE_ALL);
	log_str(&line, "share", text);
	log_emit(&line);
}

static void end_repair(struct quota *q, int64_t wait_us, int64_t now)
{
	struct account_group *g = q->repair->group;

	memset(q->repair, 0, sizeof(*q->repair));
	g->writing = false;
	g->next_write_us = now + wait_us;
}

static uint32_t unaccounted(const struct repair *r)
{
	return r->sum < SHARE_ALL ? (uint32_t)(SHARE_ALL - r->sum) : 0;
}

static void counted(void *ctx, uint64_t tag, const struct store_result *result,
		    int64_t now)
{
	struct quota *q = ctx;
	struct repair *r = q->repair;
	struct account_group *g = r->group;
	size_t i;

	(void)tag;
	if (result->outcome == STORE_DONE) {
		log_repair("account-pool-counted", g, unaccounted(r));
		g->pool = (struct ledger_record){
			.share = r->gone_revision ? 0 : unaccounted(r),
			.mod_revision = result->revision};
		g->damaged_since_us = 0;
		g->uncounted = false;
		end_repair(q, 0, now);
		return;
	}
	if (result->outcome == STORE_CONFLICT) {
		g->pool = (struct ledger_record){0};
		for (i = 0; i < result->n; i++)
			ledger_parse(&g->pool, &result->entries[i]);
		g->uncounted = true;
	}
	end_repair(q, result->outcome == STORE_CONFLICT ? 0 : AWAIT_US, now);
}

/* Writes the pool, unless one of the slices that were counted has changed. */
static void write_count(struct quota *q, int64_t now)
{
	struct repair *r = q->repair;
	struct account_group *g = r->group;
	struct ledger_record pool = {.share = unaccounted(r)}, gone = {0};
	char pool_key[STORE_KEY_SIZE], pool_text[LEDGER_TEXT_SIZE];
	char gone_text[LEDGER_TEXT_SIZE];
	const char *const reads[] = {pool_key};
	struct store_compare compares[COMPARES_MAX + 2];
	struct store_write writes[] = {
		{.key = pool_key, .value = pool_text},
		{.key = r->gone.text, .value = gone_text}};
	struct store_op op = {.kind = STORE_TXN,
			      .priority = STORE_QUOTA,
			      .timeout_us = CALL_TIMEOUT_US};
	struct store_done done = {.ctx = q, .fn = counted};
	size_t i, n = 0;

	if (r->gone_revision) {
		gone.share = pool.share;
		pool.share = 0;
		compares[n].key = r->gone.text;
		compares[n++].mod_revision = r->gone_revision;
	}
	ledger_pool_key(g->name, pool_key);
	compares[n].key = pool_key;
	compares[n++].mod_revision = g->pool.mod_revision;
	for (i = 0; i < r->n; i++) {
		compares[n].key = r->keys[i].text;
		compares[n++].mod_revision = r->revisions[i];
	}
	ledger_format(&pool, pool_text);
	ledger_format(&gone, gone_text);
	writes[0].len = strlen(pool_text);
	writes[1].len = strlen(gone_text);
	op.txn.reads = reads;
	op.txn.read_count = 1;
	op.txn.compares = compares;
	op.txn.compare_count = n;
	op.txn.writes = writes;
	op.txn.write_count = r->gone_revision ? 2 : 1;
	store_submit(q->o.store, &op, &done, now);
}

/* Whether a node may still write its slice again. */
static bool may_run(const struct quota *q, const struct addr *node, int64_t now)
{
	return ledger_holder_runs(q, node) ||
	       now - q->repair->group->damaged_since_us <
		       q->hold_us / GONE_DIVISOR;
}

static void count_slice(struct quota *q, const struct store_entry *e,
			int64_t now)
{
	struct repair *r = q->repair;
	struct ledger_record slice;
	const char *group;
	struct addr node;

	if (ledger_split_key(e->key, &node, &group) < 0 ||
	    strcmp(group, r->group->name) != 0)
		return;
	if (ledger_parse(&slice, e) == 0) {
		r->sum += slice.share;
		if (r->n < COMPARES_MAX) {
			copy_name(r->keys[r->n].text, STORE_KEY_SIZE, e->key);
			r->revisions[r->n++] = slice.mod_revision;
		}
	} else if (may_run(q, &node, now)) {
		r->awaits = true;
	} else if (!r->gone_revision) {
		copy_name(r->gone.text, STORE_KEY_SIZE, e->key);
		r->gone_revision = slice.mod_revision;
	}
}

static void list_slices(struct quota *q, int64_t now);

static void listed(void *ctx, uint64_t tag, const struct store_result *result,
		   int64_t now)
{
	struct quota *q = ctx;
	struct repair *r = q->repair;
	size_t i;

	(void)tag;
	if (result->outcome != STORE_DONE) {
		end_repair(q, AWAIT_US, now);
		return;
	}
	for (i = 0; i < result->n; i++)
		count_slice(q, &result->entries[i], now);
	if (ledger_list_goes_on(result, LIST_PAGE)) {
		copy_name(r->after, sizeof(r->after),
			  result->entries[result->n - 1].key);
		list_slices(q, now);
	} else if (r->awaits) {
		log_repair("account-slice-awaited", r->group, unaccounted(r));
		end_repair(q, AWAIT_US, now);
	} else {
		write_count(q, now);
	}
}

static void list_slices(struct quota *q, int64_t now)
{
	struct repair *r = q->repair;
	struct store_op op = {.kind = STORE_LIST,
			      .priority = STORE_QUOTA,
			      .timeout_us = CALL_TIMEOUT_US};
	struct store_done done = {.ctx = q, .fn = listed};

	op.list.prefix = SLICE_PREFIX;
	op.list.after = r->after[0] ? r->after : NULL;
	op.list.limit = LIST_PAGE;
	store_submit(q->o.store, &op, &done, now);
}

static void cleared(void *ctx, uint64_t tag, const struct store_result *result,
		    int64_t now)
{
	struct account_group *g = (struct account_group *)(uintptr_t)tag;

	(void)ctx;
	g->writing = false;
	g->slice = (struct ledger_record){0};
	g->uncounted = true;
	if (result->outcome != STORE_DONE)
		g->next_write_us = now + AWAIT_US;
}

/* Removes the slice of an earlier process at this address. */
static void clear_slice(struct quota *q, struct account_group *g, int64_t now)
{
	char key[STORE_KEY_SIZE];
	struct store_compare compare = {.key = key,
					.mod_revision = g->slice.mod_revision};
	struct store_write write = {.key = key, .remove = true};
	struct store_op op = {.kind = STORE_TXN,
			      .priority = STORE_QUOTA,
			      .timeout_us = CALL_TIMEOUT_US,
			      .txn = {.compares = &compare,
				      .compare_count = 1,
				      .writes = &write,
				      .write_count = 1}};
	struct store_done done = {
		.ctx = q, .tag = (uint64_t)(uintptr_t)g, .fn = cleared};

	ledger_slice_key(q, g->name, key);
	log_repair("account-slice-cleared", g, 0);
	g->writing = true;
	store_submit(q->o.store, &op, &done, now);
}

/*
 * Starts what the group needs before its share can change; returns false if
 * there is nothing to repair. The caller writes a slice that is in use again
 * before its pool is counted.
 */
bool repair_group(struct quota *q, struct account_group *g, int64_t now)
{
	struct repair *r = q->repair;

	if (g->slice.damaged) {
		clear_slice(q, g, now);
		return true;
	}
	if (!(g->pool.damaged || g->uncounted) ||
	    (g->slice.share && g->slice.incarnation != q->o.incarnation))
		return false;
	if (r->group) {
		g->next_write_us = now + AWAIT_US;
		return true;
	}
	if (!g->damaged_since_us)
		g->damaged_since_us = now;
	r->group = g;
	g->writing = true;
	list_slices(q, now);
	return true;
}
