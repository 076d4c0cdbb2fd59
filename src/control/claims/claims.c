#include "control/claims/claims_impl.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CLAIMS_MAX (1U << 20)
#define BATCHES_MAX 16
#define LISTS_MAX 16
#define CLAIM_HASH_SIZE 20
#define CLAIM_KEY_LEN (sizeof(CLAIM_PREFIX) - 1 + 2 * CLAIM_HASH_SIZE)

/* Creates a controller; NULL when out of memory. */
struct claims *claims_new(const struct claims_options *o, int64_t now)
{
	struct claims *c = calloc(1, sizeof(*c));

	if (!c)
		return NULL;
	c->options = *o;
	c->started_us = now;
	c->batch_max = STORE_TXN_OPS_MAX;
	addr_format(&o->self, c->self);
	table_init(&c->table, sizeof(struct claim *), CLAIMS_MAX);
	table_init(&c->batches, sizeof(struct batch *), BATCHES_MAX);
	table_init(&c->lists, sizeof(void *), LISTS_MAX);
	return c;
}

/*
 * Frees the controller without calling any callback. The store must not
 * deliver results to it afterwards.
 */
void claims_free(struct claims *c)
{
	uint64_t handle = 0;
	void *item;

	while ((handle = table_next(&c->table, handle, &item)))
		claim_remove(c, *(struct claim **)item);
	while ((handle = table_next(&c->batches, handle, &item)))
		free(*(struct batch **)item);
	claims_lists_free(c);
	claims_written_free(c);
	table_free(&c->table);
	table_free(&c->batches);
	free(c);
}

struct claim *claim_get(const struct claims *c, uint64_t handle)
{
	struct claim **e = table_get(&c->table, handle);

	return e ? *e : NULL;
}

static bool is_indexed(const struct claim *e)
{
	return e->phase != PHASE_WAIT && e->phase != PHASE_CLEANUP;
}

void claim_remove(struct claims *c, struct claim *e)
{
	if (is_indexed(e))
		HASH_DELETE(hh, c->by_key, e);
	table_remove(&c->table, e->handle);
	buffer_free(&e->value);
	free(e);
}

void claim_report(struct claim *e, enum claim_state state,
		  const struct message *answer, int64_t now)
{
	if (!e->requester_waiting)
		return;
	e->requester_waiting = false;
	e->done.fn(e->done.ctx, e->done.tag, state, e->handle, answer, now);
}

void claim_submit(struct claims *c, struct store_op *op, uint64_t tag,
		  void (*fn)(void *ctx, uint64_t tag,
			     const struct store_result *r, int64_t now),
		  int64_t now)
{
	struct store_done done = {.ctx = c, .tag = tag, .fn = fn};

	op->timeout_us = CLAIM_CALL_US;
	store_submit(c->options.store, op, &done, now);
}

static void hash_part(crypto_generichash_state *h, const char *text)
{
	/* With its NUL, so that different parts never give the same input. */
	crypto_generichash_update(h, (const unsigned char *)text,
				  strlen(text) + 1);
}

static void make_key(char key[CLAIM_KEY_SIZE], const char *account,
		     const char *route, const char *name)
{
	unsigned char hash[CLAIM_HASH_SIZE];
	crypto_generichash_state h;
	char hex[2 * CLAIM_HASH_SIZE + 1];

	crypto_generichash_init(&h, NULL, 0, sizeof(hash));
	hash_part(&h, account);
	hash_part(&h, route);
	hash_part(&h, name);
	crypto_generichash_final(&h, hash, sizeof(hash));
	sodium_bin2hex(hex, sizeof(hex), hash, sizeof(hash));
	snprintf(key, CLAIM_KEY_SIZE, CLAIM_PREFIX "%s", hex);
}

static struct claim *add_claim(struct claims *c)
{
	struct claim *e = calloc(1, sizeof(*e));
	void *item;

	if (!e)
		return NULL;
	e->handle = table_add(&c->table, &item);
	if (!e->handle) {
		free(e);
		return NULL;
	}
	*(struct claim **)item = e;
	return e;
}

/*
 * Claims an idempotency key. done is called once, from a later tick or store
 * result; if no claim can be added, it is called at once with
 * CLAIM_STORE_UNAVAILABLE. fingerprint is a hash of method, target and body.
 * The request must not run before CLAIM_FRESH is reported.
 */
