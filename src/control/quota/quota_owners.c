#include "control/quota/quota_impl.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

/*
 * Members change rarely, and a loan request to a former owner only costs a
 * refusal.
 */
#define OWNERS_REFRESH_US (10 * USEC_PER_SEC)
/* Minimum time between two walks over all members, even if members change. */
#define OWNERS_REFRESH_MIN_US (500 * USEC_PER_MSEC)

/* An account has two owners in a data centre if each gets this many tokens. */
#define TOKENS_PER_OWNER 40

struct ranked {
	const struct member_info *member;
	uint64_t rank;
};

struct data_centre {
	const char *name;
	uint64_t rank;
	struct ranked best[2];
};

#define DATA_CENTRES_MAX 12

static struct data_centre *find_data_centre(struct data_centre *c, size_t *n,
					    const char *name)
{
	size_t i;

	for (i = 0; i < *n; i++)
		if (!strcmp(c[i].name, name))
			return &c[i];
	if (*n == DATA_CENTRES_MAX)
		return NULL;
	memset(&c[*n], 0, sizeof(*c));
	c[*n].name = name;
	return &c[(*n)++];
}

static void rank_member(struct data_centre *c, const struct member_info *m,
			uint64_t hash_key)
{
	struct ranked r = {.member = m};

	r.rank = pair_hash(hash_key,
			   XXH3_64bits(&m->node_addr, sizeof(m->node_addr)));
	if (!c->best[0].member || r.rank > c->best[0].rank) {
		c->best[1] = c->best[0];
		c->best[0] = r;
	} else if (!c->best[1].member || r.rank > c->best[1].rank) {
		c->best[1] = r;
	}
}

/*
 * Adds a node to request loans from. A share of 0 marks a node that is no
 * owner, but may have been one until recently.
 */
static void add_owner(struct quota *q, struct account_group *g,
		      const struct ranked *r, uint32_t share)
{
	const struct member_info *self = members_self(q->o.members);
	struct owner *owner;

	if (!r->member || g->owner_count == OWNERS_MAX)
		return;
	if (share && addr_equal(&r->member->node_addr, &q->o.self)) {
		g->is_owner = true;
		g->owner_share = share;
	}
	owner = &g->owners[g->owner_count++];
	memset(owner, 0, sizeof(*owner));
	owner->node = r->member->node_addr;
	owner->same_data_centre =
		!strcmp(r->member->data_centre, self->data_centre);
}

/* Moves owners in this node's data centre first, keeping the order. */
static void sort_owners(struct account_group *g)
{
	struct owner owner;
	size_t i, at;

	for (i = 1; i < g->owner_count; i++) {
		owner = g->owners[i];
		for (at = i; at > 0 && owner.same_data_centre &&
			     !g->owners[at - 1].same_data_centre;
		     at--)
			g->owners[at] = g->owners[at - 1];
		g->owners[at] = owner;
	}
}

static void sort_data_centres(struct data_centre *c, size_t n,
			      uint64_t hash_key)
{
	struct data_centre x;
	size_t i, at;

	for (i = 0; i < n; i++)
		c[i].rank = pair_hash(hash_key, name_hash(c[i].name));
	for (i = 1; i < n; i++) {
		x = c[i];
		for (at = i; at > 0 && c[at - 1].rank < x.rank; at--)
			c[at] = c[at - 1];
		c[at] = x;
	}
}

/*
 * Returns the tokens of data centre i of n. Whole tokens are divided as evenly
 * as possible, because a node could never spend a fraction of a token. The
 * fractional rest of the burst goes to the first data centre.
 */
static double data_centre_tokens(double burst, size_t n, size_t i)
{
	double whole = floor(burst);
	double tokens = floor(whole / (double)n);
	double remainder = whole - tokens * (double)n;

	if (i < (size_t)remainder)
		tokens += 1;
	if (i == 0)
		tokens += burst - whole;
	return tokens;
}

static void choose_owners_in_data_centre(struct quota *q,
					 struct account_group *g,
					 const struct data_centre *c,
					 double tokens)
{
	bool split = c->best[1].member && tokens >= 2 * TOKENS_PER_OWNER;
	uint32_t share;

	if (tokens <= 0)
		return;
	if (split)
		tokens /= 2;
	share = (uint32_t)(tokens / g->burst * SHARE_ALL);
	add_owner(q, g, &c->best[0], share);
	if (split)
		add_owner(q, g, &c->best[1], share);
}

