#include "net/net_impl.h"

#include <libwebsockets.h>

#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#define HEADER_DATA_MAX (8 * 1024) /* bytes of one received header block */
#define DESCRIPTORS_MAX 4096
#define HEADER_TIMEOUT_SECS 10 /* to receive a request's header block */
/* Calls have their own deadlines; the timeouts of lws must not expire first. */
#define LWS_TIMEOUT_SECS 3600
#define LWS_TICK_US (20 * USEC_PER_MSEC)

struct net_close_hook {
	struct net_close_hook *next;
	void (*release)(void *ctx);
	void *ctx;
};

/* Keeps the timers of libwebsockets running; see lws_tick. */
struct net_lws_tick {
	struct lws_sorted_usec_list sul; /* first member: lws_tick casts it */
	struct net *net;
};

struct net_deferred_free {
	struct net_deferred_free *next;
	void (*release)(void *p);
	void *p;
};

struct net_vhost {
	struct net_vhost *next;
	char iface[ADDR_TEXT_SIZE];
};

/*
 * Logs errors of libwebsockets at debug level only: failures are reported to
 * the caller or the connection's owner, together with the peer.
 */
static void log_lws(int level, const char *text)
{
	struct log_line line;
	char copy[256];
	size_t n = strcspn(text, "\n");

	if (!(level & LLL_ERR))
		return;
	if (n >= sizeof(copy))
		n = sizeof(copy) - 1;
	memcpy(copy, text, n);
	copy[n] = 0;
	log_start(&line, LOG_DEBUG, "net-library");
	log_str(&line, "text", copy);
	log_emit(&line);
}

/*
 * Lowers the soft limit of open files. libwebsockets scans a table of that
 * length each time an idle connection is reused, which with a high limit
 * takes longer than the call itself.
 */
static void limit_descriptors(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit) < 0 ||
	    limit.rlim_cur <= DESCRIPTORS_MAX)
		return;
	limit.rlim_cur = DESCRIPTORS_MAX;
	setrlimit(RLIMIT_NOFILE, &limit);
}

int64_t net_now(void)
{
	return clock_monotonic_us();
}

/*
 * libwebsockets checks its timers when the loop is idle and when the timer
 * that it last set expires. A loop with a readable socket is never idle, so
 * this keeps a timer pending that expires within LWS_TICK_US.
 */
static void lws_tick(struct lws_sorted_usec_list *sul)
{
	struct net_lws_tick *p = (struct net_lws_tick *)sul;

	lws_sul_schedule(p->net->context, 0, sul, lws_tick, LWS_TICK_US);
}

static int open_context(struct net *net)
{
	struct lws_context_creation_info info;

	net->loop = ev_loop_new(EVBACKEND_EPOLL | EVFLAG_NOENV);
	if (!net->loop)
		return -1;
	net->foreign_loops[0] = net->loop;
	memset(&info, 0, sizeof(info));
	info.options =
		LWS_SERVER_OPTION_EXPLICIT_VHOSTS | LWS_SERVER_OPTION_LIBEV;
	info.foreign_loops = net->foreign_loops;
	info.gid = (gid_t)-1;
	info.uid = (uid_t)-1;
	info.pt_serv_buf_size = NET_IO_SIZE;
	info.max_http_header_data = HEADER_DATA_MAX;
	info.timeout_secs = LWS_TIMEOUT_SECS;
	info.user = net;
	net->context = lws_create_context(&info);
	if (net->context)
		return 0;
	ev_loop_destroy(net->loop);
	return -1;
}

/*
 * Opens the event loop. Ignores SIGPIPE in the whole process, as callbacks
 * report broken connections, and lowers the soft limit of open files.
 */
struct net *net_open(struct error *err)
{
	struct net *net = calloc(1, sizeof(*net));

	if (net)
		net->lws_tick = calloc(1, sizeof(*net->lws_tick));
	if (!net || !net->lws_tick) {
		free(net);
		error_set(err, ERROR_MEMORY, "net-open", NULL, "out of memory");
		return NULL;
	}
	signal(SIGPIPE, SIG_IGN);
	limit_descriptors();
	lws_set_log_level(LLL_ERR, log_lws);
	if (open_context(net) < 0) {
		error_set(err, ERROR_IO, "net-open", NULL,
			  "cannot create libev loop or libwebsockets context");
		free(net->lws_tick);
		free(net);
		return NULL;
	}
	net->lws_tick->net = net;
	lws_tick(&net->lws_tick->sul);
	return net;
}

void net_free_later(struct net *net, void *p, void (*release)(void *p))
{
	struct net_deferred_free *d = calloc(1, sizeof(*d));

	/* Out of memory: leak p, as it may still be in use. */
	if (!d)
		return;
	d->p = p;
	d->release = release;
	d->next = net->deferred_frees;
	net->deferred_frees = d;
}

