#include "notes_cluster.h"

#define ROWS(a) (sizeof(a) / sizeof(*(a)))

struct append_case {
	const char *team;
	const char *text;
	enum append_status status;
	uint64_t number;
	const char *details;
};

#define RATE_A "\"changed\": {\"accounts\": [{\"name\": \"a\", \"rate\": 9}]}"

/* Run in this order after base_note. */
static const struct append_case append_cases[] = {
	{NULL, base_note, APPEND_REPEATED, 1, ""},
	{NULL, "{\"release\": \"base\"}", APPEND_CONFLICT, 1, "another text"},
	{NULL, "{\"release\": \"r\", \"after\": 1, " RATE_A "}",
	 APPEND_ACCEPTED, 2, ""},
	{NULL, "{\"release\": \"r\", \"after\": 1, " RATE_A "}",
	 APPEND_REPEATED, 2, ""},
	{NULL, "{\"release\": \"s\", \"after\": 1, " RATE_A "}",
	 APPEND_CONFLICT, 2, "note 2 (r) touches accounts a"},
	{NULL, "{\"release\": \"s\", \"after\": 1}", APPEND_CONFLICT, 2,
	 "newest is note 2"},
	{NULL, "{\"release\": \"s\", \"after\": 7}", APPEND_CONFLICT, 2,
	 "newest is note 2"},
	{NULL, "{\"release\": \"s\", " RATE_A "}", APPEND_ACCEPTED, 3, ""},
	{NULL, "{\"release\": \"t\", \"adds\": 1, \"withdrawn\": 2}",
	 APPEND_INVALID, 0, "adds: is not a known member\nwithdrawn: must"},
	{NULL, "{", APPEND_INVALID, 0, "line 1: ends too early"},
	{NULL, "{}", APPEND_INVALID, 0, "release: is missing"},
	{"x", "{\"release\": \"t\", " RATE_A "}", APPEND_INVALID, 0,
	 "belongs to team t"},
	{"t", "{\"release\": \"t\", " RATE_A "}", APPEND_ACCEPTED, 4, ""},
};

static void append_reports_status(void **state)
{
	const struct append_case *a = append_cases;
	struct append_result result;
	struct cluster c;
	int i = 0;

	(void)state;
	cluster_begin(&c, 4, 2);
	for (; a < append_cases + ROWS(append_cases); a++, i++) {
		cluster_append(&c, i % 4, a->text, a->team, &result);
		if (!result.done || result.status != a->status ||
		    result.number != a->number ||
		    !strstr(result.text, a->details))
			fail_msg("%s: %d %d %s", a->text, result.status,
				 (int)result.number, result.text);
	}
	assert_true(cluster_wait_number(&c, 4, IN_FORCE_US));
	cluster_assert_same(&c, 4);
	cluster_close(&c);
}

static void lost_store_response_is_resolved(void **state)
{
	struct store_faults lose = {.lose_response = true}, none = {0};
	struct append_result result;
	struct cluster c;

	(void)state;
	cluster_begin(&c, 4, 2);
	/* The read succeeds; the response to the write is lost. */
	cluster_append_start(&c, 0, rate_note(0, 0), NULL, &result);
	store_set_faults(c.nodes[0].store, &lose);
	cluster_run(&c, STEP_US);
	assert_false(result.done);
	store_set_faults(c.nodes[0].store, &none);
	cluster_run(&c, 5 * USEC_PER_SEC);
	assert_int_equal(result.status, APPEND_ACCEPTED);
	assert_int_equal(result.number, 2);
	/* No response at all: unknown, and a repeat is recognised. */
	cluster_append_start(&c, 0, rate_note(1, 0), NULL, &result);
	store_set_faults(c.nodes[0].store, &lose);
	cluster_run(&c, 20 * USEC_PER_SEC);
	assert_int_equal(result.status, APPEND_UNKNOWN);
	cluster_append(&c, 1, rate_note(1, 0), NULL, &result);
	assert_int_equal(result.status, APPEND_REPEATED);
	assert_int_equal(result.number, 3);
	cluster_close(&c);
}

static void append_fails_while_store_is_down(void **state)
{
	struct store_faults down = {.down = true}, none = {0};
	struct append_result result;
	struct cluster c;

	(void)state;
	cluster_begin(&c, 4, 2);
	cluster_store_faults(&c, -1, &down);
	cluster_append(&c, 0, rate_note(0, 0), NULL, &result);
	assert_int_equal(result.status, APPEND_STORE_UNAVAILABLE);
	cluster_store_faults(&c, -1, &none);
	cluster_run(&c, RECOVERY_US);
	cluster_assert_same(&c, 1);
	cluster_close(&c);
}

static void concurrent_appends(void **state)
{
	static const char note_a[] = "{\"release\": \"x\", \"after\": 1, "
				     "" RATE_A "}";
	static const char note_b[] = "{\"release\": \"y\", \"after\": 1, "
				     "" RATE_A "}";
	struct append_result a, b;
	struct cluster c;

	(void)state;
	cluster_begin(&c, 4, 2);
	cluster_append_start(&c, 0, note_a, NULL, &a);
	cluster_append_start(&c, 1, note_b, NULL, &b);
	cluster_run(&c, 5 * USEC_PER_SEC);
	assert_true(a.done && b.done);
	assert_int_equal(a.status, APPEND_ACCEPTED);
	assert_int_equal(b.status, APPEND_CONFLICT);
	assert_non_null(strstr(b.text, "note 2 (x) touches accounts a"));
	/* Without `after` both are accepted, one after the other. */
	cluster_append_start(&c, 0, rate_note(5, 0), NULL, &a);
	cluster_append_start(&c, 1, rate_note(6, 0), NULL, &b);
	cluster_run(&c, 5 * USEC_PER_SEC);
	assert_int_equal(a.status, APPEND_ACCEPTED);
	assert_int_equal(b.status, APPEND_ACCEPTED);
	assert_int_equal(a.number + b.number, 3 + 4);
	assert_true(cluster_wait_number(&c, 4, IN_FORCE_US));
	cluster_assert_same(&c, 4);
	cluster_close(&c);
}

struct history_result {
	char json[2048];
};

static void on_history(void *ctx, uint64_t tag, const char *json,
		       const struct error *err)
{
	struct history_result *l = ctx;

	(void)tag;
	snprintf(l->json, sizeof(l->json), "%s", json ? json : err->text);
}

static void history_lists_operator(void **state)
{
	struct history_result l = {""};
	struct append_result result;
	struct cluster c;

	(void)state;
	cluster_begin(&c, 2, 1);
	cluster_append(&c, 1, rate_note(0, 0), NULL, &result);
	notes_history(c.nodes[0].notes, 1, 10, &l, 0, on_history, c.now);
	cluster_run(&c, USEC_PER_SEC);
	assert_non_null(strstr(l.json, "[{\"number\":2,\"release\":\"r0\","
				       "\"operator\":\"olga\""));
	assert_null(strstr(l.json, "base"));
	cluster_close(&c);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(append_reports_status),
		cmocka_unit_test(lost_store_response_is_resolved),
		cmocka_unit_test(append_fails_while_store_is_down),
		cmocka_unit_test(concurrent_appends),
		cmocka_unit_test(history_lists_operator),
	};

	log_set_level(LOG_EMERG);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
