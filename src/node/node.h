/*
 * One node: its listeners, controllers and tables, and the gates in front
 * of the upstreams on its host.
 */
#ifndef NODE_NODE_H
#define NODE_NODE_H

#include <gsl/gsl_rng.h>
#include <uthash.h>

#include "base/base.h"
#include "conf/conf.h"
#include "control/control.h"
#include "filter/interface_headers.h"
#include "filter/filter.h"
#include "net/net.h"
#include "policy/policy.h"
#include "policy/spill.h"
#include "store/store.h"

#define TOKEN_SIZE 33 /* context token, including the NUL */

/* Finding out whether an upstream that lost a running call has ended. */
enum end_probe {
	END_NOT_PROBED,
	END_FIRST_PROBE,
	END_SECOND_PROBE, /* it listened the first time; due or under way */
};

/* An upstream that announced itself on this host. */
struct local_upstream {
	uint64_t handle;
	struct upstream_info info;
	char instance[NAME_SIZE]; /* identity of its process, or empty */
	int64_t started_ms;	  /* wall time of the start of its process */
	uint64_t sequence;	  /* of its latest announcement */
	double rate; /* requests a second that it takes, if rate_named */
	bool rate_named;
	bool rate_refused; /* its last answer named a malformed limit */
	bool withdrawn;	  /* said it is gone; later announcements are ignored */
	bool unreachable; /* cleared by its next announcement */
	int64_t leaving_us; /* when it began to leave; 0: it is not leaving */
	uint64_t leave_ticket;	 /* of the leave that it announced; 0: none */
	int64_t said_leaving_us; /* in its latest such answer; 0: never */
	enum end_probe end_probe;
	uint64_t ended_incarnation; /* its process has ended; 0: it runs */
	uint32_t ended_calls;	    /* that it was running then */
	bool ended_cold;	    /* it was cold then */
	int64_t cold_until_us;	    /* 0: warm */
	int64_t cold_announced_us; /* end that its heartbeat announced; 0: warm */
	bool cold;		   /* as published */
	int64_t cold_published_us; /* end of the cold period as published */
	uint32_t cold_last_ms;	   /* published last; 0: never */
	/* When it was seen to end and presumed cold; 0: it was not. */
	int64_t cold_end_seen_us;
	struct http_pool *pool;
	struct gate *gate;
	int64_t last_update_us;
	bool shedding; /* as last logged */
	int64_t overload_logged_us;
};

enum reply_kind {
	REPLY_LINK,  /* the entry is another node, reached over a link */
	REPLY_LOCAL, /* the entry is this node */
};

/* A call at the gate of an upstream on this host. */
struct call {
	uint64_t handle;
	enum reply_kind reply_kind;
	union {
		uint64_t stream;
		uint64_t request;
	} reply;
	struct call_head head;
	struct message message;
	uint64_t upstream; /* local_upstream */
	int64_t arrived_us;
	int64_t started_us; /* 0 while queued */
	int64_t deadline_us;
	uint64_t http_call;
	int64_t lost_us; /* its connection; held until the upstream was probed */
	uint64_t ended_incarnation; /* see struct answer_head */
	uint32_t ended_calls;
	char token[TOKEN_SIZE];
	uint8_t allowance; /* left for sub-calls */
	uint16_t runs;
	uint32_t sub_calls; /* number made so far; numbers their identities */
	uint32_t open_sub_calls;
	enum reason sub_reason; /* reason of the latest failed sub-call */
	struct admission
		sub_call_admission; /* lowest that sub-calls received */
	uint64_t sub_call_service;
	struct call_index *index;
};

/* Index of calls by context token, stream and request identity. */
struct call_index {
	char token[TOKEN_SIZE];
	char request[REQUEST_ID_SIZE];
	uint64_t stream;
	uint64_t call;
	UT_hash_handle hh_token;
	UT_hash_handle hh_stream;
	UT_hash_handle hh_request;
};

/* An upstream on any host, as known to this node. */
struct known_upstream {
	struct addr member;
	struct upstream_info info;
	uint64_t data_centre; /* hash of its name */
	uint64_t region;      /* hash of its name */
	bool same_data_centre;
	int64_t cold_until_us; /* by the clock of this node; 0: warm */
	struct cold_share cold_share;
	struct upstream_load load;
};

struct admin;
struct cold_service;
struct directory;
struct identities;
struct leaving;

