/*
 * Checks beside http_parser, which takes several messages that RFC 9112
 * forbids: lines, status lines and the framing of chunks.
 */
#include <ctype.h>
#include <string.h>

#include "net/http_impl.h"

#define HTTP_VERSION "HTTP/1." /* and a digit */
#define STATUS_AT 9	       /* "HTTP/1.1 200" */
#define STATUS_END 12
#define CHUNK_DIGITS_MAX 15 /* leaves room in 64 bits */
#define CHUNK_LINE_MAX 4096
#define TRAILERS_MAX 32768

static bool is_token(char c)
{
	return isalnum((unsigned char)c) || (c && strchr("!#$%&'*+-.^_`|~", c));
}

/* Visible, white space, or beyond ASCII. */
static bool is_text(char c)
{
	return c == '\t' || ((unsigned char)c >= ' ' && c != '\177');
}

static bool is_all_text(const char *p, size_t len)
{
	while (len && is_text(*p)) {
		p++;
		len--;
	}
	return !len;
}

/*
 * RFC 9112, 4. The space after the code may be missing where no reason follows,
 * as words may be told apart by any white space.
 */
static bool status_line_is_strict(const char *line, size_t len)
{
	if (len < STATUS_END ||
	    memcmp(line, HTTP_VERSION, strlen(HTTP_VERSION)) != 0 ||
	    !isdigit((unsigned char)line[strlen(HTTP_VERSION)]) ||
	    line[STATUS_AT - 1] != ' ')
		return false;
	if (line[STATUS_AT] < '1' || line[STATUS_AT] > '5' ||
	    !isdigit((unsigned char)line[STATUS_AT + 1]) ||
	    !isdigit((unsigned char)line[STATUS_AT + 2]))
		return false;
	return len == STATUS_END || line[STATUS_END] == ' ';
}

/* RFC 9112 5.1: no space before the colon; 5.2: no obsolete line folding. */
static bool header_is_strict(const char *line, size_t len)
{
	size_t i = 0;

	while (i < len && is_token(line[i]))
		i++;
	return i && i < len && line[i] == ':';
}

/*
 * Whether every line ends in CRLF and has no other CR, LF or NUL, and every
 * header line passes header_is_strict; of a response, also whether the status
 * line is valid and no line has other control characters.
 */
bool http_head_is_strict(const struct buffer *head, bool response)
{
	const char *line = (const char *)head->data;
	const char *last = line + head->len - 2; /* the empty line */
	const char *end;
	size_t len;
	bool first = true;

	if (memchr(line, 0, head->len))
		return false;
	for (; line < last; line = end + 2, first = false) {
		end = memchr(line, '\r', (size_t)(last - line));
		if (!end || end[1] != '\n' ||
		    memchr(line, '\n', (size_t)(end - line)))
			return false;
		len = (size_t)(end - line);
		if (first ? response && !status_line_is_strict(line, len)
			  : !header_is_strict(line, len))
			return false;
		if (response && !is_all_text(line, len))
			return false;
	}
	return true;
}

static enum chunk_state after_size(struct chunk_check *c)
{
	c->line = 0;
	return c->left ? CHUNK_DATA : CHUNK_LINE_START;
}

/* The size and extensions of a chunk: RFC 9112, 7.1. */
static enum chunk_state size_state(struct chunk_check *c, char b)
{
	const char *digits = "0123456789abcdef";
	const char *digit = b ? strchr(digits, tolower(b)) : NULL;

	switch (c->state) {
	case CHUNK_SIZE_START:
	case CHUNK_SIZE:
		if (digit && c->left >> 4 * CHUNK_DIGITS_MAX == 0) {
			c->left = c->left << 4 | (uint64_t)(digit - digits);
			return CHUNK_SIZE;
		}
		if (digit || c->state == CHUNK_SIZE_START)
			return CHUNK_BAD;
		/* fall through */
	case CHUNK_SIZE_SPACE:
		if (b == ' ' || b == '\t')
			return CHUNK_SIZE_SPACE;
		if (b == ';')
			return CHUNK_EXTENSION;
		return b == '\r' && c->state == CHUNK_SIZE ? CHUNK_SIZE_LF
							   : CHUNK_BAD;
	case CHUNK_EXTENSION:
		if (b == '\r')
			return CHUNK_SIZE_LF;
		return is_text(b) ? CHUNK_EXTENSION : CHUNK_BAD;
	default:
		return b == '\n' ? after_size(c) : CHUNK_BAD;
	}
}

/* Trailers and the empty line behind them: RFC 9112, 7.1.2. */
static enum chunk_state trailer_state(struct chunk_check *c, char b)
{
	switch (c->state) {
	case CHUNK_LINE_START:
		if (b == '\r')
			return CHUNK_END_LF;
		return is_token(b) ? CHUNK_TRAILER_NAME : CHUNK_BAD;
	case CHUNK_TRAILER_NAME:
		if (b == ':')
			return CHUNK_TRAILER_VALUE;
		return is_token(b) ? CHUNK_TRAILER_NAME : CHUNK_BAD;
	case CHUNK_TRAILER_VALUE:
		if (b == '\r')
			return CHUNK_TRAILER_LF;
		return is_text(b) ? CHUNK_TRAILER_VALUE : CHUNK_BAD;
	case CHUNK_TRAILER_LF:
		return b == '\n' ? CHUNK_LINE_START : CHUNK_BAD;
	default:
		return b == '\n' ? CHUNK_END : CHUNK_BAD;
	}
}

static enum chunk_state next_state(struct chunk_check *c, char b)
{
	if (c->state == CHUNK_DATA_CR)
		return b == '\r' ? CHUNK_DATA_LF : CHUNK_BAD;
	if (c->state == CHUNK_DATA_LF)
		return b == '\n' ? CHUNK_SIZE_START : CHUNK_BAD;
	c->line++;
	if (c->state >= CHUNK_LINE_START)
		return c->line > TRAILERS_MAX ? CHUNK_BAD : trailer_state(c, b);
	return c->line > CHUNK_LINE_MAX ? CHUNK_BAD : size_state(c, b);
}

/*
 * Follows the chunks of a body. Returns -1 once they break the grammar; bytes
 * after the end of the body are ignored.
 */
int chunk_check_feed(struct chunk_check *c, const uint8_t *data, size_t len)
{
	size_t n;

	for (; len && c->state != CHUNK_END; data += n, len -= n) {
		n = 1;
		if (c->state != CHUNK_DATA) {
			c->state = next_state(c, (char)*data);
		} else {
			n = c->left < len ? (size_t)c->left : len;
			c->left -= n;
			if (!c->left)
				c->state = CHUNK_DATA_CR;
		}
		if (c->state == CHUNK_BAD)
			return -1;
	}
	return 0;
}
