#include "conf/findings.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

struct finding_row {
	const char *code;
	enum severity severity;
};

/* Every kind of finding. docs/operators/config-check.md describes them. */
static const struct finding_row rows[FINDING_KINDS] = {
	[FINDING_MALFORMED] = {"malformed", SEVERITY_ERROR},
	[FINDING_REPEATED_NAME] = {"repeated-name", SEVERITY_ERROR},
	[FINDING_DUPLICATE_KEY] = {"duplicate-key", SEVERITY_ERROR},
	[FINDING_NO_TIMEOUT] = {"no-timeout", SEVERITY_ERROR},
	[FINDING_BURST_BELOW_ONE] = {"burst-below-one", SEVERITY_ERROR},
	[FINDING_TIMEOUT_BELOW_TARGET] = {"timeout-below-target",
					  SEVERITY_WARNING},
	[FINDING_UNKNOWN_SERVICE] = {"unknown-service", SEVERITY_WARNING},
	[FINDING_SHADOWED_ROUTE] = {"shadowed-route", SEVERITY_WARNING},
	[FINDING_UNREACHABLE_ROUTE] = {"unreachable-route", SEVERITY_WARNING},
	[FINDING_WEIGHT_ZERO] = {"weight-zero", SEVERITY_WARNING},
	[FINDING_ACCOUNT_WITHOUT_KEY] = {"account-without-key",
					 SEVERITY_WARNING},
	[FINDING_HOMES_DISJOINT] = {"homes-disjoint", SEVERITY_WARNING},
	[FINDING_COLD_INCOMPLETE] = {"cold-incomplete", SEVERITY_WARNING},
	[FINDING_ADDED] = {"added", SEVERITY_DIFFERENCE},
	[FINDING_CHANGED] = {"changed", SEVERITY_DIFFERENCE},
	[FINDING_WITHDRAWN] = {"withdrawn", SEVERITY_DIFFERENCE},
};

const char *finding_code(enum finding_kind kind)
{
	return rows[kind].code;
}

enum severity finding_severity(enum finding_kind kind)
{
	return rows[kind].severity;
}

const char *severity_name(enum severity s)
{
	static const char *const names[SEVERITIES] = {
		[SEVERITY_DIFFERENCE] = "difference",
		[SEVERITY_WARNING] = "warning",
		[SEVERITY_ERROR] = "error",
	};

	return names[s];
}

/* Adds a finding. It is counted even if there is no room or memory for it. */
void findings_add(struct findings *f, enum finding_kind kind, const char *item,
		  const char *fmt, ...)
{
	struct finding *items, *new;
	va_list ap;

	f->counts[finding_severity(kind)]++;
	if (f->n >= FINDINGS_MAX)
		return;
	if (!(f->n & (f->n - 1))) {
		items = realloc(f->items,
				(f->n ? 2 * f->n : 1) * sizeof(*items));
		if (!items)
			return;
		f->items = items;
	}
	new = &f->items[f->n++];
	new->kind = kind;
	snprintf(new->item, sizeof(new->item), "%s", item);
	va_start(ap, fmt);
	vsnprintf(new->text, sizeof(new->text), fmt, ap);
	va_end(ap);
}

void findings_free(struct findings *f)
{
	free(f->items);
	f->items = NULL;
	f->n = 0;
}
