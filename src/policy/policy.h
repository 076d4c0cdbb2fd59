/*
 * The overload decisions: functions of state, input and now, in
 * microseconds of a monotonic clock. No I/O, no clock, no global state.
 *
 * A root draws a lot in 0..65535 that stays with its whole chain. A hop
 * admits a request while its lot is below the admitted share of its class
 * and account, so one root meets the same answer at every hop with the same
 * cutoff, and shares do not multiply along a chain.
 */
#ifndef POLICY_POLICY_H
#define POLICY_POLICY_H

#include "base/base.h"
#include "conf/conf.h"
#include "wire/wire.h"

/* The lot of a root: the same for each resend under one identity. */
uint16_t root_lot(const char *root_id, uint64_t key);
/*
 * The lot as compared at a depth, 0 at the entry: deeper hops, where work
 * was spent already, admit somewhat more, so that cutoffs that move between
 * the hops waste little.
 */
uint16_t admit_hash_at_depth(uint16_t admit_hash, uint32_t depth);
/* Whether a lot is below the admitted share. */
bool admit_hash_passes(uint16_t admit_hash, uint16_t admitted);

/* Token bucket of one account on one node. */
struct bucket {
	double rate;  /* tokens per second */
	double burst; /* tokens */
	double level;
	int64_t refilled_us;
};

void bucket_init(struct bucket *b, double rate, double burst, double level,
		 int64_t now);
void bucket_refill(struct bucket *b, int64_t now);
bool bucket_take(struct bucket *b, double tokens, int64_t now);
int64_t bucket_wait_us(const struct bucket *b, double tokens);

/* Gate: in front of one upstream. */
struct gate;

struct gate_options {
	uint32_t slots;		 /* as announced */
	int64_t queue_target_us; /* queueing time held to */
	uint32_t queue_max;	 /* calls waiting */
	int64_t cold_start_us;	 /* ramp from a tenth of the slots */
	double headroom;	 /* share of the slots that stays unused */
	enum overload_mode mode;
};

struct gate_call {
	uint64_t id;	  /* the caller's, not zero */
	uint64_t account; /* name_hash; 0 on open routes */
	uint32_t weight;
	enum shed_class cls;
	uint16_t lot;	/* of the root */
	uint32_t depth; /* sub-calls above it */
	int64_t deadline_us;
	uint32_t shed_unseen[SHED_CLASSES];
};

enum gate_verdict {
	GATE_QUEUED, /* gate_next will name it when its turn comes */
	GATE_REFUSED,
};

struct gate_drop {
	uint64_t id;
	enum reason reason;
};

struct gate *gate_new(const struct gate_options *o, int64_t now);
void gate_free(struct gate *g);
void gate_set_slots(struct gate *g, uint32_t slots, int64_t now);
void gate_set_mode(struct gate *g, enum overload_mode mode);
/*
 * Refused calls are told why. With OVERLOAD_OBSERVE nothing is refused, and
 * why is the reason that enforcing would have given, or REASON_NONE.
 */
enum gate_verdict gate_offer(struct gate *g, const struct gate_call *c,
			     enum reason *why, int64_t now);
/* Takes the next call to run now, or returns 0: none, or no free slot. */
uint64_t gate_next(struct gate *g, int64_t now, int64_t *waited_us);
/* Takes the next queued call that must not run any more, or returns false */
bool gate_next_drop(struct gate *g, int64_t now, struct gate_drop *d);
/*
 * A running call ended; ok is false for errors and timeouts of the upstream
 * itself, not for those that a failed sub-call explains.
 */
void gate_done(struct gate *g, uint64_t id, bool ok, int64_t now);
/* A queued or running call was cancelled. */
void gate_cancel(struct gate *g, uint64_t id, int64_t now);
/* Moves limit and cutoffs; every GATE_STEP_US. */
#define GATE_STEP_US (100 * USEC_PER_MSEC)
void gate_step(struct gate *g, int64_t now);
struct admission gate_admission(const struct gate *g, uint64_t account);

