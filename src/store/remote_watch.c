/*
 * Start and end of watches; poll.c and etcd_watch.c send the requests to the
 * store.
 */
#include <string.h>

#include "store/etcd_impl.h"

static void remove_watch(struct remote *remote, uint64_t handle)
{
	struct remote_watch *w = table_get(&remote->watches, handle);

	if (!w)
		return;
	if (w->http)
		http_call_cancel(remote->stream_pool, w->http);
	buffer_free(&w->partial_line);
	table_remove(&remote->watches, handle);
}

/* Removes a watch and reports its err to the ended callback. */
void remote_watch_end(struct remote *remote, uint64_t handle, int64_t now)
{
	struct remote_watch *watch = table_get(&remote->watches, handle);
	struct store_watch w = watch->w;
	struct error err = watch->err;

	remove_watch(remote, handle);
	w.ended(w.ctx, &err, now);
}

/* Starts a watch; a later tick reports a failure to the ended callback. */
uint64_t remote_watch_start(struct remote *remote, const struct store_watch *w,
			    int64_t now)
{
	struct remote_watch *watch;
	uint64_t handle;
	void *item;

	if (strlen(w->prefix) >= STORE_KEY_SIZE)
		return 0;
	handle = table_add(&remote->watches, &item);
	if (!handle)
		return 0;
	watch = item;
	watch->w = *w;
	copy_name(watch->prefix, sizeof(watch->prefix), w->prefix);
	watch->next_revision = w->from_revision;
	if (remote->kind == STORE_PLATFORM)
		poll_start(remote, handle, now);
	else
		etcd_stream_start(remote, handle, now);
	return handle;
}

/* Stops a watch without calling its callbacks. */
void remote_watch_stop(struct remote *remote, uint64_t watch)
{
	remove_watch(remote, watch);
}

/*
 * Ends watches that failed and replaces old streams. The connection pool
 * enforces the deadlines of calls.
 */
void remote_tick(struct remote *remote, int64_t now)
{
	struct remote_watch *w;
	uint64_t handle = 0;
	void *item;

	while ((handle = table_next(&remote->watches, handle, &item))) {
		w = item;
		if (w->err.code)
			remote_watch_end(remote, handle, now);
		else if (remote->kind != STORE_PLATFORM)
			etcd_stream_renew(remote, handle, now);
	}
}

/* Ends all watches, as the history that they follow was replaced. */
void remote_watches_end(struct remote *remote, int64_t now)
{
	struct remote_watch *w;
	uint64_t handle = 0;
	void *item;

	while ((handle = table_next(&remote->watches, handle, &item))) {
		w = item;
		error_set(&w->err, ERROR_STATE, "store-watch", remote->peer,
			  "the store came back from an older copy");
		remote_watch_end(remote, handle, now);
	}
}

/* Ends all watches, then reports that the history was replaced. */
void remote_replaced(struct remote *remote, int64_t now)
{
	remote_watches_end(remote, now);
	if (remote->history->on_replaced)
		remote->history->on_replaced(remote->history->ctx, now);
}

void remote_watches_renew(struct remote *remote, int64_t sent_us, int64_t now)
{
	uint64_t handle = 0;
	void *item;

	http_pool_close_idle(remote->stream_pool, sent_us);
	while ((handle = table_next(&remote->watches, handle, &item))) {
		struct remote_watch *w = item;

		if (!w->http || w->started_us >= sent_us)
			continue;
		http_call_cancel(remote->stream_pool, w->http);
		w->http = 0;
		if (remote->kind == STORE_PLATFORM)
			poll_start(remote, handle, now);
		else
			etcd_stream_start(remote, handle, now);
	}
}

/* Stops all watches without calling their callbacks. */
void remote_watches_close(struct remote *remote)
{
	uint64_t handle = 0;
	void *item;

	while ((handle = table_next(&remote->watches, handle, &item)))
		remove_watch(remote, handle);
}

/* Returns the number of open watches. */
uint32_t remote_watches(const struct remote *remote)
{
	return remote->watches.count;
}
