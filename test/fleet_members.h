/*
 * Stubs of the members_* functions over the nodes of the fleet, to be included
 * by one file of a test. In the library of shared parts they would replace the
 * functions themselves in other tests.
 */
#ifndef TEST_FLEET_MEMBERS_H
#define TEST_FLEET_MEMBERS_H

#include <stdlib.h>

#include "quota_fleet.h"

#define COUNT_PERIOD_US (50 * USEC_PER_MSEC) /* of visible members */

static bool is_visible(const struct members *m, size_t i)
{
	const struct fleet *f = m->fleet;
	const struct fleet_node *n = &f->nodes[i];

	if (i == m->node)
		return true;
	if (n->dead && f->now - n->killed_us >= f->o.detection_us)
		return false;
	return fleet_reachable(f, m->node, i);
}

const struct member_info *members_next(const struct members *m,
				       const struct member_info *after)
{
	size_t i = 0;

	if (after)
		i = (size_t)atoi(after->host) + 1;
	for (; i < m->fleet->o.nodes; i++)
		if (is_visible(m, i))
			return &m->fleet->nodes[i].info;
	return NULL;
}

const struct member_info *members_self(const struct members *m)
{
	return &m->fleet->nodes[m->node].info;
}

const struct member_info *members_find(const struct members *m,
				       const struct addr *node_addr)
{
	size_t i;

	for (i = 0; i < m->fleet->o.nodes; i++)
		if (is_visible(m, i) &&
		    addr_equal(&m->fleet->nodes[i].addr, node_addr))
			return &m->fleet->nodes[i].info;
	return NULL;
}

/* All members of the fleet are alive. */
size_t members_count(const struct members *m, enum member_state state)
{
	struct members *view = &m->fleet->views[m->node];
	size_t i;

	if (state != MEMBER_ALIVE)
		return 0;
	if (m->fleet->now - view->counted_us >= COUNT_PERIOD_US) {
		view->counted_us = m->fleet->now;
		view->count = 0;
		for (i = 0; i < m->fleet->o.nodes; i++)
			view->count += is_visible(m, i);
	}
	return view->count;
}

bool members_chosen(const struct members *m, uint64_t topic, size_t k)
{
	(void)topic;
	return m->node < m->fleet->o.data_centres * k;
}

#endif
