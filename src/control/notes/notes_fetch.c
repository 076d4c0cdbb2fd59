/*
 * Reads new notes from the store. A few readers in each data centre also watch
 * it for changes; the other nodes rely on their peers. notes_document.c reads
 * the document in place of notes.
 */
#include "control/notes/notes_impl.h"

#include <stdlib.h>
#include <string.h>

#define NOTES_READERS 2 /* per data centre */
#define LIST_LIMIT 8	/* notes per request */
#define HEAD_POLL_US (5 * USEC_PER_SEC)
/* Shortest interval of other nodes, which poll until they have a note. */
#define NON_READER_POLL_US (30 * USEC_PER_SEC)
#define DOCUMENT_READERS 1 /* per data centre */
#define STORE_BEHIND_ROUNDS_MAX 3
#define RETRY_MIN_US (500 * USEC_PER_MSEC)
#define RETRY_MAX_US (10 * USEC_PER_SEC)
#define STORE_READ_DELAY_US (2 * USEC_PER_SEC) /* new nodes try peers first */

static void fetch_list(struct notes *n, int64_t now);

static uint64_t reader_topic(void)
{
	return name_hash("notes");
}

/* Submits a read with the priority and the timeout of the configuration. */
void fetch_submit(struct notes *n, struct store_op *op,
		  const struct store_done *done, int64_t now)
{
	op->priority = STORE_CONFIG;
	op->timeout_us = STORE_TIMEOUT_US;
	store_submit(n->o.store, op, done, now);
}

static void submit(struct notes *n, struct store_op *op,
		   void (*fn)(void *, uint64_t, const struct store_result *,
			      int64_t),
		   int64_t now)
{
	struct store_done done = {.ctx = n, .fn = fn};

	fetch_submit(n, op, &done, now);
}

static void watch_event(void *ctx, const struct store_entry *e, int64_t now)
{
	uint64_t number = note_key_number(e->key);
	struct notes *n = ctx;
	struct envelope env;

	if (n->o.source == SOURCE_DOCUMENT) {
		note_evacuations_changed(n, e, now);
		document_changed(n, e, now);
		return;
	}
	if (!number || !e->value || envelope_read(&env, e->value, e->len) < 0)
		return;
	notes_add(n, number, env.text, env.len, now);
	envelope_free(&env);
	/* An event may have waited and proves nothing; a read does. */
	fetch_start(n, now);
}

static void watch_ended(void *ctx, const struct error *err, int64_t now)
{
	struct notes *n = ctx;

	log_error(LOG_INFO, "notes-watch-ended", err);
	n->watch = 0;
	n->fetch.next_us = now + RETRY_MIN_US;
}

/* Starts to watch the store, unless another node is the reader. */
void fetch_watch(struct notes *n, int64_t now)
{
	struct store_watch w = {.prefix = "notes/",
				.from_revision = n->fetch.revision + 1,
				.ctx = n,
				.event = watch_event,
				.ended = watch_ended};

	if (n->o.source == SOURCE_DOCUMENT)
		w.prefix = n->o.evacuations ? n->o.document.prefix
					    : n->o.document.key;
	if (n->is_reader && !n->watch)
		n->watch = store_watch_start(n->o.store, &w, now);
}

/*
 * Logs when the store lacks notes that are in force. A single fetch may only
 * have been overtaken by a push; several in a row mean that notes were lost.
 */
void fetch_check_behind(struct notes *n)
{
	struct fetch *f = &n->fetch;
	struct log_line line;

	if (notes_number(n) <= f->head) {
		f->store_behind = 0;
		return;
	}
	if (++f->store_behind != STORE_BEHIND_ROUNDS_MAX)
		return;
	log_start(&line, LOG_ERR, "store-behind");
	log_int(&line, "number", (int64_t)notes_number(n));
	log_int(&line, "store", (int64_t)f->head);
	log_emit(&line);
}

