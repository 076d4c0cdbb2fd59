#include "conf/conf_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define COUNT(a) (sizeof(a) / sizeof(*(a)))
#define EXACT_MAX 9007199254740992.0 /* 2^53; doubles are exact up to it */

static const struct field note_fields[] = {
	{"release", .kind = FIELD_NAME,
	 .offset = offsetof(struct note_head, release), .required = true},
	{"after", .kind = FIELD_OTHER},
	{"added", .kind = FIELD_OTHER},
	{"changed", .kind = FIELD_OTHER},
	{"withdrawn", .kind = FIELD_OTHER},
};

static const struct field overload_fields[] = {
	{"mode", .kind = FIELD_CHOICE, .offset = 0, .required = true,
	 .choices = overload_modes},
};

static void read_after(struct reader *r, struct json_object *note,
		       struct note_head *head)
{
	struct json_object *v;
	size_t len;

	if (!json_object_object_get_ex(note, "after", &v))
		return;
	len = reader_enter(r, "after");
	if (!json_object_is_type(v, json_type_int) ||
	    json_object_get_int64(v) < 0 ||
	    json_object_get_double(v) > EXACT_MAX)
		reader_fault(r, "must be the number of a note, or 0");
	head->has_after = true;
	head->after = json_object_get_uint64(v);
	reader_leave(r, len);
}

static void read_head(struct reader *r, struct json_object *note,
		      struct note_head *head)
{
	memset(head, 0, sizeof(*head));
	fields_read(r, note, note_fields, COUNT(note_fields), head, false);
	read_after(r, note, head);
}

static struct json_object *read_note(struct reader *r, const char *text,
				     size_t len)
{
	struct json_object *note;
	struct error err;
	unsigned line;
	char at[32];

	if (len > NOTE_TEXT_MAX) {
		reader_fault_at(r, "note", "is larger than %d bytes",
				NOTE_TEXT_MAX);
		return NULL;
	}
	note = json_read(text, len, &line, &err);
	if (note) {
		check_duplicates(text, len, r);
		return note;
	}
	snprintf(at, sizeof(at), "line %u", line);
	reader_fault_at(r, at, "%s", err.text);
	return NULL;
}

/* Reads release and after; the other members are not checked. */
int note_read_head(struct note_head *head, const char *text, size_t len,
		   struct error *err)
{
	struct note_faults faults = {0};
	struct reader r = {.faults = &faults};
	struct json_object *note = read_note(&r, text, len);
	int rc = 0;

	if (note)
		read_head(&r, note, head);
	if (faults.n)
		rc = error_set(err, ERROR_INPUT, "note", NULL, "%s: %s",
			       faults.items[0].path, faults.items[0].text);
	else if (!note)
		rc = error_set(err, ERROR_MEMORY, "note", NULL,
			       "out of memory");
	json_object_put(note);
	note_faults_free(&faults);
	return rc;
}

/* Returns the change that the note makes to an item, or NULL. */
struct item_change *find_item_change(struct change *ch, enum section_kind kind,
				     const char *name)
{
	return section_find(&ch->changes_by_name[kind], name);
}

/* Records a change to an item; a note may name each item only once. */
static bool add_item_change(struct change *ch, enum section_kind kind,
			    const char *name, const void *old)
{
	struct item_change *ic = find_item_change(ch, kind, name),
			   from = {.old = old};

	if (ic) {
		reader_fault(&ch->r, "%s is named already by %s", name,
			     ic->path);
		return false;
	}
	copy_name(from.name, sizeof(from.name), name);
	copy_name(from.path, sizeof(from.path), ch->r.path);
	ic = item_new(&from, sizeof(from));
	if (!ic || section_put(&ch->changes_by_name[kind], ic) < 0) {
		item_put(ic);
		reader_fault(&ch->r, "out of memory");
		return false;
	}
	*ch->tails[kind] = ic;
	ch->tails[kind] = &ic->next;
	item_put(ic);
	return true;
}

