#include "node/node.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "node/gates.h"
#include "node/leaving.h"
#include "platform/platform.h"

/* An upstream that has not announced itself for this long is gone. */
#define ANNOUNCE_TIMEOUT_US (10 * USEC_PER_SEC)
#define QUEUE_TARGET_US (10 * USEC_PER_MSEC)

/* Bounds memory only: overload is detected by queueing time, not length. */
#define QUEUE_PER_SLOT 16
#define QUEUE_MIN 256
#define COLD_START_US (3 * USEC_PER_SEC)
/* Without reading a request; the deadlines of its calls end them sooner. */
#define UPSTREAM_PAUSE_US (60 * USEC_PER_SEC)
#define IDLE_TIMEOUT_US (30 * USEC_PER_SEC)
/* The upstream is on this host: if it takes longer to connect, it is down. */
#define CONNECT_TIMEOUT_US (400 * USEC_PER_MSEC)
/* A leaving upstream gets no new calls this long before its drain time ends. */
#define DRAIN_MARGIN_US (500 * USEC_PER_MSEC)

/* Returns the upstream with this handle, or NULL. */
struct local_upstream *gates_upstream(struct node *n, uint64_t handle)
{
	return table_get(&n->local_upstreams, handle);
}

/* Returns the upstream with this address and service, or NULL. */
struct local_upstream *gates_find(struct node *n, const struct addr *a,
				  const char *service)
{
	struct local_upstream *u;
	uint64_t h = 0;
	void *item;

	while ((h = table_next(&n->local_upstreams, h, &item))) {
		u = item;
		if (u->info.state != UPSTREAM_GONE &&
		    addr_equal(&u->info.addr, a) &&
		    !strcmp(u->info.service, service))
			return u;
	}
	return NULL;
}

/* Publishes the upstreams of this host to the other nodes. */
void gates_publish_upstreams(struct node *n, int64_t now)
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
		if (u->unreachable)
			list[count].state = UPSTREAM_GONE;
		else if (n->gates_closing && u->info.state == UPSTREAM_READY)
			list[count].state = UPSTREAM_LEAVING;
		count++;
	}
	members_set_upstreams(n->members, list, count, now);
}

/*
 * Time over which the gate of a new upstream raises its limit. An upstream of
 * the platform announces how long it stays slow after its start, and gets all
 * its slots at once: it slows down by itself, and a restarted gate in front
 * of a warm upstream has no reason to wait.
 */
static int64_t ramp_up_us(const struct node *n)
{
	return n->settings.interface == INTERFACE_PLATFORM ? 0 : COLD_START_US;
}

/*
 * Fraction of slots kept free. When nearly all slots of a platform upstream
 * are in use, all its calls slow down by a third, which costs more than the
 * unused slots.
 */
#define PLATFORM_HEADROOM (1.0 / 16)

static int open_upstream(struct node *n, struct local_upstream *u, int64_t now,
			 struct error *err)
{
	struct http_pool_options pool = {
		.addr = u->info.addr,
		.connections_max = u->info.connections,
		.body_limit = n->settings.body_limit,
		.idle_timeout_us = IDLE_TIMEOUT_US,
		.connect_timeout_us = CONNECT_TIMEOUT_US,
		.bodies_wait = true,
		.pause_us = UPSTREAM_PAUSE_US,
	};
	struct gate_options gate = {
		.slots = u->info.slots,
		.queue_target_us = QUEUE_TARGET_US,
		.queue_max = u->info.slots * QUEUE_PER_SLOT + QUEUE_MIN,
		.cold_start_us = ramp_up_us(n),
		.names_rate = n->headers->rate_limit != NULL,
		.cold_overshoot = n->settings.promises.cold_overshoot,
		.cold_slack = n->settings.promises.cold_slack,
		.headroom = n->settings.interface == INTERFACE_PLATFORM
				    ? PLATFORM_HEADROOM
				    : 0,
		.mode = n->config ? config_overload_mode(n->config)
				  : OVERLOAD_ENFORCE,
	};

	/* No more connections than slots can be in use at once. */
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
			 "out of memory for a gate");
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

