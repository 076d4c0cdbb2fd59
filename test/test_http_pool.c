#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include <netinet/in.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/net.h"

#define BODY_LIMIT 1000
#define LONG_US (20 * USEC_PER_SEC)
#define SHORT_US (50 * USEC_PER_MSEC)

enum ending {
	HOLD,  /* keeps the connection open until the client closes it */
	CLOSE, /* closes after the response */
	RESET, /* resets after the response */
	RESPOND_TWICE,	 /* responds to a second request, then as HOLD */
	RESPOND_IN_PART, /* to a second request, then as HOLD */
};

/* How the peer serves one accepted connection. */
struct script {
	const char *answer;
	enum ending ending;
};

/* To the second request of a connection; NULL: the same as to the first. */
static const char *second_answer;

struct peer {
	int fd;
	struct addr addr;
	pthread_t thread;
	const struct script *scripts; /* one per connection, in order */
	size_t n;
	atomic_int requests;
	atomic_int closed; /* connections closed */
};

static bool read_head(int fd)
{
	char tail[4] = "", c;

	while (memcmp(tail, "\r\n\r\n", 4) != 0) {
		if (read(fd, &c, 1) != 1)
			return false;
		memmove(tail, tail + 1, 3);
		tail[3] = c;
	}
	return true;
}

static void serve(struct peer *p, int fd, const struct script *s)
{
	static const struct linger reset = {.l_onoff = 1};
	bool holds = s->ending != CLOSE && s->ending != RESET;
	int i, n = holds && s->ending != HOLD ? 2 : 1;
	size_t len = strlen(s->answer);
	char c;

	for (i = 0; i < n && read_head(fd); i++) {
		p->requests++;
		if (i && second_answer) {
			if (write(fd, second_answer, strlen(second_answer)) < 0)
				break;
			continue;
		}
		if (i && s->ending == RESPOND_IN_PART)
			len /= 2;
		if (write(fd, s->answer, len) < 0)
			break;
	}
	if (s->ending == RESET)
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	while (holds && read(fd, &c, 1) == 1)
		;
	close(fd);
	p->closed++;
}

static void *peer_main(void *arg)
{
	struct peer *p = arg;
	size_t i;
	int fd;

	for (i = 0; i < p->n; i++) {
		fd = accept(p->fd, NULL, NULL);
		if (fd < 0)
			break;
		serve(p, fd, &p->scripts[i]);
	}
	return NULL;
}

static int listen_any(struct addr *a)
{
	struct sockaddr_in sa = {.sin_family = AF_INET};
	socklen_t len = sizeof(sa);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(bind(fd, (struct sockaddr *)&sa, len), 0);
	assert_int_equal(listen(fd, 16), 0);
	getsockname(fd, (struct sockaddr *)&sa, &len);
	addr_parse(a, "127.0.0.1:0");
	a->port = ntohs(sa.sin_port);
	return fd;
}

static void peer_start(struct peer *p, const struct script *scripts, size_t n)
{
	memset(p, 0, sizeof(*p));
	p->fd = listen_any(&p->addr);
	p->scripts = scripts;
	p->n = n;
	assert_int_equal(pthread_create(&p->thread, NULL, peer_main, p), 0);
}

/* A call may have reached its deadline before the peer's thread has run. */
static void wait_for_request(struct peer *p)
{
	int i;

	for (i = 0; i < LONG_US / 1000 && !p->requests; i++)
		usleep(1000);
}

static void peer_stop(struct peer *p)
{
	shutdown(p->fd, SHUT_RDWR);
	pthread_join(p->thread, NULL);
	close(p->fd);
}

/* A number of calls made one after the other, and the last result. */
struct call_sequence {
	struct net *net;
	struct http_pool *pool;
	const char *method;
	int64_t deadline_us;
	int64_t silence_us;
	int remaining;
	int done;
	enum http_call_status status;
	int http_status;
	char body[64];
	size_t body_data_len;
	uint64_t call;
	/*
	 * If set, a call starts only when this peer has closed one connection
	 * for each earlier call.
	 */
	struct peer *wait_closed;
	bool cancel_on_body_data;
	bool stream;
	const char *ids; /* of the calls, one letter each; NULL: none */
};

