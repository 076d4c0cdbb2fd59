#include "node/node.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "admin/admin.h"
#include "control/evacuations/evacuations.h"
#include "node/evacuation.h"
#include "node/known_cold.h"
#include "node/leaving.h"
#include "node/listeners.h"
#include "platform/platform.h"

#define CALLS_MAX 65536
#define CUTOFFS_MAX 32768
#define POISON_MAX 4096

#define FAST_TICK_US (5 * USEC_PER_MSEC)
#define SLOW_TICK_US (50 * USEC_PER_MSEC)
#define STORE_TICK_US (10 * USEC_PER_MSEC)

/* Callers check readiness every second and leave after two failures. */
#define CALLER_DRAIN_US (3 * USEC_PER_SEC)
/*
 * The gates close to other nodes this long before callers are refused. The
 * nodes learn of it by gossip within some tens of milliseconds; the rest
 * allows for a lost round.
 */
#define GATE_CLOSE_LEAD_US (500 * USEC_PER_MSEC)
/* Before the end of a stop, for the answers of what reached its deadline. */
#define STOP_ANSWER_US (200 * USEC_PER_MSEC)

static volatile sig_atomic_t stop_requested;
static volatile sig_atomic_t reload_requested;

static void on_signal(int number)
{
	if (number == SIGHUP)
		reload_requested = 1;
	else
		stop_requested = 1;
}

/*
 * Reads the settings again and applies those that can change without closing
 * a connection. The others take effect after a restart.
 */
static void reload(struct node *n)
{
	struct log_line line;
	struct settings s;
	struct error err;

	if (!n->settings_path)
		return;
	if (settings_load(&s, n->settings_path, &err) < 0) {
		log_error(LOG_ERR, "reload-refused", &err);
		return;
	}
	n->settings.log_priority = s.log_priority;
	n->settings.memory_limit = s.memory_limit;
	n->settings.promises = s.promises;
	n->settings.stop_grace_us = s.stop_grace_us;
	log_set_level(s.log_priority);
	log_start(&line, LOG_NOTICE, "reloaded");
	log_str(&line, "settings", n->settings_path);
	log_emit(&line);
}

/* Returns 64 random bits; not suitable for cryptography. */
uint64_t node_random(struct node *n)
{
	uint64_t high = gsl_rng_get(n->rng);

	return high << 32 | gsl_rng_get(n->rng);
}

/* Fills in what each message tells of its sender. */
static void stamp(struct node *n, struct peer_msg *msg, int64_t now)
{
	int64_t age_us;

	msg->config_number = n->config ? config_number(n->config) : 0;
	msg->incarnation = n->incarnation;
	msg->store_era = store_era(n->store, now, &age_us);
	msg->store_era_age_ms = age_us / USEC_PER_MSEC;
}

static int io_send(void *ctx, const struct addr *to, struct peer_msg *msg,
		   int64_t now)
{
	struct node *n = ctx;

	stamp(n, msg, now);
	return links_send(n->links, to, msg, now);
}

static int io_datagram(void *ctx, const struct addr *to, struct peer_msg *msg)
{
	struct node *n = ctx;

	stamp(n, msg, clock_monotonic_us());
	return links_datagram(n->links, to, msg);
}

static void member_changed(void *ctx, const struct member_info *m, int64_t now)
{
	struct node *n = ctx;

	if (n->directory)
		directory_update(n->directory, m, now);
}

static void departed(void *ctx, const struct departure *d, size_t count,
		     int64_t now)
{
	struct node *n = ctx;

	leaving_hear(n->leaving, d, count, now);
}

/* Applies the limits on callers if the configuration sets all of them. */
static void limit_callers(struct node *n)
{
	const struct caller_limits *c = config_limits(n->config);
	struct http_limits l = {.head_bytes = c->head_bytes,
				.body_bytes = c->body_bytes,
				.head_timeout_us = c->head_timeout_us,
				.idle_timeout_us = c->idle_timeout_us};

	if (l.head_bytes > HEADER_BYTES_MAX)
		l.head_bytes = HEADER_BYTES_MAX;
	if (l.body_bytes > n->settings.body_limit)
		l.body_bytes = n->settings.body_limit;
	http_server_set_limits(n->callers, &l);
}

static void config_in_force(void *ctx, struct config *c, int64_t now)
{
	struct node *n = ctx;
	struct log_line line;

	if (n->config)
		config_put(n->config);
	n->config = config_get(c);
	if (n->quota)
		quota_config(n->quota, c, now);
	gates_apply_config(n, now);
	gates_drop_away(n, now);
	home_config_changed(n, now);
	limit_callers(n);
	log_start(&line, LOG_NOTICE, "config-in-force");
	log_int(&line, "number", (int64_t)config_number(c));
	log_str(&line, "release", config_release(c));
	log_emit(&line);
}

