/*
 * Account limits over all hosts. The ledger in the store splits what is held
 * into shares; pool and slices of a holding always add up to SHARE_ALL,
 * because every change is one transaction on the pool and one slice.
 *
 *   quota/p/HOLDING         the share that nobody holds
 *   quota/s/NODE/HOLDING    the share that one node holds
 *
 * A holding is one account, or, where settings name the data centres, the
 * part of one data centre of a group of accounts: then the calls to the store
 * grow with groups and not with accounts, and a data centre's part moves
 * between its own nodes only. A holder of share s refills each account at
 * rate * part * s up to burst * part * s, less what it has lent out. So all
 * tokens that exist never pass the burst, and all refills together never pass
 * the rate.
 */
#ifndef CONTROL_QUOTA_IMPL_H
#define CONTROL_QUOTA_IMPL_H

#include <gsl/gsl_rng.h>
#include <uthash.h>

#include "control/control.h"

/* Divides by every number up to 15: small bursts split into whole tokens. */
#define SHARE_ALL 720720000u

/* A group's number and sign, and a data centre; or an account. */
#define GROUP_NAME_SIZE (NAME_SIZE + 8)

/* A share halves for each half of a hold without a confirmed write. */
#define DEFAULT_HOLD_US (3600 * USEC_PER_SEC)
#define RENEWALS_PER_HOLD 4 /* of a hold, between signs of life */

#define LOAN_LIFETIME_US (200 * USEC_PER_MSEC)
#define LOANS_IN_MAX 16
#define LOANS_OUT_MAX 256
#define LOAN_REQUESTS_KEPT 8
#define OWNERS_MAX 25
#define WIRE_UNITS_PER_TOKEN 1000.0 /* tokens travel in thousandths */

/* A loan that this node may spend until it expires. */
struct loan_in {
	uint64_t id;
	struct addr lender;
	double left;
	int64_t expires_us;
};

/* A loan that this node gave; it counts against the burst until freed. */
struct loan_out {
	uint64_t id;
	struct addr borrower;
	double tokens;
	int64_t expires_us;
};

/* A question under way or lately asked. */
struct sent_request {
	uint64_t id;
	int64_t sent_us;
	uint64_t limits_hash;
	bool answered;
};

/* A node to ask for loans: a home, or the next one in rank. */
struct owner {
	struct addr node;
	bool same_data_centre;
};

/* A record of the ledger as last read or written. */
struct ledger_record {
	uint32_t share;
	uint64_t incarnation;
	int64_t mod_revision; /* 0: absent */
};

/* What nodes hold slices of: one account, or a data centre's part of many. */
struct account_group {
	char name[GROUP_NAME_SIZE];
	uint64_t hash_key;
	double limit_fraction; /* of the limits of each account, which the pool is */
	double burst;	       /* of its one account; 0 for a group */
	bool multi_account;
	bool withdrawn; /* its one account */

	/* What the ledger says, and what this node wants of it. */
	struct ledger_record pool;
	struct ledger_record slice;
	uint32_t share;	  /* confirmed */
	uint32_t desired; /* spends at most this, even before confirmed */
	int64_t confirmed_us;
	int64_t hold_us; /* of the controller */
	bool writing;
	int64_t sent_us;
	uint32_t proposed;
	bool creates_pool;
	int64_t next_write_us;
	uint32_t failures;

	/* The nodes that should hold slices, which lend to the others. */
	struct owner owners[OWNERS_MAX];
	size_t owner_count;
	int64_t owners_updated_us;
	size_t live_members; /* members that lived then */
	bool is_owner;
	int64_t owner_since_us;
	int64_t not_owner_since_us;
	int64_t active_us; /* last demand or question; 0: never */
	uint32_t owner_share;

	struct quota_account *accounts;
	UT_hash_handle hh;
};

