#include "base/base.h"

#include <limits.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define QUEUE_BYTES_MAX (128 * 1024)
#define MINOR_LINES_PER_S 600	     /* limit for lines below LOG_NOTICE */
#define GAP_INTERVAL_US USEC_PER_SEC /* between log-gap lines */

static int max_priority = LOG_INFO;
static int log_fd = STDERR_FILENO;

/* Lines that log_flush has yet to write; unused before log_open. */
static struct {
	bool enabled;
	char text[QUEUE_BYTES_MAX];
	size_t len;
	uint64_t lost;	     /* lines dropped since the last log-gap line */
	uint32_t minor_left; /* lines below LOG_NOTICE left in this second */
	int64_t interval_start_us;
	int64_t gap_logged_us;
} queue;

/* Sets the least urgent syslog priority that is written. */
void log_set_level(int priority)
{
	max_priority = priority;
}

/* Whether lines of this syslog priority are written. */
bool log_enabled(int priority)
{
	return priority <= max_priority;
}

/* Begins a line; nothing is formatted if its priority is not written. */
void log_start(struct log_line *line, int priority, const char *event)
{
	char when[32];
	int n;

	line->priority = priority;
	line->len = 0;
	if (!log_enabled(priority))
		return;
	format_wall_time(clock_wall_us(), when);
	n = snprintf(line->text, sizeof(line->text),
		     "<%d>%s mulberryferry[%d]: event=%s", priority, when,
		     (int)getpid(), event);
	line->len = (size_t)n;
}

static void append(struct log_line *line, const char *s, size_t n)
{
	/* Leave the last byte for the newline. */
	if (n > sizeof(line->text) - 1 - line->len)
		n = sizeof(line->text) - 1 - line->len;
	memcpy(line->text + line->len, s, n);
	line->len += n;
}

static bool needs_quotes(const char *s)
{
	if (!*s)
		return true;
	for (; *s; s++)
		if (*s <= ' ' || *s == '"' || *s == '=' || *s == '\\' ||
		    *s == 0x7f)
			return true;
	return false;
}

static void append_quoted(struct log_line *line, const char *s)
{
	char hex[5];

	append(line, "\"", 1);
	for (; *s; s++) {
		if (*s == '"' || *s == '\\') {
			append(line, "\\", 1);
			append(line, s, 1);
		} else if ((unsigned char)*s < ' ' || *s == 0x7f) {
			snprintf(hex, sizeof(hex), "\\x%02x",
				 (unsigned char)*s);
			append(line, hex, 4);
		} else {
			append(line, s, 1);
		}
	}
	append(line, "\"", 1);
}

/*
 * Adds key=value. An empty value, or one with spaces, quotes, '=', backslashes
 * or control characters, is quoted and escaped. NULL is written as "-".
 */
void log_str(struct log_line *line, const char *key, const char *value)
{
	if (!log_enabled(line->priority))
		return;
	append(line, " ", 1);
	append(line, key, strlen(key));
	append(line, "=", 1);
	if (!value)
		value = "-";
	if (needs_quotes(value))
		append_quoted(line, value);
	else
		append(line, value, strlen(value));
}

/* Adds key=value for an integer. */
void log_int(struct log_line *line, const char *key, int64_t value)
{
	char text[24];

	snprintf(text, sizeof(text), "%lld", (long long)value);
	log_str(line, key, text);
}

/* Queues a line; false if the queue or the rate limit does not admit it. */
static bool enqueue(const struct log_line *line)
{
	bool minor = line->priority > LOG_NOTICE;

	if ((minor && !queue.minor_left) ||
	    queue.len + line->len > QUEUE_BYTES_MAX) {
		queue.lost++;
		return false;
	}
	queue.minor_left -= minor;
	memcpy(queue.text + queue.len, line->text, line->len);
	queue.len += line->len;
	return true;
}

/* Queues the line after log_open; before, writes it with one write call. */
void log_emit(struct log_line *line)
{
	if (!log_enabled(line->priority))
		return;
	line->text[line->len++] = '\n';
	if (queue.enabled) {
		counter_add(enqueue(line) ? COUNTER_LOG_LINES
					  : COUNTER_LOG_LOST,
			    1);
		return;
	}
	counter_add(COUNTER_LOG_LINES, 1);
	if (write(log_fd, line->text, line->len) < 0)
		return;
}

/* From now on, queues lines for log_flush to write to fd. */
void log_open(int fd)
{
	log_fd = fd;
	queue.enabled = true;
	queue.minor_left = MINOR_LINES_PER_S;
}

static bool is_writable(void)
{
	struct pollfd p = {.fd = log_fd, .events = POLLOUT};

	return poll(&p, 1, 0) == 1 && (p.revents & POLLOUT);
}

/* Logs how many lines were dropped, at most once in GAP_INTERVAL_US. */
static void log_gap(int64_t now)
{
	struct log_line line;
	uint64_t lost = queue.lost;

	if (!lost || now - queue.gap_logged_us < GAP_INTERVAL_US)
		return;
	queue.gap_logged_us = now;
	log_start(&line, LOG_NOTICE, "log-gap");
	log_int(&line, "lines", (int64_t)lost);
	queue.lost = 0;
	log_emit(&line);
}

/*
 * Writes queued lines until the descriptor would block. Each write is at most
 * PIPE_BUF bytes, which a pipe that polls writable takes without blocking.
 */
void log_flush(int64_t now)
{
	size_t at = 0, len;
	ssize_t n;

	if (now - queue.interval_start_us >= USEC_PER_SEC) {
		queue.interval_start_us = now;
		queue.minor_left = MINOR_LINES_PER_S;
	}
	log_gap(now);
	while (at < queue.len && is_writable()) {
		len = queue.len - at < PIPE_BUF ? queue.len - at : PIPE_BUF;
		n = write(log_fd, queue.text + at, len);
		if (n <= 0)
			break;
		at += (size_t)n;
	}
	memmove(queue.text, queue.text + at, queue.len - at);
	queue.len -= at;
}

/* Logs an error as one line with its code, step, peer and text. */
void log_error(int priority, const char *event, const struct error *err)
{
	struct log_line line;

	log_start(&line, priority, event);
	log_str(&line, "code", error_code_name(err->code));
	log_str(&line, "step", err->step);
	log_str(&line, "peer", err->peer);
	log_str(&line, "text", err->text);
	log_emit(&line);
}
