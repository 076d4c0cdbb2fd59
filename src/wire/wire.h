/*
 * Messages between nodes and their msgpack encoding. Encoders append to a
 * buffer. Decoders check every length before they allocate memory, and return
 * -1 for malformed input.
 */
#ifndef WIRE_WIRE_H
#define WIRE_WIRE_H

#include "base/base.h"
#include "conf/conf.h"

#define FRAME_PAYLOAD_MAX (16 * 1024) /* body bytes in one frame */
#define FRAME_MAX (64 * 1024)	      /* a sealed frame of any kind */
/* Each has five bytes at least, so heads of 16 KB hold fewer. */
#define HEADERS_MAX 4096
#define HEADERS_OF_NODE_MAX 16 /* of these, kept for those that nodes set */
#define HEADER_BYTES_MAX (32 * 1024)
#define DATAGRAM_MAX 1200
#define PEER_BYTES_MAX (48 * 1024) /* text or bytes in one peer message */

/* One HTTP message; names are lower case. */
struct header {
	char *name;
	char *value;
};

struct message {
	char method[METHOD_SIZE]; /* requests */
	char *target;		  /* path and query; requests */
	int status;		  /* answers */
	struct header *headers;
	size_t header_count;
	struct buffer body;
};

int message_add_header(struct message *m, const char *name, const char *value);
const char *message_header(const struct message *m, const char *name);
void message_remove_header(struct message *m, const char *name);
int message_copy(struct message *to, const struct message *from);
void message_free(struct message *m);

/* Outcome of a request. NOT_RUN is reported only when it is certain. */
enum outcome {
	OUTCOME_DONE,
	OUTCOME_NOT_RUN,
	OUTCOME_UNKNOWN,
};

const char *outcome_name(enum outcome o);

/* Why a request was refused, shed, stopped or failed. */
enum reason {
	REASON_NONE,
	REASON_BAD_REQUEST,
	REASON_BODY_TOO_LARGE,
	REASON_NO_ROUTE,
	REASON_NO_KEY,
	REASON_BAD_KEY,
	REASON_NOT_CONFIGURED,
	REASON_STALE_CONFIG,
	REASON_OVER_RATE,
	REASON_NO_QUOTA, /* no tokens obtained yet, at any rate */
	REASON_SHED,
	REASON_QUEUE_FULL,
	REASON_QUEUE_TIMEOUT,
	REASON_DEADLINE,
	REASON_NO_UPSTREAM,
	REASON_UPSTREAM_FAILED,
	REASON_UPSTREAM_MALFORMED,
	REASON_LINK_LOST,
	REASON_NO_IDEMPOTENCY_KEY,
	REASON_IDEMPOTENCY_MISMATCH,
	REASON_CLAIM_RUNNING,
	REASON_CLAIM_UNKNOWN,
	REASON_STORE_UNAVAILABLE,
	REASON_DUPLICATE,
	REASON_BAD_CONTEXT,
	REASON_CANCELLED,
	REASON_STOPPING,
	REASON_OVERLOADED,	 /* too many requests or bytes held */
	REASON_UPSTREAM_REFUSED, /* upstream reported: not run */
	REASON_POISON,		 /* upstreams ended that ran it */
	REASON_COLD,		 /* the upstream is cold; others may not be */
	REASON_NO_HOME_UPSTREAM, /* none in its home regions */
	REASON_EVACUATED,	 /* its data centre is out of service */
	REASON_COUNT
};

const char *reason_code(enum reason r);	    /* "over-rate" */
const char *reason_sentence(enum reason r); /* for a person */
int reason_status(enum reason r);	    /* HTTP status */

/* Admitted share of each shed class, 0 to ADMIT_ALL. */
#define ADMIT_ALL UINT16_MAX
struct admission {
	uint16_t admitted[SHED_CLASSES];
};

/* Sent from entry to gate, before the HTTP request. */
struct call_head {
	char request[REQUEST_ID_SIZE]; /* id of this hop */
	char root[REQUEST_ID_SIZE];    /* id of the chain's root request */
	char service[NAME_SIZE];
	char route[NAME_SIZE];
	char account[NAME_SIZE]; /* empty on anonymous routes */
	struct addr upstream;	 /* chosen by the entry */
	enum shed_class cls;
	uint16_t admit_hash;  /* of the root; see root_admit_hash */
	uint32_t deadline_ms; /* time left when sent */
	uint8_t allowance;    /* retries that this call may use */
	uint8_t depth;
	uint8_t attempt;
	bool once;
	bool trial; /* run it although it is refused: see poison.h */
	/* Regions that the root's account allows; not sent if unbounded. */
	struct home account_home;
	/* Calls of this account shed before they reached this gate. */
	uint32_t shed_unreported[SHED_CLASSES];
};

