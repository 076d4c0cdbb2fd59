/* Calls to other data centres, where the settings give a cost for them. */
#include "filter/filter.h"

#include "node/node.h"

/*
 * Bytes of an answer, as assumed until one of the route was received: the size
 * of most answers.
 */
#define ANSWER_BYTES_UNKNOWN 5000

static double expected_bytes(struct node *n, const struct request *r)
{
	const struct route_stats *s = route_stats(n, r->route->name);
	double answer = s && s->answer_bytes > 0 ? s->answer_bytes
						 : ANSWER_BYTES_UNKNOWN;

	return (double)r->message.body.len + answer;
}

/*
 * Reduces the candidates to those that the request may be sent to, which then
 * count as local; returns their number. Without the setting all are kept.
 */
size_t crossing_narrow(struct node *n, struct request *r,
		       struct balance_candidate *c, uint64_t *handles,
		       size_t count, int64_t now)
{
	const struct spill_cost cost = {.per_mb = n->settings.cost_per_mb,
					.wait_worth_per_s =
						n->settings.wait_worth_per_s};
	struct spill_call call = {.cls = r->cls,
				  .target_us = r->route->target_us,
				  .repeat = r->attempt || r->reroutes,
				  .refused = r->reroutes > 0};
	struct spill_choice choice;
	struct service_spill *s;
	size_t i, kept = 0;

	r->crossing = SPILL_NONE;
	s = n->settings.crossing ? service_spill(n, r->service) : NULL;
	if (!s)
		return count;
	call.bytes = expected_bytes(n, r);
	choice = spill_choose(&s->spill, &cost, c, count, &call, node_random(n),
			      now);
	service_spill_log(s, now);
	r->crossing = choice.reason;
	for (i = 0; i < count; i++) {
		if (!spill_permits(&choice, &c[i]))
			continue;
		c[kept] = c[i];
		c[kept].same_data_centre = true;
		handles[kept++] = handles[i];
	}
	return kept;
}

/* Counts an attempt that is sent to another data centre. */
void crossing_sent(struct node *n, const struct request *r)
{
	struct service_spill *s;

	s = r->crossing ? service_spill(n, r->service) : NULL;
	if (!s)
		return;
	s->calls[r->crossing]++;
	s->bytes[r->crossing] += r->message.body.len;
}

/* Counts the bytes of an answer, and learns the size of the route's answers. */
void crossing_answered(struct node *n, const struct request *r,
		       const struct message *answer)
{
	struct service_spill *s;

	if (!n->settings.crossing || !answer)
		return;
	route_stats_add_answer(n, r->route->name, answer->body.len);
	s = r->crossing ? service_spill(n, r->service) : NULL;
	if (s)
		s->bytes[r->crossing] += answer->body.len;
}
