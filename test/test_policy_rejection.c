/*
 * The pattern: every upstream of the deepest service rejects a share of what
 * arrives, whatever its load, while chains make several calls there one after
 * the other. Most chains can't end, and the few retries decide which do.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <cmocka.h>

#include <gsl/gsl_rng.h>
#include <math.h>

#include "policy/policy.h"

#define CALLS_MAX 8
#define SENDS_MAX 2		     /* of one call, the first included */
#define BOUND_SHARE 0.9		     /* of the best policy's worth */
#define STEP_US (30 * USEC_PER_MSEC) /* between the calls of a chain */
#define CHAINS_MAX 4096

/* Roots of one kind: each makes calls to the service, one after the other. */
struct kind {
	enum shed_class cls;
	double rate; /* a second */
	double worth;
	int calls;
};

struct pattern {
	const char *name;
	double rejected; /* share of the arrivals */
	double ratio;	 /* retries for each first arrival */
	struct kind kinds[3];
};

static const struct pattern patterns[] = {
	{"lookups, signatures and views, 45 in 100 rejected",
	 0.45,
	 0.12,
	 {{SHED_FIRST, 58, 1, 4},
	  {SHED_LAST, 17, 3, 4},
	  {SHED_MIDDLE, 13, 2, 1}}},
	{"the same, 55 in 100",
	 0.55,
	 0.12,
	 {{SHED_FIRST, 58, 1, 4},
	  {SHED_LAST, 17, 3, 4},
	  {SHED_MIDDLE, 13, 2, 1}}},
	{"eight calls a chain, 30 in 100",
	 0.3,
	 0.12,
	 {{SHED_FIRST, 20, 1, 8},
	  {SHED_MIDDLE, 8, 3, 4},
	  {SHED_LAST, 6, 2, 1}}},
	{"few rejected",
	 0.05,
	 0.12,
	 {{SHED_FIRST, 58, 1, 4},
	  {SHED_LAST, 17, 3, 4},
	  {SHED_MIDDLE, 13, 2, 1}}},
};

/* What a policy earns and spends a second. */
struct yield {
	double worth;
	double first; /* arrivals */
	double retries;
};

/*
 * Adds the yield of the best policy for one kind where each retry has a price:
 * at each call of the chain, from the last one backwards, it retries if that
 * is worth more than it costs.
 */
static void add_best(struct yield *y, const struct kind *k, double rejected,
		     double price)
{
	bool retry[CALLS_MAX + 1];
	double after = k->worth, once, twice, reached = k->rate;
	int i;

	for (i = k->calls; i >= 1; i--) {
		once = (1 - rejected) * after;
		twice = (1 - rejected * rejected) * after - rejected * price;
		retry[i] = twice > once;
		after = retry[i] ? twice : once;
	}
	for (i = 1; i <= k->calls; i++) {
		y->first += reached;
		if (retry[i])
			y->retries += reached * rejected;
		reached *= 1 - (retry[i] ? rejected * rejected : rejected);
	}
	y->worth += reached * k->worth;
}

static struct yield best_at(const struct pattern *p, double price)
{
	struct yield y = {0};
	size_t i;

	for (i = 0; i < 3; i++)
		add_best(&y, &p->kinds[i], p->rejected, price);
	return y;
}

/* The most that any policy can earn within the ratio, by its shadow price. */
static double bound(const struct pattern *p)
{
	double low = 0, high = 10, price;
	struct yield y, cheap, dear;
	double budget, share;
	int i;

	for (i = 0; i < 60; i++) {
		price = (low + high) / 2;
		y = best_at(p, price);
		if (y.retries > p->ratio * y.first)
			low = price;
		else
			high = price;
	}
	cheap = best_at(p, low);
	dear = best_at(p, high);
	/* Some of the roots get what the lower price buys, the rest don't. */
	budget = p->ratio * dear.first - dear.retries;
	share = cheap.retries - dear.retries -
		p->ratio * (cheap.first - dear.first);
	share = share > 0 ? budget / share : 0;
	return dear.worth +
	       (share > 1 ? 1 : share) * (cheap.worth - dear.worth);
}