static void start_call(struct call_sequence *r, int64_t now);

static void call_done(void *ctx, uint64_t tag, struct http_call_result *res,
		      int64_t now)
{
	struct call_sequence *r = ctx;

	assert_int_equal(tag, 7);
	r->done++;
	r->status = res->status;
	r->http_status = res->response ? res->response->status : 0;
	r->body[0] = 0;
	if (res->response)
		snprintf(r->body, sizeof(r->body), "%.*s",
			 (int)res->response->body.len,
			 (char *)res->response->body.data);
	while (r->wait_closed && r->wait_closed->closed < r->done)
		usleep(100);
	if (--r->remaining)
		start_call(r, now);
	else
		net_stop(r->net);
}

static void call_body_data(void *ctx, uint64_t tag, const void *data,
			   size_t len, int64_t now)
{
	struct call_sequence *r = ctx;

	(void)tag;
	(void)data;
	(void)now;
	r->body_data_len += len;
	if (!r->cancel_on_body_data)
		return;
	http_call_cancel(r->pool, r->call);
	net_stop(r->net);
}

static void start_call(struct call_sequence *r, int64_t now)
{
	struct message m = {.target = (char *)"/a?b=c"};
	struct http_call c = {
		.request = &m,
		.deadline_us = now + r->deadline_us,
		.silence_us = r->silence_us,
		.ctx = r,
		.tag = 7,
		.done = call_done,
		.on_body_data = r->stream ? call_body_data : NULL,
	};
	struct header id = {(char *)"id", (char[]){0, 0}};
	struct error err;
	int done = r->done;

	if (r->ids) {
		id.value[0] = r->ids[done];
		m.headers = &id;
		m.header_count = 1;
		c.echo_header = "id";
	}
	snprintf(m.method, sizeof(m.method), "%s", r->method);
	r->call = http_call_start(r->pool, &c, now, &err);
	assert_int_not_equal(r->call, 0);
	assert_int_equal(r->done, done);
}

static void run_calls(struct call_sequence *r, const struct addr *a)
{
	struct http_pool_options o = {
		.addr = *a,
		.connections_max = 1,
		.body_limit = BODY_LIMIT,
		.idle_timeout_us = LONG_US,
	};
	struct error err;

	r->net = net_open(&err);
	assert_non_null(r->net);
	r->pool = http_pool_open(r->net, &o, &err);
	assert_non_null(r->pool);
	start_call(r, clock_monotonic_us());
	net_run(r->net);
	http_pool_close(r->pool);
	net_close(r->net);
}

#define HEAD "HTTP/1.1 200 OK\r\n"
#define CHUNKED HEAD "Transfer-Encoding: chunked\r\n\r\n"

#define FIVE "Content-Length: 5\r\n\r\n"

