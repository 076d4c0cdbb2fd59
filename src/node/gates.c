#include "node/node.h"

#include <stdlib.h>
#include <string.h>

#include "node/gates.h"

/* An upstream that was not heard for this long is gone. */
#define ANNOUNCE_SILENCE_US (10 * USEC_PER_SEC)
#define QUEUE_TARGET_US (10 * USEC_PER_MSEC)

/* Only a bound on memory: queueing time, not length, tells of an overload. */
#define QUEUE_PER_SLOT 16
#define QUEUE_MIN 256
#define COLD_START_US (3 * USEC_PER_SEC)
#define KEEP_WARM_US (30 * USEC_PER_SEC)

/* Returns the upstream of a handle, or NULL. */
struct local_upstream *gates_upstream(struct node *n, uint64_t handle)
{
	return table_get(&n->local_upstreams, handle);
}

/* Finds an upstream of this host by address and service, or NULL. */
struct local_upstream *gates_find(struct node *n, const struct addr *a,
				  const char *service)
{
	struct local_upstream *u;
	uint64_t h = 0;
	void *item;

	while ((h = table_next(&n->local_upstreams, h, &item))) {
		u = item;
		if (addr_equal(&u->info.addr, a) &&
		    !strcmp(u->info.service, service))
			return u;
	}
	return NULL;
}

/* Tells the other nodes which upstreams this host has now. */
void gates_tell_members(struct node *n, int64_t now)
{
	struct upstream_info list[UPSTREAMS_PER_HOST_MAX];
	struct local_upstream *u;
	uint64_t h = 0;
	size_t count = 0;
	void *item;

	while ((h = table_next(&n->local_upstreams, h, &item))) {
		u = item;
		if (count == UPSTREAMS_PER_HOST_MAX)
			break;
		list[count] = u->info;
		if (n->stopping)
			list[count].state = UPSTREAM_LEAVING;
		count++;
	}
	members_set_upstreams(n->members, list, count, now);
}

static int open_upstream(struct node *n, struct local_upstream *u, int64_t now,
			 struct error *err)
{
	struct http_pool_options pool = {
		.addr = u->info.addr,
		.connections_max = u->info.connections,
		.body_limit = n->settings.body_limit,
		.keep_warm_us = KEEP_WARM_US,
		.header_names = n->header_names,
	};
	struct gate_options gate = {
		.slots = u->info.slots,
		.queue_target_us = QUEUE_TARGET_US,
		.queue_max = u->info.slots * QUEUE_PER_SLOT + QUEUE_MIN,
		.cold_start_us = COLD_START_US,
		.mode = n->config ? config_overload_mode(n->config)
				  : OVERLOAD_ENFORCE,
	};

	/* More connections than slots would never be used at once. */
	if (pool.connections_max > u->info.slots)
		pool.connections_max = u->info.slots;
	u->pool = http_pool_open(n->net, &pool, err);
	if (!u->pool)
		return -1;
	u->gate = gate_new(&gate, now);
	if (u->gate)
		return 0;
	http_pool_close(u->pool);
	return error_set(err, ERROR_MEMORY, "announce", u->info.service,
			 "no memory for a gate");
}

static void close_upstream(struct node *n, struct local_upstream *u)
{
	http_pool_close(u->pool);
	gate_free(u->gate);
	table_remove(&n->local_upstreams, u->handle);
}

static void log_upstream(const char *event, const struct upstream_info *info)
{
	char addr[ADDR_TEXT_SIZE];
	struct log_line line;

	addr_format(&info->addr, addr);
	log_start(&line, LOG_NOTICE, event);
	log_str(&line, "service", info->service);
	log_str(&line, "upstream", addr);
	log_int(&line, "slots", info->slots);
	log_int(&line, "state", info->state);
	log_emit(&line);
}

static void add_upstream(struct node *n, const struct upstream_info *info,
			 int64_t now)
{
	struct local_upstream *u;
	struct error err;
	uint64_t h;
	void *item;

	if (n->local_upstreams.count == UPSTREAMS_PER_HOST_MAX)
		return;
	h = table_add(&n->local_upstreams, &item);
	if (!h)
		return;
	u = item;
	u->handle = h;
	u->info = *info;
	u->heard_us = now;
	if (open_upstream(n, u, now, &err) < 0) {
		log_error(LOG_ERR, "announce", &err);
		table_remove(&n->local_upstreams, h);
		return;
	}
	log_upstream("upstream-ready", info);
	gates_tell_members(n, now);
}

/* Takes an announcement of an upstream on this host, new or again. */
void gates_announce(struct node *n, const struct upstream_info *info,
		    int64_t now)
{
	struct local_upstream *u = gates_find(n, &info->addr, info->service);
	bool changed;

	if (!u) {
		add_upstream(n, info, now);
		return;
	}
	u->heard_us = now;
	changed = u->info.slots != info->slots || u->info.state != info->state;
	u->info.state = info->state;
	if (u->info.slots != info->slots) {
		u->info.slots = info->slots;
		gate_set_slots(u->gate, info->slots, now);
	}
	if (!changed)
		return;
	log_upstream("upstream-changed", &u->info);
	gates_tell_members(n, now);
}

static bool has_calls(const struct local_upstream *u)
{
	struct gate_report r;

	gate_report(u->gate, &r);
	return r.running || r.queued;
}

/* Runs queued calls, drops what is too old, forgets silent upstreams. */
void gates_tick(struct node *n, int64_t now)
{
	struct local_upstream *u;
	uint64_t h = 0;
	void *item;

	while ((h = table_next(&n->local_upstreams, h, &item))) {
		gates_pump(n, h, now);
		u = gates_upstream(n, h);
		if (!u || now - u->heard_us < ANNOUNCE_SILENCE_US)
			continue;
		if (u->info.state != UPSTREAM_GONE) {
			u->info.state = UPSTREAM_GONE;
			log_upstream("upstream-silent", &u->info);
			gates_tell_members(n, now);
		}
		if (!has_calls(u)) {
			close_upstream(n, u);
			gates_tell_members(n, now);
		}
	}
}

/* Moves limits and cutoffs; every GATE_STEP_US. */
void gates_step(struct node *n, int64_t now)
{
	uint64_t h = 0;
	void *item;

	while ((h = table_next(&n->local_upstreams, h, &item)))
		gate_step(((struct local_upstream *)item)->gate, now);
}

/* Takes over the overload mode of the configuration in force. */
void gates_config(struct node *n)
{
	uint64_t h = 0;
	void *item;

	while ((h = table_next(&n->local_upstreams, h, &item)))
		gate_set_mode(((struct local_upstream *)item)->gate,
			      config_overload_mode(n->config));
}

/* Closes every pool and gate. */
void gates_close(struct node *n)
{
	uint64_t h = 0;
	void *item;

	while ((h = table_next(&n->local_upstreams, h, &item)))
		close_upstream(n, item);
	table_free(&n->local_upstreams);
}
