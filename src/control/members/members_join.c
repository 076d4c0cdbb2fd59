#include "control/members/members_impl.h"

#include <string.h>

#define JOIN_PERIOD_US USEC_PER_SEC /* while no other live member is known */
/* A process that has just started waits for peers before it serves. */
#define START_US (2 * USEC_PER_SEC)
#define START_JOIN_PERIOD_US (250 * USEC_PER_MSEC)
#define SEED_PROBE_PERIOD_US (30 * USEC_PER_SEC) /* afterwards */
#define JOIN_PROBES 3

static const struct addr *random_seed(struct members *m)
{
	size_t i, n = m->options.seed_count + m->stored_seed_count;

	if (!n)
		return NULL;
	i = gsl_rng_uniform_int(m->rng, n);
	return i < m->options.seed_count
		       ? &m->configured_seeds[i]
		       : &m->stored_seeds[i - m->options.seed_count];
}

static bool is_alive(const struct members *m, const struct addr *a)
{
	const struct member *b = member_find(m, a);

	return b && b->info.state == MEMBER_ALIVE;
}

static void try_seed(struct members *m, bool pull, int64_t now)
{
	const struct addr *seed = random_seed(m);

	if (!seed || is_alive(m, seed))
		return;
	members_send_changes(m, PEER_PROBE, seed, ++m->last_sequence, NULL);
	if (pull)
		members_pull(m, seed, now);
}

/*
 * A node that knows no live member probes seeds until one responds. Later it
 * still probes a seed every SEED_PROBE_PERIOD_US, so that two groups which
 * formed separately merge.
 */
void members_join_tick(struct members *m, int64_t now)
{
	bool alone = !m->local.n && !m->remote.n;
	bool starting = now - m->started_us < START_US;
	int i;

	if (now < m->join_due_us)
		return;
	m->join_due_us = now + (!alone	   ? SEED_PROBE_PERIOD_US
				: starting ? START_JOIN_PERIOD_US
					   : JOIN_PERIOD_US);
	if (m->seed_lease && alone)
		seed_lease_list(m->seed_lease, now);
	else if (m->seed_lease)
		seed_lease_met_others(m->seed_lease);
	for (i = 0; i < (alone ? JOIN_PROBES : 1); i++)
		try_seed(m, alone && i == 0, now);
}

/* Probes seeds at once if no other live member is known. */
void members_join(struct members *m, int64_t now)
{
	if (m->local.n || m->remote.n)
		return;
	m->join_due_us = now;
	members_join_tick(m, now);
}

/*
 * A node that still knows no other after its start asks one that probes it: that
 * one took it for the process before, and the seeds in the store may be lost.
 * Earlier it reads the seeds, which let groups that formed separately merge.
 */
void members_met(struct members *m, const struct addr *peer, int64_t now)
{
	if (!m->local.n && !m->remote.n && now - m->started_us >= START_US)
		members_pull(m, peer, now);
}
