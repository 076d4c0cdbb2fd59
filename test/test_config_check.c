/* Findings of the configuration check: each kind, and nothing else. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#include "conf/findings.h"
#include "node/config_file.h"

#define ROUTE(name, prefix, more) \
	"[\"" name "\",\"h.example\",\"" prefix "\",\"safe\"," more "]"
#define ACCOUNT(name, more) "[\"" name "\"," more "]"

/* A document with these rows of routes and tenants. */
#define DOCUMENT(routes, tenants)                                           \
	"{\"version\":3,\"routes\":{\"columns\":[\"name\",\"host\","        \
	"\"prefix\",\"route_kind\",\"timeout_s\",\"target_latency_s\","     \
	"\"service\",\"traffic_split\",\"allow_anonymous\","                \
	"\"allowed_regions\"],\"rows\":[" routes "]},"                      \
	"\"services\":{\"columns\":[\"name\"],\"rows\":[[\"s\"],[\"t\"]]}," \
	"\"tenants\":{\"columns\":[\"name\",\"api_keys\",\"rate_per_s\","   \
	"\"burst\",\"allowed_regions\"],\"rows\":[" tenants "]}}"

#define PLAIN_ROUTE ROUTE("r", "/r/", "2,1,\"s\",null,false,null")
#define PLAIN_ACCOUNT ACCOUNT("a", "[\"k\"],5,2,null")
#define TWICE ROUTE("x", "/x/", "2,1,\"s\",null,false,null")
#define SPLIT(weights) "2,1,null,[" weights "],false,null"
#define PART(name, weight) "{\"service\":\"" name "\",\"weight\":" weight "}"
#define H1 "1111111111111111111111111111111111111111111111111111111111111111"
#define COLD(values)                                                           \
	"{\"version\":3,\"services\":{\"columns\":[\"name\",\"cold_start_s\"," \
	"\"cold_per_s\"],\"rows\":[[\"s\"," values "]]}}"
#define NOTE(members) "{\"release\":\"r1\",\"added\":{" members "}}"

struct check_case {
	const char *text;
	const char *found; /* "code item", separated by "; "; "": nothing */
	const char *names; /* in the text of the first; NULL: any */
};

