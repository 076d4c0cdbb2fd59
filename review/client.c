/*
 * Stand-in for one client of the users' platform: sends a request over
 * HTTP/1.1, reads the answer at a chosen pace, and prints one line about it.
 * Uses the C library alone, so that a case does not depend on other tools.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define HEADERS_MAX 16
#define HEAD_MAX 65536
#define CHUNK 65536

static struct {
	const char *method, *warm, *body_file;
	const char *headers[HEADERS_MAX];
	int header_count, rcvbuf, mss;
	long rate, send_rate, pause_at, pause_ms, timeout_ms, close_after_ms;
	long body_bytes;
	int filler; /* headers of no meaning that are added */
} o = {.method = "GET", .timeout_ms = 20000};

static int64_t now_ms(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return ts.tv_sec * INT64_C(1000) + ts.tv_nsec / 1000000;
}

static void sleep_ms(long ms)
{
	struct timespec ts = {ms / 1000, ms % 1000 * 1000000};

	nanosleep(&ts, NULL);
}

static int dial(const char *addr)
{
	struct sockaddr_in sa = {.sin_family = AF_INET};
	char host[64];
	const char *colon = strrchr(addr, ':');
	int fd = socket(AF_INET, SOCK_STREAM, 0), on = 1;

	if (!colon || fd < 0)
		return -1;
	snprintf(host, sizeof(host), "%.*s", (int)(colon - addr), addr);
	sa.sin_port = htons((uint16_t)atoi(colon + 1));
	if (inet_pton(AF_INET, host, &sa.sin_addr) != 1)
		return -1;
	if (o.rcvbuf)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &o.rcvbuf,
			   sizeof(o.rcvbuf));
	/* Segments as on a network: loopback has 64 KB. */
	if (o.mss)
		setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &o.mss, sizeof(o.mss));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) < 0) {
		close(fd);
		return -1;
	}
	return fd;
}

static int send_all(int fd, const char *p, size_t n)
{
	int64_t start = now_ms(CLOCK_MONOTONIC);
	size_t sent = 0, part;
	ssize_t k;

	while (sent < n) {
		part = n - sent;
		if (o.send_rate && part > CHUNK)
			part = CHUNK;
		k = send(fd, p + sent, part, MSG_NOSIGNAL);
		if (k <= 0)
			return -1;
		sent += (size_t)k;
		while (o.send_rate && (int64_t)sent * 1000 / o.send_rate >
					      now_ms(CLOCK_MONOTONIC) - start)
			sleep_ms(5);
	}
	return 0;
}

static int send_request(int fd, const char *path, const char *body, size_t len)
{
	static char head[HEAD_MAX];
	int n = snprintf(head, sizeof(head), "%s %s HTTP/1.1\r\n", o.method,
			 path);
	int i;

	for (i = 0; i < o.header_count; i++)
		n += snprintf(head + n, sizeof(head) - (size_t)n, "%s\r\n",
			      o.headers[i]);
	for (i = 0; i < o.filler; i++)
		n += snprintf(head + n, sizeof(head) - (size_t)n,
			      "X-Part-%d: v\r\n", i);
	if (len || strcmp(o.method, "GET"))
		n += snprintf(head + n, sizeof(head) - (size_t)n,
			      "Content-Length: %zu\r\n", len);
	n += snprintf(head + n, sizeof(head) - (size_t)n, "\r\n");
	if (send_all(fd, head, (size_t)n) < 0)
		return -1;
	return len ? send_all(fd, body, len) : 0;
}

struct answer {
	int status, signature;
	long length, got;
	const char *end;
	char retry[32];
};

