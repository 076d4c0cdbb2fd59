#include "base/base.h"

#include <sodium.h>
#include <stdio.h>
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

#define HASH_DIGITS 16
#define FITTED_MARK '~'
#define FITTED_MIN (HASH_DIGITS + 1)

/*
 * Copies a name of any length. One that does not fit becomes its beginning, a
 * mark and its hash, the same on every host.
 */
void name_fit(char to[NAME_SIZE], const char *from)
{
	int n = NAME_SIZE - 1 - FITTED_MIN;

	if (copy_name(to, NAME_SIZE, from) == 0)
		return;
	while (n && (from[n] & 0xc0) == 0x80) /* within a character of UTF-8 */
		n--;
	snprintf(to, NAME_SIZE, "%.*s%c%016llx", n, from, FITTED_MARK,
		 (unsigned long long)name_hash(from));
}

/* Whether a name looks as if name_fit had shortened it. */
bool name_is_fitted(const char *name)
{
	size_t n = strlen(name);

	return n > FITTED_MIN && name[n - FITTED_MIN] == FITTED_MARK &&
	       strspn(name + n - HASH_DIGITS, "0123456789abcdef") ==
		       HASH_DIGITS;
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
