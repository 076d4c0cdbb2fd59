#include "control/claims_impl.h"

#include <stdlib.h>
#include <string.h>

#define BATCHES_IN_FLIGHT 2
/*
 * A second batch waits this long for the first: what comes meanwhile shares
 * one write, and a call that hangs holds up others no longer.
 */
#define BATCH_WAIT_US (50 * USEC_PER_MSEC)
#define BATCH_BYTES_MAX (512 * 1024)
#define BACKOFF_MIN_US (10 * USEC_PER_MSEC)
#define BACKOFF_MAX_US (500 * USEC_PER_MSEC)
/* Ends wait this long for others, or for a claim, to share a write with. */
#define FINAL_DELAY_US (20 * USEC_PER_MSEC)
/* A done claim is written without a lease rather than later than this. */
#define LEASE_WAIT_US (5 * USEC_PER_SEC)

static bool is_due(const struct claims *c, const struct claim *e,
		   enum phase phase, bool shared, int64_t now)
{
	if (e->phase != phase || e->in_flight || e->not_before_us > now)
		return false;
	if (phase == PHASE_CREATE)
		return e->waited_for;
	if (e->final == FINAL_DONE && !c->lease &&
	    now - e->ended_us < LEASE_WAIT_US)
		return false;
	return shared || now - e->ended_us >= FINAL_DELAY_US;
}

static void collect(struct claims *c, enum phase phase, struct batch *b,
		    int64_t now)
{
	bool shared = b->n > 0;
	uint64_t handle = 0;
	void *item;

	while (b->n < c->batch_max &&
	       (handle = table_next(&c->table, handle, &item))) {
		struct claim *e = *(struct claim **)item;

		if (e->lane != b->lane || !is_due(c, e, phase, shared, now))
			continue;
		if (b->n && b->bytes + e->value.len > BATCH_BYTES_MAX)
			return;
		b->bytes += e->value.len;
		b->claims[b->n++] = handle;
	}
}

static struct store_write write_of(const struct claims *c,
				   const struct claim *e)
{
	bool done = e->phase == PHASE_FINAL && e->final == FINAL_DONE;
	bool remove = e->phase == PHASE_FINAL && e->final == FINAL_REMOVED;

	return (struct store_write){
		.key = e->key,
		.value = e->value.data,
		.len = e->value.len,
		.lease = done ? c->lease : 0,
		.remove = remove,
	};
}

static void batch_done(void *ctx, uint64_t tag, const struct store_result *r,
		       int64_t now);

static void submit(struct claims *c, const struct batch *b, uint64_t tag,
		   int64_t now)
{
	struct store_compare compares[STORE_TXN_OPS_MAX];
	struct store_write writes[STORE_TXN_OPS_MAX];
	const char *reads[STORE_TXN_OPS_MAX];
	struct store_op op = {
		.kind = STORE_TXN,
		.txn = {compares, b->n, writes, b->n, reads, b->n},
	};
	size_t i;

	for (i = 0; i < b->n; i++) {
		struct claim *e = claim_get(c, b->claims[i]);

		e->in_flight = true;
		compares[i].key = e->key;
		compares[i].mod_revision = e->expected;
		writes[i] = write_of(c, e);
		reads[i] = e->key;
	}
	claim_submit(c, &op, tag, batch_done, now);
}

static bool may_start(const struct claims *c, enum lane lane, int64_t now)
{
	if (!c->in_flight[lane])
		return true;
	return c->in_flight[lane] < BATCHES_IN_FLIGHT &&
	       now - c->started_us_of[lane] >= BATCH_WAIT_US;
}

/* Starts one batch; false when nothing is due. */
static bool start_batch(struct claims *c, enum lane lane, int64_t now)
{
	struct batch *b = calloc(1, sizeof(*b));
	uint64_t tag;
	void *item;

	if (!b)
		return false;
	b->lane = lane;
	collect(c, PHASE_CREATE, b, now);
	collect(c, PHASE_FINAL, b, now);
	tag = b->n ? table_add(&c->batches, &item) : 0;
	if (!tag) {
		free(b);
		return false;
	}
	*(struct batch **)item = b;
	c->in_flight[lane]++;
	c->started_us_of[lane] = now;
	submit(c, b, tag, now);
	return true;
}