/* Tells the controllers that the history of the store was replaced. */
static void store_replaced(void *ctx, int64_t now)
{
	struct node *n = ctx;

	if (n->secret)
		secret_store_replaced(n->secret, now);
	members_store_replaced(n->members, now);
	notes_store_replaced(n->notes, now);
	quota_store_replaced(n->quota, now);
	claims_store_replaced(n->claims, now);
	leaving_store_replaced(n->leaving, now);
}

static void quota_wake(void *ctx, const char *account, int64_t now)
{
	limit_retry(ctx, account, now);
}

static void fast_tick(void *ctx, int64_t now)
{
	struct node *n = ctx;

	evacuation_ticked(n, now);
	quota_tick(n->quota, now);
	claims_tick(n->claims, now);
	poison_gossip_tick(n->poison_gossip, now);
	limit_retry(n, NULL, now);
	leaving_tick(n->leaving, now);
	gates_tick(n, now);
	if (stop_requested && !n->stopping)
		node_stop(n, now);
	if (reload_requested) {
		reload_requested = 0;
		reload(n);
	}
}

static void slow_tick(void *ctx, int64_t now)
{
	struct node *n = ctx;

	if (n->secret)
		secret_tick(n->secret, now);
	members_tick(n->members, now);
	notes_tick(n->notes, now);
	if (n->evacuations)
		evacuations_tick(n->evacuations, now);
	requests_expire(n, now);
	admin_tick(n, now);
	if (n->stopping)
		node_stop_step(n, now);
}

static void store_timer(void *ctx, int64_t now)
{
	struct node *n = ctx;

	store_tick(n->store, now);
}

static void gate_timer(void *ctx, int64_t now)
{
	gates_step(ctx, now);
}

static int start_timers(struct node *n, struct error *err)
{
	if (net_every(n->net, FAST_TICK_US, fast_tick, n) < 0 ||
	    net_every(n->net, STORE_TICK_US, store_timer, n) < 0 ||
	    net_every(n->net, SLOW_TICK_US, slow_tick, n) < 0 ||
	    net_every(n->net, GATE_STEP_US, gate_timer, n) < 0)
		return error_set(err, ERROR_MEMORY, "start", NULL,
				 "out of memory for timers");
	return 0;
}

static struct control_io node_io(struct node *n)
{
	struct control_io io = {
		.ctx = n, .send = io_send, .datagram = io_datagram};

	return io;
}

static int open_members(struct node *n, int64_t now)
{
	const struct settings *s = &n->settings;
	struct members_options o = {
		.seeds = s->seeds,
		.seed_count = s->seed_count,
		.io = node_io(n),
		.store = n->store,
		.seed = node_random(n),
		.ctx = n,
		.changed = member_changed,
		.departed = departed,
	};

	memcpy(o.self.host, s->host, sizeof(o.self.host));
	memcpy(o.self.data_centre, s->data_centre, sizeof(o.self.data_centre));
	memcpy(o.self.region, s->region, sizeof(o.self.region));
	o.self.node_addr = n->self;
	http_server_addr(n->admin_server, &o.self.admin);
	o.self.incarnation = n->incarnation;
	n->members = members_new(&o, now);
	return n->members ? 0 : -1;
}

static void secret_known(void *ctx, const uint8_t secret[SECRET_SIZE],
			 int64_t now)
{
	struct node *n = ctx;

	n->admit_key = XXH3_64bits(secret, SECRET_SIZE);
	links_set_secret(n->links, secret);
	members_join(n->members, now);
}

static int open_secret(struct node *n)
{
	static const uint8_t none[SECRET_SIZE];
	struct secret_options o = {
		.store = n->store, .ctx = n, .on_known = secret_known};

	if (memcmp(n->settings.secret, none, SECRET_SIZE) != 0)
		return 0;
	n->secret = secret_new(&o);
	return n->secret ? 0 : -1;
}

