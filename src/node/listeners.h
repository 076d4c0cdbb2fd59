/* The listeners of a node: HTTP servers and links to other nodes. */
#ifndef NODE_LISTENERS_H
#define NODE_LISTENERS_H

#include "node/node.h"

/* Opens the HTTP servers and the links; -1 with err set. */
int listeners_open(struct node *n, struct error *err);
/*
 * Answers an announcement of an upstream; while announcements may be held, with
 * the address that later ones are to be sent to.
 */
void listeners_answer_announcement(struct node *n,
				   const struct announcement_exchange *exchange,
				   int status);
/* Logs the addresses listened on. */
void listeners_log(const struct node *n);
/* Closes the gates and the links; net_close() closes the HTTP servers. */
void listeners_close(struct node *n);

#endif
