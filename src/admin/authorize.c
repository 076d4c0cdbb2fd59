#include "admin/admin_impl.h"

#include <sodium.h>
#include <string.h>
#include <strings.h>

/*
 * Whether this is the bootstrap key of the settings, which is valid only
 * while the configuration has no operators.
 */
static bool is_bootstrap(const struct settings *s, const struct config *c,
			 const uint8_t hash[KEY_HASH_SIZE])
{
	if (c && config_next_operator(c, NULL))
		return false;
	return !sodium_is_zero(s->bootstrap_operator, KEY_HASH_SIZE) &&
	       !sodium_memcmp(s->bootstrap_operator, hash, KEY_HASH_SIZE);
}

/*
 * Identifies the operator by the Authorization header, which may be NULL,
 * and checks its rights. Returns the HTTP status: 200, 401 without the key
 * of a known operator, or 403 when the key is read-only and access is
 * ACCESS_CHANGE.
 */
int admin_authorize(const struct settings *s, const struct config *c,
		    const char *authorization, enum access access,
		    struct operator_id *who)
{
	const struct operator_key *op = NULL;
	uint8_t hash[KEY_HASH_SIZE];

	memset(who, 0, sizeof(*who));
	if (access == ACCESS_OPEN)
		return 200;
	if (!authorization || strncasecmp(authorization, "Bearer ", 7) != 0)
		return 401;
	key_hash(hash, authorization + 7);
	if (is_bootstrap(s, c, hash)) {
		copy_name(who->name, sizeof(who->name), "bootstrap");
		return 200;
	}
	if (c)
		op = config_operator(c, hash);
	if (!op)
		return 401;
	memcpy(who->name, op->name, sizeof(who->name));
	memcpy(who->team, op->team, sizeof(who->team));
	return access == ACCESS_CHANGE && op->read_only ? 403 : 200;
}
