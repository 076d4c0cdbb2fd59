#include <stdio.h>
#include <stdlib.h>

#include "cmd/client.h"

struct arguments {
	struct client client;
	unsigned long long number;
};

static error_t parse(int key, char *arg, struct argp_state *state)
{
	struct arguments *a = state->input;
	char *end;

	switch (key) {
	case ARGP_KEY_INIT:
		state->child_inputs[0] = &a->client;
		return 0;
	case ARGP_KEY_ARG:
		a->number = strtoull(arg, &end, 10);
		if (*arg < '1' || *arg > '9' || *end)
			argp_error(state, "%s is not the number of a note",
				   arg);
		return 0;
	case ARGP_KEY_NO_ARGS:
		argp_error(state,
			   "no note number given; 'note history' lists them");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp_child children[] = {{.argp = &client_argp}, {0}};

static const struct argp argp = {
	.parser = parse,
	.args_doc = "NUMBER",
	.doc = "Prints a release note as its operator wrote "
	       "it.\v" EXIT_CODES_TEXT,
	.children = children,
};

/* mulberryferry note show: returns an exit_code. */
int cmd_note_show(int argc, char **argv)
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
	snprintf(target, sizeof(target), "/v1/notes/%llu", a.number);
	rc = client_get(&a.client, target, &response);
	if (rc != EXIT_OK)
		return rc;
	if (a.client.json)
		client_print_json(response.body);
	else
		printf("// note %llu, release %s, by %s at %s\n%s\n", a.number,
		       json_text(response.body, "release"),
		       json_text(response.body, "operator"),
		       json_text(response.body, "time"),
		       json_text(response.body, "text"));
	client_response_free(&response);
	return EXIT_OK;
}
