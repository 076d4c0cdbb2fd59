#include "control/quota_impl.h"

#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define POOL_PREFIX "quota/p/"
#define SLICE_PREFIX "quota/s/"
#define WRITE_TIMEOUT_US (2 * USEC_PER_SEC)
#define RETRY_US (200 * USEC_PER_MSEC)
#define RETRY_MAX_US (10 * USEC_PER_SEC)
#define EMPTY_POOL_US USEC_PER_SEC
#define LIST_PAGE 500

/* How many accounts are looked at in one tick, and written at once. */
#define ACCOUNTS_PER_TICK 64
#define WRITES_MAX 8

/* A node that starts learns of the others in this time. */
#define SETTLE_US (4 * USEC_PER_SEC)

/* A node stays a home for so long after others have come to rank first. */
#define HOME_LINGER_US (5 * USEC_PER_SEC)

/* Writes the key of this node's slice of an account. */
void ledger_slice_key(const struct quota *q, const char *account,
		      char key[STORE_KEY_SIZE])
{
	snprintf(key, STORE_KEY_SIZE, SLICE_PREFIX "%s/%s", q->self, account);
}

/* Writes the key of the free share of an account. */
void ledger_pool_key(const char *account, char key[STORE_KEY_SIZE])
{
	snprintf(key, STORE_KEY_SIZE, POOL_PREFIX "%s", account);
}

/* Reads a pool or slice; -1 when the value is none of ours. */
int ledger_read(struct ledger_record *r, const struct store_entry *e)
{
	struct json_tokener *tok = json_tokener_new();
	struct json_object *o = NULL, *share, *incarnation;
	int rc = -1;

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
		r->mod_revision = e->mod_revision;
		rc = 0;
	}
	json_object_put(o);
	json_tokener_free(tok);
	return rc;
}

/* Writes the stored form of a pool or slice. */
void ledger_write_text(const struct ledger_record *r, char text[96])
{
	snprintf(text, 96, "{\"share\":%u,\"incarnation\":%llu}", r->share,
		 (unsigned long long)r->incarnation);
}

static void back_off(struct quota *q, struct quota_account *a, int64_t now)
{
	int64_t wait = RETRY_US << (a->failures < 6 ? a->failures : 6);

	a->failures++;
	if (wait > RETRY_MAX_US)
		wait = RETRY_MAX_US;
	wait = wait / 2 + (int64_t)(gsl_rng_uniform(q->rng) * (double)wait);
	a->next_write_us = now + wait;
}

static void adopt_slice(struct quota *q, struct quota_account *a,
			const struct ledger_record *r, int64_t now)
{
	a->slice = *r;
	quota_refill(a, now);
	if (!r->mod_revision || r->incarnation != q->o.incarnation)
		a->share = 0;
	else
		a->share = r->share;
	quota_refill(a, now);
}

/* The reads of a failed transaction say how things stand. */
static void adopt_reads(struct quota *q, struct quota_account *a,
			const struct store_result *r, int64_t now)
{
	struct ledger_record pool = {0}, slice = {0};
	char slice_key[STORE_KEY_SIZE], pool_key[STORE_KEY_SIZE];
	size_t i;

	ledger_slice_key(q, a->name, slice_key);
	ledger_pool_key(a->name, pool_key);
	for (i = 0; i < r->n; i++)
		if (!strcmp(r->entries[i].key, slice_key))
			ledger_read(&slice, &r->entries[i]);
		else if (!strcmp(r->entries[i].key, pool_key))
			ledger_read(&pool, &r->entries[i]);
	a->pool = pool;
	adopt_slice(q, a, &slice, now);
	a->next_write_us = now;
}

/*
 * The share that nobody holds. A pool that was never read counts as whole
 * only for a node without a slice; the compare fails if there is one.
 */
static uint32_t free_share_of(const struct quota_account *a)
{
	if (a->creates_pool)
		return a->slice.share ? 0 : SHARE_ALL;
	return a->pool.share;
}

