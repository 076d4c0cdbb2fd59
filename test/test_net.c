#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include <netinet/in.h>
#include <pthread.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/net.h"

#define GUARD_US (5 * USEC_PER_SEC)
#define STEP_US (3 * USEC_PER_MSEC)
#define MARKS 4

struct timer_log {
	struct net *net;
	int64_t due_us[MARKS];
	char order[MARKS + 1];
	int fired;
	bool early;
};

struct timed_mark {
	struct timer_log *timer_log;
	int number;
};

static void guard_fired(void *ctx, int64_t now)
{
	struct timer_log *s = ctx;

	(void)now;
	s->fired = -1;
	net_stop(s->net);
}

static void mark_fired(void *ctx, int64_t now)
{
	const struct timed_mark *m = ctx;
	struct timer_log *s = m->timer_log;

	s->early = s->early || now < s->due_us[m->number];
	s->order[s->fired++] = (char)('0' + m->number);
	if (s->fired == MARKS)
		net_stop(s->net);
}

static void set_mark(struct timed_mark *m, int64_t at_us)
{
	m->timer_log->due_us[m->number] = at_us;
	assert_int_equal(net_at(m->timer_log->net, at_us, mark_fired, m), 0);
}

static void set_marks_in_reverse(void *ctx, int64_t now)
{
	struct timed_mark *marks = ctx;
	int i;

	for (i = MARKS - 1; i >= 0; i--)
		set_mark(&marks[i], now + i * STEP_US);
}

/* Timers set by a timer in reverse order, while a later one is pending. */
static void timers_fire_in_order_and_not_early(void **state)
{
	struct timer_log s = {.net = net_open(NULL)};
	int64_t now = clock_monotonic_us();
	struct timed_mark marks[MARKS];
	int i;

	(void)state;
	assert_non_null(s.net);
	for (i = 0; i < MARKS; i++)
		marks[i] = (struct timed_mark){&s, i};
	assert_int_equal(net_at(s.net, now + GUARD_US, guard_fired, &s), 0);
	assert_int_equal(net_at(s.net, now, set_marks_in_reverse, marks), 0);
	net_run(s.net);
	assert_int_equal(s.fired, MARKS);
	assert_string_equal(s.order, "0123");
	assert_false(s.early);
	net_close(s.net);
}

static void third_tick(void *ctx, int64_t now)
{
	struct timer_log *s = ctx;

	(void)now;
	if (++s->fired == 3)
		net_stop(s->net);
}

static void periodic_timer_repeats_until_close(void **state)
{
	struct timer_log s = {.net = net_open(NULL)};

	(void)state;
	assert_int_equal(net_every(s.net, 0, third_tick, &s), -1);
	assert_int_equal(net_every(s.net, STEP_US, third_tick, &s), 0);
	net_run(s.net);
	assert_int_equal(s.fired, 3);
	net_close(s.net);
	assert_int_equal(s.fired, 3);
}

static void no_timer_fires_if_stopped_before_run(void **state)
{
	struct timer_log s = {.net = net_open(NULL)};
	int64_t now = clock_monotonic_us();

	(void)state;
	assert_int_equal(net_at(s.net, now + GUARD_US, guard_fired, &s), 0);
	net_stop(s.net);
	net_run(s.net);
	assert_int_equal(s.fired, 0);
	net_close(s.net);
	assert_int_equal(s.fired, 0);
}

static void *stop_later(void *ctx)
{
	usleep(20 * USEC_PER_MSEC);
	net_stop(ctx);
	return NULL;
}

static void net_stop_from_another_thread_ends_run(void **state)
{
	struct timer_log s = {.net = net_open(NULL)};
	int64_t now = clock_monotonic_us();
	pthread_t thread;

	(void)state;
	assert_int_equal(net_at(s.net, now + GUARD_US, guard_fired, &s), 0);
	assert_int_equal(pthread_create(&thread, NULL, stop_later, s.net), 0);
	net_run(s.net);
	pthread_join(thread, NULL);
	assert_int_equal(s.fired, 0);
	net_close(s.net);
}

struct call_counts {
	struct net *net;
	int timed_out, other;
};

static void ignore_request(void *ctx, uint64_t exchange, struct message *msg,
			   const char *peer, int64_t now)
{
	(void)ctx;
	(void)exchange;
	(void)msg;
	(void)peer;
	(void)now;
}

static void caller_gone(void *ctx, uint64_t exchange, int64_t now)
{
	(void)ctx;
	(void)exchange;
	(void)now;
}

