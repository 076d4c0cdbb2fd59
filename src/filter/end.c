#include "filter/filter.h"

#include <stdio.h>
#include <string.h>

#include "node/node.h"

/*
 * Admitted share from which the retry-after of a refusal is computed if no
 * cutoff caused it. It gives a value from the middle of the range.
 */
#define ADMITTED_UNKNOWN (ADMIT_ALL / 2)
#define STATUS_CANCELLED 499 /* not a standard status */

/* Time after a deadline for the gate's own answer about it to arrive. */
#define EXPIRE_GRACE_US (20 * USEC_PER_MSEC)

/* Fills the members of a decision that identify its request. */
static void fill_request_names(struct decision *d, const struct request *r)
{
	d->wall_us = clock_wall_us();
	memcpy(d->request, r->id, sizeof(d->request));
	memcpy(d->root, r->root, sizeof(d->root));
	if (r->account)
		memcpy(d->account, r->account->name, sizeof(d->account));
	if (r->route) {
		memcpy(d->route, r->route->name, sizeof(d->route));
		copy_name(d->service, sizeof(d->service), r->service);
	}
	d->attempt = r->attempt;
}

/* Records, counts and logs a decision on a request. */
void request_record(struct node *n, const struct request *r,
		    enum decision_kind kind, enum reason reason,
		    const char *peer, int64_t took_us)
{
	struct decision d = {
		.kind = kind, .reason = reason, .took_us = took_us};
	struct known_upstream *u = directory_get(n->directory, r->upstream);

	fill_request_names(&d, r);
	if (kind == DECISION_RETRIED)
		snprintf(d.inputs, sizeof(d.inputs), "allowance=%u reported=%u",
			 r->allowance, r->reported);
	if (peer)
		snprintf(d.peer, sizeof(d.peer), "%s", peer);
	else if (u)
		addr_format(&u->member, d.peer);
	explain_add(n->explain, &d);
}

static void record_end(struct node *n, struct request *r,
		       enum decision_kind kind, enum reason reason,
		       enum outcome outcome, int status, int64_t now)
{
	struct decision d = {.kind = kind,
			     .reason = reason,
			     .outcome = outcome,
			     .status = status,
			     .took_us = now - r->arrived_us};

	fill_request_names(&d, r);
	if (kind == DECISION_REFUSED)
		memcpy(d.inputs, r->inputs, sizeof(d.inputs));
	if (r->origin == ORIGIN_CALLER)
		latency_add(LATENCY_REQUEST, d.took_us);
	explain_add(n->explain, &d);
}

/* Resolves the claim of a once-only request by its outcome. */
static void settle_claim(struct node *n, struct request *r,
			 enum outcome outcome, const struct message *answer,
			 int64_t now)
{
	if (r->claim_pending)
		claims_cancel_wait(n->claims, r->handle);
	if (!r->claim)
		return;
	switch (outcome) {
	case OUTCOME_DONE:
		claims_finish(n->claims, r->claim, answer, now);
		break;
	case OUTCOME_NOT_RUN:
		claims_release(n->claims, r->claim, now);
		break;
	case OUTCOME_UNKNOWN:
		claims_mark_unresolved(n->claims, r->claim, now);
		break;
	}
}

/* Frees a request and returns what it borrowed of its parent's allowance. */
static void free_request(struct node *n, struct request *r)
{
	struct call *parent = gates_call_get(n, r->parent);

	if (parent) {
		if (r->refuse_reason)
			parent->sub_reason = r->refuse_reason;
		allowance_return(&parent->allowance, &r->borrowed,
				 r->allowance);
		parent->open_sub_calls--;
	}
	identity_remove(n, r);
	request_drop_exchange(n, r);
	n->body_bytes -= r->message.body.len;
	message_free(&r->message);
	config_put(r->config);
	table_remove(&n->requests, r->handle);
}

static void add_retry_after(const struct interface_headers *headers,
			    struct message *m, uint32_t ms)
{
	char seconds[24];

	if (headers->fractional_retry_after)
		snprintf(seconds, sizeof(seconds), "%u.%03u", ms / 1000,
			 ms % 1000);
	else
		snprintf(seconds, sizeof(seconds), "%u", (ms + 999) / 1000);
	message_add_header(m, "retry-after", seconds);
}

/* Adds the interface's headers to m and sends it, if a caller waits. */
static void send_answer(struct node *n, struct request *r, struct message *m,
			enum outcome outcome)
{
	const struct interface_headers *headers = n->headers;

	if (!r->exchange)
		return;
	message_remove_header(m, headers->request);
	if (r->id[0])
		message_add_header(m, headers->request,
				   r->origin == ORIGIN_CALLER ? r->root
							      : r->id);
	if (headers->outcome) {
		message_remove_header(m, headers->outcome);
		message_add_header(m, headers->outcome, outcome_name(outcome));
	}
	if (r->retry_after_ms)
		add_retry_after(headers, m, r->retry_after_ms);
	http_server_respond(r->server, r->exchange, m);
}

