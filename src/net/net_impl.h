/*
 * What the parts that touch sockets share: the loop's one libwebsockets
 * context. Every listener and every client adds a virtual host of its own,
 * so that its protocols, limits and connections stay apart.
 */
#ifndef NET_NET_IMPL_H
#define NET_NET_IMPL_H

#include <ev.h>

#include "net/net.h"

/* Largest read handed to a callback, and room for one written header block. */
#define NET_IO_SIZE (16 * 1024)

struct net_timer;
struct net_close_hook;
struct net_vhost;
struct net_deferred_free;
struct net_lws_tick;

/* Of libwebsockets, whose header names what http_parser's names as well. */
struct lws_context;
struct lws_protocols;
struct lws_vhost;

/*
 * A moment to be called at; zeroed before its first use. libwebsockets' own
 * timers are for whole seconds only: see docs/design/loop.md.
 */
struct net_alarm {
	ev_timer watcher; /* first: its callback casts it */
	struct net *net;
	int64_t at_us;
	void (*fire)(struct net_alarm *alarm, int64_t now);
};

struct net {
	struct ev_loop *loop;
	void *foreign_loops[1]; /* loop, as libwebsockets takes it */
	struct lws_context *context;
	struct net_lws_tick *lws_tick;
	bool timers_fired; /* an alarm, in this turn of the loop */
	struct net_timer *timers;
	struct net_close_hook *close_hooks;
	struct net_vhost *vhosts;
	struct http_pool *pools;
	struct net_deferred_free
		*deferred_frees; /* freed when this turn of the loop ends */
	volatile bool stopping;	 /* set from elsewhere, too */
	bool closing; /* set while net_close tears connections down */
};

struct net_vhost_options {
	const char *name; /* kept by reference, as are all strings here */
	const struct lws_protocols *protocols; /* ended by an empty one */
	const struct addr *listen;	       /* NULL: clients only */
	const char *accept_role;     /* "raw-skt" for raw TCP, NULL for HTTP */
	const char *accept_protocol; /* of protocols, for raw TCP */
	int keepalive_secs;	     /* idle HTTP server connections */
	void *user;		     /* lws_vhost_user() */
};

struct lws_vhost *net_add_vhost(struct net *net,
				const struct net_vhost_options *o,
				struct error *err);
/* Fills the address listened on, with the port that the kernel chose. */
void net_vhost_addr(const struct addr *listen, struct lws_vhost *vhost,
		    struct addr *a);

/* Calls release(part) in net_close, once all connections are gone. */
int net_on_close(struct net *net, void (*release)(void *ctx), void *ctx);

/* The loop's clock, for callbacks that must say when they were called. */
int64_t net_now(void);

void net_free_timers(struct net *net);
void http_pool_free_all(struct net *net);

/*
 * Frees p by release once the present turn of the loop is over: a callback
 * may end the connection that it was called for.
 */
void net_free_later(struct net *net, void *p, void (*release)(void *p));

/* Calls fire once, not before at_us; a newer set takes the older's place. */
void net_alarm_set(struct net *net, struct net_alarm *alarm, int64_t now,
		   int64_t at_us,
		   void (*fire)(struct net_alarm *alarm, int64_t now));
void net_alarm_cancel(struct net_alarm *alarm);

#endif
