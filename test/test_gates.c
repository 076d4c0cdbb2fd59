/* Platform announcements and planned stops of a node without upstreams. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "node/gates.h"
#include "platform/platform.h"
#include "platform_node.h"

#define UPSTREAM_ADDR "10.1.0.9:8080"

static struct node *open_node(void)
{
	return open_platform_node(
		",\"upstream\":{\"service\":\"s\",\"address\":\"" UPSTREAM_ADDR
		"\"},\"store\":{\"kind\":\"none\"},"
		"\"promises\":[\"drain_s=2\",\"revoke_s=5\"]");
}

static struct upstream_announcement
announcement_of(const char *instance, int64_t started_ms, uint64_t sequence)
{
	struct upstream_announcement n = {.started_ms = started_ms,
					  .sequence = sequence};

	copy_name(n.instance, sizeof(n.instance), instance);
	copy_name(n.info.service, sizeof(n.info.service), "s");
	addr_parse(&n.info.addr, UPSTREAM_ADDR);
	n.info.slots = 10;
	n.info.state = UPSTREAM_READY;
	return n;
}

static struct local_upstream *upstream_at_address(struct node *n)
{
	struct addr a;

	addr_parse(&a, UPSTREAM_ADDR);
	return gates_find(n, &a, "s");
}

struct step {
	const char *description;
	const char *instance;
	int64_t started_ms;
	uint64_t sequence;
	enum upstream_state state;
	bool gone;
	/* Instance and state at the address after the step. */
	const char *expected_instance;
	enum upstream_state expected_state;
};

static const struct step steps[] = {
	{"first announcement", "a", 100, 1, UPSTREAM_READY, false, "a",
	 UPSTREAM_READY},
	{"starts to leave", "a", 100, 5, UPSTREAM_LEAVING, false, "a",
	 UPSTREAM_LEAVING},
	{"stale sequence number", "a", 100, 4, UPSTREAM_READY, false, "a",
	 UPSTREAM_LEAVING},
	{"becomes ready again", "a", 100, 6, UPSTREAM_READY, false, "a",
	 UPSTREAM_READY},
	{"is withdrawn", "a", 100, 0, UPSTREAM_READY, true, "a",
	 UPSTREAM_LEAVING},
	{"delayed announcement after the withdrawal", "a", 100, 9,
	 UPSTREAM_READY, false, "a", UPSTREAM_LEAVING},
	{"is withdrawn again", "a", 100, 0, UPSTREAM_READY, true, "a",
	 UPSTREAM_LEAVING},
	{"new process at the address", "b", 200, 1, UPSTREAM_READY, false, "b",
	 UPSTREAM_READY},
	{"delayed announcement of the old process", "a", 100, 10,
	 UPSTREAM_READY, false, "b", UPSTREAM_READY},
	{"unknown process older than the current one", "c", 150, 3,
	 UPSTREAM_READY, false, "b", UPSTREAM_READY},
	{"old process is withdrawn", "a", 100, 0, UPSTREAM_READY, true, "b",
	 UPSTREAM_READY},
	{"same instance restarted", "b", 300, 1, UPSTREAM_LEAVING, false, "b",
	 UPSTREAM_LEAVING},
	{"delayed announcement from before the restart", "b", 200, 7,
	 UPSTREAM_READY, false, "b", UPSTREAM_LEAVING},
};

static void stale_announcements_are_ignored(void **state)
{
	struct node *n = open_node();
	int64_t now = clock_monotonic_us();
	struct local_upstream *u;
	struct upstream_announcement announcement;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(steps) / sizeof(*steps); i++) {
		announcement =
			announcement_of(steps[i].instance, steps[i].started_ms,
					steps[i].sequence);
		announcement.info.state = steps[i].state;
		announcement.gone = steps[i].gone;
		gates_announce_platform(n, &announcement, now);
		u = upstream_at_address(n);
		if (!u) {
			fail_msg("step: %s", steps[i].description);
			return;
		}
		if (strcmp(u->instance, steps[i].expected_instance) ||
		    u->info.state != steps[i].expected_state)
			print_error("step: %s\n", steps[i].description);
		assert_string_equal(u->instance, steps[i].expected_instance);
		assert_int_equal(u->info.state, steps[i].expected_state);
	}
	node_close(n);
}

