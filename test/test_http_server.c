#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/net.h"

#define BODY_LIMIT 20
#define REPLY_SIZE 65536

/* A client that sends raw bytes and reads until end of file. */
struct client {
	const char *sends;
	size_t filler; /* number of "a" sent after that, then an empty line */
	bool half_close;
	bool closes_unread; /* closes without reading */
	struct addr to;
	struct net *net;
	char reply[REPLY_SIZE];
};

struct server_log {
	struct net *net;
	struct http_server *server;
	int requests;
	int gone;
	uint64_t held;
	char last[256];
	bool stop_on_gone;
};

static int connect_to(const struct addr *a)
{
	struct sockaddr_in sa = {.sin_family = AF_INET,
				 .sin_port = htons(a->port)};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) == 0)
		return fd;
	close(fd);
	return -1;
}

static void send_all(int fd, const char *data, size_t len)
{
	ssize_t n;

	while (len && (n = send(fd, data, len, MSG_NOSIGNAL)) > 0) {
		data += n;
		len -= (size_t)n;
	}
}

static void read_reply(struct client *c, int fd)
{
	size_t len = 0;
	ssize_t n;

	while (len < REPLY_SIZE - 1 &&
	       (n = read(fd, c->reply + len, REPLY_SIZE - 1 - len)) > 0)
		len += (size_t)n;
	c->reply[len] = 0;
}

static void *client_main(void *arg)
{
	struct client *c = arg;
	int fd = connect_to(&c->to);
	size_t i;

	send_all(fd, c->sends, strlen(c->sends));
	for (i = 0; i < c->filler; i++)
		send_all(fd, "a", 1);
	if (c->filler)
		send_all(fd, "\r\n\r\n", 4);
	if (c->half_close)
		shutdown(fd, SHUT_WR);
	if (!c->closes_unread)
		read_reply(c, fd);
	close(fd);
	if (!c->closes_unread)
		net_stop(c->net);
	return NULL;
}

static void on_request(void *ctx, uint64_t exchange, struct message *msg,
		       const char *peer, int64_t now)
{
	struct server_log *server_log = ctx;
	struct message m = {.status = 200};
	const char *id = message_header(msg, "x-request-id");
	const char *extra = message_header(msg, "x-extra");

	(void)now;
	assert_string_equal(peer, "127.0.0.1");
	assert_null(message_header(msg, "connection"));
	server_log->requests++;
	snprintf(server_log->last, sizeof(server_log->last),
		 "%s %s [%.*s] id=%s extra=%s", msg->method, msg->target,
		 (int)msg->body.len,
		 msg->body.len ? (char *)msg->body.data : "", id ? id : "-",
		 extra ? extra : "-");
	if (!strcmp(msg->target, "/hold")) {
		server_log->held = exchange;
		return;
	}
	if (!strcmp(msg->target, "/204"))
		m.status = 204;
	message_add_header(&m, "x-target", msg->target);
	message_add_header(&m, "keep-alive", "timeout=9");
	if (m.status == 200)
		buffer_append(&m.body, "hello", 5, 5);
	assert_int_equal(http_server_respond(server_log->server, exchange, &m),
			 0);
	assert_int_equal(http_server_respond(server_log->server, exchange, &m),
			 -1);
	message_free(&m);
}

static void on_abandoned(void *ctx, uint64_t exchange, int64_t now)
{
	struct server_log *server_log = ctx;

	(void)now;
	assert_int_equal(exchange, server_log->held);
	server_log->gone++;
	if (server_log->stop_on_gone)
		net_stop(server_log->net);
}

static void open_server(struct server_log *server_log, struct addr *a)
{
	struct http_server_options o = {
		.body_limit = BODY_LIMIT,
		.connections_max = 4,
		.outcome_header = "mulberryferry-outcome",
		.ctx = server_log,
		.on_request = on_request,
		.on_abandoned = on_abandoned,
	};
	struct error err;

	memset(server_log, 0, sizeof(*server_log));
	server_log->net = net_open(&err);
	assert_non_null(server_log->net);
	addr_parse(&o.listen, "127.0.0.1:0");
	server_log->server = http_server_open(server_log->net, &o, &err);
	assert_non_null(server_log->server);
	http_server_addr(server_log->server, a);
	assert_int_not_equal(a->port, 0);
}

