#include "node/leaving.h"

#include <stdlib.h>
#include <string.h>

#include "control/departures/departures.h"
#include "node/gates.h"
#include "node/listeners.h"
#include "platform/platform.h"

#define WAITING_MAX 64
/* An announcement counts as acknowledged if that takes less than a second. */
#define WAIT_US (900 * USEC_PER_MSEC)
#define STATUS_OK 200
#define STATUS_UNAVAILABLE 503

/* An announcement that is answered once its leave is kept. */
struct waiting {
	uint64_t exchange;
	uint64_t ticket;
	int64_t until_us;
};

struct leaving {
	struct node *n;
	struct departures *departures;
	struct upstream_announcement held[UPSTREAMS_PER_HOST_MAX];
	size_t held_count;
	struct waiting waiting[WAITING_MAX];
	size_t waiting_count;
};

/* Applies the announcements that were held. */
static void release_held(struct leaving *l, int64_t now)
{
	size_t i, n = l->held_count;

	l->held_count = 0;
	for (i = 0; i < n; i++)
		gates_announce_platform(l->n, &l->held[i], now);
}

static void on_learnt(void *ctx, int64_t now)
{
	struct leaving *l = ctx;

	gates_apply_leaves(l->n, now);
	if (departures_known(l->departures))
		release_held(l, now);
}

static bool outlasts_process(const struct settings *s)
{
	return s->interface == INTERFACE_PLATFORM &&
	       s->store_kind != STORE_NONE;
}

struct leaving *leaving_new(struct node *n, int64_t now)
{
	struct departures_options o = {
		.store = outlasts_process(&n->settings) ? n->store : NULL,
		.members = n->members,
		.host = n->settings.host,
		.learnt = on_learnt};
	struct leaving *l = calloc(1, sizeof(*l));

	if (!l)
		return NULL;
	l->n = n;
	o.ctx = l;
	l->departures = departures_new(&o, now);
	if (l->departures)
		return l;
	free(l);
	return NULL;
}

void leaving_free(struct leaving *l)
{
	if (!l)
		return;
	departures_free(l->departures);
	free(l);
}

void leaving_hear(struct leaving *l, const struct departure *list, size_t n,
		  int64_t now)
{
	departures_hear(l->departures, list, n, now);
}

void leaving_store_replaced(struct leaving *l, int64_t now)
{
	departures_store_replaced(l->departures, now);
}

uint64_t leaving_add(struct leaving *l, const char *instance,
		     int64_t started_ms, uint64_t sequence, int64_t now)
{
	struct departure d = {.instance = name_hash(instance),
			      .started_ms = started_ms,
			      .sequence = sequence};

	return departures_add(l->departures, &d, now);
}

bool leaving_covers(const struct leaving *l, const char *instance,
		    int64_t started_ms, uint64_t sequence)
{
	return departures_cover(l->departures, name_hash(instance), started_ms,
				sequence);
}

bool leaving_holds(struct leaving *l,
		   const struct upstream_announcement *announcement)
{
	int64_t start_ms =
		(int64_t)(l->n->incarnation / (uint64_t)USEC_PER_MSEC);
	size_t i = 0;

	/* No earlier process knew a process that started after this one. */
	if (departures_known(l->departures) ||
	    announcement->started_ms > start_ms)
		return false;
	while (i < l->held_count &&
	       strcmp(l->held[i].instance, announcement->instance) != 0)
		i++;
	if (i == UPSTREAMS_PER_HOST_MAX)
		return true;
	if (i == l->held_count)
		l->held_count++;
	else if (l->held[i].started_ms > announcement->started_ms ||
		 (l->held[i].started_ms == announcement->started_ms &&
		  l->held[i].sequence > announcement->sequence))
		return true;
	l->held[i] = *announcement;
	return true;
}

void leaving_acknowledge(struct leaving *l, uint64_t exchange, uint64_t ticket,
			 int64_t now)
{
	struct waiting w = {exchange, ticket, now + WAIT_US};

	if (departures_are_kept(l->departures, ticket))
		listeners_answer_announcement(l->n, exchange, STATUS_OK);
	else if (l->waiting_count == WAITING_MAX)
		listeners_answer_announcement(l->n, exchange,
					      STATUS_UNAVAILABLE);
	else
		l->waiting[l->waiting_count++] = w;
}

bool leaving_is_busy(const struct leaving *l)
{
	return l->waiting_count != 0;
}

static void log_answer(const struct waiting *w, bool kept, int64_t now)
{
	struct log_line line;

	log_start(&line, kept ? LOG_INFO : LOG_WARNING,
		  kept ? "leave-kept" : "leave-not-kept");
	log_int(&line, "took_ms",
		(now - w->until_us + WAIT_US) / USEC_PER_MSEC);
	log_emit(&line);
}

void leaving_tick(struct leaving *l, int64_t now)
{
	struct waiting w;
	size_t i = 0;
	bool kept;

	departures_tick(l->departures, now);
	while (i < l->waiting_count) {
		w = l->waiting[i];
		kept = departures_are_kept(l->departures, w.ticket);
		if (!kept && now < w.until_us) {
			i++;
			continue;
		}
		l->waiting[i] = l->waiting[--l->waiting_count];
		log_answer(&w, kept, now);
		listeners_answer_announcement(l->n, w.exchange,
					      kept ? STATUS_OK
						   : STATUS_UNAVAILABLE);
	}
}
