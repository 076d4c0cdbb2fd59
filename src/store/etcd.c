#include "store/etcd_impl.h"

#include <stdlib.h>
#include <string.h>

#define CALL_CONNECTIONS 8
#define CALL_BODY_MAX (16 * 1024 * 1024)
#define STREAM_BODY_MAX (1024 * 1024 * 1024)
#define KEEP_WARM_US (30 * USEC_PER_SEC)

struct call {
	struct store_done done;
	enum store_op_kind kind;
	uint64_t http;
};

/* Opens both connection pools; no connection is made yet. */
struct etcd *etcd_open(struct net *net, const struct addr *addr,
		       struct error *err)
{
	struct http_pool_options o = {
		.addr = *addr,
		.connections_max = CALL_CONNECTIONS,
		.body_limit = CALL_BODY_MAX,
		.keep_warm_us = KEEP_WARM_US,
	};
	struct etcd *e = calloc(1, sizeof(*e));

	if (!e) {
		error_set(err, ERROR_MEMORY, "store-open", NULL, "no memory");
		return NULL;
	}
	addr_format(addr, e->peer);
	table_init(&e->open_calls, sizeof(struct call), ETCD_CALLS_MAX);
	etcd_watches_open(e);
	e->calls = http_pool_open(net, &o, err);
	o.connections_max = ETCD_WATCHES_MAX;
	o.body_limit = STREAM_BODY_MAX;
	if (e->calls)
		e->streams = http_pool_open(net, &o, err);
	if (!e->streams) {
		etcd_close(e);
		return NULL;
	}
	return e;
}

/* Cancels what is open, without a report, and closes the pools. */
void etcd_close(struct etcd *e)
{
	struct call *c;
	uint64_t handle = 0;
	void *item;

	while ((handle = table_next(&e->open_calls, handle, &item))) {
		c = item;
		http_call_cancel(e->calls, c->http);
	}
	if (e->streams) {
		etcd_watches_close(e);
		http_pool_close(e->streams);
	}
	if (e->calls)
		http_pool_close(e->calls);
	table_free(&e->open_calls);
	table_free(&e->watches);
	free(e);
}

/* Fills a POST of JSON and takes over body; m is the caller's to free. */
int etcd_post(struct message *m, const char *path, struct json_object *body)
{
	const char *text;
	size_t len = 0;
	int rc = -1;

	memset(m, 0, sizeof(*m));
	copy_name(m->method, sizeof(m->method), "POST");
	m->target = strdup(path);
	text = json_object_to_json_string_length(
		body, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE,
		&len);
	if (m->target && text &&
	    !message_add_header(m, "content-type", "application/json"))
		rc = buffer_append(&m->body, text, len, CALL_BODY_MAX);
	json_object_put(body);
	return rc;
}

static void read_answer(const struct call *c,
			const struct http_call_result *http, const char *peer,
			struct store_result *r)
{
	switch (http->status) {
	case HTTP_ANSWERED:
		if (!etcd_answer(c->kind, http->answer->status,
				 &http->answer->body, r))
			return;
		result_fail(r, STORE_UNKNOWN, ERROR_INPUT, peer,
			    "answer is not the gateway's");
		return;
	case HTTP_NOT_SENT:
		r->outcome = STORE_NOT_DONE;
		break;
	case HTTP_BROKEN:
	case HTTP_GARBAGE:
	case HTTP_TOO_LARGE:
	case HTTP_TIMED_OUT:
		r->outcome = STORE_UNKNOWN;
		break;
	}
	r->err = http->err;
}

static void call_done(void *ctx, uint64_t tag, struct http_call_result *http,
		      int64_t now)
{
	struct etcd *e = ctx;
	struct call *open_call = table_get(&e->open_calls, tag);
	struct store_result r = {0};
	struct call c;

	if (!open_call)
		return;
	c = *open_call;
	table_remove(&e->open_calls, tag);
	read_answer(&c, http, e->peer, &r);
	if (r.outcome == STORE_UNKNOWN)
		counter_add(COUNTER_STORE_UNKNOWN, 1);
	c.done.fn(c.done.ctx, c.done.tag, &r, now);
	result_free(&r);
}

static uint64_t start_http(struct etcd *e, uint64_t handle,
			   const struct store_op *op, int64_t now)
{
	struct message m;
	struct http_call call = {
		.request = &m,
		.deadline_us = now + op->timeout_us,
		.ctx = e,
		.tag = handle,
		.done = call_done,
	};
	uint64_t http = 0;
	struct error err;

	if (!etcd_post(&m, etcd_path(op->kind), etcd_request(op)))
		http = http_call_start(e->calls, &call, now, &err);
	message_free(&m);
	return http;
}

/* Starts a call; -1 when it could not be, and done is then not called. */
int etcd_submit(struct etcd *e, const struct store_op *op,
		const struct store_done *done, int64_t now)
{
	void *item;
	uint64_t handle = table_add(&e->open_calls, &item);
	struct call *c;

	if (!handle)
		return -1;
	c = item;
	c->done = *done;
	c->kind = op->kind;
	c->http = start_http(e, handle, op, now);
	if (c->http)
		return 0;
	table_remove(&e->open_calls, handle);
	return -1;
}

/* Renews watches; calls end by their deadlines in the pool. */
void etcd_tick(struct etcd *e, int64_t now)
{
	etcd_watches_tick(e, now);
}

/* Returns how many watches are open. */
uint32_t etcd_watches(const struct etcd *e)
{
	return e->watches.count;
}
