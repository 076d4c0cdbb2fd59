/* Internals of the HTTP client: calls, connections and pools. */
#ifndef NET_HTTP_POOL_IMPL_H
#define NET_HTTP_POOL_IMPL_H

#include "net/http_impl.h"

/* One call of a pool. */
struct pool_call {
	struct pool_call *prev; /* in the waiting list */
	struct pool_call *next;
	struct net_alarm deadline;
	struct net_alarm silence; /* see silence_us of http_call */
	struct http_pool *pool;
	struct pool_conn *conn; /* NULL while waiting for one */
	uint64_t handle;
	struct http_call options; /* options.request is not valid here */
	struct buffer request;	  /* serialised; freed once it is not needed */
	int64_t sent_us;	  /* last time */
	char expected_id[REQUEST_ID_SIZE];
	uint8_t skipped; /* interim and other calls' responses read for it */
	bool no_body;	 /* is a HEAD request */
	bool queued;	 /* in the waiting list of its pool */
	bool failed;	 /* could not be started; start_waiting reports it */
	bool sent;	 /* a byte may have been sent */
	bool resent;	 /* over another connection, after silence */
};

/* Failed requests that a connection remembers; then it is closed. */
#define FAILED_IDS_MAX 16

struct pool_conn {
	struct pool_conn *prev;
	struct pool_conn *next;
	struct http_pool *pool;
	struct pool_call *call; /* NULL: idle */
	struct tcp tcp;
	struct http_reader reader;
	bool reused;			     /* has completed a call before */
	uint64_t failed_ids[FAILED_IDS_MAX]; /* hashes, of failed requests */
	uint8_t failed_count;
	int64_t used_us;		  /* when it last completed one */
	struct net_alarm connect_timeout; /* limits connect time */
	int64_t idle_until_us;
	size_t body_reserved; /* of net.bodies_max */
	bool body_waits;      /* listed in net.bodies_waiting */
	struct pool_conn *waits_prev;
	struct pool_conn *waits_next;
};

struct http_pool {
	struct http_pool *prev;
	struct http_pool *next;
	struct net *net;
	struct http_pool_options options;
	char peer[ADDR_TEXT_SIZE]; /* with port */
	struct table calls;	   /* of struct pool_call * */
	struct pool_call *waiting;
	struct pool_conn *busy;
	struct pool_conn *idle; /* most recently used first */
	uint32_t conn_count;
	int64_t response_us; /* how long the last response took */
	struct net_alarm start_alarm;
	bool start_scheduled;
};

/* http_pool_body.c */

/* Stops reading a large response until there is memory for all of it. */
void pool_body_check(struct pool_conn *c);
/* Ends the reservation or the wait of a connection's response. */
void pool_body_release(struct pool_conn *c);

#endif
