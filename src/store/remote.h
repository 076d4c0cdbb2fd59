/* A store spoken to over HTTP: its connections, open calls and watches. */
#ifndef STORE_REMOTE_H
#define STORE_REMOTE_H

#include "net/net.h"
#include "store/store_impl.h"

#define REMOTE_CALLS_MAX 256
#define REMOTE_WATCHES_MAX 64

struct remote {
	enum store_kind kind; /* what it speaks */
	struct http_pool *calls;
	struct http_pool *streams; /* one connection for each watch */
	struct table open_calls;
	struct table watches;
	char peer[ADDR_TEXT_SIZE];
};

/* Watches by long polls, for a store that has no streams. */
uint64_t poll_watch_start(struct remote *e, const struct store_watch *w,
			  int64_t now);
void poll_watch_stop(struct remote *e, uint64_t watch);
void poll_watches_open(struct remote *e);
void poll_watches_tick(struct remote *e, int64_t now);
void poll_watches_close(struct remote *e);

#endif
