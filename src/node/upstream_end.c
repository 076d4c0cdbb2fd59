#include "node/upstream_end.h"

#include <stdlib.h>

/* The upstream is on this host: if it listens, it says so at once. */
#define PROBE_TIMEOUT_US (30 * USEC_PER_MSEC)
/* A process that ends may lose its connections before it stops to listen. */
#define SECOND_PROBE_US (20 * USEC_PER_MSEC)

/* Identifies the process behind an upstream; each start has another. */
static uint64_t incarnation_of(struct node *n, const struct local_upstream *u)
{
	uint64_t start = (uint64_t)u->started_ms;
	char addr[ADDR_TEXT_SIZE];

	addr_format(&u->info.addr, addr);
	if (!start)
		start = pair_hash(n->incarnation, ++n->upstream_ends);
	return pair_hash(pair_hash(name_hash(addr), name_hash(u->instance)),
			 start);
}

/* Counts the calls that the upstream was running, those held included. */
static uint32_t running_calls(const struct node *n, uint64_t upstream)
{
	const struct call *c;
	uint32_t count = 0;
	uint64_t h = 0;
	void *item;

	while ((h = table_next(&n->calls, h, &item))) {
		c = item;
		count += c->upstream == upstream && c->started_us;
	}
	return count;
}

static void log_ended(const struct local_upstream *u, uint32_t calls)
{
	char addr[ADDR_TEXT_SIZE];
	struct log_line line;

	addr_format(&u->info.addr, addr);
	log_start(&line, LOG_NOTICE, "upstream-ended");
	log_str(&line, "service", u->info.service);
	log_str(&line, "upstream", addr);
	log_str(&line, "instance", u->instance);
	log_int(&line, "calls", calls);
	log_emit(&line);
}

static void log_evidence(const struct call *c, const struct fingerprint *id,
			 const struct poison_entry *e, uint32_t calls)
{
	char text[FINGERPRINT_TEXT_SIZE];
	struct log_line line;

	fingerprint_format(id, text);
	log_start(&line, e->refused_us ? LOG_WARNING : LOG_INFO,
		  e->refused_us ? "poison-refused" : "poison-suspect");
	log_str(&line, "fingerprint", text);
	log_str(&line, "request", c->head.request);
	log_str(&line, "route", c->head.route);
	log_str(&line, "account", c->head.account);
	log_str(&line, "service", c->head.service);
	log_int(&line, "ends", e->facts.end_count);
	log_int(&line, "calls", calls);
	log_emit(&line);
}

/*
 * Counts the end of its upstream as evidence against a call, unless its runs
 * were ending well, and answers the call. A cold upstream is taken to have
 * ended by its load.
 */
static void answer_ended(struct node *n, struct call *c,
			 const struct local_upstream *u, int64_t now)
{
	uint64_t incarnation = u->ended_incarnation;
	uint32_t calls = u->ended_calls;
	struct fingerprint id;
	bool counts;

	if (u->ended_cold) {
		call_answer_lost(n, c, 0, 0, now);
		return;
	}
	fingerprint_of(n, &c->message, c->head.account, &id);
	counts = poison_add_end(n->poison, &id, c->head.service, incarnation,
				now);
	if (counts)
		log_evidence(c, &id, poison_find(n->poison, &id), calls);
	call_answer_lost(n, c, counts ? incarnation : 0, calls, now);
}

/* Answers the calls that are held, as the upstream has ended. */
static void release_ended(struct node *n, const struct local_upstream *u,
			  int64_t now)
{
	uint64_t upstream = u->handle;
	struct call *c;
	uint64_t h = 0;
	void *item;

	while ((h = table_next(&n->calls, h, &item))) {
		c = item;
		if (c->upstream == upstream && c->lost_us)
			answer_ended(n, c, u, now);
	}
}

/*
 * Answers the calls that were lost until before_us, as the upstream runs on.
 * Returns whether others are held.
 */
