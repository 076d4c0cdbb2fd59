#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include <arpa/inet.h>
#include <pthread.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/net.h"
#include "store/store.h"

#define CALL_TIMEOUT_US (300 * USEC_PER_MSEC)
#define TICK_US (5 * USEC_PER_MSEC)
#define FLOOD_CALLS 400

#define CHUNKS_MAX 4

/* A response: a body with its status, or chunks, or raw bytes. */
struct reply {
	const char *raw;
	const char *body;
	const char *chunks[CHUNKS_MAX];
	int status;
	int missing; /* bytes of Content-Length that are not sent */
	bool hold;   /* keeps the connection open afterwards */
};

/* A server that sends the same reply to every request. */
struct server {
	int fd;
	struct addr addr;
	const struct reply *reply;
	pthread_mutex_t mutex;
	char last_request[4096];
	int requests;
};

#define SERVERS_MAX 32

/* Static, as threads of earlier tests may still use their server. */
static struct server servers[SERVERS_MAX];
static int server_count;

struct connection {
	struct server *server;
	int fd;
};

static void read_request(struct connection *c, char *buf, size_t size)
{
	const char *length, *body;
	size_t len = 0;
	ssize_t n;

	while ((n = read(c->fd, buf + len, size - 1 - len)) > 0) {
		len += (size_t)n;
		buf[len] = 0;
		body = strstr(buf, "\r\n\r\n");
		length = strcasestr(buf, "content-length:");
		if (body && length &&
		    strlen(body + 4) >= strtoul(length + 15, NULL, 10))
			return;
	}
}

static void write_reply(int fd, const struct reply *r)
{
	int i;

	if (r->raw) {
		dprintf(fd, "%s", r->raw);
	} else if (r->body) {
		dprintf(fd, "HTTP/1.1 %d -\r\nContent-Length: %d\r\n\r\n%s",
			r->status, (int)strlen(r->body) + r->missing, r->body);
	} else {
		dprintf(fd, "HTTP/1.1 200 -\r\n"
			    "Transfer-Encoding: chunked\r\n\r\n");
		for (i = 0; i < CHUNKS_MAX && r->chunks[i]; i++)
			dprintf(fd, "%zx\r\n%s\r\n", strlen(r->chunks[i]),
				r->chunks[i]);
		if (!r->hold)
			dprintf(fd, "0\r\n\r\n");
	}
}

static void *serve(void *arg)
{
	struct connection *c = arg;
	struct server *s = c->server;
	char buf[4096] = "", rest;

	read_request(c, buf, sizeof(buf));
	pthread_mutex_lock(&s->mutex);
	memcpy(s->last_request, buf, sizeof(buf));
	s->requests += *buf != 0;
	pthread_mutex_unlock(&s->mutex);
	write_reply(c->fd, s->reply);
	while (s->reply->hold && read(c->fd, &rest, 1) > 0)
		;
	close(c->fd);
	free(c);
	return NULL;
}

static void *accept_all(void *arg)
{
	struct server *s = arg;
	pthread_t thread;
	int fd;

	while ((fd = accept(s->fd, NULL, NULL)) >= 0) {
		struct connection *c = malloc(sizeof(*c));

		c->server = s;
		c->fd = fd;
		pthread_create(&thread, NULL, serve, c);
		pthread_detach(thread);
	}
	return NULL;
}

static struct server *start_server(const struct reply *reply)
{
	struct sockaddr_in in = {.sin_family = AF_INET};
	struct server *s = &servers[server_count++];
	socklen_t len = sizeof(in);
	char text[ADDR_TEXT_SIZE];
	pthread_t thread;

	in.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	s->reply = reply;
	pthread_mutex_init(&s->mutex, NULL);
	s->fd = socket(AF_INET, SOCK_STREAM, 0);
	assert_int_equal(bind(s->fd, (struct sockaddr *)&in, len), 0);
	assert_int_equal(listen(s->fd, 64), 0);
	getsockname(s->fd, (struct sockaddr *)&in, &len);
	snprintf(text, sizeof(text), "127.0.0.1:%d", ntohs(in.sin_port));
	addr_parse(&s->addr, text);
	pthread_create(&thread, NULL, accept_all, s);
	pthread_detach(thread);
	return s;
}

static struct {
	struct net *net;
	struct store *store;
	int reports_awaited; /* the event loop stops after these */
	int outcomes[STORE_UNKNOWN + 1];
	int64_t revision;
	char watch_log[256];
	int64_t clock_offset_us; /* added to the time passed to store_tick */
} fixture;