/* An announcement for the address of another host must add no upstream. */
static void announcements_for_other_hosts_are_ignored(void **state)
{
	struct upstream_announcement announcement =
		announcement_of("a", 100, 1);
	struct node *n = open_node();

	(void)state;
	addr_parse(&announcement.info.addr, "10.1.0.10:8080");
	gates_announce_platform(n, &announcement, clock_monotonic_us());
	assert_int_equal(n->local_upstreams.count, 0);
	node_close(n);
}

/* A leaving upstream must get no new calls shortly before drain_s ends. */
static void leaving_upstream_refuses_calls_before_drain_ends(void **state)
{
	struct upstream_announcement announcement =
		announcement_of("a", 100, 1);
	struct node *n = open_node();
	int64_t now = clock_monotonic_us();

	(void)state;
	gates_announce_platform(n, &announcement, now);
	assert_true(gates_accepts(n, upstream_at_address(n),
				  now + 60 * USEC_PER_SEC));
	announcement.sequence = 2;
	announcement.info.state = UPSTREAM_LEAVING;
	gates_announce_platform(n, &announcement, now);
	assert_true(
		gates_accepts(n, upstream_at_address(n), now + USEC_PER_SEC));
	assert_false(gates_accepts(n, upstream_at_address(n),
				   now + 2 * USEC_PER_SEC));
	node_close(n);
}

/*
 * A heartbeat that repeats a drain was acknowledged at once, before anything
 * but this process kept the drain.
 */
static void a_repeated_drain_waits_for_the_same_ticket(void **state)
{
	struct upstream_announcement announcement =
		announcement_of("a", 100, 1);
	struct node *n = open_node();
	int64_t now = clock_monotonic_us();
	uint64_t ticket;

	(void)state;
	assert_int_equal(gates_announce_platform(n, &announcement, now), 0);
	announcement.sequence = 2;
	announcement.info.state = UPSTREAM_LEAVING;
	ticket = gates_announce_platform(n, &announcement, now);
	assert_true(ticket > 0);
	assert_int_equal(gates_announce_platform(n, &announcement, now),
			 ticket);
	announcement.sequence = 3;
	assert_int_equal(gates_announce_platform(n, &announcement, now),
			 ticket);
	announcement.sequence = 4;
	announcement.info.state = UPSTREAM_READY;
	assert_int_equal(gates_announce_platform(n, &announcement, now), 0);
	announcement.sequence = 5;
	announcement.info.state = UPSTREAM_LEAVING;
	assert_true(gates_announce_platform(n, &announcement, now) > ticket);
	node_close(n);
}

static void submit(struct node *n, int64_t now)
{
	struct call_head head = {.service = "s", .deadline_ms = 10000};
	struct message m = {.method = "GET"};

	m.target = strdup("/");
	addr_parse(&head.upstream, UPSTREAM_ADDR);
	gates_submit(n, REPLY_LINK, 0, &head, &m, now);
	message_free(&m);
}

/*
 * A node that was suspended while an upstream drained ran the calls that had
 * waited in its queue, later than drain_s, before it dropped them.
 */
static void queued_calls_do_not_run_after_the_drain(void **state)
{
	struct upstream_announcement announcement =
		announcement_of("a", 100, 1);
	struct node *n = open_node();
	int64_t now = clock_monotonic_us();
	struct local_upstream *u;
	struct gate_report r;
	uint64_t ran;
	int i;

	(void)state;
	n->config = config_new();
	announcement.info.slots = 2;
	gates_announce_platform(n, &announcement, now);
	u = upstream_at_address(n);
	announcement.gone = true;
	gates_announce_platform(n, &announcement, now);
	for (i = 0; i < 6; i++)
		submit(n, now + 1450 * USEC_PER_MSEC);
	gate_report(u->gate, &r);
	assert_true(r.running > 0 && r.queued > 0);
	ran = counter_get(COUNTER_UPSTREAM_RUNS);
	gate_set_slots(u->gate, 10, now + 1450 * USEC_PER_MSEC);
	gates_dispatch(n, u->handle, now + 2050 * USEC_PER_MSEC);
	assert_int_equal(counter_get(COUNTER_UPSTREAM_RUNS), ran);
	gate_report(u->gate, &r);
	assert_int_equal(r.queued, 0);
	node_close(n);
}