/* Sent from gate to entry, before the HTTP answer. */
struct answer_head {
	enum outcome outcome;
	enum reason reason;
	uint8_t allowance_left;
	uint16_t runs; /* upstream executions at and below this hop */
	/* Of the service in the chain that admits least. */
	struct admission admission;
	uint64_t bottleneck; /* hash of this service's name */
	uint32_t queue_us;   /* newest measured queueing time */
	uint32_t service_us; /* time at the upstream */
	uint32_t in_flight;  /* at the gate for this upstream */
	uint32_t retry_after_ms;
	bool leaving;
	uint32_t rate_milli; /* calls in 1000 s that it takes; 0: no limit */
	/* Running when the upstream ended, this one included; 0: it did not. */
	uint32_t ended_calls;
	uint64_t ended_incarnation; /* 0: no evidence against the call */
};

enum frame_kind {
	FRAME_CALL = 1,
	FRAME_ANSWER,
	FRAME_BODY,
	FRAME_CREDIT,
	FRAME_CANCEL,
	FRAME_PEER_MSG,
	FRAME_PING,
};

enum ping_kind {
	PING_REQUEST,
	PING_REPLY,
	PING_CLOSE, /* the sender opens no more streams on this link */
};

/*
 * The head of a call or answer announces the length of the body, which follows
 * in BODY frames.
 */
struct frame {
	enum frame_kind kind;
	uint32_t stream;
	union {
		struct {
			struct call_head head;
			struct message message; /* body empty */
			uint32_t body_len;
		} call;
		struct {
			struct answer_head head;
			struct message message;
			uint32_t body_len;
		} answer;
		struct {
			const uint8_t *data; /* into the decoded bytes */
			size_t len;
		} body;
		uint32_t credit; /* bytes */
		struct peer_msg *peer_msg;
		enum ping_kind ping;
	};
};

int frame_encode(const struct frame *f, struct buffer *out);
int frame_decode(struct frame *f, const uint8_t *data, size_t len,
		 struct error *err);
void frame_free(struct frame *f);

/* An upstream as announced on its host. */
enum upstream_state {
	UPSTREAM_READY,
	UPSTREAM_LEAVING,
	UPSTREAM_GONE,
};

struct upstream_info {
	char service[NAME_SIZE];
	struct addr addr;
	uint32_t slots;
	uint32_t connections;
	enum upstream_state state;
	uint32_t cold_ms; /* left when the gate published it; 0: warm */
};

#define UPSTREAMS_PER_HOST_MAX 8

/*
 * Processes of one upstream that have left, or began to leave: those that
 * started before started_ms, and the one that started then, as far as it
 * announced itself until sequence.
 */
struct departure {
	uint64_t instance;  /* hash of the id that the upstream goes by */
	int64_t started_ms; /* wall time */
	uint64_t sequence;  /* DEPARTED_FOR_GOOD: it will not return */
};

#define DEPARTED_FOR_GOOD UINT64_MAX
#define DEPARTURES_MAX 4 /* per host */

enum member_state {
	MEMBER_ALIVE,
	MEMBER_SUSPECT,
	MEMBER_LEAVING, /* planned stop: no new work */
	MEMBER_LEFT,
	MEMBER_DEAD,
};

/*
 * A node as known to the others. Of two records the one with the higher
 * incarnation, then version, is kept.
 */
struct member_info {
	char host[NAME_SIZE];
	char data_centre[NAME_SIZE];
	char region[NAME_SIZE];
	struct addr node_addr; /* identity of a member */
	struct addr admin;
	uint64_t incarnation; /* of the process: wall clock at start */
	uint32_t version;     /* raised by the member with each change */
	enum member_state state;
	struct upstream_info upstreams[UPSTREAMS_PER_HOST_MAX];
	uint8_t upstream_count;
	struct departure departures[DEPARTURES_MAX];
	uint8_t departure_count;
};

/* Returns an upper bound of the encoded size of a member, in bytes. */
size_t member_info_wire_size(const struct member_info *m);

enum peer_msg_kind {
	PEER_PROBE = 1,
	PEER_PROBE_ACK,	    /* sequence 0: carries changes only */
	PEER_PROBE_REQUEST, /* request to probe a target */
	PEER_MEMBERS_PULL,
	PEER_MEMBERS,
	PEER_NOTES_PULL,
	PEER_NOTE,
	PEER_SNAPSHOT,
	PEER_LOAN_REQUEST,
	PEER_LOAN_GRANT,
	PEER_LOAN_SPENT,
	PEER_QUERY,
	PEER_QUERY_RESPONSE,
	PEER_POISON,
	PEER_STANDBY,
};

