#include "net/http_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <utlist.h>

#define EXCHANGES_MAX (1U << 20)
#define PIPELINE_MAX 32	      /* open requests of one connection */
#define INPUT_MAX (64 * 1024) /* unparsed bytes buffered behind them */
/* A lingering connection is closed after this time if all output is written. */
#define LINGER_US USEC_PER_SEC
#define TIMEOUT_CHECK_US (250 * USEC_PER_MSEC)
/* A rejected peer that goes on sending is cut after this time. */
#define DISCARD_MAX_US (10 * USEC_PER_SEC)
/* One that has read nothing for this long is cut first if memory is short. */
#define READ_PAUSE_US USEC_PER_SEC
/* A peer that reads nothing of its response for this long has given up. */
#define READ_STALL_US (15 * USEC_PER_SEC)

/* Limits until http_server_set_limits is called; the body timeout is fixed. */
#define DEFAULT_HEAD_BYTES (8 * 1024)
#define DEFAULT_HEAD_TIMEOUT_US (10 * USEC_PER_SEC)
#define BODY_TIMEOUT_US (30 * USEC_PER_SEC)
#define DEFAULT_IDLE_TIMEOUT_US (75 * USEC_PER_SEC)

#define STATUS_TIMEOUT 408
#define STATUS_UNAVAILABLE 503

struct server_conn;

/* One request and its response; listed per connection in request order. */
struct exchange {
	struct exchange *prev;
	struct exchange *next;
	struct server_conn *conn;
	uint64_t handle;
	bool head;	  /* is a HEAD request: no body in the response */
	bool close_after; /* close the connection after this one */
	bool has_response;
	struct buffer response;
	size_t body_held; /* see request_memory_hold */
};

struct server_conn {
	struct server_conn *prev;
	struct server_conn *next;
	struct http_server *server;
	struct tcp tcp;
	struct http_reader reader;
	char peer[ADDR_TEXT_SIZE];
	struct exchange *first; /* oldest, or NULL if none is open */
	uint32_t exchange_count;
	struct buffer input;  /* received, not parsed yet */
	bool request_pending; /* complete in the reader, not dispatched */
	bool processing;      /* process_requests is running */
	bool broken;	      /* a response could not be written */
	bool last_sent;	      /* the response that closes it was written */
	struct server_conn *resume_prev;
	struct server_conn *resume_next;
	bool resume_due;       /* listed in http_server.resumed */
	bool no_more_requests; /* further input is discarded */
	bool lingering;	       /* to be closed once all output is written */
	bool discards; /* and once the peer has sent the rest of its request */
	int64_t discards_until_us;
	size_t body_held;	 /* for the request in the reader */
	size_t unread;		 /* bytes of unread output, when last looked */
	int64_t unread_since_us; /* since when it has not changed */
	int64_t state_since_us;	 /* idle or reading a request since */
};

struct http_server {
	struct net *net;
	struct http_server_options options;
	struct http_limits limits;
	struct tcp_listener listener;
	struct table exchanges;	   /* of struct exchange * */
	struct server_conn *conns; /* least recently active first */
	uint32_t connections;
	/* Connections to go on with, from the event loop. */
	struct server_conn *resumed;
	struct net_alarm resume_alarm;
	bool resume_scheduled;
	size_t unread_most; /* unread output of all connections, at most */
	bool accept_paused;
	bool draining;
};

static void free_conn(void *p)
{
	struct server_conn *c = p;

	http_reader_free(&c->reader);
	buffer_free(&c->input);
	free(c);
}

static void remove_exchange(struct exchange *e)
{
	struct server_conn *c = e->conn;

	DL_DELETE(c->first, e);
	c->exchange_count--;
	table_remove(&c->server->exchanges, e->handle);
	request_memory_release(c->server->net, &e->body_held);
	buffer_free(&e->response);
	free(e);
}

