#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "platform/platform.h"
#include "store/store_impl.h"

static const char document[] =
	"{\"version\":7,\"routes\":{\"columns\":[\"name\",\"host\",\"prefix\","
	"\"route_kind\",\"timeout_s\",\"target_latency_s\",\"priority\","
	"\"traffic_split\",\"max_attempts\",\"allow_anonymous\",\"service\"],"
	"\"rows\":[[\"long\",\"h.example\",\"/a/b/\",\"safe\",5,1.2,2,"
	"[{\"service\":\"one\",\"weight\":90},{\"service\":\"two\","
	"\"weight\":10}],2,false,null],"
	"[\"short\",\"h.example\",\"/a/\",\"unsafe\",0.8,1.5,0,null,3,true,"
	"\"two\"],"
	"[\"other\",\"g.example\",\"/a/\",\"safe\",1,1,1,null,1,false,"
	"\"two\"],"
	"[\"large\",\"g.example\",\"/l/\",\"download\",1,1,1,null,2,false,"
	"\"two\"]]},"
	"\"services\":{\"columns\":[\"name\",\"max_connections\"],"
	"\"rows\":[[\"one\",730],[\"two\",160]]},"
	"\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":1000,"
	"\"header_timeout_s\":3,\"idle_timeout_s\":15.5},"
	"\"tenants\":{\"columns\":[\"name\",\"api_keys\",\"priority\","
	"\"rate_per_s\",\"burst\"],\"rows\":[[\"low\",[\"key-a\",\"key-b\"],"
	"1,142,20],[\"high\",[\"key-c\"],0,0,null]]},\"base_version\":5}";

static struct config *read_document(const char *text)
{
	struct error err;

	return platform_config(text, strlen(text), &err);
}

static void document_is_decoded(void **state)
{
	struct config *c = read_document(document);
	const struct route *r;
	const struct account *low, *high;
	uint8_t hash[KEY_HASH_SIZE];

	(void)state;
	assert_non_null(c);
	assert_int_equal(config_number(c), 7);
	r = config_match_host_prefix(c, "h.example", "/a/b/c?x=/a/");
	assert_string_equal(r->name, "long");
	assert_int_equal(r->split->n, 2);
	assert_string_equal(r->split->parts[1].service, "two");
	assert_int_equal(r->split->parts[1].weight, 10);
	assert_int_equal(r->effect, EFFECT_IDEMPOTENT);
	assert_int_equal(r->retries, 1);
	assert_int_equal(r->target_us, 1200000);
	r = config_match_host_prefix(c, "h.example:8080", "/a/bc/d");
	assert_string_equal(r->name, "short");
	assert_int_equal(r->effect, EFFECT_NOT_IDEMPOTENT);
	assert_true(r->anonymous);
	assert_int_equal(r->deadline_us, 800000);
	r = config_match_host_prefix(c, "g.example", "/l/x");
	assert_int_equal(r->effect, EFFECT_IDEMPOTENT);
	assert_int_equal(config_service(c, "one")->connections, 730);
	assert_int_equal(config_limits(c)->idle_timeout_us, 15500000);
	low = config_account(c, "low");
	high = config_account(c, "high");
	assert_false(low->unlimited);
	assert_true(high->unlimited);
	key_hash(hash, "key-b");
	assert_string_equal(config_key(c, hash)->account, "low");
	assert_null(strstr(config_key(c, hash)->id, "key-b"));
	assert_int_equal(config_source(c)->len, strlen(document));
	config_put(c);
}

/* Requests for other hosts, or outside every prefix, have no route. */
static void prefixes_match_whole_path_segments(void **state)
{
	struct config *c = read_document(document);

	(void)state;
	assert_null(config_match_host_prefix(c, "h.example", "/a"));
	assert_null(config_match_host_prefix(c, "h.example", "/"));
	assert_null(config_match_host_prefix(c, "x.example", "/a/"));
	assert_non_null(config_match_host_prefix(c, "g.example", "/a/"));
	assert_null(config_match_host_prefix(c, "g.example", "/ab/c"));
	config_put(c);
}

/*
 * The route sets the shed class of accounts with the lowest priority. An
 * account with a higher priority is shed one class later per step.
 */
