#include "control/claims/claims_impl.h"

#include <string.h>

/*
 * Cleanup of discarded claims: those whose request never ran, while a write of
 * unknown result may have left a record in the store. Their keys are read, and
 * the records found are removed.
 */

/*
 * Time between reads of a key. A write of unknown result may reach the store
 * after the claim was discarded and the key was read once.
 */
#define REREAD_US (10 * USEC_PER_SEC)
#define RETRY_US (500 * USEC_PER_MSEC)
#define CLEANUP_READS_MAX 2
/* Below the priority of claims that a requester waits for. */
#define CLEANUP_PRIORITY STORE_QUOTA

/*
 * Discards a claim whose request did not run. If the claim may be in the
 * store, its key is read and the claim removed if found: at once if
 * cleanup_reads is 0, otherwise after REREAD_US.
 */
void claim_discard(struct claims *c, struct claim *e, uint32_t cleanup_reads,
		   int64_t now)
{
	if (!e->maybe_written) {
		claim_remove(c, e);
		return;
	}
	if (e->phase != PHASE_WAIT)
		HASH_DELETE(hh, c->by_key, e);
	e->phase = PHASE_CLEANUP;
	e->in_flight = false;
	e->cleanup_reads = cleanup_reads;
	e->not_before_us = cleanup_reads ? now + REREAD_US : now;
}

const struct store_entry *claim_find_entry(const struct store_result *r,
					   const char *key)
{
	size_t i;

	for (i = 0; i < r->n; i++)
		if (!strcmp(r->entries[i].key, key))
			return &r->entries[i];
	return NULL;
}

static void schedule_retry(struct claim *e, int64_t after_us, int64_t now)
{
	e->in_flight = false;
	e->not_before_us = now + after_us;
}

static void retry_batch(struct claims *c, int64_t after_us, int64_t now)
{
	size_t i;

	for (i = 0; i < c->cleanup.n; i++)
		schedule_retry(claim_get(c, c->cleanup.claims[i]), after_us,
			       now);
	c->cleanup_busy = false;
}

static void remove_done(void *ctx, uint64_t tag, const struct store_result *r,
			int64_t now)
{
	struct claims *c = ctx;
	size_t i;

	(void)tag;
	if (r->outcome != STORE_DONE) {
		retry_batch(c, RETRY_US, now);
		return;
	}
	for (i = 0; i < c->cleanup.n; i++)
		claim_get(c, c->cleanup.claims[i])->cleanup_reads = 1;
	retry_batch(c, REREAD_US, now);
}

/* Removes the claims of the batch if they are still at the revisions read. */
static void remove_found(struct claims *c, int64_t now)
{
	struct store_compare compares[STORE_TXN_OPS_MAX];
	struct store_write writes[STORE_TXN_OPS_MAX];
	struct store_op op = {
		.kind = STORE_TXN,
		.priority = CLEANUP_PRIORITY,
		.txn = {.compares = compares,
			.compare_count = c->cleanup.n,
			.writes = writes,
			.write_count = c->cleanup.n},
	};
	size_t i;

	for (i = 0; i < c->cleanup.n; i++) {
		const struct claim *e = claim_get(c, c->cleanup.claims[i]);

		compares[i] =
			(struct store_compare){e->key, e->expected_revision};
		writes[i] = (struct store_write){.key = e->key, .remove = true};
	}
	claim_submit(c, &op, 0, remove_done, now);
}

static bool has_own_token(const struct claim *e,
			  const struct store_entry *found)
{
	struct claim_record r;

	return found && !record_decode(&r, found->value, found->len) &&
	       !strcmp(r.token, e->record.token);
}

static void schedule_next_read(struct claims *c, struct claim *e, int64_t now)
{
	if (++e->cleanup_reads < CLEANUP_READS_MAX)
		schedule_retry(e, REREAD_US, now);
	else
		claim_remove(c, e);
}

static void read_done(void *ctx, uint64_t tag, const struct store_result *r,
		      int64_t now)
{
	struct claims *c = ctx;
	size_t i, n = 0;

	(void)tag;
	if (r->outcome != STORE_CONFLICT) {
		retry_batch(c, RETRY_US, now);
		return;
	}
	for (i = 0; i < c->cleanup.n; i++) {
		uint64_t handle = c->cleanup.claims[i];
		struct claim *e = claim_get(c, handle);
		const struct store_entry *found = claim_find_entry(r, e->key);

		if (!has_own_token(e, found)) {
			schedule_next_read(c, e, now);
			continue;
		}
		e->expected_revision = found->mod_revision;
		c->cleanup.claims[n++] = handle;
	}
	c->cleanup.n = n;
	c->cleanup_busy = n > 0;
	if (n)
		remove_found(c, now);
}

static void collect_due(struct claims *c, const char **reads, int64_t now)
{
	uint64_t handle = 0;
	void *item;

	c->cleanup.n = 0;
	while (c->cleanup.n < STORE_TXN_OPS_MAX &&
	       (handle = table_next(&c->table, handle, &item))) {
		struct claim *e = *(struct claim **)item;

		if (e->phase != PHASE_CLEANUP || e->not_before_us > now)
			continue;
		e->in_flight = true;
		reads[c->cleanup.n] = e->key;
		c->cleanup.claims[c->cleanup.n++] = handle;
	}
}

/* Reads the keys of discarded claims whose next read is due. */
void claims_cleanup_tick(struct claims *c, int64_t now)
{
	/*
	 * No record has this revision, so the compare always fails. The reads
	 * of a transaction are done only if a compare fails.
	 */
	static const struct store_compare never = {CLAIM_PREFIX, 1};
	const char *reads[STORE_TXN_OPS_MAX];
	struct store_op op = {
		.kind = STORE_TXN,
		.priority = CLEANUP_PRIORITY,
		.txn = {.compares = &never, .compare_count = 1, .reads = reads},
	};

	if (c->cleanup_busy)
		return;
	collect_due(c, reads, now);
	op.txn.read_count = c->cleanup.n;
	if (!c->cleanup.n)
		return;
	c->cleanup_busy = true;
	claim_submit(c, &op, 0, read_done, now);
}
