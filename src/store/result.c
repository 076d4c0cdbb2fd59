#include "store/store_impl.h"

#include <stdlib.h>
#include <string.h>

#define ENTRIES_MIN 4

/*
 * Adds a copy of an entry to a result; value may be NULL when len is 0.
 * Returns -1 when the key is too long or when out of memory.
 */
int result_add(struct store_result *r, const char *key, const void *value,
	       size_t len, int64_t mod_revision)
{
	struct store_entry *e = r->entries;
	size_t size;

	/* Grow the array whenever its count is a power of two. */
	if (!(r->n & (r->n - 1))) {
		size = r->n < ENTRIES_MIN ? ENTRIES_MIN : r->n * 2;
		e = realloc(e, size * sizeof(*e));
		if (!e)
			return -1;
		r->entries = e;
	}
	e += r->n;
	if (copy_name(e->key, sizeof(e->key), key) < 0)
		return -1;
	e->value = malloc(len + 1);
	if (!e->value)
		return -1;
	if (len)
		memcpy(e->value, value, len);
	e->len = len;
	e->mod_revision = mod_revision;
	r->n++;
	return 0;
}

void result_free(struct store_result *r)
{
	size_t i;

	for (i = 0; i < r->n; i++)
		free(r->entries[i].value);
	free(r->entries);
	r->entries = NULL;
	r->n = 0;
}

/* Turns a result into a failure and frees its entries. */
void result_fail(struct store_result *r, enum store_outcome outcome,
		 enum error_code code, const char *peer, const char *text)
{
	result_free(r);
	r->outcome = outcome;
	r->lease = 0;
	error_set(&r->err, code, "store-call", peer, "%s", text);
}
