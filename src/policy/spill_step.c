#include "policy/spill_impl.h"

#include <math.h>

/* A raise shows in the reports of the destination only after this time. */
#define RAISE_US (400 * USEC_PER_MSEC)
/* Largest change of a fraction in one step. */
#define STEP_UP 0.15
#define STEP_DOWN 0.15
/* Part of the distance to the wanted fraction that a step down goes. */
#define FALL_GAIN 0.5
/* Of the room of a destination, for the callers of one data centre. */
#define ROOM_PART 0.5
/* Of that part, for calls that a gate refused, until the fraction has risen. */
#define REFUSED_PART 0.5
#define FRACTION_MIN 0.005 /* smaller ones become 0 */
/*
 * Calls over slots. Gates of the platform use 15 of 16 slots, so a data centre
 * at LOAD_HIGH is nearly full. A destination is filled to less than what ends
 * spilling at its origin, so that two full ones exchange nothing.
 */
#define LOAD_HIGH 0.9
#define LOAD_AIM 0.85
#define LOAD_LOW 0.8
#define DESTINATION_FULL 0.8
#define DESTINATION_OVERFULL 0.85
#define LOAD_GAIN 0.5  /* weight of a step in the load */
#define SAVED_GAIN 0.3 /* weight of a step in the time saved */
/* Steps in a row that find the own data centre full, before calls cross. */
#define FULL_STEPS 2
/* Upstreams with fresh reports that tell the load, if less than half. */
#define REPORTED_MIN 3
/* Steps without a usable upstream after which a destination is removed. */
#define UNSEEN_STEPS 3
/* After a longer pause without calls the fractions start from 0. */
#define IDLE_US (5 * USEC_PER_SEC)
#define RATE_WINDOW_US USEC_PER_SEC
/* Growth of the calls after which the fractions are scaled down. */
#define RATE_GROWTH 1.3
#define PROBE_US (250 * USEC_PER_MSEC)
/* Calls without a fresh report after which a fraction falls. */
#define UNANSWERED_MAX 3

/* Returns the fraction of the calls that cross, over all destinations. */
double spill_fraction(const struct spill *s)
{
	double sum = 0;
	size_t i;

	for (i = 0; i < s->count; i++)
		sum += s->to[i].fraction;
	return sum < 1 ? sum : 1;
}

double spill_eligible_rate(const struct spill *s)
{
	double sum = 0;
	int i;

	for (i = 0; i < SHED_CLASSES; i++)
		sum += s->eligible_s[i];
	return sum;
}

/* Returns the share of all calls that the fractions let cross. */
static double crossing_share(const struct spill *s)
{
	double eligible = spill_eligible_rate(s);

	if (s->calls_s <= 0 || eligible <= 0)
		return 0;
	return clamp(spill_fraction(s) * eligible / s->calls_s, 0, 0.99);
}

static void update_rates(struct spill *s, int64_t dt)
{
	double gain = clamp((double)dt / RATE_WINDOW_US, 0, 1);
	double per_s = (double)USEC_PER_SEC / (double)dt;
	int i;

	s->calls_s += (s->calls * per_s - s->calls_s) * gain;
	s->calls = 0;
	for (i = 0; i < SHED_CLASSES; i++) {
		s->eligible_s[i] +=
			(s->eligible[i] * per_s - s->eligible_s[i]) * gain;
		s->eligible[i] = 0;
	}
}

/*
 * Scales the fractions down when many more calls may cross than before: the
 * destinations have room for a number of calls, not for a fraction.
 */
static void bound_growth(struct spill *s)
{
	double rate = spill_eligible_rate(s);
	size_t i;

	if (s->reference_s > 0 && rate > s->reference_s * RATE_GROWTH) {
		for (i = 0; i < s->count; i++)
			s->to[i].fraction *= s->reference_s / rate;
		s->reference_s = rate;
	}
	if (rate < s->reference_s || s->reference_s <= 0)
		s->reference_s = rate;
}

static struct spill_destination *destination(struct spill *s, uint64_t id)
{
	size_t i;

	for (i = 0; i < s->count; i++)
		if (s->to[i].data_centre == id)
			return &s->to[i];
	if (s->count == SPILL_DATA_CENTRES_MAX)
		return NULL;
	s->to[s->count] = (struct spill_destination){.data_centre = id,
						     .probe_wait_us = PROBE_US};
	return &s->to[s->count++];
}

