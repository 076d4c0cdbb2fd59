#include "conf/conf.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

/* Hashes a client or operator key: unkeyed BLAKE2b-256 of its text. */
void key_hash(uint8_t hash[KEY_HASH_SIZE], const char *key)
{
	crypto_generichash(hash, KEY_HASH_SIZE, (const uint8_t *)key,
			   strlen(key), NULL, 0);
}

/* Returns the name of a shed class as used in notes. */
const char *shed_class_name(enum shed_class cls)
{
	switch (cls) {
	case SHED_FIRST:
		return "first";
	case SHED_MIDDLE:
		return "middle";
	case SHED_LAST:
		return "last";
	}
	return "unknown";
}

/* Returns the name of an overload mode as used in notes. */
const char *overload_mode_name(enum overload_mode mode)
{
	switch (mode) {
	case OVERLOAD_ENFORCE:
		return "enforce";
	case OVERLOAD_OBSERVE:
		return "observe";
	case OVERLOAD_OFF:
		return "off";
	}
	return "unknown";
}

/* Frees the items and leaves an empty list, which may be reused. */
void note_faults_free(struct note_faults *f)
{
	free(f->items);
	f->items = NULL;
	f->n = 0;
}
