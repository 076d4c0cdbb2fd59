#include "filter/filter.h"

#include <stdio.h>
#include <string.h>

#include "node/node.h"

/* Longer chains than a root identity leaves room for get a hashed suffix. */
static void make_sub_id(struct request *r, const struct call *parent)
{
	char text[REQUEST_ID_SIZE + 16];

	snprintf(text, sizeof(text), "%s.%u", parent->head.request,
		 parent->sub_calls);
	if (copy_name(r->id, sizeof(r->id), text) < 0)
		snprintf(r->id, sizeof(r->id), "%.40s.%016llx",
			 parent->head.root,
			 (unsigned long long)name_hash(text));
}

/*
 * A sub-call inherits from the call whose context token it presents:
 * account, class, lot, deadline, and a part of the retry allowance. Roots
 * pass unchanged.
 */
enum filter_result filter_context(struct node *n, struct request *r,
				  int64_t now)
{
	const char *token;
	struct call *parent;

	if (r->origin == ORIGIN_CALLER || !n->edge->context)
		return FILTER_NEXT;
	token = message_header(&r->message, n->edge->context);
	parent = token ? gates_call_by_token(n, token) : NULL;
	if (!parent)
		return request_refuse(n, r, REASON_BAD_CONTEXT, OUTCOME_NOT_RUN,
				      now);
	parent->sub_calls++;
	parent->open_sub_calls++;
	make_sub_id(r, parent);
	memcpy(r->root, parent->head.root, sizeof(r->root));
	r->parent = parent->handle;
	r->depth = parent->head.depth + 1;
	r->cls = parent->head.cls;
	r->lot = parent->head.lot;
	r->deadline_us = parent->deadline_us;
	r->allowance = allowance_lend(&parent->allowance);
	/* Each root shed unseen would have made this sub-call as well. */
	memcpy(r->shed_unseen, parent->head.shed_unseen,
	       sizeof(r->shed_unseen));
	if (parent->head.account[0]) {
		r->account = config_account(r->config, parent->head.account);
		if (!r->account)
			return request_refuse(n, r, REASON_BAD_KEY,
					      OUTCOME_NOT_RUN, now);
	}
	message_remove_header(&r->message, n->edge->context);
	return FILTER_NEXT;
}
