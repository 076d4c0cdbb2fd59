#include "admin/admin_impl.h"

#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define HISTORY_NOTES_MAX 50 /* notes in one listing */

/* A note that is being appended to the store. */
struct apply_request {
	struct admin_pending pending;
	uint64_t exchange;
	struct operator_id who;
	size_t len;
	char text[];
};

static struct json_object *faults_json(const struct note_faults *faults)
{
	struct json_object *list = json_object_new_array(), *o;
	size_t i;

	for (i = 0; i < faults->n; i++) {
		o = json_object_new_object();
		json_add_text(o, "path", faults->items[i].path);
		json_add_text(o, "text", faults->items[i].text);
		json_object_array_add(list, o);
	}
	return list;
}

/* Whether the note would be valid for an operator of all teams. */
static bool only_team_forbids(const struct config *base, const char *text,
			      size_t len)
{
	struct note_faults faults = {0};
	struct config *c = config_apply(base, config_number(base) + 1, text,
					len, NULL, &faults);

	note_faults_free(&faults);
	if (c)
		config_put(c);
	return c;
}

/* Answers 403 if only the operator's team forbids the note, else 422. */
static void answer_faults(struct admin_call *c, const char *text, size_t len,
			  const struct note_faults *faults,
			  const struct config *base)
{
	struct json_object *o = json_object_new_object();
	bool team = *c->who.team && only_team_forbids(base, text, len);

	json_add_text(o, "error",
		      team ? "the note touches what belongs to other teams"
			   : "the note has faults, and none of it was taken");
	json_add_text(o, "next",
		      team ? "ask an operator of that team, or of every team"
			   : "mend what is named under faults, and send the "
			     "note again");
	json_object_object_add(o, "faults", faults_json(faults));
	admin_answer_json(c->node, c->exchange, team ? 403 : 422, o);
}

/*
 * Returns a reference to the configuration that the next note applies to;
 * the caller puts it.
 */
static struct config *base_config(struct node *n)
{
	struct config *c = notes_config(n->notes);

	return c ? config_get(c) : config_new();
}

/*
 * Applies the note of a request to a copy of the configuration. On success the
 * caller puts *next; otherwise the request is answered and false returned.
 */
static bool check_note(struct admin_call *c, struct config **next)
{
	const char *text = (const char *)c->msg->body.data;
	struct config *base = base_config(c->node);
	struct note_faults faults = {0};

	*next = config_apply(base, config_number(base) + 1, text ? text : "",
			     c->msg->body.len, c->who.team, &faults);
	if (!*next)
		answer_faults(c, text ? text : "", c->msg->body.len, &faults,
			      base);
	note_faults_free(&faults);
	config_put(base);
	return *next;
}

/* POST /v1/notes/check: validates a note without applying it. */
void admin_notes_check(struct admin_call *c)
{
	struct json_object *o;
	struct config *next;

	if (!check_note(c, &next))
		return;
	o = json_object_new_object();
	json_add_int(o, "would_be", (int64_t)config_number(next));
	json_add_text(o, "release", config_release(next));
	config_put(next);
	admin_answer_json(c->node, c->exchange, 200, o);
}

static void answer_accepted(struct apply_request *a, uint64_t number,
			    bool repeated)
{
	struct json_object *o = json_object_new_object();

	json_add_int(o, "number", (int64_t)number);
	json_object_object_add(o, "repeated",
			       json_object_new_boolean(repeated));
	json_add_text(o, "operator", a->who.name);
	admin_answer_json(a->pending.node, a->exchange, 200, o);
}

static void answer_invalid(struct apply_request *a, const char *text)
{
	struct config *base = base_config(a->pending.node);
	bool team = *a->who.team && only_team_forbids(base, a->text, a->len);

	config_put(base);
	admin_answer_error(a->pending.node, a->exchange, team ? 403 : 422, text,
			   team ? "ask an operator of that team, or of every "
				  "team"
				: "mend what is named, and send the note "
				  "again");
}

static void on_append(void *ctx, uint64_t tag, enum append_status status,
		      uint64_t number, const char *text, int64_t now)
{
	struct apply_request *a = ctx;

	(void)tag;
	(void)now;
	switch (status) {
	case APPEND_ACCEPTED:
	case APPEND_REPEATED:
		answer_accepted(a, number, status == APPEND_REPEATED);
		break;
	case APPEND_CONFLICT:
		admin_answer_error(a->pending.node, a->exchange, 409, text,
				   "read what changed with 'note show', set "
				   "'after' to the newest number, and send "
				   "the note again");
		break;
	case APPEND_INVALID:
		answer_invalid(a, text);
		break;
	case APPEND_STORE_UNAVAILABLE:
		admin_answer_error(a->pending.node, a->exchange, 503, text,
				   "send the same note again when the "
				   "platform's store answers");
		break;
	case APPEND_UNKNOWN:
		admin_answer_error(a->pending.node, a->exchange, 504, text,
				   "send the same note again: a repeat is "
				   "recognised");
		break;
	}
	admin_pending_free(&a->pending);
}