static void account_priority_raises_shed_class(void **state)
{
	struct config *c = read_document(document);
	const struct account *low = config_account(c, "low");
	const struct account *high = config_account(c, "high");
	const struct route *last = config_route(c, "short");
	const struct route *middle = config_route(c, "other");
	const struct route *first = config_route(c, "long");

	(void)state;
	assert_int_equal(config_shed_class(c, first, low), SHED_FIRST);
	assert_int_equal(config_shed_class(c, middle, low), SHED_MIDDLE);
	assert_int_equal(config_shed_class(c, last, low), SHED_LAST);
	assert_int_equal(config_shed_class(c, first, high), SHED_MIDDLE);
	assert_int_equal(config_shed_class(c, middle, high), SHED_LAST);
	assert_int_equal(config_shed_class(c, last, high), SHED_LAST);
	assert_int_equal(config_shed_class(c, middle, NULL), SHED_MIDDLE);
	config_put(c);
}

/* A name that did not fit refused the whole document. */
static void long_names_are_kept(void **state)
{
	char name[201], text[1024], other[NAME_SIZE];
	const struct access_key *k;
	uint8_t hash[KEY_HASH_SIZE];
	struct config *c;
	size_t len;

	(void)state;
	for (len = 1; len < sizeof(name); len++) {
		memset(name, 'n', len);
		name[len] = 0;
		snprintf(text, sizeof(text),
			 "{\"version\":1,\"tenants\":{\"columns\":[\"name\","
			 "\"api_keys\"],\"rows\":[[\"%s\",[\"k\"]]]}}",
			 name);
		c = read_document(text);
		assert_non_null(c);
		key_hash(hash, "k");
		k = config_key(c, hash);
		assert_string_equal(config_long_name(c, k->account), name);
		assert_int_equal(name_is_fitted(k->account), len >= NAME_SIZE);
		config_put(c);
	}
	name_fit(other, name);
	name[199] = 'm';
	name_fit(text, name);
	assert_string_not_equal(other, text);
	/* Cut between characters, and not known to another configuration. */
	memset(name, 'n', 45);
	memcpy(name + 45, "\xc3\xa9", 2);
	name_fit(other, name);
	assert_int_equal(other[45], '~');
	c = config_new();
	assert_null(config_long_name(c, other));
	assert_string_equal(config_long_name(c, "short"), "short");
	config_put(c);
	/* A gate may get calls before it has a configuration. */
	assert_null(config_long_name(NULL, other));
	assert_string_equal(config_long_name(NULL, "short"), "short");
}

#define LONG_PREFIX_MAX 2000

/* A long prefix refused the whole document, or matched other paths. */
static void long_prefixes_are_kept(void **state)
{
	static char prefix[LONG_PREFIX_MAX + 4], path[sizeof(prefix) + 4],
		text[2 * sizeof(prefix) + 512];
	struct config *c;
	size_t len;

	(void)state;
	for (len = 200; len < LONG_PREFIX_MAX; len += len < 300 ? 1 : 100) {
		memset(prefix, 'p', len);
		prefix[0] = prefix[len - 1] = '/';
		prefix[len] = 0;
		snprintf(text, sizeof(text),
			 "{\"version\":1,\"routes\":{\"columns\":[\"name\","
			 "\"host\",\"prefix\",\"route_kind\",\"service\"],"
			 "\"rows\":[[\"long\",\"h\",\"%s\",\"safe\",\"s\"],"
			 "[\"root\",\"h\",\"/\",\"safe\",\"s\"]]}}",
			 prefix);
		c = read_document(text);
		assert_non_null(c);
		snprintf(path, sizeof(path), "%sx/", prefix);
		assert_string_equal(
			config_match_host_prefix(c, "h:80", path)->name,
			"long");
		path[len / 2] = 'q';
		assert_string_equal(
			config_match_host_prefix(c, "h", path)->name, "root");
		path[len - 1] = 0;
		assert_string_equal(
			config_match_host_prefix(c, "h", path)->name, "root");
		assert_null(config_match_host_prefix(c, "g", path));
		config_put(c);
	}
}

