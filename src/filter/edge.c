#include "filter/edge.h"

#include <stddef.h>

/* Used unless the settings select another interface. */
const struct edge_names default_edge = {
	.request = "x-request-id",
	.deadline_ms = "mulberryferry-deadline-ms",
	.context = "mulberryferry-context",
	.outcome = "mulberryferry-outcome",
};
