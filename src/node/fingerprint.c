#define XXH_STATIC_LINKING_ONLY /* for a hash state on the stack */
#include <xxhash.h>

#include <string.h>

#include "node/node.h"

/* Adds a text with its end, so that neighbours can't be confused. */
static void add_text(XXH3_state_t *state, const char *text)
{
	if (!text)
		text = "";
	XXH3_128bits_update(state, text, strlen(text) + 1);
}

/* Who sent it: the account, or the service for requests without one. */
static void add_sender(XXH3_state_t *state, const struct node *n,
		       const struct message *m, const char *account)
{
	const char *caller = n->headers->caller;

	add_text(state, account[0] ? "account" : "service");
	if (account[0])
		add_text(state, account);
	else if (caller)
		add_text(state, message_header(m, caller));
}

void fingerprint_of(const struct node *n, const struct message *m,
		    const char *account, struct fingerprint *id)
{
	XXH3_state_t state;
	XXH128_hash_t hash;

	XXH3_128bits_reset_withSeed(&state, n->admit_key);
	add_text(&state, m->method);
	add_text(&state, message_header(m, "host"));
	add_text(&state, m->target);
	add_sender(&state, n, m, account);
	if (m->body.len)
		XXH3_128bits_update(&state, m->body.data, m->body.len);
	hash = XXH3_128bits_digest(&state);
	id->low = hash.low64;
	id->high = hash.high64;
}
