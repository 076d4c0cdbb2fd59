#include "wire/wire.h"

/* Returns the name used in answers to callers. */
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
