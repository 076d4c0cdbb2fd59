/* What the files of the store share; nothing here is for others. */
#ifndef STORE_STORE_IMPL_H
#define STORE_STORE_IMPL_H

#include "store/store.h"

int result_add(struct store_result *r, const char *key, const void *value,
	       size_t len, int64_t mod_revision);
void result_free(struct store_result *r);
void result_fail(struct store_result *r, enum store_outcome outcome,
		 enum error_code code, const char *peer, const char *text);

/*
 * Caps calls a second and keeps those that must wait, most important first.
 * An open watch takes one call off each second.
 */
struct held;

struct budget {
	uint32_t calls_s; /* 0: no cap */
	uint32_t watches;
	int64_t tokens_us; /* a call costs a second's microseconds */
	int64_t refilled_us;
	struct held *held[STORE_PRIORITIES];
	uint32_t held_count;
};

struct held {
	struct held *prev;
	struct held *next;
	int64_t since_us;
	int64_t until_us;
	struct store_done done;
	struct store_op op; /* followed by what it points to */
};

void budget_init(struct budget *b, uint32_t calls_s);
void budget_free(struct budget *b);
bool budget_take(struct budget *b, enum store_priority p, int64_t now);
bool budget_watch(struct budget *b);
void budget_hold(struct budget *b, const struct store_op *op,
		 const struct store_done *done, int64_t now);
struct held *budget_next(struct budget *b, int64_t now);
struct held *budget_expired(struct budget *b, int64_t now);
struct held *held_copy(const struct store_op *op);

struct memory;

struct memory *memory_open(struct memory_store *shared);
void memory_close(struct memory *m);
void memory_set_faults(struct memory *m, const struct store_faults *f);
void memory_submit(struct memory *m, const struct store_op *op,
		   const struct store_done *done, int64_t now);
uint64_t memory_watch_start(struct memory *m, const struct store_watch *w);
void memory_watch_stop(struct memory *m, uint64_t watch);
void memory_tick(struct memory *m, int64_t now);
uint32_t memory_watches(const struct memory *m);

struct remote;

struct remote *remote_open(const struct store_options *o, struct error *err);
void remote_close(struct remote *e);
int remote_submit(struct remote *e, const struct store_op *op,
		  const struct store_done *done, int64_t now);
uint64_t remote_watch_start(struct remote *e, const struct store_watch *w,
			    int64_t now);
void remote_watch_stop(struct remote *e, uint64_t watch);
void remote_tick(struct remote *e, int64_t now);
uint32_t remote_watches(const struct remote *e);

struct store {
	enum store_kind kind;
	struct budget budget;
	union {
		struct memory *memory; /* STORE_MEMORY, and down: STORE_NONE */
		struct remote *remote; /* STORE_ETCD, STORE_PLATFORM */
	};
};

#endif
