#include "base/base.h"

#include <stdio.h>

/*
 * Fills err, which may be NULL. Always returns -1, so that callers can return
 * its result. peer may be NULL when no remote end or file is involved.
 */
int error_set(struct error *err, enum error_code code, const char *step,
	      const char *peer, const char *fmt, ...)
{
	va_list ap;

	if (!err)
		return -1;
	err->code = code;
	snprintf(err->step, sizeof(err->step), "%s", step);
	snprintf(err->peer, sizeof(err->peer), "%s", peer ? peer : "-");
	va_start(ap, fmt);
	vsnprintf(err->text, sizeof(err->text), fmt, ap);
	va_end(ap);
	return -1;
}

/* Returns the name of a code as written in logs and JSON. */
const char *error_code_name(enum error_code code)
{
	switch (code) {
	case ERROR_NONE:
		return "none";
	case ERROR_INPUT:
		return "input";
	case ERROR_LIMIT:
		return "limit";
	case ERROR_IO:
		return "io";
	case ERROR_AUTH:
		return "auth";
	case ERROR_TIMEOUT:
		return "timeout";
	case ERROR_CONFLICT:
		return "conflict";
	case ERROR_NOT_FOUND:
		return "not-found";
	case ERROR_MEMORY:
		return "memory";
	case ERROR_STATE:
		return "state";
	}
	return "unknown";
}
