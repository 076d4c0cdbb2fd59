/*
 * Replays the traces of test/traces through the overload policies, once with
 * OVERLOAD_ENFORCE and once with OVERLOAD_OFF as the baseline, and prints one
 * line for each measure: median and range over the seeds. Then measures the
 * time of the policy decisions of a call.
 */
#include <argp.h>
#include <gsl/gsl_sort_double.h>
#include <gsl/gsl_statistics_double.h>
#include <limits.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../test/replay_model.h"

#define SEEDS_LIMIT 100
#define DECISIONS 1000000

struct options {
	const char *traces;
	uint32_t seeds;
	bool bins;
};

/* A figure computed from one run of a trace, with its target. */
struct measure {
	const char *name;
	const char *unit;
	double target;
	double (*value)(const struct replay_trace *t,
			const struct replay_result *r);
};

struct suite {
	const char *trace;
	const struct measure *measures;
	size_t n;
};

static double goodput(const struct replay_trace *t,
		      const struct replay_result *r)
{
	(void)t;
	return replay_goodput_ratio(r);
}

static double last_success(const struct replay_trace *t,
			   const struct replay_result *r)
{
	(void)t;
	return (double)r->class_good[SHED_LAST] /
	       (double)r->class_offered[SHED_LAST];
}

static double wasted(const struct replay_trace *t,
		     const struct replay_result *r)
{
	(void)t;
	return 100.0 * (double)r->wasted / (double)r->runs;
}

static double recovery(const struct replay_trace *t,
		       const struct replay_result *r)
{
	(void)t;
	return r->recovery_s;
}

static double refused(const struct replay_trace *t,
		      const struct replay_result *r)
{
	(void)t;
	return 100.0 * (double)(r->offered - r->good) / (double)r->offered;
}

static double retries(const struct replay_trace *t,
		      const struct replay_result *r)
{
	(void)t;
	return r->retries_max;
}

static double attempts(const struct replay_trace *t,
		       const struct replay_result *r)
{
	(void)t;
	return r->attempts_max;
}

static const struct measure overload_measures[] = {
	{"goodput_3x_ratio", "ratio", 0.95, goodput},
	{"last_shed_success_3x", "ratio", 0.99, last_success},
	{"wasted_work_3x", "percent", 5, wasted},
};
static const struct measure slow_measures[] = {
	{"recovery_s", "s", 2, recovery},
};
static const struct measure surge_measures[] = {
	{"worst_account_share", "ratio", 0.95, replay_worst_share},
};
static const struct measure within_measures[] = {
	{"refused_within_rate", "percent", 0.5, refused},
};
static const struct measure deep_measures[] = {
	{"retries_per_root_max", "retries", 3, retries},
	{"attempts_per_hop_max", "attempts", 4, attempts},
};

#define SUITE(trace, list)                                  \
	{                                                   \
		trace, list, sizeof(list) / sizeof(*(list)) \
	}

static const struct suite suites[] = {
	SUITE("aralsk-3x", overload_measures),
	SUITE("trinacria-3x", overload_measures),
	SUITE("aralsk-slow", slow_measures),
	SUITE("trinacria-slow", slow_measures),
	SUITE("aralsk-surge", surge_measures),
	SUITE("trinacria-surge", surge_measures),
	SUITE("aralsk-within", within_measures),
	SUITE("trinacria-within", within_measures),
	SUITE("aralsk-deep", deep_measures),
};

static void print_measure(const char *trace, const struct measure *m,
			  double *enforce, double *off, size_t n)
{
	gsl_sort(enforce, 1, n);
	gsl_sort(off, 1, n);
	printf("measure=replay_%s%s%.*s value=%.4g unit=%s target=%g "
	       "baseline=%.4g runs=%zu low=%.4g high=%.4g\n",
	       m->name, *trace ? "_" : "", (int)strcspn(trace, "-"), trace,
	       gsl_stats_median_from_sorted_data(enforce, 1, n), m->unit,
	       m->target, gsl_stats_median_from_sorted_data(off, 1, n), n,
	       enforce[0], enforce[n - 1]);
	fflush(stdout);
}

/* Prints goodput relative to capacity for each REPLAY_BIN_US, for plots. */
static void print_bins(const struct replay_trace *t, const char *trace,
		       const char *mode, const struct replay_result *r)
{
	int64_t i;

	for (i = 0; i < t->length_us / REPLAY_BIN_US; i++)
		printf("bin trace=%s mode=%s at_s=%.1f goodput=%.3f\n", trace,
		       mode, (double)(i * REPLAY_BIN_US) / USEC_PER_SEC,
		       r->bins[i] / r->capacity_s * USEC_PER_SEC /
			       REPLAY_BIN_US);
}

