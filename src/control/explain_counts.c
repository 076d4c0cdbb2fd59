/*
 * Counts of decisions by the minute, for a day. Rows lie in a ring in the
 * order of their minutes, so that when it is full the oldest minutes go
 * first. Names past COUNT_NAMES, and rows past COUNT_ROWS_MINUTE in one
 * minute, are counted under one common name.
 */
#include "control/explain_impl.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#define INDEX_SIZE (2 * COUNT_ROWS_MINUTE)
#define OTHER "(other)"
#define USEC_PER_MIN (60 * USEC_PER_SEC)

struct counted_name {
	char name[NAME_SIZE];
	uint16_t number;
	UT_hash_handle hh;
};

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

struct counts {
	struct row *rows;
	uint64_t added; /* rows since the start */
	uint32_t minute;
	uint32_t minute_rows;
	uint32_t index[INDEX_SIZE]; /* rows of this minute, slot plus one */
	struct counted_name *names[COUNT_NAMES];
	struct counted_name *by_name;
	uint32_t name_count;
};

static uint16_t number_of(struct counts *c, const char *name)
{
	struct counted_name *found;

	HASH_FIND_STR(c->by_name, name, found);
	if (found)
		return found->number;
	if (c->name_count == COUNT_NAMES)
		return 0;
	found = calloc(1, sizeof(*found));
	if (!found)
		return 0;
	copy_name(found->name, sizeof(found->name), name);
	found->number = (uint16_t)c->name_count;
	c->names[c->name_count++] = found;
	HASH_ADD_STR(c->by_name, name, found);
	return found->number;
}

/* Makes empty counts; NULL when memory is short. */
struct counts *counts_new(void)
{
	struct counts *c = calloc(1, sizeof(*c));

	if (!c)
		return NULL;
	c->rows = calloc(COUNT_ROWS, sizeof(*c->rows));
	number_of(c, OTHER);
	if (c->rows && c->name_count)
		return c;
	counts_free(c);
	return NULL;
}

/* Frees the counts. */
void counts_free(struct counts *c)
{
	uint32_t i;

	HASH_CLEAR(hh, c->by_name);
	for (i = 0; i < c->name_count; i++)
		free(c->names[i]);
	free(c->rows);
	free(c);
}

/* Returns the bytes that counts take when every bound is reached. */
size_t counts_bytes(void)
{
	return sizeof(struct counts) + COUNT_ROWS * sizeof(struct row) +
	       COUNT_NAMES * sizeof(struct counted_name);
}

/* Ends and turns of requests count; steps on the way do not. */
static bool is_counted(const struct decision *d)
{
	switch (d->kind) {
	case DECISION_REFUSED:
	case DECISION_RETRIED:
	case DECISION_DROPPED:
	case DECISION_ANSWERED:
	case DECISION_OBSERVED:
		return true;
	case DECISION_CANCELLED:
		return d->status; /* the gate's record has none */
	case DECISION_ADMITTED:
	case DECISION_PLACED:
	case DECISION_QUEUED:
	case DECISION_RUN:
		break;
	}
	return false;
}

static void start_minute(struct counts *c, uint32_t minute)
{
	c->minute = minute;
	c->minute_rows = 0;
	memset(c->index, 0, sizeof(c->index));
}

/* Finds the row of a key in this minute, or the free slot of the index. */
static struct row *find_row(struct counts *c, const struct row_key *key,
			    uint32_t **slot)
{
	uint64_t h = pair_hash(
		(uint64_t)key->account << 32 | (uint64_t)key->route << 16 |
			key->service,
		(uint64_t)key->kind << 24 | (uint64_t)key->reason << 16 |
			(uint64_t)key->outcome << 8 | key->sub_call);
	struct row *r;

	for (;; h++) {
		*slot = &c->index[h % INDEX_SIZE];
		if (!**slot)
			return NULL;
		r = &c->rows[**slot - 1];
		if (!memcmp(&r->key, key, sizeof(*key)))
			return r;
	}
}

static struct row *get_row(struct counts *c, const struct row_key *key)
{
	uint32_t *slot, at;
	struct row *r = find_row(c, key, &slot);

