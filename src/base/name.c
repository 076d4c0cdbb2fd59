#include "base/base.h"

#include <sodium.h>
#include <string.h>
#include <xxhash.h>

/* Hashes a name; the same on every host, so it may be sent to others. */
uint64_t name_hash(const char *name)
{
	return XXH3_64bits(name, strlen(name));
}

/* Combines two hashes, for rendezvous hashing and keys of pairs. */
uint64_t pair_hash(uint64_t a, uint64_t b)
{
	uint64_t pair[2] = {a, b};

	return XXH3_64bits(pair, sizeof(pair));
}

/* Copies a string; returns -1 and copies nothing if it does not fit. */
int copy_name(char *to, size_t size, const char *from)
{
	size_t n = strlen(from);

	if (n >= size)
		return -1;
	memcpy(to, from, n + 1);
	return 0;
}

/*
 * Fills text with size - 1 characters and a NUL. Each character holds 5 bits of
 * a cryptographic random generator, so the token can't be guessed.
 */
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
