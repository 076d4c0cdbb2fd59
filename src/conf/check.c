/* Checks of a configuration after a whole note was applied to it. */
#include "conf/conf_impl.h"

#include <stdio.h>
#include <string.h>

static const void *find(const struct config *c, enum section_kind kind,
			const char *name)
{
	return section_find(&c->by_name[kind], name);
}

static const char *team_of(const struct config *c, enum section_kind kind,
			   const union item *item)
{
	const struct account *a;

	switch (kind) {
	case SECTION_SERVICES:
		return item->service.team;
	case SECTION_ROUTES:
		return item->route.team;
	case SECTION_ACCOUNTS:
		return item->account.team;
	case SECTION_OPERATORS:
		return item->operator_key.team;
	case SECTION_KEYS:
		a = config_account(c, item->key.account);
		return a ? a->team : NULL;
	}
	return NULL;
}

static void check_team(struct change *ch, const struct touched *t,
		       const char *team)
{
	if (team && strcmp(team, ch->team) != 0)
		reader_fault_at(&ch->r, t->path,
				"belongs to %s%s, and this operator to team %s",
				*team ? "team " : "no team", team, ch->team);
}

/* An item must belong to the operator's team before and after the note. */
static void check_teams(struct change *ch, enum section_kind kind)
{
	const struct touched *t;
	const void *now;
	size_t before;

	for (t = ch->touched[kind]; t; t = t->next) {
		before = ch->r.faults->n;
		if (t->old)
			check_team(ch, t, team_of(ch->base, kind, t->old));
		now = find(ch->next, kind, t->name);
		if (now && before == ch->r.faults->n)
			check_team(ch, t, team_of(ch->next, kind, now));
	}
}

/* One reference: items of kind name an item of target at offset. */
struct reference {
	enum section_kind kind;
	enum section_kind target;
	size_t offset;
	const char *member;
};

static const struct reference references[] = {
	{SECTION_ROUTES, SECTION_SERVICES, offsetof(struct route, service),
	 "service"},
	{SECTION_KEYS, SECTION_ACCOUNTS, offsetof(struct access_key, account),
	 "account"},
};

/* Faults items that the note names and that refer to nothing. */
static void check_touched(struct change *ch, const struct reference *ref)
{
	char path[JSON_PATH_SIZE + NAME_SIZE];
	const struct touched *t;
	const char *item, *name;

	for (t = ch->touched[ref->kind]; t; t = t->next) {
		item = find(ch->next, ref->kind, t->name);
		name = item ? item + ref->offset : "";
		if (!*name || find(ch->next, ref->target, name))
			continue;
		snprintf(path, sizeof(path), "%s.%s", t->path, ref->member);
		reader_fault_at(&ch->r, path, "there is no %s %s",
				kinds[ref->target].one, name);
	}
}

static bool withdraws(const struct change *ch, enum section_kind kind)
{
	const struct touched *t;

	for (t = ch->touched[kind]; t; t = t->next)
		if (!find(ch->next, kind, t->name))
			return true;
	return false;
}

/* Notes down that user still refers to an item that was withdrawn. */
static void add_user(struct touched *t, const char *user)
{
	size_t len = strlen(t->users);
	int n = snprintf(t->users + len, sizeof(t->users) - len, "%s%s",
			 len ? ", " : "", user);

	if ((size_t)n >= sizeof(t->users) - len)
		memcpy(t->users + sizeof(t->users) - 5, " ...", 5);
}

/* Faults withdrawals of items that others, which stay, still refer to. */
static void check_withdrawn(struct change *ch, const struct reference *ref)
{
	const char *item = NULL, *name;
	struct touched *t;

	if (!withdraws(ch, ref->target))
		return;
	while ((item = section_next(&ch->next->by_name[ref->kind], item))) {
		name = item + ref->offset;
		t = find_touched(ch, ref->target, name);
		if (t && !find(ch->next, ref->target, name) &&
		    !find_touched(ch, ref->kind, item))
			add_user(t, item);
	}
	for (t = ch->touched[ref->target]; t; t = t->next)
		if (t->users[0])
			reader_fault_at(&ch->r, t->path,
					"%s still has %s %s; withdraw them too",
					t->name, kinds[ref->kind].section,
					t->users);
}

/* Faults references to nothing and items outside the operator's team. */
void check_change(struct change *ch)
{
	size_t i;
	int kind;

	for (i = 0; i < sizeof(references) / sizeof(*references); i++) {
		check_touched(ch, &references[i]);
		check_withdrawn(ch, &references[i]);
	}
	for (kind = 0; ch->team && kind < SECTIONS; kind++)
		check_teams(ch, (enum section_kind)kind);
}

static void fault_equal_route(struct change *ch, const struct route *r,
			      const struct route *taken)
{
	const struct route *other = taken;
	struct touched *t;

	t = find_touched(ch, SECTION_ROUTES, r->name);
	if (!t) {
		other = r;
		t = find_touched(ch, SECTION_ROUTES, taken->name);
	}
	if (t)
		reader_fault_at(&ch->r, t->path,
				"has the method and path of route %s",
				other->name);
}

/* Makes the trie of all routes anew; -1 when memory is short. */
int build_trie(struct change *ch)
{
	const struct route *r = NULL, *taken;
	struct trie *t = trie_new();
	int rc;

	if (!t)
		return -1;
	while ((r = config_next_route(ch->next, r))) {
		if (!r->pattern[0] || !r->method[0])
			continue;
		rc = trie_add(t, r, &taken);
		if (rc < 0) {
			trie_put(t);
			return -1;
		}
		if (rc)
			fault_equal_route(ch, r, taken);
	}
	trie_put(ch->next->trie);
	ch->next->trie = t;
	return 0;
}
