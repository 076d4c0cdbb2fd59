#include "store/store_impl.h"

#include <stdlib.h>

static struct store *new_store(enum store_kind kind, uint32_t calls_s)
{
	struct store *s = calloc(1, sizeof(*s));

	if (!s)
		return NULL;
	s->kind = kind;
	budget_init(&s->budget, calls_s);
	return s;
}

static struct store *open_memory(enum store_kind kind, uint32_t calls_s,
				 struct memory_store *shared)
{
	static const struct store_faults down = {.down = true};
	struct store *s = new_store(kind, calls_s);

	if (!s)
		return NULL;
	s->memory = memory_open(shared, &s->history);
	if (!s->memory) {
		free(s);
		return NULL;
	}
	if (kind == STORE_NONE)
		memory_set_faults(s->memory, &down);
	return s;
}

static struct store *open_remote(const struct store_options *o,
				 struct error *err)
{
	struct store *s = new_store(o->kind, o->calls_s);

	if (!s) {
		error_set(err, ERROR_MEMORY, "store-open", NULL, "no memory");
		return NULL;
	}
	s->remote = remote_open(o, &s->history, err);
	if (!s->remote) {
		free(s);
		return NULL;
	}
	return s;
}

/* Opens a client of the store; returns NULL and sets err on failure. */
struct store *store_open(const struct store_options *o, struct error *err)
{
	struct store *s = NULL;

	switch (o->kind) {
	case STORE_NONE:
	case STORE_MEMORY:
		s = open_memory(o->kind, o->calls_s, NULL);
		if (!s)
			error_set(err, ERROR_MEMORY, "store-open", NULL,
				  "no memory");
		break;
	case STORE_ETCD:
	case STORE_PLATFORM:
		s = open_remote(o, err);
		break;
	}
	return s;
}

/* Opens a client of a shared memory store; NULL when out of memory. */
struct store *store_open_memory(struct memory_store *m)
{
	return open_memory(STORE_MEMORY, 0, m);
}

/* Closes a client without calling the callbacks of calls and watches. */
void store_close(struct store *s)
{
	if (!s)
		return;
	budget_free(&s->budget);
	switch (s->kind) {
	case STORE_NONE:
	case STORE_MEMORY:
		memory_close(s->memory);
		break;
	case STORE_ETCD:
	case STORE_PLATFORM:
		remote_close(s->remote);
		break;
	}
	free(s);
}

static void count_call(const struct store_op *op)
{
	bool read = op->kind == STORE_GET || op->kind == STORE_LIST;

	counter_add(read ? COUNTER_STORE_READS : COUNTER_STORE_WRITES, 1);
}

static int start_call(struct store *s, const struct store_op *op,
		      const struct store_done *done, int64_t now)
{
	count_call(op);
	switch (s->kind) {
	case STORE_NONE:
	case STORE_MEMORY:
		memory_submit(s->memory, op, done, now);
		break;
	case STORE_ETCD:
	case STORE_PLATFORM:
		return remote_submit(s->remote, op, done, now);
	}
	return 0;
}

static void reject_call(const struct store_done *done, const char *text,
			int64_t now)
{
	struct store_result r = {0};

	result_fail(&r, STORE_NOT_DONE, ERROR_LIMIT, NULL, text);
	done->fn(done->ctx, done->tag, &r, now);
}

/*
 * Starts or queues a call; done is called once, from a later tick or from the
 * event loop. The data that op points to is needed only until this returns.
 */
void store_submit(struct store *s, const struct store_op *op,
		  const struct store_done *done, int64_t now)
{
	struct store_op copy = *op;

	copy.history = s->history.replaced;
	if (budget_take(&s->budget, copy.priority, now) &&
	    !start_call(s, &copy, done, now))
		return;
	counter_add(COUNTER_STORE_DENIED, 1);
	budget_enqueue(&s->budget, &copy, done, now);
}

/* Sets the callback that learns of a replaced history. */
void store_on_replaced(struct store *s, void *ctx,
		       void (*replaced)(void *ctx, int64_t now))
{
	s->history.ctx = ctx;
	s->history.on_replaced = replaced;
}

