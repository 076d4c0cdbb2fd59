/* Names of what nodes say to callers and upstreams beyond plain HTTP. */
#ifndef FILTER_EDGE_H
#define FILTER_EDGE_H

#include <stdbool.h>

/* Header names in lower case; NULL where nothing is said. */
struct edge_names {
	const char *request;	 /* identity of a request */
	const char *deadline_ms; /* milliseconds that a caller waits */
	const char *context;	 /* token that sub-calls present */
	const char *outcome;	 /* whether a refused request ran */
	const char *account;	 /* client account, told to upstreams */
	const char *instance;	 /* the one process that may run the request */
	const char *caller;	 /* service on the host of the caller */
	const char *not_run;	 /* an upstream says that it did not run it */
	const char *proof;	 /* every success of an upstream carries it */
	/* Statuses 408, 421, 429 and 503 alone say that nothing ran. */
	bool status_tells_outcome;
	bool fractional_retry_after; /* seconds may have fractions */
};

extern const struct edge_names own_edge;

#endif
