#include "control/claims/claims_impl.h"

#include <stdio.h>
#include <string.h>

/*
 * A process learns of the other members in its first seconds; until this time
 * has passed, a holder that is not a known member is taken to be alive.
 */
#define MEMBERS_LEARN_US (10 * USEC_PER_SEC)

bool claim_holder_alive(const struct claims *c, const struct claim_record *r,
			int64_t now)
{
	const struct member_info *m;
	struct addr a;

	if (addr_parse(&a, r->holder) < 0)
		return false;
	if (addr_equal(&a, &c->options.self))
		return r->incarnation == c->options.incarnation;
	m = members_find(c->options.members, &a);
	if (!m)
		return now - c->started_us < MEMBERS_LEARN_US;
	/* The holder started after the latest update about its host. */
	if (m->incarnation < r->incarnation)
		return true;
	return m->incarnation == r->incarnation && m->state != MEMBER_DEAD &&
	       m->state != MEMBER_LEFT;
}

static bool held_by_this_process(const struct claims *c,
				 const struct claim_record *r)
{
	return r->incarnation == c->options.incarnation &&
	       !strcmp(r->holder, c->self);
}

static void mark_done(void *ctx, uint64_t tag, const struct store_result *r,
		      int64_t now)
{
	/* If the write failed, the next repeat of the request retries it. */
	(void)ctx;
	(void)tag;
	(void)r;
	(void)now;
}

/* Stores a claim as unresolved and logs it. */
static void mark_unresolved(struct claims *c, const struct store_entry *found,
			    struct claim_record *r, int64_t now)
{
	struct store_compare compare = {found->key, found->mod_revision};
	struct store_write write = {.key = found->key};
	struct store_op op = {
		.kind = STORE_TXN,
		.priority =
			STORE_QUOTA, /* below claims with a waiting requester */
		.txn = {.compares = &compare,
			.compare_count = 1,
			.writes = &write,
			.write_count = 1},
	};
	struct buffer value = {0};
	struct log_line line;

	log_start(&line, LOG_WARNING, "claim-unresolved");
	log_str(&line, "request", r->request);
	log_str(&line, "account", r->account);
	log_str(&line, "route", r->route);
	log_str(&line, "holder", r->holder);
	log_emit(&line);
	r->state = RECORD_UNRESOLVED;
	if (!record_encode(r, &value)) {
		write.value = value.data;
		write.len = value.len;
		claim_submit(c, &op, 0, mark_done, now);
	}
	buffer_free(&value);
}

static void report_done(struct claim *e, const struct claim_record *r,
			int64_t now)
{
	struct message answer = {0};
	bool kept = r->status && !record_to_message(r, &answer);

	claim_report(e, CLAIM_DONE, kept ? &answer : NULL, now);
	message_free(&answer);
}

/* Reports the state of another claim's record to the requester. */
static void report_existing(struct claims *c, struct claim *e,
			    const struct store_entry *found,
			    struct claim_record *r, int64_t now)
{
	if (r->fingerprint != e->record.fingerprint) {
		claim_report(e, CLAIM_MISMATCH, NULL, now);
		return;
	}
	switch (r->state) {
	case RECORD_DONE:
		report_done(e, r, now);
		return;
	case RECORD_CLAIMED:
		if (claim_holder_alive(c, r, now)) {
			claim_report(e, CLAIM_RUNNING, NULL, now);
			return;
		}
		mark_unresolved(c, found, r, now);
		break;
	case RECORD_UNRESOLVED:
		break;
	}
	claim_report(e, CLAIM_UNRESOLVED, NULL, now);
}

/*
 * Handles a claim whose key has a record in the store. The claim is acquired
 * if the record is its own, and written again if the record is left over from
 * a discarded claim of this process; otherwise the state of the record is
 * reported and the claim discarded.
 */
void claim_resolve_conflict(struct claims *c, struct claim *e,
			    const struct store_entry *found, int64_t now)
{
	struct claim_record r;

	if (record_decode(&r, found->value, found->len) < 0) {
		/* The request of the unknown writer may have run. */
		claim_report(e, CLAIM_UNRESOLVED, NULL, now);
	} else if (!strcmp(r.token, e->record.token)) {
		claim_acquired(c, e, found->mod_revision, now);
		return;
	} else if (r.state == RECORD_CLAIMED && held_by_this_process(c, &r)) {
		/*
		 * This process holds no other claim on the key, so the record
		 * is of a claim discarded before it was acquired, whose
		 * request never ran.
		 */
		e->expected_revision = found->mod_revision;
		return;
	} else {
		report_existing(c, e, found, &r, now);
	}
	claim_discard(c, e, 1, now);
}
