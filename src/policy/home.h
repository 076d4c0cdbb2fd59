/*
 * Home regions: a request may only be sent to upstreams in the regions that
 * its route and its account both allow.
 */
#ifndef POLICY_HOME_H
#define POLICY_HOME_H

#include "conf/conf.h"

/* Narrows a home to the regions of a set; an empty set has every region. */
void home_narrow(struct home *h, const struct region_set *set);
/* Narrows a home to one region, given by the hash of its name. */
void home_narrow_to(struct home *h, uint64_t region);
/* Whether a request may be sent to a region, given by the hash of its name. */
bool home_permits(const struct home *h, uint64_t region);

#endif
