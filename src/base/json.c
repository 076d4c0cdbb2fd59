#include "base/json.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define BASE64_VARIANT sodium_base64_VARIANT_ORIGINAL

static bool only_whitespace(const char *text, size_t from, size_t len)
{
	for (; from < len; from++)
		if (!strchr(" \t\r\n", text[from]))
			return false;
	return true;
}

/* Parses one JSON value; NULL if malformed or followed by anything else. */
struct json_object *json_parse_complete(const void *data, size_t len)
{
	struct json_tokener *t = json_tokener_new();
	struct json_object *o = NULL;

	if (t && len <= INT32_MAX)
		o = json_tokener_parse_ex(t, data, (int)len);
	if (t && (json_tokener_get_error(t) != json_tokener_success ||
		  !only_whitespace(data, json_tokener_get_parse_end(t), len))) {
		json_object_put(o);
		o = NULL;
	}
	json_tokener_free(t);
	return o;
}

/* Returns a member, or NULL if it is missing or o is no object. */
struct json_object *json_member(struct json_object *o, const char *name)
{
	struct json_object *m = NULL;

	if (json_object_is_type(o, json_type_object))
		json_object_object_get_ex(o, name, &m);
	return m;
}

/* Returns a member written as number or string; 0 if it is missing. */
int64_t json_int(struct json_object *o, const char *name)
{
	struct json_object *m = json_member(o, name);

	return m ? json_object_get_int64(m) : 0;
}

/*
 * Decodes a base64 member into a buffer that the caller frees; a NUL follows
 * the len bytes. A missing member gives 0 bytes. Returns NULL when malformed
 * or out of memory.
 */
uint8_t *json_bytes(struct json_object *o, const char *name, size_t *len)
{
	struct json_object *m = json_member(o, name);
	const char *text = m ? json_object_get_string(m) : "";
	size_t text_len = m ? (size_t)json_object_get_string_len(m) : 0;
	uint8_t *data = malloc(text_len + 1);

	if (!data)
		return NULL;
	if (sodium_base642bin(data, text_len + 1, text, text_len, NULL, len,
			      NULL, BASE64_VARIANT) < 0) {
		free(data);
		return NULL;
	}
	data[*len] = 0;
	return data;
}

/* Adds bytes as a base64 member; adds nothing when out of memory. */
void json_add_bytes(struct json_object *o, const char *name, const void *data,
		    size_t len)
{
	size_t size = sodium_base64_encoded_len(len, BASE64_VARIANT);
	char *text = malloc(size);

	if (!text)
		return;
	sodium_bin2base64(text, size, data, len, BASE64_VARIANT);
	json_object_object_add(o, name, json_object_new_string(text));
	free(text);
}

/* Adds a NUL-terminated string as a base64 member. */
void json_add_base64(struct json_object *o, const char *name, const char *text)
{
	json_add_bytes(o, name, text, strlen(text));
}
