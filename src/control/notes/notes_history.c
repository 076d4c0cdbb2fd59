#include "control/notes/notes_impl.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#define HISTORY_MAX 50 /* notes per response */

struct history {
	struct history *prev;
	struct history *next;
	struct notes *notes;
	void *ctx;
	uint64_t tag;
	void (*done)(void *ctx, uint64_t tag, const char *json,
		     const struct error *err);
};

/* Notes are stored as JSON, so they are copied to the list unchanged. */
static int write_list(const struct store_result *r, struct buffer *b)
{
	size_t i, n = 0;
	int rc = buffer_printf(b, "[");

	for (i = 0; !rc && i < r->n; i++) {
		if (!note_key_number(r->entries[i].key))
			continue;
		rc = buffer_printf(b, "%s%.*s", n++ ? "," : "",
				   (int)r->entries[i].len,
				   (const char *)r->entries[i].value);
	}
	return rc || buffer_printf(b, "]") ? -1 : 0;
}

static void on_list(void *ctx, uint64_t tag, const struct store_result *r,
		    int64_t now)
{
	struct history *h = ctx;
	struct buffer b = {0};
	struct error err;

	(void)tag;
	(void)now;
	if (r->outcome != STORE_DONE) {
		h->done(h->ctx, h->tag, NULL, &r->err);
	} else if (write_list(r, &b) < 0) {
		error_set(&err, ERROR_MEMORY, "notes-history", NULL,
			  "out of memory");
		h->done(h->ctx, h->tag, NULL, &err);
	} else {
		h->done(h->ctx, h->tag, (char *)b.data, NULL);
	}
	buffer_free(&b);
	DL_DELETE(h->notes->histories, h);
	free(h);
}

/*
 * Lists up to limit stored notes after a number, oldest first, as a JSON
 * array with number, release, operator, time, wall_us and text of each. On
 * failure, done is called with json NULL and err set, possibly before this
 * returns. Notes up to the previous snapshot are no longer stored.
 */
void notes_history(struct notes *n, uint64_t after, uint32_t limit, void *ctx,
		   uint64_t tag,
		   void (*done)(void *ctx, uint64_t tag, const char *json,
				const struct error *err),
		   int64_t now)
{
	struct history *h = calloc(1, sizeof(*h));
	struct store_done on_done = {.ctx = h, .fn = on_list};
	char key[NOTE_KEY_SIZE];
	struct store_op op = {
		.kind = STORE_LIST,
		.priority = STORE_CONFIG,
		.timeout_us = STORE_TIMEOUT_US,
		.list = {.prefix = "notes/", .after = key, .limit = limit}};
	struct error err;

	if (!h || !n->o.store) {
		free(h);
		error_set(&err, ERROR_STATE, "notes-history", NULL,
			  "no store is configured");
		done(ctx, tag, NULL, &err);
		return;
	}
	if (!limit || limit > HISTORY_MAX)
		op.list.limit = HISTORY_MAX;
	h->notes = n;
	DL_APPEND(n->histories, h);
	h->ctx = ctx;
	h->tag = tag;
	h->done = done;
	note_key(key, after);
	store_submit(n->o.store, &op, &on_done, now);
}

/* Frees all requests that wait for the store, without calling done. */
void history_free(struct notes *n)
{
	struct history *h, *next;

	DL_FOREACH_SAFE(n->histories, h, next)
	free(h);
	n->histories = NULL;
}
