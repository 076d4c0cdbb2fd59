#include "net/http_pool_impl.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#define CALLS_MAX (1U << 20)
#define RESPONSE_HEAD_MAX (32 * 1024) /* limit for the head of a response */
/* No timer is set for a deadline farther away than this. */
#define DEADLINE_MAX_US (INT64_C(365) * 24 * 3600 * USEC_PER_SEC)
/* An idle connection is closed this long before the peer's Keep-Alive ends. */
#define KEEP_ALIVE_MARGIN_US (1500 * USEC_PER_MSEC)

/* The peer may respond to a failed request once more: see carried_before. */
#define STATUS_FAILED 400

/* A slow peer may take this many times as long as for its last response. */
#define SILENCE_FACTOR 4
#define NEW_CONN_FACTOR 2 /* and on a new connection again as many */
/* Beyond these, a peer sends responses to nothing without end. */
#define SKIPPED_MAX 32

static void free_call(struct pool_call *call)
{
	net_alarm_cancel(&call->deadline);
	net_alarm_cancel(&call->silence);
	table_remove(&call->pool->calls, call->handle);
	buffer_free(&call->request);
	free(call);
}

/* Detaches the call from its connection or the waiting list. */
static void detach(struct pool_call *call)
{
	if (call->conn)
		call->conn->call = NULL;
	if (call->queued)
		DL_DELETE(call->pool->waiting, call);
	call->conn = NULL;
	call->queued = false;
}

/*
 * Reports the result of the call and frees it; m is moved. The handler may
 * start and cancel calls and close the pool, so the caller must not use the
 * call or the pool afterwards.
 */
static void report_result(struct pool_call *call, enum http_call_status status,
			  const char *text, struct message *m)
{
	struct http_call_result r = {.status = status};
	struct http_call options = call->options;
	struct message response = {0};

	if (status == HTTP_COMPLETED) {
		response = *m;
		memset(m, 0, sizeof(*m));
		r.response = &response;
	} else {
		error_set(&r.err,
			  status == HTTP_TIMED_OUT ? ERROR_TIMEOUT : ERROR_IO,
			  "http-call", call->pool->peer, "%s", text);
	}
	detach(call);
	free_call(call);
	options.done(options.ctx, options.tag, &r, net_now());
	message_free(&response);
}

static void free_conn(void *p)
{
	struct pool_conn *c = p;

	http_reader_free(&c->reader);
	free(c);
}

static void schedule_start(struct http_pool *p);

/* Closes a connection; its call must have been detached. */
static void close_conn(struct pool_conn *c, bool was_busy)
{
	struct http_pool *p = c->pool;

	tcp_close(&c->tcp);
	pool_body_release(c);
	net_alarm_cancel(&c->connect_timeout);
	if (was_busy)
		DL_DELETE(p->busy, c);
	else
		DL_DELETE(p->idle, c);
	p->conn_count--;
	net_free_later(p->net, c, free_conn);
	if (p->waiting)
		schedule_start(p);
}

/* Closes the call's connection and reports the failure. */
static void fail_call(struct pool_call *call, enum http_call_status status,
		      const char *text)
{
	struct pool_conn *c = call->conn;

	if (c) {
		detach(call);
		close_conn(c, true);
	}
	report_result(call, status, text, NULL);
}

static enum http_call_status status_if_aborted(const struct pool_call *call)
{
	return call->sent ? HTTP_CONNECTION_LOST : HTTP_NOT_SENT;
}

static void on_body_data(void *ctx, const void *data, size_t len)
{
	struct pool_conn *c = ctx;
	struct pool_call *call = c->call;

	if (call && call->options.on_body_data)
		call->options.on_body_data(call->options.ctx, call->options.tag,
					   data, len, net_now());
}

static void silence_passed(struct net_alarm *alarm, int64_t now);

static void watch_for_silence(struct pool_conn *c, int64_t now)
{
	struct pool_call *call = c->call;
	int64_t limit_us = SILENCE_FACTOR * c->pool->response_us;

	if (limit_us < call->options.silence_us)
		limit_us = call->options.silence_us;
	/* Its opening has just shown that the peer can be reached. */
	if (!c->reused)
		limit_us *= NEW_CONN_FACTOR;
	net_alarm_set(c->pool->net, &call->silence, now, now + limit_us,
		      silence_passed);
}

