#include "replay_model.h"

#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <stdlib.h>
#include <string.h>

#include "replay_events.h"

#define TABLE_MAX (8U * 1024 * 1024)
#define QUEUE_TARGET_US (10 * USEC_PER_MSEC)
#define QUEUE_MAX 2000
#define CUTOFFS_MAX 1000
#define RETRY_PERCENT 10
#define OFF_RETRIES 3
#define CLIENT_RETRY_MAX_US 20000.0 /* clients that retry hard */
#define UPSTREAMS_MAX 64
#define NODES_MAX 128

/* A caller's side of one call: the attempt that counts, and what is left. */
struct leg {
	uint64_t current; /* attempt, 0 none */
	uint8_t tries;
	uint8_t allowance;
	uint8_t lent;
	uint32_t tried; /* bit per upstream */
	int64_t deadline_us;
};

struct root {
	enum shed_class cls;
	uint32_t account;
	uint32_t entry;
	uint16_t lot;
	uint32_t client_tries;
	int64_t sent_us;
	uint32_t runs, retries;
	uint32_t refs; /* attempts */
	bool ended, good;
	struct leg leg;
};

/* One attempt at one gate; its handle is the id at the gate. */
struct attempt {
	uint64_t root;
	uint64_t parent; /* attempt, or 0 when the caller is the entry */
	uint32_t hop;
	uint32_t caller;   /* node */
	uint32_t upstream; /* of the hop */
	bool abandoned;	   /* its caller gave up on it */
	bool offered;
	bool ok;
	enum outcome outcome;
	enum reason reason;
	double half_us;
	struct admission met;
	int64_t sent_us;
	struct answer_head head;
	struct leg leg;
};

/* A node with its memory of the hop that it calls. */
struct node {
	struct cutoffs *cutoffs;
	struct retry_ratio ratio;
	struct upstream_load loads[UPSTREAMS_MAX];
	struct gate *gate; /* NULL at an entry */
	uint32_t data_centre;
};

struct model {
	const struct replay_trace *t;
	enum overload_mode mode;
	struct replay_result *r;
	struct events events;
	struct table roots, attempts;
	struct node nodes[NODES_MAX];
	size_t node_count;
	uint32_t first_node[REPLAY_HOPS_MAX]; /* of each hop */
	uint32_t first_entry;
	gsl_rng *rng;
	double share_sum;
	uint64_t serial;
	int64_t now;
	int failed; /* memory is out */
};

static void add_event(struct model *m, int64_t at, enum event_kind kind,
		      uint64_t handle, uint32_t value)
{
	struct event ev = {
		.at_us = at, .kind = kind, .handle = handle, .value = value};

	if (events_add(&m->events, ev) < 0)
		m->failed = 1;
}

static uint64_t account_hash(uint32_t account)
{
	return pair_hash(account, 1);
}

static uint64_t service_hash(const struct model *m, uint32_t hop)
{
	return name_hash(m->t->hops[hop].service);
}

static int64_t link_us(const struct model *m, uint32_t a, uint32_t b)
{
	return m->nodes[a].data_centre == m->nodes[b].data_centre
		       ? m->t->same_us
		       : m->t->other_us;
}

static struct node *upstream_node(struct model *m, uint32_t hop, uint32_t u)
{
	return &m->nodes[m->first_node[hop] + u];
}

static bool measured(const struct model *m, const struct root *root)
{
	return root->sent_us >= m->t->measured_from_us;
}

static void drop_root(struct model *m, uint64_t handle)
{
	struct root *root = table_get(&m->roots, handle);

	if (root && root->ended && !root->refs)
		table_remove(&m->roots, handle);
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
	drop_root(m, root_handle);
}

static struct leg *leg_of(struct model *m, uint64_t root, uint64_t parent)
{
	struct attempt *a;
	struct root *r;

	if (parent) {
		a = table_get(&m->attempts, parent);
		return a ? &a->leg : NULL;
	}
	r = table_get(&m->roots, root);
	return r ? &r->leg : NULL;
}

static void pump(struct model *m, uint32_t hop, uint32_t upstream);

