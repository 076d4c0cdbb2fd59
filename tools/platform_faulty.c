/*
 * Stand-in for a faulty upstream of the users' platform, byte by byte. Sends no
 * heartbeats, and makes its calls to the address that it is given. What it does
 * follows from the target of a request:
 *
 *   .../cut-N     sends the first N bytes of its answer and closes
 *   .../repeat    refuses the first try of an id, and writes the refusal once
 *                 more before the next answer on the same connection
 *   .../unnamed   as repeat, without an id the second time
 *   .../status-X  answers with the status X, and a whole answer as the body
 *   .../endless-X sends bytes without end, see floods
 *   .../call-lost makes a call to /sub/ and closes without an answer
 *   any other     answers
 */
#include <netinet/in.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define CONNS_MAX 512
#define HEAD_MAX 4096
#define IDS_MAX 4096
#define ID_SIZE 100
#define RUN_US 50000 /* a run lasts so long */

#define FLOOD_SIZE 65536
#define OK "HTTP/1.1 200 OK\r\n"
#define CHUNKED OK "Transfer-Encoding: chunked\r\n\r\n"
#define LONG_TEXT \
	"xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"

/* What is sent once, then again and again. */
static const struct flood {
	const char *name, *first, *again;
} floods[] = {
	{"/endless-noise", "", LONG_TEXT},
	{"/endless-line", OK "X: ", LONG_TEXT},
	{"/endless-head", OK, "X: " LONG_TEXT "\r\n"},
	{"/endless-body", OK "\r\n", LONG_TEXT},
	{"/endless-length", OK "Content-Length: 15000000\r\n\r\n", LONG_TEXT},
	{"/endless-surplus", OK "Content-Length: 0\r\n\r\n", LONG_TEXT},
	{"/endless-chunks", CHUNKED, "3f\r\n" LONG_TEXT "\r\n"},
	{"/endless-size", CHUNKED, "0"},
	{"/endless-extension", CHUNKED "3f;", LONG_TEXT},
	{"/endless-trailers", CHUNKED "0\r\n", "X: " LONG_TEXT "\r\n"},
	{"/endless-interim", "", "HTTP/1.1 100 Continue\r\n\r\n"},
	{"/endless-others", "",
	 OK "Mulberryferry-Attempt-Id: other\r\nContent-Length: 0\r\n\r\n"},
};

struct conn {
	int fd;
	const struct flood *flood; /* that it is sending, or NULL */
	size_t flooded;		   /* bytes of the current repetition */
	char head[HEAD_MAX];
	size_t len;
	char again[HEAD_MAX]; /* to be written before the next answer */
};

static struct conn conns[CONNS_MAX];
static size_t conn_count;
static char refused[IDS_MAX][ID_SIZE];
static size_t refused_count;
static struct sockaddr_in node; /* of its host; port 0: none */

static int listen_any(void)
{
	struct sockaddr_in sa = {.sin_family = AF_INET};
	socklen_t len = sizeof(sa);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (fd < 0 || bind(fd, (struct sockaddr *)&sa, len) < 0 ||
	    listen(fd, CONNS_MAX) < 0 ||
	    getsockname(fd, (struct sockaddr *)&sa, &len) < 0)
		return -1;
	printf("listening=127.0.0.1:%d\n", ntohs(sa.sin_port));
	fflush(stdout);
	return fd;
}

static void read_id(const char *head, char id[ID_SIZE])
{
	static const char name[] = "\r\nmulberryferry-attempt-id: ";
	const char *p = strcasestr(head, name);
	size_t n = 0;

	for (p = p ? p + strlen(name) : ""; *p && *p != '\r' && n < ID_SIZE - 1;
	     p++)
		id[n++] = *p;
	id[n] = 0;
}

/* Whether it refused the id before; remembers it otherwise. */
static int was_refused(const char *id)
{
	size_t i;

	for (i = 0; i < refused_count; i++)
		if (!strcmp(refused[i], id))
			return 1;
	if (refused_count < IDS_MAX)
		snprintf(refused[refused_count++], ID_SIZE, "%s", id);
	return 0;
}

static void write_refusal(char *to, const char *id)
{
	snprintf(to, HEAD_MAX,
		 "HTTP/1.1 503 Full\r\n%s%s%s"
		 "Mulberryferry-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		 id ? "Mulberryferry-Attempt-Id: " : "", id ? id : "",
		 id ? "\r\n" : "");
}

static int send_text(struct conn *c, const char *text, size_t len)
{
	return send(c->fd, text, len, MSG_NOSIGNAL) == (ssize_t)len ? 0 : -1;
}

/* Makes the first call of a request through the node, and reads the answer. */
static void make_call(const char *id)
{
	char text[HEAD_MAX];
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int len = snprintf(text, sizeof(text),
			   "GET /sub/x HTTP/1.1\r\nHost: h.example\r\n"
			   "Mulberryferry-Attempt-Id: %s.1\r\n"
			   "Mulberryferry-Deadline-Ms: 1000\r\n"
			   "Connection: close\r\n\r\n",
			   id);

	if (fd < 0)
		return;
	if (connect(fd, (struct sockaddr *)&node, sizeof(node)) == 0 &&
	    send(fd, text, (size_t)len, MSG_NOSIGNAL) == len &&
	    recv(fd, text, sizeof(text), 0) > 0)
		printf("called %s %.12s\n", id, text);
	fflush(stdout);
	close(fd);
}

