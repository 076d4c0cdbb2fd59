/*
 * Stand-in for an upstream service: executes requests in a limited number of
 * slots for a random service time, makes sub-calls through the node of its
 * host, and injects faults that are set by flags or at run time.
 */
#include <argp.h>
#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <json-c/json.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "net/net.h"

#define SUBS_MAX 8
#define JOBS_MAX 100000
#define BODY_LIMIT (1024 * 1024)
#define ANNOUNCE_INTERVAL_US (2 * USEC_PER_SEC)
#define TICK_US (50 * USEC_PER_MSEC)
/* Time without requests before a planned exit. */
#define EXIT_IDLE_US (3 * USEC_PER_SEC)
#define SUB_CALL_TIMEOUT_US (30 * USEC_PER_SEC)
#define IDLE_TIMEOUT_US (20 * USEC_PER_SEC)
/* Extra service time right after the start, as a multiple of the normal one. */
#define COLD_START_SLOWDOWN 4.0

struct sub {
	char method[METHOD_SIZE];
	const char *path;
};

struct job {
	struct job *prev;
	struct job *next;
	uint64_t handle;
	uint64_t exchange;
	struct message request;
	int64_t deadline_us;
	bool running;
	bool will_fail;
	int sub; /* index of the current sub-call */
	uint64_t call;
};

static struct {
	struct addr listen;
	struct addr node;
	const char *service;
	int64_t slots, connections, claim_slots;
	int64_t service_us, cold_start_ms, fail_percent, answer_bytes, seed;
	bool fixed;
	struct sub subs[SUBS_MAX];
	int sub_count;
} opt = {
	.service = "service",
	.slots = 8,
	.connections = 100,
	.service_us = 2000,
	.seed = 1,
};

static struct net *net;
static struct http_server *server;
static struct http_pool *node;
static gsl_rng *rng;
static struct table jobs;
static struct job *queue;
static struct json_object *by_key, *by_root;
static int64_t started, finished, failed, running, max_running, cancelled;
static int64_t saw_authorization, start_us, last_request_us;
static bool unresponsive, leaving;
static volatile sig_atomic_t stop_requested;

static void start_queued(int64_t now);

static void count(struct json_object *counts, const char *name)
{
	struct json_object *n;

	if (!name)
		return;
	if (json_object_object_get_ex(counts, name, &n))
		json_object_int_inc(n, 1);
	else
		json_object_object_add(counts, name, json_object_new_int64(1));
}

static void answer_text(uint64_t exchange, int status, const char *type,
			const char *id, const char *text)
{
	struct message m = {.status = status};

	message_add_header(&m, "content-type", type);
	if (id)
		message_add_header(&m, "x-request-id", id);
	buffer_append(&m.body, text, strlen(text), SIZE_MAX);
	http_server_respond(server, exchange, &m);
	message_free(&m);
}

static struct job *add_job(uint64_t exchange, struct message *msg)
{
	struct job *job = calloc(1, sizeof(*job));
	void *item;

	job->handle = table_add(&jobs, &item);
	if (!job->handle) {
		free(job);
		return NULL;
	}
	*(struct job **)item = job;
	job->exchange = exchange;
	job->request = *msg;
	memset(msg, 0, sizeof(*msg));
	return job;
}

/* Frees the job and, if it is running, its slot. */
static void remove_job(struct job *job)
{
	if (job->running)
		running--;
	else
		DL_DELETE(queue, job);
	table_remove(&jobs, job->handle);
	message_free(&job->request);
	free(job);
}

static void answer_job(struct job *job, int status, const char *error_text,
		       int64_t now)
{
	const char *id = message_header(&job->request, "x-request-id");
	struct json_object *o = json_object_new_object();
	char *pad;

	json_object_object_add(o, "service",
			       json_object_new_string(opt.service));
	json_object_object_add(o, "request",
			       id ? json_object_new_string(id) : NULL);
	if (error_text)
		json_object_object_add(o, "error",
				       json_object_new_string(error_text));
	if (status == 200 && opt.answer_bytes > 0) {
		pad = calloc(1, (size_t)opt.answer_bytes + 1);
		memset(pad, 'x', (size_t)opt.answer_bytes);
		json_object_object_add(o, "pad", json_object_new_string(pad));
		free(pad);
	}
	if (status == 200)
		finished++;
	else
		failed++;
	answer_text(job->exchange, status, "application/json", id,
		    json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN));
	json_object_put(o);
	remove_job(job);
	start_queued(now);
}

