#include "policy/gate_impl.h"

#include <math.h>

#define SERVICE_DECAY 0.93     /* of the sums, per step */
#define SERVICE_DECAY_IDLE 0.6 /* per step with nothing running */
/* Deviation of the ended calls by which the service time has changed. */
#define CHANGE_SIGMAS 3
#define CHANGE_KEEP 0.2 /* of earlier sums, after a change */
#define DRAIN_S 1.0	/* time to drain surplus backlog */
#define TRIM_MIN 0.8	/* of the rate that Little's law gives */
#define TRIM_MAX 1.5	/* of the same rate */
/* Of slot time; more means that the cause of the overload is gone. */
#define IDLE_SHARE_HIGH 0.6
#define TRIM_IDLE_MAX 8.0 /* with an idle share above IDLE_SHARE_HIGH */
#define TRIM_DECAY 0.8	  /* of the excess over 1, per step with a backlog */
#define TRIM_GAIN 1.0	  /* per second, of idle slots and surplus */
#define SURPLUS_MAX 0.3	  /* of capacity */
#define SUDDEN_BACKLOG_GOALS 4	/* times the goal: overload within a step */
#define OVERLOAD_END_SHARE 0.95 /* of capacity; less demand is no overload */
#define OVERLOAD_END_STEPS 3	/* consecutive, to end an overload */
#define LIMIT_DECREASE 0.8	/* per step in which the upstream fails */
#define LIMIT_INCREASE 1.1	/* per step in which it does not */
#define FAIL_SHARE 0.5		/* of ended calls: the upstream fails */
#define FAIL_MIN_CALLS 5	/* ended calls needed to judge that */
#define COLD_START_SHARE 0.1	/* of the slots at the start */
#define BACKLOG_SIGMAS 2.5  /* of the arrivals in a step, allowed to queue */
#define CAPACITY_MIN 0.1    /* calls a second */
#define UNLIMITED_RATE 1e12 /* calls a second */

/* Adds the slot time since the last call; called before running changes. */
void gate_count_busy(struct gate *g, int64_t now)
{
	if (now <= g->busy_counted_us)
		return;
	g->busy_slot_us += (double)(now - g->busy_counted_us) * g->running;
	g->busy_counted_us = now;
}

/* Sets the limit from slots, cold start and the adaptive limit. */
void gate_set_limit(struct gate *g, int64_t now)
{
	double limit = g->o.slots * (1 - g->o.headroom);
	double age = (double)(now - g->started_us);

	if (g->o.mode != OVERLOAD_ENFORCE) {
		g->limit = g->o.slots;
		return;
	}
	if (age < (double)g->o.cold_start_us)
		limit *= COLD_START_SHARE + (1 - COLD_START_SHARE) * age /
						    (double)g->o.cold_start_us;
	if (limit > g->adaptive_limit)
		limit = g->adaptive_limit;
	g->limit = limit < 1 ? 1 : (uint32_t)limit;
	if (g->limit > g->o.slots)
		g->limit = g->o.slots;
}

/*
 * The adaptive limit falls while most calls fail and rises again otherwise.
 * It ignores latency: otherwise a service that waits for its sub-calls would
 * be throttled for the slowness of the service that it calls.
 */
static void update_adaptive_limit(struct gate *g)
{
	double floor = g->o.slots * COLD_START_SHARE;

	if (g->ended >= FAIL_MIN_CALLS && g->failed > g->ended * FAIL_SHARE)
		g->adaptive_limit *= LIMIT_DECREASE;
	else if (g->ended)
		g->adaptive_limit = g->adaptive_limit * LIMIT_INCREASE + 1;
	if (g->adaptive_limit < floor)
		g->adaptive_limit = floor;
	if (g->adaptive_limit > g->o.slots)
		g->adaptive_limit = g->o.slots;
}

/* Counts the time that a served call took at the upstream. */
void gate_count_run(struct gate *g, int64_t run_us)
{
	g->run_sum_us += (double)run_us;
	g->run_count++;
}

/*
 * Returns the time that a call is expected to take at the upstream, to judge
 * its deadline; 0 if no call was served lately. Slot time per ended call is far
 * too long after a rise of the load, when many calls run and few have ended:
 * calls with a deadline well ahead were then refused although slots were free.
 */
int64_t gate_expected_run_us(const struct gate *g)
{
	double run_us;

	if (g->run_count <= 0)
		return 0;
	run_us = g->run_sum_us / g->run_count;
	return (int64_t)(run_us < g->service_us ? run_us : g->service_us);
}

/*
 * Smooths the slot time per ended call, from which Little's law gives the
 * capacity. If the number of ended calls deviates too far from that expected,
 * the service time has changed and earlier steps are largely discarded.
 */
