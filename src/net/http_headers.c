#include "net/http_impl.h"

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define NAME_MAX_LEN 64

/*
 * This release of libwebsockets stores headers that it does not know, and
 * finds them by name, but cannot list them. So these names are asked for;
 * others go no further unless given in header_names.
 */
static const char *const known_names[] = {
	"idempotency-key:",
	"x-request-id:",
	"mulberryferry-context:",
	"mulberryferry-deadline-ms:",
	"mulberryferry-outcome:",
	"traceparent:",
	"tracestate:",
	"baggage:",
	"b3:",
	"x-b3-traceid:",
	"x-b3-spanid:",
	"x-b3-parentspanid:",
	"x-b3-sampled:",
	"x-correlation-id:",
	"x-forwarded-host:",
	"x-forwarded-proto:",
	"forwarded:",
	"prefer:",
	"preference-applied:",
	"priority:",
	"content-digest:",
	"repr-digest:",
	"signature:",
	"signature-input:",
	"x-requested-with:",
	"deprecation:",
	"sunset:",
	NULL,
};

/* RFC 9110 7.6.1, and what the loop itself writes for each connection. */
static const char *const hop_names[] = {
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

static bool in_list(const char *const *list, const char *name)
{
	for (; *list; list++)
		if (!strcmp(*list, name))
			return true;
	return false;
}

/* Tells whether a comma-separated list names the header. */
static bool named_in(const char *list, const char *name)
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

static bool is_hop(const char *name, const char *connection)
{
	return in_list(hop_names, name) || named_in(connection, name);
}

static int add_fragments(struct lws *wsi, enum lws_token_indexes token,
			 const char *name, struct message *m)
{
	char value[NET_IO_SIZE];
	int i;

	for (i = 0; lws_hdr_fragment_length(wsi, token, i) > 0; i++) {
		if (lws_hdr_copy_fragment(wsi, value, sizeof(value), token, i) <
		    0)
			return -1;
		if (message_add_header(m, name, value + strspn(value, " \t")) <
		    0)
			return -1;
	}
	return 0;
}

static int add_standard(struct lws *wsi, const char *connection,
			struct message *m)
{
	char name[NAME_MAX_LEN];
	const char *token;
	size_t len;
	int i;

	for (i = 0; i < _WSI_TOKEN_CLIENT_SENT_PROTOCOLS; i++) {
		if (lws_hdr_total_length(wsi, (enum lws_token_indexes)i) <= 0)
			continue;
		token = (const char *)lws_token_to_string(
			(enum lws_token_indexes)i);
		len = token ? strlen(token) : 0;
		/* Methods and the status line are kept as tokens as well. */
		if (len < 2 || len > sizeof(name) || token[len - 1] != ':' ||
		    !isalpha((unsigned char)token[0]))
			continue;
		memcpy(name, token, len - 1);
		name[len - 1] = 0;
		if (is_hop(name, connection))
			continue;
		if (add_fragments(wsi, (enum lws_token_indexes)i, name, m) < 0)
			return -1;
	}
	return 0;
}

/* Adds the header of that name, here with its colon, if it came. */
static int add_custom(struct lws *wsi, const char *key, const char *connection,
		      struct message *m)
{
	char value[NET_IO_SIZE], name[NAME_MAX_LEN];
	int n = (int)strlen(key), len = lws_hdr_custom_length(wsi, key, n);

	if (len < 0)
		return 0;
	if (len >= (int)sizeof(value) || n > (int)sizeof(name))
		return -1;
	memcpy(name, key, (size_t)n - 1);
	name[n - 1] = 0;
	if (is_hop(name, connection) || message_header(m, name))
		return 0;
	value[0] = 0;
	if (len && lws_hdr_custom_copy(wsi, value, sizeof(value), key, n) < 0)
		return -1;
	return message_add_header(m, name, value);
}

static int add_extra(struct lws *wsi, const char *const *names,
		     const char *connection, struct message *m)
{
	char key[NAME_MAX_LEN + 1];

	for (; names && *names; names++) {
		if (snprintf(key, sizeof(key), "%s:", *names) >=
		    (int)sizeof(key))
			return -1;
		if (add_custom(wsi, key, connection, m) < 0)
			return -1;
	}
	return 0;
}

/*
 * Adds the headers that came on wsi, without those of the connection alone:
 * all that libwebsockets knows, and of the others those named above or in
 * extra. Returns -1 when there are too many.
 */
int http_read_headers(struct lws *wsi, const char *const *extra,
		      struct message *m)
{
	char connection[256] = "";
	const char *const *name;

	if (lws_hdr_total_length(wsi, WSI_TOKEN_CONNECTION) > 0 &&
	    lws_hdr_copy(wsi, connection, sizeof(connection),
			 WSI_TOKEN_CONNECTION) < 0)
		return -1;
	if (add_standard(wsi, connection, m) < 0)
		return -1;
	for (name = known_names; *name; name++)
		if (add_custom(wsi, *name, connection, m) < 0)
			return -1;
	return add_extra(wsi, extra, connection, m);
}

static int read_length(struct lws *wsi, int fragment, uint64_t *len)
{
	char text[20], *end; /* up to 19 digits: fits in 64 bits */
	int n;

	n = lws_hdr_copy_fragment(wsi, text, sizeof(text),
				  WSI_TOKEN_HTTP_CONTENT_LENGTH, fragment);
	if (n <= 0 || !isdigit((unsigned char)text[0]))
		return -1;
	*len = strtoull(text, &end, 10);
	return *end ? -1 : 0;
}

/* Reads how the body that follows is framed. */
void http_read_body_info(struct lws *wsi, struct http_body_info *info)
{
	uint64_t len = 0;
	int i;

	memset(info, 0, sizeof(*info));
	info->chunked =
		lws_hdr_total_length(wsi, WSI_TOKEN_HTTP_TRANSFER_ENCODING) > 0;
	for (i = 0;
	     lws_hdr_fragment_length(wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH, i) > 0;
	     i++) {
		if (read_length(wsi, i, &len) < 0 ||
		    (info->has_length && len != info->len))
			info->bad = true;
		info->has_length = true;
		info->len = len;
	}
	if (info->chunked && info->has_length)
		info->bad = true;
}

/*
 * Writes the headers of m, without those of the connection alone. The
 * library writes its own Host. Returns -1 when they don't fit.
 */
int http_write_headers(struct lws *wsi, const struct message *m,
		       unsigned char **p, unsigned char *end)
{
	const char *connection = message_header(m, "connection");
	char key[256];
	size_t i;
	int n;

	for (i = 0; i < m->header_count; i++) {
		const struct header *h = &m->headers[i];

		if (is_hop(h->name, connection) || !strcmp(h->name, "host"))
			continue;
		n = snprintf(key, sizeof(key), "%s:", h->name);
		if (n >= (int)sizeof(key) || strpbrk(h->value, "\r\n"))
			return -1;
		if (lws_add_http_header_by_name(wsi, (const unsigned char *)key,
						(const unsigned char *)h->value,
						(int)strlen(h->value), p, end))
			return -1;
	}
	return 0;
}

/* Tells whether an answer to method with this status carries a body. */
bool http_answer_has_body(const char *method, int status)
{
	return strcmp(method, "HEAD") != 0 && status >= 200 &&
	       status != HTTP_NO_CONTENT && status != HTTP_NOT_MODIFIED;
}