static void next_sub_call(struct job *job, int64_t now);

static void sub_call_done(void *ctx, uint64_t tag, struct http_call_result *r,
			  int64_t now)
{
	struct job **item = table_get(&jobs, tag);
	int status = r->response ? r->response->status : 0;
	char error_text[64];

	(void)ctx;
	if (!item)
		return;
	(*item)->call = 0;
	if (status >= 200 && status < 300) {
		(*item)->sub++;
		next_sub_call(*item, now);
		return;
	}
	snprintf(error_text, sizeof(error_text),
		 "sub-call failed with status %d", status);
	answer_job(*item, 502, error_text, now);
}

static void copy_header(struct message *to, const struct message *from,
			const char *name)
{
	const char *value = message_header(from, name);

	if (value)
		message_add_header(to, name, value);
}

/* Starts the next sub-call of the job; answers if none is left. */
static void next_sub_call(struct job *job, int64_t now)
{
	struct message m = {0};
	struct error err;
	struct http_call call = {
		.request = &m,
		.deadline_us = now + SUB_CALL_TIMEOUT_US,
		.tag = job->handle,
		.done = sub_call_done,
	};

	if (job->sub == opt.sub_count) {
		answer_job(job, 200, NULL, now);
		return;
	}
	if (job->deadline_us && job->deadline_us < call.deadline_us)
		call.deadline_us = job->deadline_us;
	memcpy(m.method, opt.subs[job->sub].method, sizeof(m.method));
	m.target = strdup(opt.subs[job->sub].path);
	copy_header(&m, &job->request, "mulberryferry-context");
	copy_header(&m, &job->request, "idempotency-key");
	job->call = http_call_start(node, &call, now, &err);
	message_free(&m);
	if (!job->call)
		answer_job(job, 502, err.text, now);
}

static void service_done(void *ctx, int64_t now)
{
	struct job **item = table_get(&jobs, (uint64_t)(uintptr_t)ctx);

	if (!item)
		return;
	if ((*item)->will_fail)
		answer_job(*item, 500, "injected failure", now);
	else
		next_sub_call(*item, now);
}

/* Draws a service time; it falls linearly to normal during a cold start. */
static int64_t draw_service_us(int64_t now)
{
	double t = (double)opt.service_us;
	double cold_us = (double)(opt.cold_start_ms * USEC_PER_MSEC);
	double age_us = (double)(now - start_us);

	if (!opt.fixed)
		t = gsl_ran_exponential(rng, t);
	if (age_us < cold_us)
		t *= 1 + COLD_START_SLOWDOWN * (1 - age_us / cold_us);
	return (int64_t)t;
}

static void start_job(struct job *job, int64_t now)
{
	job->running = true;
	started++;
	running++;
	if (running > max_running)
		max_running = running;
	count(by_key, message_header(&job->request, "idempotency-key"));
	count(by_root, message_header(&job->request, "x-request-id"));
	job->will_fail =
		(int64_t)gsl_rng_uniform_int(rng, 100) < opt.fail_percent;
	net_at(net, now + draw_service_us(now), service_done,
	       (void *)(uintptr_t)job->handle);
}

static void start_queued(int64_t now)
{
	struct job *job;

	while ((job = queue) && running < opt.slots && !unresponsive) {
		if (job->deadline_us && job->deadline_us <= now) {
			answer_text(job->exchange, 504, "text/plain", NULL,
				    "deadline exceeded in the queue\n");
			failed++;
			remove_job(job);
			continue;
		}
		DL_DELETE(queue, job);
		start_job(job, now);
	}
}

static void answer_counts(uint64_t exchange)
{
	const struct {
		const char *name;
		int64_t n;
	} numbers[] = {
		{"started", started},
		{"finished", finished},
		{"failed", failed},
		{"cancelled", cancelled},
		{"max_running", max_running},
		{"running", running},
		{"saw_authorization", saw_authorization},
	};
	struct json_object *o = json_object_new_object();
	size_t i;

	for (i = 0; i < sizeof(numbers) / sizeof(*numbers); i++)
		json_object_object_add(o, numbers[i].name,
				       json_object_new_int64(numbers[i].n));
	json_object_object_add(o, "by_key", json_object_get(by_key));
	json_object_object_add(o, "by_root", json_object_get(by_root));
	answer_text(exchange, 200, "application/json", NULL,
		    json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN));
	json_object_put(o);
}

