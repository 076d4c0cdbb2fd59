/*
 * Reads the document from the store: the reader of a data centre each second,
 * the other nodes when their peers do not confirm that theirs is the newest.
 */
#include <string.h>

#include "control/notes/notes_impl.h"

/* Limits the delay when a watch misses a change. */
#define POLL_US (1 * USEC_PER_SEC)
/* Other nodes read the store when not confirmed by a peer for this time. */
#define FALLBACK_US (1600 * USEC_PER_MSEC)
/*
 * A read without an answer for this long, or for twice as long as the last one
 * took, does not hold up the next one.
 */
#define UNANSWERED_US (500 * USEC_PER_MSEC)
#define UNANSWERED_FACTOR 2
/*
 * A node that was told of a newer number reads the store when no peer has
 * delivered it in this time, spread over the members so that the store gets
 * about a thousand such reads a second at most.
 */
#define CATCH_UP_US (300 * USEC_PER_MSEC)
#define CATCH_UP_SPREAD_US USEC_PER_MSEC /* per member */
#define CATCH_UP_SPREAD_MAX_US USEC_PER_SEC
/*
 * The store may have come back from an older copy, which a process that has
 * just started can't see. It hears first what its peers have in force: in some
 * tens of milliseconds, or not at all.
 */
#define ASK_PEERS_US (2 * USEC_PER_SEC)
/* Enough for a peer that has a configuration, once others were heard. */
#define ASK_STARTING_PEERS_US (100 * USEC_PER_MSEC)

static void log_passed_over(const struct notes *n, const struct store_entry *e)
{
	struct log_line line;

	log_start(&line, LOG_NOTICE, "document-passed-over");
	log_int(&line, "revision", e->mod_revision);
	log_int(&line, "newest_revision", n->document_revision);
	log_int(&line, "number", (int64_t)notes_number(n));
	log_emit(&line);
}

/* Whether to hear peers before this node's first document is in force. */
static bool must_ask_peers(const struct notes *n, uint64_t number, int64_t now)
{
	if (notes_number(n) || now - n->started_us >= ASK_PEERS_US)
		return false;
	if (number < n->newest_number)
		return true;
	return !n->heard_config &&
	       !(n->heard_us && now - n->heard_us >= ASK_STARTING_PEERS_US);
}

/* Puts the document that is held back in force once peers were asked. */
void document_release(struct notes *n, int64_t now)
{
	struct config *c = n->held;

	if (!c || must_ask_peers(n, config_number(c), now))
		return;
	n->held = NULL;
	notes_set_config(n, c, ROAD_READ, now);
	if (notes_number(n) == n->fetch.head)
		notes_confirm(n, n->held_read_us);
}

static void hold(struct notes *n, struct config *c)
{
	struct log_line line;

	log_start(&line, LOG_INFO, "document-held");
	log_int(&line, "number", (int64_t)config_number(c));
	log_int(&line, "newest", (int64_t)n->newest_number);
	log_emit(&line);
	if (n->held)
		config_put(n->held);
	n->held = c;
}

/* Applies a document that a read or a watch of the store returned. */
static void apply_document(struct notes *n, const struct store_entry *e,
			   enum notes_road road, int64_t now)
{
	struct config *c;
	struct error err;

	if (e->mod_revision < n->document_revision)
		log_passed_over(n, e);
	if (e->mod_revision <= n->document_revision)
		return;
	n->document_revision = e->mod_revision;
	c = n->o.document.read(e->value, e->len, &err);
	if (!c) {
		/* Ours may no longer be the newest: don't confirm it. */
		n->fetch.head = 0;
		log_error(LOG_ERR, "document-refused", &err);
		return;
	}
	n->fetch.head = config_number(c);
	if (must_ask_peers(n, config_number(c), now))
		hold(n, c);
	else
		notes_set_config(n, c, road, now);
}

/* Applies the document that a read returned. */
void document_read_entry(struct notes *n, const struct store_entry *e,
			 int64_t now)
{
	apply_document(n, e, ROAD_READ, now);
}

/* Handles a watch event of the document's key. */
void document_changed(struct notes *n, const struct store_entry *e, int64_t now)
{
	if (e->value && !strcmp(e->key, n->o.document.key))
		apply_document(n, e, ROAD_WATCH, now);
}

