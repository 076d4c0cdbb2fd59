/* The command line: one file for each subcommand. */
#ifndef CMD_CMD_H
#define CMD_CMD_H

/* Exit codes that scripts may rely on. */
enum exit_code {
	EXIT_OK = 0,
	EXIT_FAILED = 1,   /* the operation was refused or failed */
	EXIT_USAGE = 2,	   /* the command line or an input file is wrong */
	EXIT_CONFLICT = 3, /* another operator was first */
	EXIT_UNREACHABLE = 4,
};

int cmd_main(int argc, char **argv);
int cmd_node(int argc, char **argv);

#endif
