/*
 * Client of the platform's key-value store: compare-and-swap, leases and
 * watches. Every call ends with one of four outcomes; after STORE_UNKNOWN the
 * caller must read the keys to learn whether the call took effect.
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
	STORE_CONFLICT, /* a compare failed; the reads were performed */
	STORE_NOT_DONE, /* the call certainly had no effect */
	STORE_UNKNOWN,	/* the call may have taken effect */
};

/*
 * Highest priority first, for calls that compete for the budget. Seeds come
 * before quota: a node that knows no other member considers itself the owner
 * of every account.
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
	STORE_TXN,  /* writes if every compare matches, else reads */
	STORE_LEASE_GRANT,
	STORE_LEASE_RENEW,
	STORE_LEASE_REVOKE,
};

struct store_op {
	enum store_op_kind kind;
	enum store_priority priority;
	uint32_t history; /* set by store_submit: that the caller has seen */
	int64_t timeout_us;
	union {
		const char *key; /* GET */
		struct {
			const char *prefix;
			const char *after; /* exclusive; NULL: from the start */
			uint32_t limit;	   /* 0: none */
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
			int64_t id;	/* RENEW, REVOKE */
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

/* What an answer tells of the store's history; 0 where it tells nothing. */
struct store_origin {
	int64_t era;	  /* raised when the store came back from a copy */
	uint64_t cluster; /* another one: the store was built anew */
	int64_t revision;
};

struct store_result {
	enum store_outcome outcome;
	struct store_origin origin;
	int64_t revision; /* of the store at the time of the response */
	int64_t lease;	  /* GRANT, RENEW; 0 after RENEW: expired */
	struct store_entry *entries;
	size_t n;
	bool more; /* LIST: the rest follows after the last entry */
	struct error err;
};

/* The result belongs to the store and is valid only during the callback. */
struct store_done {
	void *ctx;
	uint64_t tag;
	void (*fn)(void *ctx, uint64_t tag, const struct store_result *r,
		   int64_t now);
};

struct store_watch {
	const char *prefix;
	int64_t from_revision; /* first revision reported; 0: from now on */
	void *ctx;
	/* value is NULL when the key was removed */
	void (*event)(void *ctx, const struct store_entry *e, int64_t now);
	/* Ended by the store or by an error; restarting is up to the caller. */
	void (*ended)(void *ctx, const struct error *err, int64_t now);
};

struct store;
struct net;

struct store_options {
	enum store_kind kind;
	struct net *net;
	struct addr addr;
	/* Calls per second; an open watch counts as one; 0: no cap. */
	uint32_t calls_s;
};

struct store *store_open(const struct store_options *o, struct error *err);
/* Drops open calls and watches without calling their callbacks. */
void store_close(struct store *s);
/*
 * Starts a call, or queues it when the budget is exhausted or the call can't be
 * started. done is called exactly once, and never before this returns. A call
 * that is still queued after its timeout ends as STORE_NOT_DONE.
 */
void store_submit(struct store *s, const struct store_op *op,
		  const struct store_done *done, int64_t now);
/* Returns 0, without any callback, when the watch can't be opened. */
uint64_t store_watch_start(struct store *s, const struct store_watch *w,
			   int64_t now);
void store_watch_stop(struct store *s, uint64_t watch);
/*
 * The history of the store. A store that came back from an older copy has a
 * new one: what was written since the copy is gone, and revisions and leases
 * are given out again. Then all watches end, calls that compared or wrote under
 * the former history end as STORE_UNKNOWN, or as STORE_NOT_DONE if they were
 * not sent yet, and replaced is called before any answer of the new history is
 * delivered.
 */
void store_on_replaced(struct store *s, void *ctx,
		       void (*replaced)(void *ctx, int64_t now));
/* The era, or 0 if unknown; *age_us is set to the time since it was learnt. */
int64_t store_era(const struct store *s, int64_t now, int64_t *age_us);
/* How often the history was replaced since the start. */
uint32_t store_replacements(const struct store *s);
/* Takes over the era that a peer has known for age_us. */
void store_learn_era(struct store *s, int64_t era, int64_t age_us, int64_t now);
/* When operators and hosts have had time to write again what was lost. */
int64_t store_settled_us(const struct store *s);
/* Delivers results and ends timed-out calls; to be called every 10 ms. */
void store_tick(struct store *s, int64_t now);

/* Faults injected into the memory store, to test its callers. */
struct store_faults {
	bool down;	    /* calls end as STORE_NOT_DONE, watches end */
	bool lose_response; /* calls take effect and end as STORE_UNKNOWN */
	int64_t latency_us; /* delay of responses and events */
	uint32_t list_max;  /* entries in one response to a list; 0: all */
};

/* A memory store may be shared by several clients in one process. */
struct memory_store;
struct memory_store *memory_store_new(void);
void memory_store_free(struct memory_store *m);
/* Copies the contents; -1 when out of memory. */
int memory_store_save(struct memory_store *m);
/* Replaces the contents by those last saved, as a restored store would. */
int memory_store_restore(struct memory_store *m);
struct store *store_open_memory(struct memory_store *m);
void store_set_faults(struct store *s, const struct store_faults *f);
/*
 * Silences what is open: calls in progress end at their timeouts, and watches
 * report nothing more. Later calls and watches are not affected.
 */
void store_silence(struct store *s, int64_t now);

#endif
