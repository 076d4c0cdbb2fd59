#include "store/etcd_impl.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CALL_BODY_MAX (16 * 1024 * 1024)

/* Returns the path on the gateway for a kind of call. */
const char *etcd_path(enum store_op_kind kind)
{
	switch (kind) {
	case STORE_GET:
	case STORE_LIST:
		return "/v3/kv/range";
	case STORE_TXN:
		return "/v3/kv/txn";
	case STORE_LEASE_GRANT:
		return "/v3/lease/grant";
	case STORE_LEASE_RENEW:
		return "/v3/lease/keepalive";
	case STORE_LEASE_REVOKE:
		return "/v3/lease/revoke";
	}
	return NULL;
}

/* The range of a prefix ends at the prefix with its last byte plus one. */
static void add_prefix_end(struct json_object *o, const char *prefix)
{
	char end[STORE_KEY_SIZE];
	size_t len = strlen(prefix);

	while (len && (unsigned char)prefix[len - 1] == UINT8_MAX)
		len--;
	if (!len || copy_name(end, sizeof(end), prefix) < 0) {
		/* etcd takes a zero byte as the end of all keys. */
		json_add_bytes(o, "range_end", "", 1);
		return;
	}
	end[len - 1]++;
	json_add_bytes(o, "range_end", end, len);
}

static void add_prefix(struct json_object *o, const char *prefix)
{
	if (*prefix)
		json_add_base64(o, "key", prefix);
	else /* etcd takes a zero byte as the first of all keys */
		json_add_bytes(o, "key", "", 1);
	add_prefix_end(o, prefix);
}

static struct json_object *list_request(const struct store_op *op)
{
	struct json_object *o = json_object_new_object();
	const char *after = op->list.after;

	if (after && strcmp(after, op->list.prefix) >= 0) {
		/* The key that follows another has a zero byte appended. */
		json_add_bytes(o, "key", after, strlen(after) + 1);
		add_prefix_end(o, op->list.prefix);
	} else {
		add_prefix(o, op->list.prefix);
	}
	if (op->list.limit)
		etcd_add_int(o, "limit", op->list.limit);
	return o;
}

static struct json_object *compare(const struct store_compare *c)
{
	struct json_object *o = json_object_new_object();

	json_add_base64(o, "key", c->key);
	json_object_object_add(o, "target", json_object_new_string("MOD"));
	json_object_object_add(o, "result", json_object_new_string("EQUAL"));
	etcd_add_int(o, "mod_revision", c->mod_revision);
	return o;
}

static struct json_object *write_request(const struct store_write *w)
{
	struct json_object *outer = json_object_new_object();
	struct json_object *o = json_object_new_object();

	json_add_base64(o, "key", w->key);
	if (!w->remove)
		json_add_bytes(o, "value", w->value, w->len);
	if (!w->remove && w->lease)
		etcd_add_int(o, "lease", w->lease);
	json_object_object_add(
		outer, w->remove ? "request_delete_range" : "request_put", o);
	return outer;
}

static struct json_object *read_request(const char *key)
{
	struct json_object *outer = json_object_new_object();
	struct json_object *o = json_object_new_object();

	json_add_base64(o, "key", key);
	json_object_object_add(outer, "request_range", o);
	return outer;
}

static struct json_object *txn_request(const struct store_op *op)
{
	struct json_object *o = json_object_new_object();
	struct json_object *compares = json_object_new_array();
	struct json_object *success = json_object_new_array();
	struct json_object *failure = json_object_new_array();
	size_t i;

	for (i = 0; i < op->txn.compare_count; i++)
		json_object_array_add(compares, compare(&op->txn.compares[i]));
	for (i = 0; i < op->txn.write_count; i++)
		json_object_array_add(success,
				      write_request(&op->txn.writes[i]));
	for (i = 0; i < op->txn.read_count; i++)
		json_object_array_add(failure, read_request(op->txn.reads[i]));
	json_object_object_add(o, "compare", compares);
	json_object_object_add(o, "success", success);
	json_object_object_add(o, "failure", failure);
	return o;
}

/* Returns the body of a call's request; the caller must release it. */
struct json_object *etcd_request(const struct store_op *op)
{
	struct json_object *o;

	switch (op->kind) {
	case STORE_LIST:
		return list_request(op);
	case STORE_TXN:
		return txn_request(op);
	case STORE_GET:
		o = json_object_new_object();
		json_add_base64(o, "key", op->key);
		return o;
	case STORE_LEASE_GRANT:
		o = json_object_new_object();
		etcd_add_int(o, "TTL", op->lease.ttl_s);
		return o;
	case STORE_LEASE_RENEW:
	case STORE_LEASE_REVOKE:
		o = json_object_new_object();
		etcd_add_int(o, "ID", op->lease.id);
		return o;
	}
	return NULL;
}

/*
 * Returns the body of a request to watch from a revision, or from now on if 0.
 * The caller must release it.
 */
struct json_object *etcd_watch_request(const char *prefix, int64_t revision)
{
	struct json_object *outer = json_object_new_object();
	struct json_object *o = json_object_new_object();

	add_prefix(o, prefix);
	if (revision)
		etcd_add_int(o, "start_revision", revision);
	json_object_object_add(outer, "create_request", o);
	return outer;
}

/* Fills m, which the caller must free, with a POST; takes over body. */
int etcd_post(struct message *m, const char *path, struct json_object *body)
{
	const char *text;
	size_t len = 0;
	int rc = -1;

	memset(m, 0, sizeof(*m));
	copy_name(m->method, sizeof(m->method), "POST");
	m->target = strdup(path);
	text = json_object_to_json_string_length(
		body, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE,
		&len);
	if (m->target && text &&
	    !message_add_header(m, "content-type", "application/json"))
		rc = buffer_append(&m->body, text, len, CALL_BODY_MAX);
	json_object_put(body);
	return rc;
}

/* Adds a 64-bit integer as a string, as the gateway encodes it. */
void etcd_add_int(struct json_object *o, const char *name, int64_t v)
{
	char text[24];

	snprintf(text, sizeof(text), "%" PRId64, v);
	json_object_object_add(o, name, json_object_new_string(text));
}
