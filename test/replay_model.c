#include "replay_impl.h"

#include <stdlib.h>
#include <string.h>

#define TABLE_MAX (8U * 1024 * 1024)
#define QUEUE_TARGET_US (10 * USEC_PER_MSEC)
#define QUEUE_MAX 2000
#define CUTOFFS_MAX 1000
#define RETRY_PERCENT 10

void model_add_event(struct model *m, int64_t at, enum event_kind kind,
		     uint64_t handle, uint32_t value)
{
	struct event ev = {
		.at_us = at, .kind = kind, .handle = handle, .value = value};

	if (events_add(&m->events, ev) < 0)
		m->failed = 1;
}

uint64_t model_account(uint32_t account)
{
	return pair_hash(account, 1);
}

uint64_t model_service(const struct model *m, uint32_t hop)
{
	return name_hash(m->t->hops[hop].service);
}

struct node *model_upstream(struct model *m, uint32_t hop, uint32_t u)
{
	return &m->nodes[m->first_node[hop] + u];
}

static void step(struct model *m, uint32_t node)
{
	uint32_t hop;

	gate_step(m->nodes[node].gate, m->now);
	for (hop = 0; hop + 1 < m->t->hop_count; hop++)
		if (node < m->first_node[hop + 1])
			break;
	cold_end(m, hop, node - m->first_node[hop]);
	model_run_gate(m, hop, node - m->first_node[hop]);
	if (m->now < m->t->length_us + m->t->deadline_us)
		model_add_event(m, m->now + GATE_STEP_US, EVENT_STEP, 0, node);
}

/* Ends an execution, unless its upstream crashed meanwhile. */
static void finish(struct model *m, uint64_t handle, struct attempt *a)
{
	if (!a->started)
		return;
	a->started = false;
	if (a->ok)
		attempt_finish(m, handle, OUTCOME_DONE, REASON_NONE, true);
	else
		attempt_finish(m, handle, OUTCOME_UNKNOWN,
			       REASON_UPSTREAM_FAILED, false);
}

/* Fails an execution whose upstream crashed. */
static void lose(struct model *m, uint64_t handle, struct attempt *a)
{
	hop_call_give_up(m, &a->hop_call);
	attempt_finish(m, handle, OUTCOME_UNKNOWN, REASON_UPSTREAM_FAILED,
		       false);
}

static void handle_event(struct model *m, const struct event *ev)
{
	struct attempt *a = NULL;
	struct root *root;

	if (ev->kind == EVENT_OFFER || ev->kind == EVENT_SUB_CALL ||
	    ev->kind == EVENT_FINISH || ev->kind == EVENT_LOST ||
	    ev->kind == EVENT_ANSWER) {
		a = table_get(&m->attempts, ev->handle);
		if (!a)
			return;
	}
	switch (ev->kind) {
	case EVENT_ARRIVAL:
		if (ev->handle == UINT64_MAX)
			root_generate(m);
		else
			root_arrive(m, (enum shed_class)(ev->handle >> 32),
				    (uint32_t)ev->handle, ev->value);
		break;
	case EVENT_ENTRY:
		root = table_get(&m->roots, ev->handle);
		if (!root)
			break;
		retry_ratio_call(&m->nodes[root->entry].ratio);
		hop_call_send(m, ev->handle, 0);
		break;
	case EVENT_DEADLINE:
		if (ev->value)
			attempt_timed_out(m, ev->handle);
		else
			root_end(m, ev->handle, false, false);
		break;
	case EVENT_OFFER:
		attempt_offer(m, ev->handle);
		break;
	case EVENT_SUB_CALL:
		if (a->started)
			attempt_sub_call(m, ev->handle);
		break;
	case EVENT_FINISH:
		finish(m, ev->handle, a);
		break;
	case EVENT_LOST:
		lose(m, ev->handle, a);
		break;
	case EVENT_ANSWER:
		attempt_answered(m, ev->handle);
		break;
	case EVENT_RETRY:
		hop_call_retry(m, ev->handle, ev->value);
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

/* Adds the upstreams hop by hop, then the entries. */
static int add_nodes(struct model *m)
{
	const struct replay_trace *t = m->t;
	struct gate_options o = {.queue_target_us = QUEUE_TARGET_US,
				 .queue_max = QUEUE_MAX,
				 .cold_overshoot = 1.5,
				 .cold_slack = 8,
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
			if (t->cold_us)
				cold_begin(m, &m->nodes[m->node_count - 1],
					   i * t->cold_stagger_us);
			model_add_event(m, GATE_STEP_US + 997 * m->node_count,
					EVENT_STEP, 0,
					(uint32_t)m->node_count - 1);
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

	if (!m)
		return NULL;
	m->t = t;
	m->mode = mode;
	m->r = r;
	m->rng = gsl_rng_alloc(gsl_rng_taus2);
	gsl_rng_set(m->rng, (unsigned long)seed);
	m->next_seed = seed << 32;
	table_init(&m->roots, sizeof(struct root), TABLE_MAX);
	table_init(&m->attempts, sizeof(struct attempt), TABLE_MAX);
	if (add_nodes(m) < 0) {
		free_model(m);
		return NULL;
	}
	return m;
}

/* Replays a trace once; -1 if out of memory or the trace is too large. */
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
	model_add_event(m, 0, EVENT_ARRIVAL, UINT64_MAX, 0);
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
