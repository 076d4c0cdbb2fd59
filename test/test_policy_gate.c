#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "policy/policy.h"

#define MS USEC_PER_MSEC
#define FAR_FUTURE_US (3600 * USEC_PER_SEC)

static struct gate *make_gate(uint32_t slots, enum overload_mode mode)
{
	struct gate_options o = {.slots = slots,
				 .queue_target_us = 10 * MS,
				 .queue_max = 100,
				 .mode = mode};
	struct gate *g = gate_new(&o, 0);

	assert_non_null(g);
	return g;
}

static struct gate_call make_call(uint64_t id, uint64_t account,
				  enum shed_class cls)
{
	return (struct gate_call){.id = id,
				  .account = account,
				  .weight = 1,
				  .cls = cls,
				  .deadline_us = FAR_FUTURE_US};
}

static enum reason offer(struct gate *g, const struct gate_call *c, int64_t now)
{
	enum reason why;
	enum gate_verdict v = gate_offer(g, c, &why, now);

	assert_int_equal(v == GATE_REFUSED, why != REASON_NONE);
	return why;
}

static uint64_t next(struct gate *g, int64_t now)
{
	int64_t waited;

	return gate_next(g, now, &waited);
}

static void offer_many(struct gate *g, uint64_t first, uint64_t n,
		       uint64_t account, enum shed_class cls)
{
	struct gate_call c;
	uint64_t id;

	for (id = first; id < first + n; id++) {
		c = make_call(id, account, cls);
		assert_int_equal(offer(g, &c, 0), REASON_NONE);
	}
}

static uint32_t start_all(struct gate *g, int64_t now)
{
	uint32_t n = 0;

	while (next(g, now))
		n++;
	return n;
}

static void slots_are_never_exceeded(void **state)
{
	static const enum overload_mode modes[] = {
		OVERLOAD_ENFORCE, OVERLOAD_OBSERVE, OVERLOAD_OFF};
	struct gate *g;
	size_t i;

	(void)state;
	for (i = 0; i < 3; i++) {
		g = make_gate(5, modes[i]);
		offer_many(g, 1, 20, 1, SHED_LAST);
		assert_int_equal(start_all(g, 0), 5);
		gate_set_slots(g, 3, 1);
		gate_done(g, 1, GATE_SERVED, 1);
		assert_int_equal(start_all(g, 1), 0);
		gate_set_slots(g, 0, 1);
		gate_step(g, GATE_STEP_US);
		assert_int_equal(start_all(g, GATE_STEP_US), 0);
		gate_set_slots(g, 6, GATE_STEP_US);
		assert_int_equal(start_all(g, GATE_STEP_US), 2);
		gate_free(g);
	}
}

static void cold_upstream_ramps_up(void **state)
{
	struct gate_options o = {.slots = 100,
				 .queue_target_us = 10 * MS,
				 .queue_max = 1000,
				 .cold_start_us = 1000 * MS};
	struct gate *g = gate_new(&o, 0);
	struct gate_report r;
	uint32_t before = 0;
	int64_t now;

	(void)state;
	gate_report(g, &r);
	assert_int_equal(r.limit, 10);
	for (now = GATE_STEP_US; now <= 1000 * MS; now += GATE_STEP_US) {
		gate_step(g, now);
		gate_report(g, &r);
		assert_true(r.limit > before);
		before = r.limit;
	}
	assert_int_equal(r.limit, 100);
	gate_free(g);
}

#define SATURATION_SLOTS 57
#define SATURATION_RUNNING 54
#define SATURATION_TICKS 4000

/*
 * Overloads an upstream whose calls take 1.3 times as long while more than 54
 * of its 57 slots (95 %) are in use; returns the calls ended in four seconds.
 */
