#include "wire/wire_impl.h"

#include <stdlib.h>
#include <string.h>

#define IPV4_OFFSET 12	  /* in an IPv4-mapped IPv6 address */
#define IPV4_ADDR_SIZE 6  /* address and port */
#define IPV6_ADDR_SIZE 18 /* address and port */

static const msgpack_object *next(struct reader *r, msgpack_object_type type)
{
	const msgpack_object *o;

	if (r->failed || r->next >= r->n) {
		r->failed = true;
		return NULL;
	}
	o = &r->items[r->next++];
	if (o->type != type) {
		r->failed = true;
		return NULL;
	}
	return o;
}

/*
 * Opens an array of at least the known fields; up to EXTRA_FIELDS_MAX unknown
 * ones may follow.
 */
void reader_init(struct reader *r, const msgpack_object *o, size_t known)
{
	memset(r, 0, sizeof(*r));
	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size < known ||
	    o->via.array.size > known + EXTRA_FIELDS_MAX) {
		r->failed = true;
		return;
	}
	r->items = o->via.array.ptr;
	r->n = o->via.array.size;
}

/* Opens the next value as a nested array of the known fields. */
void reader_array(struct reader *r, struct reader *sub, size_t known)
{
	const msgpack_object *o = next(r, MSGPACK_OBJECT_ARRAY);

	memset(sub, 0, sizeof(*sub));
	sub->failed = true;
	if (o)
		reader_init(sub, o, known);
	r->failed |= sub->failed;
}

/* Opens the next value as a list of at most max values; returns their count. */
size_t reader_list(struct reader *r, struct reader *list, size_t max)
{
	const msgpack_object *o = next(r, MSGPACK_OBJECT_ARRAY);

	memset(list, 0, sizeof(*list));
	if (!o || o->via.array.size > max) {
		r->failed = true;
		list->failed = true;
		return 0;
	}
	list->items = o->via.array.ptr;
	list->n = o->via.array.size;
	return list->n;
}

/* Returns a number of at most max, or marks the reader failed and returns 0. */
uint64_t read_uint(struct reader *r, uint64_t max)
{
	const msgpack_object *o = next(r, MSGPACK_OBJECT_POSITIVE_INTEGER);

	if (o && o->via.u64 <= max)
		return o->via.u64;
	r->failed = true;
	return 0;
}

/* Returns a boolean; marks the reader failed and returns false otherwise. */
bool read_bool(struct reader *r)
{
	const msgpack_object *o = next(r, MSGPACK_OBJECT_BOOLEAN);

	return o && o->via.boolean;
}

/*
 * Returns text that is not NUL-terminated. For an empty string msgpack-c may
 * have no pointer, so "" is returned instead.
 */
static const char *next_text(struct reader *r, size_t max, size_t *len)
{
	const msgpack_object *o = next(r, MSGPACK_OBJECT_STR);

	*len = o ? o->via.str.size : 0;
	if (!o || !*len)
		return "";
	if (*len <= max && !memchr(o->via.str.ptr, 0, *len))
		return o->via.str.ptr;
	r->failed = true;
	*len = 0;
	return "";
}

/* Copies text, which must fit into size bytes with its NUL. */
void read_text(struct reader *r, char *to, size_t size)
{
	size_t len;
	const char *s = next_text(r, size - 1, &len);

	memcpy(to, s, len);
	to[len] = 0;
}

/* Returns an allocated copy of text of at most max bytes; NULL if no memory. */
char *read_text_copy(struct reader *r, size_t max)
{
	size_t len;
	const char *s = next_text(r, max, &len);
	char *copy = strndup(s, len);

	if (!copy)
		r->failed = true;
	return copy;
}

/* Returns a byte string, which points into the decoded bytes, or NULL. */
const uint8_t *read_bytes(struct reader *r, size_t max, size_t *len)
{
	const msgpack_object *o = next(r, MSGPACK_OBJECT_BIN);

	*len = 0;
	if (!o || o->via.bin.size > max) {
		r->failed = true;
		return NULL;
	}
	*len = o->via.bin.size;
	return (const uint8_t *)o->via.bin.ptr;
}

/* Copies a byte string of at most max bytes into a new buffer. */
void read_buffer(struct reader *r, struct buffer *b, size_t max)
{
	size_t len;
	const uint8_t *p = read_bytes(r, max, &len);

	memset(b, 0, sizeof(*b));
	if (p && buffer_append(b, p, len, max) < 0)
		r->failed = true;
}

/* Reads an address that write_addr wrote. */
void read_addr(struct reader *r, struct addr *a)
{
	size_t len;
	const uint8_t *p = read_bytes(r, IPV6_ADDR_SIZE, &len);

	memset(a, 0, sizeof(*a));
	if (!len)
		return;
	if (len != IPV4_ADDR_SIZE && len != IPV6_ADDR_SIZE) {
		r->failed = true;
		return;
	}
	if (len == IPV4_ADDR_SIZE)
		memset(a->ip + IPV4_OFFSET - 2, 0xff, 2);
	memcpy(a->ip + sizeof(a->ip) + 2 - len, p, len - 2);
	a->port = (uint16_t)(p[len - 2] << 8 | p[len - 1]);
}
