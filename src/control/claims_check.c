#include "control/claims_impl.h"

#include <string.h>

/*
 * A write of unknown outcome may reach the store late, after the claim was
 * given up, so the key is read again after a while.
 */
#define RECHECK_US (10 * USEC_PER_SEC)
#define RETRY_US (500 * USEC_PER_MSEC)
#define CHECKS_MAX 2

/*
 * Gives up a claim that never ran. When it may be in the store, the key is
 * read, at once or after a first check, and the claim removed if found.
 */
void claim_check(struct claims *c, struct claim *e, uint32_t checks,
		 int64_t now)
{
	if (!e->maybe_written) {
		claim_remove(c, e);
		return;
	}
	if (e->phase != PHASE_WAIT)
		HASH_DELETE(hh, c->by_key, e);
	e->phase = PHASE_CHECK;
	e->in_flight = false;
	e->checks = checks;
	e->not_before_us = checks ? now + RECHECK_US : now;
}

static void again(struct claim *e, int64_t after_us, int64_t now)
{
	e->in_flight = false;
	e->not_before_us = now + after_us;
}

static void removed(void *ctx, uint64_t tag, const struct store_result *r,
		    int64_t now)
{
	struct claim *e = claim_get(ctx, tag);

	if (!e)
		return;
	if (r->outcome != STORE_DONE && r->outcome != STORE_CONFLICT) {
		again(e, RETRY_US, now);
		return;
	}
	e->checks = 1;
	again(e, RECHECK_US, now);
}

static void remove_found(struct claims *c, struct claim *e,
			 const struct store_entry *found, int64_t now)
{
	struct store_compare compare = {e->key, found->mod_revision};
	struct store_write write = {.key = e->key, .remove = true};
	struct store_op op = {
		.kind = STORE_TXN,
		.txn = {.compares = &compare,
			.compare_count = 1,
			.writes = &write,
			.write_count = 1},
	};

	claim_submit(c, &op, e->handle, removed, now);
}

static bool holds_own(const struct claim *e, const struct store_result *r)
{
	struct claim_record found;

	return r->n &&
	       !record_decode(&found, r->entries[0].value, r->entries[0].len) &&
	       !strcmp(found.token, e->record.token);
}

static void checked(void *ctx, uint64_t tag, const struct store_result *r,
		    int64_t now)
{
	struct claims *c = ctx;
	struct claim *e = claim_get(c, tag);

	if (!e)
		return;
	if (r->outcome != STORE_DONE)
		again(e, RETRY_US, now);
	else if (holds_own(e, r))
		remove_found(c, e, &r->entries[0], now);
	else if (++e->checks < CHECKS_MAX)
		again(e, RECHECK_US, now);
	else
		claim_remove(c, e);
}

/* Reads the key of a claim that was given up, when it is time. */
void claim_check_tick(struct claims *c, struct claim *e, int64_t now)
{
	struct store_op op = {.kind = STORE_GET, .key = e->key};

	if (e->in_flight || e->not_before_us > now)
		return;
	e->in_flight = true;
	claim_submit(c, &op, e->handle, checked, now);
}