/* Reports members of one item that exclude each other. */
static void check_item(struct change *ch, enum section_kind kind,
		       const union item *item)
{
	if (kind == SECTION_ROUTES && item->route.once && item->route.anonymous)
		reader_fault(&ch->r, "a route that is once needs a key, so it "
				     "can't be open");
}

/* Returns the name of the item with the same key hash, or NULL. */
static const char *hash_owner(const struct config *c, enum section_kind kind,
			      const union item *item)
{
	switch (kind) {
	case SECTION_KEYS:
		return section_find(&c->keys_by_hash, item->key.hash);
	case SECTION_OPERATORS:
		return section_find(&c->operators_by_hash,
				    item->operator_key.hash);
	case SECTION_SERVICES:
	case SECTION_ROUTES:
	case SECTION_ACCOUNTS:
		break;
	}
	return NULL;
}

/*
 * Puts an item into the new configuration. Faulty items are put too, except
 * keys and operators, so that references to them are not reported as well.
 */
static void put_item(struct change *ch, enum section_kind kind,
		     const union item *from, bool faulty)
{
	const char *owner = hash_owner(ch->next, kind, from);
	void *item;

	if (owner && !faulty && strcmp(owner, from->name) != 0) {
		reader_fault(&ch->r, "has the hash of %s", owner);
		return;
	}
	/* A faulty hash must not get into the index. */
	if (faulty && (kind == SECTION_KEYS || kind == SECTION_OPERATORS))
		return;
	item = item_new(from, kinds[kind].size);
	if (!item || config_put_item(ch->next, kind, item) < 0)
		reader_fault(&ch->r, "out of memory");
	item_put(item);
}

static void add_item(struct change *ch, enum section_kind kind,
		     struct json_object *obj)
{
	const struct kind_info *info = &kinds[kind];
	size_t faults = ch->r.faults->n;
	union item item;

	memset(&item, 0, sizeof(item));
	memcpy(&item, info->defaults, info->size);
	fields_read(&ch->r, obj, info->fields, info->field_count, &item, false);
	if (!item.name[0] || !add_item_change(ch, kind, item.name, NULL))
		return;
	if (section_find(&ch->base->by_name[kind], item.name)) {
		reader_fault(&ch->r, "there is a %s %s already", info->singular,
			     item.name);
		return;
	}
	check_item(ch, kind, &item);
	put_item(ch, kind, &item, ch->r.faults->n != faults);
}

static void change_item(struct change *ch, enum section_kind kind,
			struct json_object *obj)
{
	const struct kind_info *info = &kinds[kind];
	size_t faults = ch->r.faults->n;
	struct json_object *id;
	const void *old;
	union item item;

	if (!json_object_object_get_ex(obj, info->id, &id)) {
		reader_fault(&ch->r, "must be an object with %s", info->id);
		return;
	}
	old = section_find(&ch->base->by_name[kind],
			   json_object_get_string(id) ?: "");
	memset(&item, 0, sizeof(item));
	memcpy(&item, old ? old : info->defaults, info->size);
	fields_read(&ch->r, obj, info->fields, info->field_count, &item, true);
	if (!item.name[0] || !add_item_change(ch, kind, item.name, old))
		return;
	if (!old) {
		reader_fault(&ch->r, "there is no %s %s", info->singular,
			     item.name);
		return;
	}
	check_item(ch, kind, &item);
	put_item(ch, kind, &item, ch->r.faults->n != faults);
}

static void withdraw_item(struct change *ch, enum section_kind kind,
			  struct json_object *v)
{
	char name[NAME_SIZE];
	const void *old;

	if (field_name(&ch->r, v, name) < 0)
		return;
	old = section_find(&ch->base->by_name[kind], name);
	if (!add_item_change(ch, kind, name, old))
		return;
	if (!old)
		reader_fault(&ch->r, "there is no %s %s", kinds[kind].singular,
			     name);
	else if (config_remove_item(ch->next, kind, name) < 0)
		reader_fault(&ch->r, "out of memory");
}