/* Each data centre's part is a group of its own, with a single owner. */
static void choose_group_owners(struct quota *q, struct account_group *g,
				const struct data_centre *c, size_t n)
{
	struct owner *owner;
	size_t i;

	for (i = 0; i < n && i < OWNERS_MAX; i++) {
		add_owner(q, g, &c[i].best[0], SHARE_ALL);
		owner = &g->owners[i];
		owner->has_second = c[i].best[1].member != NULL;
		if (owner->has_second)
			owner->second = c[i].best[1].member->node_addr;
	}
}

/* Keeps, for each data centre, which of its two nodes loans come from. */
static void keep_second(struct account_group *g, const struct owner *former,
			size_t n)
{
	struct owner *owner;
	size_t i, k;

	for (i = 0; i < g->owner_count; i++) {
		owner = &g->owners[i];
		for (k = 0; k < n; k++) {
			if (!former[k].has_second || !owner->has_second)
				continue;
			if (addr_equal(&owner->second,
				       loans_owner_node(&former[k])))
				owner->asks_second = true;
		}
	}
}

/* Finds this node's rank, and the standby of a slice that it holds. */
static void choose_standby(struct quota *q, struct account_group *g,
			   const struct data_centre *c)
{
	const struct member_info *self = members_self(q->o.members);
	const struct member_info *other;
	bool first;

	if (strcmp(c->name, self->data_centre) != 0 || !c->best[0].member)
		return;
	first = addr_equal(&c->best[0].member->node_addr, &q->o.self);
	other = first ? c->best[1].member : c->best[0].member;
	g->ranks_second = c->best[1].member &&
			  addr_equal(&c->best[1].member->node_addr, &q->o.self);
	g->has_candidate = other != NULL;
	if (other)
		g->candidate = other->node_addr;
}

static void choose_account_owners(struct quota *q, struct account_group *g,
				  const struct data_centre *c, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++)
		choose_owners_in_data_centre(
			q, g, &c[i], data_centre_tokens(g->burst, n, i));
}

/*
 * Adds the node that ranks second in this node's data centre. When a host that
 * ranks first joins, the former owner still holds the slice for some seconds;
 * it is the last to receive a loan request.
 */
static void add_runner_up(struct quota *q, struct account_group *g,
			  const struct data_centre *c)
{
	const struct member_info *self = members_self(q->o.members);
	const struct member_info *m = c->best[1].member;
	size_t i;

	if (!m || strcmp(c->name, self->data_centre))
		return;
	for (i = 0; i < g->owner_count; i++)
		if (addr_equal(&g->owners[i].node, &m->node_addr))
			return;
	add_owner(q, g, &c->best[1], 0);
}

/*
 * Updates the owners of a group: in each data centre the one or two live nodes
 * that rank first in the rendezvous hash. Nodes with different views of the
 * members may send loan requests to the wrong node, which refuses them; only
 * the ledger decides which node holds a slice.
 */
void owners_update(struct quota *q, struct account_group *g, int64_t now)
{
	const struct member_info *m = NULL;
	struct data_centre data_centres[DATA_CENTRES_MAX];
	bool was_owner = g->is_owner;
	struct data_centre *c;
	struct owner former[OWNERS_MAX];
	size_t n = 0, i, former_count = g->owner_count;
	int64_t age_us =
		g->owners_updated_us ? now - g->owners_updated_us : INT64_MAX;
	size_t live;

	if (age_us < OWNERS_REFRESH_MIN_US)
		return;
	live = members_count(q->o.members, MEMBER_ALIVE) +
	       members_count(q->o.members, MEMBER_SUSPECT);
	if (age_us < OWNERS_REFRESH_US && live == g->live_members)
		return;
	g->live_members = live;
	while ((m = members_next(q->o.members, m))) {
		if (m->state != MEMBER_ALIVE && m->state != MEMBER_SUSPECT)
			continue;
		c = find_data_centre(data_centres, &n, m->data_centre);
		if (c)
			rank_member(c, m, g->hash_key);
	}
	sort_data_centres(data_centres, n, g->hash_key);
	memcpy(former, g->owners, sizeof(former));
	g->owner_count = 0;
	g->is_owner = false;
	g->owner_share = 0;
	g->ranks_second = false;
	g->has_candidate = false;
	if (g->multi_account)
		choose_group_owners(q, g, data_centres, n);
	else
		choose_account_owners(q, g, data_centres, n);
	sort_owners(g);
	for (i = 0; i < n; i++)
		if (g->multi_account)
			choose_standby(q, g, &data_centres[i]);
		else
			add_runner_up(q, g, &data_centres[i]);
	keep_second(g, former, former_count);
	if (was_owner && !g->is_owner)
		g->not_owner_since_us = now;
	if (!was_owner && g->is_owner)
		g->owner_since_us = now;
	g->owners_updated_us = now;
}
