#include "wire/wire.h"

/* Returns the name that answers to callers carry. */
const char *outcome_name(enum outcome o)
{
	switch (o) {
	case OUTCOME_DONE:
		return "done";
	case OUTCOME_NOT_RUN:
		return "not-run";
	case OUTCOME_UNKNOWN:
		return "unknown";
	}
	return "unknown";
}
