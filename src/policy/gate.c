#include "policy/gate_impl.h"

#include <stdlib.h>
#include <utlist.h>

#define QUEUE_TIME_MAX_OVERLOAD_US \
	(250 * USEC_PER_MSEC)			 /* during an overload */
#define QUEUE_TIME_MAX_US (1000 * USEC_PER_MSEC) /* otherwise */
/* Of the slots in use: rejections are then taken for a lack of room. */
#define FULL_SHARE 0.75

/* Creates the gate of one upstream; NULL when out of memory. */
struct gate *gate_new(const struct gate_options *o, int64_t now)
{
	struct gate *g = calloc(1, sizeof(*g));
	int cls;

	if (!g)
		return NULL;
	g->o = *o;
	g->started_us = now;
	g->last_step_us = now;
	g->busy_counted_us = now;
	g->adaptive_limit = o->slots;
	g->trim = 1;
	g->unheard = o->names_rate;
	for (cls = 0; cls < SHED_CLASSES; cls++)
		g->admitted[cls] = ADMIT_ALL;
	gate_set_limit(g, now);
	return g;
}

static void free_items(struct gate *g)
{
	struct gate_item *it, *next;

	for (it = g->drops; it; it = next) {
		next = it->next;
		free(it);
	}
	it = g->items;
	HASH_CLEAR(hh, g->items);
	for (; it; it = next) {
		next = it->hh.next;
		free(it);
	}
}

/* Frees the gate and its calls, without reporting them as dropped. */
void gate_free(struct gate *g)
{
	struct gate_account *a, *next;

	if (!g)
		return;
	free_items(g);
	a = g->accounts;
	HASH_CLEAR(hh, g->accounts);
	for (; a; a = next) {
		next = a->hh.next;
		free(a);
	}
	free(g->heap);
	free(g);
}

/* Sets the announced slots; running calls above them continue. */
void gate_set_slots(struct gate *g, uint32_t slots, int64_t now)
{
	if (slots > g->o.slots)
		g->adaptive_limit += slots - g->o.slots;
	g->o.slots = slots;
	if (g->adaptive_limit > slots)
		g->adaptive_limit = slots;
	gate_set_limit(g, now);
}

/* Keeps queued calls; OVERLOAD_OFF admits everything from the next step. */
void gate_set_mode(struct gate *g, enum overload_mode mode)
{
	g->o.mode = mode;
	gate_set_limit(g, g->last_step_us);
}

/*
 * Estimates the queueing time of a call in microseconds: behind all calls of
 * more important classes, and behind either the queue of its class or, by
 * round robin, that of its account, whichever is shorter.
 */
static int64_t expected_wait_us(struct gate *g, const struct gate_call *c,
				const struct gate_account *a, int64_t now)
{
	int64_t cold_us = gate_cold_wait_us(g, now);
	bool rate_free = !cold_us && (!g->starts.rate || g->starts.level >= 1);
	const struct gate_flow *f;
	double ahead = 0, own, weights = 0;
	int cls;

	if ((g->running < g->limit && rate_free) || !g->limit)
		return 0;
	for (cls = SHED_CLASSES - 1; cls > (int)c->cls; cls--)
		ahead += g->class_n[cls];
	own = g->class_n[c->cls];
	if (g->flows[c->cls] && own > a->flow[c->cls].n) {
		DL_FOREACH(g->flows[c->cls], f)
		weights += f->items->account->weight;
		if (!a->flow[c->cls].n)
			weights += a->weight;
		weights *= (double)(a->flow[c->cls].n + 1) / a->weight;
		if (weights < own)
			own = weights;
	}
	return cold_us +
	       (int64_t)((ahead + own) * USEC_PER_SEC / gate_capacity(g));
}

/* Returns the longest time that a call may wait. */
int64_t gate_queue_max_us(const struct gate *g)
{
	int64_t max =
		g->overload ? QUEUE_TIME_MAX_OVERLOAD_US : QUEUE_TIME_MAX_US;

	return g->cold.rate ? gate_cold_queue_max_us(g, max) : max;
}

/* Removes a queued call, which gate_next_drop then reports. */
void gate_drop_item(struct gate *g, struct gate_item *it, enum reason why)
{
	queue_remove(g, it);
	HASH_DEL(g->items, it);
	it->drop_reason = why;
	DL_APPEND(g->drops, it);
}

