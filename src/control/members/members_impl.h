/*
 * Internal to the member controller, a SWIM-style membership protocol. There
 * is a record for each member; sets of records allow random and round-robin
 * selection without walking the table.
 */
#ifndef CONTROL_MEMBERS_IMPL_H
#define CONTROL_MEMBERS_IMPL_H

#include <gsl/gsl_rng.h>
#include <uthash.h>
#include <utlist.h>

#include "control/control.h"
#include "policy/policy.h"

#define MEMBERS_KNOWN_MAX 32768
#define CHANGES_MAX 40	    /* in one datagram */
#define UPDATE_SENDS_MAX 40 /* most sends of one change */
#define RELAYS_MAX 64	    /* concurrent probes for other members */
#define SHOWN_MAX 64	    /* unanswered probes that confirm self */
#define STORED_SEEDS_MAX 64
#define PROBE_PERIOD_US USEC_PER_SEC
#define PAUSE_MIN_US (2 * USEC_PER_SEC) /* gap between ticks that is a pause */

struct member;

/* Unordered; each member stores its position, so removal takes O(1). */
struct member_set {
	struct member **items;
	uint32_t n;
	uint32_t size;
};

enum set_kind {
	SET_PROBES, /* all members that are probed in turn */
	SET_STATUS, /* one of local, remote and gone, by state */
	SET_KINDS
};

struct member {
	struct member_info info; /* first: members_next() casts it back */
	/*
	 * Departures that an earlier process of the member told, until its
	 * present one tells them too; NULL: none.
	 */
	struct member_info *former;
	UT_hash_handle hh;	/* key: info.node_addr */
	uint64_t hash;		/* of info.node_addr */
	uint64_t data_centre;	/* hash of its name */
	uint64_t digest;	/* XORed into its bucket's digest */
	int64_t state_since_us; /* start of this state */
	struct member *bucket_prev;
	struct member *bucket_next;
	struct member *update_prev;
	struct member *update_next;
	struct member *suspect_prev;
	struct member *suspect_next;
	struct member_set *sets[SET_KINDS];
	uint32_t positions[SET_KINDS];
	/* Of the record of self, and the process that confirmed it. */
	uint32_t confirmed_version;
	uint64_t confirmed_incarnation;
	uint8_t send_count; /* of its latest change */
	bool update_queued;
	bool suspect;
};

/* A probe made for another member, waiting for the ack. */
struct relay {
	uint64_t sequence;
	struct addr requester;
	uint64_t requester_sequence;
};

/* A probe whose ack confirms a version of the record of self. */
struct shown_record {
	uint64_t sequence;
	uint32_t version;
};

enum seed_state {
	SEED_NONE,
	SEED_PENDING, /* a store operation is in progress */
	SEED_HELD,
};

/* This node's entry in the store's list of seeds, held under a lease. */
struct seed_lease {
	struct members *members;
	struct store *store;
	uint32_t conflicts;
	enum seed_state state;
	int64_t lease;
	int64_t due_us;
	int64_t list_due_us;
	int64_t list_wait_us;
	bool listed; /* seeds have been read from the store */
	bool lost;   /* the store lost the lease; the pending result is void */
	int64_t hurry_until_us; /* retries are short until then */
	char key[STORE_KEY_SIZE];
	char value[ADDR_TEXT_SIZE];
};

struct members {
	struct members_options options;
	struct addr *configured_seeds; /* from the settings */
	gsl_rng *rng;
	struct member *by_addr;
	struct member *self;
	struct member_set probes;
	struct member_set local; /* alive, in this node's data centre */
	struct member_set remote;
	struct member_set gone; /* dead or left */
	uint32_t counts[MEMBER_DEAD + 1];
	struct member *buckets[MEMBERS_DIGESTS];
	uint64_t digests[MEMBERS_DIGESTS];
	struct member *suspects;		  /* oldest suspicion first */
	struct member *updates[UPDATE_SENDS_MAX]; /* by send_count */
	uint32_t update_count;
	struct bucket gossip_budget; /* bytes */
	struct member_info changes[CHANGES_MAX];

