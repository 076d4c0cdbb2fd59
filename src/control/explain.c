#include "control/control.h"

#include <stdlib.h>
#include <string.h>

struct explain {
	struct decision *ring;
	uint32_t size;
	uint64_t added; /* since the start */
};

/* Makes a ring of so many decisions; NULL when memory is short. */
struct explain *explain_new(uint32_t ring_size)
{
	struct explain *e = calloc(1, sizeof(*e));

	if (!e)
		return NULL;
	e->size = ring_size;
	e->ring = calloc(ring_size, sizeof(*e->ring));
	if (e->ring)
		return e;
	free(e);
	return NULL;
}

/* Frees the ring. */
void explain_free(struct explain *e)
{
	free(e->ring);
	free(e);
}

/* Returns the name of a decision, as logs and answers give it. */
const char *decision_name(enum decision_kind kind)
{
	switch (kind) {
	case DECISION_ADMITTED:
		return "admitted";
	case DECISION_REFUSED:
		return "refused";
	case DECISION_PLACED:
		return "placed";
	case DECISION_RETRIED:
		return "retried";
	case DECISION_QUEUED:
		return "queued";
	case DECISION_RUN:
		return "run";
	case DECISION_DROPPED:
		return "dropped";
	case DECISION_ANSWERED:
		return "answered";
	case DECISION_CANCELLED:
		return "cancelled";
	case DECISION_OBSERVED:
		return "observed";
	}
	return "unknown";
}

static void log_decision(const struct decision *d)
{
	struct log_line line;

	log_start(&line, LOG_INFO, decision_name(d->kind));
	log_str(&line, "request", d->request);
	if (strcmp(d->request, d->root))
		log_str(&line, "root", d->root);
	log_str(&line, "account", d->account);
	log_str(&line, "route", d->route);
	log_str(&line, "service", d->service);
	if (d->peer[0])
		log_str(&line, "peer", d->peer);
	if (d->reason != REASON_NONE)
		log_str(&line, "reason", reason_code(d->reason));
	if (d->status)
		log_int(&line, "status", d->status);
	if (d->attempt)
		log_int(&line, "attempt", d->attempt);
	log_int(&line, "took_us", d->took_us);
	log_emit(&line);
}

/* Records and logs one decision; the oldest one makes room. */
void explain_add(struct explain *e, const struct decision *d)
{
	e->ring[e->added++ % e->size] = *d;
	if (log_enabled(LOG_INFO))
		log_decision(d);
}
