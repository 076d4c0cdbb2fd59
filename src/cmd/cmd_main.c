#include "cmd/cmd.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

const char *argp_program_version = "mulberryferry " VERSION;

struct command {
	const char *name;
	int (*run)(int argc, char **argv);
	const char *help;
};

static const struct command commands[] = {
	{"node", cmd_node, "run the node of this host"},
};

#define COMMAND_COUNT (sizeof(commands) / sizeof(*commands))

struct top_arguments {
	const struct command *command;
	int first; /* index of the command in argv */
};

static char *list_commands(int key, const char *text, void *input)
{
	char *out = NULL;
	size_t len = 0, i;
	FILE *f;

	(void)input;
	if (key != ARGP_KEY_HELP_POST_DOC)
		return (char *)text;
	f = open_memstream(&out, &len);
	if (!f)
		return (char *)text;
	fprintf(f, "Commands:\n");
	for (i = 0; i < COMMAND_COUNT; i++)
		fprintf(f, "  %-10s %s\n", commands[i].name, commands[i].help);
	fprintf(f, "\n`mulberryferry COMMAND --help' tells more.");
	fclose(f);
	return out;
}

static error_t parse(int key, char *arg, struct argp_state *state)
{
	struct top_arguments *a = state->input;
	size_t i;

	switch (key) {
	case ARGP_KEY_ARG:
		for (i = 0; i < COMMAND_COUNT; i++)
			if (!strcmp(arg, commands[i].name))
				a->command = &commands[i];
		if (!a->command)
			argp_error(state, "no command '%s'", arg);
		a->first = state->next - 1;
		state->next = state->argc;
		return 0;
	case ARGP_KEY_NO_ARGS:
		argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp top = {
	.parser = parse,
	.args_doc = "COMMAND [ARGUMENTS...]",
	.doc = "Overload control for service call graphs.\v",
	.help_filter = list_commands,
};

/* Reads the subcommand and runs it; returns an exit_code. */
int cmd_main(int argc, char **argv)
{
	struct top_arguments a = {0};
	char name[64];

	argp_err_exit_status = EXIT_USAGE;
	if (argp_parse(&top, argc, argv, ARGP_IN_ORDER, NULL, &a))
		return EXIT_USAGE;
	snprintf(name, sizeof(name), "mulberryferry %s", a.command->name);
	argv[a.first] = name;
	return a.command->run(argc - a.first, argv + a.first);
}
