#include "control/claims/claims_impl.h"

#include <stdlib.h>
#include <string.h>

#define BATCHES_IN_FLIGHT 2
/*
 * While a batch is in flight, the next one of its kind starts this long after
 * it. Claims that arrive in between share one write, and a store call that
 * hangs delays them no longer than this.
 */
#define BATCH_WAIT_US (50 * USEC_PER_MSEC)
#define BACKOFF_MIN_US (10 * USEC_PER_MSEC)
#define BACKOFF_MAX_US (500 * USEC_PER_MSEC)
/*
 * Outcomes wait this long for others to share a write with. They are written
 * sooner if a new claim starts a batch.
 */
#define OUTCOME_DELAY_US (20 * USEC_PER_MSEC)
/* After this time a done claim is written without a lease. */
#define LEASE_WAIT_US (5 * USEC_PER_SEC)

static bool is_due(const struct claims *c, const struct claim *e,
		   enum phase phase, bool joins_batch, int64_t now)
{
	if (e->phase != phase || e->in_flight || e->not_before_us > now)
		return false;
	if (phase == PHASE_CREATE)
		return e->requester_waiting &&
		       now >= store_settled_us(c->options.store);
	if (e->outcome == CLAIM_OUTCOME_DONE && !c->lease &&
	    now - e->ended_us < LEASE_WAIT_US)
		return false;
	return joins_batch || now - e->ended_us >= OUTCOME_DELAY_US;
}

static void collect_due(struct claims *c, enum phase phase, struct batch *b,
			int64_t now)
{
	bool joins_batch = b->n > 0;
	uint64_t handle = 0;
	void *item;

	while (b->n < c->batch_max &&
	       (handle = table_next(&c->table, handle, &item))) {
		struct claim *e = *(struct claim **)item;

		if (e->batch_kind != b->kind ||
		    !is_due(c, e, phase, joins_batch, now))
			continue;
		if (b->n && b->bytes + e->value.len > CLAIM_BATCH_BYTES_MAX)
			return;
		b->bytes += e->value.len;
		b->claims[b->n++] = handle;
	}
}

static struct store_write make_write(const struct claims *c,
				     const struct claim *e)
{
	bool done =
		e->phase == PHASE_ENDING && e->outcome == CLAIM_OUTCOME_DONE;
	bool remove =
		e->phase == PHASE_ENDING && e->outcome == CLAIM_OUTCOME_REMOVED;

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
		compares[i].mod_revision = e->expected_revision;
		writes[i] = make_write(c, e);
		reads[i] = e->key;
	}
	claim_submit(c, &op, tag, batch_done, now);
}

static bool may_start(const struct claims *c, enum batch_kind kind, int64_t now)
{
	if (!c->batches_in_flight[kind])
		return true;
	return c->batches_in_flight[kind] < BATCHES_IN_FLIGHT &&
	       now - c->last_batch_us[kind] >= BATCH_WAIT_US;
}

/* Starts one batch; false if nothing is due or memory is short. */
static bool start_batch(struct claims *c, enum batch_kind kind, int64_t now)
{
	struct batch *b = calloc(1, sizeof(*b));
	uint64_t tag;
	void *item;

	if (!b)
		return false;
	b->kind = kind;
	collect_due(c, PHASE_CREATE, b, now);
	collect_due(c, PHASE_ENDING, b, now);
	tag = b->n ? table_add(&c->batches, &item) : 0;
	if (!tag) {
		free(b);
		return false;
	}
	*(struct batch **)item = b;
	c->batches_in_flight[kind]++;
	c->last_batch_us[kind] = now;
	submit(c, b, tag, now);
	return true;
}

void claims_flush(struct claims *c, int64_t now)
{
	int kind;

	for (kind = 0; kind < BATCH_KINDS; kind++)
		while (may_start(c, (enum batch_kind)kind, now))
			if (!start_batch(c, (enum batch_kind)kind, now))
				break;
}

static void write_succeeded(struct claims *c, struct claim *e, int64_t revision,
			    int64_t now)
{
	if (e->phase == PHASE_CREATE) {
		counter_add(COUNTER_CLAIMS, 1);
		claim_acquired(c, e, revision, now);
	} else if (e->outcome == CLAIM_OUTCOME_REMOVED) {
		claim_discard(c, e, 1, now);
	} else {
		claim_remember(c, e, now);
		claim_remove(c, e);
	}
}

static void report_lost(struct claims *c, struct claim *e)
{
	struct log_line line;

	log_start(&line, LOG_ERR, "claim-lost");
	log_str(&line, "key", e->key);
	log_str(&line, "request", e->record.request);
	log_emit(&line);
	claim_remove(c, e);
}

/* Handles an outcome write that found a revision other than the expected. */
static void outcome_conflict(struct claims *c, struct claim *e,
			     const struct store_entry *found, int64_t now)
{
	struct claim_record r;
	bool ours;

	if (!found && e->outcome == CLAIM_OUTCOME_REMOVED) {
		claim_discard(c, e, 1, now);
		return;
	}
	ours = !found || (!record_decode(&r, found->value, found->len) &&
			  !strcmp(r.token, e->record.token));
	if (!ours) {
		report_lost(c, e);
		return;
	}
	/*
	 * The outcome is stored already: the store's answer to the write was
	 * lost, or another node marked the claim as unresolved.
	 */
	if (found && e->outcome != CLAIM_OUTCOME_REMOVED &&
	    r.state == e->record.state) {
		claim_remember(c, e, now);
		claim_remove(c, e);
		return;
	}
	e->expected_revision = found ? found->mod_revision : 0;
}

static void write_conflict(struct claims *c, struct claim *e,
			   const struct store_entry *found, int64_t now)
{
	e->in_flight = false;
	e->not_before_us = now;
	e->batch_kind = BATCH_READ_KEYS;
	/* The compare that failed was that of another claim in the batch. */
	if ((found ? found->mod_revision : 0) == e->expected_revision)
		return;
	if (e->phase == PHASE_ENDING)
		outcome_conflict(c, e, found, now);
	else if (found)
		claim_resolve_conflict(c, e, found, now);
	else
		e->expected_revision = 0;
}

static void write_failed(struct claims *c, struct claim *e, bool unknown,
			 int64_t now)
{
	e->in_flight = false;
	e->maybe_written |= unknown;
	e->not_before_us = now + c->backoff_us;
}

/* Adapts back-off and batch size to the result of a store call. */
static void adapt_to_store(struct claims *c, const struct store_result *r)
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
	/* A claim that the store rejects must not block the others. */
	if (r->err.code == ERROR_INPUT)
		c->batch_max = 1;
}

static void apply_result(struct claims *c, struct claim *e,
			 const struct store_result *r, int64_t now)
{
	switch (r->outcome) {
	case STORE_DONE:
		write_succeeded(c, e, r->revision, now);
		break;
	case STORE_CONFLICT:
		write_conflict(c, e, claim_find_entry(r, e->key), now);
		break;
	case STORE_NOT_DONE:
		write_failed(c, e, false, now);
		break;
	case STORE_UNKNOWN:
		write_failed(c, e, true, now);
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
	c->batches_in_flight[b->kind]--;
	adapt_to_store(c, r);
	for (i = 0; i < b->n; i++) {
		e = claim_get(c, b->claims[i]);
		if (e)
			apply_result(c, e, r, now);
	}
	free(b);
	claims_flush(c, now);
}
