/*
 * Stand-in for the platform's key-value store: the part of the etcd v3 JSON
 * gateway that mulberryferry uses, with faults that can be set at run time.
 */
#include "store/gateway.h"

#include <argp.h>
#include <inttypes.h>
#include <libwebsockets.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HISTORY_MAX 20000
#define BODY_MAX (16 * 1024 * 1024)
#define WRITE_MAX (64 * 1024)
#define TICK_US (5 * USEC_PER_MSEC)
#define PERCENT 100
#define HTTP_OK 200

enum kind {
	KIND_RANGE,
	KIND_TXN,
	KIND_LEASE,
	KIND_WATCH,
	KIND_COUNT
};

static const char *const kind_names[KIND_COUNT] = {"range", "txn", "lease",
						   "watch"};

/* One HTTP request and its answer, or one watch. */
struct session {
	struct lws *wsi;
	struct session *next;
	char path[64];
	struct buffer in;
	struct buffer out;
	size_t sent;
	int64_t write_at_us;
	uint64_t next_event;
	struct gateway_range range;
	bool answered;
	bool watching;
};

static struct {
	struct kv *kv;
	struct lws_context *context;
	struct session *sessions;
	int64_t latency_us;
	uint32_t down;
	uint32_t lose_percent;
	uint32_t lose_next;
	uint64_t calls[KIND_COUNT];
	uint64_t lost;
	char listen[ADDR_TEXT_SIZE];
} standin = {.listen = "127.0.0.1:0"};

static volatile sig_atomic_t stopped;

static void queue_answer(struct session *s, int status, const char *body)
{
	buffer_printf(&s->out,
		      "HTTP/1.1 %d -\r\nContent-Type: application/json\r\n"
		      "Content-Length: %zu\r\n\r\n%s",
		      status, strlen(body), body);
	s->answered = true;
}

static void queue_chunk(struct session *s, struct json_object *o)
{
	const char *text =
		json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN);

	buffer_printf(&s->out, "%zx\r\n%s\n\r\n", strlen(text) + 1, text);
	json_object_put(o);
}

/* Tells whether to drop the response to a write that was executed. */
static bool lose_response(void)
{
	bool lose = standin.lose_next ||
		    randombytes_uniform(PERCENT) < standin.lose_percent;

	if (standin.lose_next)
		standin.lose_next--;
	standin.lost += lose;
	return lose;
}

static enum kind call_kind_of(const char *path)
{
	if (!strcmp(path, "/v3/kv/range"))
		return KIND_RANGE;
	if (!strcmp(path, "/v3/kv/txn"))
		return KIND_TXN;
	return !strcmp(path, "/v3/watch") ? KIND_WATCH : KIND_LEASE;
}

static int on_call(struct session *s, int64_t now)
{
	struct json_object *in = json_parse_complete(s->in.data, s->in.len);
	enum kind kind = call_kind_of(s->path);
	struct json_object *out;
	int status;

	standin.calls[kind]++;
	if (kind == KIND_WATCH) {
		s->watching = true;
		buffer_printf(&s->out, "HTTP/1.1 200 -\r\n"
				       "Content-Type: application/json\r\n"
				       "Transfer-Encoding: chunked\r\n\r\n");
		queue_chunk(s, gateway_watch(standin.kv, in, &s->range,
					     &s->next_event));
	} else {
		out = gateway_handle(standin.kv, s->path, in, now, &status);
		queue_answer(s, status,
			     json_object_to_json_string_ext(
				     out, JSON_C_TO_STRING_PLAIN));
		json_object_put(out);
	}
	json_object_put(in);
	if ((kind == KIND_TXN || kind == KIND_LEASE) && lose_response())
		return -1;
	s->write_at_us = now + standin.latency_us;
	return 0;
}

static void set_fault(struct lws *wsi, const char *name, uint32_t *value)
{
	char buf[32];
	const char *text = lws_get_urlarg_by_name(wsi, name, buf, sizeof(buf));

	if (text)
		*value = (uint32_t)strtoul(text, NULL, 10);
}

