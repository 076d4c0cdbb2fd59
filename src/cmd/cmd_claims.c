#include <stdio.h>

#include "cmd/client.h"

struct arguments {
	struct client client;
	bool unresolved;
};

static const struct argp_option options[] = {
	{"unresolved", 'u', NULL, 0,
	 "Only claims whose host is gone: the request may or may not have run",
	 0},
	{0},
};

static error_t parse(int key, char *arg, struct argp_state *state)
{
	struct arguments *a = state->input;

	(void)arg;
	switch (key) {
	case ARGP_KEY_INIT:
		state->child_inputs[0] = &a->client;
		return 0;
	case 'u':
		a->unresolved = true;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp_child children[] = {{.argp = &client_argp}, {0}};

static const struct argp argp = {
	.options = options,
	.parser = parse,
	.doc = "Lists once-only requests without an outcome.\v" EXIT_CODES_TEXT,
	.children = children,
};

static void print_claims(struct json_object *claims)
{
	struct json_object *o;
	size_t i;

	for (i = 0; i < json_length(claims); i++) {
		o = json_object_array_get_idx(claims, i);
		printf("%-10s %s  account %s  route %s  request %s\n",
		       json_text(o, "state"), json_text(o, "since"),
		       json_text(o, "account"), json_text(o, "route"),
		       json_text(o, "request"));
	}
	if (!i)
		printf("none\n");
}

/* mulberryferry claims: returns an exit_code. */
int cmd_claims(int argc, char **argv)
{
	struct client_response response;
	struct arguments a = {0};
	int rc;

	if (argp_parse(&argp, argc, argv, 0, NULL, &a))
		return EXIT_USAGE;
	rc = client_prepare(&a.client);
	if (rc == EXIT_OK)
		rc = client_get(&a.client,
				a.unresolved ? "/v1/claims?state=unresolved"
					     : "/v1/claims",
				&response);
	if (rc != EXIT_OK)
		return rc;
	if (a.client.json)
		client_print_json(response.body);
	else
		print_claims(json_member(response.body, "claims"));
	client_response_free(&response);
	return EXIT_OK;
}
