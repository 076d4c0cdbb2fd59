#include "conf/conf_impl.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define BURST_MIN_S 0.25 /* of the rate, kept beside the first request */

/* Returns an empty configuration with number 0, or NULL when out of memory. */
struct config *config_new(void)
{
	struct config *c = calloc(1, sizeof(*c));

	if (!c)
		return NULL;
	c->refs = 1;
	c->first_release = 1;
	c->keys_by_hash.key_offset = offsetof(struct access_key, hash);
	c->keys_by_hash.key_len = KEY_HASH_SIZE;
	c->operators_by_hash.key_offset = offsetof(struct operator_key, hash);
	c->operators_by_hash.key_len = KEY_HASH_SIZE;
	c->routes_by_host_prefix.key_offset =
		offsetof(struct route, host_prefix);
	c->trie = trie_new();
	if (c->trie)
		return c;
	free(c);
	return NULL;
}

/* Takes a reference. */
struct config *config_get(struct config *c)
{
	c->refs++;
	return c;
}

/* Drops a reference; NULL is allowed. */
void config_put(struct config *c)
{
	size_t i;

	if (!c || --c->refs)
		return;
	for (i = 0; i < SECTIONS; i++)
		section_free(&c->by_name[i]);
	section_free(&c->keys_by_hash);
	section_free(&c->operators_by_hash);
	section_free(&c->routes_by_host_prefix);
	section_free(&c->splits);
	section_free(&c->long_names);
	buffer_free(&c->host_prefix_lens);
	buffer_free(&c->source);
	trie_put(c->trie);
	free(c);
}

/*
 * Returns a mutable copy that shares all items with c, or NULL when out of
 * memory. The source document is not copied.
 */
struct config *config_clone(const struct config *c)
{
	struct config *n = malloc(sizeof(*n));
	size_t i;

	if (!n)
		return NULL;
	*n = *c;
	n->refs = 1;
	for (i = 0; i < SECTIONS; i++)
		section_copy(&n->by_name[i], &c->by_name[i]);
	section_copy(&n->keys_by_hash, &c->keys_by_hash);
	section_copy(&n->operators_by_hash, &c->operators_by_hash);
	section_copy(&n->routes_by_host_prefix, &c->routes_by_host_prefix);
	section_copy(&n->splits, &c->splits);
	section_copy(&n->long_names, &c->long_names);
	memset(&n->source, 0, sizeof(n->source));
	memset(&n->host_prefix_lens, 0, sizeof(n->host_prefix_lens));
	trie_get(n->trie);
	if (buffer_append(&n->host_prefix_lens, c->host_prefix_lens.data,
			  c->host_prefix_lens.len, SIZE_MAX) == 0)
		return n;
	config_put(n);
	return NULL;
}

/* Returns the index by key hash of a kind, or NULL if it has none. */
static struct section *hash_index(struct config *c, enum section_kind kind)
{
	switch (kind) {
	case SECTION_KEYS:
		return &c->keys_by_hash;
	case SECTION_OPERATORS:
		return &c->operators_by_hash;
	case SECTION_SERVICES:
	case SECTION_ROUTES:
	case SECTION_ACCOUNTS:
		break;
	}
	return NULL;
}

/* Removes an item from all indexes; returns -1 when out of memory. */
int config_remove_item(struct config *c, enum section_kind kind,
		       const char *name)
{
	struct section *index = hash_index(c, kind);
	char *item = section_find(&c->by_name[kind], name);

	if (!item)
		return 0;
	if (index && section_remove(index, item + index->key_offset) < 0)
		return -1;
	return section_remove(&c->by_name[kind], name);
}

/* Adds an item or replaces that of the same name; -1 when out of memory. */
int config_put_item(struct config *c, enum section_kind kind, void *item)
{
	struct section *index = hash_index(c, kind);

	if (index && (config_remove_item(c, kind, item) < 0 ||
		      section_put(index, item) < 0))
		return -1;
	return section_put(&c->by_name[kind], item);
}

/*
 * Sets the number and release of c, and stores the hashes of the release and of
 * the note's text in the ring. A gap in the numbers empties the ring.
 */
void config_set_number(struct config *c, uint64_t number, const char *release,
		       const char *text, size_t len)
{
	struct release *r = &c->releases[number % RELEASES_KEPT];

	if (number != c->number + 1)
		c->first_release = number;
	c->number = number;
	if (number - c->first_release >= RELEASES_KEPT)
		c->first_release = number - RELEASES_KEPT + 1;
	copy_name(c->release, sizeof(c->release), release);
	r->name = name_hash(release);
	r->text = XXH3_64bits(text, len);
}

