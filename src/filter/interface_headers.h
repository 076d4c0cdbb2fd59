/* Headers and conventions that nodes use with callers and upstreams. */
#ifndef FILTER_INTERFACE_HEADERS_H
#define FILTER_INTERFACE_HEADERS_H

#include <stdbool.h>

/* Header names in lower case; NULL: the interface has no such header. */
struct interface_headers {
	const char *request;	   /* request id */
	const char *deadline_ms;   /* milliseconds until the deadline */
	const char *context;	   /* token that sub-calls send back */
	const char *outcome;	   /* whether a refused request ran */
	const char *account;	   /* client account, sent to upstreams */
	const char *instance;	   /* process that alone may run the request */
	const char *answering;	   /* process that refuses it by a 421 */
	const char *caller;	   /* service on the caller's host */
	const char *not_run;	   /* set by upstreams that did not run it */
	const char *success_proof; /* set on every 2xx answer of an upstream */
	const char *rate_limit;	   /* requests a second an upstream takes */
	const char *leaving;	   /* "1": the upstream leaves */
	/*
	 * Callers learn the outcome from the status: 408, 421, 429 and 503
	 * mean that the request did not run.
	 */
	bool status_implies_outcome;
	bool fractional_retry_after; /* three decimals, else whole seconds */
};

extern const struct interface_headers default_interface_headers;

#endif
