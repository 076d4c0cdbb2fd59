#include <argp.h>
#include <sodium.h>
#include <stdio.h>

#include "cmd/cmd.h"
#include "conf/conf.h"

#define KEY_RANDOM_BYTES 24

static bool as_json;

static const struct argp_option options[] = {
	{"json", 'j', NULL, 0, "Print key and hash as JSON", 0},
	{0},
};

static error_t parse(int key, char *arg, struct argp_state *state)
{
	(void)arg;
	(void)state;
	if (key != 'j')
		return ARGP_ERR_UNKNOWN;
	as_json = true;
	return 0;
}

static const struct argp argp = {
	.options = options,
	.parser = parse,
	.doc = "Generates a random key for a client account or an operator, "
	       "and "
	       "prints it only once, with its hash for a release "
	       "note.\v" EXIT_CODES_TEXT,
};

/* mulberryferry key new: returns an exit_code. */
int cmd_key_new(int argc, char **argv)
{
	char key[2 * KEY_RANDOM_BYTES + 1], hex[2 * KEY_HASH_SIZE + 1];
	uint8_t bytes[KEY_RANDOM_BYTES], hash[KEY_HASH_SIZE];

	if (argp_parse(&argp, argc, argv, 0, NULL, NULL))
		return EXIT_USAGE;
	if (sodium_init() < 0)
		return EXIT_FAILED;
	randombytes_buf(bytes, sizeof(bytes));
	sodium_bin2hex(key, sizeof(key), bytes, sizeof(bytes));
	key_hash(hash, key);
	sodium_bin2hex(hex, sizeof(hex), hash, sizeof(hash));
	if (as_json) {
		printf("{\"key\": \"%s\", \"hash\": \"%s\"}\n", key, hex);
		return EXIT_OK;
	}
	printf("key: %s\n\nHand it over now: it is kept nowhere. For a "
	       "release note, under added.keys:\n\n"
	       "\t{\"id\": \"NAME\", \"account\": \"ACCOUNT\",\n"
	       "\t \"hash\": \"%s\"}\n\n"
	       "or, for an operator, under added.operators:\n\n"
	       "\t{\"name\": \"NAME\", \"hash\": \"%s\"}\n",
	       key, hex, hex);
	return EXIT_OK;
}
