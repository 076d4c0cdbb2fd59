#include "policy/spill_impl.h"

#define TARGET_GAIN 0.05
#define TARGET_LOW_GAIN 0.002
#define TARGET_UNKNOWN_US USEC_PER_SEC
#define PROBE_MAX_US (4 * USEC_PER_SEC)
#define PROBE_CALM_US (10 * USEC_PER_SEC)

/* Whether a saving is worth the bytes of the call. */
static bool pays(const struct spill_cost *cost, double saved,
		 const struct spill_call *call)
{
	return saved > 0 &&
	       call->bytes * cost->per_mb <= saved * cost->wait_worth_per_s;
}

static double call_target_us(const struct spill_call *call)
{
	return call->target_us ? (double)call->target_us : TARGET_UNKNOWN_US;
}

/* Whether the call is worth crossing to the destination. */
static bool is_worth(const struct spill *s, const struct spill_cost *cost,
		     const struct spill_destination *d,
		     const struct spill_call *call)
{
	bool no_room = s->wants_room ||
		       (d->fraction > 0 && d->reason == SPILL_NO_ROOM);

	if (no_room && pays(cost, d->saved_us, call))
		return true;
	return d->saves_us >= call_target_us(call) / DETOUR_DIVISOR &&
	       pays(cost, d->saves_us, call);
}

static bool is_eligible(const struct spill *s, const struct spill_cost *cost,
			const struct spill_call *call)
{
	size_t i;

	for (i = 0; i < s->count; i++)
		if (is_worth(s, cost, &s->to[i], call))
			return true;
	return false;
}

/*
 * Returns the fraction of the calls of a class that cross. All classes have
 * the same, unless the wait is longer than the target of the call leaves: then
 * the more important class comes first.
 */
static double class_fraction(const struct spill *s,
			     const struct spill_call *call)
{
	double left = spill_fraction(s) * spill_eligible_rate(s), rate;
	int cls;

	if (!s->urgent_first)
		return spill_fraction(s);
	for (cls = SHED_CLASSES - 1; cls > (int)call->cls; cls--)
		left -= s->eligible_s[cls];
	rate = s->eligible_s[call->cls];
	return rate > 0 ? clamp(left / rate, 0, 1) : 0;
}

static bool has_local(const struct balance_candidate *c, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++)
		if (c[i].same_data_centre)
			return true;
	return false;
}

/* Whether the own data centre, or another one, has a usable upstream. */
static bool has_usable(const struct balance_candidate *c, size_t n, bool own,
		       int64_t now)
{
	size_t i;

	for (i = 0; i < n; i++)
		if (c[i].same_data_centre == own && spill_is_usable(&c[i], now))
			return true;
	return false;
}

static bool is_reachable(const struct spill_destination *d,
			 const struct balance_candidate *c, size_t n,
			 int64_t now)
{
	size_t i;

	for (i = 0; i < n; i++)
		if (!c[i].same_data_centre &&
		    c[i].data_centre == d->data_centre &&
		    spill_is_usable(&c[i], now))
			return true;
	return false;
}

/* Draws a destination by the fractions; NULL: the call does not cross. */
static struct spill_destination *
draw(struct spill *s, const struct spill_call *call, uint64_t random)
{
	double sum = spill_fraction(s), fraction = class_fraction(s, call);
	double at = (double)(random >> 32) / 4294967296.0;
	size_t i;

	if (sum <= 0 || at >= fraction)
		return NULL;
	at *= sum / fraction;
	for (i = 0; i < s->count; i++) {
		if (at < s->to[i].fraction)
			return &s->to[i];
		at -= s->to[i].fraction;
	}
	return NULL;
}

/*
 * Returns a destination without fresh reports that this call may ask, or NULL.
 * Reports come only in answers, so a few calls have to find out.
 */
static struct spill_destination *probe(struct spill *s,
				       const struct spill_cost *cost,
				       const struct spill_call *call,
				       int64_t now)
{
	struct spill_destination *d;
	int64_t wait;
	size_t i;

	if (call->repeat && !call->refused)
		return NULL;
	for (i = 0; i < s->count; i++) {
		d = &s->to[i];
		if (d->known || d->unseen)
			continue;
		if (call->refused
			    ? pays(cost, call_target_us(call), call)
			    : s->wants_room && pays(cost, d->saved_us, call))
			wait = d->probe_wait_us;
		else if (pays(cost, s->local_us - spill_detour_us(s), call))
			wait = PROBE_CALM_US;
		else
			continue;
		if (d->probed_us && now - d->probed_us < wait)
			continue;
		d->probed_us = now;
		d->probe_wait_us = d->probe_wait_us * 2 < PROBE_MAX_US
					   ? d->probe_wait_us * 2
					   : PROBE_MAX_US;
		return d;
	}
	return NULL;
}

