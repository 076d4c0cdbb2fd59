#include "replay_impl.h"

#include <gsl/gsl_randist.h>

#define OFF_RETRIES 3 /* per call, with OVERLOAD_OFF */
#define REROUTES_MAX 3

static int64_t link_delay_us(const struct model *m, uint32_t a, uint32_t b)
{
	return m->nodes[a].data_centre == m->nodes[b].data_centre
		       ? m->t->local_delay_us
		       : m->t->remote_delay_us;
}

static void drop_attempt(struct model *m, uint64_t handle)
{
	struct attempt *a = table_get(&m->attempts, handle);
	uint64_t root_handle;
	struct root *root;

	if (!a)
		return;
	root_handle = a->root;
	root = table_get(&m->roots, root_handle);
	table_remove(&m->attempts, handle);
	root->refs--;
	root_drop(m, root_handle);
}

static struct hop_call *find_hop_call(struct model *m, uint64_t root,
				      uint64_t parent)
{
	struct attempt *a;
	struct root *r;

	if (parent) {
		a = table_get(&m->attempts, parent);
		return a ? &a->hop_call : NULL;
	}
	r = table_get(&m->roots, root);
	return r ? &r->hop_call : NULL;
}

/* Cancels an attempt and all that runs below it. */
static void cancel_attempt(struct model *m, uint64_t handle)
{
	struct attempt *a = table_get(&m->attempts, handle);
	struct node *n;
	uint32_t hop, upstream;

	if (!a)
		return;
	hop = a->hop;
	upstream = a->upstream;
	n = model_upstream(m, hop, upstream);
	load_cancelled(&m->nodes[a->caller].loads[upstream]);
	if (a->hop_call.current)
		cancel_attempt(m, a->hop_call.current);
	gate_cancel(n->gate, handle, m->now);
	drop_attempt(m, handle);
	model_run_gate(m, hop, upstream);
}

/* Ends the hop call's current attempt without an answer. */
void hop_call_give_up(struct model *m, struct hop_call *hop_call)
{
	struct attempt *a = table_get(&m->attempts, hop_call->current);

	if (!a)
		return;
	if (m->mode == OVERLOAD_OFF) {
		a->abandoned = true;
		load_failed(&m->nodes[a->caller].loads[a->upstream], m->now);
	} else {
		cancel_attempt(m, hop_call->current);
	}
	hop_call->current = 0;
}

static void send_answer(struct model *m, uint64_t handle, enum outcome outcome,
			enum reason reason)
{
	struct attempt *a = table_get(&m->attempts, handle);
	uint32_t at = m->first_node[a->hop] + a->upstream;
	struct root *root = table_get(&m->roots, a->root);
	struct gate_report report;

	if (outcome == OUTCOME_NOT_RUN && a->hop + 1 == m->t->hop_count)
		m->r->refusals[reason]++;
	if (outcome == OUTCOME_NOT_RUN)
		m->r->refused_by_hop[a->hop + 1]++;
	gate_report(m->nodes[at].gate, &report);
	a->head.outcome = outcome;
	a->head.reason = reason;
	a->head.allowance_left = a->hop_call.allowance;
	a->head.queue_us = (uint32_t)report.queue_us;
	a->head.in_flight = report.running + report.queued;
	a->head.rate_milli = (uint32_t)(report.rate * 1000);
	m->r->cold_refused_by_hop[a->hop] += reason == REASON_COLD;
	a->head.admission = admission_min(
		gate_admission(m->nodes[at].gate, model_account(root->account)),
		a->lowest_admission);
	model_add_event(m, m->now + link_delay_us(m, a->caller, at),
			EVENT_ANSWER, handle, 0);
}

