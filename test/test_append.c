#include "notes_world.h"

#define ROWS(a) (sizeof(a) / sizeof(*(a)))

struct answer {
	const char *team;
	const char *text;
	enum append_status status;
	uint64_t number;
	const char *says;
};

#define RATE_A "\"changed\": {\"accounts\": [{\"name\": \"a\", \"rate\": 9}]}"

/* One after the other on top of the base note. */
static const struct answer answers[] = {
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

static void appends_are_answered(void **state)
{
	const struct answer *a = answers;
	struct outcome_seen seen;
	struct world w;
	int i = 0;

	(void)state;
	world_begin(&w, 4, 2);
	for (; a < answers + ROWS(answers); a++, i++) {
		world_append(&w, i % 4, a->text, a->team, &seen);
		if (!seen.done || seen.status != a->status ||
		    seen.number != a->number || !strstr(seen.text, a->says))
			fail_msg("%s: %d %d %s", a->text, seen.status,
				 (int)seen.number, seen.text);
	}
	assert_true(world_reaches(&w, 4, IN_FORCE_US));
	world_assert_same(&w, 4);
	world_close(&w);
}

static void a_lost_answer_is_settled(void **state)
{
	struct store_faults lose = {.lose_answer = true}, none = {0};
	struct outcome_seen seen;
	struct world w;

	(void)state;
	world_begin(&w, 4, 2);
	/* The read was answered; the answer to the write is lost. */
	world_append_start(&w, 0, rate_note(0, 0), NULL, &seen);
	store_set_faults(w.nodes[0].store, &lose);
	world_run(&w, STEP_US);
	assert_false(seen.done);
	store_set_faults(w.nodes[0].store, &none);
	world_run(&w, 5 * USEC_PER_SEC);
	assert_int_equal(seen.status, APPEND_ACCEPTED);
	assert_int_equal(seen.number, 2);
	/* No answer at all: unknown, and the same note is recognised. */
	world_append_start(&w, 0, rate_note(1, 0), NULL, &seen);
	store_set_faults(w.nodes[0].store, &lose);
	world_run(&w, 20 * USEC_PER_SEC);
	assert_int_equal(seen.status, APPEND_UNKNOWN);
	world_append(&w, 1, rate_note(1, 0), NULL, &seen);
	assert_int_equal(seen.status, APPEND_REPEATED);
	assert_int_equal(seen.number, 3);
	world_close(&w);
}

static void without_the_store_nothing_is_written(void **state)
{
	struct store_faults down = {.down = true}, none = {0};
	struct outcome_seen seen;
	struct world w;

	(void)state;
	world_begin(&w, 4, 2);
	world_store_faults(&w, -1, &down);
	world_append(&w, 0, rate_note(0, 0), NULL, &seen);
	assert_int_equal(seen.status, APPEND_STORE_OUT);
	world_store_faults(&w, -1, &none);
	world_run(&w, HEAL_US);
	world_assert_same(&w, 1);
	world_close(&w);
}

static void two_operators_at_once(void **state)
{
	static const char note_a[] = "{\"release\": \"x\", \"after\": 1, "
				     "" RATE_A "}";
	static const char note_b[] = "{\"release\": \"y\", \"after\": 1, "
				     "" RATE_A "}";
	struct outcome_seen a, b;
	struct world w;

	(void)state;
	world_begin(&w, 4, 2);
	world_append_start(&w, 0, note_a, NULL, &a);
	world_append_start(&w, 1, note_b, NULL, &b);
	world_run(&w, 5 * USEC_PER_SEC);
	assert_true(a.done && b.done);
	assert_int_equal(a.status, APPEND_ACCEPTED);
	assert_int_equal(b.status, APPEND_CONFLICT);
	assert_non_null(strstr(b.text, "note 2 (x) touches accounts a"));
	/* Without `after` both go in, one on top of the other. */
	world_append_start(&w, 0, rate_note(5, 0), NULL, &a);
	world_append_start(&w, 1, rate_note(6, 0), NULL, &b);
	world_run(&w, 5 * USEC_PER_SEC);
	assert_int_equal(a.status, APPEND_ACCEPTED);
	assert_int_equal(b.status, APPEND_ACCEPTED);
	assert_int_equal(a.number + b.number, 3 + 4);
	assert_true(world_reaches(&w, 4, IN_FORCE_US));
	world_assert_same(&w, 4);
	world_close(&w);
}

struct listed {
	char json[2048];
};

static void on_history(void *ctx, uint64_t tag, const char *json,
		       const struct error *err)
{
	struct listed *l = ctx;

	(void)tag;
	snprintf(l->json, sizeof(l->json), "%s", json ? json : err->text);
}

static void history_tells_who_wrote_what(void **state)
{
	struct listed l = {""};
	struct outcome_seen seen;
	struct world w;

	(void)state;
	world_begin(&w, 2, 1);
	world_append(&w, 1, rate_note(0, 0), NULL, &seen);
	notes_history(w.nodes[0].notes, 1, 10, &l, 0, on_history, w.now);
	world_run(&w, USEC_PER_SEC);
	assert_non_null(strstr(l.json, "[{\"number\":2,\"release\":\"r0\","
				       "\"operator\":\"olga\""));
	assert_null(strstr(l.json, "base"));
	world_close(&w);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(appends_are_answered),
		cmocka_unit_test(a_lost_answer_is_settled),
		cmocka_unit_test(without_the_store_nothing_is_written),
		cmocka_unit_test(two_operators_at_once),
		cmocka_unit_test(history_tells_who_wrote_what),
	};

	log_set_level(LOG_EMERG);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
