/*
 * Controllers keep the state that many nodes share. They reach the outside
 * only through struct control_io and the store, so tests hand them fakes.
 */
#ifndef CONTROL_CONTROL_H
#define CONTROL_CONTROL_H

#include "base/base.h"
#include "conf/conf.h"
#include "policy/poison.h"
#include "store/store.h"
#include "wire/wire.h"

/* Both fill in the sender and return -1 when nothing was sent. */
struct control_io {
	void *ctx;
	int (*send)(void *ctx, const struct addr *to, struct peer_msg *msg,
		    int64_t now);
	int (*datagram)(void *ctx, const struct addr *to, struct peer_msg *msg);
};

/* Members: the known nodes and the upstreams that they announced. */
struct members;

struct members_options {
	struct member_info self;
	const struct addr *seeds; /* from the settings */
	size_t seed_count;
	struct control_io io;
	struct store *store;
	uint64_t seed; /* of the random number generator */
	void *ctx;
	/* Called when a member or its upstreams changed. */
	void (*changed)(void *ctx, const struct member_info *m, int64_t now);
	/* Departures that an earlier process of this host told; or NULL. */
	void (*departed)(void *ctx, const struct departure *d, size_t n,
			 int64_t now);
};

struct members *members_new(const struct members_options *o, int64_t now);
void members_free(struct members *m);
void members_tick(struct members *m, int64_t now); /* every 50 ms */
void members_receive(struct members *m, const struct peer_msg *msg,
		     int64_t now);
/* Replaces the announced upstreams of this host; gossips them at once. */
void members_set_upstreams(struct members *m, const struct upstream_info *u,
			   size_t n, int64_t now);
/*
 * Replaces the departures that this host tells, at most DEPARTURES_MAX. Returns
 * the version of its record that has them.
 */
uint32_t members_set_departures(struct members *m, const struct departure *d,
				size_t n, int64_t now);
/*
 * Guardians are a few other members that keep what this host tells for its next
 * process. Returns their number.
 */
size_t members_guardian_count(const struct members *m);
/* Sends this host's record to its guardians, so that they confirm it. */
void members_ask_confirmation(struct members *m);
/* The newest version of this host's record that enough guardians confirmed. */
uint32_t members_confirmed_version(const struct members *m);
/* Asks the guardians what an earlier process of this host told. */
void members_ask_witnesses(struct members *m);
/*
 * Whether enough guardians have run since long before this process, and told
 * what they have heard from earlier ones: then one of them knows what an earlier
 * one took for confirmed.
 */
bool members_have_witnesses(const struct members *m);
/* Whether another member has answered, or the store shows that none is there. */
bool members_have_answered(const struct members *m);
/* Probes seeds at once if no other live member is known. */
void members_join(struct members *m, int64_t now);
/* Begins a planned stop: others send no new work to this host. */
void members_leave(struct members *m, int64_t now);
/* Announces after the drain that this node has left. */
void members_left(struct members *m, int64_t now);
const struct member_info *members_find(const struct members *m,
				       const struct addr *node_addr);
/* Iterates over all members, self, dead and left included, from NULL on. */
const struct member_info *members_next(const struct members *m,
				       const struct member_info *after);
const struct member_info *members_self(const struct members *m);
/* Acquires the seed lease again: see store_on_replaced. */
void members_store_replaced(struct members *m, int64_t now);
size_t members_count(const struct members *m, enum member_state state);
/* A random live member of this data centre or, with remote, of the others. */
const struct member_info *members_random(struct members *m, bool remote);
/* Whether self is among the first k of its data centre for a topic. */
bool members_chosen(const struct members *m, uint64_t topic, size_t k);
/* Whether self is the first of all live members for a topic. */
bool members_first(const struct members *m, uint64_t topic);

/* Evacuations: see control/evacuations/evacuations.h. */
struct evacuations;

/* Notes: keeps the newest configuration and distributes it to the peers. */
struct notes;

/* Where the configuration comes from. */
enum notes_source {
	SOURCE_NOTES,	 /* release notes, applied in sequence */
	SOURCE_DOCUMENT, /* one document, always replaced as a unit */
};

