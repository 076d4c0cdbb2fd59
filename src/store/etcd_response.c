#include "store/etcd_impl.h"

#include <stdlib.h>
#include <string.h>

#define HTTP_OK 200

static int get_key(struct json_object *kv, char key[STORE_KEY_SIZE])
{
	size_t len;
	uint8_t *data = json_bytes(kv, "key", &len);
	int rc = -1;

	if (data && strlen((char *)data) == len)
		rc = copy_name(key, STORE_KEY_SIZE, (char *)data);
	free(data);
	return rc;
}

/*
 * Parses one kv into e, whose value the caller must free. The value of a
 * removed entry is NULL. Returns -1 when the kv is malformed.
 */
int etcd_parse_entry(struct json_object *kv, bool removed,
		     struct store_entry *e)
{
	memset(e, 0, sizeof(*e));
	if (get_key(kv, e->key) < 0)
		return -1;
	e->mod_revision = json_int(kv, "mod_revision");
	if (e->mod_revision <= 0)
		return -1;
	if (removed)
		return 0;
	e->value = json_bytes(kv, "value", &e->len);
	return e->value ? 0 : -1;
}

static int add_kvs(struct json_object *range, struct store_result *r)
{
	struct json_object *kvs = json_member(range, "kvs");
	struct store_entry e;
	size_t i, n;
	int rc;

	if (!kvs)
		return 0;
	if (!json_object_is_type(kvs, json_type_array))
		return -1;
	n = json_object_array_length(kvs);
	for (i = 0; i < n; i++) {
		if (etcd_parse_entry(json_object_array_get_idx(kvs, i), false,
				     &e))
			return -1;
		rc = result_add(r, e.key, e.value, e.len, e.mod_revision);
		free(e.value);
		if (rc < 0)
			return -1;
	}
	return 0;
}

static int parse_txn(struct json_object *o, struct store_result *r)
{
	struct json_object *responses = json_member(o, "responses");
	size_t i, n;

	if (json_object_get_boolean(json_member(o, "succeeded")))
		return 0;
	r->outcome = STORE_CONFLICT;
	if (!responses)
		return 0;
	if (!json_object_is_type(responses, json_type_array))
		return -1;
	n = json_object_array_length(responses);
	for (i = 0; i < n; i++)
		if (add_kvs(json_member(json_object_array_get_idx(responses, i),
					"response_range"),
			    r) < 0)
			return -1;
	return 0;
}

static int parse_keepalive(struct json_object *o, struct store_result *r)
{
	struct json_object *result = json_member(o, "result");

	if (!result)
		return -1;
	r->revision = json_int(json_member(result, "header"), "revision");
	if (json_int(result, "TTL") > 0)
		r->lease = json_int(result, "ID");
	return 0;
}

static int parse_success(enum store_op_kind kind, struct json_object *o,
			 struct store_result *r)
{
	r->outcome = STORE_DONE;
	if (kind == STORE_LEASE_RENEW)
		return parse_keepalive(o, r);
	/* Every etcd response has a header, unlike the page of a proxy. */
	if (!json_member(o, "header"))
		return -1;
	r->revision = json_int(json_member(o, "header"), "revision");
	r->origin.cluster = json_object_get_uint64(
		json_member(json_member(o, "header"), "cluster_id"));
	switch (kind) {
	case STORE_GET:
	case STORE_LIST:
		r->more = json_object_get_boolean(json_member(o, "more"));
		return add_kvs(o, r);
	case STORE_TXN:
		return parse_txn(o, r);
	case STORE_LEASE_GRANT:
		r->lease = json_int(o, "ID");
		return r->lease ? 0 : -1;
	case STORE_LEASE_RENEW:
	case STORE_LEASE_REVOKE:
		break;
	}
	return 0;
}

static bool refused_before_effect(int64_t code)
{
	return code == GRPC_INVALID_ARGUMENT || code == GRPC_NOT_FOUND ||
	       code == GRPC_PERMISSION_DENIED ||
	       code == GRPC_FAILED_PRECONDITION || code == GRPC_OUT_OF_RANGE ||
	       code == GRPC_UNAUTHENTICATED;
}

static int parse_error(enum store_op_kind kind, struct json_object *o,
		       struct store_result *r)
{
	struct json_object *text = json_member(o, "message");
	int64_t code = json_int(o, "code");

	if (kind == STORE_LEASE_REVOKE && code == GRPC_NOT_FOUND) {
		r->outcome = STORE_DONE;
		return 0;
	}
	if (!code || !text)
		return -1;
	result_fail(
		r, refused_before_effect(code) ? STORE_NOT_DONE : STORE_UNKNOWN,
		code == GRPC_NOT_FOUND ? ERROR_NOT_FOUND : ERROR_INPUT, NULL,
		json_object_get_string(text));
	return 0;
}

/*
 * Parses the response to a call. An error that etcd raises before the call
 * takes effect gives STORE_NOT_DONE, any other error STORE_UNKNOWN.
 */
int etcd_parse_response(enum store_op_kind kind, int status,
			const struct buffer *body, struct store_result *r)
{
	struct json_object *o = json_parse_complete(body->data, body->len);
	int rc;

	if (!json_object_is_type(o, json_type_object))
		rc = -1;
	else if (status == HTTP_OK && !json_member(o, "error"))
		rc = parse_success(kind, o, r);
	else
		rc = parse_error(kind, o, r);
	json_object_put(o);
	return rc;
}