static void run_client(struct server_log *server_log, struct client *c)
{
	pthread_t thread;

	c->net = server_log->net;
	assert_int_equal(pthread_create(&thread, NULL, client_main, c), 0);
	net_run(server_log->net);
	pthread_join(thread, NULL);
}

#define H "Host: a\r\n"
#define END "Connection: close\r\n\r\n"

static const struct {
	const char *name;
	const char *sends;
	size_t filler;
	bool half_close;
	int requests;
	const char *reply; /* substring expected in the reply */
	const char *last;  /* last request as the handler received it */
} cases[] = {
	{"get", "GET /a?b=%26&c=d+e HTTP/1.1\r\n" H END, 0, false, 1,
	 "HTTP/1.1 200 OK\r\n", "GET /a?b=%26&c=d+e [] id=- extra=-"},
	{"header names",
	 "GET /a HTTP/1.1\r\nX-Request-Id: 7\r\nX-Extra: e\r\n" H END, 0, false,
	 1, "\r\ncontent-length: 5\r\n\r\nhello", "GET /a [] id=7 extra=e"},
	{"listed in Connection",
	 "GET /a HTTP/1.1\r\n" H "X-Request-Id: 7\r\nX-Extra: e\r\n"
	 "Connection: close, x-request-id\r\n\r\n",
	 0, false, 1, "hello", "GET /a [] id=- extra=e"},
	{"post", "POST /a HTTP/1.1\r\nContent-Length: 3\r\n" H END "abc", 0,
	 false, 1, "hello", "POST /a [abc] id=- extra=-"},
	{"delete with body",
	 "DELETE /a HTTP/1.1\r\nContent-Length: 3\r\n" H END "abc", 0, false, 1,
	 "hello", "DELETE /a [abc] id=- extra=-"},
	{"post without body", "POST /a HTTP/1.1\r\n" H END, 0, false, 1,
	 "connection: close", "POST /a [] id=- extra=-"},
	{"options", "OPTIONS /a HTTP/1.1\r\n" H END, 0, false, 1, "hello",
	 "OPTIONS /a [] id=- extra=-"},
	{"pipelined",
	 "POST /1 HTTP/1.1\r\nContent-Length: 3\r\n" H "\r\nabc"
	 "GET /2 HTTP/1.1\r\n" H "\r\nGET /3 HTTP/1.1\r\n" H END,
	 0, false, 3, "x-target: /3\r\n", "GET /3 [] id=- extra=-"},
	{"pipelined bodies",
	 "POST /1 HTTP/1.1\r\nContent-Length: 3\r\n" H "\r\nabc"
	 "POST /2 HTTP/1.1\r\nContent-Length: 3\r\n" H END "def",
	 0, false, 2, "x-target: /2\r\n", "POST /2 [def] id=- extra=-"},
	{"pipelined short body",
	 "GET /1 HTTP/1.1\r\n" H "\r\n"
	 "POST /2 HTTP/1.1\r\nContent-Length: 1\r\n" H END "d",
	 0, false, 2, "x-target: /2\r\n", "POST /2 [d] id=- extra=-"},
	{"pipelined half body",
	 "GET /1 HTTP/1.1\r\n" H "\r\n\r\n"
	 "POST /2 HTTP/1.1\r\nContent-Length: 9\r\n" H "\r\nd",
	 0, true, 1, "x-target: /1\r\n", "GET /1 [] id=- extra=-"},
	{"websocket",
	 "GET /a HTTP/1.1\r\n" H "Upgrade: websocket\r\n"
	 "Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
	 "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n",
	 0, false, 0, "", ""},
	{"h2c",
	 "GET /a HTTP/1.1\r\n" H "Upgrade: h2c\r\n"
	 "Connection: Upgrade, HTTP2-Settings\r\n"
	 "HTTP2-Settings: AAMAAABkAAQAAP__\r\n\r\n",
	 0, false, 0, "", ""},
	{"head", "HEAD /a HTTP/1.1\r\n" H END, 0, false, 1,
	 "content-length: 5\r\n\r\n", "HEAD /a [] id=- extra=-"},
	{"no content", "GET /204 HTTP/1.1\r\n" H END, 0, false, 1,
	 "HTTP/1.1 204 No Content\r\n", "GET /204 [] id=- extra=-"},
	/* Targets are forwarded unchanged, so one with ".." is rejected. */
	{"dots", "GET /a/../../b HTTP/1.1\r\n" H END, 0, false, 0,
	 "HTTP/1.1 400 ", ""},
	{"dots within segments", "GET /a/..b/c.?d=/../e HTTP/1.1\r\n" H END, 0,
	 false, 1, "hello", "GET /a/..b/c.?d=/../e [] id=- extra=-"},
	{"space before colon", "GET /a HTTP/1.1\r\nX-A : b\r\n" H END, 0, false,
	 0, "HTTP/1.1 400 ", ""},
	{"folded line", "GET /a HTTP/1.1\r\nX-A: b\r\n c\r\n" H END, 0, false,
	 0, "HTTP/1.1 400 ", ""},
	{"bare line feed", "GET /a HTTP/1.1\r\nX-A: b\nX-B: c\r\n" H END, 0,
	 false, 0, "HTTP/1.1 400 ", ""},
	{"bare carriage return", "GET /a HTTP/1.1\r\nX-A: b\rc\r\n" H END, 0,
	 false, 0, "HTTP/1.1 400 ", ""},
	{"request after a rejected one",
	 "GET /a HTTP/1.1\r\nX-A : b\r\n" H "\r\nGET /b HTTP/1.1\r\n" H END, 0,
	 false, 0, "HTTP/1.1 400 ", ""},
	{"body too large",
	 "POST /a HTTP/1.1\r\nContent-Length: 21\r\n" H "\r\n"
	 "aaaaaaaaaaaaaaaaaaaaa",
	 0, false, 0, "HTTP/1.1 413 ", ""},
	{"huge length",
	 "POST /a HTTP/1.1\r\nContent-Length: 9000000000000000000\r\n" H "\r\n",
	 0, false, 0, "HTTP/1.1 413 ", ""},
	{"length beyond 64 bits",
	 "POST /a HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n" H
	 "\r\n",
	 0, false, 0, "HTTP/1.1 400 ", ""},
	{"negative length",
	 "POST /a HTTP/1.1\r\nContent-Length: -1\r\n" H "\r\n", 0, false, 0,
	 "HTTP/1.1 400 ", ""},
	{"two lengths",
	 "POST /a HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n" H
	 "\r\nabcd",
	 0, false, 0, "HTTP/1.1 400 ", ""},
	{"length and chunks",
	 "POST /a HTTP/1.1\r\nContent-Length: 3\r\n"
	 "Transfer-Encoding: chunked\r\n" H "\r\n0\r\n\r\n",
	 0, false, 0, "HTTP/1.1 400 ", ""},
	{"chunks",
	 "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n" H
	 "Connection: close\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
	 0, false, 1, "hello", "POST /a [abc] id=- extra=-"},
	{"chunk too large",
	 "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n" H
	 "\r\n15\r\naaaaaaaaaaaaaaaaaaaaa\r\n0\r\n\r\n",
	 0, false, 0, "HTTP/1.1 413 ", ""},
	{"chunk size that overflows",
	 "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n" H
	 "\r\nfffffffffffffffff\r\na\r\n0\r\n\r\n",
	 0, false, 0, "HTTP/1.1 400 ", ""},
	{"no host", "GET /a HTTP/1.1\r\n" END, 0, false, 0, "HTTP/1.1 400 ",
	 ""},
	{"two hosts", "GET /a HTTP/1.1\r\nHost: b\r\n" H END, 0, false, 0,
	 "HTTP/1.1 400 ", ""},
	{"long value", "GET /a HTTP/1.1\r\n" H "X-Extra: ", 9000, true, 0, "",
	 ""},
	{"long name", "GET /a HTTP/1.1\r\n" H "X", 9000, true, 0, "", ""},
	{"long target", "GET /", 9000, true, 0, "", ""},
	{"other method", "BREW /a HTTP/1.1\r\n" H END, 0, true, 0, "", ""},
	{"other protocol", "\x16\x03\x01\x02", 0, true, 0, "", ""},
	{"half a head", "GET /a HTTP/1.1\r\nHos", 0, true, 0, "", ""},
	{"half a body", "PUT /a HTTP/1.1\r\nContent-Length: 3\r\n" H "\r\na", 0,
	 true, 0, "", ""},
};

