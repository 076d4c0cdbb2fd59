#include <stdlib.h>
#include <string.h>

#include "platform/platform.h"
#include "store/remote.h"

/* How long the store may hold an answer back for the next event. */
#define WAIT_MS 10000
#define ANSWER_LAG_US (2 * USEC_PER_SEC)

struct poll_watch {
	struct store_watch w;
	char prefix[STORE_KEY_SIZE];
	int64_t after;	  /* newest revision that was told */
	uint64_t http;	  /* 0: to be started */
	struct error err; /* set: to be reported as ended */
};

static void start_poll(struct remote *e, uint64_t handle, int64_t now);

static void remove_watch(struct remote *e, uint64_t handle)
{
	struct poll_watch *w = table_get(&e->watches, handle);

	if (!w)
		return;
	if (w->http)
		http_call_cancel(e->streams, w->http);
	table_remove(&e->watches, handle);
}

static void end_watch(struct remote *e, uint64_t handle, int64_t now)
{
	struct poll_watch *watch = table_get(&e->watches, handle);
	struct store_watch w = watch->w;
	struct error err = watch->err;

	remove_watch(e, handle);
	w.ended(w.ctx, &err, now);
}

/* Reports each event; a handler may stop the watch. */
static void tell(struct remote *e, uint64_t handle,
		 const struct platform_events *events, int64_t now)
{
	struct poll_watch *w;
	size_t i;

	for (i = 0; i < events->n; i++) {
		w = table_get(&e->watches, handle);
		if (!w)
			return;
		w->w.event(w->w.ctx, &events->items[i], now);
	}
}

static void on_done(void *ctx, uint64_t tag, struct http_call_result *r,
		    int64_t now)
{
	struct platform_events events = {0};
	struct remote *e = ctx;
	struct poll_watch *w = table_get(&e->watches, tag);

	if (!w)
		return;
	w->http = 0;
	if (r->status != HTTP_ANSWERED)
		w->err = r->err;
	else if (platform_watch_answer(r->answer, &events, &w->err) == 0)
		w->after = events.as_of;
	if (!w->err.code)
		tell(e, tag, &events, now);
	platform_events_free(&events);
	w = table_get(&e->watches, tag);
	if (w && w->err.code)
		end_watch(e, tag, now);
	else if (w)
		start_poll(e, tag, now);
}

static void start_poll(struct remote *e, uint64_t handle, int64_t now)
{
	struct poll_watch *w = table_get(&e->watches, handle);
	struct message m;
	struct http_call call = {
		.request = &m,
		.deadline_us = now + WAIT_MS * USEC_PER_MSEC + ANSWER_LAG_US,
		.ctx = e,
		.tag = handle,
		.done = on_done,
	};

	counter_add(COUNTER_STORE_READS, 1);
	if (platform_watch_request(w->prefix, w->after, WAIT_MS, &m) == 0)
		w->http = http_call_start(e->streams, &call, now, &w->err);
	if (!w->http && !w->err.code)
		error_set(&w->err, ERROR_MEMORY, "store-watch", e->peer,
			  "no memory");
	message_free(&m);
}

/* Starts a watch; a fault is reported as its end at a later tick. */
uint64_t poll_watch_start(struct remote *e, const struct store_watch *w,
			  int64_t now)
{
	struct poll_watch *watch;
	uint64_t handle;
	void *item;

	if (strlen(w->prefix) >= STORE_KEY_SIZE)
		return 0;
	handle = table_add(&e->watches, &item);
	if (!handle)
		return 0;
	watch = item;
	watch->w = *w;
	copy_name(watch->prefix, sizeof(watch->prefix), w->prefix);
	watch->after = w->from_revision ? w->from_revision - 1 : 0;
	start_poll(e, handle, now);
	return handle;
}

/* Stops a watch without a report. */
void poll_watch_stop(struct remote *e, uint64_t watch)
{
	remove_watch(e, watch);
}

/* Prepares the table of watches. */
void poll_watches_open(struct remote *e)
{
	table_init(&e->watches, sizeof(struct poll_watch), REMOTE_WATCHES_MAX);
}

/* Ends watches that could not be started. */
void poll_watches_tick(struct remote *e, int64_t now)
{
	uint64_t handle = 0;
	void *item;

	while ((handle = table_next(&e->watches, handle, &item)))
		if (((struct poll_watch *)item)->err.code)
			end_watch(e, handle, now);
}

/* Stops all watches without a report. */
void poll_watches_close(struct remote *e)
{
	uint64_t handle = 0;
	void *item;

	while ((handle = table_next(&e->watches, handle, &item)))
		remove_watch(e, handle);
}
