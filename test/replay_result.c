#include "replay_model.h"

#define RECOVERED 0.95 /* of the goodput before the slow-down */
#define RECOVERY_BINS 10

double replay_capacity(const struct replay_trace *t)
{
	double least = 0, rate;
	size_t i;

	for (i = 0; i < t->hop_count; i++) {
		rate = t->hops[i].upstreams * t->hops[i].slots /
		       t->hops[i].service_us * USEC_PER_SEC;
		if (!i || rate < least)
			least = rate;
	}
	return least;
}

static double mean_of_bins(const struct replay_result *r, int64_t from_us,
			   int64_t to_us)
{
	int64_t i, n = 0, sum = 0;

	for (i = from_us / REPLAY_BIN_US; i < to_us / REPLAY_BIN_US; i++) {
		sum += r->bins[i];
		n++;
	}
	return n ? (double)sum / (double)n : 0;
}

/*
 * Returns the seconds from the end of the slow-down to the start of the first
 * second with recovered goodput; -1 if there is none.
 */
static double recovery(const struct replay_trace *t,
		       const struct replay_result *r)
{
	double before = mean_of_bins(r, t->measured_from_us, t->slow_from_us);
	int64_t at, window = RECOVERY_BINS * REPLAY_BIN_US;

	for (at = t->slow_to_us; at + window <= t->length_us;
	     at += REPLAY_BIN_US)
		if (mean_of_bins(r, at, at + window) >= RECOVERED * before)
			return (double)(at - t->slow_to_us) / USEC_PER_SEC;
	return -1;
}

static double demand_of(const struct replay_result *r, size_t account, int cls)
{
	return (double)r->account_offered[account][cls] / r->measured_s;
}

/* Max-min fair shares of one class: the demand or level x weight. */
static double fill_class(const struct replay_trace *t, struct replay_result *r,
			 int cls, double rate)
{
	double level = 0, left, weight, want, got;
	size_t i, round;

	for (round = 0; round <= t->account_count; round++) {
		left = rate;
		weight = 0;
		for (i = 0; i < t->account_count; i++) {
			want = demand_of(r, i, cls);
			if (want <= level * t->accounts[i].weight)
				left -= want;
			else
				weight += t->accounts[i].weight;
		}
		if (weight > 0 && left / weight > level)
			level = left / weight;
	}
	for (i = 0; i < t->account_count; i++) {
		want = demand_of(r, i, cls);
		got = level * t->accounts[i].weight;
		if (got > want)
			got = want;
		r->account_ideal[i] += got;
		rate -= got;
	}
	return rate > 0 ? rate : 0;
}

void replay_finish(const struct replay_trace *t, struct replay_result *r)
{
	double rate = r->capacity_s;
	int cls;

	for (cls = SHED_LAST; cls >= SHED_FIRST; cls--)
		rate = fill_class(t, r, cls, rate);
	if (t->slow_to_us)
		r->recovery_s = recovery(t, r);
}

double replay_goodput_ratio(const struct replay_result *r)
{
	return (double)r->good / r->measured_s / r->capacity_s;
}

/* The lowest ratio of goodput to fair share over all accounts. */
double replay_worst_share(const struct replay_trace *t,
			  const struct replay_result *r)
{
	double worst = 0, share;
	size_t i;

	for (i = 0; i < t->account_count; i++) {
		share = (double)r->account_good[i] / r->measured_s /
			r->account_ideal[i];
		if (!i || share < worst)
			worst = share;
	}
	return worst;
}
