#include "admin/admin_impl.h"

#include <string.h>

#define MEMBERS_LISTED_MAX 2000 /* in one status */
#define MEMBERS_POLLED_MAX 64	/* for their note number, by one request */
#define CUTOFF_PAIRS_MAX 20000	/* of service and account, in one status */

static const char *member_state_name(enum member_state s)
{
	switch (s) {
	case MEMBER_ALIVE:
		return "alive";
	case MEMBER_SUSPECT:
		return "suspect";
	case MEMBER_LEAVING:
		return "leaving";
	case MEMBER_LEFT:
		return "left";
	case MEMBER_DEAD:
		return "dead";
	}
	return "unknown";
}

static const char *upstream_state_name(enum upstream_state s)
{
	switch (s) {
	case UPSTREAM_READY:
		return "ready";
	case UPSTREAM_LEAVING:
		return "leaving";
	case UPSTREAM_GONE:
		return "gone";
	}
	return "unknown";
}

static void add_addr(struct json_object *o, const char *name,
		     const struct addr *a)
{
	char text[ADDR_TEXT_SIZE];

	addr_format(a, text);
	json_add_text(o, name, text);
}

static struct json_object *upstream_json(const struct upstream_info *u)
{
	struct json_object *o = json_object_new_object();

	json_add_text(o, "service", u->service);
	add_addr(o, "address", &u->addr);
	json_add_int(o, "slots", u->slots);
	json_add_text(o, "state", upstream_state_name(u->state));
	json_add_int(o, "cold_ms", u->cold_ms);
	return o;
}

static bool is_present(const struct member_info *m)
{
	return m->state != MEMBER_LEFT && m->state != MEMBER_DEAD;
}

static uint64_t note_number_at(struct node *n, const struct member_info *m)
{
	if (addr_equal(&m->node_addr, &n->self))
		return admin_note_number(n);
	return admin_member_note_number(n->admin_state, &m->node_addr);
}

static struct json_object *member_json(struct node *n,
				       const struct member_info *m)
{
	struct json_object *o = json_object_new_object();
	struct json_object *list = json_object_new_array();
	uint8_t i;

	json_add_text(o, "host", m->host);
	json_add_text(o, "data_centre", m->data_centre);
	json_add_text(o, "region", m->region);
	add_addr(o, "nodes", &m->node_addr);
	add_addr(o, "admin", &m->admin);
	json_add_text(o, "state", member_state_name(m->state));
	json_add_int(o, "number", (int64_t)note_number_at(n, m));
	for (i = 0; i < m->upstream_count; i++)
		json_object_array_add(list, upstream_json(&m->upstreams[i]));
	json_object_object_add(o, "upstreams", list);
	return o;
}

/*
 * Asks a member that last reported an older note for its number. position is
 * its index among these members: each status request polls the next
 * MEMBERS_POLLED_MAX of them.
 */
static void poll_note_number(struct node *n, const struct member_info *m,
			     uint32_t position)
{
	if (position >= n->admin_state->poll_offset &&
	    position < n->admin_state->poll_offset + MEMBERS_POLLED_MAX)
		admin_send_note_number(n, &m->node_addr, PEER_QUERY);
}

static void add_members(struct admin_call *c, struct json_object *o)
{
	struct json_object *list = json_object_new_array();
	const struct member_info *m = NULL;
	struct node *n = c->node;
	int64_t present = 0, in_force = 0;
	uint32_t lagging = 0;

	while ((m = members_next(n->members, m))) {
		if (json_object_array_length(list) < MEMBERS_LISTED_MAX)
			json_object_array_add(list, member_json(n, m));
		if (!is_present(m))
			continue;
		present++;
		if (note_number_at(n, m) >= admin_note_number(n))
			in_force++;
		else
			poll_note_number(n, m, lagging++);
	}
	n->admin_state->poll_offset += MEMBERS_POLLED_MAX;
	if (n->admin_state->poll_offset >= lagging)
		n->admin_state->poll_offset = 0;
	json_add_int(o, "hosts", present);
	json_add_int(o, "in_force", in_force);
	json_object_object_add(o, "members", list);
}

static struct json_object *admitted_json(const uint16_t admitted[SHED_CLASSES])
{
	struct json_object *o = json_object_new_object();
	int i;

	for (i = 0; i < SHED_CLASSES; i++)
		json_object_object_add(
			o, shed_class_name((enum shed_class)i),
			json_object_new_double((double)admitted[i] /
					       ADMIT_ALL));
	return o;
}

static struct json_object *gate_json(const struct local_upstream *u)
{
	struct json_object *o = upstream_json(&u->info);
	struct gate_report r;