struct node {
	struct settings settings;
	const char *settings_path; /* read again on SIGHUP; or NULL */
	const struct interface_headers *headers;
	struct net *net;
	struct http_server *callers;
	struct http_server *services;
	struct http_server *admin_server;
	struct http_server *ready; /* or NULL */
	/* Announcements at an address that no earlier process had; or NULL. */
	struct http_server *announcements;
	struct admin *admin_state;
	struct links *links;
	struct store *store;
	struct members *members;
	struct notes *notes;
	struct leaving *leaving;
	struct evacuations *evacuations; /* NULL: not used */
	struct secret *secret;		 /* NULL if the settings contain it */
	struct quota *quota;
	struct claims *claims;
	struct explain *explain;
	struct cutoffs *cutoffs;
	struct poison *poison;
	struct poison_gossip *poison_gossip;
	uint64_t upstream_ends; /* numbers processes without a start time */
	struct config *config;
	struct directory *directory;
	struct identities *identities;
	struct exchange_index *exchanges;
	struct service_retries *retries;
	struct route_stats *route_stats;
	struct service_spill *spills;
	struct bottlenecks *bottlenecks;
	struct cold_service *cold_services;
	struct call_index *by_token;
	struct call_index *by_stream;
	struct call_index *by_request;
	struct table requests;
	struct table calls;
	struct table upstreams;
	struct table local_upstreams;
	struct addr self;
	uint64_t incarnation;
	gsl_rng *rng;
	uint64_t admit_key;	     /* derived from the cluster secret */
	struct buffer limit_waiting; /* handles of parked requests */
	size_t body_bytes;	     /* total of the requests held */
	int64_t ticked_us;	     /* when the event loop last ran */
	int64_t resumed_us;	     /* after its last pause; 0: none */
	bool stopping;		     /* callers are sent to other hosts */
	bool gates_closing; /* later in a stop: nodes send calls elsewhere */
	int64_t stop_at_us; /* end of the grace time of a planned stop */
	int64_t stopping_since_us;
};

/* Opens the listeners and controllers of a node; NULL with err set. */
struct node *node_open(const struct settings *s, const char *path,
		       struct error *err);
/* Runs the event loop until a planned stop has ended. */
void node_run(struct node *n);
/* Frees the node. Connections that are still open are closed. */
void node_close(struct node *n);
/* Whether callers should be sent to this host. */
bool node_is_ready(const struct node *n, int64_t now);
/* Begins a planned stop, which node_stop_step() continues. */
void node_stop(struct node *n, int64_t now);
/* Whether new requests are refused because of a planned stop. */
bool node_refuses_requests(const struct node *n, int64_t now);
int64_t node_last_deadline(const struct node *n, int64_t deadline_us);
/* Advances a planned stop: closes the gates, then ends the event loop. */
void node_stop_step(struct node *n, int64_t now);
/*
 * Hash, with a key that all nodes share, of the method, host, path with query,
 * body and account of a request; of the calling service if it has no account.
 */
void fingerprint_of(const struct node *n, const struct message *m,
		    const char *account, struct fingerprint *id);
/* Returns 64 random bits; not suitable for cryptography. */
uint64_t node_random(struct node *n);

/* Gates: announcements and calls. */

/* Parses an upstream's announcement (JSON); -1 with err set. */
int announcement_read(struct upstream_info *u, const char *text, size_t len,
		      struct error *err);
/* Adds or updates an upstream of this host from its announcement. */
void gates_announce(struct node *n, const struct upstream_info *info,
		    int64_t now);
/* An announcement that waits for its answer. */
struct announcement_exchange {
	struct http_server *server;
	uint64_t id;
};

struct upstream_announcement;
/*
 * Applies an announcement of the platform, which may arrive out of order. A
 * stale one, or one for the address of another host, is logged and ignored.
 * Returns the ticket of a leave that it tells, or 0; see leaving_acknowledge.
 */
uint64_t
gates_announce_platform(struct node *n,
			const struct upstream_announcement *announcement,
			int64_t now);
/* Runs and drops queued calls; removes unresponsive upstreams. */
void gates_tick(struct node *n, int64_t now);
/* Adjusts the limits and cutoffs of all gates; every GATE_STEP_US. */
void gates_step(struct node *n, int64_t now);
/* Applies overload mode and cold rates of the configuration in force. */
void gates_apply_config(struct node *n, int64_t now);
/* Rejects queued calls whose home regions this region no longer is among. */
void gates_drop_away(struct node *n, int64_t now);
/*
 * Whether an upstream of this host is ready and reachable. The host is then
 * expected to stay when the node stops.
 */