static void control(uint64_t exchange, const char *target, int64_t now)
{
	char text[256], *p, *save = NULL, *word;
	long long n;

	snprintf(text, sizeof(text), "%s", strchr(target, '?') + 1);
	for (p = text; (word = strtok_r(p, "&", &save)); p = NULL) {
		if (!strchr(word, '='))
			continue;
		n = strtoll(strchr(word, '=') + 1, NULL, 10);
		if (!strncmp(word, "service_us=", 11))
			opt.service_us = n;
		else if (!strncmp(word, "fail_percent=", 13))
			opt.fail_percent = n;
		else if (!strncmp(word, "silent=", 7))
			unresponsive = n != 0;
	}
	answer_text(exchange, 200, "text/plain", NULL, "ok\n");
	start_queued(now);
}

static void on_request(void *ctx, uint64_t exchange, struct message *msg,
		       const char *peer, int64_t now)
{
	const char *ms = message_header(msg, "mulberryferry-deadline-ms");
	struct job *job;

	(void)ctx;
	(void)peer;
	if (!strncmp(msg->target, "/mulberryferry/v1/control?", 26)) {
		control(exchange, msg->target, now);
		return;
	}
	if (!strcmp(msg->target, "/mulberryferry/v1/counts")) {
		answer_counts(exchange);
		return;
	}
	last_request_us = now;
	if (message_header(msg, "authorization"))
		saw_authorization++;
	job = add_job(exchange, msg);
	if (!job) {
		answer_text(exchange, 503, "text/plain", NULL,
			    "too many concurrent requests\n");
		return;
	}
	if (ms)
		job->deadline_us = now + strtoll(ms, NULL, 10) * USEC_PER_MSEC;
	DL_APPEND(queue, job);
	start_queued(now);
}

static struct job *find_job(uint64_t exchange)
{
	uint64_t h = 0;
	void *item;

	while ((h = table_next(&jobs, h, &item)))
		if ((*(struct job **)item)->exchange == exchange)
			return *(struct job **)item;
	return NULL;
}

static void on_abandoned(void *ctx, uint64_t exchange, int64_t now)
{
	struct job *job = find_job(exchange);

	(void)ctx;
	if (!job)
		return;
	if (job->call)
		http_call_cancel(node, job->call);
	cancelled++;
	remove_job(job);
	start_queued(now);
}

static void announce_done(void *ctx, uint64_t tag, struct http_call_result *r,
			  int64_t now)
{
	(void)ctx;
	(void)tag;
	(void)now;
	if (r->status != HTTP_COMPLETED)
		log_error(LOG_WARNING, "announce", &r->err);
}

static void announce(void *ctx, int64_t now)
{
	struct message m = {.method = "PUT"};
	struct http_call call = {.request = &m,
				 .deadline_us = now + ANNOUNCE_INTERVAL_US,
				 .done = announce_done};
	char text[ADDR_TEXT_SIZE];
	struct error err;
	struct addr a;

	(void)ctx;
	if (!node)
		return;
	http_server_addr(server, &a);
	addr_format(&a, text);
	m.target = strdup("/mulberryferry/v1/announcement");
	message_add_header(&m, "content-type", "application/json");
	buffer_printf(
		&m.body,
		"{\"service\":\"%s\",\"address\":\"%s\","
		"\"slots\":%lld,\"connections\":%lld,\"state\":\"%s\"}",
		opt.service, text,
		(long long)(opt.claim_slots ? opt.claim_slots : opt.slots),
		(long long)opt.connections, leaving ? "leaving" : "ready");
	if (!http_call_start(node, &call, now, &err))
		log_error(LOG_WARNING, "announce", &err);
	message_free(&m);
}

static void tick(void *ctx, int64_t now)
{
	(void)ctx;
	if (stop_requested && !leaving) {
		leaving = true;
		last_request_us = now;
		announce(NULL, now);
	}
	if (leaving && !jobs.count && now - last_request_us >= EXIT_IDLE_US)
		net_stop(net);
}

static void on_signal(int sig)
{
	(void)sig;
	stop_requested = 1;
}

