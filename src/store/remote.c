#include "store/remote.h"

#include <stdlib.h>
#include <string.h>

#include "platform/platform.h"
#include "store/etcd_impl.h"

#define CALL_CONNECTIONS 8
#define CALL_BODY_MAX (16 * 1024 * 1024)
#define STREAM_BODY_MAX (1024 * 1024 * 1024)
/* Every host normally reaches the store within a few milliseconds. */
#define CONNECT_TIMEOUT_US (700 * USEC_PER_MSEC)
#define IDLE_TIMEOUT_US (30 * USEC_PER_SEC)
/*
 * A read that got no byte for this long over a connection of before is sent
 * over another one: connections may go silent for good without a sign.
 */
#define SILENCE_US (300 * USEC_PER_MSEC)

struct call {
	struct store_done done;
	enum store_op_kind kind;
	struct history_call sent;
	uint64_t http;
};

static void on_silent(void *ctx, int64_t sent_us, int64_t now)
{
	struct remote *remote = ctx;
	struct log_line line;

	counter_add(COUNTER_STORE_SILENT, 1);
	log_start(&line, LOG_WARNING, "store-connection-silent");
	log_str(&line, "peer", remote->peer);
	log_emit(&line);
	remote_watches_renew(remote, sent_us, now);
}

/* Opens both connection pools without connecting yet. */
struct remote *remote_open(const struct store_options *o, struct history *h,
			   struct error *err)
{
	struct http_pool_options pool = {
		.addr = o->addr,
		.connections_max = CALL_CONNECTIONS,
		.body_limit = CALL_BODY_MAX,
		.idle_timeout_us = IDLE_TIMEOUT_US,
		.connect_timeout_us = CONNECT_TIMEOUT_US,
		.on_silent = on_silent,
	};
	struct remote *remote = calloc(1, sizeof(*remote));

	if (!remote) {
		error_set(err, ERROR_MEMORY, "store-open", NULL, "no memory");
		return NULL;
	}
	remote->kind = o->kind;
	remote->history = h;
	addr_format(&o->addr, remote->peer);
	table_init(&remote->open_calls, sizeof(struct call), REMOTE_CALLS_MAX);
	table_init(&remote->watches, sizeof(struct remote_watch),
		   REMOTE_WATCHES_MAX);
	pool.ctx = remote;
	remote->call_pool = http_pool_open(o->net, &pool, err);
	pool.connections_max = REMOTE_WATCHES_MAX;
	pool.body_limit = STREAM_BODY_MAX;
	if (remote->call_pool)
		remote->stream_pool = http_pool_open(o->net, &pool, err);
	if (!remote->stream_pool) {
		remote_close(remote);
		return NULL;
	}
	return remote;
}

/* Cancels calls and watches without their callbacks, and closes the pools. */
void remote_close(struct remote *remote)
{
	struct call *c;
	uint64_t handle = 0;
	void *item;

	while ((handle = table_next(&remote->open_calls, handle, &item))) {
		c = item;
		http_call_cancel(remote->call_pool, c->http);
	}
	if (remote->stream_pool) {
		remote_watches_close(remote);
		http_pool_close(remote->stream_pool);
	}
	if (remote->call_pool)
		http_pool_close(remote->call_pool);
	table_free(&remote->open_calls);
	table_free(&remote->watches);
	free(remote);
}

static int parse_body(const struct remote *remote, const struct call *c,
		      const struct message *answer, struct store_result *r)
{
	if (remote->kind == STORE_PLATFORM)
		return platform_store_response(c->kind, answer, r);
	return etcd_parse_response(c->kind, answer->status, &answer->body, r);
}

static void read_response(const struct remote *remote, const struct call *c,
			  const struct http_call_result *http,
			  struct store_result *r)
{
	switch (http->status) {
	case HTTP_COMPLETED:
		if (!parse_body(remote, c, http->response, r))
			return;
		result_fail(r, STORE_UNKNOWN, ERROR_INPUT, remote->peer,
			    "response is not in the store's format");
		return;
	case HTTP_NOT_SENT:
	case HTTP_UNREACHABLE:
		r->outcome = STORE_NOT_DONE;
		break;
	case HTTP_CONNECTION_LOST:
	case HTTP_MALFORMED:
	case HTTP_TOO_LARGE:
	case HTTP_TIMED_OUT:
		r->outcome = STORE_UNKNOWN;
		break;
	}
	r->err = http->err;
}

static void on_call_done(void *ctx, uint64_t tag, struct http_call_result *http,
			 int64_t now)
{
	struct remote *remote = ctx;
	struct call *open_call = table_get(&remote->open_calls, tag);
	struct store_result r = {0};
	struct call c;

	if (!open_call)
		return;
	c = *open_call;
	table_remove(&remote->open_calls, tag);
	read_response(remote, &c, http, &r);
	if (history_settle(remote->history, &c.sent, &r, now))
		remote_replaced(remote, now);
	if (r.outcome == STORE_UNKNOWN)
		counter_add(COUNTER_STORE_UNKNOWN, 1);
	c.done.fn(c.done.ctx, c.done.tag, &r, now);
	result_free(&r);
}

static int build_request(const struct remote *remote, const struct store_op *op,
			 struct message *m)
{
	if (remote->kind == STORE_PLATFORM)
		return platform_store_request(op, m);
	return etcd_post(m, etcd_path(op->kind), etcd_request(op));
}

static bool may_repeat(const struct store_op *op)
{
	return op->kind == STORE_GET || op->kind == STORE_LIST;
}

static uint64_t start_http(struct remote *remote, uint64_t handle,
			   const struct store_op *op, int64_t now)
{
	struct message m;
	struct http_call call = {
		.request = &m,
		.deadline_us = now + op->timeout_us,
		.silence_us = may_repeat(op) ? SILENCE_US : 0,
		.ctx = remote,
		.tag = handle,
		.done = on_call_done,
	};
	uint64_t http = 0;
	struct error err;

	if (!build_request(remote, op, &m))
		http = http_call_start(remote->call_pool, &call, now, &err);
	message_free(&m);
	return http;
}

/* Starts a call. On failure returns -1 and doesn't call done. */
int remote_submit(struct remote *remote, const struct store_op *op,
		  const struct store_done *done, int64_t now)
{
	void *item;
	uint64_t handle = table_add(&remote->open_calls, &item);
	struct call *c;

	if (!handle)
		return -1;
	c = item;
	c->done = *done;
	c->kind = op->kind;
	c->sent = history_call(remote->history, op);
	c->http = start_http(remote, handle, op, now);
	if (c->http)
		return 0;
	table_remove(&remote->open_calls, handle);
	return -1;
}
