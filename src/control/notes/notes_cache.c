/*
 * Cache of recent notes: applied ones to serve to peers, and those that
 * arrived ahead of the next one. A ring indexed by number.
 */
#include "control/notes/notes_impl.h"

#include <stdlib.h>
#include <string.h>

static void cache_slot_clear(struct notes *n, struct cached_note *note)
{
	n->note_cache_bytes -= note->len;
	free(note->text);
	memset(note, 0, sizeof(*note));
}

static struct cached_note *cache_slot(const struct notes *n, uint64_t number)
{
	return (struct cached_note *)&n->note_cache[number % NOTE_CACHE_SLOTS];
}

/*
 * Evicts the oldest notes until len bytes fit. Returns -1 if only notes that
 * are not applied yet are left, as these are never evicted.
 */
static int make_room(struct notes *n, size_t len)
{
	struct cached_note *note;

	while (n->note_cache_bytes + len > NOTE_CACHE_BYTES_MAX) {
		if (n->note_cache_first > notes_number(n))
			return -1;
		note = cache_slot(n, n->note_cache_first);
		if (note->number == n->note_cache_first)
			cache_slot_clear(n, note);
		n->note_cache_first++;
	}
	return 0;
}

/* Caches a copy of a note. Returns -1 if it does not fit or out of memory. */
int note_cache_put(struct notes *n, uint64_t number, const char *text,
		   size_t len)
{
	struct cached_note *note = cache_slot(n, number);
	char *copy;

	if (number > NOTE_CACHE_SLOTS &&
	    n->note_cache_first <= number - NOTE_CACHE_SLOTS)
		n->note_cache_first = number - NOTE_CACHE_SLOTS + 1;
	if (note->number)
		cache_slot_clear(n, note);
	if (make_room(n, len) < 0)
		return -1;
	copy = malloc(len + 1);
	if (!copy)
		return -1;
	memcpy(copy, text, len);
	copy[len] = 0;
	note->number = number;
	note->len = len;
	note->text = copy;
	n->note_cache_bytes += len;
	return 0;
}

/* Returns the note, or NULL if it is not cached. */
const struct cached_note *note_cache_get(const struct notes *n, uint64_t number)
{
	const struct cached_note *note = cache_slot(n, number);

	return note->number && note->number == number ? note : NULL;
}

/* Removes a note, so that another copy of it is accepted. */
void note_cache_remove(struct notes *n, uint64_t number)
{
	if (note_cache_get(n, number))
		cache_slot_clear(n, cache_slot(n, number));
}

/* Removes all notes. */
void note_cache_free(struct notes *n)
{
	size_t i;

	for (i = 0; i < NOTE_CACHE_SLOTS; i++)
		if (n->note_cache[i].number)
			cache_slot_clear(n, &n->note_cache[i]);
}
