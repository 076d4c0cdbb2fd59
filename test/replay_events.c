#include "replay_events.h"

#include <stdlib.h>

static int before(const struct event *a, const struct event *b)
{
	return a->at_us != b->at_us ? a->at_us < b->at_us : a->seq < b->seq;
}

/* Adds an event; returns -1 when out of memory. */
int events_add(struct events *e, struct event ev)
{
	size_t size = e->size ? e->size * 2 : 1024, i, parent;
	struct event *p;

	if (e->n == e->size) {
		p = realloc(e->heap, size * sizeof(*p));
		if (!p)
			return -1;
		e->heap = p;
		e->size = size;
	}
	ev.seq = ++e->seq;
	for (i = e->n++; i; i = parent) {
		parent = (i - 1) / 2;
		if (before(&e->heap[parent], &ev))
			break;
		e->heap[i] = e->heap[parent];
	}
	e->heap[i] = ev;
	return 0;
}

/* Removes the earliest event into *ev; returns -1 when there is none. */
int events_take(struct events *e, struct event *ev)
{
	struct event last;
	size_t i, child;

	if (!e->n)
		return -1;
	*ev = e->heap[0];
	last = e->heap[--e->n];
	for (i = 0; (child = 2 * i + 1) < e->n; i = child) {
		if (child + 1 < e->n &&
		    before(&e->heap[child + 1], &e->heap[child]))
			child++;
		if (before(&last, &e->heap[child]))
			break;
		e->heap[i] = e->heap[child];
	}
	if (e->n)
		e->heap[i] = last;
	return 0;
}
