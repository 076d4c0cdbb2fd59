/*
 * Stand-in for clients of PROTOCOL.md, which do not retry. It writes to the
 * record what was sent and what was answered.
 *
 * clients RECORD OUTBOUND HOST KEY DEADLINE_MS COUNT GAP_MS METHOD PATH ID
 *         [OPTIONS]
 *
 * COUNT clients, one each GAP_MS, each with a connection of its own. They send a
 * request to PATH/N with the ids ID and N in hexadecimal digits.
 *
 *   leave=MS   they close the connection that long after they sent the request
 *   body=N     bytes of its body
 *   times=N    requests that a client sends over its connection, each after the
 *              answer to the one before
 *   rate=KB    kilobytes of a long answer that it reads in a second
 *   ahead=N    requests that it sends before it reads the first answer
 */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "stand.h"

static const char *outbound, *host, *key, *deadline, *method, *path, *prefix;
static int leave_ms, body_bytes, times = 1, ahead = 1, kb_per_s;
static const char *body;

static bool send_one(struct conn *c, int n)
{
	char text[1024];
	int len = snprintf(text, sizeof(text),
			   "%s %s/%d HTTP/1.1\r\nHost: %s\r\n"
			   "Authorization: Bearer %s\r\n"
			   "Mulberryferry-Attempt-Id: %s%06x\r\n"
			   "Mulberryferry-Deadline-Ms: %s\r\n"
			   "Content-Length: %d\r\n\r\n",
			   method, path, n, host, key, prefix, n, deadline,
			   body_bytes);

	if (write_all(c->fd, text, (size_t)len) < 0 ||
	    write_all(c->fd, body, (size_t)body_bytes) < 0) {
		record("client %s%06x not-sent", prefix, n);
		return false;
	}
	record("client %s%06x sent %s %s/%d", prefix, n, method, path, n);
	return true;
}

/* Reads the answer to a request; returns false if it is the last one. */
static bool receive_one(struct conn *c, struct http *m, int n)
{
	char got[128];

	m->body_len = 0;
	if (http_read(c, m) != 1) {
		record("client %s%06x %s", prefix, n,
		       leave_ms	       ? "leaves"
		       : m->body_len ? "broken-answer"
				     : "no-answer");
		return false;
	}
	http_header(m, "Mulberryferry-Attempt-Id", got, sizeof(got));
	record("client %s%06x gets %d id=%s bytes=%zu", prefix, n,
	       http_status(m), got, m->body_len);
	http_header(m, "Connection", got, sizeof(got));
	return strcmp(got, "close") != 0;
}

/* Sends the first requests from n on, and reads their answers. */
static bool exchange(struct conn *c, struct http *m, int n)
{
	bool goes_on = true;
	int i;

	for (i = 0; i < ahead && goes_on; i++)
		goes_on = send_one(c, n + i);
	for (i = 0; i < ahead && goes_on; i++)
		goes_on = receive_one(c, m, n + i);
	for (; i < ahead; i++)
		record("client %s%06x no-answer", prefix, n + i);
	return goes_on;
}

static void *one(void *arg)
{
	int n = (int)(intptr_t)arg, i = 0;
	struct conn *c = calloc(1, sizeof(*c));
	struct http *m = calloc(1, sizeof(*m));

	if (!c || !m)
		exit(2);
	c->fd = dial(outbound, leave_ms ? leave_ms : atoi(deadline) + 500);
	c->kb_per_s = kb_per_s;
	if (c->fd < 0)
		record("client %s%06x no-connection", prefix, n * times);
	while (c->fd >= 0 && i < times && exchange(c, m, n * times + i))
		i += ahead;
	if (c->fd >= 0)
		close(c->fd);
	free(c);
	free(m);
	return NULL;
}

int main(int argc, char **argv)
{
	int64_t start = now_ms();
	pthread_attr_t attr;
	pthread_t *t;
	int count, gap_ms, i;

	if (argc < 11)
		return 2;
	record_open(argv[1]);
	outbound = argv[2];
	host = argv[3];
	key = argv[4];
	deadline = argv[5];
	count = atoi(argv[6]);
	gap_ms = atoi(argv[7]);
	method = argv[8];
	path = argv[9];
	prefix = argv[10];
	for (i = 11; i < argc; i++)
		if (sscanf(argv[i], "leave=%d", &leave_ms) != 1 &&
		    sscanf(argv[i], "body=%d", &body_bytes) != 1 &&
		    sscanf(argv[i], "ahead=%d", &ahead) != 1 &&
		    sscanf(argv[i], "rate=%d", &kb_per_s) != 1 &&
		    sscanf(argv[i], "times=%d", &times) != 1)
			return 2;
	if (times < ahead)
		times = ahead;
	body = calloc(1, (size_t)body_bytes + 1);
	signal(SIGPIPE, SIG_IGN);
	t = calloc((size_t)count, sizeof(*t));
	if (!body || !t)
		return 2;
	pthread_attr_init(&attr);
	pthread_attr_setstacksize(&attr, 256 * 1024);
	for (i = 0; i < count; i++) {
		sleep_ms(start + (int64_t)i * gap_ms - now_ms());
		if (pthread_create(&t[i], &attr, one, (void *)(intptr_t)i))
			return 2;
	}
	for (i = 0; i < count; i++)
		pthread_join(t[i], NULL);
	return 0;
}
