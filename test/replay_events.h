/* Event queue by virtual time; events at equal times stay in order. */
#ifndef REPLAY_EVENTS_H
#define REPLAY_EVENTS_H

#include <stddef.h>
#include <stdint.h>

enum event_kind {
	EVENT_ARRIVAL,	/* a client sends a root */
	EVENT_ENTRY,	/* a root reaches its entry */
	EVENT_DEADLINE, /* a client, or with OVERLOAD_OFF a hop, gives up */
	EVENT_OFFER,	/* an attempt reaches its gate */
	EVENT_SUB_CALL, /* half of a service's own time has passed */
	EVENT_FINISH,	/* the other half, or a failure */
	EVENT_LOST,	/* its upstream crashed */
	EVENT_ANSWER,	/* an attempt's answer reaches its caller */
	EVENT_RETRY,	/* a back-off has passed */
	EVENT_STEP,	/* of every gate */
};

struct event {
	int64_t at_us;
	uint64_t seq;
	enum event_kind kind;
	uint64_t handle;
	uint32_t value;
};

struct events {
	struct event *heap;
	size_t n, size;
	uint64_t seq;
};

int events_add(struct events *e, struct event ev);
int events_take(struct events *e, struct event *ev);

#endif
