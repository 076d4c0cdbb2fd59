/*
 * The platform's key-value store: compare-and-swap, leases and watches.
 * Every call ends in one of four ways; UNKNOWN must be settled by reading.
 */
#ifndef STORE_STORE_H
#define STORE_STORE_H

#include "base/base.h"
#include "conf/conf.h"

#define STORE_KEY_SIZE 256
#define STORE_VALUE_MAX (1024 * 1024)
#define STORE_TXN_OPS_MAX 128

enum store_outcome {
	STORE_DONE,
	STORE_CONFLICT, /* a compare failed; the reads were done */
	STORE_NOT_DONE, /* certain: it had no effect */
	STORE_UNKNOWN,	/* it may have taken effect */
};

/*
 * Spent in this order when the budget is short. Seeds go before shares: a
 * node that knows no other takes itself for the home of every account.
 */
enum store_priority {
	STORE_CLAIM,
	STORE_CONFIG,
	STORE_SEED,
	STORE_QUOTA,
};
#define STORE_PRIORITIES 4

struct store_compare {
	const char *key;
	int64_t mod_revision; /* 0: the key must be absent */
};

struct store_write {
	const char *key;
	const void *value;
	size_t len;
	int64_t lease; /* 0: none */
	bool remove;
};

enum store_op_kind {
	STORE_GET,
	STORE_LIST, /* all keys with a prefix */
	STORE_TXN,  /* if all compares hold do writes, else read reads */
	STORE_LEASE_GRANT,
	STORE_LEASE_KEEP,
	STORE_LEASE_REVOKE,
};

struct store_op {
	enum store_op_kind kind;
	enum store_priority priority;
	int64_t timeout_us;
	union {
		const char *key; /* GET */
		struct {
			const char *prefix;
			const char *after; /* exclusive; NULL: from the start */
			uint32_t limit;
		} list;
		struct {
			const struct store_compare *compares;
			size_t compare_count;
			const struct store_write *writes;
			size_t write_count;
			const char *const *reads;
			size_t read_count;
		} txn;
		struct {
			int64_t id;	/* KEEP, REVOKE */
			uint32_t ttl_s; /* GRANT */
		} lease;
	};
};

struct store_entry {
	char key[STORE_KEY_SIZE];
	uint8_t *value;
	size_t len;
	int64_t mod_revision;
};

struct store_result {
	enum store_outcome outcome;
	int64_t revision; /* of the store when it answered */
	int64_t lease;	  /* GRANT; 0 after KEEP: the lease is gone */
	struct store_entry *entries;
	size_t n;
	struct error err;
};

/* The result is the store's and good only during the call. */
struct store_done {
	void *ctx;
	uint64_t tag;
	void (*fn)(void *ctx, uint64_t tag, const struct store_result *r,
		   int64_t now);
};

struct store_watch {
	const char *prefix;
	int64_t from_revision; /* the first one told; 0: from now on */
	void *ctx;
	/* An entry with value NULL was removed. */
	void (*event)(void *ctx, const struct store_entry *e, int64_t now);
	/* Ended by the store or by a fault; the caller decides when again. */
	void (*ended)(void *ctx, const struct error *err, int64_t now);
};

struct store;
struct net;

struct store_options {
	enum store_kind kind;
	struct net *net;
	struct addr addr;
	/* Budget; each call and each open watch counts; 0: no cap. */
	uint32_t calls_s;
};

struct store *store_open(const struct store_options *o, struct error *err);
/* Open calls and watches end without a report. */
void store_close(struct store *s);
/*
 * Starts a call. done is called exactly once and never before this
 * returns; a call held back by the budget ends as STORE_NOT_DONE.
 */
void store_submit(struct store *s, const struct store_op *op,
		  const struct store_done *done, int64_t now);
/* Returns 0, and reports nothing, when the budget has no room for it. */
uint64_t store_watch_start(struct store *s, const struct store_watch *w,
			   int64_t now);
void store_watch_stop(struct store *s, uint64_t watch);
/* Ends calls whose time is up; every 10 ms. */
void store_tick(struct store *s, int64_t now);

/* Faults of the memory store, so that callers' handling can be tested. */
struct store_faults {
	bool down;	    /* calls end as STORE_NOT_DONE */
	bool lose_answer;   /* the call takes effect and ends as UNKNOWN */
	int64_t latency_us; /* answers come at a later store_tick */
};

/* A memory store may be shared by several clients in one process. */
struct memory_store;
struct memory_store *memory_store_new(void);
void memory_store_free(struct memory_store *m);
struct store *store_open_memory(struct memory_store *m);
void store_set_faults(struct store *s, const struct store_faults *f);

#endif
