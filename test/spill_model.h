/*
 * A model of one service in three data centres in virtual time: entries that
 * place calls by one of three ways, real gates, and upstreams with exponential
 * service times. An entry takes the state of an upstream at most three times a
 * second, as in a deployment where many entries share the upstreams.
 */
#ifndef SPILL_MODEL_H
#define SPILL_MODEL_H

#include "policy/spill.h"

#define MODEL_DATA_CENTRES 3
#define MODEL_UPSTREAMS 4 /* of a data centre */
#define MODEL_ENTRIES 6	  /* of a data centre */
#define MODEL_SLOTS 20
#define MODEL_SERVICE_US (60 * USEC_PER_MSEC)
/* Calls a second that the upstreams of a data centre can run. */
#define MODEL_CAPACITY                                                  \
	((double)MODEL_UPSTREAMS * MODEL_SLOTS * (double)USEC_PER_SEC / \
	 MODEL_SERVICE_US)
#define MODEL_PHASES_MAX 4
#define MODEL_SECONDS_MAX 60
#define MODEL_SMALL_BYTES 5000

enum model_way {
	MODEL_LOCALITY, /* balance_pick alone: own data centre, overflow */
	MODEL_WEIGHTED, /* lowest latency plus cost, over all data centres */
	MODEL_SPILL,	/* fractions by load, then balance_pick */
};

/* What holds from a time on, for each data centre. */
struct model_phase {
	int64_t from_us;
	double demand[MODEL_DATA_CENTRES];	/* of MODEL_CAPACITY */
	uint32_t upstreams[MODEL_DATA_CENTRES]; /* present */
	bool cut_off[MODEL_DATA_CENTRES];
};

struct model_options {
	enum model_way way;
	struct spill_cost cost;
	struct model_phase phases[MODEL_PHASES_MAX];
	size_t phase_count;
	uint32_t seconds;
	double service_us[MODEL_DATA_CENTRES]; /* 0: MODEL_SERVICE_US */
	double large_share;		       /* of the calls */
	double large_bytes;
	uint64_t seed;
};

/* Figures of one second, by the data centre of the callers. */
struct model_second {
	uint32_t calls[MODEL_DATA_CENTRES];
	uint32_t in_time[MODEL_DATA_CENTRES]; /* within the target latency */
	uint32_t failed[MODEL_DATA_CENTRES];  /* refused or lost */
	uint32_t class_calls[SHED_CLASSES];
	uint32_t class_in_time[SHED_CLASSES];
	uint32_t class_crossed[SHED_CLASSES]; /* attempts */
	uint32_t crossed[MODEL_DATA_CENTRES]; /* attempts */
	uint32_t large_crossed[MODEL_DATA_CENTRES];
	double crossed_bytes[MODEL_DATA_CENTRES];
	double latency_us[MODEL_DATA_CENTRES];	 /* sum of the answered */
	double queue_max_us[MODEL_DATA_CENTRES]; /* at the upstreams there */
	uint32_t by_reason[SPILL_REASONS];
};

struct model_result {
	struct model_second seconds[MODEL_SECONDS_MAX];
};

/* Runs the model once; returns -1 when out of memory. */
int spill_model_run(const struct model_options *o, struct model_result *r);
/* Sums seconds from up to before to. */
void spill_model_sum(const struct model_result *r, uint32_t from, uint32_t to,
		     struct model_second *sum);

#endif
