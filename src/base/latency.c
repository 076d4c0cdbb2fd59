#include <gsl/gsl_histogram.h>

#include "base/base.h"

/*
 * Bucket bounds in seconds, from the duration of a token loan to the longest
 * deadlines of routes.
 */
static const double bounds[] = {0,   0.001, 0.0025, 0.005, 0.01, 0.025, 0.05,
				0.1, 0.25,  0.5,    1,	   2.5,	 5,	10};
#define BOUND_COUNT (sizeof(bounds) / sizeof(*bounds))

struct latency_row {
	const char *name;
	const char *help;
	gsl_histogram *histogram; /* allocated by the first sample */
	uint64_t count;		  /* includes samples past the last bound */
	double sum_s;
};

static struct latency_row rows[LATENCY_COUNT] = {
	[LATENCY_REQUEST] = {.name = "request_seconds",
			     .help = "Callers' requests, to their end"},
	[LATENCY_QUEUE] = {.name = "queue_seconds",
			   .help = "Calls that wait at a gate"},
	[LATENCY_UPSTREAM] = {.name = "upstream_seconds",
			      .help = "Calls that an upstream runs"},
};

static gsl_histogram *make_histogram(void)
{
	gsl_histogram *h = gsl_histogram_alloc(BOUND_COUNT - 1);

	if (h)
		gsl_histogram_set_ranges(h, bounds, BOUND_COUNT);
	return h;
}

/*
 * Adds a sample in microseconds. When out of memory for the histogram, only
 * count and sum include it.
 */
void latency_add(enum latency l, int64_t us)
{
	struct latency_row *row = &rows[l];
	double s = (double)us / USEC_PER_SEC;

	if (!row->histogram)
		row->histogram = make_histogram();
	row->count++;
	row->sum_s += s;
	if (row->histogram && s >= 0 && s < bounds[BOUND_COUNT - 1])
		gsl_histogram_increment(row->histogram, s);
}

/* Returns the number of samples. */
uint64_t latency_count(enum latency l)
{
	return rows[l].count;
}

static int write_row(const struct latency_row *row, struct buffer *out)
{
	double cumulative = 0;
	size_t i;

	if (buffer_printf(out,
			  "# HELP mulberryferry_%s %s\n"
			  "# TYPE mulberryferry_%s histogram\n",
			  row->name, row->help, row->name) < 0)
		return -1;
	for (i = 0; i + 1 < BOUND_COUNT; i++) {
		if (row->histogram)
			cumulative += gsl_histogram_get(row->histogram, i);
		if (buffer_printf(out,
				  "mulberryferry_%s_bucket{le=\"%g\"} %.0f\n",
				  row->name, bounds[i + 1], cumulative) < 0)
			return -1;
	}
	return buffer_printf(out,
			     "mulberryferry_%s_bucket{le=\"+Inf\"} %llu\n"
			     "mulberryferry_%s_sum %.6f\n"
			     "mulberryferry_%s_count %llu\n",
			     row->name, (unsigned long long)row->count,
			     row->name, row->sum_s, row->name,
			     (unsigned long long)row->count);
}

/* Appends the histograms in Prometheus text format; -1 when out of memory. */
int latencies_write(struct buffer *out)
{
	int i;

	for (i = 0; i < LATENCY_COUNT; i++)
		if (write_row(&rows[i], out) < 0)
			return -1;
	return 0;
}
