/* The administration API as the subcommands call it. */
#ifndef CMD_CLIENT_H
#define CMD_CLIENT_H

#include <argp.h>
#include "base/json.h"
#include <stdbool.h>

#include "base/base.h"
#include "cmd/cmd.h"

#define CLIENT_KEY_SIZE 512

/* Options that each subcommand with a node to ask has. */
struct client {
	const char *admin;
	const char *key_file;
	bool json;
	struct addr addr;
	char key[CLIENT_KEY_SIZE]; /* empty: none */
};

/* A child parser; its input is a struct client. */
extern const struct argp client_argp;

struct client_response {
	int status;
	struct json_object *body; /* NULL when it was no JSON */
};

/* Reads address and key; an exit_code, with the fault on standard error. */
int client_prepare(struct client *c);
/*
 * One call; body may be NULL. Returns EXIT_OK when an answer came, whatever
 * its status, or EXIT_UNREACHABLE with the fault on standard error.
 */
int client_call(const struct client *c, const char *method, const char *target,
		const struct buffer *body, struct client_response *a);
void client_response_free(struct client_response *a);
/* Prints the error of an answer that is not 200; returns its exit_code. */
int client_report_failure(const struct client_response *a);
/* GET of a target whose answer must be 200, or the fault is printed. */
int client_get(const struct client *c, const char *target,
	       struct client_response *a);
void client_print_json(struct json_object *o);
/* Appends text to a query with what is special there as %XX. */
void client_escape(struct buffer *b, const char *text);

/* Members of an object, or "" and 0. */
const char *json_text(struct json_object *o, const char *name);
int64_t json_number(struct json_object *o, const char *name);
/* Length of an array, 0 for NULL or anything else. */
size_t json_length(struct json_object *o);

int read_file(const char *path, size_t limit, struct buffer *out);

#endif
