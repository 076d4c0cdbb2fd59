/* Shared by the files of the HTTP server. */
#ifndef NET_HTTP_SERVER_IMPL_H
#define NET_HTTP_SERVER_IMPL_H

#include "net/http_impl.h"

struct pollfd;

struct http_server {
	struct net *net;
	struct http_server_options options;
	struct lws_vhost *vhost;
	struct table exchanges; /* of struct lws pointers */
	struct pollfd *polled;	/* of the sweep */
	uint32_t polled_size;
	uint32_t connections;
	bool draining;
};

/* Kept by libwebsockets for each connection, zeroed at its start. */
struct server_conn {
	uint64_t exchange; /* 0: none open */
	struct message request;
	struct http_body_info body;
	struct buffer out; /* LWS_PRE bytes of room, then the answer */
	size_t out_pos;
	bool head;	 /* the request's method was HEAD */
	bool ready;	 /* the body is there; to be dispatched */
	int completions; /* times that was said */
	bool answering;	 /* out holds an answer not yet written */
	bool close;	 /* after this answer */
};

/* Protocols of a server's vhost, whose user is the server. */
extern const struct lws_protocols http_server_protocols[];

/* Hands the answer of an exchange to its connection; -1: it doesn't fit. */
int http_server_give(struct lws *wsi, struct server_conn *c,
		     const struct message *m);

#endif