/* Resets the idle time and moves the connection to the end of the list. */
static void mark_active(struct server_conn *c)
{
	struct http_server *s = c->server;

	c->state_since_us = net_now();
	DL_DELETE(s->conns, c);
	DL_APPEND(s->conns, c);
}

/* NOLINTBEGIN(clang-analyzer-unix.Malloc): DL_DELETE keeps the list valid */
/* Ends all exchanges of a connection; reports unanswered ones as abandoned. */
static void end_exchanges(struct server_conn *c)
{
	struct http_server *s = c->server;
	struct exchange *e;
	uint64_t handle;
	bool has_response;

	while ((e = c->first)) {
		handle = e->handle;
		has_response = e->has_response;
		remove_exchange(e);
		if (!has_response && !s->net->closing)
			s->options.on_abandoned(s->options.ctx, handle,
						net_now());
	}
}

/* NOLINTEND(clang-analyzer-unix.Malloc) */

/* Closes the connection and reports its unanswered exchanges as abandoned. */
static void close_conn(struct server_conn *c)
{
	struct http_server *s = c->server;

	tcp_close(&c->tcp);
	DL_DELETE(s->conns, c);
	if (c->resume_due)
		DL_DELETE2(s->resumed, c, resume_prev, resume_next);
	s->connections--;
	if (s->accept_paused) {
		s->accept_paused = false;
		tcp_listener_set_accepting(&s->listener, true);
	}
	end_exchanges(c);
	request_memory_release(s->net, &c->body_held);
	net_free_later(s->net, c, free_conn);
}

/* Ends a lingering connection whose output is written. */
static void end_output(struct server_conn *c)
{
	if (c->discards)
		tcp_end_output(&c->tcp);
	else
		close_conn(c);
}

/* Closes the connection once all output is written. */
static void close_after_write(struct server_conn *c)
{
	c->lingering = true;
	c->no_more_requests = true;
	c->state_since_us = net_now();
	if (tcp_all_written(&c->tcp))
		end_output(c);
}

/*
 * Sends responses that are ready, in the order of their requests, up to one
 * that closes the connection. Calls no handler.
 */
static void write_responses(struct server_conn *c)
{
	struct exchange *e;

	while (!c->broken && !c->last_sent && (e = c->first) &&
	       e->has_response) {
		c->broken = tcp_write(&c->tcp, e->response.data,
				      e->response.len) < 0;
		c->last_sent = e->close_after;
		c->no_more_requests |= e->close_after;
		remove_exchange(e);
		mark_active(c);
	}
}

/* Closes the connection if a response could not be written or was the last. */
static void end_after_responses(struct server_conn *c)
{
	if (c->broken) {
		close_conn(c);
	} else if (c->last_sent && !c->lingering) {
		end_exchanges(c);
		close_after_write(c);
	}
}

/* Appends an exchange. If out of memory, closes c and returns NULL. */
static struct exchange *add_exchange(struct server_conn *c)
{
	struct exchange *e = calloc(1, sizeof(*e));
	void *item;

	if (!e || !(e->handle = table_add(&c->server->exchanges, &item))) {
		free(e);
		c->no_more_requests = true;
		close_conn(c);
		return NULL;
	}
	*(struct exchange **)item = e;
	e->conn = c;
	DL_APPEND(c->first, e);
	c->exchange_count++;
	return e;
}

/*
 * Sends an error response without calling the handler. The rest of the request
 * is discarded: a close with unread input would reset the connection, and the
 * peer could lose the response.
 */
static void reject(struct server_conn *c, int status)
{
	const struct http_server *s = c->server;
	const char *phrase = http_status_str((enum http_status)status);
	struct message m = {.status = status};
	struct exchange *e = add_exchange(c);

	if (!e)
		return;
	c->no_more_requests = true;
	c->discards = true;
	c->discards_until_us = net_now() + DISCARD_MAX_US;
	message_free(&c->reader.message);
	request_memory_release(s->net, &c->body_held);
	e->close_after = true;
	e->has_response = true;
	message_add_header(&m, "content-type", "application/problem+json");
	if (status == STATUS_UNAVAILABLE)
		message_add_header(&m, "retry-after", "1");
	if (s->options.outcome_header)
		message_add_header(&m, s->options.outcome_header, "not-run");
	buffer_printf(&m.body,
		      "{\"status\":%d,\"title\":\"%s\","
		      "\"outcome\":\"not-run\"}\n",
		      status, phrase);
	http_write_response(&e->response, &m, false, true);
	message_free(&m);
	write_responses(c);
	end_after_responses(c);
}

