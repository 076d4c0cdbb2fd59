#include "admin/admin_impl.h"

#include <string.h>

/* A pending GET /v1/claims. */
struct claims_request {
	struct admin_pending pending;
	bool unresolved; /* leave out claims whose request still runs */
};

static void on_claims(void *ctx, uint64_t tag, const char *json,
		      const struct error *err)
{
	struct json_object *list, *listed, *o, *claim;
	struct claims_request *request = ctx;
	size_t i;

	if (!json) {
		admin_answer_error(request->pending.node, tag, 503, err->text,
				   "ask again when the platform's store "
				   "answers");
		admin_pending_free(&request->pending);
		return;
	}
	list = json_tokener_parse(json);
	listed = json_object_new_array();
	for (i = 0; list && i < json_object_array_length(list); i++) {
		claim = json_object_array_get_idx(list, i);
		if (!request->unresolved ||
		    strcmp(json_get_text(claim, "state"), "running") != 0)
			json_object_array_add(listed, json_object_get(claim));
	}
	json_object_put(list);
	o = json_object_new_object();
	json_object_object_add(o, "claims", listed);
	admin_answer_json(request->pending.node, tag, 200, o);
	admin_pending_free(&request->pending);
}

/*
 * GET /v1/claims: the claims without an outcome; with ?state=unresolved
 * without those whose request still runs.
 */
void admin_claims(struct admin_call *c)
{
	struct claims_request *request = admin_pending_new(c, sizeof(*request));
	char state[16];

	if (!request)
		return;
	request->unresolved =
		admin_param(c->query, "state", state, sizeof(state)) &&
		!strcmp(state, "unresolved");
	claims_list(c->node->claims, request, c->exchange, on_claims, c->now);
}
