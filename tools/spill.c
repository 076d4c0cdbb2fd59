/*
 * Compares three ways of placing calls of a service in three data centres, in
 * the model of test/spill_model.c: one line for each load and way.
 */
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../test/spill_model.h"

#define MB 1e6

struct load {
	const char *name;
	struct model_options o;
	uint32_t from, to; /* seconds that count */
};

#define ALL             \
	{               \
		4, 4, 4 \
	}

static const struct load loads[] = {
	{"burst in one data centre",
	 {.phases = {{0, {1.5, 0.4, 0.4}, ALL, {0}}}, .phase_count = 1},
	 10,
	 20},
	{"half of the upstreams are gone",
	 {.phases = {{0, {0.7, 0.5, 0.5}, ALL, {0}},
		     {5 * USEC_PER_SEC, {0.7, 0.5, 0.5}, {2, 4, 4}, {0}}},
	  .phase_count = 2},
	 10,
	 20},
	{"all are full",
	 {.phases = {{0, {1.2, 1.2, 1.2}, ALL, {0}}}, .phase_count = 1},
	 10,
	 20},
	{"burst ends at 10 s",
	 {.phases = {{0, {1.5, 0.4, 0.4}, ALL, {0}},
		     {10 * USEC_PER_SEC, {0.5, 0.4, 0.4}, ALL, {0}}},
	  .phase_count = 2},
	 13,
	 20},
	{"light load, 0.5, 0.6, 0.7",
	 {.phases = {{0, {0.5, 0.6, 0.7}, ALL, {0}}}, .phase_count = 1},
	 10,
	 20},
	{"speeds differ by 2.5",
	 {.phases = {{0, {0.3, 0.3, 0.3}, ALL, {0}}},
	  .phase_count = 1,
	  .service_us = {150 * USEC_PER_MSEC, 60 * USEC_PER_MSEC,
			 60 * USEC_PER_MSEC}},
	 10,
	 20},
	{"burst, a tenth of the answers have 30 MB",
	 {.phases = {{0, {1.5, 0.4, 0.4}, ALL, {0}}},
	  .phase_count = 1,
	  .large_share = 0.1,
	  .large_bytes = 30 * MB},
	 10,
	 20},
	{"callers move to another data centre",
	 {.phases = {{0, {1.3, 0.3, 0.3}, ALL, {0}},
		     {8 * USEC_PER_SEC, {0.3, 1.3, 0.3}, ALL, {0}}},
	  .phase_count = 2},
	 4,
	 16},
	{"cut off from 10 to 15 s while its calls cross",
	 {.phases = {{0, {1.3, 0.4, 0.4}, ALL, {0}},
		     {10 * USEC_PER_SEC,
		      {1.3, 0.4, 0.4},
		      ALL,
		      {true, false, false}},
		     {15 * USEC_PER_SEC, {1.3, 0.4, 0.4}, ALL, {0}}},
	  .phase_count = 3},
	 10,
	 25},
};

static const char *const way_names[] = {"locality", "weighted", "spill"};

static double ratio(double a, double b)
{
	return b > 0 ? a / b : 0;
}

static void print_sum(const struct load *l, const char *way,
		      const struct model_second *s)
{
	double calls = 0, in_time = 0, crossed = 0, bytes = 0, queue = 0;
	uint32_t i;

	for (i = 0; i < MODEL_DATA_CENTRES; i++) {
		calls += s->calls[i];
		in_time += s->in_time[i];
		crossed += s->crossed[i];
		bytes += s->crossed_bytes[i];
		if (s->queue_max_us[i] > queue)
			queue = s->queue_max_us[i];
	}
	printf("load=\"%s\" way=%s in_time=%.3f of_first=%.3f last=%.3f "
	       "crossed=%.3f mb_s=%.2f latency_ms=%.0f queue_max_ms=%.0f\n",
	       l->name, way, ratio(in_time, calls),
	       ratio(s->in_time[0], s->calls[0]),
	       ratio(s->class_in_time[SHED_LAST], s->class_calls[SHED_LAST]),
	       ratio(crossed, calls), bytes / MB / (l->to - l->from),
	       ratio(s->latency_us[0], s->calls[0] - s->failed[0]) / 1e3,
	       queue / 1e3);
}

static void print_seconds(const struct model_result *r, uint32_t seconds)
{
	const struct model_second *s;
	uint32_t i;

	for (i = 0; i < seconds; i++) {
		s = &r->seconds[i];
		printf("second=%u crossed=%.3f,%.3f,%.3f in_time=%.3f,%.3f,"
		       "%.3f queue_max_ms=%.0f,%.0f,%.0f no_room=%u "
		       "saves_time=%u\n",
		       i, ratio(s->crossed[0], s->calls[0]),
		       ratio(s->crossed[1], s->calls[1]),
		       ratio(s->crossed[2], s->calls[2]),
		       ratio(s->in_time[0], s->calls[0]),
		       ratio(s->in_time[1], s->calls[1]),
		       ratio(s->in_time[2], s->calls[2]),
		       s->queue_max_us[0] / 1e3, s->queue_max_us[1] / 1e3,
		       s->queue_max_us[2] / 1e3, s->by_reason[SPILL_NO_ROOM],
		       s->by_reason[SPILL_SAVES_TIME]);
	}
}

struct options {
	struct spill_cost cost;
	bool seconds;
	int load; /* -1: all */
	uint64_t seed;
};

static int run_load(const struct load *l, const struct options *o)
{
	static struct model_result r;
	struct model_options m = l->o;
	struct model_second sum;
	int way;

	m.cost = o->cost;
	m.seed = o->seed;
	m.seconds = l->to + 1; /* for the calls under way */
	for (way = MODEL_LOCALITY; way <= MODEL_SPILL; way++) {
		m.way = (enum model_way)way;
		if (spill_model_run(&m, &r) < 0)
			return -1;
		spill_model_sum(&r, l->from, l->to, &sum);
		print_sum(l, way_names[way], &sum);
		if (o->seconds)
			print_seconds(&r, l->to);
	}
	return 0;
}

static error_t parse(int key, char *arg, struct argp_state *state)
{
	struct options *o = state->input;

	switch (key) {
	case 'c':
		o->cost.per_mb = strtod(arg, NULL);
		return 0;
	case 'w':
		o->cost.wait_worth_per_s = strtod(arg, NULL);
		return 0;
	case 'b':
		o->seconds = true;
		return 0;
	case 'l':
		o->load = (int)strtol(arg, NULL, 10);
		return 0;
	case 's':
		o->seed = strtoull(arg, NULL, 10);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int main(int argc, char **argv)
{
	static const struct argp_option list[] = {
		{"cost", 'c', "N", 0, "cost of a megabyte that crosses", 0},
		{"worth", 'w', "N", 0, "worth of a second less", 0},
		{"seconds", 'b', NULL, 0, "also print each second", 0},
		{"load", 'l', "I", 0, "only the load with this number", 0},
		{"seed", 's', "N", 0, "seed of the model", 0},
		{0},
	};
	static const struct argp argp = {
		.options = list,
		.parser = parse,
		.doc = "Compares ways of placing calls in data centres.",
	};
	struct options o = {.cost = {0.02, 1}, .load = -1, .seed = 1};
	int i;

	argp_parse(&argp, argc, argv, 0, NULL, &o);
	for (i = 0; i < (int)(sizeof(loads) / sizeof(*loads)); i++)
		if ((o.load < 0 || o.load == i) && run_load(&loads[i], &o) < 0)
			return 1;
	return 0;
}
