#include "filter/interface_headers.h"

#include <stddef.h>

/* Used unless the settings select another interface. */
const struct interface_headers default_interface_headers = {
	.request = "x-request-id",
	.deadline_ms = "mulberryferry-deadline-ms",
	.context = "mulberryferry-context",
	.outcome = "mulberryferry-outcome",
};
