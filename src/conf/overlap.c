#include "conf/conf_impl.h"

#include <stdio.h>

#define OVERLAP_TEXT_MAX 4096 /* bytes */

struct name_walk {
	struct json_object *other; /* items of the other note, or NULL */
	struct json_object *names; /* items of this note */
	struct buffer *out;
};

static void add_name(struct name_walk *w, const char *section, const char *name)
{
	char key[2 * NAME_SIZE];

	snprintf(key, sizeof(key), "%.63s %.63s", section, name);
	if (json_object_object_get_ex(w->names, key, NULL))
		return;
	json_object_object_add(w->names, key, NULL);
	if (w->other && json_object_object_get_ex(w->other, key, NULL) &&
	    w->out->len < OVERLAP_TEXT_MAX)
		buffer_printf(w->out, "%s%s", w->out->len ? ", " : "", key);
}

static void add_section(struct name_walk *w, const char *section,
			struct json_object *list)
{
	struct json_object *item, *name;
	size_t i;

	if (!json_object_is_type(list, json_type_array)) {
		add_name(w, section, "");
		return;
	}
	for (i = 0; i < json_object_array_length(list); i++) {
		item = json_object_array_get_idx(list, i);
		name = item;
		if (json_object_is_type(item, json_type_object) &&
		    !json_object_object_get_ex(item, "name", &name))
			json_object_object_get_ex(item, "id", &name);
		add_name(w, section, json_object_get_string(name) ?: "");
	}
}

/* Collects the items a note names; appends those in w->other to w->out. */
static void collect_names(struct name_walk *w, const char *text, size_t len)
{
	static const char *const parts[] = {"added", "changed", "withdrawn"};
	struct json_object *note, *sections;
	unsigned line;
	size_t i;

	w->names = json_object_new_object();
	note = json_read(text, len, &line, NULL);
	for (i = 0; note && i < sizeof(parts) / sizeof(*parts); i++) {
		if (!json_object_object_get_ex(note, parts[i], &sections) ||
		    !json_object_is_type(sections, json_type_object))
			continue;
		json_object_object_foreach(sections, section, list)
		{
			add_section(w, section, list);
		}
	}
	json_object_put(note);
}

/* At most about OVERLAP_TEXT_MAX bytes are appended. */
void note_overlap(struct buffer *out, const char *a, size_t a_len,
		  const char *b, size_t b_len)
{
	struct buffer found = {0};
	struct name_walk first = {0}, second = {.out = &found};

	collect_names(&first, a, a_len);
	second.other = first.names;
	collect_names(&second, b, b_len);
	if (found.len)
		buffer_printf(out, "%s", (char *)found.data);
	json_object_put(first.names);
	json_object_put(second.names);
	buffer_free(&found);
}
