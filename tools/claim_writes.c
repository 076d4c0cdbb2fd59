/*
 * Measures store writes per claim and the time to win a claim as a function
 * of the claim rate of one node, in simulated time on an in-memory store.
 */
#include "control/control.h"

#include <gsl/gsl_randist.h>
#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SEED 1
#define TICK_US (5 * USEC_PER_MSEC)
#define RUN_US (10 * USEC_PER_SEC)
#define STORE_LATENCY_US (5 * USEC_PER_MSEC)
#define SERVICE_MEAN_US 100000.0
#define ANSWER_BYTES 500
#define DEADLINE_US (5 * USEC_PER_SEC)
#define CLAIMS_MAX 200000
#define P99 0.99

struct request {
	int64_t started_us;
	int64_t finish_us;
	uint64_t claim;
	bool fresh; /* the claim was won, so the request is executed */
	bool finished;
};

static struct {
	gsl_rng *rng;
	struct claims *claims;
	struct request *requests;
	double *waits;
	size_t started;
	size_t won;
	size_t first_unfinished;
} run;

static void on_claim_state(void *ctx, uint64_t tag, enum claim_state state,
			   uint64_t claim, const struct message *answer,
			   int64_t now)
{
	struct request *r = &run.requests[tag];

	(void)ctx;
	(void)answer;
	if (state != CLAIM_FRESH)
		return;
	r->fresh = true;
	r->claim = claim;
	r->finish_us =
		now + (int64_t)gsl_ran_exponential(run.rng, SERVICE_MEAN_US);
	run.waits[run.won++] = (double)(now - r->started_us) / USEC_PER_MSEC;
}

static void begin_claim(int64_t now)
{
	struct claim_done done = {.tag = run.started, .fn = on_claim_state};
	char key[32];

	snprintf(key, sizeof(key), "%zu", run.started);
	run.requests[run.started++].started_us = now;
	claims_begin(run.claims, "account", "route", key, 1, "request",
		     now + DEADLINE_US, &done, now);
}

static void finish_due_requests(int64_t now)
{
	static uint8_t body[ANSWER_BYTES];
	struct message m = {.status = 201,
			    .body = {.data = body, .len = sizeof(body)}};
	size_t i;

	for (i = run.first_unfinished; i < run.started; i++) {
		struct request *r = &run.requests[i];

		if (r->fresh && !r->finished && r->finish_us <= now) {
			claims_finish(run.claims, r->claim, &m, now);
			r->finished = true;
		}
		if (r->finished && i == run.first_unfinished)
			run.first_unfinished++;
	}
}

static void simulate(struct store *s, unsigned rate)
{
	double next = 0;
	int64_t now;

	for (now = 0; now < RUN_US || !claims_idle(run.claims);
	     now += TICK_US) {
		while (next <= (double)now && now < RUN_US &&
		       run.started < CLAIMS_MAX) {
			begin_claim((int64_t)next);
			next += gsl_ran_exponential(
				run.rng, (double)USEC_PER_SEC / rate);
		}
		finish_due_requests(now);
		store_tick(s, now);
		claims_tick(run.claims, now);
	}
}

/* Claim rate of a node and its limit on store calls (0: unlimited). */
struct load {
	unsigned claims_s;
	uint32_t calls_s;
};

static void print(const struct load *l, const char *name, double value,
		  const char *unit)
{
	printf("measure=%s_at_%u_s", name, l->claims_s);
	if (l->calls_s)
		printf("_capped_%u_s", l->calls_s);
	printf(" value=%.3f unit=%s target=- baseline=- runs=1\n", value, unit);
}

static int measure(const struct load *l)
{
	struct store_faults faults = {.latency_us = STORE_LATENCY_US};
	struct store_options so = {.kind = STORE_MEMORY, .calls_s = l->calls_s};
	struct claims_options co = {.incarnation = 1};
	uint64_t writes = counter_get(COUNTER_STORE_WRITES);
	struct error err;

	co.store = store_open(&so, &err);
	addr_parse(&co.self, "127.0.0.1:1");
	if (!co.store)
		return -1;
	store_set_faults(co.store, &faults);
	run.claims = claims_new(&co, 0);
	run.started = run.won = run.first_unfinished = 0;
	gsl_rng_set(run.rng, SEED);
	simulate(co.store, l->claims_s);
	store_close(co.store);
	claims_free(run.claims);
	gsl_sort(run.waits, 1, run.won);
	print(l, "store_writes_per_claim",
	      (double)(counter_get(COUNTER_STORE_WRITES) - writes) /
		      (double)run.won,
	      "writes");
	print(l, "claims_won", (double)run.won / (double)run.started, "share");
	print(l, "claim_wait_p99",
	      gsl_stats_quantile_from_sorted_data(run.waits, 1, run.won, P99),
	      "ms");
	return 0;
}

int main(void)
{
	static const struct load loads[] = {
		{1, 0},	   {10, 0},   {50, 0},	  {100, 0},
		{500, 0},  {1000, 0}, {5000, 0},  {100, 20},
		{100, 40}, {500, 40}, {1000, 40}, {2000, 40},
	};
	size_t i;

	run.rng = gsl_rng_alloc(gsl_rng_taus2);
	run.requests = calloc(CLAIMS_MAX, sizeof(*run.requests));
	run.waits = calloc(CLAIMS_MAX, sizeof(*run.waits));
	if (!run.rng || !run.requests || !run.waits)
		return EXIT_FAILURE;
	for (i = 0; i < sizeof(loads) / sizeof(*loads); i++) {
		memset(run.requests, 0, CLAIMS_MAX * sizeof(*run.requests));
		if (measure(&loads[i]) < 0)
			return EXIT_FAILURE;
	}
	return EXIT_SUCCESS;
}
