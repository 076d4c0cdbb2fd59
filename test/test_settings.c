#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#include "conf/conf.h"

#define SECRET \
	"00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
#define HEAD                                                             \
	"{ // one node\n\"host\": \"h1\", \"data_centre\": \"aktau\",\n" \
	"\"region\": \"kz-west\", \"secret\": \"" SECRET "\",\n"
#define LISTEN                                               \
	"\"listen\": {\"callers\": \"127.0.0.1:0\",\n"       \
	" \"services\": \"127.0.0.1:1\", /* two\nlines */\n" \
	" \"nodes\": \"10.0.0.1:2\", \"admin\": \"[::1]:3\"},\n"
#define STORE "\"store\": {\"kind\": \"etcd\", \"address\": \"1.2.3.4:5\"}"

static void complete_settings_are_read(void **state)
{
	struct settings s;
	struct error err;
	struct addr a;

	(void)state;
	assert_int_equal(
		settings_parse(
			&s,
			HEAD LISTEN STORE
			",\n\"seeds\": [\"10.0.0.2:2\"],\n"
			"\"limits\": {\"body_bytes\": 2048},\n"
			"\"stop_grace_s\": 1.5, \"log_level\": \"debug\"}",
			"f", &err),
		0);
	assert_string_equal(s.host, "h1");
	assert_string_equal(s.data_centre, "aktau");
	assert_string_equal(s.region, "kz-west");
	addr_parse(&a, "10.0.0.1:2");
	assert_true(addr_equal(&a, &s.nodes));
	assert_int_equal(s.callers.port, 0);
	assert_int_equal(s.store_kind, STORE_ETCD);
	assert_int_equal(s.seed_count, 1);
	assert_int_equal(s.secret[1], 0x11);
	assert_int_equal(s.body_limit, 2048);
	assert_int_equal(s.stop_grace_us, 1500000);
	assert_int_equal(s.log_priority, LOG_DEBUG);
}

struct invalid_settings_text {
	const char *text;
	const char *error;
};