static void requests_get_expected_responses(void **state)
{
	struct client *c = calloc(1, sizeof(*c));
	struct server_log server_log;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		memset(c, 0, sizeof(*c));
		c->sends = cases[i].sends;
		c->filler = cases[i].filler;
		c->half_close = cases[i].half_close;
		open_server(&server_log, &c->to);
		run_client(&server_log, c);
		if (server_log.requests != cases[i].requests ||
		    !strstr(c->reply, cases[i].reply))
			print_error("case %s: %s\n", cases[i].name, c->reply);
		assert_int_equal(server_log.requests, cases[i].requests);
		assert_non_null(strstr(c->reply, cases[i].reply));
		assert_string_equal(server_log.last, cases[i].last);
		assert_null(strstr(c->reply, "keep-alive: timeout"));
		assert_null(strstr(c->reply, "HTTP/1.1 101"));
		assert_int_equal(server_log.gone, 0);
		net_close(server_log.net);
	}
	free(c);
}

static void head_and_no_content_have_no_body(void **state)
{
	static const char *const sends[] = {"HEAD /a HTTP/1.1\r\n" H END,
					    "GET /204 HTTP/1.1\r\n" H END};
	struct client *c = calloc(1, sizeof(*c));
	struct server_log server_log;
	int i;

	(void)state;
	for (i = 0; i < 2; i++) {
		memset(c, 0, sizeof(*c));
		c->sends = sends[i];
		open_server(&server_log, &c->to);
		run_client(&server_log, c);
		assert_string_equal(strstr(c->reply, "\r\n\r\n"), "\r\n\r\n");
		if (i)
			assert_null(strstr(c->reply, "content-length"));
		net_close(server_log.net);
	}
	free(c);
}