static uint32_t ended_near_saturation(double headroom)
{
	struct gate_options o = {.slots = SATURATION_SLOTS,
				 .queue_target_us = 10 * MS,
				 .queue_max = 1000,
				 .headroom = headroom};
	struct gate *g = gate_new(&o, 0);
	double left[SATURATION_SLOTS] = {0};
	uint64_t running[SATURATION_SLOTS] = {0}, id = 0;
	struct gate_drop d;
	struct gate_call c;
	uint32_t ended = 0, busy, tick, i;
	enum reason why;
	int64_t now;

	for (tick = 1; tick <= SATURATION_TICKS; tick++) {
		now = tick * MS;
		for (i = 0; i < 4; i++) {
			c = make_call(++id, 1, SHED_FIRST);
			gate_offer(g, &c, &why, now);
		}
		for (i = 0, busy = 0; i < SATURATION_SLOTS; i++)
			busy += running[i] != 0;
		for (i = 0; i < SATURATION_SLOTS; i++) {
			if (!running[i])
				continue;
			left[i] -= busy > SATURATION_RUNNING ? 1 / 1.3 : 1;
			if (left[i] > 0)
				continue;
			gate_done(g, running[i], GATE_SERVED, now);
			running[i] = 0;
			ended++;
		}
		for (i = 0; i < SATURATION_SLOTS; i++)
			if (!running[i] && (running[i] = next(g, now)))
				left[i] = 20 + (double)(running[i] % 5);
		while (gate_next_drop(g, now, &d))
			;
		if (tick % 100 == 0)
			gate_step(g, now);
	}
	gate_free(g);
	return ended;
}

/* The upstream slows down when nearly all slots are in use. */
static void headroom_raises_throughput_near_saturation(void **state)
{
	uint32_t full = ended_near_saturation(0);
	uint32_t kept = ended_near_saturation(1.0 / 16);

	(void)state;
	assert_true(kept > full * 1.15);
}

static void off_is_first_in_first_out(void **state)
{
	struct gate *g = make_gate(1, OVERLOAD_OFF);
	struct gate_call c;
	struct gate_drop d;
	uint64_t id;

	(void)state;
	for (id = 1; id <= 150; id++) {
		c = make_call(id, id % 7, (enum shed_class)(id % 3));
		c.deadline_us = (int64_t)id;
		assert_int_equal(offer(g, &c, 0), REASON_NONE);
	}
	assert_false(gate_next_drop(g, FAR_FUTURE_US, &d));
	for (id = 1; id <= 150; id++) {
		assert_int_equal(next(g, FAR_FUTURE_US), id);
		gate_done(g, id, GATE_SERVED, FAR_FUTURE_US);
	}
	gate_free(g);
}

static void important_classes_run_first(void **state)
{
	struct gate *g = make_gate(30, OVERLOAD_ENFORCE);
	uint64_t i;

	(void)state;
	offer_many(g, 1, 5, 1, SHED_FIRST);
	offer_many(g, 11, 5, 1, SHED_MIDDLE);
	offer_many(g, 21, 5, 1, SHED_LAST);
	for (i = 0; i < 15; i++)
		assert_int_equal(next(g, 0) / 10, 2 - i / 5);
	gate_free(g);
}

static void accounts_share_by_weight(void **state)
{
	struct gate *g = make_gate(40, OVERLOAD_ENFORCE);
	uint32_t n[3] = {0};
	struct gate_call c;
	uint64_t id;

	(void)state;
	for (id = 1; id <= 90; id++) {
		c = make_call(id, id <= 40 ? 1 : 2, SHED_MIDDLE);
		c.weight = id <= 40 ? 3 : 1;
		assert_int_equal(offer(g, &c, 0), REASON_NONE);
	}
	while ((id = next(g, 0)))
		n[id <= 40 ? 1 : 2]++;
	assert_int_equal(n[1], 30);
	assert_int_equal(n[2], 10);
	gate_free(g);
}

/* Keeps every slot busy with calls of 10 ms, and runs the gate's steps. */
/*
 * Load: sub-calls share a full upstream with roots that have more time.
 * Guards against chains that miss their deadlines in queues, each of which
 * wastes the runs above it.
 */
static void sub_calls_go_first_by_deadline(void **state)
{
	struct gate *g = make_gate(1, OVERLOAD_ENFORCE);
	struct gate_call c = make_call(1, 1, SHED_FIRST);

	(void)state;
	offer(g, &c, 0);
	assert_int_equal(next(g, 0), 1);
	offer_many(g, 2, 2, 1, SHED_FIRST);
	c = make_call(4, 2, SHED_FIRST);
	c.depth = 2;
	c.deadline_us = 600 * MS;
	offer(g, &c, 0);
	c.id = 5;
	c.deadline_us = 300 * MS;
	offer(g, &c, 0);
	/* A root of a more important class still goes before them. */
	c = make_call(6, 1, SHED_LAST);
	offer(g, &c, 0);
	gate_done(g, 1, GATE_SERVED, MS);
	assert_int_equal(next(g, MS), 6);
	gate_done(g, 6, GATE_SERVED, 2 * MS);
	assert_int_equal(next(g, 2 * MS), 5);
	gate_done(g, 5, GATE_SERVED, 3 * MS);
	assert_int_equal(next(g, 3 * MS), 4);
	gate_done(g, 4, GATE_SERVED, 4 * MS);
	assert_int_equal(next(g, 4 * MS), 2);
	gate_free(g);
}

