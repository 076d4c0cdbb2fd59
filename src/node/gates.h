/* Shared by the files of the gates. */
#ifndef NODE_GATES_H
#define NODE_GATES_H

#include "node/node.h"

struct local_upstream *gates_upstream(struct node *n, uint64_t handle);
struct local_upstream *gates_find(struct node *n, const struct addr *a,
				  const char *service);
bool gates_accepts(const struct node *n, const struct local_upstream *u,
		   int64_t now);
void gates_mark_unreachable(struct node *n, uint64_t upstream, int64_t now);
void gates_mark_gone(struct node *n, uint64_t upstream, int64_t now);
void gates_drop_queued(struct node *n, uint64_t upstream, int64_t now);
void gates_remove_gone(struct node *n, int64_t now);
/* Lets the gate of one upstream name the next calls to run or drop. */
void gates_dispatch(struct node *n, uint64_t upstream, int64_t now);

struct call *call_add(struct node *n, enum reply_kind kind, uint64_t reply,
		      const struct call_head *head, struct message *msg,
		      int64_t now);
int call_index_add(struct node *n, struct call *c);
void call_free(struct node *n, struct call *c);

#endif
