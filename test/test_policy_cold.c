/* Limits while an upstream is cold, without a network. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "policy/policy.h"
#include "replay_model.h"

#define MS USEC_PER_MSEC
#define RATE 5.4
#define BOUND 16 /* 1.5 x RATE + 8 */
#define FAR_FUTURE_US (3600 * USEC_PER_SEC)
#define STARTS_MAX 4096

static struct gate *make_gate(int64_t now)
{
	struct gate_options o = {.slots = 50,
				 .queue_target_us = 10 * MS,
				 .queue_max = 1000,
				 .names_rate = true,
				 .cold_overshoot = 1.5,
				 .cold_slack = 8,
				 .mode = OVERLOAD_ENFORCE};
	struct gate *g = gate_new(&o, now);

	assert_non_null(g);
	gate_set_rate(g, -1, now);
	return g;
}

/* The starts of one upstream, over all of its gates. */
struct starts {
	int64_t at[STARTS_MAX];
	size_t n;
	uint32_t refused_cold;
	uint64_t id;
};

/* Offers a call each millisecond; calls take 20 ms. */
static void saturate(struct gate *g, struct starts *s, int64_t from, int64_t to)
{
	struct gate_call c = {.account = 1,
			      .weight = 1,
			      .cls = SHED_MIDDLE,
			      .deadline_us = FAR_FUTURE_US};
	uint64_t running[STARTS_MAX] = {0}, id;
	size_t first = s->n, ended = s->n;
	struct gate_drop d;
	enum reason why;
	int64_t now, waited;

	for (now = from; now < to; now += MS) {
		while (ended < s->n && s->at[ended] + 20 * MS <= now)
			gate_done(g, running[ended++], GATE_SERVED, now);
		c.id = ++s->id;
		c.admit_hash = (uint16_t)(s->id * 40503);
		gate_offer(g, &c, &why, now);
		s->refused_cold += why == REASON_COLD;
		while (gate_next_drop(g, now, &d))
			s->refused_cold += d.reason == REASON_COLD;
		while ((id = gate_next(g, now, &waited))) {
			running[s->n] = id;
			s->at[s->n++] = now;
		}
		if (now % GATE_STEP_US == 0)
			gate_step(g, now);
	}
	assert_true(s->n >= first);
}

/* Returns the most starts in a second that ends after from. */
static size_t most_in_a_second(const struct starts *s, int64_t from)
{
	size_t i, first = 0, most = 0;

	for (i = 0; i < s->n; i++) {
		while (s->at[i] - s->at[first] > USEC_PER_SEC)
			first++;
		if (s->at[i] >= from && i + 1 - first > most)
			most = i + 1 - first;
	}
	return most;
}

/* New upstreams got 17 to 20 requests in a second at 59 hosts. */
static void new_upstream_gets_its_cold_rate(void **state)
{
	struct gate *g = make_gate(0);
	struct starts s = {0};

	(void)state;
	gate_set_cold(g, RATE, 10 * USEC_PER_SEC, 0);
	saturate(g, &s, 0, 10 * USEC_PER_SEC);
	/* The first call waits for its turn: no burst at the start. */
	assert_true(s.at[0] >= 180 * MS);
	assert_true(most_in_a_second(&s, 0) <= 7);
	assert_true(s.n >= 50);
	assert_true(s.n <= 56);
	assert_true(s.refused_cold > 0);
	gate_free(g);
}

/*
 * An upstream that becomes cold under full load has had its requests of a
 * second already: it gets no more, and what was queued is not kept waiting.
 */
static void cold_return_counts_earlier_starts(void **state)
{
	struct gate *g = make_gate(0);
	struct starts s = {0};
	struct gate_report r;
	struct gate_drop d;
	size_t warm, dropped = 0;
	int64_t now = 2 * USEC_PER_SEC;

	(void)state;
	saturate(g, &s, 0, now);
	warm = s.n;
	assert_true(warm > 1500);
	gate_report(g, &r);
	gate_set_cold(g, RATE, now + 3 * USEC_PER_SEC, now);
	while (gate_next_drop(g, now, &d))
		dropped += d.reason == REASON_COLD;
	assert_true(dropped + 6 >= r.queued);
	saturate(g, &s, now, now + 3 * USEC_PER_SEC);
	assert_true(s.at[warm] - s.at[warm - 1] > 900 * MS);
	assert_true(most_in_a_second(&s, now + USEC_PER_SEC) <= BOUND);
	assert_true(s.n - warm >= 9);
	gate_free(g);
}

