/*
 * Load generator: open-loop Poisson arrivals on several streams. A job is
 * retried until it gets a 200 or reaches the retry limit of its stream. It is
 * good if a complete 200 arrives within its deadline, counted from the start
 * of its first try.
 */
#include <argp.h>
#include <gsl/gsl_histogram.h>
#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <json-c/json.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "net/net.h"

#define TARGETS_MAX 64
#define STREAMS_MAX 64
#define REASONS_MAX 40
#define JOBS_MAX 1000000
#define CONNECTIONS_PER_TARGET 400
#define BODY_LIMIT (16 * 1024 * 1024)
#define IDLE_TIMEOUT_US (20 * USEC_PER_SEC)
#define SERIES_INTERVAL_US (100 * USEC_PER_MSEC)
#define HISTOGRAM_BINS 600
#define HISTOGRAM_MIN_MS 0.01
#define HISTOGRAM_MAX_MS 100000.0

struct reason_count {
	char name[NAME_SIZE];
	int64_t n;
};

struct counts {
	int64_t jobs, tries, good, late, refused, failed, unknown, mixed;
	int64_t interval_sent, interval_good; /* since the last series line */
	struct reason_count reasons[REASONS_MAX];
	gsl_histogram *ms; /* latency of good jobs */
};

struct stream {
	const char *name, *key, *path;
	char method[METHOD_SIZE];
	double rate;
	int64_t deadline_us, retries, retry_delay_us, body_bytes;
	bool once;	 /* send an Idempotency-Key */
	int64_t next_us; /* time of the next arrival */
	struct counts counts;
};

struct job {
	struct stream *stream;
	uint64_t number;
	int64_t first_us;
	int64_t tries;
};

static struct {
	const char *file;
	const char *series;
} opt;

static struct net *net;
static gsl_rng *rng;
static struct http_pool *targets[TARGETS_MAX];
static struct addr target_addrs[TARGETS_MAX];
static size_t target_count, stream_count;
static struct stream streams[STREAMS_MAX];
static struct counts total;
static struct table jobs;
static int64_t start_us, end_us, seconds, seed, job_count;
static FILE *series;

static void start_try(uint64_t handle, int64_t now);

/* Counts a reason; when the table is full, in its last element. */
static void count_reason(struct counts *t, const char *name)
{
	struct reason_count *r = t->reasons;

	while (r < t->reasons + REASONS_MAX - 1 && r->n &&
	       strcmp(r->name, name) != 0)
		r++;
	if (!r->n)
		snprintf(r->name, sizeof(r->name), "%s", name);
	r->n++;
}

/* Counts the "reason" member of a problem+json body. */
static void read_reason(struct stream *s, const struct message *m)
{
	struct json_tokener *tok = json_tokener_new();
	struct json_object *o, *reason;

	o = json_tokener_parse_ex(tok, (const char *)m->body.data,
				  (int)m->body.len);
	if (o && json_object_object_get_ex(o, "reason", &reason)) {
		count_reason(&s->counts, json_object_get_string(reason));
		count_reason(&total, json_object_get_string(reason));
	}
	json_object_put(o);
	json_tokener_free(tok);
}

static void request_id(const struct job *job, char text[REQUEST_ID_SIZE])
{
	snprintf(text, REQUEST_ID_SIZE, "c%lld-%llu-%lld", (long long)seed,
		 (unsigned long long)job->number, (long long)job->tries);
}

enum job_result {
	GOOD,
	LATE,
	REFUSED,
	FAILED,
	UNKNOWN,
};

static enum job_result classify_result(const struct job *job,
				       const struct http_call_result *r,
				       int64_t now)
{
	const char *outcome;

	if (r->status == HTTP_NOT_SENT)
		return FAILED;
	if (r->status != HTTP_COMPLETED)
		return UNKNOWN;
	if (r->response->status == 200)
		return now - job->first_us <= job->stream->deadline_us ? GOOD
								       : LATE;
	outcome = message_header(r->response, "mulberryferry-outcome");
	if (outcome && !strcmp(outcome, "not-run"))
		return REFUSED;
	return outcome && !strcmp(outcome, "unknown") ? UNKNOWN : FAILED;
}

