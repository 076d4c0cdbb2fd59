#include "net/net_impl.h"

#include <stdlib.h>
#include <utlist.h>

struct net_timer {
	struct net_alarm alarm; /* first member: timer_fired casts it */
	struct net_timer *prev;
	struct net_timer *next;
	int64_t period_us; /* 0: fires once */
	void (*fire)(void *ctx, int64_t now);
	void *ctx;
};

static void start_watcher(struct net_alarm *alarm, int64_t now)
{
	double left = (double)(alarm->at_us - now) / USEC_PER_SEC;

	ev_timer_set(&alarm->watcher, left > 0 ? left : 0, 0);
	ev_timer_start(alarm->net->loop, &alarm->watcher);
}

/*
 * May be called early, as libev measures from the start of its loop iteration;
 * the watcher is then restarted.
 */
static void alarm_fired(struct ev_loop *loop, ev_timer *watcher, int events)
{
	struct net_alarm *alarm = (struct net_alarm *)watcher;
	int64_t now = net_now();

	(void)loop;
	(void)events;
	if (now < alarm->at_us) {
		start_watcher(alarm, now);
		return;
	}
	alarm->net->timers_fired = true;
	alarm->fire(alarm, now);
}

void net_alarm_set(struct net *net, struct net_alarm *alarm, int64_t now,
		   int64_t at_us,
		   void (*fire)(struct net_alarm *alarm, int64_t now))
{
	net_alarm_cancel(alarm);
	ev_init(&alarm->watcher, alarm_fired);
	alarm->net = net;
	alarm->at_us = at_us;
	alarm->fire = fire;
	start_watcher(alarm, now);
}

/* No effect if the alarm has fired or was never set. */
void net_alarm_cancel(struct net_alarm *alarm)
{
	if (alarm->net)
		ev_timer_stop(alarm->net->loop, &alarm->watcher);
}

static void timer_fired(struct net_alarm *alarm, int64_t now)
{
	struct net_timer *t = (struct net_timer *)alarm;
	struct net *net = alarm->net;
	void (*fire)(void *ctx, int64_t now) = t->fire;
	void *ctx = t->ctx;

	if (t->period_us) {
		net_alarm_set(net, alarm, now, now + t->period_us, timer_fired);
	} else {
		DL_DELETE(net->timers, t);
		free(t);
	}
	fire(ctx, now);
}

static int add_timer(struct net *net, int64_t at_us, int64_t period_us,
		     void (*fire)(void *ctx, int64_t now), void *ctx)
{
	struct net_timer *t = calloc(1, sizeof(*t));

	if (!t)
		return -1;
	t->period_us = period_us;
	t->fire = fire;
	t->ctx = ctx;
	DL_APPEND(net->timers, t);
	net_alarm_set(net, &t->alarm, net_now(), at_us, timer_fired);
	return 0;
}

/* Calls tick every period_us; ticks missed while blocked are not repeated. */
int net_every(struct net *net, int64_t period_us,
	      void (*tick)(void *ctx, int64_t now), void *ctx)
{
	if (period_us <= 0)
		return -1;
	return add_timer(net, net_now() + period_us, period_us, tick, ctx);
}

/* Calls fire once, at at_us or, if that has passed, immediately. */
int net_at(struct net *net, int64_t at_us, void (*fire)(void *ctx, int64_t now),
	   void *ctx)
{
	return add_timer(net, at_us, 0, fire, ctx);
}

/* Cancels all timers without firing them. */
void net_free_timers(struct net *net)
{
	struct net_timer *t;

	while ((t = net->timers)) {
		DL_DELETE(net->timers, t);
		net_alarm_cancel(&t->alarm);
		free(t);
	}
}