static int pick_upstream(struct model *m, const struct hop_call *hop_call,
			 uint32_t caller, uint32_t hop)
{
	struct balance_candidate c[UPSTREAMS_MAX];
	uint64_t index[UPSTREAMS_MAX];
	uint32_t n = m->t->hops[hop].upstreams, i;
	const struct node *u;
	int picked;

	for (i = 0; i < n; i++) {
		u = model_upstream(m, hop, i);
		index[i] = i;
		c[i] = (struct balance_candidate){
			.load = &m->nodes[caller].loads[i],
			.slots = m->t->hops[hop].slots,
			.same_data_centre =
				u->data_centre == m->nodes[caller].data_centre,
			.tried = (hop_call->tried >> i & 1) ||
				 cold_is_down(m, u),
		};
		if (m->t->cold_us)
			c[i].warm_up_us = USEC_PER_SEC;
		if (cold_now(m, u) && !m->t->cold_unlimited)
			c[i].cold_rate = m->t->cold_per_s;
	}
	n = (uint32_t)cold_select(c, index, n, m->now);
	picked = balance_pick(c, n, ++m->next_seed, m->now);
	return picked < 0 ? picked : (int)index[picked];
}

static void hop_call_failed(struct model *m, uint64_t root, uint64_t parent,
			    enum outcome outcome, enum reason reason);

/* Sends an attempt of the current call of the root's entry or of parent. */
void hop_call_send(struct model *m, uint64_t root_handle, uint64_t parent)
{
	struct root *root = table_get(&m->roots, root_handle);
	struct attempt *p = parent ? table_get(&m->attempts, parent) : NULL;
	uint32_t hop = p ? p->hop + 1 : 0;
	uint32_t caller = p ? m->first_node[p->hop] + p->upstream : root->entry;
	struct node *n = &m->nodes[caller];
	uint64_t service = model_service(m, hop);
	uint64_t account = model_account(root->account), handle;
	struct attempt *a;
	struct hop_call *hop_call;
	void *item;

	if (m->mode == OVERLOAD_ENFORCE &&
	    !cutoffs_admit(n->cutoffs, service, account, root->cls,
			   admit_hash_at_depth(root->admit_hash, hop),
			   m->now)) {
		cutoffs_count_shed(n->cutoffs, service, account, root->cls,
				   m->now);
		m->r->shed_by_caller[hop]++;
		hop_call_failed(m, root_handle, parent, OUTCOME_NOT_RUN,
				REASON_SHED);
		return;
	}
	handle = table_add(&m->attempts, &item);
	if (!handle) {
		m->failed = 1;
		return;
	}
	a = item;
	hop_call = find_hop_call(m, root_handle,
				 parent); /* adding may move attempts */
	a->root = root_handle;
	a->parent = parent;
	a->hop = hop;
	a->caller = caller;
	a->sent_us = m->now;
	a->lowest_admission =
		(struct admission){{ADMIT_ALL, ADMIT_ALL, ADMIT_ALL}};
	a->upstream = (uint32_t)pick_upstream(m, hop_call, caller, hop);
	hop_call->tried |= 1U << a->upstream;
	hop_call->current = handle;
	hop_call->lent = allowance_lend(&hop_call->allowance);
	hop_call->tries++;
	if (hop_call->tries > m->r->attempts_max)
		m->r->attempts_max = hop_call->tries;
	a->hop_call.allowance = hop_call->lent;
	root->refs++;
	load_sent(&n->loads[a->upstream], m->now);
	model_add_event(m,
			m->now +
				link_delay_us(m, caller,
					      m->first_node[hop] + a->upstream),
			EVENT_OFFER, handle, 0);
	if (m->mode == OVERLOAD_OFF)
		model_add_event(m, m->now + m->t->deadline_us, EVENT_DEADLINE,
				handle, 1);
}

/* Ends an execution: frees its slot and sends its answer. */
void attempt_finish(struct model *m, uint64_t handle, enum outcome outcome,
		    enum reason reason, bool ok)
{
	struct attempt *a = table_get(&m->attempts, handle);
	uint32_t hop = a->hop, upstream = a->upstream;

	gate_done(model_upstream(m, hop, upstream)->gate, handle,
		  ok ? GATE_SERVED : GATE_FAILED, m->now);
	send_answer(m, handle, outcome, reason);
	model_run_gate(m, hop, upstream);
}

