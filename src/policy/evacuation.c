/*
 * How fast the load of an evacuated data centre moves elsewhere. Every host
 * that is connected learns of an order within 1.6 s and a read of the store,
 * or about 2.2 s of the usual bound of 5 s; gates that close half of the bound
 * later leave the rest for calls that are already on their way.
 */
#include "policy/policy.h"

#define MOVE_SHARE 0.3	/* of the bound, until entries send nothing there */
#define CLOSE_SHARE 0.5 /* of the bound, until gates reject everything */

double evacuation_share(int64_t learnt_us, int64_t bound_us, int64_t now)
{
	double move_us = MOVE_SHARE * (double)bound_us;
	double age_us = (double)(now - learnt_us);

	if (age_us <= 0)
		return 1;
	return age_us < move_us ? 1 - age_us / move_us : 0;
}

/*
 * Both parts are hashed together, so that a root that leaves one data centre
 * late does not leave all others late too, and the roots that a cutoff admits
 * are spread over the whole move.
 */
bool evacuation_admits(uint16_t admit_hash, uint64_t data_centre, double share)
{
	uint64_t draw = pair_hash(admit_hash, data_centre) & UINT16_MAX;

	return (double)draw < share * (UINT16_MAX + 1);
}

bool evacuation_gates_closed(int64_t learnt_us, int64_t bound_us, int64_t now)
{
	return (double)(now - learnt_us) >= CLOSE_SHARE * (double)bound_us;
}