/* Passes the complete request in the reader to the request handler. */
static void dispatch(struct server_conn *c)
{
	struct http_server *s = c->server;
	struct exchange *e = add_exchange(c);
	struct message m = c->reader.message;

	if (!e)
		return;
	e->head = !strcmp(m.method, "HEAD");
	e->close_after = !http_reader_keep_alive(&c->reader);
	c->no_more_requests |= e->close_after;
	memset(&c->reader.message, 0, sizeof(c->reader.message));
	http_reader_reset(&c->reader, false);
	e->body_held = c->body_held;
	c->body_held = 0;
	s->options.on_request(s->options.ctx, e->handle, &m, c->peer,
			      net_now());
	message_free(&m);
}

/*
 * A pipelined request may run concurrently with earlier ones only if it is
 * safe to repeat: if an earlier response closes the connection, the caller
 * sends it again.
 */
static bool must_wait(const struct server_conn *c)
{
	const char *method = c->reader.message.method;

	if (c->exchange_count >= PIPELINE_MAX)
		return true;
	return c->first && strcmp(method, "GET") != 0 &&
	       strcmp(method, "HEAD") != 0;
}

/*
 * Reserves memory for the body of the request being read: its announced length,
 * or what has arrived of one without. Returns -1 if there is not enough.
 */
static int hold_body(struct server_conn *c)
{
	struct buffer *body = &c->reader.message.body;
	int64_t left = http_reader_body_left(&c->reader);
	size_t size = body->len;

	if (!c->reader.in_body)
		return 0;
	if (left > 0)
		size += (size_t)left;
	if (request_memory_hold(c->server->net, &c->body_held, size,
				c->server->unread_most) < 0)
		return -1;
	return left > 0 ? buffer_reserve(body, size) : 0;
}

static void refuse_body(struct server_conn *c)
{
	struct log_line line;

	counter_add(COUNTER_REFUSED, 1);
	log_start(&line, LOG_WARNING, "body-refused");
	log_str(&line, "peer", c->peer);
	log_int(&line, "held", (int64_t)c->server->net->requests_held);
	log_str(&line, "why", "memory");
	log_emit(&line);
	reject(c, STATUS_UNAVAILABLE);
}

/* Parses buffered input; returns true once a request is complete. */
static bool parse_input(struct server_conn *c)
{
	size_t used = 0;
	enum http_read_result rc;

	if (!c->input.len)
		return false;
	rc = http_reader_feed(&c->reader, c->input.data, c->input.len, &used);
	if (used < c->input.len)
		memmove(c->input.data, c->input.data + used,
			c->input.len - used);
	c->input.len -= used;
	if (rc == HTTP_READ_ERROR) {
		reject(c, c->reader.error_status);
		return false;
	}
	if (hold_body(c) < 0) {
		refuse_body(c);
		return false;
	}
	if (rc == HTTP_READ_COMPLETE)
		c->request_pending = true;
	return rc == HTTP_READ_COMPLETE;
}

/* Dispatches requests in order until one has to wait. */
static void process_requests(struct server_conn *c)
{
	if (c->processing)
		return;
	c->processing = true;
	while (tcp_is_open(&c->tcp) && !c->no_more_requests && !c->broken) {
		if (!c->request_pending && !parse_input(c))
			break;
		if (must_wait(c))
			break;
		c->request_pending = false;
		mark_active(c);
		dispatch(c);
	}
	c->processing = false;
	if (tcp_is_open(&c->tcp))
		tcp_set_reading(&c->tcp, c->no_more_requests ||
						 c->input.len < INPUT_MAX);
}

