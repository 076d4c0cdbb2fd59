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

/* Copies one value up to the next '&', with %XX decoded. */
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

/* Finds a parameter of a query; false if it is absent or malformed. */
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
 * Reads a time in UTC: "02:00" is the last time that the clock showed it
 * before wall_s, "2026-01-31T02:00:00Z" is itself, and a plain number is
 * seconds since 1970. Returns seconds since 1970, or -1.
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
