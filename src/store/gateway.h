/*
 * The server's side of the JSON gateway, over a kv in this process: for the
 * stand-in of the platform's store, and for tests of the client.
 */
#ifndef STORE_GATEWAY_H
#define STORE_GATEWAY_H

#include "store/etcd_impl.h"
#include "store/kv.h"

/* A range of keys; without end it is one key, end "" is the last key. */
struct gateway_range {
	char from[STORE_KEY_SIZE];
	char end[STORE_KEY_SIZE];
	bool single;
	bool exclusive; /* from itself is left out */
};

struct json_object *gateway_answer(struct kv *kv, const char *path,
				   struct json_object *in, int64_t now,
				   int *status);
struct json_object *gateway_watch(struct kv *kv, struct json_object *in,
				  struct gateway_range *range,
				  uint64_t *next_event);
struct json_object *gateway_event(struct kv *kv,
				  const struct gateway_range *range,
				  uint64_t *next_event);

#endif
