#include "net/http_impl.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#define CALLS_MAX (1U << 20)
#define SOON_US 1
#define DEADLINE_FAR_US (INT64_C(365) * 24 * 3600 * USEC_PER_SEC)

static void free_call(struct http_pool_call *call)
{
	net_alarm_cancel(&call->deadline);
	table_remove(&call->pool->calls, call->handle);
	message_free(&call->request);
	message_free(&call->answer);
	free(call);
}

/* Parts the call from its connection, or from those waiting. */
static void detach(struct http_pool_call *call)
{
	if (call->conn)
		call->conn->call = NULL;
	if (call->queued)
		DL_DELETE(call->pool->waiting, call);
	call->conn = NULL;
	call->queued = false;
}

/*
 * Reports the call and frees it. The handler may start and cancel calls and
 * close the pool, so the caller touches neither afterwards.
 */
void http_pool_finish(struct http_pool_call *call, enum http_call_status status,
		      const char *text)
{
	struct http_call_result r = {.status = status};
	struct http_call options = call->options;
	struct message answer = call->answer;

	memset(&call->answer, 0, sizeof(call->answer));
	if (status == HTTP_ANSWERED)
		r.answer = &answer;
	else
		error_set(&r.err,
			  status == HTTP_TIMED_OUT ? ERROR_TIMEOUT : ERROR_IO,
			  "http-call", call->pool->peer, "%s", text);
	detach(call);
	free_call(call);
	options.done(options.ctx, options.tag, &r, net_now());
	message_free(&answer);
}

static struct http_conn *free_conn(struct http_pool *p)
{
	struct http_conn *c = p->idle;

	if (c) {
		DL_DELETE(p->idle, c);
		return c;
	}
	if (p->conn_count >= p->options.connections_max)
		return NULL;
	c = http_conn_take(p, NULL);
	if (c)
		p->conn_count++;
	return c;
}

static struct http_pool_call *first_waiting(struct http_pool *p, bool failed)
{
	struct http_pool_call *call;

	DL_FOREACH(p->waiting, call)
	if (call->failed == failed)
		return call;
	return NULL;
}

static void pump_fired(struct lws_sorted_usec_list *sul);

static void pump_soon(struct http_pool *p)
{
	lws_sul_schedule(p->net->context, 0, &p->pump, pump_fired, SOON_US);
}

static void put_first(struct http_pool_call *call)
{
	DL_PREPEND(call->pool->waiting, call);
	call->queued = true;
	pump_soon(call->pool);
}

/* Gives waiting calls to free connections; reports nothing. */
static void start_waiting(struct http_pool *p)
{
	struct http_pool_call *call;
	struct http_conn *c;
	bool warm;

	while ((call = first_waiting(p, false)) && (c = free_conn(p))) {
		DL_DELETE(p->waiting, call);
		call->queued = false;
		DL_PREPEND(p->busy, c);
		warm = c->warm;
		if (http_conn_start(c, call) == 0)
			continue;
		put_first(call);
		call->failed = !warm;
	}
}

static void pump_fired(struct lws_sorted_usec_list *sul)
{
	struct http_pool *p = lws_container_of(sul, struct http_pool, pump);
	struct http_pool_call *call;

	start_waiting(p);
	call = first_waiting(p, true);
	if (!call)
		return;
	pump_soon(p);
	http_pool_finish(call, HTTP_NOT_SENT, "cannot connect");
}

/* Puts a call of which nothing was sent back at the head of those waiting. */
void http_pool_again(struct http_pool_call *call)
{
	detach(call);
	put_first(call);
}

/* Takes back a connection whose call was answered; may start the next. */
void http_pool_idle(struct http_conn *c)
{
	DL_DELETE(c->pool->busy, c);
	DL_PREPEND(c->pool->idle, c);
	start_waiting(c->pool);
}

/* Forgets a connection that has ended without a call. */
void http_pool_ended(struct http_conn *c)
{
	struct http_pool *p = c->pool;

	if (c->closing)
		DL_DELETE(p->busy, c);
	else
		DL_DELETE(p->idle, c);
	p->conn_count--;
	if (p->waiting)
		pump_soon(p);
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
	addr_host(&o->addr, p->host);
	addr_format(&o->addr, p->peer);
	table_init(&p->calls, sizeof(struct http_pool_call *), CALLS_MAX);
	DL_APPEND(net->pools, p);
	return p;
}

