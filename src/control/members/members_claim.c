#include "control/members/members_impl.h"

#include <string.h>

/*
 * The states suspect, dead and left are sent as a claim: only the member's
 * address, incarnation, version and state. A failed data centre causes
 * thousands of claims, and a claim takes a quarter of the bytes of a complete
 * record.
 */
static bool is_claim_state(enum member_state s)
{
	return s == MEMBER_SUSPECT || s == MEMBER_DEAD || s == MEMBER_LEFT;
}

/* Whether info is a claim rather than a complete record. */
bool is_claim(const struct member_info *info)
{
	return !info->host[0];
}

/* Fills in what is sent about a member: a complete record or a claim. */
void member_describe(const struct member *b, struct member_info *info)
{
	if (!is_claim_state(b->info.state)) {
		*info = b->info;
		return;
	}
	memset(info, 0, sizeof(*info));
	info->node_addr = b->info.node_addr;
	info->incarnation = b->info.incarnation;
	info->version = b->info.version;
	info->state = b->info.state;
}

/*
 * Completes a claim with the details of the local record. Returns false when
 * the claim does not apply to the record: it is older, is about another
 * incarnation, or has a state that needs a complete record. A claim about a
 * newer version keeps the local version number, except for a member that
 * left, so that the details of the newer version are still accepted later.
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
