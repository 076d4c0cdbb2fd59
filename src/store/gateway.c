#include "store/gateway.h"

#include <stdlib.h>
#include <string.h>

#define HTTP_OK 200
#define HTTP_BAD_REQUEST 400
#define HTTP_NOT_FOUND 404

static int get_text(struct json_object *o, const char *name,
		    char text[STORE_KEY_SIZE], size_t *len)
{
	uint8_t *data = json_bytes(o, name, len);
	int rc = -1;

	if (data && *len < STORE_KEY_SIZE) {
		memcpy(text, data, *len + 1);
		rc = 0;
	}
	free(data);
	return rc;
}

static int get_range(struct json_object *o, struct gateway_range *r)
{
	size_t len, end_len;

	if (get_text(o, "key", r->from, &len) < 0 || !len ||
	    get_text(o, "range_end", r->end, &end_len) < 0)
		return -1;
	r->single = !end_len;
	r->exclusive = len > 1 && !r->from[len - 1];
	return 0;
}

static bool in_range(const struct gateway_range *r, const char *key)
{
	int from = strcmp(key, r->from);

	if (r->single)
		return !from;
	return (from > 0 || (!from && !r->exclusive)) &&
	       (!*r->end || strcmp(key, r->end) < 0);
}

static struct json_object *new_response(const struct kv *kv)
{
	struct json_object *o = json_object_new_object();
	struct json_object *h = json_object_new_object();

	etcd_add_int(h, "revision", kv_revision(kv));
	json_object_object_add(o, "header", h);
	return o;
}

static struct json_object *error_response(enum grpc_code code, const char *text)
{
	struct json_object *o = json_object_new_object();

	json_object_object_add(o, "error", json_object_new_string(text));
	json_object_object_add(o, "code", json_object_new_int((int)code));
	json_object_object_add(o, "message", json_object_new_string(text));
	return o;
}

static struct json_object *record_json(const struct kv_record *r)
{
	struct json_object *o = json_object_new_object();

	json_add_base64(o, "key", r->key);
	etcd_add_int(o, "create_revision", r->create_revision);
	etcd_add_int(o, "mod_revision", r->mod_revision);
	etcd_add_int(o, "version", r->version);
	/* Like etcd's gateway, leave out empty members. */
	if (r->len)
		json_add_bytes(o, "value", r->value, r->len);
	if (r->lease)
		etcd_add_int(o, "lease", r->lease);
	return o;
}

static struct json_object *handle_range(struct kv *kv, struct json_object *in)
{
	struct json_object *out, *kvs;
	int64_t limit = json_int(in, "limit"), n = 0;
	const struct kv_record *r;
	struct gateway_range range;
	size_t i;

	if (get_range(in, &range) < 0)
		return error_response(GRPC_INVALID_ARGUMENT,
				      "etcdserver: key is not provided");
	out = new_response(kv);
	kvs = json_object_new_array();
	i = kv_lower_bound(kv, range.from);
	if (range.exclusive && kv_get(kv, range.from))
		i++;
	for (; (r = kv_at(kv, i)) && in_range(&range, r->key); i++)
		if (n++ < limit || !limit)
			json_object_array_add(kvs, record_json(r));
	if (n)
		json_object_object_add(out, "kvs", kvs);
	else
		json_object_put(kvs);
	if (limit && n > limit)
		json_object_object_add(out, "more",
				       json_object_new_boolean(true));
	etcd_add_int(out, "count", n);
	return out;
}

/* A decoded transaction; free_txn frees it with its keys and values. */
struct txn {
	struct store_compare compares[STORE_TXN_OPS_MAX];
	struct store_write writes[STORE_TXN_OPS_MAX];
	size_t compare_count;
	size_t write_count;
};

static int get_write(struct json_object *o, struct store_write *w)
{
	struct json_object *put = json_member(o, "request_put");
	struct json_object *del = json_member(o, "request_delete_range");
	size_t len;

	w->remove = del != NULL;
	w->key = (char *)json_bytes(put ? put : del, "key", &len);
	w->value = json_bytes(put, "value", &w->len);
	w->lease = json_int(put, "lease");
	return (put || del) && w->key && *w->key && w->value ? 0 : -1;
}

