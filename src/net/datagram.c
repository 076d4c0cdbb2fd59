#include "net/link_impl.h"

#include <errno.h>
#include <string.h>
#include <unistd.h>

#include "net/socket_addr.h"

#define DATAGRAMS_PER_WAKEUP 256 /* then other events are served */

/*
 * Opens a UDP socket bound to listen and stores its port, which the kernel
 * chooses if listen has none. Returns the descriptor, or -1 with err set.
 */
int datagram_socket(const struct addr *listen, uint16_t *port,
		    struct error *err)
{
	char text[ADDR_TEXT_SIZE];
	union socket_addr sa;
	socklen_t len = addr_to_sockaddr(listen, &sa);
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
	links_report_refusal(l, "datagram", &err);
}

static void receive_one(struct links *l, const uint8_t *data, size_t len)
{
	struct buffer opened = {0};
	struct peer_msg msg;

	if (!l->has_secret)
		return;
	if (datagram_open(l->options.secret, data, len, &opened) < 0)
		refuse(l, "datagram not sealed with the cluster secret",
		       ERROR_AUTH);
	else if (peer_msg_decode(&msg, opened.data, opened.len, NULL) < 0)
		refuse(l, "malformed message", ERROR_INPUT);
	else {
		if (l->options.on_peer_msg)
			l->options.on_peer_msg(l->options.ctx, &msg, net_now());
		peer_msg_free(&msg);
	}
	buffer_free(&opened);
}

/* Receives pending datagrams, at most DATAGRAMS_PER_WAKEUP. */
void datagram_receive(struct links *l)
{
	uint8_t data[DATAGRAM_MAX + 1];
	ssize_t len;
	int i;

	for (i = 0; i < DATAGRAMS_PER_WAKEUP && !l->closed; i++) {
		len = recv(l->datagram_fd, data, sizeof(data), 0);
		if (len < 0)
			return;
		receive_one(l, data, (size_t)len);
	}
}

/*
 * Fills in the sender and sends the message as one sealed datagram. Returns -1
 * if the message does not fit, the secret is not known, links are closed or
 * the socket refuses it.
 */
int links_datagram(struct links *l, const struct addr *to, struct peer_msg *msg)
{
	struct buffer plain = {0}, sealed = {0};
	union socket_addr sa;
	socklen_t sa_len = addr_to_sockaddr(to, &sa);
	ssize_t sent = -1;

	msg->from = l->addr;
	msg->incarnation = l->options.incarnation;
	if (!l->closed && l->has_secret && peer_msg_encode(msg, &plain) == 0 &&
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
