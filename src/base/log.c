#include "base/base.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

static int max_priority = LOG_INFO;

/* Sets the least urgent syslog priority that is still written. */
void log_set_level(int priority)
{
	max_priority = priority;
}

/* Tells whether lines of this syslog priority are written. */
bool log_enabled(int priority)
{
	return priority <= max_priority;
}

/* Begins one line; nothing is formatted when the priority is filtered. */
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

static void put(struct log_line *line, const char *s, size_t n)
{
	/* The last byte is kept for the newline. */
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

static void put_quoted(struct log_line *line, const char *s)
{
	char hex[5];

	put(line, "\"", 1);
	for (; *s; s++) {
		if (*s == '"' || *s == '\\') {
			put(line, "\\", 1);
			put(line, s, 1);
		} else if ((unsigned char)*s < ' ' || *s == 0x7f) {
			snprintf(hex, sizeof(hex), "\\x%02x",
				 (unsigned char)*s);
			put(line, hex, 4);
		} else {
			put(line, s, 1);
		}
	}
	put(line, "\"", 1);
}

/* Adds key=value; a value with spaces or controls is quoted and escaped. */
void log_str(struct log_line *line, const char *key, const char *value)
{
	if (!log_enabled(line->priority))
		return;
	put(line, " ", 1);
	put(line, key, strlen(key));
	put(line, "=", 1);
	if (!value)
		value = "-";
	if (needs_quotes(value))
		put_quoted(line, value);
	else
		put(line, value, strlen(value));
}

/* Adds key=value for a whole number. */
void log_int(struct log_line *line, const char *key, int64_t value)
{
	char text[24];

	snprintf(text, sizeof(text), "%lld", (long long)value);
	log_str(line, key, text);
}

/* Writes the line to standard error with one write call. */
void log_emit(struct log_line *line)
{
	if (!log_enabled(line->priority))
		return;
	line->text[line->len++] = '\n';
	counter_add(COUNTER_LOG_LINES, 1);
	if (write(STDERR_FILENO, line->text, line->len) < 0)
		return;
}

/* Writes one line for an error with its step and peer. */
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
