/*
 * Controllers keep the state that many nodes share. They reach the outside
 * only through struct control_io and the store, so tests hand them fakes.
 */
#ifndef CONTROL_CONTROL_H
#define CONTROL_CONTROL_H

#include "base/base.h"
#include "conf/conf.h"
#include "store/store.h"
#include "wire/wire.h"

/* Both fill in the sender and return -1 when nothing was sent. */
struct control_io {
	void *ctx;
	int (*send)(void *ctx, const struct addr *to, struct peer_msg *msg,
		    int64_t now);
	int (*datagram)(void *ctx, const struct addr *to, struct peer_msg *msg);
};

/* Members: who is there, and which upstreams they announced. */
struct members;

struct members_options {
	struct member_info self;
	const struct addr *seeds; /* from the settings */
	size_t seed_count;
	struct control_io io;
	struct store *store;
	uint64_t seed; /* of the random choices */
	void *ctx;
	/* A member or its upstreams changed. */
	void (*changed)(void *ctx, const struct member_info *m, int64_t now);
};

struct members *members_new(const struct members_options *o, int64_t now);
void members_free(struct members *m);
void members_tick(struct members *m, int64_t now); /* every 50 ms */
void members_receive(struct members *m, const struct peer_msg *msg,
		     int64_t now);
/* Replaces what this host announces, and tells at once. */
void members_set_upstreams(struct members *m, const struct upstream_info *u,
			   size_t n, int64_t now);
void members_leave(struct members *m, int64_t now);
/* The last word after a drain: this node is gone. */
void members_left(struct members *m, int64_t now);
const struct member_info *members_find(const struct members *m,
				       const struct addr *nodes);
/* Walks all known members, self included; NULL starts and ends. */
const struct member_info *members_next(const struct members *m,
				       const struct member_info *after);
const struct member_info *members_self(const struct members *m);
size_t members_count(const struct members *m, enum member_state state);
/* A reachable peer to ask, in the own data centre or elsewhere. */
const struct member_info *members_random(struct members *m, bool elsewhere);
/* Whether self is among the first k of its data centre for a topic. */
bool members_chosen(const struct members *m, uint64_t topic, size_t k);

/* Notes: keeps the newest configuration, and passes notes on. */
struct notes;

/* What the configuration is made of. */
enum notes_source {
	SOURCE_NOTES,	 /* release notes, one after the other */
	SOURCE_DOCUMENT, /* one document that others write, whole each time */
};

struct notes_options {
	enum notes_source source;
	struct {
		const char *key; /* in the store */
		struct config *(*read)(const void *data, size_t len,
				       struct error *err);
	} document;
	struct control_io io;
	struct store *store;
	struct members *members;
	uint64_t seed;
	void *ctx;
	void (*in_force)(void *ctx, struct config *c, int64_t now);
};

enum append_status {
	APPEND_ACCEPTED,
	APPEND_REPEATED, /* this release is in force already */
	APPEND_CONFLICT, /* somebody was first; text says what differs */
	APPEND_INVALID,	 /* faults are named in the text */
	APPEND_STORE_OUT,
	APPEND_UNKNOWN, /* the store never said; send it again */
};

struct append_done {
	void *ctx;
	uint64_t tag;
	void (*fn)(void *ctx, uint64_t tag, enum append_status status,
		   uint64_t number, const char *text, int64_t now);
};

struct notes *notes_new(const struct notes_options *o, int64_t now);
void notes_free(struct notes *n);
void notes_tick(struct notes *n, int64_t now); /* every 50 ms */
void notes_receive(struct notes *n, const struct peer_msg *msg, int64_t now);
/* A higher number was seen on any message of a peer. */
void notes_heard(struct notes *n, const struct addr *peer, uint64_t number,
		 int64_t now);
void notes_append(struct notes *n, const char *text, size_t len,
		  const char *operator_name, const char *team,
		  const struct append_done *done, int64_t now);
