#include "cmd/cmd.h"

static const struct command commands[] = {
	{"new", cmd_key_new, "generate a new key"},
};

/* mulberryferry key: returns an exit_code. */
int cmd_key(int argc, char **argv)
{
	return cmd_dispatch(commands, sizeof(commands) / sizeof(*commands),
			    "mulberryferry key", "Generates keys.", argc, argv);
}