	if (r)
		return r;
	if (c->minute_rows == COUNT_ROWS_MINUTE)
		return NULL;
	c->minute_rows++;
	at = (uint32_t)(c->added++ % COUNT_ROWS);
	*slot = at + 1;
	r = &c->rows[at];
	r->minute = c->minute;
	r->n = 0;
	r->key = *key;
	return r;
}

/* Counts one decision; a clock that stepped back counts as this minute. */
void counts_add(struct counts *c, const struct decision *d)
{
	uint32_t minute = (uint32_t)(d->wall_us / USEC_PER_MIN);
	struct row_key key = {.kind = (uint8_t)d->kind,
			      .reason = (uint8_t)d->reason,
			      .outcome = (uint8_t)d->outcome};
	struct row *r;

	if (!is_counted(d))
		return;
	if (minute > c->minute)
		start_minute(c, minute);
	key.sub_call = strcmp(d->request, d->root) != 0;
	key.account = number_of(c, d->account);
	key.route = number_of(c, d->route);
	key.service = number_of(c, d->service);
	r = get_row(c, &key);
	if (!r && c->minute_rows == COUNT_ROWS_MINUTE) {
		key.account = key.route = key.service = 0;
		c->minute_rows -= 1; /* room for the common row */
		r = get_row(c, &key);
		c->minute_rows = COUNT_ROWS_MINUTE;
	}
	if (r)
		r->n++;
}

static bool same_kind(const struct explain_span *a,
		      const struct explain_span *b)
{
	return a->kind == b->kind && a->reason == b->reason &&
	       a->outcome == b->outcome && a->sub_call == b->sub_call &&
	       !strcmp(a->account, b->account) && !strcmp(a->route, b->route) &&
	       !strcmp(a->service, b->service);
}

/*
 * Merges a span into a list of n. Equal spans with at most SPAN_GAP_MIN
 * quiet minutes between them become one. Returns the new length; a span
 * past max is left out.
 */
size_t explain_merge(struct explain_span *list, size_t n, size_t max,
		     const struct explain_span *s)
{
	struct explain_span *l;
	size_t i;

	for (i = n; i-- > 0;) {
		l = &list[i];
		if (!same_kind(l, s) ||
		    s->from_min > l->to_min + SPAN_GAP_MIN ||
		    l->from_min > s->to_min + SPAN_GAP_MIN)
			continue;
		if (s->from_min < l->from_min)
			l->from_min = s->from_min;
		if (s->to_min > l->to_min)
			l->to_min = s->to_min;
		l->n += s->n;
		return n;
	}
	if (n < max)
		list[n++] = *s;
	return n;
}

static void fill_span(const struct counts *c, const struct row *r,
		      struct explain_span *s)
{
	memset(s, 0, sizeof(*s));
	memcpy(s->account, c->names[r->key.account]->name, NAME_SIZE);
	memcpy(s->route, c->names[r->key.route]->name, NAME_SIZE);
	memcpy(s->service, c->names[r->key.service]->name, NAME_SIZE);
	s->kind = r->key.kind;
	s->reason = r->key.reason;
	s->outcome = r->key.outcome;
	s->sub_call = r->key.sub_call;
	s->from_min = s->to_min = r->minute;
	s->n = r->n;
}

/*
 * Lists the counts of one account, or of all with NULL, from a minute on,
 * oldest first; nothing older than a day. Returns the number of spans.
 */
size_t counts_spans(const struct counts *c, const char *account,
		    int64_t since_min, struct explain_span *out, size_t max)
{
	uint64_t i = c->added > COUNT_ROWS ? c->added - COUNT_ROWS : 0;
	int64_t oldest = (int64_t)c->minute - COUNT_KEPT_MIN;
	struct explain_span s;
	const struct row *r;
	size_t n = 0;

	for (; i < c->added; i++) {
		r = &c->rows[i % COUNT_ROWS];
		if (r->minute < since_min || r->minute <= oldest)
			continue;
		fill_span(c, r, &s);
		if (!account || !strcmp(account, s.account))
			n = explain_merge(out, n, max, &s);
	}
	return n;
}