static void send_request(struct pool_conn *c)
{
	struct pool_call *call = c->call;
	int64_t now = net_now();

	call->sent = true;
	call->sent_us = now;
	if (tcp_write(&c->tcp, call->request.data, call->request.len) < 0) {
		fail_call(call, HTTP_CONNECTION_LOST,
			  "cannot write the request");
		return;
	}
	/* A slow peer gets until the deadline for the second try. */
	if (call->options.silence_us && (c->reused || !call->resent))
		watch_for_silence(c, now);
	else
		buffer_free(&call->request);
}

static void on_opened(struct tcp *t)
{
	struct pool_conn *c = t->owner;

	net_alarm_cancel(&c->connect_timeout);
	counter_add(COUNTER_UPSTREAM_CONNECTIONS, 1);
	send_request(c);
}

/* Whether this is a late response to another request. */
static bool is_stray(const struct pool_call *call, const struct message *m)
{
	const char *got;

	if (!call->options.echo_header || !call->expected_id[0])
		return false;
	got = message_header(m, call->options.echo_header);
	return got && strcmp(got, call->expected_id) != 0;
}

/*
 * Whether nothing tells the response from a late one to an earlier request of
 * the connection.
 */
static bool is_unattributed(const struct pool_conn *c, const struct message *m)
{
	const struct pool_call *call = c->call;

	return c->reused && call->expected_id[0] &&
	       !message_header(m, call->options.echo_header);
}

/* Remembers a request that failed; false if the connection can't any more. */
static bool remember_failure(struct pool_conn *c, const struct pool_call *call,
			     int status)
{
	if (status < STATUS_FAILED || !call->expected_id[0])
		return true;
	if (c->failed_count == FAILED_IDS_MAX)
		return false;
	c->failed_ids[c->failed_count++] = name_hash(call->expected_id);
	return true;
}

/*
 * Whether a request with this id failed on the connection: a copy of its
 * response would be taken for that to the second try.
 */
static bool carried_before(const struct pool_conn *c,
			   const struct pool_call *call)
{
	uint64_t id = name_hash(call->expected_id);
	uint8_t i;

	for (i = 0; call->expected_id[0] && i < c->failed_count; i++)
		if (c->failed_ids[i] == id)
			return true;
	return false;
}

static int64_t idle_until(const struct pool_conn *c, int64_t now)
{
	int64_t idle_us = c->pool->options.idle_timeout_us;
	int64_t announced_us =
		c->reader.keep_alive_s * USEC_PER_SEC - KEEP_ALIVE_MARGIN_US;

	if (c->reader.keep_alive_s && announced_us < idle_us)
		idle_us = announced_us;
	return now + idle_us;
}

/* Makes the connection idle, or closes it if it can't be reused. */
static void release_conn(struct pool_conn *c, bool keep)
{
	struct http_pool *p = c->pool;

	c->call = NULL;
	pool_body_release(c);
	c->used_us = net_now();
	c->idle_until_us = idle_until(c, c->used_us);
	if (!keep || c->idle_until_us <= net_now()) {
		close_conn(c, true);
		return;
	}
	c->reused = true;
	DL_DELETE(p->busy, c);
	DL_PREPEND(p->idle, c);
	if (p->waiting)
		schedule_start(p);
}

/* Reports a complete response; extra: more bytes followed it. */
static void finish_response(struct pool_conn *c, bool extra)
{
	struct pool_call *call = c->call;
	struct message m = c->reader.message;
	bool keep = !extra && http_reader_keep_alive(&c->reader) &&
		    tcp_all_written(&c->tcp);

	memset(&c->reader.message, 0, sizeof(c->reader.message));
	keep = remember_failure(c, call, m.status) && keep;
	c->pool->response_us = net_now() - call->sent_us;
	call->conn = NULL;
	release_conn(c, keep);
	report_result(call, HTTP_COMPLETED, NULL, &m);
	message_free(&m);
}

