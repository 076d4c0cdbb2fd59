/*
 * The limit in calls a second while an upstream is cold. An upstream that has
 * just started crashes under a load well below that of a warm one, so the limit
 * holds for what is started, whatever the upstream answers.
 */
#include "policy/gate_impl.h"

#include <string.h>

#define BURST_S 0.25 /* of the rate, saved up while no call waits */
#define SLOT_US (USEC_PER_SEC / GATE_WINDOW_PARTS)
/* Calls a cold gate lets wait in an overload: arrivals are not evenly spaced. */
#define QUEUED_MIN 3

/* Forgets the starts that ended more than a second before now. */
static void window_advance(struct gate_window *w, int64_t now)
{
	int64_t part = now / SLOT_US;
	size_t i;

	if (part <= w->newest)
		return;
	if (part - w->newest >= GATE_WINDOW_PARTS + 1) {
		memset(w->counts, 0, sizeof(w->counts));
		w->total = 0;
		w->newest = part;
		return;
	}
	while (w->newest < part) {
		i = (size_t)(++w->newest % (GATE_WINDOW_PARTS + 1));
		w->total -= w->counts[i];
		w->counts[i] = 0;
	}
}

/* Returns the time until fewer than limit starts are less than a second old. */
static int64_t window_wait_us(const struct gate_window *w, double limit,
			      int64_t now)
{
	int64_t part = w->newest - GATE_WINDOW_PARTS, wait;
	uint32_t left = w->total;

	if (left + 1 <= limit)
		return 0;
	for (; part <= w->newest; part++) {
		if (part < 0)
			continue;
		left -= w->counts[part % (GATE_WINDOW_PARTS + 1)];
		if (left + 1 <= limit)
			break;
	}
	wait = (part + 1) * SLOT_US + USEC_PER_SEC - now;
	return wait > 0 ? wait : 0;
}

/* Ends the limit at its time, and the overload that it caused. */
static void expire(struct gate *g, int64_t now)
{
	if (!g->cold.rate || now < g->cold_until_us)
		return;
	g->cold = (struct bucket){0};
	g->cold_until_us = 0;
	g->overload = false;
	g->trim = 1;
	demand_admit_all(g);
}

/*
 * The most starts in a second. A process of this node that was killed may have
 * started a second's calls that a new gate does not know of.
 */
static double window_limit(const struct gate *g, int64_t now)
{
	double limit = g->cold.rate * g->o.cold_overshoot + g->o.cold_slack;

	if (!g->o.cold_overshoot)
		return UINT32_MAX;
	if (now - g->started_us < USEC_PER_SEC)
		limit -= g->cold.rate + g->cold.burst;
	return limit < 1 ? 1 : limit;
}

/* Longest time that a call may wait for a cold upstream. */
int64_t gate_cold_queue_max_us(const struct gate *g, int64_t queue_max_us)
{
	int64_t least = (int64_t)(QUEUED_MIN / g->cold.rate * USEC_PER_SEC);

	return least > queue_max_us ? least : queue_max_us;
}

/* Drops the queued calls that the limit does not let start in time. */
static void drop_late(struct gate *g, int64_t now)
{
	int64_t first = gate_cold_wait_us(g, now), start_us;
	struct gate_item *it, *next;
	uint32_t kept = 0;
	int cls;

	for (cls = SHED_LAST; cls >= SHED_FIRST; cls--) {
		for (it = g->class_items[cls]; it; it = next) {
			next = it->newer;
			start_us =
				now + first +
				(int64_t)(kept / g->cold.rate * USEC_PER_SEC);
			if (start_us <= it->start_by_us &&
			    start_us - it->offered_us <= gate_queue_max_us(g)) {
				kept++;
				continue;
			}
			gate_drop_item(g, it, REASON_COLD);
		}
	}
}

/*
 * Limits the starts while the upstream is cold. A limit that begins gives no
 * burst, as an earlier process of this node may have used it.
 */
void gate_set_cold(struct gate *g, double rate, int64_t until_us, int64_t now)
{
	bool begins = !g->cold.rate;

	expire(g, now);
	if (rate <= 0 || until_us <= now) {
		if (g->cold.rate) {
			g->cold_until_us = now;
			expire(g, now);
		}
		return;
	}
	g->cold_until_us = until_us;
	if (rate == g->cold.rate)
		return;
	bucket_init(&g->cold, rate, rate * BURST_S > 1 ? rate * BURST_S : 1, 0,
		    now);
	if (begins && g->o.mode == OVERLOAD_ENFORCE)
		drop_late(g, now);
}

/* Returns the time for which the limit still holds; 0: the upstream is warm. */
int64_t gate_cold_left_us(const struct gate *g, int64_t now)
{
	return g->cold.rate && now < g->cold_until_us ? g->cold_until_us - now
						      : 0;
}

void gate_read_starts(const struct gate *g, struct gate_window *w)
{
	if (g->window.newest > w->newest)
		*w = g->window;
}

void gate_set_starts(struct gate *g, const struct gate_window *w)
{
	g->window = *w;
}

/* Whether the limit lets one more call start now. */
bool gate_cold_allows(struct gate *g, int64_t now)
{
	expire(g, now);
	if (!g->cold.rate)
		return true;
	bucket_refill(&g->cold, now);
	window_advance(&g->window, now);
	return g->cold.level >= 1 &&
	       g->window.total + 1 <= window_limit(g, now);
}

/* Returns the time until the limit lets the next call start. */
int64_t gate_cold_wait_us(struct gate *g, int64_t now)
{
	int64_t paced, window;

	if (gate_cold_allows(g, now))
		return 0;
	paced = g->cold.level < 1 ? (int64_t)((1 - g->cold.level) /
					      g->cold.rate * USEC_PER_SEC)
				  : 0;
	window = window_wait_us(&g->window, window_limit(g, now), now);
	return window > paced ? window : paced;
}

/* Counts a start, also of a warm upstream: it may become cold. */
void gate_cold_count(struct gate *g, int64_t now)
{
	window_advance(&g->window, now);
	g->window.counts[g->window.newest % (GATE_WINDOW_PARTS + 1)]++;
	g->window.total++;
	if (g->cold.rate)
		g->cold.level -= 1;
}
