#include "control/claims_impl.h"

#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#define RECORD_VERSION 1
#define VALUE_MAX (CLAIM_ANSWER_MAX + 4096)

/* The members of the array, in order. */
enum field {
	FIELD_VERSION,
	FIELD_STATE,
	FIELD_HOLDER,
	FIELD_INCARNATION,
	FIELD_REQUEST,
	FIELD_TOKEN,
	FIELD_ACCOUNT,
	FIELD_ROUTE,
	FIELD_FINGERPRINT,
	FIELD_WALL,
	FIELD_STATUS,
	FIELD_CONTENT_TYPE,
	FIELD_BODY,
	FIELD_COUNT
};

static int write_bytes(void *data, const char *buf, size_t len)
{
	return buffer_append(data, buf, len, VALUE_MAX);
}

static int pack_text(msgpack_packer *pk, const char *s)
{
	return msgpack_pack_str_with_body(pk, s, strlen(s));
}

/* Appends the value of a claim; -1 when it is too long or memory is short. */
int record_encode(const struct claim_record *r, struct buffer *out)
{
	msgpack_packer pk;
	int rc = 0;

	msgpack_packer_init(&pk, out, write_bytes);
	rc |= msgpack_pack_array(&pk, FIELD_COUNT);
	rc |= msgpack_pack_int(&pk, RECORD_VERSION);
	rc |= msgpack_pack_int(&pk, (int)r->state);
	rc |= pack_text(&pk, r->holder);
	rc |= msgpack_pack_uint64(&pk, r->incarnation);
	rc |= pack_text(&pk, r->request);
	rc |= pack_text(&pk, r->token);
	rc |= pack_text(&pk, r->account);
	rc |= pack_text(&pk, r->route);
	rc |= msgpack_pack_uint64(&pk, r->fingerprint);
	rc |= msgpack_pack_int64(&pk, r->wall_us);
	rc |= msgpack_pack_int(&pk, r->status);
	rc |= pack_text(&pk, r->content_type);
	rc |= msgpack_pack_bin_with_body(&pk, r->body, r->body_len);
	return rc ? -1 : 0;
}

static int get_text(const msgpack_object *o, char *to, size_t size)
{
	if (o->type != MSGPACK_OBJECT_STR || o->via.str.size >= size ||
	    memchr(o->via.str.ptr, 0, o->via.str.size))
		return -1;
	memcpy(to, o->via.str.ptr, o->via.str.size);
	to[o->via.str.size] = 0;
	return 0;
}

static int get_uint(const msgpack_object *o, uint64_t max, uint64_t *v)
{
	if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER || o->via.u64 > max)
		return -1;
	*v = o->via.u64;
	return 0;
}

static int get_texts(struct claim_record *r, const msgpack_object *f)
{
	if (get_text(&f[FIELD_HOLDER], r->holder, sizeof(r->holder)) ||
	    get_text(&f[FIELD_REQUEST], r->request, sizeof(r->request)) ||
	    get_text(&f[FIELD_TOKEN], r->token, sizeof(r->token)) ||
	    get_text(&f[FIELD_ACCOUNT], r->account, sizeof(r->account)) ||
	    get_text(&f[FIELD_ROUTE], r->route, sizeof(r->route)))
		return -1;
	return get_text(&f[FIELD_CONTENT_TYPE], r->content_type,
			sizeof(r->content_type));
}

static int get_fields(struct claim_record *r, const msgpack_object *f)
{
	uint64_t version, state, wall, status;

	if (get_uint(&f[FIELD_VERSION], RECORD_VERSION, &version) ||
	    get_uint(&f[FIELD_STATE], RECORD_UNRESOLVED, &state) ||
	    get_uint(&f[FIELD_INCARNATION], UINT64_MAX, &r->incarnation) ||
	    get_uint(&f[FIELD_FINGERPRINT], UINT64_MAX, &r->fingerprint) ||
	    get_uint(&f[FIELD_WALL], INT64_MAX, &wall) ||
	    get_uint(&f[FIELD_STATUS], UINT16_MAX, &status) ||
	    f[FIELD_BODY].type != MSGPACK_OBJECT_BIN)
		return -1;
	r->state = (enum record_state)state;
	r->wall_us = (int64_t)wall;
	r->status = (int)status;
	return get_texts(r, f);
}

/*
 * Reads the value of a claim; body then points into data. Returns -1 when
 * it is malformed.
 */
int record_decode(struct claim_record *r, const void *data, size_t len)
{
	msgpack_unpacked u;
	const msgpack_object *f;
	size_t offset = 0;
	int rc = -1;

	memset(r, 0, sizeof(*r));
	msgpack_unpacked_init(&u);
	if (msgpack_unpack_next(&u, data, len, &offset) ==
		    MSGPACK_UNPACK_SUCCESS &&
	    offset == len && u.data.type == MSGPACK_OBJECT_ARRAY &&
	    u.data.via.array.size == FIELD_COUNT) {
		f = u.data.via.array.ptr;
		rc = get_fields(r, f);
		/* The body is the last member, so it ends the value. */
		r->body_len = f[FIELD_BODY].type == MSGPACK_OBJECT_BIN
				      ? f[FIELD_BODY].via.bin.size
				      : 0;
		r->body = (const uint8_t *)data + len - r->body_len;
	}
	msgpack_unpacked_destroy(&u);
	return rc;
}

/* Makes the kept answer of a done claim, the caller's to free. */
int record_answer(const struct claim_record *r, struct message *m)
{
	memset(m, 0, sizeof(*m));
	m->status = r->status;
	if ((*r->content_type &&
	     message_add_header(m, "content-type", r->content_type) < 0) ||
	    buffer_append(&m->body, r->body, r->body_len, CLAIM_ANSWER_MAX) <
		    0) {
		message_free(m);
		return -1;
	}
	return 0;
}
