/*
 * Account limits enforced over all hosts. The limits of each account group are
 * divided into shares, which a ledger in the store records. The pool and the
 * slices of a group always add up to SHARE_ALL, because every change is one
 * transaction on the pool and one slice.
 *
 *   quota/p/GROUP         the pool: the share that no node holds
 *   quota/s/NODE/GROUP    a slice: the share that one node holds
 *
 * An account group is a single account or, if the settings name the data
 * centres, one data centre's part of several accounts. In the second case the
 * number of store calls grows with the number of groups instead of accounts,
 * and the part of a data centre moves between its own nodes only.
 *
 * A node with share s (as a fraction of SHARE_ALL) refills each account of the
 * group at rate * limit_fraction * s up to burst * limit_fraction * s, less the
 * tokens that it has lent. Hence the tokens of all nodes together never exceed
 * the burst, and their refills never exceed the rate.
 */
#ifndef CONTROL_QUOTA_IMPL_H
#define CONTROL_QUOTA_IMPL_H

#include <gsl/gsl_rng.h>
#include <uthash.h>

#include "control/control.h"

/*
 * Divisible by every number up to 15, so that small bursts split into whole
 * tokens.
 */
#define SHARE_ALL 720720000u

/* Holds "#NUMBER@DATA_CENTRE" or the name of an account. */
#define GROUP_NAME_SIZE STANDBY_GROUP_SIZE

/*
 * The hold period: the usable share of a node halves for each half of it that
 * passes without a confirmed write.
 */
#define DEFAULT_HOLD_US (3600 * USEC_PER_SEC)

/* Each slice is rewritten at least this often per hold period. */
#define RENEWALS_PER_HOLD 4

#define LOAN_LIFETIME_US (200 * USEC_PER_MSEC)
#define LOANS_IN_MAX 16
#define LOANS_OUT_MAX 256
#define LOAN_REQUESTS_KEPT 8
#define OWNERS_MAX 25
#define WIRE_UNITS_PER_TOKEN 1000.0 /* messages carry thousandths */

/* Tokens borrowed from another node, to be spent before they expire. */
struct loan_in {
	uint64_t id;
	struct addr lender;
	double tokens_left;
	int64_t expires_us;
};

/*
 * Tokens lent to another node. They count against this node's burst until the
 * borrower reports the loan as spent or it expires.
 */
struct loan_out {
	uint64_t id;
	struct addr borrower;
	double tokens;
	int64_t expires_us;
};

/* A loan request that is pending or was sent recently. */
struct sent_request {
	uint64_t id;
	int64_t sent_us;
	uint64_t limits_hash;
	bool answered;
};

/*
 * A node to request loans from: an owner, or the runner-up of this node's data
 * centre.
 */
struct owner {
	struct addr node;
	bool same_data_centre;
	/* With account groups, the node that ranks second may hold the slice. */
	struct addr second;
	bool has_second;
	bool asks_second;
};

/*
 * The lease of a slice of a multi-account group, at its holder. The standby may
 * take the slice, under the revision that the beats name, once it has received
 * no beat for longer than the lease; the holder spends only until then.
 */
struct standby_lease {
	bool guarded; /* the standby may have the right to take the slice */
	bool lost;    /* being written again */
	struct addr standby;
	int64_t revision; /* under which the standby may take the slice */
	int64_t until_us; /* if guarded */
	int64_t consented_us;
	struct addr probed; /* candidate that beats were last sent to */
	int64_t candidate_heard_us;
	int64_t next_beat_us;
	int64_t next_probe_us;
	int64_t unguarded_until_us;
};

/* The right to take the slice of a silent holder. */
struct standby_guard {
	bool active;
	struct addr holder;
	int64_t revision;
	uint32_t share;
	int64_t heard_us;
	int64_t next_take_us;
	/* The newest beat of any holder. */
	struct addr last_from;
	int64_t last_sent_us;
	int64_t last_heard_us;
};

/* A pool or slice in the ledger, as last read or written. */
struct ledger_record {
	uint32_t share;
	uint64_t incarnation;
	int64_t mod_revision; /* 0: the key does not exist */
	bool damaged;	      /* by another writer: its share is not known */
	/* A slice only: the node that may take it under this revision. */
	bool has_standby;
	struct addr standby;
};

