#include "control/quota/quota_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SLICE_PREFIX "quota/s/"
#define SCANS_PER_HOLD 12 /* scans of all slices per hold period */
#define SCAN_PAGE 500
#define CALL_TIMEOUT_US (2 * USEC_PER_SEC)

/* Allowed clock drift between two hosts: 1/50 of the hold period. */
#define CLOCK_DRIFT_DIVISOR 50

/* A slice of a host that is not alive. */
struct orphaned_slice {
	char key[STORE_KEY_SIZE];
	char group[GROUP_NAME_SIZE];
	struct ledger_record slice;
	struct ledger_record pool;
	int64_t unchanged_since_us;
	uint64_t last_scan; /* number of the last scan that found it */
	bool writing;
	uint32_t taken_share;
	UT_hash_handle hh;
};

struct reclaim {
	struct orphaned_slice *slices;
	int64_t next_scan_us;
	uint64_t scan_number;
	bool scanning;
	char after[STORE_KEY_SIZE];
};

/* Creates an empty set of orphaned slices; NULL when out of memory. */
struct reclaim *reclaim_new(void)
{
	return calloc(1, sizeof(struct reclaim));
}

void reclaim_free(struct reclaim *r)
{
	struct orphaned_slice *s = r->slices, *next;

	HASH_CLEAR(hh, r->slices);
	for (; s; s = next) {
		next = s->hh.next;
		free(s);
	}
	free(r);
}

/* Splits the key of a slice; returns -1 if it names no node. */
int ledger_split_key(const char *key, struct addr *node, const char **group)
{
	char text[ADDR_TEXT_SIZE];
	const char *p = key + strlen(SLICE_PREFIX);
	const char *slash = strchr(p, '/');
	size_t n;

	if (!slash)
		return -1;
	n = (size_t)(slash - p);
	if (n >= sizeof(text))
		return -1;
	memcpy(text, p, n);
	text[n] = 0;
	*group = slash + 1;
	return addr_parse(node, text);
}

bool ledger_holder_runs(const struct quota *q, const struct addr *node)
{
	const struct member_info *m = members_find(q->o.members, node);

	return m && m->state != MEMBER_DEAD && m->state != MEMBER_LEFT;
}

static void track_slice(struct quota *q, const struct store_entry *e,
			int64_t now)
{
	struct reclaim *r = q->reclaim;
	struct ledger_record record;
	struct orphaned_slice *s;
	struct account_group *g;
	const char *group;
	struct addr node;

	if (ledger_split_key(e->key, &node, &group) < 0 ||
	    ledger_holder_runs(q, &node))
		return;
	if (ledger_parse(&record, e) < 0) {
		g = group_find(q, group);
		if (g)
			g->uncounted = true;
		return;
	}
	HASH_FIND_STR(r->slices, e->key, s);
	if (!s) {
		s = calloc(1, sizeof(*s));
		if (!s)
			return;
		copy_name(s->key, sizeof(s->key), e->key);
		copy_name(s->group, sizeof(s->group), group);
		HASH_ADD_STR(r->slices, key, s);
		s->unchanged_since_us = now;
	} else if (s->slice.mod_revision != record.mod_revision) {
		s->unchanged_since_us = now;
	}
	s->slice = record;
	s->last_scan = r->scan_number;
}

/* NOLINTBEGIN(clang-analyzer-unix.Malloc): HASH_DEL keeps the table valid */
static void end_scan(const struct quota *q, struct reclaim *r, int64_t now)
{
	struct orphaned_slice *s, *next;

	r->after[0] = 0;
	r->next_scan_us = now + q->hold_us / SCANS_PER_HOLD;
	HASH_ITER(hh, r->slices, s, next)
	{
		if (s->last_scan == r->scan_number || s->writing)
			continue;
		HASH_DEL(r->slices, s);
		free(s);
	}
}

/* NOLINTEND(clang-analyzer-unix.Malloc) */

static void scan_done(void *ctx, uint64_t tag,
		      const struct store_result *result, int64_t now)
{
	struct quota *q = ctx;
	struct reclaim *r = q->reclaim;
	size_t i;

	(void)tag;
	r->scanning = false;
	if (result->outcome != STORE_DONE) {
		r->next_scan_us = now + q->hold_us / SCANS_PER_HOLD / 10;
		return;
	}
	for (i = 0; i < result->n; i++)
		track_slice(q, &result->entries[i], now);
	if (ledger_list_goes_on(result, SCAN_PAGE))
		copy_name(r->after, sizeof(r->after),
			  result->entries[result->n - 1].key);
	else
		end_scan(q, r, now);
}

