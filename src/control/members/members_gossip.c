#include "control/members/members_impl.h"

#include <math.h>
#include <string.h>

#define GOSSIP_PERIOD_US (50 * USEC_PER_MSEC)
#define GOSSIP_FANOUT 3
#define GOSSIP_BYTES_S 8000 /* in addition to probes */
#define GOSSIP_BURST 16000
#define HEADER_BYTES 128 /* of a datagram, without its changes */
#define SENDS_FACTOR 3	 /* sends of a change = this * ln(n) */
#define SENDS_EXTRA 4	 /* added: ln(n) alone misses members in small groups */

/*
 * Queues a member's latest change ahead of older ones. When there are more
 * changes than gossip can carry, pulls deliver the older ones.
 */
void gossip_enqueue(struct members *m, struct member *b)
{
	gossip_dequeue(m, b);
	b->send_count = 0;
	b->update_queued = true;
	m->update_count++;
	DL_PREPEND2(m->updates[0], b, update_prev, update_next);
}

/* Stops gossiping a member's latest change. */
void gossip_dequeue(struct members *m, struct member *b)
{
	if (!b->update_queued)
		return;
	DL_DELETE2(m->updates[b->send_count], b, update_prev, update_next);
	b->update_queued = false;
	m->update_count--;
}

static uint8_t send_limit(const struct members *m)
{
	double n =
		SENDS_FACTOR * log(HASH_COUNT(m->by_addr) + 1.0) + SENDS_EXTRA;

	return n < UPDATE_SENDS_MAX - 1 ? (uint8_t)n : UPDATE_SENDS_MAX - 1;
}

static void count_send(struct members *m, struct member *b)
{
	uint8_t sends = b->send_count + 1;

	gossip_dequeue(m, b);
	if (sends >= send_limit(m))
		return;
	b->send_count = sends;
	b->update_queued = true;
	m->update_count++;
	DL_APPEND2(m->updates[sends], b, update_prev, update_next);
}

struct change_list {
	struct members *m;
	struct member *items[CHANGES_MAX];
	size_t n;
	size_t bytes;
};

/* b: the member whose queued change the record is, or NULL. */
static bool append_record(struct change_list *list,
			  const struct member_info *info, struct member *b)
{
	size_t bytes = member_info_wire_size(info);

	if (list->n == CHANGES_MAX ||
	    list->bytes + bytes > DATAGRAM_MAX - HEADER_BYTES)
		return false;
	list->m->changes[list->n] = *info;
	list->bytes += bytes;
	list->items[list->n++] = b;
	return true;
}

/* Appends a member's record or claim; false when the datagram is full. */
static bool append_change(struct change_list *list, struct member *b)
{
	struct member_info info;

	member_describe(b, &info);
	return append_record(list, &info, b);
}

/* Appends what the receiver's earlier process told, for the receiver alone. */
static void append_former(struct change_list *list, const struct member *to)
{
	append_record(list, to->former, NULL);
}

/* Whether b is neither the receiver nor already the first selected change. */
static bool is_unselected(const struct change_list *list,
			  const struct member *b, const struct member *to)
{
	return b != to && (!list->n || b != list->items[0]);
}

/*
 * Selects the changes for one datagram. First what the receiver needs: the
 * record of self if the receiver is unknown or dead here, a suspicion or
 * death of the receiver itself, so that it can refute it, and departures that
 * its earlier process told. Then queued changes, those with the fewest sends
 * first.
 */
static void select_changes(struct change_list *list, const struct addr *address)
{
	struct members *m = list->m;
	struct member *to = member_find(m, address), *b;
	int i;

	if (!to || to->info.state == MEMBER_DEAD)
		append_change(list, m->self);
	if (to && (to->suspect || to->info.state == MEMBER_DEAD))
		append_change(list, to);
	if (to && member_has_former(to))
		append_former(list, to);
	for (i = 0; i < UPDATE_SENDS_MAX; i++) {
		for (b = m->updates[i]; b; b = b->update_next)
			if (is_unselected(list, b, to) &&
			    !append_change(list, b))
				return;
	}
}

/*
 * Sends one datagram with as many changes as fit. Returns its size in bytes
 * with an estimated header, or -1 when it was not sent.
 */
int members_send_changes(struct members *m, enum peer_msg_kind kind,
			 const struct addr *to, uint64_t sequence,
			 const struct addr *target)
{
	struct peer_msg msg = {.kind = kind};
	struct change_list list = {.m = m};
	size_t i;

	select_changes(&list, to);
	msg.probe.sequence = sequence;
	if (target)
		msg.probe.target = *target;
	msg.probe.changes = m->changes;
	msg.probe.change_count = list.n;
	if (m->options.io.datagram(m->options.io.ctx, to, &msg) < 0)
		return -1;
	for (i = 0; i < list.n; i++)
		if (list.items[i] && list.items[i]->update_queued)
			count_send(m, list.items[i]);
	return (int)list.bytes + HEADER_BYTES;
}

/* Returns a random live member of any data centre, or NULL. */
struct member *member_random(struct members *m)
{
	uint32_t n = m->local.n + m->remote.n, i;

	if (!n)
		return NULL;
	i = (uint32_t)gsl_rng_uniform_int(m->rng, n);
	return i < m->local.n ? m->local.items[i]
			      : m->remote.items[i - m->local.n];
}

/* Sends queued changes to fanout random members at once. */
void members_gossip(struct members *m, uint32_t fanout)
{
	while (fanout-- && m->update_count) {
		struct member *b = member_random(m);
		int bytes;

		if (!b)
			return;
		bytes = members_send_changes(m, PEER_PROBE_ACK,
					     &b->info.node_addr, 0, NULL);
		if (bytes > 0)
			m->gossip_budget.level -= bytes;
	}
}

/* Sends queued changes every period while the byte budget lasts. */
void members_gossip_tick(struct members *m, int64_t now)
{
	bucket_refill(&m->gossip_budget, now);
	if (now < m->gossip_due_us || !m->update_count)
		return;
	m->gossip_due_us = now + GOSSIP_PERIOD_US;
	if (m->gossip_budget.level > 0)
		members_gossip(m, GOSSIP_FANOUT);
}

/* Sets the byte budget that limits gossip; probes are not limited by it. */
void members_gossip_init(struct members *m, int64_t now)
{
	bucket_init(&m->gossip_budget, GOSSIP_BYTES_S, GOSSIP_BURST,
		    GOSSIP_BURST, now);
}
