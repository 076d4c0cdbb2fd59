#include "control/quota/quota_impl.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include <xxhash.h>

/* Thirds of a burst, rounded down in messages, must make a whole token. */
#define SPEND_TOLERANCE 1e-8
#define DEMAND_WINDOW_US (100 * USEC_PER_MSEC)
#define DEMAND_SMOOTHING 0.3
#define PREFETCH_US (50 * USEC_PER_MSEC)
#define PREFETCH_BURST_FRACTION 0.05
/* After these less than a millionth is left, which counts as nothing. */
#define HALVINGS_MAX 20
#define DRAIN_FAILURES_MAX 3 /* failed writes of a slice */

/* Returns the account's state, or NULL if the account was never configured. */
struct quota_account *quota_find(struct quota *q, const char *name)
{
	struct quota_account *a;

	HASH_FIND_STR(q->accounts, name, a);
	return a;
}

/*
 * Creates the controller, without accounts until quota_config. Returns NULL
 * when out of memory.
 */
struct quota *quota_new(const struct quota_options *o, int64_t now)
{
	struct quota *q = calloc(1, sizeof(*q));

	if (!q)
		return NULL;
	q->o = *o;
	addr_format(&o->self, q->self);
	q->rng = gsl_rng_alloc(gsl_rng_taus2);
	q->reclaim = reclaim_new();
	q->repair = repair_new();
	if (!q->rng || !q->reclaim || !q->repair) {
		quota_free(q);
		return NULL;
	}
	gsl_rng_set(q->rng, (unsigned long)o->seed);
	/* Ids of loan requests must not repeat after a restart. */
	q->next_id = o->incarnation << 16;
	q->hold_us = o->hold_us ? o->hold_us : DEFAULT_HOLD_US;
	q->next_renew_us = now + q->hold_us / RENEWALS_PER_HOLD;
	q->started_us = now;
	return q;
}

/* Frees the controller. Its slices stay in the ledger. */
void quota_free(struct quota *q)
{
	struct quota_account *a = q->accounts, *next;

	HASH_CLEAR(hh, q->accounts);
	for (; a; a = next) {
		next = a->hh.next;
		free(a->loans_out);
		free(a);
	}
	groups_free(q);
	if (q->config)
		config_put(q->config);
	if (q->reclaim)
		reclaim_free(q->reclaim);
	free(q->repair);
	if (q->rng)
		gsl_rng_free(q->rng);
	free(q);
}

static struct quota_account *add_account(struct quota *q, const char *name,
					 int64_t now)
{
	struct quota_account *a = calloc(1, sizeof(*a));

	if (!a)
		return NULL;
	if (copy_name(a->name, sizeof(a->name), name) < 0) {
		free(a);
		return NULL;
	}
	a->group = group_for_account(q, a->name, now);
	if (!a->group) {
		free(a);
		return NULL;
	}
	a->sibling = a->group->accounts;
	a->group->accounts = a;
	a->refilled_us = now;
	a->demand_at_us = now;
	HASH_ADD_STR(q->accounts, name, a);
	return a;
}

static uint64_t hash_limits(double rate, double burst)
{
	double pair[2] = {rate, burst};

	return XXH3_64bits(pair, sizeof(pair));
}

static void log_limits(const struct quota_account *a)
{
	struct log_line line;
	char text[48];

	log_start(&line, LOG_INFO, "account-limit");
	log_str(&line, "account", a->name);
	snprintf(text, sizeof(text), "%g", a->rate);
	log_str(&line, "rate", text);
	snprintf(text, sizeof(text), "%g", a->burst);
	log_str(&line, "burst", text);
	log_emit(&line);
}

/*
 * Sets rate and burst. Loans made under other limits are dropped, so that a
 * lowered burst takes effect at once.
 */
static void set_limits(struct quota_account *a, double rate, double burst,
		       int64_t now)
{
	uint64_t limits_hash = hash_limits(rate, burst);

	quota_refill(a, now);
	if (limits_hash == a->limits_hash)
		return;
	a->loans_in_count = 0;
	a->limits_hash = limits_hash;
	a->rate = rate;
	a->burst = burst;
	quota_refill(a, now);
	log_limits(a);
}

/* Applies the rates and bursts of the configuration in force. */
void quota_config(struct quota *q, struct config *c, int64_t now)
{
	const struct account *conf = NULL;
	struct quota_account *a, *next;
	double burst;

	if (q->config)
		config_put(q->config);
	q->config = config_get(c);
	HASH_ITER(hh, q->accounts, a, next)
	{
		a->withdrawn = !config_account(c, a->name);
		a->group->withdrawn = a->withdrawn && !a->group->multi_account;
	}
	while ((conf = config_next_account(c, conf))) {
		a = quota_find(q, conf->name);
		if (!a) {
			a = add_account(q, conf->name, now);
			q->preacquire_done = false;
		}
		if (!a)
			return;
		burst = config_usable_burst(c, conf);
		set_limits(a, conf->rate, burst, now);
		if (!a->group->multi_account)
			a->group->burst = burst;
	}
}