/* Reads one answer; paced: with the pauses and the rate of the options. */
static void read_answer(int fd, struct answer *a, int paced, int64_t until)
{
	static char head[HEAD_MAX + 1], chunk[CHUNK];
	size_t have = 0;
	char *end = NULL, *p;
	int64_t start = now_ms(CLOCK_MONOTONIC);
	int paused = 0;
	ssize_t n;
	struct pollfd pf = {.fd = fd, .events = POLLIN};
	int64_t left;

	memset(a, 0, sizeof(*a));
	a->length = -1;
	a->end = "timeout";
	for (;;) {
		if (end && a->length >= 0 && a->got >= a->length) {
			a->end = "complete";
			return;
		}
		left = until - now_ms(CLOCK_MONOTONIC);
		if (left <= 0 || poll(&pf, 1, (int)left) <= 0)
			return;
		n = sizeof(chunk);
		if (end && a->length - a->got < n)
			n = a->length - a->got;
		n = end ? recv(fd, chunk, (size_t)n, 0)
			: recv(fd, head + have, 1, 0);
		if (n == 0) {
			a->end = end ? "closed-early" : "closed";
			return;
		}
		if (n < 0) {
			a->end = end ? "reset-early" : "reset";
			return;
		}
		if (end) {
			a->got += n;
		} else {
			have += (size_t)n;
			head[have] = 0;
			if (have == HEAD_MAX)
				return;
			end = strstr(head, "\r\n\r\n");
			if (!end)
				continue;
			a->status = atoi(head + 9);
			p = strcasestr(head, "\r\ncontent-length:");
			if (p)
				a->length = atol(p + 17);
			p = strcasestr(head, "\r\nretry-after:");
			if (p)
				sscanf(p + 14, "%31s", a->retry);
			a->signature = !!strcasestr(
				head,
				"\r\nmulberryferry-response-signature:");
			start = now_ms(CLOCK_MONOTONIC);
		}
		if (!paced || !end)
			continue;
		if (o.pause_ms && !paused && a->got >= o.pause_at) {
			paused = 1;
			sleep_ms(o.pause_ms);
		}
		while (o.rate && a->got * 1000 / o.rate >
					 now_ms(CLOCK_MONOTONIC) - start &&
		       now_ms(CLOCK_MONOTONIC) < until)
			sleep_ms(5);
	}
}

static char *read_file(const char *path, size_t *len)
{
	FILE *f = fopen(path, "r");
	char *text = calloc(1, 4 << 20);

	if (!f || !text)
		exit(2);
	*len = fread(text, 1, 4 << 20, f);
	fclose(f);
	return text;
}

int main(int argc, char **argv)
{
	const char *addr = argv[1], *path = argv[2];
	char *body = NULL;
	size_t len = 0;
	struct answer a = {.end = "refused", .length = -1};
	int64_t sent, start;
	int i, fd;

	if (argc < 3)
		return 2;
	for (i = 3; i + 1 < argc; i += 2) {
		const char *k = argv[i], *v = argv[i + 1];

		if (!strcmp(k, "-H") && o.header_count < HEADERS_MAX)
			o.headers[o.header_count++] = v;
		else if (!strcmp(k, "-X"))
			o.method = v;
		else if (!strcmp(k, "--body"))
			o.body_file = v;
		else if (!strcmp(k, "--body-bytes"))
			o.body_bytes = atol(v);
		else if (!strcmp(k, "--warm"))
			o.warm = v;
		else if (!strcmp(k, "--filler"))
			o.filler = atoi(v);
		else if (!strcmp(k, "--rcvbuf"))
			o.rcvbuf = atoi(v);
		else if (!strcmp(k, "--mss"))
			o.mss = atoi(v);
		else if (!strcmp(k, "--rate"))
			o.rate = atol(v);
		else if (!strcmp(k, "--send-rate"))
			o.send_rate = atol(v);
		else if (!strcmp(k, "--pause-at"))
			o.pause_at = atol(v);
		else if (!strcmp(k, "--pause-ms"))
			o.pause_ms = atol(v);
		else if (!strcmp(k, "--timeout-ms"))
			o.timeout_ms = atol(v);
		else if (!strcmp(k, "--close-after-ms"))
			o.close_after_ms = atol(v);
		else
			return 2;
	}
	if (o.body_file)
		body = read_file(o.body_file, &len);
	else if (o.body_bytes) {
		len = (size_t)o.body_bytes;
		body = calloc(1, len);
		memset(body, 'b', len);
	}
	start = now_ms(CLOCK_MONOTONIC);
	fd = dial(addr);
	if (fd >= 0 && o.warm) {
		if (send_request(fd, o.warm, NULL, 0) < 0)
			return 2;
		read_answer(fd, &a, 0, start + o.timeout_ms);
		if (strcmp(a.end, "complete") || a.status != 200) {
			printf("warm status=%d end=%s\n", a.status, a.end);
			return 2;
		}
		a = (struct answer){.end = "refused", .length = -1};
	}
	sent = now_ms(CLOCK_REALTIME);
	start = now_ms(CLOCK_MONOTONIC);
	if (fd >= 0 && send_request(fd, path, body, len) == 0)
		read_answer(fd, &a, 1,
			    start + (o.close_after_ms ? o.close_after_ms
						      : o.timeout_ms));
	if (fd >= 0)
		close(fd);
	printf("path=%s sent_at_ms=%lld status=%d signature=%d length=%ld "
	       "got=%ld end=%s retry_after=%s took_ms=%lld\n",
	       path, (long long)sent, a.status, a.signature, a.length, a.got,
	       a.end, a.retry[0] ? a.retry : "-",
	       (long long)(now_ms(CLOCK_MONOTONIC) - start));
	return 0;
}