/* Writes what is due, in batches. */
void claims_flush(struct claims *c, int64_t now)
{
	int lane;

	for (lane = 0; lane < LANES; lane++)
		while (may_start(c, (enum lane)lane, now))
			if (!start_batch(c, (enum lane)lane, now))
				break;
}

static void written(struct claims *c, struct claim *e, int64_t revision,
		    int64_t now)
{
	if (e->phase == PHASE_CREATE) {
		counter_add(COUNTER_CLAIMS, 1);
		claim_won(c, e, revision, now);
	} else if (e->final == FINAL_REMOVED) {
		claim_check(c, e, 1, now);
	} else {
		claim_remove(c, e);
	}
}

static void end_lost(struct claims *c, struct claim *e)
{
	struct log_line line;

	log_start(&line, LOG_ERR, "claim-lost");
	log_str(&line, "key", e->key);
	log_str(&line, "request", e->record.request);
	log_emit(&line);
	claim_remove(c, e);
}

/* The end of a claim met another record than the one it replaces. */
static void end_conflict(struct claims *c, struct claim *e,
			 const struct store_entry *found, int64_t now)
{
	struct claim_record r;
	bool ours;

	if (!found && e->final == FINAL_REMOVED) {
		claim_check(c, e, 1, now);
		return;
	}
	ours = !found || (!record_decode(&r, found->value, found->len) &&
			  !strcmp(r.token, e->record.token));
	if (!ours) {
		end_lost(c, e);
		return;
	}
	/* An answer was lost after the write, or another node marked it. */
	if (found && e->final != FINAL_REMOVED && r.state == e->record.state) {
		claim_remove(c, e);
		return;
	}
	e->expected = found ? found->mod_revision : 0;
}

static void conflict(struct claims *c, struct claim *e,
		     const struct store_entry *found, int64_t now)
{
	e->in_flight = false;
	e->not_before_us = now;
	e->lane = LANE_SEEN;
	/* The compare that failed may have been that of another claim. */
	if ((found ? found->mod_revision : 0) == e->expected)
		return;
	if (e->phase == PHASE_FINAL)
		end_conflict(c, e, found, now);
	else if (found)
		claim_judge(c, e, found, now);
	else
		e->expected = 0;
}

static void not_answered(struct claims *c, struct claim *e, bool unknown,
			 int64_t now)
{
	e->in_flight = false;
	e->maybe_written |= unknown;
	e->not_before_us = now + c->backoff_us;
}

/* Adapts pace and size of batches to how the store does. */
static void adapt(struct claims *c, const struct store_result *r)
{
	if (r->outcome == STORE_DONE || r->outcome == STORE_CONFLICT) {
		c->backoff_us = 0;
		c->batch_max *= 2;
		if (c->batch_max > STORE_TXN_OPS_MAX)
			c->batch_max = STORE_TXN_OPS_MAX;
		return;
	}
	c->backoff_us *= 2;
	if (c->backoff_us < BACKOFF_MIN_US)
		c->backoff_us = BACKOFF_MIN_US;
	if (c->backoff_us > BACKOFF_MAX_US)
		c->backoff_us = BACKOFF_MAX_US;
	if (r->err.code == ERROR_NOT_FOUND)
		claims_lease_lost(c);
	/* One claim that the store refuses must not hold up the others. */
	if (r->err.code == ERROR_INPUT)
		c->batch_max = 1;
}

static void settle(struct claims *c, struct claim *e,
		   const struct store_result *r, int64_t now)
{
	switch (r->outcome) {
	case STORE_DONE:
		written(c, e, r->revision, now);
		break;
	case STORE_CONFLICT:
		conflict(c, e, claim_find_entry(r, e->key), now);
		break;
	case STORE_NOT_DONE:
		not_answered(c, e, false, now);
		break;
	case STORE_UNKNOWN:
		not_answered(c, e, true, now);
		break;
	}
}

static void batch_done(void *ctx, uint64_t tag, const struct store_result *r,
		       int64_t now)
{
	struct claims *c = ctx;
	struct batch **slot = table_get(&c->batches, tag);
	struct batch *b = *slot;
	struct claim *e;
	size_t i;

	table_remove(&c->batches, tag);
	c->in_flight[b->lane]--;
	adapt(c, r);
	for (i = 0; i < b->n; i++) {
		e = claim_get(c, b->claims[i]);
		if (e)
			settle(c, e, r, now);
	}
	free(b);
	claims_flush(c, now);
}
