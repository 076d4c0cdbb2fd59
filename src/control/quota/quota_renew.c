#include "control/quota/quota_impl.h"

#include <stdlib.h>
#include <string.h>

/*
 * Stores may accept only 32 entries in one transaction; each slice takes two, a
 * compare and a write.
 */
#define RENEW_BATCH_MAX 16
#define WRITE_TIMEOUT_US (2 * USEC_PER_SEC)

static void renew_done(void *ctx, uint64_t tag, const struct store_result *r,
		       int64_t now)
{
	struct quota *q = ctx;
	struct account_group *g;
	size_t i;

	(void)tag;
	q->renew_pending = false;
	for (i = 0; i < q->renewing_count; i++) {
		g = q->renewing[i];
		g->writing = false;
		if (r->outcome == STORE_DONE) {
			g->slice.mod_revision = r->revision;
			g->confirmed_us = q->renew_sent_us;
			quota_refill_all(g, now);
			g->slice.has_standby = g->renews_guarded;
			g->slice.standby = g->renewed_standby;
			standby_slice_changed(g);
		} else if (r->outcome == STORE_CONFLICT) {
			/*
			 * Another node changed one of the slices. Each is
			 * proposed again, and read if that conflicts.
			 */
			g->slice.incarnation = 0;
			g->next_write_us = now;
		}
	}
}

struct renew_batch {
	struct store_compare compares[STORE_TXN_OPS_MAX];
	struct store_write writes[STORE_TXN_OPS_MAX];
	char keys[STORE_TXN_OPS_MAX][STORE_KEY_SIZE];
	char texts[STORE_TXN_OPS_MAX][LEDGER_TEXT_SIZE];
	size_t n;
};

static void batch_add(struct quota *q, struct renew_batch *b,
		      struct account_group *g)
{
	struct ledger_record slice = g->slice;
	size_t i = b->n++;

	/* The standby keeps its right, should this node die in the meantime. */
	g->renews_guarded = g->lease.guarded;
	g->renewed_standby = g->lease.standby;
	slice.has_standby = g->renews_guarded;
	slice.standby = g->renewed_standby;
	ledger_slice_key(q, g->name, b->keys[i]);
	ledger_format(&slice, b->texts[i]);
	b->compares[i].key = b->keys[i];
	b->compares[i].mod_revision = g->slice.mod_revision;
	b->writes[i].key = b->keys[i];
	b->writes[i].value = b->texts[i];
	b->writes[i].len = strlen(b->texts[i]);
	g->writing = true;
	q->renewing[q->renewing_count++] = g;
}

static bool renew_is_due(const struct quota *q, const struct account_group *g,
			 int64_t now)
{
	return g->share && !g->writing &&
	       g->slice.incarnation == q->o.incarnation &&
	       now - g->confirmed_us >= q->hold_us / RENEWALS_PER_HOLD / 2;
}

/*
 * Rewrites slices of this node, up to RENEW_BATCH_MAX in one transaction, to
 * show other nodes that their holder is alive. Runs again after a second, or
 * after an eighth of the hold period if no slice was due.
 */
void ledger_renew(struct quota *q, int64_t now)
{
	struct store_op op = {.kind = STORE_TXN,
			      .priority = STORE_QUOTA,
			      .timeout_us = WRITE_TIMEOUT_US};
	struct store_done done = {.ctx = q, .fn = renew_done};
	struct renew_batch *b = calloc(1, sizeof(*b));
	struct account_group *g, *next;

	if (!b)
		return;
	q->renewing_count = 0;
	HASH_ITER(hh, q->account_groups, g, next)
	if (b->n < RENEW_BATCH_MAX && renew_is_due(q, g, now))
		batch_add(q, b, g);
	q->next_renew_us = now + (b->n ? USEC_PER_SEC
				       : q->hold_us / RENEWALS_PER_HOLD / 2);
	if (b->n) {
		op.txn.compares = b->compares;
		op.txn.compare_count = b->n;
		op.txn.writes = b->writes;
		op.txn.write_count = b->n;
		q->renew_pending = true;
		q->renew_sent_us = now;
		store_submit(q->o.store, &op, &done, now);
	}
	free(b);
}
