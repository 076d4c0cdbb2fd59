#include "cmd/cmd.h"

#include <argp.h>
#include <stdio.h>

const char *argp_program_version = "mulberryferry " VERSION;

static const struct argp top = {
	.args_doc = "COMMAND [ARGS...]",
	.doc = "Overload control for service call graphs.",
};

/* Reads the subcommand and runs it; returns an exit_code. */
int cmd_main(int argc, char **argv)
{
	if (argp_parse(&top, argc, argv, ARGP_IN_ORDER, NULL, NULL))
		return EXIT_USAGE;
	return EXIT_USAGE;
}
