#include "net/http_server_impl.h"

#include <poll.h>
#include <stdlib.h>

#define KEEPALIVE_SECS 75
#define SWEEP_US (50 * USEC_PER_MSEC) /* between looks for callers gone */
#define EXCHANGES_MAX (1U << 20)

static bool reserve_polled(struct http_server *s)
{
	uint32_t n = s->exchanges.count;
	struct pollfd *p;

	if (n <= s->polled_size)
		return true;
	p = realloc(s->polled, 2 * (size_t)n * sizeof(*p));
	if (!p)
		return false;
	s->polled = p;
	s->polled_size = 2 * n;
	return true;
}

/*
 * Closes the connections whose callers have gone. The library does not read
 * while an answer is awaited, and so would not see it.
 */
static void sweep(void *ctx, int64_t now)
{
	struct http_server *s = ctx;
	uint64_t h = 0;
	nfds_t n = 0;
	void *item;

	(void)now;
	if (!s->exchanges.count || !reserve_polled(s))
		return;
	while ((h = table_next(&s->exchanges, h, &item)))
		s->polled[n++] = (struct pollfd){
			.fd = lws_get_socket_fd(*(struct lws **)item),
			.events = POLLRDHUP};
	if (poll(s->polled, n, 0) <= 0)
		return;
	n = 0;
	while ((h = table_next(&s->exchanges, h, &item)))
		if (s->polled[n++].revents)
			lws_set_timeout(*(struct lws **)item,
					PENDING_TIMEOUT_USER_OK,
					LWS_TO_KILL_ASYNC);
}

static void server_release(void *part)
{
	struct http_server *s = part;

	free(s->polled);
	table_free(&s->exchanges);
	free(s);
}

/* Listens at once; the server lives until net_close. NULL with err set. */
struct http_server *http_server_open(struct net *net,
				     const struct http_server_options *o,
				     struct error *err)
{
	struct http_server *s = calloc(1, sizeof(*s));
	struct net_vhost_options vhost = {
		.name = "http-server",
		.protocols = http_server_protocols,
		.listen = &o->listen,
		.keepalive_secs = KEEPALIVE_SECS,
		.user = s,
	};

	if (!s || net_on_close(net, server_release, s) < 0) {
		free(s);
		error_set(err, ERROR_MEMORY, "http-server", NULL,
			  "out of memory");
		return NULL;
	}
	s->net = net;
	s->options = *o;
	table_init(&s->exchanges, sizeof(struct lws *), EXCHANGES_MAX);
	if (net_every(net, SWEEP_US, sweep, s) < 0) {
		error_set(err, ERROR_MEMORY, "http-server", NULL,
			  "out of memory");
		return NULL;
	}
	s->vhost = net_add_vhost(net, &vhost, err);
	return s->vhost ? s : NULL;
}

/* Fills the address listened on, with the port that the kernel chose. */
void http_server_addr(const struct http_server *s, struct addr *a)
{
	net_vhost_addr(&s->options.listen, s->vhost, a);
}

/*
 * Gives the whole answer; m is copied. Returns -1 when the exchange is
 * gone, or when headers don't fit, and then the connection is closed.
 */
int http_server_answer(struct http_server *s, uint64_t exchange,
		       const struct message *m)
{
	struct lws **wsi = table_get(&s->exchanges, exchange);
	struct server_conn *c;

	if (!wsi)
		return -1;
	c = lws_wsi_user(*wsi);
	c->exchange = 0;
	if (http_server_give(*wsi, c, m) < 0) {
		lws_set_timeout(*wsi, PENDING_TIMEOUT_USER_OK,
				LWS_TO_KILL_ASYNC);
		table_remove(&s->exchanges, exchange);
		return -1;
	}
	table_remove(&s->exchanges, exchange);
	return 0;
}

/* Closes each connection after its next answer, new ones too. */
void http_server_drain(struct http_server *s)
{
	s->draining = true;
}

/* Returns how many connections are open. */
uint32_t http_server_connections(const struct http_server *s)
{
	return s->connections;
}
