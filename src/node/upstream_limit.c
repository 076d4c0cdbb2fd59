/* What an upstream says of itself in its answers. */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "node/gates.h"

/* Calls a second; a higher limit binds no host. */
#define RATE_MAX 1e6

static void log_rate(const struct local_upstream *u, int level,
		     const char *event, const char *text)
{
	char addr[ADDR_TEXT_SIZE];
	struct log_line line;

	addr_format(&u->info.addr, addr);
	log_start(&line, level, event);
	log_str(&line, "service", u->info.service);
	log_str(&line, "upstream", addr);
	log_str(&line, "requests_s", text);
	log_emit(&line);
}

/* Reads a decimal number of requests a second; -1 if it is none. */
static int read_rate(const char *text, double *rate)
{
	char *end;

	if (!*text || strspn(text, "0123456789.") != strlen(text))
		return -1;
	*rate = strtod(text, &end);
	if (*end || !isfinite(*rate))
		return -1;
	if (*rate > RATE_MAX)
		*rate = RATE_MAX;
	return 0;
}

/*
 * Returns the lowest limit that the answer names, or NULL if none. Sets
 * malformed to a value that is no number.
 */
static const char *find_rate(const struct message *m, const char *name,
			     double *rate, const char **malformed)
{
	const char *lowest = NULL;
	double value;
	size_t i;

	for (i = 0; i < m->header_count; i++) {
		if (strcmp(m->headers[i].name, name) != 0)
			continue;
		if (read_rate(m->headers[i].value, &value) < 0) {
			*malformed = m->headers[i].value;
		} else if (!lowest || value < *rate) {
			*rate = value;
			lowest = m->headers[i].value;
		}
	}
	return lowest;
}

/*
 * Takes over the limit that an answer names. An answer without one ends it; one
 * whose limit is no number leaves it as it is.
 */
void upstream_limit_heard(struct local_upstream *u, const struct message *m,
			  const char *header, int64_t now)
{
	const char *malformed = NULL, *text;
	double rate = 0;

	text = find_rate(m, header, &rate, &malformed);
	if (!text && malformed) {
		if (!u->rate_refused)
			log_rate(u, LOG_NOTICE, "upstream-limit-refused",
				 malformed);
		u->rate_refused = true;
		gate_set_rate(u->gate, u->rate_named ? u->rate : -1, now);
		return;
	}
	u->rate_refused = false;
	/* An upstream may name another value in each answer. */
	if (u->rate_named != (text != NULL))
		log_rate(u, LOG_NOTICE,
			 text ? "upstream-limit" : "upstream-limit-ended",
			 text ? text : "");
	else if (u->rate != rate)
		log_rate(u, LOG_INFO, "upstream-limit", text);
	u->rate_named = text != NULL;
	u->rate = rate;
	gate_set_rate(u->gate, text ? rate : -1, now);
}
