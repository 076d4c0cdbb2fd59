/*
 * Queries over several nodes. A query about one request starts with the
 * records of this node, and goes to the nodes that these name, and then to
 * those that the responses name. Only if none of the records tells how the
 * request ended at its entry does it go to all members. Queries about accounts
 * go to all members at once. Each node is queried once, and at most
 * QUERY_MEMBERS_MAX nodes in total.
 */
#include "admin/admin_impl.h"

#include <stdlib.h>
#include <string.h>

#define QUERY_TIMEOUT_US (2 * USEC_PER_SEC)
#define RECORDS_MAX 512 /* from one node */
#define SPANS_MAX 2048	/* from one node */
/* Limit of the items in a response; 1024 bytes stay for the JSON around. */
#define RESPONSE_BYTES_MAX (PEER_BYTES_MAX - 1024)

static void free_query(struct admin_query *q)
{
	table_remove(&q->node->admin_state->queries, q->handle);
	json_object_put(q->items);
	free(q);
}

/* Frees unfinished queries without answering them. */
void admin_queries_free(struct admin *a)
{
	struct admin_query *q;
	uint64_t h = 0;
	void *item;

	while ((h = table_next(&a->queries, h, &item))) {
		q = *(struct admin_query **)item;
		free_query(q);
	}
	table_free(&a->queries);
}

static struct admin_query *query_get(struct node *n, uint64_t handle)
{
	struct admin_query **q = table_get(&n->admin_state->queries, handle);

	return q ? *q : NULL;
}

static struct json_object *local_records(struct node *n, const char *id)
{
	struct decision *found = calloc(RECORDS_MAX, sizeof(*found));
	struct json_object *list = json_object_new_array();
	size_t i, count = 0;

	if (found)
		count = explain_find(n->explain, id, found, RECORDS_MAX);
	for (i = 0; i < count; i++)
		json_object_array_add(list,
				      record_json(&found[i], n->settings.host));
	free(found);
	return list;
}

/*
 * Orders spans by importance, as truncation drops the last ones: refusals and
 * drops come before answers, and frequent decisions before rare ones.
 */
static int by_priority(const void *a, const void *b)
{
	const struct explain_span *x = a, *y = b;
	bool x_is_answer = x->kind == DECISION_ANSWERED;
	bool y_is_answer = y->kind == DECISION_ANSWERED;

	if (x_is_answer != y_is_answer)
		return x_is_answer ? 1 : -1;
	return (x->n < y->n) - (x->n > y->n);
}

static struct json_object *local_spans(struct node *n, const char *account,
				       int64_t since_min)
{
	struct explain_span *found = calloc(SPANS_MAX, sizeof(*found));
	struct json_object *list = json_object_new_array();
	size_t i, count = 0;

	if (found)
		count = explain_spans(n->explain, *account ? account : NULL,
				      since_min, found, SPANS_MAX);
	if (found)
		qsort(found, count, sizeof(*found), by_priority);
	for (i = 0; i < count; i++)
		json_object_array_add(list, span_json(&found[i]));
	free(found);
	return list;
}

static struct json_object *local_items(struct node *n,
				       const struct admin_query *q, int64_t now)
{
	switch (q->kind) {
	case QUERY_DECISIONS:
		return local_records(n, q->id);
	case QUERY_EVACUATIONS:
		return admin_evacuations_json(n, now);
	case QUERY_COUNTS:
	case QUERY_ACCOUNT:
		break;
	}
	return local_spans(n, q->account, q->since_min);
}

static struct json_object *query_json(const struct admin_query *q)
{
	struct json_object *o = json_object_new_object();

	if (q->kind == QUERY_DECISIONS) {
		json_add_text(o, "request", q->id);
		return o;
	}
	if (q->kind == QUERY_EVACUATIONS) {
		json_object_object_add(o, "evacuations",
				       json_object_new_boolean(true));
		return o;
	}
	json_add_text(o, "account", q->account);
	json_add_int(o, "since_min", q->since_min);
	return o;
}

static bool was_queried(const struct admin_query *q, const struct addr *a)
{
	size_t i;

	for (i = 0; i < q->queried_count; i++)
		if (addr_equal(&q->queried[i], a))
			return true;
	return addr_equal(a, &q->node->self);
}

