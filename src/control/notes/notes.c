/*
 * Configuration distribution: keeps the newest configuration in force, reads
 * it from the store or from peers, and passes it on.
 */
#include "control/notes/notes_impl.h"

#include <stdlib.h>
#include <string.h>

#define PUSH_WINDOW 4 /* newest notes; older ones are not pushed */

/*
 * Returns a controller that has no configuration yet, or NULL when out of
 * memory.
 */
struct notes *notes_new(const struct notes_options *o, int64_t now)
{
	struct notes *n = calloc(1, sizeof(*n));

	if (!n)
		return NULL;
	n->o = *o;
	n->started_us = now;
	n->note_cache_first = 1;
	n->last_question = notes_random(n) / 2;
	n->config = config_new();
	if (n->config)
		return n;
	free(n);
	return NULL;
}

/* No callback of the store may run after this. */
void notes_free(struct notes *n)
{
	if (!n)
		return;
	append_free(n);
	history_free(n);
	fetch_free(n);
	snapshot_writer_free(n);
	peer_free(n);
	note_cache_free(n);
	if (n->held)
		config_put(n->held);
	config_put(n->config);
	free(n);
}

/* Number of the newest note that was applied, or 0 before the first one. */
uint64_t notes_number(const struct notes *n)
{
	return config_number(n->config);
}

/* Returns the configuration in force, or NULL before the first one. */
struct config *notes_config(const struct notes *n)
{
	return notes_number(n) ? n->config : NULL;
}

/* Pseudo-random; the sequence depends on the seed alone. */
uint64_t notes_random(struct notes *n)
{
	return pair_hash(n->o.seed, ++n->draws);
}

/*
 * Records that our number was the newest one at the time at_us. A store that
 * came back from an older copy proves nothing until what it lost has been
 * written again.
 */
void notes_confirm(struct notes *n, int64_t at_us)
{
	if (n->o.store && at_us < store_settled_us(n->o.store))
		return;
	if (!n->confirmed || at_us > n->confirmed_us)
		n->confirmed_us = at_us;
	n->confirmed = true;
}

/*
 * Microseconds since our number was last confirmed as the newest, by the
 * store or by a peer that sent the age of its own confirmation. INT64_MAX if
 * it never was.
 */
int64_t notes_stale_us(const struct notes *n, int64_t now)
{
	if (!n->confirmed)
		return INT64_MAX;
	return now > n->confirmed_us ? now - n->confirmed_us : 0;
}

static void log_received(const struct config *c, enum notes_road road)
{
	static const char *const names[] = {[ROAD_READ] = "store-read",
					    [ROAD_WATCH] = "store-watch",
					    [ROAD_PEER] = "peer",
					    [ROAD_NOTE] = "note"};
	struct log_line line;

	log_start(&line, LOG_INFO, "config-received");
	log_int(&line, "number", (int64_t)config_number(c));
	log_str(&line, "road", names[road]);
	log_emit(&line);
}

/* Puts c in force if it is newer. Takes over the caller's reference. */
void notes_set_config(struct notes *n, struct config *c, enum notes_road road,
		      int64_t now)
{
	if (config_number(c) <= notes_number(n)) {
		config_put(c);
		return;
	}
	log_received(c, road);
	config_put(n->config);
	n->config = c;
	if (n->newest_number < config_number(c))
		n->newest_number = config_number(c);
	counter_add(COUNTER_NOTES_APPLIED, 1);
	if (n->o.in_force)
		n->o.in_force(n->o.ctx, c, now);
	if (n->o.source == SOURCE_DOCUMENT)
		peer_announce_number(n, now);
}

/* Appends the complete configuration in the format sent to peers. */
int notes_pack(const struct notes *n, struct buffer *out)
{
	const struct buffer *source = config_source(n->config);

	if (n->o.source == SOURCE_NOTES)
		return config_pack(n->config, out);
	return buffer_append(out, source->data, source->len, SIZE_MAX);
}

/* Parses the output of notes_pack. Returns NULL with err set if invalid. */
struct config *notes_unpack(const struct notes *n, const void *data, size_t len,
			    struct error *err)
{
	if (n->o.source == SOURCE_NOTES)
		return config_unpack(data, len, err);
	return n->o.document.read(data, len, err);
}

/*
 * Logs a note that can't be applied, once, and removes it from the cache. It
 * was valid when it was written to the store, so either this process is older
 * than the one that checked it, or a peer sent a different text. A valid copy
 * may still arrive from another node or from the store.
 */
static void reject_note(struct notes *n, uint64_t number,
			const struct note_faults *faults)
{
	struct log_line line;

	note_cache_remove(n, number);
	if (n->rejected_number == number)
		return;
	n->rejected_number = number;
	log_start(&line, LOG_ERR, "note-refused");
	log_int(&line, "number", (int64_t)number);
	if (faults->n) {
		log_str(&line, "path", faults->items[0].path);
		log_str(&line, "fault", faults->items[0].text);
	}
	log_emit(&line);
}

static int apply(struct notes *n, const struct cached_note *note, int64_t now)
{
	struct note_faults faults;
	struct config *c = config_apply(n->config, note->number, note->text,
					note->len, NULL, &faults);

	if (!c) {
		reject_note(n, note->number, &faults);
		note_faults_free(&faults);
		return -1;
	}
	notes_set_config(n, c, ROAD_NOTE, now);
	return 0;
}

/*
 * Handles a note from the store or a peer. Notes may arrive in any order: the
 * next one is applied, one up to NOTES_AHEAD_MAX ahead is cached, any other
 * is dropped.
 */
void notes_add(struct notes *n, uint64_t number, const char *text, size_t len,
	       int64_t now)
{
	const struct cached_note *note;

	if (number > n->newest_number)
		n->newest_number = number;
	if (number <= notes_number(n) ||
	    number > notes_number(n) + NOTES_AHEAD_MAX ||
	    note_cache_get(n, number))
		return;
	if (note_cache_put(n, number, text, len) < 0)
		return;
	while ((note = note_cache_get(n, notes_number(n) + 1))) {
		if (apply(n, note, now) < 0)
			return;
		if (note->number + PUSH_WINDOW > n->newest_number)
			peer_push(n, note, now);
	}
}

/*
 * Forgets the revisions of the former history, reads the store as soon as it is
 * a reader's turn, and spreads the news with the number of the configuration.
 */
void notes_store_replaced(struct notes *n, int64_t now)
{
	n->document_revision = 0;
	n->fetch.head = 0;
	n->fetch.revision = 0;
	n->fetch.next_us = now;
	peer_announce_number(n, now);
}

/* Runs all timers of the controller. Call every 50 ms. */
void notes_tick(struct notes *n, int64_t now)
{
	fetch_tick(n, now);
	append_tick(n, now);
	if (n->o.source == SOURCE_NOTES)
		snapshot_writer_tick(n, now);
	peer_tick(n, now);
	transfer_tick(n, now);
}
