#include <errno.h>
#include <stdio.h>
#include <string.h>

#include "cmd/client.h"

#define CHUNK_SIZE 4096

static int read_chunks(FILE *f, const char *path, size_t limit,
		       struct buffer *out)
{
	char chunk[CHUNK_SIZE];
	size_t n;

	while ((n = fread(chunk, 1, sizeof(chunk), f)) > 0)
		if (buffer_append(out, chunk, n, limit) < 0) {
			fprintf(stderr,
				"mulberryferry: %s: longer than %zu bytes\n",
				path, limit);
			return -1;
		}
	if (ferror(f)) {
		fprintf(stderr, "mulberryferry: %s: %s\n", path,
			strerror(errno));
		return -1;
	}
	/* Terminate the text with a NUL that len does not count. */
	if (buffer_append(out, "", 1, limit + 1) < 0)
		return -1;
	out->len--;
	return 0;
}

int read_file(const char *path, size_t limit, struct buffer *out)
{
	FILE *f = strcmp(path, "-") ? fopen(path, "re") : stdin;
	int rc;

	if (!f) {
		fprintf(stderr, "mulberryferry: %s: %s\n", path,
			strerror(errno));
		return -1;
	}
	rc = read_chunks(f, path, limit, out);
	if (f != stdin)
		fclose(f);
	if (rc < 0)
		buffer_free(out);
	return rc;
}