static void measure_service(struct gate *g)
{
	double keep = g->running ? SERVICE_DECAY : SERVICE_DECAY_IDLE;
	double expected =
		g->service_us > 0 ? g->busy_slot_us / g->service_us : 0;

	if (fabs(g->ended - expected) > CHANGE_SIGMAS * sqrt(expected + 1))
		keep = CHANGE_KEEP;
	g->busy_sum = g->busy_sum * keep + g->busy_slot_us;
	g->ended_sum = g->ended_sum * keep + g->ended;
	g->run_sum_us *= keep;
	g->run_count *= keep;
	if (g->ended_sum >= 1)
		g->service_us = g->busy_sum / g->ended_sum;
	else if (!g->running)
		g->service_us = 0;
}

/*
 * Integral correction of the rate from Little's law, which errs, for example,
 * by calls that are dropped after admission: up with idle slots, down with a
 * surplus backlog. While most slots are idle the measured service time is
 * out of date, and the rate grows by up to a factor of two a step.
 */
static void update_trim(struct gate *g, double idle, double surplus,
			double dt_s)
{
	if (surplus > SURPLUS_MAX)
		surplus = SURPLUS_MAX;
	if (idle > IDLE_SHARE_HIGH && !g->queued) {
		g->trim *= 1 + idle;
		if (g->trim > TRIM_IDLE_MAX)
			g->trim = TRIM_IDLE_MAX;
		return;
	}
	g->trim += (idle - surplus) * TRIM_GAIN * dt_s;
	if (surplus > 0 && g->trim > 1)
		g->trim = 1 + (g->trim - 1) * TRIM_DECAY;
	if (g->trim > TRIM_MAX)
		g->trim = TRIM_MAX;
	if (g->trim < TRIM_MIN)
		g->trim = TRIM_MIN;
}

/*
 * An overload begins if the backlog stayed above goal for a full step or is
 * several times goal. It ends after some steps with demand below capacity and
 * the backlog within goal.
 */
static void update_overload(struct gate *g, double capacity, double goal)
{
	if (g->queued_min > goal || g->queued > SUDDEN_BACKLOG_GOALS * goal) {
		if (!g->overload)
			g->trim = 1;
		g->overload = true;
		g->recovered_steps = 0;
		return;
	}
	if (demand_total(g) > capacity * OVERLOAD_END_SHARE || g->queued > goal)
		g->recovered_steps = 0;
	else if (++g->recovered_steps >= OVERLOAD_END_STEPS)
		g->overload = false;
}

/*
 * Returns the calls a second that the limit can serve, by Little's law, or that
 * a limit on starts allows, if that is less.
 */
double gate_capacity(const struct gate *g)
{
	double capacity = UNLIMITED_RATE;

	if (g->service_us > 0)
		capacity = g->limit / g->service_us * USEC_PER_SEC;
	capacity = gate_rate_capacity(g, capacity);
	return capacity < CAPACITY_MIN ? CAPACITY_MIN : capacity;
}

/*
 * Returns the number of calls that may wait: the queueing target at this
 * capacity, or the variation of the arrivals of one step if that is larger.
 */
static double backlog_goal(const struct gate *g, double capacity, double dt_s)
{
	double target = capacity * (double)g->o.queue_target_us / USEC_PER_SEC;
	double noise = BACKLOG_SIGMAS * sqrt(capacity * dt_s);

	return target > noise ? target : noise;
}

/* Returns the share of slot time left; none while a limit on starts binds. */
static double gate_idle_share(struct gate *g, double dt_s, int64_t now)
{
	if (!g->limit || (g->starts.rate && g->starts.level < 1) ||
	    !gate_cold_allows(g, now))
		return 0;
	return 1 - g->busy_slot_us / (dt_s * USEC_PER_SEC * g->limit);
}

/* Updates limit, admitted rate and cutoffs. */
void gate_step(struct gate *g, int64_t now)
{
	double dt_s = (double)(now - g->last_step_us) / USEC_PER_SEC;
	double capacity, goal, idle;

	if (dt_s <= 0)
		return;
	gate_count_busy(g, now);
	demand_step(g, dt_s, now);
	measure_service(g);
	update_adaptive_limit(g);
	idle = gate_idle_share(g, dt_s, now);
	capacity = gate_capacity(g);
	goal = backlog_goal(g, capacity, dt_s);
	update_overload(g, capacity, goal);
	if (g->overload && g->o.mode != OVERLOAD_OFF) {
		update_trim(g, idle, (g->queued - goal) / (capacity * DRAIN_S),
			    dt_s);
		g->admitted_rate = capacity * g->trim;
		demand_allocate(g, g->admitted_rate, goal, DRAIN_S);
	} else {
		g->admitted_rate = 0;
		demand_admit_all(g);
	}
	gate_set_limit(g, now);
	g->busy_slot_us = 0;
	g->ended = 0;
	g->failed = 0;
	g->queued_min = g->queued;
	g->last_step_us = now;
}
