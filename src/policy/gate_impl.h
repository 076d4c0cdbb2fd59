/* Internals of a gate: queued and running calls, accounts, estimates. */
#ifndef POLICY_GATE_IMPL_H
#define POLICY_GATE_IMPL_H

#include <uthash.h>

#include "policy/policy.h"

struct gate_account;

/* One call: queued, running, or dropped and not yet reported. */
struct gate_item {
	struct gate_call call;
	struct gate_account *account; /* while queued */
	int64_t offered_us;
	int64_t started_us;  /* while running */
	int64_t start_by_us; /* latest time to start */
	uint64_t seq;	     /* order of arrival */
	size_t heap_index;
	bool running;
	enum reason drop_reason;
	struct gate_item *prev, *next;	  /* in its flow, or the drops */
	struct gate_item *older, *newer;  /* in its class */
	struct gate_item *sooner, *later; /* in sub_calls */
	UT_hash_handle hh;
};

/* The queue of one account in one class. */
struct gate_flow {
	struct gate_item *items;
	uint32_t n;
	uint32_t deficit; /* calls left in this round */
	struct gate_flow *prev, *next;
};

/* Demand of one account in one class, and its admitted share. */
struct gate_demand {
	uint32_t arrivals;	 /* this step */
	uint32_t below_floor;	 /* this step, admission hash < floor */
	uint32_t reported_sheds; /* this step, by entries */
	double floor_count;	 /* decayed sum of below_floor */
	double floor_span_s;	 /* decayed sum of floor x time */
	double reported_rate;	 /* smoothed arrivals + reported_sheds, per s */
	double rate;		 /* the estimate, calls a second */
	uint16_t floor;		 /* no entry sheds a hash below this */
	uint16_t admitted;
};

struct gate_account {
	uint64_t account;
	uint32_t weight;
	int64_t last_used_us;
	struct gate_flow flow[SHED_CLASSES];
	struct gate_demand demand[SHED_CLASSES];
	UT_hash_handle hh;
};

struct gate {
	struct gate_options o;
	struct gate_item *items; /* hash by id */
	struct gate_account *accounts;
	struct gate_flow *flows[SHED_CLASSES]; /* round robin */
	struct gate_item *class_items[SHED_CLASSES];
	struct gate_item *sub_calls[SHED_CLASSES]; /* by start_by_us */
	uint32_t class_n[SHED_CLASSES];
	struct gate_item *drops;
	struct gate_item **heap; /* queued calls by start_by_us */
	size_t heap_n, heap_size;
	uint64_t seq;
	uint32_t running;
	uint32_t queued;
	struct bucket starts; /* rate 0: the upstream names no limit */
	struct bucket cold;   /* rate 0: the upstream is warm */
	int64_t cold_until_us;
	struct gate_window window;
	bool unheard; /* no answer of the upstream has come yet */

	int64_t started_us;
	int64_t last_step_us;
	int64_t busy_counted_us; /* end of the time counted in busy_slot_us */
	double busy_slot_us;	 /* slot time this step, microseconds */
	uint32_t ended;		 /* this step */
	uint32_t failed;	 /* this step */
	uint32_t queued_min;	 /* this step */
	double busy_sum, ended_sum;
	double service_us;
	double run_sum_us, run_count; /* of served calls, decayed sums */
	double adaptive_limit; /* bound of limit; lower while calls fail */
	uint32_t limit;	       /* in force */
	int64_t last_wait_us;
	bool overload;
	uint32_t recovered_steps;
	double trim; /* factor on the rate from Little's law */
	double admitted_rate;
	uint16_t admitted[SHED_CLASSES]; /* class-wide */
};

/* gate_step.c */
void gate_count_busy(struct gate *g, int64_t now);
void gate_set_limit(struct gate *g, int64_t now);
double gate_capacity(const struct gate *g);
void gate_count_run(struct gate *g, int64_t run_us);
int64_t gate_expected_run_us(const struct gate *g);

/* gate.c */
void gate_drop_item(struct gate *g, struct gate_item *it, enum reason why);
int64_t gate_queue_max_us(const struct gate *g);

/* gate_cold.c */
bool gate_cold_allows(struct gate *g, int64_t now);
int64_t gate_cold_wait_us(struct gate *g, int64_t now);
int64_t gate_cold_queue_max_us(const struct gate *g, int64_t queue_max_us);
void gate_cold_count(struct gate *g, int64_t now);

/* gate_rate.c */
bool gate_rate_allows(struct gate *g, int64_t now);
void gate_rate_count(struct gate *g, int64_t now);
double gate_rate_limit(const struct gate *g);
double gate_rate_capacity(const struct gate *g, double slots_capacity);

/* gate_queue.c */
int queue_add(struct gate *g, struct gate_item *it, struct gate_account *a);
void queue_remove(struct gate *g, struct gate_item *it);
struct gate_item *queue_pick(struct gate *g);
struct gate_item *queue_oldest(const struct gate *g);
struct gate_item *queue_victim(const struct gate *g, enum shed_class cls,
			       const struct gate_account *a);
struct gate_item *queue_first_due(const struct gate *g);

/* gate_demand.c */
struct gate_account *account_find(const struct gate *g, uint64_t account);
struct gate_account *account_get(struct gate *g, const struct gate_call *c,
				 int64_t now);
void demand_count_arrival(struct gate_account *a, const struct gate_call *c);
void demand_step(struct gate *g, double dt_s, int64_t now);
double demand_total(const struct gate *g);
void demand_allocate(struct gate *g, double rate, double goal, double drain_s);
void demand_admit_all(struct gate *g);

#endif
