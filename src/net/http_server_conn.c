#include "net/http_server_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BODY_WAIT_US (30 * USEC_PER_SEC) /* for a request's whole body */
#define ANSWER_SLICE (64 * 1024)	 /* bytes given to the socket at once */
#define COMPLETIONS_MAX 4 /* said of one body; more mean an endless loop */

#define STATUS_BAD_REQUEST 400
#define STATUS_NOT_ALLOWED 405
#define STATUS_LENGTH_REQUIRED 411
#define STATUS_TOO_LARGE 413
#define STATUS_HEADERS_TOO_LARGE 431

static struct http_server *server_of(struct lws *wsi)
{
	return lws_vhost_user(lws_get_vhost(wsi));
}

static int append_head(struct lws *wsi, struct server_conn *c,
		       const struct message *m)
{
	unsigned char head[LWS_PRE + NET_IO_SIZE];
	unsigned char *start = head + LWS_PRE, *p = start;
	unsigned char *end = head + sizeof(head);
	const char *connection = c->close ? "close" : "keep-alive";
	char text[24];
	int n;

	if (lws_add_http_header_status(
		    wsi, (unsigned int)m->status | LWSAHH_FLAG_NO_SERVER_NAME,
		    &p, end) ||
	    http_write_headers(wsi, m, &p, end) < 0 ||
	    lws_add_http_header_by_name(wsi, (const uint8_t *)"connection:",
					(const uint8_t *)connection,
					(int)strlen(connection), &p, end))
		return -1;
	n = snprintf(text, sizeof(text), "%zu", m->body.len);
	if (m->status >= 200 && m->status != HTTP_NO_CONTENT &&
	    lws_add_http_header_by_name(wsi, (const uint8_t *)"content-length:",
					(const uint8_t *)text, n, &p, end))
		return -1;
	if (lws_finalize_http_header(wsi, &p, end))
		return -1;
	return buffer_append(&c->out, head, (size_t)(p - head), SIZE_MAX);
}

/*
 * Hands a whole answer to the connection, which writes it as the socket
 * takes it. Returns -1 when headers do not fit.
 */
int http_server_give(struct lws *wsi, struct server_conn *c,
		     const struct message *m)
{
	c->close = c->close || server_of(wsi)->draining;
	buffer_free(&c->out);
	if (append_head(wsi, c, m) < 0)
		return -1;
	if (!c->head && m->status != HTTP_NO_CONTENT &&
	    m->status != HTTP_NOT_MODIFIED &&
	    buffer_append(&c->out, m->body.data, m->body.len, SIZE_MAX) < 0)
		return -1;
	c->out_pos = LWS_PRE;
	c->answering = true;
	lws_callback_on_writable(wsi);
	return 0;
}

/* Answers a request that no handler will see, and closes after it. */
static int refuse(struct lws *wsi, struct server_conn *c, int status,
		  const char *detail)
{
	struct message m = {.status = status};
	int result;

	c->close = true;
	if (message_add_header(&m, "content-type", "application/problem+json") <
		    0 ||
	    message_add_header(&m, "mulberryferry-outcome", "not-run") < 0 ||
	    buffer_printf(&m.body,
			  "{\"status\":%d,\"title\":\"%s\","
			  "\"outcome\":\"not-run\"}\n",
			  status, detail) < 0)
		result = -1;
	else
		result = http_server_give(wsi, c, &m);
	message_free(&m);
	return result;
}

static int dispatch(struct lws *wsi, struct server_conn *c)
{
	struct http_server *s = server_of(wsi);
	char peer[ADDR_TEXT_SIZE] = "";
	void *item;

	c->exchange = table_add(&s->exchanges, &item);
	if (!c->exchange)
		return -1;
	*(struct lws **)item = wsi;
	lws_get_peer_simple(wsi, peer, sizeof(peer));
	s->options.request(s->options.ctx, c->exchange, &c->request, peer,
			   net_now());
	message_free(&c->request);
	return 0;
}

static bool asks_to_close(struct lws *wsi)
{
	char value[64];

	if (lws_hdr_total_length(wsi, WSI_TOKEN_CONNECTION) <= 0)
		return false;
	return lws_hdr_copy(wsi, value, sizeof(value), WSI_TOKEN_CONNECTION) <
		       0 ||
	       strcasestr(value, "close");
}

static int begin_request(struct lws *wsi, struct server_conn *c)
{
	struct http_server *s = server_of(wsi);
	struct message *m = &c->request;

	message_free(m);
	c->ready = false;
	c->completions = 0;
	lws_set_timeout(wsi, NO_PENDING_TIMEOUT, 0);
	c->close = asks_to_close(wsi);
	http_read_body_info(wsi, &c->body);
	m->target = http_read_target(wsi, m->method);
	c->head = !strcmp(m->method, "HEAD");
	if (!m->target)
		return refuse(wsi, c, STATUS_NOT_ALLOWED, "Method not served");
	/* RFC 9112 3.2 */
	if (lws_hdr_fragment_length(wsi, WSI_TOKEN_HOST, 0) <= 0 ||
	    lws_hdr_fragment_length(wsi, WSI_TOKEN_HOST, 1) > 0)
		return refuse(wsi, c, STATUS_BAD_REQUEST, "One host wanted");
	if (c->body.bad)
		return refuse(wsi, c, STATUS_BAD_REQUEST, "Unclear length");
	if (c->body.chunked)
		return refuse(wsi, c, STATUS_LENGTH_REQUIRED,
			      "Length required");
	if (c->body.len > s->options.body_limit)
		return refuse(wsi, c, STATUS_TOO_LARGE, "Body too large");
	if (http_read_headers(wsi, s->options.header_names, m) < 0)
		return refuse(wsi, c, STATUS_HEADERS_TOO_LARGE,
			      "Headers too large");
	if (c->body.len) {
		lws_set_timer_usecs(wsi, BODY_WAIT_US);
		return 0;
	}
	/* libwebsockets waits for a body after these, and would eat the next */
	if (!c->body.has_length && !strcmp(m->method, "POST"))
		c->close = true;
	return dispatch(wsi, c);
}