static int open_controllers(struct node *n, struct error *err)
{
	int64_t now = clock_monotonic_us();
	struct notes_options notes = {.io = node_io(n),
				      .store = n->store,
				      .seed = node_random(n),
				      .ctx = n,
				      .in_force = config_in_force};
	struct quota_options quota = {.io = node_io(n),
				      .store = n->store,
				      .self = n->self,
				      .incarnation = n->incarnation,
				      .seed = node_random(n),
				      .hold_us = n->settings.share_hold_us,
				      .groups = n->settings.share_groups,
				      .data_centres = n->settings.data_centres,
				      .data_centre = n->settings.data_centre,
				      .ctx = n,
				      .wake = quota_wake};
	struct poison_gossip_options poison = {.io = node_io(n)};
	struct claims_options claims = {.store = n->store,
					.self = n->self,
					.incarnation = n->incarnation};

	n->explain = explain_new(n->settings.records_max);
	n->cutoffs = cutoffs_new(CUTOFFS_MAX);
	n->poison = poison_new(POISON_MAX);
	n->directory = directory_new(n);
	n->identities = identities_new();
	if (!n->explain || !n->cutoffs || !n->poison || !n->directory ||
	    !n->identities || open_members(n, now) < 0)
		return error_set(err, ERROR_MEMORY, "start", NULL,
				 "out of memory");
	if (n->settings.store_kind == STORE_PLATFORM) {
		notes.source = SOURCE_DOCUMENT;
		notes.document.key = platform_config_key;
		notes.document.read = platform_config;
		notes.document.prefix = platform_operator_prefix;
	}
	if (open_secret(n) < 0 || evacuation_open(n) < 0)
		return error_set(err, ERROR_MEMORY, "start", NULL,
				 "out of memory");
	notes.members = n->members;
	notes.evacuations = n->evacuations;
	quota.members = n->members;
	claims.members = n->members;
	n->quota = quota_new(&quota, now);
	n->claims = claims_new(&claims, now);
	n->notes = notes_new(&notes, now);
	n->leaving = leaving_new(n, now);
	poison.members = n->members;
	poison.poison = n->poison;
	n->poison_gossip = poison_gossip_new(&poison);
	if (!n->poison_gossip || !n->notes || !n->quota || !n->claims ||
	    !n->leaving)
		return error_set(err, ERROR_MEMORY, "start", NULL,
				 "out of memory");
	store_on_replaced(n->store, n, store_replaced);
	return 0;
}

static int open_store(struct node *n, struct error *err)
{
	struct store_options o = {.kind = n->settings.store_kind,
				  .net = n->net,
				  .addr = n->settings.store,
				  .calls_s = n->settings.store_calls_s};

	n->store = store_open(&o, err);
	return n->store ? 0 : -1;
}

static int open_parts(struct node *n, struct error *err)
{
	n->net = net_open(err);
	n->admin_state = admin_new(n);
	if (!n->admin_state || !n->net || listeners_open(n, err) < 0 ||
	    open_store(n, err) < 0 || open_controllers(n, err) < 0 ||
	    start_timers(n, err) < 0)
		return -1;
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);
	signal(SIGHUP, on_signal);
	signal(SIGPIPE, SIG_IGN);
	listeners_log(n);
	return 0;
}

struct node *node_open(const struct settings *s, const char *path,
		       struct error *err)
{
	struct node *n = calloc(1, sizeof(*n));

	if (!n) {
		error_set(err, ERROR_MEMORY, "start", NULL, "out of memory");
		return NULL;
	}
	n->settings = *s;
	n->settings_path = path;
	n->headers = s->interface == INTERFACE_PLATFORM
			     ? &platform_interface_headers
			     : &default_interface_headers;
	n->incarnation = (uint64_t)clock_wall_us();
	n->admit_key = XXH3_64bits(s->secret, sizeof(s->secret));
	n->rng = gsl_rng_alloc(gsl_rng_taus2);
	gsl_rng_set(n->rng, (unsigned long)pair_hash(n->incarnation,
						     name_hash(s->host)));
	table_init(&n->requests, sizeof(struct request), s->requests_max);
	table_init(&n->calls, sizeof(struct call), CALLS_MAX);
	table_init(&n->local_upstreams, sizeof(struct local_upstream),
		   UPSTREAMS_PER_HOST_MAX);
	if (open_parts(n, err) < 0) {
		node_close(n);
		return NULL;
	}
	return n;
}

void node_run(struct node *n)
{
	net_run(n->net);
}

/*
 * A host without a configuration, or that can't confirm that its keys have
 * not been revoked, would refuse all requests of callers.
 */
bool node_is_ready(const struct node *n, int64_t now)
{
	int64_t revoke = n->settings.promises.revoke_us;

	if (!node_is_configured(n) || n->stopping)
		return false;
	return !revoke ||
	       notes_stale_us(n->notes, now) < revoke - REVOKE_MARGIN_US;
}

/*
 * Begins a planned stop: sends callers to other hosts and finishes the
 * requests in progress. The upstreams stay in use until their gates close,
 * since their slots are lost to the service while they have no gate.
 */
void node_stop(struct node *n, int64_t now)
{
	struct log_line line;

	n->stopping = true;
	n->stopping_since_us = now;
	n->stop_at_us = now + n->settings.stop_grace_us;
	http_server_drain(n->callers);
	log_start(&line, LOG_NOTICE, "stopping");
	log_int(&line, "requests", n->requests.count);
	log_int(&line, "calls", n->calls.count);
	log_emit(&line);
}