struct chain {
	const struct kind *kind; /* NULL: free */
	int64_t due_us;		 /* the next call */
	int made;		 /* calls that were served */
};

struct run {
	const struct pattern *p;
	gsl_rng *rng;
	struct retry_market market;
	double rejected_share;
	struct chain chains[CHAINS_MAX];
	struct yield total;
	double served[3], offered[3]; /* by kind */
};

static bool is_rejected(struct run *r)
{
	bool rejected = gsl_rng_uniform(r->rng) < r->p->rejected;

	r->rejected_share += (rejected - r->rejected_share) * 0.005;
	return rejected;
}

static bool wins_retry(struct run *r, const struct chain *c)
{
	int after = c->kind->calls - c->made - 1;

	return retry_market_take(&r->market, c->kind->cls, r->rejected_share,
				 (uint32_t)after);
}

/* Makes the next call of a chain. */
static void make_call(struct run *r, struct chain *c)
{
	int sends = 1;

	r->total.first++;
	retry_market_call(&r->market, c->due_us);
	while (is_rejected(r)) {
		if (sends == SENDS_MAX || !wins_retry(r, c)) {
			c->kind = NULL;
			return;
		}
		sends++;
		r->total.retries++;
	}
	c->due_us += STEP_US;
	if (++c->made < c->kind->calls)
		return;
	r->total.worth += c->kind->worth;
	r->served[c->kind - r->p->kinds]++;
	c->kind = NULL;
}

static void start_chain(struct run *r, const struct kind *k, int64_t now)
{
	size_t i;

	for (i = 0; i < CHAINS_MAX; i++)
		if (!r->chains[i].kind)
			break;
	assert_true(i < CHAINS_MAX);
	r->chains[i] = (struct chain){.kind = k, .due_us = now};
	r->offered[k - r->p->kinds]++;
}

/* Runs the market for some seconds; the total is that of the last ones. */
static void simulate(struct run *r, int seconds, int counted_from)
{
	int64_t now;
	size_t i;

	for (now = 0; now < seconds * USEC_PER_SEC; now += USEC_PER_MSEC) {
		if (now == counted_from * USEC_PER_SEC) {
			r->total = (struct yield){0};
			for (i = 0; i < 3; i++)
				r->served[i] = r->offered[i] = 0;
		}
		for (i = 0; i < 3; i++)
			if (gsl_rng_uniform(r->rng) <
			    r->p->kinds[i].rate / 1000)
				start_chain(r, &r->p->kinds[i], now);
		for (i = 0; i < CHAINS_MAX; i++)
			if (r->chains[i].kind && r->chains[i].due_us <= now)
				make_call(r, &r->chains[i]);
	}
}

static void open_run(struct run *r, const struct pattern *p)
{
	r->p = p;
	r->rng = gsl_rng_alloc(gsl_rng_taus2);
	gsl_rng_set(r->rng, 1);
	retry_market_init(&r->market);
	r->market.per_call = p->ratio;
}

static void check_pattern(const struct pattern *p)
{
	static struct run cleared;
	struct run *r = malloc(sizeof(*r));
	double best = bound(p), got;

	*r = cleared;
	open_run(r, p);
	simulate(r, 64, 4);
	got = r->total.worth / 60;
	print_message("%s: %.1f of %.1f worth/s, retries %.3f of %.3f\n",
		      p->name, got, best, r->total.retries / r->total.first,
		      p->ratio);
	assert_true(r->total.retries <= p->ratio * r->total.first + 1);
	assert_true(got >= BOUND_SHARE * best);
	gsl_rng_free(r->rng);
	free(r);
}

/* Few retries went to whichever call was rejected first, mostly in vain. */
static void retries_earn_nearly_what_they_can(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(patterns) / sizeof(*patterns); i++)
		check_pattern(&patterns[i]);
}