/* The node was killed: the next process does not know what the last one sent.*/
static void next_process_keeps_the_bound(void **state)
{
	struct gate *g = make_gate(0);
	struct starts s = {0};
	int64_t killed = 2317 * MS;

	(void)state;
	gate_set_cold(g, RATE, 10 * USEC_PER_SEC, 0);
	saturate(g, &s, 0, killed);
	gate_free(g);
	g = make_gate(killed);
	gate_set_cold(g, RATE, 10 * USEC_PER_SEC, killed);
	saturate(g, &s, killed, 5 * USEC_PER_SEC);
	assert_true(most_in_a_second(&s, 0) <= BOUND);
	gate_free(g);
}

/* A gate that stayed at the cold rate would waste a warm upstream. */
static void limit_expires_by_itself(void **state)
{
	struct gate *g = make_gate(0);
	struct starts s = {0};
	struct gate_report r;
	size_t cold;

	(void)state;
	gate_set_cold(g, RATE, 3 * USEC_PER_SEC, 0);
	assert_int_equal(gate_cold_left_us(g, USEC_PER_SEC), 2 * USEC_PER_SEC);
	gate_report(g, &r);
	assert_true(r.rate == RATE);
	saturate(g, &s, 0, 3 * USEC_PER_SEC);
	cold = s.n;
	saturate(g, &s, 3 * USEC_PER_SEC, 4 * USEC_PER_SEC);
	assert_int_equal(gate_cold_left_us(g, 3 * USEC_PER_SEC), 0);
	gate_report(g, &r);
	assert_true(r.rate == 0);
	assert_true(s.n - cold >= 900);
	gate_free(g);
}

/* Of a named and a cold limit, the lower holds. */
static void lower_limit_holds(void **state)
{
	struct gate *g = make_gate(0);
	struct starts s = {0};
	struct gate_report r;

	(void)state;
	gate_set_cold(g, RATE, 20 * USEC_PER_SEC, 0);
	gate_set_rate(g, 2, 0);
	gate_report(g, &r);
	assert_true(r.rate == 2);
	saturate(g, &s, 0, 5 * USEC_PER_SEC);
	assert_in_range(s.n, 8, 12);
	gate_set_rate(g, 100, 5 * USEC_PER_SEC);
	gate_report(g, &r);
	assert_true(r.rate == RATE);
	saturate(g, &s, 5 * USEC_PER_SEC, 10 * USEC_PER_SEC);
	assert_true(most_in_a_second(&s, 6 * USEC_PER_SEC) <= 7);
	gate_free(g);
}

/*
 * A service that gets ten times its cold rate: what little it takes goes to the
 * most important class, and the cutoffs tell the entries.
 */
static void cold_gate_serves_by_priority(void **state)
{
	struct gate *g = make_gate(0);
	struct gate_call c = {.weight = 1, .deadline_us = FAR_FUTURE_US};
	uint32_t started[SHED_CLASSES] = {0};
	enum shed_class cls[STARTS_MAX];
	struct gate_drop d;
	struct gate_report r;
	enum reason why;
	uint64_t id = 0, next;
	int64_t now, waited;

	(void)state;
	gate_set_cold(g, RATE, 20 * USEC_PER_SEC, 0);
	for (now = 0; now < 10 * USEC_PER_SEC; now += MS) {
		if (now % (20 * MS) == 0) {
			c.id = ++id;
			c.account = 1 + id % 3;
			c.cls = id % 13 ? SHED_FIRST : SHED_LAST;
			c.admit_hash = (uint16_t)(id * 40503);
			cls[id] = c.cls;
			gate_offer(g, &c, &why, now);
		}
		while (gate_next_drop(g, now, &d))
			continue;
		while ((next = gate_next(g, now, &waited))) {
			started[cls[next]]++;
			gate_done(g, next, GATE_SERVED, now);
		}
		if (now % GATE_STEP_US == 0)
			gate_step(g, now);
	}
	gate_report(g, &r);
	/* 500 calls, 38 of them important; 54 starts. */
	assert_true(started[SHED_LAST] >= 36);
	assert_true(started[SHED_FIRST] >= 8);
	assert_true(r.admitted[SHED_LAST] > ADMIT_ALL * 9 / 10);
	assert_true(r.admitted[SHED_FIRST] < ADMIT_ALL / 4);
	gate_free(g);
}

