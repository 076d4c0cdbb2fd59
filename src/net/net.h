/*
 * Event loop and network I/O: HTTP server and client, links and datagrams
 * between nodes. Everything runs on one thread and one event loop, which is
 * shared with one libwebsockets context.
 */
#ifndef NET_NET_H
#define NET_NET_H

#include "base/base.h"
#include "wire/wire.h"

struct net;

/* Opens the event loop; returns NULL with err set on failure. */
struct net *net_open(struct error *err);
void net_close(struct net *net);
/* Runs the event loop until net_stop is called. */
void net_run(struct net *net);
void net_stop(struct net *net);
/* Calls tick(ctx, now) every period until the loop is closed. */
int net_every(struct net *net, int64_t period_us,
	      void (*tick)(void *ctx, int64_t now), void *ctx);
/* Calls fire(ctx, now) once, not before at_us on the monotonic clock. */
int net_at(struct net *net, int64_t at_us, void (*fire)(void *ctx, int64_t now),
	   void *ctx);

/*
 * HTTP server. An exchange is one request and its response; its handle is
 * valid until the response is given or the exchange is reported as abandoned.
 * msg belongs to the server; the handler may move its members out and must
 * then zero them.
 */
struct http_server;

struct http_server_options {
	struct addr listen; /* port 0: chosen by the kernel */
	size_t body_limit;
	uint32_t connections_max; /* more wait in the listen backlog */
	/* Memory for responses that callers do not read yet; 0: no limit. */
	size_t unread_max;
	/*
	 * Header set to "not-run" in error responses that the server sends
	 * without calling the request handler, or NULL.
	 */
	const char *outcome_header;
	void *ctx;
	void (*on_request)(void *ctx, uint64_t exchange, struct message *msg,
			   const char *peer, int64_t now);
	/* Abandoned: the connection closed before the response was given. */
	void (*on_abandoned)(void *ctx, uint64_t exchange, int64_t now);
};

/* Limits on the size of requests and on the time to send them. */
struct http_limits {
	size_t head_bytes;
	size_t body_bytes;
	int64_t head_timeout_us; /* to receive the rest of a request head */
	int64_t idle_timeout_us; /* between two requests */
};

void http_server_set_limits(struct http_server *s, const struct http_limits *l);
struct http_server *http_server_open(struct net *net,
				     const struct http_server_options *o,
				     struct error *err);
void http_server_addr(const struct http_server *s, struct addr *a);
/*
 * Sends a complete response with Content-Length; m is copied. Returns -1 if
 * the exchange has ended or the response can't be written. No handler is called
 * before it returns.
 */
int http_server_respond(struct http_server *s, uint64_t exchange,
			const struct message *m);
/*
 * Sends Connection: close with every response from now on. Connections in the
 * listen backlog are still accepted and served, as closing them could abort a
 * request.
 */
void http_server_drain(struct http_server *s);
uint32_t http_server_connections(const struct http_server *s);
/* Connections whose peers have not taken all of their responses yet. */
uint32_t http_server_unsent(const struct http_server *s);

/*
 * Limits the memory for bodies of requests, from the first byte of the body to
 * the response, over all servers. A request that does not fit is refused with
 * 503 as not run. Large ones leave a part of it to the others.
 */
void net_limit_requests(struct net *net, size_t max);

/*
 * Limits the memory for large responses that pools with bodies_wait receive at
 * once. A response that would exceed it is read on when there is room.
 */
void net_limit_bodies(struct net *net, size_t max);

/*
 * HTTP client: a pool of connections to one address. Each connection carries
 * one call at a time; calls beyond connections_max wait in FIFO order.
 */
struct http_pool;

struct http_pool_options {
	struct addr addr;
	uint32_t connections_max;
	size_t body_limit;
	int64_t idle_timeout_us;    /* or less, as Keep-Alive says */
	int64_t connect_timeout_us; /* then HTTP_UNREACHABLE; 0: no limit */
	bool bodies_wait;	    /* for memory; see net_limit_bodies */
	/* The peer may read nothing for so long; 0: a few seconds. */
	int64_t pause_us;
	void *ctx;
	/*
	 * A request sent at sent_us met silence; see silence_us. May be NULL,
	 * and must not close the pool.
	 */
	void (*on_silent)(void *ctx, int64_t sent_us, int64_t now);
};

enum http_call_status {
	HTTP_COMPLETED,
	HTTP_NOT_SENT,	      /* no byte of the request was sent */
	HTTP_UNREACHABLE,     /* not sent: no connection could be made */
	HTTP_CONNECTION_LOST, /* perhaps sent; no complete response */
	HTTP_MALFORMED,	      /* sent; the response was malformed */
	HTTP_TOO_LARGE,	      /* sent; the response exceeded body_limit */
	HTTP_TIMED_OUT,	      /* sent; response incomplete at the deadline */
};

struct http_call_result {
	enum http_call_status status;
	struct message *response; /* if HTTP_COMPLETED; may be moved from */
	struct error err;
};