/* A split of many services, or a fraction as weight, lost the document. */
static void splits_have_no_bound(void **state)
{
	static char text[20000];
	const struct split *s;
	struct config *c;
	size_t n, len, i;

	(void)state;
	for (n = 1; n < 300; n += n < 12 ? 1 : 50) {
		len = (size_t)snprintf(
			text, sizeof(text),
			"{\"version\":1,\"routes\":{\"columns\":[\"name\","
			"\"host\",\"prefix\",\"route_kind\","
			"\"traffic_split\"],\"rows\":[[\"r\",\"h\",\"/\","
			"\"safe\",[");
		for (i = 0; i < n; i++)
			len += (size_t)snprintf(
				text + len, sizeof(text) - len,
				"%s{\"service\":\"s%zu\",\"weight\":0.25}",
				i ? "," : "", i);
		snprintf(text + len, sizeof(text) - len, "]]]}}");
		c = read_document(text);
		assert_non_null(c);
		s = config_route(c, "r")->split;
		assert_int_equal(s->n, n);
		assert_true(s->total == 0.25 * (double)n);
		snprintf(text, sizeof(text), "s%zu", n - 1);
		assert_string_equal(s->parts[n - 1].service, text);
		config_put(c);
	}
}

static const char *const bad_documents[] = {
	"",
	"[]",
	"{\"version\":0}",
	"{\"version\":-3}",
	"{\"version\":1,\"routes\":{\"columns\":[\"name\"]}}",
	"{\"version\":1,\"routes\":{\"columns\":[\"name\"],\"rows\":[[]]}}",
	"{\"version\":1,\"routes\":{\"columns\":[\"name\",\"host\",\"prefix\","
	"\"route_kind\",\"service\"],\"rows\":[[\"r\",\"h\",\"a\",\"safe\","
	"\"s\"]]}}",
	"{\"version\":1,\"routes\":{\"columns\":[\"name\",\"host\",\"prefix\","
	"\"route_kind\",\"service\"],\"rows\":[[\"r\",\"h\",\"/a/\",\"safe\","
	"\"s\"],[\"q\",\"h\",\"/a/\",\"safe\",\"s\"]]}}",
	"{\"version\":1,\"limits\":{\"max_header_bytes\":\"x\"}}",
	"{\"version\":1,\"tenants\":{\"columns\":[\"name\",\"rate_per_s\"],"
	"\"rows\":[[\"a\",-1]]}}",
	"{\"version\":1,\"tenants\":{\"columns\":[\"name\",\"api_keys\"],"
	"\"rows\":[[\"a\",[3]]]}}",
};

static void malformed_documents_are_refused(void **state)
{
	char *cut = strdup(document);
	size_t i, len;

	(void)state;
	for (i = 0; i < sizeof(bad_documents) / sizeof(*bad_documents); i++)
		assert_null(read_document(bad_documents[i]));
	for (len = strlen(document) - 1; len; len--) {
		cut[len] = 0;
		assert_null(read_document(cut));
	}
	free(cut);
}

/* A route of a kind that nobody knows was run as one that may not repeat. */
static void unknown_route_kind_is_named(void **state)
{
	static const char text[] =
		"{\"version\":1,\"routes\":{\"columns\":[\"name\",\"host\","
		"\"prefix\",\"route_kind\",\"service\"],\"rows\":[[\"manual\","
		"\"h\",\"/a/\",\"upload\",\"s\"]]}}";
	struct error err;

	(void)state;
	assert_null(platform_config(text, strlen(text), &err));
	assert_non_null(strstr(err.text, "manual"));
	assert_non_null(strstr(err.text, "upload"));
}

static void read_regions(const char *regions, struct config **c,
			 struct error *err)
{
	char text[512];

	snprintf(text, sizeof(text),
		 "{\"version\":1,\"routes\":{\"columns\":[\"name\",\"host\","
		 "\"prefix\",\"route_kind\",\"service\",\"allowed_regions\"],"
		 "\"rows\":[[\"manual\",\"h\",\"/a/\",\"safe\",\"s\",%s]]},"
		 "\"tenants\":{\"columns\":[\"name\",\"allowed_regions\"],"
		 "\"rows\":[[\"free\",null],[\"acc\",[\"east\"]]]}}",
		 regions);
	*c = platform_config(text, strlen(text), err);
}

