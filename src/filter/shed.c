#include "filter/filter.h"

#include <stdio.h>

#include "node/known_cold.h"
#include "node/node.h"

/* Returns the service whose cutoff refuses the request, or 0. */
static uint64_t refusing_service(struct node *n, const struct request *r,
				 uint64_t account, int64_t now)
{
	uint64_t services[BOTTLENECKS_MAX];
	size_t count, i;

	count = bottlenecks_list(n, name_hash(r->route->name), services, now);
	for (i = 0; i < count; i++)
		if (!cutoffs_admit(n->cutoffs, services[i], account, r->cls,
				   r->admit_hash, now))
			return services[i];
	return 0;
}

/*
 * Refuses requests that a gate further down the chain would refuse. Answers
 * report the cutoff of the bottleneck of their chain, the service that admits
 * least. Cutoffs are kept by service, so a route whose requests are all shed
 * still gets updates from other routes that call the same service.
 */
enum filter_result filter_shed(struct node *n, struct request *r, int64_t now)
{
	uint64_t account = r->account ? name_hash(r->account->name) : 0;
	enum overload_mode mode = config_overload_mode(r->config);
	uint64_t service;
	uint16_t admitted;

	/* Work was already spent on a sub-call's root: the gate decides. */
	if (mode == OVERLOAD_OFF || r->origin == ORIGIN_SERVICE ||
	    r->presumed_sub_call)
		return FILTER_NEXT;
	service = refusing_service(n, r, account, now);
	if (!service)
		return FILTER_NEXT;
	if (mode == OVERLOAD_OBSERVE) {
		request_record(n, r, DECISION_OBSERVED, REASON_SHED, NULL, 0);
		return FILTER_NEXT;
	}
	admitted =
		cutoffs_get(n->cutoffs, service, account, now).admitted[r->cls];
	r->retry_after_ms = known_cold_retry_after_ms(n, service, now);
	if (!r->retry_after_ms)
		r->retry_after_ms = retry_after_ms(admitted, node_random(n));
	snprintf(r->inputs, sizeof(r->inputs),
		 "class=%d lot=%.2f open=%.2f heard_ms=%lld", (int)r->cls,
		 (double)r->admit_hash / ADMIT_ALL,
		 (double)admitted / ADMIT_ALL,
		 (long long)cutoffs_age_us(n->cutoffs, service, account, now) /
			 USEC_PER_MSEC);
	cutoffs_count_shed(n->cutoffs, service, account, r->cls, now);
	counter_add(COUNTER_SHED, 1);
	return request_refuse(n, r, REASON_SHED, OUTCOME_NOT_RUN, now);
}
