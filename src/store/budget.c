#include "store/store_impl.h"

#include <stdlib.h>
#include <utlist.h>

#define CALL_US USEC_PER_SEC
/* Longest time credited by one refill, as refilled_us starts at INT64_MIN. */
#define REFILL_MAX_US (60 * USEC_PER_SEC)
#define QUEUED_MAX 1024
/* The bucket holds calls_s / BURST_DIVISOR calls. */
#define BURST_DIVISOR 4

/* Initialises a budget of calls per second; 0 means no cap. */
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

/* Frees the queued calls without calling their callbacks. */
void budget_free(struct budget *b)
{
	struct queued_call *call, *next;
	int i;

	for (i = 0; i < STORE_PRIORITIES; i++)
		DL_FOREACH_SAFE(b->queued[i], call, next)
		{
			free(call);
		}
}

static uint32_t burst_calls(const struct budget *b)
{
	uint32_t burst = b->calls_s / BURST_DIVISOR;

	return burst ? burst : 1;
}

/*
 * Refill rate in calls per second. It leaves room for a full burst, so that no
 * second exceeds calls_s in all, unless calls_s is 1.
 */
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

/* Returns the tokens that a priority must leave to higher ones. */
static int64_t reserved_tokens_us(const struct budget *b, enum store_priority p)
{
	return (burst_calls(b) - 1) * CALL_US / STORE_PRIORITIES * p;
}

static bool spend(struct budget *b, enum store_priority p)
{
	if (b->tokens_us < CALL_US + reserved_tokens_us(b, p))
		return false;
	b->tokens_us -= CALL_US;
	return true;
}

/*
 * Takes the tokens of one call. Returns false when too few are left for this
 * priority, or when a call of the same or a higher priority is queued.
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

/* Returns whether the budget still admits calls after one more watch. */
bool budget_allows_watch(struct budget *b)
{
	return !b->calls_s || b->watches + 1 < sustained_calls(b);
}

/*
 * Queues a copy of a call until budget_dequeue or budget_expired returns it.
 * When the queue is full, the call expires unstarted at the next tick.
 */
void budget_enqueue(struct budget *b, const struct store_op *op,
		    const struct store_done *done, int64_t now)
{
	static const struct store_op placeholder = {.kind = STORE_LEASE_RENEW};
	bool full = b->queued_count >= QUEUED_MAX;
	struct queued_call *call = queued_call_copy(full ? &placeholder : op);

	/* Without memory for the call, its callback could never be called. */
	if (!call)
		abort();
	call->queued_at_us = now;
	call->expires_us =
		now + (full || op->timeout_us < 1 ? 1 : op->timeout_us);
	call->done = *done;
	DL_APPEND(b->queued[op->priority], call);
	b->queued_count++;
}

static struct queued_call *dequeue(struct budget *b, int p,
				   struct queued_call *call)
{
	DL_DELETE(b->queued[p], call);
	b->queued_count--;
	return call;
}

/*
 * Takes the tokens of the first queued call of the highest priority, and
 * returns it for the caller to free; NULL when none may start yet.
 */
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

/* Returns an expired queued call for the caller to free, or NULL. */
struct queued_call *budget_expired(struct budget *b, int64_t now)
{
	struct queued_call *call;
	int i;

	for (i = 0; i < STORE_PRIORITIES && b->queued_count; i++)
		DL_FOREACH(b->queued[i], call)
		{
			if (call->expires_us <= now)
				return dequeue(b, i, call);
		}
	return NULL;
}
