#include "node/node.h"

#include <json-c/json.h>
#include <string.h>

#define SLOTS_MAX 100000

static int read_name(struct json_object *o, const char *member, char *to,
		     size_t size, struct error *err)
{
	struct json_object *v;

	if (!json_object_object_get_ex(o, member, &v) ||
	    !json_object_is_type(v, json_type_string) ||
	    !*json_object_get_string(v) ||
	    copy_name(to, size, json_object_get_string(v)) < 0)
		return error_set(err, ERROR_INPUT, "announce", NULL,
				 "%s: a name is wanted", member);
	return 0;
}

static int read_count(struct json_object *o, const char *member, uint32_t *to,
		      struct error *err)
{
	struct json_object *v;
	int64_t n;

	if (!json_object_object_get_ex(o, member, &v) ||
	    !json_object_is_type(v, json_type_int))
		return error_set(err, ERROR_INPUT, "announce", NULL,
				 "%s: a number is wanted", member);
	n = json_object_get_int64(v);
	if (n < 1 || n > SLOTS_MAX)
		return error_set(err, ERROR_INPUT, "announce", NULL,
				 "%s: must be 1 to %d", member, SLOTS_MAX);
	*to = (uint32_t)n;
	return 0;
}

static int read_members(struct upstream_info *u, struct json_object *o,
			struct error *err)
{
	char addr[ADDR_TEXT_SIZE], state[16];

	if (read_name(o, "service", u->service, sizeof(u->service), err) < 0 ||
	    read_name(o, "address", addr, sizeof(addr), err) < 0 ||
	    read_name(o, "state", state, sizeof(state), err) < 0 ||
	    read_count(o, "slots", &u->slots, err) < 0 ||
	    read_count(o, "connections", &u->connections, err) < 0)
		return -1;
	if (addr_parse(&u->addr, addr) < 0 || !u->addr.port)
		return error_set(err, ERROR_INPUT, "announce", NULL,
				 "address: an IP number and port are wanted");
	if (!strcmp(state, "ready"))
		u->state = UPSTREAM_READY;
	else if (!strcmp(state, "leaving"))
		u->state = UPSTREAM_LEAVING;
	else
		return error_set(err, ERROR_INPUT, "announce", NULL,
				 "state: must be ready or leaving");
	return 0;
}

/* Parses an upstream's announcement (JSON); -1 with err set. */
int announcement_read(struct upstream_info *u, const char *text, size_t len,
		      struct error *err)
{
	struct json_tokener *tok = json_tokener_new();
	struct json_object *o = NULL;
	int rc = -1;

	memset(u, 0, sizeof(*u));
	if (!tok)
		return error_set(err, ERROR_MEMORY, "announce", NULL,
				 "no memory");
	if (text && len && len < INT32_MAX)
		o = json_tokener_parse_ex(tok, text, (int)len);
	if (o && json_object_is_type(o, json_type_object))
		rc = read_members(u, o, err);
	else
		error_set(err, ERROR_INPUT, "announce", NULL,
			  "a JSON object is wanted");
	json_object_put(o);
	json_tokener_free(tok);
	return rc;
}
