#include "wire/wire_impl.h"

#include <stdlib.h>

#define MESSAGE_FIELDS 4
#define STATUS_MAX 999

/* Writes an HTTP message without its body. */
void write_message(struct writer *w, const struct message *m)
{
	size_t i;

	if (m->header_count > HEADERS_MAX) {
		w->failed = true;
		return;
	}
	write_array(w, MESSAGE_FIELDS);
	write_text(w, m->method);
	write_text(w, m->target);
	write_uint(w, m->status < 0 ? 0 : (uint64_t)m->status);
	write_array(w, m->header_count * 2);
	for (i = 0; i < m->header_count; i++) {
		write_text(w, m->headers[i].name);
		write_text(w, m->headers[i].value);
	}
}

static void read_headers(struct reader *r, struct message *m)
{
	struct reader list;
	size_t i, n = reader_list(r, &list, (size_t)HEADERS_MAX * 2);

	if (n % 2) {
		r->failed = true;
		return;
	}
	if (!n)
		return;
	m->headers = calloc(n / 2, sizeof(*m->headers));
	if (!m->headers) {
		r->failed = true;
		return;
	}
	m->header_count = n / 2;
	for (i = 0; i < m->header_count; i++) {
		m->headers[i].name = read_text_copy(&list, HEADER_BYTES_MAX);
		m->headers[i].value = read_text_copy(&list, HEADER_BYTES_MAX);
	}
	r->failed |= list.failed;
}

/* Decodes the output of write_message into a zeroed message. */
void read_message(struct reader *r, struct message *m)
{
	struct reader sub;

	reader_array(r, &sub, MESSAGE_FIELDS);
	read_text(&sub, m->method, sizeof(m->method));
	m->target = read_text_copy(&sub, HEADER_BYTES_MAX);
	m->status = (int)read_uint(&sub, STATUS_MAX);
	read_headers(&sub, m);
	r->failed |= sub.failed;
}