static struct local_upstream *add_upstream(struct node *n,
					   const struct upstream_info *info,
					   const struct gate_window *starts,
					   int64_t now)
{
	struct local_upstream *u;
	struct error err;
	uint64_t h;
	void *item;

	if (n->local_upstreams.count == UPSTREAMS_PER_HOST_MAX)
		return NULL;
	h = table_add(&n->local_upstreams, &item);
	if (!h)
		return NULL;
	u = item;
	u->handle = h;
	u->info = *info;
	u->last_update_us = now;
	if (open_upstream(n, u, now, &err) < 0) {
		log_error(LOG_ERR, "announce", &err);
		table_remove(&n->local_upstreams, h);
		return NULL;
	}
	log_upstream("upstream-ready", info);
	if (starts)
		gate_set_starts(u->gate, starts);
	u->info.cold_ms = 0;
	upstream_cold_heard(n, u, info->cold_ms * USEC_PER_MSEC, now);
	gates_publish_upstreams(n, now);
	return u;
}

/* Marks an upstream as gone. Its running calls may finish. */
static void mark_gone(struct node *n, struct local_upstream *u, int64_t now)
{
	if (u->info.state == UPSTREAM_GONE)
		return;
	u->info.state = UPSTREAM_GONE;
	log_upstream("upstream-gone", &u->info);
	gates_publish_upstreams(n, now);
	gates_drop_queued(n, u->handle, now);
}

/* Returns the most recently started process of an instance, or NULL. */
static struct local_upstream *find_instance(struct node *n, const char *id)
{
	struct local_upstream *u, *newest = NULL;
	uint64_t h = 0;
	void *item;

	while ((h = table_next(&n->local_upstreams, h, &item))) {
		u = item;
		if (!strcmp(u->instance, id) &&
		    (!newest || u->started_ms > newest->started_ms))
			newest = u;
	}
	return newest;
}

/*
 * Whether a process that started later is known at the address. The
 * announcement was then delayed in transit, and its sender is gone.
 */
static bool
is_address_taken_over(struct node *n,
		      const struct upstream_announcement *announcement)
{
	struct local_upstream *u;
	uint64_t h = 0;
	void *item;

	while ((h = table_next(&n->local_upstreams, h, &item))) {
		u = item;
		if (addr_equal(&u->info.addr, &announcement->info.addr) &&
		    u->started_ms > announcement->started_ms)
			return true;
	}
	return false;
}

static void start_leaving(struct node *n, struct local_upstream *u, int64_t now)
{
	if (u->info.state != UPSTREAM_READY)
		return;
	u->info.state = UPSTREAM_LEAVING;
	u->leaving_us = now;
	log_upstream("upstream-leaving", &u->info);
	gates_publish_upstreams(n, now);
}

static uint32_t connection_limit(const struct node *n, const char *service)
{
	const struct service *s = NULL;

	if (n->config)
		s = config_service(n->config, service);
	return s && s->connections ? s->connections : UINT32_MAX;
}

/* Replaces all upstreams at an address by a new process. */
static void replace_upstream(struct node *n,
			     const struct upstream_announcement *announcement,
			     int64_t now)
{
	struct upstream_info info = announcement->info;
	struct gate_window starts = {0};
	struct local_upstream *u;
	uint64_t h = 0;
	void *item;

	while ((h = table_next(&n->local_upstreams, h, &item))) {
		u = item;
		if (!addr_equal(&u->info.addr, &info.addr))
			continue;
		/* It may have restarted long before this announcement. */
		gate_read_starts(u->gate, &starts);
		mark_gone(n, u, now);
	}
	gates_remove_gone(n, now);
	info.connections = connection_limit(n, info.service);
	info.cold_ms = (uint32_t)((announcement->cold_remaining_us +
				   USEC_PER_MSEC - 1) /
				  USEC_PER_MSEC);
	u = add_upstream(n, &info, &starts, now);
	if (!u)
		return;
	memcpy(u->instance, announcement->instance, sizeof(u->instance));
	u->started_ms = announcement->started_ms;
	u->sequence = announcement->sequence;
	if (info.state != UPSTREAM_READY)
		u->leaving_us = now;
}

