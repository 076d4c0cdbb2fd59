#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#include "control/explain/explain_impl.h"

#define MINUTE (60 * USEC_PER_SEC)
#define T0 (INT64_C(1700000000) / 60 * 60 * USEC_PER_SEC)
#define RING 64

static struct decision make(enum decision_kind kind, const char *request,
			    const char *root, int64_t wall_us)
{
	struct decision d = {.kind = kind,
			     .wall_us = wall_us,
			     .account = "acc",
			     .route = "front",
			     .service = "svc",
			     .peer = "10.0.0.1:9"};

	snprintf(d.request, sizeof(d.request), "%s", request);
	snprintf(d.root, sizeof(d.root), "%s", root);
	return d;
}

struct sentence {
	enum decision_kind kind;
	enum reason reason;
	enum outcome outcome;
	int status;
	uint8_t attempt;
	const char *text; /* expected substring */
};

static const struct sentence sentences[] = {
	{DECISION_PLACED, REASON_NONE, 0, 0, 0,
	 "admitted it for client account acc on route front, and sent it to "
	 "the host at 10.0.0.1:9 for service svc."},
	{DECISION_PLACED, REASON_NONE, 0, 0, 2, "sent it again (retry 2)"},
	{DECISION_REFUSED, REASON_OVER_RATE, OUTCOME_NOT_RUN, 429, 0,
	 "refused it with status 429 (over-rate) after 1.5 ms. The client "
	 "account has used up its rate"},
	{DECISION_REFUSED, REASON_OVER_RATE, OUTCOME_NOT_RUN, 429, 0,
	 "It was not run."},
	{DECISION_REFUSED, REASON_SHED, OUTCOME_NOT_RUN, 503, 0,
	 "shed it with status 503"},
	{DECISION_REFUSED, REASON_DEADLINE, OUTCOME_UNKNOWN, 504, 0,
	 "stopped it with status 504 (deadline)"},
	{DECISION_REFUSED, REASON_DEADLINE, OUTCOME_UNKNOWN, 504, 0,
	 "It may have run."},
	{DECISION_RETRIED, REASON_LINK_LOST, 0, 0, 1,
	 "decided on retry 1, as the attempt before it failed after 1.5 ms. "
	 "The connection"},
	{DECISION_RETRIED, REASON_NONE, 0, 0, 1, "asked to come again"},
	{DECISION_QUEUED, REASON_NONE, 0, 0, 0,
	 "queued it for the upstream at 10.0.0.1:9"},
	{DECISION_RUN, REASON_NONE, 0, 0, 0,
	 "gave it to the upstream at 10.0.0.1:9 after 1.5 ms in the queue"},
	{DECISION_DROPPED, REASON_SHED, 0, 0, 0,
	 "shed it in front of the upstream at 10.0.0.1:9 of service svc"},
	{DECISION_DROPPED, REASON_QUEUE_FULL, 0, 0, 0,
	 "refused it in front of the upstream"},
	{DECISION_ANSWERED, REASON_NONE, OUTCOME_DONE, 200, 0,
	 "answered it with status 200 after 1.5 ms. It ran."},
	{DECISION_CANCELLED, REASON_CANCELLED, OUTCOME_UNKNOWN, 499, 0,
	 "cancelled it after 1.5 ms: the caller went away. It may have run."},
	{DECISION_CANCELLED, REASON_CANCELLED, 0, 0, 0, "freed its place"},
	{DECISION_OBSERVED, REASON_SHED, 0, 0, 0,
	 "would have refused it (shed), but only observes"},
	{DECISION_ADMITTED, REASON_NONE, 0, 0, 0, "admitted it."},
};

static void each_decision_kind_has_a_sentence(void **state)
{
	struct buffer b = {0};
	struct decision d;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(sentences) / sizeof(*sentences); i++) {
		d = make(sentences[i].kind, "r.1", "r", T0);
		d.reason = sentences[i].reason;
		d.outcome = sentences[i].outcome;
		d.status = sentences[i].status;
		d.attempt = sentences[i].attempt;
		d.took_us = 1500;
		b.len = 0;
		assert_int_equal(explain_sentence(&d, "h1", &b), 0);
		if (!strstr((char *)b.data, sentences[i].text))
			fail_msg("row %zu: %s", i, (char *)b.data);
		assert_non_null(
			strstr((char *)b.data, "Z host h1, sub-call r.1: "));
	}
	buffer_free(&b);
}

