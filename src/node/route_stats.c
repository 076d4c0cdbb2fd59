#include "node/node.h"

#include <stdlib.h>

#define GAIN 0.05	/* weight of a request */
#define ROUTES_MAX 4096 /* then all are forgotten, as routes come and go */

void route_stats_free(struct node *n)
{
	struct route_stats *s = n->route_stats, *next;

	HASH_CLEAR(hh, n->route_stats);
	for (; s; s = next) {
		next = s->hh.next;
		free(s);
	}
}

struct route_stats *route_stats(struct node *n, const char *route)
{
	uint64_t hash = name_hash(route);
	struct route_stats *s;

	HASH_FIND(hh, n->route_stats, &hash, sizeof(hash), s);
	if (s)
		return s;
	if (HASH_COUNT(n->route_stats) >= ROUTES_MAX)
		route_stats_free(n);
	s = calloc(1, sizeof(*s));
	if (!s)
		return NULL;
	s->route = hash;
	HASH_ADD(hh, n->route_stats, route, sizeof(s->route), s);
	return s;
}

/* Counts a call that was answered, as its entry sees it. */
void route_stats_add_runs(struct node *n, const char *route, uint32_t runs)
{
	struct route_stats *s = route_stats(n, route);

	if (!s)
		return;
	if (s->runs <= 0)
		s->runs = runs;
	s->runs += (runs - s->runs) * GAIN;
}

/* Counts the body of an answer of the route. */
void route_stats_add_answer(struct node *n, const char *route, size_t bytes)
{
	struct route_stats *s = route_stats(n, route);

	if (!s)
		return;
	if (s->answer_bytes <= 0)
		s->answer_bytes = (double)bytes;
	s->answer_bytes += ((double)bytes - s->answer_bytes) * GAIN;
}

/* Counts a run that ended well, as the node beside its upstream sees it. */
void route_stats_add_sub_calls(struct node *n, const char *route,
			       uint32_t sub_calls)
{
	struct route_stats *s = route_stats(n, route);

	if (s)
		s->sub_calls += (sub_calls - s->sub_calls) * GAIN;
}
