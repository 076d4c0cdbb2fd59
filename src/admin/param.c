#include "admin/admin_impl.h"

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define DAY_S 86400

static int hex_digit(char c)
{
	if (isdigit((unsigned char)c))
		return c - '0';
	c = (char)tolower((unsigned char)c);
	return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
}

/*
 * Copies a value up to the next '&' and decodes %XX. Returns false if it does
 * not fit, has a malformed escape or contains %00.
 */
static bool decode_value(const char *from, char *value, size_t size)
{
	size_t n = 0;
	int high, low;

	for (; *from && *from != '&'; from++) {
		if (n + 1 >= size)
			return false;
		value[n] = *from;
		if (*from == '%') {
			high = hex_digit(from[1]);
			low = high < 0 ? -1 : hex_digit(from[2]);
			if (low < 0 || !(high | low))
				return false;
			value[n] = (char)(high * 16 + low);
			from += 2;
		}
		n++;
	}
	value[n] = 0;
	return true;
}

/*
 * Copies the decoded value of a query parameter; false if it is absent,
 * malformed or does not fit.
 */
bool admin_param(const char *query, const char *name, char *value, size_t size)
{
	size_t len = strlen(name);

	while (query && *query) {
		if (!strncmp(query, name, len) && query[len] == '=')
			return decode_value(query + len + 1, value, size);
		query = strchr(query, '&');
		if (query)
			query++;
	}
	return false;
}

/*
 * Parses a time in UTC: a time of day ("02:00") stands for its latest
 * occurrence up to wall_s, and a full time ("2026-01-31T02:00:00Z") or a
 * number of seconds since 1970 for itself. Returns seconds since 1970, or -1
 * when malformed.
 */
int64_t admin_time(const char *text, int64_t wall_s)
{
	struct tm tm = {0};
	int64_t t;
	char *end;

	end = strptime(text, "%Y-%m-%dT%H:%M:%S", &tm);
	if (end && (!*end || !strcmp(end, "Z")))
		return timegm(&tm);
	memset(&tm, 0, sizeof(tm));
	end = strptime(text, "%H:%M", &tm);
	if (end && !*end) {
		t = wall_s - wall_s % DAY_S + tm.tm_hour * 3600 +
		    tm.tm_min * 60;
		return t > wall_s ? t - DAY_S : t;
	}
	if (!isdigit((unsigned char)*text))
		return -1;
	t = strtoll(text, &end, 10);
	return *end ? -1 : t;
}