static void limit_unread(struct server_conn *c);

/*
 * Goes on with connections after responses: closes those that are done, and
 * dispatches requests that waited.
 */
static void resume_conns(struct net_alarm *alarm, int64_t now)
{
	struct http_server *s =
		(struct http_server *)((char *)alarm -
				       offsetof(struct http_server,
						resume_alarm));
	struct server_conn *c;

	(void)now;
	s->resume_scheduled = false;
	while ((c = s->resumed)) {
		DL_DELETE2(s->resumed, c, resume_prev, resume_next);
		c->resume_due = false;
		limit_unread(c);
		if (!tcp_is_open(&c->tcp))
			continue;
		end_after_responses(c);
		if (tcp_is_open(&c->tcp))
			process_requests(c);
	}
}

/* Has resume_conns called from the event loop for this connection too. */
static void schedule_resume(struct server_conn *c)
{
	struct http_server *s = c->server;

	if (!c->resume_due)
		DL_APPEND2(s->resumed, c, resume_prev, resume_next);
	c->resume_due = true;
	if (s->resume_scheduled)
		return;
	s->resume_scheduled = true;
	net_alarm_set(s->net, &s->resume_alarm, net_now(), net_now(),
		      resume_conns);
}

static void on_data(struct tcp *t, const uint8_t *data, size_t len)
{
	struct server_conn *c = t->owner;

	/* Discarded: unread data on close would reset the connection. */
	if (c->no_more_requests) {
		if (c->discards)
			c->state_since_us = net_now();
		return;
	}
	if (!c->first && http_reader_idle(&c->reader) && !c->input.len)
		mark_active(c);
	if (buffer_append(&c->input, data, len, SIZE_MAX) < 0) {
		close_conn(c);
		return;
	}
	process_requests(c);
}

static void on_ended(struct tcp *t, enum tcp_end how)
{
	(void)how;
	close_conn(t->owner);
}

static void on_drained(struct tcp *t)
{
	struct server_conn *c = t->owner;

	if (c->lingering)
		end_output(c);
}

static const struct tcp_handler handler = {
	.data = on_data, .ended = on_ended, .drained = on_drained};

static bool is_idle(const struct server_conn *c)
{
	return !c->first && !c->lingering && !c->input.len &&
	       http_reader_idle(&c->reader) && tcp_all_written(&c->tcp) &&
	       !tcp_has_input(&c->tcp);
}

/* Whether only the rest of a rejected request is to come. */
static bool only_discards(const struct server_conn *c)
{
	return c->discards && c->lingering && tcp_all_written(&c->tcp);
}

/* Closes the connection idle for longest; returns false if none is idle. */
static bool close_longest_idle(struct http_server *s)
{
	struct server_conn *c;

	DL_FOREACH(s->conns, c)
	{
		if (!is_idle(c) && !only_discards(c))
			continue;
		close_conn(c);
		return true;
	}
	return false;
}

static void accepted(struct tcp_listener *l, int fd, const char *peer)
{
	struct http_server *s = l->owner;
	struct server_conn *c = calloc(1, sizeof(*c));
	struct http_reader_options o = {.head_limit = s->limits.head_bytes,
					.body_limit = s->limits.body_bytes};

	if (!c) {
		close(fd);
		return;
	}
	c->server = s;
	copy_name(c->peer, sizeof(c->peer), peer);
	http_reader_init(&c->reader, &o);
	c->state_since_us = net_now();
	DL_APPEND(s->conns, c);
	s->connections++;
	tcp_adopt(&c->tcp, s->net, fd, &handler, c);
	tcp_allow_pauses(&c->tcp, READ_STALL_US + TIMEOUT_CHECK_US);
	/* Leave further ones in the backlog rather than reset them. */
	if (s->connections >= s->options.connections_max &&
	    !close_longest_idle(s)) {
		s->accept_paused = true;
		tcp_listener_set_accepting(l, false);
	}
}