#define LEDGER_TEXT_SIZE 192

/* One account, or one data centre's part of several accounts. */
struct account_group {
	char name[GROUP_NAME_SIZE];
	uint64_t hash_key; /* of the rendezvous hash that chooses owners */
	/* Fraction of the limits of each account that SHARE_ALL stands for. */
	double limit_fraction;
	double burst; /* of the single account; 0 if multi_account */
	bool multi_account;
	bool withdrawn; /* the single account left the configuration */

	/* State of the ledger, and the share that this node wants. */
	struct ledger_record pool;
	struct ledger_record slice;
	uint32_t share; /* confirmed by the store */
	/* Wanted share; caps spending even before the store confirms it. */
	uint32_t desired_share;
	int64_t confirmed_us; /* when the last confirmed write was sent */
	int64_t hold_us;      /* copy of quota.hold_us */
	bool writing;
	int64_t sent_us;
	uint32_t proposed_share;
	bool creates_pool;
	int64_t next_write_us;
	bool uncounted; /* a slice was lost: the pool has to be counted */
	int64_t damaged_since_us; /* when that was found; 0: it is not so */
	uint32_t failures;

	/* The nodes that should hold slices and lend to the other nodes. */
	struct owner owners[OWNERS_MAX];
	size_t owner_count;
	int64_t owners_updated_us;
	size_t live_members; /* at the last update of owners */
	bool is_owner;
	int64_t owner_since_us;
	int64_t not_owner_since_us;
	int64_t active_us; /* last demand or loan request; 0: never */
	uint32_t owner_share;

	/* The other node of this data centre that ranks highest. */
	struct addr candidate;
	bool has_candidate;
	bool ranks_second; /* this node, in its data centre */
	struct standby_lease lease;
	/* The standby that the renewal under way names. */
	bool renews_guarded;
	struct addr renewed_standby;
	struct standby_guard guard;
	int64_t other_holder_until_us;

	struct quota_account *accounts;
	UT_hash_handle hh;
};

struct quota_account {
	char name[NAME_SIZE];
	struct account_group *group;
	struct quota_account *sibling; /* next of the same group */
	double rate;
	double burst;
	/* Hash of rate and burst; a loan is valid for these limits only. */
	uint64_t limits_hash;
	bool withdrawn;

	/* Tokens. */
	double level;
	double suspended; /* tokens that a lost lease keeps from being spent */
	int64_t refilled_us;
	double lent;
	struct loan_in loans_in[LOANS_IN_MAX];
	size_t loans_in_count;
	struct loan_out *loans_out;
	size_t loans_out_count;
	size_t loans_out_size;
	struct quota_account *prev, *next; /* of quota.loan_accounts */
	bool in_loan_list;

	/* Demand, and the current round of loan requests to owners. */
	double demand_per_s;
	uint32_t demand_count;
	int64_t demand_at_us;
	uint32_t waiting; /* requests that wait for a loan */
	bool requesting;
	size_t next_owner;
	struct sent_request requests[LOAN_REQUESTS_KEPT];
	size_t requests_sent;
	int64_t backoff_until_us;
	int64_t backoff_us;
	double borrowed_in_round;
	/*
	 * What each owner had left when it answered in this round, and whether
	 * the round asks the owners for fractions that make a whole token.
	 */
	double left_at_owner[OWNERS_MAX];
	bool gathering;
	bool unanswered; /* an owner did not answer in this round */
	bool turned;	 /* to the owner's second node, in this round */
	int64_t gathered_us;
	uint32_t gathers_pending;
	bool had_tokens; /* from a slice or a loan since the process started */

	UT_hash_handle hh;
};

struct reclaim;
struct repair;

