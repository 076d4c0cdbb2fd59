#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "node/evacuation.h"
#include "node/gates.h"
#include "node/upstream_end.h"

/* Longest wait for a named limit that callers are told, before spreading. */
#define LIMIT_WAIT_MAX_MS 10000

/*
 * An answer to an entry on this node. It is delivered in the next iteration
 * of the event loop, so that the caller is not re-entered.
 */
struct local_answer {
	struct node *node;
	uint64_t request;
	struct answer_head head;
	struct message message;
	bool has_message;
};

static void deliver_local_answer(void *ctx, int64_t now)
{
	struct local_answer *a = ctx;

	place_answered(a->node, a->request, &a->head,
		       a->has_message ? &a->message : NULL, now);
	message_free(&a->message);
	free(a);
}

static void answer_locally(struct node *n, uint64_t request,
			   const struct answer_head *head,
			   const struct message *m, int64_t now)
{
	struct local_answer *a = calloc(1, sizeof(*a));

	if (!a)
		return;
	a->node = n;
	a->request = request;
	a->head = *head;
	if (m && message_copy(&a->message, m) == 0)
		a->has_message = true;
	if (net_at(n->net, now, deliver_local_answer, a) < 0) {
		message_free(&a->message);
		free(a);
	}
}

/* Formats the state of the gate at the time it dropped a call. */
static void format_gate_state(struct node *n, const struct call *c,
			      char inputs[DECISION_INPUTS_SIZE])
{
	const struct local_upstream *u = gates_upstream(n, c->upstream);
	struct gate_report r;

	if (!u)
		return;
	gate_report(u->gate, &r);
	snprintf(inputs, DECISION_INPUTS_SIZE,
		 "running=%u limit=%u queued=%u class=%d open=%.2f", r.running,
		 r.limit, r.queued, (int)c->head.cls,
		 (double)r.admitted[c->head.cls] / ADMIT_ALL);
}

static void record_call(struct node *n, const struct call *c,
			enum decision_kind kind, enum reason reason,
			int64_t took_us)
{
	struct decision d = {.kind = kind,
			     .reason = reason,
			     .attempt = c->head.attempt,
			     .took_us = took_us};

	d.wall_us = clock_wall_us();
	memcpy(d.request, c->head.request, sizeof(d.request));
	memcpy(d.root, c->head.root, sizeof(d.root));
	memcpy(d.account, c->head.account, sizeof(d.account));
	memcpy(d.route, c->head.route, sizeof(d.route));
	memcpy(d.service, c->head.service, sizeof(d.service));
	addr_format(&c->head.upstream, d.peer);
	if (kind == DECISION_DROPPED)
		format_gate_state(n, c, d.inputs);
	if (kind == DECISION_DROPPED && reason == REASON_COLD)
		counter_add(COUNTER_COLD_REFUSED, 1);
	explain_add(n->explain, &d);
}

/*
 * Fills in the load of the upstream and the tighter of two admissions: that of
 * its own gate and the lowest reported by the sub-calls.
 */
static void fill_answer_head(struct node *n, const struct call *c,
			     struct answer_head *head, int64_t now)
{
	struct local_upstream *u = gates_upstream(n, c->upstream);
	struct gate_report report;
	struct admission own;

	head->allowance_left = c->allowance;
	head->runs = c->runs;
	head->admission = c->sub_call_admission;
	head->bottleneck = c->sub_call_service;
	head->leaving = n->gates_closing;
	head->ended_incarnation = c->ended_incarnation;
	head->ended_calls = c->ended_calls;
	if (c->started_us)
		head->service_us = (uint32_t)(now - c->started_us);
	if (!u)
		return;
	gate_report(u->gate, &report);
	head->queue_us = (uint32_t)report.queue_us;
	head->in_flight = report.running + report.queued;
	head->rate_milli = (uint32_t)(report.rate * 1000);
	head->leaving |= u->info.state != UPSTREAM_READY;
	own = gate_admission(
		u->gate, c->head.account[0] ? name_hash(c->head.account) : 0);
	if (c->sub_call_service &&
	    !admission_tighter(own, c->sub_call_admission))
		return;
	head->admission = own;
	head->bottleneck = name_hash(c->head.service);
}

