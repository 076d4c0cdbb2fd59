#include "filter/filter.h"

#include <json-c/json.h>
#include <string.h>

static void add_text(struct json_object *o, const char *member,
		     const char *text)
{
	json_object_object_add(o, member, json_object_new_string(text));
}

/*
 * Fills the status and the problem document (RFC 9457) of a refusal. request
 * is the id of the root, or NULL if the request was refused before it had one.
 */
void problem_fill(struct message *m, enum reason reason, enum outcome outcome,
		  const char *request)
{
	struct json_object *o = json_object_new_object();
	const char *text;

	m->status = reason_status(reason);
	message_add_header(m, "content-type", "application/problem+json");
	add_text(o, "title", reason_sentence(reason));
	json_object_object_add(o, "status", json_object_new_int(m->status));
	add_text(o, "reason", reason_code(reason));
	add_text(o, "outcome", outcome_name(outcome));
	if (request)
		add_text(o, "request", request);
	text = json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN);
	buffer_append(&m->body, text, strlen(text), SIZE_MAX);
	json_object_put(o);
}
