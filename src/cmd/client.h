/* Client of the administration API, used by the subcommands. */
#ifndef CMD_CLIENT_H
#define CMD_CLIENT_H

#include <argp.h>
#include "base/json.h"
#include <stdbool.h>

#include "base/base.h"
#include "cmd/cmd.h"

#define CLIENT_KEY_SIZE 512

/* Options common to the subcommands that call a node. */
struct client {
	const char *admin;
	const char *key_file;
	bool json;
	struct addr addr;
	char key[CLIENT_KEY_SIZE]; /* empty: no key */
};

/* Child parser of the common options; its input is a struct client. */
extern const struct argp client_argp;

struct client_response {
	int status;
	struct json_object *body; /* NULL if it was not JSON */
};

/*
 * Reads the address and the key. Returns an exit_code; errors are printed to
 * standard error.
 */
int client_prepare(struct client *c);
/*
 * Makes one call; body may be NULL. Returns EXIT_OK if a response was received,
 * whatever its status, or EXIT_UNREACHABLE with a message on standard error.
 */
int client_call(const struct client *c, const char *method, const char *target,
		const struct buffer *body, struct client_response *response);
void client_response_free(struct client_response *response);
/* Prints the error of a response other than 200; returns its exit_code. */
int client_report_failure(const struct client_response *response);
/*
 * Sends GET for a target. Returns EXIT_OK if the status is 200; for any other,
 * prints the error, frees the response and returns an exit_code.
 */
int client_get(const struct client *c, const char *target,
	       struct client_response *response);
void client_print_json(struct json_object *o);
/* Appends text to a query, percent-encoded. */
void client_escape(struct buffer *b, const char *text);

/* Member of an object; "" or 0 if there is none. */
const char *json_text(struct json_object *o, const char *name);
int64_t json_number(struct json_object *o, const char *name);
/* Length of an array; 0 for NULL or any other type. */
size_t json_length(struct json_object *o);

/*
 * Reads a whole file of up to limit bytes, "-" for standard input, and puts a
 * NUL after its end that len does not count. Returns -1 with a message on
 * standard error.
 */
int read_file(const char *path, size_t limit, struct buffer *out);

#endif