static void log_share(const struct quota_account *a)
{
	struct log_line line;
	char text[32];

	log_start(&line, LOG_INFO, "account-share");
	log_str(&line, "account", a->name);
	snprintf(text, sizeof(text), "%.4f", (double)a->share / SHARE_ALL);
	log_str(&line, "share", text);
	snprintf(text, sizeof(text), "%.4f", (double)a->pool.share / SHARE_ALL);
	log_str(&line, "pool", text);
	log_int(&line, "revision", a->pool.mod_revision);
	log_emit(&line);
}

static void adopt_write(struct quota *q, struct quota_account *a,
			int64_t revision, int64_t now)
{
	uint32_t moved = a->proposed - a->slice.share;
	bool first = !a->slice.share;

	quota_refill(a, now);
	a->pool.share = free_share_of(a) - moved;
	a->pool.mod_revision = revision;
	a->slice.share = a->proposed;
	a->slice.incarnation = q->o.incarnation;
	a->slice.mod_revision = a->proposed ? revision : 0;
	a->share = a->proposed;
	a->confirmed_us = a->sent_us;
	a->failures = 0;
	quota_refill(a, now);
	log_share(a);
	if (a->share)
		a->seen_tokens = true;
	/* Nobody held a token of an account that had no pool before. */
	if (a->creates_pool && first)
		a->level = a->burst * a->share / SHARE_ALL;
}

static void written(void *ctx, uint64_t tag, const struct store_result *r,
		    int64_t now)
{
	struct quota *q = ctx;
	struct quota_account *a = (struct quota_account *)(uintptr_t)tag;

	a->writing = false;
	q->writes--;
	switch (r->outcome) {
	case STORE_DONE:
		adopt_write(q, a, r->revision, now);
		break;
	case STORE_CONFLICT:
		adopt_reads(q, a, r, now);
		break;
	case STORE_NOT_DONE:
	case STORE_UNKNOWN:
		/* If it took effect, the next try conflicts and reads so. */
		back_off(q, a, now);
		break;
	}
}

static uint32_t next_share(const struct quota_account *a)
{
	uint32_t free_share = free_share_of(a);
	uint32_t want = a->desired;

	if (want <= a->slice.share)
		return want;
	if (want - a->slice.share > free_share)
		return a->slice.share + free_share;
	return want;
}

static void submit(struct quota *q, struct quota_account *a,
		   const struct ledger_record *pool,
		   const struct ledger_record *slice, int64_t now)
{
	char slice_key[STORE_KEY_SIZE], pool_key[STORE_KEY_SIZE];
	char pool_text[96], slice_text[96];
	const char *const reads[] = {pool_key, slice_key};
	struct store_compare compares[] = {
		{.key = pool_key, .mod_revision = a->pool.mod_revision},
		{.key = slice_key, .mod_revision = a->slice.mod_revision}};
	struct store_write writes[] = {{.key = pool_key, .value = pool_text},
				       {.key = slice_key, .value = slice_text}};
	struct store_op op = {.kind = STORE_TXN,
			      .priority = STORE_QUOTA,
			      .timeout_us = WRITE_TIMEOUT_US};
	struct store_done done = {
		.ctx = q, .tag = (uint64_t)(uintptr_t)a, .fn = written};

	ledger_slice_key(q, a->name, slice_key);
	ledger_pool_key(a->name, pool_key);
	ledger_write_text(pool, pool_text);
	ledger_write_text(slice, slice_text);
	writes[0].len = strlen(pool_text);
	writes[1].len = strlen(slice_text);
	writes[1].remove = !slice->share;
	op.txn.compares = compares;
	op.txn.compare_count = 2;
	op.txn.writes = writes;
	op.txn.write_count = 2;
	op.txn.reads = reads;
	op.txn.read_count = 2;
	store_submit(q->o.store, &op, &done, now);
}

/* Moves share between pool and slice in one transaction. */
static void propose(struct quota *q, struct quota_account *a, int64_t now)
{
	struct ledger_record pool = a->pool;
	struct ledger_record slice = {.incarnation = q->o.incarnation};

	a->creates_pool = !a->pool.mod_revision;
	a->proposed = next_share(a);
	pool.share = free_share_of(a) - (a->proposed - a->slice.share);
	pool.incarnation = 0;
	slice.share = a->proposed;
	a->writing = true;
	a->sent_us = now;
	q->writes++;
	submit(q, a, &pool, &slice, now);
}

