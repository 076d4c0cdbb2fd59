#include "control/members_impl.h"

#include <string.h>

/*
 * That a member is suspected, dead or gone is passed on as a claim: its
 * address, incarnation, version and state alone. A failed data centre is
 * thousands of claims, and a claim is a quarter of a whole record.
 */
static bool is_claim_state(enum member_state s)
{
	return s == MEMBER_SUSPECT || s == MEMBER_DEAD || s == MEMBER_LEFT;
}

/* Tells a claim from a record that describes its member. */
bool is_claim(const struct member_info *info)
{
	return !info->host[0];
}

/* Fills what others are told of a member: all, or a claim. */
void member_describe(const struct member *b, struct member_info *info)
{
	if (!is_claim_state(b->info.state)) {
		*info = b->info;
		return;
	}
	memset(info, 0, sizeof(*info));
	info->nodes = b->info.nodes;
	info->incarnation = b->info.incarnation;
	info->version = b->info.version;
	info->state = b->info.state;
}

/*
 * Fills a claim with the details known here. Returns false when it says
 * nothing about what is known: it is older, of a process not known here, or
 * of a state that needs details. A claim about a version that is not known
 * yet is taken for the one that is, so that the details can still come.
 */
bool claim_apply(const struct member *b, struct member_info *claim)
{
	struct member_info info = b->info;

	if (!is_claim_state(claim->state) ||
	    claim->incarnation != info.incarnation ||
	    claim->version < info.version)
		return false;
	info.state = claim->state;
	if (claim->state == MEMBER_LEFT)
		info.version = claim->version;
	*claim = info;
	return true;
}
