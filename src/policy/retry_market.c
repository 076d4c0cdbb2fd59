#include "policy/policy.h"

#include <math.h>

/* The price of a retry, by how much of what can be saved is there. */
#define PRICE_EMPTY 4.0
#define PRICE_FULL 0.02
/*
 * What is earned in this time can be saved, and one retry at least. All hosts
 * may spend what they saved at once.
 */
#define SAVED_US USEC_PER_SEC
#define CALLS_AFTER_MAX 16 /* more are not worth a retry */

/* Starts without a token; per_call is set by the caller. */
void retry_market_init(struct retry_market *m)
{
	*m = (struct retry_market){.price = PRICE_EMPTY};
}

static double tokens_max(const struct retry_market *m)
{
	double saved = m->earned_s * SAVED_US / USEC_PER_SEC;

	return saved < 1 ? 1 : saved;
}

static void set_price(struct retry_market *m)
{
	m->price = PRICE_EMPTY *
		   pow(PRICE_FULL / PRICE_EMPTY, m->tokens / tokens_max(m));
}

/* Counts a first attempt. */
void retry_market_call(struct retry_market *m, int64_t now)
{
	double age = (double)(now - m->last_us) / SAVED_US;

	if (age > 0)
		m->earned_s *= exp(-age);
	m->last_us = now;
	m->earned_s += m->per_call * USEC_PER_SEC / SAVED_US;
	m->tokens += m->per_call;
	if (m->tokens > tokens_max(m))
		m->tokens = tokens_max(m);
	set_price(m);
}

/*
 * Expected worth of a chain that has calls left, each of which may be sent
 * twice: a retry is worth what it saves, less the price.
 */
static double expected_worth(const struct retry_market *m, double worth,
			     double rejected_share, uint32_t calls_left)
{
	double once, twice;

	while (calls_left--) {
		once = (1 - rejected_share) * worth;
		twice = once + rejected_share * (once - m->price);
		worth = twice > once ? twice : once;
	}
	return worth;
}

/*
 * Takes one retry, if there is one and it is worth its price to a root of this
 * class that needs calls_after more calls.
 */
bool retry_market_take(struct retry_market *m, enum shed_class cls,
		       double rejected_share, uint32_t calls_after)
{
	static const double worth[SHED_CLASSES] = {
		[SHED_FIRST] = 1, [SHED_MIDDLE] = 2, [SHED_LAST] = 4};
	uint32_t after =
		calls_after < CALLS_AFTER_MAX ? calls_after : CALLS_AFTER_MAX;
	double bid = (1 - rejected_share) *
		     expected_worth(m, worth[cls], rejected_share, after);

	if (m->tokens < 1 || bid < m->price)
		return false;
	m->tokens -= 1;
	set_price(m);
	return true;
}
