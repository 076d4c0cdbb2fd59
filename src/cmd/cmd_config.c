#include "cmd/cmd.h"

static const struct command commands[] = {
	{"check", cmd_config_check, "check a configuration before it is used"},
};

/* mulberryferry config: returns an exit_code. */
int cmd_config(int argc, char **argv)
{
	return cmd_dispatch(commands, sizeof(commands) / sizeof(*commands),
			    "mulberryferry config", "Checks configurations.",
			    argc, argv);
}