void claims_begin(struct claims *c, const char *account, const char *route,
		  const char *key, uint64_t fingerprint, const char *request,
		  int64_t deadline_us, const struct claim_done *done,
		  int64_t now)
{
	struct claim *e = add_claim(c);
	struct claim_record *r;

	if (!e) {
		done->fn(done->ctx, done->tag, CLAIM_STORE_UNAVAILABLE, 0, NULL,
			 now);
		return;
	}
	e->phase = PHASE_WAIT;
	e->batch_kind = BATCH_UNREAD_KEYS;
	e->deadline_us = deadline_us;
	e->done = *done;
	e->requester_waiting = true;
	make_key(e->key, account, route, key);
	r = &e->record;
	r->incarnation = c->options.incarnation;
	r->fingerprint = fingerprint;
	r->wall_us = clock_wall_us();
	random_token(r->token, sizeof(r->token));
	snprintf(r->holder, sizeof(r->holder), "%s", c->self);
	snprintf(r->request, sizeof(r->request), "%s", request);
	snprintf(r->account, sizeof(r->account), "%s", account);
	snprintf(r->route, sizeof(r->route), "%s", route);
}

/* Cancels the report to a requester; a claim acquired later is released. */
void claims_cancel_wait(struct claims *c, uint64_t tag)
{
	uint64_t handle = 0;
	void *item;

	while ((handle = table_next(&c->table, handle, &item))) {
		struct claim *e = *(struct claim **)item;

		if (e->requester_waiting && e->done.tag == tag)
			e->requester_waiting = false;
	}
}

/*
 * Marks a claim as stored and lets its request run. If the requester has gone
 * or the deadline has passed, the claim is removed instead.
 */
void claim_acquired(struct claims *c, struct claim *e, int64_t mod_revision,
		    int64_t now)
{
	e->expected_revision = mod_revision;
	e->in_flight = false;
	e->phase = PHASE_HELD;
	buffer_free(&e->value);
	if (!e->requester_waiting || now >= e->deadline_us) {
		claim_report(e, CLAIM_STORE_UNAVAILABLE, NULL, now);
		claim_set_outcome(c, e, CLAIM_OUTCOME_REMOVED, now);
		return;
	}
	claim_report(e, CLAIM_FRESH, NULL, now);
}

void claim_set_outcome(struct claims *c, struct claim *e,
		       enum claim_outcome outcome, int64_t now)
{
	static const enum record_state states[] = {
		[CLAIM_OUTCOME_DONE] = RECORD_DONE,
		[CLAIM_OUTCOME_UNRESOLVED] = RECORD_UNRESOLVED,
		[CLAIM_OUTCOME_REMOVED] = RECORD_CLAIMED,
	};

	(void)c;
	e->phase = PHASE_ENDING;
	e->outcome = outcome;
	e->batch_kind = BATCH_UNREAD_KEYS;
	e->ended_us = now;
	e->not_before_us = now;
	e->record.state = states[outcome];
	buffer_free(&e->value);
	if (outcome != CLAIM_OUTCOME_REMOVED &&
	    record_encode(&e->record, &e->value) < 0)
		abort();
}

/* Adds an answer to a record unless too large. Does not copy the body. */
static void record_set_answer(struct claim_record *r,
			      const struct message *answer)
{
	const char *type = message_header(answer, "content-type");

	if (answer->body.len > CLAIM_ANSWER_MAX ||
	    (type && strlen(type) >= sizeof(r->content_type)))
		return;
	r->status = answer->status;
	if (type)
		snprintf(r->content_type, sizeof(r->content_type), "%s", type);
	r->body = answer->body.data;
	r->body_len = answer->body.len;
}

static struct claim *get_held(const struct claims *c, uint64_t handle)
{
	struct claim *e = claim_get(c, handle);

	return e && e->phase == PHASE_HELD ? e : NULL;
}

/*
 * Ends a claim whose request ran. The write is retried until it succeeds; from
 * then on repeats of the request get the answer, if its body is at most 16 KiB.
 */
