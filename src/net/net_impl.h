/*
 * Internals shared by the network code: event loop, timers and the
 * libwebsockets context. Each user of libwebsockets adds its own virtual host
 * and so has its own protocols, limits and connections.
 */
#ifndef NET_NET_IMPL_H
#define NET_NET_IMPL_H

#include <ev.h>

#include "net/net.h"

/* Buffer size of libwebsockets; limits a read and a written header block. */
#define NET_IO_SIZE (16 * 1024)

struct net_timer;
struct net_close_hook;
struct net_vhost;
struct net_deferred_free;
struct net_lws_tick;

/* Declared here because libwebsockets.h clashes with http_parser.h. */
struct lws_context;
struct lws_protocols;
struct lws_vhost;

/*
 * One-shot timer embedded in its owner; zeroed before first use. Uses libev
 * as the timers of libwebsockets have a resolution of seconds: see
 * docs/design/loop.md.
 */
struct net_alarm {
	ev_timer watcher; /* first member: alarm_fired casts it */
	struct net *net;
	int64_t at_us;
	void (*fire)(struct net_alarm *alarm, int64_t now);
};

struct net {
	struct ev_loop *loop;
	void *foreign_loops[1]; /* loop, for libwebsockets */
	struct lws_context *context;
	struct net_lws_tick *lws_tick;
	bool timers_fired; /* an alarm fired in this loop iteration */
	struct net_timer *timers;
	struct net_close_hook *close_hooks;
	struct net_vhost *vhosts;
	struct http_pool *pools;
	struct listen_probe *probes;
	size_t requests_max;  /* see net_limit_requests; 0: no limit */
	size_t requests_held; /* reserved for bodies of requests */
	size_t bodies_max;    /* see net_limit_bodies; 0: no limit */
	size_t bodies_held;   /* reserved for large responses */
	struct pool_conn *bodies_waiting;
	struct net_deferred_free *deferred_frees; /* after this iteration */
	volatile bool stopping; /* also set by other threads and signals */
	bool closing;		/* net_close is running */
};

struct net_vhost_options {
	const char *name; /* all strings here must outlive the vhost */
	const struct lws_protocols *protocols; /* ends with an empty one */
	const struct addr *listen;	       /* NULL: clients only */
	const char *accept_role;     /* "raw-skt" for raw TCP, NULL for HTTP */
	const char *accept_protocol; /* name in protocols, for raw TCP */
	int keepalive_secs;	     /* of idle HTTP server connections */
	void *user;		     /* returned by lws_vhost_user() */
};

struct lws_vhost *net_add_vhost(struct net *net,
				const struct net_vhost_options *o,
				struct error *err);
/* Sets *a to listen with the port that was bound. */
void net_vhost_addr(const struct addr *listen, struct lws_vhost *vhost,
		    struct addr *a);

/* Calls release(ctx) in net_close, after all connections are closed. */
int net_on_close(struct net *net, void (*release)(void *ctx), void *ctx);

/* Current monotonic time in microseconds. */
int64_t net_now(void);

void net_free_timers(struct net *net);
void http_pool_free_all(struct net *net);
/* Ends the probes without reporting them. */
void net_probes_free_all(struct net *net);

/*
 * Calls release(p) after the current loop iteration, because a callback may
 * close the connection that it was called for.
 */
void net_free_later(struct net *net, void *p, void (*release)(void *p));

/* Calls fire once, not before at_us; replaces an earlier setting. */
void net_alarm_set(struct net *net, struct net_alarm *alarm, int64_t now,
		   int64_t at_us,
		   void (*fire)(struct net_alarm *alarm, int64_t now));
void net_alarm_cancel(struct net_alarm *alarm);

#endif