/*
 * Tells a call refused by a gate with a named limit when there will be room,
 * spread so that the callers do not return together.
 */
static uint32_t limit_retry_after_ms(struct node *n, const struct call *c,
				     int64_t now)
{
	const struct local_upstream *u = gates_upstream(n, c->upstream);
	int64_t wait_ms;

	if (!u)
		return 0;
	if (gate_cold_left_us(u->gate, now))
		return upstream_cold_retry_after_ms(n, u, now);
	wait_ms = gate_rate_wait_us(u->gate) / USEC_PER_MSEC;
	if (!wait_ms)
		return 0;
	if (wait_ms > LIMIT_WAIT_MAX_MS)
		wait_ms = LIMIT_WAIT_MAX_MS;
	return (uint32_t)(wait_ms +
			  (int64_t)(node_random(n) % (uint64_t)wait_ms));
}

/* Sends the outcome to the entry and frees the call. */
static void end_call(struct node *n, struct call *c, enum outcome outcome,
		     enum reason reason, const struct message *m, int64_t now)
{
	struct answer_head head = {.outcome = outcome, .reason = reason};

	if (reason == REASON_EVACUATED && outcome == OUTCOME_NOT_RUN)
		counter_add(COUNTER_EVACUATED, 1);
	fill_answer_head(n, c, &head, now);
	if (outcome == OUTCOME_NOT_RUN && reason != REASON_UPSTREAM_REFUSED)
		head.retry_after_ms = limit_retry_after_ms(n, c, now);
	if (c->reply_kind == REPLY_LINK)
		links_answer(n->links, c->reply.stream, &head, m);
	else
		answer_locally(n, c->reply.request, &head, m, now);
	call_free(n, c);
}

static void cancel_sub_calls(struct node *n, uint64_t parent, int64_t now)
{
	const struct call *c = gates_call_get(n, parent);
	struct request *r;
	uint64_t h = 0;
	void *item;

	if (!c || !c->open_sub_calls)
		return;
	while ((h = table_next(&n->requests, h, &item))) {
		r = item;
		if (r->parent == parent && r->exchange)
			request_abandon(n, h, now);
	}
}

static enum outcome outcome_of(enum http_call_status status)
{
	switch (status) {
	case HTTP_COMPLETED:
		return OUTCOME_DONE;
	case HTTP_NOT_SENT:
	case HTTP_UNREACHABLE:
		return OUTCOME_NOT_RUN;
	case HTTP_CONNECTION_LOST:
	case HTTP_MALFORMED:
	case HTTP_TOO_LARGE:
	case HTTP_TIMED_OUT:
		break;
	}
	return OUTCOME_UNKNOWN;
}

static enum reason reason_of(const struct http_call_result *r,
			     const struct call *c)
{
	switch (r->status) {
	case HTTP_COMPLETED:
		return r->response->status >= 500 ? c->sub_reason : REASON_NONE;
	case HTTP_MALFORMED:
	case HTTP_TOO_LARGE:
		return REASON_UPSTREAM_MALFORMED;
	case HTTP_TIMED_OUT:
		return REASON_DEADLINE;
	case HTTP_NOT_SENT:
	case HTTP_UNREACHABLE:
	case HTTP_CONNECTION_LOST:
		break;
	}
	return REASON_UPSTREAM_FAILED;
}

#define STATUS_MISDIRECTED 421

/* The outcome of a call, derived from the result of its HTTP exchange. */
struct call_result {
	enum outcome outcome;
	enum reason reason;
	bool replaced; /* another process now listens on the address */
};

/*
 * Whether another process has the address: the answer names it. A 421 of the
 * upstream itself says nothing of that.
 */
