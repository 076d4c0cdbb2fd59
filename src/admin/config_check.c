#include "admin/admin_impl.h"
#include "conf/findings.h"
#include "node/config_file.h"

static struct json_object *findings_json(const struct findings *f)
{
	struct json_object *o = json_object_new_object(), *list, *item;
	const struct finding *at;
	int s;

	list = json_object_new_array();
	for (at = f->items; at < f->items + f->n; at++) {
		item = json_object_new_object();
		json_add_text(item, "severity",
			      severity_name(finding_severity(at->kind)));
		json_add_text(item, "kind", finding_code(at->kind));
		json_add_text(item, "item", at->item);
		json_add_text(item, "text", at->text);
		json_object_array_add(list, item);
	}
	json_object_object_add(o, "findings", list);
	for (s = 0; s < SEVERITIES; s++)
		json_add_int(o, severity_name((enum severity)s),
			     (int64_t)f->counts[s]);
	return o;
}

struct json_object *admin_check_config(const struct config *in_force,
				       const void *data, size_t len)
{
	struct findings f = {0};
	struct config *c = config_file_read(in_force, data, len, &f);
	struct json_object *o;

	if (c) {
		config_check(c, &f);
		if (in_force)
			config_compare(in_force, c, &f);
	}
	config_put(c);
	o = findings_json(&f);
	findings_free(&f);
	return o;
}

/* POST /v1/config/check: checks a configuration without applying it. */
void admin_config_check(struct admin_call *c)
{
	admin_answer_json(c->node, c->exchange, 200,
			  admin_check_config(c->node->config, c->msg->body.data,
					     c->msg->body.len));
}
