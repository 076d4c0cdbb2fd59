#include "policy/spill_impl.h"

#include <string.h>

/* Older reports raise no fraction. */
#define FRESH_US USEC_PER_SEC
/* Upstreams that fail more count as absent: four calls in a row. */
#define FAILED_SHARE_MAX 0.3
#define FAILED_FADE_US (5 * USEC_PER_SEC)

/* Failures of calls lose weight with time, as they do in balance.c. */
static double failed_share(const struct upstream_load *l, int64_t now)
{
	double age = (double)(now - l->last_update_us) / FAILED_FADE_US;

	return age < 1 ? l->error_share * (1 - age) : 0;
}

bool spill_is_usable(const struct balance_candidate *c, int64_t now)
{
	return !c->tried && c->load->ejected_until_us <= now &&
	       failed_share(c->load, now) <= FAILED_SHARE_MAX;
}

static struct view *view_of(struct views *v, const struct balance_candidate *c)
{
	size_t i;

	if (c->same_data_centre)
		return &v->own;
	for (i = 0; i < v->count; i++)
		if (v->other[i].data_centre == c->data_centre)
			return &v->other[i];
	if (v->count == SPILL_DATA_CENTRES_MAX)
		return NULL;
	v->other[v->count].data_centre = c->data_centre;
	return &v->other[v->count++];
}

static void add_to_view(struct view *v, const struct balance_candidate *c,
			int64_t now)
{
	const struct upstream_load *l = c->load;
	double slots = usable_slots(c, l->latency_us, now), total, calls;
	double failed;

	v->usable++;
	if (!l->reported_us || l->service_us <= 0 ||
	    now - l->reported_us >= FRESH_US)
		return;
	total = v->slots + slots;
	calls = l->in_flight > l->outstanding ? l->in_flight : l->outstanding;
	/* A queue at one of several upstreams does not fill the others. */
	v->calls += calls < slots ? calls : slots;
	v->queue_us += (l->queue_us - v->queue_us) * slots / total;
	v->service_us += (l->service_us - v->service_us) * slots / total;
	v->shed += (l->shed_share - v->shed) * slots / total;
	failed = 1 - (1 - failed_share(l, now)) * (1 - l->rejected_share);
	v->failed += (failed - v->failed) * slots / total;
	v->slots = total;
	v->reported++;
}

void spill_collect_views(struct views *v, const struct balance_candidate *c,
			 size_t n, int64_t now)
{
	struct view *one;
	size_t i;

	memset(v, 0, sizeof(*v));
	for (i = 0; i < n; i++) {
		one = spill_is_usable(&c[i], now) ? view_of(v, &c[i]) : NULL;
		if (one)
			add_to_view(one, &c[i], now);
	}
}

double spill_view_load(const struct view *v)
{
	return v->slots > 0 ? v->calls / v->slots : 0;
}

/* Returns the time of a call there without waiting; a failed one costs more. */
double spill_run_time_us(const struct view *v, double target_us)
{
	return v->service_us + v->failed * target_us +
	       (v->data_centre ? CROSSING_US : 0);
}

/* Returns the expected time of a call there; a shed one costs the target. */
double spill_view_time_us(const struct view *v, double target_us)
{
	return spill_run_time_us(v, target_us) + v->queue_us +
	       v->shed * target_us;
}
