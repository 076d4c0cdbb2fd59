#include "conf/conf_impl.h"

#include <ctype.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FAULTS_MAX 1000

/* Appends a member to the path; returns the old length, for reader_leave. */
size_t reader_enter(struct reader *r, const char *member)
{
	size_t len = r->len;

	snprintf(r->path + len, sizeof(r->path) - len, "%s%s", len ? "." : "",
		 member);
	r->len = strlen(r->path);
	return len;
}

/* Appends an array index to the path; returns the old length. */
size_t reader_enter_index(struct reader *r, size_t i)
{
	size_t len = r->len;

	snprintf(r->path + len, sizeof(r->path) - len, "[%zu]", i);
	r->len = strlen(r->path);
	return len;
}

/* Truncates the path to the length that reader_enter returned. */
void reader_leave(struct reader *r, size_t len)
{
	r->len = len;
	r->path[len] = 0;
}

static void add_fault(struct note_faults *f, const char *path, const char *fmt,
		      va_list ap)
{
	struct note_fault *items, *item;

	if (f->n > FAULTS_MAX)
		return;
	items = realloc(f->items, (f->n + 1) * sizeof(*items));
	if (!items)
		return;
	f->items = items;
	item = &items[f->n++];
	snprintf(item->path, sizeof(item->path), "%s", path);
	if (f->n > FAULTS_MAX)
		snprintf(item->text, sizeof(item->text),
			 "further faults are not listed");
	else
		vsnprintf(item->text, sizeof(item->text), fmt, ap);
}

/* Records a fault at the current path. */
void reader_fault(struct reader *r, const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	add_fault(r->faults, r->path, fmt, ap);
	va_end(ap);
}

/* Records a fault at a given path. */
void reader_fault_at(struct reader *r, const char *path, const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	add_fault(r->faults, path, fmt, ap);
	va_end(ap);
}

static const char *read_text(struct reader *r, struct json_object *v,
			     size_t size)
{
	const char *text = json_object_get_string(v);
	size_t len;

	if (!json_object_is_type(v, json_type_string)) {
		reader_fault(r, "must be a string");
		return NULL;
	}
	len = (size_t)json_object_get_string_len(v);
	if (!len || len >= size || strlen(text) != len) {
		reader_fault(r, "must have 1 to %zu characters", size - 1);
		return NULL;
	}
	return text;
}

/* Reads a name of letters, digits, dots, dashes and underscores. */
int field_name(struct reader *r, struct json_object *v, char name[NAME_SIZE])
{
	const char *text = read_text(r, v, NAME_SIZE), *p;

	if (!text)
		return -1;
	for (p = text; *p; p++)
		if (!isalnum((unsigned char)*p) && !strchr("._-", *p)) {
			reader_fault(r, "may only have letters, digits and "
					"any of . _ -");
			return -1;
		}
	return copy_name(name, NAME_SIZE, text);
}

static void read_method(struct reader *r, struct json_object *v, char *method)
{
	const char *text = read_text(r, v, METHOD_SIZE);

	if (!text)
		return;
	if (text[strspn(text, "ABCDEFGHIJKLMNOPQRSTUVWXYZ-")])
		reader_fault(r, "must be a method in capital letters");
	else
		copy_name(method, METHOD_SIZE, text);
}

static void read_pattern(struct reader *r, struct json_object *v, char *to)
{
	const char *text = read_text(r, v, PATTERN_SIZE);
	const char *fault = text ? pattern_fault(text) : NULL;

	if (fault)
		reader_fault(r, "%s", fault);
	else if (text)
		copy_name(to, PATTERN_SIZE, text);
}

static void read_hash(struct reader *r, struct json_object *v, uint8_t *hash)
{
	const char *text = read_text(r, v, 2 * KEY_HASH_SIZE + 1);
	size_t len = 0;

	if (!text)
		return;
	if (sodium_hex2bin(hash, KEY_HASH_SIZE, text, strlen(text), NULL, &len,
			   NULL) < 0 ||
	    len != KEY_HASH_SIZE)
		reader_fault(r, "must be 64 hexadecimal digits");
}

/* Reads an IP address and port; with port 0 the kernel chooses one. */
int field_addr(struct reader *r, struct json_object *v, struct addr *a)
{
	const char *text = read_text(r, v, ADDR_TEXT_SIZE);

	if (!text)
		return -1;
	if (!addr_parse(a, text))
		return 0;
	reader_fault(r, "must be an IP number and a port, like 10.0.0.1:80");
	return -1;
}

