#include "base/base.h"

struct counter_row {
	const char *name;
	const char *help;
};

static uint64_t values[COUNTER_COUNT];

static const struct counter_row rows[COUNTER_COUNT] = {
	[COUNTER_REQUESTS] = {"requests", "Requests from callers"},
	[COUNTER_SUB_CALLS] = {"sub_calls", "Requests from local services"},
	[COUNTER_ANSWERED] = {"answered", "Whole answers given"},
	[COUNTER_REFUSED] = {"refused", "Requests refused for any reason"},
	[COUNTER_SHED] = {"shed", "Requests refused by a cutoff"},
	[COUNTER_OVER_RATE] = {"over_rate", "Requests over an account limit"},
	[COUNTER_RETRIES] = {"retries", "Calls sent again"},
	[COUNTER_CANCELLED] = {"cancelled", "Requests whose caller left"},
	[COUNTER_WASTED] = {"wasted", "Upstream runs for failed roots"},
	[COUNTER_UPSTREAM_RUNS] = {"upstream_runs", "Calls given to upstreams"},
	[COUNTER_UPSTREAM_CONNECTIONS] = {"upstream_connections",
					  "Connections opened to upstreams"},
	[COUNTER_UPSTREAM_FAILURES] = {"upstream_failures",
				       "Calls that an upstream failed"},
	[COUNTER_UPSTREAM_ENDS] = {"upstream_ends",
				   "Upstreams that ended under their calls"},
	[COUNTER_POISON_REFUSED] = {"poison_refused",
				    "Requests refused that crash upstreams"},
	[COUNTER_COLD_REFUSED] = {"cold_refused",
				  "Calls refused as the upstream was cold"},
	[COUNTER_EVACUATED] = {"evacuated",
			       "Calls that gates rejected in an evacuation"},
	[COUNTER_LINKS_OPENED] = {"links_opened", "Links between nodes opened"},
	[COUNTER_LINK_FRAMES] = {"link_frames", "Frames sent on links"},
	[COUNTER_LINK_BYTES] = {"link_bytes", "Bytes sent on links"},
	[COUNTER_CONTROL_MESSAGES] = {"control_messages",
				      "Control messages sent to nodes"},
	[COUNTER_CONTROL_BYTES] = {"control_bytes",
				   "Bytes of control messages sent"},
	[COUNTER_DATAGRAMS] = {"datagrams", "Datagrams sent"},
	[COUNTER_AUTH_FAILURES] = {"auth_failures",
				   "Links and datagrams refused as forged"},
	[COUNTER_STORE_READS] = {"store_reads", "Reads sent to the store"},
	[COUNTER_STORE_WRITES] = {"store_writes", "Writes sent to the store"},
	[COUNTER_STORE_UNKNOWN] = {"store_unknown",
				   "Store calls of unknown outcome"},
	[COUNTER_STORE_DENIED] = {"store_denied",
				  "Store calls held back by the budget"},
	[COUNTER_STORE_REPLACED] = {"store_replaced",
				    "Times the store lost written data"},
	[COUNTER_STORE_SILENT] = {"store_silent",
				  "Silent connections to the store"},
	[COUNTER_SLOW_READERS] = {"slow_readers",
				  "Callers cut off with unread answers"},
	[COUNTER_LOANS_REQUESTED] = {"loans_asked", "Token loans asked for"},
	[COUNTER_LOANS_GRANTED] = {"loans_granted", "Token loans granted"},
	[COUNTER_LOANS_NO_TOKENS] = {"loans_no_tokens",
				     "Loans refused for lack of tokens"},
	[COUNTER_LOANS_NO_ANSWER] = {"loans_no_answer",
				     "Loans without an answer in time"},
	[COUNTER_LOANS_LATE] = {"loans_late",
				"Answers to loan requests after their time"},
	[COUNTER_OVER_RATE_NO_ANSWER] = {"over_rate_no_answer",
					 "Requests over an account limit while "
					 "a lender did not answer"},
	[COUNTER_OVER_RATE_ELSEWHERE] = {"over_rate_elsewhere",
					 "Requests over an account limit while "
					 "other nodes had a token"},
	[COUNTER_LEASES_LOST] = {"leases_lost",
				 "Slices not spent as the standby was silent"},
	[COUNTER_SLICES_TAKEN] = {"slices_taken",
				  "Slices taken from a silent holder"},
	[COUNTER_CLAIMS] = {"claims", "Idempotency claims written"},
	[COUNTER_NOTES_APPLIED] = {"notes_applied", "Release notes applied"},
	[COUNTER_LOG_LINES] = {"log_lines", "Log lines written"},
	[COUNTER_LOG_LOST] = {"log_lost",
			      "Log lines left out to bound their volume"},
};

void counter_add(enum counter c, uint64_t n)
{
	values[c] += n;
}

uint64_t counter_get(enum counter c)
{
	return values[c];
}

/* Appends all counters in Prometheus text format; -1 when out of memory. */
int counters_write(struct buffer *out)
{
	int i;

	for (i = 0; i < COUNTER_COUNT; i++)
		if (buffer_printf(out,
				  "# HELP mulberryferry_%s_total %s\n"
				  "# TYPE mulberryferry_%s_total counter\n"
				  "mulberryferry_%s_total %llu\n",
				  rows[i].name, rows[i].help, rows[i].name,
				  rows[i].name,
				  (unsigned long long)values[i]) < 0)
			return -1;
	return 0;
}
