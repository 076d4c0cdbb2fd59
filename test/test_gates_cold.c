/* Heartbeats, ends and documents that make an upstream cold or warm. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#include "node/gates.h"
#include "platform/platform.h"
#include "platform_node.h"

#define UPSTREAM_ADDR "10.1.0.9:8080"
#define S USEC_PER_SEC

static struct config *read_services(const char *rows)
{
	struct error err = {0};
	struct config *c;
	char text[512];

	snprintf(text, sizeof(text),
		 "{\"version\":1,\"services\":{\"columns\":[\"name\","
		 "\"cold_start_s\",\"cold_per_s\"],\"rows\":[%s]}}",
		 rows);
	c = platform_config(text, strlen(text), &err);
	if (!c)
		print_message("%s\n", err.text);
	return c;
}

static struct node *open_node(const char *rows)
{
	struct node *n = open_platform_node(
		",\"upstream\":{\"service\":\"s\"},\"store\":{\"kind\":"
		"\"none\"},"
		"\"promises\":[\"cold_overshoot=1.5\",\"cold_slack=8\"]");

	if (rows)
		n->config = read_services(rows);
	return n;
}

static void announce(struct node *n, int64_t started_ms, uint64_t sequence,
		     double cold_s, int64_t now)
{
	struct upstream_announcement a = {.started_ms = started_ms,
					  .sequence = sequence};

	copy_name(a.instance, sizeof(a.instance), "i");
	copy_name(a.info.service, sizeof(a.info.service), "s");
	addr_parse(&a.info.addr, UPSTREAM_ADDR);
	a.info.slots = 10;
	a.info.state = UPSTREAM_READY;
	a.cold_remaining_us = (int64_t)(cold_s * S);
	gates_announce_platform(n, &a, now);
}

static struct local_upstream *upstream(struct node *n)
{
	struct addr a;

	addr_parse(&a, UPSTREAM_ADDR);
	return gates_find(n, &a, "s");
}

static bool is_cold(struct node *n, int64_t now)
{
	gates_tick(n, now);
	return gate_cold_left_us(upstream(n)->gate, now) > 0;
}

/* What the node has told the others. */
static uint32_t published_ms(struct node *n)
{
	return members_self(n->members)->upstreams[0].cold_ms;
}

struct step {
	const char *description;
	int64_t started_ms;
	uint64_t sequence;
	double cold_s;
	int64_t now;
	bool cold;	    /* after the step */
	int64_t cold_until; /* and so until this time, in seconds */
};

/* A heartbeat out of order made a cold upstream warm, or a warm one cold. */
static void newest_heartbeat_decides(void **state)
{
	static const struct step steps[] = {
		{"first heartbeat", 100, 3, 3, 10 * S, true, 13},
		{"older of the same process", 100, 2, 0, 11 * S, true, 13},
		{"newer", 100, 4, 1, 12 * S, true, 13},
		{"warm", 100, 5, 0, 14 * S, false, 0},
		{"cold again", 100, 6, 2, 15 * S, true, 17},
		{"older, cold for longer", 100, 4, 9, 16 * S, true, 17},
		{"next process", 200, 1, 3, 20 * S, true, 23},
		{"late, of the process before", 100, 9, 0, 21 * S, true, 23},
		{"a process that is warm already", 300, 1, 0, 22 * S, false, 0},
	};
	struct node *n = open_node("[\"s\",3,5.4]");
	const struct step *s;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(steps) / sizeof(*steps); i++) {
		s = &steps[i];
		announce(n, s->started_ms, s->sequence, s->cold_s, s->now);
		if (is_cold(n, s->now) != s->cold ||
		    (published_ms(n) > 0) != s->cold)
			fail_msg("%s", s->description);
		if (s->cold && gate_cold_left_us(upstream(n)->gate, s->now) !=
				       s->cold_until * S - s->now)
			fail_msg("%s: wrong end", s->description);
	}
	announce(n, 300, 2, 3, 23 * S);
	assert_false(is_cold(n, 26 * S));
	assert_int_equal(published_ms(n), 0);
	node_close(n);
}

/*
 * A heartbeat that the process sent before its end made its successor look
 * warm.
 */