static void on_faults(struct session *s)
{
	uint32_t latency_ms = (uint32_t)(standin.latency_us / USEC_PER_MSEC);

	set_fault(s->wsi, "latency_ms=", &latency_ms);
	set_fault(s->wsi, "down=", &standin.down);
	set_fault(s->wsi, "lose_percent=", &standin.lose_percent);
	set_fault(s->wsi, "lose_next=", &standin.lose_next);
	standin.latency_us = latency_ms * USEC_PER_MSEC;
	queue_answer(s, HTTP_OK, "{}");
}

static void on_counts(struct session *s)
{
	struct json_object *o = json_object_new_object();
	uint64_t open = 0;
	int i;

	for (i = 0; i < KIND_COUNT; i++)
		json_object_object_add(
			o, kind_names[i],
			json_object_new_int64((int64_t)standin.calls[i]));
	for (struct session *w = standin.sessions; w; w = w->next)
		open += w->watching;
	json_object_object_add(o, "open_watches",
			       json_object_new_int64((int64_t)open));
	json_object_object_add(o, "lost",
			       json_object_new_int64((int64_t)standin.lost));
	queue_answer(s, HTTP_OK, json_object_to_json_string(o));
	json_object_put(o);
}

static void end_session(struct session *s)
{
	struct session **p = &standin.sessions;

	while (*p && *p != s)
		p = &(*p)->next;
	if (*p)
		*p = s->next;
	buffer_free(&s->in);
	buffer_free(&s->out);
	s->wsi = NULL;
	s->watching = false;
}

static int on_request(struct session *s, struct lws *wsi, const char *path)
{
	if (s->wsi)
		end_session(s);
	memset(s, 0, sizeof(*s));
	s->wsi = wsi;
	s->next = standin.sessions;
	standin.sessions = s;
	if (copy_name(s->path, sizeof(s->path), path) < 0)
		return -1;
	if (!strcmp(path, "/standin/faults"))
		on_faults(s);
	else if (!strcmp(path, "/standin/counts"))
		on_counts(s);
	else
		return standin.down ? -1 : 0;
	lws_callback_on_writable(wsi);
	return 0;
}

static void add_events(struct session *s)
{
	struct json_object *o;

	while (s->next_event && s->out.len - s->sent < WRITE_MAX) {
		o = gateway_next_event(standin.kv, &s->range, &s->next_event);
		if (!o)
			return;
		queue_chunk(s, o);
	}
}

static int on_writable(struct session *s, int64_t now)
{
	size_t n = s->out.len - s->sent;
	struct lws *wsi;

	if (!n || now < s->write_at_us)
		return 0;
	if (n > WRITE_MAX)
		n = WRITE_MAX;
	if (lws_write(s->wsi, s->out.data + s->sent, n, LWS_WRITE_HTTP) < 0)
		return -1;
	s->sent += n;
	if (s->sent < s->out.len) {
		lws_callback_on_writable(s->wsi);
		return 0;
	}
	s->out.len = 0;
	s->sent = 0;
	if (s->watching)
		return s->next_event ? 0 : -1;
	/* Completing the transaction may free the session. */
	wsi = s->wsi;
	end_session(s);
	return lws_http_transaction_completed(wsi) ? -1 : 0;
}

static int callback(struct lws *wsi, enum lws_callback_reasons reason,
		    void *user, void *in, size_t len)
{
	struct session *s = user;
	int64_t now = clock_monotonic_us();

	switch (reason) {
	case LWS_CALLBACK_HTTP:
		return on_request(s, wsi, in);
	case LWS_CALLBACK_HTTP_BODY:
		return buffer_append(&s->in, in, len, BODY_MAX);
	case LWS_CALLBACK_HTTP_BODY_COMPLETION:
		if (s->answered)
			return 0;
		if (on_call(s, now) < 0)
			return -1;
		lws_callback_on_writable(wsi);
		return 0;
	case LWS_CALLBACK_HTTP_WRITEABLE:
		return on_writable(s, now);
	case LWS_CALLBACK_CLOSED_HTTP:
		if (s && s->wsi)
			end_session(s);
		return 0;
	default:
		return lws_callback_http_dummy(wsi, reason, user, in, len);
	}
}