/* Guards against lists that would permit every region, or none, unnoticed. */
static void home_regions_are_decoded(void **state)
{
	static const char *const bad[] = {
		"[]",
		"\"east\"",
		"[3]",
		"[\"\"]",
		"[null]",
		"{}",
		"[\"1\",\"2\",\"3\",\"4\",\"5\",\"6\",\"7\",\"8\",\"9\"]"};
	struct config *c;
	struct error err;
	size_t i;

	(void)state;
	read_regions("[\"east\",\"north\"]", &c, &err);
	assert_non_null(c);
	assert_int_equal(config_route(c, "manual")->home.count, 2);
	assert_true(region_set_has(&config_route(c, "manual")->home, "north"));
	assert_int_equal(config_account(c, "free")->home.count, 0);
	assert_true(region_set_has(&config_account(c, "acc")->home, "east"));
	assert_true(config_has_account_homes(c));
	config_put(c);
	read_regions("null", &c, &err);
	assert_int_equal(config_route(c, "manual")->home.count, 0);
	config_put(c);
	for (i = 0; i < sizeof(bad) / sizeof(*bad); i++) {
		read_regions(bad[i], &c, &err);
		if (c || !strstr(err.text, "manual"))
			fail_msg("%s: %s", bad[i], c ? "taken" : err.text);
	}
}

#define HEARTBEAT_PATH "/mulberryferry/instances/i-7/heartbeat"
#define DEREGISTER_PATH "/mulberryferry/instances/i-7/deregister"
#define COMMON_MEMBERS                                                         \
	"\"zone\":\"z\",\"version\":\"v1\",\"slots\":206,\"state\":\"ready\"," \
	"\"cold_remaining_s\":0.5,\"sequence\":4}"
#define VALID_BODY \
	"{\"service\":\"s\",\"address\":\"10.1.0.9:8080\"," COMMON_MEMBERS

#define NESTED_8 "[[[[[[[["
#define NESTED NESTED_8 NESTED_8 NESTED_8 NESTED_8 NESTED_8
#define ODD_NUMBERS(members)                                         \
	"{\"service\":\"s\",\"address\":\"10.1.0.9:1\",\"slots\":1," \
	"\"state\":\"ready\",\"cold_remaining_s\":0," members "}"

static int decode_announcement(const char *target, const char *body,
			       struct upstream_announcement *announcement)
{
	struct message m = {.method = "POST", .target = (char *)target};
	struct error err;

	m.body.data = (uint8_t *)body;
	m.body.len = strlen(body);
	return platform_decode_announcement(&m, announcement, &err);
}

static void announcements_are_decoded(void **state)
{
	struct upstream_announcement announcement;

	(void)state;
	assert_int_equal(
		decode_announcement(HEARTBEAT_PATH, VALID_BODY, &announcement),
		0);
	assert_string_equal(announcement.instance, "i-7");
	assert_string_equal(announcement.info.service, "s");
	assert_int_equal(announcement.info.slots, 206);
	assert_int_equal(announcement.info.state, UPSTREAM_READY);
	assert_int_equal(announcement.cold_remaining_us, 500000);
	assert_int_equal(announcement.sequence, 4);
	assert_int_equal(
		decode_announcement(DEREGISTER_PATH, "", &announcement), 0);
	assert_true(announcement.gone);
	assert_int_equal(
		decode_announcement("/mulberryferry/ready", "", &announcement),
		1);
	assert_int_equal(
		decode_announcement("/mulberryferry/instances//heartbeat",
				    VALID_BODY, &announcement),
		1);
}

