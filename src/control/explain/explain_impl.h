/* Internal to the decision records (explain). */
#ifndef CONTROL_EXPLAIN_IMPL_H
#define CONTROL_EXPLAIN_IMPL_H

#include "control/control.h"

#define USEC_PER_MIN (60 * USEC_PER_SEC)

/*
 * Hash index over the ring of records: for each hash a list of records, newest
 * first, as sequence numbers plus one (0 ends a list). A number that was
 * overwritten in the ring ends its list too.
 */
struct record_index {
	uint64_t *heads;
	uint64_t *prev; /* next older record, by ring slot */
};

#define COUNT_ROWS 262144	    /* in total; the oldest are evicted first */
#define COUNT_ROWS_PER_MINUTE 16384 /* distinct rows in one minute */
#define COUNT_NAMES 16384	    /* of accounts, routes and services */
#define COUNT_RETENTION_MINUTES (24 * 60) /* a day */
#define SPAN_GAP_MINUTES 5		  /* longest gap within one span */

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

/* Counts of decisions per minute. */
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