static void change_overload(struct change *ch, struct json_object *obj)
{
	fields_read(&ch->r, obj, overload_fields, COUNT(overload_fields),
		    &ch->next->mode, false);
	if (ch->team)
		reader_fault(&ch->r, "only operators of every team may "
				     "change this");
}

static void apply_items(struct change *ch, enum section_kind kind,
			struct json_object *list,
			void (*fn)(struct change *, enum section_kind,
				   struct json_object *))
{
	size_t i, n, len;

	if (!json_object_is_type(list, json_type_array)) {
		reader_fault(&ch->r, "must be a list");
		return;
	}
	n = json_object_array_length(list);
	for (i = 0; i < n; i++) {
		len = reader_enter_index(&ch->r, i);
		fn(ch, kind, json_object_array_get_idx(list, i));
		reader_leave(&ch->r, len);
	}
}

static int find_kind(const char *section)
{
	int i;

	for (i = 0; i < SECTIONS; i++)
		if (!strcmp(kinds[i].section, section))
			return i;
	return -1;
}

static void
apply_part(struct change *ch, struct json_object *note, const char *part,
	   void (*fn)(struct change *, enum section_kind, struct json_object *))
{
	struct json_object *sections;
	size_t outer, len;
	int kind;

	if (!json_object_object_get_ex(note, part, &sections))
		return;
	outer = reader_enter(&ch->r, part);
	if (!json_object_is_type(sections, json_type_object)) {
		reader_fault(&ch->r, "must be an object");
		reader_leave(&ch->r, outer);
		return;
	}
	json_object_object_foreach(sections, name, v)
	{
		len = reader_enter(&ch->r, name);
		kind = find_kind(name);
		if (kind >= 0)
			apply_items(ch, (enum section_kind)kind, v, fn);
		else if (fn == change_item && !strcmp(name, "overload"))
			change_overload(ch, v);
		else
			reader_fault(&ch->r, "is not a known member");
		reader_leave(&ch->r, len);
	}
	reader_leave(&ch->r, outer);
}

static int change_start(struct change *ch, const struct config *base,
			const char *team, struct note_faults *faults)
{
	size_t i;

	memset(ch, 0, sizeof(*ch));
	ch->r.faults = faults;
	ch->base = base;
	ch->next = config_clone(base);
	ch->team = team && *team ? team : NULL;
	for (i = 0; i < SECTIONS; i++)
		ch->tails[i] = &ch->items[i];
	if (!ch->next)
		reader_fault(&ch->r, "out of memory");
	return ch->next ? 0 : -1;
}

static void apply_parts(struct change *ch, struct json_object *note)
{
	size_t i;

	apply_part(ch, note, "withdrawn", withdraw_item);
	apply_part(ch, note, "changed", change_item);
	apply_part(ch, note, "added", add_item);
	check_change(ch);
	if (ch->items[SECTION_ROUTES] && build_trie(ch) < 0)
		reader_fault_at(&ch->r, "note", "out of memory");
	for (i = 0; i < SECTIONS; i++)
		section_free(&ch->changes_by_name[i]);
}

/*
 * Withdrawals are applied first, then changes, then additions, whatever their
 * order in the note. References and teams are checked after that.
 */
struct config *config_apply(const struct config *c, uint64_t number,
			    const char *text, size_t len, const char *team,
			    struct note_faults *faults)
{
	struct change ch;
	struct json_object *note;
	struct note_head head;

	memset(faults, 0, sizeof(*faults));
	if (change_start(&ch, c, team, faults) < 0)
		return NULL;
	note = read_note(&ch.r, text, len);
	if (note) {
		read_head(&ch.r, note, &head);
		apply_parts(&ch, note);
		config_set_number(ch.next, number, head.release, text, len);
		json_object_put(note);
		if (!faults->n)
			return ch.next;
	}
	config_put(ch.next);
	return NULL;
}