static void malformed_announcements_are_refused(void **state)
{
	static const char *const bad[] = {
		"",
		"x",
		"[]",
		"{\"service\":3,\"address\":\"10.1.0.9:8080\"," COMMON_MEMBERS,
		"{\"service\":\"s\",\"address\":\"nowhere\"," COMMON_MEMBERS,
		"{\"service\":\"s\",\"address\":\"10.1.0.9:0\"," COMMON_MEMBERS,
		"{\"address\":\"10.1.0.9:8080\"," COMMON_MEMBERS,
		"{\"service\":\"s\",\"address\":\"10.1.0.9:1\",\"slots\":0,"
		"\"state\":\"ready\",\"cold_remaining_s\":0,\"sequence\":1}",
		"{\"service\":\"s\",\"address\":\"10.1.0.9:1\",\"slots\":1,"
		"\"state\":\"resting\",\"cold_remaining_s\":0,"
		"\"sequence\":1}",
		"{\"service\":\"s\",\"address\":\"10.1.0.9:1\",\"slots\":1,"
		"\"state\":\"ready\",\"cold_remaining_s\":0,"
		"\"sequence\":\"1\"}",
		"{\"service\":\"s\",\"address\":\"10.1.0.9:1\",\"slots\":1,"
		"\"state\":\"ready\",\"cold_remaining_s\":-1,\"sequence\":1}",
		"{\"service\":\"s\",\"address\":\"10.1.0.9:1\",\"slots\":1,"
		"\"state\":\"ready\",\"cold_remaining_s\":0,\"sequence\":1,"
		"\"born\":\"now\"}",
		ODD_NUMBERS("\"sequence\":99999999999999999999999"),
		ODD_NUMBERS("\"sequence\":9223372036854775807"),
		ODD_NUMBERS("\"sequence\":1e300"),
		ODD_NUMBERS("\"sequence\":1,\"born\":99999999999999999999999"),
		ODD_NUMBERS("\"sequence\":1,\"born\":-1"),
		ODD_NUMBERS("\"sequence\":1,\"x\":" NESTED),
		"{\"service\":\"s\",\"address\":\"10.1.0.9:"
		"65536\"," COMMON_MEMBERS,
	};
	struct upstream_announcement announcement;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(bad) / sizeof(*bad); i++)
		assert_int_equal(decode_announcement(HEARTBEAT_PATH, bad[i],
						     &announcement),
				 -1);
}

/* An odd leave withdrew the process that was known under its id. */
static void malformed_leaves_are_refused(void **state)
{
	static const char *const bad[] = {
		"x",
		"[]",
		NESTED,
		"{\"born\":\"x\"}",
		"{\"born\":1.5}",
		"{\"born\":-1}",
		"{\"born\":99999999999999999999999}",
	};
	struct upstream_announcement announcement;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(bad) / sizeof(*bad); i++)
		assert_int_equal(decode_announcement(DEREGISTER_PATH, bad[i],
						     &announcement),
				 -1);
	assert_int_equal(decode_announcement(DEREGISTER_PATH, "{\"born\":7}",
					     &announcement),
			 0);
	assert_int_equal(announcement.started_ms, 7);
}

static const struct {
	enum store_op_kind kind;
	int status;
	const char *body;
	int rc;
	enum store_outcome outcome;
	size_t n;
	int64_t revision;
} store_responses[] = {
	{STORE_GET, 200,
	 "{\"key\":\"k\",\"value\":\"bm9kZS0x\",\"revision\":412,\"as_of\":"
	 "530}",
	 0, STORE_DONE, 1, 530},
	{STORE_GET, 404, "{\"as_of\":530}", 0, STORE_DONE, 0, 530},
	{STORE_GET, 200, "{\"key\":\"k\",\"value\":\"%%\",\"revision\":1}", -1,
	 STORE_DONE, 0, 0},
	{STORE_GET, 503, "", 0, STORE_NOT_DONE, 0, 0},
	{STORE_GET, 429, "", 0, STORE_NOT_DONE, 0, 0},
	{STORE_LIST, 200,
	 "{\"items\":[{\"key\":\"a\",\"value\":\"\",\"revision\":3},"
	 "{\"key\":\"b\",\"value\":\"YQ==\",\"revision\":4}],"
	 "\"truncated\":false,\"as_of\":9}",
	 0, STORE_DONE, 2, 9},
	{STORE_LIST, 200, "{\"as_of\":9}", -1, STORE_DONE, 0, 9},
	/* Items of another writer do not hide the others. */
	{STORE_LIST, 200,
	 "{\"items\":[{\"key\":7,\"value\":\"YQ==\",\"revision\":3},7,null,"
	 "{\"value\":\"YQ==\",\"revision\":3},"
	 "{\"key\":\"c\",\"value\":\"%%\",\"revision\":3},"
	 "{\"key\":\"d\",\"value\":\"YQ==\",\"revision\":1e400},"
	 "{\"key\":\"e\",\"value\":\"YQ==\",\"revision\":99999999999999999999},"
	 "{\"key\":\"f\",\"value\":\"YQ==\",\"revision\":4}],"
	 "\"truncated\":false,\"as_of\":9}",
	 0, STORE_DONE, 1, 9},
	{STORE_TXN, 200, "{\"revision\":413}", 0, STORE_DONE, 0, 413},
	{STORE_TXN, 200, "{}", -1, STORE_DONE, 0, 0},
	{STORE_TXN, 412,
	 "{\"items\":[{\"key\":\"a\",\"value\":\"YQ==\",\"revision\":3},"
	 "{\"key\":\"b\",\"revision\":0}]}",
	 0, STORE_CONFLICT, 1, 0},
	{STORE_TXN, 404, "", 0, STORE_NOT_DONE, 0, 0},
	{STORE_TXN, 500, "", -1, STORE_DONE, 0, 0},
	{STORE_TXN, 502, "x", -1, STORE_DONE, 0, 0},
	{STORE_LEASE_GRANT, 200, "{\"lease\":77,\"ttl_s_time\":3}", 0,
	 STORE_DONE, 0, 0},
	{STORE_LEASE_RENEW, 200, "{\"ttl_s_time\":3}", 0, STORE_DONE, 0, 0},
	{STORE_LEASE_RENEW, 404, "", 0, STORE_DONE, 0, 0},
	{STORE_LEASE_REVOKE, 200, "", 0, STORE_DONE, 0, 0},
};

