/*
 * Poison requests: requests that crash the upstreams that run them. Upstreams
 * end for other reasons too, so a request is refused only when several ended
 * under it and none of its runs ended well since. No I/O, no clock reads; now
 * is a monotonic time in microseconds.
 */
#ifndef POLICY_POISON_H
#define POLICY_POISON_H

#include "wire/wire.h"

/* Upstreams that have to end under a request before it is refused. */
#define POISON_ENDS 3

#define FINGERPRINT_TEXT_SIZE 33

void fingerprint_format(const struct fingerprint *id,
			char text[FINGERPRINT_TEXT_SIZE]);
/* Returns -1 unless text is the output of fingerprint_format. */
int fingerprint_parse(struct fingerprint *id, const char *text);

struct poison_entry {
	struct poison_facts facts;
	int64_t changed_us;
	int64_t refused_us; /* since when it is refused; 0: it is not */
	int64_t trial_us; /* when it may run once more, as of the last check */
	uint64_t judged_changes; /* up to which change trial_us is right */
	uint64_t refused;	 /* requests, on this node */
	bool unsent;		 /* peers have to be told of a change */
};

enum poison_verdict {
	POISON_NONE,
	POISON_SUSPECT, /* run it, but not again if its upstream ends */
	POISON_REFUSED,
	POISON_TRIAL_DUE, /* one node may run it once: see poison_begin_trial */
};

struct poison;

/* Holds max entries at most; NULL when out of memory. */
struct poison *poison_new(uint32_t max);
void poison_free(struct poison *p);
uint32_t poison_count(const struct poison *p);
/*
 * An upstream ended while it ran the request. Returns false if that is known
 * already, or proves nothing: its runs were ending well until now.
 */
bool poison_add_end(struct poison *p, const struct fingerprint *id,
		    const char *service, uint64_t incarnation, int64_t now);
/* A run ended well. Returns whether that clears the request of evidence. */
bool poison_run_ended_well(struct poison *p, const struct fingerprint *id,
			   int64_t now);
/* An operator lifts the refusal. Returns false if nothing was known. */
bool poison_clear(struct poison *p, const struct fingerprint *id, int64_t now);
/* Takes over what a peer knows. Returns whether that changed anything. */
bool poison_merge(struct poison *p, const struct poison_facts *facts,
		  int64_t now);
enum poison_verdict poison_check(struct poison *p, const struct fingerprint *id,
				 int64_t now);
/* Records that the request runs once more; only once in an epoch. */
void poison_begin_trial(struct poison *p, const struct fingerprint *id,
			int64_t now);
struct poison_entry *poison_find(const struct poison *p,
				 const struct fingerprint *id);
/* Iterates over the entries; from NULL on. */
struct poison_entry *poison_next(const struct poison *p,
				 const struct poison_entry *after);
/* Forgets old entries; to be called now and then. */
void poison_expire(struct poison *p, int64_t now);

#endif
