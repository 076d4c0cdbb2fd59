/* The four listeners of a node. */
#ifndef NODE_LISTENERS_H
#define NODE_LISTENERS_H

#include "node/node.h"

int listeners_open(struct node *n, struct error *err);
void listeners_log(const struct node *n);
void listeners_close(struct node *n);

#endif
