#include "control/claims/claims_impl.h"
#include "wire/wire_impl.h"

#include <string.h>

#define RECORD_VERSION 1
#define RECORD_FIELDS 13
#define VALUE_MAX (CLAIM_ANSWER_MAX + 4096)

int record_encode(const struct claim_record *r, struct buffer *out)
{
	struct writer w;

	writer_init(&w, out, VALUE_MAX);
	write_array(&w, RECORD_FIELDS);
	write_uint(&w, RECORD_VERSION);
	write_uint(&w, (uint64_t)r->state);
	write_text(&w, r->holder);
	write_uint(&w, r->incarnation);
	write_text(&w, r->request);
	write_text(&w, r->token);
	write_text(&w, r->account);
	write_text(&w, r->route);
	write_uint(&w, r->fingerprint);
	write_uint(&w, (uint64_t)r->wall_us);
	write_uint(&w, (uint64_t)r->status);
	write_text(&w, r->content_type);
	write_bytes(&w, r->body, r->body_len);
	return writer_end(&w);
}

int record_decode(struct claim_record *r, const void *data, size_t len)
{
	struct reader in;
	msgpack_unpacked u;

	memset(r, 0, sizeof(*r));
	if (parse_value(&u, data, len) < 0)
		return -1;
	reader_init(&in, &u.data, RECORD_FIELDS);
	read_uint(&in, RECORD_VERSION);
	r->state = (enum record_state)read_uint(&in, RECORD_UNRESOLVED);
	read_text(&in, r->holder, sizeof(r->holder));
	r->incarnation = read_uint(&in, UINT64_MAX);
	read_text(&in, r->request, sizeof(r->request));
	read_text(&in, r->token, sizeof(r->token));
	read_text(&in, r->account, sizeof(r->account));
	read_text(&in, r->route, sizeof(r->route));
	r->fingerprint = read_uint(&in, UINT64_MAX);
	r->wall_us = (int64_t)read_uint(&in, INT64_MAX);
	r->status = (int)read_uint(&in, UINT16_MAX);
	read_text(&in, r->content_type, sizeof(r->content_type));
	r->body = read_bytes(&in, CLAIM_ANSWER_MAX, &r->body_len);
	msgpack_unpacked_destroy(&u);
	return in.failed ? -1 : 0;
}

int record_to_message(const struct claim_record *r, struct message *m)
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
