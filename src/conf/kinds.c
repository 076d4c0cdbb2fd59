#include "conf/conf_impl.h"

#define COUNT(a) (sizeof(a) / sizeof(*(a)))
#define RATE_MIN 0.001 /* requests per second */
#define RATE_MAX 1e7
#define DEADLINE_MAX_MS 600000
#define STALE_MAX_S (7 * 24 * 3600)

const char *const overload_modes[] = {"enforce", "observe", "off", NULL};
static const char *const shed_classes[] = {"first", "middle", "last", NULL};

#define AT(member) offsetof(struct service, member)
static const struct field service_fields[] = {
	{"name", .kind = FIELD_NAME, .offset = AT(name), .required = true},
	{"team", .kind = FIELD_NAME, .offset = AT(team)},
	{"retry_percent", .kind = FIELD_COUNT, .offset = AT(retry_percent),
	 .max = 100},
};
#undef AT

#define AT(member) offsetof(struct route, member)
static const struct field route_fields[] = {
	{"name", .kind = FIELD_NAME, .offset = AT(name), .required = true},
	{"team", .kind = FIELD_NAME, .offset = AT(team)},
	{"method", .kind = FIELD_METHOD, .offset = AT(method),
	 .required = true},
	{"path", .kind = FIELD_PATTERN, .offset = AT(pattern),
	 .required = true},
	{"service", .kind = FIELD_NAME, .offset = AT(service),
	 .required = true},
	{"shed", .kind = FIELD_CHOICE, .offset = AT(shed),
	 .choices = shed_classes},
	{"once", .kind = FIELD_BOOL, .offset = AT(once)},
	{"open", .kind = FIELD_BOOL, .offset = AT(anonymous)},
	{"deadline_ms", .kind = FIELD_TIME, .offset = AT(deadline_us), .min = 1,
	 .max = DEADLINE_MAX_MS, .unit_us = USEC_PER_MSEC},
	{"retries", .kind = FIELD_COUNT, .offset = AT(retries), .max = 100},
	{"allowed_regions", .kind = FIELD_REGIONS, .offset = AT(home)},
};
#undef AT

#define AT(member) offsetof(struct account, member)
static const struct field account_fields[] = {
	{"name", .kind = FIELD_NAME, .offset = AT(name), .required = true},
	{"team", .kind = FIELD_NAME, .offset = AT(team)},
	{"rate", .kind = FIELD_NUMBER, .offset = AT(rate), .required = true,
	 .min = RATE_MIN, .max = RATE_MAX},
	{"burst", .kind = FIELD_NUMBER, .offset = AT(burst), .required = true,
	 .min = 1, .max = RATE_MAX},
	{"weight", .kind = FIELD_COUNT, .offset = AT(weight), .min = 1,
	 .max = 1000},
	{"refuse_stale_s", .kind = FIELD_TIME, .offset = AT(refuse_stale_us),
	 .max = STALE_MAX_S, .unit_us = USEC_PER_SEC},
	{"allowed_regions", .kind = FIELD_REGIONS, .offset = AT(home)},
};
#undef AT

#define AT(member) offsetof(struct access_key, member)
static const struct field key_fields[] = {
	{"id", .kind = FIELD_NAME, .offset = AT(id), .required = true},
	{"account", .kind = FIELD_NAME, .offset = AT(account),
	 .required = true},
	{"hash", .kind = FIELD_HASH, .offset = AT(hash), .required = true},
};
#undef AT

#define AT(member) offsetof(struct operator_key, member)
static const struct field operator_fields[] = {
	{"name", .kind = FIELD_NAME, .offset = AT(name), .required = true},
	{"team", .kind = FIELD_NAME, .offset = AT(team)},
	{"hash", .kind = FIELD_HASH, .offset = AT(hash), .required = true},
	{"read_only", .kind = FIELD_BOOL, .offset = AT(read_only)},
};
#undef AT

static const struct service service_defaults = {.retry_percent = 10};
static const struct route route_defaults = {
	.shed = SHED_MIDDLE,
	.deadline_us = 2 * USEC_PER_SEC,
	.retries = 2,
};
static const struct account account_defaults = {.weight = 1};
static const struct access_key key_defaults;
static const struct operator_key operator_defaults;

#define KIND(section, singular, id, type, prefix)                            \
	{                                                                    \
		section, singular, id, sizeof(struct type), prefix##_fields, \
			COUNT(prefix##_fields), &prefix##_defaults           \
	}

/* In the order of enum section_kind. */
const struct kind_info kinds[SECTIONS] = {
	KIND("services", "service", "name", service, service),
	KIND("routes", "route", "name", route, route),
	KIND("accounts", "account", "name", account, account),
	KIND("keys", "key", "id", access_key, key),
	KIND("operators", "operator", "name", operator_key, operator),
};