static const struct {
	const char *name;
	enum http_call_status status;
	int http_status;
	const char *body;
	const char *method;
	enum ending ending;
	const char *answer;
} responses[] = {
	{"complete", HTTP_COMPLETED, 200, "hello", "GET", HOLD,
	 HEAD FIVE "hello"},
	{"complete, close", HTTP_COMPLETED, 200, "hello", "GET", CLOSE,
	 HEAD FIVE "hello"},
	{"empty", HTTP_COMPLETED, 200, "", "POST", HOLD,
	 HEAD "Content-Length: 0\r\n\r\n"},
	{"chunked", HTTP_COMPLETED, 200, "hello", "GET", HOLD,
	 CHUNKED "3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n"},
	{"chunked, close", HTTP_COMPLETED, 200, "hello", "GET", CLOSE,
	 CHUNKED "5\r\nhello\r\n0\r\n\r\n"},
	{"no content", HTTP_COMPLETED, 204, "", "DELETE", HOLD,
	 "HTTP/1.1 204 No Content\r\n\r\n"},
	{"not modified", HTTP_COMPLETED, 304, "", "GET", HOLD,
	 "HTTP/1.1 304 Not Modified\r\n" FIVE},
	{"head", HTTP_COMPLETED, 200, "", "HEAD", HOLD, HEAD FIVE},
	{"redirect", HTTP_COMPLETED, 302, "", "GET", HOLD,
	 "HTTP/1.1 302 Found\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n"},
	{"unauthorized", HTTP_COMPLETED, 401, "hello", "GET", HOLD,
	 "HTTP/1.1 401 Unauthorized\r\n" FIVE "hello"},
	{"interim", HTTP_COMPLETED, 200, "hello", "POST", HOLD,
	 "HTTP/1.1 100 Continue\r\n\r\n" HEAD FIVE "hello"},
	{"other protocol", HTTP_MALFORMED, 0, "", "GET", CLOSE,
	 "SSH-2.0-x\r\n\r\n\r\n"},
	{"binary", HTTP_MALFORMED, 0, "", "GET", CLOSE, "\x16\x03\x01\r\n\r\n"},
	{"status out of range", HTTP_MALFORMED, 0, "", "GET", HOLD,
	 "HTTP/1.1 999 No\r\nContent-Length: 0\r\n\r\n"},
	{"without length", HTTP_COMPLETED, 200, "hello", "GET", CLOSE,
	 HEAD "\r\nhello"},
	{"without length, reset", HTTP_CONNECTION_LOST, 0, "", "GET", RESET,
	 HEAD "\r\nhello"},
	{"two lengths", HTTP_MALFORMED, 0, "", "GET", HOLD,
	 HEAD "Content-Length: 3\r\n" FIVE "hello"},
	{"length no number", HTTP_MALFORMED, 0, "", "GET", HOLD,
	 HEAD "Content-Length: x\r\n\r\n"},
	{"length too long", HTTP_MALFORMED, 0, "", "GET", HOLD,
	 HEAD "Content-Length: 99999999999999999999\r\n\r\n"},
	{"length and chunks", HTTP_MALFORMED, 0, "", "GET", HOLD,
	 HEAD "Transfer-Encoding: chunked\r\n" FIVE "hello"},
	{"bad chunk", HTTP_MALFORMED, 0, "", "GET", HOLD,
	 CHUNKED "zz\r\nhello\r\n0\r\n\r\n"},
	{"half body, close", HTTP_CONNECTION_LOST, 0, "", "GET", CLOSE,
	 HEAD FIVE "hel"},
	{"half body, reset", HTTP_CONNECTION_LOST, 0, "", "GET", RESET,
	 HEAD FIVE "hel"},
	{"half chunk, close", HTTP_CONNECTION_LOST, 0, "", "GET", CLOSE,
	 CHUNKED "5\r\nhel"},
	{"no last chunk, close", HTTP_CONNECTION_LOST, 0, "", "GET", CLOSE,
	 CHUNKED "5\r\nhello\r\n"},
	{"half head, close", HTTP_CONNECTION_LOST, 0, "", "GET", CLOSE,
	 HEAD "Content-Len"},
	{"nothing, close", HTTP_CONNECTION_LOST, 0, "", "POST", CLOSE, ""},
	{"nothing, reset", HTTP_CONNECTION_LOST, 0, "", "GET", RESET, ""},
	{"nothing", HTTP_TIMED_OUT, 0, "", "GET", HOLD, ""},
	{"half head", HTTP_TIMED_OUT, 0, "", "GET", HOLD, HEAD},
	{"half body", HTTP_TIMED_OUT, 0, "", "GET", HOLD, HEAD FIVE "hel"},
	{"too large", HTTP_TOO_LARGE, 0, "", "GET", HOLD,
	 HEAD "Content-Length: 1001\r\n\r\nhel"},
};

static void responses_map_to_call_statuses(void **state)
{
	struct peer peer;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(responses) / sizeof(*responses); i++) {
		const struct script script = {responses[i].answer,
					      responses[i].ending};
		struct call_sequence r = {
			.method = responses[i].method,
			.deadline_us = responses[i].status == HTTP_TIMED_OUT
					       ? SHORT_US
					       : LONG_US,
			.remaining = 1,
		};

		peer_start(&peer, &script, 1);
		run_calls(&r, &peer.addr);
		wait_for_request(&peer);
		peer_stop(&peer);
		if (r.status != responses[i].status)
			print_error("case: %s got %d\n", responses[i].name,
				    r.status);
		assert_int_equal(r.status, responses[i].status);
		assert_int_equal(r.http_status, responses[i].http_status);
		assert_string_equal(r.body, responses[i].body);
		assert_int_equal(r.done, 1);
		assert_int_equal(peer.requests, 1);
	}
}

