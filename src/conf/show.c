#include "conf/conf_impl.h"

#include <string.h>

/* Returns a member as notes have it; NULL for those that are not shown. */
struct json_object *field_json(const struct field *f, const char *at)
{
	switch (f->kind) {
	case FIELD_NAME:
	case FIELD_METHOD:
	case FIELD_PATTERN:
		return json_object_new_string(at);
	case FIELD_BOOL:
		return json_object_new_boolean(*(const bool *)at);
	case FIELD_COUNT:
		return json_object_new_int64(*(const uint32_t *)at);
	case FIELD_NUMBER:
		return json_object_new_double(*(const double *)at);
	case FIELD_TIME:
		return json_object_new_int64(*(const int64_t *)at / f->unit_us);
	case FIELD_CHOICE:
		return json_object_new_string(f->choices[*(const int *)at]);
	case FIELD_REGIONS:
		return regions_json((const void *)at);
	case FIELD_HASH: /* not shown to operators */
	case FIELD_BYTES:
	case FIELD_ADDR:
	case FIELD_OBJECT:
	case FIELD_OTHER:
		break;
	}
	return NULL;
}

/* Hashes are not shown, nor home regions of items that have none. */
static bool is_shown(const struct field *f, const char *at)
{
	if (f->kind == FIELD_REGIONS)
		return ((const struct region_set *)(const void *)at)->count;
	return f->kind != FIELD_HASH;
}

static struct json_object *section_json(const struct config *c, int kind)
{
	const struct kind_info *info = &kinds[kind];
	struct json_object *list = json_object_new_array(), *obj;
	const struct field *f;
	const char *item = NULL;

	while ((item = section_next(&c->by_name[kind], item))) {
		obj = json_object_new_object();
		for (f = info->fields; f < info->fields + info->field_count;
		     f++)
			if (is_shown(f, item + f->offset))
				json_object_object_add(
					obj, f->name,
					field_json(f, item + f->offset));
		json_object_array_add(list, obj);
	}
	return list;
}

/*
 * Appends a section ("services", "routes", "accounts", "keys", "operators")
 * as a JSON list with the members that notes use, or, with section NULL, an
 * object of all sections with number, release and overload mode. Hashes of
 * keys are left out. Returns -1 for an unknown section.
 */
int config_show(const struct config *c, const char *section, struct buffer *out)
{
	struct json_object *all = json_object_new_object();
	struct json_object *shown = section ? NULL : all;
	int kind, rc = -1;

	json_object_object_add(all, "number",
			       json_object_new_uint64(c->number));
	json_object_object_add(all, "release",
			       json_object_new_string(c->release));
	json_object_object_add(
		all, "overload",
		json_object_new_string(overload_mode_name(c->mode)));
	for (kind = 0; kind < SECTIONS; kind++) {
		if (section && strcmp(section, kinds[kind].section) != 0)
			continue;
		json_object_object_add(all, kinds[kind].section,
				       section_json(c, kind));
		if (section)
			shown = json_object_object_get(all, section);
	}
	if (shown)
		rc = buffer_printf(
			out, "%s",
			json_object_to_json_string_ext(
				shown, JSON_C_TO_STRING_PLAIN |
					       JSON_C_TO_STRING_NOSLASHESCAPE));
	json_object_put(all);
	return rc;
}
