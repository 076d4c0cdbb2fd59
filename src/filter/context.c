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
 * Where upstreams pass no context on, the identity of a sub-call is that of
 * the request that makes it, a dot and a part of its own.
 */
static struct call *parent_by_identity(struct node *n, const struct request *r)
{
	const char *dot = strrchr(r->id, '.');

	return dot ? gates_call_by_request(n, r->id, (size_t)(dot - r->id))
		   : NULL;
}

static void inherit(struct request *r, struct call *parent)
{
	parent->sub_calls++;
	parent->open_sub_calls++;
	memcpy(r->root, parent->head.root, sizeof(r->root));
	r->parent = parent->handle;
	r->depth = parent->head.depth + 1;
	r->cls = parent->head.cls;
	r->admit_hash = parent->head.lot;
	r->deadline_us = parent->deadline_us;
	/* Each root shed unseen would have made this sub-call as well. */
	memcpy(r->shed_unreported, parent->head.shed_unseen,
	       sizeof(r->shed_unreported));
}

/*
 * A sub-call inherits from the call whose context token it presents, or by
 * whose identity it is named: account, class, lot, deadline, and a part of
 * the retry allowance where that is lent. Roots pass unchanged.
 */
enum filter_result filter_context(struct node *n, struct request *r,
				  int64_t now)
{
	const char *token;
	struct call *parent;

	if (!n->edge->context) {
		parent = parent_by_identity(n, r);
		if (!parent)
			return FILTER_NEXT;
		r->origin = ORIGIN_SERVICE;
		inherit(r, parent);
		if (parent->head.account[0])
			r->account =
				config_account(r->config, parent->head.account);
		return FILTER_NEXT;
	}
	if (r->origin == ORIGIN_CALLER)
		return FILTER_NEXT;
	token = message_header(&r->message, n->edge->context);
	parent = token ? gates_call_by_token(n, token) : NULL;
	if (!parent)
		return request_refuse(n, r, REASON_BAD_CONTEXT, OUTCOME_NOT_RUN,
				      now);
	inherit(r, parent);
	make_sub_id(r, parent);
	r->allowance = allowance_lend(&parent->allowance);
	if (parent->head.account[0]) {
		r->account = config_account(r->config, parent->head.account);
		if (!r->account)
			return request_refuse(n, r, REASON_BAD_KEY,
					      OUTCOME_NOT_RUN, now);
	}
	message_remove_header(&r->message, n->edge->context);
	return FILTER_NEXT;
}
