/*
 * Stand-in for a backend of PROTOCOL.md. A thread serves each connection, one
 * request at a time. It writes to the record what it runs and how that ends.
 *
 * backend RECORD SERVICE ID CONTROL OUTBOUND WORK_MS SLOTS [OPTIONS]
 *
 * A request whose path has "call" in it makes one call through OUTBOUND, the
 * node of its machine, at CALL_HOST and CALL_PATH, before it is answered.
 *
 *   call=HOST/PATH   where these calls go
 *   lose=TEXT        closes the connection instead of the answer where the path
 *                    has TEXT in it, between the signals USR1 and USR2
 *   bytes=N          bytes of the body of its answers
 *   slow=X           works X times as long between the signals USR1 and USR2
 *   pause=MS         reads nothing for so long of a body that does not come with
 *                    the head
 */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "stand.h"

#define BEAT_MS 1500

static const char *service, *id, *control, *outbound;
static const char *lose = "", *call_host = "", *call_path = "";
static int work_ms, slots, port, pause_ms, bytes, slow = 1;
static int64_t born;
static char *filler;
static volatile sig_atomic_t troubled;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int running;

static void on_signal(int number)
{
	troubled = number == SIGUSR1;
}

static void *beat(void *arg)
{
	char body[512], text[1024];
	static struct conn c;
	static struct http m;
	int sequence = 0, n, len;

	(void)arg;
	for (;;) {
		n = snprintf(body, sizeof(body),
			     "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\","
			     "\"zone\":\"a\",\"version\":\"v1\",\"slots\":%d,"
			     "\"state\":\"ready\",\"cold_remaining_s\":0,"
			     "\"sequence\":%d,\"born\":%lld}",
			     service, port, slots, ++sequence, (long long)born);
		len = snprintf(text, sizeof(text),
			       "POST /mulberryferry/instances/%s/heartbeat "
			       "HTTP/1.1\r\nHost: %s\r\nContent-Type: "
			       "application/json\r\nContent-Length: %d\r\n"
			       "Connection: close\r\n\r\n%s",
			       id, control, n, body);
		c.fd = dial(control, 1000);
		c.len = 0;
		if (c.fd >= 0) {
			if (write_all(c.fd, text, (size_t)len) == 0)
				http_read(&c, &m);
			close(c.fd);
		}
		sleep_ms(BEAT_MS);
	}
	return NULL;
}

/* Makes a call of the run; returns the status of its answer, or 0. */
static int make_call(const char *attempt, const char *deadline)
{
	struct conn *c = calloc(1, sizeof(*c));
	struct http *m = calloc(1, sizeof(*m));
	char text[1024];
	int len, status = 0;

	if (!c || !m)
		exit(2);
	len = snprintf(text, sizeof(text),
		       "GET %s HTTP/1.1\r\nHost: %s\r\n"
		       "Mulberryferry-Attempt-Id: %s.1\r\n"
		       "Mulberryferry-Deadline-Ms: %s\r\n"
		       "Connection: close\r\n\r\n",
		       call_path, call_host, attempt, deadline);
	c->fd = dial(outbound, 5000);
	if (c->fd >= 0 && write_all(c->fd, text, (size_t)len) == 0 &&
	    http_read(c, m) == 1)
		status = http_status(m);
	if (c->fd >= 0)
		close(c->fd);
	free(c);
	free(m);
	return status;
}

static int answer(int fd, int status, const char *attempt, const char *extra,
		  const char *body)
{
	char text[1024];
	int len = snprintf(text, sizeof(text),
			   "HTTP/1.1 %d X\r\nMulberryferry-Attempt-Id: %s\r\n"
			   "%sContent-Length: %zu\r\n\r\n%s",
			   status, attempt, extra, strlen(body), body);

	return write_all(fd, text, (size_t)len);
}

/* Answers with a success; the body is the id, or as long as it shall be. */
static int succeed(int fd, const char *attempt)
{
	char text[1024];
	int len = snprintf(text, sizeof(text),
			   "HTTP/1.1 200 OK\r\nMulberryferry-Attempt-Id: %s\r\n"
			   "Mulberryferry-Response-Signature: %s\r\n"
			   "Content-Length: %zu\r\n\r\n%s",
			   attempt, id, bytes ? (size_t)bytes : strlen(attempt),
			   bytes ? "" : attempt);

	return write_all(fd, text, (size_t)len) < 0
		       ? -1
		       : write_all(fd, filler, (size_t)bytes);
}

