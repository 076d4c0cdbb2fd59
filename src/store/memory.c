#include "store/kv.h"
#include "store/store_impl.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#define HISTORY_MAX 4096
#define WATCHES_MAX 4096

struct memory_store {
	struct kv *kv;
	struct kv *saved; /* NULL before the first memory_store_save */
	int64_t era;
};

/* The result of a call, to be delivered when it is due. */
struct pending_response {
	struct pending_response *prev;
	struct pending_response *next;
	int64_t due_us;
	int64_t timeout_at_us; /* 0: none */
	struct store_done done;
	struct store_result result;
	struct history_call call;
};

struct watch {
	struct store_watch w;
	char prefix[STORE_KEY_SIZE];
	uint64_t next_event; /* 0: the event to start from was evicted */
	bool silent;
};

/* One client of a memory store. */
struct memory {
	struct memory_store *shared;
	struct history *history;
	bool owned;
	struct store_faults faults;
	struct pending_response *responses;
	struct table watches;
};

/* Creates a store for several clients; NULL when out of memory. */
struct memory_store *memory_store_new(void)
{
	struct memory_store *m = calloc(1, sizeof(*m));

	if (!m)
		return NULL;
	m->kv = kv_new(HISTORY_MAX);
	m->era = 1;
	if (!m->kv) {
		free(m);
		return NULL;
	}
	return m;
}

/* Frees a shared store; its clients must have been closed. */
void memory_store_free(struct memory_store *m)
{
	if (!m)
		return;
	kv_free(m->kv);
	kv_free(m->saved);
	free(m);
}

/* Saves a copy of the contents in place of the previous one. */
int memory_store_save(struct memory_store *m)
{
	struct kv *copy = kv_clone(m->kv);

	if (!copy)
		return -1;
	kv_free(m->saved);
	m->saved = copy;
	return 0;
}

/*
 * Goes back to the saved contents: revisions, leases and the history of events
 * included. Returns -1 if nothing was saved or memory is short.
 */
int memory_store_restore(struct memory_store *m)
{
	struct kv *copy = m->saved ? kv_clone(m->saved) : NULL;

	if (!copy)
		return -1;
	kv_free(m->kv);
	m->kv = copy;
	m->era++;
	return 0;
}

/* Opens a client of a shared store, or of a new one if shared is NULL. */
struct memory *memory_open(struct memory_store *shared, struct history *h)
{
	struct memory *m = calloc(1, sizeof(*m));

	if (!m)
		return NULL;
	m->history = h;
	m->owned = !shared;
	m->shared = shared ? shared : memory_store_new();
	if (!m->shared) {
		free(m);
		return NULL;
	}
	table_init(&m->watches, sizeof(struct watch), WATCHES_MAX);
	return m;
}

static void free_response(struct pending_response *p)
{
	result_free(&p->result);
	free(p);
}

/* Closes a client and drops undelivered responses. */
void memory_close(struct memory *m)
{
	struct pending_response *p, *next;

	DL_FOREACH_SAFE(m->responses, p, next)
	{
		free_response(p);
	}
	table_free(&m->watches);
	if (m->owned)
		memory_store_free(m->shared);
	free(m);
}

/* Replaces the faults of this client for calls submitted from now on. */
void memory_set_faults(struct memory *m, const struct store_faults *f)
{
	m->faults = *f;
}

/* Ends open calls at their timeouts and keeps open watches from reporting. */
void memory_silence(struct memory *m, int64_t now)
{
	struct pending_response *p;
	uint64_t handle = 0;
	void *item;

	DL_FOREACH(m->responses, p)
	{
		if (p->due_us <= now || !p->timeout_at_us)
			continue;
		p->due_us = p->timeout_at_us;
		p->result.origin.era = 0;
		result_fail(&p->result, STORE_UNKNOWN, ERROR_TIMEOUT, "memory",
			    "no answer in time");
	}
	while ((handle = table_next(&m->watches, handle, &item)))
		((struct watch *)item)->silent = true;
}