static bool is_of_another_process(const struct interface_headers *headers,
				  const struct call *c, const struct message *m)
{
	const char *answering, *expected;

	if (!headers->instance || m->status != STATUS_MISDIRECTED)
		return false;
	answering = message_header(m, headers->answering);
	expected = message_header(&c->message, headers->instance);
	return answering && expected && strcmp(answering, expected) != 0;
}

/*
 * Derives the outcome from a complete answer. An upstream may state that it
 * did not run the call. A success without the header that proves it comes
 * from another server.
 */
static struct call_result
classify_answer(const struct interface_headers *headers, const struct call *c,
		const struct message *m)
{
	struct call_result result = {.outcome = OUTCOME_DONE};

	if (is_of_another_process(headers, c, m)) {
		result.outcome = OUTCOME_NOT_RUN;
		result.reason = REASON_NO_UPSTREAM;
		result.replaced = true;
	} else if (headers->not_run && message_header(m, headers->not_run)) {
		result.outcome = OUTCOME_NOT_RUN;
		result.reason = REASON_UPSTREAM_REFUSED;
	} else if (headers->success_proof && m->status < 300 &&
		   !message_header(m, headers->success_proof)) {
		result.outcome = OUTCOME_UNKNOWN;
		result.reason = REASON_UPSTREAM_MALFORMED;
	} else if (m->status >= 500) {
		result.reason = c->sub_reason;
	}
	return result;
}

static struct call_result classify_result(struct node *n, const struct call *c,
					  const struct http_call_result *r)
{
	struct call_result result = {.outcome = outcome_of(r->status),
				     .reason = reason_of(r, c)};

	if (r->status == HTTP_COMPLETED)
		return classify_answer(n->headers, c, r->response);
	return result;
}

/* How the gate should count the result. */
static enum gate_end gate_end_of(const struct call_result *result,
				 const struct http_call_result *r)
{
	if (result->outcome == OUTCOME_NOT_RUN &&
	    result->reason == REASON_UPSTREAM_REFUSED)
		return GATE_REJECTED;
	if (result->outcome != OUTCOME_DONE)
		return GATE_FAILED;
	/* A 5xx caused by a failed sub-call is not the upstream's failure. */
	return r->response->status >= 500 && result->reason == REASON_NONE
		       ? GATE_FAILED
		       : GATE_SERVED;
}

/* Answers a call whose connection was lost, as unknown. */
void call_answer_lost(struct node *n, struct call *c, uint64_t incarnation,
		      uint32_t calls, int64_t now)
{
	c->ended_incarnation = incarnation;
	c->ended_calls = calls;
	end_call(n, c, OUTCOME_UNKNOWN, REASON_UPSTREAM_FAILED, NULL, now);
}

/* A run that ended well clears its request of crashing upstreams. */
static void note_good_run(struct node *n, const struct call *c,
			  const struct http_call_result *r, int64_t now)
{
	struct fingerprint id;

	if (r->response->status >= 500)
		return;
	fingerprint_of(n, &c->message, c->head.account, &id);
	poison_run_ended_well(n->poison, &id, now);
}

