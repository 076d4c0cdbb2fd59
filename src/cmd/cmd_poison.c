#include <stdio.h>
#include <string.h>

#include "cmd/client.h"

struct arguments {
	struct client client;
	const char *lift;
};

static const struct argp_option options[] = {
	{"lift", 'l', "FINGERPRINT", 0,
	 "Serve this request again, on all hosts", 0},
	{0},
};

static error_t parse(int key, char *arg, struct argp_state *state)
{
	struct arguments *a = state->input;

	switch (key) {
	case ARGP_KEY_INIT:
		state->child_inputs[0] = &a->client;
		return 0;
	case 'l':
		a->lift = arg;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp_child children[] = {{.argp = &client_argp}, {0}};

static const struct argp argp = {
	.options = options,
	.parser = parse,
	.doc = "Lists the requests under which upstreams ended, and lifts the "
	       "refusal of one.\v" EXIT_CODES_TEXT,
	.children = children,
};

static void print_poison(struct json_object *list)
{
	struct json_object *o;
	size_t i;

	for (i = 0; i < json_length(list); i++) {
		o = json_object_array_get_idx(list, i);
		printf("%-8s %s  service %s  upstreams ended %lld  for %lld s  "
		       "refused here %lld%s\n",
		       json_text(o, "state"), json_text(o, "fingerprint"),
		       json_text(o, "service"),
		       (long long)json_number(o, "ends"),
		       (long long)json_number(o, "refused_s"),
		       (long long)json_number(o, "refused_here"),
		       json_object_get_boolean(json_member(o, "tried"))
			       ? "  tried once more"
			       : "");
	}
	if (!i)
		printf("none\n");
}

static int list(const struct client *c)
{
	struct client_response response;
	int rc = client_get(c, "/v1/poison", &response);

	if (rc != EXIT_OK)
		return rc;
	if (c->json)
		client_print_json(response.body);
	else
		print_poison(json_member(response.body, "poison"));
	client_response_free(&response);
	return EXIT_OK;
}

static int lift(const struct client *c, const char *fingerprint)
{
	struct json_object *o = json_object_new_object();
	struct client_response response;
	struct buffer body = {0};
	int rc;

	json_object_object_add(o, "fingerprint",
			       json_object_new_string(fingerprint));
	buffer_printf(&body, "%s", json_object_to_json_string(o));
	json_object_put(o);
	rc = client_call(c, "POST", "/v1/poison/lift", &body, &response);
	buffer_free(&body);
	if (rc != EXIT_OK)
		return rc;
	if (response.status != 200)
		rc = client_report_failure(&response);
	else
		printf("lifted %s\n", fingerprint);
	client_response_free(&response);
	return rc;
}

/* mulberryferry poison: returns an exit_code. */
int cmd_poison(int argc, char **argv)
{
	struct arguments a = {0};
	int rc;

	if (argp_parse(&argp, argc, argv, 0, NULL, &a))
		return EXIT_USAGE;
	rc = client_prepare(&a.client);
	if (rc != EXIT_OK)
		return rc;
	return a.lift ? lift(&a.client, a.lift) : list(&a.client);
}
