#include "filter/filter.h"

#include <stdlib.h>

#include "node/node.h"

#define DEADLINE_MAX_MS (24 * 3600 * 1000L)

/*
 * Parses the deadline header into *us, relative to arrival. Returns 1, or 0 if
 * there is no header, or -1 if its value is invalid.
 */
static int header_deadline_us(const struct node *n, const struct request *r,
			      int64_t *us)
{
	const char *text = message_header(&r->message, n->headers->deadline_ms);
	char *end;
	long ms;

	if (!text)
		return 0;
	ms = strtol(text, &end, 10);
	if (*end || end == text || ms <= 0 || ms > DEADLINE_MAX_MS)
		return -1;
	*us = ms * USEC_PER_MSEC;
	return 1;
}

/*
 * Sets the deadline to the earliest of the route's limit, the one that the
 * caller requested and, for a sub-call, its parent's deadline.
 */
enum filter_result filter_deadline(struct node *n, struct request *r,
				   int64_t now)
{
	int64_t deadline_us = r->arrived_us + r->route->deadline_us;
	int64_t requested_us;
	int given = header_deadline_us(n, r, &requested_us);

	if (given < 0)
		return request_refuse(n, r, REASON_BAD_REQUEST, OUTCOME_NOT_RUN,
				      now);
	if (given && r->arrived_us + requested_us < deadline_us)
		deadline_us = r->arrived_us + requested_us;
	if (!r->deadline_us || deadline_us < r->deadline_us)
		r->deadline_us = deadline_us;
	if (r->deadline_us <= now)
		return request_refuse(n, r, REASON_DEADLINE, OUTCOME_NOT_RUN,
				      now);
	return FILTER_NEXT;
}
