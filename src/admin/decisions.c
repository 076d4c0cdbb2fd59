#include "admin/admin_impl.h"

#include <stdlib.h>
#include <string.h>

#define SPANS_MAX 4096 /* merged spans of one answer */

/* A decision record and the host that stores it. */
struct host_record {
	struct decision d;
	char host[NAME_SIZE];
};

static int by_time(const void *a, const void *b)
{
	int64_t x = ((const struct host_record *)a)->d.wall_us;
	int64_t y = ((const struct host_record *)b)->d.wall_us;

	return (x > y) - (x < y);
}

/*
 * Parses the records of a query and sorts them by time. Malformed records are
 * skipped; the caller frees the list, which is NULL when out of memory.
 */
static struct host_record *sorted_records(struct json_object *items, size_t *n)
{
	size_t i, count = json_object_array_length(items);
	struct host_record *list = calloc(count + 1, sizeof(*list));

	*n = 0;
	for (i = 0; list && i < count; i++)
		if (!record_read(&list[*n].d, list[*n].host,
				 json_object_array_get_idx(items, i)))
			(*n)++;
	if (list)
		qsort(list, *n, sizeof(*list), by_time);
	return list;
}

/* Adds each line of a buffer as one sentence. */
static void add_lines(struct json_object *sentences, struct buffer *b)
{
	char *line = b->len ? (char *)b->data : NULL, *end;

	for (; line && *line; line = end + 1) {
		end = strchr(line, '\n');
		if (!end) {
			json_object_array_add(sentences,
					      json_object_new_string(line));
			return;
		}
		json_object_array_add(
			sentences,
			json_object_new_string_len(line, (int)(end - line)));
	}
}

static void add_sentence(struct json_object *sentences, const char *text)
{
	json_object_array_add(sentences, json_object_new_string(text));
}

/* Returns the last record that holds the final status of the request. */
static const struct decision *find_end(const struct host_record *list, size_t n,
				       const char *id)
{
	size_t i;

	for (i = n; i-- > 0;)
		if (!strcmp(list[i].d.request, id) && list[i].d.status)
			return &list[i].d;
	return NULL;
}

/* Describes how the request ended, and then each decision by time. */
static struct json_object *request_sentences(const struct admin_query *q,
					     const struct host_record *list,
					     size_t n)
{
	struct json_object *sentences = json_object_new_array();
	const struct decision *end = find_end(list, n, q->id);
	struct buffer b = {0};
	size_t i;

	if (!n)
		buffer_printf(&b,
			      "No host that was asked has a record of request "
			      "%s: it never came in, or its records have made "
			      "room for newer ones.\n",
			      q->id);
	else if (!end)
		buffer_printf(&b,
			      "How request %s ended is not known to any host "
			      "that answered: it still runs, or the host that "
			      "took it in is gone or has forgotten it.\n",
			      q->id);
	else
		buffer_printf(&b, "Request %s ended with status %d (%s).\n",
			      q->id, end->status,
			      end->reason == REASON_NONE
				      ? "answered"
				      : reason_code(end->reason));
	for (i = 0; i < n; i++) {
		explain_sentence(&list[i].d, list[i].host, &b);
		buffer_printf(&b, "\n");
	}
	add_lines(sentences, &b);
	buffer_free(&b);
	return sentences;
}

/* Adds how many hosts the result covers; both counts include this host. */
static void add_coverage(struct json_object *o, const struct admin_query *q)
{
	json_add_int(o, "hosts_asked", (int64_t)q->queried_count + 1);
	json_add_int(o, "hosts_answered", (int64_t)q->responses + 1);
	json_object_object_add(o, "cut", json_object_new_boolean(q->truncated));
}

/* Adds a sentence for each reason why the result may be incomplete. */
static void add_coverage_sentence(struct json_object *sentences,
				  const struct admin_query *q)
{
	struct buffer b = {0};

	if (q->responses < q->queried_count)
		buffer_printf(&b,
			      "%zu of the %zu hosts asked did not answer, so "
			      "something may be missing here.\n",
			      q->queried_count - q->responses,
			      q->queried_count + 1);
	if (q->queried_count == QUERY_MEMBERS_MAX)
		buffer_printf(&b,
			      "No more than %d other hosts are asked at once; "
			      "ask a host nearer to the request for more.\n",
			      QUERY_MEMBERS_MAX);
	if (q->truncated)
		buffer_printf(&b, "Some host holds more than it could send; "
				  "ask that host itself for the rest.\n");
	add_lines(sentences, &b);
	buffer_free(&b);
}