/* Lists up to limit stored notes after a number, as a JSON array. */
void notes_history(struct notes *n, uint64_t after, uint32_t limit, void *ctx,
		   uint64_t tag,
		   void (*done)(void *ctx, uint64_t tag, const char *json,
				const struct error *err),
		   int64_t now);
/* NULL until there is one. */
struct config *notes_config(const struct notes *n);
/* Time since the platform, or a peer that reaches it, was heard. */
int64_t notes_stale_us(const struct notes *n, int64_t now);

/* The secret of links, made once by one node and kept in the store. */
struct secret;

struct secret_options {
	struct store *store;
	void *ctx;
	void (*known)(void *ctx, const uint8_t secret[SECRET_SIZE],
		      int64_t now);
};

struct secret *secret_new(const struct secret_options *o);
void secret_free(struct secret *s);
void secret_tick(struct secret *s, int64_t now); /* every 50 ms */

/* Quota: account limits enforced over all hosts. */
struct quota;

struct quota_options {
	struct control_io io;
	struct store *store;
	struct members *members;
	struct addr self;
	uint64_t incarnation;
	uint64_t seed;
	/*
	 * Hold period: the share of a node halves twice in it while the store
	 * confirms none of its writes. 0: one hour.
	 */
	int64_t hold_us;
	/*
	 * Number of account groups; the accounts of a group share one slice.
	 * 0: each account has slices of its own.
	 */
	uint32_t groups;
	uint32_t data_centres;	 /* number over all regions; used with groups */
	const char *data_centre; /* of this node; used with groups */
	void *ctx;
	/* Called when a loan arrived: waiting requests may try again. */
	void (*wake)(void *ctx, const char *account, int64_t now);
};

enum quota_verdict {
	QUOTA_TAKEN,
	QUOTA_WAIT, /* a loan request is pending; try again on wake */
	QUOTA_REFUSED,
	QUOTA_NONE_YET, /* no slice or loan received since this node started */
};

struct quota *quota_new(const struct quota_options *o, int64_t now);
void quota_free(struct quota *q);
void quota_config(struct quota *q, struct config *c, int64_t now);
void quota_tick(struct quota *q, int64_t now); /* every 5 ms */
void quota_receive(struct quota *q, const struct peer_msg *msg, int64_t now);
/*
 * Spends one token of the account. first is false when a waiting request tries
 * again. Unless the token was taken, *retry_after_us is the delay to report to
 * the caller.
 */
enum quota_verdict quota_take(struct quota *q, const char *account, bool first,
			      int64_t now, int64_t *retry_after_us);
/* Refunds the token of a request that was refused later, without being run. */
void quota_give_back(struct quota *q, const char *account, int64_t now);
/*
 * Begins a planned stop: returns the slices to the pool. With host_stays the
 * slices of account groups remain for the next process on the host. quota_idle
 * returns true once nothing is left to return, or the store keeps failing.
 */
void quota_leave(struct quota *q, bool host_stays, int64_t now);
bool quota_idle(const struct quota *q);
int quota_status(const struct quota *q, struct buffer *json, int64_t now);

/* Claims: at most one execution per idempotency key. */
struct claims;

struct claims_options {
	struct store *store;
	struct members *members;
	struct addr self;
	uint64_t incarnation;
};

enum claim_state {
	CLAIM_FRESH,	  /* ours: run it, then finish, release or abandon */
	CLAIM_DONE,	  /* ran before; the first answer is given */
	CLAIM_RUNNING,	  /* another holds it and lives */
	CLAIM_UNRESOLVED, /* its holder is gone; nobody knows */
	CLAIM_MISMATCH,	  /* same key, another request body */
	CLAIM_STORE_OUT,  /* not claimed, so not run */
};

struct claim_done {
	void *ctx;
	uint64_t tag;
	/* answer is set with CLAIM_DONE when it was small enough to keep. */
	void (*fn)(void *ctx, uint64_t tag, enum claim_state state,
		   uint64_t claim, const struct message *answer, int64_t now);
};

