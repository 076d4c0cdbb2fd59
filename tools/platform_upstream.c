/*
 * Stand-in for an upstream of the users' platform: sends heartbeats to the
 * node of its host and answers with a signature, unless a fault is set.
 */
#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/json.h"
#include "net/net.h"

#define HEALTH_PATH "/health"
#define HEAD_MAX (64 * 1024)
#define HEAD_TIMEOUT_US (10 * USEC_PER_SEC)
#define IDLE_TIMEOUT_US (75 * USEC_PER_SEC)
#define BODY_MAX (16 * 1024 * 1024)
#define CONNECTIONS_MAX 1024
#define HEARTBEAT_INTERVAL_US (300 * USEC_PER_MSEC)
#define TICK_US (5 * USEC_PER_MSEC)
#define RUNS_MAX 4096
#define ARRIVALS_MAX 256
/* A cold upstream crashes above this many times its rate in a second. */
#define COLD_CRASH_FACTOR 2

/* A request that is being executed. */
struct run {
	uint64_t exchange;
	int64_t end_us;
	struct message answer;
};

static struct {
	struct net *net;
	struct http_server *server;
	struct http_pool *node;
	const char *node_addr;
	struct http_pool *named; /* for heartbeats, by the node; or NULL */
	char named_addr[ADDR_TEXT_SIZE];
	bool named_failed;
	const char *service;
	const char *instance;
	char addr[ADDR_TEXT_SIZE];
	int64_t service_us;
	int64_t started_ms;
	int64_t next_heartbeat_us; /* 0: at the first tick */
	uint64_t sequence;
	struct run runs[RUNS_MAX];
	size_t run_count;
	uint32_t full;		 /* refuse every request */
	uint32_t omit_signature; /* answer without a signature */
	uint32_t fail_status;	 /* of answers to what it ran; 0: success */
	uint32_t draining;
	uint32_t crash;	   /* at the next tick */
	uint32_t leaving;  /* say so in answers, not in heartbeats */
	uint32_t leave_ms; /* deregister now, and end after that time */
	int64_t left_us;   /* since when it has deregistered; 0: it has not */
	char limit[32];	   /* requests a second named in answers, or empty */
	const char *program;
	const char *crash_on;  /* part of a target; NULL: none */
	const char *spare;     /* account whose requests crash nothing */
	const char *down_ms;   /* before a crashed process is back */
	const char *linger_ms; /* a crash loses connections first */
	const char *work_ms;
	const char *cold_ms;	/* for which it is cold after its start */
	const char *cold_per_s; /* that it takes then */
	int64_t cold_until_us;
	int64_t arrivals[ARRIVALS_MAX]; /* requests since it became cold */
	size_t arrival_count;
} upstream = {.service = "s",
	      .instance = "i-1",
	      .down_ms = "2000",
	      .linger_ms = "0",
	      .work_ms = "0",
	      .cold_ms = "0",
	      .cold_per_s = "0"};

static volatile sig_atomic_t stopped;
static volatile sig_atomic_t turns_cold;

static void add_header(struct message *m, const char *name, const char *value)
{
	if (value)
		message_add_header(m, name, value);
}

/* Prints one line for each executed request, which tests match. */
static void print_run(const struct message *m)
{
	static const char *const names[] = {"mulberryferry-attempt-id",
					    "mulberryferry-tenant",
					    "mulberryferry-caller-service",
					    "mulberryferry-expected-instance",
					    "mulberryferry-deadline-ms",
					    "authorization",
					    "host",
					    "x-extra"};
	const char *value;
	size_t i;

	printf("run %s %s body=%zu at_ms=%lld", m->method, m->target,
	       m->body.len, (long long)(clock_wall_us() / USEC_PER_MSEC));
	for (i = 0; i < sizeof(names) / sizeof(*names); i++) {
		value = message_header(m, names[i]);
		printf(" %s=%s", names[i], value ? value : "-");
	}
	printf("\n");
	fflush(stdout);
}

/* Sends the answer after the service time. Takes ownership of the answer. */
static void answer_later(uint64_t exchange, struct message *answer, int64_t now)
{
	struct run *r = &upstream.runs[upstream.run_count++];

	r->exchange = exchange;
	r->end_us = now + upstream.service_us;
	r->answer = *answer;
	memset(answer, 0, sizeof(*answer));
}