static struct http_pool_call *any_call(struct http_pool *p)
{
	void *item;

	if (!table_next(&p->calls, 0, &item))
		return NULL;
	return *(struct http_pool_call **)item;
}

static void close_conns(struct http_conn *list)
{
	struct http_conn *c, *next;

	DL_FOREACH_SAFE(list, c, next)
	{
		c->pool = NULL;
		http_conn_kill(c);
	}
}

static void free_pool(struct http_pool *p)
{
	DL_DELETE(p->net->pools, p);
	lws_sul_cancel(&p->pump);
	table_free(&p->calls);
	free(p);
}

static enum http_call_status status_when_cut(const struct http_pool_call *call)
{
	return call->sent ? HTTP_BROKEN : HTTP_NOT_SENT;
}

/*
 * Reports every open call and closes every connection. Not to be called
 * again from the handlers that it calls.
 */
void http_pool_close(struct http_pool *p)
{
	struct http_pool_call *call;

	while ((call = any_call(p))) {
		if (call->conn)
			http_conn_kill(call->conn);
		http_pool_finish(call, status_when_cut(call), "pool closed");
	}
	close_conns(p->busy);
	close_conns(p->idle);
	free_pool(p);
}

/* Frees the pools left in net_close without a report. */
void http_pool_free_all(struct net *net)
{
	struct http_pool_call *call;
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
	struct http_pool_call *call =
		lws_container_of(alarm, struct http_pool_call, deadline);

	(void)now;
	if (call->conn)
		http_conn_kill(call->conn);
	if (call->sent)
		http_pool_finish(call, HTTP_TIMED_OUT, "no answer in time");
	else
		http_pool_finish(call, HTTP_NOT_SENT, "no connection in time");
}

static struct http_pool_call *new_call(struct http_pool *p,
				       const struct http_call *c)
{
	struct http_pool_call *call = calloc(1, sizeof(*call));
	void *item;

	if (!call)
		return NULL;
	call->pool = p;
	call->options = *c;
	if (message_copy(&call->request, c->request) < 0) {
		free(call);
		return NULL;
	}
	call->handle = table_add(&p->calls, &item);
	if (!call->handle) {
		message_free(&call->request);
		free(call);
		return NULL;
	}
	*(struct http_pool_call **)item = call;
	return call;
}

/*
 * Starts a call or has it wait for a connection. Deadline and now are on the
 * monotonic clock; INT64_MAX is no deadline. Returns its handle, or 0
 * with err set.
 */
uint64_t http_call_start(struct http_pool *p, const struct http_call *c,
			 int64_t now, struct error *err)
{
	struct http_pool_call *call;

	if (!c->request->target || c->request->target[0] != '/') {
		error_set(err, ERROR_INPUT, "http-call", p->peer,
			  "target is no path");
		return 0;
	}
	call = new_call(p, c);
	if (!call) {
		error_set(err, ERROR_MEMORY, "http-call", p->peer,
			  "out of memory or too many calls");
		return 0;
	}
	if (c->deadline_us - now < DEADLINE_FAR_US)
		net_alarm_set(p->net, &call->deadline, now, c->deadline_us,
			      deadline_passed);
	DL_APPEND(p->waiting, call);
	call->queued = true;
	start_waiting(p);
	return call->handle;
}

/*
 * Gives up a call without a report. Its connection is closed once any byte
 * may have gone out, so that the peer can tell.
 */
void http_call_cancel(struct http_pool *p, uint64_t handle)
{
	struct http_pool_call **item = table_get(&p->calls, handle);
	struct http_pool_call *call;

	if (!item)
		return;
	call = *item;
	if (call->conn)
		http_conn_kill(call->conn);
	detach(call);
	free_call(call);
}

/* Returns how many connections are open or being opened. */
uint32_t http_pool_connections(const struct http_pool *p)
{
	return p->conn_count;
}
