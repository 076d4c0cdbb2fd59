#include "cmd/status_page.h"

#include <stdio.h>
#include <string.h>

#include "cmd/client.h"

#define BOLD "\033[1m"
#define RESET "\033[0m"
#define PERCENT 100.0
#define NEAR_LIMIT_RATIO 0.8 /* of the usable rate */

static void heading(const char *text, bool terminal)
{
	printf("\n%s%s%s\n", terminal ? BOLD : "", text, terminal ? RESET : "");
}

static double number(struct json_object *o, const char *name)
{
	return json_object_get_double(json_member(o, name));
}

static void print_summary(struct json_object *s)
{
	printf("host %s in %s%s\n", json_text(s, "host"),
	       json_text(s, "data_centre"),
	       json_object_get_boolean(json_member(s, "stopping"))
		       ? ", stopping"
		       : "");
	if (!json_number(s, "number")) {
		printf("no configuration yet\n");
		return;
	}
	printf("note %lld (%s) in force on %lld of %lld hosts, overload mode "
	       "%s\n",
	       (long long)json_number(s, "number"), json_text(s, "release"),
	       (long long)json_number(s, "in_force"),
	       (long long)json_number(s, "hosts"),
	       json_text(s, "overload_mode"));
	if (json_number(s, "stale_s") > 60)
		printf("cut off from configuration changes for %lld s\n",
		       (long long)json_number(s, "stale_s"));
	if (json_number(s, "store_replaced"))
		printf("the store came back from an older copy %lld s ago, "
		       "%lld times since the start; its era is %lld\n",
		       (long long)json_number(s, "store_replaced_s"),
		       (long long)json_number(s, "store_replaced"),
		       (long long)json_number(s, "store_era"));
	printf("%lld requests and %lld calls held\n",
	       (long long)json_number(s, "requests"),
	       (long long)json_number(s, "calls"));
}

static void print_upstreams(struct json_object *list)
{
	struct json_object *u;
	size_t i;

	for (i = 0; i < json_length(list); i++) {
		u = json_object_array_get_idx(list, i);
		printf("    %-16s %-22s %5lld slots  %s\n",
		       json_text(u, "service"), json_text(u, "address"),
		       (long long)json_number(u, "slots"),
		       json_text(u, "state"));
	}
}

static void print_members(struct json_object *list, bool terminal)
{
	struct json_object *m;
	size_t i;

	heading("hosts", terminal);
	for (i = 0; i < json_length(list); i++) {
		m = json_object_array_get_idx(list, i);
		printf("  %-16s %-12s %-22s %-8s note %lld\n",
		       json_text(m, "host"), json_text(m, "data_centre"),
		       json_text(m, "nodes"), json_text(m, "state"),
		       (long long)json_number(m, "number"));
		print_upstreams(json_member(m, "upstreams"));
	}
}

static void print_gates(struct json_object *list, bool terminal)
{
	struct json_object *g, *admitted;
	size_t i;

	heading("upstreams of this host", terminal);
	for (i = 0; i < json_length(list); i++) {
		g = json_object_array_get_idx(list, i);
		admitted = json_member(g, "admitted_share");
		printf("  %-16s running %lld of %lld (%lld slots), queued %lld "
		       "for %.1f ms, admitted last %.0f %% middle %.0f %% "
		       "first %.0f %%\n",
		       json_text(g, "service"),
		       (long long)json_number(g, "running"),
		       (long long)json_number(g, "limit"),
		       (long long)json_number(g, "slots"),
		       (long long)json_number(g, "queued"),
		       number(g, "queue_us") / USEC_PER_MSEC,
		       number(admitted, "last") * PERCENT,
		       number(admitted, "middle") * PERCENT,
		       number(admitted, "first") * PERCENT);
		if (number(g, "named_limit_s") > 0)
			printf("    it takes %g requests a second%s\n",
			       number(g, "named_limit_s"),
			       number(g, "cold_ms") > 0 ? ", as it is cold"
							: "");
	}
	if (!i)
		printf("  none\n");
}

static void print_cutoffs(struct json_object *list, bool terminal)
{
	struct json_object *c, *admitted;
	size_t i;

	heading("shed here, ahead of their gates", terminal);
	for (i = 0; i < json_length(list); i++) {
		c = json_object_array_get_idx(list, i);
		admitted = json_member(c, "admitted_share");
		printf("  service %-20s account %-20s admitted last %.0f %% "
		       "middle %.0f %% first %.0f %%\n",
		       json_text(c, "service"), json_text(c, "account"),
		       number(admitted, "last") * PERCENT,
		       number(admitted, "middle") * PERCENT,
		       number(admitted, "first") * PERCENT);
	}
	if (!i)
		printf("  nothing\n");
}

static void print_limits(struct json_object *limits, bool terminal)
{
	double rate, usable, demand;
	int n = 0;

	heading("account limits held here", terminal);
	if (!json_object_is_type(limits, json_type_object))
		return;
	json_object_object_foreach(limits, name, a)
	{
		rate = number(a, "rate");
		usable = rate * number(a, "usable");
		demand = number(a, "demand");
		printf("  %-24s share %5.1f %% of %g/s, tokens %.1f, demand "
		       "%.1f/s%s\n",
		       name, number(a, "share") * PERCENT, rate,
		       number(a, "tokens"), demand,
		       usable > 0 && demand > NEAR_LIMIT_RATIO * usable
			       ? "  near its limit"
			       : "");
		n++;
	}
	if (!n)
		printf("  none\n");
}

/* Prints nothing while no request is refused. */
static void print_poison(struct json_object *list)
{
	long long refused = 0;
	size_t i;

	for (i = 0; i < json_length(list); i++)
		refused += !strcmp(
			json_text(json_object_array_get_idx(list, i), "state"),
			"refused");
	if (refused)
		printf("\n%lld requests are refused as they crash upstreams: "
		       "see mulberryferry poison\n",
		       refused);
}

bool status_page_print_evacuations(struct json_object *answer)
{
	struct json_object *list = json_member(answer, "evacuations"), *e;
	size_t i;

	for (i = 0; i < json_length(list); i++) {
		e = json_object_array_get_idx(list, i);
		printf("data centre %s evacuated since %lld s, in force on "
		       "%lld of %lld hosts that responded\n",
		       json_text(e, "data_centre"),
		       (long long)json_number(e, "since_s"),
		       (long long)json_number(e, "in_force_on"),
		       (long long)json_number(answer, "hosts_responding"));
	}
	return i > 0;
}

void status_page_print(struct json_object *s, bool terminal)
{
	print_summary(s);
	print_members(json_member(s, "members"), terminal);
	print_gates(json_member(s, "gates"), terminal);
	print_cutoffs(json_member(s, "cutoffs"), terminal);
	print_limits(json_member(s, "limits"), terminal);
	print_poison(json_member(s, "poison"));
}