static void refused_connection_is_unreachable(void **state)
{
	struct call_sequence r = {
		.method = "POST", .deadline_us = LONG_US, .remaining = 2};
	struct addr a;
	int fd;

	(void)state;
	fd = listen_any(&a);
	close(fd);
	run_calls(&r, &a);
	assert_int_equal(r.status, HTTP_UNREACHABLE);
	assert_int_equal(r.done, 2);
}

/*
 * The peer closes each connection while it is idle in the pool; the next call
 * must use a new one and not fail.
 */
static void no_call_is_lost_when_peer_closes_idle_connection(void **state)
{
	static const char hello[] = HEAD "Content-Length: 5\r\n\r\nhello";
	const struct script scripts[] = {
		{hello, CLOSE}, {hello, CLOSE}, {hello, CLOSE}, {hello, CLOSE}};
	struct peer peer;
	struct call_sequence r = {
		.method = "POST",
		.deadline_us = LONG_US,
		.remaining = 4,
		.wait_closed = &peer,
	};

	(void)state;
	peer_start(&peer, scripts, 4);
	run_calls(&r, &peer.addr);
	peer_stop(&peer);
	assert_int_equal(r.done, 4);
	assert_int_equal(peer.requests, 4);
	assert_int_equal(r.status, HTTP_COMPLETED);
	assert_string_equal(r.body, "hello");
}

/*
 * The peer sends a second response to one request; the next call must not
 * receive it.
 */
static void surplus_response_is_discarded(void **state)
{
	const struct script scripts[] = {
		{HEAD FIVE "hello" HEAD FIVE "wrong", HOLD},
		{HEAD FIVE "right", HOLD}};
	struct call_sequence r = {
		.method = "GET", .deadline_us = SHORT_US, .remaining = 2};
	struct peer peer;

	(void)state;
	peer_start(&peer, scripts, 2);
	run_calls(&r, &peer.addr);
	peer_stop(&peer);
	assert_string_not_equal(r.body, "wrong");
	assert_int_equal(r.done, 2);
}

static void idle_connection_is_reused(void **state)
{
	const struct script script = {HEAD "Content-Length: 5\r\n\r\nhello",
				      RESPOND_TWICE};
	struct call_sequence r = {
		.method = "PUT", .deadline_us = LONG_US, .remaining = 2};
	struct peer peer;

	(void)state;
	peer_start(&peer, &script, 1);
	run_calls(&r, &peer.addr);
	peer_stop(&peer);
	assert_int_equal(r.status, HTTP_COMPLETED);
	assert_int_equal(peer.requests, 2);
}

#define REFUSAL(id) "HTTP/1.1 503 No\r\n" id "Content-Length: 0\r\n\r\n"
#define ANSWER(id, body) HEAD id "Content-Length: 5\r\n\r\n" body

static const struct {
	const char *name, *ids, *second;
	struct script scripts[2];
	enum http_call_status status;
	int http_status;
	const char *body;
} repeats[] = {
	{"of the same id",
	 "AA",
	 REFUSAL("id: A\r\n") ANSWER("id: A\r\n", "wrong"),
	 {{REFUSAL("id: A\r\n"), RESPOND_TWICE},
	  {ANSWER("id: A\r\n", "right"), HOLD}},
	 HTTP_COMPLETED,
	 200,
	 "right"},
	{"of another id",
	 "AB",
	 REFUSAL("id: A\r\n") ANSWER("id: B\r\n", "right"),
	 {{REFUSAL("id: A\r\n"), RESPOND_TWICE}},
	 HTTP_COMPLETED,
	 200,
	 "right"},
	{"without an id",
	 "AB",
	 REFUSAL("") ANSWER("id: B\r\n", "right"),
	 {{REFUSAL("id: A\r\n"), RESPOND_TWICE}},
	 HTTP_MALFORMED,
	 0,
	 ""},
	{"success without an id",
	 "AB",
	 ANSWER("", "first"),
	 {{ANSWER("id: A\r\n", "first"), RESPOND_TWICE}},
	 HTTP_MALFORMED,
	 0,
	 ""},
	{"once, without an id",
	 "A",
	 NULL,
	 {{REFUSAL(""), HOLD}},
	 HTTP_COMPLETED,
	 503,
	 ""},
};

