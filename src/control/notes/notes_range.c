/*
 * Reads the document together with the evacuations, in one list of the keys
 * that operators write. A list that the store cuts off continues with further
 * pages, and only the last one completes it.
 */
#include <string.h>

#include "control/notes/notes_impl.h"

/* Operators write a few keys; a store that lists more is at fault. */
#define PAGES_MAX 64

static void submit_page(struct notes *n, size_t i, int64_t now);

/* Frees the place of a read before anything that may start the next one. */
static void end(struct notes *n, struct range_read *r, bool success,
		int64_t now)
{
	r->open = false;
	document_read_ended(n, r->started_us, success, now);
}

/* Begins the result with what the first page tells of the store. */
static void begin(struct notes *n, struct range_read *r,
		  const struct store_result *page, int64_t now)
{
	int64_t age_us;

	r->history = store_replacements(n->o.store);
	r->set.known = true;
	r->set.era = store_era(n->o.store, now, &age_us);
	r->set.revision = page->revision;
}

static void add_page(struct notes *n, struct range_read *r,
		     const struct store_result *page, int64_t now)
{
	int64_t learnt_us = note_evacuations_learnt_us(n, now);
	const struct store_entry *e;
	size_t i;

	for (i = 0; i < page->n; i++) {
		e = &page->entries[i];
		if (!strcmp(e->key, n->o.document.key))
			document_read_entry(n, e, now);
		else
			evacuations_collect(n->o.evacuations, &r->set, e,
					    learnt_us);
	}
}

/* Returns whether another page was requested. */
static bool continue_read(struct notes *n, size_t i,
			  const struct store_result *page, int64_t now)
{
	struct range_read *r = &n->fetch.ranges[i];
	const char *last = page->n ? page->entries[page->n - 1].key : "";

	if (strcmp(last, r->after) <= 0 || ++r->pages == PAGES_MAX)
		return false;
	memcpy(r->after, last, strlen(last) + 1);
	submit_page(n, i, now);
	return true;
}

/* The tag is the index of the read. */
static void on_page(void *ctx, uint64_t tag, const struct store_result *page,
		    int64_t now)
{
	struct notes *n = ctx;
	struct range_read *r = &n->fetch.ranges[tag];

	if (page->outcome != STORE_DONE) {
		end(n, r, false, now);
		return;
	}
	if (!r->set.known)
		begin(n, r, page, now);
	if (r->history != store_replacements(n->o.store)) {
		end(n, r, false, now);
		return;
	}
	add_page(n, r, page, now);
	if (page->more) {
		if (!continue_read(n, tag, page, now))
			end(n, r, false, now);
		return;
	}
	n->fetch.revision = r->set.revision;
	if (evacuations_merge(n->o.evacuations, &r->set, now))
		peer_announce_number(n, now);
	end(n, r, true, now);
}

static void submit_page(struct notes *n, size_t i, int64_t now)
{
	struct range_read *r = &n->fetch.ranges[i];
	struct store_done done = {.ctx = n, .tag = i, .fn = on_page};
	struct store_op op = {.kind = STORE_LIST,
			      .list.prefix = n->o.document.prefix};

	if (*r->after)
		op.list.after = r->after;
	fetch_submit(n, &op, &done, now);
}

/* Starts a read; the caller has checked that a place is free. */
void range_fetch(struct notes *n, int64_t now)
{
	size_t i = 0;

	while (n->fetch.ranges[i].open)
		i++;
	memset(&n->fetch.ranges[i], 0, sizeof(n->fetch.ranges[i]));
	n->fetch.ranges[i].open = true;
	n->fetch.ranges[i].started_us = now;
	submit_page(n, i, now);
}
