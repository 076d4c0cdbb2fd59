#include <stdio.h>
#include <stdlib.h>

#include "cmd/client.h"

struct arguments {
	struct client client;
	const char *after;
};

static const struct argp_option options[] = {
	{"after", 'f', "NUMBER", 0,
	 "List the notes after this one instead of the newest", 0},
	{0},
};

static error_t parse(int key, char *arg, struct argp_state *state)
{
	struct arguments *a = state->input;
	char *end;

	switch (key) {
	case ARGP_KEY_INIT:
		state->child_inputs[0] = &a->client;
		return 0;
	case 'f':
		(void)strtoull(arg, &end, 10);
		if (end == arg || *end || *arg == '-')
			argp_error(state, "--after %s: not a number", arg);
		a->after = arg;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp_child children[] = {{.argp = &client_argp}, {0}};

static const struct argp argp = {
	.options = options,
	.parser = parse,
	.doc = "Lists release notes: number, time, operator, "
	       "release.\v" EXIT_CODES_TEXT,
	.children = children,
};

static void print_notes(struct json_object *notes)
{
	struct json_object *o;
	size_t i;

	for (i = 0; i < json_length(notes); i++) {
		o = json_object_array_get_idx(notes, i);
		printf("%6lld  %s  %-20s %s\n",
		       (long long)json_number(o, "number"),
		       json_text(o, "time"), json_text(o, "operator"),
		       json_text(o, "release"));
	}
}

/* mulberryferry note history: returns an exit_code. */
int cmd_note_history(int argc, char **argv)
{
	struct client_response response;
	struct arguments a = {0};
	char target[64];
	int rc;

	if (argp_parse(&argp, argc, argv, 0, NULL, &a))
		return EXIT_USAGE;
	rc = client_prepare(&a.client);
	if (rc != EXIT_OK)
		return rc;
	snprintf(target, sizeof(target), "/v1/notes%s%.20s",
		 a.after ? "?after=" : "", a.after ? a.after : "");
	rc = client_get(&a.client, target, &response);
	if (rc != EXIT_OK)
		return rc;
	if (a.client.json)
		client_print_json(response.body);
	else
		print_notes(json_member(response.body, "notes"));
	client_response_free(&response);
	return EXIT_OK;
}