/*
 * Returns the fraction of its share that this node may still use. It halves
 * for each half of the hold period since the last confirmed write, because a
 * node that sees a slice unchanged for that time, by its own clock, may move
 * half of it to the pool.
 */
double quota_decay(const struct account_group *g, int64_t now)
{
	int64_t halvings = (now - g->confirmed_us) / (g->hold_us / 2);
	double factor = 1;

	if (halvings >= HALVINGS_MAX)
		return 0;
	while (halvings-- > 0)
		factor /= 2;
	return factor;
}

/* Returns the fraction of each account's limits that this node may use now. */
static double usable_fraction(const struct account_group *g, int64_t now)
{
	uint32_t share =
		g->share < g->desired_share ? g->share : g->desired_share;

	return g->limit_fraction * share / SHARE_ALL * quota_decay(g, now);
}

/* Refills the account up to now, capped by this node's share of the burst. */
void quota_refill(struct quota_account *a, int64_t now)
{
	double fraction = usable_fraction(a->group, now);
	double cap = a->burst * fraction - a->lent;

	if (standby_lease_lost(a->group, now)) {
		a->suspended += a->level;
		a->level = 0;
		return;
	}
	a->level += a->suspended;
	a->suspended = 0;
	if (now > a->refilled_us)
		a->level += a->rate * fraction *
			    (double)(now - a->refilled_us) / USEC_PER_SEC;
	a->refilled_us = now;
	if (a->level > cap)
		a->level = cap > 0 ? cap : 0;
}

/*
 * Refills all accounts of a group. Called before and after a change of the
 * share, so that each period is refilled at the share that was valid then.
 */
void quota_refill_all(struct account_group *g, int64_t now)
{
	struct quota_account *a;

	for (a = g->accounts; a; a = a->sibling)
		quota_refill(a, now);
}

static double borrowed_tokens(const struct quota_account *a)
{
	double sum = 0;
	size_t i;

	for (i = 0; i < a->loans_in_count; i++)
		sum += a->loans_in[i].tokens_left;
	return sum;
}

/*
 * Spends one token; returns false if there is none. Loans are spent first,
 * because they expire.
 */
bool quota_spend(struct quota *q, struct quota_account *a, int64_t now)
{
	struct loan_in *loan;
	double need = 1, amount;
	size_t i = 0;

	loans_expire(q, a, now);
	quota_refill(a, now);
	if (a->level + borrowed_tokens(a) < 1 - SPEND_TOLERANCE)
		return false;
	while (need > 0 && i < a->loans_in_count) {
		loan = &a->loans_in[i];
		amount = loan->tokens_left < need ? loan->tokens_left : need;
		loan->tokens_left -= amount;
		need -= amount;
		if (loan->tokens_left > 1e-9) {
			i++;
			continue;
		}
		loans_report_spent(q, a, loan);
		*loan = a->loans_in[--a->loans_in_count];
	}
	/* What a token fell short of stays as a debt. */
	a->level -= need;
	loans_return_fractions(q, a);
	return true;
}

static void count_demand(struct quota_account *a, int64_t now)
{
	int64_t passed = now - a->demand_at_us;
	double rate;

	a->demand_count++;
	if (passed < DEMAND_WINDOW_US)
		return;
	rate = (double)a->demand_count * USEC_PER_SEC / (double)passed;
	a->demand_per_s += DEMAND_SMOOTHING * (rate - a->demand_per_s);
	a->demand_count = 0;
	a->demand_at_us = now;
}

/*
 * Returns the number of whole tokens to hold in advance, beyond those for
 * waiting requests. Unspent tokens at a borrower keep the lender from
 * refilling, so the target is 0 for an account with a small burst or a low
 * demand.
 */
double quota_prefetch_target(const struct quota_account *a)
{
	double target = a->demand_per_s * PREFETCH_US / USEC_PER_SEC;
	double limit = a->burst * PREFETCH_BURST_FRACTION;

	return floor(target < limit ? target : limit);
}

static void prefetch_tokens(struct quota *q, struct quota_account *a,
			    int64_t now)
{
	if (a->level + borrowed_tokens(a) < quota_prefetch_target(a) &&
	    !a->requesting && now >= a->backoff_until_us)
		loans_start_round(q, a, now);
}

/*
 * Spends one token of the account, from this node's slice or a loan. Returns
 * QUOTA_WAIT while loan requests to other nodes are pending; otherwise
 * *retry_after_us is the delay to report with a refusal, in microseconds.
 */
