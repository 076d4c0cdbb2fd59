/* A store spoken to over HTTP: its connections, open calls and watches. */
#ifndef STORE_REMOTE_H
#define STORE_REMOTE_H

#include "net/net.h"
#include "store/store_impl.h"

#define REMOTE_CALLS_MAX 256
#define REMOTE_WATCHES_MAX 64

struct remote {
	enum store_kind kind; /* what it speaks */
	struct http_pool *call_pool;
	struct http_pool *stream_pool; /* one connection for each watch */
	struct table open_calls;
	struct table watches;
	char peer[ADDR_TEXT_SIZE];
};

/* One watch, whichever way the store tells of changes. */
struct remote_watch {
	struct store_watch w;
	char prefix[STORE_KEY_SIZE];
	int64_t next_revision;	    /* 0: from now on */
	uint64_t http;		    /* 0: to be started */
	int64_t started_us;	    /* of a stream */
	struct buffer partial_line; /* of a stream, as far as it has come */
	struct error err;	    /* set: to be reported as ended */
};

/* remote_watch.c */
void remote_watch_end(struct remote *remote, uint64_t handle, int64_t now);
void remote_watches_close(struct remote *remote);

/* By long polls, for a store that has no streams. */
void poll_start(struct remote *remote, uint64_t handle, int64_t now);

#endif
