/*
 * Reading and writing of HTTP/1.1 messages, shared by the HTTP server and the
 * client pool. http_parser does the framing; http_strict.c and http_reader.c
 * also reject messages that http_parser accepts although RFC 9112 forbids them.
 */
#ifndef NET_HTTP_IMPL_H
#define NET_HTTP_IMPL_H

#include <http_parser.h>

#include "net/tcp.h"

enum http_read_result {
	HTTP_READ_MORE,
	HTTP_READ_COMPLETE,
	HTTP_READ_ERROR, /* see http_reader.error_status */
};

struct http_reader_options {
	bool responses; /* reads responses instead of requests */
	size_t head_limit;
	size_t body_limit;
	void *ctx;
	/* If set, receives body data as it arrives; the body is not stored. */
	void (*body_data)(void *ctx, const void *data, size_t len);
};

enum chunk_state {
	CHUNK_SIZE_START,
	CHUNK_SIZE,
	CHUNK_SIZE_SPACE,
	CHUNK_EXTENSION,
	CHUNK_SIZE_LF,
	CHUNK_DATA,
	CHUNK_DATA_CR,
	CHUNK_DATA_LF,
	/* After the last chunk. */
	CHUNK_LINE_START,
	CHUNK_TRAILER_NAME,
	CHUNK_TRAILER_VALUE,
	CHUNK_TRAILER_LF,
	CHUNK_END_LF,
	CHUNK_END,
	CHUNK_BAD,
};

/* Where in the chunks of a body the bytes read so far end; initially zero. */
struct chunk_check {
	enum chunk_state state;
	uint64_t left; /* bytes of the current chunk */
	size_t line;   /* bytes of its line, or of all trailers */
};

int chunk_check_feed(struct chunk_check *c, const uint8_t *data, size_t len);
bool http_head_is_strict(const struct buffer *head, bool response);

/* Parses successive messages from the bytes of one connection. */
struct http_reader {
	struct http_reader_options options;
	struct http_parser parser;
	struct buffer head; /* head of the current message, until complete */
	struct buffer name;
	struct buffer value;
	struct buffer target;
	struct buffer connection; /* values of Connection, comma-separated */
	struct chunk_check chunks;
	uint32_t codings; /* lines of Transfer-Encoding */
	bool chunked;	  /* the last of these says so and nothing else */
	struct message message;
	bool in_value;
	bool in_body;
	bool no_body; /* reading the response to a HEAD request */
	bool complete;
	bool headers_too_large; /* or out of memory */
	bool body_too_large;
	int error_status;     /* HTTP status to reject a request with */
	int64_t keep_alive_s; /* timeout of the Keep-Alive header, or 0 */
};

void http_reader_init(struct http_reader *r,
		      const struct http_reader_options *o);
void http_reader_free(struct http_reader *r);
/* Prepares for the next message; no_body: it responds to a HEAD request. */
void http_reader_reset(struct http_reader *r, bool no_body);
/*
 * Parses bytes and sets *used to the number consumed, which may be less than
 * len once a message is complete.
 */
enum http_read_result http_reader_feed(struct http_reader *r,
				       const uint8_t *data, size_t len,
				       size_t *used);
/*
 * Reports an orderly close by the peer, which completes a response that has
 * no length.
 */
enum http_read_result http_reader_eof(struct http_reader *r);
/* Whether the peer keeps the connection open after this message. */
bool http_reader_keep_alive(const struct http_reader *r);
int64_t http_reader_body_left(const struct http_reader *r);
/* Whether no byte of the next message has been read. */
bool http_reader_idle(const struct http_reader *r);

/*
 * Raises the memory reserved for the body of a request from *held to size;
 * returns -1 and leaves *held if that exceeds what net_limit_requests allows
 * beside the bytes of responses that are unread.
 */
int request_memory_hold(struct net *net, size_t *held, size_t size,
			size_t unread);
void request_memory_release(struct net *net, size_t *held);

int http_write_response(struct buffer *out, const struct message *m, bool head,
			bool close);
int http_write_request(struct buffer *out, const struct message *m,
		       const char *host);

#endif
