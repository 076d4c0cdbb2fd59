/*
 * Appending a note: read the newest notes, validate the new one against them,
 * write it to notes/N+1 if that key is absent. If the response to the write is
 * lost, reading again resolves it: the release shows whether the write took
 * effect. A write still in flight is harmless, as every attempt compares the
 * same revision of notes/head and so at most one of them succeeds.
 */
#include "control/notes/notes_impl.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#define APPENDS_MAX 32
#define ATTEMPTS_MAX 16
#define RETRY_US (200 * USEC_PER_MSEC)
#define APPEND_TIMEOUT_US (5 * USEC_PER_SEC)
/* Applies instead while the outcome of a write is unknown. */
#define UNRESOLVED_TIMEOUT_US (15 * USEC_PER_SEC)
#define DETAILS_MAX (64 * 1024) /* bytes */

enum append_step {
	APPEND_WAITING,
	APPEND_CATCHING_UP,
	APPEND_WRITING,
};

struct append {
	struct append *prev;
	struct append *next;
	enum append_step step;
	struct note_head head;
	char operator_name[NAME_SIZE];
	char team[NAME_SIZE];
	char *text;
	size_t len;
	struct append_done done;
	int64_t queued_us;
	int64_t retry_us;
	uint64_t number;	    /* of the current write */
	uint64_t unresolved_number; /* write of unknown outcome, or 0 */
	uint32_t attempts;
	bool over_limit; /* the queue was full */
};

static void free_append(struct append *a)
{
	free(a->text);
	free(a);
}

static const char *status_name(enum append_status status)
{
	switch (status) {
	case APPEND_ACCEPTED:
		return "accepted";
	case APPEND_REPEATED:
		return "repeated";
	case APPEND_CONFLICT:
		return "conflict";
	case APPEND_INVALID:
		return "invalid";
	case APPEND_STORE_UNAVAILABLE:
		return "store-out";
	case APPEND_UNKNOWN:
		return "unknown";
	}
	return "unknown";
}

/* Removes an append from the queue, and logs and reports its status. */
static void finish_append(struct notes *n, struct append *a,
			  enum append_status status, uint64_t number,
			  const char *text, int64_t now)
{
	struct log_line line;

	DL_DELETE(n->appends, a);
	log_start(&line, LOG_NOTICE, "note-append");
	log_str(&line, "release", a->head.release);
	log_str(&line, "operator", a->operator_name);
	log_str(&line, "status", status_name(status));
	log_int(&line, "number", (int64_t)number);
	log_emit(&line);
	a->done.fn(a->done.ctx, a->done.tag, status, number, text, now);
	free_append(a);
}

/* Finishes the append at the head of the queue. */
static void finish_first(struct notes *n, enum append_status status,
			 uint64_t number, const char *text, int64_t now)
{
	finish_append(n, n->appends, status, number, text, now);
}

static void finish_invalid(struct notes *n, const struct note_faults *f,
			   int64_t now)
{
	struct buffer b = {0};
	size_t i;

	for (i = 0; i < f->n && b.len < DETAILS_MAX; i++)
		buffer_printf(&b, "%s%s: %s", i ? "\n" : "", f->items[i].path,
			      f->items[i].text);
	finish_first(n, APPEND_INVALID, 0,
		     b.data ? (char *)b.data : "out of memory", now);
	buffer_free(&b);
}

/*
 * Rejects an append whose "after" is not the newest note. Lists the objects
 * that it has in common with each cached note written since.
 */
