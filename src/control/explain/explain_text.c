#include "control/explain/explain_impl.h"

#include <string.h>

static const char *outcome_sentence(enum outcome o)
{
	switch (o) {
	case OUTCOME_DONE:
		return "It ran.";
	case OUTCOME_NOT_RUN:
		return "It was not run.";
	case OUTCOME_UNKNOWN:
		return "It may have run.";
	}
	return "";
}

static double took_ms(const struct decision *d)
{
	return (double)d->took_us / USEC_PER_MSEC;
}

static int write_placed(const struct decision *d, struct buffer *out)
{
	if (d->attempt)
		return buffer_printf(out,
				     "sent it again (retry %u) to the host at "
				     "%s for service %s.",
				     d->attempt, d->peer, d->service);
	return buffer_printf(out,
			     "admitted it %s%s on route %s, and sent it to "
			     "the host at %s for service %s.",
			     d->account[0] ? "for client account "
					   : "without "
					     "a key",
			     d->account, d->route, d->peer, d->service);
}

static int write_refused(const struct decision *d, struct buffer *out)
{
	const char *verb = "stopped";

	if (d->reason == REASON_SHED)
		verb = "shed";
	else if (d->outcome == OUTCOME_NOT_RUN)
		verb = "refused";
	return buffer_printf(
		out, "%s it with status %d (%s) after %.1f ms. %s %s", verb,
		d->status, reason_code(d->reason), took_ms(d),
		reason_sentence(d->reason), outcome_sentence(d->outcome));
}

static int write_retried(const struct decision *d, struct buffer *out)
{
	return buffer_printf(out,
			     "decided on retry %u, as the attempt before it "
			     "failed after %.1f ms. %s",
			     d->attempt, took_ms(d),
			     d->reason == REASON_NONE
				     ? "The upstream's own answer asked to "
				       "come again."
				     : reason_sentence(d->reason));
}

static int write_dropped(const struct decision *d, struct buffer *out)
{
	return buffer_printf(out,
			     "%s it in front of the upstream at %s of service "
			     "%s (%s) after %.1f ms. %s It was not run there.",
			     d->reason == REASON_SHED ? "shed" : "refused",
			     d->peer, d->service, reason_code(d->reason),
			     took_ms(d), reason_sentence(d->reason));
}

static int write_cancelled(const struct decision *d, struct buffer *out)
{
	if (d->status)
		return buffer_printf(out,
				     "cancelled it after %.1f ms: the caller "
				     "went away. %s",
				     took_ms(d), outcome_sentence(d->outcome));
	return buffer_printf(out,
			     "cancelled it in front of or at the upstream at "
			     "%s after %.1f ms, and freed its place.",
			     d->peer, took_ms(d));
}

static int write_decision(const struct decision *d, struct buffer *out)
{
	switch (d->kind) {
	case DECISION_ADMITTED:
		return buffer_printf(out, "admitted it.");
	case DECISION_REFUSED:
		return write_refused(d, out);
	case DECISION_PLACED:
		return write_placed(d, out);
	case DECISION_RETRIED:
		return write_retried(d, out);
	case DECISION_QUEUED:
		return buffer_printf(out,
				     "queued it for the upstream at %s of "
				     "service %s.",
				     d->peer, d->service);
	case DECISION_RUN:
		return buffer_printf(out,
				     "gave it to the upstream at %s after "
				     "%.1f ms in the queue.",
				     d->peer, took_ms(d));
	case DECISION_DROPPED:
		return write_dropped(d, out);
	case DECISION_ANSWERED:
		return buffer_printf(out,
				     "answered it with status %d after %.1f "
				     "ms. %s",
				     d->status, took_ms(d),
				     outcome_sentence(d->outcome));
	case DECISION_CANCELLED:
		return write_cancelled(d, out);
	case DECISION_OBSERVED:
		return buffer_printf(out,
				     "would have refused it (%s), but only "
				     "observes. %s",
				     reason_code(d->reason),
				     reason_sentence(d->reason));
	}
	return -1;
}

/*
 * Writes one record as a sentence without a newline: time, host, decision and
 * reason. Returns -1 when out of memory.
 */
int explain_sentence(const struct decision *d, const char *host,
		     struct buffer *out)
{
	char when[32];

	format_wall_time(d->wall_us, when);
	if (buffer_printf(out, "%s host %s", when, host) < 0)
		return -1;
	if (strcmp(d->request, d->root) != 0 &&
	    buffer_printf(out, ", sub-call %s", d->request) < 0)
		return -1;
	if (buffer_printf(out, ": ") < 0)
		return -1;
	return write_decision(d, out);
}
