#include "filter/filter.h"

#include <stdio.h>
#include <string.h>

#include "node/node.h"

/*
 * The id of a sub-call is its parent's id, a dot and a number. One that would
 * be too long is the root's id and a hash instead.
 */
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
 * Without a context header, the parent is found by request id: a sub-call's id
 * is that of its parent followed by a dot and a suffix. Callers may choose such
 * ids too, but only they send a key.
 */
static struct call *parent_by_request_id(struct node *n,
					 const struct request *r)
{
	const char *dot = strrchr(r->id, '.');

	if (message_header(&r->message, "authorization"))
		return NULL;
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
	r->admit_hash = parent->head.admit_hash;
	r->deadline_us = parent->deadline_us;
	r->account_home = parent->head.account_home;
	/* Each root with an unreported shed would have made this call too. */
	memcpy(r->shed_unreported, parent->head.shed_unreported,
	       sizeof(r->shed_unreported));
}

/*
 * A sub-call inherits account, class, admission hash, deadline and, with a
 * context header, a part of the retry allowance from its parent call. The
 * parent is found by context token, or by request id where the interface has
 * no context header. Roots pass unchanged, until a planned stop refuses them.
 */
enum filter_result filter_context(struct node *n, struct request *r,
				  int64_t now)
{
	const char *token;
	struct call *parent;

	if (!n->headers->context) {
		parent = parent_by_request_id(n, r);
		if (!parent && !node_refuses_requests(n, now))
			return FILTER_NEXT;
		if (!parent)
			return request_refuse(n, r, REASON_STOPPING,
					      OUTCOME_NOT_RUN, now);
		r->origin = ORIGIN_SERVICE;
		inherit(r, parent);
		if (parent->head.account[0])
			r->account =
				config_account(r->config, parent->head.account);
		return FILTER_NEXT;
	}
	if (r->origin == ORIGIN_CALLER)
		return FILTER_NEXT;
	token = message_header(&r->message, n->headers->context);
	parent = token ? gates_call_by_token(n, token) : NULL;
	if (!parent)
		return request_refuse(n, r, REASON_BAD_CONTEXT, OUTCOME_NOT_RUN,
				      now);
	inherit(r, parent);
	make_sub_id(r, parent);
	r->borrowed = allowance_lend(&parent->allowance);
	r->allowance = r->borrowed;
	if (parent->head.account[0]) {
		r->account = config_account(r->config, parent->head.account);
		if (!r->account)
			return request_refuse(n, r, REASON_BAD_KEY,
					      OUTCOME_NOT_RUN, now);
	}
	message_remove_header(&r->message, n->headers->context);
	return FILTER_NEXT;
}
