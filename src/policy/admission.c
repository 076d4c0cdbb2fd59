#include "policy/policy.h"

#define DEPTH_MARGIN_DIVISOR 3 /* a deep hop compares two thirds of the lot */

/*
 * Draws the lot of a root from its identity under a key that hosts share,
 * so that a resend with the same identity meets the same answer on every
 * host and nobody outside can choose a lot.
 */
uint16_t root_lot(const char *root_id, uint64_t key)
{
	return (uint16_t)(pair_hash(name_hash(root_id), key) >> 48);
}

/* Returns the lot to compare at a hop with so many sub-calls above it. */
uint16_t admit_hash_at_depth(uint16_t admit_hash, uint32_t depth)
{
	return depth ? (uint16_t)(admit_hash -
				  admit_hash / DEPTH_MARGIN_DIVISOR)
		     : admit_hash;
}

/* ADMIT_ALL admits every lot, the highest one too. */
bool admit_hash_passes(uint16_t admit_hash, uint16_t admitted)
{
	return admitted == ADMIT_ALL || admit_hash < admitted;
}

/* Tells whether a lets less through than b; the last class shed counts most. */
bool admission_tighter(struct admission a, struct admission b)
{
	int cls;

	for (cls = SHED_LAST; cls >= SHED_FIRST; cls--)
		if (a.open[cls] != b.open[cls])
			return a.open[cls] < b.open[cls];
	return false;
}

/* Joins the admissions of two hops of one chain. */
struct admission admission_min(struct admission a, struct admission b)
{
	int cls;

	for (cls = 0; cls < SHED_CLASSES; cls++)
		if (b.open[cls] < a.open[cls])
			a.open[cls] = b.open[cls];
	return a;
}