	uint32_t probe_cursor;
	uint32_t expiry_cursor;
	bool probing;
	bool indirect_sent;
	struct addr probe_target;
	uint64_t probe_sequence;
	uint64_t last_sequence;
	struct relay relays[RELAYS_MAX];
	uint32_t next_relay;
	/* Probes that carried the record of self, and its version in each. */
	struct shown_record shown[SHOWN_MAX];
	uint32_t next_shown;
	bool heard;	    /* another member has answered */
	bool knows_members; /* see members_hear_members */

	int64_t started_us;
	int64_t last_tick_us;
	int64_t last_probe_us;
	int64_t gossip_due_us;
	int64_t pull_due_us;
	int64_t dead_probe_due_us;
	int64_t join_due_us;
	int64_t last_revived_pull_us; /* last pull from a revived member */
	uint32_t pulls;

	struct addr stored_seeds[STORED_SEEDS_MAX]; /* seeds in the store */
	size_t stored_seed_count;
	struct seed_lease *seed_lease;
};

/* members_table.c */
struct member *member_find(const struct members *m,
			   const struct addr *node_addr);
struct member *member_add(struct members *m, const struct member_info *info,
			  int64_t now);
void member_update(struct members *m, struct member *b,
		   const struct member_info *info, int64_t now);
void member_remove(struct members *m, struct member *b);

/* members_set.c */
int set_add(struct member_set *s, struct member *b, enum set_kind kind);
void set_remove(struct member *b, enum set_kind kind);
void set_swap(struct member_set *s, uint32_t i, uint32_t j, enum set_kind kind);
struct member *set_random(const struct member_set *s, gsl_rng *rng);

/* members_claim.c */
bool is_claim(const struct member_info *info);
void member_describe(const struct member *b, struct member_info *info);
bool claim_apply(const struct member *b, struct member_info *claim);

/* members_departures.c */
void member_keep_departures(struct member *b, const struct member_info *before);
bool member_has_former(const struct member *b);
void members_hear_departures(struct members *m, const struct member_info *info,
			     int64_t now);

/* members_guardians.c */
void members_hear_ack(struct members *m, const struct peer_msg *msg);
void members_hear_members(struct members *m, const struct peer_msg *msg,
			  int64_t now);

/* members_merge.c */
void members_merge(struct members *m, const struct member_info *items, size_t n,
		   bool forward, int64_t now);
void members_announce(struct members *m, int64_t now);
void members_suspect(struct members *m, struct member *b, int64_t now);
void members_expire_suspects(struct members *m, int64_t now);
void members_restart_suspicions(struct members *m, int64_t now);
int64_t suspicion_us(const struct members *m);

/* members_gossip.c */
void gossip_enqueue(struct members *m, struct member *b);
void gossip_dequeue(struct members *m, struct member *b);
int members_send_changes(struct members *m, enum peer_msg_kind kind,
			 const struct addr *to, uint64_t sequence,
			 const struct addr *target);
struct member *member_random(struct members *m);
void members_gossip_init(struct members *m, int64_t now);
void members_gossip(struct members *m, uint32_t fanout);
void members_gossip_tick(struct members *m, int64_t now);

/* members_probe.c */
void members_probe_tick(struct members *m, int64_t now);
void members_probe_receive(struct members *m, const struct peer_msg *msg);

/* members_pull.c */
void members_pull(struct members *m, const struct addr *from, int64_t now);
void members_pull_tick(struct members *m, int64_t now);
void members_pull_receive(struct members *m, const struct peer_msg *msg,
			  int64_t now);

/* members_join.c */
void members_join_tick(struct members *m, int64_t now);
void members_met(struct members *m, const struct addr *peer, int64_t now);

/* members_seed.c */
struct seed_lease *seed_lease_new(struct members *m);
void seed_lease_tick(struct seed_lease *s, int64_t now);
void seed_lease_list(struct seed_lease *s, int64_t now);
void seed_lease_met_others(struct seed_lease *s);
void seed_lease_release(struct seed_lease *s, int64_t now);
void seed_lease_store_replaced(struct seed_lease *s, int64_t now);
int members_rank(const struct members *m, uint64_t topic, int most);

#endif
