/*
 * Counts of decisions per minute, kept for a day. Rows are in a ring, ordered
 * by minute, so that the oldest minutes are evicted first. Names beyond
 * COUNT_NAMES, and rows beyond COUNT_ROWS_PER_MINUTE in one minute, are counted
 * under one common name.
 */
#include "control/explain/explain_impl.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#define INDEX_SIZE (2 * COUNT_ROWS_PER_MINUTE)
#define OTHER_NAME "(other)"

struct counted_name {
	char name[NAME_SIZE];
	uint16_t number;
	UT_hash_handle hh;
};

struct counts {
	struct row *rows;
	uint64_t added; /* rows since the start */
	uint32_t minute;
	uint32_t minute_rows;
	uint32_t index[INDEX_SIZE]; /* rows of this minute: ring slot + 1 */
	struct counted_name *names[COUNT_NAMES];
	struct counted_name *by_name;
	uint32_t name_count;
};

static uint16_t intern_name(struct counts *c, const char *name)
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

/* Returns NULL when out of memory. */
struct counts *counts_new(void)
{
	struct counts *c = calloc(1, sizeof(*c));

	if (!c)
		return NULL;
	c->rows = calloc(COUNT_ROWS, sizeof(*c->rows));
	intern_name(c, OTHER_NAME);
	if (c->rows && c->name_count)
		return c;
	counts_free(c);
	return NULL;
}

void counts_free(struct counts *c)
{
	uint32_t i;

	HASH_CLEAR(hh, c->by_name);
	for (i = 0; i < c->name_count; i++)
		free(c->names[i]);
	free(c->rows);
	free(c);
}

/* Returns the memory of the counts in bytes when every limit is reached. */
size_t counts_bytes(void)
{
	return sizeof(struct counts) + COUNT_ROWS * sizeof(struct row) +
	       COUNT_NAMES * sizeof(struct counted_name);
}

/* Final results, retries and observed refusals; no intermediate steps. */
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

/*
 * Returns the row of a key in this minute, or NULL; sets slot to its slot in
 * the index, or to a free one.
 */
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

static struct row *find_or_add_row(struct counts *c, const struct row_key *key)
{
	uint32_t *slot, at;
	struct row *r = find_row(c, key, &slot);

	if (r)
		return r;
	if (c->minute_rows == COUNT_ROWS_PER_MINUTE)
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

/*
 * Counts one decision. After the clock was set back, decisions are counted in
 * the latest minute, so that rows stay in order.
 */
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
	/* The upstream itself reported a failure. */
	if (d->kind == DECISION_ANSWERED && d->status >= 500)
		key.reason = REASON_UPSTREAM_FAILED;
	key.sub_call = strcmp(d->request, d->root) != 0;
	key.account = intern_name(c, d->account);
	key.route = intern_name(c, d->route);
	key.service = intern_name(c, d->service);
	r = find_or_add_row(c, &key);
	if (!r && c->minute_rows == COUNT_ROWS_PER_MINUTE) {
		key.account = key.route = key.service = 0;
		c->minute_rows -= 1; /* room for the common row */
		r = find_or_add_row(c, &key);
		c->minute_rows = COUNT_ROWS_PER_MINUTE;
	}
	if (r)
		r->n++;
}

/* Returns the name with a number, as used in rows. */
const char *counts_name(const struct counts *c, uint16_t number)
{
	return c->names[number]->name;
}

/* Returns the number of a name, -1 when nothing was counted under it. */
int counts_number(const struct counts *c, const char *name)
{
	struct counted_name *found;

	HASH_FIND_STR(c->by_name, name, found);
	return found ? found->number : -1;
}

/* Returns the row with sequence number i, NULL past the end. */
const struct row *counts_row(const struct counts *c, uint64_t i)
{
	return i < c->added ? &c->rows[i % COUNT_ROWS] : NULL;
}

/*
 * Returns the sequence number of the first row that is not before minute and
 * less than a day old.
 */
uint64_t counts_since(const struct counts *c, int64_t minute)
{
	uint64_t low = c->added > COUNT_ROWS ? c->added - COUNT_ROWS : 0;
	uint64_t high = c->added, middle;

	if (minute <= (int64_t)c->minute - COUNT_RETENTION_MINUTES)
		minute = (int64_t)c->minute - COUNT_RETENTION_MINUTES + 1;
	while (low < high) {
		middle = low + (high - low) / 2;
		if (counts_row(c, middle)->minute < minute)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}
