/*
 * A snapshot is a flat sequence of msgpack scalars, so that a malformed
 * container length can't make the reader allocate memory. Items are written in
 * the order of their sections, so equal configurations give equal bytes.
 */
#include "conf/conf_impl.h"

#include <limits.h>
#include <math.h>
#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

/*
 * Version 2 has the home regions. It is written only if there are any, so that
 * nodes of earlier builds read all other snapshots and refuse these.
 */
#define SNAPSHOT_VERSION 1
#define SNAPSHOT_VERSION_HOMES 2
#define SNAPSHOT_SIZE_MAX (32 * 1024 * 1024) /* bytes */
#define ITEMS_MAX 1000000		     /* of one kind */

static int append(void *ctx, const char *data, size_t len)
{
	return buffer_append(ctx, data, len, SNAPSHOT_SIZE_MAX);
}

static int pack_text(msgpack_packer *pk, const char *text)
{
	return msgpack_pack_str_with_body(pk, text, strlen(text));
}

static int pack_regions(msgpack_packer *pk, const struct region_set *set)
{
	int rc = msgpack_pack_uint64(pk, set->count);
	size_t i;

	for (i = 0; !rc && i < set->count; i++)
		rc = pack_text(pk, set->names[i]);
	return rc;
}

static int pack_field(msgpack_packer *pk, const struct field *f, const void *at)
{
	switch (f->kind) {
	case FIELD_NAME:
	case FIELD_METHOD:
	case FIELD_PATTERN:
		return pack_text(pk, at);
	case FIELD_BOOL:
		return msgpack_pack_uint8(pk, *(const bool *)at);
	case FIELD_COUNT:
		return msgpack_pack_uint32(pk, *(const uint32_t *)at);
	case FIELD_NUMBER:
		return msgpack_pack_double(pk, *(const double *)at);
	case FIELD_TIME:
		return msgpack_pack_uint64(pk, *(const uint64_t *)at);
	case FIELD_CHOICE:
		return msgpack_pack_uint32(pk, *(const uint32_t *)at);
	case FIELD_HASH:
		return msgpack_pack_bin_with_body(pk, at, KEY_HASH_SIZE);
	case FIELD_REGIONS:
		return pack_regions(pk, at);
	case FIELD_BYTES:
	case FIELD_ADDR:
	case FIELD_OBJECT:
	case FIELD_OTHER:
		break;
	}
	return -1;
}

static bool in_version(const struct field *f, uint64_t version)
{
	return f->kind != FIELD_REGIONS || version >= SNAPSHOT_VERSION_HOMES;
}

static uint8_t version_of(const struct config *c)
{
	const struct account *a = NULL;
	const struct route *r = NULL;

	while ((r = config_next_route(c, r)))
		if (r->home.count)
			return SNAPSHOT_VERSION_HOMES;
	while ((a = config_next_account(c, a)))
		if (a->home.count)
			return SNAPSHOT_VERSION_HOMES;
	return SNAPSHOT_VERSION;
}

static int pack_kind(msgpack_packer *pk, const struct config *c, int kind,
		     uint64_t version)
{
	const struct kind_info *info = &kinds[kind];
	const char *item = NULL;
	int rc = msgpack_pack_uint64(pk, c->by_name[kind].n);
	size_t i;

	while (!rc && (item = section_next(&c->by_name[kind], item)))
		for (i = 0; !rc && i < info->field_count; i++)
			if (in_version(&info->fields[i], version))
				rc = pack_field(pk, &info->fields[i],
						item + info->fields[i].offset);
	return rc;
}

static int pack_releases(msgpack_packer *pk, const struct config *c)
{
	int rc = msgpack_pack_uint64(pk, c->first_release);
	const struct release *r;
	uint64_t i;

	for (i = c->first_release; !rc && i <= c->number; i++) {
		r = &c->releases[i % RELEASES_KEPT];
		rc = msgpack_pack_uint64(pk, r->name) ||
		     msgpack_pack_uint64(pk, r->text);
	}
	return rc;
}

