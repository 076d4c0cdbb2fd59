#include "control/quota/quota_impl.h"

#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define POOL_PREFIX "quota/p/"
#define SLICE_PREFIX "quota/s/"
#define WRITE_TIMEOUT_US (2 * USEC_PER_SEC)
#define RETRY_US (200 * USEC_PER_MSEC)
#define RETRY_MAX_US (10 * USEC_PER_SEC)
#define EMPTY_POOL_RETRY_US USEC_PER_SEC
#define LIST_PAGE 500

/* Groups processed in one tick, and writes pending at the same time. */
#define GROUPS_PER_TICK 64
#define WRITES_MAX 8

/* Time in which a starting node learns of the other members. */
#define SETTLE_US (4 * USEC_PER_SEC)

/* Three beats of a holder to a node that it does not know to answer. */
#define TAKEOVER_WAIT_US (600 * USEC_PER_MSEC)

/* A former owner keeps its slice this long after other nodes rank first. */
#define OWNER_LINGER_US (5 * USEC_PER_SEC)

/* Formats the key of this node's slice of a group. */
void ledger_slice_key(const struct quota *q, const char *group,
		      char key[STORE_KEY_SIZE])
{
	ledger_holder_key(q->self, group, key);
}

/* Formats the key of another node's slice of a group. */
void ledger_holder_key(const char *node, const char *group,
		       char key[STORE_KEY_SIZE])
{
	snprintf(key, STORE_KEY_SIZE, SLICE_PREFIX "%s/%s", node, group);
}

/* Formats the key of the pool of a group. */
void ledger_pool_key(const char *group, char key[STORE_KEY_SIZE])
{
	snprintf(key, STORE_KEY_SIZE, POOL_PREFIX "%s", group);
}

/*
 * Whether the rest of a list follows after the last entry. Stores may return
 * less than the page that was asked for.
 */
bool ledger_list_goes_on(const struct store_result *r, size_t page)
{
	return r->n && (r->more || r->n == page);
}

/* Parses a pool or slice; returns -1 if another writer has damaged it. */
int ledger_parse(struct ledger_record *r, const struct store_entry *e)
{
	struct json_tokener *tok = json_tokener_new();
	struct json_object *o = NULL, *share, *incarnation, *standby;
	int rc = -1;

	*r = (struct ledger_record){.mod_revision = e->mod_revision,
				    .damaged = true};
	if (!tok)
		return -1;
	if (e->value && e->len < INT32_MAX)
		o = json_tokener_parse_ex(tok, (const char *)e->value,
					  (int)e->len);
	if (o && json_object_object_get_ex(o, "share", &share) &&
	    json_object_get_int64(share) >= 0 &&
	    json_object_get_int64(share) <= SHARE_ALL) {
		r->share = (uint32_t)json_object_get_int64(share);
		r->incarnation = 0;
		if (json_object_object_get_ex(o, "incarnation", &incarnation))
			r->incarnation = json_object_get_uint64(incarnation);
		r->damaged = false;
		r->has_standby =
			json_object_object_get_ex(o, "standby", &standby) &&
			json_object_is_type(standby, json_type_string) &&
			addr_parse(&r->standby,
				   json_object_get_string(standby)) == 0;
		rc = 0;
	}
	json_object_put(o);
	json_tokener_free(tok);
	return rc;
}

/* Formats a pool or slice as it is stored. */
void ledger_format(const struct ledger_record *r, char text[LEDGER_TEXT_SIZE])
{
	char standby[ADDR_TEXT_SIZE];
	int n = snprintf(text, LEDGER_TEXT_SIZE,
			 "{\"share\":%u,\"incarnation\":%llu", r->share,
			 (unsigned long long)r->incarnation);

	if (!r->has_standby) {
		snprintf(text + n, LEDGER_TEXT_SIZE - (size_t)n, "}");
		return;
	}
	addr_format(&r->standby, standby);
	snprintf(text + n, LEDGER_TEXT_SIZE - (size_t)n, ",\"standby\":\"%s\"}",
		 standby);
}

