/*
 * Overload decisions. Functions depend only on their state, their input and
 * now, a monotonic time in microseconds: no I/O, no clock reads, no globals.
 *
 * Each root has an admission hash in 0..65535 that all calls of its chain
 * carry. A hop admits a call if the hash is below the admitted share of its
 * class and account. Hops with the same cutoff therefore decide alike about
 * one root, and admitted shares do not multiply along a chain.
 */
#ifndef POLICY_POLICY_H
#define POLICY_POLICY_H

#include "base/base.h"
#include "conf/conf.h"
#include "wire/wire.h"

/* Returns the admission hash of a root; resends of one root id share it. */
uint16_t root_admit_hash(const char *root_id, uint64_t key);
/*
 * Returns the admission hash to compare at a depth, 0 at the entry. Deeper
 * hops admit somewhat more, as work has already been spent on their roots:
 * a cutoff that changes between two hops then wastes little of it.
 */
uint16_t admit_hash_at_depth(uint16_t admit_hash, uint32_t depth);
/* Returns whether an admission hash is below the admitted share. */
bool admit_hash_passes(uint16_t admit_hash, uint16_t admitted);

/*
 * Evacuation of a data centre. Returns the share of calls that may still be
 * sent there: 1 when the order is learnt, then falling evenly to 0.
 */
double evacuation_share(int64_t learnt_us, int64_t bound_us, int64_t now);
/* Whether a root is among the share that may still be sent there. */
bool evacuation_admits(uint16_t admit_hash, uint64_t data_centre, double share);
/* Whether the gates of the data centre reject every call. */
bool evacuation_gates_closed(int64_t learnt_us, int64_t bound_us, int64_t now);

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

/* Gate: the queue and concurrency limit in front of one upstream. */
struct gate;

struct gate_options {
	uint32_t slots;		 /* as announced */
	int64_t queue_target_us; /* target queueing time */
	uint32_t queue_max;	 /* calls waiting */
	int64_t cold_start_us;	 /* ramp from a tenth of the slots */
	double headroom;	 /* share of the slots that stays unused */
	bool names_rate; /* the upstream may name a limit in its answers */
	/* A cold upstream gets rate x overshoot + slack calls a second. */
	double cold_overshoot; /* 0: starts are paced, but not counted */
	double cold_slack;
	enum overload_mode mode;
};

struct gate_call {
	uint64_t id;	  /* chosen by the caller, not zero */
	uint64_t account; /* name_hash; 0 on anonymous routes */
	uint32_t weight;
	enum shed_class cls;
	uint16_t admit_hash; /* admission hash of the root */
	uint32_t depth;	     /* sub-calls above this one */
	int64_t deadline_us;
	uint32_t shed_unreported[SHED_CLASSES];
};

enum gate_verdict {
	GATE_QUEUED, /* gate_next or gate_next_drop returns it later */
	GATE_REFUSED,
};

struct gate_drop {
	uint64_t id;
	enum reason reason;
};

struct gate *gate_new(const struct gate_options *o, int64_t now);
void gate_free(struct gate *g);
void gate_set_slots(struct gate *g, uint32_t slots, int64_t now);
/*
 * Limits the calls started a second to rate; negative: no limit. Until this was
 * called once, only GATE_UNHEARD_MAX calls run at a time.
 */
#define GATE_UNHEARD_MAX 4
void gate_set_rate(struct gate *g, double rate, int64_t now);
/*
 * The starts of the last second and a little more, so that the count is never
 * too low: the oldest part counts as a whole.
 */
#define GATE_WINDOW_PARTS 64
struct gate_window {
	uint32_t counts[GATE_WINDOW_PARTS + 1];
	uint32_t total;
	int64_t newest; /* number of the newest part */
};

/* Replaces w by the starts of a gate if those are more recent. */
void gate_read_starts(const struct gate *g, struct gate_window *w);
/* Counts the starts of an earlier gate of the upstream as those of this one. */
void gate_set_starts(struct gate *g, const struct gate_window *w);
/*
 * Limits the starts to rate a second until until_us, as the upstream is cold;
 * the lower of this limit and that of gate_set_rate holds. Queued calls that
 * cannot start in time are dropped with REASON_COLD. A rate of 0 ends the limit.
 */
