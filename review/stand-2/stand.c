#define _GNU_SOURCE
#include "stand.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

static int record_fd = -1;

int64_t now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return ts.tv_sec * INT64_C(1000) + ts.tv_nsec / 1000000;
}

void sleep_ms(int64_t ms)
{
	struct timespec ts = {ms / 1000, ms % 1000 * 1000000};

	if (ms > 0)
		nanosleep(&ts, NULL);
}

int listen_any(int *port)
{
	struct sockaddr_in a = {.sin_family = AF_INET};
	socklen_t len = sizeof(a);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (fd < 0 || bind(fd, (struct sockaddr *)&a, sizeof(a)) < 0 ||
	    listen(fd, 512) < 0 ||
	    getsockname(fd, (struct sockaddr *)&a, &len) < 0) {
		perror("listen");
		exit(2);
	}
	*port = ntohs(a.sin_port);
	return fd;
}

int dial(const char *addr, int timeout_ms)
{
	struct timeval tv = {timeout_ms / 1000, timeout_ms % 1000 * 1000};
	struct sockaddr_in a = {.sin_family = AF_INET};
	char ip[32];
	const char *colon = strchr(addr, ':');
	int fd, on = 1;

	if (!colon || colon - addr >= (long)sizeof(ip))
		return -1;
	memcpy(ip, addr, (size_t)(colon - addr));
	ip[colon - addr] = 0;
	a.sin_port = htons((uint16_t)atoi(colon + 1));
	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (inet_pton(AF_INET, ip, &a.sin_addr) == 1 &&
	    connect(fd, (struct sockaddr *)&a, sizeof(a)) == 0)
		return fd;
	close(fd);
	return -1;
}

int write_all(int fd, const char *data, size_t len)
{
	ssize_t n;

	while (len) {
		n = send(fd, data, len, MSG_NOSIGNAL);
		if (n <= 0)
			return -1;
		data += n;
		len -= (size_t)n;
	}
	return 0;
}

bool http_header(const struct http *m, const char *name, char *to, size_t size)
{
	const char *line = strstr(m->head, "\r\n"), *value, *end;
	size_t n = strlen(name), len;

	to[0] = 0;
	for (; line; line = strstr(line, "\r\n")) {
		line += 2;
		if (strncasecmp(line, name, n) != 0 || line[n] != ':')
			continue;
		value = line + n + 1;
		value += strspn(value, " \t");
		end = strstr(value, "\r\n");
		len = end ? (size_t)(end - value) : strlen(value);
		if (len >= size)
			len = size - 1;
		memcpy(to, value, len);
		to[len] = 0;
		return true;
	}
	return false;
}

int http_status(const struct http *m)
{
	return strncmp(m->head, "HTTP/1.1 ", 9) ? 0 : atoi(m->head + 9);
}

void http_request_line(const struct http *m, char method[16], char target[256])
{
	if (sscanf(m->head, "%15s %255s", method, target) != 2)
		method[0] = target[0] = 0;
}

static int receive(struct conn *c)
{
	ssize_t n;

	if (c->len == sizeof(c->in))
		return -1;
	n = recv(c->fd, c->in + c->len, sizeof(c->in) - c->len, 0);
	if (n <= 0)
		return n ? -1 : 0;
	c->len += (size_t)n;
	return 1;
}

/* Removes the first bytes of the input. */
static void drop(struct conn *c, size_t len)
{
	c->len -= len;
	memmove(c->in, c->in + len, c->len);
}

int http_read(struct conn *c, struct http *m)
{
	char text[32];
	char *end;
	size_t head, body, read = 0;
	int64_t start;
	bool slowly;
	int rc;

	while (!(end = memmem(c->in, c->len, "\r\n\r\n", 4))) {
		rc = receive(c);
		if (rc <= 0)
			return rc || c->len ? -1 : 0;
	}
	head = (size_t)(end - c->in) + 4;
	if (head >= sizeof(m->head))
		return -1;
	memcpy(m->head, c->in, head);
	m->head[head] = 0;
	body = http_header(m, "Content-Length", text, sizeof(text))
		       ? (size_t)atol(text)
		       : 0;
	m->body_len = body;
	drop(c, head);
	slowly = body >= BODY_MAX && c->kb_per_s;
	if (body >= BODY_MAX)
		sleep_ms(c->pause_ms);
	start = now_ms();
	while (body) {
		if (!c->len && receive(c) <= 0)
			return -1;
		head = c->len < body ? c->len : body;
		body -= head;
		read += head;
		drop(c, head);
		if (slowly)
			sleep_ms(start + (int64_t)(read / 1000) * 1000 /
						 c->kb_per_s -
				 now_ms());
	}
	return 1;
}

void record_open(const char *path)
{
	record_fd = open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
	if (record_fd < 0) {
		perror(path);
		exit(2);
	}
}

void record(const char *format, ...)
{
	char line[1024];
	va_list args;
	int n = snprintf(line, sizeof(line), "%lld ", (long long)now_ms());

	va_start(args, format);
	n += vsnprintf(line + n, sizeof(line) - (size_t)n - 1, format, args);
	va_end(args);
	if (n > (int)sizeof(line) - 2)
		n = (int)sizeof(line) - 2;
	line[n++] = '\n';
	/* One write a line: the lines of several processes do not mix. */
	if (write(record_fd, line, (size_t)n) != n)
		exit(2);
}
