#include "node/listeners.h"

#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "admin/admin.h"
#include "node/leaving.h"
#include "platform/platform.h"

/* Parts of the memory for bodies, beside unread answers of up to all of it. */
#define REQUESTS_DIVISOR 4 /* 3/4 for bodies of requests, until the answer */
#define RECEIVED_DIVISOR 4 /* large answers that upstreams send */
#define ANNOUNCEMENT_PATH "/mulberryferry/v1/announcement"
#define LOCAL_CONNECTIONS_MAX 4096
#define ADMIN_CONNECTIONS_MAX 256
#define ADMIN_BODY_LIMIT (1024 * 1024)
/* Below the ports that kernels give out by themselves. */
#define ANNOUNCEMENT_PORT_MIN 10240
#define ANNOUNCEMENT_PORTS 20000
#define ANNOUNCEMENT_PORT_TRIES 8

static void on_caller(void *ctx, uint64_t exchange, struct message *msg,
		      const char *peer, int64_t now)
{
	(void)peer;
	request_start(ctx, ORIGIN_CALLER, exchange, msg, now);
}

static void answer_status(struct http_server *s, uint64_t exchange, int status,
			  const char *text)
{
	struct message m = {.status = status};

	message_add_header(&m, "content-type", "text/plain");
	buffer_append(&m.body, text, strlen(text), SIZE_MAX);
	http_server_respond(s, exchange, &m);
	message_free(&m);
}

static void handle_announcement(struct node *n, uint64_t exchange,
				const struct message *msg, int64_t now)
{
	struct upstream_info u;
	struct error err;

	if (announcement_read(&u, (const char *)msg->body.data, msg->body.len,
			      &err) < 0) {
		log_error(LOG_WARNING, "announcement-refused", &err);
		answer_status(n->services, exchange, 400, err.text);
		return;
	}
	gates_announce(n, &u, now);
	answer_status(n->services, exchange, 200, "ok\n");
}

/* Further than the clocks of a host and its upstream can be apart. */
#define STARTED_AHEAD_MAX_MS (3600 * INT64_C(1000))

/*
 * Returns -1 if the announced start lies in the future: announcements of the
 * processes that start until then would be taken for older ones.
 */
static int check_start(const struct upstream_announcement *announcement,
		       struct error *err)
{
	int64_t now_ms = clock_wall_us() / USEC_PER_MSEC;

	if (announcement->started_ms - now_ms < STARTED_AHEAD_MAX_MS)
		return 0;
	return error_set(err, ERROR_INPUT, "announce", announcement->instance,
			 "started in the future");
}

/* Handles a platform announcement; an invalid one changes nothing. */
static void handle_platform_announcement(struct node *n,
					 const struct announcement_exchange *x,
					 const struct message *msg, int64_t now)
{
	struct upstream_announcement announcement;
	struct error err;
	int rc = platform_decode_announcement(msg, &announcement, &err);

	if (!rc)
		rc = check_start(&announcement, &err);
	if (rc < 0)
		log_error(LOG_WARNING, "announcement-refused", &err);
	if (rc) {
		answer_status(x->server, x->id, rc < 0 ? 400 : 404, "");
		return;
	}
	announcement.current = x->server == n->announcements;
	leaving_acknowledge(n->leaving, x,
			    gates_announce_platform(n, &announcement, now),
			    now);
}

void listeners_answer_announcement(struct node *n,
				   const struct announcement_exchange *exchange,
				   int status)
{
	bool names_later = n->announcements && leaving_is_uncertain(n->leaving);
	struct addr later;
	char text[128];

	if (names_later)
		http_server_addr(n->announcements, &later);
	platform_announcement_answer(names_later ? &later : NULL, text,
				     sizeof(text));
	answer_status(exchange->server, exchange->id, status, text);
}

static void on_current_announcement(void *ctx, uint64_t exchange,
				    struct message *msg, const char *peer,
				    int64_t now)
{
	struct node *n = ctx;
	struct announcement_exchange x = {n->announcements, exchange};

	(void)peer;
	handle_platform_announcement(n, &x, msg, now);
}

static void on_ready(void *ctx, uint64_t exchange, struct message *msg,
		     const char *peer, int64_t now)
{
	struct node *n = ctx;
	bool is_probe = platform_is_ready_probe(msg);

	(void)peer;
	answer_status(n->ready, exchange,
		      !is_probe		      ? 404
		      : node_is_ready(n, now) ? 200
					      : 503,
		      "");
}

static void on_service(void *ctx, uint64_t exchange, struct message *msg,
		       const char *peer, int64_t now)
{
	struct node *n = ctx;
	struct announcement_exchange x = {n->services, exchange};

	(void)peer;
	if (n->settings.interface == INTERFACE_PLATFORM)
		handle_platform_announcement(n, &x, msg, now);
	else if (!strcmp(msg->target, ANNOUNCEMENT_PATH) &&
		 !strcmp(msg->method, "PUT"))
		handle_announcement(n, exchange, msg, now);
	else
		request_start(n, ORIGIN_SERVICE, exchange, msg, now);
}

static void on_caller_gone(void *ctx, uint64_t exchange, int64_t now)
{
	request_cancel(ctx, request_of_exchange(ctx, exchange), now);
}

static void on_admin(void *ctx, uint64_t exchange, struct message *msg,
		     const char *peer, int64_t now)
{
	(void)peer;
	admin_request(ctx, exchange, msg, now);
}

static void on_admin_gone(void *ctx, uint64_t exchange, int64_t now)
{
	(void)ctx;
	(void)exchange;
	(void)now;
}