static void back_off(struct quota *q, struct account_group *g, int64_t now)
{
	int64_t wait = RETRY_US << (g->failures < 6 ? g->failures : 6);

	g->failures++;
	if (wait > RETRY_MAX_US)
		wait = RETRY_MAX_US;
	wait = wait / 2 + (int64_t)(gsl_rng_uniform(q->rng) * (double)wait);
	g->next_write_us = now + wait;
}

/*
 * Whether this process certainly holds the share that it uses: no other node
 * could have reclaimed or taken it before its slice was damaged.
 */
static bool holds_share(const struct account_group *g, int64_t now)
{
	return g->share && g->share == g->slice.share &&
	       now - g->confirmed_us < g->hold_us / 2 &&
	       !standby_lease_lost(g, now);
}

/*
 * Uses the share of this node's slice as read, if this process wrote it. A
 * slice that is damaged is to be written again with the share in use.
 */
void ledger_adopt_slice(struct quota *q, struct account_group *g,
			const struct ledger_record *r, int64_t now)
{
	if (r->damaged && holds_share(g, now)) {
		g->slice.mod_revision = r->mod_revision;
		g->slice.incarnation = 0;
		g->slice.has_standby = false;
		standby_slice_changed(g);
		return;
	}
	g->slice = *r;
	quota_refill_all(g, now);
	if (!r->mod_revision || r->incarnation != q->o.incarnation)
		g->share = 0;
	else
		g->share = r->share;
	standby_slice_changed(g);
	quota_refill_all(g, now);
}

/* Takes the current pool and slice from the reads of a failed transaction. */
static void adopt_reads(struct quota *q, struct account_group *g,
			const struct store_result *r, int64_t now)
{
	struct ledger_record pool = {0}, slice = {0};
	char slice_key[STORE_KEY_SIZE], pool_key[STORE_KEY_SIZE];
	size_t i;

	ledger_slice_key(q, g->name, slice_key);
	ledger_pool_key(g->name, pool_key);
	for (i = 0; i < r->n; i++)
		if (!strcmp(r->entries[i].key, slice_key))
			ledger_parse(&slice, &r->entries[i]);
		else if (!strcmp(r->entries[i].key, pool_key))
			ledger_parse(&pool, &r->entries[i]);
	g->pool = pool;
	ledger_adopt_slice(q, g, &slice, now);
	g->next_write_us = now;
}

/*
 * Returns the share that no node holds. A pool that was never read is assumed
 * to be full if this node has no slice, and empty otherwise. If a pool does
 * exist, the compare of the transaction fails.
 */
static uint32_t free_share_of(const struct account_group *g)
{
	if (g->creates_pool)
		return g->slice.share ? 0 : SHARE_ALL;
	return g->pool.share;
}

static void log_share(const struct account_group *g)
{
	struct log_line line;
	char text[32];

	log_start(&line, LOG_INFO, "account-share");
	log_str(&line, "holding", g->name);
	snprintf(text, sizeof(text), "%.4f", (double)g->share / SHARE_ALL);
	log_str(&line, "share", text);
	snprintf(text, sizeof(text), "%.4f", (double)g->pool.share / SHARE_ALL);
	log_str(&line, "pool", text);
	log_int(&line, "revision", g->pool.mod_revision);
	log_emit(&line);
}

/*
 * Returns true if the proposed write only takes over the slice of an earlier
 * process at this address. Any other write compares the pool as well, if only
 * to read it again on a conflict.
 */
static bool is_takeover(const struct quota *q, const struct account_group *g)
{
	return g->slice.share && g->slice.incarnation != q->o.incarnation &&
	       g->proposed_share == g->slice.share;
}

