/* Internal interface between the files of the store. */
#ifndef STORE_STORE_IMPL_H
#define STORE_STORE_IMPL_H

#include "store/store.h"

int result_add(struct store_result *r, const char *key, const void *value,
	       size_t len, int64_t mod_revision);
void result_free(struct store_result *r);
void result_fail(struct store_result *r, enum store_outcome outcome,
		 enum error_code code, const char *peer, const char *text);

/* Time in which operators and hosts write again what a restore has lost. */
#define STORE_SETTLE_US (2 * USEC_PER_SEC)

struct history {
	struct store_origin o;
	uint32_t replaced;
	int64_t learnt_us; /* of the last replacement */
	void *ctx;
	void (*on_replaced)(void *ctx, int64_t now);
};

enum history_verdict {
	HISTORY_CURRENT,
	HISTORY_FORMER, /* the answer is of a history that was replaced */
	HISTORY_REPLACED,
};

enum history_verdict history_check(struct history *h,
				   const struct store_origin *o,
				   int64_t sent_revision, int64_t now);
enum history_verdict history_learn(struct history *h, int64_t era,
				   int64_t age_us, int64_t now);
/* A call in flight, as far as its answer is compared with the history. */
struct history_call {
	enum store_op_kind kind;
	uint32_t history;
	int64_t sent_revision;
};

struct history_call history_call(const struct history *h,
				 const struct store_op *op);
bool history_settle(struct history *h, const struct history_call *c,
		    struct store_result *r, int64_t now);

/*
 * Token bucket that caps calls per second, with a queue per priority for calls
 * over the cap. Each open watch lowers the refill rate by one call per second.
 */
struct queued_call;

struct budget {
	uint32_t calls_s; /* 0: no cap */
	uint32_t watches;
	int64_t tokens_us; /* a call costs USEC_PER_SEC */
	int64_t refilled_us;
	struct queued_call *queued[STORE_PRIORITIES];
	uint32_t queued_count;
};

struct queued_call {
	struct queued_call *prev;
	struct queued_call *next;
	int64_t queued_at_us;
	int64_t expires_us;
	struct store_done done;
	struct store_op op; /* its data follows in the same allocation */
};

void budget_init(struct budget *b, uint32_t calls_s);
void budget_free(struct budget *b);
bool budget_take(struct budget *b, enum store_priority p, int64_t now);
bool budget_allows_watch(struct budget *b);
void budget_enqueue(struct budget *b, const struct store_op *op,
		    const struct store_done *done, int64_t now);
struct queued_call *budget_dequeue(struct budget *b, int64_t now);
struct queued_call *budget_expired(struct budget *b, int64_t now);
struct queued_call *queued_call_copy(const struct store_op *op);

struct memory;

struct memory *memory_open(struct memory_store *shared, struct history *h);
void memory_close(struct memory *m);
void memory_set_faults(struct memory *m, const struct store_faults *f);
void memory_silence(struct memory *m, int64_t now);
void memory_submit(struct memory *m, const struct store_op *op,
		   const struct store_done *done, int64_t now);
uint64_t memory_watch_start(struct memory *m, const struct store_watch *w);
void memory_watch_stop(struct memory *m, uint64_t watch);
void memory_watches_end(struct memory *m, int64_t now);
void memory_tick(struct memory *m, int64_t now);
uint32_t memory_watches(const struct memory *m);

struct remote;

struct remote *remote_open(const struct store_options *o, struct history *h,
			   struct error *err);
void remote_close(struct remote *remote);
int remote_submit(struct remote *remote, const struct store_op *op,
		  const struct store_done *done, int64_t now);
uint64_t remote_watch_start(struct remote *remote, const struct store_watch *w,
			    int64_t now);
void remote_watch_stop(struct remote *remote, uint64_t watch);
void remote_watches_end(struct remote *remote, int64_t now);
void remote_tick(struct remote *remote, int64_t now);
uint32_t remote_watches(const struct remote *remote);

struct store {
	enum store_kind kind;
	struct budget budget;
	struct history history;
	union {
		struct memory *memory; /* STORE_MEMORY, STORE_NONE (down) */
		struct remote *remote; /* STORE_ETCD, STORE_PLATFORM */
	};
};

#endif
