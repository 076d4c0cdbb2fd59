#include "filter/filter.h"

#include <stdlib.h>
#include <string.h>

#include "node/evacuation.h"
#include "node/known_cold.h"
#include "node/node.h"

#define OVERLOAD_OFF_RETRIES 3 /* limit per request, without overload control */

static void fill_head(struct call_head *h, struct request *r,
		      const struct known_upstream *u, bool lend, int64_t now)
{
	memset(h, 0, sizeof(*h));
	memcpy(h->request, r->id, sizeof(h->request));
	memcpy(h->root, r->root, sizeof(h->root));
	copy_name(h->service, sizeof(h->service), r->service);
	memcpy(h->route, r->route->name, sizeof(h->route));
	if (r->account)
		memcpy(h->account, r->account->name, sizeof(h->account));
	h->upstream = u->info.addr;
	h->cls = r->cls;
	h->admit_hash = r->admit_hash;
	h->deadline_ms = (uint32_t)((r->deadline_us - now) / USEC_PER_MSEC);
	/* Without a context header, sub-calls cannot use a lent allowance. */
	if (lend)
		h->allowance = allowance_lend(&r->allowance);
	h->depth = r->depth;
	h->attempt = r->attempt;
	h->once = request_runs_once(r);
	h->trial = r->trial;
	h->account_home = r->account_home;
	memcpy(h->shed_unreported, r->shed_unreported,
	       sizeof(h->shed_unreported));
	memset(r->shed_unreported, 0, sizeof(r->shed_unreported));
}

/*
 * Moves the unreported sheds of the route's bottlenecks into the request, whose
 * call head reports them to the gates.
 */
static void add_unreported_sheds(struct node *n, struct request *r, int64_t now)
{
	uint64_t account = r->account ? name_hash(r->account->name) : 0;
	uint64_t services[BOTTLENECKS_MAX];
	uint32_t sheds[SHED_CLASSES];
	size_t count, i, cls;

	count = bottlenecks_list(n, name_hash(r->route->name), services, now);
	for (i = 0; i < count; i++) {
		cutoffs_take_unreported(n->cutoffs, services[i], account,
					sheds);
		for (cls = 0; cls < SHED_CLASSES; cls++)
			r->shed_unreported[cls] += sheds[cls];
	}
}

static void link_done(void *ctx, uint64_t tag, struct link_result *result,
		      int64_t now)
{
	struct node *n = ctx;
	const struct request *r = request_get(n, tag);
	struct answer_head lost = {.outcome = OUTCOME_UNKNOWN,
				   .reason = REASON_LINK_LOST};

	if (result->status == LINK_ANSWERED) {
		place_answered(n, tag, result->head, result->answer, now);
		return;
	}
	if (result->status == LINK_NOT_SENT) {
		lost.outcome = OUTCOME_NOT_RUN;
		/* No gate can spend what was lent. */
		lost.allowance_left = r ? r->lent : 0;
	} else {
		lost.runs = 1;
	}
	place_answered(n, tag, &lost, NULL, now);
}

static int send_call(struct node *n, struct request *r,
		     const struct known_upstream *u,
		     const struct call_head *head, int64_t now,
		     struct error *err)
{
	struct link_call call = {
		.to = u->member,
		.head = head,
		.message = &r->message,
		.ctx = n,
		.tag = r->handle,
		.done = link_done,
	};
	struct message copy = {0};

	if (!addr_equal(&u->member, &n->self)) {
		r->link_call = links_call(n->links, &call, now, err);
		return r->link_call ? 0 : -1;
	}
	if (message_copy(&copy, &r->message) < 0)
		return error_set(err, ERROR_MEMORY, "place", NULL,
				 "no memory for the message");
	r->local_call =
		gates_submit(n, REPLY_LOCAL, r->handle, head, &copy, now);
	message_free(&copy);
	return r->local_call ? 0 : -1;
}

/* Remembers the current upstream in place of the oldest one tried. */
static void record_tried(struct request *r)
{
	size_t last = sizeof(r->tried) / sizeof(*r->tried) - 1;

	memmove(r->tried + 1, r->tried, last * sizeof(*r->tried));
	r->tried[0] = r->upstream;
}

/*
 * Picks an upstream and sends the call to its gate. Returns -1 if there is no
 * upstream (r->upstream is 0) or the call could not be sent.
 */
