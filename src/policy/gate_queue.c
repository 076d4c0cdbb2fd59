#include "policy/gate_impl.h"

#include <stdlib.h>
#include <utlist.h>

#define HEAP_MIN 64

static void heap_put(struct gate *g, size_t i, struct gate_item *it)
{
	g->heap[i] = it;
	it->heap_index = i;
}

static void heap_up(struct gate *g, size_t i)
{
	struct gate_item *it = g->heap[i];
	size_t parent;

	for (; i; i = parent) {
		parent = (i - 1) / 2;
		if (g->heap[parent]->start_by_us <= it->start_by_us)
			break;
		heap_put(g, i, g->heap[parent]);
	}
	heap_put(g, i, it);
}

static void heap_down(struct gate *g, size_t i)
{
	struct gate_item *it = g->heap[i];
	size_t child;

	for (; (child = 2 * i + 1) < g->heap_n; i = child) {
		if (child + 1 < g->heap_n &&
		    g->heap[child + 1]->start_by_us <
			    g->heap[child]->start_by_us)
			child++;
		if (it->start_by_us <= g->heap[child]->start_by_us)
			break;
		heap_put(g, i, g->heap[child]);
	}
	heap_put(g, i, it);
}

static int heap_add(struct gate *g, struct gate_item *it)
{
	size_t size = g->heap_size ? g->heap_size * 2 : HEAP_MIN;
	struct gate_item **p;

	if (g->heap_n == g->heap_size) {
		p = realloc(g->heap, size * sizeof(void *));
		if (!p)
			return -1;
		g->heap = p;
		g->heap_size = size;
	}
	heap_put(g, g->heap_n, it);
	heap_up(g, g->heap_n++);
	return 0;
}

static void heap_remove(struct gate *g, struct gate_item *it)
{
	size_t i = it->heap_index;
	struct gate_item *last = g->heap[--g->heap_n];

	if (last == it)
		return;
	heap_put(g, i, last);
	heap_up(g, i);
	heap_down(g, last->heap_index);
}

/* Adds a sub-call in the order of start_by_us; most belong near the end. */
static void add_sub_call(struct gate *g, struct gate_item *it)
{
	struct gate_item **list = &g->sub_calls[it->call.cls];
	struct gate_item *at = *list ? (*list)->sooner : NULL;

	while (at && at != *list && at->start_by_us > it->start_by_us)
		at = at->sooner;
	if (!at || at->start_by_us > it->start_by_us)
		DL_PREPEND2(*list, it, sooner, later);
	else
		DL_APPEND_ELEM2(*list, at, it, sooner, later);
}

/* Queues an item in the flow of its account; -1 when out of memory. */
int queue_add(struct gate *g, struct gate_item *it, struct gate_account *a)
{
	enum shed_class cls = it->call.cls;
	struct gate_flow *f = &a->flow[cls];

	if (heap_add(g, it) < 0)
		return -1;
	it->account = a;
	it->seq = ++g->seq;
	if (!f->n++) {
		f->deficit = 0;
		DL_APPEND(g->flows[cls], f);
	}
	DL_APPEND(f->items, it);
	DL_APPEND2(g->class_items[cls], it, older, newer);
	if (it->call.depth)
		add_sub_call(g, it);
	g->class_n[cls]++;
	g->queued++;
	return 0;
}

static void unlink_flow(struct gate *g, enum shed_class cls,
			struct gate_flow *f)
{
	DL_DELETE(g->flows[cls], f);
}

static void unlink_item(struct gate *g, struct gate_item *it,
			struct gate_flow *f)
{
	DL_DELETE(f->items, it);
	DL_DELETE2(g->class_items[it->call.cls], it, older, newer);
	if (it->call.depth)
		DL_DELETE2(g->sub_calls[it->call.cls], it, sooner, later);
}

/* Removes a queued item at any position of its flow. */
void queue_remove(struct gate *g, struct gate_item *it)
{
	enum shed_class cls = it->call.cls;
	struct gate_flow *f = &it->account->flow[cls];

	heap_remove(g, it);
	unlink_item(g, it, f);
	if (!--f->n)
		unlink_flow(g, cls, f);
	g->class_n[cls]--;
	g->queued--;
	it->account = NULL;
	if (g->queued < g->queued_min)
		g->queued_min = g->queued;
}

/*
 * Returns the next item in order of importance: sub-calls by their
 * deadlines, then roots by deficit round robin between accounts, weight calls a
 * round. NULL if none is queued.
 */
struct gate_item *queue_pick(struct gate *g)
{
	struct gate_flow *f;
	struct gate_item *it;
	int cls;

	for (cls = SHED_LAST; cls >= SHED_FIRST; cls--)
		if (g->flows[cls])
			break;
	if (cls < SHED_FIRST)
		return NULL;
	/* Their roots were admitted, and the runs above them hold slots. */
	if (g->sub_calls[cls])
		return g->sub_calls[cls];
	f = g->flows[cls];
	it = f->items;
	if (!f->deficit)
		f->deficit = it->account->weight;
	if (!--f->deficit && f->next) {
		DL_DELETE(g->flows[cls], f);
		DL_APPEND(g->flows[cls], f);
	}
	return it;
}

/* Returns the oldest item of all classes. */
struct gate_item *queue_oldest(const struct gate *g)
{
	struct gate_item *oldest = NULL;
	int cls;

	for (cls = 0; cls < SHED_CLASSES; cls++)
		if (g->class_items[cls] &&
		    (!oldest || g->class_items[cls]->seq < oldest->seq))
			oldest = g->class_items[cls];
	return oldest;
}

/*
 * Returns the item to evict from a full queue for a call of class cls of
 * account a: the newest of the least important class below cls, or else, in
 * cls, the newest of the account with the most queued calls for its weight,
 * if that is more than a has. NULL if the new call is to be refused.
 */
struct gate_item *queue_victim(const struct gate *g, enum shed_class cls,
			       const struct gate_account *a)
{
	const struct gate_flow *f;
	struct gate_item *victim = NULL;
	double most = (double)(a->flow[cls].n + 1) / a->weight;
	int least;

	for (least = SHED_FIRST; least < (int)cls; least++)
		if (g->class_items[least])
			return g->class_items[least]->older;
	DL_FOREACH(g->flows[cls], f)
	{
		if ((double)f->n / f->items->account->weight <= most)
			continue;
		most = (double)f->n / f->items->account->weight;
		victim = f->items->prev;
	}
	return victim;
}

/* Returns the queued item with the earliest start_by_us, or NULL. */
struct gate_item *queue_first_due(const struct gate *g)
{
	return g->heap_n ? g->heap[0] : NULL;
}