/*
 * Whether the upstream said in an answer that it leaves, too recently for an
 * announcement of the opposite to be later than that.
 */
static bool said_leaving(const struct local_upstream *u, int64_t now)
{
	return u->said_leaving_us &&
	       now - u->said_leaving_us < ANNOUNCE_TIMEOUT_US;
}

/* Applies a newer announcement of a known process. */
static void update_upstream(struct node *n, struct local_upstream *u,
			    const struct upstream_announcement *announcement,
			    int64_t now)
{
	u->last_update_us = now;
	u->sequence = announcement->sequence;
	u->ended_incarnation = 0;
	upstream_cold_heard(n, u, announcement->cold_remaining_us, now);
	if (u->unreachable) {
		u->unreachable = false;
		gates_publish_upstreams(n, now);
	}
	if (u->info.slots != announcement->info.slots) {
		u->info.slots = announcement->info.slots;
		gate_set_slots(u->gate, u->info.slots, now);
		gates_publish_upstreams(n, now);
	}
	if (announcement->info.state == UPSTREAM_LEAVING) {
		start_leaving(n, u, now);
	} else if (u->info.state == UPSTREAM_LEAVING && !u->withdrawn &&
		   !said_leaving(u, now)) {
		u->info.state = UPSTREAM_READY;
		u->leaving_us = 0;
		u->leave_ticket = 0;
		log_upstream("upstream-stays", &u->info);
		gates_publish_upstreams(n, now);
	}
}

static void
log_ignored_announcement(const struct upstream_announcement *announcement,
			 const char *why)
{
	char addr[ADDR_TEXT_SIZE];
	struct log_line line;

	addr_format(&announcement->info.addr, addr);
	log_start(&line, LOG_INFO, "announcement-passed-over");
	log_str(&line, "instance", announcement->instance);
	log_str(&line, "upstream", addr);
	log_int(&line, "born_ms", announcement->started_ms);
	log_int(&line, "sequence", (int64_t)announcement->sequence);
	log_str(&line, "why", why);
	log_emit(&line);
}

/*
 * Records a leave for good. Without a start time it is that of the process that
 * is known, or of all that started before now.
 */
static uint64_t withdraw(struct node *n, struct local_upstream *u,
			 const struct upstream_announcement *announcement,
			 int64_t now)
{
	int64_t started_ms = announcement->started_ms;

	if (!started_ms)
		started_ms =
			u ? u->started_ms : clock_wall_us() / USEC_PER_MSEC;
	if (u && u->started_ms <= started_ms) {
		start_leaving(n, u, now);
		u->withdrawn = true;
	}
	return leaving_add(n->leaving, announcement->instance, started_ms,
			   DEPARTED_FOR_GOOD, now);
}

/* Records that the process drains, once until it is ready again. */
static uint64_t record_draining(struct node *n, struct local_upstream *u,
				int64_t now)
{
	if (!u->leave_ticket)
		u->leave_ticket = leaving_add(n->leaving, u->instance,
					      u->started_ms, u->sequence, now);
	return u->leave_ticket;
}

static bool is_of_other_host(const struct node *n, const struct addr *a)
{
	return addr_is_set(&n->settings.upstream) &&
	       !addr_equal(&n->settings.upstream, a);
}

/* Returns why an announcement is ignored, or NULL. */
static const char *why_ignored(struct node *n, const struct local_upstream *u,
			       bool same,
			       const struct upstream_announcement *announcement)
{
	if (is_address_taken_over(n, announcement))
		return "a newer process is known at the address";
	if (same && announcement->sequence <= u->sequence)
		return "late";
	if ((same && (u->withdrawn || u->info.state == UPSTREAM_GONE)) ||
	    leaving_covers(n->leaving, announcement->instance,
			   announcement->started_ms, announcement->sequence))
		return "the process has already left";
	return NULL;
}

