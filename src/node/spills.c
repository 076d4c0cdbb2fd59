/*
 * Calls to other data centres, by service: the state of policy/spill.c, what
 * crossed and why, and the lines that say so.
 */
#include "node/node.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#define SERVICES_MAX 4096 /* then all are forgotten, as services come and go */
#define LOG_INTERVAL_US USEC_PER_SEC
#define LOG_CHANGE 0.05 /* smaller changes of the fraction are not logged */

void spills_free(struct node *n)
{
	struct service_spill *s = n->spills, *next;

	HASH_CLEAR(hh, n->spills);
	for (; s; s = next) {
		next = s->hh.next;
		free(s);
	}
}

struct service_spill *service_spill(struct node *n, const char *service)
{
	struct service_spill *s;

	HASH_FIND_STR(n->spills, service, s);
	if (s)
		return s;
	if (HASH_COUNT(n->spills) >= SERVICES_MAX)
		spills_free(n);
	s = calloc(1, sizeof(*s));
	if (!s)
		return NULL;
	copy_name(s->name, sizeof(s->name), service);
	HASH_ADD_STR(n->spills, name, s);
	return s;
}

/*
 * Logs the fraction if it changed by enough or became 0, at most once in
 * LOG_INTERVAL_US for a service.
 */
void service_spill_log(struct service_spill *s, int64_t now)
{
	double fraction = spill_fraction(&s->spill);
	struct log_line line;
	char text[16];

	if (s->logged_us && now - s->logged_us < LOG_INTERVAL_US)
		return;
	if (fabs(fraction - s->logged_fraction) < LOG_CHANGE &&
	    (fraction > 0 || s->logged_fraction <= 0))
		return;
	log_start(&line, LOG_NOTICE, "spill");
	log_str(&line, "service", s->name);
	snprintf(text, sizeof(text), "%.3f", fraction);
	log_str(&line, "fraction", text);
	snprintf(text, sizeof(text), "%.3f", s->logged_fraction);
	log_str(&line, "before", text);
	snprintf(text, sizeof(text), "%.2f", s->spill.load);
	log_str(&line, "load", text);
	log_str(&line, "reason",
		spill_reason_name(spill_main_reason(&s->spill)));
	log_emit(&line);
	s->logged_us = now;
	s->logged_fraction = fraction;
}

static int write_reasons(const struct service_spill *s, const char *metric,
			 const uint64_t values[SPILL_REASONS],
			 struct buffer *out)
{
	int i, rc = 0;

	for (i = SPILL_NO_ROOM; i < SPILL_REASONS; i++)
		rc |= buffer_printf(
			out,
			"mulberryferry_%s{service=\"%s\",reason=\"%s\"} "
			"%llu\n",
			metric, s->name,
			spill_reason_name((enum spill_reason)i),
			(unsigned long long)values[i]);
	return rc;
}

/*
 * Appends the metrics in Prometheus text format; -1 when out of memory. Names
 * of services need no escapes: they have letters, digits and . _ - only.
 */
int spills_write(const struct node *n, struct buffer *out)
{
	const struct service_spill *s;
	int rc = 0;

	if (!n->spills)
		return 0;
	rc |= buffer_printf(out, "# HELP mulberryferry_crossed_calls_total "
				 "Calls sent to other data centres\n"
				 "# TYPE mulberryferry_crossed_calls_total "
				 "counter\n");
	for (s = n->spills; s; s = s->hh.next)
		rc |= write_reasons(s, "crossed_calls_total", s->calls, out);
	rc |= buffer_printf(out, "# HELP mulberryferry_crossed_bytes_total "
				 "Bytes of these calls and their answers\n"
				 "# TYPE mulberryferry_crossed_bytes_total "
				 "counter\n");
	for (s = n->spills; s; s = s->hh.next)
		rc |= write_reasons(s, "crossed_bytes_total", s->bytes, out);
	rc |= buffer_printf(out, "# HELP mulberryferry_crossing_fraction "
				 "Share of the calls that are to cross\n"
				 "# TYPE mulberryferry_crossing_fraction "
				 "gauge\n");
	for (s = n->spills; s; s = s->hh.next)
		rc |= buffer_printf(out,
				    "mulberryferry_crossing_fraction"
				    "{service=\"%s\"} %.4f\n",
				    s->name, spill_fraction(&s->spill));
	return rc < 0 ? -1 : 0;
}
