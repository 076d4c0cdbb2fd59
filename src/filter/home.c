/*
 * The home regions of a request: where its route and its account allow it to
 * be sent. Its body leaves this host for no other region.
 */
#include "filter/filter.h"

#include <stdio.h>
#include <string.h>

#include "node/node.h"
#include "policy/home.h"

/*
 * Whether the request may be the sub-call of a call that this node does not
 * know, for instance because the gate was restarted while it ran. The account
 * of its root is then unknown.
 */
static bool lacks_parent(const struct node *n, const struct request *r)
{
	return r->presumed_sub_call && r->id_from_caller && !r->parent &&
	       strchr(r->id, '.') && config_has_account_homes(n->config);
}

/*
 * Finds where the request may be sent. While a configuration newer than that
 * which the request began with is in force, the home regions of both apply.
 */
void home_find(struct node *n, struct request *r)
{
	const struct route *newer = NULL;
	const struct account *a = r->account;

	if (a)
		home_narrow(&r->account_home, &a->home);
	if (n->config != r->config) {
		newer = route_find(n->config, &r->message);
		a = a ? config_account(n->config, a->name) : NULL;
		if (a)
			home_narrow(&r->account_home, &a->home);
	}
	/* The unknown root's call runs here, so it may run in this region. */
	if (lacks_parent(n, r))
		home_narrow_to(&r->account_home, name_hash(n->settings.region));
	r->home = r->account_home;
	home_narrow(&r->home, &r->route->home);
	if (newer)
		home_narrow(&r->home, &newer->home);
}

static void add_regions(struct request *r, const char *name,
			const struct region_set *set)
{
	size_t len = strlen(r->inputs), i;

	for (i = 0; i < set->count && len < sizeof(r->inputs); i++) {
		snprintf(r->inputs + len, sizeof(r->inputs) - len, "%s%s%s",
			 i     ? ","
			 : len ? " "
			       : "",
			 i ? "" : name, set->names[i]);
		len = strlen(r->inputs);
	}
}

/*
 * Returns why there is no upstream for the request; if its home regions may be
 * the cause, puts their names into the inputs of the log line.
 */
enum reason home_refusal(struct request *r)
{
	if (!r->home.bounded)
		return REASON_NO_UPSTREAM;
	r->inputs[0] = 0;
	add_regions(r, "route=", &r->route->home);
	if (r->account)
		add_regions(r, "account=", &r->account->home);
	return REASON_NO_HOME_UPSTREAM;
}

/*
 * Places requests again that wait for a link to a region that the
 * configuration in force no longer allows. Nothing of them has been sent.
 */
void home_config_changed(struct node *n, int64_t now)
{
	const struct known_upstream *u;
	struct request *r;
	uint64_t h = 0;
	void *item;

	while ((h = table_next(&n->requests, h, &item))) {
		r = item;
		if (!r->in_flight || !r->link_call ||
		    !links_is_unsent(n->links, r->link_call))
			continue;
		home_find(n, r);
		u = directory_get(n->directory, r->upstream);
		if (!r->home.bounded ||
		    (u && home_permits(&r->home, u->region)))
			continue;
		place_cancel(n, r, now);
		r->in_flight = false;
		r->link_call = 0;
		request_resume(n, h, now);
	}
}