/* Time for callers to leave; half of the grace is for what they sent before. */
static int64_t caller_drain_us(const struct node *n)
{
	int64_t half_us = n->settings.stop_grace_us / 2;

	return half_us < CALLER_DRAIN_US ? half_us : CALLER_DRAIN_US;
}

/*
 * Whether callers have had time to notice the planned stop. New requests are
 * refused from then on; otherwise a steady stream of them would keep the node
 * from stopping, and the last ones would be cut at its end.
 */
bool node_refuses_requests(const struct node *n, int64_t now)
{
	return n->stopping && now - n->stopping_since_us >= caller_drain_us(n);
}

/*
 * Returns the deadline of what is passed on during a planned stop: early enough
 * for its answer, be it that of a missed deadline, to leave before the end.
 */
int64_t node_last_deadline(const struct node *n, int64_t deadline_us)
{
	int64_t last_us = n->stop_at_us - STOP_ANSWER_US;

	return n->stopping && last_us < deadline_us ? last_us : deadline_us;
}

/* Answers on their way to callers, upstreams and other nodes. */
static uint32_t unsent_answers(const struct node *n)
{
	return http_server_unsent(n->callers) +
	       http_server_unsent(n->services) + links_unsent_answers(n->links);
}

static void log_stopped(struct node *n, int64_t now)
{
	struct log_line line;

	log_start(&line, LOG_NOTICE, "stopped");
	log_int(&line, "answered", (int64_t)counter_get(COUNTER_ANSWERED));
	log_int(&line, "refused", (int64_t)counter_get(COUNTER_REFUSED));
	log_int(&line, "cut_requests", n->requests.count);
	log_int(&line, "cut_calls", n->calls.count);
	log_int(&line, "cut_answers", unsent_answers(n));
	log_int(&line, "took_ms", (now - n->stopping_since_us) / USEC_PER_MSEC);
	log_emit(&line);
}

static void close_gates(struct node *n, int64_t now)
{
	struct log_line line;

	n->gates_closing = true;
	members_leave(n->members, now);
	gates_publish_upstreams(n, now);
	log_start(&line, LOG_NOTICE, "gates-closing");
	log_int(&line, "calls", n->calls.count);
	log_emit(&line);
}

/* Ends the planned stop once all work is finished or the grace time is over. */
void node_stop_step(struct node *n, int64_t now)
{
	bool busy = n->requests.count || n->calls.count || unsent_answers(n);

	if (!n->gates_closing &&
	    now - n->stopping_since_us >=
		    caller_drain_us(n) - GATE_CLOSE_LEAD_US)
		close_gates(n, now);
	if (now < n->stop_at_us) {
		if (busy || !node_refuses_requests(n, now))
			return;
		quota_leave(n->quota, gates_any_ready(n), now);
		if (!quota_drained(n->quota) || !claims_idle(n->claims) ||
		    leaving_is_busy(n->leaving))
			return;
	}
	members_left(n->members, now);
	log_stopped(n, now);
	net_stop(n->net);
}

static void free_requests(struct node *n)
{
	struct request *r;
	uint64_t h = 0;
	void *item;

	while ((h = table_next(&n->requests, h, &item))) {
		r = item;
		request_drop_exchange(n, r);
		if (n->identities)
			identity_remove(n, r);
		message_free(&r->message);
		config_put(r->config);
	}
	table_free(&n->requests);
}

/* Frees the node. Connections that are still open are closed. */
void node_close(struct node *n)
{
	/* First: calls that it ends are reported to the controllers. */
	listeners_close(n);
	if (n->notes)
		notes_free(n->notes);
	if (n->quota)
		quota_free(n->quota);
	if (n->claims)
		claims_free(n->claims);
	if (n->members)
		members_free(n->members);
	if (n->store)
		store_close(n->store);
	secret_free(n->secret);
	leaving_free(n->leaving);
	calls_free(n);
	free_requests(n);
	evacuations_free(n->evacuations);
	if (n->directory)
		directory_free(n->directory);
	if (n->identities)
		identities_free(n->identities);
	if (n->cutoffs)
		cutoffs_free(n->cutoffs);
	poison_gossip_free(n->poison_gossip);
	poison_free(n->poison);
	if (n->explain)
		explain_free(n->explain);
	if (n->config)
		config_put(n->config);
	service_retries_free(n);
	route_stats_free(n);
	spills_free(n);
	bottlenecks_free(n);
	known_cold_free(n);
	if (n->admin_state)
		admin_free(n->admin_state);
	buffer_free(&n->limit_waiting);
	gsl_rng_free(n->rng);
	if (n->net)
		net_close(n->net);
	free(n);
}
