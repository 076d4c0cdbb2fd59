#include "net/tcp.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "net/socket_addr.h"

#define READ_SIZE (16 * 1024) /* bytes per recv */
#define READS_MAX 4    /* per event, so that one socket can't starve others */
#define ACCEPTS_MAX 64 /* per event of a listener */
#define BACKLOG 1024
/*
 * Ends a connection whose data stays unacknowledged this long
 * (TCP_USER_TIMEOUT): a cut network path gives no other sign. It also ends one
 * whose peer has no room for data; see tcp_allow_pauses.
 */
#define USER_TIMEOUT_MS 3000
#define RELEASE_MIN (256 * 1024) /* bytes sent of a queue, to free them */
#define OUT_MAX SIZE_MAX

static void set_options(int fd)
{
	int on = 1, ms = USER_TIMEOUT_MS;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms));
}

/* Lets the peer read nothing for a time, which must be bounded elsewhere. */
void tcp_allow_pauses(struct tcp *t, int64_t longest_us)
{
	int ms = (int)(longest_us / USEC_PER_MSEC);

	if (tcp_is_open(t))
		setsockopt(t->fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms,
			   sizeof(ms));
}

/* Closes the connection and calls the ended handler. */
static void report_end(struct tcp *t, enum tcp_end how)
{
	tcp_close(t);
	t->handler->ended(t, how);
}

static void on_readable(struct ev_loop *loop, ev_io *w, int events)
{
	static uint8_t data[READ_SIZE];
	struct tcp *t = w->data;
	ssize_t n;
	int i;

	(void)loop;
	(void)events;
	for (i = 0; i < READS_MAX && tcp_is_open(t); i++) {
		n = recv(t->fd, data, sizeof(data), 0);
		if (n < 0 && (errno == EAGAIN || errno == EINTR))
			return;
		if (n <= 0) {
			report_end(t, n ? TCP_BROKEN : TCP_PEER_CLOSED);
			return;
		}
		t->handler->data(t, data, (size_t)n);
		if ((size_t)n < sizeof(data) || !ev_is_active(&t->readable))
			return;
	}
}

/* Sends until the socket buffer is full; returns the bytes sent, or -1. */
static ssize_t send_now(struct tcp *t, const uint8_t *data, size_t len)
{
	size_t sent = 0;
	ssize_t n;

	while (sent < len) {
		n = send(t->fd, data + sent, len - sent, MSG_NOSIGNAL);
		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0)
			return errno == EAGAIN ? (ssize_t)sent : -1;
		sent += (size_t)n;
	}
	return (ssize_t)sent;
}

/* Frees the memory of the bytes that were sent, if it is a large part. */
static void release_sent(struct tcp *t)
{
	uint8_t *p;

	if (t->out_pos < RELEASE_MIN || t->out_pos < t->out.len / 4)
		return;
	t->out.len -= t->out_pos;
	memmove(t->out.data, t->out.data + t->out_pos, t->out.len);
	t->out_pos = 0;
	p = realloc(t->out.data, t->out.len);
	if (!p)
		return;
	t->out.data = p;
	t->out.size = t->out.len;
}

/* Sends queued bytes until the socket buffer is full; -1 on error. */
static int send_queued(struct tcp *t)
{
	ssize_t n =
		send_now(t, t->out.data + t->out_pos, t->out.len - t->out_pos);

	if (n < 0)
		return -1;
	t->out_pos += (size_t)n;
	if (t->out_pos < t->out.len) {
		release_sent(t);
		return 0;
	}
	buffer_free(&t->out);
	t->out_pos = 0;
	return 0;
}

static void connect_done(struct tcp *t)
{
	int err = 0;
	socklen_t len = sizeof(err);

	getsockopt(t->fd, SOL_SOCKET, SO_ERROR, &err, &len);
	if (err) {
		report_end(t, TCP_CONNECT_FAILED);
		return;
	}
	t->connecting = false;
	ev_io_start(t->net->loop, &t->readable);
	t->handler->opened(t);
}

static void on_writable(struct ev_loop *loop, ev_io *w, int events)
{
	struct tcp *t = w->data;

	(void)events;
	if (t->connecting)
		connect_done(t);
	if (!tcp_is_open(t))
		return;
	if (send_queued(t) < 0) {
		report_end(t, TCP_BROKEN);
		return;
	}
	if (!tcp_all_written(t))
		return;
	ev_io_stop(loop, &t->writable);
	t->handler->drained(t);
}

static void init(struct tcp *t, struct net *net, int fd,
		 const struct tcp_handler *handler, void *owner)
{
	memset(t, 0, sizeof(*t));
	t->net = net;
	t->fd = fd;
	t->handler = handler;
	t->owner = owner;
	ev_io_init(&t->readable, on_readable, fd, EV_READ);
	ev_io_init(&t->writable, on_writable, fd, EV_WRITE);
	t->readable.data = t;
	t->writable.data = t;
	set_options(fd);
}

