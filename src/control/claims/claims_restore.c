/*
 * Claims that the store may have lost. A store that comes back from an older
 * copy has lost the records written since; a repeat of such a key would run its
 * request again. So each node remembers the records that it wrote of late, and
 * writes those that are missing again before any key is claimed.
 */
#include "control/claims/claims_impl.h"

#include <stdlib.h>
#include <string.h>

/* Records older than this are in every copy. */
#define COPY_AGE_MAX_US (60 * USEC_PER_SEC)
#define WRITTEN_MAX 8192
/* Above this, records are remembered without the answer that they hold. */
#define WRITTEN_BYTES_MAX (4 * 1024 * 1024)
#define RETRY_US (100 * USEC_PER_MSEC)
/* After this time records of done claims are written without a lease. */
#define LEASE_WAIT_US (500 * USEC_PER_MSEC)

static struct written *written_at(const struct claims *c, size_t i)
{
	return &c->written[(c->written_first + i) % WRITTEN_MAX];
}

static void forget_oldest(struct claims *c)
{
	struct written *w = written_at(c, 0);

	c->written_bytes -= w->value.len;
	buffer_free(&w->value);
	c->written_first = (c->written_first + 1) % WRITTEN_MAX;
	c->written_count--;
}

static void forget_old(struct claims *c, int64_t now)
{
	while (c->written_count &&
	       now - written_at(c, 0)->written_us > COPY_AGE_MAX_US)
		forget_oldest(c);
}

static int encode_without_answer(const struct claim *e, struct buffer *value)
{
	struct claim_record r = e->record;

	r.status = 0;
	r.content_type[0] = '\0';
	r.body = NULL;
	r.body_len = 0;
	return record_encode(&r, value);
}

/* Forgets the record of a claim that was released or has an outcome now. */
void claim_forget(struct claims *c, struct claim *e)
{
	size_t i;

	if (!e->remembered)
		return;
	e->remembered = false;
	/* Its record may be on its way to the store. */
	e->maybe_written = true;
	for (i = 0; i < c->written_count; i++) {
		struct written *w = written_at(c, i);

		if (strcmp(w->key, e->key) != 0)
			continue;
		c->written_bytes -= w->value.len;
		buffer_free(&w->value);
		w->key[0] = '\0';
		w->missing = false;
	}
}

/*
 * Remembers the record that a claim has in the store, or should have. Takes
 * over the claim's encoded value if it has one.
 */
void claim_remember(struct claims *c, struct claim *e, int64_t now)
{
	struct buffer value = {0};
	struct written *w;

	if (!c->written)
		c->written = calloc(WRITTEN_MAX, sizeof(*c->written));
	if (!c->written)
		return;
	claim_forget(c, e);
	forget_old(c, now);
	if (c->written_count == WRITTEN_MAX)
		forget_oldest(c);
	if (e->value.len && c->written_bytes < WRITTEN_BYTES_MAX) {
		value = e->value;
		e->value = (struct buffer){0};
	} else if (encode_without_answer(e, &value) < 0) {
		buffer_free(&value);
		return;
	}
	w = written_at(c, c->written_count++);
	*w = (struct written){
		.value = value,
		.written_us = now,
		.is_done = e->record.state == RECORD_DONE,
	};
	memcpy(w->key, e->key, sizeof(w->key));
	c->written_bytes += value.len;
	e->remembered = true;
}

void claims_written_free(struct claims *c)
{
	while (c->written_count)
		forget_oldest(c);
	free(c->written);
}

/* Compares a claim's next write with the new history, and remembers it. */
static void restore_claim(struct claims *c, struct claim *e, int64_t now)
{
	switch (e->phase) {
	case PHASE_WAIT:
	case PHASE_CLEANUP:
		return;
	case PHASE_CREATE:
		e->expected_revision = 0;
		return;
	case PHASE_HELD:
		e->expected_revision = 0;
		claim_remember(c, e, now);
		return;
	case PHASE_ENDING:
		e->expected_revision = 0;
		if (e->outcome != CLAIM_OUTCOME_REMOVED) {
			struct buffer value = e->value;

			e->value = (struct buffer){0};
			claim_remember(c, e, now);
			e->value = value;
		}
		return;
	}
}

/*
 * Has the records of this node written again that the store may have lost, and
 * gives up the lease of done claims, whose id may be another's now. See
 * store_on_replaced; no key is claimed until store_settled_us.
 */