static void on_call(void *ctx, uint64_t stream, const struct addr *peer,
		    const struct call_head *head, struct message *msg,
		    int64_t now)
{
	(void)peer;
	gates_submit(ctx, REPLY_LINK, stream, head, msg, now);
}

static void on_cancelled(void *ctx, uint64_t stream, int64_t now)
{
	gates_cancel_stream(ctx, stream, now);
}

static void on_peer_message(void *ctx, const struct peer_msg *msg, int64_t now)
{
	struct node *n = ctx;

	admin_note_number_received(n, &msg->from, msg->config_number);
	store_learn_era(n->store, msg->store_era,
			msg->store_era_age_ms * USEC_PER_MSEC, now);
	notes_number_received(n->notes, &msg->from, msg->config_number, now);
	switch (msg->kind) {
	case PEER_PROBE:
	case PEER_PROBE_ACK:
	case PEER_PROBE_REQUEST:
	case PEER_MEMBERS_PULL:
	case PEER_MEMBERS:
		members_receive(n->members, msg, now);
		break;
	case PEER_NOTES_PULL:
	case PEER_NOTE:
	case PEER_SNAPSHOT:
		notes_receive(n->notes, msg, now);
		break;
	case PEER_LOAN_REQUEST:
	case PEER_LOAN_GRANT:
	case PEER_LOAN_SPENT:
	case PEER_STANDBY:
		quota_receive(n->quota, msg, now);
		break;
	case PEER_QUERY:
	case PEER_QUERY_RESPONSE:
		admin_peer(n, msg, now);
		break;
	case PEER_POISON:
		poison_gossip_receive(n->poison_gossip, msg, now);
		break;
	}
}

/*
 * Opens a listener for announcements at a random port, which earlier processes
 * of this node hardly had. Without it, held announcements wait for longer.
 */
static void open_announcements(struct node *n,
			       const struct http_server_options *services)
{
	struct http_server_options o = *services;
	struct error err;
	int i;

	if (n->settings.interface != INTERFACE_PLATFORM)
		return;
	o.on_request = on_current_announcement;
	for (i = 0; i < ANNOUNCEMENT_PORT_TRIES && !n->announcements; i++) {
		o.listen.port =
			(uint16_t)(ANNOUNCEMENT_PORT_MIN +
				   randombytes_uniform(ANNOUNCEMENT_PORTS));
		n->announcements = http_server_open(n->net, &o, &err);
	}
	if (!n->announcements)
		log_error(LOG_WARNING, "listen", &err);
}

static int open_http(struct node *n, struct error *err)
{
	const struct settings *s = &n->settings;
	struct http_server_options o = {.listen = s->callers,
					.body_limit = s->body_limit,
					.connections_max = s->connections_max,
					.unread_max = s->memory_limit,
					.outcome_header = n->headers->outcome,
					.ctx = n,
					.on_request = on_caller,
					.on_abandoned = on_caller_gone};

	n->callers = http_server_open(n->net, &o, err);
	if (!n->callers)
		return -1;
	o.listen = s->services;
	o.connections_max = LOCAL_CONNECTIONS_MAX;
	o.on_request = on_service;
	n->services = http_server_open(n->net, &o, err);
	if (!n->services)
		return -1;
	open_announcements(n, &o);
	o.listen = s->admin;
	o.connections_max = ADMIN_CONNECTIONS_MAX;
	o.body_limit = ADMIN_BODY_LIMIT;
	o.on_request = on_admin;
	o.on_abandoned = on_admin_gone;
	n->admin_server = http_server_open(n->net, &o, err);
	if (!n->admin_server || !addr_is_set(&s->ready))
		return n->admin_server ? 0 : -1;
	o.listen = s->ready;
	o.on_request = on_ready;
	n->ready = http_server_open(n->net, &o, err);
	return n->ready ? 0 : -1;
}

int listeners_open(struct node *n, struct error *err)
{
	struct links_options o = {.listen = n->settings.nodes,
				  .incarnation = n->incarnation,
				  .body_limit = n->settings.body_limit,
				  .ctx = n,
				  .on_call = on_call,
				  .on_cancelled = on_cancelled,
				  .on_peer_msg = on_peer_message};

	net_limit_requests(n->net,
			   n->settings.memory_limit -
				   n->settings.memory_limit / REQUESTS_DIVISOR);
	net_limit_bodies(n->net, n->settings.memory_limit / RECEIVED_DIVISOR);
	if (open_http(n, err) < 0)
		return -1;
	memcpy(o.secret, n->settings.secret, sizeof(o.secret));
	n->links = links_open(n->net, &o, err);
	if (!n->links)
		return -1;
	links_addr(n->links, &n->self);
	return 0;
}

void listeners_log(const struct node *n)
{
	char text[ADDR_TEXT_SIZE];
	struct log_line line;
	struct addr a;

	log_start(&line, LOG_NOTICE, "listening");
	log_str(&line, "host", n->settings.host);
	log_str(&line, "data_centre", n->settings.data_centre);
	http_server_addr(n->callers, &a);
	addr_format(&a, text);
	log_str(&line, "callers", text);
	http_server_addr(n->services, &a);
	addr_format(&a, text);
	log_str(&line, "services", text);
	addr_format(&n->self, text);
	log_str(&line, "nodes", text);
	http_server_addr(n->admin_server, &a);
	addr_format(&a, text);
	log_str(&line, "admin", text);
	if (n->ready) {
		http_server_addr(n->ready, &a);
		addr_format(&a, text);
		log_str(&line, "ready", text);
	}
	log_emit(&line);
}

void listeners_close(struct node *n)
{
	gates_close(n);
	if (n->links)
		links_close(n->links);
	n->links = NULL;
}
