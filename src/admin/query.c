/*
 * Queries over several nodes. The node that is asked takes its own records,
 * asks the nodes that these name, and those that their answers name; if no
 * answer tells how the request came in, it asks the other members it knows.
 * Each is asked once, and no more than MEMBERS_ASKED_MAX in all.
 */
#include "admin/admin_impl.h"

#include <stdlib.h>
#include <string.h>

#define QUERY_TIMEOUT_US (2 * USEC_PER_SEC)
#define RECORDS_MAX 512
#define SPANS_MAX 2048
#define ANSWER_BYTES_MAX (PEER_BYTES_MAX - 1024) /* leaves room for the end */

static void free_query(struct admin_query *q)
{
	table_remove(&q->node->api->queries, q->handle);
	json_object_put(q->items);
	free(q);
}

/* Frees the queries under way without an answer. */
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
	struct admin_query **q = table_get(&n->api->queries, handle);

	return q ? *q : NULL;
}

static struct json_object *own_records(struct node *n, const char *id)
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

/* Refusals and drops first, then the most frequent: what a cut should keep. */
static int by_weight(const void *a, const void *b)
{
	const struct explain_span *x = a, *y = b;
	bool x_answered = x->kind == DECISION_ANSWERED;
	bool y_answered = y->kind == DECISION_ANSWERED;

	if (x_answered != y_answered)
		return x_answered ? 1 : -1;
	return (x->n < y->n) - (x->n > y->n);
}

static struct json_object *own_spans(struct node *n, const char *account,
				     int64_t since_min)
{
	struct explain_span *found = calloc(SPANS_MAX, sizeof(*found));
	struct json_object *list = json_object_new_array();
	size_t i, count = 0;

	if (found)
		count = explain_spans(n->explain, *account ? account : NULL,
				      since_min, found, SPANS_MAX);
	if (found)
		qsort(found, count, sizeof(*found), by_weight);
	for (i = 0; i < count; i++)
		json_object_array_add(list, span_json(&found[i]));
	free(found);
	return list;
}

static struct json_object *question(const struct admin_query *q)
{
	struct json_object *o = json_object_new_object();

	if (q->kind == QUERY_DECISIONS) {
		json_add_text(o, "request", q->id);
		return o;
	}
	json_add_text(o, "account", q->account);
	json_add_int(o, "since_min", q->since_min);
	return o;
}

static bool was_asked(const struct admin_query *q, const struct addr *a)
{
	size_t i;

	for (i = 0; i < q->asked_count; i++)
		if (addr_equal(&q->asked[i], a))
			return true;
	return addr_equal(a, &q->node->self);
}

static void ask(struct admin_query *q, const struct addr *to, int64_t now)
{
	struct json_object *o;

	if (q->asked_count == MEMBERS_ASKED_MAX || was_asked(q, to))
		return;
	o = question(q);
	if (admin_send(q->node, to, PEER_QUERY, q->handle,
		       json_object_to_json_string(o), now) == 0)
		q->asked[q->asked_count++] = *to;
	json_object_put(o);
}

static void ask_others(struct admin_query *q, int64_t now)
{
	const struct member_info *m = NULL;

	q->asked_others = true;
	while ((m = members_next(q->node->members, m)))
		if (m->state != MEMBER_DEAD && m->state != MEMBER_LEFT)
			ask(q, &m->node_addr, now);
}

/* Asks the members that a record names. */
static void follow(struct admin_query *q, struct json_object *record,
		   int64_t now)
{
	const struct member_info *m;
	char host[NAME_SIZE];
	struct decision d;
	struct addr a;

	if (record_read(&d, host, record) < 0 || addr_parse(&a, d.peer) < 0)
		return;
	m = members_find(q->node->members, &a);
	if (m && m->state != MEMBER_DEAD && m->state != MEMBER_LEFT)
		ask(q, &a, now);
}

/* Whether a record tells how the request itself ended at its entry. */
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

static void take_items(struct admin_query *q, struct json_object *list,
		       int64_t now)
{
	struct json_object *item;
	size_t i;

	for (i = 0; i < json_object_array_length(list); i++) {
		if (json_object_array_length(q->items) >=
		    RECORDS_MAX * (size_t)MEMBERS_ASKED_MAX)
			return;
		item = json_object_array_get_idx(list, i);
		json_object_array_add(q->items, json_object_get(item));
		if (q->kind == QUERY_DECISIONS)
			follow(q, item, now);
	}
}

static void finish(struct admin_query *q, int64_t now)
{
	query_answer(q, now);
	free_query(q);
}

