#include "net/link_impl.h"

#include <stdlib.h>

#define BACKOFF_MIN_US (20 * USEC_PER_MSEC)
#define BACKOFF_MAX_US USEC_PER_SEC
#define BACKOFF_EXPIRY_US (30 * USEC_PER_SEC)
/*
 * A link with a call or control message outstanding is pinged after this
 * long without received bytes; new calls then go to other nodes until the
 * peer responds. Longer than one TCP retransmission timeout (200 ms).
 */
#define PING_SILENCE_US (250 * USEC_PER_MSEC)
/*
 * A link ends if its ping is not answered within this time. It covers two
 * more TCP retransmissions with doubled timeouts, yet is short enough that
 * calls of about half a second can still be moved to another node.
 */
#define PING_TIMEOUT_US (600 * USEC_PER_MSEC)
#define IDLE_US (60 * USEC_PER_SEC)
/* The acceptor closes a link idle this long, as its opener has not done so. */
#define ABANDONED_IDLE_US (90 * USEC_PER_SEC)
#define CLOSE_WAIT_US (5 * USEC_PER_SEC)
/* A longer gap between ticks means that this process was paused. */
#define PROCESS_PAUSE_US USEC_PER_SEC

/* Adds an unconnected link. Returns NULL if out of memory. */
struct link *link_new(struct links *links, bool opener)
{
	struct link *l = calloc(1, sizeof(*l));

	if (!l)
		return NULL;
	l->links = links;
	l->opener = opener;
	l->next_id = opener ? 1 : 2;
	DL_APPEND(links->all, l);
	return l;
}

/* Frees a link that has no streams left. */
void link_free(struct link *l)
{
	link_unlist(l);
	lws_sul_cancel(&l->sul);
	link_drop_queue(l);
	buffer_free(&l->in);
	buffer_free(&l->handshake_out);
	sodium_memzero(&l->push, sizeof(l->push));
	sodium_memzero(&l->pull, sizeof(l->pull));
	DL_DELETE(l->links->all, l);
	free(l);
}

/* NOLINTNEXTLINE(readability-function-size): the macro of uthash is long */
static void list(struct link *l)
{
	HASH_ADD(hh, l->links->by_peer, peer, sizeof(l->peer), l);
	l->listed = true;
}

/* Removes the link from by_peer: new calls to the peer use another link. */
void link_unlist(struct link *l)
{
	if (!l->listed)
		return;
	HASH_DELETE(hh, l->links->by_peer, l);
	l->listed = false;
}

/* NOLINTNEXTLINE(readability-function-size): the macro of uthash is long */
static struct link *find_listed(const struct links *links,
				const struct addr *peer)
{
	struct link *l;

	HASH_FIND(hh, links->by_peer, peer, sizeof(*peer), l);
	return l;
}

bool links_is_suspect(const struct links *l, const struct addr *peer)
{
	const struct link *link = find_listed(l, peer);

	return link && (link->state == LINK_BACKOFF || link->ping_sent_us);
}

static int retry_connect(struct link *l, struct error *err, int64_t now)
{
	char peer[ADDR_TEXT_SIZE];

	if (now >= l->retry_at_us) {
		link_connect(l);
		return 0;
	}
	addr_format(&l->peer, peer);
	return error_set(err, ERROR_IO, "link-connect", peer,
			 "not connected; next attempt in %lld ms",
			 (long long)((l->retry_at_us - now) / USEC_PER_MSEC));
}

/*
 * Returns the link to a peer, opening one if there is none. Returns NULL with
 * err set during the back-off after a failed attempt, or if out of memory.
 */
struct link *link_to(struct links *links, const struct addr *peer,
		     struct error *err, int64_t now)
{
	struct link *l = find_listed(links, peer);

	if (l && l->next_id > UINT32_MAX - 2) {
		link_unlist(l);
		l = NULL;
	}
	if (l && l->state == LINK_BACKOFF && retry_connect(l, err, now) < 0)
		return NULL;
	if (l)
		return l;
	l = link_new(links, true);
	if (!l) {
		error_set(err, ERROR_MEMORY, "link-connect", NULL,
			  "out of memory");
		return NULL;
	}
	l->peer = *peer;
	list(l);
	link_connect(l);
	return l;
}

static void log_link(int priority, const char *event, const struct link *l,
		     const struct error *why)
{
	struct log_line line;
	char peer[ADDR_TEXT_SIZE];

	if (!log_enabled(priority))
		return;
	addr_format(&l->peer, peer);
	log_start(&line, priority, event);
	log_str(&line, "peer", peer);
	log_str(&line, "opener", l->opener ? "self" : "peer");
	if (why) {
		log_str(&line, "step", why->step);
		log_str(&line, "error", why->text);
		log_int(&line, "streams", HASH_COUNT(l->streams));
	}
	log_emit(&line);
}

/* Makes the newest authenticated link to a peer take its new calls. */
static void list_authenticated(struct link *l)
{
	struct link *other = find_listed(l->links, &l->peer);

	if (other == l)
		return;
	if (other && other->state == LINK_BACKOFF)
		link_free(other);
	else if (other && other->state == LINK_UP)
		link_unlist(other);
	else if (other)
		return;
	list(l);
}