static void set_fault(const char *target, const char *name, uint32_t *to)
{
	const char *p = strstr(target, name);

	if (p)
		*to = (uint32_t)strtoul(p + strlen(name), NULL, 10);
}

/* Sets the limit to name, as text, so that tests can name malformed ones. */
static void set_limit(const char *target)
{
	const char *p = strstr(target, "limit=");

	if (p)
		snprintf(upstream.limit, sizeof(upstream.limit), "%s",
			 p + strlen("limit="));
}

/* Adds what the upstream says of itself in every answer. */
static void add_state(struct message *answer)
{
	if (upstream.limit[0])
		add_header(answer, "server-limit", upstream.limit);
	if (upstream.leaving)
		add_header(answer, "server-leaving", "1");
}

/* Fills the body of an answer; a target with "bytes=N" gets N bytes. */
static void fill_body(struct buffer *body, const char *target)
{
	uint32_t bytes = 0;
	char *text;

	set_fault(target, "bytes=", &bytes);
	if (!bytes) {
		buffer_printf(body, "ran %s", target);
		return;
	}
	text = calloc(1, bytes);
	if (!text)
		abort();
	memset(text, 'x', bytes);
	buffer_append(body, text, bytes, SIZE_MAX);
	free(text);
}

/* Closes all sockets but the one that listens, and waits. */
static void lose_connections(void)
{
	long ms = strtol(upstream.linger_ms, NULL, 10);
	socklen_t len = sizeof(int);
	int fd, listens;

	for (fd = STDERR_FILENO + 1; ms && fd < CONNECTIONS_MAX; fd++)
		if (getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listens, &len) ==
			    0 &&
		    !listens)
			close(fd);
	usleep((useconds_t)(ms * USEC_PER_MSEC));
}

/*
 * Ends this process: all connections are lost at once. Another one takes its
 * place and address after down_ms.
 */
static void restart(const char *instance, const char *down_ms)
{
	char *args[] = {(char *)upstream.program,
			"--listen",
			upstream.addr,
			"--node",
			(char *)upstream.node_addr,
			"--service",
			(char *)upstream.service,
			"--instance",
			(char *)instance,
			"--work-ms",
			(char *)upstream.work_ms,
			"--down-ms",
			(char *)upstream.down_ms,
			"--start-after-ms",
			(char *)down_ms,
			"--crash-on",
			(char *)(upstream.crash_on ? upstream.crash_on : ""),
			"--spare",
			(char *)(upstream.spare ? upstream.spare : ""),
			"--limit",
			upstream.limit,
			"--linger-ms",
			(char *)upstream.linger_ms,
			"--cold-ms",
			(char *)upstream.cold_ms,
			"--cold-per-s",
			(char *)upstream.cold_per_s,
			NULL};

	execv("/proc/self/exe", args);
	abort();
}

/* Ends as by a crash; the next process has another instance. */
static void crash(void)
{
	char instance[NAME_SIZE];

	snprintf(instance, sizeof(instance), "%.32s.%lld",
		 strtok((char *)upstream.instance, "."),
		 (long long)(clock_wall_us() / USEC_PER_MSEC));
	printf("crash at_ms=%lld\n",
	       (long long)(clock_wall_us() / USEC_PER_MSEC));
	fflush(stdout);
	lose_connections();
	restart(instance, upstream.down_ms);
}

static int64_t cold_left_us(int64_t now)
{
	return now < upstream.cold_until_us ? upstream.cold_until_us - now : 0;
}

static void begin_cold(int64_t now)
{
	int64_t ms = strtol(upstream.cold_ms, NULL, 10);

	if (!ms)
		return;
	upstream.cold_until_us = now + ms * USEC_PER_MSEC;
	upstream.arrival_count = 0;
	printf("cold at_ms=%lld\n",
	       (long long)(clock_wall_us() / USEC_PER_MSEC));
	fflush(stdout);
}

/* Counts a request; returns whether a cold process crashes by it. */
static bool is_too_many(int64_t now)
{
	double most = strtod(upstream.cold_per_s, NULL) * COLD_CRASH_FACTOR;
	size_t i, recent = 0;

	upstream.arrivals[upstream.arrival_count++ % ARRIVALS_MAX] = now;
	for (i = 0; i < ARRIVALS_MAX && i < upstream.arrival_count; i++)
		recent += now - upstream.arrivals[i] < USEC_PER_SEC;
	return cold_left_us(now) && most > 0 && (double)recent > most;
}

