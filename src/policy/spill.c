#include "policy/spill.h"

struct spill_choice spill_choose(struct spill *s, const struct spill_cost *cost,
				 const struct balance_candidate *c, size_t n,
				 const struct spill_call *call, uint64_t random,
				 int64_t now)
{
	(void)s, (void)cost, (void)c, (void)n, (void)call, (void)random;
	(void)now;
	return (struct spill_choice){.reason = SPILL_NONE};
}

bool spill_permits(const struct spill_choice *choice,
		   const struct balance_candidate *c)
{
	(void)choice;
	return c->same_data_centre;
}

double spill_fraction(const struct spill *s)
{
	(void)s;
	return 0;
}

const char *spill_reason_name(enum spill_reason r)
{
	(void)r;
	return "none";
}