/* Cancels an attempt and all that runs below it. */
static void cancel(struct model *m, uint64_t handle)
{
	struct attempt *a = table_get(&m->attempts, handle);
	struct node *n;
	uint32_t hop, upstream;

	if (!a)
		return;
	hop = a->hop;
	upstream = a->upstream;
	n = upstream_node(m, hop, upstream);
	load_cancelled(&m->nodes[a->caller].loads[upstream]);
	if (a->leg.current)
		cancel(m, a->leg.current);
	gate_cancel(n->gate, handle, m->now);
	drop_attempt(m, handle);
	pump(m, hop, upstream);
}

/* Ends the leg's current attempt without an answer. */
static void give_up(struct model *m, struct leg *leg)
{
	struct attempt *a = table_get(&m->attempts, leg->current);

	if (!a)
		return;
	if (m->mode == OVERLOAD_OFF) {
		a->abandoned = true;
		load_failed(&m->nodes[a->caller].loads[a->upstream], m->now);
	} else {
		cancel(m, leg->current);
	}
	leg->current = 0;
}

static void end_root(struct model *m, uint64_t handle, bool good, bool refused)
{
	struct root *root = table_get(&m->roots, handle);
	struct replay_result *r = m->r;
	size_t bin = (size_t)(m->now / REPLAY_BIN_US);

	if (!root || root->ended)
		return;
	give_up(m, &root->leg);
	root = table_get(&m->roots, handle);
	root->ended = true;
	root->good = good;
	if (good && bin < REPLAY_BINS_MAX)
		r->bins[bin]++;
	if (root->retries > r->retries_max)
		r->retries_max = root->retries;
	if (measured(m, root)) {
		r->good += good;
		r->class_good[root->cls] += good;
		r->account_good[root->account] += good;
		r->refused += refused;
		r->timed_out += !good && !refused;
		r->runs += root->runs;
		r->wasted += good ? 0 : root->runs;
	}
	if (!good && root->client_tries < m->t->client_retries)
		add_event(m,
			  m->now + m->t->client_us +
				  (int64_t)(gsl_rng_uniform(m->rng) *
					    CLIENT_RETRY_MAX_US),
			  EVENT_ARRIVAL,
			  (uint64_t)root->cls << 32 | root->account,
			  root->client_tries + 1);
	drop_root(m, handle);
}

static void answer(struct model *m, uint64_t handle, enum outcome outcome,
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
	a->head.allowance_left = a->leg.allowance;
	a->head.queue_us = (uint32_t)report.queue_us;
	a->head.in_flight = report.running + report.queued;
	a->head.admission = admission_min(
		gate_admission(m->nodes[at].gate, account_hash(root->account)),
		a->met);
	add_event(m, m->now + link_us(m, a->caller, at), EVENT_ANSWER, handle,
		  0);
}

static int pick(struct model *m, const struct leg *leg, uint32_t caller,
		uint32_t hop)
{
	struct balance_candidate c[UPSTREAMS_MAX];
	uint32_t n = m->t->hops[hop].upstreams, i;

	for (i = 0; i < n; i++) {
		c[i].load = &m->nodes[caller].loads[i];
		c[i].slots = m->t->hops[hop].slots;
		c[i].same_data_centre = upstream_node(m, hop, i)->data_centre ==
					m->nodes[caller].data_centre;
		c[i].tried = leg->tried >> i & 1;
	}
	return balance_pick(c, n, ++m->serial, m->now);
}

static void leg_failed(struct model *m, uint64_t root, uint64_t parent,
		       enum outcome outcome, enum reason reason);

