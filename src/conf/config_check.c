/* Errors and warnings of one configuration. */
#include "conf/conf_impl.h"
#include "conf/findings.h"

#include <stdio.h>
#include <string.h>

static const char *route_item(char item[NAME_SIZE + 16], const char *name)
{
	snprintf(item, NAME_SIZE + 16, "route %s", name);
	return item;
}

static const char *account_item(char item[NAME_SIZE + 16], const char *name)
{
	snprintf(item, NAME_SIZE + 16, "account %s", name);
	return item;
}

static void check_repeats(const struct config *c, struct findings *f)
{
	const struct repeat *r = c->repeats;
	char item[NAME_SIZE + 32];

	for (; r < c->repeats + c->repeat_count; r++) {
		snprintf(item, sizeof(item), "%s %s", kinds[r->kind].singular,
			 r->name);
		if (r->kind == SECTION_KEYS)
			findings_add(f, FINDING_DUPLICATE_KEY, item,
				     "the same key is given to account %s and "
				     "then to %s, which gets it",
				     r->first, r->last);
		else
			findings_add(f, FINDING_REPEATED_NAME, item,
				     "the name is used more than once; the "
				     "last item replaces the others");
	}
}

static void check_service(const struct config *c, const struct route *r,
			  const char *service, struct findings *f)
{
	char item[NAME_SIZE + 16];

	if (!config_service(c, service))
		findings_add(f, FINDING_UNKNOWN_SERVICE,
			     route_item(item, r->name),
			     "service %s is not listed", service);
}

static void check_services(const struct config *c, const struct route *r,
			   struct findings *f)
{
	const struct split *s = r->split;
	char item[NAME_SIZE + 16];
	size_t i;

	if (!s) {
		check_service(c, r, r->service, f);
		return;
	}
	for (i = 0; i < s->n; i++)
		check_service(c, r, s->parts[i].service, f);
	route_item(item, r->name);
	if (s->total <= 0)
		findings_add(f, FINDING_WEIGHT_ZERO, item,
			     "all weights are 0, so service %s gets all "
			     "requests",
			     r->service);
	for (i = 0; s->total > 0 && i < s->n; i++)
		if (s->parts[i].weight <= 0)
			findings_add(f, FINDING_WEIGHT_ZERO, item,
				     "service %s has weight 0 and gets no "
				     "requests",
				     s->parts[i].service);
}

/*
 * Writes a path that the pattern matches and that no literal segment of
 * another route is likely to equal.
 */
static void make_path(const char *pattern, char path[2 * PATTERN_SIZE])
{
	size_t len = 0;

	while (*pattern && len < 2 * PATTERN_SIZE - 4) {
		if (*pattern == '{' ||
		    (pattern[0] == '*' && pattern[1] == '*')) {
			path[len++] = '~';
			path[len++] = '~';
			pattern +=
				*pattern == '{' ? strcspn(pattern, "}") + 1 : 2;
			continue;
		}
		path[len++] = *pattern++;
	}
	path[len] = 0;
}

/* Finds the route of a request that r should match. */
static const struct route *match(const struct config *c, const struct route *r)
{
	char path[2 * PATTERN_SIZE], host[PATTERN_SIZE];
	size_t len = strcspn(r->host_prefix, "/");

	if (!r->host_prefix[0]) {
		make_path(r->pattern, path);
		return config_match(c, r->method, path);
	}
	memcpy(host, r->host_prefix, len);
	host[len] = 0;
	snprintf(path, sizeof(path), "%s~~", r->host_prefix + len);
	return config_match_host_prefix(c, host, path);
}

static void check_match(const struct config *c, const struct route *r,
			struct findings *f)
{
	const struct route *taken = match(c, r);
	char item[NAME_SIZE + 16];

	if (taken == r)
		return;
	route_item(item, r->name);
	if (taken)
		findings_add(f, FINDING_SHADOWED_ROUTE, item,
			     "route %s gets its requests", taken->name);
	else
		findings_add(f, FINDING_UNREACHABLE_ROUTE, item,
			     "no request matches %s; a prefix must end with a "
			     "slash, and a host has no port",
			     r->host_prefix[0] ? r->host_prefix : r->pattern);
}

static void check_times(const struct route *r, struct findings *f)
{
	char item[NAME_SIZE + 16];

	route_item(item, r->name);
	if (!r->deadline_us)
		findings_add(f, FINDING_NO_TIMEOUT, item,
			     "without a timeout every request is rejected as "
			     "too late");
	else if (r->deadline_us < r->target_us)
		findings_add(f, FINDING_TIMEOUT_BELOW_TARGET, item,
			     "the timeout of %.3f s is below the target "
			     "latency of %.3f s",
			     (double)r->deadline_us / USEC_PER_SEC,
			     (double)r->target_us / USEC_PER_SEC);
}

/* Reports each account that no request of the route can be served for. */
static void check_homes(const struct config *c, const struct route *r,
			struct findings *f)
{
	const struct account *a = NULL;
	char item[NAME_SIZE + 16];

	if (!r->home.count || r->anonymous)
		return;
	while ((a = config_next_account(c, a)))
		if (!region_sets_meet(&r->home, &a->home))
			findings_add(f, FINDING_HOMES_DISJOINT,
				     route_item(item, r->name),
				     "it has no home region in common with "
				     "account %s, whose requests are rejected",
				     a->name);
}

static void check_cold(const struct config *c, struct findings *f)
{
	const struct service *s = NULL;
	char item[NAME_SIZE + 16];

	while ((s = config_next_service(c, s))) {
		if ((s->cold_start_us > 0) == (s->cold_per_s > 0))
			continue;
		snprintf(item, sizeof(item), "service %s", s->name);
		findings_add(f, FINDING_COLD_INCOMPLETE, item,
			     "its upstreams are cold for %g s and take %g "
			     "requests a second then: both must be set, or "
			     "neither",
			     (double)s->cold_start_us / USEC_PER_SEC,
			     s->cold_per_s);
	}
}

static void check_accounts(const struct config *c, struct findings *f)
{
	const struct account *a = NULL;
	const struct access_key *k = NULL;
	struct section with_key = {0};
	char item[NAME_SIZE + 16];
	void *name;

	/* An item of this section is only its name. */
	while ((k = config_next_key(c, k))) {
		name = item_new(k->account, sizeof(k->account));
		if (name && !section_find(&with_key, k->account))
			section_put(&with_key, name);
		item_put(name);
	}
	while ((a = config_next_account(c, a))) {
		account_item(item, a->name);
		if (!section_find(&with_key, a->name))
			findings_add(f, FINDING_ACCOUNT_WITHOUT_KEY, item,
				     "it has no key, so no request is its own");
		if (!a->unlimited && a->burst < 1)
			findings_add(f, FINDING_BURST_BELOW_ONE, item,
				     "its rate is %g a second, but a burst of "
				     "%g is below a whole request",
				     a->rate, a->burst);
	}
	section_free(&with_key);
}

void config_check(const struct config *c, struct findings *f)
{
	const struct route *r = NULL;

	check_repeats(c, f);
	while ((r = config_next_route(c, r))) {
		check_services(c, r, f);
		check_match(c, r, f);
		check_times(r, f);
		check_homes(c, r, f);
	}
	check_cold(c, f);
	check_accounts(c, f);
}
