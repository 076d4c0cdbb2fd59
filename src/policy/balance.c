#include "policy/policy.h"

#define LATENCY_GAIN 0.1	 /* weight of an answer in the latency */
#define ERROR_GAIN 0.1		 /* weight of a call in the error share */
#define ERROR_MAX 0.95		 /* share beyond which the score stops rising */
#define NOISE_MIN 0.2		 /* random part of a score, relative to it */
#define NOISE_PER_SHED_SHARE 8.0 /* added per unit of shed share */
#define SHED_GAIN 0.02		 /* weight of an answer in the shed share */
#define SHED_WEIGHT 0.9		 /* of the shed share in the score */
#define LATENCY_UNKNOWN_US 1000.0
/* Reports of a gate lose weight with age; at this age they are ignored. */
#define REPORTED_FADE_US USEC_PER_SEC
/* The same for the measurements of this node. */
#define MEASURED_FADE_US (5 * USEC_PER_SEC)
#define WARM_UP_US (5 * USEC_PER_SEC) /* ramp of a new upstream */
#define WARM_UP_SHARE 0.1	      /* of its slots at the start */
#define EJECT_SHARE 0.6		      /* error share that ejects */
#define EJECT_US USEC_PER_SEC	      /* doubled each time */
#define EJECT_DOUBLINGS 4
#define EJECTED_DIVISOR 3  /* at most one in this many candidates */
#define REJECTED_GAIN 0.02 /* weight of a call in the rejected share */
#define REMOTE_PENALTY_US (3 * USEC_PER_MSEC) /* added to remote scores */
#define ROOM_QUEUE_MAX_US (2 * USEC_PER_MSEC) /* a longer queue: no room */
#define ROOM_SLOT_SHARE_MAX 0.9	   /* of the slots in use; more: no room */
#define REMOTE_SCORE_SHARE_MAX 0.8 /* of the local score, without local room */
#define RATE_SLOTS_MIN 0.05	   /* of an upstream with a limit a second */
#define ROOM_SHED_SHARE_MAX 0.02   /* a larger shed share: no room */

static double age_weight(int64_t age_us, int64_t over_us)
{
	if (age_us <= 0)
		return 1;
	return age_us >= over_us ? 0 : 1 - (double)age_us / (double)over_us;
}

/* Counts a call sent to this upstream. */
void load_sent(struct upstream_load *l, int64_t now)
{
	if (!l->first_sent_us)
		l->first_sent_us = now;
	l->outstanding++;
}

static void remove_outstanding(struct upstream_load *l)
{
	if (l->outstanding)
		l->outstanding--;
}

static void count_result(struct upstream_load *l, bool failed, int64_t now)
{
	/* The error share loses weight while no result is received. */
	if (l->last_update_us)
		l->error_share *=
			age_weight(now - l->last_update_us, MEASURED_FADE_US);
	l->error_share += ((failed ? 1 : 0) - l->error_share) * ERROR_GAIN;
	l->last_update_us = now;
	if (!failed) {
		if (l->error_share < EJECT_SHARE / 2)
			l->ejections = 0;
		return;
	}
	if (l->error_share < EJECT_SHARE || now < l->ejected_until_us)
		return;
	l->ejected_until_us = now + (EJECT_US << l->ejections);
	if (l->ejections < EJECT_DOUBLINGS)
		l->ejections++;
	l->error_share = EJECT_SHARE / 2;
}

/* Failures of the upstream itself, not of what it called. */
static bool is_upstream_failure(enum reason reason)
{
	return reason == REASON_UPSTREAM_FAILED ||
	       reason == REASON_UPSTREAM_MALFORMED ||
	       reason == REASON_LINK_LOST;
}

/*
 * Updates the load from an answer or a refusal by the gate. Only successful
 * answers change the latency: fast failures must not look like a fast upstream.
 */
void load_answered(struct upstream_load *l, const struct answer_head *h,
		   int64_t latency_us, int64_t now)
{
	double admitted = 0;
	int cls;

	remove_outstanding(l);
	for (cls = 0; cls < SHED_CLASSES; cls++)
		admitted += (double)h->admission.admitted[cls] / ADMIT_ALL;
	l->shed_share +=
		(1 - admitted / SHED_CLASSES - l->shed_share) * SHED_GAIN;
	l->queue_us = h->queue_us;
	l->in_flight = h->in_flight;
	l->reported_us = now;
	if (h->outcome == OUTCOME_NOT_RUN) {
		if (h->reason == REASON_UPSTREAM_REFUSED)
			l->rejected_share +=
				(1 - l->rejected_share) * REJECTED_GAIN;
		l->last_update_us = now;
		return;
	}
	l->rejected_share -= l->rejected_share * REJECTED_GAIN;
	count_result(l, is_upstream_failure(h->reason), now);
	l->rate = h->rate_milli / 1000.0;
	if (h->reason != REASON_NONE)
		return;
	if (l->service_us <= 0)
		l->service_us = h->service_us;
	l->service_us += (h->service_us - l->service_us) * LATENCY_GAIN;
	if (l->latency_us <= 0)
		l->latency_us = (double)latency_us;
	else
		l->latency_us +=
			((double)latency_us - l->latency_us) * LATENCY_GAIN;
}

