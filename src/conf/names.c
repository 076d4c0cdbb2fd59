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

/* Returns the word that notes use for a shed class. */
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

/* Returns the word that notes use for an overload mode. */
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

/* Frees the list; it may be filled again. */
void note_faults_free(struct note_faults *f)
{
	free(f->items);
	f->items = NULL;
	f->n = 0;
}
