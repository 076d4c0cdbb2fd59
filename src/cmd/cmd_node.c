#include "cmd/cmd.h"

#include <argp.h>
#include <malloc.h>
#include <sodium.h>
#include <stdio.h>
#include <unistd.h>

#include "conf/conf.h"
#include "node/node.h"

#define LARGE_ALLOCATION (256 * 1024) /* bytes */

struct node_arguments {
	const char *settings;
	bool check_only;
};

static const struct argp_option options[] = {
	{"settings", 's', "FILE", 0, "Settings in JSON with comments", 0},
	{"check", 'c', NULL, 0, "Check the settings and exit", 0},
	{0},
};

static error_t parse(int key, char *arg, struct argp_state *state)
{
	struct node_arguments *a = state->input;

	switch (key) {
	case 's':
		a->settings = arg;
		return 0;
	case 'c':
		a->check_only = true;
		return 0;
	case ARGP_KEY_END:
		if (!a->settings)
			argp_error(state, "--settings is required");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp argp = {
	.options = options,
	.parser = parse,
	.doc = "Runs the node of this host until SIGTERM.\v" EXIT_CODES_TEXT,
};

static int run(const struct settings *s, const char *path)
{
	struct error err = {0};
	struct node *n;

	/* The memory of large bodies goes back to the host at once. */
	mallopt(M_MMAP_THRESHOLD, LARGE_ALLOCATION);
	log_set_level(s->log_priority);
	log_open(STDOUT_FILENO);
	n = node_open(s, path, &err);
	if (!n)
		log_error(LOG_ERR, "start-failed", &err);
	log_flush(clock_monotonic_us());
	if (!n)
		return EXIT_FAILED;
	node_run(n);
	node_close(n);
	log_flush(clock_monotonic_us());
	return EXIT_OK;
}

/* mulberryferry node: returns an exit_code. */
int cmd_node(int argc, char **argv)
{
	struct node_arguments a = {0};
	struct error err = {0};
	struct settings s;

	if (argp_parse(&argp, argc, argv, 0, NULL, &a))
		return EXIT_USAGE;
	if (sodium_init() < 0)
		return EXIT_FAILED;
	if (settings_load(&s, a.settings, &err) < 0) {
		fprintf(stderr, "mulberryferry: %s: %s\n", err.peer, err.text);
		return EXIT_USAGE;
	}
	if (a.check_only) {
		printf("%s: ok\n", a.settings);
		return EXIT_OK;
	}
	return run(&s, a.settings);
}
