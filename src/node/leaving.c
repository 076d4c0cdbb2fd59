#include "node/leaving.h"

#include <stdlib.h>
#include <string.h>

#include "control/departures/departures.h"
#include "node/gates.h"
#include "node/health_check.h"
#include "node/listeners.h"
#include "platform/platform.h"

#define WAITING_MAX 64
/* An announcement counts as acknowledged if that takes less than a second. */
#define WAIT_US (900 * USEC_PER_MSEC)
/* No announcement takes longer to arrive. */
#define LATE_US (5 * USEC_PER_SEC)
#define CHECK_PERIOD_US (300 * USEC_PER_MSEC) /* after one without success */
#define STATUS_OK 200
#define STATUS_UNAVAILABLE 503

/* An announcement that is answered once its leave is kept. */
struct waiting {
	struct announcement_exchange exchange;
	uint64_t ticket;
	int64_t until_us;
};

/* An announcement that may be older than a leave. */
struct held {
	struct upstream_announcement announcement;
	struct health_check *check;
	int64_t check_due_us;
};

struct leaving {
	struct node *n;
	struct departures *departures;
	int64_t started_us;
	struct held held[UPSTREAMS_PER_HOST_MAX];
	size_t held_count;
	struct waiting waiting[WAITING_MAX];
	size_t waiting_count;
};

static void drop_held(struct leaving *l, size_t i)
{
	health_check_free(l->held[i].check);
	l->held[i] = l->held[--l->held_count];
}

/* Applies a held announcement, which may be held again. */
static void release(struct leaving *l, size_t i, int64_t now)
{
	struct upstream_announcement announcement = l->held[i].announcement;

	drop_held(l, i);
	gates_announce_platform(l->n, &announcement, now);
}

/* Applies the announcements that were held. */
static void release_held(struct leaving *l, int64_t now)
{
	size_t n = l->held_count;

	while (n--)
		release(l, 0, now);
}

/* Asks the upstream itself; NULL if it can't be asked yet. */
static struct health_check *
start_check(struct leaving *l, const struct upstream_announcement *announcement,
	    int64_t now)
{
	const struct service *s =
		l->n->config ? config_service(l->n->config,
					      announcement->info.service)
			     : NULL;
	struct health_check_options o = {.net = l->n->net,
					 .headers = l->n->headers,
					 .addr = &announcement->info.addr,
					 .instance = announcement->instance};

	if (!s || !s->health_path[0] || !o.headers->answering)
		return NULL;
	o.path = s->health_path;
	return health_check_start(&o, now);
}

/*
 * An upstream that is leaving does not call itself healthy: what says so now has
 * announced nothing else before.
 */
static void check_held(struct leaving *l, size_t i, int64_t now)
{
	struct held *h = &l->held[i];
	enum health_result result;

	if (!h->check) {
		if (departures_known(l->departures) && now >= h->check_due_us)
			h->check = start_check(l, &h->announcement, now);
		return;
	}
	result = health_check_result(h->check);
	if (result == HEALTH_PENDING)
		return;
	health_check_free(h->check);
	h->check = NULL;
	h->check_due_us = now + CHECK_PERIOD_US;
	if (result != HEALTH_GOOD)
		return;
	h->announcement.current = true;
	release(l, i, now);
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
	l->started_us = now;
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
	while (l->held_count)
		health_check_free(l->held[--l->held_count].check);
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

/* Returns the place of the announcement that is held of an instance. */
static size_t find_held(const struct leaving *l, const char *instance)
{
	size_t i = 0;

	while (i < l->held_count &&
	       strcmp(l->held[i].announcement.instance, instance) != 0)
		i++;
	return i;
}

static bool is_newer(const struct upstream_announcement *a,
		     const struct upstream_announcement *b)
{
	return a->started_ms != b->started_ms ? a->started_ms > b->started_ms
					      : a->sequence > b->sequence;
}

/*
 * Whether an announcement was sent since the start of this process. If its
 * sender does not follow to the address that it is told, that is so once none
 * from before can still arrive, and it goes on announcing itself.
 */
static bool
was_sent_since_start(const struct leaving *l,
		     const struct upstream_announcement *announcement,
		     int64_t now)
{
	size_t i = find_held(l, announcement->instance);

	return announcement->current ||
	       (now - l->started_us >= LATE_US && i < l->held_count &&
		is_newer(announcement, &l->held[i].announcement));
}

bool leaving_is_uncertain(const struct leaving *l)
{
	return !departures_certain(l->departures);
}

static void log_held(const struct upstream_announcement *announcement)
{
	struct log_line line;

	log_start(&line, LOG_INFO, "announcement-held");
	log_str(&line, "instance", announcement->instance);
	log_int(&line, "born_ms", announcement->started_ms);
	log_int(&line, "sequence", (int64_t)announcement->sequence);
	log_emit(&line);
}

bool leaving_holds(struct leaving *l,
		   const struct upstream_announcement *announcement,
		   int64_t now)
{
	int64_t start_ms =
		(int64_t)(l->n->incarnation / (uint64_t)USEC_PER_MSEC);
	size_t i = find_held(l, announcement->instance);

	/* No earlier process knew a process that started after this one. */
	if (departures_certain(l->departures) ||
	    announcement->started_ms > start_ms)
		return false;
	if (departures_known(l->departures) &&
	    was_sent_since_start(l, announcement, now)) {
		if (i < l->held_count)
			drop_held(l, i);
		return false;
	}
	if (i == UPSTREAMS_PER_HOST_MAX)
		return true;
	if (i == l->held_count)
		l->held[l->held_count++] = (struct held){0};
	else if (!is_newer(announcement, &l->held[i].announcement))
		return true;
	l->held[i].announcement = *announcement;
	log_held(announcement);
	return true;
}

void leaving_acknowledge(struct leaving *l,
			 const struct announcement_exchange *exchange,
			 uint64_t ticket, int64_t now)
{
	struct waiting w = {*exchange, ticket, now + WAIT_US};

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
	for (i = l->held_count; i; i--)
		check_held(l, i - 1, now);
	while (i < l->waiting_count) {
		w = l->waiting[i];
		kept = departures_are_kept(l->departures, w.ticket);
		if (!kept && now < w.until_us) {
			i++;
			continue;
		}
		l->waiting[i] = l->waiting[--l->waiting_count];
		log_answer(&w, kept, now);
		listeners_answer_announcement(l->n, &w.exchange,
					      kept ? STATUS_OK
						   : STATUS_UNAVAILABLE);
	}
}
