#include "base/base.h"

#include <stdio.h>
#include <time.h>

static int64_t read_clock(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return ts.tv_sec * USEC_PER_SEC + ts.tv_nsec / 1000;
}

/* Monotonic time in microseconds; CLOCK_BOOTTIME to include suspends. */
int64_t clock_monotonic_us(void)
{
	return read_clock(CLOCK_BOOTTIME);
}

/*
 * Microseconds since 1970 UTC. For display and records only, as the wall clock
 * may be set; time limits use clock_monotonic_us.
 */
int64_t clock_wall_us(void)
{
	return read_clock(CLOCK_REALTIME);
}

/* Formats a time as RFC 3339 in UTC, with milliseconds. */
void format_wall_time(int64_t wall_us, char text[32])
{
	time_t sec = (time_t)(wall_us / USEC_PER_SEC);
	char date[24];
	struct tm tm;

	gmtime_r(&sec, &tm);
	strftime(date, sizeof(date), "%Y-%m-%dT%H:%M:%S", &tm);
	snprintf(text, 32, "%s.%03dZ", date,
		 (int)(wall_us % USEC_PER_SEC / USEC_PER_MSEC));
}