	gate_report(u->gate, &r);
	json_add_int(o, "limit", r.limit);
	json_add_int(o, "running", r.running);
	json_add_int(o, "queued", r.queued);
	json_add_int(o, "queue_us", r.queue_us);
	json_add_int(o, "service_us", r.service_us);
	json_object_object_add(o, "named_limit_s",
			       json_object_new_double(r.rate));
	json_object_object_add(o, "admitted_s",
			       json_object_new_double(r.admitted_rate));
	json_object_object_add(o, "admitted_share", admitted_json(r.admitted));
	return o;
}

static struct json_object *gates_json(struct node *n)
{
	struct json_object *list = json_object_new_array();
	uint64_t h = 0;
	void *item;

	while ((h = table_next(&n->local_upstreams, h, &item)))
		json_object_array_add(list, gate_json(item));
	return list;
}

/* Adds the cutoff of a service and account, unless all is admitted. */
static void add_cutoff(struct json_object *list, struct node *n,
		       const struct service *s, const struct account *a,
		       int64_t now)
{
	struct admission admission =
		cutoffs_get(n->cutoffs, name_hash(s->name),
			    a ? name_hash(a->name) : 0, now);
	struct json_object *o;
	int cls;

	for (cls = 0; cls < SHED_CLASSES; cls++)
		if (admission.admitted[cls] != ADMIT_ALL)
			break;
	if (cls == SHED_CLASSES)
		return;
	o = json_object_new_object();
	json_add_text(o, "service", s->name);
	json_add_text(o, "account", a ? a->name : "");
	json_object_object_add(o, "admitted_share",
			       admitted_json(admission.admitted));
	json_object_array_add(list, o);
}

/*
 * Lists the cutoffs by which this host sheds requests early, as reported by
 * gates further down the call chain.
 */
static struct json_object *cutoffs_json(struct node *n, int64_t now)
{
	struct json_object *list = json_object_new_array();
	const struct service *s = NULL;
	const struct account *a;
	uint32_t pairs = 0;

	while (n->config && (s = config_next_service(n->config, s))) {
		add_cutoff(list, n, s, NULL, now);
		a = NULL;
		while (pairs++ < CUTOFF_PAIRS_MAX &&
		       (a = config_next_account(n->config, a)))
			add_cutoff(list, n, s, a, now);
	}
	return list;
}

static struct json_object *limits_json(struct node *n, int64_t now)
{
	struct json_object *o = NULL;
	struct buffer b = {0};

	if (quota_status(n->quota, &b, now) == 0)
		o = json_tokener_parse((char *)b.data);
	buffer_free(&b);
	return o;
}

static void add_store(struct node *n, struct json_object *o, int64_t now)
{
	int64_t age_us, era = store_era(n->store, now, &age_us);
	uint32_t replaced = store_replacements(n->store);

	json_add_int(o, "store_era", era);
	json_add_int(o, "store_replaced", replaced);
	if (replaced)
		json_add_int(o, "store_replaced_s", age_us / USEC_PER_SEC);
}

/* GET /v1/status: the state of this host, and of the others as it knows it. */
void admin_status(struct admin_call *c)
{
	struct json_object *o = json_object_new_object();
	struct node *n = c->node;

	json_add_text(o, "host", n->settings.host);
	json_add_text(o, "data_centre", n->settings.data_centre);
	json_object_object_add(o, "stopping",
			       json_object_new_boolean(n->stopping));
	json_add_int(o, "number", (int64_t)admin_note_number(n));
	json_add_text(o, "release", n->config ? config_release(n->config) : "");
	json_add_text(
		o, "overload_mode",
		n->config ? overload_mode_name(config_overload_mode(n->config))
			  : "");
	json_add_int(o, "stale_s",
		     notes_stale_us(n->notes, c->now) / USEC_PER_SEC);
	add_store(n, o, c->now);
	json_add_int(o, "requests", n->requests.count);
	json_add_int(o, "calls", n->calls.count);
	add_members(c, o);
	json_object_object_add(o, "gates", gates_json(n));
	json_object_object_add(o, "limits", limits_json(n, c->now));
	json_object_object_add(o, "cutoffs", cutoffs_json(n, c->now));
	json_object_object_add(o, "poison", admin_poison_json(n, c->now));
	json_object_object_add(o, "evacuations",
			       admin_evacuations_json(n, c->now));
	json_add_int(o, "records_bytes_max",
		     (int64_t)explain_bytes(n->explain));
	admin_answer_json(n, c->exchange, 200, o);
}