static bool has_timed_out(const struct http_server *s,
			  const struct server_conn *c, int64_t now)
{
	int64_t age = now - c->state_since_us;

	if (c->lingering)
		return (age >= LINGER_US && tcp_all_written(&c->tcp)) ||
		       (c->discards && now >= c->discards_until_us);
	if (c->first || c->request_pending)
		return false;
	if (!http_reader_idle(&c->reader))
		return age >= (c->reader.in_body ? BODY_TIMEOUT_US
						 : s->limits.head_timeout_us);
	return age >= s->limits.idle_timeout_us;
}

static void log_slow_reader(const struct server_conn *c, const char *why,
			    size_t unread_total)
{
	struct log_line line;

	counter_add(COUNTER_SLOW_READERS, 1);
	log_start(&line, LOG_WARNING, "slow-reader-cut");
	log_str(&line, "peer", c->peer);
	log_int(&line, "unread", (int64_t)tcp_queued_memory(&c->tcp));
	log_int(&line, "unread_total", (int64_t)unread_total);
	log_str(&line, "why", why);
	log_emit(&line);
}

static size_t unread_total(const struct http_server *s)
{
	const struct server_conn *c;
	size_t total = 0;

	DL_FOREACH(s->conns, c)
	total += tcp_queued_memory(&c->tcp);
	return total;
}

/* Closes those that have read nothing since until unread responses fit. */
static void cut_readers_since(struct http_server *s, int64_t since_us)
{
	struct server_conn *c, *next;

	DL_FOREACH_SAFE(s->conns, c, next)
	{
		if (s->unread_most <= s->options.unread_max)
			return;
		if (!tcp_queued_memory(&c->tcp) ||
		    c->unread_since_us > since_us)
			continue;
		log_slow_reader(c, "memory", s->unread_most);
		s->unread_most -= tcp_queued_memory(&c->tcp);
		close_conn(c);
	}
}

/*
 * Closes connections until unread responses fit into memory again: first those
 * whose peers pause, then those whose response was written first, as whoever
 * reads has it by then.
 */
static void cut_slow_readers(struct http_server *s)
{
	s->unread_most = unread_total(s);
	cut_readers_since(s, net_now() - READ_PAUSE_US);
	cut_readers_since(s, INT64_MAX);
}

/* Counts the output that c holds; the exact total is only added up if needed.
 */
static void limit_unread(struct server_conn *c)
{
	struct http_server *s = c->server;

	s->unread_most += tcp_queued_memory(&c->tcp);
	if (s->options.unread_max && s->unread_most > s->options.unread_max)
		cut_slow_readers(s);
}

/* Whether the peer has read nothing of its output for too long. */
static bool has_stopped_reading(struct server_conn *c, int64_t now)
{
	size_t unread = tcp_unsent(&c->tcp);

	if (unread && unread == c->unread)
		return now - c->unread_since_us >= READ_STALL_US;
	c->unread = unread;
	c->unread_since_us = now;
	return false;
}

static void end_timed_out(struct server_conn *c)
{
	bool reading = !http_reader_idle(&c->reader) && !c->lingering;

	if (reading)
		reject(c, STATUS_TIMEOUT);
	else
		close_conn(c);
}

/*
 * Closes timed-out idle connections and rejects requests sent too slowly.
 * Resumes accepting if it was paused and an idle connection could be closed.
 */
static void close_timed_out(void *ctx, int64_t now)
{
	struct http_server *s = ctx;
	struct server_conn *c, *next;

	s->unread_most = unread_total(s);
	DL_FOREACH_SAFE(s->conns, c, next)
	{
		if (has_stopped_reading(c, now)) {
			log_slow_reader(c, "stopped", unread_total(s));
			close_conn(c);
		} else if (has_timed_out(s, c, now)) {
			end_timed_out(c);
		}
	}
	if (s->accept_paused && close_longest_idle(s))
		tcp_listener_set_accepting(&s->listener, true);
}