static int add_record(struct store_result *r, const struct kv_record *record)
{
	if (!record)
		return 0;
	return result_add(r, record->key, record->value, record->len,
			  record->mod_revision);
}

static uint32_t lower_limit(uint32_t a, uint32_t b)
{
	return !a || (b && b < a) ? b : a;
}

static int run_list(struct kv *kv, const struct store_op *op, uint32_t list_max,
		    struct store_result *r)
{
	size_t prefix_len = strlen(op->list.prefix);
	const char *from = op->list.prefix;
	uint32_t limit = lower_limit(op->list.limit, list_max);
	const struct kv_record *record;
	size_t i;

	if (op->list.after && strcmp(op->list.after, from) > 0)
		from = op->list.after;
	for (i = kv_lower_bound(kv, from); (record = kv_at(kv, i)); i++) {
		if (strncmp(record->key, op->list.prefix, prefix_len) != 0)
			break;
		if (op->list.after && !strcmp(record->key, op->list.after))
			continue;
		if (limit && r->n == limit) {
			r->more = true;
			break;
		}
		if (add_record(r, record) < 0)
			return -1;
	}
	return 0;
}

static int run_txn(struct kv *kv, const struct store_op *op,
		   struct store_result *r, int64_t now)
{
	enum kv_status status;
	size_t i;

	status = kv_txn(kv, op->txn.compares, op->txn.compare_count,
			op->txn.writes, op->txn.write_count, now);
	if (status == KV_DONE)
		return 0;
	if (status != KV_CONFLICT) {
		r->outcome = STORE_NOT_DONE;
		return error_set(&r->err, ERROR_INPUT, "store-txn", NULL, "%s",
				 status == KV_NO_LEASE ? "lease not found"
						       : "invalid transaction");
	}
	r->outcome = STORE_CONFLICT;
	for (i = 0; i < op->txn.read_count; i++)
		if (add_record(r, kv_get(kv, op->txn.reads[i])) < 0)
			return -1;
	return 0;
}

static int run_op(struct kv *kv, const struct store_op *op, uint32_t list_max,
		  struct store_result *r, int64_t now)
{
	r->outcome = STORE_DONE;
	switch (op->kind) {
	case STORE_GET:
		return add_record(r, kv_get(kv, op->key));
	case STORE_LIST:
		return run_list(kv, op, list_max, r);
	case STORE_TXN:
		return run_txn(kv, op, r, now);
	case STORE_LEASE_GRANT:
		r->lease = kv_lease_grant(kv, op->lease.ttl_s, now);
		return r->lease ? 0 : -1;
	case STORE_LEASE_RENEW:
		if (kv_lease_renew(kv, op->lease.id, now))
			r->lease = op->lease.id;
		return 0;
	case STORE_LEASE_REVOKE:
		kv_lease_revoke(kv, op->lease.id, now);
		return 0;
	}
	return -1;
}

/* Applies the call at once unless down; a later tick delivers the result. */
void memory_submit(struct memory *m, const struct store_op *op,
		   const struct store_done *done, int64_t now)
{
	struct pending_response *p = calloc(1, sizeof(*p));
	struct kv *kv = m->shared->kv;

	if (!p)
		abort();
	p->done = *done;
	p->call = history_call(m->history, op);
	p->due_us = now + m->faults.latency_us;
	if (op->timeout_us)
		p->timeout_at_us = now + op->timeout_us;
	kv_expire(kv, now);
	if (m->faults.down)
		result_fail(&p->result, STORE_NOT_DONE, ERROR_IO, "memory",
			    "store is down");
	else if (run_op(kv, op, m->faults.list_max, &p->result, now) < 0 &&
		 !p->result.err.code)
		result_fail(&p->result, STORE_UNKNOWN, ERROR_MEMORY, "memory",
			    "no memory");
	else if (m->faults.lose_response)
		result_fail(&p->result, STORE_UNKNOWN, ERROR_IO, "memory",
			    "answer lost");
	if (op->timeout_us && m->faults.latency_us > op->timeout_us) {
		p->due_us = now + op->timeout_us;
		if (p->result.outcome != STORE_NOT_DONE)
			result_fail(&p->result, STORE_UNKNOWN, ERROR_TIMEOUT,
				    "memory", "no answer in time");
	}
	p->result.revision = kv_revision(kv);
	if (!m->faults.down && !m->faults.lose_response)
		p->result.origin.era = m->shared->era;
	DL_APPEND(m->responses, p);
}