void gate_set_cold(struct gate *g, double rate, int64_t until_us, int64_t now);
/* Returns the time for which that limit still holds; 0: warm. */
int64_t gate_cold_left_us(const struct gate *g, int64_t now);
/*
 * Returns the microseconds until the limit has let the queue pass and takes one
 * more call; 0 without a limit.
 */
int64_t gate_rate_wait_us(const struct gate *g);
void gate_set_mode(struct gate *g, enum overload_mode mode);
/*
 * Offers a call and stores the reason of a refusal in why. OVERLOAD_OBSERVE
 * refuses nothing for overload; why is then the reason that enforcing would
 * have given, or REASON_NONE.
 */
enum gate_verdict gate_offer(struct gate *g, const struct gate_call *c,
			     enum reason *why, int64_t now);
/* Starts the next call; returns 0 if none is queued or no slot is free. */
uint64_t gate_next(struct gate *g, int64_t now, int64_t *waited_us);
/* Takes the next call dropped from the queue; false if there is none. */
bool gate_next_drop(struct gate *g, int64_t now, struct gate_drop *d);
enum gate_end {
	GATE_SERVED,
	GATE_FAILED,   /* by an error or timeout of the upstream itself */
	GATE_REJECTED, /* by the upstream, without running it */
};

/*
 * Reports that a running call ended. A call that failed because of a sub-call
 * counts as served.
 */
void gate_done(struct gate *g, uint64_t id, enum gate_end end, int64_t now);
/* Removes a cancelled call, queued or running. */
void gate_cancel(struct gate *g, uint64_t id, int64_t now);
/* Updates limit and cutoffs; to be called every GATE_STEP_US. */
#define GATE_STEP_US (100 * USEC_PER_MSEC)
void gate_step(struct gate *g, int64_t now);
struct admission gate_admission(const struct gate *g, uint64_t account);

struct gate_report {
	uint32_t slots;
	uint32_t limit; /* adaptive, at most slots */
	uint32_t running;
	uint32_t queued;
	int64_t queue_us;     /* latest measured queueing time */
	int64_t service_us;   /* smoothed time at the upstream */
	double admitted_rate; /* admitted calls a second; 0 unlimited */
	double rate; /* lower of named and cold limit, a second; 0: none */
	uint16_t admitted[SHED_CLASSES];
};
void gate_report(const struct gate *g, struct gate_report *r);

/*
 * Cutoffs: the admitted shares that an entry, or a service making sub-calls,
 * last received for each (service, account). Calls above them are refused
 * before they are sent. Without updates a cutoff reopens over time.
 */
struct cutoffs;

struct cutoffs *cutoffs_new(uint32_t max);
void cutoffs_free(struct cutoffs *c);
void cutoffs_merge(struct cutoffs *c, uint64_t service, uint64_t account,
		   const struct admission *a, int64_t now);
struct admission cutoffs_get(struct cutoffs *c, uint64_t service,
			     uint64_t account, int64_t now);
/* Raises the cutoffs of a service by a share of what they refuse. */
void cutoffs_reopen(struct cutoffs *c, uint64_t service, double share,
		    int64_t now);
/* Microseconds since the last update of a cutoff; 0 if there was none. */
int64_t cutoffs_age_us(struct cutoffs *c, uint64_t service, uint64_t account,
		       int64_t now);
bool cutoffs_admit(struct cutoffs *c, uint64_t service, uint64_t account,
		   enum shed_class cls, uint16_t admit_hash, int64_t now);
/* Counts shed calls, and takes the counts to report with the next call. */
void cutoffs_count_shed(struct cutoffs *c, uint64_t service, uint64_t account,
			enum shed_class cls, int64_t now);
void cutoffs_take_unreported(struct cutoffs *c, uint64_t service,
			     uint64_t account,
			     uint32_t unreported[SHED_CLASSES]);
/* Whether a admits less than b in the most important class that differs. */
bool admission_tighter(struct admission a, struct admission b);
struct admission admission_min(struct admission a, struct admission b);

/* Retries: the allowance of a chain and the retry ratio of a service. */
struct retry_ratio {
	double tokens;
	double reserve; /* maximum of tokens */
	uint32_t percent;
};

/*
 * Retries of a service that go to the highest bids: the price follows the
 * demand, so that the retries there are serve what is worth most.
 */
