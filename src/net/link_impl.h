/*
 * Links between nodes. A link is one TCP connection that carries sealed
 * frames; a stream on it is one call and its answer. The side that opened the
 * link numbers its streams odd, the other side even.
 */
#ifndef NET_LINK_IMPL_H
#define NET_LINK_IMPL_H

#include <libwebsockets.h>
#include <sodium.h>
#include <uthash.h>
#include <utlist.h>

#include "net/net_impl.h"

#define LINK_NONCE_SIZE 32
#define LINK_LENGTH_SIZE 4
/* Initial credit: body bytes sent before the receiver grants more. */
#define LINK_CREDIT (64 * 1024)
#define LINK_QUEUED_MAX (64 * 1024 * 1024) /* bytes queued on one link */
/* Calls are refused once incomplete incoming bodies hold this many bytes. */
#define LINK_INCOMING_BYTES_MAX (64 * 1024 * 1024)
#define LINK_STREAMS_MAX 20000 /* opened by the peer */

enum link_state {
	LINK_BACKOFF, /* last attempt failed; not connected */
	LINK_CONNECTING,
	LINK_AUTHENTICATING, /* connected; handshake not completed */
	LINK_UP,
};

struct link;

struct stream {
	UT_hash_handle hh;   /* in link.streams, by id */
	struct stream *prev; /* in *queue */
	struct stream *next;
	struct stream **queue; /* link.heads, link.bodies or NULL */
	struct link *link;
	uint64_t handle;
	uint32_t id;
	bool outgoing; /* opened by this node */
	bool head_sent;
	bool answered; /* incoming: the answer was queued */

	struct buffer head; /* encoded; empty once sent */
	struct buffer body; /* body to send */
	size_t body_sent;
	uint32_t credit;

	bool head_received;
	struct call_head call_head;	/* incoming */
	struct answer_head answer_head; /* outgoing */
	struct message message;		/* as received so far */
	size_t expected;		/* body bytes announced by its head */
	uint32_t unacknowledged;	/* received without credit given yet */

	void *ctx; /* outgoing */
	uint64_t tag;
	void (*done)(void *ctx, uint64_t tag, struct link_result *r,
		     int64_t now);
};

struct queued_frame {
	struct queued_frame *prev;
	struct queued_frame *next;
	struct buffer bytes;
};

struct link {
	struct lws_sorted_usec_list sul; /* first member: callbacks cast it */
	UT_hash_handle hh;		 /* in links.by_peer, if listed */
	struct link *prev;
	struct link *next;
	struct links *links;
	struct addr peer; /* its listening address, once dialled or proved */
	enum link_state state;
	bool opener;
	bool listed;  /* in links.by_peer: takes new calls */
	bool closing; /* the opener announced the close */
	struct lws *wsi;
	uint32_t failures;
	int64_t retry_at_us;
	int64_t received_us;
	int64_t used_us;	 /* last activity other than pings */
	int64_t control_sent_us; /* last control message sent */
	int64_t ping_sent_us;	 /* unanswered ping; 0 if none */

	uint8_t nonce[LINK_NONCE_SIZE];
	uint8_t peer_nonce[LINK_NONCE_SIZE];
	crypto_secretstream_xchacha20poly1305_state push;
	crypto_secretstream_xchacha20poly1305_state pull;
	bool hello_answered; /* acceptor: sent its reply */
	struct buffer in;
	struct buffer handshake_out; /* unsealed handshake bytes to send */

	struct queued_frame *control;
	struct stream *heads;
	struct stream *bodies;
	size_t queued; /* bytes in control, heads and bodies */

	struct stream *streams;
	uint32_t next_id;
	uint32_t last_peer_id;
	uint32_t calls;	       /* outgoing streams */
	size_t incoming_bytes; /* bodies of incomplete incoming calls */
};

struct links {
	struct net *net;
	struct links_options options;
	struct lws_vhost *vhost;
	struct addr addr;
	char name[32];
	struct link *all;
	struct link *by_peer;
	struct table handles; /* of struct stream pointers */
	struct buffer scratch;
	struct buffer batch;
	int datagram_fd;
	uint32_t up;		 /* links in state LINK_UP */
	uint32_t authenticating; /* accepted; handshake not completed */
	int64_t ticked_us;
	int64_t refusal_logged_us;
	bool closed;
	bool has_secret; /* options.secret is set */
};

/* link_handshake.c */
void handshake_start(struct link *l);
int handshake_receive(struct link *l, struct error *err);

/* link_seal.c */
int link_seal(struct link *l, const struct buffer *frame, struct buffer *out);
int link_open_next(struct link *l, struct buffer *frame, struct error *err);

/* link_stream.c */
struct stream *stream_new(struct link *l, uint32_t id, bool outgoing);
void stream_free(struct stream *s);
struct stream *stream_find(const struct links *l, uint64_t handle);
void stream_fail(struct stream *s, const struct error *why, int64_t now);
int stream_queue(struct stream *s, const struct frame *head,
		 const struct buffer *body);

/* link_send.c */
void link_request_write(struct link *l);
void stream_enqueue(struct stream *s, struct stream **queue);
void stream_dequeue(struct stream *s);
int link_queue_frame(struct link *l, const struct frame *f);
void link_drop_queue(struct link *l);
int link_write(struct link *l);

/* link_receive.c */
int link_receive(struct link *l, const void *data, size_t len,
		 struct error *err);

/* link.c */
struct link *link_new(struct links *links, bool opener);
struct link *link_to(struct links *links, const struct addr *peer,
		     struct error *err, int64_t now);
void link_unlist(struct link *l);
void link_authenticated(struct link *l);
void link_end(struct link *l, const struct error *why, int64_t now);
void link_free(struct link *l);
void links_tick(void *ctx, int64_t now);

/* link_socket.c */
extern const struct lws_protocols link_protocols[];
void link_connect(struct link *l);
void link_disconnect(struct link *l);
void links_report_refusal(struct links *links, const char *peer,
			  const struct error *why);

/* datagram.c */
int datagram_socket(const struct addr *listen, uint16_t *port,
		    struct error *err);
void datagram_receive(struct links *l);

#endif