bool gates_any_ready(const struct node *n);
void gates_close(struct node *n);
void calls_free(struct node *n);
/* Publishes the upstreams of this host to the other nodes. */
void gates_publish_upstreams(struct node *n, int64_t now);
/*
 * Offers a call from a link or from this node to the gate of its upstream,
 * and takes ownership of the contents of msg. Returns the handle of the call,
 * which may have ended already, or 0 if it could not be stored.
 */
uint64_t gates_submit(struct node *n, enum reply_kind kind, uint64_t reply,
		      const struct call_head *head, struct message *msg,
		      int64_t now);
/* Cancels the call of a stream, unless it runs and may run only once. */
void gates_cancel_stream(struct node *n, uint64_t stream, int64_t now);
/* Cancels a call without an answer. */
void gates_cancel_call(struct node *n, uint64_t call, int64_t now);
/* Returns the running call to which the token was issued, or NULL. */
struct call *gates_call_by_token(struct node *n, const char *token);
/* Returns the running call with this identity of len characters, or NULL. */
struct call *gates_call_by_request(struct node *n, const char *id, size_t len);
/* Records the admission that a sub-call received from a service. */
void call_record_admission(struct call *c, uint64_t service,
			   struct admission a);
/* Returns the call with this handle, or NULL if it has ended. */
struct call *gates_call_get(struct node *n, uint64_t handle);

/* Directory: upstreams of a service, own data centre first. */

/* Returns an empty directory, or NULL when out of memory. */
struct directory *directory_new(struct node *n);
void directory_free(struct directory *d);
/* Updates the upstreams of a member to those that it announces. */
void directory_update(struct directory *d, const struct member_info *m,
		      int64_t now);
/*
 * Lists up to max upstreams that accept new calls and that permitted, if set,
 * permits; returns their number.
 */
size_t directory_list(struct directory *d, const char *service,
		      bool (*permitted)(const struct known_upstream *u,
					void *ctx),
		      void *ctx, uint64_t *handles, size_t max);
/* Returns the upstream with this handle, or NULL if it was removed. */
struct known_upstream *directory_get(struct directory *d, uint64_t handle);

/* Retries of a service at this node; see service_retries.c. */
struct service_retries {
	char name[NAME_SIZE];
	struct retry_ratio ratio;   /* of calls that make calls themselves */
	struct retry_market market; /* of the others */
	double rejected_share;	    /* of the answers, smoothed */
	UT_hash_handle hh;
};

/* Returns the retries of a service; never NULL. */
struct service_retries *service_retries(struct node *n, const char *service);
void service_retries_free(struct node *n);
/* Counts a first attempt of a call on the route. */
void retries_count_call(struct node *n, const struct request *r, int64_t now);
/* Learns the share of rejected calls from an answer. */
void retries_heard(struct node *n, const struct request *r,
		   const struct answer_head *head);
/* Takes a retry of the request, or returns false if it gets none. */
bool retries_take(struct node *n, const struct request *r);

/* What is known of the requests of a route; see route_stats.c. */
struct route_stats {
	uint64_t route;	     /* hash of its name */
	double runs;	     /* by one call, its sub-calls included; smoothed */
	double sub_calls;    /* that a run makes itself; smoothed */
	double answer_bytes; /* of the body; smoothed, 0: unknown */
	UT_hash_handle hh;
};

/* Returns the entry of a route, or NULL when out of memory. */
struct route_stats *route_stats(struct node *n, const char *route);
void route_stats_free(struct node *n);
void route_stats_add_runs(struct node *n, const char *route, uint32_t runs);
void route_stats_add_sub_calls(struct node *n, const char *route,
			       uint32_t sub_calls);

/* Counts the body of an answer; only where crossing costs are set. */
void route_stats_add_answer(struct node *n, const char *route, size_t bytes);

/* Calls of a service to other data centres; see spills.c. */
struct service_spill {
	char name[NAME_SIZE];
	struct spill spill;
	uint64_t calls[SPILL_REASONS]; /* attempts that crossed */
	uint64_t bytes[SPILL_REASONS];
	double logged_fraction;
	int64_t logged_us;
	UT_hash_handle hh;
};

/* Returns the entry of a service, or NULL when out of memory. */
struct service_spill *service_spill(struct node *n, const char *service);
void service_spill_log(struct service_spill *s, int64_t now);
void spills_free(struct node *n);
int spills_write(const struct node *n, struct buffer *out);

struct identities *identities_new(void);
void identities_free(struct identities *ids);

#endif