/*
 * A peer wrote an earlier refusal once more on a kept connection, and the next
 * request got it: as "not run", though the peer was running it. The system's
 * own second try has the id of the first.
 */
static void repeated_refusals_answer_no_request(void **state)
{
	struct peer peer;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(repeats) / sizeof(*repeats); i++) {
		struct call_sequence r = {.method = "POST",
					  .deadline_us = LONG_US,
					  .ids = repeats[i].ids,
					  .remaining =
						  (int)strlen(repeats[i].ids)};

		second_answer = repeats[i].second;
		peer_start(&peer, repeats[i].scripts,
			   repeats[i].scripts[1].answer ? 2 : 1);
		run_calls(&r, &peer.addr);
		peer_stop(&peer);
		if (r.status != repeats[i].status)
			print_error("case: %s got %d\n", repeats[i].name,
				    r.status);
		assert_int_equal(r.status, repeats[i].status);
		assert_int_equal(r.http_status, repeats[i].http_status);
		assert_string_equal(r.body, repeats[i].body);
	}
	second_answer = NULL;
}

/*
 * A peer that stopped within the head of its answer and closed: the answer was
 * passed on as whole, with an empty or short body. Ends each answer after each
 * of its bytes.
 */
static void answers_that_end_early_are_not_whole(void **state)
{
	static const struct {
		const char *answer;
		size_t head; /* of an answer that ends with its connection */
	} cases[] = {
		{HEAD "id: A\r\n" FIVE "hello", 0},
		{HEAD "Content-Length: 0\r\nid: A\r\n\r\n", 0},
		{CHUNKED "3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n", 0},
		{CHUNKED "5;x=y\r\nhello\r\n0\r\nid: A\r\n\r\n", 0},
		{"HTTP/1.1 100 Continue\r\n\r\n" ANSWER("id: A\r\n", "hello"),
		 0},
		{REFUSAL("id: Z\r\n") ANSWER("id: A\r\n", "hello"), 0},
		{"HTTP/1.1 204 None\r\nid: A\r\n\r\n", 0},
		{HEAD "Connection: close\r\n\r\nhello",
		 strlen(HEAD "Connection: close\r\n\r\n")},
		{"HTTP/1.0 200 OK\r\n\r\nhello",
		 strlen("HTTP/1.0 200 OK\r\n\r\n")},
	};
	static const enum ending endings[] = {CLOSE, RESET};
	struct script script;
	struct peer peer;
	char part[200];
	size_t i, len, e;
	bool ends_well;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++)
		for (len = 0; len < 2 * strlen(cases[i].answer); len++) {
			struct call_sequence r = {.method = "GET",
						  .deadline_us = LONG_US,
						  .ids = "A",
						  .remaining = 1};

			e = len % 2;
			snprintf(part, sizeof(part), "%.*s", (int)(len / 2),
				 cases[i].answer);
			script = (struct script){part, endings[e]};
			ends_well = endings[e] == CLOSE && cases[i].head &&
				    len / 2 >= cases[i].head;
			peer_start(&peer, &script, 1);
			run_calls(&r, &peer.addr);
			peer_stop(&peer);
			if ((r.status == HTTP_COMPLETED) != ends_well)
				print_error("case %zu ended after %zu\n", i,
					    len / 2);
			assert_int_equal(r.status == HTTP_COMPLETED, ends_well);
		}
}

/*
 * A connection that went silent while it was idle: a request that may be
 * repeated waited on it until its deadline.
 */
