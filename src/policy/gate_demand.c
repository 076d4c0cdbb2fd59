#include "policy/gate_impl.h"

#include <math.h>
#include <stdlib.h>

#define DEMAND_DECAY 0.9 /* per step */
/* Deviation of the count by which the demand has changed. */
#define CHANGE_SIGMAS 4
#define CHANGE_KEEP 0.3		 /* of the earlier counts, after a change */
#define COUNT_RELIABLE 50	 /* arrivals for a reliable estimate */
#define DEMAND_DECAY_FEW 0.95	 /* per step with fewer */
#define REPORTED_GAIN 0.25	 /* weight of a step in reported_rate */
#define FLOOR_SPAN_MIN_S 0.004	 /* less gives too few samples */
#define FLOOR_RISE_DIVISOR 8	 /* of the gap to a higher share, per step */
#define FAIR_LEVEL_TOLERANCE 2.0 /* times the fair level, see allocate_class */
#define ACCOUNT_IDLE_US (10 * USEC_PER_SEC)

/* Account numbers are hashes of names and need no further hashing. */
struct gate_account *account_find(const struct gate *g, uint64_t account)
{
	struct gate_account *a;

	HASH_FIND_BYHASHVALUE(hh, g->accounts, &account, sizeof(account),
			      (unsigned)account, a);
	return a;
}

/* NOLINTNEXTLINE(readability-function-size): the macro of uthash is long */
static void account_hash_add(struct gate *g, struct gate_account *a)
{
	HASH_ADD_BYHASHVALUE(hh, g->accounts, account, sizeof(a->account),
			     (unsigned)a->account, a);
}

static struct gate_account *account_add(struct gate *g, uint64_t account)
{
	struct gate_account *a = calloc(1, sizeof(*a));
	int cls;

	if (!a)
		return NULL;
	a->account = account;
	for (cls = 0; cls < SHED_CLASSES; cls++) {
		a->demand[cls].floor = ADMIT_ALL;
		a->demand[cls].admitted = g->admitted[cls];
	}
	account_hash_add(g, a);
	return a;
}

/* Finds or adds the account of a call; NULL when out of memory. */
struct gate_account *account_get(struct gate *g, const struct gate_call *c,
				 int64_t now)
{
	struct gate_account *a = account_find(g, c->account);

	if (!a)
		a = account_add(g, c->account);
	if (!a)
		return NULL;
	a->weight = c->weight ? c->weight : 1;
	a->last_used_us = now;
	return a;
}

/* Counts an offered call and the shed calls that its entry reports. */
void demand_count_arrival(struct gate_account *a, const struct gate_call *c)
{
	struct gate_demand *d = &a->demand[c->cls];
	int cls;

	d->arrivals++;
	if (admit_hash_passes(c->admit_hash, d->floor))
		d->below_floor++;
	for (cls = 0; cls < SHED_CLASSES; cls++)
		a->demand[cls].reported_sheds += c->shed_unreported[cls];
}

/*
 * Admission hashes are uniform, and no entry sheds a hash below the lowest
 * cutoff that it may still hold from this gate, the floor. The arrivals with
 * hashes below the floor, divided by the floor's share, therefore give the
 * total demand, wherever along the chain the rest is shed. If the floor is too
 * low for this, the shed calls that entries report are used instead.
 */
static void estimate(struct gate_demand *d, double dt_s)
{
	double reported = (d->arrivals + d->reported_sheds) / dt_s;
	double span_s = dt_s * d->floor / ADMIT_ALL;
	double expected = d->rate * span_s, keep;

	/* Demand has changed: reduce the weight of earlier counts. */
	if (fabs(d->below_floor - expected) >
	    CHANGE_SIGMAS * sqrt(expected + 1)) {
		d->floor_count *= CHANGE_KEEP;
		d->floor_span_s *= CHANGE_KEEP;
	}
	keep = d->floor_count < COUNT_RELIABLE ? DEMAND_DECAY_FEW
					       : DEMAND_DECAY;
	d->floor_count = d->floor_count * keep + d->below_floor;
	d->floor_span_s = d->floor_span_s * keep + span_s;
	d->reported_rate += (reported - d->reported_rate) * REPORTED_GAIN;
	if (d->floor_span_s >= FLOOR_SPAN_MIN_S)
		d->rate = d->floor_count / d->floor_span_s;
	else if (d->reported_rate > d->rate)
		d->rate = d->reported_rate;
	d->arrivals = 0;
	d->below_floor = 0;
	d->reported_sheds = 0;
}

/* Ends a step of dt_s seconds: updates estimates, frees idle accounts. */
void demand_step(struct gate *g, double dt_s, int64_t now)
{
	struct gate_account *a, *tmp;
	uint32_t queued;
	int cls;

	HASH_ITER(hh, g->accounts, a, tmp)
	{
		queued = 0;
		for (cls = 0; cls < SHED_CLASSES; cls++) {
			estimate(&a->demand[cls], dt_s);
			queued += a->flow[cls].n;
		}
		if (queued || now - a->last_used_us < ACCOUNT_IDLE_US)
			continue;
		HASH_DEL(g->accounts, a);
		free(a);
	}
}

