#include "admin/admin_impl.h"

/* Returns the configuration, or answers 503 and returns NULL without one. */
static const struct config *require_config(struct admin_call *c)
{
	if (!c->node->config)
		admin_answer_error(c->node, c->exchange, 503,
				   "this node has no configuration yet",
				   "apply a first release note, or wait until "
				   "the node reaches another one");
	return c->node->config;
}

/* Answers with the JSON in b, or with 503 if rc says that it is incomplete. */
static void answer_json_buffer(struct admin_call *c, int rc, struct buffer *b)
{
	if (rc == 0)
		admin_answer(c->node, c->exchange, 200, "application/json",
			     b->data, b->len);
	else
		admin_answer_error(c->node, c->exchange, 503, "no memory",
				   "ask again later");
	buffer_free(b);
}

static void answer_section(struct admin_call *c, const char *section)
{
	const struct config *config = require_config(c);
	struct buffer b = {0};
	int rc;

	if (!config)
		return;
	rc = buffer_printf(&b, "{\"number\":%llu,\"%s\":",
			   (unsigned long long)config_number(config), section);
	if (!rc)
		rc = config_show(config, section, &b);
	if (!rc)
		rc = buffer_printf(&b, "}");
	answer_json_buffer(c, rc, &b);
}

/* GET /v1/accounts */
void admin_accounts(struct admin_call *c)
{
	answer_section(c, "accounts");
}

/* GET /v1/keys: identities and accounts of the keys, never their hashes. */
void admin_keys(struct admin_call *c)
{
	answer_section(c, "keys");
}

/* GET /v1/routes */
void admin_routes_list(struct admin_call *c)
{
	answer_section(c, "routes");
}

/* GET /v1/services */
void admin_services(struct admin_call *c)
{
	answer_section(c, "services");
}

/* GET /v1/operators */
void admin_operators(struct admin_call *c)
{
	answer_section(c, "operators");
}

/* GET /v1/config: the complete configuration in force on this node. */
void admin_config(struct admin_call *c)
{
	const struct config *config = require_config(c);
	struct buffer b = {0};

	if (config)
		answer_json_buffer(c, config_show(config, NULL, &b), &b);
}