/* Marks the link as up: the peer has proved that it knows the secret. */
void link_authenticated(struct link *l)
{
	lws_sul_cancel(&l->sul);
	l->state = LINK_UP;
	l->failures = 0;
	l->received_us = net_now();
	l->used_us = l->received_us;
	l->links->up++;
	if (l->opener)
		counter_add(COUNTER_LINKS_OPENED, 1);
	else
		l->links->authenticating--;
	list_authenticated(l);
	log_link(LOG_INFO, "link-up", l, NULL);
	link_request_write(l);
}

/* Exponential back-off with jitter: half to all of a doubling interval. */
static int64_t backoff_us(uint32_t failures)
{
	int64_t most = BACKOFF_MAX_US;

	if (failures < 6)
		most = BACKOFF_MIN_US << failures;
	return most / 2 + randombytes_uniform((uint32_t)(most / 2));
}

static void start_backoff(struct link *l, int64_t now)
{
	l->failures++;
	l->retry_at_us = now + backoff_us(l->failures);
}

/*
 * Closes the connection and reports every stream as failed. A link opened by
 * this node that never came up stays listed, so that the next attempt waits
 * for its back-off; any other link is freed.
 */
void link_end(struct link *l, const struct error *why, int64_t now)
{
	bool keep = l->opener && l->listed && l->state != LINK_UP;
	struct error err = *why;

	log_link(l->state == LINK_UP && !l->closing ? LOG_NOTICE : LOG_INFO,
		 "link-lost", l, why);
	addr_format(&l->peer, err.peer);
	if (l->state == LINK_UP)
		l->links->up--;
	else if (!l->opener)
		l->links->authenticating--;
	lws_sul_cancel(&l->sul);
	link_disconnect(l);
	l->state = LINK_BACKOFF;
	l->in.len = 0;
	l->handshake_out.len = 0;
	link_drop_queue(l);
	if (keep)
		start_backoff(l, now);
	else
		link_unlist(l);
	while (l->streams)
		stream_fail(l->streams, &err, now);
	if (!keep)
		link_free(l);
}

static void end_timed_out(struct link *l, const char *what, int64_t now)
{
	struct error err;

	error_set(&err, ERROR_TIMEOUT, "link-watch", NULL, "%s", what);
	link_end(l, &err, now);
}

static void send_ping(struct link *l, enum ping_kind kind)
{
	struct frame f = {.kind = FRAME_PING, .ping = kind};

	link_queue_frame(l, &f);
}

/*
 * Pings a peer from which nothing is received while it owes a response, and
 * ends the link if the ping is not answered in time.
 */
static void check_busy(struct link *l, int64_t now)
{
	if (l->received_us > l->ping_sent_us)
		l->ping_sent_us = 0;
	if (l->ping_sent_us && now - l->ping_sent_us >= PING_TIMEOUT_US) {
		end_timed_out(l, "no answer to a ping within 600 ms", now);
		return;
	}
	if (l->ping_sent_us || now - l->received_us < PING_SILENCE_US)
		return;
	l->ping_sent_us = now;
	send_ping(l, PING_REQUEST);
}

/*
 * Closes idle links. The opener first announces the close, so that no call of
 * the other side is cut off; the other side then closes the link once it has
 * no streams left. The opener closes it itself after CLOSE_WAIT_US.
 * The acceptor closes a link whose opener did not announce the close within
 * ABANDONED_IDLE_US.
 */
static void check_idle(struct link *l, int64_t now)
{
	int64_t idle_us = now - l->used_us;

	l->ping_sent_us = 0;
	if (l->closing && (!l->opener || idle_us >= CLOSE_WAIT_US)) {
		if (!l->control)
			end_timed_out(l, "closed after being idle", now);
	} else if (!l->closing && l->opener && idle_us >= IDLE_US) {
		send_ping(l, PING_CLOSE);
		link_unlist(l);
		l->closing = true;
		l->used_us = now;
	} else if (!l->opener && idle_us >= ABANDONED_IDLE_US) {
		end_timed_out(l, "idle for 90 s and not closed by its opener",
			      now);
	}
}

/*
 * Checks all links for timeouts. After a pause of this process the receive
 * times are reset, since peers may have sent in the meantime.
 */
void links_tick(void *ctx, int64_t now)
{
	struct links *links = ctx;
	bool paused = now - links->ticked_us > PROCESS_PAUSE_US;
	struct link *l, *next;

	links->ticked_us = now;
	if (links->closed)
		return;
	for (l = links->all; l; l = next) {
		next = l->next;
		if (paused) {
			l->received_us = now;
			l->ping_sent_us = 0;
		}
		if (l->state == LINK_BACKOFF &&
		    now - l->retry_at_us > BACKOFF_EXPIRY_US)
			link_free(l);
		else if (l->state == LINK_UP &&
			 (l->streams || l->control_sent_us > l->received_us))
			check_busy(l, now);
		else if (l->state == LINK_UP)
			check_idle(l, now);
	}
}
