/* The limit in calls a second that an upstream names in its answers. */
#include "policy/gate_impl.h"

#define BURST_S 0.25 /* of the rate, saved up while no call waits */
/*
 * A call now and then even for a lower limit: only an answer can tell that the
 * limit has changed.
 */
#define RATE_MIN 0.25

/* Applies the limit named in an answer; a changed one gives no burst. */
void gate_set_rate(struct gate *g, double rate, int64_t now)
{
	double level;

	g->unheard = false;
	if (rate < 0) {
		g->starts = (struct bucket){0};
		return;
	}
	if (rate < RATE_MIN)
		rate = RATE_MIN;
	if (rate == g->starts.rate)
		return;
	/* No burst at a change: what was saved up was so under another rate. */
	bucket_refill(&g->starts, now);
	level = g->starts.rate ? g->starts.level : 0;
	if (level > 1)
		level = 1;
	bucket_init(&g->starts, rate, 1 + rate * BURST_S, level, now);
}

/* Whether the upstream takes one more call now. */
bool gate_rate_allows(struct gate *g, int64_t now)
{
	if (g->unheard && g->running >= GATE_UNHEARD_MAX)
		return false;
	if (!gate_cold_allows(g, now))
		return false;
	if (!g->starts.rate)
		return true;
	bucket_refill(&g->starts, now);
	return g->starts.level >= 1;
}

/* Counts a call that is started. */
void gate_rate_count(struct gate *g, int64_t now)
{
	if (g->starts.rate)
		g->starts.level -= 1;
	gate_cold_count(g, now);
}

/* Returns the lower of the named and the cold limit; 0: neither holds. */
double gate_rate_limit(const struct gate *g)
{
	double rate = g->starts.rate;

	return g->cold.rate && (!rate || g->cold.rate < rate) ? g->cold.rate
							      : rate;
}

/* Returns the wait in microseconds behind the queue; 0 without a limit. */
int64_t gate_rate_wait_us(const struct gate *g)
{
	double rate = gate_rate_limit(g);

	return rate ? (int64_t)((g->queued + 1) / rate * USEC_PER_SEC) : 0;
}

/* Returns the calls a second that slots and limits allow. */
double gate_rate_capacity(const struct gate *g, double slots_capacity)
{
	double rate = gate_rate_limit(g);

	return rate && rate < slots_capacity ? rate : slots_capacity;
}
