/*
 * Stand-in for a backend: sends heartbeats to the node beside it, runs requests
 * for a time and answers with a signature.
 *
 *   backend3 NODE SERVICE ID SLOTS WORK_MS
 *
 * A target with "work=MS" runs as long as that says, one with "bytes=N" is
 * answered with N bytes. Prints its address, then a line for each run.
 */
#include "net3.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define FOREVER_MS 600000

static const char *node, *service, *id;
static char address[64];
static int slots, work_ms;
static int64_t born_ms;
static int running;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static int take_slot(int n)
{
	int rc = 0;

	pthread_mutex_lock(&lock);
	if (n > 0 && running >= slots)
		rc = -1;
	else
		running += n;
	pthread_mutex_unlock(&lock);
	return rc;
}

static long number(const char *text, const char *name, long otherwise)
{
	const char *p = strstr(text, name);

	return p ? strtol(p + strlen(name), NULL, 10) : otherwise;
}

static int answer(struct conn *c, int status, const char *headers, size_t body)
{
	char head[1024];
	char *bytes = calloc(1, body + 1);
	int rc;

	memset(bytes, 'x', body);
	snprintf(head, sizeof(head),
		 "HTTP/1.1 %d X\r\n%sContent-Length: %zu\r\n\r\n", status,
		 headers, body);
	rc = send_all(c->fd, head, strlen(head), now_ms() + 10000);
	if (!rc)
		rc = send_all(c->fd, bytes, body, now_ms() + 10000);
	free(bytes);
	return rc;
}

static int serve(struct conn *c, const struct head *h)
{
	char attempt[128], expected[128], text[512], target[256] = "";

	header(h, "mulberryferry-attempt-id", attempt, sizeof(attempt));
	header(h, "mulberryferry-expected-instance", expected,
	       sizeof(expected));
	sscanf(h->text, "%*s %255s", target);
	if (read_body(c, h->body, now_ms() + 20000) < 0)
		return -1;
	if (*expected && strcmp(expected, id) != 0) {
		snprintf(text, sizeof(text),
			 "Mulberryferry-Attempt-Id: %s\r\n"
			 "Mulberryferry-Not-Executed: 1\r\n"
			 "Mulberryferry-Instance-Id: %s\r\n",
			 attempt, id);
		return answer(c, 421, text, 0);
	}
	if (take_slot(1) < 0) {
		snprintf(text, sizeof(text),
			 "Mulberryferry-Attempt-Id: %s\r\n"
			 "Mulberryferry-Not-Executed: 1\r\n",
			 attempt);
		return answer(c, 503, text, 0);
	}
	printf("run at_ms=%lld id=%s target=%s body=%zu\n",
	       (long long)now_ms(), attempt, target, h->body);
	fflush(stdout);
	usleep((useconds_t)number(target, "work=", work_ms) * 1000);
	take_slot(-1);
	snprintf(text, sizeof(text),
		 "Mulberryferry-Attempt-Id: %s\r\n"
		 "Mulberryferry-Response-Signature: 1.%s\r\n",
		 attempt, attempt);
	return answer(c, 200, text, (size_t)number(target, "bytes=", 100));
}

static void *on_conn(void *arg)
{
	struct conn *c = calloc(1, sizeof(*c));
	struct head h;

	c->fd = (int)(intptr_t)arg;
	while (read_head(c, &h, now_ms() + FOREVER_MS) == 0 &&
	       serve(c, &h) == 0)
		;
	close(c->fd);
	free(c);
	return NULL;
}

static void *heartbeats(void *arg)
{
	char text[1024], body[512];
	unsigned sequence = 0;
	struct conn c;
	struct head h;

	(void)arg;
	for (;; usleep(500000)) {
		snprintf(body, sizeof(body),
			 "{\"service\":\"%s\",\"address\":\"%s\","
			 "\"zone\":\"z\",\"version\":\"v1\",\"slots\":%d,"
			 "\"state\":\"ready\",\"cold_remaining_s\":0,"
			 "\"sequence\":%u,\"born\":%lld}",
			 service, address, slots, ++sequence,
			 (long long)born_ms);
		snprintf(text, sizeof(text),
			 "POST /mulberryferry/instances/%s/heartbeat "
			 "HTTP/1.1\r\nHost: n\r\nContent-Type: "
			 "application/json\r\nContent-Length: %zu\r\n\r\n%s",
			 id, strlen(body), body);
		memset(&c, 0, sizeof(c));
		c.fd = connect_to(node, 1000);
		if (c.fd < 0)
			continue;
		if (send_all(c.fd, text, strlen(text), now_ms() + 1000) == 0 &&
		    read_head(&c, &h, now_ms() + 1000) == 0)
			read_body(&c, h.body, now_ms() + 1000);
		close(c.fd);
	}
	return NULL;
}

static void start(void *(*fn)(void *), void *arg)
{
	pthread_attr_t a;
	pthread_t t;

	pthread_attr_init(&a);
	pthread_attr_setstacksize(&a, 256 * 1024);
	pthread_attr_setdetachstate(&a, PTHREAD_CREATE_DETACHED);
	if (pthread_create(&t, &a, fn, arg) != 0)
		exit(2);
	pthread_attr_destroy(&a);
}

int main(int argc, char **argv)
{
	struct timespec t;
	int fd, one;

	if (argc != 6)
		return 2;
	node = argv[1];
	service = argv[2];
	id = argv[3];
	slots = atoi(argv[4]);
	work_ms = atoi(argv[5]);
	clock_gettime(CLOCK_REALTIME, &t);
	born_ms = (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
	fd = listen_on("127.0.0.1:0", address);
	if (fd < 0)
		return 2;
	printf("listening=%s\n", address);
	fflush(stdout);
	start(heartbeats, NULL);
	while ((one = accept(fd, NULL, NULL)) >= 0)
		start(on_conn, (void *)(intptr_t)one);
	return 2;
}
