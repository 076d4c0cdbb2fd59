#include "policy/policy.h"

/* Initializes a bucket with level tokens; rate is in tokens per second. */
void bucket_init(struct bucket *b, double rate, double burst, double level,
		 int64_t now)
{
	b->rate = rate;
	b->burst = burst;
	b->level = level < burst ? level : burst;
	b->refilled_us = now;
}

/* Adds the tokens earned since the last refill, up to the burst. */
void bucket_refill(struct bucket *b, int64_t now)
{
	if (now <= b->refilled_us)
		return;
	b->level += b->rate * (double)(now - b->refilled_us) / USEC_PER_SEC;
	if (b->level > b->burst)
		b->level = b->burst;
	b->refilled_us = now;
}

/* Takes tokens if all of them are available; otherwise takes none. */
bool bucket_take(struct bucket *b, double tokens, int64_t now)
{
	bucket_refill(b, now);
	if (b->level < tokens)
		return false;
	b->level -= tokens;
	return true;
}

/*
 * Returns the time from the last refill until tokens are available, in
 * microseconds, or -1 if they never will be.
 */
int64_t bucket_wait_us(const struct bucket *b, double tokens)
{
	if (b->level >= tokens)
		return 0;
	if (b->rate <= 0 || tokens > b->burst)
		return -1;
	return (int64_t)((tokens - b->level) / b->rate * USEC_PER_SEC) + 1;
}