/*
 * Removes destinations without a usable upstream. A link counts as suspect for
 * as long as a ping is under way, so a destination of one host may be without
 * one for a moment.
 */
static void remove_unseen(struct spill *s)
{
	size_t i = 0;

	while (i < s->count)
		if (s->to[i].unseen <= UNSEEN_STEPS)
			i++;
		else
			s->to[i] = s->to[--s->count];
}

/*
 * Returns the time that a call saves by crossing, in microseconds. The wait in
 * the own data centre is that of all its callers' calls if none crossed, so
 * the saving does not vanish once enough of them do.
 */
static double saved_us(const struct spill *s, const struct view *own,
		       const struct view *other)
{
	double load = s->load / (1 - crossing_share(s));
	double wait = load > LOAD_AIM ? (load - LOAD_AIM) * own->service_us : 0;
	double here = spill_view_time_us(own, s->target_us) + wait;

	if (other->slots <= 0)
		return here - own->service_us - CROSSING_US;
	return here - spill_view_time_us(other, s->target_us);
}

/*
 * Returns this entry's part of the room of a destination, in slots, by its
 * share of the calls in the own data centre.
 */
static double room_part(const struct spill *s, const struct view *own,
			const struct view *other)
{
	double room = other->slots * DESTINATION_FULL - other->calls;
	double mine = s->calls_s * (1 - crossing_share(s)) * own->service_us /
		      USEC_PER_SEC;
	double share = own->calls > 0 ? clamp(mine / own->calls, 0, 1) : 1;

	return room > 0 ? room * ROOM_PART * share : 0;
}

/* Returns by how much the fraction to a destination may rise. */
static double room_for(const struct spill *s, const struct view *own,
		       const struct view *other)
{
	double per_fraction =
		spill_eligible_rate(s) * other->service_us / USEC_PER_SEC;

	return per_fraction > 0 ? room_part(s, own, other) / per_fraction : 0;
}

/* Returns the change of the fraction that brings the load to LOAD_AIM. */
static double wanted_change(const struct spill *s)
{
	double share = crossing_share(s), eligible = spill_eligible_rate(s);
	double wanted;

	if (s->load <= 0 || s->calls_s <= 0 || eligible <= 0)
		return -1;
	wanted = 1 - (1 - share) * LOAD_AIM / s->load;
	return (wanted - share) * s->calls_s / eligible;
}

/* Returns the shortest time that is worth a detour for some of the calls. */
double spill_detour_us(const struct spill *s)
{
	return s->target_low_us / DETOUR_DIVISOR;
}

/* Returns by how much a destination must fall in this step, or 0. */
static double fall_of(const struct spill *s, const struct spill_destination *d,
		      const struct view *other)
{
	double load = spill_view_load(other);

	if (!d->known)
		return d->unanswered >= UNANSWERED_MAX ? STEP_DOWN : 0;
	if (load > DESTINATION_OVERFULL)
		return clamp(d->fraction * (1 - DESTINATION_FULL / load), 0,
			     STEP_DOWN);
	if (d->reason == SPILL_SAVES_TIME &&
	    d->saves_us >= spill_detour_us(s) / 2)
		return 0;
	if (s->load < LOAD_LOW)
		return clamp(-wanted_change(s) * FALL_GAIN, 0, STEP_DOWN);
	return d->saved_us < -CROSSING_US ? STEP_DOWN : 0;
}

/* Raises the fraction of a destination; returns by how much. */
static double raise(struct spill *s, struct spill_destination *d,
		    const struct views *v, const struct view *other,
		    double wanted, int64_t now)
{
	bool by_time = s->load < LOAD_HIGH &&
		       (d->fraction <= 0 || d->reason == SPILL_SAVES_TIME) &&
		       d->saves_us >= spill_detour_us(s);
	double up;

	if (other->slots <= 0 || now - d->raised_us < RAISE_US ||
	    d->saved_us <= 0 || !(by_time || s->wants_room))
		return 0;
	if (by_time)
		wanted = STEP_UP;
	up = fmin(clamp(wanted, 0, STEP_UP), room_for(s, &v->own, other));
	up = fmin(up, 1 - spill_fraction(s));
	if (up <= 0)
		return 0;
	d->fraction += up;
	d->raised_us = now;
	d->reason = by_time ? SPILL_SAVES_TIME : SPILL_NO_ROOM;
	return up;
}

