/*
 * Data centres that operators took out of service. The orders are keys in the
 * store, which the notes controller reads and watches together with the
 * configuration, and which its messages carry between nodes.
 */
#ifndef CONTROL_EVACUATIONS_H
#define CONTROL_EVACUATIONS_H

#include "base/base.h"
#include "store/store.h"
#include "wire/wire.h"

/* How an order came to this node. */
enum evacuation_path {
	EVACUATION_READ,
	EVACUATION_WATCH,
	EVACUATION_PEER,
};

struct evacuation {
	char data_centre[NAME_SIZE];
	uint64_t hash; /* of its name */
	int64_t learnt_us;
	enum evacuation_path path;
	bool in_force; /* as last logged */
};

/* The orders as of a revision of the store. */
struct evacuation_set {
	bool known; /* false: no complete read, own or of a peer, so far */
	int64_t era;
	int64_t revision;
	size_t n;
	struct evacuation items[EVACUATIONS_MAX];
};

/* Pure functions, in evacuation_set.c. */

/* Adds an order; -1 if the set is full or this can't be a data centre. */
int evacuation_set_add(struct evacuation_set *s, const char *data_centre,
		       int64_t learnt_us, enum evacuation_path path);
const struct evacuation *evacuation_set_find(const struct evacuation_set *s,
					     uint64_t hash);
/*
 * Replaces a set by one that takes precedence: that of the higher era, then of
 * the higher revision. An order in both keeps the time at which it was learnt.
 * Returns true if the set was replaced.
 */
bool evacuation_set_merge(struct evacuation_set *to,
			  const struct evacuation_set *from);
/*
 * Applies a change of one key, unless the set has a revision that includes it
 * or comes from another era. Returns true if the change was applied.
 */
bool evacuation_set_change(struct evacuation_set *s, int64_t era,
			   int64_t revision, const struct evacuation *order,
			   bool present);
/*
 * When an order that is age_us old, as far as is known, was made at the latest.
 * A node whose last proof of freshness (INT64_MIN: none) is older than a
 * connected one's may have missed it since then. No order is taken for older
 * than bound_us for that reason.
 */
int64_t evacuation_learnt_us(int64_t proof_us, int64_t age_us, int64_t bound_us,
			     int64_t now);

/* The state of one node. */
struct evacuations;

struct evacuations_options {
	const char *prefix; /* of the keys; a data centre's name follows */
	int64_t bound_us;   /* until no request reaches it; promised */
	void *ctx;
	/* Called when a data centre is back in service. */
	void (*ended)(void *ctx, const char *data_centre, int64_t now);
};

struct evacuations *evacuations_new(const struct evacuations_options *o);
void evacuations_free(struct evacuations *e);
/* Logs evacuations that are in force from now on. */
void evacuations_tick(struct evacuations *e, int64_t now);
const struct evacuation_set *evacuations_set(const struct evacuations *e);
int64_t evacuations_bound_us(const struct evacuations *e);
/* Adds an entry of the store to the result of a read, if it is an order. */
void evacuations_collect(const struct evacuations *e, struct evacuation_set *s,
			 const struct store_entry *entry, int64_t learnt_us);
/* These return true if orders were learnt or withdrawn. */
bool evacuations_merge(struct evacuations *e, const struct evacuation_set *s,
		       int64_t now);
bool evacuations_watched(struct evacuations *e, const struct store_entry *entry,
			 int64_t era, int64_t learnt_us, int64_t now);
bool evacuations_receive(struct evacuations *e,
			 const struct evacuations_info *info, int64_t proof_us,
			 int64_t now);
/* Writes the state for a message to a peer. */
void evacuations_report(const struct evacuations *e,
			struct evacuations_info *info, int64_t now);

#endif