static enum http_call_status read_error_status(const struct http_reader *r)
{
	return r->body_too_large ? HTTP_TOO_LARGE : HTTP_MALFORMED;
}

/* Whether the response read is interim (1xx) or belongs to another call. */
static bool is_skipped_response(const struct pool_conn *c)
{
	const struct message *m = &c->reader.message;

	return m->status < 200 || is_stray(c->call, m);
}

static void end_response(struct pool_conn *c, bool extra)
{
	if (is_unattributed(c, &c->reader.message))
		fail_call(c->call, HTTP_MALFORMED,
			  "response that names no request");
	else
		finish_response(c, extra);
}

static void on_data(struct tcp *t, const uint8_t *data, size_t len)
{
	struct pool_conn *c = t->owner;
	enum http_read_result rc = HTTP_READ_MORE;
	size_t used;

	if (!c->call) {
		close_conn(c, false);
		return;
	}
	if (c->call->request.len)
		watch_for_silence(c, net_now());
	while (len && c->call) {
		rc = http_reader_feed(&c->reader, data, len, &used);
		data += used;
		len -= used;
		if (rc != HTTP_READ_COMPLETE || !is_skipped_response(c))
			break;
		if (c->call->skipped++ == SKIPPED_MAX) {
			fail_call(c->call, HTTP_MALFORMED,
				  "responses to no request");
			return;
		}
		http_reader_reset(&c->reader, c->call->no_body);
	}
	/* A body data handler may have cancelled the call. */
	if (!c->call)
		return;
	if (rc == HTTP_READ_MORE)
		pool_body_check(c);
	if (rc == HTTP_READ_ERROR)
		fail_call(c->call, read_error_status(&c->reader),
			  "malformed response");
	else if (rc == HTTP_READ_COMPLETE && !is_skipped_response(c))
		end_response(c, len > 0);
}

static void on_ended(struct tcp *t, enum tcp_end how)
{
	struct pool_conn *c = t->owner;
	struct pool_call *call = c->call;

	if (!call) {
		close_conn(c, false);
		return;
	}
	if (how == TCP_CONNECT_FAILED) {
		fail_call(call, HTTP_UNREACHABLE, "cannot connect");
		return;
	}
	if (how == TCP_PEER_CLOSED &&
	    http_reader_eof(&c->reader) == HTTP_READ_COMPLETE &&
	    !is_skipped_response(c)) {
		end_response(c, true);
		return;
	}
	fail_call(call, HTTP_CONNECTION_LOST,
		  how == TCP_PEER_CLOSED ? "the peer closed"
					 : "connection lost");
}

static void on_drained(struct tcp *t)
{
	(void)t;
}

static const struct tcp_handler handler = {.opened = on_opened,
					   .data = on_data,
					   .ended = on_ended,
					   .drained = on_drained};

/*
 * Returns the most recently used idle connection that is still open and may
 * carry the call, or NULL. Closes those that may not.
 */
static struct pool_conn *take_idle(struct http_pool *p,
				   const struct pool_call *call, int64_t now)
{
	struct pool_conn *c;

	while ((c = p->idle)) {
		if (now >= c->idle_until_us || carried_before(c, call) ||
		    tcp_has_input(&c->tcp)) {
			close_conn(c, false);
			continue;
		}
		DL_DELETE(p->idle, c);
		DL_APPEND(p->busy, c);
		return c;
	}
	return NULL;
}

/*
 * Sends the request of a silent connection over another one. Its deadline
 * stays.
 */
static void silence_passed(struct net_alarm *alarm, int64_t now)
{
	struct pool_call *call =
		(struct pool_call *)((char *)alarm -
				     offsetof(struct pool_call, silence));
	struct http_pool *p = call->pool;
	struct pool_conn *c = call->conn;

	call->resent = true;
	detach(call);
	close_conn(c, true);
	http_pool_close_idle(p, call->sent_us);
	DL_PREPEND(p->waiting, call);
	call->queued = true;
	schedule_start(p);
	if (p->options.on_silent)
		p->options.on_silent(p->options.ctx, call->sent_us, now);
}