#define ENTRIES 59
#define UPSTREAMS 10

/*
 * One of ten upstreams returns cold while 59 entries send it a tenth of their
 * calls: it gets its cold rate in all, not from each of them, and no retries.
 */
static void entries_share_the_cold_rate(void **state)
{
	static struct upstream_load loads[UPSTREAMS];
	static struct cold_share shares[ENTRIES];
	struct balance_candidate c[UPSTREAMS];
	uint64_t handles[UPSTREAMS], seed = 0;
	uint32_t picks = 0, retries = 0;
	size_t n, i, e;
	int64_t now;
	int picked;

	(void)state;
	for (e = 0; e < ENTRIES; e++)
		cold_share_init(&shares[e], pair_hash(e, 7), 0);
	for (now = 0; now < 12 * USEC_PER_SEC; now += 10 * MS) {
		for (e = 0; e < ENTRIES; e++) {
			for (i = 0; i < UPSTREAMS; i++) {
				loads[i].first_sent_us = 1 - 10 * USEC_PER_SEC;
				loads[i].latency_us = 5000;
				loads[i].last_update_us = now;
				handles[i] = i;
				c[i] = (struct balance_candidate){
					.load = &loads[i],
					.slots = 50,
					.same_data_centre = true};
			}
			c[3].cold_rate = RATE;
			/* Every other call is a retry. */
			c[3].cold_due =
				!(++seed % 2) &&
				cold_share_due(&shares[e], RATE / ENTRIES, now);
			n = cold_select(c, handles, UPSTREAMS, now);
			picked = balance_pick(c, n, pair_hash(seed, 3), now);
			if (handles[picked] != 3)
				continue;
			cold_share_take(&shares[e]);
			picks++;
			retries += seed % 2;
		}
	}
	assert_int_equal(retries, 0);
	assert_in_range(picks, RATE * 12 / 2, RATE * 12 + ENTRIES / 2.0);
}

/* If all warm upstreams are full, or none is left, cold ones may be used. */
static void cold_upstreams_serve_without_warm_ones(void **state)
{
	struct upstream_load loads[2] = {
		{.queue_us = 500000, .latency_us = 5000, .last_update_us = 1}};
	struct balance_candidate c[2] = {
		{.load = &loads[0], .slots = 4},
		{.load = &loads[1], .slots = 4, .cold_rate = RATE}};
	uint64_t handles[2] = {1, 2};

	(void)state;
	assert_int_equal(cold_select(c, handles, 2, 1), 2);
	loads[0].queue_us = 0;
	assert_int_equal(cold_select(c, handles, 2, 1), 1);
	assert_int_equal(handles[0], 1);
	c[0].tried = true;
	c[1] = (struct balance_candidate){
		.load = &loads[1], .slots = 4, .cold_rate = RATE};
	assert_int_equal(cold_select(c, handles, 2, 1), 2);
}

/* Callers that were refused together returned together when it was over. */
static void refused_callers_return_spread_out(void **state)
{
	uint32_t ms, early = 0, late = 0;
	uint64_t i;

	(void)state;
	for (i = 0; i < 1000; i++) {
		ms = cold_retry_after_ms(2 * USEC_PER_SEC, 3 * USEC_PER_SEC,
					 pair_hash(i, 1));
		assert_in_range(ms, 2000, 5000);
		early += ms < 3000;
		late += ms > 4000;
	}
	assert_in_range(early, 250, 400);
	assert_in_range(late, 250, 400);
}

#define SERVED_SHARE 0.9

/*
 * Returns the seconds until a second begins in which 90 % of the roots are
 * answered; -1: never.
 */
