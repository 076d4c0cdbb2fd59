#include "net/http_impl.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define HOP_BY_HOP_NAME_SIZE 256 /* longer names are never dropped */
#define CRLF2 "\r\n\r\n"

#define STATUS_BAD_REQUEST 400
#define STATUS_TOO_LARGE 413
#define STATUS_HEADERS_TOO_LARGE 431
#define STATUS_SWITCHING 101
#define STATUS_NO_CONTENT 204
#define STATUS_NOT_MODIFIED 304

/* Hop-by-hop headers (RFC 9110 7.6.1) and those generated when writing. */
static const char *const hop_by_hop_headers[] = {
	"connection",
	"keep-alive",
	"proxy-connection",
	"proxy-authenticate",
	"proxy-authorization",
	"te",
	"trailer",
	"transfer-encoding",
	"upgrade",
	"http2-settings",
	"content-length",
	"expect",
	NULL,
};

static bool is_hop_by_hop(const char *name)
{
	const char *const *p;

	for (p = hop_by_hop_headers; *p; p++)
		if (!strcmp(*p, name))
			return true;
	return false;
}

/* Whether a comma-separated list contains the header name. */
static bool list_contains(const char *list, const char *name)
{
	size_t n, len = strlen(name);

	while (list && *list) {
		list += strspn(list, ", \t");
		n = strcspn(list, ", \t");
		if (n == len && !strncasecmp(list, name, n))
			return true;
		list += n;
	}
	return false;
}

static int append_text(struct buffer *b, const char *data, size_t len)
{
	return buffer_append(b, data, len, SIZE_MAX);
}

static const char *to_cstring(struct buffer *b)
{
	if (append_text(b, "", 1) < 0)
		return NULL;
	b->len--;
	return (const char *)b->data;
}

static void to_lowercase(struct buffer *b)
{
	size_t i;

	for (i = 0; i < b->len; i++)
		b->data[i] = (uint8_t)tolower(b->data[i]);
}

static void parse_keep_alive(struct http_reader *r, const char *value)
{
	const char *p = strcasestr(value, "timeout=");

	if (p)
		r->keep_alive_s = strtol(p + strlen("timeout="), NULL, 10);
}

/* The value may end in white space. */
static bool is_chunked(const char *value)
{
	static const char name[] = "chunked";
	size_t len = strlen(name);

	return !strncasecmp(value, name, len) &&
	       !value[len + strspn(value + len, " \t")];
}

/* Stores the header just read, unless it is hop-by-hop. */
static int end_header(struct http_reader *r)
{
	const char *name, *value;

	if (!r->in_value)
		return 0;
	r->in_value = false;
	to_lowercase(&r->name);
	name = to_cstring(&r->name);
	value = to_cstring(&r->value);
	if (!name || !value)
		return -1;
	if (!strcmp(name, "connection") &&
	    (append_text(&r->connection, value, r->value.len) < 0 ||
	     append_text(&r->connection, ",", 1) < 0))
		return -1;
	if (!strcmp(name, "transfer-encoding")) {
		r->codings++;
		r->chunked = is_chunked(value);
	}
	if (!strcmp(name, "keep-alive"))
		parse_keep_alive(r, value);
	if (r->message.header_count >= HEADERS_MAX - HEADERS_OF_NODE_MAX)
		return -1;
	if (!is_hop_by_hop(name) &&
	    message_add_header(&r->message, name, value) < 0)
		return -1;
	r->name.len = 0;
	r->value.len = 0;
	return 0;
}

static int on_url(http_parser *p, const char *at, size_t len)
{
	struct http_reader *r = p->data;

	return append_text(&r->target, at, len);
}

/* Trailers are dropped: they are no headers (RFC 9110, 6.5.1). */
static int on_header_field(http_parser *p, const char *at, size_t len)
{
	struct http_reader *r = p->data;

	if (r->in_body)
		return 0;
	r->headers_too_large |= end_header(r) < 0;
	return r->headers_too_large ? -1 : append_text(&r->name, at, len);
}

static int on_header_value(http_parser *p, const char *at, size_t len)
{
	struct http_reader *r = p->data;

	if (r->in_body)
		return 0;
	r->in_value = true;
	return append_text(&r->value, at, len);
}

/* Removes the headers that Connection lists: they are hop-by-hop. */
static void drop_connection_headers(struct http_reader *r)
{
	const char *list =
		r->connection.len ? to_cstring(&r->connection) : NULL;
	char name[HOP_BY_HOP_NAME_SIZE];
	size_t i = 0;

	while (list && i < r->message.header_count)
		if (copy_name(name, sizeof(name), r->message.headers[i].name) ==
			    0 &&
		    list_contains(list, name) && strcmp(name, "host") != 0)
			message_remove_header(&r->message, name);
		else
			i++;
}