static void update_destinations(struct spill *s, const struct views *v)
{
	struct spill_destination *d;
	double saved, saves;
	size_t i;

	for (i = 0; i < s->count; i++) {
		s->to[i].unseen++;
		s->to[i].known = false;
	}
	for (i = 0; i < v->count; i++) {
		d = destination(s, v->other[i].data_centre);
		if (!d)
			continue;
		d->unseen = 0;
		d->known = v->other[i].slots > 0;
		if (d->known) {
			d->probe_wait_us = PROBE_US;
			d->unanswered = 0;
		}
		saved = saved_us(s, &v->own, &v->other[i]);
		d->saved_us += (saved - d->saved_us) * SAVED_GAIN;
		saves = d->known ? spill_run_time_us(&v->own, s->target_us) -
					   spill_view_time_us(&v->other[i],
							      s->target_us)
				 : 0;
		d->saves_us += (saves - d->saves_us) * SAVED_GAIN;
	}
	remove_unseen(s);
}

/* Lowers fractions; returns whether one was lowered. */
static bool lower(struct spill *s, const struct views *v)
{
	struct spill_destination *d;
	bool lowered = false;
	double down;
	size_t i;

	for (i = 0; i < v->count; i++) {
		d = destination(s, v->other[i].data_centre);
		if (!d || d->fraction <= 0)
			continue;
		down = fall_of(s, d, &v->other[i]);
		d->fraction -= fmin(down, d->fraction);
		lowered |= down > 0;
		if (d->fraction < FRACTION_MIN && down > 0)
			d->fraction = 0;
	}
	return lowered;
}

/* Raises fractions, that of the destination which saves most first. */
static void raise_all(struct spill *s, const struct views *v, int64_t now)
{
	bool done[SPILL_DATA_CENTRES_MAX] = {false};
	double wanted = wanted_change(s);
	struct spill_destination *d, *best;
	size_t round, i, at = 0;

	for (round = 0; round < v->count; round++) {
		best = NULL;
		for (i = 0; i < v->count; i++) {
			d = destination(s, v->other[i].data_centre);
			if (done[i] || !d ||
			    (best && d->saved_us <= best->saved_us))
				continue;
			best = d;
			at = i;
		}
		if (!best)
			return;
		done[at] = true;
		wanted -= raise(s, best, v, &v->other[at], wanted, now);
	}
}

/* Whether the reports are of more than one of several upstreams. */
static bool is_known_enough(const struct view *v)
{
	return v->reported * 2 >= v->usable || v->reported >= REPORTED_MIN;
}

/*
 * Smooths the load, unless several steps in a row found the data centre full:
 * then calls are refused there already.
 */
static void update_load(struct spill *s, const struct views *v)
{
	double load = spill_view_load(&v->own);

	s->full_steps = load >= LOAD_HIGH && is_known_enough(&v->own)
				? s->full_steps + 1
				: 0;
	s->load += (load - s->load) * LOAD_GAIN;
	if (s->full_steps >= FULL_STEPS && load > s->load)
		s->load = load;
	s->wants_room = s->full_steps >= FULL_STEPS;
	s->local_us = spill_view_time_us(&v->own, s->target_us);
	if (s->load > LOAD_AIM)
		s->local_us += (s->load - LOAD_AIM) * v->own.service_us;
}

/* Sets how many refused calls may cross until the next step. */
static void allow_refused(struct spill *s, const struct views *v)
{
	struct spill_destination *d;
	double slots;
	size_t i;

	for (i = 0; i < v->count; i++) {
		d = destination(s, v->other[i].data_centre);
		if (!d)
			continue;
		slots = room_part(s, &v->own, &v->other[i]) * REFUSED_PART;
		d->refused_left =
			d->known ? slots * STEP_US / v->other[i].service_us : 0;
	}
}

void spill_step(struct spill *s, const struct views *v, int64_t now)
{
	int64_t dt = now - s->stepped_us;
	size_t i;

	s->stepped_us = now;
	update_rates(s, dt);
	if (dt > IDLE_US)
		for (i = 0; i < s->count; i++)
			s->to[i].fraction = 0;
	update_load(s, v);
	bound_growth(s);
	update_destinations(s, v);
	if (!lower(s, v))
		raise_all(s, v, now);
	allow_refused(s, v);
}
