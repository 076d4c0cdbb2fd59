/*
 * Spill: which calls of a service cross to another data centre. An entry
 * compares the load of its own data centre with that of the others, from the
 * state that gates report in answers, and moves a fraction of its calls in
 * bounded steps. No I/O, no clock reads; now is a monotonic time in
 * microseconds.
 */
#ifndef POLICY_SPILL_H
#define POLICY_SPILL_H

#include "policy/policy.h"

/* Other data centres of a service; calls reach no more than these. */
#define SPILL_DATA_CENTRES_MAX 8

/* Why a call crosses. */
enum spill_reason {
	SPILL_NONE, /* it does not */
	SPILL_NO_ROOM,
	SPILL_SAVES_TIME,
	SPILL_NO_UPSTREAM, /* none is left in the own data centre */
};
#define SPILL_REASONS 4

struct spill_cost {
	double per_mb;		 /* of a million bytes that cross */
	double wait_worth_per_s; /* of a second less for one request */
};

struct spill_call {
	enum shed_class cls;
	int64_t target_us; /* target latency; 0: unknown */
	double bytes;	   /* request and expected answer */
	bool repeat;	   /* an earlier attempt was counted */
	bool refused;	   /* a gate refused an earlier attempt */
};

/* Another data centre as a destination. */
struct spill_destination {
	uint64_t data_centre;
	double fraction; /* of the calls that may cross */
	double saved_us; /* by crossing, if all calls were here; smoothed */
	double saves_us; /* of the run alone, without waiting here; smoothed */
	enum spill_reason reason;
	int64_t raised_us;
	int64_t probed_us;
	int64_t probe_wait_us; /* doubles with each probe without a report */
	double refused_left;   /* refused calls that may cross in this step */
	uint32_t unanswered;   /* calls since it was known */
	bool known;	       /* has fresh reports */
	uint32_t unseen;       /* steps without a usable upstream */
};

/* State of one service at one entry; zero: nothing crosses. */
struct spill {
	struct spill_destination to[SPILL_DATA_CENTRES_MAX];
	size_t count;
	double load; /* calls over slots in the own data centre, smoothed */
	double target_us;     /* target latency of the calls, smoothed */
	double target_low_us; /* of those with the shortest */
	double eligible_s[SHED_CLASSES]; /* calls a second worth crossing */
	double calls_s;			 /* all calls a second */
	double reference_s; /* eligible calls a second behind the fractions */
	uint32_t eligible[SHED_CLASSES]; /* in the current step */
	uint32_t calls;
	double local_us;     /* expected time of a call that does not cross */
	bool wants_room;     /* the own data centre is nearly full */
	bool urgent_first;   /* the wait exceeds what the target leaves */
	uint32_t full_steps; /* in a row, up to now */
	int64_t stepped_us;
};

/* Where a call goes. */
struct spill_choice {
	enum spill_reason reason;
	/* For the first two reasons; valid until the next call. */
	struct spill_destination *to;
};

/*
 * Decides whether a call crosses, and updates the fractions if a step is due.
 * Candidates have same_data_centre and data_centre set.
 */
struct spill_choice spill_choose(struct spill *s, const struct spill_cost *cost,
				 const struct balance_candidate *c, size_t n,
				 const struct spill_call *call, uint64_t random,
				 int64_t now);
/*
 * Whether a call with this choice may go to the candidate: one of the data
 * centre chosen, or any remote one if the own has no upstream left.
 */
bool spill_permits(const struct spill_choice *choice,
		   const struct balance_candidate *c);
/* Returns the fraction of the calls that cross, over all destinations. */
double spill_fraction(const struct spill *s);
/* Returns the reason of the destination with the largest fraction. */
enum spill_reason spill_main_reason(const struct spill *s);
const char *spill_reason_name(enum spill_reason r);

#endif
