#include "filter/filter.h"

#include "node/node.h"

/* Of the 64 bits of a random number, as many as a double holds exactly. */
#define RANDOM_SHIFT 11
#define RANDOM_RANGE 0x1p53

/* Picks one of the services that share the route, at random by weight. */
static const char *pick_service(struct node *n, const struct route *route)
{
	const struct split *s = route->split;
	const char *service = route->service;
	double point;
	size_t i;

	if (!s || s->total <= 0)
		return service;
	point = (double)(node_random(n) >> RANDOM_SHIFT) / RANDOM_RANGE *
		s->total;
	for (i = 0; i < s->n; i++) {
		if (s->parts[i].weight <= 0)
			continue;
		service = s->parts[i].service;
		if (point < s->parts[i].weight)
			break;
		point -= s->parts[i].weight;
	}
	return service;
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
		r->allowance = r->route->retries < UINT8_MAX
				       ? (uint8_t)r->route->retries
				       : UINT8_MAX;
	return FILTER_NEXT;
}
