#include "control/members/members_impl.h"

#define INDIRECT_AFTER_US (300 * USEC_PER_MSEC)
#define INDIRECT_COUNT 3
#define DEAD_PROBE_PERIOD_US (5 * USEC_PER_SEC)
#define DEAD_RETENTION_US (2 * 3600 * USEC_PER_SEC)
#define LEFT_RETENTION_US (600 * USEC_PER_SEC)

static void shuffle(struct members *m)
{
	uint32_t i;

	for (i = m->probes.n; i > 1; i--)
		set_swap(&m->probes, i - 1,
			 (uint32_t)gsl_rng_uniform_int(m->rng, i), SET_PROBES);
	m->probe_cursor = 0;
}

static struct member *next_target(struct members *m)
{
	if (!m->probes.n)
		return NULL;
	if (m->probe_cursor >= m->probes.n)
		shuffle(m);
	return m->probes.items[m->probe_cursor++];
}

static void end_probe(struct members *m, int64_t now)
{
	struct member *b;

	if (!m->probing)
		return;
	m->probing = false;
	b = member_find(m, &m->probe_target);
	if (b)
		members_suspect(m, b, now);
}

static void start_probe(struct members *m, int64_t now)
{
	struct member *b = next_target(m);

	m->last_probe_us = now;
	if (!b)
		return;
	m->probing = true;
	m->indirect_sent = false;
	m->probe_target = b->info.node_addr;
	m->probe_sequence = ++m->last_sequence;
	members_send_changes(m, PEER_PROBE, &m->probe_target, m->probe_sequence,
			     NULL);
}

static void probe_indirectly(struct members *m)
{
	int i;

	m->indirect_sent = true;
	for (i = 0; i < INDIRECT_COUNT; i++) {
		struct member *b = member_random(m);

		if (b && !addr_equal(&b->info.node_addr, &m->probe_target))
			members_send_changes(
				m, PEER_PROBE_REQUEST, &b->info.node_addr,
				m->probe_sequence, &m->probe_target);
	}
}

/* Probes one dead member every period, so that a partition heals. */
static void probe_dead(struct members *m, int64_t now)
{
	struct member *b = set_random(&m->gone, m->rng);

	if (now < m->dead_probe_due_us)
		return;
	m->dead_probe_due_us = now + DEAD_PROBE_PERIOD_US;
	if (b && b->info.state == MEMBER_DEAD)
		members_send_changes(m, PEER_PROBE, &b->info.node_addr,
				     ++m->last_sequence, NULL);
}

/* Checks one dead or left member and removes it after its retention time. */
static void expire_one(struct members *m, int64_t now)
{
	struct member *b;
	int64_t retention_us;

	if (!m->gone.n)
		return;
	b = m->gone.items[m->expiry_cursor++ % m->gone.n];
	retention_us = b->info.state == MEMBER_DEAD ? DEAD_RETENTION_US
						    : LEFT_RETENTION_US;
	if (now - b->state_since_us >= retention_us)
		member_remove(m, b);
}

/*
 * Probes one member each period: directly, then through other members, and
 * marks it suspect when neither was acknowledged by the end of the period.
 */
void members_probe_tick(struct members *m, int64_t now)
{
	if (m->probing && !m->indirect_sent &&
	    now - m->last_probe_us >= INDIRECT_AFTER_US)
		probe_indirectly(m);
	if (now - m->last_probe_us >= PROBE_PERIOD_US) {
		end_probe(m, now);
		start_probe(m, now);
	}
	probe_dead(m, now);
	expire_one(m, now);
}

static void relay_probe(struct members *m, const struct peer_msg *msg)
{
	struct relay *r = &m->relays[m->next_relay++ % RELAYS_MAX];

	r->sequence = ++m->last_sequence;
	r->requester = msg->from;
	r->requester_sequence = msg->probe.sequence;
	members_send_changes(m, PEER_PROBE, &msg->probe.target, r->sequence,
			     NULL);
}

static void relay_ack(struct members *m, const struct peer_msg *msg)
{
	int i;

	for (i = 0; i < RELAYS_MAX; i++) {
		struct relay *r = &m->relays[i];

		if (!r->sequence || r->sequence != msg->probe.sequence)
			continue;
		members_send_changes(m, PEER_PROBE_ACK, &r->requester,
				     r->requester_sequence, &msg->from);
		r->sequence = 0;
	}
}

/* Acknowledges probes, relays probes for others, and handles acks. */
void members_probe_receive(struct members *m, const struct peer_msg *msg)
{
	uint64_t sequence = msg->probe.sequence;

	switch (msg->kind) {
	case PEER_PROBE:
		members_send_changes(m, PEER_PROBE_ACK, &msg->from, sequence,
				     NULL);
		break;
	case PEER_PROBE_REQUEST:
		relay_probe(m, msg);
		break;
	case PEER_PROBE_ACK:
		if (sequence)
			members_hear_ack(m, msg);
		if (m->probing && sequence == m->probe_sequence)
			m->probing = false;
		else if (sequence)
			relay_ack(m, msg);
		break;
	default:
		break;
	}
}