static const struct invalid_settings_text invalid_settings[] = {
	{"", "f:1: ends too early"},
	{"[]", "f:1: not an object"},
	{"{\n\"host\": \"a\",\n\"region\" 1}", "f:3: "},
	{HEAD LISTEN STORE "} x", "f:8: unexpected"},
	{HEAD LISTEN STORE ",\n\"colour\": 1}",
	 "f:9: colour: is not a known member"},
	{HEAD LISTEN STORE ",\n\"host\": \"h1\"}", "f:9: host: is given twice"},
	{HEAD LISTEN STORE ",\n\"ho\\u0073t\": \"h1\"}", "has no escapes"},
	{HEAD LISTEN STORE ",\n\"stop_grace_s\": \"5\"}",
	 "f:9: stop_grace_s: must be a number"},
	{HEAD LISTEN STORE ",\n\"stop_grace_s\": -1}",
	 "f:9: stop_grace_s: must be from 0 to 3600"},
	{HEAD LISTEN STORE ",\n\"stop_grace_s\": NaN}", "must be from 0"},
	{HEAD LISTEN STORE ",\n\"crossing\": {\"cost_per_mb\": -1}}",
	 "f:9: crossing.cost_per_mb: must be from 0"},
	{HEAD LISTEN STORE ",\n\"crossing\": {\"wait_worth_per_s\": 0}}",
	 "f:9: crossing.wait_worth_per_s: must be from"},
	{HEAD LISTEN STORE ",\n\"crossing\": {\"per_mb\": 1}}",
	 "f:9: crossing.per_mb: is not a known member"},
	{HEAD LISTEN STORE ",\n\"crossing\": true}",
	 "f:9: crossing: must be an object"},
	{HEAD LISTEN STORE ",\n\"log_level\": \"loud\"}",
	 "must be one of emerg"},
	{HEAD LISTEN STORE ",\n\"headers\": [\"x-a\",\n\"X-B\"]}",
	 "f:10: headers[1]: must be a header name"},
	{HEAD LISTEN STORE ",\n\"headers\": 1}",
	 "f:9: headers: must be a list of at most 32 names"},
	{HEAD LISTEN STORE ",\n\"seeds\": [\"1.1.1.1:1\",\n\"x\"]}",
	 "f:10: seeds[1]: must be an IP number"},
	{HEAD LISTEN STORE ",\"limits\": {\n\"requests\": 1.5}}",
	 "f:9: limits.requests: must be a whole number"},
	{HEAD LISTEN STORE ",\"limits\": {\"body_bytes\": 8388608,\n"
			   "\"memory_bytes\": 2097152}}",
	 "f:9: limits.memory_bytes: must be at least"},
	{HEAD STORE "}", "f:1: listen: is missing"},
	{HEAD STORE ",\n\"listen\": {\n\"callers\": \"1.1.1.1:1\"}}",
	 "f:5: listen.services: is missing"},
	{HEAD LISTEN "\"store\": {\"kind\": \"etcd\"}}",
	 "f:8: store.address: is missing"},
	{HEAD LISTEN "\"store\": null}", "f:8: store: must be an object"},
	{"{\"host\": \"a b\"}", "f:1: host: may only have"},
	{"{\"host\": \"\"}", "f:1: host: must have 1 to 63 characters"},
	{"{\"host\": \"a\\u0000\"}", "f:1: host: must have 1 to 63"},
	{"{\"secret\": \"zz\"}", "f:1: secret: must be 64"},
	{"{\"a\":{\"a\":{\"a\":{\"a\":{\"a\":{\"a\":{\"a\":{\"a\":{\"a\":{"
	 "\"a\":{\"a\":{\"a\":{\"a\":{\"a\":{\"a\":{\"a\":{\"a\":1",
	 "f:1: "},
};

static void faults_report_line_and_member(void **state)
{
	struct settings s;
	struct error err;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(invalid_settings) / sizeof(*invalid_settings);
	     i++) {
		err.text[0] = 0;
		assert_int_equal(
			settings_parse(&s, invalid_settings[i].text, "f", &err),
			-1);
		if (!strstr(err.text, invalid_settings[i].error))
			fail_msg("%zu: %s, not %s", i, err.text,
				 invalid_settings[i].error);
		assert_string_equal(err.peer, "f");
	}
}

static void missing_file_is_reported(void **state)
{
	struct settings s;
	struct error err;

	(void)state;
	assert_int_equal(settings_load(&s, "/nonexistent", &err), -1);
	assert_int_equal(err.code, ERROR_IO);
	assert_string_equal(err.peer, "/nonexistent");
}

static void parse(struct settings *s, const char *text)
{
	struct error err;

	if (settings_parse(s, text, "f", &err) < 0)
		fail_msg("%s", err.text);
}

/* Deployments without the member must keep the former placement. */
static void crossing_is_off_unless_it_is_set(void **state)
{
	struct settings s;

	(void)state;
	parse(&s, HEAD LISTEN STORE "}");
	assert_false(s.crossing);
	parse(&s, HEAD LISTEN STORE ", \"crossing\": {}}");
	assert_true(s.crossing);
	assert_true(s.cost_per_mb == 0);
	assert_true(s.wait_worth_per_s == 1);
	parse(&s, HEAD LISTEN STORE ", \"crossing\": "
				    "{\"cost_per_mb\": 0.02,"
				    " \"wait_worth_per_s\": 0.5}}");
	assert_true(s.cost_per_mb == 0.02);
	assert_true(s.wait_worth_per_s == 0.5);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(complete_settings_are_read),
		cmocka_unit_test(faults_report_line_and_member),
		cmocka_unit_test(missing_file_is_reported),
		cmocka_unit_test(crossing_is_off_unless_it_is_set),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
