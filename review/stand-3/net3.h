/* Blocking sockets and HTTP/1.1 messages for the stand-ins of this review. */
#ifndef NET3_H
#define NET3_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define HEAD_SIZE 16384

/* A connection with the bytes that were read beyond the last message. */
struct conn {
	int fd;
	size_t len;
	char buf[HEAD_SIZE];
};

/* Head of a message, with a NUL at its end, and the size of its body. */
struct head {
	char text[HEAD_SIZE];
	size_t body;
};

int64_t now_ms(void);
int listen_on(const char *addr, char bound[64]);
int connect_to(const char *addr, int timeout_ms);
/* Returns 0, or -1 once the connection is lost or until_ms has passed. */
int send_all(int fd, const void *data, size_t len, int64_t until_ms);
int read_head(struct conn *c, struct head *h, int64_t until_ms);
int read_body(struct conn *c, size_t len, int64_t until_ms);
/* Copies the value of a header to to; empty if it is missing. */
void header(const struct head *h, const char *name, char *to, size_t size);
#endif