static void tick(lws_sorted_usec_list_t *timer)
{
	int64_t now = clock_monotonic_us();
	struct session *s;

	kv_expire(standin.kv, now);
	for (s = standin.sessions; s; s = s->next) {
		if (s->watching && standin.down)
			lws_set_timeout(s->wsi, PENDING_TIMEOUT_USER_OK,
					LWS_TO_KILL_ASYNC);
		if (s->watching)
			add_events(s);
		if (s->out.len > s->sent && now >= s->write_at_us)
			lws_callback_on_writable(s->wsi);
	}
	lws_sul_schedule(standin.context, 0, timer, tick, TICK_US);
}

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	switch (key) {
	case 'l':
		copy_name(standin.listen, sizeof(standin.listen), arg);
		return 0;
	case 't':
		standin.latency_us = strtol(arg, NULL, 10) * USEC_PER_MSEC;
		return 0;
	case 'p':
		standin.lose_percent = (uint32_t)strtoul(arg, NULL, 10);
		return 0;
	case 'd':
		standin.down = 1;
		return 0;
	case ARGP_KEY_ARG:
		argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp_option options[] = {
	{"listen", 'l', "ADDR", 0, "Listen on ADDR (127.0.0.1:0)", 0},
	{"latency-ms", 't', "N", 0, "Answer after N milliseconds", 0},
	{"lose-percent", 'p', "N", 0, "Drop the answers to N % of writes", 0},
	{"down", 'd', NULL, 0, "Start with the store down", 0},
	{0},
};

static const struct argp argp = {
	options,
	parse_option,
	NULL,
	"Stand-in for the platform's key-value store.\v"
	"PUT /standin/faults?latency_ms=N&down=0|1&lose_percent=N&lose_next=N "
	"sets faults; GET /standin/counts returns the number of calls by kind.",
	NULL,
	NULL,
	NULL};

static const struct lws_protocols protocols[] = {
	{.name = "http",
	 .callback = callback,
	 .per_session_data_size = sizeof(struct session)},
	{0},
};

static int listen_on(const char *text)
{
	struct lws_context_creation_info info = {0};
	char host[ADDR_TEXT_SIZE];
	struct lws_vhost *vhost;
	struct addr a;

	if (addr_parse(&a, text) < 0)
		return -1;
	addr_format_ip(&a, host);
	info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS;
	standin.context = lws_create_context(&info);
	if (!standin.context)
		return -1;
	info.port = a.port;
	info.iface = host;
	info.protocols = protocols;
	vhost = lws_create_vhost(standin.context, &info);
	if (!vhost)
		return -1;
	a.port = (uint16_t)lws_get_vhost_listen_port(vhost);
	addr_format(&a, host);
	printf("listening=%s\n", host);
	fflush(stdout);
	return 0;
}

static void on_signal(int signo)
{
	(void)signo;
	stopped = 1;
}

int main(int argc, char **argv)
{
	lws_sorted_usec_list_t timer = {0};

	argp_parse(&argp, argc, argv, 0, NULL, NULL);
	lws_set_log_level(LLL_ERR, NULL);
	standin.kv = kv_new(HISTORY_MAX);
	if (!standin.kv || listen_on(standin.listen) < 0) {
		fprintf(stderr, "store: cannot listen on %s\n", standin.listen);
		return EXIT_FAILURE;
	}
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);
	tick(&timer);
	while (!stopped && lws_service(standin.context, 0) >= 0)
		;
	lws_context_destroy(standin.context);
	kv_free(standin.kv);
	return EXIT_SUCCESS;
}