/*
 * An announcement from before the upstream began to leave undid what its
 * answer had said.
 */
static void leaving_said_in_an_answer_outlasts_a_late_announcement(void **state)
{
	struct upstream_announcement announcement =
		announcement_of("a", 100, 1);
	struct header leaving = {"server-leaving", "1"};
	struct message answer = {
		.status = 200, .headers = &leaving, .header_count = 1};
	struct node *n = open_node();
	int64_t now = clock_monotonic_us();

	(void)state;
	gates_announce_platform(n, &announcement, now);
	gates_heard(n, upstream_at_address(n), &answer, now);
	announcement.sequence = 2;
	gates_announce_platform(n, &announcement, now + USEC_PER_SEC);
	assert_int_equal(upstream_at_address(n)->info.state, UPSTREAM_LEAVING);
	assert_false(gates_accepts(n, upstream_at_address(n),
				   now + 2 * USEC_PER_SEC));
	announcement.sequence = 3;
	gates_announce_platform(n, &announcement, now + 11 * USEC_PER_SEC);
	assert_int_equal(upstream_at_address(n)->info.state, UPSTREAM_READY);
	node_close(n);
}

static double rate_after(struct node *n, const char *first, const char *second)
{
	struct header named[] = {{"server-limit", (char *)first},
				 {"server-limit", (char *)second}};
	struct message answer = {.status = 200, .headers = named};
	struct gate_report r;

	answer.header_count = (first != NULL) + (second != NULL);
	gates_heard(n, upstream_at_address(n), &answer, 0);
	gate_report(upstream_at_address(n)->gate, &r);
	return r.rate;
}

/* Values that are no number must neither end a limit nor set one. */
static void malformed_limits_are_refused(void **state)
{
	static const char *const malformed[] = {
		"", "-1", "abc", "nan", "inf", "1e3", "0x10", "1.2.3", "5 "};
	struct upstream_announcement announcement =
		announcement_of("a", 100, 1);
	struct node *n = open_node();
	size_t i;

	(void)state;
	gates_announce_platform(n, &announcement, 0);
	for (i = 0; i < sizeof(malformed) / sizeof(*malformed); i++) {
		assert_true(rate_after(n, NULL, NULL) == 0);
		assert_true(rate_after(n, malformed[i], NULL) == 0);
		assert_true(rate_after(n, "12.5", NULL) == 12.5);
		assert_true(rate_after(n, malformed[i], NULL) == 12.5);
	}
	assert_true(rate_after(n, "30", "20") == 20);
	assert_true(rate_after(n, "abc", "7") == 7);
	assert_true(rate_after(n, "99999999999999999999", NULL) == 1e6);
	assert_true(rate_after(n, "0", NULL) > 0);
	assert_true(rate_after(n, "0", NULL) < 1);
	assert_true(rate_after(n, NULL, NULL) == 0);
	node_close(n);
}

/* An unreachable upstream must get calls again once it announces itself. */
static void announcement_clears_unreachable(void **state)
{
	struct upstream_announcement announcement =
		announcement_of("a", 100, 1);
	struct node *n = open_node();
	int64_t now = clock_monotonic_us();

	(void)state;
	gates_announce_platform(n, &announcement, now);
	gates_mark_unreachable(n, upstream_at_address(n)->handle, now);
	assert_false(gates_accepts(n, upstream_at_address(n), now));
	announcement.sequence = 2;
	gates_announce_platform(n, &announcement, now);
	assert_true(gates_accepts(n, upstream_at_address(n), now));
	node_close(n);
}

/* A gate restarted in front of a warm upstream must not ramp up slowly. */
static void restarted_gate_admits_without_ramp_up(void **state)
{
	struct upstream_announcement announcement =
		announcement_of("a", 100, 1);
	struct gate_report report;
	struct node *n = open_node();

	(void)state;
	gates_announce_platform(n, &announcement, clock_monotonic_us());
	gate_report(upstream_at_address(n)->gate, &report);
	assert_int_equal(report.limit, announcement.info.slots - 1);
	node_close(n);
}

/*
 * Guards against a rolling stop that takes each upstream out of use for the
 * seconds that callers need to move to another host: the gate must stay open
 * for that time.
 */