enum quota_verdict quota_take(struct quota *q, const char *account, bool first,
			      int64_t now, int64_t *retry_after_us)
{
	struct quota_account *a = quota_find(q, account);

	*retry_after_us = USEC_PER_SEC;
	if (!a || a->withdrawn)
		return QUOTA_REFUSED;
	a->group->active_us = now;
	if (first)
		count_demand(a, now);
	if (quota_spend(q, a, now)) {
		prefetch_tokens(q, a, now);
		return QUOTA_TAKEN;
	}
	if (!a->requesting && now >= a->backoff_until_us)
		loans_start_round(q, a, now);
	if (a->requesting) {
		a->waiting += first;
		return QUOTA_WAIT;
	}
	if (!a->had_tokens)
		return QUOTA_UNAVAILABLE;
	if (a->rate > 0)
		*retry_after_us = (int64_t)(USEC_PER_SEC / a->rate) + 1;
	return QUOTA_REFUSED;
}

/*
 * Returns why a request was refused just now: of a later request the latest
 * round may tell something else.
 */
enum quota_lack quota_lack(struct quota *q, const char *account)
{
	const struct quota_account *a = quota_find(q, account);

	return a ? loans_lack(a) : QUOTA_LACK_UNKNOWN;
}

/* Refunds the token of a request that was refused later, without being run. */
void quota_refund(struct quota *q, const char *account, int64_t now)
{
	struct quota_account *a = quota_find(q, account);

	if (!a)
		return;
	quota_refill(a, now);
	a->level += 1;
	quota_refill(a, now);
}

/* Handles a loan request, a grant or a report of a spent loan. */
void quota_receive(struct quota *q, const struct peer_msg *msg, int64_t now)
{
	if (msg->kind == PEER_STANDBY)
		standby_receive(q, msg, now);
	else
		loans_receive(q, msg, now);
}

/* Advances ledger, loans and reclaims; to be called every 5 ms. */
void quota_tick(struct quota *q, int64_t now)
{
	struct quota_account *a, *next;

	ledger_tick(q, now);
	standby_tick(q, now);
	DL_FOREACH_SAFE(q->loan_accounts, a, next)
	{
		loans_tick(q, a, now);
		if (a->requesting || a->loans_in_count || a->loans_out_count)
			continue;
		DL_DELETE(q->loan_accounts, a);
		a->in_loan_list = false;
	}
	reclaim_tick(q, now);
}

/*
 * Begins a planned stop: stops lending and borrowing, and returns the slices
 * to the pool. If the host stays and accounts are grouped, the slices remain
 * for the next process on this host, which takes them over sooner than another
 * node could.
 */
void quota_leave(struct quota *q, bool host_stays, int64_t now)
{
	struct account_group *g, *next;

	if (q->leaving)
		return;
	q->leaving = true;
	q->returns_slices = !host_stays || !q->o.groups;
	standby_leave(q, now);
	HASH_ITER(hh, q->account_groups, g, next)
	{
		quota_refill_all(g, now);
		if (q->returns_slices)
			g->desired_share = 0;
		g->next_write_us = now;
	}
}

/*
 * Returns true once no slice is left to return. A slice whose write has failed
 * DRAIN_FAILURES_MAX times no longer counts, so that a store outage cannot
 * block the stop.
 */
bool quota_drained(const struct quota *q)
{
	struct account_group *g, *next;

	if (!q->returns_slices)
		return true;
	HASH_ITER(hh, q->account_groups, g, next)
	if (g->share && g->failures < DRAIN_FAILURES_MAX)
		return false;
	return true;
}

/*
 * Appends {"account": {...}} with all accounts that have a share or demand.
 * Returns -1 when out of memory.
 */
int quota_status(const struct quota *q, struct buffer *json, int64_t now)
{
	struct quota_account *a, *next;
	const char *comma = "";

	if (buffer_printf(json, "{") < 0)
		return -1;
	HASH_ITER(hh, q->accounts, a, next)
	{
		if (!a->group->share && a->demand_per_s < 0.01)
			continue;
		if (buffer_printf(json,
				  "%s\"%s\":{\"share\":%.6f,\"usable\":%.6f,"
				  "\"tokens\":%.3f,\"lent\":%.3f,"
				  "\"borrowed\":%.3f,\"demand\":%.1f,"
				  "\"rate\":%g,\"burst\":%g}",
				  comma, a->name,
				  a->group->limit_fraction * a->group->share /
					  SHARE_ALL,
				  quota_decay(a->group, now), a->level, a->lent,
				  borrowed_tokens(a), a->demand_per_s, a->rate,
				  a->burst) < 0)
			return -1;
		comma = ",";
	}
	return buffer_printf(json, "}");
}
