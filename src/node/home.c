/* Home regions at the gate, whose configuration may be newer than the entry's. */
#include "node/gates.h"
#include "policy/home.h"

bool gates_is_home(const struct node *n, const struct call_head *head)
{
	struct home home = head->account_home;
	const struct account *a;
	const struct route *r;

	if (n->config) {
		r = config_route(n->config, head->route);
		a = head->account[0] ? config_account(n->config, head->account)
				     : NULL;
		if (r)
			home_narrow(&home, &r->home);
		if (a)
			home_narrow(&home, &a->home);
	}
	return !home.bounded ||
	       home_permits(&home, name_hash(n->settings.region));
}

/* Rejects queued calls that the configuration in force keeps from running. */
void gates_drop_away(struct node *n, int64_t now)
{
	struct call *c;
	uint64_t h = 0;
	void *item;

	while ((h = table_next(&n->calls, h, &item))) {
		c = item;
		if (!c->started_us && !gates_is_home(n, &c->head))
			gates_drop_call(n, c, REASON_NO_HOME_UPSTREAM, now);
	}
}