struct claims *claims_new(const struct claims_options *o, int64_t now);
/* The store must not be ticked afterwards: it still knows c. */
void claims_free(struct claims *c);
void claims_tick(struct claims *c, int64_t now); /* every 5 ms */
/*
 * fingerprint is a hash of method, target and body. done is called later,
 * but at once with CLAIM_STORE_OUT when there is no room for a claim.
 */
void claims_begin(struct claims *c, const char *account, const char *route,
		  const char *key, uint64_t fingerprint, const char *request,
		  int64_t deadline_us, const struct claim_done *done,
		  int64_t now);
/* The requester no longer waits; a claim still won is released. */
void claims_forget(struct claims *c, uint64_t tag);
void claims_finish(struct claims *c, uint64_t claim,
		   const struct message *answer, int64_t now);
void claims_release(struct claims *c, uint64_t claim, int64_t now);
void claims_abandon(struct claims *c, uint64_t claim, int64_t now);
bool claims_idle(const struct claims *c);
/* Lists claims without an outcome as a JSON array, when the store answers. */
void claims_list(struct claims *c, void *ctx, uint64_t tag,
		 void (*done)(void *ctx, uint64_t tag, const char *json,
			      const struct error *err),
		 int64_t now);

/* Explain: what was decided, kept in a ring, and counts by the minute. */
struct explain;

enum decision_kind {
	DECISION_ADMITTED,
	DECISION_REFUSED,
	DECISION_PLACED, /* entry chose an upstream */
	DECISION_RETRIED,
	DECISION_QUEUED,  /* at a gate */
	DECISION_RUN,	  /* gate gave it to the upstream */
	DECISION_DROPPED, /* gate */
	DECISION_ANSWERED,
	DECISION_CANCELLED,
	DECISION_OBSERVED, /* would have been refused */
};

#define DECISION_INPUTS_SIZE 112

struct decision {
	int64_t wall_us;
	enum decision_kind kind;
	enum reason reason;
	enum outcome outcome;
	char request[REQUEST_ID_SIZE];
	char root[REQUEST_ID_SIZE];
	char account[NAME_SIZE];
	char route[NAME_SIZE];
	char service[NAME_SIZE];
	char peer[ADDR_TEXT_SIZE]; /* upstream or node that it concerns */
	uint8_t attempt;
	int status;
	int64_t took_us; /* queueing time, or time to the answer */
	char inputs[DECISION_INPUTS_SIZE]; /* of a refusal, name=value */
};

const char *decision_name(enum decision_kind kind);
struct explain *explain_new(uint32_t ring_size);
void explain_free(struct explain *e);
/* Records, counts and logs one decision. */
void explain_add(struct explain *e, const struct decision *d);
/* Copies up to max records of a request, or of a root's whole chain. */
size_t explain_find(const struct explain *e, const char *id,
		    struct decision *out, size_t max);
/* Wall time of the oldest record still held, 0 when there is none. */
int64_t explain_oldest_us(const struct explain *e);
/* Bytes that records, index and counts may take. */
size_t explain_bytes(const struct explain *e);

/* Equal decisions of minutes close together, with their number. */
struct explain_span {
	char account[NAME_SIZE];
	char route[NAME_SIZE];
	char service[NAME_SIZE];
	enum decision_kind kind;
	enum reason reason;
	enum outcome outcome;
	bool sub_call;
	int64_t from_min; /* minutes since 1970 */
	int64_t to_min;	  /* included */
	uint64_t n;
	uint64_t key; /* of all that must be equal; 0 until merged */
};

/* Lists counts of an account, NULL for all, since a minute, oldest first. */
size_t explain_spans(const struct explain *e, const char *account,
		     int64_t since_min, struct explain_span *out, size_t max);
/* Merges a span into a list of n; returns the new length, at most max. */
size_t explain_merge(struct explain_span *list, size_t n, size_t max,
		     const struct explain_span *s);

/* Plain sentences: of one record, and of an account's counts. */
int explain_sentence(const struct decision *d, const char *host,
		     struct buffer *out);
int explain_summary(const struct explain_span *spans, size_t n,
		    const char *account, int64_t now_min, struct buffer *out);

#endif
