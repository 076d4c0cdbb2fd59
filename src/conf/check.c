/* Checks a configuration after all parts of a note have been applied. */
#include "conf/conf_impl.h"

#include <stdio.h>
#include <string.h>

static const void *find_item(const struct config *c, enum section_kind kind,
			     const char *name)
{
	return section_find(&c->by_name[kind], name);
}

static const char *item_team(const struct config *c, enum section_kind kind,
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

static void check_team(struct change *ch, const struct item_change *ic,
		       const char *team)
{
	if (team && strcmp(team, ch->team) != 0)
		reader_fault_at(&ch->r, ic->path,
				"belongs to %s%s, and this operator to team %s",
				*team ? "team " : "no team", team, ch->team);
}

/* An item must belong to the operator's team before and after the note. */
static void check_teams(struct change *ch, enum section_kind kind)
{
	const struct item_change *ic;
	const void *now;
	size_t before;

	for (ic = ch->items[kind]; ic; ic = ic->next) {
		before = ch->r.faults->n;
		if (ic->old)
			check_team(ch, ic, item_team(ch->base, kind, ic->old));
		now = find_item(ch->next, kind, ic->name);
		if (now && before == ch->r.faults->n)
			check_team(ch, ic, item_team(ch->next, kind, now));
	}
}

/* A reference: items of kind hold the name of an item of target at offset. */
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

/* Reports items of the note that refer to an item that does not exist. */
static void check_references(struct change *ch, const struct reference *ref)
{
	char path[JSON_PATH_SIZE + NAME_SIZE];
	const struct item_change *ic;
	const char *item, *name;

	for (ic = ch->items[ref->kind]; ic; ic = ic->next) {
		item = find_item(ch->next, ref->kind, ic->name);
		name = item ? item + ref->offset : "";
		if (!*name || find_item(ch->next, ref->target, name))
			continue;
		snprintf(path, sizeof(path), "%s.%s", ic->path, ref->member);
		reader_fault_at(&ch->r, path, "there is no %s %s",
				kinds[ref->target].singular, name);
	}
}

static bool has_withdrawals(const struct change *ch, enum section_kind kind)
{
	const struct item_change *ic;

	for (ic = ch->items[kind]; ic; ic = ic->next)
		if (!find_item(ch->next, kind, ic->name))
			return true;
	return false;
}

/* Appends an item that still refers to a withdrawn one to its referrers. */
static void add_referrer(struct item_change *ic, const char *referrer)
{
	size_t len = strlen(ic->referrers);
	int n = snprintf(ic->referrers + len, sizeof(ic->referrers) - len,
			 "%s%s", len ? ", " : "", referrer);

	if ((size_t)n >= sizeof(ic->referrers) - len)
		memcpy(ic->referrers + sizeof(ic->referrers) - 5, " ...", 5);
}

/* Reports withdrawn items that items outside the note still refer to. */
static void check_withdrawn(struct change *ch, const struct reference *ref)
{
	const char *item = NULL, *name;
	struct item_change *ic;

	if (!has_withdrawals(ch, ref->target))
		return;
	while ((item = section_next(&ch->next->by_name[ref->kind], item))) {
		name = item + ref->offset;
		ic = find_item_change(ch, ref->target, name);
		if (ic && !find_item(ch->next, ref->target, name) &&
		    !find_item_change(ch, ref->kind, item))
			add_referrer(ic, item);
	}
	for (ic = ch->items[ref->target]; ic; ic = ic->next)
		if (ic->referrers[0])
			reader_fault_at(&ch->r, ic->path,
					"%s still has %s %s; withdraw them too",
					ic->name, kinds[ref->kind].section,
					ic->referrers);
}

/* Reports dangling references, and items of teams other than the operator's. */
void check_change(struct change *ch)
{
	size_t i;
	int kind;

	for (i = 0; i < sizeof(references) / sizeof(*references); i++) {
		check_references(ch, &references[i]);
		check_withdrawn(ch, &references[i]);
	}
	for (kind = 0; ch->team && kind < SECTIONS; kind++)
		check_teams(ch, (enum section_kind)kind);
}

/*
 * Reports two routes with the same method and pattern, at the one that the
 * note adds or changes.
 */
static void report_equal_route(struct change *ch, const struct route *r,
			       const struct route *taken)
{
	const struct route *other = taken;
	struct item_change *ic;

	ic = find_item_change(ch, SECTION_ROUTES, r->name);
	if (!ic) {
		other = r;
		ic = find_item_change(ch, SECTION_ROUTES, taken->name);
	}
	if (ic)
		reader_fault_at(&ch->r, ic->path,
				"has the method and path of route %s",
				other->name);
}

/* Rebuilds the trie of all routes; returns -1 when out of memory. */
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
			report_equal_route(ch, r, taken);
	}
	trie_put(ch->next->trie);
	ch->next->trie = t;
	return 0;
}
