#include "net/link_impl.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define TICK_US (50 * USEC_PER_MSEC) /* a fifth of PING_SILENCE_US */
#define PORT_TRIES 8
#define STREAM_HANDLES_MAX (1U << 20)

static void free_links(void *ctx)
{
	struct links *l = ctx;
	struct link *link;

	while ((link = l->all)) {
		while (link->streams)
			stream_free(link->streams);
		link_free(link);
	}
	table_free(&l->handles);
	buffer_free(&l->scratch);
	buffer_free(&l->batch);
	sodium_memzero(l->options.secret, SECRET_SIZE);
	free(l);
}

static int listen_tcp(struct links *l, struct error *err)
{
	struct net_vhost_options o = {
		.name = l->name,
		.protocols = link_protocols,
		.listen = &l->addr,
		.accept_role = "raw-skt",
		.accept_protocol = link_protocols[0].name,
		.user = l,
	};

	l->vhost = net_add_vhost(l->net, &o, err);
	return l->vhost ? 0 : -1;
}

/*
 * Binds UDP and TCP to the same port. If none is configured, the kernel picks
 * it for UDP; the TCP bind can then fail, so several ports are tried.
 */
static int listen_both(struct links *l, struct error *err)
{
	int tries = l->options.listen.port ? 1 : PORT_TRIES;

	l->addr = l->options.listen;
	while (tries--) {
		l->datagram_fd =
			datagram_socket(&l->options.listen, &l->addr.port, err);
		if (l->datagram_fd < 0)
			return -1;
		if (listen_tcp(l, err) == 0)
			return 0;
		close(l->datagram_fd);
	}
	return -1;
}

static int adopt_datagrams(struct links *l, struct error *err)
{
	lws_sock_file_fd_type fd = {.filefd = l->datagram_fd};

	if (lws_adopt_descriptor_vhost(l->vhost, LWS_ADOPT_RAW_FILE_DESC, fd,
				       link_protocols[1].name, NULL))
		return 0;
	return error_set(err, ERROR_IO, "links-open", NULL,
			 "cannot add the datagram socket to the loop");
}

static bool has_secret(const struct links *l)
{
	return !sodium_is_zero(l->options.secret, SECRET_SIZE);
}

/*
 * Listens on one port number for links and datagrams. Returns NULL with err
 * set on failure. The result is freed when the loop is closed.
 */
struct links *links_open(struct net *net, const struct links_options *o,
			 struct error *err)
{
	static unsigned int opened;
	struct links *l = calloc(1, sizeof(*l));

	if (!l || sodium_init() < 0 || net_on_close(net, free_links, l) < 0) {
		free(l);
		error_set(err, ERROR_MEMORY, "links-open", NULL,
			  "out of memory");
		return NULL;
	}
	l->net = net;
	l->options = *o;
	l->ticked_us = net_now();
	l->has_secret = has_secret(l);
	snprintf(l->name, sizeof(l->name), "links-%u", opened++);
	table_init(&l->handles, sizeof(struct stream *), STREAM_HANDLES_MAX);
	if (listen_both(l, err) < 0 || adopt_datagrams(l, err) < 0 ||
	    net_every(net, TICK_US, links_tick, l) < 0) {
		l->closed = true;
		return NULL;
	}
	return l;
}

/* Ends all links; open calls are reported as LINK_LOST or LINK_NOT_SENT. */
void links_close(struct links *l)
{
	struct error err;
	struct link *link;

	if (!l)
		return;
	error_set(&err, ERROR_STATE, "links-close", NULL, "closed");
	l->closed = true;
	while ((link = l->all)) {
		link_unlist(link);
		link_end(link, &err, net_now());
	}
}

void links_set_secret(struct links *l, const uint8_t secret[SECRET_SIZE])
{
	memcpy(l->options.secret, secret, SECRET_SIZE);
	l->has_secret = has_secret(l);
}

/* Stores the listening address, with the port in use. */
void links_addr(const struct links *l, struct addr *a)
{
	*a = l->addr;
}

static uint64_t start_call(struct link *link, const struct link_call *c)
{
	struct stream *s = stream_new(link, link->next_id, true);
	struct frame f = {.kind = FRAME_CALL};

	if (!s)
		return 0;
	s->ctx = c->ctx;
	s->tag = c->tag;
	s->done = c->done;
	f.stream = s->id;
	f.call.head = *c->head;
	f.call.message = *c->message;
	f.call.body_len = (uint32_t)c->message->body.len;
	if (stream_queue(s, &f, &c->message->body) < 0) {
		stream_free(s);
		return 0;
	}
	link->next_id += 2;
	return s->handle;
}

