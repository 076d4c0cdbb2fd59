#include "filter/filter.h"

#include "node/node.h"

/*
 * Refuses what the gates down the chain would refuse, by what their answers
 * told. Cutoffs are kept by route, since routes of one service may lead to
 * different services further down.
 */
enum filter_result filter_shed(struct node *n, struct request *r, int64_t now)
{
	uint64_t route = name_hash(r->route->name);
	uint64_t account = r->account ? name_hash(r->account->name) : 0;
	enum overload_mode mode = config_overload_mode(r->config);
	struct call *parent;

	if (mode == OVERLOAD_OFF)
		return FILTER_NEXT;
	if (cutoffs_admit(n->cutoffs, route, account, r->cls, r->lot, now))
		return FILTER_NEXT;
	if (mode == OVERLOAD_OBSERVE) {
		request_record(n, r, DECISION_OBSERVED, REASON_SHED, NULL, 0);
		return FILTER_NEXT;
	}
	cutoffs_count_shed(n->cutoffs, route, account, r->cls, now);
	counter_add(COUNTER_SHED, 1);
	parent = gates_call_get(n, r->parent);
	if (parent)
		parent->met = admission_min(
			parent->met,
			cutoffs_get(n->cutoffs, route, account, now));
	return request_refuse(n, r, REASON_SHED, OUTCOME_NOT_RUN, now);
}