/* Counts a call without an answer: link lost or timed out. */
void load_failed(struct upstream_load *l, int64_t now)
{
	remove_outstanding(l);
	count_result(l, true, now);
}

/* Ends a call that this node gave up; not a failure of the upstream. */
void load_cancelled(struct upstream_load *l)
{
	remove_outstanding(l);
}

/*
 * Returns the latency in microseconds to assume for unmeasured upstreams: the
 * mean latency of the others, weighted by the age of their last update.
 */
static double typical_latency(const struct balance_candidate *c, size_t n,
			      int64_t now)
{
	double sum = 0, weight = 0, w;
	size_t i;

	for (i = 0; i < n; i++) {
		if (c[i].load->latency_us <= 0)
			continue;
		w = age_weight(now - c[i].load->last_update_us,
			       MEASURED_FADE_US);
		sum += c[i].load->latency_us * w;
		weight += w;
	}
	return weight > 0 ? sum / weight : LATENCY_UNKNOWN_US;
}

/*
 * Returns the number of calls that the upstream may have at once: its slots, or
 * as many as its limit a second starts in the time that a call takes.
 */
double usable_slots(const struct balance_candidate *c, double latency_us,
		    int64_t now)
{
	const struct upstream_load *l = c->load;
	double slots = c->slots ? c->slots : 1;
	double rate = now - l->last_update_us < REPORTED_FADE_US ? l->rate : 0;
	double at_rate;

	if (c->cold_rate > 0 && (rate <= 0 || c->cold_rate < rate))
		rate = c->cold_rate;
	at_rate = rate * latency_us / USEC_PER_SEC;
	if (rate <= 0 || at_rate >= slots)
		return slots;
	return at_rate < RATE_SLOTS_MIN ? RATE_SLOTS_MIN : at_rate;
}

/* Returns the expected time of a call sent now, in microseconds. */
static double score(const struct balance_candidate *c, double typical_us,
		    int64_t now)
{
	const struct upstream_load *l = c->load;
	double reported = age_weight(now - l->last_update_us, REPORTED_FADE_US);
	double measured = age_weight(now - l->last_update_us, MEASURED_FADE_US);
	double latency = typical_us, errors, calls, warm, slots;
	double warm_up_us =
		(double)(c->warm_up_us ? c->warm_up_us : WARM_UP_US);

	if (l->latency_us > 0)
		latency += (l->latency_us - typical_us) * measured;
	slots = usable_slots(c, latency, now);
	warm = l->first_sent_us ? (double)(now - l->first_sent_us) / warm_up_us
				: 0;
	if (warm < 1)
		slots *= WARM_UP_SHARE + (1 - WARM_UP_SHARE) * warm;
	calls = l->outstanding;
	if (l->in_flight * reported > calls)
		calls = l->in_flight * reported;
	errors =
		(1 - (1 - l->error_share) * (1 - l->rejected_share)) * measured;
	if (errors > ERROR_MAX)
		errors = ERROR_MAX;
	return (l->queue_us * reported +
		(double)c->failure_us * errors / (1 - errors) +
		latency * (1 + calls / slots) / (1 - errors)) /
		       (1 - SHED_WEIGHT * l->shed_share * reported) +
	       (c->same_data_centre ? 0 : REMOTE_PENALTY_US);
}

/* How many candidates may be ejected at once: a third, and one of two. */
static size_t ejected_max(size_t n)
{
	return n == 2 ? 1 : n / EJECTED_DIVISOR;
}

/*
 * Those stay ejected whose ejection ends last, and among equals the first ones.
 */
static bool ejected(const struct balance_candidate *c, size_t n, size_t i,
		    int64_t now)
{
	int64_t until = c[i].load->ejected_until_us;
	size_t j, ahead = 0;

	if (until <= now)
		return false;
	for (j = 0; j < n; j++)
		if (c[j].load->ejected_until_us > until ||
		    (c[j].load->ejected_until_us == until && j < i))
			ahead++;
	return ahead < ejected_max(n);
}

/*
 * Adds noise to a score, so that traffic shifts in proportion to score
 * differences. All callers receive the same updates at about the same time
 * and would otherwise all switch to the same upstream.
 */