/*
 * Queues a call to a node, opening a link if needed. Returns a handle, or 0
 * with err set if the call will not be sent.
 */
uint64_t links_call(struct links *l, const struct link_call *c, int64_t now,
		    struct error *err)
{
	char peer[ADDR_TEXT_SIZE];
	struct link *link;
	uint64_t handle;

	if (l->closed || !l->has_secret) {
		error_set(err, ERROR_STATE, "links-call", NULL,
			  l->closed ? "closed"
				    : "cluster secret not known yet");
		return 0;
	}
	link = link_to(l, &c->to, err, now);
	if (!link)
		return 0;
	link->used_us = now;
	handle = start_call(link, c);
	if (!handle) {
		addr_format(&c->to, peer);
		error_set(err, ERROR_LIMIT, "links-call", peer,
			  "call too large, queue full or out of memory");
	}
	return handle;
}

/* Cancels a call; a later answer is dropped. */
void links_cancel(struct links *l, uint64_t call)
{
	struct stream *s = stream_find(l, call);
	struct frame f = {.kind = FRAME_CANCEL};

	if (!s || !s->outgoing)
		return;
	f.stream = s->id;
	if (s->head_sent)
		link_queue_frame(s->link, &f);
	stream_free(s);
}

bool links_is_unsent(const struct links *l, uint64_t call)
{
	const struct stream *s = stream_find(l, call);

	return s && s->outgoing && !s->head_sent;
}

static int answer_overloaded(struct stream *s, struct frame *f)
{
	static const struct buffer none;

	if (f->answer.head.outcome == OUTCOME_DONE)
		f->answer.head.outcome = OUTCOME_UNKNOWN;
	f->answer.head.reason = REASON_OVERLOADED;
	f->answer.message =
		(struct message){.status = reason_status(REASON_OVERLOADED)};
	f->answer.body_len = 0;
	return stream_queue(s, f, &none);
}

/*
 * Answers an incoming call, once; m may be NULL for a refusal. An answer that
 * can't be queued completely is replaced by an "overloaded" refusal that never
 * claims OUTCOME_DONE. Returns -1 if the stream is gone or was answered, or if
 * the refusal can't be queued either.
 */
int links_answer(struct links *l, uint64_t stream,
		 const struct answer_head *head, const struct message *m)
{
	static const struct message none;
	struct stream *s = stream_find(l, stream);
	struct frame f = {.kind = FRAME_ANSWER};

	if (!s || s->outgoing || s->answered)
		return -1;
	if (!m)
		m = &none;
	f.stream = s->id;
	f.answer.head = *head;
	f.answer.message = *m;
	f.answer.body_len = (uint32_t)m->body.len;
	s->answered = true;
	if (stream_queue(s, &f, &m->body) == 0 || answer_overloaded(s, &f) == 0)
		return 0;
	stream_free(s);
	return -1;
}

/*
 * Fills in the sender and queues a control message on the link to a node.
 * Returns -1 if it was not queued; it is also lost if the link ends later.
 */
int links_send(struct links *l, const struct addr *to, struct peer_msg *msg,
	       int64_t now)
{
	struct frame f = {.kind = FRAME_PEER_MSG, .peer_msg = msg};
	struct link *link;
	size_t before;

	if (l->closed || !l->has_secret)
		return -1;
	link = link_to(l, to, NULL, now);
	if (!link)
		return -1;
	msg->from = l->addr;
	msg->incarnation = l->options.incarnation;
	before = link->queued;
	if (link_queue_frame(link, &f) < 0)
		return -1;
	link->used_us = now;
	link->control_sent_us = now;
	counter_add(COUNTER_CONTROL_MESSAGES, 1);
	counter_add(COUNTER_CONTROL_BYTES, link->queued - before);
	return 0;
}

/* Returns the number of links that are up. */
uint32_t links_count(const struct links *l)
{
	return l->up;
}

uint32_t links_unsent_answers(const struct links *l)
{
	const struct stream *s;
	const struct link *link;
	uint32_t n = 0;

	DL_FOREACH(l->all, link)
	for (s = link->streams; s; s = s->hh.next)
		n += !s->outgoing && s->answered;
	return n;
}