static void count_result(struct counts *t, enum job_result v, double ms)
{
	switch (v) {
	case GOOD:
		t->good++;
		t->interval_good++;
		gsl_histogram_increment(t->ms, ms);
		break;
	case LATE:
		t->late++;
		break;
	case REFUSED:
		t->refused++;
		break;
	case FAILED:
		t->failed++;
		break;
	case UNKNOWN:
		t->unknown++;
		break;
	}
}

static void stop_when_done(int64_t now)
{
	if (now >= end_us && !jobs.count)
		net_stop(net);
}

static void finish_job(uint64_t handle, enum job_result v, int64_t now)
{
	struct job *job = table_get(&jobs, handle);
	double ms = (double)(now - job->first_us) / USEC_PER_MSEC;

	count_result(&job->stream->counts, v, ms);
	count_result(&total, v, ms);
	table_remove(&jobs, handle);
	stop_when_done(now);
}

static void retry(void *ctx, int64_t now)
{
	start_try((uint64_t)(uintptr_t)ctx, now);
}

/* Checks that the answer echoes the request ID of the try. */
static void check_answer(struct job *job, const struct message *m)
{
	const char *echoed = message_header(m, "x-request-id");
	char id[REQUEST_ID_SIZE];

	request_id(job, id);
	if (!echoed || strcmp(echoed, id) != 0) {
		job->stream->counts.mixed++;
		total.mixed++;
	}
	if (m->status != 200)
		read_reason(job->stream, m);
}

static void try_done(void *ctx, uint64_t handle, struct http_call_result *r,
		     int64_t now)
{
	struct job *job = table_get(&jobs, handle);
	enum job_result v;

	(void)ctx;
	v = classify_result(job, r, now);
	if (r->response)
		check_answer(job, r->response);
	if (v == GOOD || v == LATE || job->tries > job->stream->retries)
		finish_job(handle, v, now);
	else if (job->stream->retry_delay_us)
		net_at(net, now + job->stream->retry_delay_us, retry,
		       (void *)(uintptr_t)handle);
	else
		start_try(handle, now);
}

static void build_request(const struct job *job, struct message *m)
{
	const struct stream *s = job->stream;
	char text[REQUEST_ID_SIZE + NAME_SIZE];
	char byte = 'b';
	int64_t i;

	memcpy(m->method, s->method, sizeof(m->method));
	m->target = strdup(s->path);
	request_id(job, text);
	message_add_header(m, "x-request-id", text);
	if (*s->key) {
		snprintf(text, sizeof(text), "Bearer %s", s->key);
		message_add_header(m, "authorization", text);
	}
	if (s->once) {
		snprintf(text, sizeof(text), "\"c%lld-%llu\"", (long long)seed,
			 (unsigned long long)job->number);
		message_add_header(m, "idempotency-key", text);
	}
	snprintf(text, sizeof(text), "%lld",
		 (long long)(s->deadline_us / USEC_PER_MSEC));
	message_add_header(m, "mulberryferry-deadline-ms", text);
	for (i = 0; i < s->body_bytes; i++)
		buffer_append(&m->body, &byte, 1, BODY_LIMIT);
}

/* Sends the next try of a job to a random target. */
static void start_try(uint64_t handle, int64_t now)
{
	struct job *job = table_get(&jobs, handle);
	struct message m = {0};
	struct http_call call = {
		.request = &m,
		.deadline_us = now + job->stream->deadline_us,
		.tag = handle,
		.done = try_done,
	};
	size_t to = gsl_rng_uniform_int(rng, target_count);
	struct error err;

	job->tries++;
	job->stream->counts.tries++;
	job->stream->counts.interval_sent++;
	total.tries++;
	build_request(job, &m);
	if (!http_call_start(targets[to], &call, now, &err)) {
		log_error(LOG_ERR, "call", &err);
		finish_job(handle, FAILED, now);
	}
	message_free(&m);
}

