/*
 * The filter chain that a request passes at its entry node, in the order of
 * enum filter_stage. A filter passes the request on, parks it until a result
 * arrives, or ends it.
 */
#ifndef FILTER_FILTER_H
#define FILTER_FILTER_H

#include "base/base.h"
#include "conf/conf.h"
#include "control/control.h"
#include "wire/wire.h"

struct node;
struct http_server;

enum request_origin {
	ORIGIN_CALLER,	/* root request of a chain */
	ORIGIN_SERVICE, /* sub-call made by a service on this host */
};

enum filter_stage {
	STAGE_IDENTITY,
	STAGE_CONTEXT,
	STAGE_ROUTE,
	STAGE_KEY,
	STAGE_POISON,
	STAGE_DUPLICATE,
	STAGE_DEADLINE,
	STAGE_SHED,
	STAGE_LIMIT,
	STAGE_CLAIM,
	STAGE_PLACE,
};

enum filter_result {
	FILTER_NEXT, /* continue with the next stage */
	FILTER_WAIT, /* parked; continued by request_resume */
	FILTER_END,  /* answered or refused; the request is freed */
};

/* Upstreams remembered per request; one less is the limit of reroutes. */
#define TRIED_MAX 4

struct request {
	uint64_t handle;
	uint64_t exchange;	    /* 0: no caller waits for the answer */
	struct http_server *server; /* that received it */
	enum request_origin origin;
	enum filter_stage stage;
	char id[REQUEST_ID_SIZE];
	char root[REQUEST_ID_SIZE];
	struct message message;
	struct config *config;
	const struct route *route;
	const char *service;	       /* of the route, or picked by weight */
	const struct account *account; /* NULL: none, as on anonymous routes */
	uint64_t parent;   /* sub-calls: handle of the parent call */
	uint64_t identity; /* key in node.identities; 0: not there */
	int64_t arrived_us;
	int64_t deadline_us;
	int64_t limit_wait_until_us;
	uint16_t admit_hash;
	enum shed_class cls;
	uint8_t allowance; /* retries left */
	uint8_t borrowed;  /* of them, from the parent call */
	uint8_t lent;	   /* to the attempt in flight */
	uint8_t reported;  /* as left by the gate's last answer */
	uint8_t depth;
	uint8_t attempt;
	uint8_t reroutes;	/* attempts that reached no upstream */
	uint16_t runs;		/* executions by upstreams so far */
	bool presumed_sub_call; /* treated as a sub-call when shedding */
	bool id_from_caller;	/* the caller supplied the request id */
	bool trial;		/* runs although it is refused as poison */
	bool upstream_ended;	/* while it ran an attempt */
	bool may_have_run;	/* an attempt ran or its outcome is unknown */
	bool token_spent;	/* a token of the account was spent */
	uint64_t claim;
	bool claim_pending; /* waits for the result of claims_begin */
	uint32_t shed_unreported[SHED_CLASSES];
	struct home account_home; /* regions that the root's account allows */
	struct home home;  /* those that its route allows too; see home.c */
	uint64_t upstream; /* directory handle, current attempt */
	uint64_t tried[TRIED_MAX];
	uint64_t evacuated; /* data centre whose gate rejected it; 0: none */
	uint64_t link_call;
	uint64_t local_call;
	int64_t sent_us;
	bool in_flight;
	uint8_t crossing; /* enum spill_reason of the current attempt */
	enum reason refuse_reason; /* why it failed; REASON_NONE: it did not */
	uint32_t retry_after_ms;
	char inputs[DECISION_INPUTS_SIZE]; /* values behind a refusal */
};

/* Starts a request and moves msg. The answer is sent on the exchange. */
void request_start(struct node *n, enum request_origin origin,
		   uint64_t exchange, struct message *msg, int64_t now);
/* Continues a parked request at its current stage. */
void request_resume(struct node *n, uint64_t handle, int64_t now);
/* Cancels a request whose caller has disconnected. */
void request_cancel(struct node *n, uint64_t handle, int64_t now);

/*
 * Refuses a request with REASON_CANCELLED and cancels the attempt in flight.
 * Unlike request_cancel, a caller that is still connected gets an answer.
 */
void request_abandon(struct node *n, uint64_t handle, int64_t now);

/* Returns the request that an exchange belongs to, or 0. */
uint64_t request_of_exchange(struct node *n, uint64_t exchange);
/* Detaches a request from its exchange: no answer will be sent on it. */
void request_drop_exchange(struct node *n, struct request *r);
/* Ends requests in flight whose answer is overdue; called every 50 ms. */
void requests_expire(struct node *n, int64_t now);

