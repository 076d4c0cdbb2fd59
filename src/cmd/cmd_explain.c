#include <stdio.h>

#include "cmd/client.h"

struct arguments {
	struct client client;
	const char *id;
	const char *account;
	const char *since;
};

static const struct argp_option options[] = {
	{"account", 'A', "NAME", 0,
	 "Explain what happened to this client account", 0},
	{"since", 's', "TIME", 0,
	 "Start at this time: 02:00 (the most recent one, in UTC) or "
	 "2026-01-31T02:00:00Z; at most a day back",
	 0},
	{0},
};

static error_t parse(int key, char *arg, struct argp_state *state)
{
	struct arguments *a = state->input;

	switch (key) {
	case ARGP_KEY_INIT:
		state->child_inputs[0] = &a->client;
		return 0;
	case 'A':
		a->account = arg;
		return 0;
	case 's':
		a->since = arg;
		return 0;
	case ARGP_KEY_ARG:
		if (a->id)
			argp_error(state, "only one request can be given");
		a->id = arg;
		return 0;
	case ARGP_KEY_END:
		if (a->id && (a->account || a->since))
			argp_error(state, "either a request, or an account "
					  "and a time");
		if (!a->id && !a->account && !a->since)
			argp_error(state, "no request given; use REQUEST-ID, "
					  "--account or --since");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp_child children[] = {{.argp = &client_argp}, {0}};

static const struct argp argp = {
	.options = options,
	.parser = parse,
	.args_doc = "[REQUEST-ID]",
	.doc = "Explains what happened to a request on all hosts of its path, "
	       "or "
	       "to a client account since a given "
	       "time.\v" EXIT_CODES_TEXT
	       " The exit code is 1 if no host has a record of the request.",
	.children = children,
};

static void build_target(const struct arguments *a, struct buffer *target)
{
	const char *separator = "?";

	buffer_printf(target, "/v1/decisions");
	if (a->id) {
		buffer_printf(target, "?request=");
		client_escape(target, a->id);
		return;
	}
	if (a->account) {
		buffer_printf(target, "?account=");
		client_escape(target, a->account);
		separator = "&";
	}
	if (a->since) {
		buffer_printf(target, "%ssince=", separator);
		client_escape(target, a->since);
	}
}

static void print_sentences(struct json_object *sentences)
{
	size_t i;

	for (i = 0; i < json_length(sentences); i++)
		printf("%s\n", json_object_get_string(json_object_array_get_idx(
				       sentences, i)));
}

/* mulberryferry explain: returns an exit_code. */
int cmd_explain(int argc, char **argv)
{
	struct client_response response;
	struct arguments a = {0};
	struct buffer target = {0};
	int rc;

	if (argp_parse(&argp, argc, argv, 0, NULL, &a))
		return EXIT_USAGE;
	rc = client_prepare(&a.client);
	if (rc != EXIT_OK)
		return rc;
	build_target(&a, &target);
	rc = client_call(&a.client, "GET", (char *)target.data, NULL,
			 &response);
	buffer_free(&target);
	if (rc != EXIT_OK)
		return rc;
	if (response.status != 200)
		rc = EXIT_FAILED;
	if (!json_member(response.body, "sentences"))
		rc = client_report_failure(&response);
	else if (a.client.json)
		client_print_json(response.body);
	else
		print_sentences(json_member(response.body, "sentences"));
	client_response_free(&response);
	return rc;
}
