#include "base/base.h"

#include <sodium.h>
#include <string.h>
#include <xxhash.h>

/* Hashes a name; the same on every host, so it may travel. */
uint64_t name_hash(const char *name)
{
	return XXH3_64bits(name, strlen(name));
}

/* Mixes two hashes; used for rendezvous choices and pair keys. */
uint64_t pair_hash(uint64_t a, uint64_t b)
{
	uint64_t pair[2] = {a, b};

	return XXH3_64bits(pair, sizeof(pair));
}

/* Copies a NUL-terminated name; returns -1 when it does not fit. */
int copy_name(char *to, size_t size, const char *from)
{
	size_t n = strlen(from);

	if (n >= size)
		return -1;
	memcpy(to, from, n + 1);
	return 0;
}

/* Fills text with size - 1 unguessable characters, five bits each. */
void random_token(char *text, size_t size)
{
	static const char alphabet[] = "abcdefghijkmnpqrstuvwxyz23456789";
	size_t i;

	if (!size)
		return;
	randombytes_buf(text, size - 1);
	for (i = 0; i + 1 < size; i++)
		text[i] = alphabet[(unsigned char)text[i] % 32];
	text[i] = 0;
}
