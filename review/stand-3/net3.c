#include "net3.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

int64_t now_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

static struct sockaddr_in parse(const char *addr)
{
	struct sockaddr_in a = {.sin_family = AF_INET};
	const char *colon = strchr(addr, ':');
	char ip[32] = "";

	if (colon && colon - addr < (long)sizeof(ip)) {
		memcpy(ip, addr, (size_t)(colon - addr));
		a.sin_port = htons((uint16_t)atoi(colon + 1));
	}
	inet_pton(AF_INET, ip, &a.sin_addr);
	return a;
}

int listen_on(const char *addr, char bound[64])
{
	struct sockaddr_in a = parse(addr);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;
	socklen_t len = sizeof(a);

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&a, sizeof(a)) < 0 ||
	    listen(fd, 1024) < 0 ||
	    getsockname(fd, (struct sockaddr *)&a, &len) < 0)
		return -1;
	snprintf(bound, 64, "127.0.0.1:%d", ntohs(a.sin_port));
	return fd;
}

static int wait_for(int fd, short events, int64_t until_ms)
{
	struct pollfd p = {.fd = fd, .events = events};
	int64_t left = until_ms - now_ms();

	return left > 0 && poll(&p, 1, (int)left) == 1 ? 0 : -1;
}

int connect_to(const char *addr, int timeout_ms)
{
	struct sockaddr_in a = parse(addr);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	int on = 1, err = 0;
	socklen_t len = sizeof(err);

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (connect(fd, (struct sockaddr *)&a, sizeof(a)) == 0)
		return fd;
	if (errno == EINPROGRESS &&
	    wait_for(fd, POLLOUT, now_ms() + timeout_ms) == 0 &&
	    getsockopt(fd, SOL_SOCKET, SO_ERROR, &err, &len) == 0 && !err)
		return fd;
	close(fd);
	return -1;
}

int send_all(int fd, const void *data, size_t len, int64_t until_ms)
{
	const char *p = data;
	ssize_t n;

	while (len) {
		n = send(fd, p, len, MSG_NOSIGNAL | MSG_DONTWAIT);
		if (n > 0) {
			p += n;
			len -= (size_t)n;
		} else if (errno != EAGAIN ||
			   wait_for(fd, POLLOUT, until_ms) < 0) {
			return -1;
		}
	}
	return 0;
}

/* Returns the bytes read, 0 at the end, or -1. */
static ssize_t get(struct conn *c, char *to, size_t size, int64_t until_ms)
{
	ssize_t n;

	while ((n = recv(c->fd, to, size, MSG_DONTWAIT)) < 0)
		if (errno != EAGAIN || wait_for(c->fd, POLLIN, until_ms) < 0)
			return -1;
	return n;
}

void header(const struct head *h, const char *name, char *to, size_t size)
{
	const char *p = strstr(h->text, "\r\n");
	size_t n = strlen(name);

	*to = 0;
	for (; p; p = strstr(p + 2, "\r\n")) {
		if (strncasecmp(p + 2, name, n) != 0 || p[2 + n] != ':')
			continue;
		p += 3 + n;
		p += strspn(p, " ");
		n = strcspn(p, "\r");
		if (n >= size)
			n = size - 1;
		memcpy(to, p, n);
		to[n] = 0;
		return;
	}
}

int read_head(struct conn *c, struct head *h, int64_t until_ms)
{
	char *end, length[24];
	size_t n;
	ssize_t got;

	while (!(end = memmem(c->buf, c->len, "\r\n\r\n", 4))) {
		if (c->len == sizeof(c->buf))
			return -1;
		got = get(c, c->buf + c->len, sizeof(c->buf) - c->len,
			  until_ms);
		if (got <= 0)
			return -1;
		c->len += (size_t)got;
	}
	n = (size_t)(end - c->buf) + 4;
	memcpy(h->text, c->buf, n - 2);
	h->text[n - 2] = 0;
	c->len -= n;
	memmove(c->buf, c->buf + n, c->len);
	header(h, "content-length", length, sizeof(length));
	h->body = strtoul(length, NULL, 10);
	return 0;
}

int read_body(struct conn *c, size_t len, int64_t until_ms)
{
	static __thread char sink[65536];
	size_t n = len < c->len ? len : c->len;
	ssize_t got;

	c->len -= n;
	memmove(c->buf, c->buf + n, c->len);
	for (len -= n; len; len -= (size_t)got) {
		got = get(c, sink, len < sizeof(sink) ? len : sizeof(sink),
			  until_ms);
		if (got <= 0)
			return -1;
	}
	return 0;
}
