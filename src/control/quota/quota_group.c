#include "control/quota/quota_impl.h"

#include <stdio.h>
#include <stdlib.h>

/* Returns the group of this name, or NULL. */
struct account_group *group_find(struct quota *q, const char *name)
{
	struct account_group *g;

	HASH_FIND_STR(q->account_groups, name, g);
	return g;
}

static void name_group(const struct quota *q, const char *account,
		       char name[GROUP_NAME_SIZE], uint64_t *hash_key)
{
	unsigned int number = (unsigned int)(name_hash(account) % q->o.groups);

	*hash_key = pair_hash(name_hash("quota-group"), number);
	snprintf(name, GROUP_NAME_SIZE, "#%u@%s", number, q->o.data_centre);
}

/*
 * Returns the group of an account, which is created if needed; NULL when out
 * of memory. The group depends on the account's name alone and not on its
 * limits: limits change, and all nodes must divide an account by the same
 * ledger records.
 */
struct account_group *group_for_account(struct quota *q, const char *account,
					int64_t now)
{
	char name[GROUP_NAME_SIZE];
	uint64_t hash_key = name_hash(account);
	struct account_group *g;

	if (q->o.groups)
		name_group(q, account, name, &hash_key);
	else
		snprintf(name, sizeof(name), "%s", account);
	g = group_find(q, name);
	if (g)
		return g;
	g = calloc(1, sizeof(*g));
	if (!g)
		return NULL;
	memcpy(g->name, name, sizeof(g->name));
	g->hash_key = hash_key;
	g->multi_account = q->o.groups > 0;
	g->limit_fraction = g->multi_account ? 1.0 / q->o.data_centres : 1;
	g->hold_us = q->hold_us;
	g->confirmed_us = now;
	HASH_ADD_STR(q->account_groups, name, g);
	return g;
}

/* Frees all groups. Their slices stay in the ledger. */
void groups_free(struct quota *q)
{
	struct account_group *g = q->account_groups, *next;

	HASH_CLEAR(hh, q->account_groups);
	for (; g; g = next) {
		next = g->hh.next;
		free(g);
	}
}
