/* The departures of this host, and which of them outlast its process. */
#include "control/departures/departures_impl.h"

#include <stdlib.h>
#include <string.h>

/* How long an announcement of a process that left may still be on its way. */
#define KEEP_US (600 * USEC_PER_SEC)
#define ASK_PERIOD_US (100 * USEC_PER_MSEC)
/* The store alone is enough if no guardian confirms for this long. */
#define STORE_ALONE_US (200 * USEC_PER_MSEC)
#define WITNESS_PERIOD_US (50 * USEC_PER_MSEC)
/* Those that have not answered by then are not asked again. */
#define WITNESS_WAIT_US (10 * USEC_PER_SEC)
/* Longest wait at the start for both the store and a member. */
#define START_WAIT_US (2 * USEC_PER_SEC)

struct departures *departures_new(const struct departures_options *o,
				  int64_t now)
{
	struct departures *d = calloc(1, sizeof(*d));

	if (!d)
		return NULL;
	d->o = *o;
	d->started_us = now;
	d->read_due = o->store != NULL;
	d->known = !o->store;
	d->certain = !o->store;
	departures_store_init(d);
	return d;
}

void departures_free(struct departures *d)
{
	free(d);
}

static bool is_covered(const struct departure *by, uint64_t instance,
		       int64_t started_ms, uint64_t sequence)
{
	if (by->instance != instance)
		return false;
	return started_ms != by->started_ms ? started_ms < by->started_ms
					    : sequence <= by->sequence;
}

static struct kept_departure *find_instance(struct departures *d,
					    uint64_t instance)
{
	size_t i;

	for (i = 0; i < d->n; i++)
		if (d->items[i].departure.instance == instance)
			return &d->items[i];
	return NULL;
}

/* Returns a free place, or that of the oldest departure. */
static struct kept_departure *new_item(struct departures *d)
{
	struct kept_departure *oldest = &d->items[0];
	size_t i;

	if (d->n < DEPARTURES_MAX)
		return &d->items[d->n++];
	for (i = 1; i < d->n; i++)
		if (d->items[i].added_us < oldest->added_us)
			oldest = &d->items[i];
	return oldest;
}

static void log_departure(const char *event, const struct departure *departure)
{
	struct log_line line;

	log_start(&line, LOG_NOTICE, event);
	log_int(&line, "instance_hash", (int64_t)departure->instance);
	log_int(&line, "born_ms", departure->started_ms);
	log_str(&line, "returns",
		departure->sequence == DEPARTED_FOR_GOOD ? "no" : "perhaps");
	log_emit(&line);
}

static void tell_members(struct departures *d, int64_t now)
{
	struct departure list[DEPARTURES_MAX];
	size_t i;

	for (i = 0; i < d->n; i++)
		list[i] = d->items[i].departure;
	d->told_version = members_set_departures(d->o.members, list, d->n, now);
	d->told_ticket = d->last_ticket;
}

/* Puts a departure into the table; NULL if the table covers it already. */
static struct kept_departure *
put(struct departures *d, const struct departure *departure, int64_t now)
{
	struct kept_departure *item = find_instance(d, departure->instance);

	if (item && is_covered(&item->departure, departure->instance,
			       departure->started_ms, departure->sequence))
		return NULL;
	if (!item)
		item = new_item(d);
	item->departure = *departure;
	item->added_us = now;
	item->ticket = ++d->last_ticket;
	d->changed_us = now;
	d->store_alone = false;
	return item;
}

uint64_t departures_add(struct departures *d, const struct departure *departure,
			int64_t now)
{
	struct kept_departure *item = put(d, departure, now);

	if (!item)
		return find_instance(d, departure->instance)->ticket;
	log_departure("departure", departure);
	tell_members(d, now);
	return item->ticket;
}

void departures_hear(struct departures *d, const struct departure *list,
		     size_t n, int64_t now)
{
	uint64_t before = d->last_ticket;

	for (; n--; list++)
		if (put(d, list, now))
			log_departure("departure-adopted", list);
	if (d->last_ticket == before)
		return;
	tell_members(d, now);
	d->o.learnt(d->o.ctx, now);
}

bool departures_are_kept(const struct departures *d, uint64_t ticket)
{
	return !d->o.store || ticket <= d->confirmed_ticket ||
	       (d->store_alone && ticket <= d->stored_ticket);
}

bool departures_cover(const struct departures *d, uint64_t instance,
		      int64_t started_ms, uint64_t sequence)
{
	size_t i;

	for (i = 0; i < d->n; i++)
		if (is_covered(&d->items[i].departure, instance, started_ms,
			       sequence))
			return true;
	return false;
}

bool departures_known(const struct departures *d)
{
	return d->known;
}

bool departures_certain(const struct departures *d)
{
	return d->certain;
}

void departures_store_replaced(struct departures *d, int64_t now)
{
	d->read_due = d->o.store != NULL;
	d->next_us = now;
}

static void expire(struct departures *d, int64_t now)
{
	size_t i = 0, before = d->n;

	while (i < d->n)
		if (now - d->items[i].added_us >= KEEP_US)
			d->items[i] = d->items[--d->n];
		else
			i++;
	if (d->n != before)
		tell_members(d, now);
}

/*
 * Has the guardians keep the departures, as the store may be out, or come back
 * from an older copy.
 */
static void ask_members(struct departures *d, int64_t now)
{
	if (d->confirmed_ticket >= d->last_ticket)
		return;
	if (members_confirmed_version(d->o.members) >= d->told_version)
		d->confirmed_ticket = d->told_ticket;
	if (!members_guardian_count(d->o.members) ||
	    now - d->changed_us >= STORE_ALONE_US)
		d->store_alone = true;
	if (departures_are_kept(d, d->last_ticket) || now < d->ask_due_us)
		return;
	d->ask_due_us = now + ASK_PERIOD_US;
	members_ask_confirmation(d->o.members);
}

/*
 * The store may have been out when an earlier process acknowledged, or may be
 * out now; after a while one of the two has to do.
 */
static void check_known(struct departures *d, int64_t now)
{
	bool answered = members_have_answered(d->o.members);

	if (d->known || (!answered && !d->was_read))
		return;
	if (!(answered && d->was_read) && now - d->started_us < START_WAIT_US)
		return;
	d->known = true;
	d->o.learnt(d->o.ctx, now);
}

/*
 * An earlier process may have acknowledged what only its guardians keep, and
 * all of these may have ended with it.
 */
static void check_certain(struct departures *d, int64_t now)
{
	struct log_line line;

	if (d->certain || !d->known)
		return;
	if (members_have_witnesses(d->o.members)) {
		d->certain = true;
		log_start(&line, LOG_INFO, "departures-certain");
		log_int(&line, "after_ms",
			(now - d->started_us) / USEC_PER_MSEC);
		log_emit(&line);
		d->o.learnt(d->o.ctx, now);
	} else if (now >= d->witness_due_us &&
		   now - d->started_us < WITNESS_WAIT_US) {
		d->witness_due_us = now + WITNESS_PERIOD_US;
		members_ask_witnesses(d->o.members);
	}
}

void departures_tick(struct departures *d, int64_t now)
{
	expire(d, now);
	departures_store_tick(d, now);
	if (d->last_ticket)
		ask_members(d, now);
	check_known(d, now);
	check_certain(d, now);
}