void claims_finish(struct claims *c, uint64_t claim,
		   const struct message *answer, int64_t now)
{
	struct claim *e = get_held(c, claim);

	if (!e)
		return;
	if (answer)
		record_set_answer(&e->record, answer);
	claim_set_outcome(c, e, CLAIM_OUTCOME_DONE, now);
	e->record.body = NULL;
	e->record.body_len = 0;
}

/* Ends a claim whose request did not run, so that the key can be reused. */
void claims_release(struct claims *c, uint64_t claim, int64_t now)
{
	struct claim *e = get_held(c, claim);

	if (!e)
		return;
	claim_forget(c, e);
	claim_set_outcome(c, e, CLAIM_OUTCOME_REMOVED, now);
}

/* Ends a claim whose request may have run, with an unknown result. */
void claims_mark_unresolved(struct claims *c, uint64_t claim, int64_t now)
{
	struct claim *e = get_held(c, claim);

	if (e)
		claim_set_outcome(c, e, CLAIM_OUTCOME_UNRESOLVED, now);
}

/* Answers a repeat of a request that this node holds a claim for. */
static void report_local_repeat(struct claims *c, struct claim *e,
				const struct claim *other, int64_t now)
{
	struct store_entry entry = {.value = other->value.data,
				    .len = other->value.len};

	if (e->record.fingerprint != other->record.fingerprint) {
		claim_report(e, CLAIM_MISMATCH, NULL, now);
	} else if (other->phase == PHASE_ENDING && other->value.len) {
		claim_resolve_conflict(c, e, &entry, now);
		return;
	} else {
		claim_report(e, CLAIM_RUNNING, NULL, now);
	}
	claim_remove(c, e);
}

static struct claim *find_by_key(const struct claims *c, const char *key)
{
	struct claim *e;

	HASH_FIND_BYHASHVALUE(hh, c->by_key, key, CLAIM_KEY_LEN,
			      (unsigned)name_hash(key), e);
	return e;
}

/* NOLINTNEXTLINE(readability-function-size): the macro of uthash is long */
static void index_claim(struct claims *c, struct claim *e)
{
	HASH_ADD_BYHASHVALUE(hh, c->by_key, key, CLAIM_KEY_LEN,
			     (unsigned)name_hash(e->key), e);
}

/* Starts a waiting claim, or reports a claim of this node on the same key. */
static void start_claim(struct claims *c, struct claim *e, int64_t now)
{
	const struct claim *other = find_by_key(c, e->key);

	if (!other) {
		if (record_encode(&e->record, &e->value) < 0)
			abort();
		e->phase = PHASE_CREATE;
		index_claim(c, e);
		return;
	}
	/* Keep waiting while the other claim is being created or removed. */
	if (other->phase == PHASE_HELD ||
	    (other->phase == PHASE_ENDING &&
	     other->outcome != CLAIM_OUTCOME_REMOVED))
		report_local_repeat(c, e, other, now);
}

static void tick_claim(struct claims *c, struct claim *e, int64_t now)
{
	switch (e->phase) {
	case PHASE_WAIT:
	case PHASE_CREATE:
		if (now >= e->deadline_us)
			claim_report(e, CLAIM_STORE_UNAVAILABLE, NULL, now);
		if (!e->requester_waiting && !e->in_flight)
			claim_discard(c, e, 0, now);
		else if (e->phase == PHASE_WAIT)
			start_claim(c, e, now);
		return;
	case PHASE_HELD:
	case PHASE_ENDING:
	case PHASE_CLEANUP:
		return;
	}
}

/* Reports missed deadlines, starts waiting claims and writes due ones. */
void claims_tick(struct claims *c, int64_t now)
{
	uint64_t handle = 0;
	void *item;

	while ((handle = table_next(&c->table, handle, &item)))
		tick_claim(c, *(struct claim **)item, now);
	if (c->table.count)
		claims_lease_tick(c, now);
	claims_restore_tick(c, now);
	claims_flush(c, now);
	claims_cleanup_tick(c, now);
}

/*
 * Whether no claim is being created, held or written, and none is discarded
 * without a first cleanup read.
 */
bool claims_idle(const struct claims *c)
{
	uint64_t handle = 0;
	void *item;

	while ((handle = table_next(&c->table, handle, &item))) {
		const struct claim *e = *(struct claim **)item;

		if (e->phase != PHASE_CLEANUP || !e->cleanup_reads)
			return false;
	}
	return true;
}
