#include "net/http_impl.h"

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const struct {
	enum lws_token_indexes token;
	const char *method;
} methods[] = {
	{WSI_TOKEN_GET_URI, "GET"},	    {WSI_TOKEN_POST_URI, "POST"},
	{WSI_TOKEN_PUT_URI, "PUT"},	    {WSI_TOKEN_PATCH_URI, "PATCH"},
	{WSI_TOKEN_DELETE_URI, "DELETE"},   {WSI_TOKEN_HEAD_URI, "HEAD"},
	{WSI_TOKEN_OPTIONS_URI, "OPTIONS"},
};

static int append_encoded(struct buffer *out, const char *s, const char *plain)
{
	for (; *s; s++) {
		unsigned char c = (unsigned char)*s;

		if (isalnum(c) || strchr(plain, c)) {
			if (buffer_append(out, s, 1, SIZE_MAX) < 0)
				return -1;
		} else if (buffer_printf(out, "%%%02X", c) < 0) {
			return -1;
		}
	}
	return 0;
}

static int append_query(struct lws *wsi, struct buffer *out)
{
	char value[NET_IO_SIZE];
	int i;

	for (i = 0;
	     lws_hdr_fragment_length(wsi, WSI_TOKEN_HTTP_URI_ARGS, i) > 0; i++)
		if (lws_hdr_copy_fragment(wsi, value, sizeof(value),
					  WSI_TOKEN_HTTP_URI_ARGS, i) < 0 ||
		    buffer_append(out, i ? "&" : "?", 1, SIZE_MAX) < 0 ||
		    append_encoded(out, value, "-._~!$'()*,;:@/?=") < 0)
			return -1;
	return 0;
}

/*
 * Returns path and query in canonical encoding, to be freed, and fills
 * method. libwebsockets has decoded the target and resolved its dots by
 * now, so an encoded slash in a path has become a plain one. NULL when the
 * method is not served or memory is short.
 */
char *http_read_target(struct lws *wsi, char method[METHOD_SIZE])
{
	struct buffer out = {0};
	char path[NET_IO_SIZE];
	size_t i, n = sizeof(methods) / sizeof(*methods);

	for (i = 0; i < n; i++)
		if (lws_hdr_total_length(wsi, methods[i].token) > 0)
			break;
	if (i == n ||
	    lws_hdr_copy(wsi, path, sizeof(path), methods[i].token) < 0)
		return NULL;
	snprintf(method, METHOD_SIZE, "%s", methods[i].method);
	if (append_encoded(&out, path, "-._~!$&'()*+,;=:@/") < 0 ||
	    append_query(wsi, &out) < 0 ||
	    buffer_append(&out, "", 1, SIZE_MAX) < 0) {
		buffer_free(&out);
		return NULL;
	}
	return (char *)out.data;
}
