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
#include "filter/edge.h"
#include "filter/filter.h"
#include "net/net.h"
#include "policy/policy.h"
#include "store/store.h"

#define TOKEN_SIZE 33 /* context token with NUL */

/* An upstream on this host, as it announced itself. */
struct local_upstream {
	uint64_t handle;
	struct upstream_info info;
	char instance[NAME_SIZE]; /* identity of its process; or empty */
	int64_t started_ms;
	uint64_t sequence;
	bool withdrawn;	    /* no announcement brings it back */
	bool unreachable;   /* until it announces itself again */
	int64_t leaving_us; /* since when it leaves; 0: it does not */
	struct http_pool *pool;
	struct gate *gate;
	int64_t last_update_us;
	bool shedding; /* as last told in the log */
	int64_t overload_logged_us;
};

enum reply_kind {
	REPLY_LINK,  /* to the entry node over a link */
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
	char token[TOKEN_SIZE];
	uint8_t allowance; /* left for sub-calls */
	uint16_t runs;
	uint32_t sub_calls; /* made so far, for their identities */
	uint32_t open_sub_calls;
	enum reason sub_reason; /* why the latest sub-call that failed did */
	struct admission sub_call_admission; /* tightest that sub-calls met */
	uint64_t sub_call_service;
	struct call_index *index;
};

/* Finds calls by context token, by stream and by their identity. */
struct call_index {
	char token[TOKEN_SIZE];
	char request[REQUEST_ID_SIZE];
	uint64_t stream;
	uint64_t call;
	UT_hash_handle hh_token;
	UT_hash_handle hh_stream;
	UT_hash_handle hh_request;
};

/* An upstream anywhere, as this node sees it. */
struct known_upstream {
	struct addr member;
	struct upstream_info info;
	bool same_data_centre;
	struct upstream_load load;
};

struct admin;
struct directory;
struct identities;

struct node {
	struct settings settings;
	const char *settings_path; /* read again on request; or NULL */
	const struct edge_names *edge;
	struct net *net;
	struct http_server *callers;
	struct http_server *services;
	struct http_server *admin;
	struct http_server *ready; /* or NULL */
	struct admin *api;
	struct links *links;
	struct store *store;
	struct members *members;
	struct notes *notes;
	struct secret *secret; /* or NULL: the settings name it */
	struct quota *quota;
	struct claims *claims;
	struct explain *explain;
	struct cutoffs *cutoffs;
	struct config *config;
	struct directory *directory;
	struct identities *identities;
	struct exchange_index *exchanges;
	struct service_retries *retries;
	struct bottlenecks *bottlenecks;
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
	uint64_t lot_key;	     /* of the cluster secret */
	struct buffer limit_waiting; /* handles of parked requests */
	size_t body_bytes;	     /* of requests held now */
	bool stopping;		     /* callers are sent elsewhere */
	bool gates_closing; /* and so are other nodes, later in the stop */
	int64_t stop_at_us;
	int64_t stopping_since_us;
};

/* Opens listeners and controllers; NULL with err set. */
struct node *node_open(const struct settings *s, const char *path,
		       struct error *err);
/* Runs until a planned stop has ended. */
void node_run(struct node *n);
void node_close(struct node *n);
/* Whether callers should be sent to this host. */
bool node_is_ready(const struct node *n, int64_t now);
/* Begins a planned stop. */
void node_stop(struct node *n, int64_t now);
/* Others have had the time to hear of the stop: new requests are refused. */
bool node_takes_no_more(const struct node *n, int64_t now);
/* Looks whether a planned stop has ended. */
void node_stop_step(struct node *n, int64_t now);
uint64_t node_random(struct node *n);

/* Gates: announcements and calls. */
int announcement_read(struct upstream_info *u, const char *text, size_t len,
		      struct error *err);
void gates_announce(struct node *n, const struct upstream_info *info,
		    int64_t now);
struct upstream_news;
/* Takes an announcement of the platform's kind, which may be late. */
void gates_announce_platform(struct node *n, const struct upstream_news *news,
			     int64_t now);
void gates_tick(struct node *n, int64_t now);
void gates_step(struct node *n, int64_t now);
void gates_apply_config(struct node *n);
bool gates_any_ready(const struct node *n);
void gates_close(struct node *n);
void calls_free(struct node *n);
void gates_publish_upstreams(struct node *n, int64_t now);
/* Takes a call from a link or from this node; msg is moved. */
uint64_t gates_call(struct node *n, enum reply_kind kind, uint64_t reply,
		    const struct call_head *head, struct message *msg,
		    int64_t now);
void gates_cancel_stream(struct node *n, uint64_t stream, int64_t now);
void gates_cancel_call(struct node *n, uint64_t call, int64_t now);
struct call *gates_call_by_token(struct node *n, const char *token);
/* The running call with this identity, len characters, or NULL. */
struct call *gates_call_by_request(struct node *n, const char *id, size_t len);
/* A sub-call met this admission of a service. */
void call_meets(struct call *c, uint64_t service, struct admission a);
struct call *gates_call_get(struct node *n, uint64_t handle);

/* Directory: upstreams of a service, own data centre first. */
struct directory *directory_new(struct node *n);
void directory_free(struct directory *d);
void directory_update(struct directory *d, const struct member_info *m);
size_t directory_list(struct directory *d, const char *service,
		      uint64_t *handles, size_t max);
struct known_upstream *directory_get(struct directory *d, uint64_t handle);

struct retry_ratio *service_retry_ratio(struct node *n, const char *service);
void service_retries_free(struct node *n);

struct identities *identities_new(void);
void identities_free(struct identities *ids);

#endif
