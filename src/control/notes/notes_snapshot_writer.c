/*
 * Writes snapshots to the store, so that old notes can be removed. One node in
 * each data centre may write. Packing is canonical, so concurrent writers of
 * the same number write the same bytes; between different numbers, the
 * compare-and-swap of snapshot/head decides.
 */
#include "control/notes/notes_impl.h"

#include <string.h>

#define WRITERS 1 /* per data centre */
#define PART_SIZE (500 * 1024)
/*
 * Pause between attempts, and upper limit of the random delay that keeps the
 * data centres from writing at the same time.
 */
#define WRITE_DELAY_US (30 * USEC_PER_SEC)
#define SWEEP_BATCH 64
/* Notes swept again, as an earlier sweep may have been interrupted. */
#define SWEEP_OVERLAP 1000
#define SWEEP_INTERVAL_US (250 * USEC_PER_MSEC)

static uint64_t writer_topic(void)
{
	return name_hash("snapshot");
}

static void submit(struct notes *n, struct store_op *op,
		   void (*fn)(void *, uint64_t, const struct store_result *,
			      int64_t),
		   int64_t now)
{
	struct store_done done = {.ctx = n, .fn = fn};

	op->priority = STORE_CONFIG;
	op->timeout_us = STORE_TIMEOUT_US;
	store_submit(n->o.store, op, &done, now);
}

static int64_t random_delay(struct notes *n)
{
	return (int64_t)(notes_random(n) % WRITE_DELAY_US);
}

static void end_write(struct notes *n, int64_t now)
{
	struct snapshot_writer *w = &n->writer;

	buffer_free(&w->bytes);
	w->step = WRITER_IDLE;
	w->write_scheduled = false;
	w->next_us = now + WRITE_DELAY_US;
}

static void on_swept(void *ctx, uint64_t tag, const struct store_result *r,
		     int64_t now)
{
	struct notes *n = ctx;

	(void)tag;
	if (r->outcome == STORE_DONE) {
		n->writer.sweep += SWEEP_BATCH;
		n->writer.next_us = now + SWEEP_INTERVAL_US;
	} else {
		end_write(n, now);
	}
}

/* Removes a batch of notes that the previous snapshot includes. */
static void sweep(struct notes *n, int64_t now)
{
	struct snapshot_writer *w = &n->writer;
	char keys[SWEEP_BATCH][NOTE_KEY_SIZE];
	struct store_write writes[SWEEP_BATCH] = {0};
	struct store_op op = {.kind = STORE_TXN};
	size_t i;

	for (i = 0; i < SWEEP_BATCH && w->sweep + i <= w->head.previous; i++) {
		note_key(keys[i], w->sweep + i);
		writes[i].key = keys[i];
		writes[i].remove = true;
	}
	if (!i) {
		end_write(n, now);
		return;
	}
	op.txn.writes = writes;
	op.txn.write_count = i;
	w->next_us = INT64_MAX;
	submit(n, &op, on_swept, now);
}

static void on_removed(void *ctx, uint64_t tag, const struct store_result *r,
		       int64_t now)
{
	(void)ctx;
	(void)tag;
	(void)now;
	if (r->outcome != STORE_DONE)
		log_error(LOG_WARNING, "snapshot-remove", &r->err);
}

/* Removes all parts of a snapshot. A failure is logged, not retried. */
static void remove_parts(struct notes *n, uint64_t number, uint32_t parts,
			 int64_t now)
{
	char keys[STORE_TXN_OPS_MAX][NOTE_KEY_SIZE];
	struct store_write writes[STORE_TXN_OPS_MAX] = {0};
	struct store_op op = {.kind = STORE_TXN};
	uint32_t i;

	if (!number)
		return;
	for (i = 0; i < parts && i < STORE_TXN_OPS_MAX; i++) {
		snapshot_key(keys[i], number, i);
		writes[i].key = keys[i];
		writes[i].remove = true;
	}
	op.txn.writes = writes;
	op.txn.write_count = i;
	submit(n, &op, on_removed, now);
}

static void on_switched(void *ctx, uint64_t tag, const struct store_result *r,
			int64_t now)
{
	struct notes *n = ctx;
	struct snapshot_writer *w = &n->writer;
	struct snapshot_head winner = {0};

	(void)tag;
	if (r->outcome == STORE_DONE) {
		w->stored_number = w->head.number;
		buffer_free(&w->bytes);
		remove_parts(n, w->old.previous, w->old.previous_parts, now);
		w->sweep = w->old.previous > SWEEP_OVERLAP
				   ? w->old.previous - SWEEP_OVERLAP
				   : 1;
		w->step = WRITER_SWEEP;
		w->next_us = now;
		return;
	}
	/* Another writer won: remove our parts unless its head lists them. */
	if (r->outcome == STORE_CONFLICT && r->n &&
	    !snapshot_head_read(&winner, r->entries[0].value,
				r->entries[0].len) &&
	    winner.number != w->head.number &&
	    winner.previous != w->head.number)
		remove_parts(n, w->head.number, w->head.parts, now);
	end_write(n, now);
}