static int64_t run_steadily(struct gate *g, uint32_t slots, int64_t from,
			    int64_t to, bool ok)
{
	uint64_t id = 1000000 + (uint64_t)from, running[16];
	struct gate_call c;
	struct gate_drop d;
	int64_t now, waited;
	enum reason why;
	uint32_t i, n;

	for (now = from; now < to; now += 10 * MS) {
		for (i = 0; i < slots; i++) {
			c = make_call(id++, 9, SHED_LAST);
			gate_offer(g, &c, &why, now);
		}
		for (n = 0; (running[n] = gate_next(g, now, &waited)); n++)
			;
		assert_true(n >= 1 && n <= slots);
		while (gate_next_drop(g, now, &d))
			;
		while (n)
			gate_done(g, running[--n],
				  ok ? GATE_SERVED : GATE_FAILED,
				  now + 10 * MS);
		if ((now + 10 * MS) % GATE_STEP_US == 0)
			gate_step(g, now + 10 * MS);
	}
	return to;
}

static void unreachable_deadlines_are_refused_on_arrival(void **state)
{
	struct gate *g = make_gate(2, OVERLOAD_ENFORCE);
	int64_t now = run_steadily(g, 2, 0, 1000 * MS, true);
	struct gate_call c;

	(void)state;
	c = make_call(1, 1, SHED_LAST);
	c.deadline_us = now + 2 * MS; /* a call takes 10 ms */
	assert_int_equal(offer(g, &c, now), REASON_DEADLINE);
	offer_many(g, 2, 12, 1, SHED_LAST);
	assert_int_equal(start_all(g, now), 2);
	c = make_call(20, 1, SHED_LAST);
	c.deadline_us = now + 30 * MS; /* ten calls are queued: 50 ms */
	assert_int_equal(offer(g, &c, now), REASON_DEADLINE);
	c.deadline_us = now + 90 * MS;
	assert_int_equal(offer(g, &c, now), REASON_NONE);
	gate_free(g);
}

/*
 * Load: a surge onto an idle upstream, before most of its calls have ended.
 * Guards against refusals for the deadline while slots are free and a call
 * takes less than its deadline allows.
 */
static void surge_onto_idle_upstream_meets_deadlines(void **state)
{
	struct gate *g = make_gate(90, OVERLOAD_ENFORCE);
	int64_t now, run_us = 600 * MS, deadline_us = 800 * MS;
	struct gate_call c;
	uint64_t id = 0, ended = 0;
	size_t refused = 0;

	(void)state;
	for (now = 0; now < 2 * USEC_PER_SEC; now += 10 * MS) {
		c = make_call(++id, 1, SHED_MIDDLE);
		c.deadline_us = now + deadline_us;
		refused += offer(g, &c, now) != REASON_NONE;
		start_all(g, now);
		/* Calls of another kind end early, one in ten. */
		if (id % 10 == 0 && now < run_us)
			gate_done(g, id, GATE_SERVED, now + MS);
		for (; now >= run_us && ended < id &&
		       (int64_t)ended * 10 * MS + run_us <= now;
		     ended++)
			gate_done(g, ended + 1, GATE_SERVED, now);
		if (now % GATE_STEP_US == 0)
			gate_step(g, now);
	}
	assert_int_equal(refused, 0);
	gate_free(g);
}

static void late_calls_never_run(void **state)
{
	struct gate *g = make_gate(1, OVERLOAD_ENFORCE);
	struct gate_call c = make_call(1, 1, SHED_LAST);
	struct gate_drop d;

	(void)state;
	assert_int_equal(offer(g, &c, 0), REASON_NONE);
	assert_int_equal(next(g, 0), 1);
	c = make_call(2, 1, SHED_LAST);
	c.deadline_us = 5 * MS;
	assert_int_equal(offer(g, &c, 0), REASON_NONE);
	c = make_call(3, 1, SHED_LAST);
	assert_int_equal(offer(g, &c, 0), REASON_NONE);
	gate_done(g, 1, GATE_SERVED, 6 * MS);
	assert_int_equal(next(g, 6 * MS), 3);
	assert_true(gate_next_drop(g, 6 * MS, &d));
	assert_int_equal(d.id, 2);
	assert_int_equal(d.reason, REASON_DEADLINE);
	assert_false(gate_next_drop(g, 6 * MS, &d));
	gate_free(g);
}