static void connect_timed_out(struct net_alarm *alarm, int64_t now)
{
	struct pool_conn *c =
		(struct pool_conn *)((char *)alarm - offsetof(struct pool_conn,
							      connect_timeout));

	(void)now;
	if (c->call)
		fail_call(c->call, HTTP_UNREACHABLE, "connect timed out");
	else
		close_conn(c, true);
}

static struct pool_conn *open_conn(struct http_pool *p)
{
	struct http_reader_options o = {.responses = true,
					.head_limit = RESPONSE_HEAD_MAX,
					.body_limit = p->options.body_limit};
	struct pool_conn *c = calloc(1, sizeof(*c));

	if (!c)
		return NULL;
	c->pool = p;
	o.ctx = c;
	if (tcp_connect(&c->tcp, p->net, &p->options.addr, &handler, c) < 0) {
		free(c);
		return NULL;
	}
	if (p->options.pause_us)
		tcp_allow_pauses(&c->tcp, p->options.pause_us);
	http_reader_init(&c->reader, &o);
	if (p->options.connect_timeout_us)
		net_alarm_set(p->net, &c->connect_timeout, net_now(),
			      net_now() + p->options.connect_timeout_us,
			      connect_timed_out);
	p->conn_count++;
	DL_APPEND(p->busy, c);
	return c;
}

static void assign_call(struct pool_conn *c, struct pool_call *call)
{
	c->call = call;
	call->conn = c;
	c->reader.options.body_data =
		call->options.on_body_data ? on_body_data : NULL;
	http_reader_reset(&c->reader, call->no_body);
	if (c->reused)
		send_request(c);
}

static struct pool_call *first_waiting(struct http_pool *p, bool failed)
{
	struct pool_call *call;

	DL_FOREACH(p->waiting, call)
	if (call->failed == failed)
		return call;
	return NULL;
}

/* Assigns a connection to the call; returns false if none is available. */
static bool start_call(struct http_pool *p, struct pool_call *call)
{
	struct pool_conn *c = take_idle(p, call, net_now());

	if (!c && p->conn_count >= p->options.connections_max)
		return false;
	DL_DELETE(p->waiting, call);
	call->queued = false;
	if (!c)
		c = open_conn(p);
	if (c) {
		assign_call(c, call);
		return true;
	}
	call->failed = true;
	call->queued = true;
	DL_APPEND(p->waiting, call);
	schedule_start(p);
	return true;
}

/*
 * Starts waiting calls and reports one that could not be started; the report
 * may close the pool, so further ones are left to the next alarm.
 */
static void start_waiting(struct net_alarm *alarm, int64_t now)
{
	struct http_pool *p =
		(struct http_pool *)((char *)alarm -
				     offsetof(struct http_pool, start_alarm));
	struct pool_call *call;

	(void)now;
	p->start_scheduled = false;
	while ((call = first_waiting(p, false)) && start_call(p, call))
		;
	call = first_waiting(p, true);
	if (!call)
		return;
	schedule_start(p);
	report_result(call, HTTP_UNREACHABLE, "cannot connect", NULL);
}

/* Has start_waiting called from the event loop. */
static void schedule_start(struct http_pool *p)
{
	if (p->start_scheduled)
		return;
	p->start_scheduled = true;
	net_alarm_set(p->net, &p->start_alarm, net_now(), net_now(),
		      start_waiting);
}

/* Opens a pool; no connection is made before a call needs it. */
struct http_pool *http_pool_open(struct net *net,
				 const struct http_pool_options *o,
				 struct error *err)
{
	struct http_pool *p = calloc(1, sizeof(*p));

	if (!p) {
		error_set(err, ERROR_MEMORY, "http-pool", NULL,
			  "out of memory");
		return NULL;
	}
	p->net = net;
	p->options = *o;
	addr_format(&o->addr, p->peer);
	table_init(&p->calls, sizeof(struct pool_call *), CALLS_MAX);
	DL_APPEND(net->pools, p);
	return p;
}

static struct pool_call *any_call(struct http_pool *p)
{
	void *item;

	if (!table_next(&p->calls, 0, &item))
		return NULL;
	return *(struct pool_call **)item;
}

