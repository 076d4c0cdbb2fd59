#include "wire/wire.h"

struct reason_row {
	const char *code;
	int status;
	const char *sentence;
};

static const struct reason_row rows[REASON_COUNT] = {
	[REASON_NONE] = {"none", 200, "The request was answered."},
	[REASON_BAD_REQUEST] = {"bad-request", 400,
				"The request is malformed: its method, path, "
				"headers or body break the rules of HTTP or "
				"of this route."},
	[REASON_BODY_TOO_LARGE] = {"body-too-large", 413,
				   "The body is longer than this host "
				   "accepts."},
	[REASON_NO_ROUTE] = {"no-route", 404,
			     "No route in the configuration matches this "
			     "method and path."},
	[REASON_NO_KEY] = {"no-key", 401,
			   "The route needs a key, and the request came "
			   "without one."},
	[REASON_BAD_KEY] = {"bad-key", 401,
			    "The key is not known, or it has been "
			    "withdrawn."},
	[REASON_NOT_CONFIGURED] = {"not-configured", 503,
				   "This host has not received a configuration "
				   "yet, so it serves nothing."},
	[REASON_STALE_CONFIG] = {"stale-config", 503,
				 "This host has been cut off from "
				 "configuration changes for longer than the "
				 "client account allows."},
	[REASON_OVER_RATE] = {"over-rate", 429,
			      "The client account has used up its rate and "
			      "burst, counted over all hosts."},
	[REASON_NO_QUOTA] = {"no-quota", 503,
			     "No host that can be reached holds tokens of the "
			     "client account yet; this passes in seconds "
			     "unless the platform's store is out."},
	[REASON_SHED] = {"shed", 503,
			 "A service needed for this request is overloaded, "
			 "and requests of this importance are being shed."},
	[REASON_QUEUE_FULL] = {"queue-full", 503,
			       "Too many requests are already waiting for the "
			       "upstream."},
	[REASON_QUEUE_TIMEOUT] = {"queue-timeout", 503,
				  "The request waited too long for the "
				  "upstream and was dropped before it ran."},
	[REASON_DEADLINE] = {"deadline", 504,
			     "The deadline of the request passed, or too "
			     "little time was left for it to finish."},
	[REASON_NO_UPSTREAM] = {"no-upstream", 503,
				"No upstream of the service can be reached "
				"and takes new work."},
	[REASON_UPSTREAM_FAILED] = {"upstream-failed", 502,
				    "The upstream broke the connection or "
				    "failed before it gave a whole answer."},
	[REASON_UPSTREAM_MALFORMED] =
		{"upstream-garbage", 502,
		 "The upstream gave an answer that is not "
		 "valid HTTP."},
	[REASON_LINK_LOST] = {"link-lost", 502,
			      "The connection to the upstream's host was "
			      "lost before the whole answer came."},
	[REASON_NO_IDEMPOTENCY_KEY] = {"no-idempotency-key", 400,
				       "This route runs each request at most "
				       "once and needs an Idempotency-Key "
				       "header."},
	[REASON_IDEMPOTENCY_MISMATCH] = {"idempotency-mismatch", 422,
					 "The idempotency key was used before "
					 "with a different request."},
	[REASON_CLAIM_RUNNING] = {"claim-running", 409,
				  "A request with the same idempotency key is "
				  "still running."},
	[REASON_CLAIM_UNKNOWN] = {"claim-unknown", 409,
				  "An earlier request with the same "
				  "idempotency key may or may not have run, so "
				  "it is not run again; staff must settle "
				  "it."},
	[REASON_STORE_UNAVAILABLE] =
		{"store-out", 503,
		 "The platform's store did not answer, so the "
		 "request could not be protected against running "
		 "twice and was not run."},
	[REASON_DUPLICATE] = {"duplicate", 409,
			      "A request with the same identity is still "
			      "running."},
	[REASON_BAD_CONTEXT] = {"bad-context", 403,
				"The call context is not known on this host, "
				"or its request has already ended."},
	[REASON_CANCELLED] = {"cancelled", 499,
			      "The caller went away before the answer was "
			      "ready."},
	[REASON_STOPPING] = {"stopping", 503,
			     "This host is stopping and takes no new "
			     "requests."},
	[REASON_OVERLOADED] = {"overloaded", 503,
			       "This host holds as many requests, or bytes of "
			       "requests, as it may."},
	[REASON_UPSTREAM_REFUSED] = {"upstream-refused", 503,
				     "The upstream turned the request away "
				     "before it ran."},
	[REASON_POISON] = {"poison", 503,
			   "Several upstreams crashed while they ran this "
			   "request, so it is not run again for now."},
	[REASON_COLD] = {"cold", 503,
			 "The upstream has just started and takes few "
			 "requests for now."},
	[REASON_NO_HOME_UPSTREAM] =
		{"no-home-upstream", 503,
		 "No upstream of the service in the home regions of the "
		 "route and the client account can be reached and takes new "
		 "work."},
	[REASON_EVACUATED] = {"evacuated", 503,
			      "Every data centre with upstreams of the service "
			      "is being taken out of service by operators."},
};

static const struct reason_row *row(enum reason r)
{
	return (unsigned int)r < REASON_COUNT ? &rows[r] : &rows[REASON_NONE];
}

/* Returns the short code used in logs, metrics and answers. */
const char *reason_code(enum reason r)
{
	return row(r)->code;
}

/* Returns one sentence that explains the reason to a person. */
const char *reason_sentence(enum reason r)
{
	return row(r)->sentence;
}

/* Returns the HTTP status of a refusal for this reason. */
int reason_status(enum reason r)
{
	return row(r)->status;
}
