/*
 * The end of an upstream's process while it runs calls, which is evidence
 * against them: see policy/poison.h.
 */
#ifndef NODE_UPSTREAM_END_H
#define NODE_UPSTREAM_END_H

#include "node/gates.h"

/*
 * Holds a call whose connection to the upstream was lost until it is known
 * whether the process has ended, and then answers it as unknown. Returns -1 if
 * the call has to be answered at once.
 */
int upstream_end_hold(struct node *n, struct local_upstream *u, struct call *c,
		      int64_t now);
/* Whether the upstream gets no calls, as it has most likely ended. */
bool upstream_end_pending(const struct local_upstream *u);

/*
 * calls.c: answers a held call. calls is 0 if the process runs on; incarnation
 * is 0 too if its end is no evidence against the call.
 */
void call_answer_lost(struct node *n, struct call *c, uint64_t incarnation,
		      uint32_t calls, int64_t now);

#endif