/* Sends an attempt of the leg that the root's entry or parent has open. */
static void send_attempt(struct model *m, uint64_t root_handle, uint64_t parent)
{
	struct root *root = table_get(&m->roots, root_handle);
	struct attempt *p = parent ? table_get(&m->attempts, parent) : NULL;
	uint32_t hop = p ? p->hop + 1 : 0;
	uint32_t caller = p ? m->first_node[p->hop] + p->upstream : root->entry;
	struct node *n = &m->nodes[caller];
	uint64_t service = service_hash(m, hop);
	uint64_t account = account_hash(root->account), handle;
	struct attempt *a;
	struct leg *leg;
	void *item;

	if (m->mode == OVERLOAD_ENFORCE &&
	    !cutoffs_admit(n->cutoffs, service, account, root->cls,
			   lot_at_depth(root->lot, hop), m->now)) {
		cutoffs_count_shed(n->cutoffs, service, account, root->cls,
				   m->now);
		m->r->shed_by_caller[hop]++;
		leg_failed(m, root_handle, parent, OUTCOME_NOT_RUN,
			   REASON_SHED);
		return;
	}
	handle = table_add(&m->attempts, &item);
	if (!handle) {
		m->failed = 1;
		return;
	}
	a = item;
	leg = leg_of(m, root_handle, parent); /* adding may move attempts */
	a->root = root_handle;
	a->parent = parent;
	a->hop = hop;
	a->caller = caller;
	a->sent_us = m->now;
	a->met = (struct admission){{ADMIT_ALL, ADMIT_ALL, ADMIT_ALL}};
	a->upstream = (uint32_t)pick(m, leg, caller, hop);
	leg->tried |= 1U << a->upstream;
	leg->current = handle;
	leg->lent = allowance_lend(&leg->allowance);
	leg->tries++;
	if (leg->tries > m->r->attempts_max)
		m->r->attempts_max = leg->tries;
	a->leg.allowance = leg->lent;
	root->refs++;
	load_sent(&n->loads[a->upstream], m->now);
	add_event(m,
		  m->now + link_us(m, caller, m->first_node[hop] + a->upstream),
		  EVENT_OFFER, handle, 0);
	if (m->mode == OVERLOAD_OFF)
		add_event(m, m->now + m->t->deadline_us, EVENT_DEADLINE, handle,
			  1);
}

/* Ends a service's work: its slot is free and its answer is on its way. */
static void finish(struct model *m, uint64_t handle, enum outcome outcome,
		   enum reason reason, bool ok)
{
	struct attempt *a = table_get(&m->attempts, handle);
	uint32_t hop = a->hop, upstream = a->upstream;

	gate_done(upstream_node(m, hop, upstream)->gate, handle, ok, m->now);
	answer(m, handle, outcome, reason);
	pump(m, hop, upstream);
}

static bool may_retry(struct model *m, struct node *n, struct leg *leg,
		      enum outcome outcome, enum reason reason)
{
	if (m->mode == OVERLOAD_OFF)
		return leg->tries <= OFF_RETRIES;
	if (!leg->allowance || !retry_allowed(outcome, reason, false) ||
	    !retry_ratio_take(&n->ratio))
		return false;
	leg->allowance--;
	return true;
}

/* A leg's attempt failed: try again, or fail what it was for. */
static void leg_failed(struct model *m, uint64_t root_handle, uint64_t parent,
		       enum outcome outcome, enum reason reason)
{
	struct root *root = table_get(&m->roots, root_handle);
	struct attempt *p = parent ? table_get(&m->attempts, parent) : NULL;
	struct leg *leg = leg_of(m, root_handle, parent);
	uint32_t caller = p ? m->first_node[p->hop] + p->upstream : root->entry;
	struct node *n = &m->nodes[caller];

	leg->current = 0;
	if (may_retry(m, n, leg, outcome, reason)) {
		root->retries++;
		add_event(m,
			  m->mode == OVERLOAD_OFF
				  ? m->now
				  : m->now + retry_backoff_us(leg->tries,
							      ++m->serial),
			  EVENT_RETRY, parent ? parent : root_handle,
			  parent != 0);
		return;
	}
	if (!p) {
		end_root(m, root_handle, false, outcome == OUTCOME_NOT_RUN);
		return;
	}
	p->met = admission_min(
		p->met, cutoffs_get(n->cutoffs, service_hash(m, p->hop + 1),
				    account_hash(root->account), m->now));
	finish(m, parent, OUTCOME_UNKNOWN, reason, true);
}

static void start(struct model *m, uint64_t handle)
{
	struct attempt *a = table_get(&m->attempts, handle);
	struct root *root = table_get(&m->roots, a->root);
	const struct replay_trace *t = m->t;
	double mean = t->hops[a->hop].service_us, own;

	root->runs++;
	if (root->ended && measured(m, root)) {
		m->r->runs++;
		m->r->wasted++;
	}
	if (a->hop + 1 == t->hop_count && m->now >= t->slow_from_us &&
	    m->now < t->slow_to_us)
		mean *= t->slow_factor;
	own = gsl_ran_exponential(m->rng, mean);
	a->ok = gsl_rng_uniform(m->rng) >= t->fail_share;
	a->half_us = own / 2;
	if (!a->ok)
		add_event(m, m->now + 1, EVENT_FINISH, handle, 0);
	else if (a->hop + 1 == t->hop_count)
		add_event(m, m->now + 1 + (int64_t)own, EVENT_FINISH, handle,
			  0);
	else
		add_event(m, m->now + 1 + (int64_t)a->half_us, EVENT_SUB_CALL,
			  handle, 0);
}

