#include "filter/filter.h"

#include "node/node.h"

/* Picks one of the services that share the route, at random by weight. */
static const char *pick_service(struct node *n, const struct route *route)
{
	uint64_t total = 0, point;
	size_t i;

	for (i = 0; i < route->weighted_count; i++)
		total += route->weighted_services[i].weight;
	if (!total)
		return route->service;
	point = node_random(n) % total;
	for (i = 0; point >= route->weighted_services[i].weight; i++)
		point -= route->weighted_services[i].weight;
	return route->weighted_services[i].service;
}

const struct route *route_find(const struct config *c, const struct message *m)
{
	const char *host = message_header(m, "host");
	const struct route *route = NULL;

	if (host)
		route = config_match_host_prefix(c, host, m->target);
	return route ? route : config_match(c, m->method, m->target);
}

/*
 * Finds the route by host and path, or else by method and path. A root takes
 * its class and allowance from the route; a sub-call keeps those it inherited.
 */
enum filter_result filter_route(struct node *n, struct request *r, int64_t now)
{
	r->route = route_find(r->config, &r->message);
	if (!r->route)
		return request_refuse(n, r, REASON_NO_ROUTE, OUTCOME_NOT_RUN,
				      now);
	r->service = pick_service(n, r->route);
	if (r->origin == ORIGIN_CALLER)
		r->cls = r->route->shed;
	/* Without a context header, a sub-call inherits no allowance. */
	if (r->origin == ORIGIN_CALLER || !n->headers->context)
		r->allowance = (uint8_t)r->route->retries;
	return FILTER_NEXT;
}