static double served_again_s(const struct replay_trace *t,
			     const struct replay_result *r, double demand_s)
{
	size_t bins = (size_t)(USEC_PER_SEC / REPLAY_BIN_US), at, i;
	double sum;

	for (at = 0; at + bins < (size_t)(t->length_us / REPLAY_BIN_US); at++) {
		for (i = 0, sum = 0; i < bins; i++)
			sum += r->bins[at + i];
		if (sum >= SERVED_SHARE * demand_s)
			return (double)at / (double)bins;
	}
	return -1;
}

/*
 * Four services of twelve upstreams, of which the slowest take three times as
 * long; in normal operation the load is 70 % of what they can serve.
 */
static const struct replay_trace power_loss = {
	.hops = {{"front", 12, 16, 15000},
		 {"orders", 12, 16, 15000},
		 {"stock", 12, 16, 15000},
		 {"ledger", 12, 16, 15000}},
	.hop_count = 4,
	.accounts = {{1, 1, 1}, {1, 1, 1}, {1, 1, 1}},
	.account_count = 3,
	.phases = {{0, 0.1}},
	.phase_count = 1,
	.classes = {0.5, 0.46, 0.04},
	.data_centres = 4,
	.entries = 40,
	.client_delay_us = 3 * MS,
	.local_delay_us = 100,
	.remote_delay_us = 1400,
	.deadline_us = 2 * USEC_PER_SEC,
	.length_us = 12 * USEC_PER_SEC,
	.allowance = 3,
	.cold_us = 3 * USEC_PER_SEC,
	.cold_per_s = RATE,
	.restart_us = USEC_PER_SEC,
	.speed_spread = 3,
	.seed = 1,
};

/*
 * A loss of power of all hosts: every upstream starts cold and crashes at twice
 * its cold rate. The full load knocked them over again and again, and less than
 * 5 % was served. The upstreams start together, or one after the other.
 */
static void power_loss_is_recovered_from(void **state)
{
	static const int64_t staggers[] = {0, 150 * MS};
	struct replay_trace t = power_loss;
	struct replay_result r;
	double demand_s, cold_s, bound_s, again_s;
	size_t i;

	(void)state;
	demand_s = t.phases[0].demand * replay_capacity(&t);
	cold_s = t.hops[0].upstreams * RATE;
	/* Until they are warm, the upstreams of a service take cold_s. */
	assert_true(cold_s < SERVED_SHARE * demand_s);
	for (i = 0; i < 2; i++) {
		t.cold_stagger_us = staggers[i];
		t.cold_unlimited = false;
		bound_s = (double)(t.cold_us +
				   (t.hops[0].upstreams - 1) * staggers[i]) /
			  USEC_PER_SEC;
		assert_int_equal(replay_run(&t, OVERLOAD_ENFORCE, 1, &r), 0);
		again_s = served_again_s(&t, &r, demand_s);
		print_message("%.0f/s, cold %.0f/s, all warm after %.2f s: "
			      "90 %% served again after %.1f s\n",
			      demand_s, cold_s, bound_s, again_s);
		assert_true(again_s >= 0 && again_s <= bound_s + 0.5);
		assert_int_equal(r.crashes, 0);
		assert_true(r.cold_most <= 7);
		/* Shed at the root, the important class last. */
		assert_true((double)r.wasted <= 0.01 * (double)r.runs);
		assert_true((double)r.class_good[SHED_LAST] >=
			    0.85 * (double)r.class_offered[SHED_LAST]);
		t.cold_unlimited = true;
		assert_int_equal(replay_run(&t, OVERLOAD_ENFORCE, 1, &r), 0);
		assert_true(served_again_s(&t, &r, demand_s) < 0);
		assert_true(r.good < r.offered / 20);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(new_upstream_gets_its_cold_rate),
		cmocka_unit_test(cold_return_counts_earlier_starts),
		cmocka_unit_test(next_process_keeps_the_bound),
		cmocka_unit_test(limit_expires_by_itself),
		cmocka_unit_test(lower_limit_holds),
		cmocka_unit_test(cold_gate_serves_by_priority),
		cmocka_unit_test(entries_share_the_cold_rate),
		cmocka_unit_test(cold_upstreams_serve_without_warm_ones),
		cmocka_unit_test(refused_callers_return_spread_out),
		cmocka_unit_test(power_loss_is_recovered_from),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