uint64_t
gates_announce_platform(struct node *n,
			const struct upstream_announcement *announcement,
			int64_t now)
{
	struct local_upstream *u = find_instance(n, announcement->instance);
	const char *why;
	bool same;

	if (announcement->gone)
		return withdraw(n, u, announcement, now);
	if (is_of_other_host(n, &announcement->info.addr)) {
		log_ignored_announcement(announcement,
					 "address of another host");
		return 0;
	}
	same = u && u->started_ms == announcement->started_ms &&
	       !strcmp(u->info.service, announcement->info.service);
	why = why_ignored(n, u, same, announcement);
	if (why) {
		log_ignored_announcement(announcement, why);
		/* The leave that it repeats may not be kept yet. */
		return same && announcement->info.state == UPSTREAM_LEAVING
			       ? u->leave_ticket
			       : 0;
	}
	if (!same && announcement->info.state == UPSTREAM_READY &&
	    leaving_holds(n->leaving, announcement, now))
		return 0;
	if (same)
		update_upstream(n, u, announcement, now);
	else
		replace_upstream(n, announcement, now);
	u = find_instance(n, announcement->instance);
	if (!u || announcement->info.state != UPSTREAM_LEAVING)
		return 0;
	return record_draining(n, u, now);
}

/* An earlier process of this node acknowledged their leave. */
void gates_apply_leaves(struct node *n, int64_t now)
{
	int64_t drain_us = n->settings.promises.drain_us;
	struct local_upstream *u;
	uint64_t h = 0;
	void *item;

	while ((h = table_next(&n->local_upstreams, h, &item))) {
		u = item;
		if (u->info.state != UPSTREAM_READY || !u->instance[0] ||
		    !leaving_covers(n->leaving, u->instance, u->started_ms,
				    u->sequence))
			continue;
		start_leaving(n, u, now);
		/* When it was acknowledged is not known. */
		u->leaving_us = now - drain_us;
	}
}

void gates_mark_unreachable(struct node *n, uint64_t upstream, int64_t now)
{
	struct local_upstream *u = gates_upstream(n, upstream);

	if (!u || u->unreachable || n->settings.interface == INTERFACE_OWN)
		return;
	u->unreachable = true;
	log_upstream("upstream-unreachable", &u->info);
	upstream_cold_unreachable(n, u, now);
	gates_publish_upstreams(n, now);
	gates_drop_queued(n, upstream, now);
}

void gates_mark_gone(struct node *n, uint64_t upstream, int64_t now)
{
	struct local_upstream *u = gates_upstream(n, upstream);

	if (u)
		mark_gone(n, u, now);
}

/* Applies a named limit, or that the upstream leaves, from its answer. */
void gates_heard(struct node *n, struct local_upstream *u,
		 const struct message *answer, int64_t now)
{
	const char *leaving = NULL;

	if (n->headers->rate_limit)
		upstream_limit_heard(u, answer, n->headers->rate_limit, now);
	if (n->headers->leaving)
		leaving = message_header(answer, n->headers->leaving);
	if (!leaving || strcmp(leaving, "1") != 0)
		return;
	u->said_leaving_us = now;
	start_leaving(n, u, now);
}

bool gates_accepts(const struct node *n, const struct local_upstream *u,
		   int64_t now)
{
	int64_t drain = n->settings.promises.drain_us;

	if (u->info.state == UPSTREAM_GONE || u->unreachable)
		return false;
	return !drain || !u->leaving_us ||
	       now - u->leaving_us < drain - DRAIN_MARGIN_US;
}

/* Adds or updates an upstream of this host from its announcement. */
void gates_announce(struct node *n, const struct upstream_info *info,
		    int64_t now)
{
	struct local_upstream *u = gates_find(n, &info->addr, info->service);
	bool changed;

	if (!u) {
		add_upstream(n, info, NULL, now);
		return;
	}
	u->last_update_us = now;
	u->ended_incarnation = 0;
	changed = u->info.slots != info->slots || u->info.state != info->state;
	u->info.state = info->state;
	if (u->info.slots != info->slots) {
		u->info.slots = info->slots;
		gate_set_slots(u->gate, info->slots, now);
	}
	if (!changed)
		return;
	log_upstream("upstream-changed", &u->info);
	gates_publish_upstreams(n, now);
}

