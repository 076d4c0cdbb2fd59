/* Non-blocking TCP: received bytes go to a callback, sent ones are queued. */
#ifndef NET_TCP_H
#define NET_TCP_H

#include "net/net_impl.h"

struct tcp;

enum tcp_end {
	TCP_PEER_CLOSED,    /* orderly close by the peer */
	TCP_BROKEN,	    /* reset, timed out or unreachable */
	TCP_CONNECT_FAILED, /* could not connect */
};

/*
 * Called from the event loop. Any handler may close the connection; its memory
 * must stay valid until the loop iteration ends, see net_free_later.
 */
struct tcp_handler {
	void (*opened)(struct tcp *t); /* outgoing connections only */
	void (*data)(struct tcp *t, const uint8_t *data, size_t len);
	void (*ended)(struct tcp *t, enum tcp_end how);
	void (*drained)(struct tcp *t); /* all queued bytes were sent */
};

struct tcp {
	ev_io readable;
	ev_io writable;
	struct net *net;
	const struct tcp_handler *handler;
	void *owner;
	int fd; /* -1: closed */
	bool connecting;
	struct buffer out;
	size_t out_pos;
};

int tcp_connect(struct tcp *t, struct net *net, const struct addr *to,
		const struct tcp_handler *handler, void *owner);
void tcp_adopt(struct tcp *t, struct net *net, int fd,
	       const struct tcp_handler *handler, void *owner);
void tcp_allow_pauses(struct tcp *t, int64_t longest_us);
int tcp_write(struct tcp *t, const void *data, size_t len);
void tcp_set_reading(struct tcp *t, bool on);
/* Sends an end of file; received data still goes to the handler. */
void tcp_end_output(struct tcp *t);
void tcp_close(struct tcp *t);
bool tcp_is_open(const struct tcp *t);
bool tcp_all_written(const struct tcp *t);
/* Bytes that the peer does not read yet. */
size_t tcp_unsent(const struct tcp *t);
/* Memory that holds bytes which the peer does not read yet. */
size_t tcp_queued_memory(const struct tcp *t);
/*
 * Whether data, an end of file or an error is pending; an idle connection
 * with one can't be reused.
 */
bool tcp_has_input(const struct tcp *t);

/* A listening socket; see tcp_listener_set_accepting. */
struct tcp_listener {
	ev_io watcher;
	struct net *net;
	int fd;
	void *owner;
	/* Takes ownership of fd; peer is an IP address as text. */
	void (*accepted)(struct tcp_listener *l, int fd, const char *peer);
};

int tcp_listen(struct tcp_listener *l, struct net *net, const struct addr *a,
	       struct error *err);
void tcp_listener_addr(const struct tcp_listener *l, struct addr *a);
void tcp_listener_set_accepting(struct tcp_listener *l, bool on);
void tcp_listener_close(struct tcp_listener *l);

#endif
