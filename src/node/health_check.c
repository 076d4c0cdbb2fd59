#include "node/health_check.h"

#include <stdlib.h>
#include <string.h>

#define TIMEOUT_US (500 * USEC_PER_MSEC)
#define ANSWER_MAX (64 * 1024) /* bytes */
#define STATUS_OK 200

struct health_check {
	struct http_pool *pool;
	const struct interface_headers *headers;
	char instance[NAME_SIZE];
	enum health_result result;
};

static void on_answer(void *ctx, uint64_t tag, struct http_call_result *r,
		      int64_t now)
{
	struct health_check *h = ctx;
	const char *instance;

	(void)tag;
	(void)now;
	h->result = HEALTH_UNKNOWN;
	if (r->status != HTTP_COMPLETED || r->response->status != STATUS_OK)
		return;
	instance = message_header(r->response, h->headers->answering);
	if (instance && !strcmp(instance, h->instance))
		h->result = HEALTH_GOOD;
}

struct health_check *health_check_start(const struct health_check_options *o,
					int64_t now)
{
	struct http_pool_options pool = {.addr = *o->addr,
					 .connections_max = 1,
					 .body_limit = ANSWER_MAX,
					 .idle_timeout_us = TIMEOUT_US,
					 .connect_timeout_us = TIMEOUT_US};
	struct message m = {.method = "GET", .target = (char *)o->path};
	struct http_call call = {.request = &m,
				 .deadline_us = now + TIMEOUT_US,
				 .done = on_answer};
	struct health_check *h = calloc(1, sizeof(*h));
	struct error err;

	if (!h)
		return NULL;
	h->headers = o->headers;
	copy_name(h->instance, sizeof(h->instance), o->instance);
	h->pool = http_pool_open(o->net, &pool, &err);
	call.ctx = h;
	if (h->pool && http_call_start(h->pool, &call, now, &err))
		return h;
	health_check_free(h);
	return NULL;
}

enum health_result health_check_result(const struct health_check *h)
{
	return h->result;
}

void health_check_free(struct health_check *h)
{
	if (!h)
		return;
	if (h->pool)
		http_pool_close(h->pool);
	free(h);
}
