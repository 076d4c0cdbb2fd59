#include "cmd/client.h"

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "net/net.h"

#define CALL_TIMEOUT_US (30 * USEC_PER_SEC)
#define RESPONSE_MAX_BYTES (64 * 1024 * 1024)
#define KEY_VARIABLE "MULBERRYFERRY_KEY"
#define ADMIN_VARIABLE "MULBERRYFERRY_ADMIN"

static const struct argp_option options[] = {
	{"admin", 'a', "ADDR", 0,
	 "Admin listener of a node, IP address and port; defaults to the "
	 "environment variable " ADMIN_VARIABLE,
	 0},
	{"key-file", 'k', "FILE", 0,
	 "File with the operator's key; defaults to the key in the "
	 "environment variable " KEY_VARIABLE,
	 0},
	{"json", 'j', NULL, 0, "Print the response as JSON", 0},
	{0},
};

static error_t parse(int key, char *arg, struct argp_state *state)
{
	struct client *c = state->input;

	switch (key) {
	case 'a':
		c->admin = arg;
		return 0;
	case 'k':
		c->key_file = arg;
		return 0;
	case 'j':
		c->json = true;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

const struct argp client_argp = {.options = options, .parser = parse};

static int read_key(struct client *c)
{
	const char *text = getenv(KEY_VARIABLE);
	struct buffer file = {0};
	size_t len;

	if (c->key_file) {
		if (read_file(c->key_file, CLIENT_KEY_SIZE, &file) < 0)
			return EXIT_USAGE;
		text = (char *)file.data;
	}
	len = text ? strcspn(text, " \t\r\n") : 0;
	if (len >= sizeof(c->key)) {
		fprintf(stderr, "mulberryferry: the key is too long\n");
		buffer_free(&file);
		return EXIT_USAGE;
	}
	if (len)
		memcpy(c->key, text, len);
	c->key[len] = 0;
	buffer_free(&file);
	return EXIT_OK;
}

int client_prepare(struct client *c)
{
	if (!c->admin)
		c->admin = getenv(ADMIN_VARIABLE);
	if (!c->admin) {
		fprintf(stderr,
			"mulberryferry: no node given: use --admin ADDR or "
			"set " ADMIN_VARIABLE "\n");
		return EXIT_USAGE;
	}
	if (addr_parse(&c->addr, c->admin) < 0) {
		fprintf(stderr,
			"mulberryferry: --admin %s: not an IP address and "
			"port, "
			"such as 127.0.0.1:7103\n",
			c->admin);
		return EXIT_USAGE;
	}
	return read_key(c);
}

/* A call in progress. */
struct call {
	struct net *net;
	struct client_response *response;
	struct error err;
	bool received;
};

static void on_response(void *ctx, uint64_t tag, struct http_call_result *r,
			int64_t now)
{
	struct call *call = ctx;
	struct json_tokener *tok = json_tokener_new();

	(void)tag;
	(void)now;
	call->err = r->err;
	if (r->status == HTTP_COMPLETED) {
		call->received = true;
		call->response->status = r->response->status;
		if (tok && r->response->body.len)
			call->response->body = json_tokener_parse_ex(
				tok, (const char *)r->response->body.data,
				(int)r->response->body.len);
	}
	if (tok)
		json_tokener_free(tok);
	net_stop(call->net);
}

static int fill_request(const struct client *c, const char *method,
			const char *target, const struct buffer *body,
			struct message *m)
{
	char authorization[CLIENT_KEY_SIZE + 8];

	snprintf(m->method, sizeof(m->method), "%s", method);
	m->target = strdup(target);
	if (!m->target)
		return -1;
	if (*c->key) {
		snprintf(authorization, sizeof(authorization), "Bearer %s",
			 c->key);
		if (message_add_header(m, "authorization", authorization) < 0)
			return -1;
	}
	if (!body)
		return 0;
	if (message_add_header(m, "content-type", "application/json") < 0)
		return -1;
	return buffer_append(&m->body, body->data, body->len, SIZE_MAX);
}

static int start_call(struct call *call, const struct client *c,
		      const struct message *m)
{
	struct http_pool_options o = {.addr = c->addr,
				      .connections_max = 1,
				      .body_limit = RESPONSE_MAX_BYTES};
	int64_t now = clock_monotonic_us();
	struct http_call http = {.request = m,
				 .deadline_us = now + CALL_TIMEOUT_US,
				 .ctx = call,
				 .done = on_response};
	struct http_pool *pool = http_pool_open(call->net, &o, &call->err);

	return pool && http_call_start(pool, &http, now, &call->err) ? 0 : -1;
}

/* Runs the call on an event loop of its own. */
int client_call(const struct client *c, const char *method, const char *target,
		const struct buffer *body, struct client_response *a)
{
	struct call call = {.response = a};
	struct message m = {0};

	memset(a, 0, sizeof(*a));
	call.net = net_open(&call.err);
	if (call.net && !fill_request(c, method, target, body, &m) &&
	    !start_call(&call, c, &m))
		net_run(call.net);
	message_free(&m);
	net_close(call.net);
	if (call.received)
		return EXIT_OK;
	fprintf(stderr,
		"mulberryferry: no response from the node at %s: %s\nCheck "
		"that it is running there, or use another node.\n",
		c->admin, call.err.text);
	return EXIT_UNREACHABLE;
}

void client_response_free(struct client_response *a)
{
	json_object_put(a->body);
	a->body = NULL;
}

static void print_validation_errors(struct json_object *faults)
{
	struct json_object *f;
	size_t i;

	for (i = 0; i < json_length(faults); i++) {
		f = json_object_array_get_idx(faults, i);
		fprintf(stderr, "  %s: %s\n", json_text(f, "path"),
			json_text(f, "text"));
	}
}

/* Prints the error, its details and the suggested next step, if any. */
int client_report_failure(const struct client_response *a)
{
	const char *next = json_text(a->body, "next");

	fprintf(stderr, "mulberryferry: %s (status %d)\n",
		*json_text(a->body, "error") ? json_text(a->body, "error")
					     : "the node gave no reason",
		a->status);
	print_validation_errors(json_member(a->body, "faults"));
	if (*next)
		fprintf(stderr, "Next: %s.\n", next);
	switch (a->status) {
	case 409:
	case 412:
		return EXIT_CONFLICT;
	case 400:
	case 422:
		return EXIT_USAGE;
	default:
		return EXIT_FAILED;
	}
}

int client_get(const struct client *c, const char *target,
	       struct client_response *a)
{
	int rc = client_call(c, "GET", target, NULL, a);

	if (rc != EXIT_OK || a->status == 200)
		return rc;
	rc = client_report_failure(a);
	client_response_free(a);
	return rc;
}

/* Prints a JSON value, indented. */
void client_print_json(struct json_object *o)
{
	printf("%s\n", json_object_to_json_string_ext(
			       o, JSON_C_TO_STRING_PRETTY |
					  JSON_C_TO_STRING_NOSLASHESCAPE));
}

/* Letters, digits and "-._" stay as they are. */
void client_escape(struct buffer *b, const char *text)
{
	for (; *text; text++)
		if (isalnum((unsigned char)*text) || strchr("-._", *text))
			buffer_printf(b, "%c", *text);
		else
			buffer_printf(b, "%%%02X", (unsigned char)*text);
}

const char *json_text(struct json_object *o, const char *name)
{
	struct json_object *v = json_member(o, name);

	return v ? json_object_get_string(v) : "";
}

int64_t json_number(struct json_object *o, const char *name)
{
	return json_object_get_int64(json_member(o, name));
}

size_t json_length(struct json_object *o)
{
	return json_object_is_type(o, json_type_array)
		       ? json_object_array_length(o)
		       : 0;
}
