#include "admin/admin_impl.h"

#include <stdlib.h>
#include <utlist.h>

/*
 * Allocates zeroed state for a request that waits for the store; its first
 * member must be a struct admin_pending. State still listed when the node
 * closes is freed by admin_pending_free_all, because the callback of the store
 * never runs then. Returns NULL when out of memory, after answering 503.
 */
void *admin_pending_new(struct admin_call *c, size_t size)
{
	struct admin_pending *p = calloc(1, size);

	if (!p) {
		admin_answer_error(c->node, c->exchange, 503, "no memory",
				   "ask again later");
		return NULL;
	}
	p->node = c->node;
	DL_APPEND(c->node->admin_state->pending, p);
	return p;
}

/* Frees the state of a request that was answered. */
void admin_pending_free(struct admin_pending *p)
{
	DL_DELETE(p->node->admin_state->pending, p);
	json_object_put(p->json);
	free(p);
}

/* Frees the state of all pending requests when the node closes. */
void admin_pending_free_all(struct admin *a)
{
	struct admin_pending *p, *next;

	DL_FOREACH_SAFE(a->pending, p, next)
	{
		json_object_put(p->json);
		free(p);
	}
	a->pending = NULL;
}