static void disconnected_caller_is_reported(void **state)
{
	struct client *c = calloc(1, sizeof(*c));
	struct message m = {.status = 200};
	struct server_log server_log;

	(void)state;
	c->sends = "GET /hold HTTP/1.1\r\n" H "\r\n";
	c->closes_unread = true;
	open_server(&server_log, &c->to);
	server_log.stop_on_gone = true;
	run_client(&server_log, c);
	assert_int_equal(server_log.requests, 1);
	assert_int_equal(server_log.gone, 1);
	assert_int_equal(
		http_server_respond(server_log.server, server_log.held, &m),
		-1);
	net_close(server_log.net);
	free(c);
}

static void drain(void *ctx, int64_t now)
{
	struct server_log *server_log = ctx;
	struct message m = {.status = 200};

	(void)now;
	if (!server_log->held)
		return;
	http_server_drain(server_log->server);
	http_server_respond(server_log->server, server_log->held, &m);
	server_log->held = 0;
}

/*
 * While draining, an open request and one on a new connection both get their
 * response; both connections are then closed.
 */
static void drain_serves_open_and_new_requests(void **state)
{
	struct client *c = calloc(1, sizeof(*c));
	struct server_log server_log;

	(void)state;
	c->sends = "GET /hold HTTP/1.1\r\n" H "\r\n";
	open_server(&server_log, &c->to);
	net_every(server_log.net, USEC_PER_MSEC, drain, &server_log);
	run_client(&server_log, c);
	assert_non_null(strstr(c->reply, "HTTP/1.1 200 OK\r\n"));
	assert_non_null(strstr(c->reply, "connection: close\r\n"));
	assert_int_equal(server_log.gone, 0);
	c->sends = "GET /a HTTP/1.1\r\n" H "\r\n";
	run_client(&server_log, c);
	assert_non_null(strstr(c->reply, "HTTP/1.1 200 OK\r\n"));
	assert_non_null(strstr(c->reply, "connection: close\r\n"));
	assert_int_equal(server_log.requests, 2);
	assert_int_equal(server_log.gone, 0);
	net_close(server_log.net);
	free(c);
}

