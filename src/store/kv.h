/*
 * In-process key-value table with revisions, leases and a bounded history of
 * events. The memory store and the stand-ins for external stores use it.
 */
#ifndef STORE_KV_H
#define STORE_KV_H

#include "store/store.h"

struct kv_record {
	char key[STORE_KEY_SIZE];
	uint8_t *value;
	size_t len;
	int64_t create_revision;
	int64_t mod_revision;
	int64_t version; /* number of writes since creation */
	int64_t lease;
};

struct kv_event {
	int64_t at_us;
	struct store_entry entry; /* value is NULL when removed */
};

enum kv_status {
	KV_DONE,
	KV_CONFLICT,
	KV_NO_LEASE,
	KV_DUPLICATE_KEY,
	KV_KEY_TOO_LONG,
	KV_NO_MEMORY,
};

struct kv;

struct kv *kv_new(uint64_t history_max);
void kv_free(struct kv *kv);
struct kv *kv_clone(const struct kv *kv);
int64_t kv_revision(const struct kv *kv);

const struct kv_record *kv_get(const struct kv *kv, const char *key);
size_t kv_lower_bound(const struct kv *kv, const char *key);
const struct kv_record *kv_at(const struct kv *kv, size_t i);
enum kv_status kv_txn(struct kv *kv, const struct store_compare *compares,
		      size_t compare_count, const struct store_write *writes,
		      size_t write_count, int64_t now);

int64_t kv_lease_grant(struct kv *kv, uint32_t ttl_s, int64_t now);
uint32_t kv_lease_renew(struct kv *kv, int64_t id, int64_t now);
bool kv_lease_revoke(struct kv *kv, int64_t id, int64_t now);
void kv_expire(struct kv *kv, int64_t now);

uint64_t kv_event_from(const struct kv *kv, int64_t revision);
const struct kv_event *kv_event(const struct kv *kv, uint64_t sequence);
int64_t kv_compact_revision(const struct kv *kv);

#endif