/* Runs one request; returns false if the connection ends with it. */
static bool run(int fd, const struct http *m)
{
	char method[16], target[256], attempt[128], expected[128], deadline[32];
	char tenant[64], caller[64], extra[128];
	bool full;
	int status = 0;

	http_request_line(m, method, target);
	http_header(m, "Mulberryferry-Attempt-Id", attempt, sizeof(attempt));
	http_header(m, "Mulberryferry-Deadline-Ms", deadline, sizeof(deadline));
	http_header(m, "Mulberryferry-Tenant", tenant, sizeof(tenant));
	http_header(m, "Mulberryferry-Caller-Service", caller, sizeof(caller));
	snprintf(extra, sizeof(extra), "Mulberryferry-Instance-Id: %s\r\n", id);
	if (!strcmp(target, "/health"))
		return answer(fd, 200, attempt, extra, "") == 0;
	if (http_header(m, "Mulberryferry-Expected-Instance", expected,
			sizeof(expected)) &&
	    strcmp(expected, id) != 0) {
		record("backend %s misdirected %s", id, attempt);
		return answer(fd, 421, attempt,
			      "Mulberryferry-Not-Executed: 1\r\n", "") == 0;
	}
	pthread_mutex_lock(&lock);
	full = running == slots;
	running += !full;
	pthread_mutex_unlock(&lock);
	if (full) {
		record("backend %s full %s", id, attempt);
		return answer(fd, 503, attempt,
			      "Mulberryferry-Not-Executed: 1\r\n", "") == 0;
	}
	record("backend %s runs %s %s %s tenant=%s caller=%s", id, attempt,
	       method, target, tenant, caller);
	sleep_ms(work_ms * (troubled ? slow : 1));
	if (strstr(target, "call") && call_host[0])
		status = make_call(attempt, deadline);
	pthread_mutex_lock(&lock);
	running--;
	pthread_mutex_unlock(&lock);
	if (troubled && lose[0] && strstr(target, lose)) {
		record("backend %s loses-answer %s call=%d", id, attempt,
		       status);
		return false;
	}
	if (status && status != 200) {
		record("backend %s fails %s call=%d", id, attempt, status);
		return answer(fd, 500, attempt,
			      "Mulberryferry-Response-Signature: 1\r\n", "") ==
		       0;
	}
	if (succeed(fd, attempt) < 0) {
		record("backend %s cut-off %s", id, attempt);
		return false;
	}
	record("backend %s answers %s call=%d", id, attempt, status);
	return true;
}

static void *serve(void *arg)
{
	struct conn *c = calloc(1, sizeof(*c));
	struct http *m = calloc(1, sizeof(*m));

	if (!c || !m)
		exit(2);
	c->fd = (int)(intptr_t)arg;
	c->pause_ms = pause_ms;
	while (http_read(c, m) == 1 && run(c->fd, m))
		;
	close(c->fd);
	free(c);
	free(m);
	return NULL;
}

int main(int argc, char **argv)
{
	pthread_attr_t attr;
	pthread_t t;
	int fd, peer, i;

	if (argc < 8)
		return 2;
	record_open(argv[1]);
	service = argv[2];
	id = argv[3];
	control = argv[4];
	outbound = argv[5];
	work_ms = atoi(argv[6]);
	slots = atoi(argv[7]);
	for (i = 8; i < argc; i++) {
		if (!strncmp(argv[i], "lose=", 5)) {
			lose = argv[i] + 5;
		} else if (!strncmp(argv[i], "call=", 5)) {
			call_path = strdup(strchr(argv[i], '/'));
			call_host = argv[i] + 5;
			*strchr(argv[i], '/') = 0;
		} else if (sscanf(argv[i], "pause=%d", &pause_ms) != 1 &&
			   sscanf(argv[i], "bytes=%d", &bytes) != 1 &&
			   sscanf(argv[i], "slow=%d", &slow) != 1) {
			return 2;
		}
	}
	filler = calloc(1, (size_t)bytes + 1);
	if (!filler)
		return 2;
	signal(SIGPIPE, SIG_IGN);
	signal(SIGUSR1, on_signal);
	signal(SIGUSR2, on_signal);
	born = now_ms();
	fd = listen_any(&port);
	pthread_attr_init(&attr);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	pthread_attr_setstacksize(&attr, 256 * 1024);
	pthread_create(&t, &attr, beat, NULL);
	for (;;) {
		peer = accept(fd, NULL, NULL);
		if (peer >= 0)
			pthread_create(&t, &attr, serve,
				       (void *)(intptr_t)peer);
	}
}