static size_t count_hosts(const struct message *m)
{
	size_t i, n = 0;

	for (i = 0; i < m->header_count; i++)
		n += !strcmp(m->headers[i].name, "host");
	return n;
}

/* A path with ".." could evade the path prefix of a route. */
static bool has_dot_segment(const char *target)
{
	size_t n;

	while (*target == '/') {
		target++;
		n = strcspn(target, "/?#");
		if ((n == 1 && target[0] == '.') ||
		    (n == 2 && !strncmp(target, "..", 2)))
			return true;
		target += n;
	}
	return false;
}

static bool request_is_valid(struct http_reader *r)
{
	struct message *m = &r->message;

	if (r->parser.upgrade || count_hosts(m) != 1)
		return false;
	return m->target && m->target[0] == '/' && !has_dot_segment(m->target);
}

static int set_request_line(struct http_reader *r)
{
	const char *method =
		http_method_str((enum http_method)r->parser.method);
	const char *target = to_cstring(&r->target);

	r->message.target = target ? strdup(target) : NULL;
	if (!r->message.target)
		return -1;
	return copy_name(r->message.method, METHOD_SIZE, method);
}

static bool response_has_no_body(const struct http_reader *r)
{
	int status = (int)r->parser.status_code;

	return r->no_body || status < 200 || status == STATUS_NO_CONTENT ||
	       status == STATUS_NOT_MODIFIED;
}

/*
 * Whether the framing is one that this node asked for or can pass on: chunked
 * is the only transfer coding, in HTTP/1.1 alone (RFC 9112, 6.1), a response
 * that has no body announces none, and there is no switch of protocols.
 */
static bool framing_is_strict(const struct http_reader *r)
{
	const struct http_parser *p = &r->parser;
	bool announced = p->content_length && p->content_length != UINT64_MAX;
	int status = (int)p->status_code;

	if (r->codings &&
	    (r->codings > 1 || !r->chunked || !(p->flags & F_CHUNKED) ||
	     p->http_major != 1 || !p->http_minor))
		return false;
	if (!r->options.responses)
		return true;
	if (status == STATUS_SWITCHING)
		return false;
	return (status >= 200 && status != STATUS_NO_CONTENT) ||
	       (!r->codings && !announced);
}

/* Returns the bytes left of a body whose length was announced, or -1. */
int64_t http_reader_body_left(const struct http_reader *r)
{
	if (r->parser.flags & F_CHUNKED ||
	    r->parser.content_length == UINT64_MAX)
		return -1;
	return (int64_t)r->parser.content_length;
}

/* Returning 1 tells http_parser that the message has no body. */
static int on_headers_complete(http_parser *p)
{
	struct http_reader *r = p->data;

	r->headers_too_large |= end_header(r) < 0;
	if (r->headers_too_large)
		return -1;
	if (!framing_is_strict(r))
		return -1;
	drop_connection_headers(r);
	if (!(p->flags & F_CHUNKED) && p->content_length != UINT64_MAX &&
	    p->content_length > r->options.body_limit &&
	    !r->options.body_data &&
	    !(r->options.responses && response_has_no_body(r)))
		r->body_too_large = true;
	if (r->body_too_large)
		return -1;
	r->in_body = true;
	if (r->options.responses) {
		r->message.status = (int)p->status_code;
		if (response_has_no_body(r))
			return 1;
		/* Grown step by step, a large body takes twice its size. */
		if (http_reader_body_left(r) < 0 || r->options.body_data)
			return 0;
		return buffer_reserve(&r->message.body, p->content_length);
	}
	if (set_request_line(r) < 0 || !request_is_valid(r))
		return -1;
	return 0;
}

static int on_body(http_parser *p, const char *at, size_t len)
{
	struct http_reader *r = p->data;

	if (r->options.body_data) {
		r->options.body_data(r->options.ctx, at, len);
		return 0;
	}
	if (buffer_append(&r->message.body, at, len, r->options.body_limit) <
	    0) {
		r->body_too_large = true;
		return -1;
	}
	return 0;
}

static int on_message_complete(http_parser *p)
{
	struct http_reader *r = p->data;

	r->complete = true;
	http_parser_pause(p, 1);
	return 0;
}

static const http_parser_settings callbacks = {
	.on_url = on_url,
	.on_header_field = on_header_field,
	.on_header_value = on_header_value,
	.on_headers_complete = on_headers_complete,
	.on_body = on_body,
	.on_message_complete = on_message_complete,
};

void http_reader_init(struct http_reader *r,
		      const struct http_reader_options *o)
{
	memset(r, 0, sizeof(*r));
	r->options = *o;
	http_reader_reset(r, false);
}

void http_reader_free(struct http_reader *r)
{
	message_free(&r->message);
	buffer_free(&r->head);
	buffer_free(&r->name);
	buffer_free(&r->value);
	buffer_free(&r->target);
	buffer_free(&r->connection);
}

