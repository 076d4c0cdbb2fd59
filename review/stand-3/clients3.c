/*
 * Stand-in for clients: each keeps its connection and sends one request after
 * the other, GAP_MS after the last one was sent or as soon as it has ended.
 *
 *   clients3 ADDR NAME COUNT SECONDS GAP_MS METHOD TARGET BODY_BYTES DEADLINE_MS
 *            [DEPTH [READ_RATE]]
 *
 *   clients3 now
 *
 * The latter prints the clock of all records here. With DEPTH, a client sends so many requests at once, then reads the answers
 * in order: the first to TARGET, the others to the target that follows it after
 * a comma. With READ_RATE, it reads so many bytes a millisecond, and has a
 * small window. Prints a line for each request: the status, with a plus if the
 * answer was signed; "part" if the connection ended within the answer; "closed"
 * if it ended before; "nothing" if the client gave up.
 */
#include "net3.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

static const char *addr, *name, *method;
static char first[256], later[256];
static size_t body_bytes;
static int count, gap_ms, deadline_ms, depth = 1;
static int64_t end_ms;
static char *body;
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

static int send_one(struct conn *c, const char *id, const char *target,
		    int64_t until_ms)
{
	char head[1024];

	snprintf(head, sizeof(head),
		 "%s %s HTTP/1.1\r\nHost: h.example\r\n"
		 "Mulberryferry-Attempt-Id: %s\r\n"
		 "Mulberryferry-Deadline-Ms: %d\r\n"
		 "Authorization: Bearer key-1\r\n"
		 "Content-Length: %zu\r\n\r\n",
		 method, target, id, deadline_ms, body_bytes);
	if (send_all(c->fd, head, strlen(head), until_ms) < 0)
		return -1;
	return send_all(c->fd, body, body_bytes, until_ms);
}

/* Sends a round of requests; returns -1 once the connection is of no use. */
static int round_of(struct conn *c, int client, unsigned *n)
{
	int64_t sent_ms = now_ms(), until_ms = sent_ms + deadline_ms + 1000;
	unsigned from = *n;
	struct head h;
	char id[64], got[64], text[16];
	int i, status;
	bool lost = false, ended = false;

	for (i = 0; i < depth && !lost; i++) {
		request_id(id, client, (*n)++);
		lost = send_one(c, id, i ? later : first, until_ms) < 0;
	}
	for (i = 0; i < depth; i++) {
		request_id(id, client, from + (unsigned)i);
		if (ended || read_head(c, &h, until_ms) < 0) {
			report(id, sent_ms,
			       now_ms() >= until_ms ? "nothing" : "closed");
			ended = true;
			continue;
		}
		if (read_body(c, h.body, until_ms) < 0) {
			report(id, sent_ms, "part");
			ended = true;
			continue;
		}
		status = atoi(h.text + 9);
		header(&h, "mulberryferry-response-signature", got,
		       sizeof(got));
		snprintf(text, sizeof(text), "%d%s", status, *got ? "+" : "");
		report(id, sent_ms, text);
		header(&h, "connection", got, sizeof(got));
		if (!strcmp(got, "close"))
			return -1;
	}
	return lost || ended ? -1 : 0;
}

static void *client(void *arg)
{
	int number = (int)(intptr_t)arg;
	struct conn *c = calloc(1, sizeof(*c));
	int64_t next_ms = now_ms() + (int64_t)number * gap_ms / count;
	unsigned n = 0;

	c->fd = -1;
	while (now_ms() < end_ms) {
		if (next_ms > now_ms())
			usleep((useconds_t)(next_ms - now_ms()) * 1000);
		next_ms = now_ms() + gap_ms;
		if (c->fd < 0) {
			c->len = 0;
			c->fd = connect_to(addr, 1000);
		}
		if (c->fd >= 0 && round_of(c, number, &n) < 0) {
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
	char *comma;
	int i;

	if (argc == 2 && !strcmp(argv[1], "now"))
		return printf("%lld\n", (long long)now_ms()) < 0;
	if (argc < 10)
		return 2;
	addr = argv[1];
	name = argv[2];
	count = atoi(argv[3]);
	end_ms = now_ms() + atoi(argv[4]) * 1000;
	gap_ms = atoi(argv[5]);
	method = argv[6];
	snprintf(first, sizeof(first), "%s", argv[7]);
	comma = strchr(first, ',');
	snprintf(later, sizeof(later), "%s", comma ? comma + 1 : first);
	if (comma)
		*comma = 0;
	body_bytes = strtoul(argv[8], NULL, 10);
	deadline_ms = atoi(argv[9]);
	if (argc > 10)
		depth = atoi(argv[10]);
	if (argc > 11)
		read_rate = strtoul(argv[11], NULL, 10);
	body = calloc(1, body_bytes + 1);
	if (!body || count > 512)
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
