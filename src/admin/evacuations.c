#include "admin/admin_impl.h"

#include <stdio.h>
#include <string.h>

#include "base/json.h"
#include "control/evacuations/evacuations.h"
#include "node/node.h"
#include "platform/platform.h"
#include "policy/policy.h"

#define PATH "/v1/evacuations/"

/* What this host knows of each evacuation. */
struct json_object *admin_evacuations_json(struct node *n, int64_t now)
{
	struct json_object *list = json_object_new_array(), *o;
	const struct evacuation *e;
	size_t i;

	for (i = 0; n->evacuations && i < evacuations_set(n->evacuations)->n;
	     i++) {
		e = &evacuations_set(n->evacuations)->items[i];
		o = json_object_new_object();
		json_add_text(o, "data_centre", e->data_centre);
		json_add_int(o, "since_s", (now - e->learnt_us) / USEC_PER_SEC);
		json_object_object_add(
			o, "in_force",
			json_object_new_boolean(evacuation_gates_closed(
				e->learnt_us,
				evacuations_bound_us(n->evacuations), now)));
		json_object_array_add(list, o);
	}
	return list;
}

static struct json_object *find(struct json_object *list, const char *name)
{
	struct json_object *o;
	size_t i;

	for (i = 0; i < json_object_array_length(list); i++) {
		o = json_object_array_get_idx(list, i);
		if (!strcmp(json_get_text(o, "data_centre"), name))
			return o;
	}
	return NULL;
}

/* Adds what one host knows of an evacuation to the totals. */
static void add_host(struct json_object *list, struct json_object *item)
{
	const char *name = json_get_text(item, "data_centre");
	struct json_object *o = find(list, name);
	int64_t since_s = json_int(item, "since_s");
	bool in_force = json_object_get_boolean(json_member(item, "in_force"));

	if (!o) {
		o = json_object_new_object();
		json_add_text(o, "data_centre", name);
		json_object_array_add(list, o);
	}
	if (since_s < json_int(o, "since_s"))
		since_s = json_int(o, "since_s");
	json_add_int(o, "since_s", since_s);
	json_add_int(o, "known_on", json_int(o, "known_on") + 1);
	json_add_int(o, "in_force_on", json_int(o, "in_force_on") + in_force);
}

/* Answers with the evacuations and on how many hosts they are in force. */
void evacuations_answer(struct admin_query *q)
{
	struct json_object *list = json_object_new_array();
	struct json_object *o = json_object_new_object();
	size_t i;

	for (i = 0; i < json_object_array_length(q->items); i++)
		add_host(list, json_object_array_get_idx(q->items, i));
	json_object_object_add(
		o, "used",
		json_object_new_boolean(q->node->evacuations != NULL));
	json_add_int(o, "hosts_responding", (int64_t)q->responses + 1);
	json_object_object_add(o, "evacuations", list);
	admin_answer_json(q->node, q->exchange, 200, o);
}

/* GET /v1/evacuations: the data centres that are out of service. */
void admin_evacuations(struct admin_call *c)
{
	struct admin_query q = {.exchange = c->exchange,
				.kind = QUERY_EVACUATIONS};

	query_start(c->node, &q, c->now);
}

/*
 * PUT and DELETE /v1/evacuations/{data_centre}. Orders are keys of the
 * platform's store that nodes may not write.
 */
void admin_evacuations_change(struct admin_call *c)
{
	const char *name = c->msg->target + strlen(PATH);
	bool end = !strcmp(c->msg->method, "DELETE");
	char text[256];

	if (!c->node->evacuations) {
		admin_answer_error(c->node, c->exchange, 422,
				   "this deployment does not use evacuations",
				   "name evacuation_s among the promises of "
				   "the settings of every host, and restart");
		return;
	}
	snprintf(text, sizeof(text), "the operator %s the key %s%.*s%s",
		 end ? "removes" : "writes", platform_evacuation_prefix,
		 (int)strcspn(name, "?"), name,
		 end ? "" : ", with the value {}");
	admin_answer_error(c->node, c->exchange, 403, text,
			   "do so in the platform's store; 'mulberryferry "
			   "evacuate --list' shows where it is in force");
}