static void count_report(void)
{
	if (!--fixture.reports_awaited)
		net_stop(fixture.net);
}

static void on_tick(void *ctx, int64_t now)
{
	(void)ctx;
	if (fixture.store)
		store_tick(fixture.store, now + fixture.clock_offset_us);
}

static void open_store(const struct addr *a)
{
	struct store_options o = {.kind = STORE_ETCD, .addr = *a};
	struct error err;

	memset(&fixture, 0, sizeof(fixture));
	fixture.net = net_open(&err);
	assert_non_null(fixture.net);
	o.net = fixture.net;
	fixture.store = store_open(&o, &err);
	assert_non_null(fixture.store);
	net_every(fixture.net, TICK_US, on_tick, NULL);
}

static void close_store(void)
{
	store_close(fixture.store);
	net_close(fixture.net);
}

static void on_done(void *ctx, uint64_t tag, const struct store_result *r,
		    int64_t now)
{
	(void)ctx;
	(void)tag;
	(void)now;
	fixture.outcomes[r->outcome]++;
	fixture.revision = r->revision;
	count_report();
}

static void put(void)
{
	struct store_write write = {"k", "v", 1, 0, false};
	struct store_op op = {.kind = STORE_TXN,
			      .timeout_us = CALL_TIMEOUT_US,
			      .txn = {.writes = &write, .write_count = 1}};
	struct store_done done = {.fn = on_done};

	fixture.reports_awaited++;
	store_submit(fixture.store, &op, &done, clock_monotonic_us());
}

struct reply_case {
	struct reply reply;
	enum store_outcome outcome;
};

static void failures_without_effect_are_not_done(void **state)
{
	static const struct reply_case cases[] = {
		{{.status = 200,
		  .body = "{\"header\":{},\"succeeded\":true}",
		  .hold = true},
		 STORE_DONE},
		{{.status = 400,
		  .body = "{\"code\":3,\"message\":\"duplicate key\"}",
		  .hold = true},
		 STORE_NOT_DONE},
		{{.status = 503,
		  .body = "{\"code\":14,\"message\":\"leader changed\"}",
		  .hold = true},
		 STORE_UNKNOWN},
		{{.status = 400, .body = "<p/>", .hold = true}, STORE_UNKNOWN},
		{{.status = 200, .body = "{}", .hold = true}, STORE_UNKNOWN},
		{{.status = 200, .body = "{\"he", .missing = 9}, STORE_UNKNOWN},
		{{.status = 200, .body = "{", .missing = 9, .hold = true},
		 STORE_UNKNOWN},
		{{.raw = "garbage\r\n\r\n"}, STORE_UNKNOWN},
		/* The server closes the connection without a response. */
		{{.raw = ""}, STORE_UNKNOWN},
		/* The server sends no response before the timeout. */
		{{.raw = "", .hold = true}, STORE_UNKNOWN},
	};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		struct server *s = start_server(&cases[i].reply);

		open_store(&s->addr);
		put();
		net_run(fixture.net);
		assert_int_equal(fixture.outcomes[cases[i].outcome], 1);
		close_store();
		shutdown(s->fd, SHUT_RDWR);
	}
}

static void refused_connections_are_not_done(void **state)
{
	static const struct reply none = {.raw = ""};
	struct server *s = start_server(&none);

	(void)state;
	shutdown(s->fd, SHUT_RDWR);
	close(s->fd);
	open_store(&s->addr);
	put();
	net_run(fixture.net);
	assert_int_equal(fixture.outcomes[STORE_NOT_DONE], 1);
	close_store();
}

/* Calls over the limit of calls in flight are queued and time out unsent. */
static void every_call_ends_when_the_store_is_unresponsive(void **state)
{
	static const struct reply unresponsive = {.raw = "", .hold = true};
	struct server *s = start_server(&unresponsive);
	int i;

	(void)state;
	open_store(&s->addr);
	for (i = 0; i < FLOOD_CALLS; i++)
		put();
	net_run(fixture.net);
	assert_int_equal(fixture.outcomes[STORE_UNKNOWN] +
				 fixture.outcomes[STORE_NOT_DONE],
			 FLOOD_CALLS);
	assert_true(fixture.outcomes[STORE_NOT_DONE] > 0);
	pthread_mutex_lock(&s->mutex);
	assert_in_range(s->requests, 1, fixture.outcomes[STORE_UNKNOWN]);
	pthread_mutex_unlock(&s->mutex);
	close_store();
	shutdown(s->fd, SHUT_RDWR);
}

