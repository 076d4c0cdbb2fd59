#include "control/members/members_impl.h"

#include <stdlib.h>

#define SET_MIN 16

/* Adds a member that is in no set of this kind; -1 when out of memory. */
int set_add(struct member_set *s, struct member *b, enum set_kind kind)
{
	uint32_t size = s->size ? s->size * 2 : SET_MIN;
	struct member **p;

	if (s->n == s->size) {
		/* NOLINTNEXTLINE(bugprone-sizeof-expression): of pointers */
		p = reallocarray(s->items, size, sizeof(*p));
		if (!p)
			return -1;
		s->items = p;
		s->size = size;
	}
	b->sets[kind] = s;
	b->positions[kind] = s->n;
	s->items[s->n++] = b;
	return 0;
}

/* Removes a member from its set of this kind, if any. */
void set_remove(struct member *b, enum set_kind kind)
{
	struct member_set *s = b->sets[kind];
	struct member *last;

	if (!s)
		return;
	last = s->items[--s->n];
	s->items[b->positions[kind]] = last;
	last->positions[kind] = b->positions[kind];
	b->sets[kind] = NULL;
}

/* Swaps the members at positions i and j. */
void set_swap(struct member_set *s, uint32_t i, uint32_t j, enum set_kind kind)
{
	struct member *b = s->items[i];

	s->items[i] = s->items[j];
	s->items[j] = b;
	s->items[i]->positions[kind] = i;
	s->items[j]->positions[kind] = j;
}

/* Returns a random member, or NULL when the set is empty. */
struct member *set_random(const struct member_set *s, gsl_rng *rng)
{
	return s->n ? s->items[gsl_rng_uniform_int(rng, s->n)] : NULL;
}
