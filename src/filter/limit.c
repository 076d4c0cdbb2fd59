#include "filter/filter.h"

#include <stdio.h>
#include <string.h>

#include "node/node.h"

/* How long a request waits for a loan of tokens. */
#define LIMIT_WAIT_US (20 * USEC_PER_MSEC)

static int park(struct node *n, const struct request *r)
{
	size_t limit = n->settings.requests_max * sizeof(r->handle);

	return buffer_append(&n->limit_waiting, &r->handle, sizeof(r->handle),
			     limit);
}

/*
 * Resumes parked requests: those of one account when it has received tokens,
 * or all of them when account is NULL, so that overdue ones are refused.
 */
void limit_retry(struct node *n, const char *account, int64_t now)
{
	struct buffer waiting = n->limit_waiting;
	struct request *r;
	uint64_t handle;
	size_t at;

	memset(&n->limit_waiting, 0, sizeof(n->limit_waiting));
	for (at = 0; at < waiting.len; at += sizeof(handle)) {
		memcpy(&handle, waiting.data + at, sizeof(handle));
		r = request_get(n, handle);
		if (!r || r->stage != STAGE_LIMIT)
			continue;
		if (account && strcmp(r->account->name, account))
			park(n, r);
		else
			request_resume(n, handle, now);
	}
	buffer_free(&waiting);
}

/* Counts a refusal; returns the part of its log line that tells the cause. */
static const char *count_lack(enum quota_lack lack)
{
	counter_add(COUNTER_OVER_RATE, 1);
	switch (lack) {
	case QUOTA_LACK_UNKNOWN:
		break;
	case QUOTA_LACK_TOKENS:
		return " lenders=no-tokens";
	case QUOTA_LACK_ELSEWHERE:
		counter_add(COUNTER_OVER_RATE_ELSEWHERE, 1);
		return " lenders=elsewhere";
	case QUOTA_LACK_ANSWER:
		counter_add(COUNTER_OVER_RATE_NO_ANSWER, 1);
		return " lenders=no-answer";
	}
	return "";
}

/*
 * Spends one token of the account. Sub-calls are covered by the token of their
 * root. When other hosts hold the tokens, the request waits up to LIMIT_WAIT_US
 * for a loan.
 */
enum filter_result filter_limit(struct node *n, struct request *r, int64_t now)
{
	bool first = !r->limit_wait_until_us;
	int64_t retry_us = 0;

	if (r->origin == ORIGIN_SERVICE || !r->account || r->account->unlimited)
		return FILTER_NEXT;
	switch (quota_take(n->quota, r->account->name, first, now, &retry_us)) {
	case QUOTA_TAKEN:
		r->token_spent = true;
		return FILTER_NEXT;
	case QUOTA_WAIT:
		if (first)
			r->limit_wait_until_us = now + LIMIT_WAIT_US;
		if (now < r->limit_wait_until_us && park(n, r) == 0)
			return FILTER_WAIT;
		break;
	case QUOTA_REFUSED:
		break;
	case QUOTA_UNAVAILABLE:
		return request_refuse(n, r, REASON_NO_QUOTA, OUTCOME_NOT_RUN,
				      now);
	}
	snprintf(r->inputs, sizeof(r->inputs),
		 "config=%llu next_token_ms=%lld waited_ms=%lld%s",
		 (unsigned long long)config_number(r->config),
		 (long long)retry_us / USEC_PER_MSEC,
		 (long long)(now - r->arrived_us) / USEC_PER_MSEC,
		 count_lack(quota_lack(n->quota, r->account->name)));
	r->retry_after_ms = (uint32_t)(retry_us / USEC_PER_MSEC);
	return request_refuse(n, r, REASON_OVER_RATE, OUTCOME_NOT_RUN, now);
}