struct quota {
	struct quota_options o;
	char self[ADDR_TEXT_SIZE];
	struct quota_account *accounts;
	struct account_group *account_groups;
	struct account_group *cursor; /* next group that the tick processes */
	struct quota_account *loan_accounts; /* with loans or requests */
	struct config *config;
	gsl_rng *rng;
	uint64_t next_id;
	int64_t started_us;
	int64_t hold_us;
	/* Last group for which slices were acquired before any demand. */
	struct account_group *preacquire_cursor;
	bool preacquire_done;
	/* No slice is written before; see quota_store_replaced. */
	int64_t ledger_settled_us;
	/* Slices of an earlier process at this address have been read. */
	bool own_slices_listed;
	bool list_pending;
	int64_t next_list_us;
	char list_after[STORE_KEY_SIZE];
	uint32_t writes_pending;
	int64_t next_renew_us;
	bool renew_pending;
	struct account_group *renewing[STORE_TXN_OPS_MAX];
	size_t renewing_count;
	int64_t renew_sent_us;
	bool leaving;
	bool returns_slices; /* to the pool, while leaving */
	struct reclaim *reclaim;
	struct repair *repair;
};

struct quota_account *quota_find(struct quota *q, const char *name);

/* Tokens. */
double quota_decay(const struct account_group *g, int64_t now);
void quota_refill(struct quota_account *a, int64_t now);
void quota_refill_all(struct account_group *g, int64_t now);
double quota_prefetch_target(const struct quota_account *a);
bool quota_spend(struct quota *q, struct quota_account *a, int64_t now);

/* Account groups. */
struct account_group *group_for_account(struct quota *q, const char *account,
					int64_t now);
struct account_group *group_find(struct quota *q, const char *name);
void groups_free(struct quota *q);

/* Ledger. */
void ledger_slice_key(const struct quota *q, const char *group,
		      char key[STORE_KEY_SIZE]);
void ledger_pool_key(const char *group, char key[STORE_KEY_SIZE]);
void ledger_holder_key(const char *node, const char *group,
		       char key[STORE_KEY_SIZE]);
void ledger_adopt_slice(struct quota *q, struct account_group *g,
			const struct ledger_record *r, int64_t now);
int ledger_split_key(const char *key, struct addr *node, const char **group);
bool ledger_holder_runs(const struct quota *q, const struct addr *node);
bool ledger_list_goes_on(const struct store_result *r, size_t page);
int ledger_parse(struct ledger_record *r, const struct store_entry *e);
void ledger_format(const struct ledger_record *r, char text[LEDGER_TEXT_SIZE]);
void ledger_renew(struct quota *q, int64_t now);
void ledger_tick(struct quota *q, int64_t now);

/* Owners: the nodes that should hold slices of a group. */
void owners_update(struct quota *q, struct account_group *g, int64_t now);

/* Loans. */
enum quota_lack loans_lack(const struct quota_account *a);
const struct addr *loans_owner_node(const struct owner *o);
void loans_expire(struct quota *q, struct quota_account *a, int64_t now);
bool loans_start_round(struct quota *q, struct quota_account *a, int64_t now);
void loans_list_add(struct quota *q, struct quota_account *a);
void loans_tick(struct quota *q, struct quota_account *a, int64_t now);
void loans_receive(struct quota *q, const struct peer_msg *msg, int64_t now);
void loans_return_fractions(struct quota *q, struct quota_account *a);
void loans_report_spent(struct quota *q, struct quota_account *a,
			const struct loan_in *loan);

/* Standbys: nodes that take the slice of a silent holder. */
bool standby_lease_lost(const struct account_group *g, int64_t now);
bool standby_other_holds(const struct account_group *g, int64_t now);
void standby_slice_changed(struct account_group *g);
void standby_receive(struct quota *q, const struct peer_msg *msg, int64_t now);
void standby_leave(struct quota *q, int64_t now);
void standby_tick(struct quota *q, int64_t now);
void standby_store_replaced(struct quota *q);

/* Entries that another writer has overwritten. */
struct repair *repair_new(void);
bool repair_group(struct quota *q, struct account_group *g, int64_t now);

/* Reclaims slices of hosts that are no longer alive. */
struct reclaim *reclaim_new(void);
void reclaim_free(struct reclaim *r);
void reclaim_tick(struct quota *q, int64_t now);
void reclaim_store_replaced(struct quota *q, int64_t now);

#endif