/* Counts a failure and returns the wait until the next try, at most most. */
int64_t fetch_backoff_us(struct notes *n, int64_t most)
{
	struct fetch *f = &n->fetch;
	int64_t wait = RETRY_MIN_US;
	uint32_t i;

	for (i = 0; i < f->failures && wait < RETRY_MAX_US; i++)
		wait *= 2;
	if (wait > most)
		wait = most;
	f->failures++;
	return wait / 2 + (int64_t)(notes_random(n) % (uint64_t)wait);
}

/* Ends a fetch and schedules the next one, with backoff after failures. */
static void fetch_end(struct notes *n, bool success, int64_t now)
{
	struct fetch *f = &n->fetch;

	f->step = FETCH_IDLE;
	buffer_free(&f->bytes);
	if (success) {
		f->failures = 0;
		f->next_us = now + HEAD_POLL_US;
		if (!n->is_reader)
			f->next_us =
				now + NON_READER_POLL_US +
				(int64_t)(notes_random(n) % NON_READER_POLL_US);
		if (notes_number(n) == f->head)
			notes_confirm(n, f->started_us);
		fetch_check_behind(n);
		fetch_watch(n, now);
	} else {
		f->next_us = now + fetch_backoff_us(n, RETRY_MAX_US);
	}
	append_fetch_ended(n, success, now);
}

static void on_part(void *ctx, uint64_t tag, const struct store_result *r,
		    int64_t now);

static void fetch_part(struct notes *n, int64_t now)
{
	struct fetch *f = &n->fetch;
	char key[NOTE_KEY_SIZE];
	struct store_op op = {.kind = STORE_GET, .key = key};

	f->step = FETCH_SNAPSHOT_PART;
	snapshot_key(key, f->snapshot, f->part);
	submit(n, &op, on_part, now);
}

static void on_part(void *ctx, uint64_t tag, const struct store_result *r,
		    int64_t now)
{
	struct notes *n = ctx;
	struct fetch *f = &n->fetch;
	struct config *c;
	struct error err;

	(void)tag;
	if (r->outcome != STORE_DONE || !r->n ||
	    buffer_append(&f->bytes, r->entries[0].value, r->entries[0].len,
			  SNAPSHOT_BYTES_MAX) < 0) {
		fetch_end(n, false, now);
		return;
	}
	if (++f->part < f->parts) {
		fetch_part(n, now);
		return;
	}
	c = config_unpack(f->bytes.data, f->bytes.len, &err);
	buffer_free(&f->bytes);
	if (!c) {
		log_error(LOG_ERR, "snapshot-refused", &err);
		fetch_end(n, false, now);
		return;
	}
	notes_set_config(n, c, ROAD_READ, now);
	fetch_list(n, now);
}

static void on_snapshot_head(void *ctx, uint64_t tag,
			     const struct store_result *r, int64_t now)
{
	struct notes *n = ctx;
	struct fetch *f = &n->fetch;
	struct snapshot_head h;

	(void)tag;
	if (r->outcome != STORE_DONE || !r->n ||
	    snapshot_head_read(&h, r->entries[0].value, r->entries[0].len) <
		    0 ||
	    h.number <= notes_number(n)) {
		fetch_end(n, false, now);
		return;
	}
	f->snapshot = h.number;
	f->part = 0;
	f->parts = h.parts;
	buffer_free(&f->bytes);
	fetch_part(n, now);
}

static void fetch_snapshot(struct notes *n, int64_t now)
{
	struct store_op op = {.kind = STORE_GET, .key = snapshot_head_key};

	n->fetch.step = FETCH_SNAPSHOT_HEAD;
	submit(n, &op, on_snapshot_head, now);
}

static void add_entries(struct notes *n, const struct store_result *r,
			int64_t now)
{
	struct envelope e;
	uint64_t number;
	size_t i;

	for (i = 0; i < r->n; i++) {
		number = note_key_number(r->entries[i].key);
		if (!number || envelope_read(&e, r->entries[i].value,
					     r->entries[i].len) < 0)
			continue;
		notes_add(n, number, e.text, e.len, now);
		envelope_free(&e);
	}
}