static bool has_retry_after(enum reason reason)
{
	int status = reason_status(reason);

	return status == 429 || status == 503 || reason == REASON_CLAIM_RUNNING;
}

/* Whether callers take a status for the promise that nothing ran. */
static bool implies_not_run(int status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

/*
 * Returns the status to send where callers learn the outcome from it. Statuses
 * that imply that the request did not run are sent only when that is certain.
 */
static int status_for_outcome(int status, enum outcome outcome)
{
	if (status == STATUS_CANCELLED)
		status = 504;
	if (outcome == OUTCOME_NOT_RUN)
		return status >= 500 ? 503 : status;
	return implies_not_run(status) ? 502 : status;
}

/*
 * Ends a request without an upstream's answer. The problem document states the
 * reason and whether the request ran. outcome must be that of the last attempt
 * and must be true, as callers and claims rely on it.
 */
enum filter_result request_refuse(struct node *n, struct request *r,
				  enum reason reason, enum outcome outcome,
				  int64_t now)
{
	struct message m = {0};

	/* An earlier attempt may have run even if the last one did not. */
	if (outcome == OUTCOME_NOT_RUN && r->may_have_run)
		outcome = OUTCOME_UNKNOWN;
	if (r->token_spent && outcome == OUTCOME_NOT_RUN)
		quota_refund(n->quota, r->account->name, now);
	settle_claim(n, r, outcome, NULL, now);
	r->refuse_reason = reason;
	if (!r->retry_after_ms && has_retry_after(reason))
		r->retry_after_ms =
			retry_after_ms(ADMITTED_UNKNOWN, node_random(n));
	problem_fill(&m, reason, outcome, r->root);
	if (n->headers->status_implies_outcome)
		m.status = status_for_outcome(m.status, outcome);
	record_end(n, r,
		   reason == REASON_CANCELLED ? DECISION_CANCELLED
					      : DECISION_REFUSED,
		   reason, outcome, m.status, now);
	counter_add(COUNTER_REFUSED, 1);
	if (r->origin == ORIGIN_CALLER)
		counter_add(COUNTER_WASTED, r->runs);
	send_answer(n, r, &m, outcome);
	message_free(&m);
	free_request(n, r);
	return FILTER_END;
}

/*
 * Whether an upstream's answer would tell the caller of a once-only request that
 * it did not run, although the upstream did not say so.
 */
static bool denies_run(const struct node *n, const struct request *r,
		       const struct message *answer)
{
	return n->headers->status_implies_outcome && request_runs_once(r) &&
	       implies_not_run(answer->status);
}

/*
 * Ends a request with the complete answer of an upstream, or with a refusal of
 * this node where the answer could not be understood as it was meant.
 */
enum filter_result request_answer(struct node *n, struct request *r,
				  struct message *answer, int64_t now)
{
	if (denies_run(n, r, answer))
		return request_refuse(n, r, REASON_UPSTREAM_FAILED,
				      OUTCOME_UNKNOWN, now);
	settle_claim(n, r, OUTCOME_DONE, answer, now);
	record_end(n, r, DECISION_ANSWERED, REASON_NONE, OUTCOME_DONE,
		   answer->status, now);
	counter_add(COUNTER_ANSWERED, 1);
	if (r->origin == ORIGIN_CALLER && answer->status >= 500)
		counter_add(COUNTER_WASTED, r->runs);
	send_answer(n, r, answer, OUTCOME_DONE);
	free_request(n, r);
	return FILTER_END;
}

/*
 * Refuses requests whose answer is overdue, for instance because the link to
 * their gate hangs, so that callers need not wait for the link to time out.
 */
void requests_expire(struct node *n, int64_t now)
{
	struct request *r;
	uint64_t h = 0;
	void *item;

	while ((h = table_next(&n->requests, h, &item))) {
		r = item;
		if (!r->in_flight || now < r->deadline_us + EXPIRE_GRACE_US)
			continue;
		place_cancel(n, r, now);
		r = request_get(n, h);
		if (r)
			request_refuse(n, r, REASON_DEADLINE, OUTCOME_UNKNOWN,
				       now);
	}
}

void request_abandon(struct node *n, uint64_t handle, int64_t now)
{
	struct request *r = request_get(n, handle);
	enum outcome outcome;

	if (!r)
		return;
	outcome = r->in_flight ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN;
	place_cancel(n, r, now);
	r = request_get(n, handle);
	if (r)
		request_refuse(n, r, REASON_CANCELLED, outcome, now);
}

/*
 * Cancels a request whose caller has disconnected, down to the upstream. A
 * once-only call that was sent continues, so that its outcome is recorded.
 */
void request_cancel(struct node *n, uint64_t handle, int64_t now)
{
	struct request *r = request_get(n, handle);

	if (!r)
		return;
	request_drop_exchange(n, r);
	counter_add(COUNTER_CANCELLED, 1);
	if (r->in_flight && request_runs_once(r))
		return;
	request_abandon(n, handle, now);
}
