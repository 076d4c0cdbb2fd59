#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "cmd/client.h"
#include "conf/conf.h"

#define POLL_INTERVAL_US (250 * USEC_PER_MSEC)
#define WAIT_TIMEOUT_MAX_S 86400

struct arguments {
	struct client client;
	const char *file;
	long wait_s;
};

static const struct argp_option options[] = {
	{"wait", 'w', "SECONDS", 0,
	 "Wait until the note is in force on every host, and print on how many "
	 "it is",
	 0},
	{0},
};

static void read_wait(struct arguments *a, const char *arg,
		      struct argp_state *state)
{
	char *end;

	a->wait_s = strtol(arg, &end, 10);
	if (end == arg || *end || a->wait_s < 1 ||
	    a->wait_s > WAIT_TIMEOUT_MAX_S)
		argp_error(state, "--wait %s: not 1 to %d seconds", arg,
			   WAIT_TIMEOUT_MAX_S);
}

static error_t parse(int key, char *arg, struct argp_state *state)
{
	struct arguments *a = state->input;

	switch (key) {
	case ARGP_KEY_INIT:
		state->child_inputs[0] = &a->client;
		return 0;
	case 'w':
		read_wait(a, arg, state);
		return 0;
	case ARGP_KEY_ARG:
		if (a->file)
			argp_error(state, "only one file can be given");
		a->file = arg;
		return 0;
	case ARGP_KEY_NO_ARGS:
		argp_error(state, "no file given");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp_child children[] = {{.argp = &client_argp}, {0}};

static const struct argp argp = {
	.options = options,
	.parser = parse,
	.args_doc = "FILE",
	.doc = "Applies a release note as a whole, or reports every fault and "
	       "applies nothing. The same note may be sent again; a repeat is "
	       "recognised.\v" EXIT_CODES_TEXT " With --wait, 1 also means "
	       "that the note was accepted but is not yet in force on every "
	       "host.",
	.children = children,
};

/* How far the newest note has spread, as one node reports it. */
struct propagation {
	int64_t number; /* newest note of the reporting node */
	int64_t in_force;
	int64_t hosts;
};

static int fetch_propagation(const struct client *c, struct propagation *s)
{
	struct client_response response;
	int rc = client_get(c, "/v1/status", &response);

	if (rc != EXIT_OK)
		return rc;
	s->number = json_number(response.body, "number");
	s->in_force = json_number(response.body, "in_force");
	s->hosts = json_number(response.body, "hosts");
	client_response_free(&response);
	return EXIT_OK;
}

/*
 * Polls the node until note number is in force on all hosts that it knows, or
 * the wait time is over.
 */
static int wait_in_force(const struct arguments *a, int64_t number,
			 struct propagation *s)
{
	int64_t deadline_us = clock_monotonic_us() + a->wait_s * USEC_PER_SEC;
	bool terminal = isatty(STDERR_FILENO);
	int rc;

	for (;;) {
		rc = fetch_propagation(&a->client, s);
		if (rc != EXIT_OK)
			break;
		if (terminal)
			fprintf(stderr, "\rin force on %lld of %lld hosts ",
				(long long)s->in_force, (long long)s->hosts);
		if (s->number >= number && s->in_force == s->hosts)
			break;
		rc = EXIT_FAILED;
		if (clock_monotonic_us() >= deadline_us)
			break;
		usleep(POLL_INTERVAL_US);
	}
	if (terminal)
		fprintf(stderr, "\n");
	return rc;
}

static int print_result(const struct arguments *a, struct json_object *response)
{
	int64_t number = json_number(response, "number");
	struct propagation s = {0};
	int rc = EXIT_OK;

	if (a->wait_s)
		rc = wait_in_force(a, number, &s);
	if (rc == EXIT_UNREACHABLE)
		return rc;
	if (s.hosts) {
		json_object_object_add(response, "in_force",
				       json_object_new_int64(s.in_force));
		json_object_object_add(response, "hosts",
				       json_object_new_int64(s.hosts));
	}
	if (a->client.json) {
		client_print_json(response);
		return rc;
	}
	printf("note %lld%s\n", (long long)number,
	       json_number(response, "repeated") ? " (applied before)" : "");
	if (s.hosts)
		printf("in force on %lld of %lld hosts\n",
		       (long long)s.in_force, (long long)s.hosts);
	if (rc != EXIT_OK)
		fprintf(stderr, "mulberryferry: the note was accepted, but is "
				"not known to be in force on every host; see "
				"'mulberryferry status', with the key of an "
				"operator of the configuration now in force\n");
	return rc;
}

/* mulberryferry note apply: returns an exit_code. */
int cmd_note_apply(int argc, char **argv)
{
	struct client_response response;
	struct arguments a = {0};
	struct buffer text = {0};
	int rc;

	if (argp_parse(&argp, argc, argv, 0, NULL, &a))
		return EXIT_USAGE;
	rc = client_prepare(&a.client);
	if (rc != EXIT_OK)
		return rc;
	if (read_file(a.file, NOTE_TEXT_MAX, &text) < 0)
		return EXIT_USAGE;
	rc = client_call(&a.client, "POST", "/v1/notes", &text, &response);
	buffer_free(&text);
	if (rc != EXIT_OK)
		return rc;
	rc = response.status == 200 ? print_result(&a, response.body)
				    : client_report_failure(&response);
	client_response_free(&response);
	return rc;
}