/* Starts the jobs of a stream that are due, then waits for the next. */
static void start_due_jobs(void *ctx, int64_t now)
{
	struct stream *s = ctx;
	uint64_t handle;
	void *item;

	while (s->next_us <= now && s->next_us < end_us) {
		handle = table_add(&jobs, &item);
		s->next_us += (int64_t)gsl_ran_exponential(
			rng, (double)USEC_PER_SEC / s->rate);
		s->counts.jobs++;
		total.jobs++;
		if (!handle) {
			s->counts.failed++;
			total.failed++;
			continue;
		}
		*(struct job *)item = (struct job){
			.stream = s, .number = ++job_count, .first_us = now};
		start_try(handle, now);
	}
	if (s->next_us < end_us)
		net_at(net, s->next_us, start_due_jobs, s);
}

static void write_series(void *ctx, int64_t now)
{
	size_t i;

	(void)ctx;
	for (i = 0; series && i < stream_count; i++) {
		struct counts *t = &streams[i].counts;

		fprintf(series, "t_ms=%lld stream=%s sent=%lld good=%lld\n",
			(long long)((now - start_us) / USEC_PER_MSEC),
			streams[i].name, (long long)t->interval_sent,
			(long long)t->interval_good);
		t->interval_sent = t->interval_good = 0;
	}
	stop_when_done(now);
}

/* Returns a histogram with bins of equal width on a logarithmic scale. */
static gsl_histogram *new_histogram(void)
{
	gsl_histogram *h = gsl_histogram_alloc(HISTOGRAM_BINS);
	double ranges[HISTOGRAM_BINS + 1];
	double span = log(HISTOGRAM_MAX_MS / HISTOGRAM_MIN_MS);
	int i;

	for (i = 0; i <= HISTOGRAM_BINS; i++)
		ranges[i] = HISTOGRAM_MIN_MS * exp(span * i / HISTOGRAM_BINS);
	ranges[0] = 0;
	gsl_histogram_set_ranges(h, ranges, HISTOGRAM_BINS + 1);
	return h;
}

/* Returns the upper bound of the bin that contains quantile q. */
static double quantile(const gsl_histogram *h, double q)
{
	double lower, upper = 0, seen = 0, sum = gsl_histogram_sum(h);
	size_t i;

	for (i = 0; i < gsl_histogram_bins(h) && sum > 0; i++) {
		seen += gsl_histogram_get(h, i);
		if (seen < q * sum)
			continue;
		gsl_histogram_get_range(h, i, &lower, &upper);
		break;
	}
	return upper;
}

static void print_counts(const char *name, const struct counts *t)
{
	const struct reason_count *r;

	printf("stream=%s jobs=%lld tries=%lld good=%lld late=%lld "
	       "refused=%lld failed=%lld unknown=%lld mixed=%lld "
	       "p50_ms=%.2f p99_ms=%.2f",
	       name, (long long)t->jobs, (long long)t->tries,
	       (long long)t->good, (long long)t->late, (long long)t->refused,
	       (long long)t->failed, (long long)t->unknown, (long long)t->mixed,
	       quantile(t->ms, 0.5), quantile(t->ms, 0.99));
	for (r = t->reasons; r < t->reasons + REASONS_MAX && r->n; r++)
		printf(" reason.%s=%lld", r->name, (long long)r->n);
	printf("\n");
}

static struct json_object *member(struct json_object *o, const char *name)
{
	struct json_object *value;

	return json_object_object_get_ex(o, name, &value) ? value : NULL;
}

static const char *text_member(struct json_object *o, const char *name)
{
	const char *s = json_object_get_string(member(o, name));

	return s ? s : "";
}

static int64_t ms_member(struct json_object *o, const char *name)
{
	return json_object_get_int64(member(o, name)) * USEC_PER_MSEC;
}

static int read_stream(struct json_object *o)
{
	struct stream *s = &streams[stream_count];

	if (stream_count == STREAMS_MAX)
		return -1;
	s->name = text_member(o, "name");
	s->key = text_member(o, "key");
	s->path = text_member(o, "path");
	s->rate = json_object_get_double(member(o, "rate"));
	s->deadline_us = ms_member(o, "deadline_ms");
	s->retries = json_object_get_int64(member(o, "retries"));
	s->retry_delay_us = ms_member(o, "retry_delay_ms");
	s->once = json_object_get_boolean(member(o, "once"));
	s->body_bytes = json_object_get_int64(member(o, "body_bytes"));
	s->counts.ms = new_histogram();
	if (!*s->name || *s->path != '/' || s->rate <= 0 ||
	    s->deadline_us <= 0 ||
	    copy_name(s->method, sizeof(s->method), text_member(o, "method")))
		return -1;
	stream_count++;
	return 0;
}

