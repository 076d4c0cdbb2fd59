#include "replay_model.h"

#include <json-c/json.h>
#include <string.h>

static double get_number(json_object *o, const char *key, double fallback)
{
	json_object *v;

	if (!json_object_object_get_ex(o, key, &v))
		return fallback;
	return json_object_get_double(v);
}

static int64_t time_us(json_object *o, const char *key, double unit)
{
	return (int64_t)(get_number(o, key, 0) * unit);
}

static size_t get_list(json_object *o, const char *key, json_object **list,
		       size_t max)
{
	size_t n;

	if (!json_object_object_get_ex(o, key, list) ||
	    !json_object_is_type(*list, json_type_array))
		return 0;
	n = json_object_array_length(*list);
	return n <= max ? n : 0;
}

static void read_chain(struct replay_trace *t, json_object *o)
{
	json_object *list, *item, *name;
	struct replay_hop *h;
	size_t i;

	t->hop_count = get_list(o, "chain", &list, REPLAY_HOPS_MAX);
	for (i = 0; i < t->hop_count; i++) {
		h = &t->hops[i];
		item = json_object_array_get_idx(list, i);
		if (json_object_object_get_ex(item, "service", &name))
			copy_name(h->service, sizeof(h->service),
				  json_object_get_string(name));
		h->upstreams = (uint32_t)get_number(item, "upstreams", 1);
		h->slots = (uint32_t)get_number(item, "slots", 1);
		h->service_us = get_number(item, "service_ms", 1) * 1e3;
	}
}

static void read_accounts(struct replay_trace *t, json_object *o)
{
	json_object *list, *item;
	size_t i;

	t->account_count = get_list(o, "accounts", &list, REPLAY_ACCOUNTS_MAX);
	for (i = 0; i < t->account_count; i++) {
		item = json_object_array_get_idx(list, i);
		t->accounts[i].weight = (uint32_t)get_number(item, "weight", 1);
		t->accounts[i].share = get_number(item, "share", 1);
		t->accounts[i].surge = get_number(item, "surge", 1);
	}
}

static void read_load(struct replay_trace *t, json_object *o)
{
	json_object *list, *item;
	size_t i, n;

	t->phase_count = get_list(o, "demand", &list, REPLAY_PHASES_MAX);
	for (i = 0; i < t->phase_count; i++) {
		item = json_object_array_get_idx(list, i);
		t->phases[i].from_us = time_us(item, "from_s", 1e6);
		t->phases[i].demand = get_number(item, "times_capacity", 1);
	}
	n = get_list(o, "classes", &list, SHED_CLASSES);
	for (i = 0; i < n; i++)
		t->classes[i] = json_object_get_double(
			json_object_array_get_idx(list, i));
	if (!json_object_object_get_ex(o, "slow", &item))
		return;
	t->slow_from_us = time_us(item, "from_s", 1e6);
	t->slow_to_us = time_us(item, "to_s", 1e6);
	t->slow_factor = get_number(item, "factor", 1);
}

/* Reads a trace description; times become microseconds. */
int replay_load(struct replay_trace *t, const char *path, struct error *err)
{
	json_object *o = json_object_from_file(path);

	memset(t, 0, sizeof(*t));
	if (!o)
		return error_set(err, ERROR_INPUT, "read trace", path, "%s",
				 json_util_get_last_err());
	read_chain(t, o);
	read_accounts(t, o);
	read_load(t, o);
	t->data_centres = (uint32_t)get_number(o, "data_centres", 1);
	t->entries = (uint32_t)get_number(o, "entries", 1);
	t->client_delay_us = time_us(o, "client_ms", 1e3);
	t->local_delay_us = time_us(o, "same_ms", 1e3);
	t->remote_delay_us = time_us(o, "other_ms", 1e3);
	t->deadline_us = time_us(o, "deadline_ms", 1e3);
	t->length_us = time_us(o, "length_s", 1e6);
	t->measured_from_us = time_us(o, "measured_from_s", 1e6);
	t->surge_from_us = time_us(o, "surge_from_s", 1e6);
	t->client_retries = (uint32_t)get_number(o, "client_retries", 0);
	t->fail_share = get_number(o, "fail_share", 0);
	t->allowance = (uint8_t)get_number(o, "allowance", 3);
	t->seed = (uint64_t)get_number(o, "seed", 1);
	json_object_put(o);
	if (t->hop_count && t->account_count && t->phase_count &&
	    t->data_centres && t->entries &&
	    t->length_us / REPLAY_BIN_US <= REPLAY_BINS_MAX)
		return 0;
	return error_set(err, ERROR_INPUT, "read trace", path,
			 "chain, accounts, demand, data_centres, entries or "
			 "length_s is missing or out of range");
}