static void finish_conflict(struct notes *n, const struct append *a,
			    int64_t now)
{
	uint64_t number = notes_number(n), i = a->head.after + 1;
	const struct cached_note *note;
	struct buffer b = {0}, common = {0};
	struct note_head head;

	buffer_printf(&b,
		      "written after note %" PRIu64
		      ", but the newest is note %" PRIu64 " (%s)",
		      a->head.after, number, config_release(n->config));
	if (number > NOTES_SERVED_MAX && i + NOTES_SERVED_MAX <= number) {
		buffer_printf(&b, "; older notes are no longer cached");
		i = number - NOTES_SERVED_MAX + 1;
	}
	for (; i <= number && b.len < DETAILS_MAX; i++) {
		note = note_cache_get(n, i);
		if (!note ||
		    note_read_head(&head, note->text, note->len, NULL) < 0)
			continue;
		common.len = 0;
		note_overlap(&common, note->text, note->len, a->text, a->len);
		if (common.len)
			buffer_printf(&b, "; note %" PRIu64 " (%s) touches %s",
				      i, head.release, (char *)common.data);
	}
	finish_first(n, APPEND_CONFLICT, number,
		     b.data ? (char *)b.data : "out of memory", now);
	buffer_free(&b);
	buffer_free(&common);
}

static void retry_or_give_up(struct notes *n, int64_t now)
{
	struct append *a = n->appends;
	int64_t limit_us = a->unresolved_number ? UNRESOLVED_TIMEOUT_US
						: APPEND_TIMEOUT_US;

	a->step = APPEND_WAITING;
	a->retry_us = now + RETRY_US;
	if (now - a->queued_us < limit_us && a->attempts < ATTEMPTS_MAX)
		return;
	if (a->unresolved_number)
		finish_first(
			n, APPEND_UNKNOWN, a->unresolved_number,
			"the store did not confirm the write; send the note "
			"again, a repeat is recognised",
			now);
	else if (now - a->queued_us < limit_us)
		finish_first(n, APPEND_CONFLICT, notes_number(n),
			     "other notes were written first in every attempt",
			     now);
	else
		finish_first(n, APPEND_STORE_UNAVAILABLE, 0,
			     "the store is unavailable or behind; nothing was "
			     "written",
			     now);
}

static void on_written(void *ctx, uint64_t tag, const struct store_result *r,
		       int64_t now)
{
	struct notes *n = ctx;
	struct append *a = n->appends;
	uint64_t number;

	(void)tag;
	switch (r->outcome) {
	case STORE_DONE:
		number = a->number;
		notes_add(n, number, a->text, a->len, now);
		if (notes_number(n) == number)
			notes_confirm(n, now);
		finish_first(n, APPEND_ACCEPTED, number, "", now);
		return;
	case STORE_UNKNOWN:
		a->unresolved_number = a->number;
		break;
	case STORE_CONFLICT:
	case STORE_NOT_DONE:
		break;
	}
	retry_or_give_up(n, now);
}

static void write_note(struct notes *n, int64_t now)
{
	struct append *a = n->appends;
	struct envelope e = {.number = a->number,
			     .wall_us = clock_wall_us(), /* for history */
			     .text = a->text,
			     .len = a->len};
	struct buffer value = {0};
	char key[NOTE_KEY_SIZE], head[32];
	struct store_compare compares[] = {
		{key, 0}, {notes_head_key, n->fetch.head_mod_revision}};
	struct store_write writes[] = {{.key = key}, {.key = notes_head_key}};
	struct store_op op = {.kind = STORE_TXN,
			      .priority = STORE_CONFIG,
			      .timeout_us = STORE_TIMEOUT_US};
	struct store_done done = {.ctx = n, .fn = on_written};

	copy_name(e.release, sizeof(e.release), a->head.release);
	copy_name(e.operator_name, sizeof(e.operator_name), a->operator_name);
	if (envelope_write(&e, &value) < 0) {
		buffer_free(&value);
		finish_first(n, APPEND_INVALID, 0,
			     "note: too large for the store", now);
		return;
	}
	note_key(key, a->number);
	snprintf(head, sizeof(head), "%" PRIu64, a->number);
	writes[0].value = value.data;
	writes[0].len = value.len;
	writes[1].value = head;
	writes[1].len = strlen(head);
	op.txn.compares = compares;
	op.txn.compare_count = 2;
	op.txn.writes = writes;
	op.txn.write_count = 2;
	a->step = APPEND_WRITING;
	a->attempts++;
	store_submit(n->o.store, &op, &done, now);
	buffer_free(&value);
}