static bool may_retry(struct model *m, struct node *n,
		      struct hop_call *hop_call, bool depth,
		      enum outcome outcome, enum reason reason)
{
	if (m->mode == OVERLOAD_OFF)
		return hop_call->tries <= OFF_RETRIES;
	/* A root is shed if all are cold; one that did not run is rerouted. */
	if (reason == REASON_COLD)
		return depth && hop_call->reroutes++ < REROUTES_MAX;
	if (m->t->cold_us && outcome == OUTCOME_NOT_RUN &&
	    reason == REASON_NO_UPSTREAM)
		return hop_call->reroutes++ < REROUTES_MAX;
	if (!hop_call->allowance || !retry_allowed(outcome, reason, false) ||
	    !retry_ratio_take(&n->ratio))
		return false;
	hop_call->allowance--;
	return true;
}

/* Retries a failed attempt, or else fails its parent or root. */
static void hop_call_failed(struct model *m, uint64_t root_handle,
			    uint64_t parent, enum outcome outcome,
			    enum reason reason)
{
	struct root *root = table_get(&m->roots, root_handle);
	struct attempt *p = parent ? table_get(&m->attempts, parent) : NULL;
	struct hop_call *hop_call = find_hop_call(m, root_handle, parent);
	uint32_t caller = p ? m->first_node[p->hop] + p->upstream : root->entry;
	struct node *n = &m->nodes[caller];

	hop_call->current = 0;
	if (may_retry(m, n, hop_call, p != NULL, outcome, reason)) {
		root->retries++;
		model_add_event(
			m,
			m->mode == OVERLOAD_OFF
				? m->now
				: m->now + retry_backoff_us(hop_call->tries,
							    ++m->next_seed),
			EVENT_RETRY, parent ? parent : root_handle,
			parent != 0);
		return;
	}
	if (!p) {
		root_end(m, root_handle, false, outcome == OUTCOME_NOT_RUN);
		return;
	}
	p->lowest_admission = admission_min(
		p->lowest_admission,
		cutoffs_get(n->cutoffs, model_service(m, p->hop + 1),
			    model_account(root->account), m->now));
	attempt_finish(m, parent, OUTCOME_UNKNOWN, reason, true);
}

static void start_execution(struct model *m, uint64_t handle)
{
	struct attempt *a = table_get(&m->attempts, handle);
	struct root *root = table_get(&m->roots, a->root);
	const struct replay_trace *t = m->t;
	double mean = t->hops[a->hop].service_us, own;

	a->started = true;
	if (t->speed_spread)
		mean *= 1 + (t->speed_spread - 1) * a->upstream /
				    t->hops[a->hop].upstreams;
	root->runs++;
	if (root->ended && root_measured(m, root)) {
		m->r->runs++;
		m->r->wasted++;
	}
	if (a->hop + 1 == t->hop_count && m->now >= t->slow_from_us &&
	    m->now < t->slow_to_us)
		mean *= t->slow_factor;
	own = gsl_ran_exponential(m->rng, mean);
	a->ok = gsl_rng_uniform(m->rng) >= t->fail_share;
	a->half_service_us = own / 2;
	if (!a->ok)
		model_add_event(m, m->now + 1, EVENT_FINISH, handle, 0);
	else if (a->hop + 1 == t->hop_count)
		model_add_event(m, m->now + 1 + (int64_t)own, EVENT_FINISH,
				handle, 0);
	else
		model_add_event(m, m->now + 1 + (int64_t)a->half_service_us,
				EVENT_SUB_CALL, handle, 0);
}

void model_run_gate(struct model *m, uint32_t hop, uint32_t upstream)
{
	struct gate *g = model_upstream(m, hop, upstream)->gate;
	struct gate_drop d;
	int64_t waited;
	uint64_t id;

	while (gate_next_drop(g, m->now, &d))
		send_answer(m, d.id, OUTCOME_NOT_RUN, d.reason);
	while ((id = gate_next(g, m->now, &waited))) {
		start_execution(m, id);
		cold_count_start(m, hop, upstream);
	}
}