static void records_are_found_by_request_and_root(void **state)
{
	struct explain *e = explain_new(RING);
	struct decision out[RING], d;
	char id[32], root[32];
	int i;

	(void)state;
	/* Four roots of 16 requests each fill the ring just once. */
	for (i = 0; i < RING; i++) {
		snprintf(root, sizeof(root), "root%d", i % 4);
		snprintf(id, sizeof(id), i < 4 ? "%s" : "%s.%d", root, i);
		d = make(DECISION_QUEUED, id, root, T0 + i);
		explain_add(e, &d);
	}
	assert_int_equal(explain_find(e, "root1", out, RING), 16);
	assert_int_equal(explain_find(e, "root1", out, 3), 3);
	assert_int_equal(explain_find(e, "root1.5", out, RING), 1);
	assert_string_equal(out[0].request, "root1.5");
	assert_int_equal(explain_find(e, "root", out, RING), 0);
	assert_int_equal(explain_oldest_us(e), T0);
	/* The oldest record is evicted and no longer found. */
	d = make(DECISION_QUEUED, "new", "new", T0 + RING);
	explain_add(e, &d);
	assert_int_equal(explain_find(e, "new", out, RING), 1);
	assert_int_equal(explain_find(e, "root0", out, RING), 15);
	assert_int_equal(explain_oldest_us(e), T0 + 1);
	explain_free(e);
}

static void add_at(struct counts *c, enum decision_kind kind, int64_t minute)
{
	struct decision d = make(kind, "r", "r", T0 + minute * MINUTE);

	counts_add(c, &d);
}

static void counts_merge_close_minutes_and_expire_after_a_day(void **state)
{
	struct counts *c = counts_new();
	struct explain_span s[8];
	int64_t t0 = T0 / MINUTE;

	(void)state;
	add_at(c, DECISION_REFUSED, 0);
	add_at(c, DECISION_REFUSED, SPAN_GAP_MINUTES);
	add_at(c, DECISION_REFUSED, 2 * SPAN_GAP_MINUTES + 1);
	add_at(c, DECISION_QUEUED, 0); /* an intermediate step, not counted */
	assert_int_equal(counts_spans(c, NULL, 0, s, 8), 2);
	assert_int_equal(s[0].n, 2);
	assert_int_equal(s[0].from_min, t0);
	assert_int_equal(s[0].to_min, t0 + SPAN_GAP_MINUTES);
	assert_int_equal(counts_spans(c, "nobody", 0, s, 8), 0);
	assert_int_equal(counts_spans(c, "acc", t0 + 1, s, 8), 2);
	assert_int_equal(s[0].n, 1);
	add_at(c, DECISION_ANSWERED, COUNT_RETENTION_MINUTES);
	assert_int_equal(counts_spans(c, NULL, 0, s, 8), 3);
	add_at(c, DECISION_ANSWERED,
	       COUNT_RETENTION_MINUTES + SPAN_GAP_MINUTES);
	assert_int_equal(counts_spans(c, NULL, 0, s, 8), 2);
	counts_free(c);
}

static uint64_t sum(const struct explain_span *s, size_t n)
{
	uint64_t all = 0;

	while (n-- > 0)
		all += s[n].n;
	return all;
}

/* Names and rows beyond the limits are counted under one name. */
static void counts_stay_within_their_bound(void **state)
{
	static struct explain_span s[COUNT_NAMES];
	struct counts *c = counts_new();
	struct decision d;
	uint32_t i;
	size_t n;

	(void)state;
	for (i = 0; i < COUNT_NAMES + 100; i++) {
		d = make(DECISION_REFUSED, "r", "r", T0);
		snprintf(d.account, sizeof(d.account), "a%u", i);
		counts_add(c, &d);
	}
	n = counts_spans(c, "(other)", 0, s, COUNT_NAMES);
	assert_in_range(sum(s, n), 100, 110);
	assert_in_range(counts_spans(c, "a7", 0, s, COUNT_NAMES), 1, 1);
	counts_free(c);
}

