/* Spans of counts: equal decisions in minutes that are close together. */
#include "control/explain/explain_impl.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

static uint64_t span_key(const struct explain_span *s)
{
	uint64_t h = pair_hash(name_hash(s->account), name_hash(s->route));
	uint64_t decision = (uint64_t)s->kind << 24 |
			    (uint64_t)s->reason << 16 |
			    (uint64_t)s->outcome << 8 | s->sub_call;

	return pair_hash(pair_hash(h, name_hash(s->service)), decision);
}

/*
 * Merges a span into a list of n. Equal spans that are at most
 * SPAN_GAP_MINUTES apart become one. Returns the new length; a span beyond max
 * is omitted.
 */
size_t explain_merge(struct explain_span *list, size_t n, size_t max,
		     const struct explain_span *s)
{
	uint64_t key = s->key ? s->key : span_key(s);
	struct explain_span *l;
	size_t i;

	for (i = n; i-- > 0;) {
		l = &list[i];
		if (l->key != key ||
		    s->from_min > l->to_min + SPAN_GAP_MINUTES ||
		    l->from_min > s->to_min + SPAN_GAP_MINUTES)
			continue;
		if (s->from_min < l->from_min)
			l->from_min = s->from_min;
		if (s->to_min > l->to_min)
			l->to_min = s->to_min;
		l->n += s->n;
		return n;
	}
	if (n == max)
		return n;
	list[n] = *s;
	list[n].key = key;
	return n + 1;
}

/* Hash index of spans by row key, used while a list is built. */
struct span_index {
	struct row_key *keys; /* by index of span */
	uint32_t *slots;      /* index of span + 1 */
	size_t size;
};

static int span_index_init(struct span_index *x, size_t max)
{
	x->size = 2 * max + 1;
	x->keys = calloc(max + 1, sizeof(*x->keys));
	x->slots = calloc(x->size, sizeof(*x->slots));
	return x->keys && x->slots ? 0 : -1;
}

/* Returns the slot of a key's latest span, or a free slot. */
static uint32_t *span_index_slot(struct span_index *x,
				 const struct row_key *key)
{
	uint64_t h = XXH3_64bits(key, sizeof(*key));
	uint32_t *slot;

	for (;; h++) {
		slot = &x->slots[h % x->size];
		if (!*slot || !memcmp(&x->keys[*slot - 1], key, sizeof(*key)))
			return slot;
	}
}

static void fill_span(const struct counts *c, const struct row *r,
		      struct explain_span *s)
{
	memset(s, 0, sizeof(*s));
	memcpy(s->account, counts_name(c, r->key.account), NAME_SIZE);
	memcpy(s->route, counts_name(c, r->key.route), NAME_SIZE);
	memcpy(s->service, counts_name(c, r->key.service), NAME_SIZE);
	s->kind = r->key.kind;
	s->reason = r->key.reason;
	s->outcome = r->key.outcome;
	s->sub_call = r->key.sub_call;
	s->from_min = s->to_min = r->minute;
	s->n = r->n;
	s->key = span_key(s);
}

/* Adds a row; rows must come in order of time. */
static size_t add_row(const struct counts *c, struct span_index *x,
		      const struct row *r, struct explain_span *out, size_t n,
		      size_t max)
{
	uint32_t *slot = span_index_slot(x, &r->key);

	if (*slot && r->minute <= out[*slot - 1].to_min + SPAN_GAP_MINUTES) {
		out[*slot - 1].to_min = r->minute;
		out[*slot - 1].n += r->n;
		return n;
	}
	if (n == max)
		return n;
	x->keys[n] = r->key;
	fill_span(c, r, &out[n]);
	*slot = (uint32_t)++n;
	return n;
}

/*
 * Lists the counts of one account, or of all with NULL, since a minute and at
 * most one day back, oldest first. Returns the number of spans; when it is
 * max, some may be missing.
 */
size_t counts_spans(const struct counts *c, const char *account,
		    int64_t since_min, struct explain_span *out, size_t max)
{
	int number = account ? counts_number(c, account) : -1;
	struct span_index x;
	const struct row *r;
	size_t n = 0;
	uint64_t i;

	if (span_index_init(&x, max) == 0)
		for (i = counts_since(c, since_min); (r = counts_row(c, i));
		     i++)
			if (!account || r->key.account == number)
				n = add_row(c, &x, r, out, n, max);
	free(x.keys);
	free(x.slots);
	return n;
}
