#include "admin/admin_impl.h"

static struct json_object *accounts_json(const struct config *c)
{
	struct json_object *list = json_object_new_array(), *o;
	const struct account *a = NULL;

	while ((a = config_next_account(c, a))) {
		o = json_object_new_object();
		json_add_text(o, "name", a->name);
		json_add_text(o, "team", a->team);
		json_object_object_add(o, "rate",
				       json_object_new_double(a->rate));
		json_object_object_add(o, "burst",
				       json_object_new_double(a->burst));
		json_add_int(o, "weight", a->weight);
		json_add_int(o, "refuse_stale_s",
			     a->refuse_stale_us / USEC_PER_SEC);
		json_object_array_add(list, o);
	}
	return list;
}

static struct json_object *keys_json(const struct config *c)
{
	struct json_object *list = json_object_new_array(), *o;
	const struct access_key *k = NULL;

	while ((k = config_next_key(c, k))) {
		o = json_object_new_object();
		json_add_text(o, "id", k->id);
		json_add_text(o, "account", k->account);
		json_object_array_add(list, o);
	}
	return list;
}

static struct json_object *route_json(const struct route *r)
{
	struct json_object *o = json_object_new_object();

	json_add_text(o, "name", r->name);
	json_add_text(o, "team", r->team);
	json_add_text(o, "method", r->method);
	json_add_text(o, "path", r->pattern);
	json_add_text(o, "service", r->service);
	json_add_text(o, "shed", shed_class_name(r->shed));
	json_object_object_add(o, "once", json_object_new_boolean(r->once));
	json_object_object_add(o, "open", json_object_new_boolean(r->open));
	json_add_int(o, "deadline_ms", r->deadline_us / USEC_PER_MSEC);
	json_add_int(o, "retries", r->retries);
	return o;
}

static struct json_object *routes_json(const struct config *c)
{
	struct json_object *list = json_object_new_array();
	const struct route *r = NULL;

	while ((r = config_next_route(c, r)))
		json_object_array_add(list, route_json(r));
	return list;
}

static struct json_object *services_json(const struct config *c)
{
	struct json_object *list = json_object_new_array(), *o;
	const struct service *s = NULL;

	while ((s = config_next_service(c, s))) {
		o = json_object_new_object();
		json_add_text(o, "name", s->name);
		json_add_text(o, "team", s->team);
		json_add_int(o, "retry_percent", s->retry_percent);
		json_object_array_add(list, o);
	}
	return list;
}

static struct json_object *operators_json(const struct config *c)
{
	struct json_object *list = json_object_new_array(), *o;
	const struct operator_key *k = NULL;

	while ((k = config_next_operator(c, k))) {
		o = json_object_new_object();
		json_add_text(o, "name", k->name);
		json_add_text(o, "team", k->team);
		json_object_object_add(o, "read_only",
				       json_object_new_boolean(k->read_only));
		json_object_array_add(list, o);
	}
	return list;
}

/* Answers that there is nothing to list yet, or returns the configuration. */
static const struct config *present(struct admin_call *c)
{
	if (!c->node->config)
		admin_answer_error(c->node, c->exchange, 503,
				   "this node has no configuration yet",
				   "apply a first release note, or wait until "
				   "the node reaches another one");
	return c->node->config;
}

static void answer_list(struct admin_call *c, const char *name,
			struct json_object *(*list)(const struct config *c))
{
	const struct config *config = present(c);
	struct json_object *o;

	if (!config)
		return;
	o = json_object_new_object();
	json_add_int(o, "number", (int64_t)config_number(config));
	json_object_object_add(o, name, list(config));
	admin_answer_json(c->node, c->exchange, 200, o);
}

/* GET /v1/accounts */
void admin_accounts(struct admin_call *c)
{
	answer_list(c, "accounts", accounts_json);
}

/* GET /v1/keys: identities and accounts of keys, nothing of the keys. */
void admin_keys(struct admin_call *c)
{
	answer_list(c, "keys", keys_json);
}

/* GET /v1/routes */
void admin_routes_list(struct admin_call *c)
{
	answer_list(c, "routes", routes_json);
}

/* GET /v1/services */
void admin_services(struct admin_call *c)
{
	answer_list(c, "services", services_json);
}

/* GET /v1/operators */
void admin_operators(struct admin_call *c)
{
	answer_list(c, "operators", operators_json);
}

/* GET /v1/config: all of it as it stands on this node. */
void admin_config(struct admin_call *c)
{
	const struct config *config = present(c);
	struct json_object *o;

	if (!config)
		return;
	o = json_object_new_object();
	json_add_int(o, "number", (int64_t)config_number(config));
	json_add_text(o, "release", config_release(config));
	json_add_text(o, "overload_mode",
		      overload_mode_name(config_overload_mode(config)));
	json_object_object_add(o, "services", services_json(config));
	json_object_object_add(o, "routes", routes_json(config));
	json_object_object_add(o, "accounts", accounts_json(config));
	json_object_object_add(o, "keys", keys_json(config));
	json_object_object_add(o, "operators", operators_json(config));
	admin_answer_json(c->node, c->exchange, 200, o);
}
