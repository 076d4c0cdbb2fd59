/* Finds out whether a process listens at an address. */
#include <errno.h>
#include <stdlib.h>
#include <utlist.h>

#include "net/tcp.h"

struct listen_probe {
	struct listen_probe *prev;
	struct listen_probe *next;
	struct tcp tcp;
	struct net *net;
	struct net_alarm deadline;
	void *ctx;
	uint64_t tag;
	void (*done)(void *ctx, uint64_t tag, enum listen_state state,
		     int64_t now);
};

static void free_probe(void *p)
{
	free(p);
}

static void finish(struct listen_probe *p, enum listen_state state)
{
	net_alarm_cancel(&p->deadline);
	tcp_close(&p->tcp);
	DL_DELETE(p->net->probes, p);
	net_free_later(p->net, p, free_probe);
	p->done(p->ctx, p->tag, state, net_now());
}

static void on_opened(struct tcp *t)
{
	finish(t->owner, LISTEN_OPEN);
}

static void on_ended(struct tcp *t, enum tcp_end how)
{
	finish(t->owner,
	       how == TCP_CONNECT_FAILED ? LISTEN_REFUSED : LISTEN_OPEN);
}

static void on_data(struct tcp *t, const uint8_t *data, size_t len)
{
	(void)t;
	(void)data;
	(void)len;
}

static void on_drained(struct tcp *t)
{
	(void)t;
}

static const struct tcp_handler handler = {.opened = on_opened,
					   .data = on_data,
					   .ended = on_ended,
					   .drained = on_drained};

static void deadline_passed(struct net_alarm *alarm, int64_t now)
{
	(void)now;
	finish((struct listen_probe *)((char *)alarm -
				       offsetof(struct listen_probe, deadline)),
	       LISTEN_SILENT);
}

static void refused_at_once(struct net_alarm *alarm, int64_t now)
{
	(void)now;
	finish((struct listen_probe *)((char *)alarm -
				       offsetof(struct listen_probe, deadline)),
	       LISTEN_REFUSED);
}

int net_probe(struct net *net, const struct listen_probe_options *o,
	      int64_t now)
{
	struct listen_probe *p = calloc(1, sizeof(*p));

	if (!p)
		return -1;
	p->net = net;
	p->ctx = o->ctx;
	p->tag = o->tag;
	p->done = o->done;
	if (tcp_connect(&p->tcp, net, &o->addr, &handler, p) == 0) {
		DL_APPEND(net->probes, p);
		net_alarm_set(net, &p->deadline, now, now + o->timeout_us,
			      deadline_passed);
		return 0;
	}
	if (errno != ECONNREFUSED) {
		free(p);
		return -1;
	}
	/* Reported from the event loop, as done must not be called here. */
	DL_APPEND(net->probes, p);
	net_alarm_set(net, &p->deadline, now, now, refused_at_once);
	return 0;
}

void net_probes_free_all(struct net *net)
{
	struct listen_probe *p;

	while ((p = net->probes)) {
		net_alarm_cancel(&p->deadline);
		tcp_close(&p->tcp);
		DL_DELETE(net->probes, p);
		free(p);
	}
}
