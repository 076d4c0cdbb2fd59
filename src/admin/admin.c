#include "admin/admin_impl.h"

#include <stdlib.h>
#include <string.h>

#define QUERIES_MAX 64
#define MEMBER_NOTES_MAX 32768
#define PATH_SIZE 256

/* Allocates the state of the API; NULL when out of memory. */
struct admin *admin_new(struct node *n)
{
	struct admin *a = calloc(1, sizeof(*a));

	if (!a)
		return NULL;
	a->node = n;
	table_init(&a->queries, sizeof(struct admin_query *), QUERIES_MAX);
	return a;
}

/* Frees the state; unfinished queries are dropped without an answer. */
void admin_free(struct admin *a)
{
	struct member_note *note = a->member_notes, *next;

	admin_queries_free(a);
	admin_pending_free_all(a);
	HASH_CLEAR(hh, a->member_notes);
	for (; note; note = next) {
		next = note->hh.next;
		free(note);
	}
	free(a);
}

static void answer_unknown(struct node *n, uint64_t exchange, bool known_path)
{
	if (known_path)
		admin_answer_error(n, exchange, 405,
				   "this path has no such method",
				   "see docs/openapi.json for the methods");
	else
		admin_answer_error(n, exchange, 404, "no such path",
				   "see docs/openapi.json for the paths");
}

static void log_refusal(const char *method, const char *path, int status)
{
	struct log_line line;

	log_start(&line, LOG_WARNING, "admin-refused");
	log_str(&line, "method", method);
	log_str(&line, "path", path);
	log_int(&line, "status", status);
	log_emit(&line);
}

static void answer_unauthorized(struct node *n, uint64_t exchange, int status)
{
	if (status == 403)
		admin_answer_error(n, exchange, 403,
				   "this operator's key may only read",
				   "ask an operator who may change things");
	else
		admin_answer_error(n, exchange, 401,
				   "an operator's key is wanted, and none that "
				   "is known came",
				   "send it as 'Authorization: Bearer KEY'; "
				   "before there are operators, the key of "
				   "bootstrap_operator in the settings");
}

/* Serves one request on the admin listener. */
void admin_request(struct node *n, uint64_t exchange, struct message *msg,
		   int64_t now)
{
	struct admin_call c = {
		.node = n, .exchange = exchange, .msg = msg, .now = now};
	size_t len = strcspn(msg->target, "?");
	const struct admin_route *route = NULL;
	bool known_path = false;
	char path[PATH_SIZE];
	int status;

	if (len < sizeof(path)) {
		memcpy(path, msg->target, len);
		path[len] = 0;
		route = admin_find_route(msg->method, path, &c.number,
					 &known_path);
	}
	if (!route) {
		answer_unknown(n, exchange, known_path);
		return;
	}
	c.query = msg->target[len] ? msg->target + len + 1 : "";
	status = admin_authorize(&n->settings, n->config,
				 message_header(msg, "authorization"),
				 route->access, &c.who);
	if (status == 200) {
		route->run(&c);
		return;
	}
	log_refusal(msg->method, path, status);
	answer_unauthorized(n, exchange, status);
}

/* Returns the number of the note in force here; 0 before the first. */
uint64_t admin_note_number(const struct node *n)
{
	return n->config ? config_number(n->config) : 0;
}

/* Drops the entries of nodes that are no longer members. */
static void prune_member_notes(struct node *n)
{
	struct member_note *note = n->admin_state->member_notes, *next;

	HASH_CLEAR(hh, n->admin_state->member_notes);
	for (; note; note = next) {
		next = note->hh.next;
		if (members_find(n->members, &note->member))
			HASH_ADD(hh, n->admin_state->member_notes, member,
				 sizeof(note->member), note);
		else
			free(note);
	}
}

/*
 * Records the number of the note in force on a member, as it reported it.
 * A new member is ignored when the table is full or memory runs out.
 */
void admin_note_number_received(struct node *n, const struct addr *member,
				uint64_t number)
{
	struct admin *a = n->admin_state;
	struct member_note *note;

	HASH_FIND(hh, a->member_notes, member, sizeof(*member), note);
	if (!note) {
		if (HASH_COUNT(a->member_notes) >= MEMBER_NOTES_MAX)
			prune_member_notes(n);
		if (HASH_COUNT(a->member_notes) >= MEMBER_NOTES_MAX)
			return;
		note = calloc(1, sizeof(*note));
		if (!note)
			return;
		note->member = *member;
		HASH_ADD(hh, a->member_notes, member, sizeof(note->member),
			 note);
	}
	note->number = number;
}

/* Returns the number that a member last reported, or 0. */
uint64_t admin_member_note_number(const struct admin *a,
				  const struct addr *member)
{
	struct member_note *note;

	HASH_FIND(hh, a->member_notes, member, sizeof(*member), note);
	return note ? note->number : 0;
}

/*
 * Sends a member the number of the note in force here. With PEER_QUERY the
 * member replies with its own number. Every message sent from here carries the
 * number of its sender.
 */
int admin_send_note_number(struct node *n, const struct addr *to,
			   enum peer_msg_kind kind)
{
	struct peer_msg msg = {.kind = kind,
			       .incarnation = n->incarnation,
			       .config_number = admin_note_number(n)};
	int rc = buffer_printf(&msg.query.text, "{}");

	if (!rc)
		rc = links_datagram(n->links, to, &msg);
	buffer_free(&msg.query.text);
	return rc;
}

/* Sends a query, or the response to one, to another node. */
int admin_send(struct node *n, const struct addr *to, enum peer_msg_kind kind,
	       uint64_t id, const char *text, int64_t now)
{
	struct peer_msg msg = {.kind = kind,
			       .incarnation = n->incarnation,
			       .config_number = admin_note_number(n)};
	int rc;

	msg.query.id = id;
	if (buffer_append(&msg.query.text, text, strlen(text), PEER_BYTES_MAX) <
	    0)
		return -1;
	rc = links_send(n->links, to, &msg, now);
	buffer_free(&msg.query.text);
	return rc;
}