void claims_store_replaced(struct claims *c, int64_t now)
{
	struct log_line line;
	uint64_t handle = 0;
	void *item;
	size_t i;

	claims_lease_lost(c);
	forget_old(c, now);
	while ((handle = table_next(&c->table, handle, &item)))
		restore_claim(c, *(struct claim **)item, now);
	for (i = 0; i < c->written_count; i++) {
		struct written *w = written_at(c, i);

		w->missing = w->key[0] != '\0';
		w->expected_revision = 0;
	}
	c->restoring = c->written_count > 0;
	c->restored_us = now;
	c->restore_next_us = now;
	log_start(&line, LOG_NOTICE, "claims-restore");
	log_int(&line, "records", (int64_t)c->written_count);
	log_emit(&line);
}

static void log_conflict(const struct written *w,
			 const struct claim_record *ours,
			 const struct claim_record *theirs)
{
	struct log_line line;

	log_start(&line, LOG_WARNING, "claim-conflict");
	log_str(&line, "key", w->key);
	log_str(&line, "request", ours->request);
	log_str(&line, "other_request", theirs->request);
	log_str(&line, "outcome", w->missing ? "replaced" : "kept");
	log_emit(&line);
}

/*
 * Compares a record with the one that the store has in its place. A claim
 * without an outcome is either the same one, from before its outcome was
 * written, or one that was made before its node knew of the restore, which must
 * not run.
 */
static void compare_with_found(struct written *w,
			       const struct store_entry *found)
{
	struct claim_record ours, theirs;
	bool same;

	w->expected_revision = 0;
	if (!found)
		return;
	w->missing = false;
	if (record_decode(&ours, w->value.data, w->value.len) < 0 ||
	    record_decode(&theirs, found->value, found->len) < 0)
		return;
	same = !strcmp(ours.token, theirs.token);
	if (theirs.state == RECORD_CLAIMED &&
	    !(same && ours.state == RECORD_CLAIMED)) {
		w->expected_revision = found->mod_revision;
		w->missing = true;
	}
	if (!same)
		log_conflict(w, &ours, &theirs);
}

static void write_done(void *ctx, uint64_t tag, const struct store_result *r,
		       int64_t now)
{
	struct claims *c = ctx;
	size_t i;

	(void)tag;
	c->restore_busy = false;
	c->restore_next_us = now;
	if (r->outcome != STORE_DONE && r->outcome != STORE_CONFLICT)
		c->restore_next_us = now + RETRY_US;
	for (i = 0; i < c->written_count; i++) {
		struct written *w = written_at(c, i);

		if (!w->in_batch)
			continue;
		w->in_batch = false;
		if (r->outcome == STORE_DONE)
			w->missing = false;
		else if (r->outcome == STORE_CONFLICT)
			compare_with_found(w, claim_find_entry(r, w->key));
	}
}

static bool holds_key(const char *const *keys, size_t n, const char *key)
{
	size_t i;

	for (i = 0; i < n; i++)
		if (!strcmp(keys[i], key))
			return true;
	return false;
}

/* Writes the next missing records, one transaction at a time. */
static void write_missing(struct claims *c, int64_t now)
{
	struct store_compare compares[STORE_TXN_OPS_MAX];
	struct store_write writes[STORE_TXN_OPS_MAX];
	const char *reads[STORE_TXN_OPS_MAX];
	struct store_op op = {.kind = STORE_TXN};
	size_t i, n = 0, bytes = 0;

	for (i = 0; i < c->written_count && n < c->batch_max; i++) {
		struct written *w = written_at(c, i);

		if (!w->missing || holds_key(reads, n, w->key))
			continue;
		if (n && bytes + w->value.len > CLAIM_BATCH_BYTES_MAX)
			break;
		bytes += w->value.len;
		w->in_batch = true;
		compares[n].key = w->key;
		compares[n].mod_revision = w->expected_revision;
		writes[n] = (struct store_write){
			.key = w->key,
			.value = w->value.data,
			.len = w->value.len,
			.lease = w->is_done ? c->lease : 0,
		};
		reads[n++] = w->key;
	}
	c->restore_busy = n > 0;
	c->restoring = n > 0;
	if (!n)
		return;
	op.txn.compares = compares;
	op.txn.writes = writes;
	op.txn.reads = reads;
	op.txn.compare_count = op.txn.write_count = op.txn.read_count = n;
	claim_submit(c, &op, 0, write_done, now);
}

/* Writes missing records, once there is a lease for those that are done. */
void claims_restore_tick(struct claims *c, int64_t now)
{
	if (!c->restoring || c->restore_busy || now < c->restore_next_us)
		return;
	if (!c->lease && now - c->restored_us < LEASE_WAIT_US) {
		claims_lease_tick(c, now);
		return;
	}
	write_missing(c, now);
}
