#include "filter/filter.h"

#include <stdlib.h>

#include "node/node.h"

/* A service not reported as a route's bottleneck for this long expires. */
#define BOTTLENECK_EXPIRY_US (10 * USEC_PER_SEC)

struct seen_service {
	uint64_t service; /* 0: free */
	int64_t seen_us;
};

/* The services that had the tightest cutoff in the chains of a route. */
struct bottlenecks {
	uint64_t route;
	struct seen_service seen[BOTTLENECKS_MAX];
	UT_hash_handle hh;
};

static struct bottlenecks *find(struct node *n, uint64_t route)
{
	struct bottlenecks *b;

	HASH_FIND(hh, n->bottlenecks, &route, sizeof(route), b);
	return b;
}

static struct bottlenecks *add(struct node *n, uint64_t route)
{
	struct bottlenecks *b = calloc(1, sizeof(*b));

	if (!b)
		return NULL;
	b->route = route;
	HASH_ADD(hh, n->bottlenecks, route, sizeof(route), b);
	return b;
}

/* Records the service that an answer reported as a route's bottleneck. */
void bottlenecks_learn(struct node *n, uint64_t route, uint64_t service,
		       int64_t now)
{
	struct bottlenecks *b = find(n, route);
	struct seen_service *oldest;
	size_t i;

	if (!b)
		b = add(n, route);
	if (!b)
		return;
	oldest = &b->seen[0];
	for (i = 0; i < BOTTLENECKS_MAX; i++) {
		if (b->seen[i].service == service) {
			b->seen[i].seen_us = now;
			return;
		}
		if (b->seen[i].seen_us < oldest->seen_us)
			oldest = &b->seen[i];
	}
	oldest->service = service;
	oldest->seen_us = now;
}

/* Lists the bottlenecks of a route that have not expired. */
size_t bottlenecks_list(struct node *n, uint64_t route,
			uint64_t services[BOTTLENECKS_MAX], int64_t now)
{
	const struct bottlenecks *b = find(n, route);
	size_t count = 0, i;

	for (i = 0; b && i < BOTTLENECKS_MAX; i++)
		if (b->seen[i].service &&
		    now - b->seen[i].seen_us < BOTTLENECK_EXPIRY_US)
			services[count++] = b->seen[i].service;
	return count;
}

void bottlenecks_free(struct node *n)
{
	struct bottlenecks *b = n->bottlenecks, *next;

	HASH_CLEAR(hh, n->bottlenecks);
	for (; b; b = next) {
		next = b->hh.next;
		free(b);
	}
}
