#include "filter/filter.h"

#include <stdio.h>
#include <string.h>
#include <strings.h>

#include "node/node.h"

#define BEARER "Bearer "

static const struct account *account_of_key(const struct config *c,
					    const char *authorization)
{
	uint8_t hash[KEY_HASH_SIZE];
	const struct access_key *key;

	if (strncasecmp(authorization, BEARER, strlen(BEARER)))
		return NULL;
	key_hash(hash, authorization + strlen(BEARER));
	key = config_key(c, hash);
	return key ? config_account(c, key->account) : NULL;
}

/*
 * Returns for how long the configuration may go without confirmation that it
 * is the newest one; 0: without limit.
 */
static int64_t stale_limit_us(const struct node *n, const struct account *a)
{
	int64_t revoke_limit_us =
		n->settings.promises.revoke_us - REVOKE_MARGIN_US;

	if (revoke_limit_us <= 0 ||
	    (a->refuse_stale_us && a->refuse_stale_us < revoke_limit_us))
		return a->refuse_stale_us;
	return revoke_limit_us;
}

static bool config_is_stale(struct node *n, const struct account *a,
			    int64_t now)
{
	int64_t limit = stale_limit_us(n, a);

	return limit && notes_stale_us(n->notes, now) > limit;
}

/*
 * Maps the access key to its client account. Every request is looked up in
 * the configuration in force, so a revoked key stops working as soon as the
 * release note that removes it takes effect. The key is removed from the
 * request, so that it reaches no upstream, other node, log line or record.
 */
enum filter_result filter_key(struct node *n, struct request *r, int64_t now)
{
	const char *authorization;

	/* An id alone does not replace the key that a route asks for. */
	if (r->origin == ORIGIN_SERVICE &&
	    (n->headers->context || r->route->anonymous))
		return FILTER_NEXT;
	authorization = message_header(&r->message, "authorization");
	if (authorization && !r->route->anonymous)
		r->account = account_of_key(r->config, authorization);
	message_remove_header(&r->message, "authorization");
	r->presumed_sub_call =
		r->route->anonymous && !authorization && !n->headers->context;
	if (r->route->anonymous)
		return FILTER_NEXT;
	if (!authorization)
		return request_refuse(n, r, REASON_NO_KEY, OUTCOME_NOT_RUN,
				      now);
	if (!r->account)
		return request_refuse(n, r, REASON_BAD_KEY, OUTCOME_NOT_RUN,
				      now);
	if (config_is_stale(n, r->account, now)) {
		snprintf(r->inputs, sizeof(r->inputs),
			 "config=%llu proved_ms=%lld limit_ms=%lld",
			 (unsigned long long)config_number(r->config),
			 (long long)notes_stale_us(n->notes, now) /
				 USEC_PER_MSEC,
			 (long long)stale_limit_us(n, r->account) /
				 USEC_PER_MSEC);
		return request_refuse(n, r, REASON_STALE_CONFIG,
				      OUTCOME_NOT_RUN, now);
	}
	r->cls = config_shed_class(r->config, r->route, r->account);
	return FILTER_NEXT;
}
