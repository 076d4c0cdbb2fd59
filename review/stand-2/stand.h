/* Small blocking HTTP/1.1 helpers for the stand-ins of the review's scripts. */
#ifndef STAND_H
#define STAND_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define HEAD_MAX 8192
#define BODY_MAX 65536

/* A request or an answer as read from a connection. */
struct http {
	char head[HEAD_MAX]; /* start line and headers, with NUL */
	size_t body_len;     /* bytes of its body, which is not kept */
};

/* A connection with the bytes that were received and not read yet. */
struct conn {
	int fd;
	char in[HEAD_MAX + BODY_MAX];
	size_t len;
	int pause_ms; /* before it reads the rest of a body of BODY_MAX or more */
	int kb_per_s; /* at which it reads that rest; 0: at once */
};

int64_t now_ms(void);
void sleep_ms(int64_t ms);
/* Returns a listening socket on 127.0.0.1 and its port; exits on failure. */
int listen_any(int *port);
/* Connects to "IP:PORT"; -1 on failure. Reads give up after timeout_ms. */
int dial(const char *addr, int timeout_ms);
int write_all(int fd, const char *data, size_t len);
/*
 * Reads one message. Returns 1; 0 if the peer closed before its first byte; -1
 * if the connection broke, or no more came in time, within the message.
 */
int http_read(struct conn *c, struct http *m);
/* Copies the value of a header; returns false, and "", if there is none. */
bool http_header(const struct http *m, const char *name, char *to, size_t size);
int http_status(const struct http *m);
/* Copies method and target of a request. */
void http_request_line(const struct http *m, char method[16], char target[256]);

/* Appends one line to the record, with the time in milliseconds first. */
void record_open(const char *path);
void record(const char *format, ...) __attribute__((format(printf, 1, 2)));

#endif