/* Reads the plan. The streams keep pointers into its strings. */
static int read_plan(struct json_object *plan)
{
	struct json_object *to = member(plan, "to");
	struct json_object *list = member(plan, "streams");
	size_t i;

	seconds = json_object_get_int64(member(plan, "seconds"));
	seed = json_object_get_int64(member(plan, "seed"));
	if (!json_object_is_type(to, json_type_array) ||
	    !json_object_is_type(list, json_type_array) || seconds <= 0)
		return -1;
	target_count = json_object_array_length(to);
	if (!target_count || target_count > TARGETS_MAX)
		return -1;
	for (i = 0; i < target_count; i++)
		if (addr_parse(&target_addrs[i],
			       json_object_get_string(
				       json_object_array_get_idx(to, i))) < 0)
			return -1;
	for (i = 0; i < json_object_array_length(list); i++)
		if (read_stream(json_object_array_get_idx(list, i)) < 0)
			return -1;
	return 0;
}

static int open_targets(struct error *err)
{
	struct http_pool_options o = {
		.connections_max = CONNECTIONS_PER_TARGET,
		.body_limit = BODY_LIMIT,
		.idle_timeout_us = IDLE_TIMEOUT_US,
	};
	size_t i;

	net = net_open(err);
	if (!net)
		return -1;
	for (i = 0; i < target_count; i++) {
		o.addr = target_addrs[i];
		targets[i] = http_pool_open(net, &o, err);
		if (!targets[i])
			return -1;
	}
	return 0;
}

static void run(void)
{
	size_t i;

	start_us = clock_monotonic_us();
	end_us = start_us + seconds * USEC_PER_SEC;
	for (i = 0; i < stream_count; i++) {
		streams[i].next_us =
			start_us +
			(int64_t)gsl_ran_exponential(
				rng, (double)USEC_PER_SEC / streams[i].rate);
		net_at(net, streams[i].next_us, start_due_jobs, &streams[i]);
	}
	net_every(net, SERIES_INTERVAL_US, write_series, NULL);
	net_run(net);
	for (i = 0; i < stream_count; i++)
		print_counts(streams[i].name, &streams[i].counts);
	print_counts("total", &total);
}

static const struct argp_option options[] = {
	{"series", 's', "FILE", 0, "write tries sent and jobs good per 100 ms",
	 0},
	{0},
};

static error_t parse(int key, char *arg, struct argp_state *state)
{
	switch (key) {
	case 's':
		opt.series = arg;
		return 0;
	case ARGP_KEY_ARG:
		if (opt.file)
			argp_usage(state);
		opt.file = arg;
		return 0;
	case ARGP_KEY_NO_ARGS:
		argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int main(int argc, char **argv)
{
	const struct argp argp = {
		.options = options, .parser = parse, .args_doc = "PLAN"};
	struct json_object *plan;
	struct error err;

	if (argp_parse(&argp, argc, argv, 0, NULL, NULL))
		return 1;
	plan = json_object_from_file(opt.file);
	if (!plan || read_plan(plan) < 0) {
		fprintf(stderr, "%s: malformed load plan\n", opt.file);
		return 1;
	}
	if (opt.series && !(series = fopen(opt.series, "w"))) {
		perror(opt.series);
		return 1;
	}
	rng = gsl_rng_alloc(gsl_rng_mt19937);
	gsl_rng_set(rng, (unsigned long)seed);
	total.ms = new_histogram();
	table_init(&jobs, sizeof(struct job), JOBS_MAX);
	if (open_targets(&err) < 0) {
		log_error(LOG_ERR, "start", &err);
		return 1;
	}
	run();
	net_close(net);
	if (series)
		fclose(series);
	return 0;
}
