#include "store/kv.h"

#include <stdlib.h>
#include <string.h>

#define LEASE_ID_BASE 1000

struct lease {
	int64_t id;
	uint32_t ttl_s;
	int64_t expires_us;
};

struct slot {
	struct kv_record *record;
};

struct kv {
	int64_t revision;
	struct slot *slots; /* sorted by key */
	size_t n;
	size_t size;
	struct lease *leases;
	size_t lease_count;
	size_t lease_size;
	int64_t last_lease_id;
	struct kv_event *events; /* ring */
	uint64_t history_max;
	uint64_t next_event;
	int64_t compact_revision; /* newest revision with an evicted event */
};

/* Creates an empty table that keeps the last history_max events. */
struct kv *kv_new(uint64_t history_max)
{
	struct kv *kv = calloc(1, sizeof(*kv));

	if (!kv)
		return NULL;
	kv->events = calloc(history_max, sizeof(*kv->events));
	if (!kv->events) {
		free(kv);
		return NULL;
	}
	kv->history_max = history_max;
	kv->revision = 1;
	kv->next_event = 1;
	kv->last_lease_id = LEASE_ID_BASE;
	return kv;
}

/* Frees the table with all records, leases and events. */
void kv_free(struct kv *kv)
{
	size_t i;

	if (!kv)
		return;
	for (i = 0; i < kv->n; i++) {
		free(kv->slots[i].record->value);
		free(kv->slots[i].record);
	}
	for (i = 0; i < kv->history_max; i++)
		free(kv->events[i].entry.value);
	free(kv->slots);
	free(kv->leases);
	free(kv->events);
	free(kv);
}

static uint8_t *copy_bytes(const void *data, size_t len)
{
	/* One byte more, as malloc(0) may return NULL, which means removed. */
	uint8_t *p = malloc(len + 1);

	if (p && len)
		memcpy(p, data, len);
	return p;
}

/* Copies records and events into an empty table of sufficient size. */
static int clone_contents(struct kv *to, const struct kv *from)
{
	size_t i;

	for (i = 0; i < from->n; i++, to->n++) {
		to->slots[i].record = malloc(sizeof(struct kv_record));
		if (!to->slots[i].record)
			return -1;
		*to->slots[i].record = *from->slots[i].record;
		to->slots[i].record->value =
			copy_bytes(from->slots[i].record->value,
				   from->slots[i].record->len);
	}
	for (i = 0; i < from->history_max; i++) {
		to->events[i] = from->events[i];
		if (from->events[i].entry.value)
			to->events[i].entry.value =
				copy_bytes(from->events[i].entry.value,
					   from->events[i].entry.len);
	}
	return 0;
}

/* Returns a copy that shares nothing with kv; NULL when out of memory. */
struct kv *kv_clone(const struct kv *kv)
{
	struct kv *to = malloc(sizeof(*to));

	if (!to)
		return NULL;
	*to = *kv;
	to->n = 0;
	to->slots = calloc(kv->size + 1, sizeof(*to->slots));
	to->leases = calloc(kv->lease_size + 1, sizeof(*to->leases));
	to->events = calloc(kv->history_max, sizeof(*to->events));
	if (to->slots && to->leases && to->events) {
		if (kv->lease_count)
			memcpy(to->leases, kv->leases,
			       kv->lease_count * sizeof(*to->leases));
		if (!clone_contents(to, kv))
			return to;
	}
	if (!to->events)
		to->history_max = 0;
	kv_free(to);
	return NULL;
}

/* Returns the revision of the newest write. */
int64_t kv_revision(const struct kv *kv)
{
	return kv->revision;
}

