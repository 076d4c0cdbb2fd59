#include "control/members/members_impl.h"

#include <math.h>

#define SUSPICION_MIN_US (2 * USEC_PER_SEC)
#define REVIVED_PULL_PERIOD_US USEC_PER_SEC

/* Time that a suspect has to refute: log2(n) probe periods, at least 2 s. */
int64_t suspicion_us(const struct members *m)
{
	double n = HASH_COUNT(m->by_addr) + 1;
	int64_t us = (int64_t)(log2(n) * (double)PROBE_PERIOD_US);

	return us > SUSPICION_MIN_US ? us : SUSPICION_MIN_US;
}

/*
 * Precedence of states within one version: a state that others report takes
 * precedence over the one that the member itself announced.
 */
static int state_rank(enum member_state s)
{
	switch (s) {
	case MEMBER_ALIVE:
	case MEMBER_LEAVING:
		return 0;
	case MEMBER_SUSPECT:
		return 1;
	case MEMBER_LEFT:
		return 2;
	case MEMBER_DEAD:
		return 3;
	}
	return 0;
}

static bool is_newer(const struct member_info *a, const struct member_info *b)
{
	if (a->incarnation != b->incarnation)
		return a->incarnation > b->incarnation;
	if (a->version != b->version)
		return a->version > b->version;
	return state_rank(a->state) > state_rank(b->state);
}

/* Gives self the next version and gossips it, to override older claims. */
void members_announce(struct members *m, int64_t now)
{
	struct member_info self = m->self->info;

	self.version++;
	member_update(m, m->self, &self, now);
}

/* Refutes a record or claim about this node itself, unless it is outdated. */
static void merge_self(struct members *m, const struct member_info *info,
		       int64_t now)
{
	struct member_info *self = &m->self->info;

	if (info->incarnation != self->incarnation && info->departure_count)
		members_hear_departures(m, info, now);
	if (info->incarnation < self->incarnation ||
	    (info->incarnation == self->incarnation &&
	     info->version < self->version))
		return;
	if (info->incarnation == self->incarnation &&
	    info->version == self->version &&
	    state_rank(info->state) <= state_rank(self->state))
		return;
	/*
	 * The incarnation is the start time of the process; an earlier
	 * process may have had a clock that was ahead.
	 */
	if (info->incarnation > self->incarnation)
		self->incarnation = info->incarnation + 1;
	else if (info->version > self->version)
		self->version = info->version;
	members_announce(m, now);
}

/*
 * Accepts another node's report of a death only after the member has been
 * suspect here too for half the suspicion time; until then it is taken as a
 * suspicion. Otherwise the two sides of a healed partition, which declared
 * each other dead, would make each other's members declare live ones dead.
 */
static enum member_state accepted_state(const struct members *m,
					const struct member *b,
					const struct member_info *info,
					int64_t now)
{
	if (info->state != MEMBER_DEAD || b->info.state == MEMBER_DEAD ||
	    b->info.state == MEMBER_LEFT)
		return info->state;
	if (b->info.state == MEMBER_SUSPECT &&
	    info->incarnation == b->info.incarnation &&
	    now - b->state_since_us >= suspicion_us(m) / 2)
		return MEMBER_DEAD;
	return MEMBER_SUSPECT;
}

/* A member that returns may know of others that were unreachable too. */
static void pull_from_revived(struct members *m, const struct member_info *info,
			      int64_t now)
{
	if (now - m->last_revived_pull_us < REVIVED_PULL_PERIOD_US)
		return;
	m->last_revived_pull_us = now;
	members_pull(m, &info->node_addr, now);
}

static void merge_unknown(struct members *m, const struct member_info *info,
			  bool forward, int64_t now)
{
	struct member *b = NULL;

	/* Members that were never known and are gone are not added. */
	if (!is_claim(info) && info->state != MEMBER_DEAD &&
	    info->state != MEMBER_LEFT)
		b = member_add(m, info, now);
	if (b && !forward)
		gossip_dequeue(m, b);
}

static void merge_member(struct members *m, const struct member_info *info,
			 bool forward, int64_t now)
{
	struct member *b = member_find(m, &info->node_addr);
	struct member_info update;

	if (b == m->self) {
		merge_self(m, info, now);
		return;
	}
	if (!b) {
		merge_unknown(m, info, forward, now);
		return;
	}
	update = *info;
	if (is_claim(info) && !claim_apply(b, &update))
		return;
	update.state = accepted_state(m, b, &update, now);
	if (!is_newer(&update, &b->info))
		return;
	if (b->info.state == MEMBER_DEAD && update.state == MEMBER_ALIVE)
		pull_from_revived(m, info, now);
	member_update(m, b, &update, now);
}

/*
 * Merges the records and claims received from another node. Members that were
 * unknown are gossiped on only with forward.
 */
void members_merge(struct members *m, const struct member_info *items, size_t n,
		   bool forward, int64_t now)
{
	size_t i;

	for (i = 0; i < n; i++)
		if (addr_is_set(&items[i].node_addr))
			merge_member(m, &items[i], forward, now);
}

/* Marks a member suspect after this node's own probes of it failed. */
void members_suspect(struct members *m, struct member *b, int64_t now)
{
	struct member_info info = b->info;

	if (info.state != MEMBER_ALIVE && info.state != MEMBER_LEAVING)
		return;
	info.state = MEMBER_SUSPECT;
	member_update(m, b, &info, now);
	/* Inform the suspect first, so that it can refute at once. */
	members_send_changes(m, PEER_PROBE_ACK, &b->info.node_addr, 0, NULL);
}

/*
 * Declares members dead that did not refute in time. This is not gossiped:
 * nodes that received the suspicion reach the same result themselves, and the
 * others get it by a pull.
 */
void members_expire_suspects(struct members *m, int64_t now)
{
	int64_t limit_us = suspicion_us(m);

	while (m->suspects && now - m->suspects->state_since_us >= limit_us) {
		struct member *b = m->suspects;
		struct member_info info = b->info;

		info.state = MEMBER_DEAD;
		member_update(m, b, &info, now);
		gossip_dequeue(m, b);
	}
}

/* Restarts the suspicion time of every suspect, after a pause of this node. */
void members_restart_suspicions(struct members *m, int64_t now)
{
	struct member *b;

	for (b = m->suspects; b; b = b->suspect_next)
		b->state_since_us = now;
}
