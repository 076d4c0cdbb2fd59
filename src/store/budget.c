#include "store/store_impl.h"

#include <stdlib.h>
#include <utlist.h>

#define CALL_US USEC_PER_SEC
#define REFILL_MAX_US (60 * USEC_PER_SEC)
#define QUEUED_MAX 1024
#define BURST_DIVISOR 4

/* Prepares a budget of calls a second; 0 caps nothing. */
void budget_init(struct budget *b, uint32_t calls_s)
{
	int i;

	b->calls_s = calls_s;
	b->watches = 0;
	b->tokens_us = 0;
	b->refilled_us = INT64_MIN;
	b->queued_count = 0;
	for (i = 0; i < STORE_PRIORITIES; i++)
		b->queued[i] = NULL;
}

/* Frees the held calls without a report. */
void budget_free(struct budget *b)
{
	struct queued_call *h, *next;
	int i;

	for (i = 0; i < STORE_PRIORITIES; i++)
		DL_FOREACH_SAFE(b->queued[i], h, next)
	free(h);
}

static uint32_t burst_calls(const struct budget *b)
{
	uint32_t burst = b->calls_s / BURST_DIVISOR;

	return burst ? burst : 1;
}

/* Calls a second besides the burst, so that no second sees more in all. */
static uint32_t sustained_calls(const struct budget *b)
{
	uint32_t burst = burst_calls(b);

	return b->calls_s > burst ? b->calls_s - burst : 1;
}

static void refill(struct budget *b, int64_t now)
{
	int64_t elapsed = REFILL_MAX_US;

	if (b->refilled_us > now - REFILL_MAX_US)
		elapsed = now - b->refilled_us;
	b->refilled_us = now;
	if (elapsed < 0)
		return;
	b->tokens_us += elapsed * (sustained_calls(b) - b->watches);
	if (b->tokens_us > burst_calls(b) * CALL_US)
		b->tokens_us = burst_calls(b) * CALL_US;
}

/* What a priority leaves for those above it. */
static int64_t reserve_us(const struct budget *b, enum store_priority p)
{
	return (burst_calls(b) - 1) * CALL_US / STORE_PRIORITIES * p;
}

static bool spend(struct budget *b, enum store_priority p)
{
	if (b->tokens_us < CALL_US + reserve_us(b, p))
		return false;
	b->tokens_us -= CALL_US;
	return true;
}

/*
 * Spends one call, unless there is none left for this priority or a call
 * of the same or a higher one is waiting.
 */
bool budget_take(struct budget *b, enum store_priority p, int64_t now)
{
	int i;

	if (!b->calls_s)
		return true;
	refill(b, now);
	for (i = 0; i <= (int)p; i++)
		if (b->queued[i])
			return false;
	return spend(b, p);
}

/* Whether one more open watch leaves some calls for the rest. */
bool budget_allows_watch(struct budget *b)
{
	return !b->calls_s || b->watches + 1 < sustained_calls(b);
}

/*
 * Keeps a copy of a call until budget_dequeue or budget_expired gives it back.
 * When too many wait already it expires at the next tick, unstarted.
 */
void budget_enqueue(struct budget *b, const struct store_op *op,
		    const struct store_done *done, int64_t now)
{
	static const struct store_op placeholder = {.kind = STORE_LEASE_KEEP};
	bool full = b->queued_count >= QUEUED_MAX;
	struct queued_call *h = queued_call_copy(full ? &placeholder : op);

	/* A call must never end without a report. */
	if (!h)
		abort();
	h->queued_at_us = now;
	h->expires_us = now + (full || op->timeout_us < 1 ? 1 : op->timeout_us);
	h->done = *done;
	DL_APPEND(b->queued[op->priority], h);
	b->queued_count++;
}

static struct queued_call *dequeue(struct budget *b, int p,
				   struct queued_call *h)
{
	DL_DELETE(b->queued[p], h);
	b->queued_count--;
	return h;
}

/* Returns the next held call that may go, the caller's to free, or NULL. */
struct queued_call *budget_dequeue(struct budget *b, int64_t now)
{
	int i;

	if (!b->queued_count)
		return NULL;
	refill(b, now);
	for (i = 0; i < STORE_PRIORITIES; i++) {
		if (!b->queued[i])
			continue;
		if (!spend(b, (enum store_priority)i))
			return NULL;
		return dequeue(b, i, b->queued[i]);
	}
	return NULL;
}

/* Returns a held call whose time is up, the caller's to free, or NULL. */
struct queued_call *budget_expired(struct budget *b, int64_t now)
{
	struct queued_call *h;
	int i;

	for (i = 0; i < STORE_PRIORITIES && b->queued_count; i++)
		DL_FOREACH(b->queued[i], h)
	if (h->expires_us <= now)
		return dequeue(b, i, h);
	return NULL;
}
