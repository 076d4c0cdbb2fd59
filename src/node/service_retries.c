/*
 * Retries within the retry ratio of each service. A call that makes calls
 * itself repeats them when it is retried, and each service below counts those
 * against its own ratio. So such calls get a small part of the ratio, and calls
 * at the end of a chain, whose retry costs one call, get most of it.
 */
#include "node/node.h"

#include <math.h>
#include <stdlib.h>

/* Of the promised ratio, for the calls at each level of a chain. */
#define PROMISED_CHAIN_FRACTION 0.05
/* Of the promised ratio, for calls at the end of a chain. */
#define PROMISED_END_FRACTION 0.6
/* Kept small because all hosts may spend their reserves at once. */
#define PROMISED_RESERVE_TOKENS 1.0
/* Runs of a call, by the smoothed mean, up to which it ends its chain. */
#define END_RUNS_MAX 1.05
#define REJECTED_GAIN 0.02 /* weight of an answer in the rejected share */

/* Used when out of memory: allows no retries. */
static struct service_retries no_retries;

static uint32_t chain_percent(struct node *n, const char *service)
{
	const struct service *s =
		n->config ? config_service(n->config, service) : NULL;
	double promised = n->settings.promises.retry_ratio;

	if (promised > 0)
		return (uint32_t)(promised * PROMISED_CHAIN_FRACTION * 100);
	return s ? s->retry_percent : 0;
}

/* Returns the retries of a service under the configuration in force. */
struct service_retries *service_retries(struct node *n, const char *service)
{
	double promised = n->settings.promises.retry_ratio;
	uint32_t percent = chain_percent(n, service);
	struct service_retries *s;

	HASH_FIND_STR(n->retries, service, s);
	if (!s) {
		s = calloc(1, sizeof(*s));
		if (!s)
			return &no_retries;
		copy_name(s->name, sizeof(s->name), service);
		retry_ratio_init(&s->ratio, percent);
		retry_market_init(&s->market);
		if (promised > 0) {
			s->ratio.reserve = PROMISED_RESERVE_TOKENS;
			s->ratio.tokens = 0;
		}
		HASH_ADD_STR(n->retries, name, s);
	}
	s->ratio.percent = percent;
	s->market.per_call = promised * PROMISED_END_FRACTION;
	return s;
}

void service_retries_free(struct node *n)
{
	struct service_retries *s = n->retries, *next;

	HASH_CLEAR(hh, n->retries);
	for (; s; s = next) {
		next = s->hh.next;
		free(s);
	}
}

/* Whether calls of this route are known to make no calls themselves. */
static bool ends_chain(struct node *n, const struct request *r)
{
	const struct route_stats *s = route_stats(n, r->route->name);

	return n->settings.promises.retry_ratio > 0 && s && s->runs > 0 &&
	       s->runs <= END_RUNS_MAX;
}

void retries_count_call(struct node *n, const struct request *r, int64_t now)
{
	struct service_retries *s = service_retries(n, r->service);

	if (ends_chain(n, r))
		retry_market_call(&s->market, now);
	else
		retry_ratio_call(&s->ratio);
}

void retries_heard(struct node *n, const struct request *r,
		   const struct answer_head *head)
{
	struct service_retries *s = service_retries(n, r->service);
	bool rejected = head->outcome == OUTCOME_NOT_RUN &&
			head->reason == REASON_UPSTREAM_REFUSED;

	if (!rejected && head->outcome != OUTCOME_DONE)
		return;
	s->rejected_share += (rejected - s->rejected_share) * REJECTED_GAIN;
	if (head->outcome == OUTCOME_DONE && head->runs)
		route_stats_add_runs(n, r->route->name, head->runs);
}

/* Estimates how many more calls the parent of a sub-call makes. */
static uint32_t calls_after(struct node *n, const struct request *r)
{
	const struct call *parent = gates_call_get(n, r->parent);
	const struct route_stats *s;
	double left;

	s = parent ? route_stats(n, parent->head.route) : NULL;
	if (!s)
		return 0;
	left = s->sub_calls - parent->sub_calls;
	return left > 0 ? (uint32_t)lround(left) : 0;
}

bool retries_take(struct node *n, const struct request *r)
{
	struct service_retries *s = service_retries(n, r->service);

	if (!ends_chain(n, r))
		return retry_ratio_take(&s->ratio);
	return retry_market_take(&s->market, r->cls, s->rejected_share,
				 calls_after(n, r));
}
