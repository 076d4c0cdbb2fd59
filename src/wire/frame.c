#include "wire/wire_impl.h"

#include <stdlib.h>
#include <string.h>

#define FRAME_FIELDS 2	  /* kind, stream */
#define HEAD_FIELDS 5	  /* kind, stream, head, message, body length */
#define PAYLOAD_FIELDS 3  /* kind, stream, payload */
#define SEAL_RESERVE 1024 /* bytes of FRAME_MAX kept for sealing */

/*
 * Appends one frame. Returns -1 and leaves out unchanged if the frame would
 * exceed FRAME_MAX once sealed, or memory is short.
 */
int frame_encode(const struct frame *f, struct buffer *out)
{
	struct writer w;

	writer_init(&w, out, FRAME_MAX - SEAL_RESERVE);
	write_array(&w, f->kind == FRAME_CALL || f->kind == FRAME_ANSWER
				? HEAD_FIELDS
			: f->kind == FRAME_CANCEL ? FRAME_FIELDS
						  : PAYLOAD_FIELDS);
	write_uint(&w, f->kind);
	write_uint(&w, f->stream);
	switch (f->kind) {
	case FRAME_CALL:
		write_call_head(&w, &f->call.head);
		write_message(&w, &f->call.message);
		write_uint(&w, f->call.body_len);
		break;
	case FRAME_ANSWER:
		write_answer_head(&w, &f->answer.head);
		write_message(&w, &f->answer.message);
		write_uint(&w, f->answer.body_len);
		break;
	case FRAME_BODY:
		write_bytes(&w, f->body.data, f->body.len);
		break;
	case FRAME_CREDIT:
		write_uint(&w, f->credit);
		break;
	case FRAME_CANCEL:
		break;
	case FRAME_PEER_MSG:
		write_peer_msg(&w, f->peer_msg);
		break;
	case FRAME_PING:
		write_uint(&w, f->ping);
		break;
	}
	return writer_end(&w);
}

static void read_peer(struct frame *f, struct reader *r)
{
	f->peer_msg = calloc(1, sizeof(*f->peer_msg));
	if (f->peer_msg)
		read_peer_msg(r, f->peer_msg);
	else
		r->failed = true;
}

static void read_content(struct frame *f, struct reader *r)
{
	switch (f->kind) {
	case FRAME_CALL:
		read_call_head(r, &f->call.head);
		read_message(r, &f->call.message);
		f->call.body_len = (uint32_t)read_uint(r, UINT32_MAX);
		break;
	case FRAME_ANSWER:
		read_answer_head(r, &f->answer.head);
		read_message(r, &f->answer.message);
		f->answer.body_len = (uint32_t)read_uint(r, UINT32_MAX);
		break;
	case FRAME_BODY:
		f->body.data = read_bytes(r, FRAME_PAYLOAD_MAX, &f->body.len);
		break;
	case FRAME_CREDIT:
		f->credit = (uint32_t)read_uint(r, UINT32_MAX);
		break;
	case FRAME_CANCEL:
		break;
	case FRAME_PEER_MSG:
		read_peer(f, r);
		break;
	case FRAME_PING:
		f->ping = (enum ping_kind)read_uint(r, PING_CLOSE);
		break;
	}
}

static void read_frame(struct frame *f, struct reader *r)
{
	uint64_t kind = read_uint(r, FRAME_PING);

	f->stream = (uint32_t)read_uint(r, UINT32_MAX);
	f->kind = (enum frame_kind)kind;
	if (r->failed || kind < FRAME_CALL)
		r->failed = true;
	else
		read_content(f, r);
}

/*
 * Decodes one complete frame. Returns 0, after which the caller must call
 * frame_free, or -1 with err set and nothing to free.
 */
int frame_decode(struct frame *f, const uint8_t *data, size_t len,
		 struct error *err)
{
	msgpack_unpacked u;
	struct reader r;

	memset(f, 0, sizeof(*f));
	if (len > FRAME_MAX)
		return error_set(err, ERROR_LIMIT, "frame-decode", NULL,
				 "frame of %zu bytes exceeds the limit", len);
	if (parse_value(&u, data, len) < 0)
		return error_set(
			err, ERROR_INPUT, "frame-decode", NULL,
			"%zu bytes are not exactly one valid msgpack value",
			len);
	reader_init(&r, &u.data, FRAME_FIELDS);
	read_frame(f, &r);
	msgpack_unpacked_destroy(&u);
	if (!r.failed)
		return 0;
	frame_free(f);
	return error_set(err, ERROR_INPUT, "frame-decode", NULL,
			 "malformed frame of kind %d", (int)f->kind);
}

/* Frees a decoded frame; parts moved out must have been zeroed. */
void frame_free(struct frame *f)
{
	switch (f->kind) {
	case FRAME_CALL:
		message_free(&f->call.message);
		break;
	case FRAME_ANSWER:
		message_free(&f->answer.message);
		break;
	case FRAME_PEER_MSG:
		if (f->peer_msg)
			peer_msg_free(f->peer_msg);
		free(f->peer_msg);
		f->peer_msg = NULL;
		break;
	case FRAME_BODY:
	case FRAME_CREDIT:
	case FRAME_CANCEL:
	case FRAME_PING:
		break;
	}
}