struct gate_report {
	uint32_t slots;
	uint32_t limit; /* adaptive, at most slots */
	uint32_t running;
	uint32_t queued;
	int64_t queue_us;   /* newest measured queueing time */
	int64_t service_us; /* smoothed time at the upstream */
	double admitted_s;  /* rate that the cutoff allows; 0 unlimited */
	uint16_t open[SHED_CLASSES];
};
void gate_report(const struct gate *g, struct gate_report *r);

/*
 * Cutoffs: what an entry, or a service making sub-calls, last heard of each
 * (service, account), and so what it refuses itself. Entries open again by
 * themselves when nothing is heard.
 */
struct cutoffs;

struct cutoffs *cutoffs_new(uint32_t max);
void cutoffs_free(struct cutoffs *c);
void cutoffs_fold(struct cutoffs *c, uint64_t service, uint64_t account,
		  const struct admission *a, int64_t now);
struct admission cutoffs_get(struct cutoffs *c, uint64_t service,
			     uint64_t account, int64_t now);
/* How long ago a gate told the cutoff, in microseconds; 0: never. */
int64_t cutoffs_age_us(struct cutoffs *c, uint64_t service, uint64_t account,
		       int64_t now);
bool cutoffs_admit(struct cutoffs *c, uint64_t service, uint64_t account,
		   enum shed_class cls, uint16_t lot, int64_t now);
/* Counts that a call was shed here, and takes the counts for a head. */
void cutoffs_count_shed(struct cutoffs *c, uint64_t service, uint64_t account,
			enum shed_class cls, int64_t now);
void cutoffs_take_unseen(struct cutoffs *c, uint64_t service, uint64_t account,
			 uint32_t unseen[SHED_CLASSES]);
/* Which of two admissions lets less through, by importance. */
bool admission_tighter(struct admission a, struct admission b);
struct admission admission_min(struct admission a, struct admission b);

/* Retries: allowance of a chain, ratio of a service. */
struct retry_ratio {
	double tokens;
	double reserve; /* tokens kept at most */
	uint32_t percent;
};

uint8_t allowance_lend(uint8_t *left);
void retry_ratio_init(struct retry_ratio *r, uint32_t percent);
void retry_ratio_call(struct retry_ratio *r);
bool retry_ratio_take(struct retry_ratio *r);
/* RFC 9110 9.2.2: running it twice is meant to do what running it once does. */
bool method_is_idempotent(const char *method);
/* Jittered back-off before attempt (1 for the first retry). */
int64_t retry_backoff_us(uint32_t attempt, uint64_t seed);
/* When a refused caller should come back, of whose class open passes. */
uint32_t retry_after_ms(uint16_t open, uint64_t seed);
/* Whether a failed attempt may be sent again at all. */
bool retry_allowed(enum outcome outcome, enum reason reason, bool once);

/* Balance: what this node measured of one upstream. */
struct upstream_load {
	double latency_us;  /* smoothed */
	double error_share; /* smoothed, 0 to 1 */
	double shed_share;  /* told by its cutoffs, smoothed, 0 to 1 */
	int64_t last_update_us;
	int64_t first_sent_us; /* first call sent; 0 never */
	int64_t ejected_until_us;
	uint32_t ejections;
	uint32_t outstanding; /* calls of this node */
	uint32_t queue_us;    /* newest the gate told */
	uint32_t in_flight;   /* newest the gate told */
};

struct balance_candidate {
	struct upstream_load *load;
	uint32_t slots;
	bool same_data_centre;
	bool tried; /* by an earlier attempt of this call */
	/* What a detour must save while the own data centre has room. */
	int64_t detour_us;
	/* Until a new upstream is given its whole share; 0: five seconds. */
	int64_t warm_up_us;
};

/*
 * Each call sent ends in one of three ways: an answer or refusal came, of
 * whatever outcome; none came; or this node gave it up itself.
 */
void load_sent(struct upstream_load *l, int64_t now);
void load_answered(struct upstream_load *l, const struct answer_head *h,
		   int64_t latency_us, int64_t now);
void load_failed(struct upstream_load *l, int64_t now);
void load_cancelled(struct upstream_load *l);
/* Returns an index, or -1 when there is no candidate. */
int balance_pick(const struct balance_candidate *c, size_t n, uint64_t seed,
		 int64_t now);

#endif