static void scan(struct quota *q, int64_t now)
{
	struct reclaim *r = q->reclaim;
	struct store_op op = {.kind = STORE_LIST,
			      .priority = STORE_QUOTA,
			      .timeout_us = CALL_TIMEOUT_US};
	struct store_done done = {.ctx = q, .fn = scan_done};

	if (!r->after[0])
		r->scan_number++;
	op.list.prefix = SLICE_PREFIX;
	op.list.after = r->after[0] ? r->after : NULL;
	op.list.limit = SCAN_PAGE;
	r->scanning = true;
	store_submit(q->o.store, &op, &done, now);
}

/*
 * Begins the wait for each slice anew: an unchanged revision of the former
 * history does not show that its holder is silent.
 */
void reclaim_store_replaced(struct quota *q, int64_t now)
{
	struct orphaned_slice *s, *next;

	HASH_ITER(hh, q->reclaim->slices, s, next)
	{
		s->slice = (struct ledger_record){0};
		s->pool = (struct ledger_record){0};
		s->unchanged_since_us = now;
	}
	q->reclaim->after[0] = 0;
}

static void adopt_reads(struct orphaned_slice *s, const struct store_result *r,
			int64_t now)
{
	struct ledger_record slice = {0};
	size_t i;

	for (i = 0; i < r->n; i++)
		if (!strcmp(r->entries[i].key, s->key))
			ledger_parse(&slice, &r->entries[i]);
		else
			ledger_parse(&s->pool, &r->entries[i]);
	/* Read again at the next take: a node that wants share counts it. */
	if (s->pool.damaged) {
		s->pool = (struct ledger_record){0};
		s->unchanged_since_us = now;
	}
	/* The holder is alive after all, or another node took the half. */
	if (slice.mod_revision != s->slice.mod_revision)
		s->unchanged_since_us = now;
	s->slice = slice;
}

static void take_done(void *ctx, uint64_t tag, const struct store_result *r,
		      int64_t now)
{
	struct orphaned_slice *s = (struct orphaned_slice *)(uintptr_t)tag;

	(void)ctx;
	s->writing = false;
	if (r->outcome == STORE_DONE) {
		s->slice.share -= s->taken_share;
		s->slice.mod_revision = r->revision;
		s->unchanged_since_us = now;
	} else if (r->outcome == STORE_CONFLICT) {
		adopt_reads(s, r, now);
	}
}

/*
 * Moves half of a slice to the pool, rounded down, since the holder may still
 * use the exact half of an odd share.
 */
static void take_half(struct quota *q, struct orphaned_slice *s, int64_t now)
{
	char pool_key[STORE_KEY_SIZE], pool_text[LEDGER_TEXT_SIZE],
		slice_text[LEDGER_TEXT_SIZE];
	const char *const reads[] = {pool_key, s->key};
	struct ledger_record pool = s->pool, slice = s->slice;
	struct store_compare compares[] = {
		{.key = pool_key, .mod_revision = s->pool.mod_revision},
		{.key = s->key, .mod_revision = s->slice.mod_revision}};
	struct store_write writes[] = {{.key = pool_key, .value = pool_text},
				       {.key = s->key, .value = slice_text}};
	struct store_op op = {.kind = STORE_TXN,
			      .priority = STORE_QUOTA,
			      .timeout_us = CALL_TIMEOUT_US};
	struct store_done done = {
		.ctx = q, .tag = (uint64_t)(uintptr_t)s, .fn = take_done};

	ledger_pool_key(s->group, pool_key);
	s->taken_share = slice.share / 2;
	pool.share += s->taken_share;
	slice.share -= s->taken_share;
	ledger_format(&pool, pool_text);
	ledger_format(&slice, slice_text);
	writes[0].len = strlen(pool_text);
	writes[1].len = strlen(slice_text);
	op.txn.compares = compares;
	op.txn.compare_count = 2;
	op.txn.writes = writes;
	op.txn.write_count = 2;
	op.txn.reads = reads;
	op.txn.read_count = 2;
	s->writing = true;
	store_submit(q->o.store, &op, &done, now);
}

/*
 * Scans for slices of hosts that are not alive, on one node of each data
 * centre, and moves half of each slice to the pool that stayed unchanged for
 * half of the hold period plus clock drift.
 */
void reclaim_tick(struct quota *q, int64_t now)
{
	struct reclaim *r = q->reclaim;
	struct orphaned_slice *s, *next;

	if (r->scanning || !q->config || q->leaving)
		return;
	HASH_ITER(hh, r->slices, s, next)
	if (!s->writing && s->slice.share > 1 &&
	    now - s->unchanged_since_us >=
		    q->hold_us / 2 + q->hold_us / CLOCK_DRIFT_DIVISOR)
		take_half(q, s, now);
	if (now < r->next_scan_us)
		return;
	if (members_chosen(q->o.members, name_hash("quota-reclaim"), 1))
		scan(q, now);
	else
		r->next_scan_us = now + q->hold_us / SCANS_PER_HOLD / 10;
}
