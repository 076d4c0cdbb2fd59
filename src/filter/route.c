#include "filter/filter.h"

#include "node/node.h"

/*
 * Finds the route by method and path. A root takes class and allowance from
 * it; a sub-call keeps what its root was given.
 */
enum filter_result filter_route(struct node *n, struct request *r, int64_t now)
{
	r->route =
		config_match(r->config, r->message.method, r->message.target);
	if (!r->route)
		return request_refuse(n, r, REASON_NO_ROUTE, OUTCOME_NOT_RUN,
				      now);
	if (r->origin == ORIGIN_CALLER) {
		r->cls = r->route->shed;
		r->allowance = (uint8_t)r->route->retries;
	}
	return FILTER_NEXT;
}