static void count_call(void *ctx, uint64_t tag, struct http_call_result *r,
		       int64_t now)
{
	struct call_counts *u = ctx;

	(void)tag;
	(void)now;
	if (r->status == HTTP_TIMED_OUT)
		u->timed_out++;
	else
		u->other++;
	net_stop(u->net);
}

/* net_close must free connections, exchanges and calls still open. */
static void open_connections_are_freed_by_net_close(void **state)
{
	struct call_counts u = {.net = net_open(NULL)};
	struct http_server_options so = {.connections_max = 4,
					 .body_limit = 100,
					 .on_request = ignore_request,
					 .on_abandoned = caller_gone};
	struct http_pool_options po = {.connections_max = 2,
				       .body_limit = 100,
				       .idle_timeout_us = GUARD_US};
	struct message m = {.method = "GET", .target = "/"};
	struct http_call call = {.request = &m, .ctx = &u, .done = count_call};
	int64_t now = clock_monotonic_us();
	struct http_server *server;
	struct http_pool *pool;

	(void)state;
	addr_parse(&so.listen, "127.0.0.1:0");
	server = http_server_open(u.net, &so, NULL);
	assert_non_null(server);
	http_server_addr(server, &po.addr);
	pool = http_pool_open(u.net, &po, NULL);
	assert_non_null(pool);
	call.deadline_us = now + 100 * USEC_PER_MSEC;
	assert_int_not_equal(http_call_start(pool, &call, now, NULL), 0);
	call.deadline_us = now + 4 * GUARD_US;
	assert_int_not_equal(http_call_start(pool, &call, now, NULL), 0);
	net_run(u.net);
	net_close(u.net);
	assert_int_equal(u.timed_out, 1);
	assert_int_equal(u.other, 0);
}

struct disconnecting_caller {
	struct net *net;
	struct addr addr;
	int fd;
	int gone, guard_fires;
};

static void disconnect_caller(void *ctx, uint64_t exchange, struct message *msg,
			      const char *peer, int64_t now)
{
	struct disconnecting_caller *l = ctx;

	(void)exchange;
	(void)msg;
	(void)peer;
	(void)now;
	close(l->fd);
}

static void count_gone(void *ctx, uint64_t exchange, int64_t now)
{
	struct disconnecting_caller *l = ctx;

	(void)exchange;
	(void)now;
	l->gone++;
	net_stop(l->net);
}

static void guard_expired(void *ctx, int64_t now)
{
	struct disconnecting_caller *l = ctx;

	(void)now;
	l->guard_fires++;
	net_stop(l->net);
}

static void send_request(void *ctx, int64_t now)
{
	static const char text[] = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
	struct disconnecting_caller *l = ctx;

	(void)now;
	assert_int_equal(write(l->fd, text, sizeof(text) - 1),
			 sizeof(text) - 1);
}

/*
 * A socket stays readable after the peer has closed it, so the loop is never
 * idle. The server must still report the disconnect. The connection is idle
 * for a while before its request, so that a timeout is pending.
 */
static void disconnect_is_reported_on_a_busy_loop(void **state)
{
	struct disconnecting_caller l = {.net = net_open(NULL)};
	struct http_server_options so = {.connections_max = 4,
					 .body_limit = 100,
					 .ctx = &l,
					 .on_request = disconnect_caller,
					 .on_abandoned = count_gone};
	struct sockaddr_in to = {.sin_family = AF_INET};
	int64_t now = clock_monotonic_us();
	struct http_server *server;

	(void)state;
	addr_parse(&so.listen, "127.0.0.1:0");
	server = http_server_open(l.net, &so, NULL);
	assert_non_null(server);
	http_server_addr(server, &l.addr);
	to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	to.sin_port = htons(l.addr.port);
	l.fd = socket(AF_INET, SOCK_STREAM, 0);
	assert_int_equal(connect(l.fd, (struct sockaddr *)&to, sizeof(to)), 0);
	net_at(l.net, now + 100 * USEC_PER_MSEC, send_request, &l);
	net_at(l.net, now + GUARD_US, guard_expired, &l);
	net_run(l.net);
	assert_int_equal(l.gone, 1);
	assert_int_equal(l.guard_fires, 0);
	net_close(l.net);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(timers_fire_in_order_and_not_early),
		cmocka_unit_test(periodic_timer_repeats_until_close),
		cmocka_unit_test(no_timer_fires_if_stopped_before_run),
		cmocka_unit_test(net_stop_from_another_thread_ends_run),
		cmocka_unit_test(open_connections_are_freed_by_net_close),
		cmocka_unit_test(disconnect_is_reported_on_a_busy_loop),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
