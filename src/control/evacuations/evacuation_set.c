/* Sets of evacuated data centres and the precedence between them. */
#include "control/evacuations/evacuations.h"

#include <string.h>

/*
 * A connected node has a younger proof: it reads the store itself once its
 * proof is 1.6 s old.
 */
#define PROOF_MAX_US (2 * USEC_PER_SEC)

const struct evacuation *evacuation_set_find(const struct evacuation_set *s,
					     uint64_t hash)
{
	size_t i;

	for (i = 0; i < s->n; i++)
		if (s->items[i].hash == hash)
			return &s->items[i];
	return NULL;
}

int evacuation_set_add(struct evacuation_set *s, const char *data_centre,
		       int64_t learnt_us, enum evacuation_path path)
{
	struct evacuation e = {.learnt_us = learnt_us, .path = path};

	if (!*data_centre ||
	    copy_name(e.data_centre, sizeof(e.data_centre), data_centre) < 0)
		return -1;
	e.hash = name_hash(data_centre);
	if (evacuation_set_find(s, e.hash))
		return 0;
	if (s->n == EVACUATIONS_MAX)
		return -1;
	s->items[s->n++] = e;
	return 0;
}

static bool precedes(const struct evacuation_set *a,
		     const struct evacuation_set *b)
{
	if (!a->known || !b->known)
		return a->known;
	if (a->era != b->era)
		return a->era > b->era;
	return a->revision > b->revision;
}

bool evacuation_set_merge(struct evacuation_set *to,
			  const struct evacuation_set *from)
{
	struct evacuation_set before = *to;
	const struct evacuation *e;
	size_t i;

	if (!precedes(from, to))
		return false;
	*to = *from;
	for (i = 0; i < to->n; i++) {
		e = evacuation_set_find(&before, to->items[i].hash);
		if (e)
			to->items[i] = *e;
	}
	return true;
}

static void set_remove(struct evacuation_set *s, uint64_t hash)
{
	size_t i;

	for (i = 0; i < s->n; i++)
		if (s->items[i].hash == hash)
			s->items[i--] = s->items[--s->n];
}

bool evacuation_set_change(struct evacuation_set *s, int64_t era,
			   int64_t revision, const struct evacuation *order,
			   bool present)
{
	if (!s->known || era != s->era || revision <= s->revision)
		return false;
	s->revision = revision;
	if (present)
		evacuation_set_add(s, order->data_centre, order->learnt_us,
				   order->path);
	else
		set_remove(s, order->hash);
	return true;
}

int64_t evacuation_learnt_us(int64_t proof_us, int64_t age_us, int64_t bound_us,
			     int64_t now)
{
	int64_t oldest = now - bound_us;
	int64_t learnt = now - age_us;

	if (proof_us > now - PROOF_MAX_US)
		return learnt;
	if (proof_us > oldest)
		oldest = proof_us;
	return oldest < learnt ? oldest : learnt;
}
