#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#include "conf/conf.h"

#define H1 "1111111111111111111111111111111111111111111111111111111111111111"
#define H2 "2222222222222222222222222222222222222222222222222222222222222222"
#define H3 "3333333333333333333333333333333333333333333333333333333333333333"

static const char base_note[] =
	"{\"release\": \"r1\", \"added\": {"
	"\"services\": [{\"name\": \"history\", \"team\": \"shore\"},"
	" {\"name\": \"certify\", \"team\": \"shore\"}],"
	"\"routes\": [{\"name\": \"read\", \"team\": \"shore\","
	" \"method\": \"GET\", \"path\": \"/rafts/{id}\","
	" \"service\": \"history\", \"shed\": \"first\"},"
	" {\"name\": \"issue\", \"team\": \"shore\", \"method\": \"POST\","
	" \"path\": \"/certificates\", \"service\": \"certify\","
	" \"once\": true, \"deadline_ms\": 5000, \"retries\": 1}],"
	"\"accounts\": [{\"name\": \"agents\", \"team\": \"port\","
	" \"rate\": 10, \"burst\": 5}, {\"name\": \"masters\","
	" \"team\": \"shore\", \"rate\": 0.5, \"burst\": 5}],"
	"\"keys\": [{\"id\": \"k1\", \"account\": \"agents\","
	" \"hash\": \"" H1 "\"}],"
	"\"operators\": [{\"name\": \"olga\", \"team\": \"shore\","
	" \"hash\": \"" H1 "\"}]}}";

static struct config *apply(const struct config *c, const char *text,
			    const char *team, struct note_faults *f)
{
	return config_apply(c, config_number(c) + 1, text, strlen(text), team,
			    f);
}

static struct config *base(void)
{
	struct note_faults f;
	struct config *empty = config_new();
	struct config *c = apply(empty, base_note, NULL, &f);

	assert_non_null(c);
	config_put(empty);
	return c;
}

struct invalid_note {
	const char *team;
	const char *text; /* of the note, after the member release */
	const char *path;
	const char *fault;
};

#define ADD(section, item) "\"added\": {\"" section "\": [" item "]}"
#define CHANGE(section, item) "\"changed\": {\"" section "\": [" item "]}"
#define WITHDRAW(section, id) "\"withdrawn\": {\"" section "\": [\"" id "\"]}"
#define ROUTE(name, path, service)                                        \
	"{\"name\": \"" name "\", \"method\": \"GET\", \"path\": \"" path \
	"\", \"service\": \"" service "\"}"

#define REGIONS(name, list) \
	"{\"name\": \"" name "\", \"allowed_regions\": " list "}"

