#include "admin/admin_impl.h"

#include <string.h>

/* A listing asked for; only unresolved ones, or all without an outcome. */
struct listing {
	struct admin_wait wait;
	bool unresolved;
};

static void on_list(void *ctx, uint64_t tag, const char *json,
		    const struct error *err)
{
	struct json_object *list, *kept, *o, *claim;
	struct listing *l = ctx;
	size_t i;

	if (!json) {
		admin_answer_error(l->wait.node, tag, 503, err->text,
				   "ask again when the platform's store "
				   "answers");
		admin_wait_free(&l->wait);
		return;
	}
	list = json_tokener_parse(json);
	kept = json_object_new_array();
	for (i = 0; list && i < json_object_array_length(list); i++) {
		claim = json_object_array_get_idx(list, i);
		if (!l->unresolved ||
		    strcmp(admin_text(claim, "state"), "running") != 0)
			json_object_array_add(kept, json_object_get(claim));
	}
	json_object_put(list);
	o = json_object_new_object();
	json_object_object_add(o, "claims", kept);
	admin_answer_json(l->wait.node, tag, 200, o);
	admin_wait_free(&l->wait);
}

/* GET /v1/claims: claims without an outcome, ?state=unresolved or all. */
void admin_claims(struct admin_call *c)
{
	struct listing *l = admin_wait_new(c, sizeof(*l));
	char state[16];

	if (!l)
		return;
	l->unresolved = admin_param(c->query, "state", state, sizeof(state)) &&
			!strcmp(state, "unresolved");
	claims_list(c->node->claims, l, c->exchange, on_list, c->now);
}
