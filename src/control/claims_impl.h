/* What the files of the claims controller share. */
#ifndef CONTROL_CLAIMS_IMPL_H
#define CONTROL_CLAIMS_IMPL_H

#include "control/control.h"

#include <uthash.h>

#define CLAIM_PREFIX "claims/"
#define CLAIM_KEY_SIZE 64
#define CLAIM_TOKEN_SIZE 25
#define CLAIM_ANSWER_MAX (16 * 1024)
#define CLAIM_CALL_US (2 * USEC_PER_SEC) /* timeout of a call to the store */

enum record_state {
	RECORD_CLAIMED,
	RECORD_DONE,
	RECORD_UNRESOLVED,
};

/* The value of a claim in the store; strings point into what was decoded. */
struct claim_record {
	enum record_state state;
	char holder[ADDR_TEXT_SIZE];
	uint64_t incarnation;
	char request[REQUEST_ID_SIZE];
	char token[CLAIM_TOKEN_SIZE]; /* random: of one attempt to claim */
	char account[NAME_SIZE];
	char route[NAME_SIZE];
	uint64_t fingerprint;
	int64_t wall_us;
	int status; /* of the answer; 0: none kept */
	char content_type[128];
	const uint8_t *body;
	size_t body_len;
};

int record_encode(const struct claim_record *r, struct buffer *out);
/* body points into data; -1 when malformed. */
int record_decode(struct claim_record *r, const void *data, size_t len);

enum phase {
	PHASE_WAIT,    /* another claim of this node on the same key */
	PHASE_CREATE,  /* to be written, or its write is under way */
	PHASE_HELD,    /* ours, and reported as fresh */
	PHASE_ENDING,  /* its end is to be written */
	PHASE_CLEANUP, /* may be in the store, though nobody wants it */
};

/*
 * A transaction fails as a whole, so claims whose keys were just read go by
 * themselves: under many repeats nearly every batch of unread ones fails.
 */
enum batch_kind {
	BATCH_READ_KEYS,
	BATCH_UNREAD_KEYS,
};
#define BATCH_KINDS 2

enum claim_outcome {
	CLAIM_OUTCOME_DONE,
	CLAIM_OUTCOME_UNRESOLVED,
	CLAIM_OUTCOME_REMOVED,
};

struct claim {
	char key[CLAIM_KEY_SIZE];
	uint64_t handle;
	UT_hash_handle hh; /* by key; not in PHASE_WAIT and PHASE_CLEANUP */
	enum phase phase;
	enum claim_outcome outcome;
	enum batch_kind batch_kind;
	struct claim_record record; /* without its answer */
	struct buffer value;	    /* of the next write */
	int64_t expected_revision;  /* revision that the next write replaces */
	int64_t not_before_us;
	int64_t deadline_us;
	int64_t ended_us; /* PHASE_ENDING: since when */
	struct claim_done done;
	uint32_t cleanup_reads;
	bool requester_waiting; /* the requester still waits */
	bool in_flight;
	bool maybe_written; /* a write of it ended as unknown */
};

/* Claims of one transaction. */
struct batch {
	enum batch_kind kind;
	uint64_t claims[STORE_TXN_OPS_MAX];
	size_t n;
	size_t bytes;
};

struct claims {
	struct claims_options options;
	char self[ADDR_TEXT_SIZE];
	int64_t started_us;
	struct table table;   /* of struct claim * */
	struct claim *by_key; /* the one that may write each key */
	struct table batches; /* of struct batch * */
	struct table lists;   /* of struct claim_listing * */
	uint32_t batches_in_flight[BATCH_KINDS]; /* batches */
	int64_t last_batch_us[BATCH_KINDS];	 /* the newest batch of each */
	struct batch cleanup; /* given-up claims being read or removed */
	bool cleanup_busy;
	int64_t backoff_us; /* grows while the store fails */
	size_t batch_max;   /* claims in one transaction */
	int64_t lease;
	int64_t lease_granted_us;
	int64_t lease_retry_us;
	bool lease_requested;
};

struct claim *claim_get(const struct claims *c, uint64_t handle);
void claim_remove(struct claims *c, struct claim *e);
void claim_report(struct claim *e, enum claim_state state,
		  const struct message *answer, int64_t now);
/* The store is certain to hold our claim. */
void claim_acquired(struct claims *c, struct claim *e, int64_t mod_revision,
		    int64_t now);
void claim_set_outcome(struct claims *c, struct claim *e,
		       enum claim_outcome outcome, int64_t now);
void claim_submit(struct claims *c, struct store_op *op, uint64_t tag,
		  void (*fn)(void *ctx, uint64_t tag,
			     const struct store_result *r, int64_t now),
		  int64_t now);

/* Writes what is due, in batches. */
void claims_flush(struct claims *c, int64_t now);
/* Decides on a claim whose key another one has. */
void claim_resolve_conflict(struct claims *c, struct claim *e,
			    const struct store_entry *found, int64_t now);
bool claim_holder_alive(const struct claims *c, const struct claim_record *r,
			int64_t now);
/* Lists a claim's answer as a message; the caller frees it. */
int record_to_message(const struct claim_record *r, struct message *m);

void claim_discard(struct claims *c, struct claim *e, uint32_t cleanup_reads,
		   int64_t now);
void claims_cleanup_tick(struct claims *c, int64_t now);
const struct store_entry *claim_find_entry(const struct store_result *r,
					   const char *key);

/* The lease of done claims; 0 while there is none. */
void claims_lease_tick(struct claims *c, int64_t now);
void claims_lease_lost(struct claims *c);

void claims_lists_free(struct claims *c);

#endif
