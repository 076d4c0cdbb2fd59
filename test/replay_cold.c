/* Cold upstreams of the model, which crash under twice their cold rate. */
#include "replay_impl.h"

#define CRASH_FACTOR 2

bool cold_now(const struct model *m, const struct node *n)
{
	return m->now < n->cold_until_us;
}

bool cold_is_down(const struct model *m, const struct node *n)
{
	return m->now < n->down_until_us;
}

static size_t cold_count(const struct model *m, uint32_t hop)
{
	size_t count = 0;
	uint32_t i;

	for (i = 0; i < m->t->hops[hop].upstreams; i++)
		count += cold_now(m, &m->nodes[m->first_node[hop] + i]);
	return count;
}

/* Makes an upstream cold from the time at which it is up. */
void cold_begin(struct model *m, struct node *n, int64_t up_us)
{
	n->down_until_us = up_us;
	n->cold_until_us = up_us + m->t->cold_us;
	n->cold_known = true;
	n->start_count = 0;
	if (!m->t->cold_unlimited)
		gate_set_cold(n->gate, m->t->cold_per_s, n->cold_until_us,
			      m->now);
}

/* What every node learns when an upstream is warm, as node/known_cold.c. */
void cold_end(struct model *m, uint32_t hop, uint32_t upstream)
{
	struct node *n = model_upstream(m, hop, upstream);
	size_t i;

	if (!n->cold_known || cold_now(m, n))
		return;
	n->cold_known = false;
	if (m->t->cold_unlimited)
		return;
	for (i = 0; i < m->node_count; i++) {
		/* The loads of a node are of the hop that it calls. */
		if (hop ? i < m->first_node[hop - 1] || i >= m->first_node[hop]
			: i < m->first_entry)
			continue;
		m->nodes[i].loads[upstream].rate = 0;
		m->nodes[i].loads[upstream].shed_share = 0;
		m->nodes[i].loads[upstream].queue_us = 0;
		cutoffs_reopen(m->nodes[i].cutoffs, model_service(m, hop),
			       1 / (1 + (double)cold_count(m, hop)), m->now);
	}
}

static void crash(struct model *m, uint32_t hop, uint32_t upstream)
{
	struct node *n = model_upstream(m, hop, upstream);
	struct attempt *a;
	uint64_t h = 0;
	void *item;

	m->r->crashes++;
	cold_begin(m, n, m->now + m->t->restart_us);
	while ((h = table_next(&m->attempts, h, &item))) {
		a = item;
		if (a->hop != hop || a->upstream != upstream || !a->started)
			continue;
		a->started = false;
		a->ok = false;
		model_add_event(m, m->now, EVENT_LOST, h, 0);
	}
}

/* Counts a start, which crashes an upstream that is cold and has had many. */
void cold_count_start(struct model *m, uint32_t hop, uint32_t upstream)
{
	struct node *n = model_upstream(m, hop, upstream);
	double most = m->t->cold_per_s * CRASH_FACTOR;
	size_t i, recent = 0;

	n->starts[n->start_count++ % STARTS_MAX] = m->now;
	if (!cold_now(m, n))
		return;
	for (i = 0; i < STARTS_MAX && i < n->start_count; i++)
		recent += m->now - n->starts[i] < USEC_PER_SEC;
	if (recent > m->r->cold_most)
		m->r->cold_most = recent;
	if ((double)recent > most)
		crash(m, hop, upstream);
}
