#include <sodium.h>
#include <stdio.h>

#include "admin/admin.h"
#include "cmd/client.h"
#include "node/config_file.h"

/* The platform's store takes values of up to 1 MB; snapshots are larger. */
#define CONFIG_FILE_MAX (32 * 1024 * 1024)

/* Exit codes of this command only. */
enum {
	CHECK_OK = 0,
	CHECK_WARNINGS = 1,
	CHECK_ERRORS = 2,
};

struct arguments {
	struct client client;
	const char *file;
	const char *against;
	const char *node;
};

static const struct argp_option options[] = {
	{"against", 'g', "FILE", 0,
	 "Print the differences from the configuration in this file", 0},
	{"node", 'n', "ADDR", 0,
	 "Let this node check, and print the differences from the "
	 "configuration in force there",
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
	case 'g':
		a->against = arg;
		return 0;
	case 'n':
		a->node = arg;
		return 0;
	case ARGP_KEY_ARG:
		if (a->file)
			argp_error(state, "only one file can be given");
		a->file = arg;
		return 0;
	case ARGP_KEY_NO_ARGS:
		argp_error(state, "no file given");
		return 0;
	case ARGP_KEY_END:
		if (a->against && (a->node || a->client.admin))
			argp_error(state, "--against and --node exclude each "
					  "other");
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
	.doc = "Checks the platform's document, a snapshot or a release note. "
	       "Prints one line for each finding.\vExit codes: 0 no errors or "
	       "warnings; 1 warnings; 2 errors, or the command line or a file "
	       "is wrong; 4 the node can't be reached.",
	.children = children,
};

/* Prints the findings and returns the exit code. */
static int report(const struct arguments *a, struct json_object *o)
{
	struct json_object *list = json_member(o, "findings"), *at;
	size_t i;

	if (a->client.json)
		client_print_json(o);
	for (i = 0; !a->client.json && i < json_length(list); i++) {
		at = json_object_array_get_idx(list, i);
		printf("%s: %s: %s: %s\n", json_text(at, "severity"),
		       json_text(at, "kind"), json_text(at, "item"),
		       json_text(at, "text"));
	}
	if (json_number(o, "error"))
		return CHECK_ERRORS;
	return json_number(o, "warning") ? CHECK_WARNINGS : CHECK_OK;
}

/* Reads the file that the other is compared to; NULL without one. */
static int read_against(const char *path, struct config **c)
{
	struct findings f = {0};
	struct buffer text = {0};
	size_t i;

	*c = NULL;
	if (!path)
		return 0;
	if (read_file(path, CONFIG_FILE_MAX, &text) < 0)
		return -1;
	*c = config_file_read(NULL, text.data, text.len, &f);
	for (i = 0; !*c && i < f.n; i++)
		fprintf(stderr, "mulberryferry: %s: %s: %s\n", path,
			f.items[i].item, f.items[i].text);
	findings_free(&f);
	buffer_free(&text);
	return *c ? 0 : -1;
}

static int check_offline(const struct arguments *a, const struct buffer *text)
{
	struct json_object *o;
	struct config *in_force;
	int rc;

	if (read_against(a->against, &in_force) < 0)
		return EXIT_USAGE;
	o = admin_check_config(in_force, text->data, text->len);
	rc = report(a, o);
	json_object_put(o);
	config_put(in_force);
	return rc;
}

static int check_on_node(struct arguments *a, const struct buffer *text)
{
	struct client_response response;
	int rc = client_prepare(&a->client);

	if (rc == EXIT_OK)
		rc = client_call(&a->client, "POST", "/v1/config/check", text,
				 &response);
	if (rc != EXIT_OK)
		return rc;
	/* A refused check says nothing about the file: as a wrong command. */
	if (response.status == 200)
		rc = report(a, response.body);
	else if (client_report_failure(&response) != EXIT_OK)
		rc = EXIT_USAGE;
	client_response_free(&response);
	return rc;
}

/* mulberryferry config check: returns 0, 1 or 2 by the worst finding. */
int cmd_config_check(int argc, char **argv)
{
	struct arguments a = {0};
	struct buffer text = {0};
	int rc;

	if (argp_parse(&argp, argc, argv, 0, NULL, &a) || sodium_init() < 0)
		return EXIT_USAGE;
	if (a.node)
		a.client.admin = a.node;
	if (read_file(a.file, CONFIG_FILE_MAX, &text) < 0)
		return EXIT_USAGE;
	rc = a.client.admin ? check_on_node(&a, &text)
			    : check_offline(&a, &text);
	buffer_free(&text);
	return rc;
}
