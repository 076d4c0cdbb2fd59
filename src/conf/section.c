#include "conf/conf_impl.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define SHARD_MIN 4

struct entry {
	uint64_t hash;
	void *item;
};

struct shard {
	uint32_t refs;
	uint32_t n;
	uint32_t size;
	struct entry entries[];
};

/* Stored before each item; its 16 bytes keep the item aligned. */
union item_head {
	uint32_t refs;
	uint8_t pad[16];
};

/* Returns a new item with one reference, copied from size bytes, or NULL. */
void *item_new(const void *from, size_t size)
{
	union item_head *h = malloc(sizeof(*h) + size);

	if (!h)
		return NULL;
	h->refs = 1;
	memcpy(h + 1, from, size);
	return h + 1;
}

/* Takes a reference. */
void *item_get(void *item)
{
	((union item_head *)item - 1)->refs++;
	return item;
}

/* Drops a reference; NULL is allowed. */
void item_put(void *item)
{
	union item_head *h = item;

	if (h && !--h[-1].refs)
		free(h - 1);
}

static const void *key_of(const struct section *s, const void *item)
{
	return (const char *)item + s->key_offset;
}

static uint64_t hash_of(const struct section *s, const void *key)
{
	if (!s->key_len)
		return name_hash(key);
	return XXH3_64bits(key, s->key_len);
}

static int compare(const struct section *s, const struct entry *e,
		   uint64_t hash, const void *key)
{
	if (e->hash != hash)
		return e->hash < hash ? -1 : 1;
	if (s->key_len)
		return memcmp(key_of(s, e->item), key, s->key_len);
	return strcmp(key_of(s, e->item), key);
}

static size_t shard_of(uint64_t hash)
{
	return hash >> 32 & (SECTION_SHARDS - 1);
}

/* Returns the index of the first entry not less than the key. */
static uint32_t lower_bound(const struct section *s, const struct shard *sh,
			    uint64_t hash, const void *key)
{
	uint32_t from = 0, to = sh->n, i;

	while (from < to) {
		i = from + (to - from) / 2;
		if (compare(s, &sh->entries[i], hash, key) < 0)
			from = i + 1;
		else
			to = i;
	}
	return from;
}

static void shard_put(struct shard *sh)
{
	uint32_t i;

	if (!sh || --sh->refs)
		return;
	for (i = 0; i < sh->n; i++)
		item_put(sh->entries[i].item);
	free(sh);
}

/* Makes to a copy that shares the shards of from. */
void section_copy(struct section *to, const struct section *from)
{
	size_t i;

	*to = *from;
	for (i = 0; i < SECTION_SHARDS; i++)
		if (to->shards[i])
			to->shards[i]->refs++;
}

/* Releases all shards and leaves an empty section. */
void section_free(struct section *s)
{
	size_t i;

	for (i = 0; i < SECTION_SHARDS; i++) {
		shard_put(s->shards[i]);
		s->shards[i] = NULL;
	}
	s->n = 0;
}

/* Returns the item with this key, or NULL; no reference is taken. */
void *section_find(const struct section *s, const void *key)
{
	uint64_t hash = hash_of(s, key);
	const struct shard *sh = s->shards[shard_of(hash)];
	uint32_t i;

	if (!sh)
		return NULL;
	i = lower_bound(s, sh, hash, key);
	if (i == sh->n || compare(s, &sh->entries[i], hash, key))
		return NULL;
	return sh->entries[i].item;
}

/* Returns the next item in order of hash, or NULL; after NULL, the first. */
void *section_next(const struct section *s, const void *after)
{
	size_t at = 0;
	uint64_t hash;
	uint32_t i = 0;

	if (after) {
		hash = hash_of(s, key_of(s, after));
		at = shard_of(hash);
		if (s->shards[at])
			i = lower_bound(s, s->shards[at], hash,
					key_of(s, after)) +
			    1;
	}
	for (; at < SECTION_SHARDS; at++, i = 0)
		if (s->shards[at] && i < s->shards[at]->n)
			return s->shards[at]->entries[i].item;
	return NULL;
}

/*
 * Returns a shard that is not shared and has room for one more entry, copying
 * or growing the old one if needed; NULL when out of memory.
 */
static struct shard *writable_shard(struct section *s, size_t at)
{
	struct shard *old = s->shards[at], *sh;
	uint32_t n = old ? old->n : 0, i;
	uint32_t size = n < SHARD_MIN ? SHARD_MIN : n + n / 2;

	if (old && old->refs == 1 && n < old->size)
		return old;
	if (old && old->refs == 1) {
		sh = realloc(old, sizeof(*sh) + size * sizeof(*sh->entries));
		if (sh)
			sh->size = size;
	} else {
		sh = malloc(sizeof(*sh) + size * sizeof(*sh->entries));
		if (!sh)
			return NULL;
		sh->refs = 1;
		sh->n = n;
		sh->size = size;
		for (i = 0; i < n; i++) {
			sh->entries[i] = old->entries[i];
			item_get(sh->entries[i].item);
		}
		shard_put(old);
	}
	if (sh)
		s->shards[at] = sh;
	return sh;
}

/*
 * Inserts an item and takes a reference to it; replaces an item with the same
 * key. Returns -1 when out of memory.
 */
int section_put(struct section *s, void *item)
{
	const void *key = key_of(s, item);
	uint64_t hash = hash_of(s, key);
	struct shard *sh = writable_shard(s, shard_of(hash));
	struct entry *e;
	uint32_t i;

	if (!sh)
		return -1;
	item_get(item);
	i = lower_bound(s, sh, hash, key);
	e = &sh->entries[i];
	if (i < sh->n && !compare(s, e, hash, key)) {
		item_put(e->item);
	} else {
		memmove(e + 1, e, (sh->n - i) * sizeof(*e));
		sh->n++;
		s->n++;
	}
	e->hash = hash;
	e->item = item;
	return 0;
}

/* Removes the item with this key, if any; returns -1 when out of memory. */
int section_remove(struct section *s, const void *key)
{
	uint64_t hash = hash_of(s, key);
	struct shard *sh = s->shards[shard_of(hash)];
	struct entry *e;
	void *item;
	uint32_t i;

	if (!sh || !section_find(s, key))
		return 0;
	sh = writable_shard(s, shard_of(hash));
	if (!sh)
		return -1;
	i = lower_bound(s, sh, hash, key);
	if (i >= sh->n)
		return -1;
	e = &sh->entries[i];
	item = e->item;
	memmove(e, e + 1, (sh->n - i - 1) * sizeof(*e));
	sh->n--;
	s->n--;
	item_put(item);
	return 0;
}
