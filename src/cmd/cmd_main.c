#include "cmd/cmd.h"

#include <argp.h>

const char *argp_program_version = "mulberryferry " VERSION;

static const struct command commands[] = {
	{"node", cmd_node, "run the node of this host"},
	{"note", cmd_note, "check, apply and read release notes"},
	{"config", cmd_config, "check configurations"},
	{"key", cmd_key, "generate keys"},
	{"explain", cmd_explain,
	 "explain what happened to a request or an account"},
	{"status", cmd_status, "show hosts, upstreams, cutoffs and limits"},
	{"claims", cmd_claims, "list once-only requests without an outcome"},
	{"evacuate", cmd_evacuate,
	 "take a data centre out of service, and put it back"},
	{"poison", cmd_poison, "list and lift requests that crash upstreams"},
};

/* Reads the subcommand and runs it; returns an exit_code. */
int cmd_main(int argc, char **argv)
{
	argp_err_exit_status = EXIT_USAGE;
	return cmd_dispatch(
		commands, sizeof(commands) / sizeof(*commands), "mulberryferry",
		"Overload control for service call graphs.", argc, argv);
}
