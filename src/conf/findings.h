/*
 * What is wrong, pointless or new in a configuration. A pure function of
 * configurations, shared by the command `config check` and the administration
 * API.
 */
#ifndef CONF_FINDINGS_H
#define CONF_FINDINGS_H

#include "conf/conf.h"

enum severity {
	SEVERITY_DIFFERENCE, /* from the version in force; not a fault */
	SEVERITY_WARNING,
	SEVERITY_ERROR,
};
#define SEVERITIES 3

enum finding_kind {
	FINDING_MALFORMED,
	FINDING_REPEATED_NAME,
	FINDING_DUPLICATE_KEY,
	FINDING_NO_TIMEOUT,
	FINDING_BURST_BELOW_ONE,
	FINDING_TIMEOUT_BELOW_TARGET,
	FINDING_UNKNOWN_SERVICE,
	FINDING_SHADOWED_ROUTE,
	FINDING_UNREACHABLE_ROUTE,
	FINDING_WEIGHT_ZERO,
	FINDING_ACCOUNT_WITHOUT_KEY,
	FINDING_HOMES_DISJOINT,
	FINDING_COLD_INCOMPLETE,
	FINDING_ADDED,
	FINDING_CHANGED,
	FINDING_WITHDRAWN,
	FINDING_KINDS
};

struct finding {
	enum finding_kind kind;
	char item[160]; /* "route r"; or the path of a fault in a note */
	char text[320];
};

#define FINDINGS_MAX 10000

struct findings {
	struct finding *items;
	size_t n;
	size_t counts[SEVERITIES]; /* also of those beyond FINDINGS_MAX */
};

const char *finding_code(enum finding_kind kind); /* "homes-disjoint" */
enum severity finding_severity(enum finding_kind kind);
const char *severity_name(enum severity s);

void findings_add(struct findings *f, enum finding_kind kind, const char *item,
		  const char *fmt, ...) __attribute__((format(printf, 4, 5)));
void findings_free(struct findings *f);

/* Adds the errors and warnings of a configuration. */
void config_check(const struct config *c, struct findings *f);
/* Adds the differences between the configuration in force and a new one. */
void config_compare(const struct config *in_force, const struct config *c,
		    struct findings *f);

#endif
