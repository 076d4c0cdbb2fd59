#include "node/node.h"

#include <string.h>

static void answer(struct node *n, uint64_t exchange, int status,
		   const char *type, struct buffer *body)
{
	struct message m = {.status = status, .body = *body};

	message_add_header(&m, "content-type", type);
	http_server_answer(n->admin, exchange, &m);
	message_free(&m);
}

static void answer_ready(struct node *n, uint64_t exchange)
{
	struct buffer body = {0};

	if (!n->config) {
		buffer_printf(&body, "no configuration yet\n");
		answer(n, exchange, 503, "text/plain", &body);
		return;
	}
	buffer_printf(&body, n->stopping ? "stopping\n" : "ready\n");
	answer(n, exchange, n->stopping ? 503 : 200, "text/plain", &body);
}

static void appended(void *ctx, uint64_t tag, enum append_status status,
		     uint64_t number, const char *text, int64_t now)
{
	static const int http[] = {
		[APPEND_ACCEPTED] = 200,  [APPEND_REPEATED] = 200,
		[APPEND_CONFLICT] = 409,  [APPEND_INVALID] = 422,
		[APPEND_STORE_OUT] = 503, [APPEND_UNKNOWN] = 504,
	};
	struct buffer body = {0};

	(void)now;
	buffer_printf(&body, "%llu %s\n", (unsigned long long)number,
		      text ? text : "");
	answer(ctx, tag, http[status], "text/plain", &body);
}

/* Serves one request on the admin listener. */
void admin_request(struct node *n, uint64_t exchange, struct message *msg,
		   int64_t now)
{
	struct append_done done = {.ctx = n, .tag = exchange, .fn = appended};
	struct buffer body = {0};

	if (!strcmp(msg->target, "/healthz")) {
		buffer_printf(&body, "ok\n");
		answer(n, exchange, 200, "text/plain", &body);
	} else if (!strcmp(msg->target, "/readyz")) {
		answer_ready(n, exchange);
	} else if (!strcmp(msg->target, "/metrics")) {
		counters_write(&body);
		answer(n, exchange, 200, "text/plain; version=0.0.4", &body);
	} else if (!strcmp(msg->target, "/v1/notes") &&
		   !strcmp(msg->method, "POST")) {
		notes_append(n->notes, (const char *)msg->body.data,
			     msg->body.len, "operator", NULL, &done, now);
	} else {
		buffer_printf(&body, "no such page\n");
		answer(n, exchange, 404, "text/plain", &body);
	}
}

/* Takes a query of another node, or the answer to one of ours. */
void admin_peer(struct node *n, const struct peer_msg *msg, int64_t now)
{
	(void)n;
	(void)msg;
	(void)now;
}