/* Responses are withheld until the last pipelined request has arrived. */
struct pipeline {
	struct server_log server_log;
	uint64_t held[3];
	int n;
};

static void hold_request(void *ctx, uint64_t exchange, struct message *msg,
			 const char *peer, int64_t now)
{
	struct pipeline *p = ctx;
	struct message m = {.status = 200};
	int i;

	(void)msg;
	(void)peer;
	(void)now;
	p->held[p->n++] = exchange;
	if (p->n < 3)
		return;
	for (i = 2; i >= 0; i--) {
		m.body.len = 0;
		buffer_printf(&m.body, "answer-%d", i);
		http_server_respond(p->server_log.server, p->held[i], &m);
	}
	message_free(&m);
}

/*
 * Three pipelined requests run concurrently; their responses, given in reverse
 * order, must be sent in the order of the requests.
 */
static void pipelined_responses_keep_request_order(void **state)
{
	struct http_server_options o = {.body_limit = BODY_LIMIT,
					.connections_max = 4,
					.on_request = hold_request,
					.on_abandoned = on_abandoned};
	struct client *c = calloc(1, sizeof(*c));
	struct pipeline p = {.n = 0};
	const char *first, *second, *third;
	struct error err;

	(void)state;
	o.ctx = &p;
	p.server_log.net = net_open(&err);
	addr_parse(&o.listen, "127.0.0.1:0");
	p.server_log.server = http_server_open(p.server_log.net, &o, &err);
	http_server_addr(p.server_log.server, &c->to);
	c->sends = "GET /0 HTTP/1.1\r\n" H "\r\nGET /1 HTTP/1.1\r\n" H
		   "\r\nGET /2 HTTP/1.1\r\n" H END;
	run_client(&p.server_log, c);
	first = strstr(c->reply, "answer-0");
	second = strstr(c->reply, "answer-1");
	third = strstr(c->reply, "answer-2");
	assert_true(first && second && third);
	assert_true(first < second && second < third);
	net_close(p.server_log.net);
	free(c);
}

static void *hold_client_main(void *arg)
{
	struct client *c = arg;
	int fd = connect_to(&c->to);

	send_all(fd, c->sends, strlen(c->sends));
	read_reply(c, fd);
	close(fd);
	return NULL;
}

static void answer_held_request(void *ctx, int64_t now)
{
	struct server_log *server_log = ctx;
	struct message m = {.status = 200};

	(void)now;
	if (server_log->requests == 4 && server_log->held) {
		assert_int_equal(http_server_connections(server_log->server),
				 4);
		http_server_respond(server_log->server, server_log->held, &m);
		server_log->held = 0;
	}
}

/*
 * With connections_max connections busy, one more must wait in the backlog
 * without a reset and be served once another has ended.
 */