/* Sends the query to a member once, up to QUERY_MEMBERS_MAX members. */
static void query_member(struct admin_query *q, const struct addr *to,
			 int64_t now)
{
	struct json_object *o;

	if (q->queried_count == QUERY_MEMBERS_MAX || was_queried(q, to))
		return;
	o = query_json(q);
	if (admin_send(q->node, to, PEER_QUERY, q->handle,
		       json_object_to_json_string(o), now) == 0)
		q->queried[q->queried_count++] = *to;
	json_object_put(o);
}

static void query_all_members(struct admin_query *q, int64_t now)
{
	const struct member_info *m = NULL;

	q->queried_all = true;
	while ((m = members_next(q->node->members, m)))
		if (m->state != MEMBER_DEAD && m->state != MEMBER_LEFT)
			query_member(q, &m->node_addr, now);
}

/* Queries the peer that a record names, unless it is dead or has left. */
static void query_named_member(struct admin_query *q,
			       struct json_object *record, int64_t now)
{
	const struct member_info *m;
	char host[NAME_SIZE];
	struct decision d;
	struct addr a;

	if (record_read(&d, host, record) < 0 || addr_parse(&a, d.peer) < 0)
		return;
	m = members_find(q->node->members, &a);
	if (m && m->state != MEMBER_DEAD && m->state != MEMBER_LEFT)
		query_member(q, &a, now);
}

/* Whether a record holds the final status of the request, from its entry. */
static bool has_end(const struct admin_query *q)
{
	char host[NAME_SIZE];
	struct decision d;
	size_t i;

	for (i = 0; i < json_object_array_length(q->items); i++)
		if (!record_read(&d, host,
				 json_object_array_get_idx(q->items, i)) &&
		    !strcmp(d.request, q->id) && d.status)
			return true;
	return false;
}

/* Adds items, and queries the members that decision records name. */
static void add_items(struct admin_query *q, struct json_object *list,
		      int64_t now)
{
	struct json_object *item;
	size_t i;

	for (i = 0; i < json_object_array_length(list); i++) {
		if (json_object_array_length(q->items) >=
		    RECORDS_MAX * (size_t)QUERY_MEMBERS_MAX)
			return;
		item = json_object_array_get_idx(list, i);
		json_object_array_add(q->items, json_object_get(item));
		if (q->kind == QUERY_DECISIONS)
			query_named_member(q, item, now);
	}
}

static void finish_query(struct admin_query *q, int64_t now)
{
	query_answer(q, now);
	free_query(q);
}

/*
 * Once all queried nodes have responded, queries the other members if needed
 * or answers. May free q.
 */
static void continue_query(struct admin_query *q, int64_t now)
{
	if (q->responses < q->queried_count)
		return;
	if (!q->queried_all && (q->kind != QUERY_DECISIONS || !has_end(q)))
		query_all_members(q, now);
	if (q->responses == q->queried_count)
		finish_query(q, now);
}

/* Handles a query past its deadline. May free q. */
static void expire_query(struct admin_query *q, int64_t now)
{
	bool more =
		!q->queried_all && q->kind == QUERY_DECISIONS && !has_end(q);

	/* Unresponsive hosts must not keep the others from being queried. */
	if (more)
		query_all_members(q, now);
	q->deadline_us = now + QUERY_TIMEOUT_US;
	if (!more || q->responses == q->queried_count)
		finish_query(q, now);
}

/* Expires queries that passed their deadline. */
void admin_tick(struct node *n, int64_t now)
{
	struct admin_query *q;
	uint64_t h = 0;
	void *item;

	while ((h = table_next(&n->admin_state->queries, h, &item))) {
		q = *(struct admin_query **)item;
		if (now >= q->deadline_us)
			expire_query(q, now);
	}
}

static struct admin_query *
query_add(struct node *n, const struct admin_query *from, int64_t now)
{
	struct admin_query *q = calloc(1, sizeof(*q));
	uint64_t handle = 0;
	void *item;

	if (q)
		handle = table_add(&n->admin_state->queries, &item);
	if (!handle) {
		free(q);
		return NULL;
	}
	*q = *from;
	q->node = n;
	q->handle = handle;
	q->items = json_object_new_array();
	q->deadline_us = now + QUERY_TIMEOUT_US;
	*(struct admin_query **)item = q;
	return q;
}

