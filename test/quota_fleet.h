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

#define FLEET_MAX 88
#define FLEET_ACCOUNTS_MAX 84
#define FLEET_ALL SIZE_MAX /* all data centres */

struct fleet_account {
	char name[NAME_SIZE];
	double rate;
	double burst;
	double demand_per_s;
	size_t data_centre; /* of the callers; FLEET_ALL: all of them */
	uint64_t arrived, taken, central_taken;
	/* Granted by one bucket for all nodes, with the same arrivals. */
	struct bucket central_bucket;
	/* Reference bucket: negative only if rate or burst was exceeded. */
	double reference_level;
	int64_t reference_us;
};

struct fleet_options {
	size_t nodes;
	size_t data_centres;
	double rate;
	double burst;
	double demand_per_s; /* arrivals per second over all nodes */
	/* Copied; NULL: one account with rate, burst and demand_per_s. */
	const struct fleet_account *accounts;
	size_t account_count;
	double skew;	      /* share of the arrivals that go to node 0 */
	double loss;	      /* share of datagrams lost */
	double duplicate;     /* share of datagrams sent twice */
	int64_t delay_us;     /* one way; each takes 1 to 2 times this */
	int64_t crossing_us;  /* added between data centres */
	int64_t detection_us; /* time until a killed node is seen as dead */
	int64_t step_us;      /* of virtual time */
	int64_t hold_us;      /* see quota_options */
	uint32_t groups;      /* see quota_options */
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
	int64_t killed_us;
	size_t index;
	uint64_t datagrams; /* sent */
};

struct fleet_waiting;
struct fleet_datagram;

struct fleet;

/* One node's view of the others; see fleet_members.h. */
struct members {
	struct fleet *fleet;
	size_t node;
	int64_t counted_us;
	size_t count;
};

struct fleet {
	struct fleet_options o;
	struct fleet_node nodes[FLEET_MAX];
	struct members views[FLEET_MAX];
	struct memory_store *memory;
	struct config *config;
	gsl_rng *rng;
	int64_t now;
	struct fleet_datagram *in_flight;
	struct fleet_waiting *waiting;
	size_t partitioned_data_centre; /* SIZE_MAX: none */
	uint64_t arrived, taken, refused, central_refused;
	struct fleet_account accounts[FLEET_ACCOUNTS_MAX];
	size_t account_count;
	double lowest_level; /* of any account's reference bucket */
};

/* A request of the account arrives at the node. */
void fleet_arrive(struct fleet *f, struct fleet_account *a, size_t node);
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
