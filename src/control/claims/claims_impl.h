/* Internal interface shared by the source files of the claims controller. */
#ifndef CONTROL_CLAIMS_IMPL_H
#define CONTROL_CLAIMS_IMPL_H

#include "control/control.h"

#include <uthash.h>

#define CLAIM_PREFIX "claims/"
#define CLAIM_KEY_SIZE 64
#define CLAIM_TOKEN_SIZE 25
#define CLAIM_ANSWER_MAX (16 * 1024)
#define CLAIM_BATCH_BYTES_MAX (512 * 1024)
#define CLAIM_CALL_US (2 * USEC_PER_SEC) /* timeout of a store call */

enum record_state {
	RECORD_CLAIMED,
	RECORD_DONE,
	RECORD_UNRESOLVED,
};

/* The value stored under a claim's key. */
struct claim_record {
	enum record_state state;
	char holder[ADDR_TEXT_SIZE];
	uint64_t incarnation;
	char request[REQUEST_ID_SIZE];
	char token[CLAIM_TOKEN_SIZE]; /* random; identifies one claim */
	char account[NAME_SIZE];
	char route[NAME_SIZE];
	uint64_t fingerprint;
	int64_t wall_us;
	int status; /* of the answer; 0: no answer is stored */
	char content_type[128];
	const uint8_t *body; /* not owned */
	size_t body_len;
};

/* Appends the encoded record to out; -1: too long or out of memory. */
int record_encode(const struct claim_record *r, struct buffer *out);
/* Decodes a record; its body points into data. -1: malformed. */
int record_decode(struct claim_record *r, const void *data, size_t len);

enum phase {
	PHASE_WAIT,    /* not started, or another claim here has the key */
	PHASE_CREATE,  /* to be written, or being written */
	PHASE_HELD,    /* stored, and reported as CLAIM_FRESH */
	PHASE_ENDING,  /* its outcome is to be written */
	PHASE_CLEANUP, /* discarded, but may be in the store */
};

/*
 * A transaction fails as a whole if one of its compares fails. With many
 * repeated requests nearly every batch of unread keys contains an existing key
 * and fails, so claims whose keys were read by a failed transaction are
 * written in batches of their own.
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
	UT_hash_handle hh; /* in by_key; not in PHASE_WAIT and PHASE_CLEANUP */
	enum phase phase;
	enum claim_outcome outcome;
	enum batch_kind batch_kind;
	struct claim_record record; /* without the answer's body */
	struct buffer value;	    /* of the next write */
	int64_t expected_revision;  /* that the next write replaces; 0: none */
	int64_t not_before_us;
	int64_t deadline_us;
	int64_t ended_us; /* start of PHASE_ENDING */
	struct claim_done done;
	uint32_t cleanup_reads; /* of the key; see claims_cleanup.c */
	bool requester_waiting; /* the callback is still to be called */
	bool in_flight;
	bool maybe_written; /* a write had an unknown result */
	bool remembered;    /* its record is among claims.written */
};

/* Claims of one transaction. */
struct batch {
	enum batch_kind kind;
	uint64_t claims[STORE_TXN_OPS_MAX];
	size_t n;
	size_t bytes;
};

/* A record that this node wrote of late; see claims_restore.c. */
struct written {
	char key[CLAIM_KEY_SIZE];
	struct buffer value;
	int64_t written_us;
	int64_t expected_revision; /* that writing it again replaces */
	bool is_done;
	bool missing; /* the store may have lost it */
	bool in_batch;
};

struct claims {
	struct claims_options options;
	char self[ADDR_TEXT_SIZE];
	int64_t started_us;
	struct table table;   /* of struct claim * */
	struct claim *by_key; /* the claim that may write each key */
	struct table batches; /* of struct batch * */
	struct table lists;   /* of struct claim_listing * */
	uint32_t batches_in_flight[BATCH_KINDS];
	int64_t last_batch_us[BATCH_KINDS]; /* start of the newest batch */
	struct batch cleanup; /* discarded claims being read or removed */
	bool cleanup_busy;
	int64_t backoff_us; /* grows while store calls fail */
	size_t batch_max;   /* claims per transaction */
	int64_t lease;	    /* for the records of done claims; 0: none */
	int64_t lease_granted_us;
	int64_t lease_retry_us;
	bool lease_requested;
	struct written *written; /* a ring; NULL until the first */
	size_t written_first;
	size_t written_count;
	size_t written_bytes;
	int64_t restored_us; /* when the store's history was replaced */
	int64_t restore_next_us;
	bool restoring; /* some of written are missing */
	bool restore_busy;
};

/* Returns NULL if there is no such claim. */
struct claim *claim_get(const struct claims *c, uint64_t handle);
/* Frees a claim without writing to the store. */
void claim_remove(struct claims *c, struct claim *e);
/* Calls the requester's callback, unless it was called before. */
void claim_report(struct claim *e, enum claim_state state,
		  const struct message *answer, int64_t now);
/* Handles that the store is known to hold this claim. */
void claim_acquired(struct claims *c, struct claim *e, int64_t mod_revision,
		    int64_t now);
/* Sets the outcome that the next flush writes for an acquired claim. */
void claim_set_outcome(struct claims *c, struct claim *e,
		       enum claim_outcome outcome, int64_t now);
/* Submits a store call; fn gets the controller as ctx. */
void claim_submit(struct claims *c, struct store_op *op, uint64_t tag,
		  void (*fn)(void *ctx, uint64_t tag,
			     const struct store_result *r, int64_t now),
		  int64_t now);

/* Writes due claims and outcomes in batches. */
void claims_flush(struct claims *c, int64_t now);
/* Handles a claim whose key has a record in the store. */
void claim_resolve_conflict(struct claims *c, struct claim *e,
			    const struct store_entry *found, int64_t now);
/* Whether the process that wrote a record is alive, as far as is known. */
bool claim_holder_alive(const struct claims *c, const struct claim_record *r,
			int64_t now);
/* Builds the stored answer, which the caller frees; -1: out of memory. */
int record_to_message(const struct claim_record *r, struct message *m);

/* Gives up a claim that did not run; see claims_cleanup.c. */
void claim_discard(struct claims *c, struct claim *e, uint32_t cleanup_reads,
		   int64_t now);
void claims_cleanup_tick(struct claims *c, int64_t now);
/* Returns the entry of a key, or NULL. */
const struct store_entry *claim_find_entry(const struct store_result *r,
					   const char *key);

/* Maintains the lease that records of done claims are written with. */
void claims_lease_tick(struct claims *c, int64_t now);
/* Drops a lease that the store no longer knows. */
void claims_lease_lost(struct claims *c);

/* Remembers the record of a claim, in case the store loses it. */
void claim_remember(struct claims *c, struct claim *e, int64_t now);
void claim_forget(struct claims *c, struct claim *e);
void claims_restore_tick(struct claims *c, int64_t now);
void claims_written_free(struct claims *c);

void claims_lists_free(struct claims *c);

#endif
