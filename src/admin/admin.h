/*
 * The administration API: HTTP with JSON on the admin listener, and the
 * queries by which nodes collect what concerns several of them.
 */
#ifndef ADMIN_ADMIN_H
#define ADMIN_ADMIN_H

#include "node/node.h"

struct admin *admin_new(struct node *n);
void admin_free(struct admin *a);
/* Serves one request on the admin listener. */
void admin_request(struct node *n, uint64_t exchange, struct message *msg,
		   int64_t now);
/* Ends queries whose time is over; every 50 ms. */
void admin_tick(struct node *n, int64_t now);
/* A query of another node, or the answer to one of ours. */
void admin_peer(struct node *n, const struct peer_msg *msg, int64_t now);
/* A member told the number of the note in force on it. */
void admin_heard(struct node *n, const struct addr *member, uint64_t number);

#endif
