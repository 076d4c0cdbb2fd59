#include "control/members/members_impl.h"

#include <stdlib.h>
#include <string.h>

#define FORWARD_MAX 64	/* new members of a longer list are not gossiped */
#define URGENT_FANOUT 8 /* members informed at once of a change of self */

static struct members *new_members(const struct members_options *o)
{
	struct members *m = calloc(1, sizeof(*m));

	if (!m)
		return NULL;
	m->options = *o;
	m->rng = gsl_rng_alloc(gsl_rng_taus2);
	m->configured_seeds =
		calloc(o->seed_count + 1, sizeof(*m->configured_seeds));
	if (!m->rng || !m->configured_seeds) {
		members_free(m);
		return NULL;
	}
	/* Nodes with similar seeds must not make the same random choices. */
	gsl_rng_set(m->rng, pair_hash(o->seed, name_hash(o->self.host)));
	if (o->seed_count)
		memcpy(m->configured_seeds, o->seeds,
		       o->seed_count * sizeof(*m->configured_seeds));
	return m;
}

static int64_t random_phase(struct members *m, int64_t period_us)
{
	return (int64_t)(gsl_rng_uniform(m->rng) * (double)period_us);
}

/* Starts with self as the only member; NULL when out of memory. */
struct members *members_new(const struct members_options *o, int64_t now)
{
	struct members *m = new_members(o);
	struct member_info self = o->self;

	if (!m)
		return NULL;
	members_gossip_init(m, now);
	self.state = MEMBER_ALIVE;
	self.version = 1;
	m->started_us = now;
	m->last_tick_us = now;
	m->last_probe_us = now - random_phase(m, PROBE_PERIOD_US);
	m->pull_due_us = now + random_phase(m, USEC_PER_SEC);
	m->dead_probe_due_us = now + random_phase(m, 5 * USEC_PER_SEC);
	m->join_due_us = now;
	if (o->store)
		m->seed_lease = seed_lease_new(m);
	if (!member_add(m, &self, now) || (o->store && !m->seed_lease)) {
		members_free(m);
		return NULL;
	}
	return m;
}

/*
 * Frees everything without notifying other members. A store with operations
 * of these members in progress must be closed before it completes them.
 */
void members_free(struct members *m)
{
	if (!m)
		return;
	while (m->by_addr)
		member_remove(m, m->by_addr);
	free(m->probes.items);
	free(m->local.items);
	free(m->remote.items);
	free(m->gone.items);
	free(m->seed_lease);
	if (m->rng)
		gsl_rng_free(m->rng);
	free(m->configured_seeds);
	free(m);
}

/*
 * After a pause of this node, acks that it missed are no evidence against
 * others: drops the probe in progress, restarts suspicions, and refutes any
 * suspicion of this node with a new version.
 */
static void resume_after_pause(struct members *m, int64_t now)
{
	struct log_line line;

	log_start(&line, LOG_NOTICE, "paused");
	log_int(&line, "ms", (now - m->last_tick_us) / USEC_PER_MSEC);
	log_emit(&line);
	m->probing = false;
	m->last_probe_us = now;
	m->pull_due_us = now;
	members_restart_suspicions(m, now);
	members_announce(m, now);
}

/* Runs probes, gossip, pulls, joining and the seed lease; every 50 ms. */
void members_tick(struct members *m, int64_t now)
{
	if (now - m->last_tick_us > PAUSE_MIN_US)
		resume_after_pause(m, now);
	m->last_tick_us = now;
	members_probe_tick(m, now);
	members_expire_suspects(m, now);
	members_gossip_tick(m, now);
	members_pull_tick(m, now);
	members_join_tick(m, now);
	if (m->seed_lease)
		seed_lease_tick(m->seed_lease, now);
}

/* Handles a message from another member's controller. */
void members_receive(struct members *m, const struct peer_msg *msg, int64_t now)
{
	/* Detect a pause first: messages may have been queued during it. */
	if (now - m->last_tick_us > PAUSE_MIN_US)
		members_tick(m, now);
	if (msg->kind == PEER_PROBE)
		members_met(m, &msg->from, now);
	switch (msg->kind) {
	case PEER_PROBE:
	case PEER_PROBE_ACK:
	case PEER_PROBE_REQUEST:
		members_merge(m, msg->probe.changes, msg->probe.change_count,
			      true, now);
		members_probe_receive(m, msg);
		break;
	case PEER_MEMBERS_PULL:
		members_pull_receive(m, msg, now);
		break;
	case PEER_MEMBERS:
		members_merge(m, msg->members.items, msg->members.n,
			      msg->members.n <= FORWARD_MAX, now);
		members_hear_members(m, msg, now);
		break;
	default:
		break;
	}
}