static void connections_are_bounded_and_counted(void **state)
{
	struct client *held = calloc(4, sizeof(*held));
	struct client *c = calloc(1, sizeof(*c));
	pthread_t threads[4];
	struct server_log server_log;
	int i;

	(void)state;
	open_server(&server_log, &c->to);
	for (i = 0; i < 4; i++) {
		held[i].to = c->to;
		held[i].sends = "GET /hold HTTP/1.1\r\n" H END;
		pthread_create(&threads[i], NULL, hold_client_main, &held[i]);
	}
	c->sends = "GET /a HTTP/1.1\r\n" H END;
	net_every(server_log.net, 20 * USEC_PER_MSEC, answer_held_request,
		  &server_log);
	usleep(50 * 1000);
	run_client(&server_log, c);
	assert_non_null(strstr(c->reply, "hello"));
	assert_int_equal(server_log.requests, 5);
	net_close(server_log.net);
	for (i = 0; i < 4; i++)
		pthread_join(threads[i], NULL);
	free(held);
	free(c);
}

/* At connections_max, idle connections are closed to serve a new one. */
static void idle_connections_are_closed_at_the_limit(void **state)
{
	struct client *c = calloc(1, sizeof(*c));
	struct server_log server_log;
	int fds[4], i;

	(void)state;
	c->sends = "GET /a HTTP/1.1\r\n" H END;
	open_server(&server_log, &c->to);
	for (i = 0; i < 4; i++)
		fds[i] = connect_to(&c->to);
	run_client(&server_log, c);
	assert_non_null(strstr(c->reply, "hello"));
	assert_true(http_server_connections(server_log.server) <= 4);
	for (i = 0; i < 4; i++)
		close(fds[i]);
	net_close(server_log.net);
	free(c);
}

#define DEPTH 80 /* requests sent at once on a connection */

/* Answers what is held, a few at a time; no handler may be called meanwhile. */
static struct {
	struct http_server *server;
	uint64_t held[DEPTH];
	int n, answered, gone;
	bool responding;
	bool drains; /* after the first answer */
} deep;

static void hold_deep(void *ctx, uint64_t exchange, struct message *msg,
		      const char *peer, int64_t now)
{
	(void)ctx;
	(void)msg;
	(void)peer;
	(void)now;
	assert_false(deep.responding);
	deep.held[deep.n++] = exchange;
}

static void abandon_deep(void *ctx, uint64_t exchange, int64_t now)
{
	(void)ctx;
	(void)exchange;
	(void)now;
	assert_false(deep.responding);
	deep.gone++;
}

static void answer_deep(void *ctx, int64_t now)
{
	struct message m = {.status = 200};
	int i;

	(void)ctx;
	(void)now;
	for (i = 0; i < 3 && deep.answered < deep.n; i++) {
		m.body.len = 0;
		buffer_printf(&m.body, "<%d>", deep.answered);
		deep.responding = true;
		if (deep.drains)
			http_server_drain(deep.server);
		http_server_respond(deep.server, deep.held[deep.answered++],
				    &m);
		deep.responding = false;
	}
	message_free(&m);
}

static void run_deep(struct client *c, bool drains)
{
	struct http_server_options o = {.body_limit = BODY_LIMIT,
					.connections_max = 4,
					.on_request = hold_deep,
					.on_abandoned = abandon_deep};
	struct server_log server_log = {0};
	struct error err;

	memset(&deep, 0, sizeof(deep));
	deep.drains = drains;
	server_log.net = net_open(&err);
	addr_parse(&o.listen, "127.0.0.1:0");
	deep.server = http_server_open(server_log.net, &o, &err);
	http_server_addr(deep.server, &c->to);
	net_every(server_log.net, 5 * USEC_PER_MSEC, answer_deep, NULL);
	run_client(&server_log, c);
	net_close(server_log.net);
}

/*
 * A response went on with the next requests of its connection, or reported
 * others as abandoned, before it returned: the tables of its caller changed
 * under the pointers that it held, and the process crashed.
 */
