#include "store/etcd_impl.h"

#include <stdlib.h>
#include <string.h>

#define LINE_MAX_BYTES (16 * 1024 * 1024)
/*
 * A connection that died without a reset looks like a stream without events,
 * so each stream is replaced at this age by one from the next revision.
 */
#define STREAM_MAX_AGE_US (30 * USEC_PER_SEC)

static int handle_event(struct remote *remote, uint64_t handle,
			struct json_object *event, int64_t now)
{
	struct remote_watch *w = table_get(&remote->watches, handle);
	struct json_object *type = json_member(event, "type");
	bool removed = type && !strcmp(json_object_get_string(type), "DELETE");
	struct store_entry entry;

	if (etcd_parse_entry(json_member(event, "kv"), removed, &entry) < 0) {
		free(entry.value);
		return error_set(&w->err, ERROR_INPUT, "store-watch",
				 remote->peer, "malformed event");
	}
	if (w->next_revision <= entry.mod_revision)
		w->next_revision = entry.mod_revision + 1;
	w->w.event(w->w.ctx, &entry, now);
	free(entry.value);
	return 0;
}

static void handle_events(struct remote *remote, uint64_t handle,
			  struct json_object *events, int64_t now)
{
	size_t i, n = 0;

	if (json_object_is_type(events, json_type_array))
		n = json_object_array_length(events);
	/* The callback may stop the watch. */
	for (i = 0; i < n && table_get(&remote->watches, handle); i++)
		if (handle_event(remote, handle,
				 json_object_array_get_idx(events, i), now) < 0)
			return;
}

static int handle_message(struct remote *remote, uint64_t handle,
			  const void *data, size_t len, int64_t now)
{
	struct remote_watch *w = table_get(&remote->watches, handle);
	struct json_object *o = json_parse_complete(data, len);
	struct json_object *result = json_member(o, "result");
	int64_t revision = json_int(json_member(result, "header"), "revision");
	int rc = 0;

	if (!result)
		rc = error_set(&w->err, ERROR_INPUT, "store-watch",
			       remote->peer, "answer is not the gateway's");
	else if (json_object_get_boolean(json_member(result, "canceled")))
		rc = error_set(&w->err, ERROR_STATE, "store-watch",
			       remote->peer,
			       "ended by the store, compacted at revision %lld",
			       (long long)json_int(result, "compact_revision"));
	else if (!w->next_revision)
		w->next_revision = revision + 1;
	if (!rc)
		handle_events(remote, handle, json_member(result, "events"),
			      now);
	json_object_put(o);
	return rc;
}

static void handle_lines(struct remote *remote, uint64_t handle, int64_t now)
{
	struct buffer lines;
	struct remote_watch *w = table_get(&remote->watches, handle);
	uint8_t *start, *end;
	size_t left;

	/* Callbacks may stop the watch, so detach its buffer. */
	lines = w->partial_line;
	memset(&w->partial_line, 0, sizeof(w->partial_line));
	start = lines.data;
	left = lines.len;
	while (left && (end = memchr(start, '\n', left))) {
		w = table_get(&remote->watches, handle);
		if (!w || w->err.code)
			break;
		handle_message(remote, handle, start, (size_t)(end - start),
			       now);
		left -= (size_t)(end + 1 - start);
		start = end + 1;
	}
	w = table_get(&remote->watches, handle);
	if (w && !w->err.code &&
	    buffer_append(&w->partial_line, start, left, LINE_MAX_BYTES) < 0)
		error_set(&w->err, ERROR_MEMORY, "store-watch", remote->peer,
			  "no memory");
	buffer_free(&lines);
}

static void on_data(void *ctx, uint64_t tag, const void *data, size_t len,
		    int64_t now)
{
	struct remote *remote = ctx;
	struct remote_watch *w = table_get(&remote->watches, tag);

	if (!w || w->err.code)
		return;
	if (buffer_append(&w->partial_line, data, len, LINE_MAX_BYTES) < 0) {
		error_set(&w->err, ERROR_LIMIT, "store-watch", remote->peer,
			  "watch message exceeds 16 MiB");
		return;
	}
	if (memchr(data, '\n', len))
		handle_lines(remote, tag, now);
}

static void on_stream_done(void *ctx, uint64_t tag, struct http_call_result *r,
			   int64_t now)
{
	struct remote *remote = ctx;
	struct remote_watch *w = table_get(&remote->watches, tag);

	if (!w)
		return;
	w->http = 0;
	if (!w->err.code && r->err.code)
		w->err = r->err;
	else if (!w->err.code)
		error_set(&w->err, ERROR_IO, "store-watch", remote->peer,
			  "the stream ended");
	remote_watch_end(remote, tag, now);
}

/*
 * Opens a stream from the next revision. A failure is stored in the err of the
 * watch.
 */
void etcd_stream_start(struct remote *remote, uint64_t handle, int64_t now)
{
	struct remote_watch *w = table_get(&remote->watches, handle);
	struct message m;
	struct http_call call = {
		.request = &m,
		.deadline_us = now + 2 * STREAM_MAX_AGE_US,
		.ctx = remote,
		.tag = handle,
		.done = on_stream_done,
		.on_body_data = on_data,
	};

	buffer_free(&w->partial_line);
	w->started_us = now;
	if (!etcd_post(&m, "/v3/watch",
		       etcd_watch_request(w->prefix, w->next_revision)))
		w->http = http_call_start(remote->stream_pool, &call, now,
					  &w->err);
	if (!w->http && !w->err.code)
		error_set(&w->err, ERROR_MEMORY, "store-watch", remote->peer,
			  "no memory");
	message_free(&m);
}

/* Replaces the stream of a watch once it reaches STREAM_MAX_AGE_US. */
void etcd_stream_renew(struct remote *remote, uint64_t handle, int64_t now)
{
	struct remote_watch *w = table_get(&remote->watches, handle);

	if (now - w->started_us < STREAM_MAX_AGE_US)
		return;
	http_call_cancel(remote->stream_pool, w->http);
	w->http = 0;
	etcd_stream_start(remote, handle, now);
}
