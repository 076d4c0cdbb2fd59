#include "node/evacuation.h"

#include <string.h>

#include "control/evacuations/evacuations.h"
#include "node/gates.h"
#include "platform/platform.h"

#define UPSTREAMS_LISTED 32
/*
 * A node learns of an order within 2.2 s. If its event loop did not run for up
 * to this long, calls that waited in its sockets still start within the bound,
 * 5 s. With 500 ms, nodes of a busy machine rejected calls for no reason.
 */
#define PAUSE_US (1500 * USEC_PER_MSEC)
/* A host that is connected has read the store or asked a peer by then. */
#define RESUME_US (2 * USEC_PER_SEC)

/* Called when a data centre is back in service. */
static void ended(void *ctx, const char *data_centre, int64_t now)
{
	struct node *n = ctx;
	uint64_t h = 0;
	void *item;

	if (strcmp(data_centre, n->settings.data_centre) != 0)
		return;
	/* They may have become cold since their last heartbeat. */
	while ((h = table_next(&n->local_upstreams, h, &item)))
		gates_presume_cold(n, item, now);
}

int evacuation_open(struct node *n)
{
	struct evacuations_options o = {
		.prefix = platform_evacuation_prefix,
		.bound_us = n->settings.promises.evacuation_us,
		.ctx = n,
		.ended = ended,
	};

	if (!o.bound_us || n->settings.store_kind != STORE_PLATFORM)
		return 0;
	n->evacuations = evacuations_new(&o);
	return n->evacuations ? 0 : -1;
}

static bool state_is_missing(const struct node *n)
{
	return n->evacuations && !evacuations_set(n->evacuations)->known;
}

bool node_is_configured(const struct node *n)
{
	return n->config && !state_is_missing(n);
}

bool evacuation_permits(const struct node *n, const struct request *r,
			uint64_t data_centre, int64_t now)
{
	const struct evacuation *e;
	int64_t bound_us;

	if (!n->evacuations)
		return true;
	if (r->evacuated == data_centre)
		return false;
	e = evacuation_set_find(evacuations_set(n->evacuations), data_centre);
	if (!e)
		return true;
	bound_us = evacuations_bound_us(n->evacuations);
	return evacuation_admits(r->admit_hash, data_centre,
				 evacuation_share(e->learnt_us, bound_us, now));
}

bool evacuation_leaves_none(struct node *n, struct request *r, int64_t now)
{
	uint64_t handles[UPSTREAMS_LISTED];
	size_t i, count;

	if (!n->evacuations)
		return false;
	count = directory_list(n->directory, r->service, NULL, NULL, handles,
			       UPSTREAMS_LISTED);
	for (i = 0; i < count; i++)
		if (evacuation_permits(n, r,
				       directory_get(n->directory, handles[i])
					       ->data_centre,
				       now))
			return false;
	return count > 0;
}

void evacuation_ticked(struct node *n, int64_t now)
{
	if (n->ticked_us && now - n->ticked_us > PAUSE_US)
		n->resumed_us = now;
	n->ticked_us = now;
}

bool evacuation_resumes(const struct node *n, int64_t now)
{
	if (!n->evacuations)
		return false;
	if (n->ticked_us && now - n->ticked_us > PAUSE_US)
		return true;
	return n->resumed_us && now - n->resumed_us < RESUME_US &&
	       notes_stale_us(n->notes, now) > now - n->resumed_us;
}

enum reason evacuation_gate_reason(const struct node *n, int64_t now)
{
	const struct evacuation *e;

	if (!n->evacuations)
		return REASON_NONE;
	/* Entries then try another gate. */
	if (state_is_missing(n))
		return REASON_NO_UPSTREAM;
	e = evacuation_set_find(evacuations_set(n->evacuations),
				name_hash(n->settings.data_centre));
	if (!e ||
	    !evacuation_gates_closed(e->learnt_us,
				     evacuations_bound_us(n->evacuations), now))
		return REASON_NONE;
	return REASON_EVACUATED;
}