/* Checks that If-Match, if present, equals 'after' of the note. */
static bool check_if_match(struct admin_call *c)
{
	const char *text = message_header(c->msg, "if-match"), *body;
	struct note_head head = {0};
	uint64_t after;
	char *end;

	if (!text)
		return true;
	text += *text == '"';
	errno = 0;
	after = strtoull(text, &end, 10);
	end += *end == '"';
	if (end == text || *end || errno) {
		admin_answer_error(c->node, c->exchange, 400,
				   "If-Match is not the number of a note",
				   "send the number of the newest note");
		return false;
	}
	body = (const char *)c->msg->body.data;
	if (body && !note_read_head(&head, body, c->msg->body.len, NULL) &&
	    head.has_after && head.after == after)
		return true;
	admin_answer_error(c->node, c->exchange, 412,
			   "the note's 'after' is not the number in If-Match",
			   "write 'after' into the note with the same number");
	return false;
}

/* POST /v1/notes: appends a note to the store. */
void admin_notes_apply(struct admin_call *c)
{
	size_t len = c->msg->body.len;
	struct append_done done = {.fn = on_append};
	struct apply_request *a;

	if (!check_if_match(c))
		return;
	a = admin_pending_new(c, sizeof(*a) + len + 1);
	if (!a)
		return;
	a->exchange = c->exchange;
	a->who = c->who;
	a->len = len;
	if (len)
		memcpy(a->text, c->msg->body.data, len);
	done.ctx = a;
	notes_append(c->node->notes, a->text, len, a->who.name,
		     *a->who.team ? a->who.team : NULL, &done, c->now);
}

static void answer_store_unavailable(struct node *n, uint64_t exchange,
				     const struct error *err)
{
	admin_answer_error(n, exchange, 503, err->text,
			   "ask again when the platform's store answers");
}

static void on_history(void *ctx, uint64_t tag, const char *json,
		       const struct error *err)
{
	struct json_object *list, *o;
	struct node *n = ctx;
	size_t i;

	if (!json) {
		answer_store_unavailable(n, tag, err);
		return;
	}
	list = json_tokener_parse(json);
	for (i = 0; list && i < json_object_array_length(list); i++) {
		o = json_object_array_get_idx(list, i);
		json_object_object_del(o, "text");
	}
	o = json_object_new_object();
	json_object_object_add(o, "notes", list);
	admin_answer_json(n, tag, 200, o);
}

/* GET /v1/notes: the newest notes, or those after ?after=NUMBER. */
void admin_notes_history(struct admin_call *c)
{
	uint64_t number = admin_note_number(c->node);
	uint64_t after =
		number > HISTORY_NOTES_MAX ? number - HISTORY_NOTES_MAX : 0;
	char text[24];

	if (admin_param(c->query, "after", text, sizeof(text)))
		after = strtoull(text, NULL, 10);
	notes_history(c->node->notes, after, HISTORY_NOTES_MAX, c->node,
		      c->exchange, on_history, c->now);
}

/*
 * A pending GET /v1/notes/{number}. The number is kept to compare, as the
 * store returns the next note that it has when this one is missing.
 */
struct show_request {
	struct admin_pending pending;
	uint64_t number;
};

static void on_show(void *ctx, uint64_t tag, const char *json,
		    const struct error *err)
{
	struct json_object *list, *o, *number;
	struct show_request *s = ctx;

	if (!json) {
		answer_store_unavailable(s->pending.node, tag, err);
		admin_pending_free(&s->pending);
		return;
	}
	list = json_tokener_parse(json);
	o = list && json_object_array_length(list)
		    ? json_object_array_get_idx(list, 0)
		    : NULL;
	if (o && json_object_object_get_ex(o, "number", &number) &&
	    (uint64_t)json_object_get_int64(number) == s->number)
		admin_answer_json(s->pending.node, tag, 200,
				  json_object_get(o));
	else
		admin_answer_error(s->pending.node, tag, 404,
				   "the store has no note of this number",
				   "see 'note history' for the notes that it "
				   "keeps");
	json_object_put(list);
	admin_pending_free(&s->pending);
}

/* GET /v1/notes/{number}: one note with its text. */
void admin_notes_show(struct admin_call *c)
{
	struct show_request *s = admin_pending_new(c, sizeof(*s));

	if (!s)
		return;
	s->number = c->number;
	notes_history(c->node->notes, c->number - 1, 1, s, c->exchange, on_show,
		      c->now);
}