static void adopt_write(struct quota *q, struct account_group *g,
			int64_t revision, int64_t now)
{
	uint32_t moved = g->proposed_share - g->slice.share;
	bool pool_written = !is_takeover(q, g);
	bool first_slice = !g->slice.share;
	struct quota_account *a;

	quota_refill_all(g, now);
	if (pool_written) {
		g->pool.share = free_share_of(g) - moved;
		g->pool.mod_revision = revision;
	}
	g->slice.share = g->proposed_share;
	g->slice.incarnation = q->o.incarnation;
	g->slice.mod_revision = g->proposed_share ? revision : 0;
	g->slice.has_standby = false;
	g->share = g->proposed_share;
	g->confirmed_us = g->sent_us;
	g->failures = 0;
	standby_slice_changed(g);
	quota_refill_all(g, now);
	log_share(g);
	for (a = g->accounts; a && g->share; a = a->sibling) {
		a->had_tokens = true;
		/*
		 * Without a pool no node held tokens yet: start full, unless
		 * the store has lost the pool.
		 */
		if (g->creates_pool && first_slice && !q->ledger_settled_us)
			a->level = a->burst * g->limit_fraction * g->share /
				   SHARE_ALL;
	}
}

static void write_done(void *ctx, uint64_t tag, const struct store_result *r,
		       int64_t now)
{
	struct quota *q = ctx;
	struct account_group *g = (struct account_group *)(uintptr_t)tag;

	g->writing = false;
	q->writes_pending--;
	switch (r->outcome) {
	case STORE_DONE:
		adopt_write(q, g, r->revision, now);
		break;
	case STORE_CONFLICT:
		adopt_reads(q, g, r, now);
		break;
	case STORE_NOT_DONE:
	case STORE_UNKNOWN:
		/* If it took effect, the next write conflicts and reads it. */
		back_off(q, g, now);
		break;
	}
}

static uint32_t next_share(const struct account_group *g)
{
	uint32_t free_share = free_share_of(g);
	uint32_t want = g->desired_share;

	if (want <= g->slice.share)
		return want;
	/* Growth would be refilled for the time of the lost lease as well. */
	if (g->lease.lost)
		return g->slice.share;
	if (want - g->slice.share > free_share)
		return g->slice.share + free_share;
	return want;
}

static void submit_write(struct quota *q, struct account_group *g,
			 const struct ledger_record *pool,
			 const struct ledger_record *slice, int64_t now)
{
	char slice_key[STORE_KEY_SIZE], pool_key[STORE_KEY_SIZE];
	char pool_text[LEDGER_TEXT_SIZE], slice_text[LEDGER_TEXT_SIZE];
	/* Taking over a slice leaves the pool unchanged. */
	size_t with_pool = !is_takeover(q, g);
	const char *const reads[] = {pool_key, slice_key};
	struct store_compare compares[] = {
		{.key = pool_key, .mod_revision = g->pool.mod_revision},
		{.key = slice_key, .mod_revision = g->slice.mod_revision}};
	struct store_write writes[] = {{.key = pool_key, .value = pool_text},
				       {.key = slice_key, .value = slice_text}};
	struct store_op op = {.kind = STORE_TXN,
			      .priority = STORE_QUOTA,
			      .timeout_us = WRITE_TIMEOUT_US};
	struct store_done done = {
		.ctx = q, .tag = (uint64_t)(uintptr_t)g, .fn = write_done};

	ledger_slice_key(q, g->name, slice_key);
	ledger_pool_key(g->name, pool_key);
	ledger_format(pool, pool_text);
	ledger_format(slice, slice_text);
	writes[0].len = strlen(pool_text);
	writes[1].len = strlen(slice_text);
	writes[1].remove = !slice->share;
	op.txn.compares = with_pool ? compares : compares + 1;
	op.txn.compare_count = 1 + with_pool;
	op.txn.writes = with_pool ? writes : writes + 1;
	op.txn.write_count = 1 + with_pool;
	op.txn.reads = reads;
	op.txn.read_count = 2;
	store_submit(q->o.store, &op, &done, now);
}

