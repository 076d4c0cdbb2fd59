#include "cmd/cmd.h"

static const struct command commands[] = {
	{"check", cmd_note_check, "check a note without applying it"},
	{"apply", cmd_note_apply, "apply a note"},
	{"show", cmd_note_show, "print a note as it was written"},
	{"history", cmd_note_history, "list the notes applied"},
};

/* mulberryferry note: returns an exit_code. */
int cmd_note(int argc, char **argv)
{
	return cmd_dispatch(commands, sizeof(commands) / sizeof(*commands),
			    "mulberryferry note",
			    "Checks, applies and reads release notes.", argc,
			    argv);
}