static void upstream_done(void *ctx, uint64_t tag, struct http_call_result *r,
			  int64_t now)
{
	struct node *n = ctx;
	struct call *c = gates_call_get(n, tag);
	struct local_upstream *u;
	struct call_result result;
	uint64_t upstream;

	if (!c)
		return;
	result = classify_result(n, c, r);
	latency_add(LATENCY_UPSTREAM, now - c->started_us);
	upstream = c->upstream;
	u = gates_upstream(n, upstream);
	if (u)
		gate_done(u->gate, tag, gate_end_of(&result, r), now);
	if (u && r->status == HTTP_COMPLETED && !result.replaced)
		gates_heard(n, u, r->response, now);
	if (r->status != HTTP_COMPLETED) {
		counter_add(COUNTER_UPSTREAM_FAILURES, 1);
		log_error(LOG_WARNING, "upstream", &r->err);
	}
	if (result.outcome == OUTCOME_NOT_RUN)
		c->runs--;
	if (result.outcome == OUTCOME_DONE)
		note_good_run(n, c, r, now);
	if (result.outcome == OUTCOME_DONE && r->response->status < 500)
		route_stats_add_sub_calls(n, c->head.route, c->sub_calls);
	cancel_sub_calls(n, tag, now);
	/* Ending the sub-calls may have ended the call or its upstream. */
	c = gates_call_get(n, tag);
	u = gates_upstream(n, upstream);
	if (!c)
		return;
	if (u && r->status == HTTP_CONNECTION_LOST &&
	    upstream_end_hold(n, u, c, now) == 0)
		return;
	end_call(n, c, result.outcome, result.reason,
		 result.outcome == OUTCOME_DONE ? r->response : NULL, now);
	if (r->status == HTTP_UNREACHABLE)
		gates_mark_unreachable(n, upstream, now);
	if (result.replaced)
		gates_mark_gone(n, upstream, now);
	gates_dispatch(n, upstream, now);
}

static int set_header(struct message *m, const char *name, const char *value)
{
	if (!name)
		return 0;
	message_remove_header(m, name);
	return value[0] ? message_add_header(m, name, value) : 0;
}

/*
 * Returns the name of the call's account as upstreams know it; NULL if only a
 * configuration that is not in force here has it. A sub-call is made by a
 * service, not by the client account, which counts for fairness only.
 */
static const char *account_of_call(const struct node *n, const struct call *c)
{
	if (c->head.depth || !c->head.account[0])
		return "";
	return config_long_name(n->config, c->head.account);
}

/* Returns -1 if one could not be set: the call must not run without it. */
static int add_call_headers(const struct node *n,
			    const struct local_upstream *u, struct call *c,
			    int64_t now)
{
	const struct interface_headers *headers = n->headers;
	const char *account = account_of_call(n, c);
	char ms[24];

	snprintf(ms, sizeof(ms), "%lld",
		 (long long)((c->deadline_us - now) / USEC_PER_MSEC));
	if (set_header(&c->message, headers->request, c->head.request) < 0 ||
	    set_header(&c->message, headers->deadline_ms, ms) < 0 ||
	    set_header(&c->message, headers->context, c->token) < 0 ||
	    set_header(&c->message, headers->instance, u->instance) < 0)
		return -1;
	return account ? set_header(&c->message, headers->account, account)
		       : -1;
}

static void run_call(struct node *n, struct local_upstream *u, struct call *c,
		     int64_t waited_us, int64_t now)
{
	struct http_call http = {
		.request = &c->message,
		.deadline_us = c->deadline_us,
		.ctx = n,
		.tag = c->handle,
		.done = upstream_done,
	};
	struct error err;

	/* The echoed request id is checked only if each call has its own id. */
	if (n->headers->status_implies_outcome)
		http.echo_header = n->headers->request;
	c->started_us = now;
	if (add_call_headers(n, u, c, now) < 0) {
		gate_done(u->gate, c->handle, GATE_FAILED, now);
		end_call(n, c, OUTCOME_NOT_RUN, REASON_OVERLOADED, NULL, now);
		return;
	}
	c->http_call = http_call_start(u->pool, &http, now, &err);
	record_call(n, c, DECISION_RUN, REASON_NONE, waited_us);
	latency_add(LATENCY_QUEUE, waited_us);
	if (c->http_call) {
		c->runs++;
		counter_add(COUNTER_UPSTREAM_RUNS, 1);
		return;
	}
	log_error(LOG_WARNING, "upstream", &err);
	gate_done(u->gate, c->handle, GATE_FAILED, now);
	end_call(n, c, OUTCOME_NOT_RUN, REASON_UPSTREAM_FAILED, NULL, now);
}

