#include "net/net_impl.h"

#include <stdlib.h>
#include <utlist.h>

struct net_timer {
	struct lws_sorted_usec_list sul; /* first: the callback casts it */
	struct net_timer *prev;
	struct net_timer *next;
	struct net *net;
	int64_t period_us; /* 0: fires once */
	void (*fire)(void *ctx, int64_t now);
	void *ctx;
};

static void timer_fired(struct lws_sorted_usec_list *sul)
{
	struct net_timer *t = (struct net_timer *)sul;
	void (*fire)(void *ctx, int64_t now) = t->fire;
	void *ctx = t->ctx;

	if (t->period_us) {
		lws_sul_schedule(t->net->context, 0, sul, timer_fired,
				 t->period_us);
	} else {
		DL_DELETE(t->net->timers, t);
		free(t);
	}
	fire(ctx, net_now());
}

static int add_timer(struct net *net, int64_t delay_us, int64_t period_us,
		     void (*fire)(void *ctx, int64_t now), void *ctx)
{
	struct net_timer *t = calloc(1, sizeof(*t));

	if (!t)
		return -1;
	t->net = net;
	t->period_us = period_us;
	t->fire = fire;
	t->ctx = ctx;
	DL_APPEND(net->timers, t);
	lws_sul_schedule(net->context, 0, &t->sul, timer_fired, delay_us);
	return 0;
}

/* Calls tick every period_us; ticks missed in a pause are not made up. */
int net_every(struct net *net, int64_t period_us,
	      void (*tick)(void *ctx, int64_t now), void *ctx)
{
	if (period_us <= 0)
		return -1;
	return add_timer(net, period_us, period_us, tick, ctx);
}

/* Calls fire once, at at_us or at once when that has passed. */
int net_at(struct net *net, int64_t at_us, void (*fire)(void *ctx, int64_t now),
	   void *ctx)
{
	int64_t delay_us = at_us - net_now();

	return add_timer(net, delay_us > 1 ? delay_us : 1, 0, fire, ctx);
}

/* Cancels all timers without firing them. */
void net_free_timers(struct net *net)
{
	struct net_timer *t;

	while ((t = net->timers)) {
		DL_DELETE(net->timers, t);
		lws_sul_cancel(&t->sul);
		free(t);
	}
}