static void ended_upstream_is_presumed_cold(void **state)
{
	struct node *n = open_node("[\"s\",3,5.4]");

	(void)state;
	announce(n, 100, 1, 0, 10 * S);
	assert_false(is_cold(n, 10 * S));
	upstream_cold_end_seen(n, upstream(n), 11 * S);
	assert_true(is_cold(n, 11 * S));
	announce(n, 100, 2, 0, 12 * S);
	assert_true(is_cold(n, 12 * S));
	announce(n, 200, 1, 0, 13 * S);
	assert_false(is_cold(n, 13 * S));
	/* It listens again, and goes on announcing itself. */
	upstream_cold_end_seen(n, upstream(n), 14 * S);
	announce(n, 200, 2, 0, 15 * S);
	assert_true(is_cold(n, 15 * S));
	announce(n, 200, 3, 0, 18 * S);
	assert_false(is_cold(n, 18 * S));
	/* A connection that timed out does not tell that it has ended. */
	gates_mark_unreachable(n, upstream(n)->handle, 19 * S);
	assert_true(is_cold(n, 19 * S));
	announce(n, 200, 4, 0, 20 * S);
	assert_false(is_cold(n, 20 * S));
	node_close(n);
}

static void presumption_ends_with_a_heartbeat(void **state)
{
	struct node *n = open_node("[\"s\",3,5.4]");

	(void)state;
	announce(n, 100, 1, 0, 10 * S);
	gates_presume_cold(n, upstream(n), 10 * S);
	assert_true(is_cold(n, 15 * S));
	/* A request that crashes it then is still a suspect. */
	assert_false(upstream_cold_is_announced(n, upstream(n), 15 * S));
	assert_int_equal(published_ms(n), 10000);
	announce(n, 100, 2, 0, 16 * S);
	assert_false(is_cold(n, 16 * S));
	node_close(n);
}

/* Without the fields in the document nothing may change. */
static void services_without_cold_rate_are_never_cold(void **state)
{
	struct node *n = open_node("[\"s\",null,null]");
	struct gate_report r;

	(void)state;
	announce(n, 100, 1, 3, 10 * S);
	assert_false(is_cold(n, 10 * S));
	gates_mark_unreachable(n, upstream(n)->handle, 11 * S);
	assert_false(is_cold(n, 11 * S));
	gate_report(upstream(n)->gate, &r);
	assert_true(r.rate == 0);
	assert_int_equal(published_ms(n), 0);
	node_close(n);
}

/* Another node may send calls before this one has read the document. */
static void document_applies_to_upstreams_that_are_cold(void **state)
{
	struct node *n = open_node(NULL);
	struct gate_report r;

	(void)state;
	announce(n, 100, 1, 3, 10 * S);
	assert_true(is_cold(n, 10 * S));
	n->config = read_services("[\"s\",3,5.4]");
	gates_apply_config(n, 11 * S);
	gate_report(upstream(n)->gate, &r);
	assert_true(r.rate == 5.4);
	assert_true(is_cold(n, 12 * S));
	assert_false(is_cold(n, 13 * S));
	node_close(n);
}

/*
 * Guards against a malformed rate that is taken for another one, and against a
 * document that is lost to a service that is never cold.
 */
static void malformed_cold_fields_are_refused(void **state)
{
	static const struct {
		const char *rows, *field;
	} bad[] = {
		{"[\"beta\",-1,5.4]", "cold_start_s"},
		{"[\"beta\",3,-5.4]", "cold_per_s"},
		{"[\"beta\",3,\"5\"]", "cold_per_s"},
		{"[\"beta\",\"3\",5.4]", "cold_start_s"},
		{"[\"beta\",3,[5.4]]", "cold_per_s"},
	};
	struct error err = {0};
	struct config *c;
	char text[256];
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(bad) / sizeof(*bad); i++) {
		snprintf(text, sizeof(text),
			 "{\"version\":1,\"services\":{\"columns\":[\"name\","
			 "\"cold_start_s\",\"cold_per_s\"],\"rows\":[%s]}}",
			 bad[i].rows);
		assert_null(platform_config(text, strlen(text), &err));
		assert_non_null(strstr(err.text, "beta"));
		assert_non_null(strstr(err.text, bad[i].field));
	}
	c = read_services("[\"a\",3,5.4],[\"b\",null,null],[\"c\",3,0],"
			  "[\"d\",null,5.4],[\"e\",0,0]");
	assert_non_null(c);
	assert_true(config_service(c, "a")->cold_per_s == 5.4);
	assert_int_equal(config_service(c, "a")->cold_start_us, 3 * S);
	assert_true(config_service(c, "b")->cold_per_s == 0);
	assert_true(config_service(c, "c")->cold_per_s == 0);
	assert_true(config_service(c, "d")->cold_per_s == 5.4);
	assert_true(config_service(c, "e")->cold_per_s == 0);
	config_put(c);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(newest_heartbeat_decides),
		cmocka_unit_test(ended_upstream_is_presumed_cold),
		cmocka_unit_test(presumption_ends_with_a_heartbeat),
		cmocka_unit_test(services_without_cold_rate_are_never_cold),
		cmocka_unit_test(document_applies_to_upstreams_that_are_cold),
		cmocka_unit_test(malformed_cold_fields_are_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