struct retry_market {
	double tokens;
	double per_call; /* tokens that a first attempt earns */
	double earned_s; /* tokens a second, smoothed */
	double price;	 /* lowest bid accepted */
	int64_t last_us; /* last first attempt */
};

void retry_market_init(struct retry_market *m);
void retry_market_call(struct retry_market *m, int64_t now);
bool retry_market_take(struct retry_market *m, enum shed_class cls,
		       double rejected_share, uint32_t calls_after);

uint8_t allowance_lend(uint8_t *left);
void allowance_return(uint8_t *left, uint8_t *lent, uint8_t unused);
void retry_ratio_init(struct retry_ratio *r, uint32_t percent);
void retry_ratio_call(struct retry_ratio *r);
bool retry_ratio_take(struct retry_ratio *r);
/* Whether the method is idempotent by RFC 9110, 9.2.2. */
bool method_is_idempotent(const char *method);
/* Jittered back-off before attempt (1 for the first retry). */
int64_t retry_backoff_us(uint32_t attempt, uint64_t seed);
/* Retry-After of a refused call whose class has this admitted share. */
uint32_t retry_after_ms(uint16_t admitted, uint64_t seed);
/* Whether a failed attempt may be retried at all. */
bool retry_allowed(enum outcome outcome, enum reason reason, bool once_only);

/* Balance: measurements by this node of one upstream. */
struct upstream_load {
	double latency_us;     /* smoothed */
	double service_us;     /* of it, at the upstream; smoothed */
	double error_share;    /* smoothed, 0 to 1 */
	double shed_share;     /* from its cutoffs, smoothed, 0 to 1 */
	double rejected_share; /* of the calls that reached it, smoothed */
	int64_t last_update_us;
	int64_t reported_us;   /* last answer of the gate; 0 never */
	int64_t first_sent_us; /* first call sent; 0 never */
	int64_t ejected_until_us;
	uint32_t ejections;
	uint32_t outstanding; /* calls of this node */
	uint32_t queue_us;    /* last reported by the gate */
	uint32_t in_flight;   /* last reported by the gate */
	double rate; /* limit last reported by the gate, a second; 0: none */
};

struct balance_candidate {
	struct upstream_load *load;
	uint32_t slots;
	bool same_data_centre;
	uint64_t data_centre; /* hash of its name, for spill.c */
	bool tried;	      /* by an earlier attempt of this call */
	/* Time that another data centre must save while this one has room. */
	int64_t detour_us;
	int64_t failure_us; /* time that a failed call is counted as */
	/* Time until a new upstream gets its full share; 0: five seconds. */
	int64_t warm_up_us;
	double cold_rate; /* calls a second that it takes; 0: it is warm */
	bool cold_due;	  /* this node's share of that has earned a call */
};

/*
 * Each load_sent is followed by one of: load_answered for any answer or
 * refusal, load_failed if none came, load_cancelled if this node gave up.
 */
void load_sent(struct upstream_load *l, int64_t now);
void load_answered(struct upstream_load *l, const struct answer_head *h,
		   int64_t latency_us, int64_t now);
void load_failed(struct upstream_load *l, int64_t now);
void load_cancelled(struct upstream_load *l);
/* Whether an upstream is expected to start a call at once. */
bool balance_has_room(const struct balance_candidate *c, int64_t now);
/*
 * Returns the number of calls that the upstream may have at once: its slots, or
 * as many as its limit a second starts in the time that a call takes.
 */
double usable_slots(const struct balance_candidate *c, double latency_us,
		    int64_t now);
/* Returns an index, or -1 if there is no candidate. */
int balance_pick(const struct balance_candidate *c, size_t n, uint64_t seed,
		 int64_t now);

/* Cold upstreams: the calls that one entry sends while others are warm. */
struct cold_share {
	struct bucket calls;
};

void cold_share_init(struct cold_share *s, uint64_t random, int64_t now);
bool cold_share_due(struct cold_share *s, double rate, int64_t now);
void cold_share_take(struct cold_share *s);
/* Retry-After of a call refused with left_us of a cold period to go. */
uint32_t cold_retry_after_ms(int64_t left_us, int64_t cold_start_us,
			     uint64_t random);
size_t cold_select(struct balance_candidate *c, uint64_t *handles, size_t n,
		   int64_t now);

#endif
