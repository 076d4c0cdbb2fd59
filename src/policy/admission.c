#include "policy/policy.h"

#define DEPTH_MARGIN_DIVISOR 3 /* deeper hops compare two thirds of it */

/*
 * Hashes the identity of a root with a key shared by the hosts. A resend with
 * the same identity gets the same decision on every host, and clients can't
 * choose their admission hash.
 */
uint16_t root_admit_hash(const char *root_id, uint64_t key)
{
	return (uint16_t)(pair_hash(name_hash(root_id), key) >> 48);
}

/* Returns the hash to compare at a hop with depth sub-calls above it. */
uint16_t admit_hash_at_depth(uint16_t admit_hash, uint32_t depth)
{
	return depth ? (uint16_t)(admit_hash -
				  admit_hash / DEPTH_MARGIN_DIVISOR)
		     : admit_hash;
}

/* ADMIT_ALL admits every hash, including the highest. */
bool admit_hash_passes(uint16_t admit_hash, uint16_t admitted)
{
	return admitted == ADMIT_ALL || admit_hash < admitted;
}

/* Compares from SHED_LAST, the most important class, downwards. */
bool admission_tighter(struct admission a, struct admission b)
{
	int cls;

	for (cls = SHED_LAST; cls >= SHED_FIRST; cls--)
		if (a.admitted[cls] != b.admitted[cls])
			return a.admitted[cls] < b.admitted[cls];
	return false;
}

/* Returns the lower admitted share of each class, for two hops of a chain. */
struct admission admission_min(struct admission a, struct admission b)
{
	int cls;

	for (cls = 0; cls < SHED_CLASSES; cls++)
		if (b.admitted[cls] < a.admitted[cls])
			a.admitted[cls] = b.admitted[cls];
	return a;
}