static const struct check_case cases[] = {
	{DOCUMENT(PLAIN_ROUTE, PLAIN_ACCOUNT), "", NULL},
	{"{\"version\":0}", "malformed file", "version"},
	{"{\"version\":2", "malformed line 1", NULL},
	{"", "malformed line 1", NULL},
	{"\x01garbage", "malformed file", "malformed at byte"},
	{DOCUMENT(TWICE "," ROUTE("x", "/y/", "2,1,\"s\",null,false,null"),
		  PLAIN_ACCOUNT),
	 "repeated-name route x", "more than once"},
	{DOCUMENT(PLAIN_ROUTE,
		  PLAIN_ACCOUNT "," ACCOUNT("a", "[\"l\"],5,2,null")),
	 "repeated-name account a", NULL},
	{DOCUMENT(ROUTE("r", "/r/", "null,null,\"s\",null,false,null"),
		  PLAIN_ACCOUNT),
	 "no-timeout route r", "too late"},
	{DOCUMENT(ROUTE("r", "/r/", "1,1.5,\"s\",null,false,null"),
		  PLAIN_ACCOUNT),
	 "timeout-below-target route r", "1.500 s"},
	{DOCUMENT(PLAIN_ROUTE, ACCOUNT("a", "[\"k\"],5,0.5,null")),
	 "burst-below-one account a", "0.5"},
	{DOCUMENT(PLAIN_ROUTE, ACCOUNT("a", "[\"k\"],5,null,null")),
	 "burst-below-one account a", "burst of 0"},
	{DOCUMENT(PLAIN_ROUTE, ACCOUNT("a", "[\"k\"],null,null,null")), "",
	 NULL},
	{DOCUMENT(PLAIN_ROUTE, ACCOUNT("a", "null,5,2,null")),
	 "account-without-key account a", NULL},
	{DOCUMENT(ROUTE("r", "/r/", "2,1,\"u\",null,false,null"),
		  PLAIN_ACCOUNT),
	 "unknown-service route r", "service u"},
	{DOCUMENT(ROUTE("r", "/r/", SPLIT(PART("s", "3") "," PART("t", "0"))),
		  PLAIN_ACCOUNT),
	 "weight-zero route r", "service t has weight 0"},
	{DOCUMENT(ROUTE("r", "/r/", SPLIT(PART("s", "0") "," PART("t", "0"))),
		  PLAIN_ACCOUNT),
	 "weight-zero route r", "service s gets all"},
	{DOCUMENT(ROUTE("r", "/r", "2,1,\"s\",null,false,null"), PLAIN_ACCOUNT),
	 "unreachable-route route r", "end with a slash"},
	/* The longer prefix of another route gets only a part. */
	{DOCUMENT(PLAIN_ROUTE
		  "," ROUTE("rr", "/r/r/", "2,1,\"s\",null,false,null"),
		  PLAIN_ACCOUNT),
	 "", NULL},
	/* The prefix without a slash is never looked up. */
	{DOCUMENT(PLAIN_ROUTE
		  "," ROUTE("q", "/r/q", "2,1,\"s\",null,false,null"),
		  PLAIN_ACCOUNT),
	 "shadowed-route route q", "route r gets"},
	{DOCUMENT(ROUTE("r", "/r/", "2,1,\"s\",null,false,[\"east\"]"),
		  ACCOUNT("a", "[\"k\"],5,2,[\"west\",\"north\"]")),
	 "homes-disjoint route r", "account a"},
	{DOCUMENT(ROUTE("r", "/r/", "2,1,\"s\",null,false,[\"east\"]"),
		  ACCOUNT("a", "[\"k\"],5,2,[\"west\",\"east\"]")),
	 "", NULL},
	/* Requests on a route that needs no key have no account. */
	{DOCUMENT(ROUTE("r", "/r/", "2,1,\"s\",null,true,[\"east\"]"),
		  ACCOUNT("a", "[\"k\"],5,2,[\"west\"]")),
	 "", NULL},
	{NOTE("\"services\":[{\"name\":\"s\"}],\"routes\":[{\"name\":\"r\","
	      "\"method\":\"GET\",\"path\":\"/a/{x}/b/**\",\"service\":"
	      "\"s\"},{\"name\":\"q\",\"method\":\"GET\",\"path\":\"/a/b/b\","
	      "\"service\":\"s\"}]"),
	 "", NULL},
	{COLD("3,5.4"), "", NULL},
	{COLD("0,0"), "", NULL},
	{COLD("3,0"), "cold-incomplete service s", "cold for 3 s"},
	{COLD("null,5.4"), "cold-incomplete service s", "take 5.4"},
	{COLD("3,-1"), "malformed file", "cold_per_s"},
	{NOTE("\"accounts\":[{\"name\":\"a\",\"rate\":1,\"burst\":2}]"),
	 "account-without-key account a", NULL},
	{NOTE("\"accounts\":[{\"name\":\"a\",\"rate\":1,\"burst\":0}]"),
	 "malformed added.accounts[0].burst", "must be from 1"},
};

static void describe(const struct findings *f, struct buffer *b)
{
	size_t i;

	for (i = 0; i < f->n; i++)
		buffer_printf(b, "%s%s %s", i ? "; " : "",
			      finding_code(f->items[i].kind), f->items[i].item);
	buffer_append(b, "", 1, SIZE_MAX);
}

static void check(const char *text, struct findings *f)
{
	struct config *c = config_file_read(NULL, text, strlen(text), f);

	if (c)
		config_check(c, f);
	config_put(c);
}

/* Guards against faults that pass the check, and against false alarms. */
static void each_fault_is_found_alone(void **state)
{
	struct findings f;
	struct buffer b;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		memset(&f, 0, sizeof(f));
		memset(&b, 0, sizeof(b));
		check(cases[i].text, &f);
		describe(&f, &b);
		if (strcmp((char *)b.data, cases[i].found) != 0)
			fail_msg("case %zu: %s instead of %s", i,
				 (char *)b.data, cases[i].found);
		if (cases[i].names && !strstr(f.items[0].text, cases[i].names))
			fail_msg("case %zu: %s", i, f.items[0].text);
		findings_free(&f);
		buffer_free(&b);
	}
}

static void a_key_of_two_accounts_is_an_error(void **state)
{
	static const char text[] = DOCUMENT(
		PLAIN_ROUTE, ACCOUNT("a", "[\"k\",\"x\"],5,2,null") "," ACCOUNT(
				     "b", "[\"k\"],5,2,null"));
	struct findings f = {0};

	(void)state;
	check(text, &f);
	assert_int_equal(f.counts[SEVERITY_ERROR], 1);
	assert_int_equal(f.items[0].kind, FINDING_DUPLICATE_KEY);
	assert_non_null(strstr(f.items[0].text, "account a and then to b"));
	findings_free(&f);
}

