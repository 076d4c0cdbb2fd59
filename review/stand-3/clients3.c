/*
 * Stand-in for clients: each keeps its connection and sends one request after
 * the other, GAP_MS after the last one was sent or as soon as it has ended.
 *
 *   clients3 ADDR NAME COUNT SECONDS GAP_MS METHOD TARGET DEADLINE_MS
 *   clients3 now
 *
 * Prints a line for each request: the status, with a plus if the answer was
 * signed; "part" if the connection ended within the answer; "closed" if it ended
 * before; "nothing" if the client gave up. The second form prints the clock of
 * all records here.
 */
#include "net3.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

static const char *addr, *name, *method, *target;
static int count, gap_ms, deadline_ms;
static int64_t end_ms;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static void report(const char *id, int64_t sent_ms, const char *got)
{
	pthread_mutex_lock(&lock);
	printf("request id=%s sent_ms=%lld took_ms=%lld got=%s\n", id,
	       (long long)sent_ms, (long long)(now_ms() - sent_ms), got);
	fflush(stdout);
	pthread_mutex_unlock(&lock);
}

static void request_id(char id[64], int client, unsigned n)
{
	snprintf(id, 64, "%s-%d-%u", name, client, n);
}

/* Returns -1 once the connection is of no use. */
static int exchange(struct conn *c, const char *id)
{
	int64_t sent_ms = now_ms(), until_ms = sent_ms + deadline_ms + 1000;
	char text[1024], got[64];
	struct head h;

	snprintf(text, sizeof(text),
		 "%s %s HTTP/1.1\r\nHost: h.example\r\n"
		 "Mulberryferry-Attempt-Id: %s\r\n"
		 "Mulberryferry-Deadline-Ms: %d\r\n"
		 "Authorization: Bearer key-1\r\n"
		 "Content-Length: 0\r\n\r\n",
		 method, target, id, deadline_ms);
	if (send_all(c->fd, text, strlen(text), until_ms) < 0 ||
	    read_head(c, &h, until_ms) < 0) {
		report(id, sent_ms, now_ms() >= until_ms ? "nothing" : "closed");
		return -1;
	}
	if (read_body(c, h.body, until_ms) < 0) {
		report(id, sent_ms, "part");
		return -1;
	}
	header(&h, "mulberryferry-response-signature", got, sizeof(got));
	snprintf(text, sizeof(text), "%d%s", atoi(h.text + 9), *got ? "+" : "");
	report(id, sent_ms, text);
	header(&h, "connection", got, sizeof(got));
	return strcmp(got, "close") ? 0 : -1;
}

static void *client(void *arg)
{
	int number = (int)(intptr_t)arg;
	struct conn *c = calloc(1, sizeof(*c));
	int64_t next_ms = now_ms() + (int64_t)number * gap_ms / count;
	unsigned n = 0;
	char id[64];

	c->fd = -1;
	while (now_ms() < end_ms) {
		if (next_ms > now_ms())
			usleep((useconds_t)(next_ms - now_ms()) * 1000);
		next_ms = now_ms() + gap_ms;
		if (c->fd < 0) {
			c->len = 0;
			c->fd = connect_to(addr, 1000);
		}
		request_id(id, number, n++);
		if (c->fd >= 0 && exchange(c, id) < 0) {
			close(c->fd);
			c->fd = -1;
		}
	}
	return NULL;
}

int main(int argc, char **argv)
{
	pthread_t threads[512];
	pthread_attr_t a;
	int i;

	if (argc == 2 && !strcmp(argv[1], "now"))
		return printf("%lld\n", (long long)now_ms()) < 0;
	if (argc != 9)
		return 2;
	addr = argv[1];
	name = argv[2];
	count = atoi(argv[3]);
	end_ms = now_ms() + atoi(argv[4]) * 1000;
	gap_ms = atoi(argv[5]);
	method = argv[6];
	target = argv[7];
	deadline_ms = atoi(argv[8]);
	if (count > 512)
		return 2;
	pthread_attr_init(&a);
	pthread_attr_setstacksize(&a, 256 * 1024);
	for (i = 0; i < count; i++)
		if (pthread_create(&threads[i], &a, client,
				   (void *)(intptr_t)i) != 0)
			return 2;
	for (i = 0; i < count; i++)
		pthread_join(threads[i], NULL);
	return 0;
}