static const struct invalid_note invalid_notes[] = {
	{NULL, "\"adds\": {}", "adds", "not a known member"},
	{NULL, "\"after\": -1", "after", "number of a note"},
	{NULL, "\"after\": \"1\"", "after", "number of a note"},
	{NULL, "\"added\": []", "added", "must be an object"},
	{NULL, "\"added\": {\"hosts\": []}", "added.hosts", "not a known"},
	{NULL, "\"added\": {\"keys\": {}}", "added.keys", "must be a list"},
	{NULL, "\"added\": {\"keys\": [3]}", "added.keys[0]", "an object"},
	{NULL, "\"added\": {}, \"added\": {}", "added", "given twice"},
	{NULL, ADD("services", "{\"name\": \"a\", \"name\": \"b\"}"),
	 "added.services[0].name", "given twice"},
	{NULL, ADD("services", "{\"name\": \"a\", \"port\": 1}"),
	 "added.services[0].port", "not a known member"},
	{NULL, ADD("services", "{\"name\": \"history\"}"), "added.services[0]",
	 "there is a service history already"},
	{NULL, ADD("services", "{\"name\": \"a\"}, {\"name\": \"a\"}"),
	 "added.services[1]", "named already by added.services[0]"},
	{NULL, ADD("routes", "{\"name\": \"a\"}"), "added.routes[0].method",
	 "is missing"},
	{NULL, ADD("routes", ROUTE("a", "/x", "nobody")),
	 "added.routes[0].service", "there is no service nobody"},
	{NULL, ADD("routes", ROUTE("a", "/rafts/{raft}", "history")),
	 "added.routes[0]", "method and path of route read"},
	{NULL, ADD("routes", ROUTE("a", "/r%61fts/{raft}", "history")),
	 "added.routes[0]", "method and path of route read"},
	{NULL, ADD("routes", ROUTE("a", "/a/**/b", "history")),
	 "added.routes[0].path", "** at its end"},
	{NULL, ADD("routes", ROUTE("a", "/a/../b", "history")),
	 "added.routes[0].path", "dot segment"},
	{NULL, ADD("routes", ROUTE("a", "a", "history")),
	 "added.routes[0].path", "must start with /"},
	{NULL, CHANGE("routes", "{\"name\": \"issue\", \"open\": true}"),
	 "changed.routes[0]", "can't be open"},
	{NULL, CHANGE("routes", "{\"name\": \"issue\", \"retries\": -1}"),
	 "changed.routes[0].retries", "from 0 to 100"},
	{NULL, CHANGE("routes", "{\"name\": \"read\", \"shed\": \"never\"}"),
	 "changed.routes[0].shed", "one of first, middle, last"},
	{NULL, CHANGE("accounts", "{\"name\": \"x\", \"rate\": 1}"),
	 "changed.accounts[0]", "there is no account x"},
	{NULL, CHANGE("accounts", "{\"name\": \"agents\", \"rate\": 0}"),
	 "changed.accounts[0].rate", "must be from"},
	{NULL, CHANGE("accounts", "{\"rate\": 1}"), "changed.accounts[0]",
	 "with name"},
	{NULL, CHANGE("routes", REGIONS("read", "[]")),
	 "changed.routes[0].allowed_regions", "1 to 8 regions"},
	{NULL,
	 CHANGE("accounts", REGIONS("agents", "[\"a\",\"b\",\"c\",\"d\",\"e\","
					      "\"f\",\"g\",\"h\",\"i\"]")),
	 "changed.accounts[0].allowed_regions", "1 to 8 regions"},
	{NULL, CHANGE("routes", REGIONS("read", "\"east\"")),
	 "changed.routes[0].allowed_regions", "a list of regions"},
	{NULL, CHANGE("routes", REGIONS("read", "[\"east\", 3]")),
	 "changed.routes[0].allowed_regions[1]", "a string"},
	{NULL, CHANGE("keys", "{\"id\": \"k1\", \"account\": \"x\"}"),
	 "changed.keys[0].account", "there is no account x"},
	{NULL,
	 ADD("keys", "{\"id\": \"k2\", \"account\": \"agents\","
		     "\"hash\": \"" H1 "\"}"),
	 "added.keys[0]", "has the hash of k1"},
	{NULL,
	 ADD("keys", "{\"id\": \"k2\", \"account\": \"agents\","
		     "\"hash\": \"11\"}"),
	 "added.keys[0].hash", "64 hexadecimal"},
	{NULL, WITHDRAW("accounts", "agents"), "withdrawn.accounts[0]",
	 "still has keys k1"},
	{NULL, WITHDRAW("services", "history"), "withdrawn.services[0]",
	 "still has routes read"},
	{NULL, WITHDRAW("keys", "k9"), "withdrawn.keys[0]", "no key k9"},
	{NULL, "\"withdrawn\": {\"keys\": [1]}", "withdrawn.keys[0]",
	 "must be a string"},
	{NULL, "\"withdrawn\": {\"overload\": []}", "withdrawn.overload",
	 "not a known"},
	{NULL, "\"changed\": {\"overload\": {\"mode\": \"on\"}}",
	 "changed.overload.mode", "one of enforce, observe, off"},
	{"shore", "\"changed\": {\"overload\": {\"mode\": \"off\"}}",
	 "changed.overload", "operators of every team"},
	{"shore", CHANGE("accounts", "{\"name\": \"agents\", \"rate\": 1}"),
	 "changed.accounts[0]", "belongs to team port"},
	{"shore",
	 CHANGE("accounts", "{\"name\": \"masters\","
			    "\"team\": \"port\"}"),
	 "changed.accounts[0]", "belongs to team port"},
	{"shore", ADD("services", "{\"name\": \"a\"}"), "added.services[0]",
	 "belongs to no team"},
	{"shore", WITHDRAW("keys", "k1"), "withdrawn.keys[0]",
	 "belongs to team port"},
	{"shore",
	 ADD("keys", "{\"id\": \"k2\", \"account\": \"agents\","
		     "\"hash\": \"" H2 "\"}"),
	 "added.keys[0]", "belongs to team port"},
	{"port", WITHDRAW("operators", "olga"), "withdrawn.operators[0]",
	 "belongs to team shore"},
	{"shore",
	 ADD("operators", "{\"name\": \"ivan\", \"hash\": \"" H3 "\"}"),
	 "added.operators[0]", "belongs to no team"},
};

static bool has_fault(const struct note_faults *f, const struct invalid_note *b)
{
	size_t i;

	for (i = 0; i < f->n; i++)
		if (!strcmp(f->items[i].path, b->path) &&
		    strstr(f->items[i].text, b->fault))
			return true;
	return false;
}

static void invalid_notes_are_rejected(void **state)
{
	struct config *c = base();
	struct note_faults f;
	char text[1024];
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(invalid_notes) / sizeof(*invalid_notes); i++) {
		snprintf(text, sizeof(text), "{\"release\": \"r2\", %s}",
			 invalid_notes[i].text);
		assert_null(apply(c, text, invalid_notes[i].team, &f));
		if (!has_fault(&f, &invalid_notes[i]))
			fail_msg("%zu: %s; got %s: %s", i, text,
				 f.n ? f.items[0].path : "-",
				 f.n ? f.items[0].text : "nothing");
		note_faults_free(&f);
	}
	assert_int_equal(config_number(c), 1);
	config_put(c);
}

