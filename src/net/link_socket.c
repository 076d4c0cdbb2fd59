#include "net/link_impl.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#define CONNECT_TIMEOUT_US USEC_PER_SEC /* includes the handshake */
#define AUTHENTICATING_MAX 1024		/* accepted, in handshake */
#define REFUSAL_LOG_INTERVAL_US USEC_PER_SEC

static void end_link(struct link *l, enum error_code code, const char *what)
{
	struct error err;

	error_set(&err, code, "link-connect", NULL, "%s", what);
	link_end(l, &err, net_now());
}

static void connect_timeout(struct lws_sorted_usec_list *sul)
{
	end_link((struct link *)sul, ERROR_TIMEOUT,
		 "handshake not completed within 1 s");
}

static void start_handshake_timeout(struct link *l)
{
	lws_sul_schedule(l->links->net->context, 0, &l->sul, connect_timeout,
			 CONNECT_TIMEOUT_US);
}

static void connect_now(struct lws_sorted_usec_list *sul)
{
	struct link *l = (struct link *)sul;
	struct lws_client_connect_info info = {0};
	char host[ADDR_TEXT_SIZE];

	addr_format_ip(&l->peer, host);
	info.context = l->links->net->context;
	info.vhost = l->links->vhost;
	info.address = host;
	info.host = host;
	info.port = l->peer.port;
	info.method = "RAW";
	info.local_protocol_name = link_protocols[0].name;
	info.opaque_user_data = l;
	info.pwsi = &l->wsi;
	start_handshake_timeout(l);
	/* A callback may already have reported the failure and cleared wsi. */
	if (!lws_client_connect_via_info(&info) && l->state == LINK_CONNECTING)
		end_link(l, ERROR_IO, "cannot connect");
}

/* Schedules the connect, so that no callback runs inside the caller. */
void link_connect(struct link *l)
{
	l->state = LINK_CONNECTING;
	lws_sul_schedule(l->links->net->context, 0, &l->sul, connect_now, 1);
}

/* Detaches the link from its connection, which the loop then closes. */
void link_disconnect(struct link *l)
{
	if (!l->wsi)
		return;
	lws_set_opaque_user_data(l->wsi, NULL);
	lws_set_timeout(l->wsi, PENDING_TIMEOUT_USER_REASON_BASE,
			LWS_TO_KILL_ASYNC);
	l->wsi = NULL;
}

/* Counts a refusal and logs it, at most once a second. */
void links_report_refusal(struct links *links, const char *peer,
			  const struct error *why)
{
	int64_t now = net_now();
	struct error err = *why;

	if (why->code == ERROR_AUTH)
		counter_add(COUNTER_AUTH_FAILURES, 1);
	if (links->refusal_logged_us &&
	    now - links->refusal_logged_us < REFUSAL_LOG_INTERVAL_US)
		return;
	links->refusal_logged_us = now;
	snprintf(err.peer, sizeof(err.peer), "%s", peer);
	log_error(LOG_WARNING, "link-refused", &err);
}

static void no_delay(struct lws *wsi)
{
	int on = 1;

	setsockopt(lws_get_socket_fd(wsi), IPPROTO_TCP, TCP_NODELAY, &on,
		   sizeof(on));
}

static int accepted(struct lws *wsi)
{
	struct links *links = lws_vhost_user(lws_get_vhost(wsi));
	struct link *l;

	if (links->closed || !links->has_secret ||
	    links->authenticating >= AUTHENTICATING_MAX)
		return -1;
	l = link_new(links, false);
	if (!l)
		return -1;
	l->state = LINK_AUTHENTICATING;
	l->wsi = wsi;
	links->authenticating++;
	lws_set_opaque_user_data(wsi, l);
	no_delay(wsi);
	start_handshake_timeout(l);
	return 0;
}

static int connected(struct link *l)
{
	l->state = LINK_AUTHENTICATING;
	no_delay(l->wsi);
	handshake_start(l);
	return 0;
}

static int received(struct link *l, const void *data, size_t len)
{
	struct error err;
	char peer[ADDR_TEXT_SIZE];

	if (link_receive(l, data, len, &err) == 0)
		return 0;
	lws_get_peer_simple(l->wsi, peer, sizeof(peer));
	links_report_refusal(l->links, peer, &err);
	link_end(l, &err, net_now());
	return -1;
}

static int writable(struct link *l)
{
	if (link_write(l) == 0)
		return 0;
	end_link(l, ERROR_IO, "cannot write");
	return -1;
}

/* Ends a link whose connection closed, unless the loop is shutting down. */
static void connection_lost(struct link *l, const char *what)
{
	if (l->links->net->closing)
		l->wsi = NULL;
	else
		end_link(l, ERROR_IO, what);
}

static void cancel_timers(struct links *links)
{
	struct link *l;

	for (l = links->all; l; l = l->next)
		lws_sul_cancel(&l->sul);
}

static int on_link(struct lws *wsi, enum lws_callback_reasons reason,
		   void *user, void *in, size_t len)
{
	struct link *l = wsi ? lws_get_opaque_user_data(wsi) : NULL;

	(void)user;
	switch (reason) {
	case LWS_CALLBACK_RAW_ADOPT:
		return l ? 0 : accepted(wsi);
	case LWS_CALLBACK_RAW_CONNECTED:
		return l ? connected(l) : -1;
	case LWS_CALLBACK_RAW_RX:
		return l ? received(l, in, len) : -1;
	case LWS_CALLBACK_RAW_WRITEABLE:
		return l ? writable(l) : -1;
	case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
	case LWS_CALLBACK_RAW_CLOSE:
		if (l)
			connection_lost(l, reason == LWS_CALLBACK_RAW_CLOSE
						   ? "the peer closed"
						   : "cannot connect");
		return 0;
	case LWS_CALLBACK_PROTOCOL_DESTROY:
		cancel_timers(lws_vhost_user(lws_get_vhost(wsi)));
		return 0;
	default:
		return 0;
	}
}

static int on_datagram(struct lws *wsi, enum lws_callback_reasons reason,
		       void *user, void *in, size_t len)
{
	(void)user;
	(void)in;
	(void)len;
	if (reason == LWS_CALLBACK_RAW_RX_FILE)
		datagram_receive(lws_vhost_user(lws_get_vhost(wsi)));
	return 0;
}

const struct lws_protocols link_protocols[] = {
	{.name = "link", .callback = on_link},
	{.name = "link-datagram", .callback = on_datagram},
	{0},
};
