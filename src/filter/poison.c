#include "filter/filter.h"

#include <stdio.h>

#include "node/node.h"

/* Longest time to come back that callers are told. */
#define RETRY_AFTER_MAX_US (60 * USEC_PER_SEC)

static enum filter_result refuse(struct node *n, struct request *r,
				 const struct fingerprint *id, int64_t now)
{
	struct poison_entry *e = poison_find(n->poison, id);
	char text[FINGERPRINT_TEXT_SIZE];
	int64_t wait = RETRY_AFTER_MAX_US;

	fingerprint_format(id, text);
	snprintf(r->inputs, sizeof(r->inputs),
		 "fingerprint=%s ends=%d refused_s=%lld tried=%d", text,
		 e->facts.end_count,
		 (long long)((now - e->refused_us) / USEC_PER_SEC),
		 e->facts.tried);
	if (!e->facts.tried && e->trial_us > now && e->trial_us - now < wait)
		wait = e->trial_us - now;
	r->retry_after_ms = (uint32_t)(wait / USEC_PER_MSEC);
	e->refused++;
	counter_add(COUNTER_POISON_REFUSED, 1);
	return request_refuse(n, r, REASON_POISON, OUTCOME_NOT_RUN, now);
}

/* Refuses a request that crashed several upstreams. One node tries it again. */
enum filter_result filter_poison(struct node *n, struct request *r, int64_t now)
{
	struct fingerprint id;

	if (!poison_count(n->poison))
		return FILTER_NEXT;
	fingerprint_of(n, &r->message, r->account ? r->account->name : "", &id);
	switch (poison_check(n->poison, &id, now)) {
	case POISON_NONE:
	case POISON_SUSPECT:
		return FILTER_NEXT;
	case POISON_REFUSED:
		break;
	case POISON_TRIAL_DUE:
		if (!members_first(n->members, id.low))
			break;
		poison_begin_trial(n->poison, &id, now);
		r->trial = true;
		return FILTER_NEXT;
	}
	return refuse(n, r, &id, now);
}

/*
 * Records at the entry that the upstream of a request ended while it ran.
 * Returns how many ends speak against the request.
 */
uint32_t poison_heard(struct node *n, const struct request *r,
		      const struct answer_head *head, int64_t now)
{
	const struct poison_entry *e;
	struct fingerprint id;

	if (!head->ended_incarnation)
		return 0;
	fingerprint_of(n, &r->message, r->account ? r->account->name : "", &id);
	poison_add_end(n->poison, &id, r->service, head->ended_incarnation,
		       now);
	e = poison_find(n->poison, &id);
	return e ? e->facts.end_count : 0;
}