static bool has_calls(const struct local_upstream *u)
{
	struct gate_report r;

	gate_report(u->gate, &r);
	return r.running || r.queued;
}

void gates_remove_gone(struct node *n, int64_t now)
{
	struct local_upstream *u;
	bool changed = false;
	uint64_t h = 0;
	void *item;

	while ((h = table_next(&n->local_upstreams, h, &item))) {
		u = item;
		if (u->info.state != UPSTREAM_GONE || has_calls(u))
			continue;
		close_upstream(n, u);
		changed = true;
	}
	if (changed)
		gates_publish_upstreams(n, now);
}

/*
 * Runs queued calls, drops those that waited too long, and removes upstreams
 * that no longer announce themselves.
 */
void gates_tick(struct node *n, int64_t now)
{
	struct local_upstream *u;
	uint64_t h = 0;
	void *item;

	while ((h = table_next(&n->local_upstreams, h, &item))) {
		upstream_cold_update(n, item, now);
		gates_dispatch(n, h, now);
		u = gates_upstream(n, h);
		if (!u || now - u->last_update_us < ANNOUNCE_TIMEOUT_US)
			continue;
		if (u->info.state != UPSTREAM_GONE) {
			u->info.state = UPSTREAM_GONE;
			log_upstream("upstream-silent", &u->info);
			gates_publish_upstreams(n, now);
		}
		if (!has_calls(u)) {
			close_upstream(n, u);
			gates_publish_upstreams(n, now);
		}
	}
}

static void log_gate(const struct local_upstream *u, const char *event,
		     const struct gate_report *r)
{
	struct log_line line;
	char text[64];

	log_start(&line, LOG_NOTICE, event);
	log_str(&line, "service", u->info.service);
	log_int(&line, "slots", r->slots);
	log_int(&line, "limit", r->limit);
	log_int(&line, "running", r->running);
	log_int(&line, "queued", r->queued);
	log_int(&line, "service_us", r->service_us);
	snprintf(text, sizeof(text), "%.0f", r->admitted_rate);
	log_str(&line, "admitted_s", text);
	snprintf(text, sizeof(text), "%.2f,%.2f,%.2f",
		 (double)r->admitted[SHED_FIRST] / ADMIT_ALL,
		 (double)r->admitted[SHED_MIDDLE] / ADMIT_ALL,
		 (double)r->admitted[SHED_LAST] / ADMIT_ALL);
	log_str(&line, "open", text);
	log_emit(&line);
}

/* Logs overload once a second while the gate sheds, and when it ends. */
static void log_overload(struct local_upstream *u, int64_t now)
{
	struct gate_report r;
	bool shedding;

	gate_report(u->gate, &r);
	shedding = r.admitted_rate > 0;
	if (shedding &&
	    (!u->shedding || now - u->overload_logged_us >= USEC_PER_SEC)) {
		log_gate(u, "overload", &r);
		u->overload_logged_us = now;
	} else if (!shedding && u->shedding) {
		log_gate(u, "overload-over", &r);
	}
	u->shedding = shedding;
}

/* Adjusts the limits and cutoffs of all gates; runs every GATE_STEP_US. */
void gates_step(struct node *n, int64_t now)
{
	struct local_upstream *u;
	uint64_t h = 0;
	void *item;

	while ((h = table_next(&n->local_upstreams, h, &item))) {
		u = item;
		gate_step(u->gate, now);
		log_overload(u, now);
	}
}

void gates_apply_config(struct node *n, int64_t now)
{
	uint64_t h = 0;
	void *item;

	while ((h = table_next(&n->local_upstreams, h, &item))) {
		gate_set_mode(((struct local_upstream *)item)->gate,
			      config_overload_mode(n->config));
		upstream_cold_update(n, item, now);
	}
}

bool gates_any_ready(const struct node *n)
{
	const struct local_upstream *u;
	uint64_t h = 0;
	void *item;

	while ((h = table_next(&n->local_upstreams, h, &item))) {
		u = item;
		if (u->info.state == UPSTREAM_READY && !u->unreachable)
			return true;
	}
	return false;
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
