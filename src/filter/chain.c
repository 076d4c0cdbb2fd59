#include "filter/filter.h"

#include <stdlib.h>
#include <string.h>

#include "node/evacuation.h"

/* Maps an exchange to its request, to cancel it when the caller is lost. */
struct exchange_index {
	uint64_t exchange;
	uint64_t request;
	UT_hash_handle hh;
};

/* Returns the request, or NULL when it has ended. */
struct request *request_get(struct node *n, uint64_t handle)
{
	return table_get(&n->requests, handle);
}

static enum filter_result run_stage(struct node *n, struct request *r,
				    int64_t now)
{
	switch (r->stage) {
	case STAGE_IDENTITY:
		return filter_identity(n, r, now);
	case STAGE_CONTEXT:
		return filter_context(n, r, now);
	case STAGE_ROUTE:
		return filter_route(n, r, now);
	case STAGE_KEY:
		return filter_key(n, r, now);
	case STAGE_POISON:
		return filter_poison(n, r, now);
	case STAGE_DUPLICATE:
		return filter_duplicate(n, r, now);
	case STAGE_DEADLINE:
		return filter_deadline(n, r, now);
	case STAGE_SHED:
		return filter_shed(n, r, now);
	case STAGE_LIMIT:
		return filter_limit(n, r, now);
	case STAGE_CLAIM:
		return filter_claim(n, r, now);
	case STAGE_PLACE:
		return filter_place(n, r, now);
	}
	return FILTER_END;
}

/*
 * Runs the filters from the current stage until the request waits or ends.
 * A filter that returns FILTER_END has freed the request.
 */
void request_resume(struct node *n, uint64_t handle, int64_t now)
{
	struct request *r = request_get(n, handle);

	while (r && run_stage(n, r, now) == FILTER_NEXT) {
		r = request_get(n, handle);
		if (r)
			r->stage++;
	}
}

/* Refuses an exchange for which no struct request exists; nothing ran. */
static void refuse_exchange(const struct interface_headers *headers,
			    struct http_server *server, uint64_t exchange,
			    enum reason reason)
{
	struct message m = {0};

	problem_fill(&m, reason, OUTCOME_NOT_RUN, NULL);
	if (headers->outcome)
		message_add_header(&m, headers->outcome, "not-run");
	message_add_header(&m, "retry-after", "1");
	http_server_respond(server, exchange, &m);
	message_free(&m);
	counter_add(COUNTER_REFUSED, 1);
}

/* Adds a request to the table and moves msg; 0: over a limit of the node. */
static uint64_t add_request(struct node *n, struct message *msg,
			    struct request **r)
{
	uint64_t handle;
	void *item;

	if (n->body_bytes + msg->body.len > n->settings.memory_limit)
		return 0;
	handle = table_add(&n->requests, &item);
	if (!handle)
		return 0;
	*r = item;
	(*r)->handle = handle;
	(*r)->message = *msg;
	memset(msg, 0, sizeof(*msg));
	n->body_bytes += (*r)->message.body.len;
	return handle;
}

/*
 * Whether a message from a caller may be a sub-call of a running request: one
 * without a key, where the interface has no context header. A stopping node
 * still accepts these, so that running requests can finish.
 */
static bool may_be_sub_call(const struct node *n, const struct message *m)
{
	return !n->headers->context && !message_header(m, "authorization");
}

/*
 * Adds a request and runs its filters. It is refused at once if it exceeds the
 * limits of this node or there is no configuration yet, and so is a caller's
 * request that cannot be a sub-call when the node is stopping.
 */
void request_start(struct node *n, enum request_origin origin,
		   uint64_t exchange, struct message *msg, int64_t now)
{
	struct http_server *server =
		origin == ORIGIN_CALLER ? n->callers : n->services;
	struct exchange_index *index;
	struct request *r;
	uint64_t handle;

	counter_add(origin == ORIGIN_CALLER ? COUNTER_REQUESTS
					    : COUNTER_SUB_CALLS,
		    1);
	if (!node_is_configured(n)) {
		refuse_exchange(n->headers, server, exchange,
				REASON_NOT_CONFIGURED);
		return;
	}
	if (origin == ORIGIN_CALLER && node_refuses_requests(n, now) &&
	    !may_be_sub_call(n, msg)) {
		refuse_exchange(n->headers, n->callers, exchange,
				REASON_STOPPING);
		return;
	}
	index = calloc(1, sizeof(*index));
	handle = index ? add_request(n, msg, &r) : 0;
	if (!handle) {
		free(index);
		refuse_exchange(n->headers, server, exchange,
				REASON_OVERLOADED);
		return;
	}
	index->exchange = exchange;
	index->request = handle;
	HASH_ADD(hh, n->exchanges, exchange, sizeof(exchange), index);
	r->origin = origin;
	r->server = server;
	r->exchange = exchange;
	r->arrived_us = now;
	r->config = config_get(n->config);
	request_resume(n, handle, now);
}

/* Returns the request that an exchange belongs to, or 0. */
uint64_t request_of_exchange(struct node *n, uint64_t exchange)
{
	struct exchange_index *index;

	HASH_FIND(hh, n->exchanges, &exchange, sizeof(exchange), index);
	return index ? index->request : 0;
}

/* Detaches the exchange: its caller has disconnected or has its answer. */
void request_drop_exchange(struct node *n, struct request *r)
{
	struct exchange_index *index;

	if (!r->exchange)
		return;
	HASH_FIND(hh, n->exchanges, &r->exchange, sizeof(r->exchange), index);
	if (index) {
		HASH_DEL(n->exchanges, index);
		free(index);
	}
	r->exchange = 0;
}
