/*
 * Upstreams of this host that leave, across its processes: which announcements
 * they leave behind, and when their leave is acknowledged.
 */
#ifndef NODE_LEAVING_H
#define NODE_LEAVING_H

#include "node/node.h"

struct leaving;
struct announcement_exchange;
struct upstream_announcement;

/* Returns NULL when out of memory. */
struct leaving *leaving_new(struct node *n, int64_t now);
void leaving_free(struct leaving *l);
void leaving_tick(struct leaving *l, int64_t now); /* every 5 ms */
void leaving_hear(struct leaving *l, const struct departure *list, size_t n,
		  int64_t now);
void leaving_store_replaced(struct leaving *l, int64_t now);
/*
 * Records that a process leaves, as it announced with this sequence number.
 * Returns the ticket for leaving_acknowledge.
 */
uint64_t leaving_add(struct leaving *l, const char *instance,
		     int64_t started_ms, uint64_t sequence, int64_t now);
/* Whether a process had left when it sent this announcement, or later. */
bool leaving_covers(const struct leaving *l, const char *instance,
		    int64_t started_ms, uint64_t sequence);
/*
 * Holds an announcement until all leaves are known that earlier processes of
 * this node may have acknowledged, or a later one is known to have been sent
 * since the start of this process. Returns false if it need not wait.
 */
bool leaving_holds(struct leaving *l,
		   const struct upstream_announcement *announcement,
		   int64_t now);
/*
 * Whether announcements may be held, so that upstreams should send theirs to
 * the address of this process alone.
 */
bool leaving_is_uncertain(const struct leaving *l);
/*
 * Answers an announcement as soon as the leave that it told outlasts this
 * process, with an error if that takes too long. Ticket 0: at once.
 */
void leaving_acknowledge(struct leaving *l,
			 const struct announcement_exchange *exchange,
			 uint64_t ticket, int64_t now);
/* Whether announcements wait for their answer. */
bool leaving_is_busy(const struct leaving *l);

#endif
