/* Differences between two configurations, member by member. */
#include "conf/conf_impl.h"
#include "conf/findings.h"

#include <stdio.h>
#include <string.h>

#define COUNT(a) (sizeof(a) / sizeof(*(a)))

static const char *const effects[] = {"by method", "idempotent",
				      "not idempotent", NULL};

/* Members of the platform's document that notes do not have. */
static const struct field service_fields[] = {
	{"connections", .kind = FIELD_COUNT,
	 .offset = offsetof(struct service, connections)},
};
static const struct field route_fields[] = {
	{"host_prefix", .kind = FIELD_PATTERN,
	 .offset = offsetof(struct route, host_prefix)},
	{"effect", .kind = FIELD_CHOICE,
	 .offset = offsetof(struct route, effect), .choices = effects},
	{"target_ms", .kind = FIELD_TIME,
	 .offset = offsetof(struct route, target_us), .unit_us = USEC_PER_MSEC},
};
static const struct field account_fields[] = {
	{"unlimited", .kind = FIELD_BOOL,
	 .offset = offsetof(struct account, unlimited)},
	{"rank", .kind = FIELD_COUNT, .offset = offsetof(struct account, rank)},
};
static const struct field limit_fields[] = {
	{"head_bytes", .kind = FIELD_BYTES,
	 .offset = offsetof(struct caller_limits, head_bytes)},
	{"body_bytes", .kind = FIELD_BYTES,
	 .offset = offsetof(struct caller_limits, body_bytes)},
	{"head_timeout_ms", .kind = FIELD_TIME, .unit_us = USEC_PER_MSEC,
	 .offset = offsetof(struct caller_limits, head_timeout_us)},
	{"idle_timeout_ms", .kind = FIELD_TIME, .unit_us = USEC_PER_MSEC,
	 .offset = offsetof(struct caller_limits, idle_timeout_us)},
};

/* Formats a member; keys are never shown. */
static void format_member(const struct field *f, const char *at, char text[128])
{
	struct json_object *o = NULL;

	if (f->kind == FIELD_HASH) {
		snprintf(text, 128, "(hidden)");
		return;
	}
	if (f->kind == FIELD_BYTES)
		o = json_object_new_int64((int64_t) *
					  (const size_t *)(const void *)at);
	else
		o = field_json(f, at);
	snprintf(text, 128, "%s",
		 json_object_to_json_string_ext(
			 o, JSON_C_TO_STRING_PLAIN |
				    JSON_C_TO_STRING_NOSLASHESCAPE));
	json_object_put(o);
}

static bool is_equal(const struct field *f, const char *a, const char *b)
{
	char x[128], y[128];

	if (f->kind == FIELD_HASH)
		return !memcmp(a, b, KEY_HASH_SIZE);
	if (f->kind == FIELD_REGIONS)
		return !memcmp(a, b, sizeof(struct region_set));
	if (f->kind == FIELD_PATTERN)
		return !strcmp(a, b);
	if (f->kind == FIELD_TIME)
		return *(const int64_t *)(const void *)a ==
		       *(const int64_t *)(const void *)b;
	format_member(f, a, x);
	format_member(f, b, y);
	return !strcmp(x, y);
}

static void compare_fields(const struct field *fields, size_t n,
			   const char *old, const char *new, const char *item,
			   struct findings *f)
{
	const struct field *field;
	char from[128], to[128];

	for (field = fields; field < fields + n; field++) {
		if (is_equal(field, old + field->offset, new + field->offset))
			continue;
		format_member(field, old + field->offset, from);
		format_member(field, new + field->offset, to);
		findings_add(f, FINDING_CHANGED, item, "%s: %s -> %s",
			     field->name, from, to);
	}
}

static void format_split(const struct route *r, char text[128])
{
	size_t i, len = 0;

	text[0] = 0;
	for (i = 0; r->split && i < r->split->n && len < 128; i++)
		len += (size_t)snprintf(
			text + len, 128 - len, "%s%s:%g", i ? "," : "",
			r->split->parts[i].service, r->split->parts[i].weight);
	if (!r->split)
		snprintf(text, 128, "none");
}

static bool same_split(const struct split *a, const struct split *b)
{
	if (!a || !b)
		return a == b;
	return a->n == b->n &&
	       !memcmp(a->parts, b->parts, a->n * sizeof(*a->parts));
}

static void compare_routes(const struct route *old, const struct route *new,
			   const char *item, struct findings *f)
{
	char from[128], to[128];

	compare_fields(route_fields, COUNT(route_fields), (const char *)old,
		       (const char *)new, item, f);
	if (same_split(old->split, new->split))
		return;
	format_split(old, from);
	format_split(new, to);
	findings_add(f, FINDING_CHANGED, item, "traffic split: %s -> %s", from,
		     to);
}

static void compare_items(enum section_kind kind, const union item *old,
			  const union item *new, const char *item,
			  struct findings *f)
{
	const char *a = old->name, *b = new->name;

	compare_fields(kinds[kind].fields, kinds[kind].field_count, a, b, item,
		       f);
	switch (kind) {
	case SECTION_SERVICES:
		compare_fields(service_fields, COUNT(service_fields), a, b,
			       item, f);
		break;
	case SECTION_ROUTES:
		compare_routes(&old->route, &new->route, item, f);
		break;
	case SECTION_ACCOUNTS:
		compare_fields(account_fields, COUNT(account_fields), a, b,
			       item, f);
		break;
	case SECTION_KEYS:
	case SECTION_OPERATORS:
		break;
	}
}

static void compare_sections(const struct config *in_force,
			     const struct config *c, enum section_kind kind,
			     struct findings *f)
{
	const struct section *old = &in_force->by_name[kind];
	const struct section *new = &c->by_name[kind];
	const char *name = NULL;
	char item[NAME_SIZE + 16];
	const void *other;

	while ((name = section_next(old, name))) {
		snprintf(item, sizeof(item), "%s %s", kinds[kind].singular,
			 name);
		other = section_find(new, name);
		if (!other)
			findings_add(f, FINDING_WITHDRAWN, item,
				     "it is not in the new version");
		else if (other != name)
			compare_items(kind, (const void *)name, other, item, f);
	}
	while ((name = section_next(new, name))) {
		if (section_find(old, name))
			continue;
		snprintf(item, sizeof(item), "%s %s", kinds[kind].singular,
			 name);
		findings_add(f, FINDING_ADDED, item,
			     "it is not in the version in force");
	}
}

void config_compare(const struct config *in_force, const struct config *c,
		    struct findings *f)
{
	int kind;

	for (kind = 0; kind < SECTIONS; kind++)
		compare_sections(in_force, c, (enum section_kind)kind, f);
	compare_fields(limit_fields, COUNT(limit_fields),
		       (const char *)&in_force->limits,
		       (const char *)&c->limits, "limits", f);
	if (in_force->mode != c->mode)
		findings_add(f, FINDING_CHANGED, "overload", "mode: %s -> %s",
			     overload_mode_name(in_force->mode),
			     overload_mode_name(c->mode));
}
