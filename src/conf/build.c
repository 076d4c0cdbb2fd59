/* Builds a configuration that does not come from notes. */
#include "conf/conf_impl.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define HOST_PREFIX_HASH_SIZE 16

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

/*
 * Writes the key of a host and a prefix: both, or a hash where they do not fit.
 * The hash has no slash, so it is not the key of others that fit.
 */
void host_prefix_key(char key[PATTERN_SIZE], const char *host, size_t host_len,
		     const char *path, size_t len)
{
	uint8_t hash[HOST_PREFIX_HASH_SIZE];
	crypto_generichash_state state;

	if (host_len < PATTERN_SIZE && len < PATTERN_SIZE - host_len) {
		memcpy(key, host, host_len);
		memcpy(key + host_len, path, len);
		key[host_len + len] = 0;
		return;
	}
	crypto_generichash_init(&state, NULL, 0, sizeof(hash));
	crypto_generichash_update(&state, (const uint8_t *)host, host_len);
	crypto_generichash_update(&state, (const uint8_t *)path, len);
	crypto_generichash_final(&state, hash, sizeof(hash));
	sodium_bin2hex(key, PATTERN_SIZE, hash, sizeof(hash));
}

void route_set_host_prefix(struct route *r, const char *host,
			   const char *prefix)
{
	size_t host_len = strlen(host), len = strlen(prefix);

	host_prefix_key(r->host_prefix, host, host_len, prefix, len);
	r->host_prefix_len = host_len + len;
}

/* Whether some route has a host and prefix of so many bytes together. */
bool config_has_host_prefix_len(const struct config *c, size_t len)
{
	return len / 8 < c->host_prefix_lens.len &&
	       c->host_prefix_lens.data[len / 8] >> len % 8 & 1;
}

static int add_host_prefix_len(struct config *c, size_t len)
{
	struct buffer *lens = &c->host_prefix_lens;
	static const uint8_t none[64];

	while (lens->len <= len / 8)
		if (buffer_append(lens, none, sizeof(none), SIZE_MAX) < 0)
			return -1;
	lens->data[len / 8] |= (uint8_t)(1 << len % 8);
	return 0;
}

int config_add_split(struct config *c, struct route *r,
		     const struct weighted_service *parts, size_t n)
{
	size_t size = sizeof(struct split) + n * sizeof(*parts), i;
	struct split *s = calloc(1, size), *item;
	int rc;

	if (!s)
		return -1;
	memcpy(s->host_prefix, r->host_prefix, sizeof(s->host_prefix));
	memcpy(s->parts, parts, n * sizeof(*parts));
	s->n = n;
	for (i = 0; i < n; i++)
		s->total += parts[i].weight;
	item = item_new(s, size);
	free(s);
	if (!item)
		return -1;
	r->split = item;
	rc = section_put(&c->splits, item);
	item_put(item);
	return rc;
}

int config_add_route(struct config *c, const struct route *r)
{
	size_t len = r->host_prefix_len;
	void *item;
	int rc;

	if (!len)
		len = strlen(r->host_prefix);
	if (add_host_prefix_len(c, len) < 0)
		return -1;

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