static void silent_connection_is_replaced(void **state)
{
	const struct script scripts[] = {{HEAD FIVE "hello", HOLD},
					 {HEAD FIVE "again", HOLD}};
	struct call_sequence r = {.method = "GET",
				  .deadline_us = LONG_US,
				  .silence_us = SHORT_US,
				  .remaining = 2};
	struct peer peer;

	(void)state;
	peer_start(&peer, scripts, 2);
	run_calls(&r, &peer.addr);
	peer_stop(&peer);
	assert_int_equal(r.status, HTTP_COMPLETED);
	assert_string_equal(r.body, "again");
}

/*
 * A new connection that went silent after it was opened: the first request on
 * it waited until its deadline.
 */
static void silent_new_connection_is_replaced(void **state)
{
	const struct script scripts[] = {{"", HOLD}, {HEAD FIVE "again", HOLD}};
	struct call_sequence r = {.method = "GET",
				  .deadline_us = LONG_US / 10,
				  .silence_us = SHORT_US,
				  .remaining = 1};
	struct peer peer;

	(void)state;
	peer_start(&peer, scripts, 2);
	run_calls(&r, &peer.addr);
	peer_stop(&peer);
	assert_int_equal(r.status, HTTP_COMPLETED);
	assert_string_equal(r.body, "again");
}

/* As above, where the connection goes silent within a response. */
static void silence_within_response_is_noticed(void **state)
{
	const struct script scripts[] = {{HEAD FIVE "hello", RESPOND_IN_PART},
					 {HEAD FIVE "again", HOLD}};
	struct call_sequence r = {.method = "GET",
				  .deadline_us = LONG_US,
				  .silence_us = SHORT_US,
				  .remaining = 2};
	struct peer peer;

	(void)state;
	peer_start(&peer, scripts, 2);
	run_calls(&r, &peer.addr);
	peer_stop(&peer);
	assert_int_equal(r.status, HTTP_COMPLETED);
	assert_string_equal(r.body, "again");
}

/* Without silence_us, a request is sent once and waits. */
static void silent_connection_ends_other_calls_at_deadline(void **state)
{
	const struct script scripts[] = {{HEAD FIVE "hello", HOLD},
					 {HEAD FIVE "again", HOLD}};
	struct call_sequence r = {
		.method = "POST", .deadline_us = SHORT_US, .remaining = 2};
	struct peer peer;

	(void)state;
	peer_start(&peer, scripts, 2);
	run_calls(&r, &peer.addr);
	peer_stop(&peer);
	assert_int_equal(r.status, HTTP_TIMED_OUT);
}

#define LARGE_BYTES 300000

static char *large_answer(void)
{
	char *text = malloc(LARGE_BYTES + 100);
	int n = sprintf(text, HEAD "Content-Length: %d\r\n\r\n", LARGE_BYTES);

	memset(text + n, 'x', LARGE_BYTES);
	text[n + LARGE_BYTES] = 0;
	return text;
}

/* Large responses beyond the limit wait, and arrive whole. */
static void large_responses_wait_for_memory(void **state)
{
	char *text = large_answer();
	const struct script script = {text, HOLD};
	struct call_sequence r[3];
	struct peer peers[3];
	struct error err;
	struct net *net = net_open(&err);
	int i, done;

	(void)state;
	net_limit_bodies(net, LARGE_BYTES + 1);
	for (i = 0; i < 3; i++) {
		struct http_pool_options o = {.connections_max = 1,
					      .body_limit = 2 * LARGE_BYTES,
					      .idle_timeout_us = LONG_US,
					      .bodies_wait = true};

		peer_start(&peers[i], &script, 1);
		o.addr = peers[i].addr;
		r[i] = (struct call_sequence){.net = net,
					      .method = "GET",
					      .deadline_us = LONG_US,
					      .remaining = 1};
		r[i].pool = http_pool_open(net, &o, &err);
		start_call(&r[i], clock_monotonic_us());
	}
	do {
		net_run(net);
		for (i = 0, done = 0; i < 3; i++)
			done += r[i].done;
	} while (done < 3);
	for (i = 0; i < 3; i++) {
		assert_int_equal(r[i].status, HTTP_COMPLETED);
		assert_string_equal(r[i].body + 60, "xxx");
		http_pool_close(r[i].pool);
	}
	net_close(net);
	for (i = 0; i < 3; i++)
		peer_stop(&peers[i]);
	free(text);
}