struct quota_account {
	char name[NAME_SIZE];
	struct account_group *group;
	struct quota_account *sibling; /* next of the same holding */
	double rate;
	double burst;
	uint64_t
		limits_hash; /* of rate and burst: a loan is good for one only */
	bool withdrawn;

	/* Tokens. */
	double level;
	int64_t refilled_us;
	double lent;
	struct loan_in loans_in[LOANS_IN_MAX];
	size_t loans_in_count;
	struct loan_out *loans_out;
	size_t loans_out_count;
	size_t loans_out_size;
	struct quota_account *prev, *next; /* those with loans or questions */
	bool in_loan_list;

	/* Demand, and the round of questions to lenders. */
	double demand_s;
	uint32_t demand_count;
	int64_t demand_at_us;
	uint32_t waiting;
	bool requesting;
	size_t next_owner;
	struct sent_request requests[LOAN_REQUESTS_KEPT];
	size_t requests_sent;
	int64_t backoff_until_us;
	int64_t backoff_us;
	double borrowed_in_round;
	bool had_tokens; /* of a slice or a loan, since the start */

	UT_hash_handle hh;
};

struct reclaim;

struct quota {
	struct quota_options o;
	char self[ADDR_TEXT_SIZE];
	struct quota_account *accounts;
	struct account_group *account_groups;
	struct account_group *cursor;	     /* of the walk over the tick */
	struct quota_account *loan_accounts; /* with loans or questions */
	struct config *config;
	gsl_rng *rng;
	uint64_t next_id;
	int64_t started_us;
	int64_t hold_us;
	struct account_group
		*preacquire_cursor; /* next one without demand to look at */
	bool preacquire_done;
	bool own_slices_listed; /* slices of an earlier process here were looked for */
	bool list_pending;
	int64_t next_list_us;
	char list_after[STORE_KEY_SIZE];
	uint32_t writes_pending; /* under way */
	int64_t next_renew_us;
	bool renew_pending;
	struct account_group *renewing[STORE_TXN_OPS_MAX];
	size_t renewing_count;
	int64_t renew_sent_us;
	bool leaving;
	bool returns_slices; /* slices go back at the stop */
	struct reclaim *reclaim;
};

struct quota_account *quota_find(struct quota *q, const char *name);

/* Tokens. */
double quota_decay(const struct account_group *g, int64_t now);
void quota_refill(struct quota_account *a, int64_t now);
void quota_refill_all(struct account_group *g, int64_t now);
double quota_prefetch_target(const struct quota_account *a);
bool quota_spend(struct quota *q, struct quota_account *a, int64_t now);

/* Holdings. */
struct account_group *group_for_account(struct quota *q, const char *account,
					int64_t now);
struct account_group *group_find(struct quota *q, const char *name);
void groups_free(struct quota *q);

/* Ledger. */
void ledger_slice_key(const struct quota *q, const char *group,
		      char key[STORE_KEY_SIZE]);
void ledger_pool_key(const char *group, char key[STORE_KEY_SIZE]);
int ledger_parse(struct ledger_record *r, const struct store_entry *e);
void ledger_format(const struct ledger_record *r, char text[96]);
void ledger_renew(struct quota *q, int64_t now);
void ledger_tick(struct quota *q, int64_t now);

/* Homes: the nodes that hold slices of an account. */
void owners_update(struct quota *q, struct account_group *g, int64_t now);

/* Loans. */
void loans_expire(struct quota *q, struct quota_account *a, int64_t now);
bool loans_start_round(struct quota *q, struct quota_account *a, int64_t now);
void loans_list_add(struct quota *q, struct quota_account *a);
void loans_tick(struct quota *q, struct quota_account *a, int64_t now);
void loans_receive(struct quota *q, const struct peer_msg *msg, int64_t now);
void loans_report_spent(struct quota *q, struct quota_account *a,
			const struct loan_in *loan);

/* Slices of hosts that went silent. */
struct reclaim *reclaim_new(void);
void reclaim_free(struct reclaim *r);
void reclaim_tick(struct quota *q, int64_t now);

#endif