/* Answers a queued call as not run. */
void gates_drop_call(struct node *n, struct call *c, enum reason reason,
		     int64_t now)
{
	struct local_upstream *u = gates_upstream(n, c->upstream);

	if (!u)
		return;
	gate_cancel(u->gate, c->handle, now);
	record_call(n, c, DECISION_DROPPED, reason, now - c->arrived_us);
	end_call(n, c, OUTCOME_NOT_RUN, reason, NULL, now);
}

static void drop_queued(struct node *n, uint64_t upstream, enum reason reason,
			int64_t now)
{
	struct call *c;
	uint64_t h = 0;
	void *item;

	while ((h = table_next(&n->calls, h, &item))) {
		c = item;
		if (c->upstream == upstream && !c->started_us)
			gates_drop_call(n, c, reason, now);
	}
}

/* Rejects the queued calls of an upstream whose gate is closed. */
static void reject_queued(struct node *n, struct local_upstream *u,
			  enum reason reason, int64_t now)
{
	struct gate_report report;

	gate_report(u->gate, &report);
	if (report.queued)
		drop_queued(n, u->handle, reason, now);
}

/* Why the gate of an upstream lets no call through, or REASON_NONE. */
static enum reason gate_closed_reason(const struct node *n,
				      const struct local_upstream *u,
				      int64_t now)
{
	if (u && u->leaving_us && !gates_accepts(n, u, now))
		return REASON_NO_UPSTREAM;
	return evacuation_gate_reason(n, now);
}

/* Drops the calls that the gate rejects, then runs those that it admits. */
void gates_dispatch(struct node *n, uint64_t upstream, int64_t now)
{
	struct local_upstream *u = gates_upstream(n, upstream);
	enum reason closed = gate_closed_reason(n, u, now);
	struct gate_drop drop;
	struct call *c;
	int64_t waited_us;
	uint64_t id;

	if (!u || upstream_end_pending(u))
		return;
	while (gate_next_drop(u->gate, now, &drop)) {
		c = gates_call_get(n, drop.id);
		if (!c)
			continue;
		record_call(n, c, DECISION_DROPPED, drop.reason,
			    now - c->arrived_us);
		end_call(n, c, OUTCOME_NOT_RUN, drop.reason, NULL, now);
	}
	if (closed) {
		reject_queued(n, u, closed, now);
		return;
	}
	while ((id = gate_next(u->gate, now, &waited_us))) {
		c = gates_call_get(n, id);
		if (c)
			run_call(n, u, c, waited_us, now);
		else
			gate_done(u->gate, id, GATE_FAILED, now);
	}
}

/* Answers every queued call of the upstream as not run. */
void gates_drop_queued(struct node *n, uint64_t upstream, int64_t now)
{
	drop_queued(n, upstream, REASON_NO_UPSTREAM, now);
}

static uint32_t account_weight(struct node *n, const char *account)
{
	const struct account *a = NULL;

	if (n->config && account[0])
		a = config_account(n->config, account);
	return a ? a->weight : 1;
}

static enum gate_verdict offer_call(struct node *n, struct local_upstream *u,
				    struct call *c, enum reason *why,
				    int64_t now)
{
	struct gate_call g = {
		.id = c->handle,
		.weight = account_weight(n, c->head.account),
		.cls = c->head.cls,
		.admit_hash = c->head.admit_hash,
		.depth = c->head.depth,
		.deadline_us = c->deadline_us,
	};

	if (c->head.account[0])
		g.account = name_hash(c->head.account);
	memcpy(g.shed_unreported, c->head.shed_unreported,
	       sizeof(g.shed_unreported));
	return gate_offer(u->gate, &g, why, now);
}

/* An entry may not know yet, or be of an older build. */
static bool is_refused_poison(struct node *n, const struct call *c, int64_t now)
{
	enum poison_verdict verdict;
	struct fingerprint id;

	if (c->head.trial || !poison_count(n->poison))
		return false;
	fingerprint_of(n, &c->message, c->head.account, &id);
	verdict = poison_check(n->poison, &id, now);
	return verdict == POISON_REFUSED || verdict == POISON_TRIAL_DUE;
}