static void answer_request(struct admin_query *q)
{
	struct json_object *o = json_object_new_object(), *records, *sentences;
	struct host_record *list;
	size_t i, n;

	list = sorted_records(q->items, &n);
	records = json_object_new_array();
	for (i = 0; i < n; i++)
		json_object_array_add(records,
				      record_json(&list[i].d, list[i].host));
	sentences = request_sentences(q, list, n);
	add_coverage_sentence(sentences, q);
	json_object_object_add(o, "sentences", sentences);
	json_object_object_add(o, "records", records);
	add_coverage(o, q);
	admin_answer_json(q->node, q->exchange, n ? 200 : 404, o);
	free(list);
}

static int by_minute(const void *a, const void *b)
{
	int64_t x = ((const struct explain_span *)a)->from_min;
	int64_t y = ((const struct explain_span *)b)->from_min;

	return (x > y) - (x < y);
}

/*
 * Merges the spans of all hosts and sorts them by first minute; the caller
 * frees the list, which is NULL when out of memory.
 */
static struct explain_span *merged_spans(struct json_object *items, size_t *n)
{
	struct explain_span *list = calloc(SPANS_MAX, sizeof(*list)), s;
	size_t i;

	*n = 0;
	for (i = 0; list && i < json_object_array_length(items); i++)
		if (!span_read(&s, json_object_array_get_idx(items, i)))
			*n = explain_merge(list, *n, SPANS_MAX, &s);
	if (list)
		qsort(list, *n, sizeof(*list), by_minute);
	return list;
}

static struct json_object *spans_json(const struct explain_span *list, size_t n)
{
	struct json_object *spans = json_object_new_array();
	size_t i;

	for (i = 0; i < n; i++)
		json_object_array_add(spans, span_json(&list[i]));
	return spans;
}

/* Removes the spans of other reasons; returns how many are left. */
static size_t filter_by_reason(struct explain_span *list, size_t n,
			       const char *reason)
{
	size_t i, kept = 0;

	for (i = 0; i < n; i++)
		if (!strcmp(reason_code(list[i].reason), reason))
			list[kept++] = list[i];
	return kept;
}

static void answer_counts(struct admin_query *q)
{
	struct json_object *o = json_object_new_object();
	struct explain_span *list;
	size_t n;

	list = merged_spans(q->items, &n);
	if (*q->reason)
		n = filter_by_reason(list, n, q->reason);
	json_object_object_add(o, "counts", spans_json(list, n));
	add_coverage(o, q);
	admin_answer_json(q->node, q->exchange, 200, o);
	free(list);
}

/* A query about an account that waits for the claims from the store. */
struct account_request {
	struct admin_pending pending; /* json: the answer */
	struct json_object *sentences;
	char account[NAME_SIZE];
};

/* Adds the unresolved claims of the account, or of all accounts. */
static void add_claims(struct account_request *a, struct json_object *claims)
{
	struct json_object *c, *kept = json_object_new_array();
	struct buffer b = {0};
	size_t i, n = 0;

	for (i = 0; i < json_object_array_length(claims); i++) {
		c = json_object_array_get_idx(claims, i);
		if (strcmp(json_get_text(c, "state"), "unresolved") != 0 ||
		    (*a->account &&
		     strcmp(json_get_text(c, "account"), a->account) != 0))
			continue;
		n++;
		buffer_printf(&b,
			      "Unresolved: request %s of client account %s on "
			      "route %s, claimed at %s, may or may not have "
			      "run; staff must settle it.\n",
			      json_get_text(c, "request"),
			      json_get_text(c, "account"),
			      json_get_text(c, "route"),
			      json_get_text(c, "since"));
		json_object_array_add(kept, json_object_get(c));
	}
	if (!n)
		buffer_printf(&b, "No claim is unresolved.\n");
	add_lines(a->sentences, &b);
	buffer_free(&b);
	json_object_object_add(a->pending.json, "claims", kept);
}

