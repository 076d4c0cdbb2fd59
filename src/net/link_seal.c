#include "net/link_impl.h"

#include <string.h>

/*
 * Appends the length and the sealed bytes of one frame. Returns -1 if the
 * frame is too long or memory is short.
 */
int link_seal(struct link *l, const struct buffer *frame, struct buffer *out)
{
	uint8_t sealed[FRAME_MAX];
	size_t len = frame->len + crypto_secretstream_xchacha20poly1305_ABYTES;
	uint8_t length[LINK_LENGTH_SIZE] = {(uint8_t)(len >> 24),
					    (uint8_t)(len >> 16),
					    (uint8_t)(len >> 8), (uint8_t)len};

	if (len > sizeof(sealed))
		return -1;
	crypto_secretstream_xchacha20poly1305_push(
		&l->push, sealed, NULL, frame->data, frame->len, NULL, 0, 0);
	if (buffer_append(out, length, sizeof(length), SIZE_MAX) < 0)
		return -1;
	return buffer_append(out, sealed, len, SIZE_MAX);
}

static size_t sealed_length(const uint8_t *p)
{
	return (size_t)p[0] << 24 | (size_t)p[1] << 16 | (size_t)p[2] << 8 |
	       p[3];
}

/*
 * Opens the first complete frame in l->in into frame, whose old contents are
 * dropped, and removes it from l->in. Returns 1, 0 if more bytes are needed,
 * or -1 with err set.
 */
int link_open_next(struct link *l, struct buffer *frame, struct error *err)
{
	uint8_t opened[FRAME_MAX];
	unsigned char tag;
	size_t len;

	if (l->in.len < LINK_LENGTH_SIZE)
		return 0;
	len = sealed_length(l->in.data);
	if (len > FRAME_MAX ||
	    len < crypto_secretstream_xchacha20poly1305_ABYTES)
		return error_set(err, ERROR_LIMIT, "link-receive", NULL,
				 "invalid frame length: %zu bytes", len);
	if (l->in.len - LINK_LENGTH_SIZE < len)
		return 0;
	if (crypto_secretstream_xchacha20poly1305_pull(
		    &l->pull, opened, NULL, &tag, l->in.data + LINK_LENGTH_SIZE,
		    len, NULL, 0))
		return error_set(err, ERROR_AUTH, "link-receive", NULL,
				 "frame failed authentication");
	l->in.len -= LINK_LENGTH_SIZE + len;
	memmove(l->in.data, l->in.data + LINK_LENGTH_SIZE + len, l->in.len);
	len -= crypto_secretstream_xchacha20poly1305_ABYTES;
	frame->len = 0;
	if (buffer_append(frame, opened, len, FRAME_MAX) < 0)
		return error_set(err, ERROR_MEMORY, "link-receive", NULL,
				 "out of memory");
	return 1;
}
