#include "replay_impl.h"

#include <gsl/gsl_randist.h>

#define CLIENT_RETRY_MAX_US 20000.0 /* aggressive client retries */

bool root_measured(const struct model *m, const struct root *root)
{
	return root->sent_us >= m->t->measured_from_us;
}

void root_drop(struct model *m, uint64_t handle)
{
	struct root *root = table_get(&m->roots, handle);

	if (root && root->ended && !root->refs)
		table_remove(&m->roots, handle);
}

void root_end(struct model *m, uint64_t handle, bool good, bool refused)
{
	struct root *root = table_get(&m->roots, handle);
	struct replay_result *r = m->r;
	size_t bin = (size_t)(m->now / REPLAY_BIN_US);

	if (!root || root->ended)
		return;
	hop_call_give_up(m, &root->hop_call);
	root = table_get(&m->roots, handle);
	root->ended = true;
	root->good = good;
	if (good && bin < REPLAY_BINS_MAX)
		r->bins[bin]++;
	if (root->retries > r->retries_max)
		r->retries_max = root->retries;
	if (root_measured(m, root)) {
		r->good += good;
		r->class_good[root->cls] += good;
		r->account_good[root->account] += good;
		r->refused += refused;
		r->timed_out += !good && !refused;
		r->runs += root->runs;
		r->wasted += good ? 0 : root->runs;
	}
	if (!good && root->client_tries < m->t->client_retries)
		model_add_event(m,
				m->now + m->t->client_delay_us +
					(int64_t)(gsl_rng_uniform(m->rng) *
						  CLIENT_RETRY_MAX_US),
				EVENT_ARRIVAL,
				(uint64_t)root->cls << 32 | root->account,
				root->client_tries + 1);
	root_drop(m, handle);
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

static double share_now(const struct model *m, size_t account)
{
	const struct replay_account *a = &m->t->accounts[account];

	return a->share * (m->now >= m->t->surge_from_us ? a->surge : 1);
}

static uint32_t draw_account(struct model *m, double share_sum)
{
	double x = gsl_rng_uniform(m->rng) * share_sum;
	uint32_t i;

	for (i = 0; i + 1 < m->t->account_count; i++) {
		x -= share_now(m, i);
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

void root_arrive(struct model *m, enum shed_class cls, uint32_t account,
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
	root->admit_hash = (uint16_t)pair_hash(++m->next_seed, m->t->seed);
	root->client_tries = tries;
	root->sent_us = m->now;
	root->hop_call.deadline_us =
		m->now + m->t->deadline_us - m->t->client_delay_us;
	root->hop_call.allowance = m->t->allowance;
	if (root_measured(m, root)) {
		m->r->offered++;
		m->r->class_offered[cls]++;
		m->r->account_offered[account][cls]++;
	}
	model_add_event(m, m->now + m->t->client_delay_us, EVENT_ENTRY, handle,
			0);
	model_add_event(m, root->hop_call.deadline_us, EVENT_DEADLINE, handle,
			0);
}

void root_generate(struct model *m)
{
	double rate, normal = 0, sum = 0;
	size_t i;

	for (i = 0; i < m->t->account_count; i++) {
		normal += m->t->accounts[i].share;
		sum += share_now(m, i);
	}
	rate = demand_at(m) * m->r->capacity_s * sum / normal;
	if (m->now >= m->t->length_us)
		return;
	root_arrive(m, draw_class(m), draw_account(m, sum), 0);
	model_add_event(m,
			m->now + 1 +
				(int64_t)gsl_ran_exponential(
					m->rng, USEC_PER_SEC / rate),
			EVENT_ARRIVAL, UINT64_MAX, 0);
}