/* Returns the request, or NULL when it has ended. */
struct request *request_get(struct node *n, uint64_t handle);

/* These end a request and free it. Both return FILTER_END. */
enum filter_result request_refuse(struct node *n, struct request *r,
				  enum reason reason, enum outcome outcome,
				  int64_t now);
enum filter_result request_answer(struct node *n, struct request *r,
				  struct message *answer, int64_t now);

void problem_fill(struct message *m, enum reason reason, enum outcome outcome,
		  const char *request);
/* Whether the request must not be executed more than once. */
bool request_runs_once(const struct request *r);

/*
 * Records, counts and logs a decision. If peer is NULL, the node of the current
 * upstream is recorded as the peer.
 */
void request_record(struct node *n, const struct request *r,
		    enum decision_kind kind, enum reason reason,
		    const char *peer, int64_t took_us);

enum filter_result filter_context(struct node *n, struct request *r,
				  int64_t now);
enum filter_result filter_route(struct node *n, struct request *r, int64_t now);
/*
 * Keys are refused once the configuration has been unconfirmed for the
 * promised revocation time less this margin. The margin covers the time that
 * an admitted request is still under way and the clock skew between hosts.
 */
#define REVOKE_MARGIN_US (300 * USEC_PER_MSEC)
enum filter_result filter_key(struct node *n, struct request *r, int64_t now);

enum filter_result filter_poison(struct node *n, struct request *r,
				 int64_t now);
/*
 * Learns from the answer to an attempt that its upstream ended. Returns how
 * many ends speak against the request, this one included.
 */
uint32_t poison_heard(struct node *n, const struct request *r,
		      const struct answer_head *head, int64_t now);

enum filter_result filter_identity(struct node *n, struct request *r,
				   int64_t now);
enum filter_result filter_duplicate(struct node *n, struct request *r,
				    int64_t now);
void identity_remove(struct node *n, struct request *r);
enum filter_result filter_deadline(struct node *n, struct request *r,
				   int64_t now);

/*
 * The bottlenecks of a route: services that answers reported to have the
 * tightest cutoff in its chain.
 */
#define BOTTLENECKS_MAX 4
void bottlenecks_learn(struct node *n, uint64_t route, uint64_t service,
		       int64_t now);
size_t bottlenecks_list(struct node *n, uint64_t route,
			uint64_t services[BOTTLENECKS_MAX], int64_t now);
void bottlenecks_free(struct node *n);

enum filter_result filter_shed(struct node *n, struct request *r, int64_t now);
enum filter_result filter_limit(struct node *n, struct request *r, int64_t now);
/* Retries requests that wait for tokens of account, or all when NULL. */
void limit_retry(struct node *n, const char *account, int64_t now);
enum filter_result filter_claim(struct node *n, struct request *r, int64_t now);
enum filter_result filter_place(struct node *n, struct request *r, int64_t now);
/* Finds where the next attempt may be sent. */
void home_find(struct node *n, struct request *r);
/* Returns the reason to refuse a request for which there is no upstream. */
enum reason home_refusal(struct request *r);
/* Applies changed home regions to requests that have not been sent yet. */
void home_config_changed(struct node *n, int64_t now);
/* Returns the route of a request in a configuration, or NULL. */
const struct route *route_find(const struct config *c, const struct message *m);
/* Picks an upstream for the next attempt; returns 0 if there is none. */
uint64_t candidates_pick(struct node *n, struct request *r, int64_t now);
struct balance_candidate;
/*
 * Where the settings give a cost for calls to other data centres, reduces the
 * candidates to those of the data centre that the attempt goes to, and notes
 * in the request why it crosses. Returns their number.
 */
size_t crossing_narrow(struct node *n, struct request *r,
		       struct balance_candidate *c, uint64_t *handles,
		       size_t count, int64_t now);
void crossing_sent(struct node *n, const struct request *r);
/* answer may be NULL. */
void crossing_answered(struct node *n, const struct request *r,
		       const struct message *answer);
/* Cancels the attempt in flight, if any. */
void place_cancel(struct node *n, struct request *r, int64_t now);
/*
 * Handles the gate's answer to the current attempt. answer is NULL if none
 * came, and may be moved.
 */
void place_answered(struct node *n, uint64_t request,
		    const struct answer_head *head, struct message *answer,
		    int64_t now);

#endif