/* Reads a number from f->min to f->max; integers are exact up to 2^53. */
static bool read_number(struct reader *r, struct json_object *v,
			const struct field *f, bool whole, double *number)
{
	if (!json_object_is_type(v, json_type_int) &&
	    (whole || !json_object_is_type(v, json_type_double))) {
		reader_fault(r, "must be a %snumber", whole ? "whole " : "");
		return false;
	}
	*number = json_object_get_double(v);
	if (*number >= f->min && *number <= f->max)
		return true;
	reader_fault(r, "must be from %.15g to %.15g", f->min, f->max);
	return false;
}

static void read_choice(struct reader *r, struct json_object *v,
			const struct field *f, int *out)
{
	const char *text = json_object_get_string(v);
	char all[160];
	size_t len = 0;
	int i;

	for (i = 0; f->choices[i]; i++) {
		if (json_object_is_type(v, json_type_string) &&
		    !strcmp(f->choices[i], text)) {
			*out = i;
			return;
		}
		len += (size_t)snprintf(all + len, sizeof(all) - len, "%s%s",
					i ? ", " : "", f->choices[i]);
	}
	reader_fault(r, "must be one of %s", all);
}

static void read_numeric(struct reader *r, struct json_object *v,
			 const struct field *f, void *at)
{
	bool whole = f->kind == FIELD_COUNT || f->kind == FIELD_BYTES;
	double number;

	if (!read_number(r, v, f, whole, &number))
		return;
	if (f->kind == FIELD_COUNT)
		*(uint32_t *)at = (uint32_t)number;
	else if (f->kind == FIELD_BYTES)
		*(size_t *)at = (size_t)number;
	else if (f->kind == FIELD_TIME)
		*(int64_t *)at = (int64_t)(number * (double)f->unit_us);
	else
		*(double *)at = number;
}

static void read_field(struct reader *r, struct json_object *v,
		       const struct field *f, void *at)
{
	switch (f->kind) {
	case FIELD_NAME:
		field_name(r, v, at);
		break;
	case FIELD_METHOD:
		read_method(r, v, at);
		break;
	case FIELD_PATTERN:
		read_pattern(r, v, at);
		break;
	case FIELD_HASH:
		read_hash(r, v, at);
		break;
	case FIELD_ADDR:
		field_addr(r, v, at);
		break;
	case FIELD_CHOICE:
		read_choice(r, v, f, at);
		break;
	case FIELD_BOOL:
		if (json_object_is_type(v, json_type_boolean))
			*(bool *)at = json_object_get_boolean(v);
		else
			reader_fault(r, "must be true or false");
		break;
	case FIELD_COUNT:
	case FIELD_BYTES:
	case FIELD_NUMBER:
	case FIELD_TIME:
		read_numeric(r, v, f, at);
		break;
	case FIELD_REGIONS:
		field_regions(r, v, at);
		break;
	case FIELD_OBJECT:
		fields_read(r, v, f->fields, f->field_count, at, false);
		break;
	case FIELD_OTHER:
		break;
	}
}

static const struct field *find_field(const struct field *fields, size_t n,
				      const char *name)
{
	size_t i;

	for (i = 0; i < n; i++)
		if (!strcmp(fields[i].name, name))
			return &fields[i];
	return NULL;
}

/*
 * Reads the members of an object into out; members that are absent keep
 * their value. Reports unknown members and, unless partial is set, missing
 * ones that are required.
 */
void fields_read(struct reader *r, struct json_object *obj,
		 const struct field *fields, size_t n, void *out, bool partial)
{
	const struct field *f;
	size_t i, len;

	if (!json_object_is_type(obj, json_type_object)) {
		reader_fault(r, "must be an object");
		return;
	}
	json_object_object_foreach(obj, name, v)
	{
		len = reader_enter(r, name);
		f = find_field(fields, n, name);
		if (f)
			read_field(r, v, f, (char *)out + f->offset);
		else
			reader_fault(r, "is not a known member");
		reader_leave(r, len);
	}
	for (i = 0; i < n; i++) {
		if (partial || !fields[i].required ||
		    json_object_object_get_ex(obj, fields[i].name, NULL))
			continue;
		len = reader_enter(r, fields[i].name);
		reader_fault(r, "is missing");
		reader_leave(r, len);
	}
}
