/* The upstreams that a request may be sent to, and the choice among them. */
#include "filter/filter.h"

#include "node/evacuation.h"
#include "node/known_cold.h"
#include "node/node.h"
#include "policy/home.h"

#define CANDIDATES_MAX 64
/*
 * A call goes to another data centre only if that saves at least the route's
 * target time, within which an answer is worth most, divided by this.
 */
#define DETOUR_DIVISOR 6
/*
 * With the platform interface, most upstreams that are new to a node are warm
 * already and only their gate has restarted. Twenty answers show how much load
 * they can take, so the warm-up is shorter than by default.
 */
#define PLATFORM_WARM_UP_US USEC_PER_SEC

static bool was_tried(const struct request *r, uint64_t upstream)
{
	size_t i;

	for (i = 0; i < sizeof(r->tried) / sizeof(*r->tried); i++)
		if (r->tried[i] == upstream)
			return true;
	return false;
}

struct placement {
	const struct node *node;
	const struct request *request;
	int64_t now;
};

/* Whether the request may be sent to the upstream at all. */
static bool is_permitted(const struct known_upstream *u, void *ctx)
{
	const struct placement *p = ctx;

	return home_permits(&p->request->home, u->region) &&
	       evacuation_permits(p->node, p->request, u->data_centre, p->now);
}

/* Picks one of the permitted upstreams at random, preferring faster ones. */
uint64_t candidates_pick(struct node *n, struct request *r, int64_t now)
{
	struct balance_candidate c[CANDIDATES_MAX];
	uint64_t handles[CANDIDATES_MAX];
	struct placement placement = {n, r, now};
	struct known_upstream *u;
	size_t count, i;
	int picked;

	home_find(n, r);
	count = directory_list(n->directory, r->service, is_permitted,
			       &placement, handles, CANDIDATES_MAX);
	for (i = 0; i < count; i++) {
		u = directory_get(n->directory, handles[i]);
		c[i] = (struct balance_candidate){
			.load = &u->load,
			.slots = u->info.slots,
			.same_data_centre = u->same_data_centre,
			.data_centre = u->data_centre,
			.detour_us = r->route->target_us / DETOUR_DIVISOR,
			.failure_us = r->route->target_us,
			.tried = was_tried(r, handles[i]) ||
				 links_is_suspect(n->links, &u->member),
		};
		if (n->settings.interface == INTERFACE_PLATFORM)
			c[i].warm_up_us = PLATFORM_WARM_UP_US;
		known_cold_candidate(n, r, u, &c[i], now);
	}
	count = cold_select(c, handles, count, now);
	count = crossing_narrow(n, r, c, handles, count, now);
	picked = balance_pick(c, count, node_random(n), now);
	if (picked < 0)
		return 0;
	if (c[picked].cold_rate > 0) {
		u = directory_get(n->directory, handles[picked]);
		cold_share_take(&u->cold_share);
	}
	return handles[picked];
}