static void oldest_minutes_are_evicted_first(void **state)
{
	static struct explain_span s[COUNT_NAMES];
	struct counts *c = counts_new();
	int64_t t0 = T0 / MINUTE;
	struct decision d;
	uint32_t i, minute;

	(void)state;
	for (minute = 0; minute <= 2 * COUNT_ROWS / COUNT_ROWS_PER_MINUTE;
	     minute++)
		for (i = 0; i < COUNT_ROWS_PER_MINUTE / 2; i++) {
			d = make(DECISION_REFUSED, "r", "r",
				 T0 + minute * MINUTE);
			snprintf(d.account, sizeof(d.account), "a%u", i);
			counts_add(c, &d);
		}
	/* 33 minutes were counted; the ring holds 32 of them. */
	assert_int_equal(counts_spans(c, "a7", 0, s, COUNT_NAMES), 1);
	assert_int_equal(s[0].from_min, t0 + 1);
	assert_int_equal(s[0].n, 32);
	assert_true(counts_bytes() < 10 * 1024 * 1024);
	counts_free(c);
}

static struct explain_span span(enum decision_kind kind, enum reason reason,
				const char *service, int64_t from, int64_t to,
				uint64_t n)
{
	struct explain_span s = {.account = "acc",
				 .route = "front",
				 .kind = kind,
				 .reason = reason,
				 .outcome = OUTCOME_NOT_RUN,
				 .from_min = T0 / MINUTE + from,
				 .to_min = T0 / MINUTE + to,
				 .n = n};

	snprintf(s.service, sizeof(s.service), "%s", service);
	return s;
}

static void summary_reports_totals_shedding_and_refusals(void **state)
{
	struct explain_span s[] = {
		span(DECISION_ANSWERED, REASON_NONE, "svc", 0, 50, 900),
		span(DECISION_ANSWERED, REASON_UPSTREAM_FAILED, "svc", 0, 9,
		     40),
		span(DECISION_REFUSED, REASON_SHED, "svc", 10, 20, 70),
		span(DECISION_DROPPED, REASON_QUEUE_FULL, "deep", 8, 22, 30),
		span(DECISION_REFUSED, REASON_OVER_RATE, "svc", 30, 31, 5),
		span(DECISION_REFUSED, REASON_SHED, "svc", 48, 50, 7),
	};
	struct buffer b = {0};
	const char *text;

	(void)state;
	assert_int_equal(explain_summary(s, 6, "acc", T0 / MINUTE + 50, &b), 0);
	text = (char *)b.data;
	/* T0 is 2023-11-14 22:13 UTC. */
	assert_non_null(strstr(text, "Requests of client account acc: 940 "
				     "answered, 40 of them with a status of "
				     "500 or above, 82 refused or stopped"));
	assert_non_null(strstr(
		text, "Shedding began at 2023-11-14 22:21 UTC and ended at "
		      "2023-11-14 22:35 UTC. Service deep caused it: 30 "));
	assert_non_null(strstr(
		text, "Shedding began at 2023-11-14 23:01 UTC and still goes "
		      "on. Service svc caused it: 7 "));
	assert_non_null(strstr(text, "2023-11-14 22:43 UTC to 2023-11-14 22:44 "
				     "UTC: 5 on route front refused or stopped "
				     "(over-rate). The client account has"));
	b.len = 0;
	assert_int_equal(explain_summary(s, 1, NULL, 0, &b), 0);
	assert_non_null(strstr((char *)b.data, "Nothing was shed.\nNobody was "
					       "refused.\n"));
	buffer_free(&b);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(each_decision_kind_has_a_sentence),
		cmocka_unit_test(records_are_found_by_request_and_root),
		cmocka_unit_test(
			counts_merge_close_minutes_and_expire_after_a_day),
		cmocka_unit_test(counts_stay_within_their_bound),
		cmocka_unit_test(oldest_minutes_are_evicted_first),
		cmocka_unit_test(summary_reports_totals_shedding_and_refusals),
	};

	log_set_level(LOG_WARNING);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
