#include "control/quota_impl.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

/* Members come and go rarely; asking a former home only costs a refusal. */
#define HOMES_REFRESH_US (10 * USEC_PER_SEC)
/* The walk over all members is not repeated sooner, whoever comes and goes. */
#define HOMES_LEAST_US (500 * USEC_PER_MSEC)

/* An account has two homes in a data centre if each gets so many tokens. */
#define TOKENS_PER_HOME 40

struct ranked {
	const struct member_info *member;
	uint64_t rank;
};

struct centre {
	const char *name;
	uint64_t rank;
	struct ranked best[2];
};

#define CENTRES_MAX 12

static struct centre *find_centre(struct centre *c, size_t *n, const char *name)
{
	size_t i;

	for (i = 0; i < *n; i++)
		if (!strcmp(c[i].name, name))
			return &c[i];
	if (*n == CENTRES_MAX)
		return NULL;
	memset(&c[*n], 0, sizeof(*c));
	c[*n].name = name;
	return &c[(*n)++];
}

static void rank_member(struct centre *c, const struct member_info *m,
			uint64_t topic)
{
	struct ranked r = {.member = m};

	r.rank = pair_hash(topic, XXH3_64bits(&m->nodes, sizeof(m->nodes)));
	if (!c->best[0].member || r.rank > c->best[0].rank) {
		c->best[1] = c->best[0];
		c->best[0] = r;
	} else if (!c->best[1].member || r.rank > c->best[1].rank) {
		c->best[1] = r;
	}
}

/* tokens 0: not a home, but perhaps one until lately, so worth asking. */
static void add_home(struct quota *q, struct quota_account *a,
		     const struct ranked *r, double tokens)
{
	const struct member_info *self = members_self(q->o.members);
	struct home *h;

	if (!r->member || a->home_count == HOMES_MAX)
		return;
	if (tokens > 0 && addr_equal(&r->member->nodes, &q->o.self)) {
		a->is_home = true;
		a->home_share = (uint32_t)(tokens / a->burst * SHARE_ALL);
	}
	h = &a->homes[a->home_count++];
	h->node = r->member->nodes;
	h->same_data_centre =
		!strcmp(r->member->data_centre, self->data_centre);
}

/* Lenders of the own data centre are asked first. */
static void sort_homes(struct quota_account *a)
{
	struct home h;
	size_t i, at;

	for (i = 1; i < a->home_count; i++) {
		h = a->homes[i];
		for (at = i; at > 0 && h.same_data_centre &&
			     !a->homes[at - 1].same_data_centre;
		     at--)
			a->homes[at] = a->homes[at - 1];
		a->homes[at] = h;
	}
}

static void sort_centres(struct centre *c, size_t n, uint64_t topic)
{
	struct centre x;
	size_t i, at;

	for (i = 0; i < n; i++)
		c[i].rank = pair_hash(topic, name_hash(c[i].name));
	for (i = 1; i < n; i++) {
		x = c[i];
		for (at = i; at > 0 && c[at - 1].rank < x.rank; at--)
			c[at] = c[at - 1];
		c[at] = x;
	}
}

/*
 * Whole tokens for each data centre, as even as can be, and the fraction of
 * a token to the first: part of a token could never be spent where it is.
 */
static double tokens_of_centre(double burst, size_t n, size_t i)
{
	double whole = floor(burst);
	double each = floor(whole / (double)n);
	double left = whole - each * (double)n;

	if (i < (size_t)left)
		each += 1;
	if (i == 0)
		each += burst - whole;
	return each;
}

static void choose_homes(struct quota *q, struct quota_account *a,
			 const struct centre *c, double tokens)
{
	bool two = c->best[1].member && tokens >= 2 * TOKENS_PER_HOME;

	if (tokens <= 0)
		return;
	add_home(q, a, &c->best[0], two ? tokens / 2 : tokens);
	if (two)
		add_home(q, a, &c->best[1], tokens / 2);
}

/*
 * When a host that ranks first joins, the former home of the data centre
 * still holds the slice for some seconds: it is asked last.
 */
static void add_runner_up(struct quota *q, struct quota_account *a,
			  const struct centre *c)
{
	const struct member_info *self = members_self(q->o.members);
	const struct member_info *m = c->best[1].member;
	size_t i;

	if (!m || strcmp(c->name, self->data_centre))
		return;
	for (i = 0; i < a->home_count; i++)
		if (addr_equal(&a->homes[i].node, &m->nodes))
			return;
	add_home(q, a, &c->best[1], 0);
}

/*
 * Finds the homes of an account: in each data centre the one or two alive
 * nodes that rank first for it. Nodes that disagree for a while only ask in
 * vain, for the ledger alone says who holds what.
 */
void homes_update(struct quota *q, struct quota_account *a, int64_t now)
{
	const struct member_info *m = NULL;
	struct centre centres[CENTRES_MAX];
	bool was_home = a->is_home;
	struct centre *c;
	size_t n = 0, i;

	int64_t age_us = a->homes_at_us ? now - a->homes_at_us : INT64_MAX;
	size_t living;

	if (age_us < HOMES_LEAST_US)
		return;
	living = members_count(q->o.members, MEMBER_ALIVE) +
		 members_count(q->o.members, MEMBER_SUSPECT);
	if (age_us < HOMES_REFRESH_US && living == a->homes_of)
		return;
	a->homes_of = living;
	while ((m = members_next(q->o.members, m))) {
		if (m->state != MEMBER_ALIVE && m->state != MEMBER_SUSPECT)
			continue;
		c = find_centre(centres, &n, m->data_centre);
		if (c)
			rank_member(c, m, a->topic);
	}
	sort_centres(centres, n, a->topic);
	a->home_count = 0;
	a->is_home = false;
	a->home_share = 0;
	for (i = 0; i < n; i++)
		choose_homes(q, a, &centres[i],
			     tokens_of_centre(a->burst, n, i));
	sort_homes(a);
	for (i = 0; i < n; i++)
		add_runner_up(q, a, &centres[i]);
	if (was_home && !a->is_home)
		a->not_home_since_us = now;
	a->homes_at_us = now;
}
