/*
 * What HTTP server and client share: header blocks as libwebsockets gives
 * and takes them, and the pool's connections.
 */
#ifndef NET_HTTP_IMPL_H
#define NET_HTTP_IMPL_H

#include "net/net_impl.h"

#define HTTP_NO_CONTENT 204
#define HTTP_NOT_MODIFIED 304

struct http_body_info {
	bool has_length;
	bool bad; /* a length that is no number, or two that differ */
	bool chunked;
	uint64_t len;
};

int http_read_headers(struct lws *wsi, const char *const *extra,
		      struct message *m);
void http_read_body_info(struct lws *wsi, struct http_body_info *info);
int http_write_headers(struct lws *wsi, const struct message *m,
		       unsigned char **p, unsigned char *end);
bool http_answer_has_body(const char *method, int status);

/* The target of a request, percent-encoded again; NULL without memory. */
char *http_read_target(struct lws *wsi, char method[METHOD_SIZE]);

/* One call of a pool. */
struct http_pool_call {
	struct http_pool_call *prev;
	struct http_pool_call *next;
	struct net_alarm deadline;
	struct http_pool *pool;
	struct http_conn *conn; /* NULL while waiting */
	uint64_t handle;
	struct message request;
	struct http_call options; /* its request is not used */
	bool queued;		  /* in its pool's waiting list */
	bool failed;		  /* while starting; reported by the pump */
	bool sent;		  /* a byte may have left this process */
	bool established;	  /* the answer's head is whole */
	bool has_body;		  /* the answer has one */
	/* Inside lws_http_client_read: our buffer, and where data was found. */
	const char *room;
	char *const *data;
	bool readable; /* the socket had bytes before */
	size_t body_sent;
	struct http_body_info body; /* of the answer */
	uint64_t received;
	struct message answer;
};

/*
 * A client virtual host with at most one connection. It outlives the pool
 * that uses it, since virtual hosts are costly and go only with the loop.
 */
struct http_conn {
	struct http_conn *prev;
	struct http_conn *next;
	struct http_conn *next_created; /* all of the loop's */
	struct net *net;
	struct lws_vhost *vhost;
	struct http_pool *pool; /* NULL: spare, or its pool was closed */
	struct http_pool_call *call;
	struct lws *wsi;  /* the one that serial stands for */
	uintptr_t serial; /* of the newest wsi; older ones are ignored */
	bool warm;	  /* the TCP connection served a call before */
	bool last;	  /* the peer will close after this answer */
	bool starting;	  /* inside lws_client_connect_via_info */
	bool closing;	  /* takes no call; ends with its wsi */
};

struct http_pool {
	struct http_pool *prev;
	struct http_pool *next;
	struct net *net;
	struct http_pool_options options;
	char host[ADDR_TEXT_SIZE];
	char peer[ADDR_TEXT_SIZE]; /* with port, for errors */
	struct table calls;	   /* of struct http_pool_call pointers */
	struct http_pool_call *waiting;
	struct http_conn *busy; /* with a call, or closing */
	struct http_conn *idle; /* newest first */
	uint32_t conn_count;
	struct lws_sorted_usec_list pump;
};

struct http_conn *http_conn_take(struct http_pool *p, struct error *err);
int http_conn_start(struct http_conn *c, struct http_pool_call *call);
void http_conn_kill(struct http_conn *c);
void http_conn_free_all(struct net *net);

/* The call on c through its life; -1 closes the connection. */
int http_call_write_head(struct lws *wsi, struct http_conn *c,
			 unsigned char **p, size_t room);
int http_call_write_body(struct lws *wsi, struct http_pool_call *call);
int http_call_began(struct lws *wsi, struct http_conn *c);
int http_call_read(struct lws *wsi, struct http_conn *c);
int http_call_piece(struct http_conn *c, const void *data, size_t len);
int http_call_completed(struct http_conn *c);

/* What the connection tells its pool. */
void http_pool_idle(struct http_conn *c);
void http_pool_ended(struct http_conn *c);
void http_pool_finish(struct http_pool_call *call, enum http_call_status status,
		      const char *text);
void http_pool_again(struct http_pool_call *call);
void http_pool_free_all(struct net *net);

#endif
