#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "cmd/client.h"
#include "cmd/status_page.h"

#define WATCH_PERIOD_S 1
#define CLEAR_SCREEN "\033[H\033[J"

struct arguments {
	struct client client;
	bool watch;
};

static const struct argp_option options[] = {
	{"watch", 'w', NULL, 0, "Refresh every second until interrupted", 0},
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
	case 'w':
		a->watch = true;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp_child children[] = {{.argp = &client_argp}, {0}};

static const struct argp argp = {
	.options = options,
	.parser = parse,
	.doc = "Shows hosts, upstreams, cutoffs, accounts and where the newest "
	       "note is in force, as known to the node that is "
	       "queried.\v" EXIT_CODES_TEXT,
	.children = children,
};

/* Prints on how many hosts evacuations are in force, if there are any. */
static void print_evacuations(const struct client *c, struct json_object *page)
{
	struct client_response response;

	if (!json_length(json_member(page, "evacuations")) ||
	    client_get(c, "/v1/evacuations", &response) != EXIT_OK)
		return;
	printf("\n");
	status_page_print_evacuations(response.body);
	client_response_free(&response);
}

static void print_page(const struct client *c, struct json_object *page,
		       bool terminal)
{
	if (c->json) {
		client_print_json(page);
		return;
	}
	status_page_print(page, terminal);
	print_evacuations(c, page);
}

/* mulberryferry status: returns an exit_code. */
int cmd_status(int argc, char **argv)
{
	struct client_response response;
	struct arguments a = {0};
	bool terminal = isatty(STDOUT_FILENO);
	int rc;

	if (argp_parse(&argp, argc, argv, 0, NULL, &a))
		return EXIT_USAGE;
	rc = client_prepare(&a.client);
	while (rc == EXIT_OK) {
		rc = client_get(&a.client, "/v1/status", &response);
		if (rc != EXIT_OK)
			break;
		if (a.watch && terminal && !a.client.json)
			printf(CLEAR_SCREEN);
		print_page(&a.client, response.body, terminal);
		client_response_free(&response);
		if (!a.watch)
			break;
		fflush(stdout);
		sleep(WATCH_PERIOD_S);
	}
	return rc;
}