/* Proposes to move share between pool and slice in one transaction. */
static void propose(struct quota *q, struct account_group *g, int64_t now)
{
	struct ledger_record pool = g->pool;
	struct ledger_record slice = {.incarnation = q->o.incarnation};

	g->creates_pool = !g->pool.mod_revision;
	g->proposed_share = next_share(g);
	pool.share = free_share_of(g) - (g->proposed_share - g->slice.share);
	pool.incarnation = 0;
	slice.share = g->proposed_share;
	g->writing = true;
	g->sent_us = now;
	q->writes_pending++;
	submit_write(q, g, &pool, &slice, now);
}

/*
 * Leaves the slice with the node that ranks second, once it has taken it: a
 * return to the first would cost writes and tokens.
 */
static bool chooses_to_keep(const struct account_group *g, int64_t now)
{
	if (g->is_owner)
		return standby_other_holds(g, now);
	return g->ranks_second && g->share == SHARE_ALL;
}

static void choose_desired(struct quota *q, struct account_group *g,
			   int64_t now)
{
	if (q->leaving && !q->returns_slices)
		return;
	if (q->leaving || g->withdrawn) {
		g->desired_share = 0;
		return;
	}
	owners_update(q, g, now);
	if (g->multi_account && chooses_to_keep(g, now)) {
		/* The ledger may lack a share in use after a restore. */
		g->desired_share =
			g->share > g->slice.share ? g->share : g->slice.share;
		return;
	}
	/* The former owner may be restarting, and back within SETTLE_US. */
	if (g->is_owner && g->multi_account &&
	    now - g->owner_since_us < SETTLE_US)
		return;
	if (g->is_owner)
		g->desired_share = g->owner_share;
	else if (now - g->not_owner_since_us > OWNER_LINGER_US)
		g->desired_share = 0;
}

static bool needs_write(const struct quota *q, const struct account_group *g)
{
	/* The slice of an earlier process at this address, to be taken over. */
	if (g->slice.share && g->slice.incarnation != q->o.incarnation)
		return true;
	return g->desired_share != g->slice.share;
}

/*
 * Returns true while the slice of an earlier process at this address must not
 * be taken over. If the store came back from an older copy, the standby may
 * still use the share, and says so in its beats.
 */
static bool waits_for_holder(const struct quota *q,
			     const struct account_group *g, int64_t now)
{
	if (!g->multi_account || !g->slice.share || !g->slice.incarnation ||
	    g->slice.incarnation == q->o.incarnation)
		return false;
	return now - q->started_us < TAKEOVER_WAIT_US ||
	       standby_other_holds(g, now);
}

static void update_group(struct quota *q, struct account_group *g, int64_t now)
{
	if (g->writing || now < g->next_write_us ||
	    now < q->ledger_settled_us || waits_for_holder(q, g, now) ||
	    repair_group(q, g, now) || (!g->active_us && !g->slice.share))
		return;
	choose_desired(q, g, now);
	if (g->pool.damaged || g->uncounted)
		g->desired_share = g->slice.share;
	if (!needs_write(q, g))
		return;
	if (g->pool.mod_revision && !g->pool.share &&
	    g->desired_share > g->slice.share && g->slice.share == g->share) {
		/* The pool is empty: read it again a little later. */
		g->pool.mod_revision = 0;
		g->next_write_us = now + EMPTY_POOL_RETRY_US;
		return;
	}
	propose(q, g, now);
}

/* Has slices of this process written again, which confirms them. */
static void rewrite_own_slices(struct quota *q)
{
	struct account_group *g, *next;

	HASH_ITER(hh, q->account_groups, g, next)
	if (g->slice.incarnation == q->o.incarnation)
		g->slice.incarnation = 0;
}

/*
 * Forgets what was read of the ledger, as its revisions stand for other writes
 * now. The shares in use stay: together they were within the limits. Only when
 * all nodes have had time to learn of the restore does each read and write its
 * slices again, so that none takes a share that another still uses.
 */