static int place_attempt(struct node *n, struct request *r, int64_t now)
{
	struct known_upstream *u;
	struct call_head head;
	struct error err;

	r->upstream = candidates_pick(n, r, now);
	u = directory_get(n->directory, r->upstream);
	if (!u)
		return -1;
	if (!r->attempt)
		add_unreported_sheds(n, r, now);
	fill_head(&head, r, u, n->headers->context != NULL, now);
	record_tried(r);
	r->sent_us = now;
	r->lent = head.allowance;
	/* Recorded first: send_call may already record the gate's decision. */
	request_record(n, r, DECISION_PLACED, REASON_NONE, NULL, 0);
	load_sent(&u->load, now);
	if (send_call(n, r, u, &head, now, &err) < 0) {
		log_error(LOG_WARNING, "place", &err);
		allowance_return(&r->allowance, &r->lent, r->lent);
		load_failed(&u->load, now);
		return -1;
	}
	r->in_flight = true;
	crossing_sent(n, r);
	if (!r->attempt)
		retries_count_call(n, r, now);
	return 0;
}

static enum reason no_upstream_reason(struct node *n, struct request *r,
				      int64_t now)
{
	if (evacuation_leaves_none(n, r, now))
		return REASON_EVACUATED;
	return home_refusal(r);
}

/* Sends the call, to another upstream's gate if a gate is unreachable. */
enum filter_result filter_place(struct node *n, struct request *r, int64_t now)
{
	r->deadline_us = node_last_deadline(n, r->deadline_us);
	if (now + USEC_PER_MSEC >= r->deadline_us)
		return request_refuse(n, r, REASON_DEADLINE, OUTCOME_NOT_RUN,
				      now);
	while (place_attempt(n, r, now) < 0)
		if (!r->upstream || r->reroutes++ >= TRIED_MAX - 1)
			return request_refuse(n, r,
					      no_upstream_reason(n, r, now),
					      OUTCOME_NOT_RUN, now);
	return FILTER_WAIT;
}

/* A retry waiting for the end of its back-off. */
struct pending_retry {
	struct node *node;
	uint64_t request;
};

static void retry_now(void *ctx, int64_t now)
{
	struct pending_retry *p = ctx;

	request_resume(p->node, p->request, now);
	free(p);
}

bool request_runs_once(const struct request *r)
{
	switch (r->route->effect) {
	case EFFECT_IDEMPOTENT:
		return false;
	case EFFECT_NOT_IDEMPOTENT:
		return true;
	case EFFECT_BY_METHOD:
		break;
	}
	return r->route->once || !method_is_idempotent(r->message.method);
}

/*
 * Whether to send the call to another gate without using the retry allowance:
 * an attempt that reached no upstream caused no load on one. Counts the
 * reroute.
 */
static bool may_reroute(struct request *r, enum outcome outcome,
			enum reason reason)
{
	if (outcome != OUTCOME_NOT_RUN || reason == REASON_UPSTREAM_REFUSED ||
	    r->reroutes >= TRIED_MAX - 1)
		return false;
	r->reroutes++;
	return true;
}

/*
 * Whether a request whose upstream ended under it may cost another one: once,
 * and only if no other end speaks against it.
 */
static bool may_follow_end(struct node *n, struct request *r,
			   const struct answer_head *head, int64_t now)
{
	uint32_t ends = poison_heard(n, r, head, now);
	bool again = r->upstream_ended;

	r->upstream_ended |= head->ended_calls != 0;
	if (r->trial)
		return false;
	return !head->ended_calls || (!again && ends <= 1);
}

/*
 * Whether to send the call again. Takes the retry from the allowance and from
 * the retry ratio of the service, unless it is a reroute or overload control is
 * off.
 */
static bool may_retry(struct node *n, struct request *r, enum outcome outcome,
		      enum reason reason, int64_t now)
{
	if (request_runs_once(r) && outcome != OUTCOME_NOT_RUN)
		return false;
	if (config_overload_mode(r->config) == OVERLOAD_OFF)
		return r->attempt < OVERLOAD_OFF_RETRIES;
	if (!retry_allowed(outcome, reason, request_runs_once(r)))
		return false;
	if (reason == REASON_COLD)
		return known_cold_may_reroute(n, r, now) &&
		       may_reroute(r, outcome, reason);
	if ((n->headers->status_implies_outcome ||
	     reason == REASON_EVACUATED) &&
	    may_reroute(r, outcome, reason))
		return true;
	if (!r->allowance)
		return false;
	if (!retries_take(n, r))
		return false;
	r->allowance--;
	return true;
}

/* Schedules a retry if one is allowed and can start before the deadline. */
static bool start_retry(struct node *n, struct request *r, enum outcome outcome,
			enum reason reason, int64_t now)
{
	struct pending_retry *p;
	int64_t at;

