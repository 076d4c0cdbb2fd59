/* What the files of the store share; nothing here is for others. */
#ifndef STORE_STORE_IMPL_H
#define STORE_STORE_IMPL_H

#include "store/store.h"

int result_add(struct store_result *r, const char *key, const void *value,
	       size_t len, int64_t mod_revision);
void result_free(struct store_result *r);

struct memory;

struct memory *memory_open(struct memory_store *shared);
void memory_close(struct memory *m);
void memory_set_faults(struct memory *m, const struct store_faults *f);
void memory_submit(struct memory *m, const struct store_op *op,
		   const struct store_done *done, int64_t now);
uint64_t memory_watch_start(struct memory *m, const struct store_watch *w);
void memory_watch_stop(struct memory *m, uint64_t watch);
void memory_tick(struct memory *m, int64_t now);

struct store {
	enum store_kind kind;
	union {
		struct memory *memory; /* STORE_MEMORY, and down: STORE_NONE */
	};
};

#endif