/* Returns the estimated demand of all classes, calls a second. */
double demand_total(const struct gate *g)
{
	const struct gate_account *a;
	double sum = 0;
	int cls;

	for (a = g->accounts; a; a = a->hh.next)
		for (cls = 0; cls < SHED_CLASSES; cls++)
			sum += a->demand[cls].rate;
	return sum;
}

static uint16_t share_of(double part, double whole)
{
	if (part >= whole)
		return ADMIT_ALL;
	return (uint16_t)(part / whole * ADMIT_ALL);
}

static void set_admitted(struct gate_demand *d, uint16_t admitted)
{
	d->admitted = admitted;
	if (admitted <= d->floor)
		d->floor = admitted;
	else
		d->floor += (admitted - d->floor + FLOOR_RISE_DIVISOR - 1) /
			    FLOOR_RISE_DIVISOR;
}

/*
 * Returns the rate per unit of weight at which accounts of a class share
 * rate max-min fairly: each gets its demand or level x weight.
 */
static double fair_level(const struct gate *g, int cls, double rate)
{
	const struct gate_account *a;
	double level = 0, next, left, weight, want;

	for (;;) {
		left = rate;
		weight = 0;
		for (a = g->accounts; a; a = a->hh.next) {
			want = a->demand[cls].rate;
			if (want <= level * a->weight)
				left -= want;
			else
				weight += a->weight;
		}
		if (weight <= 0)
			return level;
		next = left / weight;
		if (next <= level * (1 + 1e-9))
			return level;
		level = next;
	}
}

static void admit_class(struct gate *g, int cls, uint16_t admitted)
{
	struct gate_account *a;

	g->admitted[cls] = admitted;
	for (a = g->accounts; a; a = a->hh.next)
		set_admitted(&a->demand[cls], admitted);
}

/* Returns the weight of accounts above level; subtracts the others' demand. */
static double weight_above(const struct gate *g, int cls, double level,
			   double *left)
{
	const struct gate_account *a;
	double weight = 0;

	for (a = g->accounts; a; a = a->hh.next)
		if (a->demand[cls].rate > level * a->weight)
			weight += a->weight;
		else
			*left -= a->demand[cls].rate;
	return weight;
}

/*
 * Divides left, the rate of a class less what its backlog needs; fair is the
 * rate without that deduction. Accounts within their share of fair are
 * admitted in full: round robin does not queue them behind the backlog, so
 * they need not make room for it. The others divide the rest by weight. As
 * demand is a rough estimate, accounts slightly above their share count as
 * within it while others are far above.
 */
static void allocate_class(struct gate *g, int cls, double fair, double left)
{
	double level = fair_level(g, cls, fair), rest = left, weight;
	struct gate_account *a;
	struct gate_demand *d;

	weight = weight_above(g, cls, level * FAIR_LEVEL_TOLERANCE, &rest);
	if (weight > 0 && rest > 0) {
		level *= FAIR_LEVEL_TOLERANCE;
	} else {
		rest = left;
		weight = weight_above(g, cls, level, &rest);
	}
	if (rest < 0)
		rest = 0;
	for (a = g->accounts; a; a = a->hh.next) {
		d = &a->demand[cls];
		if (d->rate <= 0)
			set_admitted(d, g->admitted[cls]);
		else if (d->rate <= level * a->weight)
			set_admitted(d, ADMIT_ALL);
		else
			set_admitted(d, share_of(rest * a->weight / weight,
						 d->rate));
	}
}

/*
 * Admits rate calls a second: by class, then max-min fairly by account. A
 * backlog above goal is drained in drain_s seconds, at the expense of its own
 * class and the less important ones, as it does not queue behind those.
 */
void demand_allocate(struct gate *g, double rate, double goal, double drain_s)
{
	const struct gate_account *a;
	double want, fair, left, taken = 0, backlog = 0;
	int cls;

	for (cls = SHED_LAST; cls >= SHED_FIRST; cls--) {
		want = 0;
		for (a = g->accounts; a; a = a->hh.next)
			want += a->demand[cls].rate;
		backlog += g->class_n[cls];
		fair = rate > taken ? rate - taken : 0;
		left = rate + (goal - backlog) / drain_s - taken;
		if (left < 0)
			left = 0;
		if (left > 0 && want <= left) {
			admit_class(g, cls, ADMIT_ALL);
			taken += want;
			continue;
		}
		g->admitted[cls] = want > 0 ? share_of(left, want) : 0;
		allocate_class(g, cls, fair, left);
		taken += left;
	}
}

void demand_admit_all(struct gate *g)
{
	int cls;

	for (cls = 0; cls < SHED_CLASSES; cls++)
		admit_class(g, cls, ADMIT_ALL);
}