/* Appends the configuration as msgpack; returns -1 on error. */
int config_pack(const struct config *c, struct buffer *out)
{
	uint8_t version = version_of(c);
	msgpack_packer pk;
	int rc, kind;

	msgpack_packer_init(&pk, out, append);
	rc = msgpack_pack_uint8(&pk, version) ||
	     msgpack_pack_uint64(&pk, c->number) ||
	     pack_text(&pk, c->release) || msgpack_pack_uint32(&pk, c->mode) ||
	     pack_releases(&pk, c);
	for (kind = 0; !rc && kind < SECTIONS; kind++)
		rc = pack_kind(&pk, c, kind, version);
	return rc ? -1 : 0;
}

struct unpacker {
	const char *data;
	size_t len;
	size_t offset;
	uint64_t version;
};

/* Reads one scalar; rejects containers before memory is allocated for them. */
static int unpack_scalar(struct unpacker *s, msgpack_object *o,
			 msgpack_object_type type)
{
	msgpack_unpacked u;
	uint8_t first;
	int rc;

	if (s->offset >= s->len)
		return -1;
	/* First bytes of arrays and maps: 0x80 to 0x9f and 0xdc to 0xdf. */
	first = (uint8_t)s->data[s->offset];
	if ((first >= 0x80 && first <= 0x9f) || first >= 0xdc)
		if (first < 0xe0)
			return -1;
	msgpack_unpacked_init(&u);
	rc = msgpack_unpack_next(&u, s->data, s->len, &s->offset);
	*o = u.data;
	msgpack_unpacked_destroy(&u);
	return rc == MSGPACK_UNPACK_SUCCESS && o->type == type ? 0 : -1;
}

static int unpack_uint(struct unpacker *s, uint64_t max, uint64_t *v)
{
	msgpack_object o;

	if (unpack_scalar(s, &o, MSGPACK_OBJECT_POSITIVE_INTEGER) < 0 ||
	    o.via.u64 > max)
		return -1;
	*v = o.via.u64;
	return 0;
}

static int unpack_text(struct unpacker *s, char *to, size_t size)
{
	msgpack_object o;

	if (unpack_scalar(s, &o, MSGPACK_OBJECT_STR) < 0 ||
	    o.via.str.size >= size)
		return -1;
	/* msgpack gives NULL for an empty string. */
	if (o.via.str.size)
		memcpy(to, o.via.str.ptr, o.via.str.size);
	to[o.via.str.size] = 0;
	return strlen(to) == o.via.str.size ? 0 : -1;
}

static int unpack_hash(struct unpacker *s, uint8_t *hash)
{
	msgpack_object o;

	if (unpack_scalar(s, &o, MSGPACK_OBJECT_BIN) < 0 ||
	    o.via.bin.size != KEY_HASH_SIZE)
		return -1;
	memcpy(hash, o.via.bin.ptr, KEY_HASH_SIZE);
	return 0;
}

static int unpack_number(struct unpacker *s, const struct field *f, double *v)
{
	msgpack_object o;

	if (unpack_scalar(s, &o, MSGPACK_OBJECT_FLOAT64) < 0 ||
	    !(o.via.f64 >= f->min && o.via.f64 <= f->max))
		return -1;
	*v = o.via.f64;
	return 0;
}

static int unpack_choice(struct unpacker *s, const char *const *choices, int *v)
{
	uint64_t n, max = 0;

	while (choices[max + 1])
		max++;
	if (unpack_uint(s, max, &n) < 0)
		return -1;
	*v = (int)n;
	return 0;
}

static int unpack_regions(struct unpacker *s, struct region_set *set)
{
	char name[NAME_SIZE];
	uint64_t n, i;

	if (unpack_uint(s, REGIONS_MAX, &n) < 0)
		return -1;
	for (i = 0; i < n; i++)
		if (unpack_text(s, name, sizeof(name)) < 0 ||
		    region_set_add(set, name) < 0)
			return -1;
	return set->count == n ? 0 : -1;
}