static void on_list(void *ctx, uint64_t tag, const struct store_result *r,
		    int64_t now)
{
	struct notes *n = ctx;
	uint64_t before = notes_number(n);

	if (r->outcome != STORE_DONE) {
		fetch_end(n, false, now);
		return;
	}
	/*
	 * A gap after our number means that the notes were swept. A push may
	 * have applied them meanwhile; then no snapshot is needed.
	 */
	if (before < n->fetch.head && r->n &&
	    note_key_number(r->entries[0].key) > before + 1) {
		fetch_snapshot(n, now);
		return;
	}
	add_entries(n, r, now);
	if (notes_number(n) >= n->fetch.head)
		fetch_end(n, true, now);
	else if (notes_number(n) > tag)
		fetch_list(n, now);
	else
		fetch_end(n, false, now);
}

static void fetch_list(struct notes *n, int64_t now)
{
	struct store_done done = {
		.ctx = n, .tag = notes_number(n), .fn = on_list};
	char key[NOTE_KEY_SIZE];
	struct store_op op = {.kind = STORE_LIST,
			      .priority = STORE_CONFIG,
			      .timeout_us = STORE_TIMEOUT_US,
			      .list = {.prefix = "notes/",
				       .after = key,
				       .limit = LIST_LIMIT}};

	n->fetch.step = FETCH_LIST;
	note_key(key, notes_number(n));
	store_submit(n->o.store, &op, &done, now);
}

static uint64_t read_number(const struct store_entry *e)
{
	char text[32] = "";

	if (e->len < sizeof(text))
		memcpy(text, e->value, e->len);
	return strtoull(text, NULL, 10);
}

static void on_head(void *ctx, uint64_t tag, const struct store_result *r,
		    int64_t now)
{
	struct notes *n = ctx;
	struct fetch *f = &n->fetch;
	uint64_t behind;

	(void)tag;
	if (r->outcome != STORE_DONE) {
		fetch_end(n, false, now);
		return;
	}
	f->head = r->n ? read_number(&r->entries[0]) : 0;
	f->head_mod_revision = r->n ? r->entries[0].mod_revision : 0;
	f->revision = r->revision;
	if (f->head > n->newest_number)
		n->newest_number = f->head;
	behind = f->head > notes_number(n) ? f->head - notes_number(n) : 0;
	if (!behind)
		fetch_end(n, true, now);
	else if (behind > NOTES_SERVED_MAX)
		fetch_snapshot(n, now);
	else
		fetch_list(n, now);
}

/* Starts to read from the store, unless a fetch is in progress. */
void fetch_start(struct notes *n, int64_t now)
{
	struct store_op op = {.kind = STORE_GET, .key = notes_head_key};

	if (!n->o.store || n->fetch.step != FETCH_IDLE)
		return;
	if (n->o.source == SOURCE_DOCUMENT) {
		document_fetch(n, now);
		return;
	}
	n->fetch.step = FETCH_HEAD;
	n->fetch.started_us = now;
	submit(n, &op, on_head, now);
}

/* Starts and stops being a reader, and starts fetches that are due. */
void fetch_tick(struct notes *n, int64_t now)
{
	bool document = n->o.source == SOURCE_DOCUMENT;
	bool delay_over = now - n->started_us >= STORE_READ_DELAY_US;

	if (!n->o.store)
		return;
	n->is_reader =
		members_chosen(n->o.members, reader_topic(),
			       document ? DOCUMENT_READERS : NOTES_READERS);
	if (!n->is_reader && n->watch) {
		store_watch_stop(n->o.store, n->watch);
		n->watch = 0;
	}
	if (document) {
		document_tick(n, now);
		return;
	}
	if (now >= n->fetch.next_us &&
	    (n->is_reader || (delay_over && !notes_number(n))))
		fetch_start(n, now);
}

/* Frees the data of an unfinished fetch. */
void fetch_free(struct notes *n)
{
	buffer_free(&n->fetch.bytes);
}
