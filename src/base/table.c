#include "base/base.h"

#include <stdlib.h>
#include <string.h>

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

/* Slots before block b: each block after the first doubles their number. */
static uint32_t block_start(uint32_t b)
{
	return b ? TABLE_BLOCK_MIN << (b - 1) : 0;
}

static struct slot *slot_at(const struct table *t, uint32_t i)
{
	uint32_t n = i / TABLE_BLOCK_MIN;
	uint32_t b = n ? 32 - (uint32_t)__builtin_clz(n) : 0;

	return (struct slot *)(t->blocks[b] +
			       (size_t)(i - block_start(b)) * stride(t));
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
	uint32_t b;

	for (b = 0; b < TABLE_BLOCKS; b++)
		free(t->blocks[b]);
	memset(t->blocks, 0, sizeof(t->blocks));
	t->block_count = 0;
	t->size = 0;
	t->count = 0;
	t->free_head = NO_SLOT;
}

/* Adds a block, so that the slots in use stay where they are. */
static int grow(struct table *t)
{
	uint32_t size = t->size ? t->size * 2 : TABLE_BLOCK_MIN;
	uint32_t i;
	uint8_t *p;

	if (size > t->max)
		size = t->max;
	if (size <= t->size || t->block_count == TABLE_BLOCKS)
		return -1;
	p = malloc((size_t)(size - t->size) * stride(t));
	if (!p)
		return -1;
	t->blocks[t->block_count++] = p;
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
 * out of memory. The other items stay where they are.
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
