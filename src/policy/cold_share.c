/* How entries use cold upstreams while others of the service are warm. */
#include "policy/policy.h"

#define RETRY_SPREAD_MIN_US USEC_PER_SEC

/* Starts an entry's share; random spreads the first calls of the entries. */
void cold_share_init(struct cold_share *s, uint64_t random, int64_t now)
{
	bucket_init(&s->calls, 0, 1, (double)(random >> 11) / (1ULL << 53),
		    now);
}

/* Whether the share, in calls a second, has earned a call. */
bool cold_share_due(struct cold_share *s, double rate, int64_t now)
{
	s->calls.rate = rate;
	bucket_refill(&s->calls, now);
	return s->calls.level >= 1;
}

/* Takes a call from the share, whatever is left of it. */
void cold_share_take(struct cold_share *s)
{
	s->calls.level = s->calls.level > 1 ? s->calls.level - 1 : 0;
}

/*
 * What was refused in a cold period returns over the same time after it: all at
 * once, it would be several times the usual load.
 */
uint32_t cold_retry_after_ms(int64_t left_us, int64_t cold_start_us,
			     uint64_t random)
{
	int64_t spread_us = cold_start_us > RETRY_SPREAD_MIN_US
				    ? cold_start_us
				    : RETRY_SPREAD_MIN_US;

	left_us += (int64_t)(random % (uint64_t)spread_us);
	return (uint32_t)(left_us / USEC_PER_MSEC);
}

/* Whether a warm upstream would start the call at once. */
static bool warm_has_room(const struct balance_candidate *c, size_t n,
			  int64_t now)
{
	size_t i;

	for (i = 0; i < n; i++)
		if (c[i].cold_rate <= 0 && !c[i].tried &&
		    c[i].load->ejected_until_us <= now &&
		    balance_has_room(&c[i], now))
			return true;
	return false;
}

/*
 * Removes the cold candidates that are not due while a warm one has room, and
 * their handles. Returns the number of those that are left.
 */
size_t cold_select(struct balance_candidate *c, uint64_t *handles, size_t n,
		   int64_t now)
{
	size_t i, left = 0;

	for (i = 0; i < n; i++)
		left += c[i].cold_rate > 0;
	if (!left || !warm_has_room(c, n, now))
		return n;
	left = 0;
	for (i = 0; i < n; i++) {
		if (c[i].cold_rate > 0 && !c[i].cold_due)
			continue;
		c[left] = c[i];
		handles[left++] = handles[i];
	}
	return left;
}
