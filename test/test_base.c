#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "base/base.h"

static void table_rejects_stale_handles(void **state)
{
	struct table t;
	void *item;
	uint64_t first, second;

	(void)state;
	table_init(&t, sizeof(int), 1);
	first = table_add(&t, &item);
	assert_non_null(table_get(&t, first));
	assert_int_equal(table_add(&t, &item), 0);
	table_remove(&t, first);
	assert_null(table_get(&t, first));
	second = table_add(&t, &item);
	assert_null(table_get(&t, first));
	assert_non_null(table_get(&t, second));
	table_free(&t);
}

/*
 * A table that grew moved its items: who held a pointer while a handler added
 * one read freed memory.
 */
static void table_items_keep_their_addresses(void **state)
{
	enum {
		COUNT = 1000,
		MAX = 1003
	};
	uint64_t handles[COUNT], h = 0;
	int *items[COUNT], i, n = 0;
	struct table t;
	void *item;

	(void)state;
	table_init(&t, sizeof(int), MAX);
	for (i = 0; i < COUNT; i++) {
		handles[i] = table_add(&t, &item);
		items[i] = item;
		*items[i] = i;
	}
	for (i = 0; i < COUNT; i++) {
		assert_ptr_equal(table_get(&t, handles[i]), items[i]);
		assert_int_equal(*items[i], i);
	}
	for (; (h = table_next(&t, h, &item)); n++)
		assert_ptr_equal(item, items[n]);
	assert_int_equal(n, COUNT);
	while (table_add(&t, &item))
		n++;
	assert_int_equal(n, MAX);
	table_free(&t);
	assert_int_equal(table_add(&t, &item) >> 32, 1);
	table_free(&t);
}

static void addr_parse_and_format_round_trip(void **state)
{
	static const char *const good[] = {"127.0.0.1:80", "[::1]:65535"};
	static const char *const bad[] = {
		"",	    "host:1",	     "1.2.3.4",
		"1.2.3.4:", "1.2.3.4:70000", "1.2.3.4:-1"};
	char text[ADDR_TEXT_SIZE];
	struct addr a;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(good) / sizeof(*good); i++) {
		assert_int_equal(addr_parse(&a, good[i]), 0);
		addr_format(&a, text);
		assert_string_equal(text, good[i]);
	}
	for (i = 0; i < sizeof(bad) / sizeof(*bad); i++)
		assert_int_equal(addr_parse(&a, bad[i]), -1);
}

static void log_values_are_escaped(void **state)
{
	struct log_line line;

	(void)state;
	log_start(&line, LOG_ERR, "test");
	log_str(&line, "path", "/a b=\"c\"\n");
	line.text[line.len] = 0;
	assert_non_null(strstr(line.text, "path=\"/a b=\\\"c\\\"\\x0a\""));
}

static void buffer_append_enforces_limit(void **state)
{
	struct buffer b = {0};

	(void)state;
	assert_int_equal(buffer_append(&b, "abcd", 4, 4), 0);
	assert_int_equal(buffer_append(&b, "e", 1, 4), -1);
	assert_int_equal(b.len, 4);
	buffer_free(&b);
}

/* Each bucket counts all samples up to its bound, as Prometheus expects. */
static void latency_buckets_are_cumulative(void **state)
{
	static const int64_t samples_us[] = {0, 900, 4000, 60000, 60000000};
	static const char *const lines[] = {
		"mulberryferry_queue_seconds_bucket{le=\"0.001\"} 2\n",
		"mulberryferry_queue_seconds_bucket{le=\"0.005\"} 3\n",
		"mulberryferry_queue_seconds_bucket{le=\"0.1\"} 4\n",
		"mulberryferry_queue_seconds_bucket{le=\"10\"} 4\n",
		"mulberryferry_queue_seconds_bucket{le=\"+Inf\"} 5\n",
		"mulberryferry_queue_seconds_sum 60.064900\n",
		"mulberryferry_queue_seconds_count 5\n",
		"mulberryferry_request_seconds_count 0\n",
	};
	struct buffer out = {0};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(samples_us) / sizeof(*samples_us); i++)
		latency_add(LATENCY_QUEUE, samples_us[i]);
	assert_int_equal(latency_count(LATENCY_QUEUE), 5);
	assert_int_equal(latencies_write(&out), 0);
	assert_int_equal(buffer_printf(&out, "%c", 0), 0);
	for (i = 0; i < sizeof(lines) / sizeof(*lines); i++)
		if (!strstr((const char *)out.data, lines[i]))
			fail_msg("missing: %s", lines[i]);
	buffer_free(&out);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(table_rejects_stale_handles),
		cmocka_unit_test(table_items_keep_their_addresses),
		cmocka_unit_test(addr_parse_and_format_round_trip),
		cmocka_unit_test(log_values_are_escaped),
		cmocka_unit_test(buffer_append_enforces_limit),
		cmocka_unit_test(latency_buckets_are_cumulative),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
