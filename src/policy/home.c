#include "policy/home.h"

/* Keeps the regions of a home that are also among the n others. */
static void intersect(struct home *h, const uint64_t *others, size_t n)
{
	uint8_t kept = 0;
	size_t i, k;

	for (i = 0; i < h->count; i++)
		for (k = 0; k < n; k++)
			if (h->regions[i] == others[k]) {
				h->regions[kept++] = h->regions[i];
				break;
			}
	h->count = kept;
}

void home_narrow(struct home *h, const struct region_set *set)
{
	uint64_t hashes[REGIONS_MAX];
	size_t i;

	if (!set->count)
		return;
	for (i = 0; i < set->count; i++)
		hashes[i] = name_hash(set->names[i]);
	if (h->bounded) {
		intersect(h, hashes, set->count);
		return;
	}
	h->bounded = true;
	h->count = (uint8_t)set->count;
	for (i = 0; i < set->count; i++)
		h->regions[i] = hashes[i];
}

void home_narrow_to(struct home *h, uint64_t region)
{
	if (h->bounded) {
		intersect(h, &region, 1);
		return;
	}
	h->bounded = true;
	h->count = 1;
	h->regions[0] = region;
}

bool home_permits(const struct home *h, uint64_t region)
{
	uint8_t i;

	for (i = 0; i < h->count; i++)
		if (h->regions[i] == region)
			return true;
	return !h->bounded;
}