/*
 * Finishes an append whose release is in force already: as repeated if the
 * text is the same, otherwise as a conflict. Returns false if the release is
 * not in force.
 */
static bool finish_if_present(struct notes *n, const struct append *a,
			      int64_t now)
{
	uint64_t number = config_release_number(n->config, a->head.release);
	char text[128];

	if (!number)
		return false;
	if (config_release_text_equal(n->config, number, a->text, a->len)) {
		finish_first(n,
			     number == a->unresolved_number ? APPEND_ACCEPTED
							    : APPEND_REPEATED,
			     number, "", now);
		return true;
	}
	snprintf(text, sizeof(text),
		 "release %s is note %" PRIu64 " with another text",
		 a->head.release, number);
	finish_first(n, APPEND_CONFLICT, number, text, now);
	return true;
}

/* Validates the first append against the newest configuration; writes it. */
static void check_and_write(struct notes *n, int64_t now)
{
	struct append *a = n->appends;
	uint64_t number = notes_number(n);
	struct note_faults faults;
	struct config *c;

	/* A peer pushed a newer note meanwhile, or the store has lost notes. */
	if (number != n->fetch.head) {
		retry_or_give_up(n, now);
		return;
	}
	if (a->head.release[0] && finish_if_present(n, a, now))
		return;
	if (a->head.has_after && a->head.after != number) {
		finish_conflict(n, a, now);
		return;
	}
	c = config_apply(n->config, number + 1, a->text, a->len, a->team,
			 &faults);
	if (!c) {
		finish_invalid(n, &faults, now);
		note_faults_free(&faults);
		return;
	}
	config_put(c);
	a->number = number + 1;
	write_note(n, now);
}

/* Called when a fetch has ended; continues the append that waited for it. */
void append_fetch_ended(struct notes *n, bool success, int64_t now)
{
	if (!n->appends || n->appends->step != APPEND_CATCHING_UP)
		return;
	if (success)
		check_and_write(n, now);
	else
		retry_or_give_up(n, now);
}

/* Rejects appends beyond the limit, and starts the first of the others. */
void append_tick(struct notes *n, int64_t now)
{
	struct append *a, *next;

	DL_FOREACH_SAFE(n->appends, a, next)
	{
		if (a->over_limit)
			finish_append(n, a, APPEND_STORE_UNAVAILABLE, 0,
				      "too many notes are waiting", now);
	}
	a = n->appends;
	if (!a || a->step != APPEND_WAITING || now < a->retry_us)
		return;
	if (!n->o.store) {
		finish_first(n, APPEND_STORE_UNAVAILABLE, 0,
			     "no store is configured", now);
		return;
	}
	a->step = APPEND_CATCHING_UP;
	fetch_start(n, now);
}

/*
 * Appends a note for an operator. The note may change only objects of team,
 * or any if team is NULL or empty. done is called once, after this function
 * has returned; its text gives the reason if the note was not accepted.
 */
void notes_append(struct notes *n, const char *text, size_t len,
		  const char *operator_name, const char *team,
		  const struct append_done *done, int64_t now)
{
	struct append *a, *other;
	int count = 0;

	DL_COUNT(n->appends, other, count);
	a = calloc(1, sizeof(*a));
	if (a)
		a->text = malloc(len + 1);
	if (!a || !a->text)
		abort();
	memcpy(a->text, text, len);
	a->text[len] = 0;
	a->len = len;
	a->over_limit = count >= APPENDS_MAX;
	a->done = *done;
	a->queued_us = now;
	snprintf(a->operator_name, sizeof(a->operator_name), "%s",
		 operator_name);
	snprintf(a->team, sizeof(a->team), "%s", team ? team : "");
	note_read_head(&a->head, text, len, NULL);
	DL_APPEND(n->appends, a);
	if (n->appends == a && n->o.store)
		append_tick(n, now);
}

/* Frees all appends without calling done. */
void append_free(struct notes *n)
{
	struct append *a, *next;

	DL_FOREACH_SAFE(n->appends, a, next)
	free_append(a);
	n->appends = NULL;
}
