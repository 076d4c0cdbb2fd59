/* One question to an upstream of this host: is it healthy, and not leaving? */
#ifndef NODE_HEALTH_CHECK_H
#define NODE_HEALTH_CHECK_H

#include "filter/interface_headers.h"
#include "net/net.h"

struct health_check;

struct health_check_options {
	struct net *net;
	const struct interface_headers *headers;
	const struct addr *addr;
	const char *path;
	const char *instance; /* that has to answer */
};

enum health_result {
	HEALTH_PENDING,
	HEALTH_GOOD,
	HEALTH_UNKNOWN, /* leaving, failing, full, silent or another instance */
};

/* Sends the question; NULL if that is not possible. */
struct health_check *health_check_start(const struct health_check_options *o,
					int64_t now);
enum health_result health_check_result(const struct health_check *h);
/* Drops the question; NULL is allowed. */
void health_check_free(struct health_check *h);

#endif
