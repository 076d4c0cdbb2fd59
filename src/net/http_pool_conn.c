#include "net/http_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <utlist.h>

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

/* Tells whether the peer holds its end open: it was us who gave up. */
static bool peer_is_open(struct lws *wsi)
{
	char byte;
	ssize_t n =
		recv(lws_get_socket_fd(wsi), &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	return n > 0 || (n < 0 && errno == EAGAIN);
}

/*
 * The wsi failed or was closed. Nothing more comes for its call, but the
 * virtual host is in use until the wsi is destroyed.
 */
static void conn_broken(struct lws *wsi, struct http_conn *c, const char *text)
{
	struct http_pool_call *call = c->call;

	if (!call && !c->closing && c->pool) {
		DL_DELETE(c->pool->idle, c);
		DL_PREPEND(c->pool->busy, c);
	}
	c->closing = true;
	if (!call || c->starting)
		return;
	if (!call->sent && c->warm)
		http_pool_again(call);
	else if (!call->sent)
		http_pool_finish(call, HTTP_NOT_SENT, text);
	else if (peer_is_open(wsi))
		http_pool_finish(call, HTTP_GARBAGE, "malformed answer");
	else
		http_pool_finish(call, HTTP_BROKEN, text);
}

/* Handles what comes for a wsi that carries the connection's call. */
static int call_callback(struct lws *wsi, struct http_conn *c,
			 enum lws_callback_reasons reason, void *in, size_t len)
{
	switch (reason) {
	case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
		return http_call_write_head(wsi, c, in, len);
	case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
		return http_call_write_body(wsi, c->call);
	case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
		return http_call_began(wsi, c);
	case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
		return http_call_read(wsi, c);
	case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
		return http_call_piece(c, in, len);
	case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
		return http_call_completed(c);
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
			conn_broken(wsi, c, in && len ? in : "closed");
		return 0;
	case LWS_CALLBACK_WSI_DESTROY:
		c = lws_vhost_user(lws_get_vhost(wsi));
		if (!is_ours(wsi, c))
			return 0;
		if (!c->closing)
			conn_broken(wsi, c, "closed");
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

	if (!c->warm)
		counter_add(COUNTER_UPSTREAM_CONNECTIONS, 1);
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