static void full_queue_drops_the_least_important(void **state)
{
	struct gate *g = make_gate(1, OVERLOAD_ENFORCE);
	struct gate_call c;
	struct gate_drop d;

	(void)state;
	offer_many(g, 1, 60, 1, SHED_FIRST);
	offer_many(g, 101, 40, 1, SHED_MIDDLE);
	c = make_call(200, 1, SHED_FIRST);
	assert_int_equal(offer(g, &c, 0), REASON_QUEUE_FULL);
	c = make_call(201, 1, SHED_LAST);
	assert_int_equal(offer(g, &c, 0), REASON_NONE);
	assert_true(gate_next_drop(g, 0, &d));
	assert_int_equal(d.id, 60);
	assert_int_equal(d.reason, REASON_QUEUE_FULL);
	/* In the same class, the account with most queued calls loses one. */
	c = make_call(202, 2, SHED_FIRST);
	assert_int_equal(offer(g, &c, 0), REASON_NONE);
	assert_true(gate_next_drop(g, 0, &d));
	assert_int_equal(d.id, 59);
	gate_free(g);
}

static void cancelled_calls_free_slot_and_queue(void **state)
{
	struct gate *g = make_gate(1, OVERLOAD_ENFORCE);
	struct gate_drop d;

	(void)state;
	offer_many(g, 1, 4, 1, SHED_MIDDLE);
	assert_int_equal(next(g, 0), 1);
	gate_cancel(g, 2, 0);
	gate_cancel(g, 1, 0);
	gate_cancel(g, 1, 0);
	gate_done(g, 1, GATE_SERVED, 0);
	gate_done(g, 4, GATE_SERVED, 0); /* not running */
	assert_int_equal(next(g, 0), 3);
	assert_int_equal(next(g, 0), 0);
	assert_false(gate_next_drop(g, 0, &d));
	gate_free(g);
}

/*
 * Every 10 ms, offers rate calls to a gate of two slots, which ends two calls
 * in that time. Returns how many offers got a reason for refusal.
 */
static uint32_t overload(struct gate *g, int64_t from, int64_t to,
			 uint32_t rate)
{
	uint64_t id = 1 + (uint64_t)from * 100, running[2] = {0};
	uint32_t refused = 0, i;
	struct gate_call c;
	struct gate_drop d;
	enum reason why;
	int64_t now;

	for (now = from; now < to; now += 10 * MS) {
		for (i = 0; i < rate; i++) {
			c = make_call(id++, 1 + i % 2,
				      i % 4 ? SHED_FIRST : SHED_LAST);
			c.admit_hash = (uint16_t)pair_hash(id, 3);
			gate_offer(g, &c, &why, now);
			refused += why != REASON_NONE;
		}
		while (gate_next_drop(g, now, &d))
			;
		for (i = 0; i < 2; i++) {
			if (running[i])
				gate_done(g, running[i], GATE_SERVED, now);
			running[i] = next(g, now);
		}
		if (now % GATE_STEP_US == 0)
			gate_step(g, now);
	}
	for (i = 0; i < 2; i++)
		if (running[i])
			gate_cancel(g, running[i], now);
	return refused;
}

static void overload_sheds_the_least_important_and_ends(void **state)
{
	struct gate *g = make_gate(2, OVERLOAD_ENFORCE);
	struct gate_report r;
	struct admission a;

	(void)state;
	assert_true(overload(g, 10 * MS, 3000 * MS, 4) > 0);
	gate_report(g, &r);
	assert_true(r.admitted_rate > 0);
	a = gate_admission(g, 1);
	assert_int_equal(a.admitted[SHED_LAST], ADMIT_ALL);
	assert_true(a.admitted[SHED_FIRST] < ADMIT_ALL);
	a = gate_admission(g, 12345); /* never seen */
	assert_int_equal(a.admitted[SHED_FIRST], r.admitted[SHED_FIRST]);
	overload(g, 3000 * MS, 5000 * MS, 1);
	a = gate_admission(g, 1);
	assert_int_equal(a.admitted[SHED_FIRST], ADMIT_ALL);
	assert_int_equal(overload(g, 5000 * MS, 6000 * MS, 1), 0);
	gate_free(g);
}