static void body_data_stops_after_cancel(void **state)
{
	const struct script script = {CHUNKED "5\r\nhello\r\n", HOLD};
	struct call_sequence r = {
		.method = "POST",
		.deadline_us = LONG_US,
		.remaining = 1,
		.stream = true,
		.cancel_on_body_data = true,
	};
	struct peer peer;

	(void)state;
	peer_start(&peer, &script, 1);
	run_calls(&r, &peer.addr);
	peer_stop(&peer); /* returns once the client has closed */
	assert_int_equal(r.body_data_len, 5);
	assert_int_equal(r.done, 0);
}

struct result_counts {
	struct net *net;
	int by_status[HTTP_TIMED_OUT + 1];
	int remaining;
};

static void count_result(void *ctx, uint64_t tag, struct http_call_result *r,
			 int64_t now)
{
	struct result_counts *c = ctx;

	(void)tag;
	(void)now;
	c->by_status[r->status]++;
	if (!--c->remaining)
		net_stop(c->net);
}

static void stop_loop(void *ctx, int64_t now)
{
	(void)now;
	net_stop(ctx);
}

/*
 * Three calls share one connection to a peer that never responds. The two that
 * wait must end as not sent, by their deadline or when the pool is closed.
 */
static void waiting_calls_end_as_not_sent(void **state)
{
	static const int64_t deadlines[] = {SHORT_US, LONG_US};
	const struct script silent = {"", HOLD};
	struct http_pool_options o = {.connections_max = 1,
				      .body_limit = BODY_LIMIT};
	struct message m = {.method = "GET", .target = (char *)"/"};
	struct result_counts c;
	struct http_pool *pool;
	struct http_call call = {
		.request = &m, .ctx = &c, .done = count_result};
	struct peer peer;
	struct error err;
	size_t i;
	int n;

	(void)state;
	for (i = 0; i < 2; i++) {
		peer_start(&peer, &silent, 1);
		memset(&c, 0, sizeof(c));
		c.remaining = 3;
		c.net = net_open(&err);
		o.addr = peer.addr;
		pool = http_pool_open(c.net, &o, &err);
		for (n = 0; n < 3; n++) {
			int64_t now = clock_monotonic_us();

			call.deadline_us = now + deadlines[i] / (n ? 2 : 1);
			assert_int_not_equal(
				http_call_start(pool, &call, now, &err), 0);
		}
		net_at(c.net, clock_monotonic_us() + 2 * SHORT_US, stop_loop,
		       c.net);
		net_run(c.net);
		http_pool_close(pool);
		net_close(c.net);
		peer_stop(&peer);
		assert_int_equal(c.by_status[HTTP_NOT_SENT], 2);
		assert_int_equal(
			c.by_status[i ? HTTP_CONNECTION_LOST : HTTP_TIMED_OUT],
			1);
		assert_int_equal(peer.requests, 1);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(responses_map_to_call_statuses),
		cmocka_unit_test(refused_connection_is_unreachable),
		cmocka_unit_test(
			no_call_is_lost_when_peer_closes_idle_connection),
		cmocka_unit_test(surplus_response_is_discarded),
		cmocka_unit_test(repeated_refusals_answer_no_request),
		cmocka_unit_test(answers_that_end_early_are_not_whole),
		cmocka_unit_test(idle_connection_is_reused),
		cmocka_unit_test(large_responses_wait_for_memory),
		cmocka_unit_test(silent_connection_is_replaced),
		cmocka_unit_test(silent_new_connection_is_replaced),
		cmocka_unit_test(silence_within_response_is_noticed),
		cmocka_unit_test(
			silent_connection_ends_other_calls_at_deadline),
		cmocka_unit_test(body_data_stops_after_cancel),
		cmocka_unit_test(waiting_calls_end_as_not_sent),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
