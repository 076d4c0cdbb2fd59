#include "net/link_impl.h"

#include <string.h>

static int protocol_error(struct error *err, const char *what)
{
	return error_set(err, ERROR_INPUT, "link-receive", NULL, "%s", what);
}

/* NOLINTNEXTLINE(readability-function-size): the macro of uthash is long */
static struct stream *find_stream(struct link *l, uint32_t id)
{
	struct stream *s;

	HASH_FIND_INT(l->streams, &id, s);
	return s;
}

static bool opened_by_peer(const struct link *l, uint32_t id)
{
	return id && (id % 2 == 1) != l->opener;
}

/* Answers a call that reached no gate, with the retries that it was lent. */
static void refuse(struct link *l, const struct frame *call, enum reason reason)
{
	struct frame f = {.kind = FRAME_ANSWER, .stream = call->stream};

	f.answer.head.outcome = OUTCOME_NOT_RUN;
	f.answer.head.reason = reason;
	f.answer.head.allowance_left = call->call.head.allowance;
	f.answer.head.admission =
		(struct admission){{ADMIT_ALL, ADMIT_ALL, ADMIT_ALL}};
	f.answer.message.status = reason_status(reason);
	link_queue_frame(l, &f);
}

static void deliver_call(struct stream *s, int64_t now)
{
	struct links_options *o = &s->link->links->options;
	struct message m = s->message;
	struct call_head head = s->call_head;
	struct addr peer = s->link->peer;

	s->link->incoming_bytes -= m.body.len;
	/* The handler may answer, which can free s before it returns. */
	memset(&s->message, 0, sizeof(s->message));
	s->expected = 0;
	o->on_call(o->ctx, s->handle, &peer, &head, &m, now);
	message_free(&m);
}

static int on_call(struct link *l, struct frame *f, struct error *err,
		   int64_t now)
{
	struct stream *s;

	if (!opened_by_peer(l, f->stream) || f->stream <= l->last_peer_id)
		return protocol_error(
			err, "call with an invalid or reused stream id");
	l->last_peer_id = f->stream;
	if (f->call.body_len > l->links->options.body_limit) {
		refuse(l, f, REASON_BODY_TOO_LARGE);
		return 0;
	}
	if (HASH_COUNT(l->streams) - l->calls >= LINK_STREAMS_MAX ||
	    l->incoming_bytes >= LINK_INCOMING_BYTES_MAX ||
	    !(s = stream_new(l, f->stream, false))) {
		refuse(l, f, REASON_OVERLOADED);
		return 0;
	}
	s->head_received = true;
	s->call_head = f->call.head;
	s->message = f->call.message;
	memset(&f->call.message, 0, sizeof(f->call.message));
	s->expected = f->call.body_len;
	if (!s->expected)
		deliver_call(s, now);
	return 0;
}

static void deliver_answer(struct stream *s, int64_t now)
{
	struct link_result r = {.status = LINK_ANSWERED};
	struct answer_head head = s->answer_head;
	struct message m = s->message;
	struct stream old = *s;

	memset(&s->message, 0, sizeof(s->message));
	stream_free(s);
	r.head = &head;
	r.answer = &m;
	old.done(old.ctx, old.tag, &r, now);
	message_free(&m);
}

static void send_cancel(struct link *l, uint32_t id)
{
	struct frame f = {.kind = FRAME_CANCEL, .stream = id};

	link_queue_frame(l, &f);
}

/* Cancels and fails a call whose answer exceeds the body limit. */
static void refuse_answer(struct stream *s, uint32_t len, int64_t now)
{
	struct error err;

	send_cancel(s->link, s->id);
	error_set(&err, ERROR_LIMIT, "link-receive", NULL, "answer of %u bytes",
		  len);
	stream_fail(s, &err, now);
}

static int on_answer(struct link *l, struct frame *f, struct error *err,
		     int64_t now)
{
	struct stream *s = find_stream(l, f->stream);

	if (opened_by_peer(l, f->stream))
		return protocol_error(
			err, "answer on a stream that the peer opened");
	if (!s) /* call already cancelled */
		return 0;
	if (s->head_received || !s->head_sent)
		return protocol_error(
			err, "repeated answer, or answer before the call");
	if (f->answer.body_len > l->links->options.body_limit) {
		refuse_answer(s, f->answer.body_len, now);
		return 0;
	}
	s->head_received = true;
	s->answer_head = f->answer.head;
	s->message = f->answer.message;
	memset(&f->answer.message, 0, sizeof(f->answer.message));
	s->expected = f->answer.body_len;
	if (!s->expected)
		deliver_answer(s, now);
	return 0;
}

