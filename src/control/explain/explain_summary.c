#include "control/explain/explain_impl.h"

#include <string.h>

#define REFUSALS_LISTED 40
#define SERVICES_MAX 16

/* Formats minutes since 1970 like "2026-01-31 02:13". */
static void format_minute(int64_t minute, char text[32])
{
	format_wall_time(minute * USEC_PER_MIN, text);
	text[10] = ' ';
	text[16] = 0;
}

static unsigned long long total(const struct explain_span *spans, size_t n,
				enum decision_kind kind)
{
	unsigned long long sum = 0;
	size_t i;

	for (i = 0; i < n; i++)
		if (spans[i].kind == kind && !spans[i].sub_call)
			sum += spans[i].n;
	return sum;
}

static unsigned long long failed_answers(const struct explain_span *spans,
					 size_t n)
{
	unsigned long long sum = 0;
	size_t i;

	for (i = 0; i < n; i++)
		if (spans[i].kind == DECISION_ANSWERED && !spans[i].sub_call &&
		    spans[i].reason != REASON_NONE)
			sum += spans[i].n;
	return sum;
}

static int write_totals(const struct explain_span *spans, size_t n,
			const char *account, struct buffer *out)
{
	return buffer_printf(
		out,
		"%s%s: %llu answered, %llu of them with a status of 500 or "
		"above, %llu refused or stopped, %llu cancelled by their "
		"callers; %llu retries.\n",
		account ? "Requests of client account "
			: "Requests of all client accounts",
		account ? account : "", total(spans, n, DECISION_ANSWERED),
		failed_answers(spans, n), total(spans, n, DECISION_REFUSED),
		total(spans, n, DECISION_CANCELLED),
		total(spans, n, DECISION_RETRIED));
}

static bool is_overload(enum reason r)
{
	return r == REASON_SHED || r == REASON_QUEUE_FULL ||
	       r == REASON_QUEUE_TIMEOUT;
}

static bool is_shedding(const struct explain_span *s)
{
	return (s->kind == DECISION_REFUSED || s->kind == DECISION_DROPPED) &&
	       is_overload(s->reason);
}

/*
 * Finds the first period of shedding that begins after a minute, joined from
 * spans that are at most SPAN_GAP_MINUTES apart.
 */
static bool next_shedding(const struct explain_span *spans, size_t n,
			  int64_t after, int64_t *from, int64_t *to)
{
	bool found = false, grew = true;
	size_t i;

	for (i = 0; i < n; i++) {
		if (!is_shedding(&spans[i]) || spans[i].from_min <= after)
			continue;
		if (!found || spans[i].from_min < *from) {
			*from = spans[i].from_min;
			*to = spans[i].to_min;
		}
		found = true;
	}
	while (found && grew) {
		grew = false;
		for (i = 0; i < n; i++) {
			if (!is_shedding(&spans[i]) ||
			    spans[i].from_min < *from ||
			    spans[i].from_min > *to + SPAN_GAP_MINUTES ||
			    spans[i].to_min <= *to)
				continue;
			*to = spans[i].to_min;
			grew = true;
		}
	}
	return found;
}

/* Counts one service's calls shed at entries or dropped at its own gates. */
static uint64_t count_shed(const struct explain_span *spans, size_t n,
			   const char *service, enum decision_kind kind,
			   int64_t from, int64_t to)
{
	uint64_t sum = 0;
	size_t i;

	for (i = 0; i < n; i++)
		if (is_shedding(&spans[i]) && spans[i].kind == kind &&
		    !strcmp(spans[i].service, service) &&
		    spans[i].from_min >= from && spans[i].from_min <= to)
			sum += spans[i].n;
	return sum;
}

/*
 * Returns the service whose gates dropped most calls. Entries that refuse
 * before a gate know only the first service of the chain, so their refusals
 * are used only when no gate dropped any.
 */
static const char *shedding_service(const struct explain_span *spans, size_t n,
				    int64_t from, int64_t to, uint64_t *calls)
{
	static const enum decision_kind kinds[] = {DECISION_DROPPED,
						   DECISION_REFUSED};
	const char *service = NULL;
	uint64_t sum;
	size_t k, i;

	*calls = 0;
	for (k = 0; k < 2 && !service; k++)
		for (i = 0; i < n; i++) {
			sum = count_shed(spans, n, spans[i].service, kinds[k],
					 from, to);
			if (sum <= *calls)
				continue;
			*calls = sum;
			service = spans[i].service;
		}
	return service;
}

static int write_shedding(const struct explain_span *spans, size_t n,
			  int64_t now_min, struct buffer *out)
{
	int64_t from = 0, to = 0, after = -1;
	char begin[32], end[32];
	const char *service;
	uint64_t calls;

	while (next_shedding(spans, n, after, &from, &to)) {
		format_minute(from, begin);
		format_minute(to, end);
		service = shedding_service(spans, n, from, to, &calls);
		if (buffer_printf(out, "Shedding began at %s UTC and ", begin))
			return -1;
		if (to + 1 >= now_min
			    ? buffer_printf(out, "still goes on.")
			    : buffer_printf(out, "ended at %s UTC.", end))
			return -1;
		if (buffer_printf(
			    out,
			    " Service %s caused it: %llu calls to it were "
			    "shed or dropped.\n",
			    service ? service : "(unknown)",
			    (unsigned long long)calls))
			return -1;
		after = to;
	}
	if (after >= 0)
		return 0;
	return buffer_printf(out, "Nothing was shed.\n");
}

static int write_refusal(const struct explain_span *s, const char *account,
			 struct buffer *out)
{
	char begin[32], end[32];

	format_minute(s->from_min, begin);
	format_minute(s->to_min, end);
	if (buffer_printf(out, "%s UTC", begin) < 0)
		return -1;
	if (s->to_min > s->from_min && buffer_printf(out, " to %s UTC", end))
		return -1;
	return buffer_printf(
		out, ": %llu%s%s on route %s refused or stopped (%s). %s%s\n",
		(unsigned long long)s->n, account ? "" : " of client account ",
		account ? "" : s->account, s->route[0] ? s->route : "(none)",
		reason_code(s->reason), reason_sentence(s->reason),
		s->outcome == OUTCOME_NOT_RUN ? " None of them ran."
					      : " They may have run.");
}

static int write_refusals(const struct explain_span *spans, size_t n,
			  const char *account, struct buffer *out)
{
	size_t i, refusals = 0;

	for (i = 0; i < n; i++) {
		if (spans[i].kind != DECISION_REFUSED || spans[i].sub_call)
			continue;
		if (refusals++ < REFUSALS_LISTED &&
		    write_refusal(&spans[i], account, out) < 0)
			return -1;
	}
	if (refusals > REFUSALS_LISTED)
		return buffer_printf(out,
				     "%zu further lines of this kind are left "
				     "out; --json has them under counts.\n",
				     refusals - REFUSALS_LISTED);
	return refusals ? 0 : buffer_printf(out, "Nobody was refused.\n");
}

/*
 * Writes a summary for an account, or for all with NULL, in lines of one or two
 * sentences: totals, periods of shedding with the service that caused them, and
 * refusals with their reasons. Shedding that lasts until now_min is reported
 * as still going on. Returns -1 when out of memory.
 */
int explain_summary(const struct explain_span *spans, size_t n,
		    const char *account, int64_t now_min, struct buffer *out)
{
	if (write_totals(spans, n, account, out) < 0 ||
	    write_shedding(spans, n, now_min, out) < 0)
		return -1;
	return write_refusals(spans, n, account, out);
}
