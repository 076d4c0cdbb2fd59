#include <sodium.h>
#include <stdio.h>

#include "cmd/client.h"
#include "conf/conf.h"

struct arguments {
	struct client client;
	const char *file;
};

static error_t parse(int key, char *arg, struct argp_state *state)
{
	struct arguments *a = state->input;

	switch (key) {
	case ARGP_KEY_INIT:
		state->child_inputs[0] = &a->client;
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
	.parser = parse,
	.args_doc = "FILE",
	.doc = "Checks a release note: with --admin against the configuration "
	       "in "
	       "force, without it as if it were the first "
	       "note.\v" EXIT_CODES_TEXT,
	.children = children,
};

/* Checks the note as the first one of an empty configuration. */
static int check_offline(const struct arguments *a, const struct buffer *text)
{
	struct config *base = config_new(), *c;
	struct note_faults faults = {0};
	size_t i;

	if (!base)
		return EXIT_FAILED;
	c = config_apply(base, 1, (const char *)text->data, text->len, NULL,
			 &faults);
	for (i = 0; i < faults.n; i++)
		fprintf(stderr, "%s: %s: %s\n", a->file, faults.items[i].path,
			faults.items[i].text);
	note_faults_free(&faults);
	config_put(base);
	if (!c)
		return EXIT_USAGE;
	config_put(c);
	if (a->client.json)
		printf("{\"ok\": true}\n");
	else
		printf("%s: ok as a first note\n", a->file);
	return EXIT_OK;
}

static int check_on_node(struct arguments *a, const struct buffer *text)
{
	struct client_response response;
	int rc = client_prepare(&a->client);

	if (rc == EXIT_OK)
		rc = client_call(&a->client, "POST", "/v1/notes/check", text,
				 &response);
	if (rc != EXIT_OK)
		return rc;
	if (response.status != 200)
		rc = client_report_failure(&response);
	else if (a->client.json)
		client_print_json(response.body);
	else
		printf("%s: ok, would be note %lld\n", a->file,
		       (long long)json_number(response.body, "would_be"));
	client_response_free(&response);
	return rc;
}

/* mulberryferry note check: returns an exit_code. */
int cmd_note_check(int argc, char **argv)
{
	struct arguments a = {0};
	struct buffer text = {0};
	int rc;

	if (argp_parse(&argp, argc, argv, 0, NULL, &a) || sodium_init() < 0)
		return EXIT_USAGE;
	if (read_file(a.file, NOTE_TEXT_MAX, &text) < 0)
		return EXIT_USAGE;
	rc = a.client.admin ? check_on_node(&a, &text)
			    : check_offline(&a, &text);
	buffer_free(&text);
	return rc;
}