static void pump(struct model *m, uint32_t hop, uint32_t upstream)
{
	struct gate *g = upstream_node(m, hop, upstream)->gate;
	struct gate_drop d;
	int64_t waited;
	uint64_t id;

	while (gate_next_drop(g, m->now, &d))
		answer(m, d.id, OUTCOME_NOT_RUN, d.reason);
	while ((id = gate_next(g, m->now, &waited)))
		start(m, id);
}

static void offer(struct model *m, uint64_t handle)
{
	struct attempt *a = table_get(&m->attempts, handle);
	struct root *root = table_get(&m->roots, a->root);
	uint32_t hop = a->hop, upstream = a->upstream;
	struct gate_call c = {
		.id = handle,
		.account = account_hash(root->account),
		.weight = m->t->accounts[root->account].weight,
		.cls = root->cls,
		.lot = root->lot,
		.depth = hop,
		.deadline_us = root->leg.deadline_us,
	};
	enum reason why;

	cutoffs_take_unseen(m->nodes[a->caller].cutoffs, service_hash(m, hop),
			    c.account, c.shed_unseen);
	a->offered = true;
	if (gate_offer(upstream_node(m, hop, upstream)->gate, &c, &why,
		       m->now) == GATE_REFUSED)
		answer(m, handle, OUTCOME_NOT_RUN, why);
	pump(m, hop, upstream);
}

static void sub_call(struct model *m, uint64_t handle)
{
	struct attempt *a = table_get(&m->attempts, handle);
	uint32_t node = m->first_node[a->hop] + a->upstream;

	a->leg.tries = 0;
	retry_ratio_call(&m->nodes[node].ratio);
	send_attempt(m, a->root, handle);
}

/* The caller takes in an answer and goes on with what it waited for. */
static void answered(struct model *m, uint64_t handle)
{
	struct attempt a = *(struct attempt *)table_get(&m->attempts, handle);
	struct node *n = &m->nodes[a.caller];
	struct root *root = table_get(&m->roots, a.root);
	uint64_t account = account_hash(root->account);
	struct leg *leg = leg_of(m, a.root, a.parent);
	struct attempt *p;

	drop_attempt(m, handle);
	if (a.abandoned || !leg || leg->current != handle)
		return;
	load_answered(&n->loads[a.upstream], &a.head, m->now - a.sent_us,
		      m->now);
	cutoffs_fold(n->cutoffs, service_hash(m, a.hop), account,
		     &a.head.admission, m->now);
	leg->allowance += a.head.allowance_left;
	leg->current = 0;
	if (a.head.outcome != OUTCOME_DONE) {
		leg_failed(m, a.root, a.parent, a.head.outcome, a.head.reason);
		return;
	}
	if (!a.parent) {
		end_root(m, a.root, true, false);
		return;
	}
	p = table_get(&m->attempts, a.parent);
	p->met = admission_min(p->met,
			       cutoffs_get(n->cutoffs, service_hash(m, a.hop),
					   account, m->now));
	add_event(m, m->now + 1 + (int64_t)p->half_us, EVENT_FINISH, a.parent,
		  0);
}

static void retry(struct model *m, uint64_t handle, bool of_attempt)
{
	struct attempt *a;
	struct root *root;

	if (of_attempt) {
		a = table_get(&m->attempts, handle);
		if (a)
			send_attempt(m, a->root, handle);
		return;
	}
	root = table_get(&m->roots, handle);
	if (root && !root->ended)
		send_attempt(m, handle, 0);
}

/* A client gives up on a root, or with OVERLOAD_OFF a hop on an attempt. */
static void deadline(struct model *m, uint64_t handle, bool of_attempt)
{
	struct attempt *a;
	struct leg *leg;
	uint64_t root, parent;

	if (!of_attempt) {
		end_root(m, handle, false, false);
		return;
	}
	a = table_get(&m->attempts, handle);
	if (!a || a->abandoned)
		return;
	root = a->root;
	parent = a->parent;
	leg = leg_of(m, root, parent);
	if (!leg || leg->current != handle)
		return;
	give_up(m, leg);
	leg_failed(m, root, parent, OUTCOME_UNKNOWN, REASON_LINK_LOST);
}

