#include "filter/filter.h"

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "node/node.h"

/* Longest id of a root; leaves room for the suffixes of sub-calls. */
#define ROOT_ID_MAX 40
#define GENERATED_ID_SIZE 25

/* The admission hash of an id changes once in this time. */
#define ADMIT_HASH_PERIOD_US (10 * USEC_PER_SEC)

/* Hash of the account and the caller's id of a root that runs here. */
struct identity {
	uint64_t hash;
	UT_hash_handle hh;
};

struct identities {
	struct identity *first;
};

/* Returns an empty set, or NULL when out of memory. */
struct identities *identities_new(void)
{
	return calloc(1, sizeof(struct identities));
}

void identities_free(struct identities *ids)
{
	struct identity *id = ids->first, *next;

	HASH_CLEAR(hh, ids->first);
	for (; id; id = next) {
		next = id->hh.next;
		free(id);
	}
	free(ids);
}

static bool id_is_valid(const struct interface_headers *headers, const char *id)
{
	/* Without a context header, sub-calls arrive with longer ids. */
	size_t n = strlen(id),
	       max = headers->context ? ROOT_ID_MAX : REQUEST_ID_SIZE - 1;

	if (!n || n > max)
		return false;
	for (; *id; id++)
		if (!isalnum((unsigned char)*id) && !strchr("-_.", *id))
			return false;
	return true;
}

static uint64_t identity_hash(const struct request *r)
{
	return pair_hash(name_hash(r->account ? r->account->name : ""),
			 name_hash(r->root));
}

/*
 * Registers a root that runs here. Returns -1 if its identity is registered
 * already. When out of memory, the root runs unregistered.
 */
static int identity_add(struct node *n, struct request *r)
{
	struct identity *id;

	r->identity = identity_hash(r);
	HASH_FIND(hh, n->identities->first, &r->identity, sizeof(r->identity),
		  id);
	if (id) {
		r->identity = 0;
		return -1;
	}
	id = calloc(1, sizeof(*id));
	if (!id) {
		r->identity = 0;
		return 0;
	}
	id->hash = r->identity;
	HASH_ADD(hh, n->identities->first, hash, sizeof(id->hash), id);
	return 0;
}

/* Removes the identity of a root that has ended. */
void identity_remove(struct node *n, struct request *r)
{
	struct identity *id;

	if (!r->identity)
		return;
	HASH_FIND(hh, n->identities->first, &r->identity, sizeof(r->identity),
		  id);
	r->identity = 0;
	if (!id)
		return;
	HASH_DEL(n->identities->first, id);
	free(id);
}

/*
 * Returns the admission hash of a root. Callers choose their ids, so the hash
 * is keyed and changes with time: no caller can find an id that is always
 * admitted. A resend within the same period gets the same hash.
 */
static uint16_t make_admit_hash(const struct node *n, const struct request *r,
				int64_t now)
{
	uint64_t period = (uint64_t)(now / ADMIT_HASH_PERIOD_US);

	return root_admit_hash(r->root, pair_hash(n->admit_key, period));
}

/* Removes headers that only nodes may set on requests to upstreams. */
static void remove_reserved_headers(const struct interface_headers *headers,
				    struct message *m)
{
	if (headers->account)
		message_remove_header(m, headers->account);
	if (headers->instance)
		message_remove_header(m, headers->instance);
	if (headers->caller)
		message_remove_header(m, headers->caller);
}

/*
 * Assigns a root its id and admission hash. This is the first filter, so that
 * every answer and record of the request carries the id.
 */
enum filter_result filter_identity(struct node *n, struct request *r,
				   int64_t now)
{
	const char *given = message_header(&r->message, n->headers->request);

	if (r->origin == ORIGIN_SERVICE)
		return FILTER_NEXT;
	r->id_from_caller = given && id_is_valid(n->headers, given);
	if (r->id_from_caller)
		copy_name(r->root, sizeof(r->root), given);
	else
		random_token(r->root, GENERATED_ID_SIZE);
	memcpy(r->id, r->root, sizeof(r->id));
	r->admit_hash = make_admit_hash(n, r, now);
	remove_reserved_headers(n->headers, &r->message);
	if (n->headers->caller &&
	    message_add_header(&r->message, n->headers->caller,
			       n->settings.service) < 0)
		return request_refuse(n, r, REASON_OVERLOADED, OUTCOME_NOT_RUN,
				      now);
	if (given && !r->id_from_caller && n->headers->context)
		return request_refuse(n, r, REASON_BAD_REQUEST, OUTCOME_NOT_RUN,
				      now);
	return FILTER_NEXT;
}

/*
 * Refuses a root whose account and id equal those of one that still runs on
 * this node.
 */
enum filter_result filter_duplicate(struct node *n, struct request *r,
				    int64_t now)
{
	/* Callers would take the refusal's status for that of both requests. */
	if (n->headers->status_implies_outcome)
		return FILTER_NEXT;
	if (r->id_from_caller && identity_add(n, r) < 0)
		return request_refuse(n, r, REASON_DUPLICATE, OUTCOME_NOT_RUN,
				      now);
	return FILTER_NEXT;
}
