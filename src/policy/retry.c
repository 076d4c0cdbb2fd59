#include "policy/policy.h"

#include <string.h>

#define RETRY_RESERVE 10.0 /* burst of retries after a period without any */
/* Within the shortest latency objective (1 s) of callers that wait. */
#define RETRY_AFTER_BASE_MS 500.0
/* Added if all calls are shed: about the time a cutoff takes to reopen. */
#define RETRY_AFTER_SHED_MS 1000.0
#define BACKOFF_BASE_US (5 * USEC_PER_MSEC)
#define BACKOFF_MAX_US (200 * USEC_PER_MSEC)

/* Moves half of an allowance, rounded up, to a borrower and returns it. */
uint8_t allowance_lend(uint8_t *left)
{
	uint8_t lent = (uint8_t)((*left + 1) / 2);

	*left = (uint8_t)(*left - lent);
	return lent;
}

/*
 * Adds what a borrower has left to the lender's allowance, once and no more
 * than it was lent: retries from elsewhere, such as those of its own route, and
 * whatever else a peer reports are not the lender's. So the sum never grows.
 */
void allowance_return(uint8_t *left, uint8_t *lent, uint8_t unused)
{
	*left = (uint8_t)(*left + (unused < *lent ? unused : *lent));
	*lent = 0;
}

/* percent is the number of retries allowed per hundred calls. */
void retry_ratio_init(struct retry_ratio *r, uint32_t percent)
{
	r->percent = percent;
	r->reserve = RETRY_RESERVE;
	r->tokens = percent ? RETRY_RESERVE : 0;
}

/* Counts a first attempt, which earns percent / 100 retries. */
void retry_ratio_call(struct retry_ratio *r)
{
	r->tokens += r->percent / 100.0;
	if (r->tokens > r->reserve)
		r->tokens = r->reserve;
}

/* Takes one retry, or returns false if none is left. */
bool retry_ratio_take(struct retry_ratio *r)
{
	if (r->tokens < 1)
		return false;
	r->tokens -= 1;
	return true;
}

/*
 * Returns the wait before a retry in microseconds: exponential in attempt
 * (1 for the first retry), uniform over its upper half.
 */
int64_t retry_backoff_us(uint32_t attempt, uint64_t seed)
{
	int64_t span = BACKOFF_BASE_US;

	while (attempt-- > 1 && span < BACKOFF_MAX_US)
		span *= 2;
	if (span > BACKOFF_MAX_US)
		span = BACKOFF_MAX_US;
	return span / 2 +
	       (int64_t)(pair_hash(seed, 0) % (uint64_t)(span / 2 + 1));
}

/*
 * Returns the Retry-After of a refused call in milliseconds. The mean grows
 * with the shed share of its class; the value is uniform over 0.5 to 1.5 times
 * the mean, so that callers refused together do not return together.
 */
uint32_t retry_after_ms(uint16_t admitted, uint64_t seed)
{
	double shed = 1 - (double)admitted / ADMIT_ALL;
	double mean_ms = RETRY_AFTER_BASE_MS + RETRY_AFTER_SHED_MS * shed;
	double spread = (double)(pair_hash(seed, 1) >> 11) / (1ULL << 53);

	return (uint32_t)(mean_ms * (0.5 + spread));
}

/* The idempotent methods of RFC 9110, 9.2.2; names are case-sensitive. */
bool method_is_idempotent(const char *method)
{
	static const char *const methods[] = {"GET",   "HEAD", "OPTIONS",
					      "TRACE", "PUT",  "DELETE"};
	size_t i;

	for (i = 0; i < sizeof(methods) / sizeof(*methods); i++)
		if (!strcmp(method, methods[i]))
			return true;
	return false;
}

/*
 * Whether a failed attempt may be retried at all, regardless of allowance,
 * ratio and deadline. Once-only calls are retried only if no byte can have
 * reached an upstream. Shed calls are never retried: the same admission hash
 * would meet the same cutoff at the next gate.
 */
bool retry_allowed(enum outcome outcome, enum reason reason, bool once_only)
{
	if (once_only && outcome != OUTCOME_NOT_RUN)
		return false;
	switch (reason) {
	case REASON_QUEUE_FULL:
	case REASON_NO_UPSTREAM: /* of that gate; others may have one */
	case REASON_NO_HOME_UPSTREAM:
	case REASON_UPSTREAM_FAILED:
	case REASON_UPSTREAM_MALFORMED:
	case REASON_LINK_LOST:
	case REASON_STOPPING:
	case REASON_OVERLOADED:
	case REASON_UPSTREAM_REFUSED:
	case REASON_COLD:      /* another upstream may be warm */
	case REASON_EVACUATED: /* other data centres may have upstreams */
		return true;
	default:
		return false;
	}
}