static void all_faults_are_reported(void **state)
{
	static const struct invalid_note all[] = {
		{NULL, NULL, "release", "is missing"},
		{NULL, NULL, "added.accounts[0].rate", "is missing"},
		{NULL, NULL, "added.accounts[0].burst", "must be a number"},
		{NULL, NULL, "withdrawn.services[0]", "routes read"},
		{NULL, NULL, "withdrawn.routes[0]", "no route x"},
	};
	struct config *c = base();
	struct note_faults f;
	size_t i;

	(void)state;
	assert_null(apply(c,
			  "{\"added\": {\"accounts\": [{\"name\": \"n\","
			  "\"burst\": \"5\"}], \"keys\": [{\"id\": \"k2\","
			  "\"account\": \"n\", \"hash\": \"" H2 "\"}]},"
			  "\"withdrawn\": {\"services\": [\"history\"],"
			  "\"routes\": [\"x\"]}}",
			  NULL, &f));
	for (i = 0; i < sizeof(all) / sizeof(*all); i++)
		assert_true(has_fault(&f, &all[i]));
	assert_int_equal(f.n, sizeof(all) / sizeof(*all));
	note_faults_free(&f);
	config_put(c);
}

static void changes_keep_unnamed_members(void **state)
{
	struct config *c = base(), *n;
	struct note_faults f;
	uint8_t hash[KEY_HASH_SIZE];

	(void)state;
	memset(hash, 0x11, sizeof(hash));
	n = apply(c,
		  "{\"release\": \"r2\", \"after\": 1, \"changed\": {"
		  "\"routes\": [{\"name\": \"issue\", \"retries\": 0}],"
		  "\"overload\": {\"mode\": \"observe\"}},"
		  "\"withdrawn\": {\"keys\": [\"k1\"],"
		  "\"accounts\": [\"agents\"]}}",
		  NULL, &f);
	assert_non_null(n);
	assert_int_equal(config_route(n, "issue")->retries, 0);
	assert_int_equal(config_route(n, "issue")->deadline_us, 5000000);
	assert_true(config_route(n, "issue")->once);
	assert_int_equal(config_overload_mode(n), OVERLOAD_OBSERVE);
	assert_null(config_key(n, hash));
	assert_null(config_account(n, "agents"));
	assert_int_equal(config_release_number(n, "r1"), 1);
	assert_int_equal(config_release_number(n, "r2"), 2);
	assert_int_equal(config_release_number(n, "r3"), 0);
	assert_true(
		config_release_text_equal(n, 1, base_note, strlen(base_note)));
	/* The previous configuration is unchanged. */
	assert_non_null(config_key(c, hash));
	assert_int_equal(config_route(c, "issue")->retries, 1);
	assert_int_equal(config_overload_mode(c), OVERLOAD_ENFORCE);
	config_put(n);
	config_put(c);
}

/* Guards against home regions that a later note widens unasked. */
static void home_regions_last_until_a_note_changes_them(void **state)
{
	struct config *c = base(), *n, *lifted;
	struct note_faults f;

	(void)state;
	n = apply(c,
		  "{\"release\": \"r2\", " CHANGE(
			  "accounts", REGIONS("agents", "[\"e\", \"w\"]")) "}",
		  NULL, &f);
	assert_non_null(n);
	assert_int_equal(config_account(c, "agents")->home.count, 0);
	config_put(c);
	c = apply(n,
		  "{\"release\": \"r3\", \"changed\": {\"accounts\": ["
		  "{\"name\": \"agents\", \"rate\": 7}]}}",
		  NULL, &f);
	assert_int_equal(config_account(c, "agents")->home.count, 2);
	assert_true(region_set_has(&config_account(c, "agents")->home, "w"));
	lifted = apply(c,
		       "{\"release\": \"r4\", " CHANGE(
			       "accounts", REGIONS("agents", "null")) "}",
		       NULL, &f);
	assert_int_equal(config_account(lifted, "agents")->home.count, 0);
	config_put(lifted);
	config_put(n);
	config_put(c);
}

static void team_may_change_its_own_items(void **state)
{
	struct config *c = base(), *n;
	struct note_faults f;

	(void)state;
	n = apply(c,
		  "{\"release\": \"r2\", \"changed\": {\"accounts\":"
		  "[{\"name\": \"masters\", \"rate\": 2}], \"operators\":"
		  "[{\"name\": \"olga\", \"read_only\": true}]},"
		  "\"added\": {\"keys\": [{\"id\": \"k2\", \"account\":"
		  "\"masters\", \"hash\": \"" H2 "\"}]}}",
		  "shore", &f);
	assert_non_null(n);
	config_put(n);
	config_put(c);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(invalid_notes_are_rejected),
		cmocka_unit_test(all_faults_are_reported),
		cmocka_unit_test(changes_keep_unnamed_members),
		cmocka_unit_test(home_regions_last_until_a_note_changes_them),
		cmocka_unit_test(team_may_change_its_own_items),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