/*
 * Returns a destination for a call that a gate here refused, or NULL: such
 * calls need not wait until the fraction has risen.
 */
static struct spill_destination *take_refused(struct spill *s,
					      const struct spill_cost *cost,
					      const struct spill_call *call)
{
	struct spill_destination *best = NULL;
	size_t i;

	if (!call->refused || !pays(cost, call_target_us(call), call))
		return NULL;
	for (i = 0; i < s->count; i++)
		if (s->to[i].known && s->to[i].refused_left >= 1 &&
		    (!best || s->to[i].refused_left > best->refused_left))
			best = &s->to[i];
	if (best)
		best->refused_left--;
	return best;
}

static void count_call(struct spill *s, const struct spill_call *call,
		       bool eligible)
{
	double target =
		call->target_us ? (double)call->target_us : TARGET_UNKNOWN_US;

	if (call->repeat)
		return;
	if (s->target_us <= 0)
		s->target_us = target;
	s->target_us += (target - s->target_us) * TARGET_GAIN;
	if (s->target_low_us <= 0 || target < s->target_low_us)
		s->target_low_us = target;
	s->target_low_us += (target - s->target_low_us) * TARGET_LOW_GAIN;
	s->calls++;
	s->eligible[call->cls] += eligible;
}

/* Chooses among the destinations; the reason is SPILL_NONE if none is. */
static struct spill_choice choose(struct spill *s,
				  const struct spill_cost *cost,
				  const struct spill_call *call,
				  uint64_t random, int64_t now)
{
	struct spill_choice choice = {.reason = SPILL_NO_ROOM};
	bool eligible = is_eligible(s, cost, call);

	count_call(s, call, eligible);
	s->urgent_first = s->local_us > s->target_us;
	choice.to = probe(s, cost, call, now);
	if (choice.to) {
		if (!s->wants_room && !call->refused)
			choice.reason = SPILL_SAVES_TIME;
		return choice;
	}
	choice.to = take_refused(s, cost, call);
	if (choice.to)
		return choice;
	choice.to = eligible ? draw(s, call, random) : NULL;
	if (!choice.to || !is_worth(s, cost, choice.to, call))
		return (struct spill_choice){.reason = SPILL_NONE};
	choice.to->unanswered += !choice.to->known;
	choice.reason = choice.to->reason;
	return choice;
}

struct spill_choice spill_choose(struct spill *s, const struct spill_cost *cost,
				 const struct balance_candidate *c, size_t n,
				 const struct spill_call *call, uint64_t random,
				 int64_t now)
{
	struct spill_choice choice = {.reason = SPILL_NONE};
	struct views v;

	if (!s->stepped_us)
		s->stepped_us = now;
	if (!call->repeat && now - s->stepped_us >= STEP_US) {
		spill_collect_views(&v, c, n, now);
		spill_step(s, &v, now);
	}
	if (!has_usable(c, n, true, now)) {
		if (has_usable(c, n, false, now) || !has_local(c, n))
			choice.reason = SPILL_NO_UPSTREAM;
		return choice;
	}
	choice = choose(s, cost, call, random, now);
	if (choice.to && !is_reachable(choice.to, c, n, now))
		return (struct spill_choice){.reason = SPILL_NONE};
	return choice;
}

bool spill_permits(const struct spill_choice *choice,
		   const struct balance_candidate *c)
{
	switch (choice->reason) {
	case SPILL_NO_UPSTREAM:
		return !c->same_data_centre;
	case SPILL_NONE:
		return c->same_data_centre;
	default:
		return !c->same_data_centre &&
		       c->data_centre == choice->to->data_centre;
	}
}

enum spill_reason spill_main_reason(const struct spill *s)
{
	enum spill_reason reason = SPILL_NONE;
	double largest = 0;
	size_t i;

	for (i = 0; i < s->count; i++)
		if (s->to[i].fraction > largest) {
			largest = s->to[i].fraction;
			reason = s->to[i].reason;
		}
	return reason;
}

const char *spill_reason_name(enum spill_reason r)
{
	switch (r) {
	case SPILL_NONE:
		return "none";
	case SPILL_NO_ROOM:
		return "no-room";
	case SPILL_SAVES_TIME:
		return "saves-time";
	case SPILL_NO_UPSTREAM:
		return "no-upstream";
	}
	return "none";
}
