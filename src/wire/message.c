#include "wire/wire.h"

#include <stdlib.h>
#include <string.h>

/*
 * Appends a header; the name must be in lower case. Returns -1 and leaves m
 * unchanged if it has HEADERS_MAX headers already or memory is short.
 */
int message_add_header(struct message *m, const char *name, const char *value)
{
	struct header *headers;
	struct header h;

	if (m->header_count >= HEADERS_MAX)
		return -1;
	headers = realloc(m->headers, (m->header_count + 1) * sizeof(*headers));
	if (!headers)
		return -1;
	m->headers = headers;
	h.name = strdup(name);
	h.value = strdup(value);
	if (!h.name || !h.value) {
		free(h.name);
		free(h.value);
		return -1;
	}
	headers[m->header_count++] = h;
	return 0;
}

/* Returns the first value of a header (name in lower case), or NULL. */
const char *message_header(const struct message *m, const char *name)
{
	size_t i;

	for (i = 0; i < m->header_count; i++)
		if (!strcmp(m->headers[i].name, name))
			return m->headers[i].value;
	return NULL;
}

/* Removes every header of this name; the others keep their order. */
void message_remove_header(struct message *m, const char *name)
{
	size_t i, n = 0;

	for (i = 0; i < m->header_count; i++) {
		if (strcmp(m->headers[i].name, name)) {
			m->headers[n++] = m->headers[i];
			continue;
		}
		free(m->headers[i].name);
		free(m->headers[i].value);
	}
	m->header_count = n;
}

static int copy_parts(struct message *to, const struct message *from)
{
	size_t i;

	memcpy(to->method, from->method, sizeof(to->method));
	to->status = from->status;
	if (from->target) {
		to->target = strdup(from->target);
		if (!to->target)
			return -1;
	}
	for (i = 0; i < from->header_count; i++)
		if (message_add_header(to, from->headers[i].name,
				       from->headers[i].value) < 0)
			return -1;
	return buffer_append(&to->body, from->body.data, from->body.len,
			     SIZE_MAX);
}

/*
 * Copies a message. The old contents of to are not freed. Returns -1 and
 * leaves to empty if out of memory.
 */
int message_copy(struct message *to, const struct message *from)
{
	memset(to, 0, sizeof(*to));
	if (copy_parts(to, from) == 0)
		return 0;
	message_free(to);
	return -1;
}

/* Frees the contents of m and zeroes it. */
void message_free(struct message *m)
{
	size_t i;

	for (i = 0; i < m->header_count; i++) {
		free(m->headers[i].name);
		free(m->headers[i].value);
	}
	free(m->headers);
	free(m->target);
	buffer_free(&m->body);
	memset(m, 0, sizeof(*m));
}
