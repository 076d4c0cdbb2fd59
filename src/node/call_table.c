#include <stdlib.h>
#include <string.h>

#include "node/gates.h"

/* Returns the call with this handle, or NULL if it has ended. */
struct call *gates_call_get(struct node *n, uint64_t handle)
{
	return table_get(&n->calls, handle);
}

/* Returns the running call to which a context token was issued, or NULL. */
struct call *gates_call_by_token(struct node *n, const char *token)
{
	struct call_index *index;
	struct call *c;

	if (strlen(token) != TOKEN_SIZE - 1)
		return NULL;
	HASH_FIND(hh_token, n->by_token, token, TOKEN_SIZE - 1, index);
	if (!index)
		return NULL;
	c = gates_call_get(n, index->call);
	return c && c->started_us ? c : NULL;
}

struct call *gates_call_by_request(struct node *n, const char *id, size_t len)
{
	struct call_index *index;
	struct call *c;

	HASH_FIND(hh_request, n->by_request, id, len, index);
	if (!index)
		return NULL;
	c = gates_call_get(n, index->call);
	return c && c->started_us ? c : NULL;
}

/*
 * Records the admission that a sub-call received from a service. The call
 * keeps the lowest one and its service, and reports them to the entry in
 * its answer.
 */
void call_record_admission(struct call *c, uint64_t service, struct admission a)
{
	if (c->sub_call_service && !admission_tighter(a, c->sub_call_admission))
		return;
	c->sub_call_admission = a;
	c->sub_call_service = service;
}

/*
 * Assigns a context token to the call and indexes the call by token, by
 * request identity and, if it came over a link, by stream. Returns -1 when
 * out of memory.
 */
int call_index_add(struct node *n, struct call *c)
{
	struct call_index *index = calloc(1, sizeof(*index));

	if (!index)
		return -1;
	random_token(index->token, sizeof(index->token));
	memcpy(c->token, index->token, sizeof(c->token));
	index->call = c->handle;
	c->index = index;
	HASH_ADD(hh_token, n->by_token, token, TOKEN_SIZE - 1, index);
	memcpy(index->request, c->head.request, sizeof(index->request));
	HASH_ADD(hh_request, n->by_request, request[0],
		 (unsigned)strlen(index->request), index);
	if (c->reply_kind != REPLY_LINK)
		return 0;
	index->stream = c->reply.stream;
	HASH_ADD(hh_stream, n->by_stream, stream, sizeof(index->stream), index);
	return 0;
}

static void unindex_call(struct node *n, struct call *c)
{
	struct call_index *index = c->index;

	HASH_DELETE(hh_token, n->by_token, index);
	HASH_DELETE(hh_request, n->by_request, index);
	if (c->reply_kind == REPLY_LINK)
		HASH_DELETE(hh_stream, n->by_stream, index);
	free(index);
}

/* Removes a call from its indexes and from the table, and frees it. */
void call_free(struct node *n, struct call *c)
{
	uint64_t handle = c->handle;

	if (c->index)
		unindex_call(n, c);
	message_free(&c->message);
	table_remove(&n->calls, handle);
}

/*
 * Adds a call to the table and takes ownership of the contents of msg.
 * Returns NULL, with msg unchanged, when the table is full.
 */
struct call *call_add(struct node *n, enum reply_kind kind, uint64_t reply,
		      const struct call_head *head, struct message *msg,
		      int64_t now)
{
	struct call *c;
	void *item;
	uint64_t h = table_add(&n->calls, &item);
	size_t i;

	if (!h)
		return NULL;
	c = item;
	c->handle = h;
	c->reply_kind = kind;
	if (kind == REPLY_LINK)
		c->reply.stream = reply;
	else
		c->reply.request = reply;
	c->head = *head;
	c->message = *msg;
	memset(msg, 0, sizeof(*msg));
	c->arrived_us = now;
	c->deadline_us =
		node_last_deadline(n, now + head->deadline_ms * USEC_PER_MSEC);
	c->allowance = head->allowance;
	for (i = 0; i < SHED_CLASSES; i++)
		c->sub_call_admission.admitted[i] = ADMIT_ALL;
	return c;
}

/* Frees all calls without answering them. Used when the node closes. */
void calls_free(struct node *n)
{
	uint64_t h = 0;
	void *item;

	while ((h = table_next(&n->calls, h, &item)))
		call_free(n, item);
	table_free(&n->calls);
}
