#include "net/http_impl.h"

#include <stdio.h>
#include <string.h>

#define STATUS_NO_CONTENT 204
#define STATUS_NOT_MODIFIED 304

/* Headers generated per connection; those of the message are not copied. */
static bool is_per_connection(const char *name)
{
	return !strcmp(name, "connection") || !strcmp(name, "keep-alive") ||
	       !strcmp(name, "content-length") ||
	       !strcmp(name, "transfer-encoding");
}

static int append(struct buffer *out, const char *text)
{
	return buffer_append(out, text, strlen(text), SIZE_MAX);
}

static int write_headers(struct buffer *out, const struct message *m,
			 bool with_host)
{
	const struct header *h;
	size_t i;

	for (i = 0; i < m->header_count; i++) {
		h = &m->headers[i];
		if (is_per_connection(h->name) ||
		    (!with_host && !strcmp(h->name, "host")))
			continue;
		if (strpbrk(h->value, "\r\n") || append(out, h->name) < 0 ||
		    append(out, ": ") < 0 || append(out, h->value) < 0 ||
		    append(out, "\r\n") < 0)
			return -1;
	}
	return 0;
}

static int write_length(struct buffer *out, size_t len)
{
	char text[48];

	snprintf(text, sizeof(text), "content-length: %zu\r\n", len);
	return append(out, text);
}

static const char *reason_phrase(int status)
{
	return http_status_str((enum http_status)status);
}

/* Appends a response; -1 if out of memory or a header value has CR or LF. */
int http_write_response(struct buffer *out, const struct message *m, bool head,
			bool close)
{
	bool no_length = m->status < 200 || m->status == STATUS_NO_CONTENT;
	char line[80];

	snprintf(line, sizeof(line), "HTTP/1.1 %d %s\r\n", m->status,
		 reason_phrase(m->status));
	if (append(out, line) < 0 || write_headers(out, m, false) < 0 ||
	    append(out, close ? "connection: close\r\n"
			      : "connection: keep-alive\r\n") < 0 ||
	    (!no_length && write_length(out, m->body.len) < 0) ||
	    append(out, "\r\n") < 0)
		return -1;
	if (head || no_length || m->status == STATUS_NOT_MODIFIED)
		return 0;
	if (buffer_reserve(out, out->len + m->body.len) < 0)
		return -1;
	return buffer_append(out, m->body.data, m->body.len, SIZE_MAX);
}

static bool needs_content_length(const struct message *m)
{
	return m->body.len || !strcmp(m->method, "POST") ||
	       !strcmp(m->method, "PUT") || !strcmp(m->method, "PATCH");
}

/*
 * Appends a request; host is used if the message has no Host header. Returns
 * -1 if out of memory or if a header value has CR or LF.
 */
int http_write_request(struct buffer *out, const struct message *m,
		       const char *host)
{
	if (append(out, m->method) < 0 || append(out, " ") < 0 ||
	    append(out, m->target) < 0 || append(out, " HTTP/1.1\r\n") < 0)
		return -1;
	if (!message_header(m, "host") &&
	    (append(out, "host: ") < 0 || append(out, host) < 0 ||
	     append(out, "\r\n") < 0))
		return -1;
	if (write_headers(out, m, true) < 0 ||
	    (needs_content_length(m) && write_length(out, m->body.len) < 0) ||
	    append(out, "\r\n") < 0)
		return -1;
	return buffer_append(out, m->body.data, m->body.len, SIZE_MAX);
}
