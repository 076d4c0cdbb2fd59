/*
 * Sends one request: say METHOD ADDR TARGET [BODY]. Prints the status; exits
 * with 0 if it is 200.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "stand.h"

static struct conn c;
static struct http m;
static char text[BODY_MAX];

int main(int argc, char **argv)
{
	const char *body = argc > 4 ? argv[4] : "";
	int len;

	if (argc < 4)
		return 2;
	len = snprintf(text, sizeof(text),
		       "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: "
		       "application/json\r\nContent-Length: %zu\r\n"
		       "Connection: close\r\n\r\n%s",
		       argv[1], argv[3], argv[2], strlen(body), body);
	c.fd = dial(argv[2], 2000);
	if (c.fd < 0 || write_all(c.fd, text, (size_t)len) < 0 ||
	    http_read(&c, &m) != 1)
		return 1;
	printf("%d\n", http_status(&m));
	return http_status(&m) != 200;
}
