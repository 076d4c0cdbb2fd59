#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "store/gateway.h"

/* Passes a call through the encoders and parsers of client and server. */
static void call(struct kv *kv, const struct store_op *op,
		 struct store_result *r)
{
	struct json_object *in = etcd_request(op);
	struct json_object *out;
	struct buffer body = {0};
	int status;

	memset(r, 0, sizeof(*r));
	out = gateway_handle(kv, etcd_path(op->kind), in, 0, &status);
	buffer_printf(&body, "%s", json_object_to_json_string(out));
	assert_int_equal(etcd_parse_response(op->kind, status, &body, r), 0);
	buffer_free(&body);
	json_object_put(in);
	json_object_put(out);
}

static enum store_outcome put(struct kv *kv, const char *key, const char *value,
			      int64_t if_revision, int64_t lease,
			      struct store_result *r)
{
	struct store_compare compare = {key, if_revision};
	struct store_write write = {key, value, value ? strlen(value) : 0,
				    lease, !value};
	struct store_op op = {.kind = STORE_TXN,
			      .txn = {&compare, 1, &write, 1, &key, 1}};

	call(kv, &op, r);
	return r->outcome;
}

static void transactions_round_trip(void **state)
{
	struct kv *kv = kv_new(16);
	struct store_result r;
	struct store_op get = {.kind = STORE_GET, .key = "p/a"};

	(void)state;
	assert_int_equal(put(kv, "p/a", "one", 0, 0, &r), STORE_DONE);
	assert_int_equal(r.revision, 2);
	assert_int_equal(put(kv, "p/a", "two", 0, 0, &r), STORE_CONFLICT);
	assert_int_equal(r.n, 1);
	assert_string_equal(r.entries[0].key, "p/a");
	assert_int_equal(r.entries[0].mod_revision, 2);
	assert_memory_equal(r.entries[0].value, "one", 3);
	result_free(&r);
	assert_int_equal(put(kv, "p/a", "", 2, 0, &r), STORE_DONE);
	call(kv, &get, &r);
	assert_int_equal(r.n, 1);
	assert_int_equal(r.entries[0].len, 0);
	result_free(&r);
	assert_int_equal(put(kv, "p/a", NULL, 3, 0, &r), STORE_DONE);
	call(kv, &get, &r);
	assert_int_equal(r.n, 0);
	assert_int_equal(put(kv, "p/b", "x", 0, 77, &r), STORE_NOT_DONE);
	assert_int_equal(r.err.code, ERROR_NOT_FOUND);
	kv_free(kv);
}

static void lists_return_only_their_prefix(void **state)
{
	static const char *const keys[] = {"o", "p/a", "p/b", "p/b2", "p0"};
	struct store_op op = {.kind = STORE_LIST, .list = {.prefix = "p/"}};
	struct kv *kv = kv_new(16);
	struct store_result r;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(keys) / sizeof(*keys); i++)
		put(kv, keys[i], "v", 0, 0, &r);
	call(kv, &op, &r);
	assert_int_equal(r.n, 3);
	result_free(&r);
	op.list.after = "p/a";
	op.list.limit = 1;
	call(kv, &op, &r);
	assert_int_equal(r.n, 1);
	assert_string_equal(r.entries[0].key, "p/b");
	result_free(&r);
	op.list.prefix = "";
	op.list.after = NULL;
	op.list.limit = 0;
	call(kv, &op, &r);
	assert_int_equal(r.n, 5);
	result_free(&r);
	kv_free(kv);
}

static void leases_round_trip(void **state)
{
	struct kv *kv = kv_new(16);
	struct store_op op = {.kind = STORE_LEASE_GRANT,
			      .lease = {.ttl_s = 10}};
	struct store_result r;
	int64_t lease;

	(void)state;
	call(kv, &op, &r);
	lease = r.lease;
	assert_int_not_equal(lease, 0);
	assert_int_equal(put(kv, "k", "v", 0, lease, &r), STORE_DONE);
	op.lease.id = lease;
	op.kind = STORE_LEASE_RENEW;
	call(kv, &op, &r);
	assert_int_equal(r.lease, lease);
	op.kind = STORE_LEASE_REVOKE;
	call(kv, &op, &r);
	assert_int_equal(r.outcome, STORE_DONE);
	assert_null(kv_get(kv, "k"));
	call(kv, &op, &r);
	assert_int_equal(r.outcome, STORE_DONE);
	op.kind = STORE_LEASE_RENEW;
	call(kv, &op, &r);
	assert_int_equal(r.lease, 0);
	kv_free(kv);
}