/* Returns the era, and since when it is known: INT64_MAX if from the start. */
int64_t store_era(const struct store *s, int64_t now, int64_t *age_us)
{
	const struct history *h = &s->history;

	*age_us = h->replaced ? now - h->learnt_us : INT64_MAX;
	return h->o.era;
}

/* Returns how often the history was replaced since the start. */
uint32_t store_replacements(const struct store *s)
{
	return s->history.replaced;
}

/* Returns 0 if the history was never replaced. */
int64_t store_settled_us(const struct store *s)
{
	return s->history.replaced ? s->history.learnt_us + STORE_SETTLE_US : 0;
}

/* Takes over a newer era from a peer, as if the store had told it. */
void store_learn_era(struct store *s, int64_t era, int64_t age_us, int64_t now)
{
	if (history_learn(&s->history, era, age_us, now) != HISTORY_REPLACED)
		return;
	switch (s->kind) {
	case STORE_NONE:
	case STORE_MEMORY:
		memory_watches_end(s->memory, now);
		break;
	case STORE_ETCD:
	case STORE_PLATFORM:
		remote_watches_end(s->remote, now);
		break;
	}
	if (s->history.on_replaced)
		s->history.on_replaced(s->history.ctx, now);
}

/*
 * Starts a watch on all keys with a prefix. Returns its handle, or 0 when the
 * budget or the table of watches is full, or the prefix is too long.
 */
uint64_t store_watch_start(struct store *s, const struct store_watch *w,
			   int64_t now)
{
	if (!budget_allows_watch(&s->budget))
		return 0;
	switch (s->kind) {
	case STORE_NONE:
	case STORE_MEMORY:
		return memory_watch_start(s->memory, w);
	case STORE_ETCD:
	case STORE_PLATFORM:
		return remote_watch_start(s->remote, w, now);
	}
	return 0;
}

/* Stops a watch without calling its callbacks; ignores unknown handles. */
void store_watch_stop(struct store *s, uint64_t watch)
{
	switch (s->kind) {
	case STORE_NONE:
	case STORE_MEMORY:
		memory_watch_stop(s->memory, watch);
		break;
	case STORE_ETCD:
	case STORE_PLATFORM:
		remote_watch_stop(s->remote, watch);
		break;
	}
}

static void start_queued_calls(struct store *s, int64_t now)
{
	struct queued_call *call;

	while ((call = budget_expired(&s->budget, now))) {
		reject_call(&call->done,
			    "call budget exhausted until the timeout", now);
		free(call);
	}
	while ((call = budget_dequeue(&s->budget, now))) {
		call->op.timeout_us -= now - call->queued_at_us;
		if (call->op.history != s->history.replaced &&
		    call->op.kind == STORE_TXN)
			reject_call(&call->done,
				    "the store came back from an older copy",
				    now);
		else if (start_call(s, &call->op, &call->done, now) < 0)
			reject_call(&call->done, "call could not be started",
				    now);
		free(call);
	}
}

/* Delivers results and events, and starts or expires queued calls. */
void store_tick(struct store *s, int64_t now)
{
	switch (s->kind) {
	case STORE_NONE:
	case STORE_MEMORY:
		memory_tick(s->memory, now);
		s->budget.watches = memory_watches(s->memory);
		break;
	case STORE_ETCD:
	case STORE_PLATFORM:
		remote_tick(s->remote, now);
		s->budget.watches = remote_watches(s->remote);
		break;
	}
	start_queued_calls(s, now);
}

/* Sets the faults of a client of a memory store; ignored by other kinds. */
void store_set_faults(struct store *s, const struct store_faults *f)
{
	if (s->kind == STORE_MEMORY)
		memory_set_faults(s->memory, f);
}

/* Silences the open calls and watches of a client of a memory store. */
void store_silence(struct store *s, int64_t now)
{
	if (s->kind == STORE_MEMORY)
		memory_silence(s->memory, now);
}