/*
 * Offers a call to the gate of an upstream on this host. The outcome is sent
 * to the entry as its reply. Returns the handle of the call, which may have
 * ended already, or 0 if the call could not be stored; the refusal of a call
 * from a link has then been sent.
 */
uint64_t gates_submit(struct node *n, enum reply_kind kind, uint64_t reply,
		      const struct call_head *head, struct message *msg,
		      int64_t now)
{
	struct local_upstream *u =
		gates_find(n, &head->upstream, head->service);
	struct call *c = call_add(n, kind, reply, head, msg, now);
	struct answer_head refusal = {.outcome = OUTCOME_NOT_RUN,
				      .reason = REASON_OVERLOADED,
				      .allowance_left = head->allowance,
				      .leaving = n->gates_closing};
	enum reason why = REASON_NO_UPSTREAM;
	uint64_t handle;

	memset(refusal.admission.admitted, 0xff,
	       sizeof(refusal.admission.admitted));
	if (!c || call_index_add(n, c) < 0) {
		if (c)
			call_free(n, c);
		if (kind == REPLY_LINK)
			links_answer(n->links, reply, &refusal, NULL);
		return 0;
	}
	handle = c->handle;
	if (!u || !gates_accepts(n, u, now) ||
	    (kind == REPLY_LINK && evacuation_resumes(n, now))) {
		end_call(n, c, OUTCOME_NOT_RUN, REASON_NO_UPSTREAM, NULL, now);
		return handle;
	}
	c->upstream = u->handle;
	/* Its entry has not heard of the stop yet, and can go elsewhere. */
	if (kind == REPLY_LINK && node_refuses_requests(n, now))
		why = REASON_STOPPING;
	else if (!gates_is_home(n, &c->head))
		why = REASON_NO_HOME_UPSTREAM;
	else
		why = evacuation_gate_reason(n, now);
	if (why) {
		record_call(n, c, DECISION_DROPPED, why, 0);
		end_call(n, c, OUTCOME_NOT_RUN, why, NULL, now);
		return handle;
	}
	if (is_refused_poison(n, c, now)) {
		record_call(n, c, DECISION_DROPPED, REASON_POISON, 0);
		end_call(n, c, OUTCOME_NOT_RUN, REASON_POISON, NULL, now);
		return handle;
	}
	if (offer_call(n, u, c, &why, now) == GATE_REFUSED) {
		record_call(n, c, DECISION_DROPPED, why, 0);
		end_call(n, c, OUTCOME_NOT_RUN, why, NULL, now);
		return handle;
	}
	record_call(n, c, DECISION_QUEUED, REASON_NONE, 0);
	gates_dispatch(n, u->handle, now);
	return handle;
}

/* Cancels a call at the request of its entry. No answer is sent. */
void gates_cancel_call(struct node *n, uint64_t call, int64_t now)
{
	struct call *c = gates_call_get(n, call);
	struct local_upstream *u;
	uint64_t upstream;

	if (!c)
		return;
	upstream = c->upstream;
	u = gates_upstream(n, upstream);
	if (u) {
		if (c->http_call)
			http_call_cancel(u->pool, c->http_call);
		gate_cancel(u->gate, call, now);
	}
	record_call(n, c, DECISION_CANCELLED, REASON_CANCELLED,
		    now - c->arrived_us);
	cancel_sub_calls(n, call, now);
	c = gates_call_get(n, call);
	if (c)
		call_free(n, c);
	gates_dispatch(n, upstream, now);
}

/* Handles the loss of an incoming call's link, or its cancellation. */
void gates_cancel_stream(struct node *n, uint64_t stream, int64_t now)
{
	struct call_index *index;
	struct call *c;

	HASH_FIND(hh_stream, n->by_stream, &stream, sizeof(stream), index);
	if (!index)
		return;
	c = gates_call_get(n, index->call);
	/* A running call that must not run twice finishes unanswered. */
	if (c && c->head.once && c->started_us)
		return;
	gates_cancel_call(n, index->call, now);
}
