/*
 * Simulates a trace of arrivals with the policy code: entries with their
 * cutoffs, then one gate for each upstream of a chain of services. Time is
 * virtual; an upstream is a number of slots with exponential service times.
 * The model covers a single chain and no network faults.
 */
#ifndef REPLAY_MODEL_H
#define REPLAY_MODEL_H

#include "policy/policy.h"

#define REPLAY_HOPS_MAX 16
#define REPLAY_ACCOUNTS_MAX 16
#define REPLAY_PHASES_MAX 8
#define REPLAY_BINS_MAX 1000
#define REPLAY_BIN_US (100 * USEC_PER_MSEC)

struct replay_hop {
	char service[NAME_SIZE];
	uint32_t upstreams;
	uint32_t slots;	   /* of each upstream */
	double service_us; /* mean, without sub-calls */
};

struct replay_account {
	uint32_t weight;
	double share; /* of the roots, relative to the sum */
	double surge; /* factor on its share from surge_from_us on */
};

struct replay_phase {
	int64_t from_us;
	double demand; /* relative to the bottleneck's capacity */
};

struct replay_trace {
	char name[NAME_SIZE];
	struct replay_hop hops[REPLAY_HOPS_MAX];
	size_t hop_count;
	struct replay_account accounts[REPLAY_ACCOUNTS_MAX];
	size_t account_count;
	struct replay_phase phases[REPLAY_PHASES_MAX];
	size_t phase_count;
	double classes[SHED_CLASSES]; /* share of the roots */
	uint32_t data_centres;
	uint32_t entries;
	int64_t client_delay_us; /* one way */
	int64_t local_delay_us;	 /* one way inside a data centre */
	int64_t remote_delay_us; /* one way between data centres */
	int64_t deadline_us;
	int64_t length_us;
	int64_t measured_from_us;
	int64_t surge_from_us;
	uint32_t client_retries;
	int64_t slow_from_us; /* of the last service */
	int64_t slow_to_us;
	double slow_factor;
	double fail_share; /* of executions that fail at once */
	uint8_t allowance;
	/* All upstreams start cold at time 0, for cold_us; 0: they are warm. */
	int64_t cold_us;
	double cold_per_s;
	int64_t cold_stagger_us; /* between two upstreams of a service */
	int64_t restart_us;	 /* of an upstream that crashed */
	bool cold_unlimited;	 /* gates and callers know nothing of it */
	double speed_spread;	 /* of the upstreams of a service; 0: none */
	uint64_t seed;
};

struct replay_result {
	double capacity_s;
	uint64_t offered; /* roots, client retries among them */
	uint64_t good;	  /* answered in full before the deadline */
	uint64_t refused;
	uint64_t timed_out;
	uint64_t class_offered[SHED_CLASSES];
	uint64_t class_good[SHED_CLASSES];
	uint64_t account_offered[REPLAY_ACCOUNTS_MAX][SHED_CLASSES];
	uint64_t account_good[REPLAY_ACCOUNTS_MAX];
	double account_ideal[REPLAY_ACCOUNTS_MAX]; /* fair share, a second */
	uint64_t runs;				   /* upstream executions */
	uint64_t wasted;		 /* runs for roots that failed */
	uint32_t retries_max;		 /* of any one root */
	uint32_t attempts_max;		 /* of any one hop call */
	uint64_t refusals[REASON_COUNT]; /* by the last service's gates */
	uint64_t refused_by_hop[REPLAY_HOPS_MAX + 1]; /* entry first */
	uint64_t shed_by_caller[REPLAY_HOPS_MAX];
	uint32_t crashes;
	size_t cold_most; /* starts in a second of one cold upstream */
	uint64_t cold_refused_by_hop[REPLAY_HOPS_MAX];
	double measured_s;
	double recovery_s;		/* 0 without a slow-down; -1 never */
	uint32_t bins[REPLAY_BINS_MAX]; /* good roots per bin */
};

int replay_load(struct replay_trace *t, const char *path, struct error *err);
int replay_run(const struct replay_trace *t, enum overload_mode mode,
	       uint64_t seed, struct replay_result *r);

/* Capacity of the bottleneck service, in calls a second. */
double replay_capacity(const struct replay_trace *t);
/* Computes recovery and fair shares from the counts. */
void replay_finish(const struct replay_trace *t, struct replay_result *r);
/* Over the measured part of the trace. */
double replay_goodput_ratio(const struct replay_result *r);
double replay_worst_share(const struct replay_trace *t,
			  const struct replay_result *r);

#endif
