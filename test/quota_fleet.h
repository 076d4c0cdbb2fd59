/*
 * Simulates quota controllers of several nodes on one in-memory store, in
 * virtual time. Datagrams between them can be lost, duplicated or delayed.
 */
#ifndef TEST_QUOTA_FLEET_H
#define TEST_QUOTA_FLEET_H

#include <gsl/gsl_rng.h>

#include "control/control.h"
#include "policy/policy.h"
#include "store/store.h"

#define FLEET_MAX 24

struct fleet_options {
	size_t nodes;
	size_t data_centres;
	double rate;
	double burst;
	double demand_per_s; /* arrivals per second over all nodes */
	double skew;	     /* share of the arrivals that go to node 0 */
	double loss;	     /* share of datagrams lost */
	double duplicate;    /* share of datagrams sent twice */
	int64_t delay_us;    /* one way; each takes 1 to 2 times this */
	int64_t step_us;     /* of virtual time */
	int64_t hold_us;     /* see quota_options */
	uint32_t groups;     /* see quota_options */
	unsigned long seed;
};

struct fleet_node {
	struct quota *quota;
	struct store *store;
	struct addr addr;
	uint64_t incarnation;
	struct member_info info;
	bool paused;
	bool dead;
	size_t index;
};

struct fleet_waiting;
struct fleet_datagram;

struct fleet {
	struct fleet_options o;
	struct fleet_node nodes[FLEET_MAX];
	struct memory_store *memory;
	struct config *config;
	gsl_rng *rng;
	int64_t now;
	struct fleet_datagram *in_flight;
	struct fleet_waiting *waiting;
	size_t partitioned_data_centre; /* SIZE_MAX: none */
	uint64_t arrived, taken, refused, central_refused;
	struct bucket central_bucket;
	/* Reference bucket: negative only if rate or burst was exceeded. */
	double reference_rate;
	double reference_burst;
	double reference_level;
	double lowest_level;
	int64_t reference_us;
};

/* Stub of the member list: one node's view of the others. */
struct members {
	struct fleet *fleet;
	size_t node;
};

bool fleet_reachable(const struct fleet *f, size_t a, size_t b);
void fleet_open(struct fleet *f, const struct fleet_options *o);
void fleet_close(struct fleet *f);
void fleet_run(struct fleet *f, int64_t us);
void fleet_set_rate(struct fleet *f, double rate, double burst);
void fleet_restart(struct fleet *f, size_t node);
void fleet_kill(struct fleet *f, size_t node);
void fleet_restore_store(struct fleet *f, int64_t era);
void fleet_store_faults(struct fleet *f, const struct store_faults *faults);
/* Resets the counts, so that a later phase is checked by itself. */
void fleet_reset_counts(struct fleet *f);

#endif