static void choose_desired(struct quota *q, struct quota_account *a,
			   int64_t now)
{
	if (q->leaving || a->withdrawn) {
		a->desired = 0;
		return;
	}
	homes_update(q, a, now);
	if (a->is_home)
		a->desired = a->home_share;
	else if (now - a->not_home_since_us > HOME_LINGER_US)
		a->desired = 0;
}

static bool wants_write(const struct quota *q, const struct quota_account *a)
{
	/* Taking over from an earlier process at this address. */
	if (a->slice.share && a->slice.incarnation != q->o.incarnation)
		return true;
	return a->desired != a->slice.share;
}

static void consider(struct quota *q, struct quota_account *a, int64_t now)
{
	if (a->writing || now < a->next_write_us ||
	    (!a->active_us && !a->slice.share))
		return;
	choose_desired(q, a, now);
	if (!wants_write(q, a))
		return;
	if (a->pool.mod_revision && !a->pool.share &&
	    a->desired > a->slice.share && a->slice.share == a->share) {
		/* Forces a fresh look at the pool a little later. */
		a->pool.mod_revision = 0;
		a->next_write_us = now + EMPTY_POOL_US;
		return;
	}
	propose(q, a, now);
}

static void listed(void *ctx, uint64_t tag, const struct store_result *r,
		   int64_t now)
{
	struct quota *q = ctx;
	struct quota_account *a;
	const char *name;
	size_t i;

	(void)tag;
	q->listing = false;
	if (r->outcome != STORE_DONE) {
		q->next_list_us = now + USEC_PER_SEC;
		return;
	}
	for (i = 0; i < r->n; i++) {
		name = strrchr(r->entries[i].key, '/');
		a = name ? quota_find(q, name + 1) : NULL;
		if (!a || ledger_read(&a->slice, &r->entries[i]) < 0)
			continue;
		a->desired = a->slice.share;
		a->not_home_since_us = now;
	}
	if (r->n == LIST_PAGE)
		copy_name(q->list_after, sizeof(q->list_after),
			  r->entries[r->n - 1].key);
	else
		q->listed = true;
}

static void list_own(struct quota *q, int64_t now)
{
	char prefix[STORE_KEY_SIZE];
	struct store_op op = {.kind = STORE_LIST,
			      .priority = STORE_QUOTA,
			      .timeout_us = WRITE_TIMEOUT_US};
	struct store_done done = {.ctx = q, .fn = listed};

	snprintf(prefix, sizeof(prefix), SLICE_PREFIX "%s/", q->self);
	op.list.prefix = prefix;
	op.list.after = q->list_after[0] ? q->list_after : NULL;
	op.list.limit = LIST_PAGE;
	q->listing = true;
	store_submit(q->o.store, &op, &done, now);
}

/*
 * Lets homes take slices before the first request: one account a tick,
 * since finding homes looks at every member, and not before the members of
 * a running system are known.
 */
static void look_ahead(struct quota *q, int64_t now)
{
	if (q->eager_done || now - q->opened_us < SETTLE_US)
		return;
	if (!q->eager)
		q->eager = q->accounts;
	else
		q->eager = q->eager->hh.next;
	if (!q->eager) {
		q->eager_done = true;
		return;
	}
	homes_update(q, q->eager, now);
	if (q->eager->is_home && !q->eager->active_us)
		q->eager->active_us = now;
}

/* Moves the ledger on: recovery after a restart, shares, signs of life. */
void ledger_tick(struct quota *q, int64_t now)
{
	size_t i;

	if (!q->config)
		return;
	if (!q->listed) {
		if (!q->listing && now >= q->next_list_us)
			list_own(q, now);
		return;
	}
	if (!q->bumping && now >= q->next_bump_us && !q->leaving)
		ledger_bump(q, now);
	look_ahead(q, now);
	for (i = 0; i < ACCOUNTS_PER_TICK && q->writes < WRITES_MAX; i++) {
		if (!q->cursor)
			q->cursor = q->accounts;
		if (!q->cursor)
			return;
		consider(q, q->cursor, now);
		q->cursor = q->cursor->hh.next;
	}
}
