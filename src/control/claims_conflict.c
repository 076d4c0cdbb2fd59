#include "control/claims_impl.h"

#include <stdio.h>
#include <string.h>

/*
 * Members are learnt in the first seconds of a process; until then a holder
 * that is not known is taken to live.
 */
#define MEMBERS_LEARN_US (10 * USEC_PER_SEC)

/* Whether the process that wrote a record lives, as far as is known. */
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
	/* One that started after the newest news of its host lives. */
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
	/* When it failed, the next repeat of the request marks it. */
	(void)ctx;
	(void)tag;
	(void)r;
	(void)now;
}

/* Writes down that the outcome of a claim is not known. */
static void mark_unresolved(struct claims *c, const struct store_entry *found,
			    struct claim_record *r, int64_t now)
{
	struct store_compare compare = {found->key, found->mod_revision};
	struct store_write write = {.key = found->key};
	struct store_op op = {
		.kind = STORE_TXN,
		.priority = STORE_QUOTA, /* after those that are waited for */
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
 * Decides on a claim whose key another record has, and ends it unless that
 * record turns out to be its own or one to be replaced.
 */
void claim_resolve_conflict(struct claims *c, struct claim *e,
			    const struct store_entry *found, int64_t now)
{
	struct claim_record r;

	if (record_decode(&r, found->value, found->len) < 0) {
		/* Somebody wrote it, so the request may have run. */
		claim_report(e, CLAIM_UNRESOLVED, NULL, now);
	} else if (!strcmp(r.token, e->record.token)) {
		claim_acquired(c, e, found->mod_revision, now);
		return;
	} else if (r.state == RECORD_CLAIMED && held_by_this_process(c, &r)) {
		/*
		 * This process holds no other claim on the key, so this one
		 * was given up before it was won: it never ran.
		 */
		e->expected_revision = found->mod_revision;
		return;
	} else {
		report_existing(c, e, found, &r, now);
	}
	claim_discard(c, e, 1, now);
}