struct answer_case {
	const char *body;
	enum store_op_kind kind;
	int status;
	int rc; /* -1: not a valid response of the gateway */
	enum store_outcome outcome;
};

static void responses_map_to_outcomes(void **state)
{
	static const struct answer_case cases[] = {
		{"{\"header\":{\"revision\":\"9\"},\"succeeded\":true}",
		 STORE_TXN, 200, 0, STORE_DONE},
		{"{\"header\":{\"revision\":\"9\"}}", STORE_TXN, 200, 0,
		 STORE_CONFLICT},
		{"{\"code\":3,\"message\":\"duplicate key\"}", STORE_TXN, 400,
		 0, STORE_NOT_DONE},
		{"{\"code\":5,\"message\":\"lease not found\"}", STORE_TXN, 404,
		 0, STORE_NOT_DONE},
		{"{\"code\":14,\"message\":\"leader changed\"}", STORE_TXN, 503,
		 0, STORE_UNKNOWN},
		{"{\"code\":4,\"message\":\"timed out\"}", STORE_TXN, 504, 0,
		 STORE_UNKNOWN},
		{"{\"code\":13,\"message\":\"?\"}", STORE_TXN, 500, 0,
		 STORE_UNKNOWN},
		{"{}", STORE_TXN, 200, -1, STORE_DONE},
		{"{\"header\":{}} {}", STORE_TXN, 200, -1, STORE_DONE},
		{"[1]", STORE_TXN, 200, -1, STORE_DONE},
		{"<html>400</html>", STORE_TXN, 400, -1, STORE_DONE},
		{"{\"succ", STORE_TXN, 200, -1, STORE_DONE},
		{"", STORE_TXN, 200, -1, STORE_DONE},
		{"{\"header\":{},\"kvs\":[{\"key\":\"!\"}]}", STORE_GET, 200,
		 -1, STORE_DONE},
		{"{\"header\":{},\"kvs\":{}}", STORE_GET, 200, -1, STORE_DONE},
		{"{\"header\":{}}", STORE_LEASE_GRANT, 200, -1, STORE_DONE},
	};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		const struct answer_case *c = &cases[i];
		struct buffer body = {0};
		struct store_result r = {0};

		buffer_printf(&body, "%s", c->body);
		assert_int_equal(
			etcd_parse_response(c->kind, c->status, &body, &r),
			c->rc);
		if (!c->rc)
			assert_int_equal(r.outcome, c->outcome);
		result_free(&r);
		buffer_free(&body);
	}
}

static void watches_start_at_the_revision_or_report_compaction(void **state)
{
	struct kv *kv = kv_new(2);
	struct json_object *in, *out;
	struct gateway_range range;
	struct store_result r;
	struct store_entry e;
	uint64_t next;
	int i;

	(void)state;
	for (i = 0; i < 4; i++)
		put(kv, "p/a", "v", i ? i + 1 : 0, 0, &r);
	in = etcd_watch_request("p/", 2);
	out = gateway_watch(kv, in, &range, &next);
	assert_int_equal(next, 0);
	assert_int_equal(
		json_int(json_member(out, "result"), "compact_revision"), 3);
	json_object_put(in);
	json_object_put(out);
	in = etcd_watch_request("p/", 5);
	json_object_put(gateway_watch(kv, in, &range, &next));
	json_object_put(in);
	out = gateway_next_event(kv, &range, &next);
	in = json_member(json_member(out, "result"), "events");
	in = json_member(json_object_array_get_idx(in, 0), "kv");
	assert_int_equal(etcd_parse_entry(in, true, &e), 0);
	assert_int_equal(e.mod_revision, 5);
	json_object_put(out);
	assert_null(gateway_next_event(kv, &range, &next));
	kv_free(kv);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(transactions_round_trip),
		cmocka_unit_test(lists_return_only_their_prefix),
		cmocka_unit_test(leases_round_trip),
		cmocka_unit_test(responses_map_to_outcomes),
		cmocka_unit_test(
			watches_start_at_the_revision_or_report_compaction),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