static double demand_at(const struct model *m)
{
	double demand = 0;
	size_t i;

	for (i = 0; i < m->t->phase_count; i++)
		if (m->now >= m->t->phases[i].from_us)
			demand = m->t->phases[i].demand;
	return demand;
}

static uint32_t draw_account(struct model *m)
{
	double x = gsl_rng_uniform(m->rng) * m->share_sum;
	uint32_t i;

	for (i = 0; i + 1 < m->t->account_count; i++) {
		x -= m->t->accounts[i].share * m->t->accounts[i].surge;
		if (x < 0)
			break;
	}
	return i;
}

static enum shed_class draw_class(struct model *m)
{
	double x = gsl_rng_uniform(m->rng);

	if (x < m->t->classes[SHED_FIRST])
		return SHED_FIRST;
	x -= m->t->classes[SHED_FIRST];
	return x < m->t->classes[SHED_MIDDLE] ? SHED_MIDDLE : SHED_LAST;
}

static void arrive(struct model *m, enum shed_class cls, uint32_t account,
		   uint32_t tries)
{
	struct root *root;
	uint64_t handle;
	void *item;

	handle = table_add(&m->roots, &item);
	if (!handle) {
		m->failed = 1;
		return;
	}
	root = item;
	root->cls = cls;
	root->account = account;
	root->entry = m->first_entry +
		      (uint32_t)gsl_rng_uniform_int(m->rng, m->t->entries);
	root->lot = (uint16_t)pair_hash(++m->serial, m->t->seed);
	root->client_tries = tries;
	root->sent_us = m->now;
	root->leg.deadline_us = m->now + m->t->deadline_us - m->t->client_us;
	root->leg.allowance = m->t->allowance;
	if (measured(m, root)) {
		m->r->offered++;
		m->r->class_offered[cls]++;
		m->r->account_offered[account]++;
	}
	add_event(m, m->now + m->t->client_us, EVENT_ENTRY, handle, 0);
	add_event(m, root->leg.deadline_us, EVENT_DEADLINE, handle, 0);
}

static void generate(struct model *m)
{
	double rate, sum = 0;
	size_t i;

	for (i = 0; i < m->t->account_count; i++)
		sum += m->t->accounts[i].share;
	rate = demand_at(m) * m->r->capacity_s * m->share_sum / sum;
	if (m->now >= m->t->length_us)
		return;
	arrive(m, draw_class(m), draw_account(m), 0);
	add_event(m,
		  m->now + 1 +
			  (int64_t)gsl_ran_exponential(m->rng,
						       USEC_PER_SEC / rate),
		  EVENT_ARRIVAL, UINT64_MAX, 0);
}

static void step(struct model *m, uint32_t node)
{
	uint32_t hop;

	gate_step(m->nodes[node].gate, m->now);
	for (hop = 0; hop + 1 < m->t->hop_count; hop++)
		if (node < m->first_node[hop + 1])
			break;
	pump(m, hop, node - m->first_node[hop]);
	if (m->now < m->t->length_us + m->t->deadline_us)
		add_event(m, m->now + GATE_STEP_US, EVENT_STEP, 0, node);
}

static void handle_event(struct model *m, const struct event *ev)
{
	struct attempt *a = NULL;
	struct root *root;

	if (ev->kind == EVENT_OFFER || ev->kind == EVENT_SUB_CALL ||
	    ev->kind == EVENT_FINISH || ev->kind == EVENT_ANSWER) {
		a = table_get(&m->attempts, ev->handle);
		if (!a)
			return;
	}
	switch (ev->kind) {
	case EVENT_ARRIVAL:
		if (ev->handle == UINT64_MAX)
			generate(m);
		else
			arrive(m, (enum shed_class)(ev->handle >> 32),
			       (uint32_t)ev->handle, ev->value);
		break;
	case EVENT_ENTRY:
		root = table_get(&m->roots, ev->handle);
		if (!root)
			break;
		retry_ratio_call(&m->nodes[root->entry].ratio);
		send_attempt(m, ev->handle, 0);
		break;
	case EVENT_DEADLINE:
		deadline(m, ev->handle, ev->value);
		break;
	case EVENT_OFFER:
		offer(m, ev->handle);
		break;
	case EVENT_SUB_CALL:
		sub_call(m, ev->handle);
		break;
	case EVENT_FINISH:
		if (a->ok)
			finish(m, ev->handle, OUTCOME_DONE, REASON_NONE, true);
		else
			finish(m, ev->handle, OUTCOME_UNKNOWN,
			       REASON_UPSTREAM_FAILED, false);
		break;
	case EVENT_ANSWER:
		answered(m, ev->handle);
		break;
	case EVENT_RETRY:
		retry(m, ev->handle, ev->value);
		break;
	case EVENT_STEP:
		step(m, ev->value);
		break;
	}
}

