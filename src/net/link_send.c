#include "net/link_impl.h"

#include <stdlib.h>

#define BATCH_MAX (32 * 1024) /* approximate bytes per socket write */

/* Requests a call of link_write from the loop, if connected. */
void link_request_write(struct link *l)
{
	if (l->wsi && l->state >= LINK_AUTHENTICATING)
		lws_callback_on_writable(l->wsi);
}

/* Moves a stream to the end of heads or bodies. */
void stream_enqueue(struct stream *s, struct stream **queue)
{
	stream_dequeue(s);
	DL_APPEND(*queue, s);
	s->queue = queue;
}

/* Removes a stream from the list that it is queued in, if any. */
void stream_dequeue(struct stream *s)
{
	if (!s->queue)
		return;
	DL_DELETE(*s->queue, s);
	s->queue = NULL;
}

/*
 * Queues a control frame, which is sent before heads and bodies. Returns -1 if
 * the link's queue is full or memory is short.
 */
int link_queue_frame(struct link *l, const struct frame *f)
{
	struct queued_frame *q = calloc(1, sizeof(*q));

	if (!q)
		return -1;
	if (frame_encode(f, &q->bytes) < 0 ||
	    l->queued + q->bytes.len > LINK_QUEUED_MAX) {
		buffer_free(&q->bytes);
		free(q);
		return -1;
	}
	l->queued += q->bytes.len;
	DL_APPEND(l->control, q);
	link_request_write(l);
	return 0;
}

static void drop_first(struct link *l)
{
	struct queued_frame *q = l->control;

	DL_DELETE(l->control, q);
	l->queued -= q->bytes.len;
	buffer_free(&q->bytes);
	free(q);
}

/* Drops all queued control frames. */
void link_drop_queue(struct link *l)
{
	while (l->control)
		drop_first(l);
}

static int seal_frame(struct link *l, const struct buffer *frame)
{
	counter_add(COUNTER_LINK_FRAMES, 1);
	return link_seal(l, frame, &l->links->batch);
}

static int send_control(struct link *l)
{
	int rc = seal_frame(l, &l->control->bytes);

	drop_first(l);
	return rc;
}

/*
 * Frees the sent body. An incoming stream ends here, with its answer sent; an
 * outgoing one stays until its answer is received.
 */
static void stream_sent(struct stream *s)
{
	stream_dequeue(s);
	buffer_free(&s->body);
	s->body_sent = 0;
	if (!s->outgoing)
		stream_free(s);
}

static int send_head(struct link *l)
{
	struct stream *s = l->heads;
	int rc = seal_frame(l, &s->head);

	s->head_sent = true;
	l->queued -= s->head.len;
	buffer_free(&s->head);
	if (s->body.len)
		stream_enqueue(s, &l->bodies);
	else
		stream_sent(s);
	return rc;
}

static int send_body(struct link *l)
{
	struct buffer *scratch = &l->links->scratch;
	struct stream *s = l->bodies;
	size_t len = s->body.len - s->body_sent;
	struct frame f = {.kind = FRAME_BODY, .stream = s->id};

	if (len > s->credit)
		len = s->credit;
	if (len > FRAME_PAYLOAD_MAX)
		len = FRAME_PAYLOAD_MAX;
	f.body.data = s->body.data + s->body_sent;
	f.body.len = len;
	scratch->len = 0;
	if (frame_encode(&f, scratch) < 0 || seal_frame(l, scratch) < 0)
		return -1;
	s->body_sent += len;
	s->credit -= (uint32_t)len;
	l->queued -= len;
	if (s->body_sent == s->body.len)
		stream_sent(s);
	else if (s->credit)
		stream_enqueue(s, &l->bodies);
	else
		stream_dequeue(s);
	return 0;
}

static int fill_batch(struct link *l)
{
	const struct buffer *batch = &l->links->batch;
	int rc = 0;

	while (!rc && batch->len < BATCH_MAX)
		if (l->control)
			rc = send_control(l);
		else if (l->heads)
			rc = send_head(l);
		else if (l->bodies)
			rc = send_body(l);
		else
			break;
	return rc;
}

/*
 * Writes up to one batch of queued bytes to the socket. Returns -1 if the link
 * must be ended; everything put in the batch counts as sent.
 */
int link_write(struct link *l)
{
	static const uint8_t headroom[LWS_PRE];
	struct buffer *batch = &l->links->batch;
	size_t len;

	batch->len = 0;
	if (buffer_append(batch, headroom, LWS_PRE, SIZE_MAX) < 0 ||
	    buffer_append(batch, l->handshake_out.data, l->handshake_out.len,
			  SIZE_MAX) < 0)
		return -1;
	buffer_free(&l->handshake_out);
	if (l->state == LINK_UP && fill_batch(l) < 0)
		return -1;
	len = batch->len - LWS_PRE;
	if (!len)
		return 0;
	counter_add(COUNTER_LINK_BYTES, len);
	if (lws_write(l->wsi, batch->data + LWS_PRE, len, LWS_WRITE_RAW) < 0)
		return -1;
	if (l->state == LINK_UP && (l->control || l->heads || l->bodies))
		lws_callback_on_writable(l->wsi);
	return 0;
}
