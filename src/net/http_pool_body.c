/*
 * Memory for large responses: each one reserves its size when its head, or a
 * large part of a body of unknown size, was read. One that does not fit is read
 * on when others have ended, in order; the first one always fits.
 */
#include "net/http_pool_impl.h"

#include <utlist.h>

#define LARGE_BODY (256 * 1024) /* responses above this reserve memory */

void net_limit_bodies(struct net *net, size_t max)
{
	net->bodies_max = max;
}

/* Size of the response being read, or 0 while it is not large. */
static size_t large_body(const struct pool_conn *c)
{
	const struct http_reader *r = &c->reader;
	int64_t left = http_reader_body_left(r);
	size_t size = r->message.body.len;

	if (!r->in_body || r->options.body_data)
		return 0;
	if (left >= 0)
		size += (size_t)left;
	else if (size > LARGE_BODY)
		size = r->options.body_limit;
	return size > LARGE_BODY ? size : 0;
}

static bool reserve_body(struct pool_conn *c, size_t size)
{
	struct net *net = c->pool->net;

	if (net->bodies_max && net->bodies_held &&
	    net->bodies_held + size > net->bodies_max)
		return false;
	net->bodies_held += size;
	c->body_reserved = size;
	return true;
}

void pool_body_check(struct pool_conn *c)
{
	size_t size = large_body(c);

	if (!c->pool->options.bodies_wait || !size || c->body_reserved ||
	    c->body_waits)
		return;
	if (reserve_body(c, size))
		return;
	c->body_waits = true;
	DL_APPEND2(c->pool->net->bodies_waiting, c, waits_prev, waits_next);
	tcp_set_reading(&c->tcp, false);
}

/* Reads on responses that waited for memory, in order. */
static void read_waiting_bodies(struct net *net)
{
	struct pool_conn *c;

	while ((c = net->bodies_waiting) && reserve_body(c, large_body(c))) {
		c->body_waits = false;
		DL_DELETE2(net->bodies_waiting, c, waits_prev, waits_next);
		tcp_set_reading(&c->tcp, true);
	}
}

void pool_body_release(struct pool_conn *c)
{
	struct net *net = c->pool->net;

	if (c->body_waits)
		DL_DELETE2(net->bodies_waiting, c, waits_prev, waits_next);
	c->body_waits = false;
	if (!c->body_reserved)
		return;
	net->bodies_held -= c->body_reserved;
	c->body_reserved = 0;
	read_waiting_bodies(net);
}
