#include "net/link_impl.h"

#include <stdlib.h>
#include <string.h>

/* NOLINTNEXTLINE(readability-function-size): the macro of uthash is long */
static void list_stream(struct link *l, struct stream *s)
{
	HASH_ADD_INT(l->streams, id, s);
}

/*
 * Adds a stream to its link. Returns NULL if out of memory or handles.
 */
struct stream *stream_new(struct link *l, uint32_t id, bool outgoing)
{
	struct stream *s = calloc(1, sizeof(*s));
	void *item;

	if (!s)
		return NULL;
	s->handle = table_add(&l->links->handles, &item);
	if (!s->handle) {
		free(s);
		return NULL;
	}
	*(struct stream **)item = s;
	s->link = l;
	s->id = id;
	s->outgoing = outgoing;
	s->credit = LINK_CREDIT;
	list_stream(l, s);
	if (outgoing)
		l->calls++;
	return s;
}

/* Removes the stream from its link and frees it without reporting it. */
void stream_free(struct stream *s)
{
	stream_dequeue(s);
	HASH_DEL(s->link->streams, s);
	if (s->outgoing)
		s->link->calls--;
	else
		s->link->incoming_bytes -= s->message.body.len;
	table_remove(&s->link->links->handles, s->handle);
	s->link->queued -= s->head.len + (s->body.len - s->body_sent);
	buffer_free(&s->head);
	buffer_free(&s->body);
	message_free(&s->message);
	free(s);
}

/* Returns the stream of a handle, or NULL when it has ended. */
struct stream *stream_find(const struct links *l, uint64_t handle)
{
	struct stream **item = table_get(&l->handles, handle);

	return item ? *item : NULL;
}

/* Ends the stream and reports the failure to its caller or handler. */
void stream_fail(struct stream *s, const struct error *why, int64_t now)
{
	struct links_options *o = &s->link->links->options;
	struct link_result r = {0};
	struct stream old = *s;

	r.status = s->head_sent ? LINK_LOST : LINK_NOT_SENT;
	r.err = *why;
	stream_free(s);
	if (old.outgoing)
		old.done(old.ctx, old.tag, &r, now);
	else if (!old.answered && old.head_received &&
		 old.message.body.len == old.expected)
		o->on_cancelled(o->ctx, old.handle, now);
}

/*
 * Encodes and queues the head, and queues a copy of the body. Returns -1 and
 * leaves the stream unchanged if it does not fit or memory is short.
 */
int stream_queue(struct stream *s, const struct frame *head,
		 const struct buffer *body)
{
	struct link *l = s->link;

	if (frame_encode(head, &s->head) < 0)
		return -1;
	if (body->len > LINK_QUEUED_MAX ||
	    l->queued + s->head.len > LINK_QUEUED_MAX - body->len ||
	    buffer_append(&s->body, body->data, body->len, SIZE_MAX) < 0) {
		buffer_free(&s->head);
		return -1;
	}
	l->queued += s->head.len + s->body.len;
	stream_enqueue(s, &l->heads);
	link_request_write(l);
	return 0;
}
