/* Helpers for JSON exchanged with other systems, such as etcd. */
#ifndef BASE_JSON_H
#define BASE_JSON_H

#include <json-c/json.h>

#include "base/base.h"

struct json_object *json_parse_complete(const void *data, size_t len);
struct json_object *json_member(struct json_object *o, const char *name);
int64_t json_int(struct json_object *o, const char *name);
uint8_t *json_bytes(struct json_object *o, const char *name, size_t *len);
void json_add_bytes(struct json_object *o, const char *name, const void *data,
		    size_t len);
void json_add_base64(struct json_object *o, const char *name, const char *text);

#endif
