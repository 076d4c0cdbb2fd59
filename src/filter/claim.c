#include "filter/filter.h"

#include <xxhash.h>

#include "node/node.h"

#define IDEMPOTENCY_KEY_MAX 200

/*
 * Hash of method, target and body. An idempotency key that is reused with
 * another fingerprint is refused as a mismatch.
 */
static uint64_t fingerprint(const struct message *m)
{
	uint64_t head = pair_hash(name_hash(m->method), name_hash(m->target));

	return pair_hash(head, XXH3_64bits(m->body.data, m->body.len));
}

/* Answers a duplicate with the stored answer, or refuses it if that is NULL. */
static void answer_from_claim(struct node *n, struct request *r,
			      const struct message *stored, int64_t now)
{
	struct message answer = {0};

	if (!stored) {
		request_refuse(n, r, REASON_CLAIM_UNKNOWN, OUTCOME_DONE, now);
		return;
	}
	if (message_copy(&answer, stored) < 0) {
		request_refuse(n, r, REASON_OVERLOADED, OUTCOME_DONE, now);
		return;
	}
	request_answer(n, r, &answer, now);
	message_free(&answer);
}

static void claim_result(void *ctx, uint64_t tag, enum claim_state state,
			 uint64_t claim, const struct message *answer,
			 int64_t now)
{
	struct node *n = ctx;
	struct request *r = request_get(n, tag);

	if (!r) {
		if (state == CLAIM_FRESH)
			claims_release(n->claims, claim, now);
		return;
	}
	r->claim_pending = false;
	switch (state) {
	case CLAIM_FRESH:
		r->claim = claim;
		r->stage = STAGE_PLACE;
		request_resume(n, tag, now);
		return;
	case CLAIM_DONE:
		answer_from_claim(n, r, answer, now);
		return;
	case CLAIM_RUNNING:
		request_refuse(n, r, REASON_CLAIM_RUNNING, OUTCOME_UNKNOWN,
			       now);
		return;
	case CLAIM_UNRESOLVED:
		request_refuse(n, r, REASON_CLAIM_UNKNOWN, OUTCOME_UNKNOWN,
			       now);
		return;
	case CLAIM_MISMATCH:
		request_refuse(n, r, REASON_IDEMPOTENCY_MISMATCH,
			       OUTCOME_NOT_RUN, now);
		return;
	case CLAIM_STORE_UNAVAILABLE:
		request_refuse(n, r, REASON_STORE_UNAVAILABLE, OUTCOME_NOT_RUN,
			       now);
		return;
	}
}

/*
 * On a once-only route, claims the idempotency key in the store before anything
 * is sent to an upstream.
 */
enum filter_result filter_claim(struct node *n, struct request *r, int64_t now)
{
	const char *key = message_header(&r->message, "idempotency-key");
	struct claim_done done = {
		.ctx = n, .tag = r->handle, .fn = claim_result};

	if (!r->route->once)
		return FILTER_NEXT;
	if (!key || !*key || strlen(key) > IDEMPOTENCY_KEY_MAX)
		return request_refuse(n, r, REASON_NO_IDEMPOTENCY_KEY,
				      OUTCOME_NOT_RUN, now);
	r->claim_pending = true;
	claims_begin(n->claims, r->account ? r->account->name : "",
		     r->route->name, key, fingerprint(&r->message), r->id,
		     r->deadline_us, &done, now);
	return FILTER_WAIT;
}