static void responding_calls_no_handler(void **state)
{
	struct client *c = calloc(1, sizeof(*c));
	struct buffer sends = {0};
	const char *at;
	char part[16];
	int i;

	(void)state;
	for (i = 0; i < DEPTH; i++)
		buffer_printf(&sends, "%s /%d HTTP/1.1\r\n" H "%s\r\n",
			      i % 9 == 8 ? "POST" : "GET", i,
			      i == DEPTH - 1 ? END : "");
	buffer_append(&sends, "", 1, SIZE_MAX);
	c->sends = (char *)sends.data;
	run_deep(c, false);
	assert_int_equal(deep.answered, DEPTH);
	assert_int_equal(deep.gone, 0);
	for (i = 0, at = c->reply; i < DEPTH; i++) {
		snprintf(part, sizeof(part), "<%d>", i);
		at = strstr(at, part);
		assert_non_null(at);
	}
	run_deep(c, true);
	assert_true(deep.gone > 0);
	assert_non_null(strstr(c->reply, "<0>"));
	assert_null(strstr(c->reply, "<1>"));
	buffer_free(&sends);
	free(c);
}

/* Sends what is given and reads to the end of file into the client's reply. */
static void finish(struct client *c, int fd, const char *sends)
{
	send_all(fd, sends, strlen(sends));
	read_reply(c, fd);
	close(fd);
}

#define LONG_HEAD "POST /a HTTP/1.1\r\nContent-Length: 20\r\n" H END

static void *share_memory(void *arg)
{
	struct client *c = arg;
	int first = connect_to(&c->to), second = connect_to(&c->to), third, i;
	char byte;

	send_all(first, LONG_HEAD "a", strlen(LONG_HEAD) + 1);
	usleep(100000);
	finish(c, second,
	       "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n" H END
	       "5\r\nabcde\r\n7\r\nabcdefg\r\n");
	assert_non_null(strstr(c->reply, "HTTP/1.1 503 "));
	third = connect_to(&c->to);
	send_all(third, LONG_HEAD "a", strlen(LONG_HEAD) + 1);
	assert_int_equal(recv(third, &byte, 1, MSG_PEEK), 1);
	for (i = 0; i < 5; i++) {
		send_all(third, "aa", 2);
		usleep(20000);
	}
	finish(c, third, "");
	assert_non_null(strstr(c->reply, "HTTP/1.1 503 "));
	assert_non_null(strstr(c->reply, "retry-after: "));
	assert_non_null(strstr(c->reply, "\"outcome\":\"not-run\"}"));
	finish(c, first, "aaaaaaaaaaaaaaaaaaa");
	assert_non_null(strstr(c->reply, "HTTP/1.1 200 "));
	finish(c, connect_to(&c->to), LONG_HEAD "bbbbbbbbbbbbbbbbbbbb");
	assert_non_null(strstr(c->reply, "HTTP/1.1 200 "));
	net_stop(c->net);
	return NULL;
}

/*
 * Bodies that were still being read counted for nothing: callers that sent some
 * at once took the process over its memory. Now one that does not fit gets a
 * whole 503, also while its caller goes on sending.
 */
static void bodies_being_read_share_memory(void **state)
{
	struct client *c = calloc(1, sizeof(*c));
	struct server_log server_log;
	pthread_t thread;

	(void)state;
	open_server(&server_log, &c->to);
	net_limit_requests(server_log.net, 30);
	c->net = server_log.net;
	assert_int_equal(pthread_create(&thread, NULL, share_memory, c), 0);
	net_run(server_log.net);
	pthread_join(thread, NULL);
	assert_int_equal(server_log.requests, 2);
	net_close(server_log.net);
	free(c);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(requests_get_expected_responses),
		cmocka_unit_test(head_and_no_content_have_no_body),
		cmocka_unit_test(disconnected_caller_is_reported),
		cmocka_unit_test(drain_serves_open_and_new_requests),
		cmocka_unit_test(pipelined_responses_keep_request_order),
		cmocka_unit_test(responding_calls_no_handler),
		cmocka_unit_test(bodies_being_read_share_memory),
		cmocka_unit_test(connections_are_bounded_and_counted),
		cmocka_unit_test(idle_connections_are_closed_at_the_limit),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