/* When the rejections end, the next retry is cheap again within a second. */
static void price_falls_when_rejections_end(void **state)
{
	struct retry_market m;
	int i;

	(void)state;
	retry_market_init(&m);
	m.per_call = 0.12;
	for (i = 0; i < 1000; i++) {
		retry_market_call(&m, i * 4 * USEC_PER_MSEC);
		while (retry_market_take(&m, SHED_LAST, 0.5, 0))
			;
	}
	assert_false(retry_market_take(&m, SHED_FIRST, 0.5, 3));
	for (; i < 1250; i++)
		retry_market_call(&m, i * 4 * USEC_PER_MSEC);
	assert_true(retry_market_take(&m, SHED_FIRST, 0.02, 0));
}

/* Hosts that seldom call a service must not save up retries of it. */
static void little_is_saved(void **state)
{
	struct retry_market m;
	int i, taken = 0;

	(void)state;
	retry_market_init(&m);
	m.per_call = 0.12;
	for (i = 0; i < 1000; i++)
		retry_market_call(&m, i * USEC_PER_SEC);
	while (retry_market_take(&m, SHED_LAST, 0.1, 0))
		taken++;
	assert_int_equal(taken, 1);
}

#define SLOTS 50
#define CALL_MS 20

/*
 * Runs a gate whose upstream rejects a share of the calls, for 5 s at this
 * demand.
 */
static void run_rejecting(struct gate *g, double demand_s, double rejected)
{
	gsl_rng *rng = gsl_rng_alloc(gsl_rng_taus2);
	uint64_t id = 0, running[CALL_MS][SLOTS + 1] = {{0}};
	int64_t now, waited;
	struct gate_drop d;
	double due = 0;
	enum reason why;
	uint64_t *slot, started;

	for (now = 0; now < 5 * USEC_PER_SEC; now += USEC_PER_MSEC) {
		slot = running[now / USEC_PER_MSEC % CALL_MS];
		for (; *slot; slot++) {
			gate_done(g, *slot, GATE_SERVED, now);
			*slot = 0;
		}
		due += demand_s / 1000;
		while (due >= 1) {
			struct gate_call c = {
				.id = ++id,
				.account = 1 + id % 3,
				.weight = 1,
				.cls = (enum shed_class)(id % SHED_CLASSES),
				.deadline_us = now + USEC_PER_SEC};

			c.admit_hash = (uint16_t)pair_hash(id, 7);
			gate_offer(g, &c, &why, now);
			due--;
		}
		slot = running[now / USEC_PER_MSEC % CALL_MS];
		while ((started = gate_next(g, now, &waited)))
			if (gsl_rng_uniform(rng) < rejected)
				gate_done(g, started, GATE_REJECTED, now);
			else
				*slot++ = started;
		while (gate_next_drop(g, now, &d))
			;
		if (now % GATE_STEP_US == 0)
			gate_step(g, now);
	}
	gsl_rng_free(rng);
}

static struct gate_report report_after(double demand_s, double rejected)
{
	struct gate_options o = {.slots = SLOTS,
				 .queue_target_us = 10 * USEC_PER_MSEC,
				 .queue_max = 1000,
				 .mode = OVERLOAD_ENFORCE};
	struct gate *g = gate_new(&o, 0);
	struct gate_report r;

	run_rejecting(g, demand_s, rejected);
	gate_report(g, &r);
	gate_free(g);
	return r;
}

/*
 * The gate took rejections for failures of an overloaded upstream, lowered its
 * limit and shed calls while most slots were free.
 */
static void rejections_with_free_slots_shed_nothing(void **state)
{
	struct gate_report r = report_after(1000, 0.6);
	int cls;

	(void)state;
	assert_int_equal(r.limit, SLOTS);
	for (cls = 0; cls < SHED_CLASSES; cls++)
		assert_int_equal(r.admitted[cls], ADMIT_ALL);
}

/* A full upstream that also rejects is overloaded, and is shed for. */
static void rejections_without_free_slots_shed(void **state)
{
	struct gate_report r = report_after(12000, 0.5);

	(void)state;
	assert_true(r.admitted[SHED_FIRST] < ADMIT_ALL);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(retries_earn_nearly_what_they_can),
		cmocka_unit_test(price_falls_when_rejections_end),
		cmocka_unit_test(little_is_saved),
		cmocka_unit_test(rejections_with_free_slots_shed_nothing),
		cmocka_unit_test(rejections_without_free_slots_shed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
