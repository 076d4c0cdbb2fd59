/* What evacuations mean for the requests and calls of a node. */
#ifndef NODE_EVACUATION_H
#define NODE_EVACUATION_H

#include "node/node.h"

/* Begins to follow evacuations, if the settings promise that; -1: no memory. */
int evacuation_open(struct node *n);
/* Whether the node knows all that it needs in order to serve. */
bool node_is_configured(const struct node *n);
/* Whether the request may be sent to an upstream in the data centre. */
bool evacuation_permits(const struct node *n, const struct request *r,
			uint64_t data_centre, int64_t now);
/* Whether the service has upstreams, and the request is kept from all. */
bool evacuation_leaves_none(struct node *n, struct request *r, int64_t now);
/* Records that the event loop runs; to be called every few milliseconds. */
void evacuation_ticked(struct node *n, int64_t now);
/*
 * Whether the process was paused, and does not yet know again what is in
 * force. Calls that waited in its sockets meanwhile may be of hosts that know.
 */
bool evacuation_resumes(const struct node *n, int64_t now);
/* Why the gates of this node reject every call; REASON_NONE: they don't. */
enum reason evacuation_gate_reason(const struct node *n, int64_t now);

#endif
