/* Client side of the JSON gateway of etcd v3. */
#ifndef STORE_ETCD_IMPL_H
#define STORE_ETCD_IMPL_H

#include "store/remote.h"

#include "base/json.h"

/* gRPC codes with which etcd refuses a call before it has any effect. */
enum grpc_code {
	GRPC_INVALID_ARGUMENT = 3,
	GRPC_NOT_FOUND = 5,
	GRPC_PERMISSION_DENIED = 7,
	GRPC_FAILED_PRECONDITION = 9,
	GRPC_OUT_OF_RANGE = 11,
	GRPC_UNAUTHENTICATED = 16,
};

const char *etcd_path(enum store_op_kind kind);
struct json_object *etcd_request(const struct store_op *op);
struct json_object *etcd_watch_request(const char *prefix, int64_t revision);
/* Fills r; -1 when the response is not of the gateway's documented form. */
int etcd_parse_response(enum store_op_kind kind, int status,
			const struct buffer *body, struct store_result *r);
int etcd_parse_entry(struct json_object *kv, bool removed,
		     struct store_entry *e);
void etcd_add_int(struct json_object *o, const char *name, int64_t v);

int etcd_post(struct message *m, const char *path, struct json_object *body);
void etcd_stream_start(struct remote *remote, uint64_t handle, int64_t now);
void etcd_stream_renew(struct remote *remote, uint64_t handle, int64_t now);

#endif