static int get_compare(struct json_object *o, struct store_compare *c)
{
	const char *target = json_object_get_string(json_member(o, "target"));
	const char *result = json_object_get_string(json_member(o, "result"));
	size_t len;

	c->key = (char *)json_bytes(o, "key", &len);
	c->mod_revision = json_int(o, "mod_revision");
	if (!c->key || !target || strcmp(target, "MOD") != 0)
		return -1;
	return result && !strcmp(result, "EQUAL") ? 0 : -1;
}

static size_t array_length(struct json_object *o)
{
	if (!json_object_is_type(o, json_type_array))
		return 0;
	return json_object_array_length(o);
}

static int get_txn(struct json_object *in, struct txn *t)
{
	struct json_object *compares = json_member(in, "compare");
	struct json_object *writes = json_member(in, "success");
	size_t i;

	if (array_length(compares) > STORE_TXN_OPS_MAX ||
	    array_length(writes) > STORE_TXN_OPS_MAX)
		return -1;
	for (i = 0; i < array_length(compares); i++)
		if (get_compare(json_object_array_get_idx(compares, i),
				&t->compares[t->compare_count++]) < 0)
			return -1;
	for (i = 0; i < array_length(writes); i++)
		if (get_write(json_object_array_get_idx(writes, i),
			      &t->writes[t->write_count++]) < 0)
			return -1;
	return 0;
}

static void free_txn(struct txn *t)
{
	size_t i;

	for (i = 0; i < t->compare_count; i++)
		free((char *)t->compares[i].key);
	for (i = 0; i < t->write_count; i++) {
		free((char *)t->writes[i].key);
		free((void *)t->writes[i].value);
	}
	free(t);
}

static struct json_object *txn_failure_response(struct kv *kv,
						struct json_object *reads)
{
	struct json_object *out = new_response(kv);
	struct json_object *responses = json_object_new_array();
	struct json_object *one, *range;
	size_t i;

	for (i = 0; i < array_length(reads); i++) {
		one = json_object_array_get_idx(reads, i);
		range = handle_range(kv, json_member(one, "request_range"));
		one = json_object_new_object();
		json_object_object_add(one, "response_range", range);
		json_object_array_add(responses, one);
	}
	json_object_object_add(out, "responses", responses);
	return out;
}

static struct json_object *handle_txn(struct kv *kv, struct json_object *in,
				      int64_t now)
{
	struct txn *t = calloc(1, sizeof(*t));
	enum kv_status status = KV_NO_MEMORY;
	struct json_object *out;

	if (t && !get_txn(in, t))
		status = kv_txn(kv, t->compares, t->compare_count, t->writes,
				t->write_count, now);
	if (t)
		free_txn(t);
	if (status == KV_CONFLICT)
		return txn_failure_response(kv, json_member(in, "failure"));
	if (status == KV_NO_LEASE)
		return error_response(GRPC_NOT_FOUND,
				      "etcdserver: requested lease not found");
	if (status != KV_DONE)
		return error_response(GRPC_INVALID_ARGUMENT,
				      "etcdserver: invalid transaction");
	out = new_response(kv);
	json_object_object_add(out, "succeeded", json_object_new_boolean(true));
	return out;
}

static struct json_object *handle_grant(struct kv *kv, struct json_object *in,
					int64_t now)
{
	int64_t ttl = json_int(in, "TTL");
	struct json_object *out;

	if (ttl <= 0 || ttl > UINT32_MAX)
		return error_response(GRPC_OUT_OF_RANGE,
				      "etcdserver: too large lease TTL");
	out = new_response(kv);
	etcd_add_int(out, "ID", kv_lease_grant(kv, (uint32_t)ttl, now));
	etcd_add_int(out, "TTL", ttl);
	return out;
}

static struct json_object *handle_keepalive(struct kv *kv,
					    struct json_object *in, int64_t now)
{
	int64_t id = json_int(in, "ID");
	uint32_t ttl = kv_lease_renew(kv, id, now);
	struct json_object *outer = json_object_new_object();
	struct json_object *out = new_response(kv);

	etcd_add_int(out, "ID", id);
	if (ttl)
		etcd_add_int(out, "TTL", ttl);
	json_object_object_add(outer, "result", out);
	return outer;
}