static bool has(const struct findings *f, enum finding_kind kind,
		const char *item, const char *text)
{
	size_t i;

	for (i = 0; i < f->n; i++)
		if (f->items[i].kind == kind &&
		    !strcmp(f->items[i].item, item) &&
		    strstr(f->items[i].text, text))
			return true;
	return false;
}

/* Guards against a changed member that the comparison does not know. */
static void differences_name_each_member(void **state)
{
	static const char before[] = DOCUMENT(
		PLAIN_ROUTE "," ROUTE("q", "/q/", SPLIT(PART("s", "3"))),
		PLAIN_ACCOUNT "," ACCOUNT("b", "[\"l\"],5,2,null"));
	static const char after[] = DOCUMENT(
		ROUTE("r", "/r/", "2,1.5,\"s\",null,false,[\"east\"]") "," ROUTE(
			"q", "/q2/", SPLIT(PART("s", "3") "," PART("t", "1"))),
		ACCOUNT("a", "[\"k\"],7,2,null") "," ACCOUNT(
			"c", "[\"m\"],null,null,null"));
	struct config *a, *b;
	struct findings f = {0};

	(void)state;
	a = config_file_read(NULL, before, strlen(before), &f);
	b = config_file_read(NULL, after, strlen(after), &f);
	assert_int_equal(f.n, 0);
	config_compare(a, b, &f);
	assert_true(
		has(&f, FINDING_CHANGED, "route r", "target_ms: 1000 -> 1500"));
	assert_true(has(&f, FINDING_CHANGED, "route r",
			"allowed_regions: null -> [\"east\"]"));
	assert_true(has(&f, FINDING_CHANGED, "route q", "h.example/q2/"));
	assert_true(has(&f, FINDING_CHANGED, "route q",
			"traffic split: s:3 -> s:3,t:1"));
	assert_true(has(&f, FINDING_CHANGED, "account a", "rate: 5.0 -> 7.0"));
	assert_true(has(&f, FINDING_WITHDRAWN, "account b", ""));
	assert_true(has(&f, FINDING_ADDED, "account c", ""));
	/* Of keys, one is withdrawn and one added. */
	assert_int_equal(f.counts[SEVERITY_DIFFERENCE], 9);
	assert_int_equal(f.counts[SEVERITY_ERROR], 0);
	findings_free(&f);
	memset(&f, 0, sizeof(f));
	config_compare(a, a, &f);
	assert_int_equal(f.n, 0);
	config_put(a);
	a = config_file_read(NULL, after, strlen(after), &f);
	config_compare(a, b, &f);
	assert_int_equal(f.n, 0);
	config_put(a);
	config_put(b);
	findings_free(&f);
}

/* Snapshots are compared to what they were packed from. */
static void snapshots_are_read(void **state)
{
	static const char note[] =
		NOTE("\"accounts\":[{\"name\":\"a\",\"rate\":1,\"burst\":2,"
		     "\"allowed_regions\":[\"east\"]}],\"keys\":[{\"id\":\"k\","
		     "\"account\":\"a\",\"hash\":\"" H1 "\"}]");
	static const char change[] =
		"{\"release\":\"r2\",\"changed\":{\"accounts\":[{\"name\":"
		"\"a\",\"rate\":3}]}}";
	struct findings f = {0};
	struct buffer b = {0};
	struct config *a, *s, *c;

	(void)state;
	a = config_file_read(NULL, note, strlen(note), &f);
	assert_int_equal(config_pack(a, &b), 0);
	s = config_file_read(NULL, b.data, b.len, &f);
	assert_non_null(s);
	config_check(s, &f);
	config_compare(a, s, &f);
	assert_int_equal(f.n, 0);
	/* A note is applied to the configuration in force. */
	c = config_file_read(s, change, strlen(change), &f);
	config_compare(s, c, &f);
	assert_int_equal(f.n, 1);
	assert_string_equal(f.items[0].text, "rate: 1.0 -> 3.0");
	findings_free(&f);
	buffer_free(&b);
	config_put(a);
	config_put(s);
	config_put(c);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(each_fault_is_found_alone),
		cmocka_unit_test(a_key_of_two_accounts_is_an_error),
		cmocka_unit_test(differences_name_each_member),
		cmocka_unit_test(snapshots_are_read),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
