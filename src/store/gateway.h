/*
 * Server side of the JSON gateway of etcd, on an in-process kv: for the etcd
 * stand-in and for tests of the client.
 */
#ifndef STORE_GATEWAY_H
#define STORE_GATEWAY_H

#include "store/etcd_impl.h"
#include "store/kv.h"

/*
 * A range of keys: a single key, or all from one key up to, but without, end.
 * An empty end stands for the end of all keys.
 */
struct gateway_range {
	char from[STORE_KEY_SIZE];
	char end[STORE_KEY_SIZE];
	bool single;	/* just the key in from */
	bool exclusive; /* the key in from is excluded */
};

struct json_object *gateway_handle(struct kv *kv, const char *path,
				   struct json_object *in, int64_t now,
				   int *status);
struct json_object *gateway_watch(struct kv *kv, struct json_object *in,
				  struct gateway_range *range,
				  uint64_t *next_event);
struct json_object *gateway_next_event(struct kv *kv,
				       const struct gateway_range *range,
				       uint64_t *next_event);

#endif