static const struct argp_option options[] = {
	{"listen", 'l', "ADDR", 0, "address to listen on", 0},
	{"node", 'n', "ADDR", 0, "services listener of the host's node", 0},
	{"service", 's', "NAME", 0, "service to announce", 0},
	{"slots", 'S', "N", 0, "requests executed at once", 0},
	{"connections", 'c', "N", 0, "connections to announce", 0},
	{"service-us", 'u', "N", 0, "mean service time of a request", 0},
	{"fixed", 'f', NULL, 0, "use the same service time for all requests",
	 0},
	{"seed", 'r', "N", 0, "seed of the random service times", 0},
	{"cold-start-ms", 'C', "N", 0, "time until full speed", 0},
	{"claim-slots", 'L', "N", 0, "slots to announce instead of --slots", 0},
	{"fail-percent", 'F', "N", 0, "requests answered with 500", 0},
	{"answer-bytes", 'b', "N", 0, "padding of each answer", 0},
	{"sub", 'U', "\"METHOD PATH\"", 0, "sub-call; repeatable", 0},
	{0},
};

static int64_t *number_option(int key)
{
	switch (key) {
	case 'S':
		return &opt.slots;
	case 'c':
		return &opt.connections;
	case 'u':
		return &opt.service_us;
	case 'r':
		return &opt.seed;
	case 'C':
		return &opt.cold_start_ms;
	case 'L':
		return &opt.claim_slots;
	case 'F':
		return &opt.fail_percent;
	case 'b':
		return &opt.answer_bytes;
	default:
		return NULL;
	}
}

static void add_sub(const char *text, struct argp_state *state)
{
	const char *space = strchr(text, ' ');
	struct sub *sub = &opt.subs[opt.sub_count];

	if (opt.sub_count == SUBS_MAX || !space ||
	    space - text >= (int)sizeof(sub->method))
		argp_error(state,
			   "malformed sub-call, expected \"METHOD PATH\": %s",
			   text);
	memcpy(sub->method, text, (size_t)(space - text));
	sub->path = space + 1;
	opt.sub_count++;
}

static error_t parse(int key, char *arg, struct argp_state *state)
{
	int64_t *number = number_option(key);
	char *end;

	if (number) {
		*number = strtoll(arg, &end, 10);
		if (*end || *number < 0)
			argp_error(state, "not a non-negative number: %s", arg);
		return 0;
	}
	switch (key) {
	case 'l':
	case 'n':
		if (addr_parse(key == 'l' ? &opt.listen : &opt.node, arg) < 0)
			argp_error(state, "malformed address: %s", arg);
		return 0;
	case 's':
		opt.service = arg;
		return 0;
	case 'f':
		opt.fixed = true;
		return 0;
	case 'U':
		add_sub(arg, state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static int open_connections(struct error *err)
{
	struct http_server_options so = {
		.listen = opt.listen,
		.body_limit = BODY_LIMIT,
		.connections_max = UINT32_MAX,
		.on_request = on_request,
		.on_abandoned = on_abandoned,
	};
	struct http_pool_options po = {
		.addr = opt.node,
		.connections_max = (uint32_t)opt.slots + 1,
		.body_limit = BODY_LIMIT,
		.idle_timeout_us = IDLE_TIMEOUT_US,
	};

	net = net_open(err);
	if (!net)
		return -1;
	server = http_server_open(net, &so, err);
	if (!server)
		return -1;
	if (addr_is_set(&opt.node) && !(node = http_pool_open(net, &po, err)))
		return -1;
	return 0;
}

int main(int argc, char **argv)
{
	const struct argp argp = {.options = options, .parser = parse};
	char text[ADDR_TEXT_SIZE];
	struct error err;
	struct addr a;

	addr_parse(&opt.listen, "127.0.0.1:0");
	if (argp_parse(&argp, argc, argv, 0, NULL, NULL))
		return 1;
	rng = gsl_rng_alloc(gsl_rng_mt19937);
	gsl_rng_set(rng, (unsigned long)opt.seed);
	table_init(&jobs, sizeof(struct job *), JOBS_MAX);
	by_key = json_object_new_object();
	by_root = json_object_new_object();
	if (open_connections(&err) < 0) {
		log_error(LOG_ERR, "start", &err);
		return 1;
	}
	signal(SIGTERM, on_signal);
	http_server_addr(server, &a);
	addr_format(&a, text);
	printf("listening=%s\n", text);
	fflush(stdout);
	start_us = last_request_us = clock_monotonic_us();
	announce(NULL, start_us);
	net_every(net, ANNOUNCE_INTERVAL_US, announce, NULL);
	net_every(net, TICK_US, tick, NULL);
	net_run(net);
	net_close(net);
	gsl_rng_free(rng);
	return 0;
}
