/* Functions shared by gates.c, calls.c and call_table.c. */
#ifndef NODE_GATES_H
#define NODE_GATES_H

#include "node/node.h"

struct local_upstream *gates_upstream(struct node *n, uint64_t handle);
struct local_upstream *gates_find(struct node *n, const struct addr *a,
				  const char *service);
/* Whether calls may be sent to the upstream. */
bool gates_accepts(const struct node *n, const struct local_upstream *u,
		   int64_t now);
/*
 * Sends no calls to an upstream that could not be connected to until it
 * announces itself again.
 */
void gates_mark_unreachable(struct node *n, uint64_t upstream, int64_t now);
/* Withdraws the upstreams that turned out to have left. */
void gates_apply_leaves(struct node *n, int64_t now);
/* Applies what an upstream says of itself in an answer. */
void gates_heard(struct node *n, struct local_upstream *u,
		 const struct message *answer, int64_t now);
/* upstream_limit.c: the limit that an answer names in a header. */
void upstream_limit_heard(struct local_upstream *u, const struct message *m,
			  const char *header, int64_t now);
/*
 * Treats an upstream of this host as cold until its next heartbeat, if its
 * service has a cold rate.
 */
void gates_presume_cold(struct node *n, struct local_upstream *u, int64_t now);
/* upstream_cold.c: applies the announced rest of a cold period; 0: warm. */
void upstream_cold_heard(struct node *n, struct local_upstream *u,
			 int64_t left_us, int64_t now);
/*
 * Presumes an upstream cold that could not be connected to, and finds out
 * whether its process has ended.
 */
void upstream_cold_unreachable(struct node *n, struct local_upstream *u,
			       int64_t now);
/*
 * Presumes an upstream cold whose process has ended. Its heartbeats may still
 * be on their way.
 */
void upstream_cold_end_seen(struct node *n, struct local_upstream *u,
			    int64_t now);
/* Whether it said so, and its service has a cold rate. */
bool upstream_cold_is_announced(const struct node *n,
				const struct local_upstream *u, int64_t now);
/* Applies the cold rate in force, and the end of a cold period. */
void upstream_cold_update(struct node *n, struct local_upstream *u,
			  int64_t now);
/* Spread time after which a call refused by a cold gate may be sent again. */
uint32_t upstream_cold_retry_after_ms(struct node *n,
				      const struct local_upstream *u,
				      int64_t now);
/* Marks an upstream as gone when another process answers at its address. */
void gates_mark_gone(struct node *n, uint64_t upstream, int64_t now);
/* Answers every queued call of the upstream as not run. */
void gates_drop_queued(struct node *n, uint64_t upstream, int64_t now);
/* Answers a queued call as not run. */
void gates_drop_call(struct node *n, struct call *c, enum reason reason,
		     int64_t now);
/* Whether the home regions of a call permit that it runs in this region. */
bool gates_is_home(const struct node *n, const struct call_head *head);
/* Removes upstreams that are gone and have no calls left. */
void gates_remove_gone(struct node *n, int64_t now);
/* Runs and drops calls of one upstream as its gate decides. */
void gates_dispatch(struct node *n, uint64_t upstream, int64_t now);

/*
 * Adds a call to the table and takes ownership of the contents of msg; NULL
 * when the table is full.
 */
struct call *call_add(struct node *n, enum reply_kind kind, uint64_t reply,
		      const struct call_head *head, struct message *msg,
		      int64_t now);
/* Assigns a context token to a call and indexes it; -1: out of memory. */
int call_index_add(struct node *n, struct call *c);
void call_free(struct node *n, struct call *c);

#endif