static int unpack_field(struct unpacker *s, const struct field *f, void *at)
{
	uint64_t n;

	switch (f->kind) {
	case FIELD_NAME:
		return unpack_text(s, at, NAME_SIZE);
	case FIELD_METHOD:
		return unpack_text(s, at, METHOD_SIZE);
	case FIELD_PATTERN:
		return unpack_text(s, at, PATTERN_SIZE) < 0 || pattern_fault(at)
			       ? -1
			       : 0;
	case FIELD_BOOL:
		if (unpack_uint(s, 1, &n) < 0)
			return -1;
		*(bool *)at = n;
		return 0;
	case FIELD_COUNT:
		if (unpack_uint(s, UINT32_MAX, &n) < 0)
			return -1;
		*(uint32_t *)at = (uint32_t)n;
		return 0;
	case FIELD_NUMBER:
		return unpack_number(s, f, at);
	case FIELD_TIME:
		if (unpack_uint(s, INT64_MAX, &n) < 0)
			return -1;
		*(int64_t *)at = (int64_t)n;
		return 0;
	case FIELD_CHOICE:
		return unpack_choice(s, f->choices, at);
	case FIELD_HASH:
		return unpack_hash(s, at);
	case FIELD_REGIONS:
		return unpack_regions(s, at);
	case FIELD_BYTES:
	case FIELD_ADDR:
	case FIELD_OBJECT:
	case FIELD_OTHER:
		break;
	}
	return -1;
}

static int unpack_item(struct unpacker *s, struct config *c, int kind)
{
	const struct kind_info *info = &kinds[kind];
	union item from;
	void *item;
	size_t i;
	int rc;

	memset(&from, 0, sizeof(from));
	for (i = 0; i < info->field_count; i++)
		if (in_version(&info->fields[i], s->version) &&
		    unpack_field(s, &info->fields[i],
				 (char *)&from + info->fields[i].offset) < 0)
			return -1;
	if (!from.name[0])
		return -1;
	item = item_new(&from, info->size);
	rc = item ? config_put_item(c, (enum section_kind)kind, item) : -1;
	item_put(item);
	return rc;
}

static int unpack_kind(struct unpacker *s, struct config *c, int kind)
{
	uint64_t n;

	if (unpack_uint(s, ITEMS_MAX, &n) < 0)
		return -1;
	while (n--)
		if (unpack_item(s, c, kind) < 0)
			return -1;
	return 0;
}

static int unpack_releases(struct unpacker *s, struct config *c)
{
	struct release *r;
	uint64_t i;

	if (unpack_uint(s, c->number + 1, &c->first_release) < 0 ||
	    c->number + 1 - c->first_release > RELEASES_KEPT)
		return -1;
	for (i = c->first_release; i <= c->number; i++) {
		r = &c->releases[i % RELEASES_KEPT];
		if (unpack_uint(s, UINT64_MAX, &r->name) < 0 ||
		    unpack_uint(s, UINT64_MAX, &r->text) < 0)
			return -1;
	}
	return 0;
}

static int unpack_snapshot(struct unpacker *s, struct config *c)
{
	int kind, mode;

	if (unpack_uint(s, SNAPSHOT_VERSION_HOMES, &s->version) < 0 ||
	    s->version < SNAPSHOT_VERSION ||
	    unpack_uint(s, INT64_MAX, &c->number) < 0 ||
	    unpack_text(s, c->release, sizeof(c->release)) < 0 ||
	    unpack_choice(s, overload_modes, &mode) < 0 ||
	    unpack_releases(s, c) < 0)
		return -1;
	c->mode = (enum overload_mode)mode;
	for (kind = 0; kind < SECTIONS; kind++)
		if (unpack_kind(s, c, kind) < 0)
			return -1;
	return s->offset == s->len ? 0 : -1;
}

/* Decodes the output of config_pack; returns NULL with err set if malformed. */
struct config *config_unpack(const void *data, size_t len, struct error *err)
{
	struct unpacker s = {.data = data, .len = len};
	struct note_faults faults = {0};
	struct config *c = config_new();
	struct change ch = {.r = {.faults = &faults}, .next = c};
	bool valid;

	if (!c) {
		error_set(err, ERROR_MEMORY, "snapshot", NULL, "out of memory");
		return NULL;
	}
	valid = !unpack_snapshot(&s, c) && !build_trie(&ch) && !faults.n;
	note_faults_free(&faults);
	if (valid)
		return c;
	config_put(c);
	error_set(err, ERROR_INPUT, "snapshot", NULL, "malformed at byte %zu",
		  s.offset);
	return NULL;
}
