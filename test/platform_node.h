/* A node with the users' interface that listens on ports of its own. */
#ifndef TEST_PLATFORM_NODE_H
#define TEST_PLATFORM_NODE_H

struct node;

/* more: further settings, each behind a comma. */
struct node *open_platform_node(const char *more);

#endif