static bool same_upstreams(const struct member_info *self,
			   const struct upstream_info *u, size_t n)
{
	size_t i;

	if (self->upstream_count != n)
		return false;
	for (i = 0; i < n; i++) {
		const struct upstream_info *v = &self->upstreams[i];

		if (strcmp(u[i].service, v->service) ||
		    !addr_equal(&u[i].addr, &v->addr) ||
		    u[i].slots != v->slots ||
		    u[i].connections != v->connections ||
		    u[i].state != v->state || u[i].cold_ms != v->cold_ms)
			return false;
	}
	return true;
}

/*
 * Replaces the announced upstreams of this host, at most
 * UPSTREAMS_PER_HOST_MAX, and gossips a change at once.
 */
void members_set_upstreams(struct members *m, const struct upstream_info *u,
			   size_t n, int64_t now)
{
	struct member_info self = m->self->info;

	if (n > UPSTREAMS_PER_HOST_MAX)
		n = UPSTREAMS_PER_HOST_MAX;
	if (same_upstreams(&self, u, n))
		return;
	if (n)
		memcpy(self.upstreams, u, n * sizeof(*u));
	self.upstream_count = (uint8_t)n;
	self.version++;
	member_update(m, m->self, &self, now);
	members_gossip(m, URGENT_FANOUT);
}

static void announce_state(struct members *m, enum member_state state,
			   int64_t now)
{
	struct member_info self = m->self->info;
	size_t i;

	self.state = state;
	for (i = 0; i < self.upstream_count; i++)
		self.upstreams[i].state =
			state == MEMBER_LEFT ? UPSTREAM_GONE : UPSTREAM_LEAVING;
	self.version++;
	member_update(m, m->self, &self, now);
	if (m->seed_lease)
		seed_lease_release(m->seed_lease, now);
	members_gossip(m, URGENT_FANOUT);
}

/* Takes this node's seed again after the store came back from an older copy. */
void members_store_replaced(struct members *m, int64_t now)
{
	if (m->seed_lease)
		seed_lease_store_replaced(m->seed_lease, now);
}

/* Begins a planned stop: no new work for this node or its upstreams. */
void members_leave(struct members *m, int64_t now)
{
	announce_state(m, MEMBER_LEAVING, now);
}

/* Ends the drain; this node is no longer probed or suspected. */
void members_left(struct members *m, int64_t now)
{
	announce_state(m, MEMBER_LEFT, now);
}

/* Returns a member, self included, or NULL. */
const struct member_info *members_find(const struct members *m,
				       const struct addr *node_addr)
{
	const struct member *b = member_find(m, node_addr);

	return b ? &b->info : NULL;
}

/* Iterates over all known members, including those dead or left. */
const struct member_info *members_next(const struct members *m,
				       const struct member_info *after)
{
	const struct member *b = (const struct member *)after;

	b = b ? b->hh.next : m->by_addr;
	return b ? &b->info : NULL;
}

/* Returns the record that this node announces of itself. */
const struct member_info *members_self(const struct members *m)
{
	return &m->self->info;
}

/* Counts the members in one state, self included. */
size_t members_count(const struct members *m, enum member_state state)
{
	return m->counts[state];
}

/* Returns a random other member that is alive, or NULL. */
const struct member_info *members_random(struct members *m, bool remote)
{
	struct member *b = set_random(remote ? &m->remote : &m->local, m->rng);

	return b ? &b->info : NULL;
}

/*
 * Returns how many live members of this data centre rank above self for a
 * topic by rendezvous hash, or -1 when that is most or more or when self is
 * not alive.
 */
int members_rank(const struct members *m, uint64_t topic, int most)
{
	uint64_t own = pair_hash(m->self->hash, topic);
	int before = 0;
	uint32_t i;

	if (m->self->info.state != MEMBER_ALIVE)
		return -1;
	for (i = 0; i < m->local.n && before < most; i++)
		if (pair_hash(m->local.items[i]->hash, topic) > own)
			before++;
	return before < most ? before : -1;
}

/* Whether self is among the first k of its data centre for a topic. */
bool members_chosen(const struct members *m, uint64_t topic, size_t k)
{
	return members_rank(m, topic, k > INT32_MAX ? INT32_MAX : (int)k) >= 0;
}

static bool ranks_above(const struct member_set *s, uint64_t own,
			uint64_t topic)
{
	uint32_t i;

	for (i = 0; i < s->n; i++)
		if (pair_hash(s->items[i]->hash, topic) > own)
			return true;
	return false;
}

/* Whether self is the first of all live members for a topic. */
bool members_first(const struct members *m, uint64_t topic)
{
	uint64_t own = pair_hash(m->self->hash, topic);

	return m->self->info.state == MEMBER_ALIVE &&
	       !ranks_above(&m->local, own, topic) &&
	       !ranks_above(&m->remote, own, topic);
}
