/* What this node, as an entry, knows of cold upstreams. */
#ifndef NODE_KNOWN_COLD_H
#define NODE_KNOWN_COLD_H

#include "node/node.h"

/*
 * Learns the state that an upstream's host published; equal values are the
 * same state, received again.
 */
void known_cold_heard(struct node *n, struct known_upstream *u,
		      uint32_t cold_ms, int64_t now);
/* Learns from a refusal that an upstream is cold. */
void known_cold_refused(struct node *n, struct known_upstream *u, int64_t now);
/* Whether the upstream is cold, by the clock of this node. */
bool known_cold_is(struct node *n, struct known_upstream *u, int64_t now);
/* Fills in the cold rate of a candidate, and whether it is due for a call. */
void known_cold_candidate(struct node *n, const struct request *r,
			  struct known_upstream *u, struct balance_candidate *c,
			  int64_t now);
bool known_cold_warm_exists(struct node *n, const char *service, int64_t now);
/*
 * Whether to ignore the cutoffs of an answer: a cold upstream takes less than
 * its service, whose warm upstreams take the rest.
 */
bool known_cold_hides_cutoff(struct node *n, struct known_upstream *u,
			     const struct answer_head *head, int64_t now);
/*
 * Whether a call refused by a cold gate may go to another one: if all are cold,
 * a root is shed, while calls on whose root work was spent may try.
 */
bool known_cold_may_reroute(struct node *n, const struct request *r,
			    int64_t now);
/* Spread time until a service's upstreams are warm, if all are cold; or 0. */
uint32_t known_cold_retry_after_ms(struct node *n, uint64_t service,
				   int64_t now);
void known_cold_free(struct node *n);

#endif
