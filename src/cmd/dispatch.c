#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cmd/cmd.h"

#define PROGRAM_NAME_SIZE 64

struct dispatch {
	const struct command *commands;
	size_t n;
	const char *prefix;
	const struct command *command;
	int command_index; /* in argv */
};

/* Help filter of argp: appends the list of commands to the help text. */
static char *list_commands(int key, const char *text, void *input)
{
	const struct dispatch *d = input;
	char *out = NULL;
	size_t len = 0, i;
	FILE *f;

	if (key != ARGP_KEY_HELP_POST_DOC || !d)
		return (char *)text;
	f = open_memstream(&out, &len);
	if (!f)
		return (char *)text;
	fprintf(f, "Commands:\n");
	for (i = 0; i < d->n; i++)
		fprintf(f, "  %-10s %s\n", d->commands[i].name,
			d->commands[i].help);
	fprintf(f, "\nSee `%s COMMAND --help' for details.", d->prefix);
	fclose(f);
	return out;
}

static error_t parse(int key, char *arg, struct argp_state *state)
{
	struct dispatch *d = state->input;
	size_t i;

	switch (key) {
	case ARGP_KEY_ARG:
		for (i = 0; i < d->n; i++)
			if (!strcmp(arg, d->commands[i].name))
				d->command = &d->commands[i];
		if (!d->command)
			argp_error(state, "no command '%s'", arg);
		d->command_index = state->next - 1;
		state->next = state->argc;
		return 0;
	case ARGP_KEY_NO_ARGS:
		argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int cmd_dispatch(const struct command *commands, size_t n, const char *prefix,
		 const char *doc, int argc, char **argv)
{
	struct dispatch d = {.commands = commands, .n = n, .prefix = prefix};
	char text[256], name[PROGRAM_NAME_SIZE];
	struct argp argp = {
		.parser = parse,
		.args_doc = "COMMAND [ARGUMENTS...]",
		.doc = text,
		.help_filter = list_commands,
	};

	snprintf(text, sizeof(text), "%s\v", doc);
	if (argp_parse(&argp, argc, argv, ARGP_IN_ORDER, NULL, &d))
		return EXIT_USAGE;
	snprintf(name, sizeof(name), "%s %s", prefix, d.command->name);
	argv[d.command_index] = name;
	return d.command->run(argc - d.command_index, argv + d.command_index);
}