void attempt_offer(struct model *m, uint64_t handle)
{
	struct attempt *a = table_get(&m->attempts, handle);
	struct root *root = table_get(&m->roots, a->root);
	uint32_t hop = a->hop, upstream = a->upstream;
	struct gate_call c = {
		.id = handle,
		.account = model_account(root->account),
		.weight = m->t->accounts[root->account].weight,
		.cls = root->cls,
		.admit_hash = root->admit_hash,
		.depth = hop,
		.deadline_us = root->hop_call.deadline_us,
	};
	enum reason why;

	if (cold_is_down(m, model_upstream(m, hop, upstream))) {
		send_answer(m, handle, OUTCOME_NOT_RUN, REASON_NO_UPSTREAM);
		return;
	}
	cutoffs_take_unreported(m->nodes[a->caller].cutoffs,
				model_service(m, hop), c.account,
				c.shed_unreported);
	if (gate_offer(model_upstream(m, hop, upstream)->gate, &c, &why,
		       m->now) == GATE_REFUSED)
		send_answer(m, handle, OUTCOME_NOT_RUN, why);
	model_run_gate(m, hop, upstream);
}

void attempt_sub_call(struct model *m, uint64_t handle)
{
	struct attempt *a = table_get(&m->attempts, handle);
	uint32_t node = m->first_node[a->hop] + a->upstream;

	a->hop_call.tries = 0;
	retry_ratio_call(&m->nodes[node].ratio);
	hop_call_send(m, a->root, handle);
}

/* Processes an answer at the caller, which then continues or retries. */
void attempt_answered(struct model *m, uint64_t handle)
{
	struct attempt a = *(struct attempt *)table_get(&m->attempts, handle);
	struct node *n = &m->nodes[a.caller];
	struct root *root = table_get(&m->roots, a.root);
	uint64_t account = model_account(root->account);
	struct hop_call *hop_call = find_hop_call(m, a.root, a.parent);
	struct attempt *p;

	drop_attempt(m, handle);
	if (a.abandoned || !hop_call || hop_call->current != handle)
		return;
	load_answered(&n->loads[a.upstream], &a.head, m->now - a.sent_us,
		      m->now);
	cutoffs_merge(n->cutoffs, model_service(m, a.hop), account,
		      &a.head.admission, m->now);
	allowance_return(&hop_call->allowance, &hop_call->lent,
			 a.head.allowance_left);
	hop_call->current = 0;
	if (a.head.outcome != OUTCOME_DONE) {
		hop_call_failed(m, a.root, a.parent, a.head.outcome,
				a.head.reason);
		return;
	}
	if (!a.parent) {
		root_end(m, a.root, true, false);
		return;
	}
	p = table_get(&m->attempts, a.parent);
	p->lowest_admission =
		admission_min(p->lowest_admission,
			      cutoffs_get(n->cutoffs, model_service(m, a.hop),
					  account, m->now));
	model_add_event(m, m->now + 1 + (int64_t)p->half_service_us,
			EVENT_FINISH, a.parent, 0);
}

void hop_call_retry(struct model *m, uint64_t handle, bool of_attempt)
{
	struct attempt *a;
	struct root *root;

	if (of_attempt) {
		a = table_get(&m->attempts, handle);
		if (a)
			hop_call_send(m, a->root, handle);
		return;
	}
	root = table_get(&m->roots, handle);
	if (root && !root->ended)
		hop_call_send(m, handle, 0);
}

/* Time-out of an attempt at its caller; only with OVERLOAD_OFF. */
void attempt_timed_out(struct model *m, uint64_t handle)
{
	struct attempt *a;
	struct hop_call *hop_call;
	uint64_t root, parent;

	a = table_get(&m->attempts, handle);
	if (!a || a->abandoned)
		return;
	root = a->root;
	parent = a->parent;
	hop_call = find_hop_call(m, root, parent);
	if (!hop_call || hop_call->current != handle)
		return;
	hop_call_give_up(m, hop_call);
	hop_call_failed(m, root, parent, OUTCOME_UNKNOWN, REASON_LINK_LOST);
}