/* Returns why a queued call must not run any more, or REASON_NONE. */
static enum reason expiry_reason(const struct gate *g,
				 const struct gate_item *it, int64_t now)
{
	if (now > it->start_by_us)
		return REASON_DEADLINE;
	if (now - it->offered_us > gate_queue_max_us(g))
		return g->cold.rate ? REASON_COLD : REASON_QUEUE_TIMEOUT;
	return REASON_NONE;
}

static void drop_expired(struct gate *g, int64_t now)
{
	struct gate_item *it;
	enum reason why;
	int cls;

	while ((it = queue_first_due(g)) && now > it->start_by_us)
		gate_drop_item(g, it, REASON_DEADLINE);
	for (cls = 0; cls < SHED_CLASSES; cls++)
		while ((it = g->class_items[cls])) {
			why = expiry_reason(g, it, now);
			if (why == REASON_NONE)
				break;
			gate_drop_item(g, it, why);
		}
}

/* Checks an offered call; may evict a less important one to queue it. */
static enum reason check_call(struct gate *g, const struct gate_call *c,
			      const struct gate_account *a, bool enforce,
			      int64_t now)
{
	struct gate_item *victim;
	int64_t half = gate_expected_run_us(g) / 2;
	int64_t wait = expected_wait_us(g, c, a, now);
	/* With a free slot and no queue, admitting above the cutoff is free. */
	bool idle =
		g->running < g->limit && !g->queued && gate_rate_allows(g, now);

	if (!idle &&
	    !admit_hash_passes(admit_hash_at_depth(c->admit_hash, c->depth),
			       a->demand[c->cls].admitted))
		return REASON_SHED;
	if (now + wait + half > c->deadline_us)
		return REASON_DEADLINE;
	/* It would be dropped from the queue before its turn. */
	if (gate_rate_limit(g) && wait > gate_queue_max_us(g))
		return g->cold.rate ? REASON_COLD : REASON_SHED;
	if (g->queued < g->o.queue_max)
		return REASON_NONE;
	victim = queue_victim(g, c->cls, a);
	if (!victim)
		return REASON_QUEUE_FULL;
	if (enforce)
		gate_drop_item(g, victim, REASON_QUEUE_FULL);
	return REASON_NONE;
}

static unsigned id_hash(uint64_t id)
{
	return (unsigned)(id * UINT64_C(0x9e3779b97f4a7c15) >> 32);
}

/* NOLINTNEXTLINE(readability-function-size): the macro of uthash is long */
static void add_item(struct gate *g, struct gate_item *it)
{
	HASH_ADD_BYHASHVALUE(hh, g->items, call.id, sizeof(it->call.id),
			     id_hash(it->call.id), it);
}

static int insert_item(struct gate *g, const struct gate_call *c,
		       struct gate_account *a, int64_t now)
{
	struct gate_item *it = calloc(1, sizeof(*it));

	if (!it)
		return -1;
	it->call = *c;
	it->offered_us = now;
	it->start_by_us = c->deadline_us - gate_expected_run_us(g) / 2;
	if (queue_add(g, it, a) < 0) {
		free(it);
		return -1;
	}
	add_item(g, it);
	return 0;
}

/* Offers a call, whose id must not be queued or running already. */
enum gate_verdict gate_offer(struct gate *g, const struct gate_call *c,
			     enum reason *why, int64_t now)
{
	struct gate_account *a = account_get(g, c, now);

	*why = REASON_OVERLOADED;
	if (!a)
		return GATE_REFUSED;
	demand_count_arrival(a, c);
	*why = REASON_NONE;
	if (g->o.mode == OVERLOAD_ENFORCE)
		drop_expired(g, now);
	if (g->o.mode != OVERLOAD_OFF)
		*why = check_call(g, c, a, g->o.mode == OVERLOAD_ENFORCE, now);
	if (*why != REASON_NONE && g->o.mode == OVERLOAD_ENFORCE)
		return GATE_REFUSED;
	if (insert_item(g, c, a, now) < 0) {
		*why = REASON_OVERLOADED;
		return GATE_REFUSED;
	}
	return GATE_QUEUED;
}

