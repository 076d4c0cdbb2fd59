/* Client of a store over HTTP: its connections, open calls and watches. */
#ifndef STORE_REMOTE_H
#define STORE_REMOTE_H

#include "net/net.h"
#include "store/store_impl.h"

#define REMOTE_CALLS_MAX 256
#define REMOTE_WATCHES_MAX 64

struct remote {
	enum store_kind kind; /* selects the protocol */
	struct history *history;
	struct http_pool *call_pool;
	struct http_pool *stream_pool; /* one connection per watch */
	struct table open_calls;
	struct table watches;
	char peer[ADDR_TEXT_SIZE];
};

/* A watch, by a stream of etcd or by long polls of the platform's store. */
struct remote_watch {
	struct store_watch w;
	char prefix[STORE_KEY_SIZE];
	int64_t next_revision;	    /* 0: from now on */
	uint64_t http;		    /* 0: no request is open */
	int64_t started_us;	    /* of the current stream or request */
	struct buffer partial_line; /* incomplete last line of a stream */
	struct error err;	    /* code set: the watch is to be ended */
};

/* remote_watch.c */
void remote_watch_end(struct remote *remote, uint64_t handle, int64_t now);
void remote_watches_close(struct remote *remote);
/*
 * Sends the requests of watches again over other connections, where they were
 * last sent before sent_us.
 */
void remote_watches_renew(struct remote *remote, int64_t sent_us, int64_t now);
/* Ends all watches and reports that the history was replaced. */
void remote_replaced(struct remote *remote, int64_t now);

/* poll.c: watches by long polls, for a store without streams */
void poll_start(struct remote *remote, uint64_t handle, int64_t now);

#endif
