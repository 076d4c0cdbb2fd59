/*
 * The filters that a request passes at its entry node, in order. A filter
 * lets the request through, parks it until something comes back, or ends it.
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
	ORIGIN_CALLER,	/* root of a chain */
	ORIGIN_SERVICE, /* sub-call of a service on this host */
};

enum filter_stage {
	STAGE_IDENTITY,
	STAGE_CONTEXT,
	STAGE_ROUTE,
	STAGE_KEY,
	STAGE_DUPLICATE,
	STAGE_DEADLINE,
	STAGE_SHED,
	STAGE_LIMIT,
	STAGE_CLAIM,
	STAGE_PLACE,
};

enum filter_result {
	FILTER_NEXT,
	FILTER_WAIT,
	FILTER_END, /* answered, or refused through request_refuse */
};

#define TRIED_MAX 4

struct request {
	uint64_t handle;
	uint64_t exchange;	    /* 0: the caller has gone */
	struct http_server *server; /* that it came in by */
	enum request_origin origin;
	enum filter_stage stage;
	char id[REQUEST_ID_SIZE];
	char root[REQUEST_ID_SIZE];
	struct message message;
	struct config *config;
	const struct route *route;
	const char *service;	       /* of the route, or the part drawn */
	const struct account *account; /* NULL on open routes */
	uint64_t parent;	       /* gate call of a sub-call */
	uint64_t identity;	       /* entry in the table of identities */
	int64_t arrived_us;
	int64_t deadline_us;
	int64_t limit_wait_until_us;
	uint16_t admit_hash;
	enum shed_class cls;
	uint8_t allowance;
	uint8_t depth;
	uint8_t attempt;
	uint8_t reroutes;	/* attempts that no upstream saw */
	uint16_t runs;		/* upstream executions so far */
	bool presumed_sub_call; /* a call that a running request makes */
	bool id_from_caller;	/* the caller chose the identity */
	bool may_have_run;	/* an attempt whose outcome is unknown */
	bool token_spent;	/* spent a token */
	uint64_t claim;
	bool claim_pending;
	uint32_t shed_unreported[SHED_CLASSES];
	uint64_t upstream; /* directory handle of the present attempt */
	uint64_t tried[TRIED_MAX];
	uint64_t link_call;
	uint64_t local_call;
	int64_t sent_us;
	bool in_flight;
	enum reason refuse_reason; /* why it ended without a good answer */
	uint32_t retry_after_ms;
	char inputs[DECISION_INPUTS_SIZE]; /* that decide a refusal */
};

/* Starts a request; msg is moved. The answer goes to the exchange. */
void request_start(struct node *n, enum request_origin origin,
		   uint64_t exchange, struct message *msg, int64_t now);
/* Goes on at the present stage after a wait. */
void request_resume(struct node *n, uint64_t handle, int64_t now);
/* The caller went away. */
void request_cancel(struct node *n, uint64_t handle, int64_t now);

/* Nobody needs the answer any more, but its caller still waits for one. */
void request_abandon(struct node *n, uint64_t handle, int64_t now);

uint64_t request_of_exchange(struct node *n, uint64_t exchange);
void request_drop_exchange(struct node *n, struct request *r);
/* Every 50 ms. */
void requests_expire(struct node *n, int64_t now);

struct request *request_get(struct node *n, uint64_t handle);

/* Ends of a request; each frees it. All return FILTER_END. */
enum filter_result request_refuse(struct node *n, struct request *r,
				  enum reason reason, enum outcome outcome,
				  int64_t now);
enum filter_result request_answer(struct node *n, struct request *r,
				  struct message *answer, int64_t now);

void problem_fill(struct message *m, enum reason reason, enum outcome outcome,
		  const char *request);
/* Whether a second run would be an effect that nobody asked for. */
bool request_runs_once(const struct request *r);

void request_record(struct node *n, const struct request *r,
		    enum decision_kind kind, enum reason reason,
		    const char *peer, int64_t took_us);

enum filter_result filter_context(struct node *n, struct request *r,
				  int64_t now);
enum filter_result filter_route(struct node *n, struct request *r, int64_t now);
enum filter_result filter_key(struct node *n, struct request *r, int64_t now);
/*
 * No key is taken any more so long before a withdrawn one must be dead: the
 * request has a way to go, and clocks of two hosts run apart.
 */
#define REVOKE_MARGIN_US (300 * USEC_PER_MSEC)

enum filter_result filter_identity(struct node *n, struct request *r,
				   int64_t now);
enum filter_result filter_duplicate(struct node *n, struct request *r,
				    int64_t now);
void identity_remove(struct node *n, struct request *r);
enum filter_result filter_deadline(struct node *n, struct request *r,
				   int64_t now);

/* The services whose cutoffs a route meets, learnt from answers. */
#define BOTTLENECKS_MAX 4
void bottlenecks_learn(struct node *n, uint64_t route, uint64_t service,
		       int64_t now);
size_t bottlenecks_list(struct node *n, uint64_t route,
			uint64_t services[BOTTLENECKS_MAX], int64_t now);
void bottlenecks_free(struct node *n);

enum filter_result filter_shed(struct node *n, struct request *r, int64_t now);
enum filter_result filter_limit(struct node *n, struct request *r, int64_t now);
void limit_retry(struct node *n, const char *account, int64_t now);
enum filter_result filter_claim(struct node *n, struct request *r, int64_t now);
enum filter_result filter_place(struct node *n, struct request *r, int64_t now);
/* Cancels the attempt in flight, if there is one. */
void place_cancel(struct node *n, struct request *r, int64_t now);
/* The answer of the gate to the present attempt; answer may be moved. */
void place_answered(struct node *n, uint64_t request,
		    const struct answer_head *head, struct message *answer,
		    int64_t now);

#endif
