#include "net/http_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <utlist.h>

/* Calls have deadlines of their own; the library's must not come first. */
#define LIBRARY_TIMEOUT_SECS (30 * 24 * 3600)
#define KEEP_WARM_SECS_MAX 3600

/* The wsi is gone: the virtual host may be used again. */
static void conn_ended(struct http_conn *c)
{
	if (c->pool)
		http_pool_ended(c);
	c->pool = NULL;
	c->wsi = NULL;
	c->serial++;
	c->warm = false;
	c->closing = false;
	DL_PREPEND(c->net->spare_conns, c);
}

/* Closes the connection in the loop's next turn; the call is the caller's. */
void http_conn_kill(struct http_conn *c)
{
	if (c->closing)
		return;
	c->closing = true;
	lws_set_timeout(c->wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
}

/* Ends the call by a fault of the answer and closes the connection. */
static int reject(struct http_conn *c, enum http_call_status status,
		  const char *text)
{
	struct http_pool_call *call = c->call;

	c->closing = true;
	http_pool_finish(call, status, text);
	return -1;
}

/*
 * The wsi failed or was closed. Nothing more comes for its call, but the
 * virtual host is in use until the wsi is destroyed.
 */
static void conn_broken(struct http_conn *c, const char *text)
{
	struct http_pool_call *call = c->call;

	if (!call) {
		if (!c->closing && c->pool) {
			DL_DELETE(c->pool->idle, c);
			DL_PREPEND(c->pool->busy, c);
		}
		c->closing = true;
		return;
	}
	c->closing = true;
	if (c->starting)
		return;
	if (!call->sent && c->warm)
		http_pool_again(call);
	else if (!call->sent)
		http_pool_finish(call, HTTP_NOT_SENT, text);
	else
		http_pool_finish(call, HTTP_BROKEN, text);
}

/* Tells whether a reused socket has been closed, or has stray bytes. */
static bool is_stale(struct lws *wsi)
{
	char byte;

	return recv(lws_get_socket_fd(wsi), &byte, 1,
		    MSG_PEEK | MSG_DONTWAIT) >= 0 ||
	       errno != EAGAIN;
}

static bool takes_body(const struct message *m)
{
	return m->body.len || !strcmp(m->method, "POST") ||
	       !strcmp(m->method, "PUT") || !strcmp(m->method, "PATCH");
}

/*
 * Adds the call's headers to the request about to be written. From here on
 * a byte may have left.
 */
static int write_request_head(struct lws *wsi, struct http_conn *c,
			      unsigned char **p, size_t room)
{
	struct http_pool_call *call = c->call;
	const struct message *m = &call->request;
	const char *host = message_header(m, "host");
	unsigned char *end = *p + room;
	char text[24];
	int n;

	if (c->warm && is_stale(wsi))
		return -1;
	if (http_write_headers(wsi, m, p, end) < 0)
		return -1;
	if (host && !message_header(m, "x-forwarded-host") &&
	    lws_add_http_header_by_name(
		    wsi, (const uint8_t *)"x-forwarded-host:",
		    (const uint8_t *)host, (int)strlen(host), p, end))
		return -1;
	if (takes_body(m)) {
		n = snprintf(text, sizeof(text), "%zu", m->body.len);
		if (lws_add_http_header_by_name(
			    wsi, (const uint8_t *)"content-length:",
			    (const uint8_t *)text, n, p, end))
			return -1;
	}
	if (m->body.len) {
		lws_client_http_body_pending(wsi, 1);
		lws_callback_on_writable(wsi);
	}
	call->sent = true;
	return 0;
}

static int write_request_body(struct lws *wsi, struct http_pool_call *call)
{
	unsigned char slice[LWS_PRE + NET_IO_SIZE];
	const struct buffer *body = &call->request.body;
	size_t n = body->len - call->body_sent;
	bool last = n <= NET_IO_SIZE;

	if (!n)
		return 0;
	if (!last)
		n = NET_IO_SIZE;
	memcpy(slice + LWS_PRE, body->data + call->body_sent, n);
	if (last)
		lws_client_http_body_pending(wsi, 0);
	if (lws_write(wsi, slice + LWS_PRE, n,
		      last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP) < 0)
		return -1;
	call->body_sent += n;
	if (!last)
		lws_callback_on_writable(wsi);
	return 0;
}

static bool says_close(struct lws *wsi)
{
	char value[64];

	if (lws_hdr_total_length(wsi, WSI_TOKEN_CONNECTION) <= 0)
		return false;
	return lws_hdr_copy(wsi, value, sizeof(value), WSI_TOKEN_CONNECTION) <
		       0 ||
	       strcasestr(value, "close");
}

static int answer_whole(struct http_conn *c)
{
	struct http_pool_call *call = c->call;
	bool reuse = !c->last && call->body_sent == call->request.body.len;

	call->conn = NULL;
	c->call = NULL;
	if (reuse) {
		c->warm = true;
		http_pool_idle(c);
	} else {
		c->closing = true;
	}
	http_pool_finish(call, HTTP_ANSWERED, NULL);
	return reuse ? 0 : -1;
}

static int answer_began(struct lws *wsi, struct http_conn *c)
{
	struct http_pool_call *call = c->call;
	struct message *m = &call->answer;

	m->status = (int)lws_http_client_http_response(wsi);
	lws_set_timeout(wsi, NO_PENDING_TIMEOUT, 0);
	c->last = says_close(wsi);
	call->established = true;
	http_read_body_info(wsi, &call->body);
	call->has_body = http_answer_has_body(call->request.method, m->status);
	if (m->status < 200 || m->status > 599)
		return reject(c, HTTP_GARBAGE, "status out of range");
	if (http_read_headers(wsi, call->pool->options.header_names, m) < 0)
		return reject(c, HTTP_GARBAGE, "too many headers");
	if (call->body.bad)
		return reject(c, HTTP_GARBAGE, "unclear length");
	/* libwebsockets would wait for a body that never comes. */
	if (!call->has_body) {
		c->last = true;
		return answer_whole(c);
	}
	if (!call->body.has_length && !call->body.chunked)
		return reject(c, HTTP_GARBAGE, "answer without a length");
	if (call->body.len > call->pool->options.body_limit &&
	    !call->options.piece)
		return reject(c, HTTP_TOO_LARGE, "answer too large");
	return 0;
}

static int answer_piece(struct http_conn *c, const void *data, size_t len)
{
	struct http_pool_call *call = c->call;

	call->received += len;
	if (call->options.piece) {
		call->options.piece(call->options.ctx, call->options.tag, data,
				    len, net_now());
		return c->call == call ? 0 : -1;
	}
	if (buffer_append(&call->answer.body, data, len,
			  call->pool->options.body_limit) < 0)
		return reject(c, HTTP_TOO_LARGE, "answer too large");
	return 0;
}

static int read_answer(struct lws *wsi)
{
	char room[LWS_PRE + NET_IO_SIZE];
	char *p = room + LWS_PRE;
	int len = NET_IO_SIZE;

	return lws_http_client_read(wsi, &p, &len) < 0 ? -1 : 0;
}

static int answer_completed(struct http_conn *c)
{
	struct http_pool_call *call = c->call;

	if (!call->established)
		return reject(c, HTTP_GARBAGE, "no status");
	if (call->body.has_length && call->received != call->body.len)
		return reject(c, HTTP_BROKEN, "answer cut off");
	return answer_whole(c);
}

/* Handles what comes for a wsi that carries the connection's call. */
static int call_callback(struct lws *wsi, struct http_conn *c,
			 enum lws_callback_reasons reason, void *in, size_t len)
{
	switch (reason) {
	case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
		return write_request_head(wsi, c, in, len);
	case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
		return write_request_body(wsi, c->call);
	case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
		return answer_began(wsi, c);
	case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
		return read_answer(wsi);
	case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
		return answer_piece(c, in, len);
	case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
		return answer_completed(c);
	default:
		return 0;
	}
}

static bool is_ours(struct lws *wsi, const struct http_conn *c)
{
	return c && !c->net->closing &&
	       (uintptr_t)lws_get_opaque_user_data(wsi) == c->serial;
}

static int client_callback(struct lws *wsi, enum lws_callback_reasons reason,
			   void *user, void *in, size_t len)
{
	struct http_conn *c;

	switch (reason) {
	case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
	case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
		c = lws_vhost_user(lws_get_vhost(wsi));
		if (is_ours(wsi, c))
			conn_broken(c, in && len ? in : "connection closed");
		return 0;
	case LWS_CALLBACK_WSI_DESTROY:
		c = lws_vhost_user(lws_get_vhost(wsi));
		if (!is_ours(wsi, c))
			return 0;
		if (!c->closing)
			conn_broken(c, "connection closed");
		if (!c->starting)
			conn_ended(c);
		return 0;
	case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
	case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
	case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
	case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
	case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
	case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
		c = lws_vhost_user(lws_get_vhost(wsi));
		if (!is_ours(wsi, c) || !c->call || c->closing)
			return -1;
		return call_callback(wsi, c, reason, in, len);
	default:
		return lws_callback_http_dummy(wsi, reason, user, in, len);
	}
}

static const struct lws_protocols client_protocols[] = {
	{.name = "http-client",
	 .callback = client_callback,
	 .rx_buffer_size = NET_IO_SIZE},
	{0},
};

static struct http_conn *new_conn(struct net *net, struct error *err)
{
	struct http_conn *c = calloc(1, sizeof(*c));
	struct net_vhost_options vhost = {
		.name = "http-client",
		.protocols = client_protocols,
		.timeout_secs = LIBRARY_TIMEOUT_SECS,
		.user = c,
	};

	if (!c) {
		error_set(err, ERROR_MEMORY, "http-conn", NULL,
			  "out of memory");
		return NULL;
	}
	c->net = net;
	c->vhost = net_add_vhost(net, &vhost, err);
	if (!c->vhost) {
		free(c);
		return NULL;
	}
	c->next_created = net->conns;
	net->conns = c;
	return c;
}

/* Takes a spare virtual host, or makes one; NULL with err set. */
struct http_conn *http_conn_take(struct http_pool *p, struct error *err)
{
	struct http_conn *c = p->net->spare_conns;

	if (c)
		DL_DELETE(p->net->spare_conns, c);
	else
		c = new_conn(p->net, err);
	if (c)
		c->pool = p;
	return c;
}

static int keep_warm_secs(const struct http_pool *p)
{
	int64_t secs = p->options.keep_warm_us / USEC_PER_SEC;

	if (secs < 1)
		return 1;
	return secs < KEEP_WARM_SECS_MAX ? (int)secs : KEEP_WARM_SECS_MAX;
}

/*
 * Sends the call on a connection in its pool's busy list. Returns -1 when
 * that failed at once: nothing was sent and the call is the caller's again.
 */
int http_conn_start(struct http_conn *c, struct http_pool_call *call)
{
	struct http_pool *p = c->pool;
	struct lws_client_connect_info info = {
		.context = p->net->context,
		.vhost = c->vhost,
		.address = p->host,
		.host = p->host, /* must equal address to be reused */
		.port = p->options.addr.port,
		.path = call->request.target,
		.method = call->request.method,
		.alpn = "http/1.1",
		.local_protocol_name = "http-client",
		.ssl_connection =
			LCCSCF_PIPELINE | LCCSCF_HTTP_NO_FOLLOW_REDIRECT,
		.keep_warm_secs = (uint16_t)keep_warm_secs(p),
	};

	c->serial++;
	c->call = call;
	c->last = false;
	c->starting = true;
	call->conn = c;
	info.opaque_user_data = (void *)c->serial;
	info.pwsi = &c->wsi;
	c->wsi = lws_client_connect_via_info(&info);
	c->starting = false;
	if (c->wsi && !c->closing)
		return 0;
	c->call = NULL;
	call->conn = NULL;
	c->closing = true;
	if (!c->wsi)
		conn_ended(c);
	return -1;
}

/* Frees all connections once the context is gone. */
void http_conn_free_all(struct net *net)
{
	struct http_conn *c;

	while ((c = net->conns)) {
		net->conns = c->next_created;
		free(c);
	}
}