/* Counts received body bytes and returns credit for them in larger steps. */
static void give_credit(struct stream *s, size_t len)
{
	struct frame f = {.kind = FRAME_CREDIT, .stream = s->id};

	s->unacknowledged += (uint32_t)len;
	if (s->unacknowledged < LINK_CREDIT / 2)
		return;
	f.credit = s->unacknowledged;
	if (link_queue_frame(s->link, &f) == 0)
		s->unacknowledged = 0;
}

static int on_body(struct link *l, const struct frame *f, struct error *err,
		   int64_t now)
{
	struct stream *s = find_stream(l, f->stream);
	struct buffer *body;

	if (!s)
		return 0;
	body = &s->message.body;
	if (!s->head_received || !f->body.len ||
	    f->body.len > s->expected - body->len)
		return protocol_error(
			err, "body before its head, empty, or too long");
	if (buffer_append(body, f->body.data, f->body.len, s->expected) < 0)
		return error_set(err, ERROR_MEMORY, "link-receive", NULL,
				 "out of memory");
	if (!s->outgoing)
		l->incoming_bytes += f->body.len;
	if (body->len < s->expected)
		give_credit(s, f->body.len);
	else if (s->outgoing)
		deliver_answer(s, now);
	else
		deliver_call(s, now);
	return 0;
}

static int on_credit(struct link *l, const struct frame *f, struct error *err)
{
	struct stream *s = find_stream(l, f->stream);

	if (!s)
		return 0;
	if (f->credit > LINK_CREDIT || s->credit > LINK_CREDIT - f->credit)
		return protocol_error(err, "credit exceeds the bytes sent");
	s->credit += f->credit;
	if (s->head_sent && s->body_sent < s->body.len && !s->queue) {
		stream_enqueue(s, &l->bodies);
		link_request_write(l);
	}
	return 0;
}

static int on_cancel(struct link *l, const struct frame *f, struct error *err,
		     int64_t now)
{
	struct stream *s = find_stream(l, f->stream);
	struct error why;

	if (!opened_by_peer(l, f->stream))
		return protocol_error(
			err, "cancel on a stream that this node opened");
	if (!s)
		return 0;
	error_set(&why, ERROR_STATE, "link-receive", NULL, "cancelled");
	stream_fail(s, &why, now);
	return 0;
}

static void on_ping(struct link *l, const struct frame *f)
{
	struct frame reply = {.kind = FRAME_PING, .ping = PING_REPLY};

	if (f->ping == PING_REQUEST)
		link_queue_frame(l, &reply);
	if (f->ping != PING_CLOSE)
		return;
	l->closing = true;
	link_unlist(l);
}

static void on_peer(struct link *l, struct frame *f, int64_t now)
{
	struct links_options *o = &l->links->options;

	f->peer_msg->from = l->peer;
	if (o->on_peer_msg)
		o->on_peer_msg(o->ctx, f->peer_msg, now);
}

static int on_frame(struct link *l, struct frame *f, struct error *err,
		    int64_t now)
{
	if (f->kind != FRAME_PING)
		l->used_us = now;
	switch (f->kind) {
	case FRAME_CALL:
		return on_call(l, f, err, now);
	case FRAME_ANSWER:
		return on_answer(l, f, err, now);
	case FRAME_BODY:
		return on_body(l, f, err, now);
	case FRAME_CREDIT:
		return on_credit(l, f, err);
	case FRAME_CANCEL:
		return on_cancel(l, f, err, now);
	case FRAME_PEER_MSG:
		on_peer(l, f, now);
		return 0;
	case FRAME_PING:
		on_ping(l, f);
		return 0;
	}
	return 0;
}

static int next_frame(struct link *l, struct error *err, int64_t now)
{
	struct buffer *bytes = &l->links->scratch;
	struct frame f;
	int rc = link_open_next(l, bytes, err);

	if (rc <= 0)
		return rc;
	if (frame_decode(&f, bytes->data, bytes->len, err) < 0)
		return -1;
	rc = on_frame(l, &f, err, now);
	frame_free(&f);
	return rc < 0 ? -1 : 1;
}

/*
 * Processes bytes received from the socket. Returns -1 with err set if the
 * link must be ended.
 */
int link_receive(struct link *l, const void *data, size_t len,
		 struct error *err)
{
	int64_t now = net_now();
	int rc = 1;

	l->received_us = now;
	if (buffer_append(&l->in, data, len,
			  FRAME_MAX + LINK_LENGTH_SIZE + len) < 0)
		return error_set(err, ERROR_MEMORY, "link-receive", NULL,
				 "out of memory");
	if (l->state == LINK_AUTHENTICATING && handshake_receive(l, err) < 0)
		return -1;
	while (rc > 0 && l->state == LINK_UP)
		rc = next_frame(l, err, now);
	return rc < 0 ? -1 : 0;
}
