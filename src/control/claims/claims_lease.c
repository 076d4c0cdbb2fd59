#include "control/claims/claims_impl.h"

/*
 * Records of done claims expire with their lease. One lease is used for all
 * claims that are done within LEASE_SHARE_US.
 */
#define LEASE_TTL_S (48 * 3600)
#define LEASE_SHARE_US (3600 * USEC_PER_SEC)
/*
 * A lease that could not be replaced is used up to this age. An older one
 * would keep new records for less than 24 hours.
 */
#define LEASE_MAX_AGE_US (24 * LEASE_SHARE_US)
#define LEASE_RETRY_US USEC_PER_SEC

static void grant_done(void *ctx, uint64_t tag, const struct store_result *r,
		       int64_t now)
{
	struct claims *c = ctx;

	(void)tag;
	c->lease_requested = false;
	if (r->outcome != STORE_DONE || !r->lease) {
		/* A lease whose grant went unnoticed expires by itself. */
		c->lease_retry_us = now + LEASE_RETRY_US;
		return;
	}
	c->lease = r->lease;
	c->lease_granted_us = now;
}

/* Requests a lease if there is none or LEASE_SHARE_US has passed. */
void claims_lease_tick(struct claims *c, int64_t now)
{
	struct store_op op = {
		.kind = STORE_LEASE_GRANT,
		.lease = {.ttl_s = LEASE_TTL_S},
	};

	if (c->lease && now - c->lease_granted_us >= LEASE_MAX_AGE_US)
		c->lease = 0;
	if (c->lease_requested || now < c->lease_retry_us ||
	    (c->lease && now - c->lease_granted_us < LEASE_SHARE_US))
		return;
	c->lease_requested = true;
	claim_submit(c, &op, 0, grant_done, now);
}

void claims_lease_lost(struct claims *c)
{
	c->lease = 0;
}
