#include "node/config_file.h"

#include "base/json.h"
#include "platform/platform.h"

/* Snapshots begin with the number of their version, notes with a letter. */
#define SNAPSHOT_FIRST_BYTE_MAX 8

static bool is_document(const void *data, size_t len)
{
	struct json_object *o = json_parse_complete(data, len);
	bool is = json_member(o, "version") && !json_member(o, "release");

	json_object_put(o);
	return is;
}

static struct config *read_note(const struct config *base, const void *data,
				size_t len, struct findings *f)
{
	struct config *empty = base ? NULL : config_new(), *c;
	struct note_faults faults = {0};
	size_t i;

	if (!base && !empty) {
		findings_add(f, FINDING_MALFORMED, "file", "out of memory");
		return NULL;
	}
	if (!base)
		base = empty;
	c = config_apply(base, config_number(base) + 1, len ? data : "", len,
			 NULL, &faults);
	for (i = 0; i < faults.n; i++)
		findings_add(f, FINDING_MALFORMED, faults.items[i].path, "%s",
			     faults.items[i].text);
	note_faults_free(&faults);
	config_put(empty);
	return c;
}

struct config *config_file_read(const struct config *base, const void *data,
				size_t len, struct findings *f)
{
	const uint8_t *first = data;
	struct error err = {0};
	struct config *c;

	if (len && *first <= SNAPSHOT_FIRST_BYTE_MAX)
		c = config_unpack(data, len, &err);
	else if (is_document(data, len))
		c = platform_config(data, len, &err);
	else
		return read_note(base, data, len, f);
	if (!c)
		findings_add(f, FINDING_MALFORMED, "file", "%s", err.text);
	return c;
}
