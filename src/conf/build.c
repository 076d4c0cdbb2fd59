/* Builds a configuration that does not come from notes. */
#include "conf/conf_impl.h"

#include <string.h>

/* Records that an item replaces another of its name, for config_check. */
static void note_repeat(struct config *c, enum section_kind kind,
			const void *new)
{
	const struct access_key *key = new;
	const union item *old = section_find(&c->by_name[kind], new);
	struct repeat *r;

	if (!old || c->repeat_count == REPEATS_MAX)
		return;
	r = &c->repeats[c->repeat_count++];
	r->kind = kind;
	copy_name(r->name, sizeof(r->name), new);
	if (kind != SECTION_KEYS)
		return;
	copy_name(r->first, sizeof(r->first), old->key.account);
	copy_name(r->last, sizeof(r->last), key->account);
}

static int put_copy(struct config *c, enum section_kind kind, const void *from,
		    size_t size)
{
	void *item = item_new(from, size);
	int rc;

	note_repeat(c, kind, from);
	if (!item)
		return -1;
	rc = config_put_item(c, kind, item);
	item_put(item);
	return rc;
}

int config_add_service(struct config *c, const struct service *s)
{
	return put_copy(c, SECTION_SERVICES, s, sizeof(*s));
}

int config_add_route(struct config *c, const struct route *r)
{
	void *item;
	int rc;

	if (section_find(&c->routes_by_host_prefix, r->host_prefix))
		return -1;
	item = item_new(r, sizeof(*r));
	if (!item)
		return -1;
	note_repeat(c, SECTION_ROUTES, r);
	rc = config_put_item(c, SECTION_ROUTES, item);
	if (!rc)
		rc = section_put(&c->routes_by_host_prefix, item);
	item_put(item);
	return rc;
}

int config_add_account(struct config *c, const struct account *a)
{
	if (a->rank > c->lowest_rank)
		c->lowest_rank = a->rank;
	c->account_homes |= a->home.count != 0;
	return put_copy(c, SECTION_ACCOUNTS, a, sizeof(*a));
}

/* Adds the long name of an account, or the same one if only it looks so. */
int config_add_long_name(struct config *c, const char *account,
			 const char *long_name)
{
	size_t size = sizeof(struct long_name) + strlen(long_name) + 1;
	struct long_name *l = calloc(1, size);
	void *item;
	int rc = -1;

	if (!l)
		return -1;
	copy_name(l->account, sizeof(l->account), account);
	memcpy(l->text, long_name, strlen(long_name) + 1);
	item = item_new(l, size);
	if (item)
		rc = section_put(&c->long_names, item);
	item_put(item);
	free(l);
	return rc;
}

int config_add_key(struct config *c, const struct access_key *k)
{
	return put_copy(c, SECTION_KEYS, k, sizeof(*k));
}

void config_set_limits(struct config *c, const struct caller_limits *l)
{
	c->limits = *l;
}

/* Sets the number of c and stores the document that it was read from. */
int config_publish(struct config *c, uint64_t number, const char *release,
		   const void *source, size_t len)
{
	config_set_number(c, number, release, source, len);
	return buffer_append(&c->source, source, len, SIZE_MAX);
}