/* Starts to connect; -1 on immediate failure, without calling handlers. */
int tcp_connect(struct tcp *t, struct net *net, const struct addr *to,
		const struct tcp_handler *handler, void *owner)
{
	union socket_addr sa;
	socklen_t len = addr_to_sockaddr(to, &sa);
	int fd = socket(sa.any.sa_family,
			SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	t->fd = -1;
	if (fd < 0)
		return -1;
	if (connect(fd, &sa.any, len) < 0 && errno != EINPROGRESS) {
		close(fd);
		return -1;
	}
	init(t, net, fd, handler, owner);
	t->connecting = true;
	ev_io_start(net->loop, &t->writable);
	return 0;
}

/* Takes ownership of an accepted socket and starts reading. */
void tcp_adopt(struct tcp *t, struct net *net, int fd,
	       const struct tcp_handler *handler, void *owner)
{
	init(t, net, fd, handler, owner);
	ev_io_start(net->loop, &t->readable);
}

/*
 * Sends bytes and queues those that the kernel does not accept now. Returns
 * -1 if out of memory or if the connection is broken; ended is then called
 * from the event loop, not from here.
 */
int tcp_write(struct tcp *t, const void *data, size_t len)
{
	ssize_t sent = 0;

	if (!tcp_is_open(t))
		return -1;
	if (!t->connecting && !ev_is_active(&t->writable))
		sent = send_now(t, data, len);
	/* Grown step by step, a large answer takes up to twice its size. */
	if (sent >= 0 && (size_t)sent < len && !t->out.len &&
	    buffer_reserve(&t->out, len - (size_t)sent) < 0)
		return -1;
	if (sent < 0 || buffer_append(&t->out, (const uint8_t *)data + sent,
				      len - (size_t)sent, OUT_MAX) < 0)
		return -1;
	if (!t->connecting && !tcp_all_written(t))
		ev_io_start(t->net->loop, &t->writable);
	return 0;
}

/* Resumes or pauses reading; received data stays in the socket buffer. */
void tcp_set_reading(struct tcp *t, bool on)
{
	if (!tcp_is_open(t) || t->connecting)
		return;
	if (on)
		ev_io_start(t->net->loop, &t->readable);
	else
		ev_io_stop(t->net->loop, &t->readable);
}

/* All queued bytes must have been sent. */
void tcp_end_output(struct tcp *t)
{
	if (tcp_is_open(t))
		shutdown(t->fd, SHUT_WR);
}

/* Closes without calling ended; no effect on a closed connection. */
void tcp_close(struct tcp *t)
{
	if (!tcp_is_open(t))
		return;
	ev_io_stop(t->net->loop, &t->readable);
	ev_io_stop(t->net->loop, &t->writable);
	close(t->fd);
	t->fd = -1;
	buffer_free(&t->out);
	t->out_pos = 0;
}

bool tcp_is_open(const struct tcp *t)
{
	return t->fd >= 0;
}

bool tcp_all_written(const struct tcp *t)
{
	return t->out_pos == t->out.len;
}

size_t tcp_unsent(const struct tcp *t)
{
	return t->out.len - t->out_pos;
}

size_t tcp_queued_memory(const struct tcp *t)
{
	return t->out.size;
}

bool tcp_has_input(const struct tcp *t)
{
	char byte;

	return recv(t->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0 ||
	       errno != EAGAIN;
}

static void on_acceptable(struct ev_loop *loop, ev_io *w, int events)
{
	struct tcp_listener *l = w->data;
	char peer[ADDR_TEXT_SIZE];
	union socket_addr sa;
	struct addr a;
	socklen_t len;
	int i, fd;

	(void)loop;
	(void)events;
	for (i = 0; i < ACCEPTS_MAX && ev_is_active(&l->watcher); i++) {
		len = sizeof(sa);
		fd = accept4(l->fd, &sa.any, &len,
			     SOCK_NONBLOCK | SOCK_CLOEXEC);
		if (fd < 0)
			return;
		addr_from_sockaddr(&sa, &a);
		addr_format_ip(&a, peer);
		l->accepted(l, fd, peer);
	}
}

/* Starts listening; returns -1 with err set. */
int tcp_listen(struct tcp_listener *l, struct net *net, const struct addr *a,
	       struct error *err)
{
	union socket_addr sa;
	socklen_t len = addr_to_sockaddr(a, &sa);
	char text[ADDR_TEXT_SIZE];
	int on = 1;

	l->net = net;
	l->fd = socket(sa.any.sa_family,
		       SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (l->fd >= 0) {
		setsockopt(l->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
		if (bind(l->fd, &sa.any, len) == 0 &&
		    listen(l->fd, BACKLOG) == 0) {
			ev_io_init(&l->watcher, on_acceptable, l->fd, EV_READ);
			l->watcher.data = l;
			ev_io_start(net->loop, &l->watcher);
			return 0;
		}
	}
	addr_format(a, text);
	error_set(err, ERROR_IO, "listen", text, "%s", strerror(errno));
	if (l->fd >= 0)
		close(l->fd);
	l->fd = -1;
	return -1;
}

/* Sets *a to the listening address with the port that was bound. */
void tcp_listener_addr(const struct tcp_listener *l, struct addr *a)
{
	union socket_addr sa;
	socklen_t len = sizeof(sa);

	memset(a, 0, sizeof(*a));
	if (getsockname(l->fd, &sa.any, &len) == 0)
		addr_from_sockaddr(&sa, a);
}

/* Resumes or pauses accepting; new connections stay in the backlog. */
void tcp_listener_set_accepting(struct tcp_listener *l, bool on)
{
	if (l->fd < 0)
		return;
	if (on)
		ev_io_start(l->net->loop, &l->watcher);
	else
		ev_io_stop(l->net->loop, &l->watcher);
}

/* Stops listening; the kernel resets connections in the backlog. */
void tcp_listener_close(struct tcp_listener *l)
{
	if (l->fd < 0)
		return;
	ev_io_stop(l->net->loop, &l->watcher);
	close(l->fd);
	l->fd = -1;
}
