#include "admin/admin_impl.h"

#include "base/json.h"

static struct json_object *entry_json(struct poison *p,
				      const struct poison_entry *e, int64_t now)
{
	enum poison_verdict verdict = poison_check(p, &e->facts.id, now);
	struct json_object *o = json_object_new_object();
	char id[FINGERPRINT_TEXT_SIZE];

	fingerprint_format(&e->facts.id, id);
	json_add_text(o, "fingerprint", id);
	json_add_text(o, "service", e->facts.service);
	json_add_int(o, "ends", e->facts.end_count);
	json_add_text(o, "state",
		      verdict == POISON_SUSPECT ? "suspect" : "refused");
	json_object_object_add(o, "tried",
			       json_object_new_boolean(e->facts.tried));
	json_add_int(o, "refused_s",
		     e->refused_us ? (now - e->refused_us) / USEC_PER_SEC : 0);
	json_add_int(o, "refused_here", (int64_t)e->refused);
	return o;
}

/* Lists the requests under which upstreams ended, most evidence or not. */
struct json_object *admin_poison_json(struct node *n, int64_t now)
{
	struct json_object *list = json_object_new_array();
	const struct poison_entry *e = NULL;

	while ((e = poison_next(n->poison, e)))
		if (e->facts.end_count)
			json_object_array_add(list,
					      entry_json(n->poison, e, now));
	return list;
}

/* GET /v1/poison: the requests under which upstreams ended. */
void admin_poison(struct admin_call *c)
{
	struct json_object *o = json_object_new_object();

	json_object_object_add(o, "poison", admin_poison_json(c->node, c->now));
	admin_answer_json(c->node, c->exchange, 200, o);
}

static void log_lifted(const struct admin_call *c, const char *id)
{
	struct log_line line;

	log_start(&line, LOG_NOTICE, "poison-lifted");
	log_str(&line, "fingerprint", id);
	log_str(&line, "operator", c->who.name);
	log_emit(&line);
}

/* POST /v1/poison/lift: serves a request again on all hosts. */
void admin_poison_lift(struct admin_call *c)
{
	struct json_object *in =
		json_parse_complete(c->msg->body.data, c->msg->body.len);
	struct json_object *o;
	struct fingerprint id;
	char text[FINGERPRINT_TEXT_SIZE] = "";
	int bad = fingerprint_parse(&id, json_get_text(in, "fingerprint"));

	json_object_put(in);
	if (bad) {
		admin_answer_error(c->node, c->exchange, 422,
				   "fingerprint must be 32 digits of 0-9a-f",
				   "see GET /v1/poison");
		return;
	}
	if (!poison_clear(c->node->poison, &id, c->now)) {
		admin_answer_error(c->node, c->exchange, 404,
				   "nothing is known against this request",
				   "see GET /v1/poison");
		return;
	}
	fingerprint_format(&id, text);
	log_lifted(c, text);
	o = json_object_new_object();
	json_add_text(o, "lifted", text);
	admin_answer_json(c->node, c->exchange, 200, o);
}
