#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "store/etcd_impl.h"
#include "store/store_impl.h"

struct origin_case {
	const char *name;
	struct store_origin known;
	struct store_origin answer;
	int64_t sent_revision; /* known when the call was sent */
	enum history_verdict verdict;
};

static const struct origin_case origin_cases[] = {
	{"first answer", {0}, {3, 0, 50}, 0, HISTORY_CURRENT},
	{"same era", {3, 0, 50}, {3, 0, 51}, 50, HISTORY_CURRENT},
	{"same era, overtaken answer",
	 {3, 0, 50},
	 {3, 0, 49},
	 48,
	 HISTORY_CURRENT},
	{"next era", {3, 0, 50}, {4, 0, 51}, 50, HISTORY_REPLACED},
	{"several eras missed", {3, 0, 50}, {9, 0, 50}, 50, HISTORY_REPLACED},
	{"former era", {4, 0, 20}, {3, 0, 60}, 20, HISTORY_FORMER},
	{"answer without an era", {4, 0, 20}, {0, 0, 0}, 20, HISTORY_CURRENT},
	{"same cluster", {0, 7, 50}, {0, 7, 50}, 50, HISTORY_CURRENT},
	{"other cluster", {0, 7, 50}, {0, 8, 90}, 50, HISTORY_REPLACED},
	{"revision went back", {0, 7, 50}, {0, 7, 40}, 50, HISTORY_REPLACED},
	{"overtaken answer", {0, 7, 50}, {0, 7, 45}, 45, HISTORY_CURRENT},
};

static void origins_show_a_replaced_history(void **state)
{
	const struct origin_case *t = origin_cases;
	struct history h;

	(void)state;
	for (; t < origin_cases + sizeof(origin_cases) / sizeof(*t); t++) {
		memset(&h, 0, sizeof(h));
		h.o = t->known;
		if (history_check(&h, &t->answer, t->sent_revision, 1) !=
		    t->verdict)
			fail_msg("%s", t->name);
		assert_int_equal(h.replaced, t->verdict == HISTORY_REPLACED);
	}
}

/* A write compared under the former history must not count as settled. */
static void writes_of_a_former_history_are_unknown(void **state)
{
	struct history h = {.o = {.era = 1}};
	struct store_op op = {.kind = STORE_TXN};
	struct history_call write = history_call(&h, &op), read;
	struct store_result r = {.outcome = STORE_DONE, .origin = {.era = 2}};

	(void)state;
	op.kind = STORE_GET;
	read = history_call(&h, &op);
	assert_true(history_settle(&h, &write, &r, 1));
	assert_int_equal(r.outcome, STORE_UNKNOWN);
	r = (struct store_result){.outcome = STORE_DONE, .origin = {.era = 2}};
	assert_false(history_settle(&h, &read, &r, 1));
	assert_int_equal(r.outcome, STORE_DONE);
	r = (struct store_result){.outcome = STORE_DONE, .origin = {.era = 1}};
	assert_false(history_settle(&h, &read, &r, 1));
	assert_int_equal(r.outcome, STORE_UNKNOWN);
}

/* A process that started after the restore learns from others how old it is. */
static void peers_tell_the_era_and_its_age(void **state)
{
	struct history h = {.o = {.era = 2}};

	(void)state;
	assert_int_equal(history_learn(&h, 0, 0, 9), HISTORY_FORMER);
	assert_int_equal(history_learn(&h, 1, 0, 9), HISTORY_FORMER);
	assert_int_equal(history_learn(&h, 2, INT64_MAX, 9), HISTORY_CURRENT);
	assert_int_equal(history_learn(&h, 2, 3, 9), HISTORY_REPLACED);
	assert_int_equal(h.learnt_us, 6);
	assert_int_equal(history_learn(&h, 2, 1, 9), HISTORY_CURRENT);
	assert_int_equal(history_learn(&h, 3, INT64_MAX, 11), HISTORY_REPLACED);
	assert_int_equal(h.replaced, 2);
}

static void etcd_answers_name_their_cluster(void **state)
{
	static const char text[] =
		"{\"header\":{\"cluster_id\":\"14841639068965178418\","
		"\"member_id\":\"1\",\"revision\":\"31\",\"raft_term\":\"2\"}}";
	struct buffer body = {0};
	struct store_result r = {0};

	(void)state;
	buffer_append(&body, text, strlen(text), SIZE_MAX);
	assert_int_equal(etcd_parse_response(STORE_GET, 200, &body, &r), 0);
	assert_true(r.origin.cluster == UINT64_C(14841639068965178418));
	assert_int_equal(r.revision, 31);
	buffer_free(&body);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(origins_show_a_replaced_history),
		cmocka_unit_test(writes_of_a_former_history_are_unknown),
		cmocka_unit_test(peers_tell_the_era_and_its_age),
		cmocka_unit_test(etcd_answers_name_their_cluster),
	};

	log_set_level(LOG_EMERG);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
