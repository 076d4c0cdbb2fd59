/* The command line: one file for each subcommand. */
#ifndef CMD_CMD_H
#define CMD_CMD_H

#include <stddef.h>

/* Exit codes that scripts may rely on. */
enum exit_code {
	EXIT_OK = 0,
	EXIT_FAILED = 1,   /* the operation was refused or failed */
	EXIT_USAGE = 2,	   /* the command line or an input file is wrong */
	EXIT_CONFLICT = 3, /* another operator was first */
	EXIT_UNREACHABLE = 4,
};

#define EXIT_CODES_TEXT                                                   \
	"Exit codes: 0 done; 1 refused or failed; 2 the command line or " \
	"an input file is wrong; 3 another operator was first; 4 the "    \
	"node can't be reached."

/* A command or a subcommand, such as "apply" of "note". */
struct command {
	const char *name;
	int (*run)(int argc, char **argv);
	const char *help;
};

/*
 * Runs the command that the first argument names, with its full name as
 * argv[0], or prints help on the n commands. Returns an exit_code.
 */
int cmd_dispatch(const struct command *commands, size_t n, const char *prefix,
		 const char *doc, int argc, char **argv);

int cmd_main(int argc, char **argv);
int cmd_node(int argc, char **argv);
int cmd_note(int argc, char **argv);
int cmd_note_check(int argc, char **argv);
int cmd_note_apply(int argc, char **argv);
int cmd_note_show(int argc, char **argv);
int cmd_note_history(int argc, char **argv);
int cmd_config(int argc, char **argv);
int cmd_config_check(int argc, char **argv);
int cmd_key(int argc, char **argv);
int cmd_key_new(int argc, char **argv);
int cmd_explain(int argc, char **argv);
int cmd_status(int argc, char **argv);
int cmd_claims(int argc, char **argv);
int cmd_poison(int argc, char **argv);
int cmd_evacuate(int argc, char **argv);

#endif
