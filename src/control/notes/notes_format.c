/*
 * Format of notes and snapshots in the store. Notes and the heads are JSON, so
 * that an operator can read them with the platform's own tools even when no
 * node runs.
 *
 *	notes/head           number of the newest note
 *	notes/NUMBER         one note; the number has twenty digits
 *	snapshot/head        numbers and parts of the newest two snapshots
 *	snapshot/NUMBER/PART part of the msgpack written by config_pack
 */
#include "control/notes/notes_impl.h"

#include <inttypes.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

const char notes_head_key[] = "notes/head";
const char snapshot_head_key[] = "snapshot/head";

/* Writes the key of a note. Keys sort in the order of their numbers. */
void note_key(char key[NOTE_KEY_SIZE], uint64_t number)
{
	snprintf(key, NOTE_KEY_SIZE, "notes/%020" PRIu64, number);
}

/* Returns the number in the key of a note, or 0 for any other key. */
uint64_t note_key_number(const char *key)
{
	uint64_t number;
	char *end;

	if (strncmp(key, "notes/", 6) != 0)
		return 0;
	number = strtoull(key + 6, &end, 10);
	return *end || end == key + 6 ? 0 : number;
}

/* Writes the key of one part of a snapshot. */
void snapshot_key(char key[NOTE_KEY_SIZE], uint64_t number, uint32_t part)
{
	snprintf(key, NOTE_KEY_SIZE, "snapshot/%020" PRIu64 "/%04" PRIu32,
		 number, part);
}

static void add_uint(struct json_object *obj, const char *name, uint64_t v)
{
	json_object_object_add(obj, name, json_object_new_uint64(v));
}

static int write_json(struct json_object *obj, struct buffer *out)
{
	size_t len;
	const char *text = json_object_to_json_string_length(
		obj, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE,
		&len);
	int rc = text ? buffer_append(out, text, len, STORE_VALUE_MAX) : -1;

	json_object_put(obj);
	return rc;
}

static struct json_object *parse_json(const void *data, size_t len)
{
	struct json_tokener *tok = json_tokener_new_ex(4);
	struct json_object *obj = NULL;

	if (tok && len <= STORE_VALUE_MAX)
		obj = json_tokener_parse_ex(tok, data, (int)len);
	json_tokener_free(tok);
	if (json_object_is_type(obj, json_type_object))
		return obj;
	json_object_put(obj);
	return NULL;
}

static uint64_t get_uint(struct json_object *obj, const char *name)
{
	return json_object_get_uint64(json_object_object_get(obj, name));
}

static int get_name(struct json_object *obj, const char *name,
		    char to[NAME_SIZE])
{
	struct json_object *v = json_object_object_get(obj, name);

	if (!json_object_is_type(v, json_type_string))
		return -1;
	return copy_name(to, NAME_SIZE, json_object_get_string(v));
}

/* Appends the stored form. Returns -1 if it exceeds STORE_VALUE_MAX. */
int envelope_write(const struct envelope *e, struct buffer *out)
{
	struct json_object *obj = json_object_new_object();
	char time[32];

	format_wall_time(e->wall_us, time);
	add_uint(obj, "number", e->number);
	json_object_object_add(obj, "release",
			       json_object_new_string(e->release));
	json_object_object_add(obj, "operator",
			       json_object_new_string(e->operator_name));
	json_object_object_add(obj, "time", json_object_new_string(time));
	add_uint(obj, "wall_us", (uint64_t)e->wall_us);
	json_object_object_add(
		obj, "text", json_object_new_string_len(e->text, (int)e->len));
	return write_json(obj, out);
}

/* Parses the stored form. On success the caller calls envelope_free. */
int envelope_read(struct envelope *e, const void *data, size_t len)
{
	struct json_object *obj = parse_json(data, len), *text;
	int rc = -1;

	memset(e, 0, sizeof(*e));
	text = json_object_object_get(obj, "text");
	if (json_object_is_type(text, json_type_string) &&
	    !get_name(obj, "release", e->release) &&
	    !get_name(obj, "operator", e->operator_name)) {
		e->number = get_uint(obj, "number");
		e->wall_us = (int64_t)get_uint(obj, "wall_us");
		e->len = (size_t)json_object_get_string_len(text);
		e->text = malloc(e->len + 1);
		if (e->text) {
			memcpy(e->text, json_object_get_string(text),
			       e->len + 1);
			rc = 0;
		}
	}
	json_object_put(obj);
	return rc;
}

void envelope_free(struct envelope *e)
{
	free(e->text);
	e->text = NULL;
}

/* Parses the value of snapshot/head. Returns -1 if invalid. */
int snapshot_head_read(struct snapshot_head *h, const void *data, size_t len)
{
	struct json_object *obj = parse_json(data, len);

	if (!obj)
		return -1;
	h->number = get_uint(obj, "number");
	h->parts = (uint32_t)get_uint(obj, "parts");
	h->previous = get_uint(obj, "previous");
	h->previous_parts = (uint32_t)get_uint(obj, "previous_parts");
	json_object_put(obj);
	return h->number && h->parts ? 0 : -1;
}

/* Appends the value of snapshot/head. */
int snapshot_head_write(const struct snapshot_head *h, struct buffer *out)
{
	struct json_object *obj = json_object_new_object();

	add_uint(obj, "number", h->number);
	add_uint(obj, "parts", h->parts);
	add_uint(obj, "previous", h->previous);
	add_uint(obj, "previous_parts", h->previous_parts);
	return write_json(obj, out);
}
