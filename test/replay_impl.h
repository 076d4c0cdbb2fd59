/* Internals of the replay model: roots, attempts, nodes. */
#ifndef REPLAY_IMPL_H
#define REPLAY_IMPL_H

#include <gsl/gsl_rng.h>

#include "replay_events.h"
#include "replay_model.h"

#define UPSTREAMS_MAX 64
#define NODES_MAX 128
#define STARTS_MAX 64

/* The caller's state of one call: its current attempt and retry budget. */
struct hop_call {
	uint64_t current; /* attempt, 0 none */
	uint8_t tries;
	uint8_t allowance; /* retries left */
	uint8_t lent;	   /* retries lent to the current attempt */
	uint8_t reroutes;
	uint32_t tried; /* bit per upstream */
	int64_t deadline_us;
};

struct root {
	enum shed_class cls;
	uint32_t account;
	uint32_t entry;
	uint16_t admit_hash;
	uint32_t client_tries;
	int64_t sent_us;
	uint32_t runs, retries;
	uint32_t refs; /* attempts */
	bool ended, good;
	struct hop_call hop_call;
};

/* One attempt at one gate; its handle is the id at the gate. */
struct attempt {
	uint64_t root;
	uint64_t parent; /* attempt, or 0 when the caller is the entry */
	uint32_t hop;
	uint32_t caller;   /* node */
	uint32_t upstream; /* of the hop */
	bool abandoned;	   /* its caller has given up */
	bool ok;
	bool started;
	enum outcome outcome;
	enum reason reason;
	double half_service_us;
	struct admission lowest_admission;
	int64_t sent_us;
	struct answer_head head;
	struct hop_call hop_call;
};

/* A node and its state about the hop that it calls. */
struct node {
	struct cutoffs *cutoffs;
	struct retry_ratio ratio;
	struct upstream_load loads[UPSTREAMS_MAX];
	struct gate *gate; /* NULL at an entry */
	uint32_t data_centre;
	int64_t down_until_us, cold_until_us;
	bool cold_known; /* the others know that it is cold */
	int64_t starts[STARTS_MAX];
	size_t start_count;
};

struct model {
	const struct replay_trace *t;
	enum overload_mode mode;
	struct replay_result *r;
	struct events events;
	struct table roots, attempts;
	struct node nodes[NODES_MAX];
	size_t node_count;
	uint32_t first_node[REPLAY_HOPS_MAX]; /* of each hop */
	uint32_t first_entry;
	gsl_rng *rng;
	uint64_t next_seed;
	int64_t now;
	int failed; /* out of memory */
};

/* replay_model.c */
void model_add_event(struct model *m, int64_t at, enum event_kind kind,
		     uint64_t handle, uint32_t value);
uint64_t model_account(uint32_t account);
uint64_t model_service(const struct model *m, uint32_t hop);
struct node *model_upstream(struct model *m, uint32_t hop, uint32_t u);

/* replay_calls.c */
void model_run_gate(struct model *m, uint32_t hop, uint32_t upstream);
void hop_call_send(struct model *m, uint64_t root_handle, uint64_t parent);
void hop_call_retry(struct model *m, uint64_t handle, bool of_attempt);
void hop_call_give_up(struct model *m, struct hop_call *hop_call);
void attempt_offer(struct model *m, uint64_t handle);
void attempt_sub_call(struct model *m, uint64_t handle);
void attempt_finish(struct model *m, uint64_t handle, enum outcome outcome,
		    enum reason reason, bool ok);
void attempt_answered(struct model *m, uint64_t handle);
void attempt_timed_out(struct model *m, uint64_t handle);

/* replay_cold.c */
bool cold_now(const struct model *m, const struct node *n);
bool cold_is_down(const struct model *m, const struct node *n);
void cold_begin(struct model *m, struct node *n, int64_t up_us);
void cold_end(struct model *m, uint32_t hop, uint32_t upstream);
void cold_count_start(struct model *m, uint32_t hop, uint32_t upstream);

/* replay_roots.c */
bool root_measured(const struct model *m, const struct root *root);
void root_drop(struct model *m, uint64_t handle);
void root_end(struct model *m, uint64_t handle, bool good, bool refused);
void root_arrive(struct model *m, enum shed_class cls, uint32_t account,
		 uint32_t tries);
void root_generate(struct model *m);

#endif