/*
 * Starts a query with the parameters of from, which are copied; its result
 * answers from->exchange.
 */
void query_start(struct node *n, const struct admin_query *from, int64_t now)
{
	struct admin_query *q = query_add(n, from, now);
	struct json_object *local;

	if (!q) {
		admin_answer_error(n, from->exchange, 503,
				   "too many queries at once",
				   "ask again in a few seconds");
		return;
	}
	local = local_items(n, q, now);
	q->truncated = json_object_array_length(local) ==
		       (q->kind == QUERY_DECISIONS ? RECORDS_MAX : SPANS_MAX);
	add_items(q, local, now);
	json_object_put(local);
	continue_query(q, now);
}

/*
 * Builds a response with as many items as fit into one message, and whether
 * it was truncated. Frees items.
 */
static struct json_object *response_json(struct json_object *items)
{
	struct json_object *o = json_object_new_object();
	struct json_object *list = json_object_new_array(), *item;
	size_t i, size = 0;

	for (i = 0; i < json_object_array_length(items); i++) {
		item = json_object_array_get_idx(items, i);
		size += strlen(json_object_to_json_string_ext(
				item, JSON_C_TO_STRING_PLAIN)) +
			1;
		if (size > RESPONSE_BYTES_MAX)
			break;
		json_object_array_add(list, json_object_get(item));
	}
	json_object_object_add(
		o, "cut",
		json_object_new_boolean(i < json_object_array_length(items) ||
					i == SPANS_MAX || i == RECORDS_MAX));
	json_object_object_add(o, "items", list);
	json_object_put(items);
	return o;
}

/*
 * Responds to a query of another node. A query for neither records nor counts
 * only asks for the number of the note in force.
 */
static void handle_request(struct node *n, const struct peer_msg *msg,
			   struct json_object *o, int64_t now)
{
	const char *id = json_get_text(o, "request");
	const char *account = json_get_text(o, "account");
	struct json_object *since, *response;

	if (*id) {
		response = response_json(local_records(n, id));
	} else if (json_object_object_get_ex(o, "evacuations", NULL)) {
		response = response_json(admin_evacuations_json(n, now));
	} else if (json_object_object_get_ex(o, "since_min", &since)) {
		response = response_json(
			local_spans(n, account, json_object_get_int64(since)));
	} else {
		admin_send_note_number(n, &msg->from, PEER_QUERY_RESPONSE);
		return;
	}
	admin_send(n, &msg->from, PEER_QUERY_RESPONSE, msg->query.id,
		   json_object_to_json_string_ext(response,
						  JSON_C_TO_STRING_PLAIN),
		   now);
	json_object_put(response);
}

static void handle_response(struct node *n, const struct peer_msg *msg,
			    struct json_object *o, int64_t now)
{
	struct admin_query *q = query_get(n, msg->query.id);
	struct json_object *items, *truncated;

	if (!q || !was_queried(q, &msg->from))
		return;
	q->responses++;
	if (json_object_object_get_ex(o, "cut", &truncated))
		q->truncated |= json_object_get_boolean(truncated);
	if (json_object_object_get_ex(o, "items", &items) &&
	    json_object_is_type(items, json_type_array))
		add_items(q, items, now);
	continue_query(q, now);
}

static void log_malformed(const struct peer_msg *msg)
{
	struct error err;
	char peer[ADDR_TEXT_SIZE];

	addr_format(&msg->from, peer);
	error_set(&err, ERROR_INPUT, "query", peer, "not a JSON object");
	log_error(LOG_WARNING, "query-refused", &err);
}

/* Handles a query of another node, or a response to a query of this one. */
void admin_peer(struct node *n, const struct peer_msg *msg, int64_t now)
{
	struct json_tokener *tok = json_tokener_new();
	struct json_object *o = NULL;

	if (!tok)
		return;
	if (msg->query.text.len)
		o = json_tokener_parse_ex(tok,
					  (const char *)msg->query.text.data,
					  (int)msg->query.text.len);
	json_tokener_free(tok);
	if (!json_object_is_type(o, json_type_object))
		log_malformed(msg);
	else if (msg->kind == PEER_QUERY)
		handle_request(n, msg, o, now);
	else
		handle_response(n, msg, o, now);
	json_object_put(o);
}