/* Returns the number of the last note applied; 0 before the first. */
uint64_t config_number(const struct config *c)
{
	return c->number;
}

const char *config_release(const struct config *c)
{
	return c->release;
}

/* Returns the number of the note with this release, or 0. */
uint64_t config_release_number(const struct config *c, const char *release)
{
	uint64_t hash = name_hash(release), i;

	for (i = c->number; i && i >= c->first_release; i--)
		if (c->releases[i % RELEASES_KEPT].name == hash)
			return i;
	return 0;
}

/* Compares the text by its hash; false if the note is no longer kept. */
bool config_release_text_equal(const struct config *c, uint64_t number,
			       const char *text, size_t len)
{
	return number && number >= c->first_release && number <= c->number &&
	       c->releases[number % RELEASES_KEPT].text ==
		       XXH3_64bits(text, len);
}

bool config_has_account_homes(const struct config *c)
{
	return c->account_homes;
}

enum overload_mode config_overload_mode(const struct config *c)
{
	return c->mode;
}

const struct service *config_service(const struct config *c, const char *name)
{
	return section_find(&c->by_name[SECTION_SERVICES], name);
}

const struct account *config_account(const struct config *c, const char *name)
{
	return section_find(&c->by_name[SECTION_ACCOUNTS], name);
}

const char *config_long_name(const struct config *c, const char *account)
{
	const struct long_name *known =
		c ? section_find(&c->long_names, account) : NULL;

	if (known)
		return known->text;
	return name_is_fitted(account) ? NULL : account;
}

const struct route *config_route(const struct config *c, const char *name)
{
	return section_find(&c->by_name[SECTION_ROUTES], name);
}

/* Returns the route of a request, or NULL; see trie_match. */
const struct route *config_match(const struct config *c, const char *method,
				 const char *path)
{
	return trie_match(c->trie, method, path);
}

/*
 * Returns the route with the longest prefix of the path on a host, or NULL.
 * Prefixes end with a slash, so a lookup is made for each slash in the path
 * that ends a prefix as long as that of some route.
 */
const struct route *config_match_host_prefix(const struct config *c,
					     const char *host, const char *path)
{
	size_t host_len = strcspn(host, ":"), len = strcspn(path, "?#");
	const struct route *r = NULL;
	char key[PATTERN_SIZE];

	for (; !r && len; len--) {
		if (path[len - 1] != '/' ||
		    !config_has_host_prefix_len(c, host_len + len))
			continue;
		host_prefix_key(key, host, host_len, path, len);
		r = section_find(&c->routes_by_host_prefix, key);
	}
	return r;
}

enum shed_class config_shed_class(const struct config *c, const struct route *r,
				  const struct account *a)
{
	uint32_t cls = (uint32_t)r->shed;

	if (a)
		cls += c->lowest_rank - a->rank;
	return cls > SHED_LAST ? SHED_LAST : (enum shed_class)cls;
}

double config_usable_burst(const struct config *c, const struct account *a)
{
	double least = 1 + a->rate * BURST_MIN_S;

	return c->source.len && a->burst < least ? least : a->burst;
}

const struct caller_limits *config_limits(const struct config *c)
{
	return &c->limits;
}

const struct buffer *config_source(const struct config *c)
{
	return &c->source;
}

/* Returns the client key with this hash, or NULL. */
const struct access_key *config_key(const struct config *c,
				    const uint8_t hash[KEY_HASH_SIZE])
{
	return section_find(&c->keys_by_hash, hash);
}

/* Returns the operator with this key hash, or NULL. */
const struct operator_key *config_operator(const struct config *c,
					   const uint8_t hash[KEY_HASH_SIZE])
{
	return section_find(&c->operators_by_hash, hash);
}

const struct account *config_next_account(const struct config *c,
					  const struct account *after)
{
	return section_next(&c->by_name[SECTION_ACCOUNTS], after);
}

const struct service *config_next_service(const struct config *c,
					  const struct service *after)
{
	return section_next(&c->by_name[SECTION_SERVICES], after);
}

const struct route *config_next_route(const struct config *c,
				      const struct route *after)
{
	return section_next(&c->by_name[SECTION_ROUTES], after);
}

const struct access_key *config_next_key(const struct config *c,
					 const struct access_key *after)
{
	return section_next(&c->by_name[SECTION_KEYS], after);
}

const struct operator_key *
config_next_operator(const struct config *c, const struct operator_key *after)
{
	return section_next(&c->by_name[SECTION_OPERATORS], after);
}
