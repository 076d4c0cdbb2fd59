#include "admin/admin_impl.h"

#include <string.h>

/* Answers an exchange of the admin listener; ignored if it has ended. */
void admin_answer(struct node *n, uint64_t exchange, int status,
		  const char *type, const void *body, size_t len)
{
	struct message m = {.status = status};

	message_add_header(&m, "content-type", type);
	message_add_header(&m, "cache-control", "no-store");
	if (status == 401)
		message_add_header(&m, "www-authenticate", "Bearer");
	buffer_append(&m.body, body, len, SIZE_MAX);
	http_server_respond(n->admin_server, exchange, &m);
	message_free(&m);
}

/* Answers with a JSON value, and frees it. */
void admin_answer_json(struct node *n, uint64_t exchange, int status,
		       struct json_object *o)
{
	const char *text =
		json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN);

	admin_answer(n, exchange, status, "application/json", text,
		     strlen(text));
	json_object_put(o);
}

/* Answers with an error, and with what the operator can do about it. */
void admin_answer_error(struct node *n, uint64_t exchange, int status,
			const char *error, const char *next)
{
	struct json_object *o = json_object_new_object();

	json_add_text(o, "error", error);
	json_add_text(o, "next", next);
	admin_answer_json(n, exchange, status, o);
}

void json_add_text(struct json_object *o, const char *name, const char *text)
{
	json_object_object_add(o, name, json_object_new_string(text));
}

void json_add_int(struct json_object *o, const char *name, int64_t value)
{
	json_object_object_add(o, name, json_object_new_int64(value));
}

/* Returns a string member, or "" when it is missing or no string. */
const char *json_get_text(struct json_object *o, const char *name)
{
	struct json_object *v;

	if (!json_object_object_get_ex(o, name, &v) ||
	    !json_object_is_type(v, json_type_string))
		return "";
	return json_object_get_string(v);
}