#define MEMBERS_DIGESTS 256

struct loan_request {
	uint64_t id; /* unique at the borrower: detects repeats */
	char account[NAME_SIZE];
	uint64_t limits_hash; /* hash of rate and burst at the borrower */
	uint32_t tokens;      /* thousandths requested, or spent */
	uint32_t returned;    /* thousandths returned unspent */
	uint32_t rest;	      /* billionths beyond the thousandths of either */
};

struct loan_grant {
	uint64_t id;
	char account[NAME_SIZE];
	uint64_t limits_hash;
	uint32_t tokens;    /* thousandths; 0: none granted */
	uint32_t remaining; /* thousandths left at the lender; a hint */
	uint32_t rest;	    /* billionths beyond the thousandths of tokens */
	bool no_share;	    /* the lender holds no slice of the account */
};

enum standby_step {
	STANDBY_BEAT,	 /* of the holder of a slice, to its standby */
	STANDBY_ACK,	 /* the beat, returned */
	STANDBY_RELEASE, /* the standby will not take the slice */
};

#define STANDBY_GROUP_SIZE (NAME_SIZE + 8)

struct standby_msg {
	enum standby_step step;
	char group[STANDBY_GROUP_SIZE];
	uint64_t sent_us;  /* by the holder's clock */
	uint64_t revision; /* of the slice in the ledger */
	uint32_t share;
	bool consent; /* the standby may take the slice once beats end */
};

/* Keyed hash of what makes a request the same one again. */
struct fingerprint {
	uint64_t low;
	uint64_t high;
};

#define POISON_ENDS_MAX 6 /* remembered per request */

/* What nodes know of a request under which upstreams ended; see poison.h. */
struct poison_facts {
	struct fingerprint id;
	uint64_t epoch; /* raised when it is cleared of its evidence */
	uint64_t ends[POISON_ENDS_MAX]; /* incarnations that ended, sorted */
	uint8_t end_count;
	bool tried; /* was run once more since it is refused */
	char service[NAME_SIZE];
};

#define POISON_FACTS_MAX 6 /* in one message */

#define EVACUATIONS_MAX 16

/* The data centres that are out of service, as the sender knows. */
struct evacuations_info {
	bool known; /* false: it does not know, or is of an older build */
	int64_t era;
	int64_t revision; /* of the store */
	size_t n;
	struct {
		char data_centre[NAME_SIZE];
		int64_t age_ms; /* since the sender learnt of it */
	} items[EVACUATIONS_MAX];
};

/*
 * A control message between nodes. Each carries the sender's address,
 * incarnation and configuration number; probes also carry membership changes.
 */
struct peer_msg {
	enum peer_msg_kind kind;
	struct addr from; /* the sender's nodes address */
	uint64_t incarnation;
	uint64_t config_number;
	int64_t store_era;	  /* see struct store_origin; 0: unknown */
	int64_t store_era_age_ms; /* since the sender learnt of it */
	union {
		struct {
			uint64_t sequence;
			struct addr target; /* PROBE_REQUEST */
			struct member_info *changes;
			size_t change_count;
		} probe;
		struct {
			uint64_t
				digests[MEMBERS_DIGESTS]; /* of the requester */
		} members_pull;
		struct {
			struct member_info *items;
			size_t n;
			bool more;
		} members;
		struct {
			uint64_t after;
			uint64_t question; /* repeated by the answer */
		} notes_pull;
		struct {
			uint64_t number;
			int64_t age_ms; /* since it was accepted */
			struct buffer text;
			uint64_t question; /* that it answers; 0: none */
			struct evacuations_info evacuations;
		} note;
		struct {
			uint64_t number;
			uint32_t part;
			uint32_t parts;
			struct buffer bytes;
		} snapshot;
		struct loan_request loan_request;
		struct loan_grant loan_grant;
		struct loan_request loan_spent;
		struct standby_msg standby;
		struct {
			uint64_t id;
			struct buffer text; /* JSON */
		} query;
		struct {
			struct poison_facts items[POISON_FACTS_MAX];
			size_t n;
		} poison;
	};
};

int peer_msg_encode(const struct peer_msg *m, struct buffer *out);
int peer_msg_decode(struct peer_msg *m, const uint8_t *data, size_t len,
		    struct error *err);
void peer_msg_free(struct peer_msg *m);

/* Authenticated encryption of datagrams with the cluster secret. */
int datagram_seal(const uint8_t secret[SECRET_SIZE], const void *data,
		  size_t len, struct buffer *out);
int datagram_open(const uint8_t secret[SECRET_SIZE], const void *data,
		  size_t len, struct buffer *out);

#endif