static void on_event(void *ctx, const struct store_entry *e, int64_t now)
{
	size_t n = strlen(fixture.watch_log);

	(void)ctx;
	(void)now;
	snprintf(fixture.watch_log + n, sizeof(fixture.watch_log) - n,
		 "%s=%.*s@%d ", e->key, e->value ? (int)e->len : 4,
		 e->value ? (const char *)e->value : "gone",
		 (int)e->mod_revision);
	count_report();
}

static void on_ended(void *ctx, const struct error *err, int64_t now)
{
	size_t n = strlen(fixture.watch_log);

	(void)ctx;
	(void)now;
	snprintf(fixture.watch_log + n, sizeof(fixture.watch_log) - n,
		 "ended:%s", err->text);
	count_report();
}

#define CREATED "{\"result\":{\"header\":{\"revision\":\"6\"}}}\n"
#define WRITTEN                                               \
	"{\"result\":{\"events\":[{\"kv\":{\"key\":\"cC9h\"," \
	"\"mod_revision\":\"7\",\"value\":\"dg==\"}}]}}\n"
#define REMOVED                                                  \
	"{\"result\":{\"events\":[{\"type\":\"DELETE\",\"kv\":{" \
	"\"key\":\"cC9h\",\"mod_revision\":\"8\"}}]}}\n"
#define CANCELED "{\"result\":{\"canceled\":true,\"compact_revision\":\"9\"}}\n"

struct watch_case {
	struct reply reply;
	int reports;
	const char *watch_log;
};

static void watches_report_events_and_their_end(void **state)
{
	static const struct watch_case cases[] = {
		{{.chunks = {CREATED, WRITTEN REMOVED}, .hold = true},
		 2,
		 "p/a=v@7 p/a=gone@8 "},
		/* A message split over three chunks. */
		{{.chunks = {CREATED "{\"result\":{\"eve", "nts\":[{\"kv\":{",
			     "\"key\":\"cC9h\",\"mod_revision\":\"7\"}}]}}\n"},
		  .hold = true},
		 1,
		 "p/a=@7 "},
		{{.chunks = {CREATED}}, 1, "ended:the stream ended"},
		{{.chunks = {"garbage\n"}, .hold = true},
		 1,
		 "ended:answer is not the gateway's"},
		{{.chunks = {CANCELED}, .hold = true},
		 1,
		 "ended:ended by the store, compacted at revision 9"},
		{{.raw = ""}, 1, "ended:the peer closed"},
	};
	struct store_watch w = {"p/", 6, NULL, on_event, on_ended};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		struct server *s = start_server(&cases[i].reply);

		open_store(&s->addr);
		fixture.reports_awaited = cases[i].reports;
		store_watch_start(fixture.store, &w, clock_monotonic_us());
		net_run(fixture.net);
		assert_string_equal(fixture.watch_log, cases[i].watch_log);
		assert_non_null(
			strstr(s->last_request, "\"start_revision\":\"6\""));
		close_store();
		shutdown(s->fd, SHUT_RDWR);
	}
}

/* A stream's connection may die undetected, so streams are replaced. */
static void old_streams_are_replaced_without_a_gap(void **state)
{
	static const struct reply reply = {.chunks = {WRITTEN}, .hold = true};
	struct store_watch w = {"p/", 6, NULL, on_event, on_ended};
	struct server *s = start_server(&reply);

	(void)state;
	open_store(&s->addr);
	fixture.reports_awaited = 1;
	store_watch_start(fixture.store, &w, clock_monotonic_us());
	net_run(fixture.net);
	fixture.clock_offset_us = 31 * USEC_PER_SEC;
	fixture.reports_awaited = 1;
	net_run(fixture.net);
	assert_non_null(strstr(s->last_request, "\"start_revision\":\"8\""));
	close_store();
	shutdown(s->fd, SHUT_RDWR);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(failures_without_effect_are_not_done),
		cmocka_unit_test(refused_connections_are_not_done),
		cmocka_unit_test(
			every_call_ends_when_the_store_is_unresponsive),
		cmocka_unit_test(watches_report_events_and_their_end),
		cmocka_unit_test(old_streams_are_replaced_without_a_gap),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