static int run_suite(const struct suite *s, const struct options *o)
{
	static struct replay_result enforce[SEEDS_LIMIT], off[SEEDS_LIMIT];
	double values[SEEDS_LIMIT], baseline[SEEDS_LIMIT];
	struct replay_trace t;
	struct error err;
	char path[PATH_MAX];
	size_t i, seed;

	snprintf(path, sizeof(path), "%s/%s.json", o->traces, s->trace);
	if (replay_load(&t, path, &err) < 0) {
		fprintf(stderr, "%s: %s: %s\n", err.step, err.peer, err.text);
		return -1;
	}
	for (seed = 0; seed < o->seeds; seed++)
		if (replay_run(&t, OVERLOAD_ENFORCE, t.seed + seed,
			       &enforce[seed]) < 0 ||
		    replay_run(&t, OVERLOAD_OFF, t.seed + seed, &off[seed]) < 0)
			return -1;
	for (i = 0; i < s->n; i++) {
		for (seed = 0; seed < o->seeds; seed++) {
			values[seed] = s->measures[i].value(&t, &enforce[seed]);
			baseline[seed] = s->measures[i].value(&t, &off[seed]);
		}
		print_measure(s->trace, &s->measures[i], values, baseline,
			      o->seeds);
	}
	if (o->bins) {
		print_bins(&t, s->trace, "enforce", &enforce[0]);
		print_bins(&t, s->trace, "off", &off[0]);
	}
	return 0;
}

/* Makes the policy decisions of one call at its entry and its gate. */
static uint64_t make_decisions(struct bucket *b, struct cutoffs *cutoffs,
			       const struct balance_candidate *c, size_t n,
			       struct gate *g, uint64_t id, int64_t now)
{
	struct gate_call call = {
		.id = id,
		.account = pair_hash(id % 8, 1),
		.weight = 1,
		.cls = (enum shed_class)(id % SHED_CLASSES),
		.admit_hash = (uint16_t)pair_hash(id, 2),
		.deadline_us = now + USEC_PER_SEC,
	};
	struct answer_head head = {.outcome = OUTCOME_DONE};
	struct admission a;
	enum reason why;
	int64_t waited;
	int i;

	bucket_take(b, 1, now);
	if (!cutoffs_admit(cutoffs, 1, call.account, call.cls, call.admit_hash,
			   now))
		return 0;
	i = balance_pick(c, n, id, now);
	load_sent(c[i].load, now);
	cutoffs_take_unreported(cutoffs, 1, call.account, call.shed_unreported);
	gate_offer(g, &call, &why, now);
	gate_done(g, gate_next(g, now, &waited), GATE_SERVED, now + 1);
	a = gate_admission(g, call.account);
	head.admission = a;
	load_answered(c[i].load, &head, 1000, now);
	cutoffs_merge(cutoffs, 1, call.account, &a, now);
	return id;
}

static int measure_decisions(const struct options *o)
{
	struct measure m = {"decision_ns", "ns", 2000, NULL};
	struct gate_options go = {.slots = 90,
				  .queue_target_us = 10 * USEC_PER_MSEC,
				  .queue_max = 1000};
	double values[SEEDS_LIMIT], no_baseline[SEEDS_LIMIT] = {0};
	struct upstream_load loads[4] = {{0}};
	struct balance_candidate c[4];
	struct cutoffs *cutoffs;
	struct gate *g;
	struct bucket b;
	int64_t start, now;
	uint64_t i;
	size_t run;

	for (i = 0; i < 4; i++)
		c[i] = (struct balance_candidate){.load = &loads[i],
						  .slots = 90,
						  .same_data_centre = i < 2};
	for (run = 0; run < o->seeds; run++) {
		g = gate_new(&go, 0);
		cutoffs = cutoffs_new(1000);
		if (!g || !cutoffs)
			return -1;
		bucket_init(&b, 1e6, 1e6, 1e6, 0);
		start = clock_monotonic_us();
		for (i = 1; i <= DECISIONS; i++) {
			now = (int64_t)i * 10;
			make_decisions(&b, cutoffs, c, 4, g, i, now);
			if (now % GATE_STEP_US == 0)
				gate_step(g, now);
		}
		values[run] = (double)(clock_monotonic_us() - start) * 1e3 /
			      DECISIONS;
		gate_free(g);
		cutoffs_free(cutoffs);
	}
	print_measure("", &m, values, no_baseline, o->seeds);
	return 0;
}

static error_t parse(int key, char *arg, struct argp_state *state)
{
	struct options *o = state->input;

	switch (key) {
	case 't':
		o->traces = arg;
		return 0;
	case 'b':
		o->bins = true;
		return 0;
	case 's':
		o->seeds = (uint32_t)strtoul(arg, NULL, 10);
		if (!o->seeds || o->seeds > SEEDS_LIMIT)
			argp_error(state, "seeds: 1 to %d", SEEDS_LIMIT);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int main(int argc, char **argv)
{
	static const struct argp_option list[] = {
		{"traces", 't', "DIR", 0, "directory of the traces", 0},
		{"seeds", 's', "N", 0, "runs of each trace, one seed each", 0},
		{"bins", 'b', NULL, 0, "also print goodput over time", 0},
		{0},
	};
	static const struct argp argp = {
		.options = list,
		.parser = parse,
		.doc = "Replays traces through the overload policies.",
	};
	struct options o = {.traces = "test/traces", .seeds = 3};
	size_t i;

	argp_parse(&argp, argc, argv, 0, NULL, &o);
	for (i = 0; i < sizeof(suites) / sizeof(*suites); i++)
		if (run_suite(&suites[i], &o) < 0)
			return 1;
	return measure_decisions(&o) < 0;
}
