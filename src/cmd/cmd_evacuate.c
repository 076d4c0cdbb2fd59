#include <stdio.h>

#include "cmd/client.h"
#include "cmd/status_page.h"

struct arguments {
	struct client client;
	bool list;
	bool end;
	const char *data_centre;
};

static const struct argp_option options[] = {
	{"end", 'e', NULL, 0, "Put the data centre back into service", 0},
	{"list", 'l', NULL, 0,
	 "List evacuations, and on how many hosts they are in force", 0},
	{0},
};

static error_t parse(int key, char *arg, struct argp_state *state)
{
	struct arguments *a = state->input;

	switch (key) {
	case ARGP_KEY_INIT:
		state->child_inputs[0] = &a->client;
		return 0;
	case 'e':
		a->end = true;
		return 0;
	case 'l':
		a->list = true;
		return 0;
	case ARGP_KEY_ARG:
		if (a->data_centre)
			argp_usage(state);
		a->data_centre = arg;
		return 0;
	case ARGP_KEY_END:
		if (a->list ? a->end || a->data_centre : !a->data_centre)
			argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp_child children[] = {{.argp = &client_argp}, {0}};

static const struct argp argp = {
	.options = options,
	.parser = parse,
	.args_doc = "DATA_CENTRE\n--list",
	.doc = "Takes a data centre out of service, puts it back, or lists "
	       "those that are out of service.\v" EXIT_CODES_TEXT,
	.children = children,
};

static int list(const struct client *c)
{
	struct client_response response;
	int rc = client_get(c, "/v1/evacuations", &response);

	if (rc != EXIT_OK)
		return rc;
	if (c->json)
		client_print_json(response.body);
	else if (!status_page_print_evacuations(response.body))
		printf("none\n");
	client_response_free(&response);
	return EXIT_OK;
}

static int change(const struct client *c, const char *data_centre, bool end)
{
	struct client_response response;
	struct buffer target = {0};
	int rc;

	buffer_printf(&target, "/v1/evacuations/");
	client_escape(&target, data_centre);
	rc = client_call(c, end ? "DELETE" : "PUT", (char *)target.data, NULL,
			 &response);
	buffer_free(&target);
	if (rc != EXIT_OK)
		return rc;
	if (response.status != 200)
		rc = client_report_failure(&response);
	else
		printf("%s %s\n", end ? "ended" : "ordered", data_centre);
	client_response_free(&response);
	return rc;
}

/* mulberryferry evacuate: returns an exit_code. */
int cmd_evacuate(int argc, char **argv)
{
	struct arguments a = {0};
	int rc;

	if (argp_parse(&argp, argc, argv, 0, NULL, &a))
		return EXIT_USAGE;
	rc = client_prepare(&a.client);
	if (rc != EXIT_OK)
		return rc;
	return a.list ? list(&a.client)
		      : change(&a.client, a.data_centre, a.end);
}