static size_t write_answer(char *to, const char *id)
{
	return (size_t)snprintf(to, HEAD_MAX,
				"HTTP/1.1 200 OK\r\n"
				"Mulberryferry-Attempt-Id: %s\r\n"
				"Mulberryferry-Response-Signature: 1.2\r\n"
				"Content-Length: 5\r\n\r\nhello",
				id);
}

/* Sends an answer whose status is that of the target. */
static int send_status(struct conn *c, const char *status, const char *id)
{
	char text[HEAD_MAX], body[HEAD_MAX];
	size_t len = write_answer(body, id);
	int n = snprintf(text, sizeof(text),
			 "HTTP/1.1 %.*s None\r\nMulberryferry-Attempt-Id: "
			 "%s\r\nContent-Length: %zu\r\n\r\n",
			 (int)strcspn(status, " "), status, id, len);

	send_text(c, text, (size_t)n);
	return send_text(c, body, len);
}

/* Answers one request; -1 if the connection is to be closed. */
static int answer(struct conn *c)
{
	char id[ID_SIZE], text[HEAD_MAX];
	const char *cut = strstr(c->head, "/cut-");
	const char *status = strstr(c->head, "/status-");
	int unnamed = strstr(c->head, "/unnamed") != NULL;
	int repeats = unnamed || strstr(c->head, "/repeat") != NULL;
	size_t len;

	read_id(c->head, id);
	if (repeats && !was_refused(id)) {
		write_refusal(text, id);
		write_refusal(c->again, unnamed ? NULL : id);
		return send_text(c, text, strlen(text));
	}
	printf("run %s\n", id);
	fflush(stdout);
	send_text(c, c->again, strlen(c->again));
	c->again[0] = 0;
	if (strstr(c->head, "/call-lost")) {
		make_call(id);
		return -1;
	}
	if (repeats)
		usleep(RUN_US);
	if (status)
		return send_status(c, status + strlen("/status-"), id);
	len = write_answer(text, id);
	if (cut && (size_t)atol(cut + strlen("/cut-")) < len)
		len = (size_t)atol(cut + strlen("/cut-"));
	return send_text(c, text, len) < 0 || cut ? -1 : 0;
}

static const struct flood *find_flood(const char *head)
{
	size_t i;

	for (i = 0; i < sizeof(floods) / sizeof(*floods); i++)
		if (strstr(head, floods[i].name))
			return &floods[i];
	return NULL;
}

/* Sends as much of the flood as the connection takes; -1 if it has ended. */
static int send_flood(struct conn *c)
{
	size_t len = strlen(c->flood->again), n = 0;
	char text[FLOOD_SIZE];
	ssize_t sent;

	for (n = 0; n < sizeof(text); n++)
		text[n] = c->flood->again[(c->flooded + n) % len];
	sent = send(c->fd, text, n, MSG_NOSIGNAL | MSG_DONTWAIT);
	if (sent < 0)
		return -1;
	c->flooded = (c->flooded + (size_t)sent) % len;
	return 0;
}

/* Reads from a connection; -1 if it has ended. */
static int serve(struct conn *c)
{
	ssize_t n = recv(c->fd, c->head + c->len, HEAD_MAX - 1 - c->len, 0);
	char *end;

	if (n <= 0)
		return -1;
	c->len += (size_t)n;
	c->head[c->len] = 0;
	end = strstr(c->head, "\r\n\r\n");
	if (!end)
		return c->len < HEAD_MAX - 1 ? 0 : -1;
	c->len = 0;
	c->flood = find_flood(c->head);
	if (c->flood)
		return send_text(c, c->flood->first, strlen(c->flood->first));
	return answer(c);
}

static void parse_node(const char *text)
{
	const char *port = strrchr(text, ':');

	node.sin_family = AF_INET;
	node.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	node.sin_port = htons((uint16_t)(port ? atoi(port + 1) : 0));
}

int main(int argc, char **argv)
{
	struct pollfd fds[CONNS_MAX + 1];
	int listener = listen_any();
	size_t i;

	if (argc > 1)
		parse_node(argv[1]);
	while (listener >= 0) {
		fds[0] = (struct pollfd){.fd = listener, .events = POLLIN};
		for (i = 0; i < conn_count; i++)
			fds[i + 1] = (struct pollfd){
				.fd = conns[i].fd,
				.events = conns[i].flood ? POLLOUT : POLLIN};
		if (poll(fds, conn_count + 1, -1) < 0)
			return EXIT_FAILURE;
		for (i = conn_count; i-- > 0;)
			if (fds[i + 1].revents &&
			    (conns[i].flood ? send_flood(&conns[i])
					    : serve(&conns[i])) < 0) {
				close(conns[i].fd);
				conns[i] = conns[--conn_count];
			}
		if (fds[0].revents && conn_count < CONNS_MAX) {
			memset(&conns[conn_count], 0, sizeof(*conns));
			conns[conn_count].fd = accept(listener, NULL, NULL);
			conn_count += conns[conn_count].fd >= 0;
		}
	}
	return EXIT_FAILURE;
}
