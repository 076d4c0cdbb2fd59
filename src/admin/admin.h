/*
 * The administration API: HTTP with JSON on the admin listener, and the
 * queries that nodes send each other to collect the records and counts of
 * several hosts.
 */
#ifndef ADMIN_ADMIN_H
#define ADMIN_ADMIN_H

#include "node/node.h"

struct admin *admin_new(struct node *n);
void admin_free(struct admin *a);
/*
 * Checks a configuration in any form that config_file_read takes. Returns the
 * findings as JSON, with the differences from in_force unless that is NULL.
 */
struct json_object *admin_check_config(const struct config *in_force,
				       const void *data, size_t len);
/* Serves one request on the admin listener. */
void admin_request(struct node *n, uint64_t exchange, struct message *msg,
		   int64_t now);
/* Expires queries that passed their deadline; called every 50 ms. */
void admin_tick(struct node *n, int64_t now);
/* Handles a query of another node, or a response to a query of this one. */
void admin_peer(struct node *n, const struct peer_msg *msg, int64_t now);
/* Records the number of the note in force on a member, as it reported it. */
void admin_note_number_received(struct node *n, const struct addr *member,
				uint64_t number);

#endif