static double noisy_score(const struct balance_candidate *c, uint64_t random,
			  double typical_us, int64_t now)
{
	double noise = NOISE_MIN + NOISE_PER_SHED_SHARE * c->load->shed_share;

	return score(c, typical_us, now) *
	       (1 + noise * (double)(random >> 32) / UINT32_MAX);
}

/* The candidates that a random selection considers. */
struct selection {
	bool local; /* own data centre; false: the others */
	bool tried; /* include those of earlier attempts */
	uint64_t seed;
	double typical_us;
};

static bool eligible(const struct balance_candidate *c, size_t n, size_t i,
		     const struct selection *sel, int64_t now)
{
	return c[i].same_data_centre == sel->local &&
	       (sel->tried || !c[i].tried) && !ejected(c, n, i, now);
}

static int nth_eligible(const struct balance_candidate *c, size_t n, size_t nth,
			const struct selection *sel, int64_t now)
{
	size_t i;

	for (i = 0; i < n; i++)
		if (eligible(c, n, i, sel, now) && !nth--)
			return (int)i;
	return -1;
}

/* Whether candidate i scores better than j in this selection. */
static bool better(const struct balance_candidate *c, int i, int j,
		   const struct selection *sel, int64_t now)
{
	double one = noisy_score(&c[i], pair_hash(sel->seed, 2),
				 sel->typical_us, now);
	double other = noisy_score(&c[j], pair_hash(sel->seed, 3),
				   sel->typical_us, now);

	return one < other;
}

/* Returns the better of two random candidates; -1 if none is eligible. */
static int pick_better_of_two(const struct balance_candidate *c, size_t n,
			      const struct selection *sel, int64_t now)
{
	uint64_t random = pair_hash(sel->seed, 1);
	size_t i, count = 0, first, second;
	int a, b;

	for (i = 0; i < n; i++)
		count += eligible(c, n, i, sel, now);
	if (!count)
		return -1;
	first = (uint32_t)random % count;
	a = nth_eligible(c, n, first, sel, now);
	if (count == 1)
		return a;
	second = (first + 1 + (random >> 32) % (count - 1)) % count;
	b = nth_eligible(c, n, second, sel, now);
	return better(c, b, a, sel, now) ? b : a;
}

bool balance_has_room(const struct balance_candidate *c, int64_t now)
{
	const struct upstream_load *l = c->load;
	double reported = age_weight(now - l->last_update_us, REPORTED_FADE_US);
	double calls = l->in_flight * reported;

	if (calls < l->outstanding)
		calls = l->outstanding;
	return l->queue_us * reported < ROOM_QUEUE_MAX_US &&
	       calls < ROOM_SLOT_SHARE_MAX *
			       usable_slots(c, l->latency_us, now) &&
	       l->shed_share * reported < ROOM_SHED_SHARE_MAX;
}

/* Traffic between data centres is costly: it must save at least detour_us. */
static bool remote_saves_enough(const struct balance_candidate *c, int remote,
				int local, const struct selection *sel,
				int64_t now)
{
	double saved = score(&c[local], sel->typical_us, now) -
		       score(&c[remote], sel->typical_us, now);

	return saved > (double)c[remote].detour_us;
}

/* If all data centres are overloaded, a remote call only moves the queue. */
static bool remote_clearly_faster(const struct balance_candidate *c, int remote,
				  int local, const struct selection *sel,
				  int64_t now)
{
	return score(&c[remote], sel->typical_us, now) <
	       score(&c[local], sel->typical_us, now) * REMOTE_SCORE_SHARE_MAX;
}

/*
 * Picks an upstream: the better of two random ones in the own data centre, or
 * the better of two remote ones if that saves enough time. Returns an index,
 * or -1 if there is no candidate. Candidates that an earlier attempt of the
 * call used are picked only if there is no other.
 */
int balance_pick(const struct balance_candidate *c, size_t n, uint64_t seed,
		 int64_t now)
{
	struct selection sel = {.seed = seed,
				.typical_us = typical_latency(c, n, now)};
	int local, remote;

	for (;;) {
		sel.local = true;
		local = pick_better_of_two(c, n, &sel, now);
		sel.local = false;
		sel.seed = pair_hash(sel.seed, 4);
		remote = pick_better_of_two(c, n, &sel, now);
		sel.seed = pair_hash(sel.seed, 5);
		if (local >= 0 || remote >= 0 || sel.tried)
			break;
		sel.tried = true;
	}
	if (local < 0)
		return remote;
	if (remote < 0)
		return local;
	if (balance_has_room(&c[local], now) &&
	    !remote_saves_enough(c, remote, local, &sel, now))
		return local;
	if (c[remote].detour_us &&
	    !remote_clearly_faster(c, remote, local, &sel, now))
		return local;
	return better(c, remote, local, &sel, now) ? remote : local;
}