static void planned_stop_closes_gate_last(void **state)
{
	struct upstream_announcement announcement =
		announcement_of("a", 100, 1);
	struct node *n = open_node();
	int64_t now = clock_monotonic_us();
	const struct member_info *self;

	(void)state;
	gates_announce_platform(n, &announcement, now);
	node_stop(n, now);
	node_stop_step(n, now + 2 * USEC_PER_SEC);
	self = members_self(n->members);
	assert_int_equal(self->state, MEMBER_ALIVE);
	assert_int_equal(self->upstreams[0].state, UPSTREAM_READY);
	node_stop_step(n, now + 2600 * USEC_PER_MSEC);
	assert_int_equal(self->state, MEMBER_LEAVING);
	assert_int_equal(self->upstreams[0].state, UPSTREAM_LEAVING);
	node_close(n);
}

/*
 * Guards against calls that come late in the grace of a planned stop, run, and
 * are cut at its end.
 */
static void late_calls_are_refused_in_a_planned_stop(void **state)
{
	struct upstream_announcement announcement =
		announcement_of("a", 100, 1);
	struct node *n = open_node();
	int64_t now = clock_monotonic_us();
	int64_t half_us = 2 * USEC_PER_SEC;
	struct call *c;
	void *item;

	(void)state;
	n->config = config_new();
	n->settings.stop_grace_us = 2 * half_us;
	gates_announce_platform(n, &announcement, now);
	node_stop(n, now);
	submit(n, now + half_us - USEC_PER_MSEC);
	assert_int_equal(n->calls.count, 1);
	table_next(&n->calls, 0, &item);
	c = item;
	assert_true(c->deadline_us < now + 2 * half_us);
	submit(n, now + half_us);
	assert_int_equal(n->calls.count, 1);
	node_close(n);
}

/*
 * With an overload deep in a chain, the calls between it and the entry fail
 * because their sub-calls do. Each must get the reason of its sub-call, so
 * that its own upstream, which is healthy, does not lose slots.
 */
static void sub_call_failures_are_reported_up_the_chain(void **state)
{
	static const struct {
		enum reason reported, expected;
		int status;
	} cases[] = {
		{REASON_SHED, REASON_SHED, 500},
		{REASON_NONE, REASON_UPSTREAM_FAILED, 500},
		{REASON_NONE, REASON_UPSTREAM_FAILED, 504},
		{REASON_NONE, REASON_NONE, 200},
		{REASON_NONE, REASON_NONE, 404},
	};
	struct route route = {.name = "r"};
	struct node *n = open_node();
	struct answer_head head = {.outcome = OUTCOME_DONE};
	struct call_head call_head = {.service = "s", .deadline_ms = 1000};
	struct message none = {0}, answer;
	struct request *r;
	struct call *c;
	void *item;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		c = call_add(n, REPLY_LOCAL, 0, &call_head, &none, 0);
		assert_int_equal(call_index_add(n, c), 0);
		answer = (struct message){.status = cases[i].status};
		head.reason = cases[i].reported;
		assert_true(table_add(&n->requests, &item));
		r = item;
		r->handle = table_next(&n->requests, 0, &item);
		r->config = config_new();
		r->route = &route;
		r->service = "s";
		r->parent = c->handle;
		c->open_sub_calls = 1;
		place_answered(n, r->handle, &head, &answer, 0);
		assert_int_equal(n->requests.count, 0);
		assert_int_equal(c->sub_reason, cases[i].expected);
		call_free(n, c);
	}
	node_close(n);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(stale_announcements_are_ignored),
		cmocka_unit_test(announcements_for_other_hosts_are_ignored),
		cmocka_unit_test(
			leaving_upstream_refuses_calls_before_drain_ends),
		cmocka_unit_test(a_repeated_drain_waits_for_the_same_ticket),
		cmocka_unit_test(queued_calls_do_not_run_after_the_drain),
		cmocka_unit_test(
			leaving_said_in_an_answer_outlasts_a_late_announcement),
		cmocka_unit_test(malformed_limits_are_refused),
		cmocka_unit_test(announcement_clears_unreachable),
		cmocka_unit_test(restarted_gate_admits_without_ramp_up),
		cmocka_unit_test(planned_stop_closes_gate_last),
		cmocka_unit_test(late_calls_are_refused_in_a_planned_stop),
		cmocka_unit_test(sub_call_failures_are_reported_up_the_chain),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