/* Asks further if need be, or answers; q may be gone afterwards. */
static void go_on(struct admin_query *q, int64_t now)
{
	if (q->answered < q->asked_count)
		return;
	if (!q->asked_others && (q->kind != QUERY_DECISIONS || !has_end(q)))
		ask_others(q, now);
	if (q->answered == q->asked_count)
		finish(q, now);
}

/* The time of a query is over; q may be gone afterwards. */
static void time_out(struct admin_query *q, int64_t now)
{
	bool more =
		!q->asked_others && q->kind == QUERY_DECISIONS && !has_end(q);

	/* Silent hosts must not hide what the others know. */
	if (more)
		ask_others(q, now);
	q->deadline_us = now + QUERY_TIMEOUT_US;
	if (!more || q->answered == q->asked_count)
		finish(q, now);
}

/* Ends queries whose time is over. */
void admin_tick(struct node *n, int64_t now)
{
	struct admin_query *q;
	uint64_t h = 0;
	void *item;

	while ((h = table_next(&n->api->queries, h, &item))) {
		q = *(struct admin_query **)item;
		if (now >= q->deadline_us)
			time_out(q, now);
	}
}

static struct admin_query *
query_add(struct node *n, const struct admin_query *from, int64_t now)
{
	struct admin_query *q = calloc(1, sizeof(*q));
	uint64_t handle = 0;
	void *item;

	if (q)
		handle = table_add(&n->api->queries, &item);
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

/* Starts a query; its answer goes to the exchange of q, which is copied. */
void query_start(struct node *n, const struct admin_query *from, int64_t now)
{
	struct admin_query *q = query_add(n, from, now);
	struct json_object *own;

	if (!q) {
		admin_answer_error(n, from->exchange, 503,
				   "too many queries at once",
				   "ask again in a few seconds");
		return;
	}
	own = q->kind == QUERY_DECISIONS
		      ? own_records(n, q->id)
		      : own_spans(n, q->account, q->since_min);
	q->cut = json_object_array_length(own) ==
		 (q->kind == QUERY_DECISIONS ? RECORDS_MAX : SPANS_MAX);
	take_items(q, own, now);
	json_object_put(own);
	go_on(q, now);
}

/* As many items as fit into one message, and whether all did. */
static struct json_object *fitting(struct json_object *items)
{
	struct json_object *o = json_object_new_object();
	struct json_object *list = json_object_new_array(), *item;
	size_t i, size = 0;

	for (i = 0; i < json_object_array_length(items); i++) {
		item = json_object_array_get_idx(items, i);
		size += strlen(json_object_to_json_string_ext(
				item, JSON_C_TO_STRING_PLAIN)) +
			1;
		if (size > ANSWER_BYTES_MAX)
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

static void answer_peer(struct node *n, const struct peer_msg *msg,
			struct json_object *o, int64_t now)
{
	const char *id = admin_text(o, "request");
	const char *account = admin_text(o, "account");
	struct json_object *since, *answer;

	if (*id) {
		answer = fitting(own_records(n, id));
	} else if (json_object_object_get_ex(o, "since_min", &since)) {
		answer = fitting(
			own_spans(n, account, json_object_get_int64(since)));
	} else {
		admin_tell_number(n, &msg->from, PEER_QUERY_ANSWER);
		return;
	}
	admin_send(
		n, &msg->from, PEER_QUERY_ANSWER, msg->query.id,
		json_object_to_json_string_ext(answer, JSON_C_TO_STRING_PLAIN),
		now);
	json_object_put(answer);
}

static void take_answer(struct node *n, const struct peer_msg *msg,
			struct json_object *o, int64_t now)
{
	struct admin_query *q = query_get(n, msg->query.id);
	struct json_object *items, *cut;

	if (!q || !was_asked(q, &msg->from))
		return;
	q->answered++;
	if (json_object_object_get_ex(o, "cut", &cut))
		q->cut |= json_object_get_boolean(cut);
	if (json_object_object_get_ex(o, "items", &items) &&
	    json_object_is_type(items, json_type_array))
		take_items(q, items, now);
	go_on(q, now);
}

static void log_peer_fault(const struct peer_msg *msg)
{
	struct error err;
	char peer[ADDR_TEXT_SIZE];

	addr_format(&msg->from, peer);
	error_set(&err, ERROR_INPUT, "query", peer, "not a JSON object");
	log_error(LOG_WARNING, "query-refused", &err);
}

/* Takes a query of another node, or the answer to one of ours. */
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
		log_peer_fault(msg);
	else if (msg->kind == PEER_QUERY)
		answer_peer(n, msg, o, now);
	else
		take_answer(n, msg, o, now);
	json_object_put(o);
}