static void observe_reports_reason_without_refusing(void **state)
{
	struct gate *g = make_gate(2, OVERLOAD_OBSERVE);
	struct gate_call c = make_call(1, 1, SHED_FIRST);
	struct gate_drop d;
	enum reason why;

	(void)state;
	assert_true(overload(g, 10 * MS, 2000 * MS, 8) > 0);
	c.admit_hash = UINT16_MAX - 1;
	assert_int_equal(gate_offer(g, &c, &why, 2000 * MS), GATE_QUEUED);
	assert_int_equal(why, REASON_SHED);
	assert_false(gate_next_drop(g, FAR_FUTURE_US, &d));
	gate_free(g);
}

static void only_failures_lower_the_limit(void **state)
{
	struct gate *g = make_gate(10, OVERLOAD_ENFORCE);
	struct gate_report r;
	int64_t now = run_steadily(g, 10, 0, 1000 * MS, true);

	(void)state;
	gate_report(g, &r);
	assert_int_equal(r.limit, 10);
	now = run_steadily(g, 10, now, now + 3000 * MS, false);
	gate_report(g, &r);
	assert_true(r.limit >= 1 && r.limit < 10);
	run_steadily(g, 10, now, now + 2000 * MS, true);
	gate_report(g, &r);
	assert_int_equal(r.limit, 10);
	gate_free(g);
}

#define RATE_WINDOW_US (4 * USEC_PER_SEC)
#define RATE_STARTS_MAX 100000

/* Starts of calls at a gate whose upstream names a limit. */
struct rated_run {
	struct gate *g;
	int64_t now;
	uint64_t id;
	int64_t starts[RATE_STARTS_MAX];
	size_t n;
	uint32_t important_offered;
	uint32_t important_started;
};

/*
 * Offers demand calls a second for us, a quarter of them important, with
 * deadlines of a second. A call takes 10 ms.
 */
static void run_rated(struct rated_run *r, double demand, int64_t us)
{
	int64_t until = r->now + us, waited;
	double due = 0;
	struct gate_drop d;
	struct gate_call c;
	enum reason why;
	uint64_t id;

	for (; r->now < until; r->now += 10 * MS) {
		due += demand / 100;
		while (due >= 1) {
			due--;
			r->id++;
			c = make_call(r->id, 1 + r->id % 3,
				      r->id % 4 ? SHED_FIRST : SHED_LAST);
			c.admit_hash = (uint16_t)pair_hash(r->id, 3);
			c.deadline_us = r->now + USEC_PER_SEC;
			r->important_offered += r->id % 4 == 0;
			gate_offer(r->g, &c, &why, r->now);
		}
		while (gate_next_drop(r->g, r->now, &d))
			;
		while ((id = gate_next(r->g, r->now, &waited))) {
			assert_true(r->n < RATE_STARTS_MAX);
			r->starts[r->n++] = r->now;
			r->important_started += id % 4 == 0;
			gate_done(r->g, id, GATE_SERVED, r->now + MS);
		}
		if (r->now % GATE_STEP_US == 0)
			gate_step(r->g, r->now);
	}
}

/* Returns the most starts in a window that begins at from or later. */
static size_t most_starts(const struct rated_run *r, int64_t from)
{
	size_t first = 0, i, most = 0;

	for (i = 0; i < r->n; i++) {
		while (r->starts[first] < from ||
		       r->starts[i] - r->starts[first] > RATE_WINDOW_US)
			if (++first > i)
				break;
		if (first <= i && i - first + 1 > most)
			most = i - first + 1;
	}
	return most;
}

static size_t allowed_starts(double rate)
{
	return (size_t)(1.5 * rate * 4) + 5;
}

static void open_rated(struct rated_run *r, double rate)
{
	memset(r, 0, sizeof(*r));
	r->g = make_gate(20, OVERLOAD_ENFORCE);
	gate_set_rate(r->g, rate, 0);
}

/* The gate sent as many calls as its slots held, whatever the limit. */
static void named_limit_is_kept_and_used(void **state)
{
	static const double rates[] = {0.5, 1, 9.7, 16.8, 300};
	static struct rated_run r;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(rates) / sizeof(*rates); i++) {
		open_rated(&r, rates[i]);
		run_rated(&r, rates[i] * 5, 20 * USEC_PER_SEC);
		assert_true(most_starts(&r, 0) <= allowed_starts(rates[i]));
		assert_true((double)r.n >= rates[i] * 20 * 0.9 - 2);
		gate_free(r.g);
	}
}

