/*
 * Stand-in for several clients of one host: some send many safe requests on a
 * connection before the first was answered, the others wait for the answer to
 * one unsafe request. Each connection was used before, for a route
 * that does not exist.
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define CONNS_MAX 128
#define TEXT_MAX (1 << 20)

struct conn {
	int fd, sent, answered, ok, open;
	char *in;
	size_t have;
	const char *end;
};

static struct conn conns[CONNS_MAX];
static int count;
static unsigned long next_id;

static int64_t now_ms(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return ts.tv_sec * INT64_C(1000) + ts.tv_nsec / 1000000;
}

static void dial(const char *addr)
{
	struct sockaddr_in sa = {.sin_family = AF_INET};
	struct conn *c = &conns[count++];
	const char *colon = strrchr(addr, ':');
	char host[64];
	int on = 1;

	snprintf(host, sizeof(host), "%.*s", (int)(colon - addr), addr);
	sa.sin_port = htons((uint16_t)atoi(colon + 1));
	inet_pton(AF_INET, host, &sa.sin_addr);
	c->fd = socket(AF_INET, SOCK_STREAM, 0);
	if (connect(c->fd, (struct sockaddr *)&sa, sizeof(sa)) < 0)
		exit(2);
	setsockopt(c->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	c->open = 1;
	c->end = "open";
	c->in = calloc(1, TEXT_MAX);
}

/* Sends n requests at once. */
static void send_requests(struct conn *c, const char *method, const char *path,
			  int n)
{
	static char text[TEXT_MAX];
	size_t len = 0, done = 0;
	ssize_t k;
	int i;

	for (i = 0; i < n; i++)
		len += (size_t)snprintf(
			text + len, sizeof(text) - len,
			"%s %s%d HTTP/1.1\r\nHost: h.example\r\n"
			"Authorization: Bearer key-1\r\n"
			"Mulberryferry-Attempt-Id: %016lx\r\n"
			"Mulberryferry-Deadline-Ms: 6000\r\n%s\r\n",
			method, path, i, next_id++,
			strcmp(method, "GET") ? "Content-Length: 0\r\n" : "");
	for (; done < len; done += (size_t)k) {
		k = send(c->fd, text + done, len - done, MSG_NOSIGNAL);
		if (k <= 0)
			return;
	}
	c->sent += n;
}

/* Counts the complete answers at the start of the input and removes them. */
static void count_answers(struct conn *c)
{
	char *end, *length;
	size_t whole;

	for (;;) {
		c->in[c->have] = 0;
		end = strstr(c->in, "\r\n\r\n");
		if (!end)
			return;
		length = strcasestr(c->in, "\r\ncontent-length:");
		whole = (size_t)(end - c->in) + 4 +
			(length && length < end ? (size_t)atol(length + 17)
						: 0);
		if (c->have < whole)
			return;
		c->answered++;
		c->ok += !strncmp(c->in + 9, "200", 3);
		memmove(c->in, c->in + whole, c->have - whole);
		c->have -= whole;
	}
}

/* Reads until every connection has its answers or has ended. */
static void read_all(int64_t until)
{
	struct pollfd pf[CONNS_MAX];
	int i, waiting;
	ssize_t n;

	for (;;) {
		for (i = waiting = 0; i < count; i++) {
			pf[i].fd = conns[i].open &&
						   conns[i].answered <
							   conns[i].sent
					   ? conns[i].fd
					   : -1;
			pf[i].events = POLLIN;
			waiting += pf[i].fd >= 0;
		}
		if (!waiting || now_ms(CLOCK_MONOTONIC) >= until)
			return;
		poll(pf, (nfds_t)count, 100);
		for (i = 0; i < count; i++) {
			if (pf[i].fd < 0 || !pf[i].revents)
				continue;
			n = recv(conns[i].fd, conns[i].in + conns[i].have,
				 TEXT_MAX - 1 - conns[i].have, 0);
			if (n <= 0) {
				conns[i].open = 0;
				conns[i].end = n ? "reset" : "closed";
				continue;
			}
			conns[i].have += (size_t)n;
			count_answers(&conns[i]);
		}
	}
}

int main(int argc, char **argv)
{
	int pipes, depth, once, kept, i;
	int64_t sent;

	if (argc != 5)
		return 2;
	/* Each process numbers its attempts from another start. */
	next_id = ((unsigned long)getpid() << 32) + 1;
	pipes = atoi(argv[2]);
	depth = atoi(argv[3]);
	once = atoi(argv[4]);
	for (i = 0; i < pipes + once && i < CONNS_MAX; i++)
		dial(argv[1]);
	kept = count;
	for (i = 0; i < kept; i++) {
		send_requests(&conns[i], "GET", "/none/", 1);
		read_all(now_ms(CLOCK_MONOTONIC) + 5000);
	}
	for (i = 0; i < kept; i++)
		if (!conns[i].open || conns[i].answered != 1) {
			printf("not warm\n");
			return 2;
		}
	sent = now_ms(CLOCK_REALTIME);
	for (i = once; i < count; i++)
		send_requests(&conns[i], "GET", "/r/", depth);
	for (i = 0; i < once; i++)
		send_requests(&conns[i], "POST", "/once/", 1);
	read_all(now_ms(CLOCK_MONOTONIC) + 8000);
	for (i = 0; i < count; i++)
		printf("kind=%s kept=%d sent_at_ms=%lld sent=%d answered=%d ok=%d "
		       "end=%s\n",
		       i < once ? "unsafe" : "safe", i < kept, (long long)sent,
		       conns[i].sent - (i < kept),
		       conns[i].answered - (i < kept),
		       conns[i].ok, conns[i].end);
	return 0;
}
