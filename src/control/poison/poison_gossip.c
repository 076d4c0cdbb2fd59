/*
 * Tells the other nodes of requests under which upstreams ended. Changes are
 * passed on at once by everybody who learns of them; what is known of requests
 * with two ends or more is told to random members now and then, so that one
 * that missed it, was cut off or has just started learns it too.
 */
#include <stdlib.h>
#include <string.h>

#include "control/control.h"

#define PUSH_LOCAL 4
#define PUSH_REMOTE 2
#define REMIND_US (250 * USEC_PER_MSEC)
#define REMIND_ENDS 2
#define EXPIRE_US (10 * USEC_PER_SEC)

struct poison_gossip {
	struct poison_gossip_options o;
	struct poison *poison;
	int64_t remind_us;
	int64_t expire_us;
	uint32_t reminded; /* entries, to go on after them */
	bool remote;	   /* the next reminder goes to another data centre */
};

struct poison_gossip *poison_gossip_new(const struct poison_gossip_options *o)
{
	struct poison_gossip *g = calloc(1, sizeof(*g));

	if (!g)
		return NULL;
	g->o = *o;
	g->poison = o->poison;
	return g;
}

void poison_gossip_free(struct poison_gossip *g)
{
	free(g);
}

static void send_to(struct poison_gossip *g, const struct member_info *m,
		    struct peer_msg *msg)
{
	if (m)
		g->o.io.datagram(g->o.io.ctx, &m->node_addr, msg);
}

static void push(struct poison_gossip *g, struct peer_msg *msg)
{
	int i;

	for (i = 0; i < PUSH_LOCAL + PUSH_REMOTE; i++)
		send_to(g, members_random(g->o.members, i >= PUSH_LOCAL), msg);
}

/* Sends all changes, as many in a message as it holds. */
static void push_changes(struct poison_gossip *g)
{
	struct peer_msg msg = {.kind = PEER_POISON};
	struct poison_entry *e = NULL;

	while ((e = poison_next(g->poison, e))) {
		if (!e->unsent)
			continue;
		e->unsent = false;
		msg.poison.items[msg.poison.n++] = e->facts;
		if (msg.poison.n < POISON_FACTS_MAX)
			continue;
		push(g, &msg);
		msg.poison.n = 0;
	}
	if (msg.poison.n)
		push(g, &msg);
}

/*
 * Tells one member of entries with evidence, and of those that were cleared, as
 * others may still refuse them.
 */
static void remind(struct poison_gossip *g, int64_t now)
{
	struct peer_msg msg = {.kind = PEER_POISON};
	const struct poison_entry *e = NULL;
	uint32_t i = 0;

	g->remind_us = now + REMIND_US;
	while ((e = poison_next(g->poison, e)) &&
	       msg.poison.n < POISON_FACTS_MAX) {
		if (e->facts.end_count && e->facts.end_count < REMIND_ENDS)
			continue;
		if (i++ >= g->reminded)
			msg.poison.items[msg.poison.n++] = e->facts;
	}
	g->reminded = e ? i : 0;
	if (!msg.poison.n)
		return;
	g->remote = !g->remote;
	send_to(g, members_random(g->o.members, g->remote), &msg);
}

void poison_gossip_tick(struct poison_gossip *g, int64_t now)
{
	if (!poison_count(g->poison))
		return;
	push_changes(g);
	if (now >= g->remind_us)
		remind(g, now);
	if (now < g->expire_us)
		return;
	g->expire_us = now + EXPIRE_US;
	poison_expire(g->poison, now);
}

static void log_learnt(const struct poison_entry *e, const struct addr *from)
{
	char peer[ADDR_TEXT_SIZE], id[FINGERPRINT_TEXT_SIZE];
	struct log_line line;

	addr_format(from, peer);
	fingerprint_format(&e->facts.id, id);
	log_start(&line, LOG_INFO, "poison-learnt");
	log_str(&line, "fingerprint", id);
	log_int(&line, "ends", e->facts.end_count);
	log_int(&line, "epoch", (int64_t)e->facts.epoch);
	log_int(&line, "refused", e->refused_us != 0);
	log_str(&line, "peer", peer);
	log_emit(&line);
}

void poison_gossip_receive(struct poison_gossip *g, const struct peer_msg *msg,
			   int64_t now)
{
	const struct poison_facts *f;
	size_t i;

	for (i = 0; i < msg->poison.n; i++) {
		f = &msg->poison.items[i];
		if (poison_merge(g->poison, f, now))
			log_learnt(poison_find(g->poison, &f->id), &msg->from);
	}
}
