#include "control/notes_impl.h"

#include <stdlib.h>
#include <string.h>

static void drop(struct notes *n, struct kept_note *k)
{
	n->kept_bytes -= k->len;
	free(k->text);
	memset(k, 0, sizeof(*k));
}

static struct kept_note *slot(const struct notes *n, uint64_t number)
{
	return (struct kept_note *)&n->kept[number % NOTES_KEPT];
}

/* Makes room from the oldest note on; never drops what is not applied. */
static int make_room(struct notes *n, size_t len)
{
	struct kept_note *k;

	while (n->kept_bytes + len > KEPT_BYTES_MAX) {
		if (n->kept_from > notes_number(n))
			return -1;
		k = slot(n, n->kept_from);
		if (k->number == n->kept_from)
			drop(n, k);
		n->kept_from++;
	}
	return 0;
}

/* Keeps a note to apply it or to serve it to peers. */
int kept_put(struct notes *n, uint64_t number, const char *text, size_t len)
{
	struct kept_note *k = slot(n, number);
	char *copy;

	if (number > NOTES_KEPT && n->kept_from <= number - NOTES_KEPT)
		n->kept_from = number - NOTES_KEPT + 1;
	if (k->number)
		drop(n, k);
	if (make_room(n, len) < 0)
		return -1;
	copy = malloc(len + 1);
	if (!copy)
		return -1;
	memcpy(copy, text, len);
	copy[len] = 0;
	k->number = number;
	k->len = len;
	k->text = copy;
	n->kept_bytes += len;
	return 0;
}

/* Returns the note, or NULL when it is not kept. */
const struct kept_note *kept_get(const struct notes *n, uint64_t number)
{
	const struct kept_note *k = slot(n, number);

	return k->number && k->number == number ? k : NULL;
}

/* Drops one note, so that it may come again. */
void kept_drop(struct notes *n, uint64_t number)
{
	if (kept_get(n, number))
		drop(n, slot(n, number));
}

/* Drops all notes. */
void kept_free(struct notes *n)
{
	size_t i;

	for (i = 0; i < NOTES_KEPT; i++)
		if (n->kept[i].number)
			drop(n, &n->kept[i]);
}