/* Starts the next call; returns its id and its queueing time. */
uint64_t gate_next(struct gate *g, int64_t now, int64_t *waited_us)
{
	struct gate_item *it;
	enum reason why;

	while (g->running < g->limit && gate_rate_allows(g, now)) {
		it = g->o.mode == OVERLOAD_ENFORCE ? queue_pick(g)
						   : queue_oldest(g);
		if (!it)
			break;
		why = g->o.mode == OVERLOAD_ENFORCE ? expiry_reason(g, it, now)
						    : REASON_NONE;
		if (why != REASON_NONE) {
			gate_drop_item(g, it, why);
			continue;
		}
		queue_remove(g, it);
		gate_count_busy(g, now);
		g->running++;
		gate_rate_count(g, now);
		it->running = true;
		it->started_us = now;
		g->last_wait_us = now - it->offered_us;
		*waited_us = g->last_wait_us;
		return it->call.id;
	}
	return 0;
}

/*
 * Returns a queued call that will not run: past its deadline, queued too
 * long, or evicted from a full queue. The gate forgets it.
 */
bool gate_next_drop(struct gate *g, int64_t now, struct gate_drop *d)
{
	struct gate_item *it;

	if (!g->drops && g->o.mode == OVERLOAD_ENFORCE)
		drop_expired(g, now);
	it = g->drops;
	if (!it)
		return false;
	d->id = it->call.id;
	d->reason = it->drop_reason;
	DL_DELETE(g->drops, it);
	free(it);
	return true;
}

static struct gate_item *find_item(const struct gate *g, uint64_t id)
{
	struct gate_item *it;

	HASH_FIND_BYHASHVALUE(hh, g->items, &id, sizeof(id), id_hash(id), it);
	return it;
}

static void end_running(struct gate *g, struct gate_item *it, int64_t now)
{
	gate_count_busy(g, now);
	g->running--;
	HASH_DEL(g->items, it);
	free(it);
}

/* Whether the upstream has most of its slots in use. */
static bool is_nearly_full(const struct gate *g)
{
	return g->running >= g->o.slots * FULL_SHARE;
}

/*
 * Frees the slot of a running call; unknown ids are ignored. An upstream that
 * rejects calls with slots free does so at any load: fewer calls at once would
 * not help, and the rejections tell nothing of how long a call takes.
 */
void gate_done(struct gate *g, uint64_t id, enum gate_end end, int64_t now)
{
	struct gate_item *it = find_item(g, id);
	bool nearly_full = is_nearly_full(g);

	if (!it || !it->running)
		return;
	if (end == GATE_SERVED)
		gate_count_run(g, now - it->started_us);
	end_running(g, it, now);
	switch (end) {
	case GATE_SERVED:
		g->ended++;
		return;
	case GATE_FAILED:
		g->ended++;
		g->failed++;
		return;
	case GATE_REJECTED:
		g->ended += nearly_full;
		g->failed += nearly_full;
		return;
	}
}

static void cancel_drop(struct gate *g, uint64_t id)
{
	struct gate_item *it;

	DL_FOREACH(g->drops, it)
	{
		if (it->call.id != id)
			continue;
		DL_DELETE(g->drops, it);
		free(it);
		return;
	}
}

/* Removes a call that is queued, running or dropped but not reported. */
void gate_cancel(struct gate *g, uint64_t id, int64_t now)
{
	struct gate_item *it = find_item(g, id);

	if (!it) {
		cancel_drop(g, id);
		return;
	}
	if (it->running) {
		end_running(g, it, now);
		g->ended++;
		return;
	}
	queue_remove(g, it);
	HASH_DEL(g->items, it);
	free(it);
}

/* Returns the admitted shares to report to callers of this account. */
struct admission gate_admission(const struct gate *g, uint64_t account)
{
	const struct gate_account *a = account_find(g, account);
	struct admission out;
	int cls;

	for (cls = 0; cls < SHED_CLASSES; cls++)
		out.admitted[cls] =
			a ? a->demand[cls].admitted : g->admitted[cls];
	return out;
}

/* Reports the state for status pages and answer heads. */
void gate_report(const struct gate *g, struct gate_report *r)
{
	int cls;

	r->slots = g->o.slots;
	r->limit = g->limit;
	r->running = g->running;
	r->queued = g->queued;
	r->queue_us = g->queued || g->running >= g->limit ? g->last_wait_us : 0;
	r->rate = gate_rate_limit(g);
	r->service_us = (int64_t)g->service_us;
	r->admitted_rate = g->admitted_rate;
	for (cls = 0; cls < SHED_CLASSES; cls++)
		r->admitted[cls] = g->admitted[cls];
}