/* Schedules the next read after one that began at started_us has ended. */
static void read_ended(struct notes *n, int64_t started_us, bool success,
		       int64_t now)
{
	struct fetch *f = &n->fetch;

	if (!success) {
		if (!f->open_reads)
			f->next_us = now + fetch_backoff_us(n, POLL_US);
		return;
	}
	f->failures = 0;
	f->answer_us = now - started_us;
	f->next_us = f->started_us + POLL_US;
	n->held_read_us = started_us;
	if (notes_number(n) == f->head)
		notes_confirm(n, started_us);
	fetch_check_behind(n);
	fetch_watch(n, now);
}

/* The tag is the time at which the read began. */
static void on_document(void *ctx, uint64_t tag, const struct store_result *r,
			int64_t now)
{
	struct notes *n = ctx;
	bool success = r->outcome == STORE_DONE;

	n->fetch.open_reads--;
	if (success) {
		n->fetch.revision = r->revision;
		if (r->n && r->revision < r->entries[0].mod_revision)
			n->fetch.revision = r->entries[0].mod_revision;
		if (r->n)
			apply_document(n, &r->entries[0], ROAD_READ, now);
	}
	read_ended(n, (int64_t)tag, success, now);
	append_fetch_ended(n, success, now);
}

/* Ends a read that covered the evacuations too. */
void document_read_ended(struct notes *n, int64_t started_us, bool success,
			 int64_t now)
{
	n->fetch.open_reads--;
	read_ended(n, started_us, success, now);
	append_fetch_ended(n, success, now);
}

/*
 * Reads the document, unless enough reads are in progress; a response confirms
 * which one is the newest.
 */
void document_fetch(struct notes *n, int64_t now)
{
	struct store_op op = {.kind = STORE_GET, .key = n->o.document.key};
	struct store_done done = {
		.ctx = n, .tag = (uint64_t)now, .fn = on_document};

	if (n->fetch.open_reads == OPEN_READS_MAX)
		return;
	n->fetch.open_reads++;
	n->fetch.started_us = now;
	if (n->o.evacuations)
		range_fetch(n, now);
	else
		fetch_submit(n, &op, &done, now);
}

/* Returns the earliest time of the next read. */
static int64_t next_read_us(const struct notes *n)
{
	const struct fetch *f = &n->fetch;
	int64_t wait = UNANSWERED_FACTOR * f->answer_us;

	if (!f->open_reads)
		return f->next_us;
	if (wait < UNANSWERED_US)
		wait = UNANSWERED_US;
	return f->started_us + (wait << (f->open_reads - 1));
}

/* Gives peers time to deliver a newer document, or the rest of one. */
void document_await(struct notes *n, int64_t now)
{
	int64_t spread = CATCH_UP_SPREAD_US *
			 (int64_t)members_count(n->o.members, MEMBER_ALIVE);

	if (spread > CATCH_UP_SPREAD_MAX_US)
		spread = CATCH_UP_SPREAD_MAX_US;
	n->catch_up_us = now + CATCH_UP_US +
			 (int64_t)(notes_random(n) % (uint64_t)(spread + 1));
}

static void log_behind(const struct notes *n)
{
	char peer[ADDR_TEXT_SIZE];
	struct log_line line;

	addr_format(&n->newest_from, peer);
	log_start(&line, LOG_INFO, "number-behind");
	log_int(&line, "number", (int64_t)notes_number(n));
	log_int(&line, "newest", (int64_t)n->newest_number);
	log_str(&line, "peer", peer);
	log_emit(&line);
}

/* Whether peers told of a newer document and have not delivered it in time. */
static bool must_catch_up(struct notes *n, int64_t now)
{
	if (n->newest_number <= notes_number(n)) {
		n->catch_up_us = 0;
		return false;
	}
	if (!n->catch_up_us) {
		log_behind(n);
		document_await(n, now);
	}
	return now >= n->catch_up_us;
}

static bool read_is_wanted(struct notes *n, int64_t now)
{
	int64_t settled_us = store_settled_us(n->o.store);

	if (n->is_reader)
		return true;
	/* Peers are the first to confirm our number after a restore. */
	return notes_stale_us(n, now) > FALLBACK_US &&
	       (!settled_us || now - settled_us > FALLBACK_US);
}

/* Starts a read if one is due. */
void document_tick(struct notes *n, int64_t now)
{
	bool catch_up = must_catch_up(n, now);

	document_release(n, now);
	if (catch_up && !n->catching_up)
		n->fetch.next_us = now;
	n->catching_up = catch_up;
	if (now >= next_read_us(n) && (catch_up || read_is_wanted(n, now)))
		document_fetch(n, now);
}