/* What waited for the limit was the oldest, not the most important. */
static void named_limit_sheds_the_least_important(void **state)
{
	static struct rated_run r;

	(void)state;
	open_rated(&r, 40);
	run_rated(&r, 120, 20 * USEC_PER_SEC);
	assert_true(r.important_started > r.important_offered * 0.9);
	gate_free(r.g);
}

/* Tokens saved under one limit were spent at once under the next. */
static void changed_limit_holds_without_a_burst(void **state)
{
	static struct rated_run r;
	int64_t changed;

	(void)state;
	open_rated(&r, 200);
	run_rated(&r, 0, 5 * USEC_PER_SEC);
	changed = r.now;
	gate_set_rate(r.g, 10, r.now);
	run_rated(&r, 300, 8 * USEC_PER_SEC);
	assert_true(most_starts(&r, changed) <= allowed_starts(10));
	gate_set_rate(r.g, 100, r.now);
	changed = r.now;
	run_rated(&r, 300, 8 * USEC_PER_SEC);
	assert_true(most_starts(&r, changed) > 300);
	assert_true(most_starts(&r, changed) <= allowed_starts(100));
	gate_set_rate(r.g, -1, r.now);
	changed = r.now;
	run_rated(&r, 300, 8 * USEC_PER_SEC);
	assert_true(most_starts(&r, changed) > 1000);
	gate_free(r.g);
}

/* Callers were told to come back long before there was room for them. */
static void named_limit_tells_when_there_is_room(void **state)
{
	struct gate *g = make_gate(20, OVERLOAD_ENFORCE);

	(void)state;
	assert_int_equal(gate_rate_wait_us(g), 0);
	gate_set_rate(g, 2, 0);
	assert_int_equal(gate_rate_wait_us(g), USEC_PER_SEC / 2);
	offer_many(g, 1, 1, 1, SHED_MIDDLE);
	assert_int_equal(gate_rate_wait_us(g), USEC_PER_SEC);
	gate_set_rate(g, -1, 0);
	assert_int_equal(gate_rate_wait_us(g), 0);
	gate_free(g);
}

/* A gate that restarted sent a burst before the first answer named the limit. */
static void unheard_upstream_gets_few_calls(void **state)
{
	struct gate_options o = {.slots = 20,
				 .queue_max = 100,
				 .names_rate = true,
				 .mode = OVERLOAD_ENFORCE};
	struct gate *g = gate_new(&o, 0);
	int i;

	(void)state;
	offer_many(g, 1, 20, 1, SHED_MIDDLE);
	for (i = 0; i < GATE_UNHEARD_MAX; i++)
		assert_int_not_equal(next(g, 0), 0);
	assert_int_equal(next(g, 0), 0);
	gate_set_rate(g, -1, 0);
	assert_int_not_equal(next(g, 0), 0);
	gate_free(g);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(slots_are_never_exceeded),
		cmocka_unit_test(cold_upstream_ramps_up),
		cmocka_unit_test(headroom_raises_throughput_near_saturation),
		cmocka_unit_test(off_is_first_in_first_out),
		cmocka_unit_test(important_classes_run_first),
		cmocka_unit_test(accounts_share_by_weight),
		cmocka_unit_test(sub_calls_go_first_by_deadline),
		cmocka_unit_test(unreachable_deadlines_are_refused_on_arrival),
		cmocka_unit_test(surge_onto_idle_upstream_meets_deadlines),
		cmocka_unit_test(late_calls_never_run),
		cmocka_unit_test(full_queue_drops_the_least_important),
		cmocka_unit_test(cancelled_calls_free_slot_and_queue),
		cmocka_unit_test(overload_sheds_the_least_important_and_ends),
		cmocka_unit_test(observe_reports_reason_without_refusing),
		cmocka_unit_test(only_failures_lower_the_limit),
		cmocka_unit_test(named_limit_is_kept_and_used),
		cmocka_unit_test(named_limit_sheds_the_least_important),
		cmocka_unit_test(changed_limit_holds_without_a_burst),
		cmocka_unit_test(named_limit_tells_when_there_is_room),
		cmocka_unit_test(unheard_upstream_gets_few_calls),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
