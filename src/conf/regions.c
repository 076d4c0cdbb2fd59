/* Sets of region names: the home regions of routes and accounts. */
#include "conf/conf_impl.h"

#include <string.h>

bool region_set_has(const struct region_set *s, const char *name)
{
	size_t i;

	for (i = 0; i < s->count; i++)
		if (!strcmp(s->names[i], name))
			return true;
	return false;
}

/* A name that is in the set already is not added again. */
int region_set_add(struct region_set *s, const char *name)
{
	if (!*name)
		return -1;
	if (region_set_has(s, name))
		return 0;
	if (s->count == REGIONS_MAX ||
	    copy_name(s->names[s->count], NAME_SIZE, name) < 0)
		return -1;
	s->count++;
	return 0;
}

bool region_sets_meet(const struct region_set *a, const struct region_set *b)
{
	size_t i;

	if (!a->count || !b->count)
		return true;
	for (i = 0; i < a->count; i++)
		if (region_set_has(b, a->names[i]))
			return true;
	return false;
}

/*
 * Reads a list of 1 to REGIONS_MAX names; null empties the set, so that a note
 * can lift the restriction.
 */
void field_regions(struct reader *r, struct json_object *v,
		   struct region_set *out)
{
	struct region_set set = {0};
	char name[NAME_SIZE];
	size_t i, n, len;

	if (v && !json_object_is_type(v, json_type_array)) {
		reader_fault(r, "must be a list of regions, or null");
		return;
	}
	n = v ? json_object_array_length(v) : 0;
	if (v && (!n || n > REGIONS_MAX)) {
		reader_fault(r, "must have 1 to %d regions, or be null",
			     REGIONS_MAX);
		return;
	}
	for (i = 0; i < n; i++) {
		len = reader_enter_index(r, i);
		if (!field_name(r, json_object_array_get_idx(v, i), name))
			region_set_add(&set, name);
		reader_leave(r, len);
	}
	*out = set;
}

/* Returns the names as a list, or NULL for an empty set. */
struct json_object *regions_json(const struct region_set *s)
{
	struct json_object *list;
	size_t i;

	if (!s->count)
		return NULL;
	list = json_object_new_array();
	for (i = 0; i < s->count; i++)
		json_object_array_add(list,
				      json_object_new_string(s->names[i]));
	return list;
}