static bool release_running(struct node *n, uint64_t upstream,
			    int64_t before_us, int64_t now)
{
	struct call *c;
	bool others = false;
	uint64_t h = 0;
	void *item;

	while ((h = table_next(&n->calls, h, &item))) {
		c = item;
		if (c->upstream != upstream || !c->lost_us)
			continue;
		if (c->lost_us <= before_us)
			call_answer_lost(n, c, 0, 0, now);
		else
			others = true;
	}
	return others;
}

static void on_ended(struct node *n, struct local_upstream *u, int64_t now)
{
	uint64_t upstream = u->handle;

	counter_add(COUNTER_UPSTREAM_ENDS, 1);
	u->end_probe = END_NOT_PROBED;
	u->ended_incarnation = incarnation_of(n, u);
	u->ended_calls = running_calls(n, upstream);
	u->ended_cold = upstream_cold_is_announced(n, u, now);
	log_ended(u, u->ended_calls);
	gates_mark_unreachable(n, upstream, now);
	upstream_cold_end_seen(n, u, now);
	release_ended(n, u, now);
}

/* A second probe that waits for its time. */
struct second_probe {
	struct node *node;
	uint64_t upstream;
};

static void probe_again(void *ctx, int64_t now);

static bool schedule_second(struct node *n, struct local_upstream *u,
			    int64_t now)
{
	struct second_probe *p = calloc(1, sizeof(*p));

	if (!p)
		return false;
	p->node = n;
	p->upstream = u->handle;
	u->end_probe = END_SECOND_PROBE;
	if (net_at(n->net, now + SECOND_PROBE_US, probe_again, p) == 0)
		return true;
	free(p);
	return false;
}

static void on_probed(void *ctx, uint64_t upstream, enum listen_state state,
		      int64_t now)
{
	struct node *n = ctx;
	struct local_upstream *u = gates_upstream(n, upstream);

	if (!u) {
		release_running(n, upstream, now, now);
		return;
	}
	if (state == LISTEN_REFUSED) {
		on_ended(n, u, now);
		return;
	}
	if (u->end_probe == END_SECOND_PROBE &&
	    !release_running(n, upstream, now - SECOND_PROBE_US, now))
		u->end_probe = END_NOT_PROBED;
	else if (!schedule_second(n, u, now)) {
		u->end_probe = END_NOT_PROBED;
		release_running(n, upstream, now, now);
	}
	gates_dispatch(n, upstream, now);
}

static int probe(struct node *n, const struct local_upstream *u, int64_t now)
{
	struct listen_probe_options o = {.addr = u->info.addr,
					 .timeout_us = PROBE_TIMEOUT_US,
					 .ctx = n,
					 .tag = u->handle,
					 .done = on_probed};

	return net_probe(n->net, &o, now);
}

static void probe_again(void *ctx, int64_t now)
{
	struct second_probe *p = ctx;
	struct local_upstream *u = gates_upstream(p->node, p->upstream);

	if (!u || probe(p->node, u, now) < 0) {
		if (u)
			u->end_probe = END_NOT_PROBED;
		release_running(p->node, p->upstream, now, now);
	}
	free(p);
}

/* A planned end proves nothing: the upstream may cut what still runs. */
static bool end_is_planned(const struct node *n, const struct local_upstream *u,
			   int64_t now)
{
	return u->info.state == UPSTREAM_GONE || u->withdrawn ||
	       (u->info.state == UPSTREAM_LEAVING &&
		now - u->leaving_us >= n->settings.promises.drain_us);
}

int upstream_end_hold(struct node *n, struct local_upstream *u, struct call *c,
		      int64_t now)
{
	if (end_is_planned(n, u, now))
		return -1;
	if (u->ended_incarnation) {
		answer_ended(n, c, u, now);
		return 0;
	}
	if (u->end_probe == END_NOT_PROBED) {
		if (probe(n, u, now) < 0)
			return -1;
		u->end_probe = END_FIRST_PROBE;
	}
	c->lost_us = now;
	c->http_call = 0;
	return 0;
}

bool upstream_end_pending(const struct local_upstream *u)
{
	return u->end_probe == END_FIRST_PROBE;
}