static void run_deferred_frees(struct net *net)
{
	struct net_deferred_free *d;

	while ((d = net->deferred_frees)) {
		net->deferred_frees = d->next;
		d->release(d->p);
		free(d);
	}
}

/* Closes all connections without reporting and runs the close hooks. */
void net_close(struct net *net)
{
	struct net_vhost *vhost;
	struct net_close_hook *hook;

	if (!net)
		return;
	net->closing = true;
	net_free_timers(net);
	lws_sul_cancel(&net->lws_tick->sul);
	lws_context_destroy(net->context);
	http_pool_free_all(net);
	net_probes_free_all(net);
	run_deferred_frees(net);
	while ((hook = net->close_hooks)) {
		net->close_hooks = hook->next;
		hook->release(hook->ctx);
		free(hook);
	}
	run_deferred_frees(net);
	while ((vhost = net->vhosts)) {
		net->vhosts = vhost->next;
		free(vhost);
	}
	ev_loop_destroy(net->loop);
	free(net->lws_tick);
	free(net);
}

/*
 * Runs until net_stop, which may have been called before. The handler of an
 * alarm may have set a timer of libwebsockets, which checks its timers only
 * after a socket event; lws_cancel_service causes one.
 */
void net_run(struct net *net)
{
	net->timers_fired = true;
	while (!net->stopping) {
		if (net->timers_fired)
			lws_cancel_service(net->context);
		net->timers_fired = false;
		ev_run(net->loop, EVRUN_ONCE);
		run_deferred_frees(net);
		log_flush(net_now());
	}
	net->stopping = false;
}

/* Makes net_run return; safe in any thread and in signal handlers. */
void net_stop(struct net *net)
{
	net->stopping = true;
	lws_cancel_service(net->context);
}

/* Adds a hook; the newest is called first. Returns -1 if out of memory. */
int net_on_close(struct net *net, void (*release)(void *ctx), void *ctx)
{
	struct net_close_hook *hook = calloc(1, sizeof(*hook));

	if (!hook)
		return -1;
	hook->release = release;
	hook->ctx = ctx;
	hook->next = net->close_hooks;
	net->close_hooks = hook;
	return 0;
}

static bool is_v4(const struct addr *a)
{
	char text[ADDR_TEXT_SIZE];

	addr_format_ip(a, text);
	return !strchr(text, ':');
}

static void set_listen(struct lws_context_creation_info *info,
		       struct net_vhost *vhost, const struct addr *listen)
{
	if (!listen) {
		info->port = CONTEXT_PORT_NO_LISTEN;
		info->options |= LWS_SERVER_OPTION_DISABLE_IPV6;
		return;
	}
	addr_format_ip(listen, vhost->iface);
	info->iface = vhost->iface;
	info->port = listen->port;
	info->options |= LWS_SERVER_OPTION_FAIL_UPON_UNABLE_TO_BIND;
	if (is_v4(listen))
		info->options |= LWS_SERVER_OPTION_DISABLE_IPV6;
}

/* Adds a virtual host, freed by net_close. Returns NULL with err set. */
struct lws_vhost *net_add_vhost(struct net *net,
				const struct net_vhost_options *o,
				struct error *err)
{
	struct lws_context_creation_info info;
	struct net_vhost *vhost = calloc(1, sizeof(*vhost));
	struct lws_vhost *result;

	if (!vhost) {
		error_set(err, ERROR_MEMORY, "vhost", NULL, "out of memory");
		return NULL;
	}
	vhost->next = net->vhosts;
	net->vhosts = vhost;
	memset(&info, 0, sizeof(info));
	set_listen(&info, vhost, o->listen);
	info.vhost_name = o->name;
	info.protocols = o->protocols;
	info.user = o->user;
	info.keepalive_timeout = o->keepalive_secs;
	info.timeout_secs = LWS_TIMEOUT_SECS;
	info.timeout_secs_ah_idle = HEADER_TIMEOUT_SECS;
	if (o->accept_role) {
		info.options |=
			LWS_SERVER_OPTION_ADOPT_APPLY_LISTEN_ACCEPT_CONFIG;
		info.listen_accept_role = o->accept_role;
		info.listen_accept_protocol = o->accept_protocol;
	}
	result = lws_create_vhost(net->context, &info);
	if (!result)
		error_set(err, ERROR_IO, "vhost", vhost->iface,
			  "cannot open %s on port %d", o->name, info.port);
	return result;
}

/* Sets *a to the IP address of listen with the port that was bound. */
void net_vhost_addr(const struct addr *listen, struct lws_vhost *vhost,
		    struct addr *a)
{
	*a = *listen;
	a->port = (uint16_t)lws_get_vhost_listen_port(vhost);
}
