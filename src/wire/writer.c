#include "wire/wire_impl.h"

#include <string.h>

#define IPV4_OFFSET 12 /* in an IPv4-mapped IPv6 address */

static int append(void *ctx, const char *data, size_t len)
{
	struct writer *w = ctx;

	if (!w->failed && buffer_append(w->out, data, len, w->limit) < 0)
		w->failed = true;
	return w->failed ? -1 : 0;
}

/* Starts writing at the end of out, at most limit bytes. */
void writer_init(struct writer *w, struct buffer *out, size_t limit)
{
	w->out = out;
	w->start = out->len;
	w->limit = out->len + limit;
	w->failed = false;
	msgpack_packer_init(&w->pk, w, append);
}

/* Returns -1 and truncates out to its old length if any write failed. */
int writer_end(struct writer *w)
{
	if (!w->failed)
		return 0;
	w->out->len = w->start;
	return -1;
}

/* Starts an array; the caller must write n values next. */
void write_array(struct writer *w, size_t n)
{
	msgpack_pack_array(&w->pk, n);
}

/* Writes an unsigned number in its shortest form. */
void write_uint(struct writer *w, uint64_t v)
{
	msgpack_pack_uint64(&w->pk, v);
}

/* Writes a boolean. */
void write_bool(struct writer *w, bool v)
{
	if (v)
		msgpack_pack_true(&w->pk);
	else
		msgpack_pack_false(&w->pk);
}

/* Writes text; NULL is written as an empty string. */
void write_text(struct writer *w, const char *s)
{
	size_t len = s ? strlen(s) : 0;

	msgpack_pack_str(&w->pk, len);
	msgpack_pack_str_body(&w->pk, s, len);
}

/* Writes a byte string. */
void write_bytes(struct writer *w, const void *data, size_t len)
{
	msgpack_pack_bin(&w->pk, len);
	msgpack_pack_bin_body(&w->pk, data, len);
}

static bool is_v4(const struct addr *a)
{
	static const uint8_t prefix[IPV4_OFFSET] = {[10] = 0xff, [11] = 0xff};

	return !memcmp(a->ip, prefix, sizeof(prefix));
}

/* Returns the encoded bytes of an address, without the string's header. */
size_t addr_size(const struct addr *a)
{
	if (!addr_is_set(a))
		return 0;
	return sizeof(a->ip) + 2 - (is_v4(a) ? IPV4_OFFSET : 0);
}

/* Writes an address as 0, 6 or 18 bytes: the IP address, then the port. */
void write_addr(struct writer *w, const struct addr *a)
{
	uint8_t bytes[sizeof(a->ip) + 2];
	size_t size = addr_size(a);

	memcpy(bytes, a->ip, sizeof(a->ip));
	bytes[sizeof(a->ip)] = (uint8_t)(a->port >> 8);
	bytes[sizeof(a->ip) + 1] = (uint8_t)a->port;
	write_bytes(w, bytes + sizeof(bytes) - size, size);
}
