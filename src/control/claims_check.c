#include "control/claims_impl.h"

#include <string.h>

/*
 * A write of unknown outcome may reach the store late, after the claim was
 * given up, so the key is read again after a while.
 */
#define RECHECK_US (10 * USEC_PER_SEC)
#define RETRY_US (500 * USEC_PER_MSEC)
#define CHECKS_MAX 2
/* Claims that somebody waits for go first. */
#define CHECK_PRIORITY STORE_QUOTA

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

/* Returns the entry of a key, or NULL. */
const struct store_entry *claim_find_entry(const struct store_result *r,
					   const char *key)
{
	size_t i;

	for (i = 0; i < r->n; i++)
		if (!strcmp(r->entries[i].key, key))
			return &r->entries[i];
	return NULL;
}

static void again(struct claim *e, int64_t after_us, int64_t now)
{
	e->in_flight = false;
	e->not_before_us = now + after_us;
}

static void all_again(struct claims *c, int64_t after_us, int64_t now)
{
	size_t i;

	for (i = 0; i < c->check.n; i++)
		again(claim_get(c, c->check.claims[i]), after_us, now);
	c->checking = false;
}

static void removed(void *ctx, uint64_t tag, const struct store_result *r,
		    int64_t now)
{
	struct claims *c = ctx;
	size_t i;

	(void)tag;
	if (r->outcome != STORE_DONE) {
		all_again(c, RETRY_US, now);
		return;
	}
	for (i = 0; i < c->check.n; i++)
		claim_get(c, c->check.claims[i])->checks = 1;
	all_again(c, RECHECK_US, now);
}

/* Removes the claims of the batch, each at the revision that was read. */
static void remove_found(struct claims *c, int64_t now)
{
	struct store_compare compares[STORE_TXN_OPS_MAX];
	struct store_write writes[STORE_TXN_OPS_MAX];
	struct store_op op = {
		.kind = STORE_TXN,
		.priority = CHECK_PRIORITY,
		.txn = {.compares = compares,
			.compare_count = c->check.n,
			.writes = writes,
			.write_count = c->check.n},
	};
	size_t i;

	for (i = 0; i < c->check.n; i++) {
		const struct claim *e = claim_get(c, c->check.claims[i]);

		compares[i] = (struct store_compare){e->key, e->expected};
		writes[i] = (struct store_write){.key = e->key, .remove = true};
	}
	claim_submit(c, &op, 0, removed, now);
}

static bool is_ours(const struct claim *e, const struct store_entry *found)
{
	struct claim_record r;

	return found && !record_decode(&r, found->value, found->len) &&
	       !strcmp(r.token, e->record.token);
}

static void next_check(struct claims *c, struct claim *e, int64_t now)
{
	if (++e->checks < CHECKS_MAX)
		again(e, RECHECK_US, now);
	else
		claim_remove(c, e);
}

static void checked(void *ctx, uint64_t tag, const struct store_result *r,
		    int64_t now)
{
	struct claims *c = ctx;
	size_t i, n = 0;

	(void)tag;
	if (r->outcome != STORE_CONFLICT) {
		all_again(c, RETRY_US, now);
		return;
	}
	for (i = 0; i < c->check.n; i++) {
		uint64_t handle = c->check.claims[i];
		struct claim *e = claim_get(c, handle);
		const struct store_entry *found = claim_find_entry(r, e->key);

		if (!is_ours(e, found)) {
			next_check(c, e, now);
			continue;
		}
		e->expected = found->mod_revision;
		c->check.claims[n++] = handle;
	}
	c->check.n = n;
	c->checking = n > 0;
	if (n)
		remove_found(c, now);
}

static void collect(struct claims *c, const char **reads, int64_t now)
{
	uint64_t handle = 0;
	void *item;

	c->check.n = 0;
	while (c->check.n < STORE_TXN_OPS_MAX &&
	       (handle = table_next(&c->table, handle, &item))) {
		struct claim *e = *(struct claim **)item;

		if (e->phase != PHASE_CHECK || e->not_before_us > now)
			continue;
		e->in_flight = true;
		reads[c->check.n] = e->key;
		c->check.claims[c->check.n++] = handle;
	}
}

/* Reads the keys of claims that were given up, when it is time. */
void claims_check_tick(struct claims *c, int64_t now)
{
	/* No record ever has this revision, so the reads are done. */
	static const struct store_compare never = {CLAIM_PREFIX, 1};
	const char *reads[STORE_TXN_OPS_MAX];
	struct store_op op = {
		.kind = STORE_TXN,
		.priority = CHECK_PRIORITY,
		.txn = {.compares = &never, .compare_count = 1, .reads = reads},
	};

	if (c->checking)
		return;
	collect(c, reads, now);
	op.txn.read_count = c->check.n;
	if (!c->check.n)
		return;
	c->checking = true;
	claim_submit(c, &op, 0, checked, now);
}
