#include "base/base.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BUFFER_MIN 256

int buffer_reserve(struct buffer *b, size_t size)
{
	uint8_t *p;

	if (size <= b->size)
		return 0;
	p = realloc(b->data, size);
	if (!p)
		return -1;
	b->data = p;
	b->size = size;
	return 0;
}

static int grow(struct buffer *b, size_t need)
{
	size_t size = b->size ? b->size : BUFFER_MIN;

	if (need <= b->size)
		return 0;
	while (size < need) {
		if (size > SIZE_MAX / 2)
			return -1;
		size *= 2;
	}
	return buffer_reserve(b, size);
}

/*
 * Appends len bytes. Returns -1 and leaves the buffer unchanged if the result
 * would exceed limit bytes or when out of memory.
 */
int buffer_append(struct buffer *b, const void *data, size_t len, size_t limit)
{
	if (len > limit || b->len > limit - len)
		return -1;
	if (!len)
		return 0;
	if (grow(b, b->len + len) < 0)
		return -1;
	memcpy(b->data + b->len, data, len);
	b->len += len;
	return 0;
}

/*
 * Appends formatted text and a NUL that is not counted in len. Returns -1 and
 * leaves the content unchanged when out of memory.
 */
int buffer_printf(struct buffer *b, const char *fmt, ...)
{
	va_list ap;
	int n;

	va_start(ap, fmt);
	n = vsnprintf(NULL, 0, fmt, ap);
	va_end(ap);
	if (n < 0 || grow(b, b->len + (size_t)n + 1) < 0)
		return -1;
	va_start(ap, fmt);
	vsnprintf((char *)b->data + b->len, (size_t)n + 1, fmt, ap);
	va_end(ap);
	b->len += (size_t)n;
	return 0;
}

/* Frees the data; the buffer is empty and may be used again. */
void buffer_free(struct buffer *b)
{
	free(b->data);
	memset(b, 0, sizeof(*b));
}
