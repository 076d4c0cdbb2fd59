#include "store/store_impl.h"

#include <stdlib.h>

static struct store *open_memory(struct memory_store *shared)
{
	struct store *s = calloc(1, sizeof(*s));

	if (!s)
		return NULL;
	s->kind = STORE_MEMORY;
	s->memory = memory_open(shared);
	if (!s->memory) {
		free(s);
		return NULL;
	}
	return s;
}

static struct store *open_none(void)
{
	static const struct store_faults down = {.down = true};
	struct store *s = open_memory(NULL);

	if (s) {
		s->kind = STORE_NONE;
		memory_set_faults(s->memory, &down);
	}
	return s;
}

/* Opens a client of the store; NULL with err set. */
struct store *store_open(const struct store_options *o, struct error *err)
{
	struct store *s = NULL;

	switch (o->kind) {
	case STORE_NONE:
		s = open_none();
		break;
	case STORE_MEMORY:
		s = open_memory(NULL);
		break;
	case STORE_ETCD:
		error_set(err, ERROR_STATE, "store-open", NULL,
			  "not available yet");
		return NULL;
	}
	if (!s)
		error_set(err, ERROR_MEMORY, "store-open", NULL, "no memory");
	return s;
}

/* Opens a client of a shared memory store; NULL when memory is short. */
struct store *store_open_memory(struct memory_store *m)
{
	return open_memory(m);
}

/* Closes a client; its open calls and watches end without a report. */
void store_close(struct store *s)
{
	if (!s)
		return;
	memory_close(s->memory);
	free(s);
}

/* Starts a call; done is called once, from a later tick. */
void store_submit(struct store *s, const struct store_op *op,
		  const struct store_done *done, int64_t now)
{
	memory_submit(s->memory, op, done, now);
}

/*
 * Starts a watch on all keys with a prefix. from_revision is the first one
 * reported; 0 means from now on. Returns 0 when there is no room for it.
 */
uint64_t store_watch_start(struct store *s, const struct store_watch *w,
			   int64_t now)
{
	(void)now;
	return memory_watch_start(s->memory, w);
}

/* Stops a watch without a report; an unknown watch is ignored. */
void store_watch_stop(struct store *s, uint64_t watch)
{
	memory_watch_stop(s->memory, watch);
}

/* Delivers answers and events, and ends calls whose time is up. */
void store_tick(struct store *s, int64_t now)
{
	memory_tick(s->memory, now);
}

/* Sets the faults of a client of a memory store. */
void store_set_faults(struct store *s, const struct store_faults *f)
{
	memory_set_faults(s->memory, f);
}
