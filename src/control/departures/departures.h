/*
 * Departures: upstreams of this host that have left, as acknowledged to them.
 * An acknowledgement binds the later processes of this host too, so it is given
 * only once most guardians keep the departure, or the store where these do not
 * answer.
 */
#ifndef CONTROL_DEPARTURES_DEPARTURES_H
#define CONTROL_DEPARTURES_DEPARTURES_H

#include "control/control.h"

struct departures;

struct departures_options {
	struct store *store; /* NULL: departures end with the process */
	struct members *members;
	const char *host; /* name of this host, unique among all */
	void *ctx;
	/* Departures of earlier processes were learnt, or are all known. */
	void (*learnt)(void *ctx, int64_t now);
};

/* Returns NULL when out of memory. */
struct departures *departures_new(const struct departures_options *o,
				  int64_t now);
/* The store must not deliver results to it afterwards. */
void departures_free(struct departures *d);
void departures_tick(struct departures *d, int64_t now); /* every 5 ms */
/*
 * Records a departure. Returns a ticket, which is above 0 and says when the
 * departure is kept elsewhere; see departures_are_kept.
 */
uint64_t departures_add(struct departures *d, const struct departure *departure,
			int64_t now);
/* Whether what the ticket stands for outlasts this process. */
bool departures_are_kept(const struct departures *d, uint64_t ticket);
/* Whether an announcement comes from a process from before its departure. */
bool departures_cover(const struct departures *d, uint64_t instance,
		      int64_t started_ms, uint64_t sequence);
/*
 * Whether the departures that earlier processes acknowledged are known, as far
 * as the store and the members have them.
 */
bool departures_known(const struct departures *d);
/* Whether these are all: if not, all that knew one may have ended together. */
bool departures_certain(const struct departures *d);
/* Takes over departures that members heard from an earlier process. */
void departures_hear(struct departures *d, const struct departure *list,
		     size_t n, int64_t now);
/* Writes them again: see store_on_replaced. */
void departures_store_replaced(struct departures *d, int64_t now);

#endif