static int take_body(struct lws *wsi, struct server_conn *c, const void *data,
		     size_t len)
{
	if (c->answering || c->exchange)
		return 0;
	if (buffer_append(&c->request.body, data, len,
			  server_of(wsi)->options.body_limit) < 0)
		return refuse(wsi, c, STATUS_TOO_LARGE, "Body too large");
	return 0;
}

/*
 * A body that came right behind the answer to an earlier request is handed
 * over by this release of libwebsockets with the request's own head in its
 * place, and then without end. So a body is taken only once the loop has
 * turned, and one that begins like its request is refused.
 */
static bool is_own_head(const struct message *m)
{
	const char *body = (const char *)m->body.data;
	size_t len = m->body.len, n = strlen(m->method);

	while (len && (*body == '\r' || *body == '\n')) {
		body++;
		len--;
	}
	return len > n ? !memcmp(body, m->method, n) && body[n] == ' '
		       : !memcmp(body, m->method, len);
}

static int body_complete(struct lws *wsi, struct server_conn *c)
{
	if (++c->completions > COMPLETIONS_MAX)
		return -1;
	if (c->ready || c->exchange || c->answering)
		return 0;
	if (is_own_head(&c->request))
		return -1;
	c->ready = true;
	lws_callback_on_writable(wsi);
	return 0;
}

static int write_answer(struct lws *wsi, struct server_conn *c)
{
	size_t left = c->out.len - c->out_pos;
	size_t n = left < ANSWER_SLICE ? left : ANSWER_SLICE;

	if (!c->answering)
		return 0;
	if (n &&
	    lws_write(wsi, c->out.data + c->out_pos, n,
		      n == left ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP) < 0)
		return -1;
	c->out_pos += n;
	if (c->out_pos < c->out.len ||
	    (c->close && lws_partial_buffered(wsi))) {
		lws_callback_on_writable(wsi);
		return 0;
	}
	c->answering = false;
	buffer_free(&c->out);
	/* The library closes only if the request said no more than close. */
	if (c->close || lws_http_transaction_completed(wsi))
		return -1;
	return 0;
}

static void conn_closed(struct lws *wsi, struct server_conn *c)
{
	struct http_server *s = server_of(wsi);
	uint64_t exchange = c->exchange;

	c->exchange = 0;
	c->answering = false;
	message_free(&c->request);
	buffer_free(&c->out);
	if (!exchange)
		return;
	table_remove(&s->exchanges, exchange);
	if (!s->net->closing)
		s->options.gone(s->options.ctx, exchange, net_now());
}

/* The timer set for a body is not cancelled when the body has come. */
static bool is_gathering(const struct server_conn *c)
{
	return c->request.target && !c->exchange && !c->answering && !c->ready;
}

static int server_callback(struct lws *wsi, enum lws_callback_reasons reason,
			   void *user, void *in, size_t len)
{
	struct server_conn *c = user;
	struct http_server *s;

	switch (reason) {
	case LWS_CALLBACK_FILTER_NETWORK_CONNECTION:
		s = server_of(wsi);
		return s->connections >= s->options.connections_max;
	case LWS_CALLBACK_SERVER_NEW_CLIENT_INSTANTIATED:
		server_of(wsi)->connections++;
		return 0;
	case LWS_CALLBACK_WSI_DESTROY:
		server_of(wsi)->connections--;
		return 0;
	case LWS_CALLBACK_HTTP:
		return begin_request(wsi, c);
	case LWS_CALLBACK_HTTP_BODY:
		return take_body(wsi, c, in, len);
	case LWS_CALLBACK_HTTP_BODY_COMPLETION:
		return body_complete(wsi, c);
	case LWS_CALLBACK_HTTP_CONFIRM_UPGRADE:
		return -1;
	case LWS_CALLBACK_TIMER:
		return is_gathering(c) ? -1 : 0;
	case LWS_CALLBACK_HTTP_WRITEABLE:
		if (!c->ready)
			return write_answer(wsi, c);
		c->ready = false;
		return dispatch(wsi, c);
	case LWS_CALLBACK_CLOSED_HTTP:
		if (c)
			conn_closed(wsi, c);
		return 0;
	default:
		return lws_callback_http_dummy(wsi, reason, user, in, len);
	}
}

const struct lws_protocols http_server_protocols[] = {
	{.name = "http",
	 .callback = server_callback,
	 .per_session_data_size = sizeof(struct server_conn),
	 .rx_buffer_size = NET_IO_SIZE},
	{0},
};