struct notes_options {
	enum notes_source source;
	struct {
		const char *key; /* in the store */
		/* Of the keys that operators write; used with evacuations. */
		const char *prefix;
		struct config *(*read)(const void *data, size_t len,
				       struct error *err);
	} document;
	struct control_io io;
	struct store *store;
	struct members *members;
	struct evacuations *evacuations; /* NULL: not used */
	uint64_t seed;
	void *ctx;
	void (*in_force)(void *ctx, struct config *c, int64_t now);
};

enum append_status {
	APPEND_ACCEPTED,
	APPEND_REPEATED, /* this release is in force already */
	APPEND_CONFLICT, /* conflicts with another note; text says how */
	APPEND_INVALID,	 /* text lists the faults */
	APPEND_STORE_UNAVAILABLE, /* or queue full; not written */
	APPEND_UNKNOWN,		  /* write not confirmed; send it again */
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
/* Records the number that any message of a peer carries. */
void notes_number_received(struct notes *n, const struct addr *peer,
			   uint64_t number, int64_t now);
void notes_append(struct notes *n, const char *text, size_t len,
		  const char *operator_name, const char *team,
		  const struct append_done *done, int64_t now);
/*
 * Lists up to limit stored notes after a number, as a JSON array. On failure,
 * done is called with json NULL and err set.
 */
void notes_history(struct notes *n, uint64_t after, uint32_t limit, void *ctx,
		   uint64_t tag,
		   void (*done)(void *ctx, uint64_t tag, const char *json,
				const struct error *err),
		   int64_t now);
/* Reads the store again: its history was replaced, see store_on_replaced. */
void notes_store_replaced(struct notes *n, int64_t now);
/* The configuration in force, or NULL before the first one. */
struct config *notes_config(const struct notes *n);
/*
 * Microseconds since the store, or a peer that reaches it, last confirmed our
 * configuration as the newest. INT64_MAX if it never was.
 */
int64_t notes_stale_us(const struct notes *n, int64_t now);

/* The shared secret of links, created by one node and kept in the store. */
struct secret;

struct secret_options {
	struct store *store;
	void *ctx;
	/* Called when the secret is known, and again if it changes. */
	void (*on_known)(void *ctx, const uint8_t secret[SECRET_SIZE],
			 int64_t now);
};

struct secret *secret_new(const struct secret_options *o);
void secret_free(struct secret *s);
void secret_tick(struct secret *s, int64_t now); /* every 50 ms */
/* Compares the secret with the store's: see store_on_replaced. */
void secret_store_replaced(struct secret *s, int64_t now);

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
	QUOTA_UNAVAILABLE, /* no slice or loan received since the start */
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
/* Why the latest round of loan requests ended without a token. */
enum quota_lack {
	QUOTA_LACK_UNKNOWN,   /* not recorded without account groups */
	QUOTA_LACK_TOKENS,    /* all lenders together had less than a token */
	QUOTA_LACK_ELSEWHERE, /* they had one, but others took or held it */
	QUOTA_LACK_ANSWER,    /* a lender did not answer in time */
};

enum quota_lack quota_lack(struct quota *q, const char *account);
/* Refunds the token of a request that was refused later, without being run. */
void quota_refund(struct quota *q, const char *account, int64_t now);
/*
 * Begins a planned stop: returns the slices to the pool. With host_stays the
 * slices of account groups remain for the next process on the host.
 * quota_drained returns true once nothing is left to return, or the store
 * keeps failing.
 */
void quota_leave(struct quota *q, bool host_stays, int64_t now);
bool quota_drained(const struct quota *q);
/* Reads the ledger again: see store_on_replaced. */
void quota_store_replaced(struct quota *q, int64_t now);
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
	CLAIM_FRESH,		 /* run it, then end the claim */
	CLAIM_DONE,		 /* ran before, with the answer if stored */
	CLAIM_RUNNING,		 /* held by a process that is alive */
	CLAIM_UNRESOLVED,	 /* may have run; outcome unknown */
	CLAIM_MISMATCH,		 /* same key, different request */
	CLAIM_STORE_UNAVAILABLE, /* not claimed in time: must not run */
};

struct claim_done {
	void *ctx;
	uint64_t tag;
	/* answer is set with CLAIM_DONE if it was small enough to be stored. */
	void (*fn)(void *ctx, uint64_t tag, enum claim_state state,
		   uint64_t claim, const struct message *answer, int64_t now);
};

