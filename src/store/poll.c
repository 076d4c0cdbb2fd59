#include "platform/platform.h"
#include "store/remote.h"

/* Longest time that the store may wait for an event before it responds. */
#define POLL_WAIT_MS 10000
/* Added to POLL_WAIT_MS for the response to arrive. */
#define RESPONSE_MARGIN_US (2 * USEC_PER_SEC)

/* Reports each event, until the callback stops the watch. */
static void report_events(struct remote *remote, uint64_t handle,
			  const struct platform_events *events, int64_t now)
{
	struct remote_watch *w;
	size_t i;

	for (i = 0; i < events->n; i++) {
		w = table_get(&remote->watches, handle);
		if (!w)
			return;
		w->w.event(w->w.ctx, &events->items[i], now);
	}
}

/* Returns false if the watch has ended, as the history was replaced. */
static bool check_history(struct remote *remote, struct remote_watch *w,
			  const struct platform_events *events, int64_t now)
{
	struct store_origin origin = {.era = events->era};

	switch (history_check(remote->history, &origin, 0, now)) {
	case HISTORY_CURRENT:
		break;
	case HISTORY_FORMER:
		error_set(&w->err, ERROR_STATE, "store-watch", remote->peer,
			  "answer of a former history");
		break;
	case HISTORY_REPLACED:
		remote_replaced(remote, now);
		return false;
	}
	return true;
}

static void on_poll_done(void *ctx, uint64_t tag, struct http_call_result *r,
			 int64_t now)
{
	struct platform_events events = {0};
	struct remote *remote = ctx;
	struct remote_watch *w = table_get(&remote->watches, tag);

	if (!w)
		return;
	w->http = 0;
	if (r->status != HTTP_COMPLETED)
		w->err = r->err;
	else if (platform_watch_response(r->response, &events, &w->err) == 0)
		w->next_revision = events.as_of + 1;
	if (!check_history(remote, w, &events, now)) {
		platform_events_free(&events);
		return;
	}
	if (!w->err.code)
		report_events(remote, tag, &events, now);
	platform_events_free(&events);
	w = table_get(&remote->watches, tag);
	if (w && w->err.code)
		remote_watch_end(remote, tag, now);
	else if (w)
		poll_start(remote, tag, now);
}

/*
 * Requests the events after the last revision reported. A failure is stored in
 * the err of the watch.
 */
void poll_start(struct remote *remote, uint64_t handle, int64_t now)
{
	struct remote_watch *w = table_get(&remote->watches, handle);
	int64_t after = w->next_revision ? w->next_revision - 1 : 0;
	struct message m;
	struct http_call call = {
		.request = &m,
		.deadline_us =
			now + POLL_WAIT_MS * USEC_PER_MSEC + RESPONSE_MARGIN_US,
		.ctx = remote,
		.tag = handle,
		.done = on_poll_done,
	};

	w->started_us = now;
	counter_add(COUNTER_STORE_READS, 1);
	if (platform_watch_request(w->prefix, after, POLL_WAIT_MS, &m) == 0)
		w->http = http_call_start(remote->stream_pool, &call, now,
					  &w->err);
	if (!w->http && !w->err.code)
		error_set(&w->err, ERROR_MEMORY, "store-watch", remote->peer,
			  "no memory");
	message_free(&m);
}