static bool crashes(const struct message *m)
{
	const char *account = message_header(m, "mulberryferry-tenant");

	return upstream.crash_on && upstream.crash_on[0] &&
	       strstr(m->target, upstream.crash_on) &&
	       !(account && upstream.spare && !strcmp(account, upstream.spare));
}

static void on_request(void *ctx, uint64_t exchange, struct message *m,
		       const char *peer, int64_t now)
{
	const char *expected =
		message_header(m, "mulberryferry-expected-instance");
	struct message answer = {.status = 200};
	char text[24];

	(void)ctx;
	(void)peer;
	add_header(&answer, "mulberryferry-attempt-id",
		   message_header(m, "mulberryferry-attempt-id"));
	if (!strncmp(m->target, "/standin/", strlen("/standin/"))) {
		set_fault(m->target, "full=", &upstream.full);
		set_fault(m->target, "unsigned=", &upstream.omit_signature);
		set_fault(m->target, "fail_status=", &upstream.fail_status);
		set_fault(m->target, "draining=", &upstream.draining);
		set_fault(m->target, "leaving=", &upstream.leaving);
		set_fault(m->target, "leave_ms=", &upstream.leave_ms);
		set_limit(m->target);
		set_fault(m->target, "crash=", &upstream.crash);
	} else if (!strcmp(m->target, HEALTH_PATH)) {
		snprintf(text, sizeof(text), "%lld",
			 (long long)(cold_left_us(now) / USEC_PER_MSEC));
		add_header(&answer, "mulberryferry-cold-ms", text);
		add_header(&answer, "mulberryferry-instance-id",
			   upstream.instance);
		if (upstream.draining || upstream.left_us)
			answer.status = 503;
	} else if (expected && strcmp(expected, upstream.instance) != 0) {
		answer.status = 421;
		add_header(&answer, "mulberryferry-instance-id",
			   upstream.instance);
	} else if (upstream.full || upstream.run_count == RUNS_MAX) {
		answer.status = 503;
		add_header(&answer, "mulberryferry-not-executed", "1");
	} else {
		print_run(m);
		if (is_too_many(now) || crashes(m))
			crash();
		fill_body(&answer.body, m->target);
		if (upstream.fail_status)
			answer.status = (int)upstream.fail_status;
		if (!upstream.omit_signature)
			add_header(&answer, "mulberryferry-response-signature",
				   "1.2");
		answer_later(exchange, &answer, now);
		return;
	}
	add_state(&answer);
	http_server_respond(upstream.server, exchange, &answer);
	message_free(&answer);
}

static void on_abandoned(void *ctx, uint64_t exchange, int64_t now)
{
	(void)ctx;
	(void)now;
	printf("gone %llu\n", (unsigned long long)exchange);
	fflush(stdout);
}

static void leave_named_address(void)
{
	if (upstream.named)
		http_pool_close(upstream.named);
	upstream.named = NULL;
	upstream.named_addr[0] = 0;
}

/* Sends later heartbeats to an address that the node has named. */
static void follow(const char *text, size_t len)
{
	struct json_object *o = json_parse_complete(text, len);
	const char *addr =
		json_object_get_string(json_member(o, "heartbeat_url"));
	struct http_pool_options pool = {.connections_max = 2,
					 .body_limit = BODY_MAX,
					 .idle_timeout_us = USEC_PER_SEC};
	struct error err;

	if (addr && strcmp(addr, upstream.named_addr) != 0 &&
	    addr_parse(&pool.addr, addr) == 0) {
		leave_named_address();
		copy_name(upstream.named_addr, sizeof(upstream.named_addr),
			  addr);
		upstream.named = http_pool_open(upstream.net, &pool, &err);
	}
	json_object_put(o);
}

/* The tag says whether the heartbeat went to the named address. */
static void heartbeat_done(void *ctx, uint64_t tag, struct http_call_result *r,
			   int64_t now)
{
	bool done = r->status == HTTP_COMPLETED && r->response->status == 200;

	(void)ctx;
	if (!done && tag) {
		upstream.named_failed = true;
		upstream.next_heartbeat_us = now;
	} else if (done && !upstream.left_us) {
		follow((const char *)r->response->body.data,
		       r->response->body.len);
	}
}

