/* The life of a watch; poll.c and etcd_watch.c ask the store for it. */
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

/* Reports the fault of a watch as its end. */
void remote_watch_end(struct remote *remote, uint64_t handle, int64_t now)
{
	struct remote_watch *watch = table_get(&remote->watches, handle);
	struct store_watch w = watch->w;
	struct error err = watch->err;

	remove_watch(remote, handle);
	w.ended(w.ctx, &err, now);
}

/* Starts a watch; a fault is reported as its end at a later tick. */
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

/* Stops a watch without a report. */
void remote_watch_stop(struct remote *remote, uint64_t watch)
{
	remove_watch(remote, watch);
}

/*
 * Ends broken watches and replaces the streams of old ones; calls end by
 * their deadlines in the pool.
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

/* Stops all watches without a report. */
void remote_watches_close(struct remote *remote)
{
	uint64_t handle = 0;
	void *item;

	while ((handle = table_next(&remote->watches, handle, &item)))
		remove_watch(remote, handle);
}

/* Returns how many watches are open. */
uint32_t remote_watches(const struct remote *remote)
{
	return remote->watches.count;
}