static void switch_head(struct notes *n, int64_t now)
{
	struct snapshot_writer *w = &n->writer;
	struct store_compare compare = {snapshot_head_key,
					w->head_mod_revision};
	const char *const reads[] = {snapshot_head_key};
	struct store_write write = {.key = snapshot_head_key};
	struct store_op op = {.kind = STORE_TXN};
	struct buffer value = {0};

	if (snapshot_head_write(&w->head, &value) < 0) {
		end_write(n, now);
		return;
	}
	write.value = value.data;
	write.len = value.len;
	op.txn.compares = &compare;
	op.txn.compare_count = 1;
	op.txn.writes = &write;
	op.txn.write_count = 1;
	op.txn.reads = reads;
	op.txn.read_count = 1;
	w->step = WRITER_SWITCH;
	submit(n, &op, on_switched, now);
	buffer_free(&value);
}

static void on_part(void *ctx, uint64_t tag, const struct store_result *r,
		    int64_t now);

static void write_part(struct notes *n, int64_t now)
{
	struct snapshot_writer *w = &n->writer;
	size_t offset = (size_t)w->part * PART_SIZE;
	size_t len = w->bytes.len - offset;
	char key[NOTE_KEY_SIZE];
	struct store_write write = {.key = key,
				    .value = w->bytes.data + offset,
				    .len = len < PART_SIZE ? len : PART_SIZE};
	struct store_op op = {.kind = STORE_TXN};

	op.txn.writes = &write;
	op.txn.write_count = 1;
	snapshot_key(key, w->head.number, w->part);
	w->step = WRITER_PART;
	submit(n, &op, on_part, now);
}

/* A part may be written twice, as the bytes are the same. */
static void on_part(void *ctx, uint64_t tag, const struct store_result *r,
		    int64_t now)
{
	struct notes *n = ctx;
	struct snapshot_writer *w = &n->writer;

	(void)tag;
	if (r->outcome != STORE_DONE)
		end_write(n, now);
	else if (++w->part < w->head.parts)
		write_part(n, now);
	else
		switch_head(n, now);
}

static void on_head(void *ctx, uint64_t tag, const struct store_result *r,
		    int64_t now)
{
	struct notes *n = ctx;
	struct snapshot_writer *w = &n->writer;

	(void)tag;
	memset(&w->old, 0, sizeof(w->old));
	if (r->outcome != STORE_DONE ||
	    (r->n && snapshot_head_read(&w->old, r->entries[0].value,
					r->entries[0].len) < 0)) {
		end_write(n, now);
		return;
	}
	w->stored_number = w->old.number;
	w->head_mod_revision = r->n ? r->entries[0].mod_revision : 0;
	if (notes_number(n) < w->stored_number + SNAPSHOT_INTERVAL_NOTES ||
	    config_pack(n->config, &w->bytes) < 0) {
		end_write(n, now);
		return;
	}
	w->head.number = notes_number(n);
	w->head.parts = (uint32_t)((w->bytes.len + PART_SIZE - 1) / PART_SIZE);
	w->head.previous = w->old.number;
	w->head.previous_parts = w->old.parts;
	w->part = 0;
	write_part(n, now);
}

/* Starts a snapshot every SNAPSHOT_INTERVAL_NOTES, and sweeps after it. */
void snapshot_writer_tick(struct notes *n, int64_t now)
{
	struct store_op op = {.kind = STORE_GET, .key = snapshot_head_key};
	struct snapshot_writer *w = &n->writer;

	if (!n->o.store || now < w->next_us)
		return;
	if (w->step == WRITER_SWEEP)
		sweep(n, now);
	if (w->step != WRITER_IDLE ||
	    notes_number(n) < w->stored_number + SNAPSHOT_INTERVAL_NOTES ||
	    !members_chosen(n->o.members, writer_topic(), WRITERS))
		return;
	if (!w->write_scheduled) {
		w->write_scheduled = true;
		w->next_us = now + random_delay(n);
		return;
	}
	w->step = WRITER_HEAD;
	submit(n, &op, on_head, now);
}

/* Frees an unfinished snapshot. */
void snapshot_writer_free(struct notes *n)
{
	buffer_free(&n->writer.bytes);
}