static void leave_done(void *ctx, uint64_t tag, struct http_call_result *r,
		       int64_t now)
{
	(void)ctx;
	(void)tag;
	(void)now;
	if (r->status != HTTP_COMPLETED || r->response->status != 200)
		return;
	printf("left at_ms=%lld\n",
	       (long long)(clock_wall_us() / USEC_PER_MSEC));
	fflush(stdout);
}

/*
 * Deregisters, and sends its last heartbeat again and again from then on, as if
 * it were late. Starts again under its id after leave_ms.
 */
static void leave(int64_t now)
{
	struct message m = {.method = "POST"};
	struct http_call call = {.request = &m,
				 .deadline_us = now + USEC_PER_SEC,
				 .done = leave_done};
	char target[256];

	if (upstream.left_us &&
	    now - upstream.left_us >= upstream.leave_ms * USEC_PER_MSEC)
		restart(upstream.instance, "0");
	if (upstream.left_us)
		return;
	upstream.left_us = now;
	snprintf(target, sizeof(target),
		 "/mulberryferry/instances/%s/deregister", upstream.instance);
	m.target = target;
	buffer_printf(&m.body, "{\"born\":%lld}",
		      (long long)upstream.started_ms);
	http_call_start(upstream.node, &call, now, NULL);
	buffer_free(&m.body);
}

static void send_heartbeat(int64_t now)
{
	struct message m = {.method = "POST"};
	struct http_call call = {.request = &m,
				 .deadline_us = now + USEC_PER_SEC,
				 .done = heartbeat_done};
	struct http_pool *to = upstream.node;
	char target[256];

	if (upstream.named_failed)
		leave_named_address();
	upstream.named_failed = false;
	/* What it sends after its leave is late: it was sent to the node. */
	if (upstream.named && !upstream.left_us)
		to = upstream.named;
	call.tag = to == upstream.named;

	snprintf(target, sizeof(target),
		 "/mulberryferry/instances/%s/heartbeat", upstream.instance);
	m.target = target;
	if (!upstream.left_us)
		upstream.sequence++;
	buffer_printf(&m.body,
		      "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"z\","
		      "\"version\":\"v1\",\"slots\":16,\"state\":\"%s\","
		      "\"cold_remaining_s\":%.3f,\"sequence\":%llu,"
		      "\"born\":%lld}",
		      upstream.service, upstream.addr,
		      upstream.draining ? "draining" : "ready",
		      (double)cold_left_us(now) / USEC_PER_SEC,
		      (unsigned long long)upstream.sequence,
		      (long long)upstream.started_ms);
	http_call_start(to, &call, now, NULL);
	buffer_free(&m.body);
}