void http_reader_reset(struct http_reader *r, bool no_body)
{
	message_free(&r->message);
	memset(&r->message, 0, sizeof(r->message));
	r->head.len = 0;
	r->name.len = 0;
	r->value.len = 0;
	r->target.len = 0;
	r->connection.len = 0;
	memset(&r->chunks, 0, sizeof(r->chunks));
	r->codings = 0;
	r->chunked = false;
	r->in_value = false;
	r->in_body = false;
	r->no_body = no_body;
	r->complete = false;
	r->headers_too_large = false;
	r->body_too_large = false;
	r->error_status = 0;
	r->keep_alive_s = 0;
	http_parser_init(&r->parser,
			 r->options.responses ? HTTP_RESPONSE : HTTP_REQUEST);
	r->parser.data = r;
}

static enum http_read_result read_error(struct http_reader *r, int status)
{
	r->error_status = status;
	return HTTP_READ_ERROR;
}

static enum http_read_result execute(struct http_reader *r, const uint8_t *data,
				     size_t len, size_t *used)
{
	enum http_errno e;

	*used = http_parser_execute(&r->parser, &callbacks, (const char *)data,
				    len);
	if (r->complete) {
		http_parser_pause(&r->parser, 0);
		return HTTP_READ_COMPLETE;
	}
	e = HTTP_PARSER_ERRNO(&r->parser);
	if (e == HPE_OK && !r->parser.upgrade)
		return HTTP_READ_MORE;
	if (r->body_too_large)
		return read_error(r, STATUS_TOO_LARGE);
	if (r->headers_too_large || e == HPE_HEADER_OVERFLOW)
		return read_error(r, STATUS_HEADERS_TOO_LARGE);
	return read_error(r, STATUS_BAD_REQUEST);
}

/* Counts the CR and LF to skip before a request (RFC 9112 2.2). */
static size_t skip_empty_lines(const struct http_reader *r, const uint8_t *data,
			       size_t len)
{
	size_t n = 0;

	if (r->head.len || r->options.responses)
		return 0;
	while (n < len && (data[n] == '\r' || data[n] == '\n'))
		n++;
	return n;
}

/* Buffers the head until its final empty line, then parses it. */
static enum http_read_result
feed_head(struct http_reader *r, const uint8_t *data, size_t len, size_t *used)
{
	size_t before = r->head.len, from, end, unused;
	const uint8_t *found;
	enum http_read_result rc;

	if (buffer_append(&r->head, data, len, SIZE_MAX) < 0)
		return read_error(r, STATUS_HEADERS_TOO_LARGE);
	from = before > 3 ? before - 3 : 0;
	found = memmem(r->head.data + from, r->head.len - from, CRLF2, 4);
	if (!found) {
		*used = len;
		return r->head.len > r->options.head_limit
			       ? read_error(r, STATUS_HEADERS_TOO_LARGE)
			       : HTTP_READ_MORE;
	}
	end = (size_t)(found - r->head.data) + 4;
	if (end > r->options.head_limit)
		return read_error(r, STATUS_HEADERS_TOO_LARGE);
	*used = end - before;
	r->head.len = end;
	if (!http_head_is_strict(&r->head, r->options.responses))
		return read_error(r, STATUS_BAD_REQUEST);
	rc = execute(r, r->head.data, r->head.len, &unused);
	r->head.len = 0;
	return rc;
}

enum http_read_result http_reader_feed(struct http_reader *r,
				       const uint8_t *data, size_t len,
				       size_t *used)
{
	size_t skipped = r->in_body ? 0 : skip_empty_lines(r, data, len);
	size_t consumed = 0;
	enum http_read_result rc = HTTP_READ_MORE;

	*used = skipped;
	if (!r->in_body && skipped < len) {
		rc = feed_head(r, data + skipped, len - skipped, &consumed);
		*used += consumed;
	}
	if (rc != HTTP_READ_MORE || !r->in_body || *used == len)
		return rc;
	if (r->chunked &&
	    chunk_check_feed(&r->chunks, data + *used, len - *used) < 0)
		return read_error(r, STATUS_BAD_REQUEST);
	rc = execute(r, data + *used, len - *used, &consumed);
	*used += consumed;
	return rc;
}

enum http_read_result http_reader_eof(struct http_reader *r)
{
	size_t used;

	if (!r->in_body)
		return read_error(r, STATUS_BAD_REQUEST);
	return execute(r, NULL, 0, &used) == HTTP_READ_COMPLETE
		       ? HTTP_READ_COMPLETE
		       : read_error(r, STATUS_BAD_REQUEST);
}

bool http_reader_keep_alive(const struct http_reader *r)
{
	return http_should_keep_alive(&r->parser);
}

bool http_reader_idle(const struct http_reader *r)
{
	return !r->head.len && !r->in_body;
}
