/*
 * Stand-in for a caller with a small receive buffer that reads its answer at a
 * rate of its own, or pauses once. Prints one line about the answer.
 */
#include <argp.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/base.h"
#include "net/socket_addr.h"

#define RECEIVE_BUFFER 4096
#define SEGMENT 1400 /* as on a network; loopback has 64 KB */
#define CHUNK 4096
#define HEAD_MAX 16384

static struct {
	const char *to, *method, *target;
	struct buffer fields;
	long rate, pause_at, pause_ms;
} o = {.method = "GET", .target = "/"};

static error_t parse(int key, char *arg, struct argp_state *state)
{
	switch (key) {
	case 't':
		o.to = arg;
		return 0;
	case 'm':
		o.method = arg;
		return 0;
	case 'H':
		return buffer_printf(&o.fields, "%s\r\n", arg) < 0 ? ENOMEM : 0;
	case 'r':
		o.rate = strtol(arg, NULL, 10);
		return 0;
	case 'a':
		o.pause_at = strtol(arg, NULL, 10);
		return 0;
	case 'p':
		o.pause_ms = strtol(arg, NULL, 10);
		return 0;
	case ARGP_KEY_ARG:
		o.target = arg;
		return 0;
	case ARGP_KEY_END:
		if (!o.to)
			argp_error(state, "--to is missing");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp_option options[] = {
	{"to", 't', "ADDR", 0, "address of the node", 0},
	{"method", 'm', "METHOD", 0, "GET if not given", 0},
	{"header", 'H', "FIELD", 0, "sent with the request", 0},
	{"rate", 'r', "BYTES", 0, "read in a second; 0: no limit", 0},
	{"pause-at", 'a', "BYTES", 0, "read before the pause", 0},
	{"pause-ms", 'p', "MS", 0, "length of the pause", 0},
	{0}};

/* Returns a connected socket, or -1. */
static int dial(void)
{
	int buffer = RECEIVE_BUFFER, segment = SEGMENT, fd;
	union socket_addr sa;
	struct addr a;
	socklen_t len;

	if (addr_parse(&a, o.to) < 0)
		return -1;
	len = addr_to_sockaddr(&a, &sa);
	fd = socket(sa.any.sa_family, SOCK_STREAM, 0);
	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof(buffer));
	setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
	if (connect(fd, &sa.any, len) == 0)
		return fd;
	close(fd);
	return -1;
}

static void wait_us(int64_t us)
{
	if (us > 0)
		usleep((useconds_t)us);
}

/* Reads to the end of file at the pace of the options. */
static void read_answer(int fd, struct buffer *answer)
{
	int64_t start = clock_monotonic_us();
	char chunk[CHUNK];
	ssize_t n;

	while ((n = read(fd, chunk, sizeof(chunk))) > 0) {
		if (buffer_append(answer, chunk, (size_t)n, SIZE_MAX) < 0)
			return;
		if (o.pause_ms && answer->len >= (size_t)o.pause_at) {
			wait_us(o.pause_ms * USEC_PER_MSEC);
			o.pause_ms = 0;
		}
		if (o.rate)
			wait_us(start +
				(int64_t)answer->len * USEC_PER_SEC / o.rate -
				clock_monotonic_us());
	}
}

/* Prints the status and how much of the announced body has come. */
static void print_answer(struct buffer *answer)
{
	const char *text, *length, *body;
	int status = 0;

	if (buffer_append(answer, "", 1, SIZE_MAX) < 0)
		return;
	text = (const char *)answer->data;
	body = strstr(text, "\r\n\r\n");
	length = strcasestr(text, "\r\ncontent-length:");
	sscanf(text, "HTTP/1.1 %d", &status);
	printf("status=%d bytes=%zu of=%ld\n", status,
	       body ? answer->len - 1 - (size_t)(body + 4 - text) : 0,
	       length ? strtol(strchr(length, ':') + 1, NULL, 10) : 0);
}

int main(int argc, char **argv)
{
	static const struct argp argp = {
		.options = options, .parser = parse, .args_doc = "TARGET"};
	struct buffer request = {0}, answer = {0};
	int fd;

	if (argp_parse(&argp, argc, argv, 0, NULL, NULL))
		return EXIT_FAILURE;
	buffer_printf(&request, "%s %s HTTP/1.1\r\nConnection: close\r\n",
		      o.method, o.target);
	if (o.fields.len)
		buffer_append(&request, o.fields.data, o.fields.len, HEAD_MAX);
	buffer_append(&request, "\r\n", 2, HEAD_MAX);
	fd = dial();
	if (fd < 0 || write(fd, request.data, request.len) < 0) {
		fprintf(stderr, "slow_reader: can't reach %s\n", o.to);
		return EXIT_FAILURE;
	}
	read_answer(fd, &answer);
	print_answer(&answer);
	close(fd);
	return EXIT_SUCCESS;
}
