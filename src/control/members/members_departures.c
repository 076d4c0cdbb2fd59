/*
 * Departures of upstreams, which the members keep for each other: a process
 * that starts again on a host learns from them what its predecessor promised.
 */
#include "control/members/members_impl.h"

#include <stdlib.h>
#include <string.h>

/* Whether processes that left by a are all among those that left by b. */
static bool departure_within(const struct departure *a,
			     const struct departure *b)
{
	if (a->instance != b->instance)
		return false;
	return a->started_ms != b->started_ms ? a->started_ms < b->started_ms
					      : a->sequence <= b->sequence;
}

static struct departure *find_instance(struct member_info *m, uint64_t instance)
{
	uint8_t i;

	for (i = 0; i < m->departure_count; i++)
		if (m->departures[i].instance == instance)
			return &m->departures[i];
	return NULL;
}

static bool tells(const struct member_info *m, const struct departure *d)
{
	uint8_t i;

	for (i = 0; i < m->departure_count; i++)
		if (departure_within(d, &m->departures[i]))
			return true;
	return false;
}

/* Adds what an earlier process of b told to its former record. */
static void add_former(struct member *b, const struct member_info *before)
{
	struct departure *known;
	uint8_t i;

	if (!b->former)
		b->former = calloc(1, sizeof(*b->former));
	if (!b->former)
		return;
	memcpy(b->former->host, before->host, sizeof(before->host));
	b->former->node_addr = before->node_addr;
	b->former->incarnation = before->incarnation;
	for (i = 0; i < before->departure_count; i++) {
		known = find_instance(b->former,
				      before->departures[i].instance);
		if (!known && b->former->departure_count < DEPARTURES_MAX)
			known = &b->former->departures
					 [b->former->departure_count++];
		if (known && !departure_within(&before->departures[i], known))
			*known = before->departures[i];
	}
}

/*
 * Keeps the departures of the record that b had before, if a later process of
 * it has taken over, until its own record tells them.
 */
void member_keep_departures(struct member *b, const struct member_info *before)
{
	uint8_t i;

	if (before->incarnation < b->info.incarnation &&
	    before->departure_count)
		add_former(b, before);
	for (i = 0; b->former && i < b->former->departure_count; i++)
		if (!tells(&b->info, &b->former->departures[i]))
			return;
	free(b->former);
	b->former = NULL;
}

/* Whether the present process of b has yet to learn of departures. */
bool member_has_former(const struct member *b)
{
	return b->former != NULL;
}

/* Reports the departures in the record of an earlier process of this host. */
void members_hear_departures(struct members *m, const struct member_info *info,
			     int64_t now)
{
	if (m->options.departed)
		m->options.departed(m->options.ctx, info->departures,
				    info->departure_count, now);
}

/*
 * Replaces the departures that this node tells. Returns the version of its
 * record that has them.
 */
uint32_t members_set_departures(struct members *m, const struct departure *d,
				size_t n, int64_t now)
{
	struct member_info self = m->self->info;

	if (n > DEPARTURES_MAX)
		n = DEPARTURES_MAX;
	memset(self.departures, 0, sizeof(self.departures));
	if (n)
		memcpy(self.departures, d, n * sizeof(*d));
	self.departure_count = (uint8_t)n;
	self.version++;
	member_update(m, m->self, &self, now);
	return self.version;
}

/*
 * Whether another member has answered since the start, or the store shows that
 * there is none.
 */
bool members_have_answered(const struct members *m)
{
	return m->heard || (m->seed_lease && m->seed_lease->listed &&
			    !m->stored_seed_count && !m->options.seed_count);
}
