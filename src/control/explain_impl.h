/* Shared by the files of the decision records alone. */
#ifndef CONTROL_EXPLAIN_IMPL_H
#define CONTROL_EXPLAIN_IMPL_H

#include "control/control.h"

#define USEC_PER_MIN (60 * USEC_PER_SEC)

/*
 * Chains of records with the same hash, newest first, as sequence numbers
 * plus one. A number too old for the ring ends its chain.
 */
struct record_index {
	uint64_t *heads;
	uint64_t *prev; /* by the slot of a record */
};

#define COUNT_ROWS 262144		  /* in all, oldest dropped first */
#define COUNT_ROWS_PER_MINUTE 16384	  /* distinct ones of one minute */
#define COUNT_NAMES 16384		  /* of accounts, routes and services */
#define COUNT_RETENTION_MINUTES (24 * 60) /* minutes */
#define SPAN_GAP_MINUTES 5		  /* quiet minutes within one span */

struct row_key {
	uint16_t account;
	uint16_t route;
	uint16_t service;
	uint8_t kind;
	uint8_t reason;
	uint8_t outcome;
	uint8_t sub_call;
};

struct row {
	uint32_t minute;
	uint32_t n;
	struct row_key key;
};

/* Counts by the minute. */
struct counts;

struct counts *counts_new(void);
void counts_free(struct counts *c);
size_t counts_bytes(void);
void counts_add(struct counts *c, const struct decision *d);
int counts_number(const struct counts *c, const char *name);
const char *counts_name(const struct counts *c, uint16_t number);
const struct row *counts_row(const struct counts *c, uint64_t i);
uint64_t counts_since(const struct counts *c, int64_t minute);
size_t counts_spans(const struct counts *c, const char *account,
		    int64_t since_min, struct explain_span *out, size_t max);

#endif