struct http_call {
	const struct message *request; /* copied */
	int64_t deadline_us;
	/*
	 * A response whose value of this header differs from the request's
	 * belongs to another request and is skipped. One without the header
	 * counts only on a connection that carried no other request, else it is
	 * malformed. A request that failed is not sent again on the same
	 * connection.
	 */
	const char *echo_header;
	/*
	 * If set, a request that gets no byte for this long (on a new
	 * connection, twice as long) is sent again over another connection, and
	 * the idle ones that were last used before it was sent are closed. Over
	 * new connections it is sent again once only, so that a slow peer can
	 * answer. Only for requests that may be repeated.
	 */
	int64_t silence_us;
	void *ctx;
	uint64_t tag;
	void (*done)(void *ctx, uint64_t tag, struct http_call_result *r,
		     int64_t now);
	/* If set, receives body data as it arrives; done gets no body then. */
	void (*on_body_data)(void *ctx, uint64_t tag, const void *data,
			     size_t len, int64_t now);
};

struct http_pool *http_pool_open(struct net *net,
				 const struct http_pool_options *o,
				 struct error *err);
/* Reports every call in progress before it returns. */
void http_pool_close(struct http_pool *p);
/*
 * Returns a handle, or 0 with err set. done is never called before
 * http_call_start returns.
 */
uint64_t http_call_start(struct http_pool *p, const struct http_call *c,
			 int64_t now, struct error *err);
/* Ends a call without calling done; closes the connection it was using. */
void http_call_cancel(struct http_pool *p, uint64_t handle);
uint32_t http_pool_connections(const struct http_pool *p);
/* Closes the idle connections that were last used before used_us. */
void http_pool_close_idle(struct http_pool *p, int64_t used_us);

/* What an attempt to connect tells of the process at an address. */
enum listen_state {
	LISTEN_OPEN,
	LISTEN_REFUSED, /* nobody listens there */
	LISTEN_SILENT,	/* no answer in time */
};

struct listen_probe_options {
	struct addr addr;
	int64_t timeout_us;
	void *ctx;
	uint64_t tag;
	void (*done)(void *ctx, uint64_t tag, enum listen_state state,
		     int64_t now);
};

/*
 * Connects once and closes again, without a byte. done is called later, once.
 * Returns -1 if no attempt could be made.
 */
int net_probe(struct net *net, const struct listen_probe_options *o,
	      int64_t now);

/*
 * Links: one TCP connection per pair of nodes, opened when first needed,
 * authenticated and sealed with the cluster secret, closed when idle.
 */
struct links;

struct links_options {
	struct addr listen;
	uint64_t incarnation;	     /* sent with each control message */
	uint8_t secret[SECRET_SIZE]; /* zero: see links_set_secret */
	size_t body_limit;
	void *ctx;
	/*
	 * An incoming call; answer with links_answer(stream). The handler may
	 * move parts of msg out.
	 */
	void (*on_call)(void *ctx, uint64_t stream, const struct addr *peer,
			const struct call_head *head, struct message *msg,
			int64_t now);
	/* The caller of an incoming stream cancelled, or its link was lost. */
	void (*on_cancelled)(void *ctx, uint64_t stream, int64_t now);
	/* A control message, received on a link or as a datagram. */
	void (*on_peer_msg)(void *ctx, const struct peer_msg *msg, int64_t now);
};

enum link_status {
	LINK_ANSWERED,
	LINK_NOT_SENT, /* certain: the call's head was not sent */
	LINK_LOST,     /* sent; link lost before the complete answer */
};

struct link_result {
	enum link_status status;
	const struct answer_head *head;
	struct message *answer; /* the handler may move parts out */
	struct error err;
};

struct link_call {
	struct addr to;
	const struct call_head *head;
	const struct message *message; /* copied */
	void *ctx;
	uint64_t tag;
	void (*done)(void *ctx, uint64_t tag, struct link_result *r,
		     int64_t now);
};

struct links *links_open(struct net *net, const struct links_options *o,
			 struct error *err);
void links_close(struct links *l);
/* Until the secret is set (not all zero), nothing is sent or accepted. */
void links_set_secret(struct links *l, const uint8_t secret[SECRET_SIZE]);
/* Whether the link to a node is in back-off or has an unanswered ping. */
bool links_is_suspect(const struct links *l, const struct addr *peer);
/* The listening address, the same for UDP and TCP. */
void links_addr(const struct links *l, struct addr *a);
/* Returns 0 with err set on failure; done is not called before it returns. */
uint64_t links_call(struct links *l, const struct link_call *c, int64_t now,
		    struct error *err);
/* Whether nothing of a call has been sent yet. */
bool links_is_unsent(const struct links *l, uint64_t call);
/* Sends a cancellation to the peer; done is not called. */
void links_cancel(struct links *l, uint64_t call);
int links_answer(struct links *l, uint64_t stream,
		 const struct answer_head *head, const struct message *m);
/* Send a control message: on a link, or as one datagram if it fits. */
int links_send(struct links *l, const struct addr *to, struct peer_msg *msg,
	       int64_t now);
int links_datagram(struct links *l, const struct addr *to,
		   struct peer_msg *msg);
uint32_t links_count(const struct links *l);
/* Answers that were given and not completely sent yet. */
uint32_t links_unsent_answers(const struct links *l);

#endif
