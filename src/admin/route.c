#include "admin/admin_impl.h"

#include <stdlib.h>
#include <string.h>

const struct admin_route admin_routes[] = {
	{"GET", "/healthz", ACCESS_OPEN, admin_healthz},
	{"GET", "/readyz", ACCESS_OPEN, admin_readyz},
	{"GET", "/metrics", ACCESS_OPEN, admin_metrics},
	{"POST", "/v1/notes", ACCESS_CHANGE, admin_notes_apply},
	{"GET", "/v1/notes", ACCESS_READ, admin_notes_history},
	{"POST", "/v1/notes/check", ACCESS_READ, admin_notes_check},
	{"GET", "/v1/notes/{number}", ACCESS_READ, admin_notes_show},
	{"GET", "/v1/config", ACCESS_READ, admin_config},
	{"POST", "/v1/config/check", ACCESS_READ, admin_config_check},
	{"GET", "/v1/accounts", ACCESS_READ, admin_accounts},
	{"GET", "/v1/keys", ACCESS_READ, admin_keys},
	{"GET", "/v1/routes", ACCESS_READ, admin_routes_list},
	{"GET", "/v1/services", ACCESS_READ, admin_services},
	{"GET", "/v1/operators", ACCESS_READ, admin_operators},
	{"GET", "/v1/status", ACCESS_READ, admin_status},
	{"GET", "/v1/claims", ACCESS_READ, admin_claims},
	{"GET", "/v1/poison", ACCESS_READ, admin_poison},
	{"POST", "/v1/poison/lift", ACCESS_CHANGE, admin_poison_lift},
	{"GET", "/v1/evacuations", ACCESS_READ, admin_evacuations},
	{"PUT", "/v1/evacuations/{data_centre}", ACCESS_CHANGE,
	 admin_evacuations_change},
	{"DELETE", "/v1/evacuations/{data_centre}", ACCESS_CHANGE,
	 admin_evacuations_change},
	{"GET", "/v1/decisions", ACCESS_READ, admin_decisions},
	{"GET", "/v1/counts", ACCESS_READ, admin_counts},
};

const size_t admin_route_count = sizeof(admin_routes) / sizeof(*admin_routes);

static bool read_number(const char *text, uint64_t *number)
{
	char *end;

	if (*text < '1' || *text > '9')
		return false;
	*number = strtoull(text, &end, 10);
	return !*end;
}

static bool path_matches(const char *pattern, const char *path,
			 uint64_t *number)
{
	size_t fixed = strcspn(pattern, "{");

	if (!pattern[fixed])
		return !strcmp(pattern, path);
	if (strncmp(pattern, path, fixed) != 0)
		return false;
	if (!strcmp(pattern + fixed, "{number}"))
		return read_number(path + fixed, number);
	return path[fixed] && !strchr(path + fixed, '/');
}

/*
 * Finds the route of a method and a path without query. When there is none,
 * returns NULL and sets known_path if the path exists with another method.
 */
const struct admin_route *admin_find_route(const char *method, const char *path,
					   uint64_t *number, bool *known_path)
{
	size_t i;

	*known_path = false;
	for (i = 0; i < admin_route_count; i++) {
		if (!path_matches(admin_routes[i].path, path, number))
			continue;
		if (!strcmp(admin_routes[i].method, method))
			return &admin_routes[i];
		*known_path = true;
	}
	return NULL;
}