static void free_pool(struct http_pool *p)
{
	while (p->busy)
		close_conn(p->busy, true);
	while (p->idle)
		close_conn(p->idle, false);
	DL_DELETE(p->net->pools, p);
	net_alarm_cancel(&p->start_alarm);
	table_free(&p->calls);
	free(p);
}

/*
 * Reports every call in progress and closes every connection. The handlers
 * that it calls must not close the pool again.
 */
void http_pool_close(struct http_pool *p)
{
	struct pool_call *call;

	while ((call = any_call(p)))
		fail_call(call, status_if_aborted(call), "pool closed");
	free_pool(p);
}

/* Frees the remaining pools in net_close without reporting calls. */
void http_pool_free_all(struct net *net)
{
	struct pool_call *call;
	struct http_pool *p, *next;

	DL_FOREACH_SAFE(net->pools, p, next)
	{
		while ((call = any_call(p))) {
			detach(call);
			free_call(call);
		}
		free_pool(p);
	}
}

static void deadline_passed(struct net_alarm *alarm, int64_t now)
{
	struct pool_call *call =
		(struct pool_call *)((char *)alarm -
				     offsetof(struct pool_call, deadline));

	(void)now;
	if (call->sent)
		fail_call(call, HTTP_TIMED_OUT,
			  "no complete response before the deadline");
	else
		fail_call(call, HTTP_NOT_SENT,
			  "no connection available before the deadline");
}

static struct pool_call *new_call(struct http_pool *p,
				  const struct http_call *c)
{
	struct pool_call *call = calloc(1, sizeof(*call));
	const char *expected_id = NULL;
	void *item = NULL;

	if (!call)
		return NULL;
	call->pool = p;
	call->options = *c;
	call->no_body = !strcmp(c->request->method, "HEAD");
	if (c->echo_header)
		expected_id = message_header(c->request, c->echo_header);
	if (expected_id)
		copy_name(call->expected_id, sizeof(call->expected_id),
			  expected_id);
	if (http_write_request(&call->request, c->request, p->peer) == 0)
		call->handle = table_add(&p->calls, &item);
	if (!call->handle || !item) {
		buffer_free(&call->request);
		free(call);
		return NULL;
	}
	*(struct pool_call **)item = call;
	return call;
}

/*
 * Queues a call for the next available connection. Deadline and now are on
 * the monotonic clock; a deadline of INT64_MAX means none. Returns the
 * handle of the call, or 0 with err set.
 */
uint64_t http_call_start(struct http_pool *p, const struct http_call *c,
			 int64_t now, struct error *err)
{
	struct pool_call *call;

	if (!c->request->target || c->request->target[0] != '/') {
		error_set(err, ERROR_INPUT, "http-call", p->peer,
			  "request target is not an absolute path");
		return 0;
	}
	call = new_call(p, c);
	if (!call) {
		error_set(err, ERROR_MEMORY, "http-call", p->peer,
			  "out of memory or too many calls");
		return 0;
	}
	if (c->deadline_us - now < DEADLINE_MAX_US)
		net_alarm_set(p->net, &call->deadline, now, c->deadline_us,
			      deadline_passed);
	DL_APPEND(p->waiting, call);
	call->queued = true;
	/* Deferred, as done must not be called before this returns. */
	schedule_start(p);
	return call->handle;
}

/*
 * Ends a call without calling done. A connection assigned to it is closed,
 * so that the peer can detect the cancellation.
 */
void http_call_cancel(struct http_pool *p, uint64_t handle)
{
	struct pool_call **item = table_get(&p->calls, handle);
	struct pool_conn *c;
	struct pool_call *call;

	if (!item)
		return;
	call = *item;
	c = call->conn;
	detach(call);
	if (c)
		close_conn(c, true);
	free_call(call);
}

void http_pool_close_idle(struct http_pool *p, int64_t used_us)
{
	struct pool_conn *c, *next;

	DL_FOREACH_SAFE(p->idle, c, next)
	{
		if (c->used_us < used_us)
			close_conn(c, false);
	}
}

/* Returns the number of connections, including those being opened. */
uint32_t http_pool_connections(const struct http_pool *p)
{
	return p->conn_count;
}