/* Starts a watch; from_revision 0 means from now on. */
uint64_t memory_watch_start(struct memory *m, const struct store_watch *w)
{
	struct kv *kv = m->shared->kv;
	struct watch *watch;
	int64_t from = w->from_revision;
	void *item;
	uint64_t handle;

	if (strlen(w->prefix) >= STORE_KEY_SIZE)
		return 0;
	handle = table_add(&m->watches, &item);
	if (!handle)
		return 0;
	watch = item;
	watch->w = *w;
	copy_name(watch->prefix, sizeof(watch->prefix), w->prefix);
	watch->next_event = kv_event_from(kv, from ? from : INT64_MAX);
	return handle;
}

/* Stops a watch without calling its callbacks. */
void memory_watch_stop(struct memory *m, uint64_t watch)
{
	table_remove(&m->watches, watch);
}

static void end_watch(struct memory *m, uint64_t handle, const char *text,
		      int64_t now)
{
	struct watch *watch = table_get(&m->watches, handle);
	struct store_watch w = watch->w;
	struct error err;

	error_set(&err, ERROR_IO, "store-watch", "memory", "%s", text);
	table_remove(&m->watches, handle);
	w.ended(w.ctx, &err, now);
}

/* Ends all watches, as the history that they follow was replaced. */
void memory_watches_end(struct memory *m, int64_t now)
{
	uint64_t handle = 0;
	void *item;

	while ((handle = table_next(&m->watches, handle, &item)))
		end_watch(m, handle, "the history was replaced", now);
}

static void deliver_responses(struct memory *m, int64_t now)
{
	struct pending_response *p, *next, *due = NULL;

	/* Calls submitted by the callbacks wait for the next tick. */
	DL_FOREACH_SAFE(m->responses, p, next)
	{
		if (p->due_us > now)
			continue;
		DL_DELETE(m->responses, p);
		DL_APPEND(due, p);
	}
	DL_FOREACH_SAFE(due, p, next)
	{
		if (history_settle(m->history, &p->call, &p->result, now)) {
			memory_watches_end(m, now);
			if (m->history->on_replaced)
				m->history->on_replaced(m->history->ctx, now);
		}
		if (p->result.outcome == STORE_UNKNOWN)
			counter_add(COUNTER_STORE_UNKNOWN, 1);
		p->done.fn(p->done.ctx, p->done.tag, &p->result, now);
		free_response(p);
	}
}

static void deliver_events(struct memory *m, uint64_t handle, int64_t now)
{
	struct kv *kv = m->shared->kv;
	const struct kv_event *e;
	struct watch *watch;

	/* The callback may stop the watch, so look it up each time. */
	while ((watch = table_get(&m->watches, handle))) {
		if (watch->silent)
			return;
		e = kv_event(kv, watch->next_event);
		if (!e && watch->next_event < kv_event_from(kv, INT64_MAX)) {
			end_watch(m, handle, "revision was compacted", now);
			return;
		}
		if (!e || e->at_us + m->faults.latency_us > now)
			return;
		watch->next_event++;
		if (!strncmp(e->entry.key, watch->prefix,
			     strlen(watch->prefix)))
			watch->w.event(watch->w.ctx, &e->entry, now);
	}
}

/* Expires leases and delivers due responses and events. */
void memory_tick(struct memory *m, int64_t now)
{
	uint64_t handle = 0;
	void *item;

	kv_expire(m->shared->kv, now);
	deliver_responses(m, now);
	while ((handle = table_next(&m->watches, handle, &item)))
		if (m->faults.down)
			end_watch(m, handle, "store is down", now);
		else
			deliver_events(m, handle, now);
}

/* Returns the number of open watches. */
uint32_t memory_watches(const struct memory *m)
{
	return m->watches.count;
}