/* Returns the index of the first record whose key is not below key. */
size_t kv_lower_bound(const struct kv *kv, const char *key)
{
	size_t low = 0, high = kv->n;

	while (low < high) {
		size_t middle = low + (high - low) / 2;

		if (strcmp(kv->slots[middle].record->key, key) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

/* Returns the record at an index, or NULL past the last one. */
const struct kv_record *kv_at(const struct kv *kv, size_t i)
{
	return i < kv->n ? kv->slots[i].record : NULL;
}

/* Returns the record of a key, or NULL. */
const struct kv_record *kv_get(const struct kv *kv, const char *key)
{
	size_t i = kv_lower_bound(kv, key);

	if (i == kv->n || strcmp(kv->slots[i].record->key, key) != 0)
		return NULL;
	return kv->slots[i].record;
}

static void add_event(struct kv *kv, const struct kv_record *r, bool removed,
		      int64_t now)
{
	struct kv_event *e = &kv->events[kv->next_event % kv->history_max];

	if (e->entry.mod_revision > kv->compact_revision)
		kv->compact_revision = e->entry.mod_revision;
	free(e->entry.value);
	memset(e, 0, sizeof(*e));
	e->at_us = now;
	memcpy(e->entry.key, r->key, sizeof(r->key));
	e->entry.mod_revision = kv->revision;
	if (!removed) {
		e->entry.value = copy_bytes(r->value, r->len);
		e->entry.len = r->len;
	}
	kv->next_event++;
}

static int insert_record(struct kv *kv, size_t at, const char *key)
{
	struct slot *slots;
	struct kv_record *r;
	size_t size;

	if (kv->n == kv->size) {
		size = kv->size ? kv->size * 2 : 64;
		slots = realloc(kv->slots, size * sizeof(*slots));
		if (!slots)
			return -1;
		kv->slots = slots;
		kv->size = size;
	}
	r = calloc(1, sizeof(*r));
	if (!r)
		return -1;
	copy_name(r->key, sizeof(r->key), key);
	r->create_revision = kv->revision;
	memmove(kv->slots + at + 1, kv->slots + at,
		(kv->n - at) * sizeof(*kv->slots));
	kv->slots[at].record = r;
	kv->n++;
	return 0;
}

static void remove_record(struct kv *kv, size_t at, int64_t now)
{
	struct kv_record *r = kv->slots[at].record;

	add_event(kv, r, true, now);
	kv->n--;
	memmove(kv->slots + at, kv->slots + at + 1,
		(kv->n - at) * sizeof(*kv->slots));
	free(r->value);
	free(r);
}

static int put(struct kv *kv, const struct store_write *w, int64_t now)
{
	size_t at = kv_lower_bound(kv, w->key);
	uint8_t *value = copy_bytes(w->value, w->len);
	struct kv_record *r;

	if (!value)
		return -1;
	if (!kv_get(kv, w->key) && insert_record(kv, at, w->key) < 0) {
		free(value);
		return -1;
	}
	r = kv->slots[at].record;
	free(r->value);
	r->value = value;
	r->len = w->len;
	r->mod_revision = kv->revision;
	r->version++;
	r->lease = w->lease;
	add_event(kv, r, false, now);
	return 0;
}

static struct lease *find_lease(struct kv *kv, int64_t id)
{
	size_t i;

	for (i = 0; i < kv->lease_count; i++)
		if (kv->leases[i].id == id)
			return &kv->leases[i];
	return NULL;
}

static enum kv_status check_writes(struct kv *kv, const struct store_write *w,
				   size_t n)
{
	size_t i, j;

	for (i = 0; i < n; i++) {
		if (strlen(w[i].key) >= STORE_KEY_SIZE)
			return KV_KEY_TOO_LONG;
		if (w[i].lease && !find_lease(kv, w[i].lease))
			return KV_NO_LEASE;
		for (j = 0; j < i; j++)
			if (!strcmp(w[i].key, w[j].key))
				return KV_DUPLICATE_KEY;
	}
	return KV_DONE;
}

static bool compare_holds(const struct kv *kv, const struct store_compare *c)
{
	const struct kv_record *r = kv_get(kv, c->key);

	return (r ? r->mod_revision : 0) == c->mod_revision;
}

/*
 * Applies all writes under one revision if every compare matches, else none.
 * KV_NO_MEMORY may leave part of the writes applied.
 */
enum kv_status kv_txn(struct kv *kv, const struct store_compare *compares,
		      size_t compare_count, const struct store_write *writes,
		      size_t write_count, int64_t now)
{
	enum kv_status status;
	bool changes = false;
	size_t i;

	kv_expire(kv, now);
	status = check_writes(kv, writes, write_count);
	if (status != KV_DONE)
		return status;
	for (i = 0; i < compare_count; i++)
		if (!compare_holds(kv, &compares[i]))
			return KV_CONFLICT;
	for (i = 0; i < write_count; i++)
		changes |= !writes[i].remove || kv_get(kv, writes[i].key);
	if (changes)
		kv->revision++;
	for (i = 0; i < write_count; i++) {
		if (!writes[i].remove) {
			if (put(kv, &writes[i], now) < 0)
				return KV_NO_MEMORY;
		} else if (kv_get(kv, writes[i].key)) {
			remove_record(kv, kv_lower_bound(kv, writes[i].key),
				      now);
		}
	}
	return KV_DONE;
}

/* Grants a lease for ttl_s seconds; returns its id, or 0 if out of memory. */
int64_t kv_lease_grant(struct kv *kv, uint32_t ttl_s, int64_t now)
{
	struct lease *leases = kv->leases;
	size_t size;

	if (kv->lease_count == kv->lease_size) {
		size = kv->lease_size ? kv->lease_size * 2 : 16;
		leases = realloc(leases, size * sizeof(*leases));
		if (!leases)
			return 0;
		kv->leases = leases;
		kv->lease_size = size;
	}
	leases[kv->lease_count++] = (struct lease){
		.id = ++kv->last_lease_id,
		.ttl_s = ttl_s,
		.expires_us = now + ttl_s * USEC_PER_SEC,
	};
	return kv->last_lease_id;
}

/* Renews a lease; returns its TTL in seconds, or 0 when it doesn't exist. */
uint32_t kv_lease_renew(struct kv *kv, int64_t id, int64_t now)
{
	struct lease *l;

	kv_expire(kv, now);
	l = find_lease(kv, id);
	if (!l)
		return 0;
	l->expires_us = now + l->ttl_s * USEC_PER_SEC;
	return l->ttl_s;
}

/* Revokes a lease and removes its records; false when it doesn't exist. */
bool kv_lease_revoke(struct kv *kv, int64_t id, int64_t now)
{
	struct lease *l = find_lease(kv, id);
	bool revision_raised = false;
	size_t i;

	if (!l)
		return false;
	*l = kv->leases[--kv->lease_count];
	for (i = kv->n; i-- > 0;) {
		if (kv->slots[i].record->lease != id)
			continue;
		if (!revision_raised)
			kv->revision++;
		revision_raised = true;
		remove_record(kv, i, now);
	}
	return true;
}

/* Revokes all expired leases. */
void kv_expire(struct kv *kv, int64_t now)
{
	size_t i;

	for (i = kv->lease_count; i-- > 0;)
		if (kv->leases[i].expires_us <= now)
			kv_lease_revoke(kv, kv->leases[i].id, now);
}

/*
 * Returns the sequence number of the first event at or after a revision, or 0
 * when it was evicted from the history. The event may still be in the future.
 */
uint64_t kv_event_from(const struct kv *kv, int64_t revision)
{
	uint64_t s = kv->next_event;

	if (revision <= kv->compact_revision)
		return 0;
	while (s > 1 && kv->next_event - s < kv->history_max &&
	       kv->events[(s - 1) % kv->history_max].entry.mod_revision >=
		       revision)
		s--;
	return s;
}

/* Returns an event, or NULL when it is in the future or was evicted. */
const struct kv_event *kv_event(const struct kv *kv, uint64_t sequence)
{
	if (sequence >= kv->next_event ||
	    kv->next_event - sequence > kv->history_max)
		return NULL;
	return &kv->events[sequence % kv->history_max];
}

/* Returns the newest revision of which the history lacks an event. */
int64_t kv_compact_revision(const struct kv *kv)
{
	return kv->compact_revision;
}