static int add_node(struct model *m, const struct gate_options *o, uint32_t i)
{
	struct node *n = &m->nodes[m->node_count++];

	n->cutoffs = cutoffs_new(CUTOFFS_MAX);
	n->data_centre = i % m->t->data_centres;
	retry_ratio_init(&n->ratio, RETRY_PERCENT);
	if (o)
		n->gate = gate_new(o, 0);
	return n->cutoffs && (!o || n->gate) ? 0 : -1;
}

/* Makes the upstreams hop by hop, then the entries. */
static int add_nodes(struct model *m)
{
	const struct replay_trace *t = m->t;
	struct gate_options o = {.queue_target_us = QUEUE_TARGET_US,
				 .queue_max = QUEUE_MAX,
				 .mode = m->mode};
	uint32_t i;
	size_t hop;

	for (hop = 0; hop < t->hop_count; hop++) {
		m->first_node[hop] = (uint32_t)m->node_count;
		o.slots = t->hops[hop].slots;
		for (i = 0; i < t->hops[hop].upstreams; i++) {
			if (m->node_count == NODES_MAX || i == UPSTREAMS_MAX ||
			    add_node(m, &o, i) < 0)
				return -1;
			add_event(m, GATE_STEP_US + 997 * m->node_count,
				  EVENT_STEP, 0, (uint32_t)m->node_count - 1);
		}
	}
	m->first_entry = (uint32_t)m->node_count;
	for (i = 0; i < t->entries; i++)
		if (m->node_count == NODES_MAX || add_node(m, NULL, i) < 0)
			return -1;
	return 0;
}

static void free_model(struct model *m)
{
	size_t i;

	for (i = 0; i < m->node_count; i++) {
		gate_free(m->nodes[i].gate);
		cutoffs_free(m->nodes[i].cutoffs);
	}
	table_free(&m->roots);
	table_free(&m->attempts);
	free(m->events.heap);
	gsl_rng_free(m->rng);
	free(m);
}

static struct model *new_model(const struct replay_trace *t,
			       enum overload_mode mode, uint64_t seed,
			       struct replay_result *r)
{
	struct model *m = calloc(1, sizeof(*m));
	size_t i;

	if (!m)
		return NULL;
	m->t = t;
	m->mode = mode;
	m->r = r;
	m->rng = gsl_rng_alloc(gsl_rng_taus2);
	gsl_rng_set(m->rng, (unsigned long)seed);
	m->serial = seed << 32;
	table_init(&m->roots, sizeof(struct root), TABLE_MAX);
	table_init(&m->attempts, sizeof(struct attempt), TABLE_MAX);
	for (i = 0; i < t->account_count; i++)
		m->share_sum += t->accounts[i].share * t->accounts[i].surge;
	if (add_nodes(m) < 0) {
		free_model(m);
		return NULL;
	}
	return m;
}

/* Replays a trace once; -1 when memory is out or the trace is too large. */
int replay_run(const struct replay_trace *t, enum overload_mode mode,
	       uint64_t seed, struct replay_result *r)
{
	struct model *m;
	struct event ev;
	int failed;

	memset(r, 0, sizeof(*r));
	r->capacity_s = replay_capacity(t);
	r->measured_s =
		(double)(t->length_us - t->measured_from_us) / USEC_PER_SEC;
	m = new_model(t, mode, seed, r);
	if (!m)
		return -1;
	add_event(m, 0, EVENT_ARRIVAL, UINT64_MAX, 0);
	while (!m->failed && events_take(&m->events, &ev) == 0 &&
	       ev.at_us < t->length_us + 2 * t->deadline_us) {
		m->now = ev.at_us;
		handle_event(m, &ev);
	}
	failed = m->failed;
	free_model(m);
	replay_finish(t, r);
	return failed ? -1 : 0;
}