/* Only a request that certainly had no effect counts as not done. */
static void store_responses_are_decoded(void **state)
{
	struct store_result r;
	struct message m;
	size_t i;
	int rc;

	(void)state;
	for (i = 0; i < sizeof(store_responses) / sizeof(*store_responses);
	     i++) {
		memset(&r, 0, sizeof(r));
		memset(&m, 0, sizeof(m));
		m.status = store_responses[i].status;
		m.body.data = (uint8_t *)store_responses[i].body;
		m.body.len = strlen(store_responses[i].body);
		rc = platform_store_response(store_responses[i].kind, &m, &r);
		if (rc != store_responses[i].rc)
			print_error("answer %zu\n", i);
		assert_int_equal(rc, store_responses[i].rc);
		if (rc == 0) {
			assert_int_equal(r.outcome, store_responses[i].outcome);
			assert_int_equal(r.n, store_responses[i].n);
			assert_int_equal(r.revision,
					 store_responses[i].revision);
		}
		result_free(&r);
	}
}

static void store_requests_are_encoded(void **state)
{
	struct store_compare compare = {.key = "my/a", .mod_revision = 5};
	struct store_write writes[] = {
		{.key = "my/a", .value = "x", .len = 1, .lease = 9},
		{.key = "my/b", .remove = true}};
	struct store_op op = {.kind = STORE_GET, .key = "my key&"};
	struct message m;

	(void)state;
	assert_int_equal(platform_store_request(&op, &m), 0);
	assert_string_equal(m.method, "GET");
	assert_string_equal(m.target, "/mulberryferry/kv-key?key=my%20key%26");
	message_free(&m);
	op = (struct store_op){.kind = STORE_LIST,
			       .list = {.prefix = "my/", .after = "my/a"}};
	assert_int_equal(platform_store_request(&op, &m), 0);
	assert_string_equal(m.target,
			    "/mulberryferry/kv-range?prefix=my/&after=my/a");
	message_free(&m);
	op = (struct store_op){.kind = STORE_TXN,
			       .txn = {.compares = &compare,
				       .compare_count = 1,
				       .writes = writes,
				       .write_count = 2}};
	assert_int_equal(platform_store_request(&op, &m), 0);
	assert_int_equal(buffer_append(&m.body, "", 1, SIZE_MAX), 0);
	assert_string_equal((char *)m.body.data,
			    "{\"expected_revision\":[{\"key\":\"my/a\","
			    "\"revision\":5}],\"writes\":[{\"key\":\"my/a\","
			    "\"value\":\"eA==\",\"lease\":9}],"
			    "\"deletes\":[\"my/b\"]}");
	message_free(&m);
}

