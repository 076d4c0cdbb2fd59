/* Shared by the files of the decision records alone. */
#ifndef CONTROL_EXPLAIN_IMPL_H
#define CONTROL_EXPLAIN_IMPL_H

#include "control/control.h"

/*
 * Chains of records with the same hash, newest first, as sequence numbers
 * plus one. A number too old for the ring ends its chain.
 */
struct chain {
	uint64_t *heads;
	uint64_t *before; /* by the slot of a record */
};

#define COUNT_ROWS 262144	 /* in all, oldest dropped first */
#define COUNT_ROWS_MINUTE 16384	 /* distinct ones of one minute */
#define COUNT_NAMES 16384	 /* of accounts, routes and services */
#define COUNT_KEPT_MIN (24 * 60) /* minutes */
#define SPAN_GAP_MIN 5		 /* quiet minutes within one span */

/* Counts by the minute. */
struct counts;

struct counts *counts_new(void);
void counts_free(struct counts *c);
size_t counts_bytes(void);
void counts_add(struct counts *c, const struct decision *d);
size_t counts_spans(const struct counts *c, const char *account,
		    int64_t since_min, struct explain_span *out, size_t max);

#endif