static void set_limits(struct http_server *s, const struct http_limits *l)
{
	s->limits = *l;
	if (!l->head_bytes)
		s->limits.head_bytes = DEFAULT_HEAD_BYTES;
	if (!l->body_bytes)
		s->limits.body_bytes = s->options.body_limit;
	if (!l->head_timeout_us)
		s->limits.head_timeout_us = DEFAULT_HEAD_TIMEOUT_US;
	if (!l->idle_timeout_us)
		s->limits.idle_timeout_us = DEFAULT_IDLE_TIMEOUT_US;
}

static void server_release(void *ctx)
{
	struct http_server *s = ctx;

	while (s->conns)
		close_conn(s->conns);
	net_alarm_cancel(&s->resume_alarm);
	tcp_listener_close(&s->listener);
	table_free(&s->exchanges);
	free(s);
}

/* Starts listening; freed by net_close. Returns NULL with err set. */
struct http_server *http_server_open(struct net *net,
				     const struct http_server_options *o,
				     struct error *err)
{
	struct http_server *s = calloc(1, sizeof(*s));

	if (!s || net_on_close(net, server_release, s) < 0) {
		free(s);
		error_set(err, ERROR_MEMORY, "http-server", NULL,
			  "out of memory");
		return NULL;
	}
	s->net = net;
	s->options = *o;
	set_limits(s, &(struct http_limits){0});
	s->listener.fd = -1;
	s->listener.owner = s;
	s->listener.accepted = accepted;
	table_init(&s->exchanges, sizeof(struct exchange *), EXCHANGES_MAX);
	if (net_every(net, TIMEOUT_CHECK_US, close_timed_out, s) < 0) {
		error_set(err, ERROR_MEMORY, "http-server", NULL,
			  "out of memory");
		return NULL;
	}
	return tcp_listen(&s->listener, net, &o->listen, err) < 0 ? NULL : s;
}

/* Sets the limits for new and open connections; 0: the default. */
void http_server_set_limits(struct http_server *s, const struct http_limits *l)
{
	struct server_conn *c;

	set_limits(s, l);
	DL_FOREACH(s->conns, c)
	{
		c->reader.options.head_limit = s->limits.head_bytes;
		c->reader.options.body_limit = s->limits.body_bytes;
	}
}

/* Sets *a to the listening address with the port that was bound. */
void http_server_addr(const struct http_server *s, struct addr *a)
{
	tcp_listener_addr(&s->listener, a);
}

/*
 * Sends a complete response; m is copied. Returns -1 if the exchange has
 * ended, or if the response can't be written; the latter closes the
 * connection. What that leads to, such as the next request of the connection,
 * is left to the event loop: no handler is called before this returns.
 */
int http_server_respond(struct http_server *s, uint64_t exchange,
			const struct message *m)
{
	struct exchange **item = table_get(&s->exchanges, exchange);
	struct server_conn *c;
	struct exchange *e;

	if (!item || (*item)->has_response)
		return -1;
	e = *item;
	c = e->conn;
	e->has_response = true;
	e->close_after |= s->draining;
	if (http_write_response(&e->response, m, e->head, e->close_after) < 0)
		c->broken = true;
	else
		write_responses(c);
	if (c->broken || c->last_sent || tcp_queued_memory(&c->tcp) ||
	    (!c->processing && (c->request_pending || c->input.len)))
		schedule_resume(c);
	return c->broken ? -1 : 0;
}

/* Closes each connection, also new ones, after its next response. */
void http_server_drain(struct http_server *s)
{
	s->draining = true;
}

uint32_t http_server_connections(const struct http_server *s)
{
	return s->connections;
}

uint32_t http_server_unsent(const struct http_server *s)
{
	const struct server_conn *c;
	uint32_t n = 0;

	DL_FOREACH(s->conns, c)
	n += !tcp_all_written(&c->tcp);
	return n;
}
