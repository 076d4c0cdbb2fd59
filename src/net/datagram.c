#include "net/link_impl.h"

#include <errno.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define RECEIVE_MAX 256 /* datagrams taken before others get their turn */
#define V4_OFFSET 12

union socket_addr {
	struct sockaddr any;
	struct sockaddr_in v4;
	struct sockaddr_in6 v6;
};

static socklen_t to_socket_addr(const struct addr *a, union socket_addr *sa)
{
	static const uint8_t prefix[V4_OFFSET] = {[10] = 0xff, [11] = 0xff};

	memset(sa, 0, sizeof(*sa));
	if (memcmp(a->ip, prefix, sizeof(prefix))) {
		sa->v6.sin6_family = AF_INET6;
		sa->v6.sin6_port = htons(a->port);
		memcpy(&sa->v6.sin6_addr, a->ip, sizeof(a->ip));
		return sizeof(sa->v6);
	}
	sa->v4.sin_family = AF_INET;
	sa->v4.sin_port = htons(a->port);
	memcpy(&sa->v4.sin_addr, a->ip + V4_OFFSET, 4);
	return sizeof(sa->v4);
}

/*
 * Opens the UDP socket of an address and tells the port, which the kernel
 * chose if listen has none. Returns the descriptor or -1 with err set.
 */
int datagram_socket(const struct addr *listen, uint16_t *port,
		    struct error *err)
{
	char text[ADDR_TEXT_SIZE];
	union socket_addr sa;
	socklen_t len = to_socket_addr(listen, &sa);
	int fd = socket(sa.any.sa_family,
			SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd >= 0 && bind(fd, &sa.any, len) == 0 &&
	    getsockname(fd, &sa.any, &len) == 0) {
		*port = ntohs(sa.any.sa_family == AF_INET ? sa.v4.sin_port
							  : sa.v6.sin6_port);
		return fd;
	}
	addr_format(listen, text);
	error_set(err, ERROR_IO, "datagram-open", text, "%s", strerror(errno));
	if (fd >= 0)
		close(fd);
	return -1;
}

static void refuse(struct links *l, const char *what, enum error_code code)
{
	struct error err;

	error_set(&err, code, "datagram-receive", NULL, "%s", what);
	links_refused(l, "datagram", &err);
}

static void receive_one(struct links *l, const uint8_t *data, size_t len)
{
	struct buffer opened = {0};
	struct peer_msg msg;

	if (datagram_open(l->options.secret, data, len, &opened) < 0)
		refuse(l, "not sealed with the secret", ERROR_AUTH);
	else if (peer_msg_decode(&msg, opened.data, opened.len, NULL) < 0)
		refuse(l, "malformed message", ERROR_INPUT);
	else {
		if (l->options.peer)
			l->options.peer(l->options.ctx, &msg, net_now());
		peer_msg_free(&msg);
	}
	buffer_free(&opened);
}

/* Takes what has come in, up to a bound. */
void datagram_receive(struct links *l)
{
	uint8_t data[DATAGRAM_MAX + 1];
	ssize_t len;
	int i;

	for (i = 0; i < RECEIVE_MAX && !l->closed; i++) {
		len = recv(l->datagram_fd, data, sizeof(data), 0);
		if (len < 0)
			return;
		receive_one(l, data, (size_t)len);
	}
}

/*
 * Sends one sealed datagram, and fills in the sender. Returns -1 when it
 * does not fit or the socket did not take it.
 */
int links_datagram(struct links *l, const struct addr *to, struct peer_msg *msg)
{
	struct buffer plain = {0}, sealed = {0};
	union socket_addr sa;
	socklen_t sa_len = to_socket_addr(to, &sa);
	ssize_t sent = -1;

	msg->from = l->addr;
	msg->incarnation = l->options.incarnation;
	if (!l->closed && peer_msg_encode(msg, &plain) == 0 &&
	    datagram_seal(l->options.secret, plain.data, plain.len, &sealed) ==
		    0)
		sent = sendto(l->datagram_fd, sealed.data, sealed.len, 0,
			      &sa.any, sa_len);
	buffer_free(&plain);
	buffer_free(&sealed);
	if (sent < 0)
		return -1;
	counter_add(COUNTER_DATAGRAMS, 1);
	counter_add(COUNTER_CONTROL_MESSAGES, 1);
	counter_add(COUNTER_CONTROL_BYTES, (uint64_t)sent);
	return 0;
}