static struct json_object *handle_revoke(struct kv *kv, struct json_object *in,
					 int64_t now)
{
	if (!kv_lease_revoke(kv, json_int(in, "ID"), now))
		return error_response(GRPC_NOT_FOUND,
				      "etcdserver: requested lease not found");
	return new_response(kv);
}

/*
 * Handles one call and sets the HTTP status. The caller must release the
 * response with json_object_put.
 */
struct json_object *gateway_handle(struct kv *kv, const char *path,
				   struct json_object *in, int64_t now,
				   int *status)
{
	struct json_object *out;

	kv_expire(kv, now);
	if (!strcmp(path, "/v3/kv/range"))
		out = handle_range(kv, in);
	else if (!strcmp(path, "/v3/kv/txn"))
		out = handle_txn(kv, in, now);
	else if (!strcmp(path, "/v3/lease/grant"))
		out = handle_grant(kv, in, now);
	else if (!strcmp(path, "/v3/lease/keepalive"))
		out = handle_keepalive(kv, in, now);
	else if (!strcmp(path, "/v3/lease/revoke") ||
		 !strcmp(path, "/v3/kv/lease/revoke"))
		out = handle_revoke(kv, in, now);
	else
		out = error_response(GRPC_NOT_FOUND, "Not Found");
	*status = HTTP_OK;
	if (json_member(out, "error"))
		*status = json_int(out, "code") == GRPC_NOT_FOUND
				  ? HTTP_NOT_FOUND
				  : HTTP_BAD_REQUEST;
	return out;
}

static void add_canceled(const struct kv *kv, struct json_object *out)
{
	json_object_object_add(out, "canceled", json_object_new_boolean(true));
	etcd_add_int(out, "compact_revision", kv_compact_revision(kv));
}

/*
 * Starts a watch and returns its first message, which the caller must release.
 * *next_event is 0 when the message reports that the watch was canceled.
 */
struct json_object *gateway_watch(struct kv *kv, struct json_object *in,
				  struct gateway_range *range,
				  uint64_t *next_event)
{
	struct json_object *create = json_member(in, "create_request");
	struct json_object *outer = json_object_new_object();
	struct json_object *out = new_response(kv);
	int64_t revision = json_int(create, "start_revision");

	*next_event = 0;
	json_object_object_add(outer, "result", out);
	if (!get_range(create, range))
		*next_event =
			kv_event_from(kv, revision ? revision : INT64_MAX);
	json_object_object_add(out, "created", json_object_new_boolean(true));
	if (!*next_event)
		add_canceled(kv, out);
	return outer;
}

static struct json_object *new_event_message(const struct store_entry *e)
{
	struct json_object *event = json_object_new_object();
	struct json_object *o = json_object_new_object();

	json_add_base64(o, "key", e->key);
	etcd_add_int(o, "mod_revision", e->mod_revision);
	if (e->len)
		json_add_bytes(o, "value", e->value, e->len);
	if (!e->value)
		json_object_object_add(event, "type",
				       json_object_new_string("DELETE"));
	json_object_object_add(event, "kv", o);
	return event;
}

/*
 * Returns the message for the next event in range, or NULL when there is none
 * yet. When that event was evicted from the history, the message cancels the
 * watch and *next_event is 0.
 */
struct json_object *gateway_next_event(struct kv *kv,
				       const struct gateway_range *range,
				       uint64_t *next_event)
{
	struct json_object *outer, *out, *events;
	const struct kv_event *e;
	bool compacted;

	while ((e = kv_event(kv, *next_event)) &&
	       !in_range(range, e->entry.key))
		++*next_event;
	compacted = !e && *next_event < kv_event_from(kv, INT64_MAX);
	if (!e && !compacted)
		return NULL;
	out = new_response(kv);
	outer = json_object_new_object();
	json_object_object_add(outer, "result", out);
	if (compacted) {
		add_canceled(kv, out);
		*next_event = 0;
		return outer;
	}
	events = json_object_new_array();
	json_object_array_add(events, new_event_message(&e->entry));
	json_object_object_add(out, "events", events);
	++*next_event;
	return outer;
}
