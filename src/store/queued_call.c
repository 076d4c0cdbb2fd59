#include "store/store_impl.h"

#include <stdlib.h>
#include <string.h>

#define ALIGN 8

/*
 * Data of a queued call, in the same allocation. With data NULL, copies only
 * add to len, to measure the size needed.
 */
struct arena {
	uint8_t *data;
	size_t len;
};

static void *arena_copy(struct arena *a, const void *from, size_t len)
{
	uint8_t *to = a->data ? a->data + a->len : NULL;

	if (to && len)
		memcpy(to, from, len);
	a->len += (len + ALIGN - 1) / ALIGN * ALIGN;
	return to;
}

static const char *arena_copy_text(struct arena *a, const char *s)
{
	return s ? arena_copy(a, s, strlen(s) + 1) : NULL;
}

static void arena_copy_txn(struct arena *a, const struct store_op *from,
			   struct store_op *to)
{
	struct store_compare *compares;
	struct store_write *writes;
	const char **reads;
	const char *key;
	size_t i;

	compares = arena_copy(a, from->txn.compares,
			      from->txn.compare_count * sizeof(*compares));
	writes = arena_copy(a, from->txn.writes,
			    from->txn.write_count * sizeof(*writes));
	reads = arena_copy(a, from->txn.reads,
			   from->txn.read_count * sizeof(*reads));
	for (i = 0; i < from->txn.compare_count; i++) {
		key = arena_copy_text(a, from->txn.compares[i].key);
		if (to)
			compares[i].key = key;
	}
	for (i = 0; i < from->txn.write_count; i++) {
		const struct store_write *w = &from->txn.writes[i];
		const void *value;

		key = arena_copy_text(a, w->key);
		value = arena_copy(a, w->value, w->len);
		if (to) {
			writes[i].key = key;
			writes[i].value = value;
		}
	}
	for (i = 0; i < from->txn.read_count; i++) {
		key = arena_copy_text(a, from->txn.reads[i]);
		if (to)
			reads[i] = key;
	}
	if (!to)
		return;
	to->txn.compares = compares;
	to->txn.writes = writes;
	to->txn.reads = reads;
}

static void arena_copy_op(struct arena *a, const struct store_op *from,
			  struct store_op *to)
{
	const char *text;

	switch (from->kind) {
	case STORE_GET:
		text = arena_copy_text(a, from->key);
		if (to)
			to->key = text;
		break;
	case STORE_LIST:
		text = arena_copy_text(a, from->list.prefix);
		if (to)
			to->list.prefix = text;
		text = arena_copy_text(a, from->list.after);
		if (to)
			to->list.after = text;
		break;
	case STORE_TXN:
		arena_copy_txn(a, from, to);
		break;
	case STORE_LEASE_GRANT:
	case STORE_LEASE_RENEW:
	case STORE_LEASE_REVOKE:
		break;
	}
}

/* Makes a deep copy of a call in one allocation; NULL when out of memory. */
struct queued_call *queued_call_copy(const struct store_op *op)
{
	struct arena a = {NULL, 0};
	struct queued_call *call;

	arena_copy_op(&a, op, NULL);
	call = calloc(1, sizeof(*call) + a.len);
	if (!call)
		return NULL;
	call->op = *op;
	a.data = (uint8_t *)(call + 1);
	a.len = 0;
	arena_copy_op(&a, op, &call->op);
	return call;
}