static void watch_responses_are_decoded(void **state)
{
	static const char body[] =
		"{\"events\":[{\"key\":\"a\",\"value\":\"YQ==\","
		"\"revision\":12},{\"key\":\"b\",\"revision\":13,"
		"\"tombstone\":true}],\"as_of\":13}";
	struct message m = {.status = 200};
	struct platform_events e;
	struct error err;

	(void)state;
	m.body.data = (uint8_t *)body;
	m.body.len = strlen(body);
	assert_int_equal(platform_watch_response(&m, &e, &err), 0);
	assert_int_equal(e.n, 2);
	assert_int_equal(e.as_of, 13);
	assert_int_equal(e.items[1].mod_revision, 13);
	assert_non_null(e.items[0].value);
	assert_null(e.items[1].value);
	platform_events_free(&e);
	m.status = 410;
	assert_int_equal(platform_watch_response(&m, &e, &err), -1);
	m.status = 200;
	m.body.len = 20;
	assert_int_equal(platform_watch_response(&m, &e, &err), -1);
	platform_events_free(&e);
}

/*
 * An event of another writer ended the watch, which met it again at the next
 * start; one with the largest revision hid all later ones.
 */
static void odd_events_do_not_hide_the_others(void **state)
{
	static const char body[] =
		"{\"events\":[{\"key\":[],\"revision\":12},"
		"{\"key\":\"a\",\"value\":\"%\",\"revision\":12},"
		"{\"key\":\"a\",\"value\":\"YQ==\","
		"\"revision\":99999999999999999999},"
		"{\"key\":\"b\",\"value\":\"YQ==\",\"revision\":13}],"
		"\"as_of\":14}";
	static const char late[] =
		"{\"events\":[],\"as_of\":99999999999999999999}";
	struct message m = {.status = 200};
	struct platform_events e;
	struct error err;

	(void)state;
	m.body.data = (uint8_t *)body;
	m.body.len = strlen(body);
	assert_int_equal(platform_watch_response(&m, &e, &err), 0);
	assert_int_equal(e.n, 1);
	assert_string_equal(e.items[0].key, "b");
	assert_int_equal(e.as_of, 14);
	platform_events_free(&e);
	m.body.data = (uint8_t *)late;
	m.body.len = strlen(late);
	assert_int_equal(platform_watch_response(&m, &e, &err), -1);
	platform_events_free(&e);
}

static void promises_are_parsed(void **state)
{
	struct promises p = {0};

	(void)state;
	assert_int_equal(platform_parse_promise(&p, "drain_s=2.5"), 0);
	assert_int_equal(platform_parse_promise(&p, "budget_ratio=0.2"), 0);
	assert_int_equal(platform_parse_promise(&p, "revoke_s=5"), 0);
	assert_int_equal(platform_parse_promise(&p, "enforce_revocation=true"),
			 0);
	assert_int_equal(platform_parse_promise(&p, "drain_s=soon"), -1);
	assert_int_equal(platform_parse_promise(&p, "drain_s=-1"), -1);
	assert_int_equal(platform_parse_promise(&p, "drain_s"), -1);
	assert_int_equal(p.drain_us, 2500000);
	assert_int_equal(p.revoke_us, 5000000);
	assert_true(p.retry_ratio > 0.19 && p.retry_ratio < 0.21);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(document_is_decoded),
		cmocka_unit_test(prefixes_match_whole_path_segments),
		cmocka_unit_test(account_priority_raises_shed_class),
		cmocka_unit_test(long_names_are_kept),
		cmocka_unit_test(long_prefixes_are_kept),
		cmocka_unit_test(splits_have_no_bound),
		cmocka_unit_test(malformed_documents_are_refused),
		cmocka_unit_test(unknown_route_kind_is_named),
		cmocka_unit_test(home_regions_are_decoded),
		cmocka_unit_test(announcements_are_decoded),
		cmocka_unit_test(malformed_announcements_are_refused),
		cmocka_unit_test(malformed_leaves_are_refused),
		cmocka_unit_test(store_responses_are_decoded),
		cmocka_unit_test(store_requests_are_encoded),
		cmocka_unit_test(watch_responses_are_decoded),
		cmocka_unit_test(odd_events_do_not_hide_the_others),
		cmocka_unit_test(promises_are_parsed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