static void tick(void *ctx, int64_t now)
{
	size_t i = 0;

	(void)ctx;
	if (stopped)
		net_stop(upstream.net);
	if (upstream.crash)
		crash();
	if (upstream.leave_ms)
		leave(now);
	if (turns_cold) {
		turns_cold = 0;
		begin_cold(now);
	}
	if (now >= upstream.next_heartbeat_us) {
		upstream.next_heartbeat_us = now + HEARTBEAT_INTERVAL_US;
		send_heartbeat(now);
	}
	while (i < upstream.run_count) {
		if (now < upstream.runs[i].end_us) {
			i++;
			continue;
		}
		add_state(&upstream.runs[i].answer);
		http_server_respond(upstream.server, upstream.runs[i].exchange,
				    &upstream.runs[i].answer);
		message_free(&upstream.runs[i].answer);
		upstream.runs[i] = upstream.runs[--upstream.run_count];
	}
}

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	(void)state;
	switch (key) {
	case 'l':
		copy_name(upstream.addr, sizeof(upstream.addr), arg);
		return 0;
	case 'n':
		upstream.node_addr = arg;
		return 0;
	case 's':
		upstream.service = arg;
		return 0;
	case 'i':
		upstream.instance = arg;
		return 0;
	case 'c':
		upstream.crash_on = arg;
		return 0;
	case 'x':
		upstream.spare = arg;
		return 0;
	case 'm':
		copy_name(upstream.limit, sizeof(upstream.limit), arg);
		return 0;
	case 'd':
		upstream.down_ms = arg;
		return 0;
	case 'g':
		upstream.linger_ms = arg;
		return 0;
	case 'a':
		usleep((useconds_t)(strtol(arg, NULL, 10) * USEC_PER_MSEC));
		return 0;
	case 'o':
		upstream.cold_ms = arg;
		return 0;
	case 'r':
		upstream.cold_per_s = arg;
		return 0;
	case 'w':
		upstream.work_ms = arg;
		upstream.service_us = strtol(arg, NULL, 10) * USEC_PER_MSEC;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp_option options[] = {
	{"listen", 'l', "ADDR", 0, "Listen on ADDR", 0},
	{"node", 'n', "ADDR", 0, "Send heartbeats to the node at ADDR", 0},
	{"service", 's', "NAME", 0, "Name of the service (s)", 0},
	{"instance", 'i', "ID", 0, "ID of this instance (i-1)", 0},
	{"work-ms", 'w', "N", 0, "Answer after N milliseconds", 0},
	{"crash-on", 'c', "TEXT", 0, "Crash on a target that contains TEXT", 0},
	{"limit", 'm', "RATE", 0, "Name this limit in answers", 0},
	{"spare", 'x', "ACCOUNT", 0, "but not if ACCOUNT sent it", 0},
	{"down-ms", 'd', "N", 0, "Be back N milliseconds after a crash", 0},
	{"linger-ms", 'g', "N", 0,
	 "When crashing, listen N milliseconds longer than connections last",
	 0},
	{"cold-ms", 'o', "N", 0,
	 "Be cold N milliseconds after the start and on SIGUSR1", 0},
	{"cold-per-s", 'r', "RATE", 0,
	 "Crash above twice RATE requests in a second while cold", 0},
	{"start-after-ms", 'a', "N", 0, "Wait N milliseconds first", 0},
	{0}};

static const struct argp argp = {
	.options = options,
	.parser = parse_option,
	.doc = "Stand-in for an upstream of the users' platform.\v"
	       "GET /standin/faults?full=0|1&unsigned=0|1&draining=0|1&crash=1&"
	       "leave_ms=N "
	       "sets faults. A request with bytes=N in its target is answered "
	       "with "
	       "N "
	       "bytes."};

static void on_signal(int number)
{
	if (number == SIGUSR1)
		turns_cold = 1;
	else
		stopped = 1;
}

int main(int argc, char **argv)
{
	static const struct http_limits limits = {
		.head_bytes = HEAD_MAX,
		.body_bytes = BODY_MAX,
		.head_timeout_us = HEAD_TIMEOUT_US,
		.idle_timeout_us = IDLE_TIMEOUT_US};
	struct http_server_options o = {.body_limit = BODY_MAX,
					.connections_max = CONNECTIONS_MAX,
					.on_request = on_request,
					.on_abandoned = on_abandoned};
	struct http_pool_options pool = {.connections_max = 2,
					 .body_limit = BODY_MAX,
					 .idle_timeout_us = USEC_PER_SEC};
	struct error err = {
		.text = "missing or malformed address of --listen or --node"};

	upstream.program = argv[0];
	argp_parse(&argp, argc, argv, 0, NULL, NULL);
	upstream.started_ms = clock_wall_us() / USEC_PER_MSEC;
	upstream.net = net_open(&err);
	if (upstream.net && addr_parse(&o.listen, upstream.addr) == 0 &&
	    upstream.node_addr &&
	    addr_parse(&pool.addr, upstream.node_addr) == 0) {
		upstream.server = http_server_open(upstream.net, &o, &err);
		upstream.node = http_pool_open(upstream.net, &pool, &err);
	}
	if (!upstream.server || !upstream.node ||
	    net_every(upstream.net, TICK_US, tick, NULL) < 0) {
		fprintf(stderr, "platform_upstream: %s\n", err.text);
		return EXIT_FAILURE;
	}
	http_server_set_limits(upstream.server, &limits);
	http_server_addr(upstream.server, &o.listen);
	addr_format(&o.listen, upstream.addr);
	printf("listening=%s\n", upstream.addr);
	fflush(stdout);
	begin_cold(clock_monotonic_us());
	signal(SIGTERM, on_signal);
	signal(SIGUSR1, on_signal);
	net_run(upstream.net);
	net_close(upstream.net);
	return EXIT_SUCCESS;
}
