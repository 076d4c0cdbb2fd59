#include "admin/admin_impl.h"

#include <string.h>

/* Converts a decision and the host that stores it to JSON. */
struct json_object *record_json(const struct decision *d, const char *host)
{
	struct json_object *o = json_object_new_object();
	char when[32];

	format_wall_time(d->wall_us, when);
	json_add_text(o, "at", when);
	json_add_int(o, "wall_us", d->wall_us);
	json_add_text(o, "host", host);
	json_add_text(o, "decision", decision_name(d->kind));
	json_add_text(o, "reason", reason_code(d->reason));
	json_add_text(o, "outcome", outcome_name(d->outcome));
	json_add_text(o, "request", d->request);
	json_add_text(o, "root", d->root);
	json_add_text(o, "account", d->account);
	json_add_text(o, "route", d->route);
	json_add_text(o, "service", d->service);
	json_add_text(o, "peer", d->peer);
	json_add_int(o, "attempt", d->attempt);
	json_add_int(o, "status", d->status);
	json_add_int(o, "took_us", d->took_us);
	return o;
}

static int read_text(struct json_object *o, const char *name, char *to,
		     size_t size)
{
	struct json_object *v;

	if (!json_object_object_get_ex(o, name, &v) ||
	    !json_object_is_type(v, json_type_string))
		return -1;
	return copy_name(to, size, json_object_get_string(v));
}

static int read_int(struct json_object *o, const char *name, int64_t *to)
{
	struct json_object *v;

	if (!json_object_object_get_ex(o, name, &v) ||
	    !json_object_is_type(v, json_type_int))
		return -1;
	*to = json_object_get_int64(v);
	return 0;
}

static int read_kind(struct json_object *o, enum decision_kind *kind)
{
	char name[NAME_SIZE];
	int i;

	if (read_text(o, "decision", name, sizeof(name)) < 0)
		return -1;
	for (i = 0; i <= DECISION_OBSERVED; i++) {
		*kind = (enum decision_kind)i;
		if (!strcmp(decision_name(*kind), name))
			return 0;
	}
	return -1;
}

static int read_reason(struct json_object *o, enum reason *reason)
{
	char name[NAME_SIZE];
	int i;

	if (read_text(o, "reason", name, sizeof(name)) < 0)
		return -1;
	for (i = 0; i < REASON_COUNT; i++) {
		*reason = (enum reason)i;
		if (!strcmp(reason_code(*reason), name))
			return 0;
	}
	return -1;
}

static int read_outcome(struct json_object *o, enum outcome *outcome)
{
	char name[NAME_SIZE];
	int i;

	if (read_text(o, "outcome", name, sizeof(name)) < 0)
		return -1;
	for (i = 0; i <= OUTCOME_UNKNOWN; i++) {
		*outcome = (enum outcome)i;
		if (!strcmp(outcome_name(*outcome), name))
			return 0;
	}
	return -1;
}

/* Parses a decision in the form of record_json; -1 when malformed. */
int record_read(struct decision *d, char host[NAME_SIZE], struct json_object *o)
{
	int64_t attempt, status;

	memset(d, 0, sizeof(*d));
	if (read_int(o, "wall_us", &d->wall_us) < 0 ||
	    read_text(o, "host", host, NAME_SIZE) < 0 ||
	    read_kind(o, &d->kind) < 0 || read_reason(o, &d->reason) < 0 ||
	    read_outcome(o, &d->outcome) < 0 ||
	    read_text(o, "request", d->request, sizeof(d->request)) < 0 ||
	    read_text(o, "root", d->root, sizeof(d->root)) < 0 ||
	    read_text(o, "account", d->account, sizeof(d->account)) < 0 ||
	    read_text(o, "route", d->route, sizeof(d->route)) < 0 ||
	    read_text(o, "service", d->service, sizeof(d->service)) < 0 ||
	    read_text(o, "peer", d->peer, sizeof(d->peer)) < 0 ||
	    read_int(o, "attempt", &attempt) < 0 ||
	    read_int(o, "status", &status) < 0 ||
	    read_int(o, "took_us", &d->took_us) < 0)
		return -1;
	d->attempt = (uint8_t)attempt;
	d->status = (int)status;
	return 0;
}

/*
 * Converts a span to JSON; from and to are the first and last minute, in
 * seconds since 1970.
 */
struct json_object *span_json(const struct explain_span *s)
{
	struct json_object *o = json_object_new_object();

	json_add_text(o, "account", s->account);
	json_add_text(o, "route", s->route);
	json_add_text(o, "service", s->service);
	json_add_text(o, "decision", decision_name(s->kind));
	json_add_text(o, "reason", reason_code(s->reason));
	json_add_text(o, "outcome", outcome_name(s->outcome));
	json_object_object_add(o, "sub_call",
			       json_object_new_boolean(s->sub_call));
	json_add_int(o, "from", s->from_min * 60);
	json_add_int(o, "to", s->to_min * 60);
	json_add_int(o, "count", (int64_t)s->n);
	return o;
}

/* Parses a span in the form of span_json; -1 when malformed. */
int span_read(struct explain_span *s, struct json_object *o)
{
	struct json_object *sub;
	int64_t n;

	memset(s, 0, sizeof(*s));
	if (read_text(o, "account", s->account, sizeof(s->account)) < 0 ||
	    read_text(o, "route", s->route, sizeof(s->route)) < 0 ||
	    read_text(o, "service", s->service, sizeof(s->service)) < 0 ||
	    read_kind(o, &s->kind) < 0 || read_reason(o, &s->reason) < 0 ||
	    read_outcome(o, &s->outcome) < 0 ||
	    read_int(o, "from", &s->from_min) < 0 ||
	    read_int(o, "to", &s->to_min) < 0 || read_int(o, "count", &n) < 0 ||
	    !json_object_object_get_ex(o, "sub_call", &sub))
		return -1;
	s->sub_call = json_object_get_boolean(sub);
	s->from_min /= 60;
	s->to_min /= 60;
	s->n = (uint64_t)n;
	return 0;
}