struct claims *claims_new(const struct claims_options *o, int64_t now);
/* The store must not be ticked afterwards, as it may hold pointers to c. */
void claims_free(struct claims *c);
void claims_tick(struct claims *c, int64_t now); /* every 5 ms */
/*
 * Claims an idempotency key. fingerprint is a hash of method, target and body.
 * done is called once, later; if no claim can be added, it is called at once
 * with CLAIM_STORE_UNAVAILABLE.
 */
void claims_begin(struct claims *c, const char *account, const char *route,
		  const char *key, uint64_t fingerprint, const char *request,
		  int64_t deadline_us, const struct claim_done *done,
		  int64_t now);
/* Cancels the report to a requester; a claim acquired later is released. */
void claims_cancel_wait(struct claims *c, uint64_t tag);
/* Ends a claim whose request ran; answer may be NULL. */
void claims_finish(struct claims *c, uint64_t claim,
		   const struct message *answer, int64_t now);
/* Ends a claim whose request did not run. */
void claims_release(struct claims *c, uint64_t claim, int64_t now);
/* Ends a claim whose request may have run, with an unknown result. */
void claims_mark_unresolved(struct claims *c, uint64_t claim, int64_t now);
/* Whether no claim is held and no write or first cleanup read is pending. */
bool claims_idle(const struct claims *c);
/* Writes records again that were lost: see store_on_replaced. */
void claims_store_replaced(struct claims *c, int64_t now);
/* Lists the claims without an outcome as a JSON array; done is called once. */
void claims_list(struct claims *c, void *ctx, uint64_t tag,
		 void (*done)(void *ctx, uint64_t tag, const char *json,
			      const struct error *err),
		 int64_t now);

/* Poison gossip: tells other nodes of requests that crash upstreams. */
struct poison_gossip;

struct poison_gossip_options {
	struct control_io io;
	struct members *members;
	struct poison *poison; /* not freed with the controller */
};

struct poison_gossip *poison_gossip_new(const struct poison_gossip_options *o);
void poison_gossip_free(struct poison_gossip *g);
void poison_gossip_tick(struct poison_gossip *g, int64_t now); /* every 5 ms */
void poison_gossip_receive(struct poison_gossip *g, const struct peer_msg *msg,
			   int64_t now);

/* Explain: a ring of decision records, and counts of decisions per minute. */
struct explain;

enum decision_kind {
	DECISION_ADMITTED,
	DECISION_REFUSED,
	DECISION_PLACED, /* the entry chose an upstream */
	DECISION_RETRIED,
	DECISION_QUEUED,  /* at the gate */
	DECISION_RUN,	  /* the gate sent it to the upstream */
	DECISION_DROPPED, /* by the gate */
	DECISION_ANSWERED,
	DECISION_CANCELLED,
	DECISION_OBSERVED, /* would be refused if limits were enforced */
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
	char peer[ADDR_TEXT_SIZE]; /* upstream or node concerned */
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
/* Copies up to max records of a request, or of all in a root's chain. */
size_t explain_find(const struct explain *e, const char *id,
		    struct decision *out, size_t max);
/* Wall time in us of the oldest record in the ring, 0 when it is empty. */
int64_t explain_oldest_us(const struct explain *e);
/* Most memory in bytes that records, index and counts take. */
size_t explain_bytes(const struct explain *e);

/* Equal decisions in minutes that are close together, and their number. */
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
	uint64_t key; /* hash of all but n and minutes; 0 until merged */
};

/* Lists counts of an account, NULL for all, since a minute, oldest first. */
size_t explain_spans(const struct explain *e, const char *account,
		     int64_t since_min, struct explain_span *out, size_t max);
/* Merges a span into a list of n; returns the new length, at most max. */
size_t explain_merge(struct explain_span *list, size_t n, size_t max,
		     const struct explain_span *s);

/* Text for operators: one record, or a summary of an account's counts. */
int explain_sentence(const struct decision *d, const char *host,
		     struct buffer *out);
int explain_summary(const struct explain_span *spans, size_t n,
		    const char *account, int64_t now_min, struct buffer *out);

#endif
