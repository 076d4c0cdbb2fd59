#include "net/http_impl.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

/* Ends the call by a fault of the answer and closes the connection. */
static int reject(struct http_conn *c, enum http_call_status status,
		  const char *text)
{
	struct http_pool_call *call = c->call;

	c->closing = true;
	http_pool_finish(call, status, text);
	return -1;
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
int http_call_write_head(struct lws *wsi, struct http_conn *c,
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

/* Writes the next slice of the request's body. */
int http_call_write_body(struct lws *wsi, struct http_pool_call *call)
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

/* Checks the head of the answer; some answers end with it. */
int http_call_began(struct lws *wsi, struct http_conn *c)
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

/* Takes bytes of the answer's body, or hands them on. */
int http_call_piece(struct http_conn *c, const void *data, size_t len)
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

/* Reads what came; http_call_piece and http_call_completed follow. */
int http_call_read(struct lws *wsi, struct http_conn *c)
{
	struct http_pool_call *call = c->call;
	char room[LWS_PRE + NET_IO_SIZE], byte;
	char *p = room + LWS_PRE;
	int len = NET_IO_SIZE, result;

	call->room = p;
	call->data = &p;
	call->readable =
		call->body.chunked && recv(lws_get_socket_fd(wsi), &byte, 1,
					   MSG_PEEK | MSG_DONTWAIT) == 1;
	result = lws_http_client_read(wsi, &p, &len);
	if (c->call == call)
		call->data = NULL;
	return result < 0 ? -1 : 0;
}

/*
 * The library says completed as well when the peer closes in the middle of
 * a chunked answer: then it has read nothing, neither into our buffer nor
 * from one of its own.
 */
static bool is_cut_off(const struct http_pool_call *call)
{
	if (!call->body.chunked)
		return call->received != call->body.len;
	return !call->data || (!call->readable && *call->data == call->room);
}

/* Reports the answer if all of it is there. */
int http_call_completed(struct http_conn *c)
{
	struct http_pool_call *call = c->call;

	if (!call->established)
		return reject(c, HTTP_GARBAGE, "no status");
	if (is_cut_off(call))
		return reject(c, HTTP_BROKEN, "answer cut off");
	return answer_whole(c);
}
