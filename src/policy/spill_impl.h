/* Internals of spill: views of data centres, and the steps of the fractions. */
#ifndef POLICY_SPILL_IMPL_H
#define POLICY_SPILL_IMPL_H

#include "policy/spill.h"

#define STEP_US (250 * USEC_PER_MSEC)
/* Time that crossing adds to a call, as in balance.c. */
#define CROSSING_US (3 * USEC_PER_MSEC)
/* A saving counts if it is at least the target latency divided by this. */
#define DETOUR_DIVISOR 6

/* A data centre as its upstreams report it. */
struct view {
	uint64_t data_centre; /* 0: the own */
	double slots;	      /* of the upstreams with fresh reports */
	double calls;
	double queue_us;   /* this and the next three: means by slots */
	double service_us; /* at the upstream */
	double shed;	   /* share of the calls */
	double failed;	   /* share of the calls */
	size_t usable;	   /* upstreams that are not ejected */
	size_t reported;   /* of these, with fresh reports */
};

struct views {
	struct view own;
	struct view other[SPILL_DATA_CENTRES_MAX];
	size_t count;
};

static inline double clamp(double v, double low, double high)
{
	return v < low ? low : v > high ? high : v;
}

/* spill_view.c */
/* Whether the upstream counts as present: not tried, ejected or failing. */
bool spill_is_usable(const struct balance_candidate *c, int64_t now);
void spill_collect_views(struct views *v, const struct balance_candidate *c,
			 size_t n, int64_t now);
double spill_view_load(const struct view *v);
double spill_run_time_us(const struct view *v, double target_us);
double spill_view_time_us(const struct view *v, double target_us);

/* spill_step.c */
/* Returns the calls a second that are worth crossing. */
double spill_eligible_rate(const struct spill *s);
double spill_detour_us(const struct spill *s);
/* Updates the load and the fractions; to be called every STEP_US. */
void spill_step(struct spill *s, const struct views *v, int64_t now);

#endif