	if (!may_retry(n, r, outcome, reason, now))
		return false;
	at = now + retry_backoff_us(r->attempt + 1U, node_random(n));
	if (at + USEC_PER_MSEC >= r->deadline_us)
		return false;
	p = calloc(1, sizeof(*p));
	if (!p)
		return false;
	p->node = n;
	p->request = r->handle;
	if (net_at(n->net, at, retry_now, p) < 0) {
		free(p);
		return false;
	}
	r->attempt++;
	counter_add(COUNTER_RETRIES, 1);
	request_record(n, r, DECISION_RETRIED, reason, NULL, now - r->sent_us);
	return true;
}

/* Statuses of an upstream that sheds or fails; another one may succeed. */
static bool status_is_retriable(int status)
{
	return status == 502 || status == 503 || status == 504;
}

/* Updates load, cutoffs, retry allowance and parent from an answer. */
static void apply_answer_head(struct node *n, struct request *r,
			      const struct answer_head *head, int64_t now)
{
	struct known_upstream *u = directory_get(n->directory, r->upstream);
	uint64_t account = r->account ? name_hash(r->account->name) : 0;
	struct call *parent = gates_call_get(n, r->parent);

	if (u && head->reason != REASON_LINK_LOST)
		load_answered(&u->load, head, now - r->sent_us, now);
	else if (u)
		load_failed(&u->load, now);
	if (u && head->leaving)
		u->info.state = UPSTREAM_LEAVING;
	if (u && head->reason == REASON_EVACUATED)
		r->evacuated = u->data_centre;
	retries_heard(n, r, head);
	if (u && head->reason == REASON_COLD)
		known_cold_refused(n, u, now);
	if (head->bottleneck &&
	    !(u && known_cold_hides_cutoff(n, u, head, now))) {
		cutoffs_merge(n->cutoffs, head->bottleneck, account,
			      &head->admission, now);
		bottlenecks_learn(n, name_hash(r->route->name),
				  head->bottleneck, now);
	}
	if (head->outcome != OUTCOME_NOT_RUN)
		r->may_have_run = true;
	r->runs += head->runs;
	r->reported = head->allowance_left;
	allowance_return(&r->allowance, &r->lent, r->reported);
	if (parent) {
		if (head->bottleneck)
			call_record_admission(parent, head->bottleneck,
					      cutoffs_get(n->cutoffs,
							  head->bottleneck,
							  account, now));
		parent->runs += head->runs;
	}
}

/* Cancels the attempt in flight at its gate, if any. */
void place_cancel(struct node *n, struct request *r, int64_t now)
{
	struct known_upstream *u = directory_get(n->directory, r->upstream);

	if (!r->in_flight)
		return;
	if (u)
		load_cancelled(&u->load);
	if (r->link_call)
		links_cancel(n->links, r->link_call);
	if (r->local_call)
		gates_cancel_call(n, r->local_call, now);
}

/* Answers the request, retries it or refuses it. */
void place_answered(struct node *n, uint64_t request,
		    const struct answer_head *head, struct message *answer,
		    int64_t now)
{
	struct request *r = request_get(n, request);
	bool retriable, may_follow;

	if (!r)
		return;
	r->in_flight = false;
	r->link_call = 0;
	r->local_call = 0;
	apply_answer_head(n, r, head, now);
	crossing_answered(n, r, answer);
	if (!r->exchange && !request_runs_once(r)) {
		request_refuse(n, r, REASON_CANCELLED, head->outcome, now);
		return;
	}
	/* A failure caused by a sub-call would recur: it is not retried. */
	may_follow = may_follow_end(n, r, head, now);
	retriable = head->outcome != OUTCOME_DONE || !answer ||
		    (status_is_retriable(answer->status) &&
		     head->reason == REASON_NONE);
	if (retriable && may_follow &&
	    start_retry(n, r, head->outcome, head->reason, now))
		return;
	if (head->outcome == OUTCOME_DONE && answer) {
		/* Reported to the parent call as the cause if it fails too. */
		if (answer->status >= 500)
			r->refuse_reason = head->reason == REASON_NONE
						   ? REASON_UPSTREAM_FAILED
						   : head->reason;
		request_answer(n, r, answer, now);
		return;
	}
	r->retry_after_ms = head->retry_after_ms;
	if (!r->retry_after_ms && head->reason == REASON_SHED)
		r->retry_after_ms = retry_after_ms(
			head->admission.admitted[r->cls], node_random(n));
	request_refuse(n, r, head->reason, head->outcome, now);
}
