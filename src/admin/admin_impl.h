/* Internal to src/admin. */
#ifndef ADMIN_ADMIN_IMPL_H
#define ADMIN_ADMIN_IMPL_H

#include <json-c/json.h>
#include <uthash.h>

#include "admin/admin.h"

enum access {
	ACCESS_OPEN,
	ACCESS_READ,
	ACCESS_CHANGE,
};

/* The operator whose key a request carried; empty for open paths. */
struct operator_id {
	char name[NAME_SIZE];
	char team[NAME_SIZE]; /* empty: all teams */
};

/* One request. query is what follows '?' in the target, or "". */
struct admin_call {
	struct node *node;
	uint64_t exchange;
	const struct message *msg;
	const char *query;
	uint64_t number; /* in /v1/notes/{number}, else 0 */
	struct operator_id who;
	int64_t now;
};

struct admin_route {
	const char *method;
	const char *path;
	enum access access;
	void (*run)(struct admin_call *c);
};

extern const struct admin_route admin_routes[];
extern const size_t admin_route_count;

/* The number of the note in force on a member, as last reported. */
struct member_note {
	struct addr member;
	uint64_t number;
	UT_hash_handle hh;
};

#define QUERY_MEMBERS_MAX 48 /* other nodes that one query is sent to */

enum query_kind {
	QUERY_DECISIONS, /* the decisions about one request */
	QUERY_COUNTS,	 /* the counts of accounts */
	QUERY_ACCOUNT,	 /* counts, unresolved claims and a summary */
	QUERY_EVACUATIONS,
};

/* A query whose result is merged from the responses of several nodes. */
struct admin_query {
	struct node *node;
	uint64_t handle;
	uint64_t exchange;
	enum query_kind kind;
	char id[REQUEST_ID_SIZE];  /* request identity; QUERY_DECISIONS only */
	char account[NAME_SIZE];   /* other kinds; empty: all accounts */
	char reason[NAME_SIZE];	   /* QUERY_COUNTS only; empty: all */
	int64_t since_min;	   /* minutes since 1970 */
	struct json_object *items; /* records or spans */
	struct addr queried[QUERY_MEMBERS_MAX];
	size_t queried_count;
	size_t responses;
	bool queried_all;
	bool truncated; /* a node had more items than it could send */
	int64_t deadline_us;
};

/* A request that waits for the store; must be the first member of its state. */
struct admin_pending {
	struct admin_pending *prev;
	struct admin_pending *next;
	struct node *node;
	struct json_object *json; /* freed with the request; may be NULL */
};

struct admin {
	struct node *node;
	struct admin_pending *pending;
	struct member_note *member_notes;
	uint32_t poll_offset; /* next lagging member to poll */
	struct table queries; /* struct admin_query * */
};

void *admin_pending_new(struct admin_call *c, size_t size);
void admin_pending_free(struct admin_pending *p);
void admin_pending_free_all(struct admin *a);
void admin_queries_free(struct admin *a);
void query_start(struct node *n, const struct admin_query *from, int64_t now);
/* Answers the HTTP request of a query; the caller still owns q. */
void query_answer(struct admin_query *q, int64_t now);

/* Convert records and spans to and from JSON; -1 when malformed. */
struct json_object *record_json(const struct decision *d, const char *host);
int record_read(struct decision *d, char host[NAME_SIZE],
		struct json_object *o);
struct json_object *span_json(const struct explain_span *s);
int span_read(struct explain_span *s, struct json_object *o);

int admin_authorize(const struct settings *s, const struct config *c,
		    const char *authorization, enum access access,
		    struct operator_id *who);
const struct admin_route *admin_find_route(const char *method, const char *path,
					   uint64_t *number, bool *known_path);
bool admin_param(const char *query, const char *name, char *value, size_t size);
/* Parses a time in UTC to seconds since 1970; -1 when malformed. */
int64_t admin_time(const char *text, int64_t wall_s);

void admin_answer(struct node *n, uint64_t exchange, int status,
		  const char *type, const void *body, size_t len);
/* Takes ownership of o. */
void admin_answer_json(struct node *n, uint64_t exchange, int status,
		       struct json_object *o);
void admin_answer_error(struct node *n, uint64_t exchange, int status,
			const char *error, const char *next);
void json_add_text(struct json_object *o, const char *name, const char *text);
void json_add_int(struct json_object *o, const char *name, int64_t value);

/* Returns a string member, or "" when it is missing or no string. */
const char *json_get_text(struct json_object *o, const char *name);

uint64_t admin_note_number(const struct node *n);
uint64_t admin_member_note_number(const struct admin *a,
				  const struct addr *member);
int admin_send_note_number(struct node *n, const struct addr *to,
			   enum peer_msg_kind kind);
int admin_send(struct node *n, const struct addr *to, enum peer_msg_kind kind,
	       uint64_t id, const char *text, int64_t now);

void admin_healthz(struct admin_call *c);
void admin_readyz(struct admin_call *c);
void admin_metrics(struct admin_call *c);
void admin_notes_apply(struct admin_call *c);
void admin_notes_check(struct admin_call *c);
void admin_notes_history(struct admin_call *c);
void admin_notes_show(struct admin_call *c);
void admin_config(struct admin_call *c);
void admin_config_check(struct admin_call *c);
void admin_accounts(struct admin_call *c);
void admin_keys(struct admin_call *c);
void admin_routes_list(struct admin_call *c);
void admin_services(struct admin_call *c);
void admin_operators(struct admin_call *c);
void admin_status(struct admin_call *c);
void admin_claims(struct admin_call *c);
void admin_poison(struct admin_call *c);
void admin_poison_lift(struct admin_call *c);
struct json_object *admin_poison_json(struct node *n, int64_t now);
void admin_evacuations(struct admin_call *c);
void admin_evacuations_change(struct admin_call *c);
struct json_object *admin_evacuations_json(struct node *n, int64_t now);
void evacuations_answer(struct admin_query *q);
void admin_decisions(struct admin_call *c);
void admin_counts(struct admin_call *c);

#endif