static void on_claims(void *ctx, uint64_t tag, const char *json,
		      const struct error *err)
{
	struct json_object *claims = json ? json_tokener_parse(json) : NULL;
	struct account_request *a = ctx;

	(void)err;
	if (json_object_is_type(claims, json_type_array))
		add_claims(a, claims);
	else
		add_sentence(a->sentences,
			     "Which claims are unresolved is not known now: "
			     "the platform's store does not answer.");
	json_object_put(claims);
	admin_answer_json(a->pending.node, tag, 200,
			  json_object_get(a->pending.json));
	admin_pending_free(&a->pending);
}

static void answer_account(struct admin_query *q, int64_t now)
{
	struct admin_call c = {.node = q->node, .exchange = q->exchange};
	struct account_request *a = admin_pending_new(&c, sizeof(*a));
	struct json_object *o;
	struct explain_span *list;
	struct buffer b = {0};
	size_t n;

	if (!a)
		return;
	memcpy(a->account, q->account, sizeof(a->account));
	a->pending.json = o = json_object_new_object();
	a->sentences = json_object_new_array();
	list = merged_spans(q->items, &n);
	explain_summary(list, n, *q->account ? q->account : NULL,
			clock_wall_us() / (60 * USEC_PER_SEC), &b);
	add_lines(a->sentences, &b);
	buffer_free(&b);
	add_coverage_sentence(a->sentences, q);
	json_object_object_add(o, "sentences", a->sentences);
	json_object_object_add(o, "counts", spans_json(list, n));
	add_coverage(o, q);
	free(list);
	claims_list(q->node->claims, a, q->exchange, on_claims, now);
}

/* Answers a query that all hosts answered, or that has expired. */
void query_answer(struct admin_query *q, int64_t now)
{
	switch (q->kind) {
	case QUERY_DECISIONS:
		answer_request(q);
		break;
	case QUERY_COUNTS:
		answer_counts(q);
		break;
	case QUERY_ACCOUNT:
		answer_account(q, now);
		break;
	case QUERY_EVACUATIONS:
		evacuations_answer(q);
		break;
	}
}

/* Reads the parameters; answers 400 and returns false on a malformed time. */
static bool read_account_and_since(struct admin_call *c, struct admin_query *q)
{
	char since[64];
	int64_t t = 0, wall_s = clock_wall_us() / USEC_PER_SEC;

	if (admin_param(c->query, "since", since, sizeof(since)))
		t = admin_time(since, wall_s);
	if (t < 0) {
		admin_answer_error(c->node, c->exchange, 400,
				   "'since' is not a time",
				   "write it as 02:00, "
				   "2026-01-31T02:00:00Z (UTC both) or as "
				   "seconds since 1970");
		return false;
	}
	q->since_min = t / 60;
	if (!admin_param(c->query, "account", q->account, sizeof(q->account)))
		q->account[0] = 0;
	return true;
}

/* GET /v1/decisions?request=ID, or ?account=A&since=T. */
void admin_decisions(struct admin_call *c)
{
	struct admin_query q = {.exchange = c->exchange,
				.kind = QUERY_DECISIONS};

	if (admin_param(c->query, "request", q.id, sizeof(q.id)) && *q.id) {
		query_start(c->node, &q, c->now);
		return;
	}
	q.kind = QUERY_ACCOUNT;
	if (!strstr(c->query, "account=") && !strstr(c->query, "since="))
		admin_answer_error(c->node, c->exchange, 400,
				   "neither a request nor an account or time "
				   "was given",
				   "ask with ?request=ID or ?account=NAME&"
				   "since=TIME");
	else if (read_account_and_since(c, &q))
		query_start(c->node, &q, c->now);
}

/* GET /v1/counts?account=A&since=T&reason=R: the merged spans of all hosts. */
void admin_counts(struct admin_call *c)
{
	struct admin_query q = {.exchange = c->exchange, .kind = QUERY_COUNTS};

	if (!admin_param(c->query, "reason", q.reason, sizeof(q.reason)))
		q.reason[0] = 0;
	if (read_account_and_since(c, &q))
		query_start(c->node, &q, c->now);
}
