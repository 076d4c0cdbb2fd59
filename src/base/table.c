#include "base/base.h"

#include <stdlib.h>
#include <string.h>

#define TABLE_MIN 16
#define NO_SLOT UINT32_MAX

/* Header of each item; generation is odd while the slot is in use. */
struct slot {
	uint32_t generation;
	uint32_t next_free;
};

static size_t stride(const struct table *t)
{
	return sizeof(struct slot) + (t->item_size + 7) / 8 * 8;
}

static struct slot *slot_at(const struct table *t, uint32_t i)
{
	return (struct slot *)(t->items + (size_t)i * stride(t));
}

static uint64_t make_handle(uint32_t generation, uint32_t i)
{
	return (uint64_t)generation << 32 | i;
}

/* Initializes a table of at most max items; allocates nothing yet. */
void table_init(struct table *t, size_t item_size, uint32_t max)
{
	memset(t, 0, sizeof(*t));
	t->item_size = item_size;
	t->max = max;
	t->free_head = NO_SLOT;
}

/* Frees the slots, but not what the items point to. */
void table_free(struct table *t)
{
	free(t->items);
	t->items = NULL;
	t->size = 0;
	t->count = 0;
	t->free_head = NO_SLOT;
}

/*
 * Copies all slots, so that handles of from are valid in to as well. Returns -1
 * when out of memory.
 */
int table_copy(struct table *to, const struct table *from)
{
	size_t len = (size_t)from->size * stride(from);

	*to = *from;
	if (!len)
		return 0;
	to->items = malloc(len);
	if (!to->items)
		return -1;
	memcpy(to->items, from->items, len);
	return 0;
}

static int grow(struct table *t)
{
	uint32_t size = t->size ? t->size * 2 : TABLE_MIN;
	uint8_t *p;
	uint32_t i;

	if (size > t->max)
		size = t->max;
	if (size <= t->size)
		return -1;
	p = realloc(t->items, (size_t)size * stride(t));
	if (!p)
		return -1;
	t->items = p;
	for (i = size; i-- > t->size;) {
		slot_at(t, i)->generation = 0;
		slot_at(t, i)->next_free = t->free_head;
		t->free_head = i;
	}
	t->size = size;
	return 0;
}

/*
 * Adds a zeroed item and returns its handle, or 0 when the table is full or
 * out of memory. May move all items, which invalidates pointers to them.
 */
uint64_t table_add(struct table *t, void **item)
{
	struct slot *s;
	uint32_t i;

	if (t->free_head == NO_SLOT && grow(t) < 0)
		return 0;
	i = t->free_head;
	s = slot_at(t, i);
	t->free_head = s->next_free;
	s->generation++;
	t->count++;
	*item = s + 1;
	memset(*item, 0, t->item_size);
	return make_handle(s->generation, i);
}

/* Returns the item, or NULL when the handle is stale or zero. */
void *table_get(const struct table *t, uint64_t handle)
{
	uint32_t i = (uint32_t)handle;
	struct slot *s;

	if (!handle || i >= t->size)
		return NULL;
	s = slot_at(t, i);
	if (s->generation != handle >> 32 || !(s->generation & 1))
		return NULL;
	return s + 1;
}

/* Frees the slot and invalidates its handle; ignores a stale handle. */
void table_remove(struct table *t, uint64_t handle)
{
	uint32_t i = (uint32_t)handle;
	struct slot *s;

	if (!table_get(t, handle))
		return;
	s = slot_at(t, i);
	s->generation++;
	s->next_free = t->free_head;
	t->free_head = i;
	t->count--;
}

/*
 * Returns the handle of the item after the one given, or of the first for 0;
 * returns 0 after the last. The item just returned may be removed.
 */
uint64_t table_next(const struct table *t, uint64_t after, void **item)
{
	uint32_t i = after ? (uint32_t)after + 1 : 0;
	struct slot *s;

	for (; i < t->size; i++) {
		s = slot_at(t, i);
		if (!(s->generation & 1))
			continue;
		*item = s + 1;
		return make_handle(s->generation, i);
	}
	return 0;
}
