/*
 * What HTTP server and client share: reading and writing of messages on a
 * connection. Framing is http_parser's; what it lets pass and RFC 9112 does
 * not is refused beside it.
 */
#ifndef NET_HTTP_IMPL_H
#define NET_HTTP_IMPL_H

#include <http_parser.h>

#include "net/tcp.h"

enum http_read_result {
	HTTP_READ_MORE,
	HTTP_READ_COMPLETE,
	HTTP_READ_ERROR, /* fault says how */
};

struct http_reader_options {
	bool responses; /* else requests */
	size_t head_limit;
	size_t body_limit;
	void *ctx;
	/* If set, each piece of a body as it comes, and none is kept. */
	void (*body_data)(void *ctx, const void *data, size_t len);
};

/* Reads one message after the other from the bytes of a connection. */
struct http_reader {
	struct http_reader_options options;
	struct http_parser parser;
	struct buffer head; /* of the present message, until it is whole */
	struct buffer name;
	struct buffer value;
	struct buffer target;
	struct buffer connection; /* names of headers for this hop alone */
	struct message message;
	bool in_value;
	bool in_body;
	bool no_body; /* the answer to a HEAD request */
	bool complete;
	bool headers_too_large; /* headers, or memory is short */
	bool body_too_large;
	int error_status;     /* status that tells a caller what is wrong */
	int64_t keep_alive_s; /* of Keep-Alive; 0: not told */
};

void http_reader_init(struct http_reader *r,
		      const struct http_reader_options *o);
void http_reader_free(struct http_reader *r);
/* Gets ready for the next message; no_body as for an answer to HEAD. */
void http_reader_reset(struct http_reader *r, bool no_body);
/* Takes bytes; used tells how many, less than len once a message is whole. */
enum http_read_result http_reader_feed(struct http_reader *r,
				       const uint8_t *data, size_t len,
				       size_t *used);
/* The peer closed its side in order: an answer without a length is whole. */
enum http_read_result http_reader_eof(struct http_reader *r);
/* Whether the peer keeps the connection open after this message. */
bool http_reader_keep_alive(const struct http_reader *r);
/* Whether nothing of a next message has come. */
bool http_reader_idle(const struct http_reader *r);

int http_write_response(struct buffer *out, const struct message *m, bool head,
			bool close);
int http_write_request(struct buffer *out, const struct message *m,
		       const char *host);

#endif