void quota_store_replaced(struct quota *q, int64_t now)
{
	struct account_group *g, *next;

	HASH_ITER(hh, q->account_groups, g, next)
	{
		g->pool = (struct ledger_record){0};
		g->slice = (struct ledger_record){0};
	}
	q->ledger_settled_us = store_settled_us(q->o.store);
	standby_store_replaced(q);
	q->own_slices_listed = false;
	q->list_after[0] = 0;
	q->next_list_us = q->ledger_settled_us;
	reclaim_store_replaced(q, now);
}

static void list_done(void *ctx, uint64_t tag, const struct store_result *r,
		      int64_t now)
{
	struct quota *q = ctx;
	struct account_group *g;
	const char *name;
	size_t i;

	(void)tag;
	q->list_pending = false;
	if (r->outcome != STORE_DONE) {
		q->next_list_us = now + USEC_PER_SEC;
		return;
	}
	for (i = 0; i < r->n; i++) {
		name = strrchr(r->entries[i].key, '/');
		g = name ? group_find(q, name + 1) : NULL;
		if (!g || ledger_parse(&g->slice, &r->entries[i]) < 0)
			continue;
		g->desired_share = g->slice.share;
		g->not_owner_since_us = now;
	}
	if (ledger_list_goes_on(r, LIST_PAGE)) {
		copy_name(q->list_after, sizeof(q->list_after),
			  r->entries[r->n - 1].key);
		return;
	}
	rewrite_own_slices(q);
	q->own_slices_listed = true;
}

static void list_own_slices(struct quota *q, int64_t now)
{
	char prefix[STORE_KEY_SIZE];
	struct store_op op = {.kind = STORE_LIST,
			      .priority = STORE_QUOTA,
			      .timeout_us = WRITE_TIMEOUT_US};
	struct store_done done = {.ctx = q, .fn = list_done};

	snprintf(prefix, sizeof(prefix), SLICE_PREFIX "%s/", q->self);
	op.list.prefix = prefix;
	op.list.after = q->list_after[0] ? q->list_after : NULL;
	op.list.limit = LIST_PAGE;
	q->list_pending = true;
	store_submit(q->o.store, &op, &done, now);
}

/*
 * Makes owners acquire their slices before the first request. Processes one
 * group per tick, since finding its owners visits every member, and starts
 * only once a starting node can know the other members.
 */
static void preacquire_slices(struct quota *q, int64_t now)
{
	if (q->preacquire_done || now - q->started_us < SETTLE_US)
		return;
	if (!q->preacquire_cursor)
		q->preacquire_cursor = q->account_groups;
	else
		q->preacquire_cursor = q->preacquire_cursor->hh.next;
	if (!q->preacquire_cursor) {
		q->preacquire_done = true;
		return;
	}
	owners_update(q, q->preacquire_cursor, now);
	if (q->preacquire_cursor->is_owner && !q->preacquire_cursor->active_us)
		q->preacquire_cursor->active_us = now;
}

/*
 * Advances the ledger: reads the slices of an earlier process first, then
 * renews slices and adjusts shares.
 */
void ledger_tick(struct quota *q, int64_t now)
{
	size_t i, n = HASH_COUNT(q->account_groups);

	if (!q->config)
		return;
	if (!q->own_slices_listed) {
		if (!q->list_pending && now >= q->next_list_us)
			list_own_slices(q, now);
		return;
	}
	if (!q->renew_pending && now >= q->next_renew_us && !q->leaving)
		ledger_renew(q, now);
	preacquire_slices(q, now);
	if (n > GROUPS_PER_TICK)
		n = GROUPS_PER_TICK;
	for (i = 0; i < n && q->writes_pending < WRITES_MAX; i++) {
		if (!q->cursor)
			q->cursor = q->account_groups;
		if (!q->cursor)
			return;
		update_group(q, q->cursor, now);
		q->cursor = q->cursor->hh.next;
	}
}
