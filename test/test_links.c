#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/link_impl.h"

#define TICKS_MAX 20000 /* ticks of 1 ms before a test fails */
#define BODY_LIMIT (4 * 1024 * 1024)
#define HELD_MAX 64
#define ALLOWANCE 2 /* lent with each call */
#define REFUSE "/refuse"
#define HELLO_SIZE 40 /* sizes of the handshake messages */
#define REPLY_SIZE 114
#define PROOF_SIZE 74

static const uint8_t secret[SECRET_SIZE] = {7};
static const uint8_t other_secret[SECRET_SIZE] = {8};

/*
 * One end of a link. It holds incoming calls, or answers each with as many
 * bytes as its target requests.
 */
struct test_node {
	struct links *links;
	struct addr addr;
	bool hold;
	uint64_t held[HELD_MAX];
	char held_target[HELD_MAX][16];
	size_t calls;
	size_t call_bytes;
	size_t cancelled;
	size_t peer_msgs;
	struct addr peer_from;
};

struct report {
	uint64_t tag;
	enum link_status status;
	enum reason reason;
	enum outcome outcome;
	uint8_t allowance_left;
	size_t body_len;
	char echo[16];
};

struct fixture {
	struct net *net;
	struct test_node a;
	struct test_node b;
	struct report reports[HELD_MAX];
	size_t reported;
	size_t wanted;
	size_t *seen;
	int ticks;
};

static struct fixture fixture;

static int answer(struct test_node *node, uint64_t stream, const char *target)
{
	struct answer_head head = {.outcome = OUTCOME_DONE};
	struct message m = {.status = 200};
	size_t len = (size_t)strtoul(target + 1, NULL, 10);
	int rc;

	if (!strcmp(target, REFUSE)) {
		head.outcome = OUTCOME_NOT_RUN;
		head.reason = REASON_QUEUE_FULL;
		return links_answer(node->links, stream, &head, NULL);
	}
	message_add_header(&m, "echo", target);
	m.body.data = calloc(1, len + 1);
	m.body.len = len;
	rc = links_answer(node->links, stream, &head, &m);
	message_free(&m);
	return rc;
}

static void on_call(void *ctx, uint64_t stream, const struct addr *peer,
		    const struct call_head *head, struct message *msg,
		    int64_t now)
{
	struct test_node *node = ctx;

	(void)peer;
	(void)now;
	assert_string_equal(head->service, "history");
	node->call_bytes += msg->body.len;
	node->held[node->calls] = stream;
	snprintf(node->held_target[node->calls++], 16, "%s", msg->target);
	if (!node->hold)
		assert_int_equal(answer(node, stream, msg->target), 0);
}

static void on_cancelled(void *ctx, uint64_t stream, int64_t now)
{
	struct test_node *node = ctx;

	(void)stream;
	(void)now;
	node->cancelled++;
}

static void on_peer(void *ctx, const struct peer_msg *msg, int64_t now)
{
	struct test_node *node = ctx;

	(void)now;
	node->peer_from = msg->from;
	node->peer_msgs++;
}

static void on_done(void *ctx, uint64_t tag, struct link_result *r, int64_t now)
{
	struct report *p = &fixture.reports[fixture.reported++];

	(void)ctx;
	(void)now;
	p->tag = tag;
	p->status = r->status;
	if (r->status != LINK_ANSWERED) {
		assert_true(r->err.code != ERROR_NONE);
		return;
	}
	p->reason = r->head->reason;
	p->outcome = r->head->outcome;
	p->allowance_left = r->head->allowance_left;
	p->body_len = r->answer->body.len;
	if (message_header(r->answer, "echo"))
		snprintf(p->echo, sizeof(p->echo), "%s",
			 message_header(r->answer, "echo"));
}

static void stop_when_done(void *ctx, int64_t now)
{
	(void)ctx;
	(void)now;
	if (++fixture.ticks > TICKS_MAX ||
	    (fixture.seen && *fixture.seen >= fixture.wanted))
		net_stop(fixture.net);
}

/* Runs the loop until *seen reaches n. */
static void run_until(size_t *seen, size_t n)
{
	fixture.seen = seen;
	fixture.wanted = n;
	fixture.ticks = 0;
	net_run(fixture.net);
	fixture.seen = NULL;
	assert_true(*seen >= n);
}

static void open_node(struct test_node *node, const uint8_t key[SECRET_SIZE])
{
	struct links_options o = {
		.body_limit = BODY_LIMIT,
		.incarnation = 1,
		.ctx = node,
		.on_call = on_call,
		.on_cancelled = on_cancelled,
		.on_peer_msg = on_peer,
	};

	memcpy(o.secret, key, SECRET_SIZE);
	addr_parse(&o.listen, "127.0.0.1:0");
	node->links = links_open(fixture.net, &o, NULL);
	assert_non_null(node->links);
	links_addr(node->links, &node->addr);
}

static int set_up(void **state)
{
	(void)state;
	memset(&fixture, 0, sizeof(fixture));
	log_set_level(LOG_CRIT);
	fixture.net = net_open(NULL);
	assert_non_null(fixture.net);
	net_every(fixture.net, USEC_PER_MSEC, stop_when_done, NULL);
	open_node(&fixture.a, secret);
	open_node(&fixture.b, secret);
	return 0;
}

static int tear_down(void **state)
{
	(void)state;
	net_close(fixture.net);
	return 0;
}

/* Sends a call; the answer's body is as long as the number in target. */
static uint64_t call(const struct addr *to, uint64_t tag, const char *target,
		     size_t body_len, struct error *err)
{
	struct call_head head = {.service = "history", .allowance = ALLOWANCE};
	struct message m = {.method = "POST"};
	struct link_call c = {.to = *to, .head = &head, .message = &m};
	uint64_t handle;

	c.tag = tag;
	c.done = on_done;
	m.target = strdup(target);
	m.body.data = calloc(1, body_len + 1);
	m.body.len = body_len;
	handle = links_call(fixture.a.links, &c, net_now(), err);
	message_free(&m);
	return handle;
}

static struct link *link_of(const struct test_node *node)
{
	assert_non_null(node->links->all);
	return node->links->all;
}

static void open_link(void)
{
	call(&fixture.b.addr, 99, "/0", 0, NULL);
	run_until(&fixture.reported, 1);
	fixture.reported = 0;
	fixture.b.calls = 0;
	assert_int_equal(links_count(fixture.a.links), 1);
	assert_int_equal(links_count(fixture.b.links), 1);
}

static void bodies_are_delivered_in_both_directions(void **state)
{
	static const struct {
		size_t call_len;
		const char *target;
		size_t answer_len;
	} cases[] = {
		{0, "/0", 0},
		{1, "/1", 1},
		{FRAME_PAYLOAD_MAX, "/16384", FRAME_PAYLOAD_MAX},
		{LINK_CREDIT + 1, "/65537", LINK_CREDIT + 1},
		{BODY_LIMIT, "/4194304", BODY_LIMIT},
	};
	size_t i, bytes = 0;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		call(&fixture.b.addr, i, cases[i].target, cases[i].call_len,
		     NULL);
		run_until(&fixture.reported, i + 1);
		bytes += cases[i].call_len;
		assert_int_equal(fixture.reports[i].status, LINK_ANSWERED);
		assert_int_equal(fixture.reports[i].body_len,
				 cases[i].answer_len);
		assert_int_equal(fixture.b.call_bytes, bytes);
	}
	assert_int_equal(links_count(fixture.a.links), 1);
	assert_int_equal(link_of(&fixture.a)->queued, 0);
	assert_int_equal(link_of(&fixture.b)->queued, 0);
	assert_int_equal(fixture.b.links->handles.count, 0);
}

static void refusals_carry_no_message(void **state)
{
	(void)state;
	call(&fixture.b.addr, 1, REFUSE, 10, NULL);
	run_until(&fixture.reported, 1);
	assert_int_equal(fixture.reports[0].status, LINK_ANSWERED);
	assert_int_equal(fixture.reports[0].reason, REASON_QUEUE_FULL);
	assert_int_equal(fixture.reports[0].outcome, OUTCOME_NOT_RUN);
	assert_int_equal(fixture.reports[0].body_len, 0);
}

static void answers_match_their_calls_in_any_order(void **state)
{
	char target[16];
	uint64_t i;

	(void)state;
	fixture.b.hold = true;
	for (i = 0; i < 20; i++) {
		snprintf(target, sizeof(target), "/%d", (int)i + 1);
		assert_true(call(&fixture.b.addr, i + 1, target, 10, NULL));
	}
	run_until(&fixture.b.calls, 20);
	for (i = 20; i-- > 0;)
		answer(&fixture.b, fixture.b.held[i], fixture.b.held_target[i]);
	run_until(&fixture.reported, 20);
	for (i = 0; i < 20; i++) {
		snprintf(target, sizeof(target), "/%d",
			 (int)fixture.reports[i].tag);
		assert_string_equal(fixture.reports[i].echo, target);
		assert_int_equal(fixture.reports[i].body_len,
				 fixture.reports[i].tag);
	}
	assert_int_equal(fixture.reports[0].tag, 20);
}

static void large_answers_do_not_delay_small_ones(void **state)
{
	(void)state;
	fixture.b.hold = true;
	call(&fixture.b.addr, 1, "/4000000", 0, NULL);
	call(&fixture.b.addr, 2, "/10", 0, NULL);
	run_until(&fixture.b.calls, 2);
	answer(&fixture.b, fixture.b.held[0], fixture.b.held_target[0]);
	answer(&fixture.b, fixture.b.held[1], fixture.b.held_target[1]);
	run_until(&fixture.reported, 2);
	assert_int_equal(fixture.reports[0].tag, 2);
}

static void nodes_can_call_themselves_and_each_other(void **state)
{
	struct test_node a = fixture.a;
	size_t i;

	(void)state;
	call(&fixture.a.addr, 1, "/1", 0, NULL);
	call(&fixture.b.addr, 2, "/2", 0, NULL);
	fixture.a.links = fixture.b.links; /* the next call goes from b to a */
	call(&a.addr, 3, "/3", 0, NULL);
	fixture.a.links = a.links;
	run_until(&fixture.reported, 3);
	call(&fixture.a.addr, 4, "/4", 0, NULL);
	run_until(&fixture.reported, 4);
	assert_int_equal(fixture.a.calls, 3);
	assert_int_equal(fixture.b.calls, 1);
	for (i = 0; i < 4; i++)
		assert_int_equal(fixture.reports[i].body_len,
				 fixture.reports[i].tag);
}

static void cancelled_calls_are_reported_and_never_answered(void **state)
{
	uint64_t first;

	(void)state;
	fixture.b.hold = true;
	first = call(&fixture.b.addr, 1, "/1", 0, NULL);
	call(&fixture.b.addr, 2, "/2", 0, NULL);
	run_until(&fixture.b.calls, 2);
	/* The first answer is sent before the cancellation arrives. */
	answer(&fixture.b, fixture.b.held[0], "/1");
	links_cancel(fixture.a.links, first);
	answer(&fixture.b, fixture.b.held[1], "/2");
	run_until(&fixture.reported, 1);
	assert_int_equal(fixture.reports[0].tag, 2);
	first = call(&fixture.b.addr, 3, "/3", 0, NULL);
	run_until(&fixture.b.calls, 3);
	links_cancel(fixture.a.links, first);
	run_until(&fixture.b.cancelled, 1);
	assert_int_equal(answer(&fixture.b, fixture.b.held[2], "/3"), -1);
	assert_int_equal(fixture.reported, 1);
}

static void links_with_a_wrong_secret_are_refused(void **state)
{
	uint64_t failures = counter_get(COUNTER_AUTH_FAILURES);
	struct test_node c = {0};

	(void)state;
	open_node(&c, other_secret);
	call(&c.addr, 1, "/1", 0, NULL);
	run_until(&fixture.reported, 1);
	assert_int_equal(fixture.reports[0].status, LINK_NOT_SENT);
	assert_int_equal(c.calls, 0);
	assert_true(counter_get(COUNTER_AUTH_FAILURES) > failures);
	assert_int_equal(links_count(c.links), 0);
}

static void unreachable_peers_are_backed_off(void **state)
{
	struct error err = {0};
	struct addr nobody;

	(void)state;
	addr_parse(&nobody, "127.0.0.1:1");
	assert_true(call(&nobody, 1, "/1", 0, &err));
	run_until(&fixture.reported, 1);
	assert_int_equal(fixture.reports[0].status, LINK_NOT_SENT);
	fixture.a.links->all->retry_at_us = INT64_MAX;
	assert_int_equal(call(&nobody, 2, "/1", 0, &err), 0);
	assert_string_equal(err.step, "link-connect");
	assert_string_equal(err.peer, "127.0.0.1:1");
	fixture.a.links->all->retry_at_us = 0;
	assert_true(call(&nobody, 3, "/1", 0, &err));
	run_until(&fixture.reported, 2);
}

static void lost_links_are_reported_on_both_sides(void **state)
{
	(void)state;
	fixture.b.hold = true;
	call(&fixture.b.addr, 1, "/1", 0, NULL);
	run_until(&fixture.b.calls, 1);
	call(&fixture.b.addr, 2, "/2", 0, NULL);
	links_close(fixture.b.links);
	assert_int_equal(fixture.b.cancelled, 1);
	run_until(&fixture.reported, 2);
	assert_int_equal(fixture.reports[0].status, LINK_LOST);
	assert_int_equal(links_count(fixture.a.links), 0);
	assert_int_equal(links_count(fixture.b.links), 0);
}

static void bodies_past_the_limit_are_refused(void **state)
{
	(void)state;
	call(&fixture.b.addr, 1, "/1", BODY_LIMIT + 1, NULL);
	run_until(&fixture.reported, 1);
	assert_int_equal(fixture.reports[0].status, LINK_ANSWERED);
	assert_int_equal(fixture.reports[0].reason, REASON_BODY_TOO_LARGE);
	assert_int_equal(fixture.reports[0].outcome, OUTCOME_NOT_RUN);
	assert_int_equal(fixture.reports[0].allowance_left, ALLOWANCE);
	assert_int_equal(fixture.b.calls, 0);
	call(&fixture.b.addr, 2, "/4194305", 0, NULL);
	run_until(&fixture.reported, 2);
	assert_int_equal(fixture.reports[1].status, LINK_LOST);
	call(&fixture.b.addr, 3, "/3", 0, NULL);
	run_until(&fixture.reported, 3);
	assert_int_equal(fixture.reports[2].status, LINK_ANSWERED);
}

static void calls_past_the_incoming_byte_limit_are_refused(void **state)
{
	(void)state;
	open_link();
	link_of(&fixture.b)->incoming_bytes = LINK_INCOMING_BYTES_MAX;
	call(&fixture.b.addr, 1, "/1", 1, NULL);
	run_until(&fixture.reported, 1);
	assert_int_equal(fixture.reports[0].outcome, OUTCOME_NOT_RUN);
	assert_int_equal(fixture.reports[0].reason, REASON_OVERLOADED);
	assert_int_equal(fixture.reports[0].allowance_left, ALLOWANCE);
	link_of(&fixture.b)->incoming_bytes = 0;
	call(&fixture.b.addr, 2, "/1", 100000, NULL);
	run_until(&fixture.reported, 2);
	assert_int_equal(fixture.reports[1].outcome, OUTCOME_DONE);
	assert_int_equal(link_of(&fixture.b)->incoming_bytes, 0);
}

/* An answer that can't be queued completely must not report OUTCOME_DONE. */
static void answers_past_the_queue_limit_are_not_reported_done(void **state)
{
	(void)state;
	fixture.b.hold = true;
	call(&fixture.b.addr, 1, "/100", 0, NULL);
	run_until(&fixture.b.calls, 1);
	link_of(&fixture.b)->queued = LINK_QUEUED_MAX - 1000;
	answer(&fixture.b, fixture.b.held[0], "/70000000");
	run_until(&fixture.reported, 1);
	assert_int_equal(fixture.reports[0].status, LINK_ANSWERED);
	assert_int_equal(fixture.reports[0].outcome, OUTCOME_UNKNOWN);
	assert_int_equal(fixture.reports[0].reason, REASON_OVERLOADED);
}

static void control_messages_carry_their_sender(void **state)
{
	struct peer_msg m = {.kind = PEER_NOTES_PULL};
	uint64_t sent = counter_get(COUNTER_CONTROL_MESSAGES);

	(void)state;
	assert_int_equal(
		links_send(fixture.a.links, &fixture.b.addr, &m, net_now()), 0);
	run_until(&fixture.b.peer_msgs, 1);
	assert_true(addr_equal(&fixture.b.peer_from, &fixture.a.addr));
	assert_int_equal(links_datagram(fixture.b.links, &fixture.a.addr, &m),
			 0);
	run_until(&fixture.a.peer_msgs, 1);
	assert_true(addr_equal(&fixture.a.peer_from, &fixture.b.addr));
	assert_int_equal(counter_get(COUNTER_CONTROL_MESSAGES), sent + 2);
	m.kind = PEER_QUERY;
	m.query.text.data = calloc(1, DATAGRAM_MAX);
	m.query.text.len = DATAGRAM_MAX;
	assert_int_equal(links_datagram(fixture.a.links, &fixture.b.addr, &m),
			 -1);
	assert_int_equal(
		links_send(fixture.a.links, &fixture.b.addr, &m, net_now()), 0);
	run_until(&fixture.b.peer_msgs, 2);
	peer_msg_free(&m);
}

static void forged_datagrams_are_counted_and_dropped(void **state)
{
	size_t failures = counter_get(COUNTER_AUTH_FAILURES);
	struct peer_msg m = {.kind = PEER_NOTES_PULL};
	struct test_node c = {0};
	size_t seen = 0;

	(void)state;
	open_node(&c, other_secret);
	links_datagram(c.links, &fixture.b.addr, &m);
	links_datagram(fixture.a.links, &fixture.b.addr, &m);
	run_until(&fixture.b.peer_msgs, 1);
	seen = counter_get(COUNTER_AUTH_FAILURES);
	assert_int_equal(seen, failures + 1);
	assert_true(addr_equal(&fixture.b.peer_from, &fixture.a.addr));
}

static int connect_to(const struct addr *to)
{
	struct sockaddr_in sa = {.sin_family = AF_INET,
				 .sin_port = htons(to->port)};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(connect(fd, (struct sockaddr *)&sa, sizeof(sa)), 0);
	return fd;
}

/* Runs the loop for one tick of stop_when_done. */
static void run_one_tick(void)
{
	static size_t nothing;

	run_until(&nothing, 0);
}

static bool closed_by_peer(int fd)
{
	char byte;
	ssize_t n;

	do
		n = recv(fd, &byte, 1, MSG_DONTWAIT);
	while (n > 0);
	return n == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

/* Runs the loop until the peer has closed fd, and closes it. */
static void run_until_closed(int fd)
{
	int ticks = 0;

	while (!closed_by_peer(fd)) {
		run_one_tick();
		assert_true(++ticks < TICKS_MAX);
	}
	close(fd);
}

static void unauthenticated_connections_are_closed(void **state)
{
	static const struct {
		const char *name;
		size_t len;
		uint8_t first;
		bool half_close;
		bool forged;
	} cases[] = {
		{"garbage", 4096, 0xff, false, true},
		{"http", 40, 'G', false, true},
		{"half a hello and no more", 20, 'm', true, false},
		{"nothing, half closed", 0, 0, true, false},
		{"nothing at all", 0, 0, false, false},
		{"a hello and a false proof", 114, 'm', false, true},
	};
	uint8_t bytes[4096] = "mflink\0\1";
	uint64_t failures;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		int fd = connect_to(&fixture.b.addr);

		failures = counter_get(COUNTER_AUTH_FAILURES);
		bytes[0] = cases[i].first;
		assert_int_equal(send(fd, bytes, cases[i].len, 0),
				 cases[i].len);
		if (cases[i].half_close)
			shutdown(fd, SHUT_WR);
		run_until_closed(fd);
		assert_int_equal(counter_get(COUNTER_AUTH_FAILURES),
				 failures + cases[i].forged);
		assert_int_equal(fixture.b.links->authenticating, 0);
		assert_null(fixture.b.links->all);
	}
}

static int listener(struct addr *a)
{
	struct sockaddr_in sa = {.sin_family = AF_INET};
	socklen_t len = sizeof(sa);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(bind(fd, (struct sockaddr *)&sa, len), 0);
	assert_int_equal(listen(fd, 4), 0);
	fcntl(fd, F_SETFL, O_NONBLOCK);
	getsockname(fd, (struct sockaddr *)&sa, &len);
	addr_parse(a, "127.0.0.1:0");
	a->port = ntohs(sa.sin_port);
	return fd;
}

static int accept_one(int lfd)
{
	int fd, ticks = 0;

	while ((fd = accept(lfd, NULL, NULL)) < 0) {
		run_one_tick();
		assert_true(++ticks < TICKS_MAX);
	}
	return fd;
}

/* Runs the loop until n bytes were received on fd. */
static void run_until_received(int fd, uint8_t *to, size_t n)
{
	size_t got = 0;
	int ticks = 0;

	while (got < n) {
		ssize_t r = recv(fd, to + got, n - got, MSG_DONTWAIT);

		if (r > 0) {
			got += (size_t)r;
			continue;
		}
		run_one_tick();
		assert_true(++ticks < TICKS_MAX);
	}
}

/*
 * One peer accepts connections but sends nothing; the other has a full accept
 * queue, so that the connect never completes.
 */
static void unresponsive_peers_are_reported_not_sent(void **state)
{
	struct addr full, mute;
	int lfd = listener(&mute), full_fd = listener(&full), fill[8];
	size_t i;

	(void)state;
	listen(full_fd, 0);
	for (i = 0; i < 8; i++) {
		struct sockaddr_in sa = {.sin_family = AF_INET,
					 .sin_port = htons(full.port)};

		sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		fill[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		(void)!connect(fill[i], (struct sockaddr *)&sa, sizeof(sa));
	}
	call(&mute, 1, "/1", 0, NULL);
	call(&full, 2, "/1", 0, NULL);
	run_until(&fixture.reported, 2);
	assert_int_equal(fixture.reports[0].status, LINK_NOT_SENT);
	assert_int_equal(fixture.reports[1].status, LINK_NOT_SENT);
	for (i = 0; i < 8; i++)
		close(fill[i]);
	close(lfd);
	close(full_fd);
}

/*
 * The node that opens a link receives its own hello as the reply, and on a
 * second connection the reply of another node.
 */
static void reflected_and_relayed_hellos_are_refused(void **state)
{
	uint64_t failures = counter_get(COUNTER_AUTH_FAILURES);
	uint8_t hello[HELLO_SIZE], reply[REPLY_SIZE] = {0};
	struct addr middle;
	int lfd = listener(&middle), fd, onward;

	(void)state;
	call(&middle, 1, "/1", 0, NULL);
	fd = accept_one(lfd);
	run_until_received(fd, hello, sizeof(hello));
	memcpy(reply, hello, sizeof(hello));
	assert_int_equal(send(fd, reply, REPLY_SIZE, 0), REPLY_SIZE);
	run_until_closed(fd);
	assert_int_equal(counter_get(COUNTER_AUTH_FAILURES), failures + 1);

	fixture.a.links->all->retry_at_us = 0;
	call(&middle, 2, "/1", 0, NULL);
	run_until(&fixture.reported, 1);
	fd = accept_one(lfd);
	run_until_received(fd, hello, sizeof(hello));
	onward = connect_to(&fixture.b.addr);
	assert_int_equal(send(onward, hello, HELLO_SIZE, 0), HELLO_SIZE);
	run_until_received(onward, reply, REPLY_SIZE);
	assert_int_equal(send(fd, reply, REPLY_SIZE, 0), REPLY_SIZE);
	run_until_closed(fd);
	assert_int_equal(counter_get(COUNTER_AUTH_FAILURES), failures + 2);
	close(onward);
	close(lfd);
	run_until(&fixture.reported, 2);
	assert_int_equal(fixture.reports[0].status, LINK_NOT_SENT);
	assert_int_equal(fixture.reports[1].status, LINK_NOT_SENT);
	assert_int_equal(fixture.b.calls, 0);
}

/* Forwards n bytes from one socket to another and keeps a copy. */
static void relay(int from, int to, uint8_t *bytes, size_t n)
{
	run_until_received(from, bytes, n);
	assert_int_equal(send(to, bytes, n, 0), n);
}

/*
 * A man in the middle forwards a handshake unchanged. Replaying the recorded
 * messages on another connection must fail, and a byte changed afterwards
 * must end the link before the call is read.
 */
static void replayed_and_changed_bytes_are_refused(void **state)
{
	uint64_t failures = counter_get(COUNTER_AUTH_FAILURES);
	uint8_t hello[HELLO_SIZE], proof[PROOF_SIZE], bytes[REPLY_SIZE];
	struct addr middle;
	int lfd = listener(&middle), fd, onward, again;

	(void)state;
	fixture.b.links->addr.port = middle.port;
	call(&middle, 1, "/1", 0, NULL);
	fd = accept_one(lfd);
	onward = connect_to(&fixture.b.addr);
	relay(fd, onward, hello, HELLO_SIZE);
	relay(onward, fd, bytes, REPLY_SIZE);
	relay(fd, onward, proof, PROOF_SIZE);
	while (!links_count(fixture.b.links))
		run_one_tick();
	assert_int_equal(counter_get(COUNTER_AUTH_FAILURES), failures);

	again = connect_to(&fixture.b.addr);
	assert_int_equal(send(again, hello, HELLO_SIZE, 0), HELLO_SIZE);
	run_until_received(again, bytes, REPLY_SIZE);
	assert_int_equal(send(again, proof, PROOF_SIZE, 0), PROOF_SIZE);
	run_until_closed(again);
	assert_int_equal(counter_get(COUNTER_AUTH_FAILURES), failures + 1);

	run_until_received(fd, bytes, 60);
	bytes[50] ^= 1;
	assert_int_equal(send(onward, bytes, 60, 0), 60);
	while (recv(fd, bytes, 1, MSG_DONTWAIT) == 1)
		assert_int_equal(send(onward, bytes, 1, 0), 1);
	run_until_closed(onward);
	assert_int_equal(counter_get(COUNTER_AUTH_FAILURES), failures + 2);
	assert_int_equal(fixture.b.calls, 0);
	close(fd);
	run_until(&fixture.reported, 1);
	assert_int_equal(fixture.reports[0].status, LINK_LOST);
	close(lfd);
}

/* Protocol errors of an authenticated peer end its link and nothing else. */
static void protocol_errors_end_the_link(void **state)
{
	static const struct frame cases[] = {
		{.kind = FRAME_CALL, .stream = 2},
		{.kind = FRAME_CALL, .stream = 0},
		{.kind = FRAME_CALL, .stream = 1},
		{.kind = FRAME_ANSWER, .stream = 1},
		{.kind = FRAME_CANCEL, .stream = 2},
	};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		open_link();
		fixture.b.hold = true;
		call(&fixture.b.addr, 1, "/1", 0, NULL);
		run_until(&fixture.b.calls, 1);
		assert_int_equal(
			link_queue_frame(link_of(&fixture.a), &cases[i]), 0);
		run_until(&fixture.reported, 1);
		assert_int_equal(fixture.reports[0].status, LINK_LOST);
		assert_int_equal(links_count(fixture.b.links), 0);
		fixture.reported = 0;
		fixture.b.hold = false;
	}
}

static void invalid_bodies_and_credits_end_the_link(void **state)
{
	static const uint8_t byte;
	size_t i;

	(void)state;
	fixture.b.hold = true;
	for (i = 0; i < 2; i++) {
		struct frame f = {.kind = i ? FRAME_CREDIT : FRAME_BODY};

		if (i) {
			f.credit = UINT32_MAX;
		} else {
			f.body.data = &byte;
			f.body.len = 1;
		}
		call(&fixture.b.addr, 1, "/1", 0, NULL);
		run_until(&fixture.b.calls, i + 1);
		f.stream = link_of(&fixture.a)->last_peer_id + 1;
		link_queue_frame(link_of(&fixture.a), &f);
		run_until(&fixture.reported, i + 1);
		assert_int_equal(fixture.reports[i].status, LINK_LOST);
		assert_int_equal(fixture.b.cancelled, i + 1);
	}
}

static void invalid_lengths_are_refused_before_allocation(void **state)
{
	static const struct {
		uint8_t bytes[8];
		size_t len;
		int result;
	} cases[] = {
		{{0xff, 0xff, 0xff, 0xff}, 4, -1},
		{{0, 1, 0, 1}, 4, -1}, /* FRAME_MAX + 1 */
		{{0, 0, 0, 3, 1, 2, 3}, 7, -1},
		{{0, 0}, 2, 0},
		{{0, 1, 0, 0, 1}, 5, 0},
	};
	struct link l = {0};
	struct buffer frame = {0};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		struct error err;

		l.in.len = 0;
		buffer_append(&l.in, cases[i].bytes, cases[i].len, 8);
		assert_int_equal(link_open_next(&l, &frame, &err),
				 cases[i].result);
		assert_true(l.in.size < 1024);
		assert_null(frame.data);
	}
	buffer_free(&l.in);
}

static void tampered_frames_are_refused(void **state)
{
	uint8_t key[crypto_secretstream_xchacha20poly1305_KEYBYTES] = {1};
	uint8_t header[crypto_secretstream_xchacha20poly1305_HEADERBYTES];
	struct buffer plain = {0}, out = {0};
	struct link l = {0};
	struct error err;

	(void)state;
	crypto_secretstream_xchacha20poly1305_init_push(&l.push, header, key);
	crypto_secretstream_xchacha20poly1305_init_pull(&l.pull, header, key);
	buffer_append(&plain, "frame", 5, 5);
	assert_int_equal(link_seal(&l, &plain, &l.in), 0);
	l.in.data[LINK_LENGTH_SIZE + 2] ^= 1;
	assert_int_equal(link_open_next(&l, &out, &err), -1);
	assert_int_equal(err.code, ERROR_AUTH);
	l.in.data[LINK_LENGTH_SIZE + 2] ^= 1;
	assert_int_equal(link_open_next(&l, &out, &err), 1);
	assert_memory_equal(out.data, "frame", 5);
	assert_int_equal(l.in.len, 0);
	buffer_free(&plain);
	buffer_free(&out);
	buffer_free(&l.in);
}

/* Calls links_tick for us microseconds of simulated time, every 250 ms. */
static void tick_for(struct test_node *node, int64_t us)
{
	int64_t now = node->links->ticked_us, until = now + us;

	for (; now < until; now += 250 * USEC_PER_MSEC)
		links_tick(node->links, now);
}

static void unresponsive_peers_lose_their_calls_within_3_s(void **state)
{
	(void)state;
	fixture.b.hold = true;
	call(&fixture.b.addr, 1, "/1", 0, NULL);
	run_until(&fixture.b.calls, 1);
	/* The loop does not run, so nothing is received from the peer. */
	tick_for(&fixture.a, 3 * USEC_PER_SEC);
	assert_int_equal(fixture.reported, 1);
	assert_int_equal(fixture.reports[0].status, LINK_LOST);
}

/* An unacknowledged control message on an idle link also leads to a ping. */
static void unacknowledged_control_messages_end_the_link(void **state)
{
	struct peer_msg m = {.kind = PEER_NOTES_PULL};

	(void)state;
	open_link();
	tick_for(&fixture.a, 5 * USEC_PER_SEC);
	assert_int_equal(links_count(fixture.a.links), 1);
	links_send(fixture.a.links, &fixture.b.addr, &m,
		   fixture.a.links->ticked_us);
	tick_for(&fixture.a, 4 * USEC_PER_SEC);
	assert_int_equal(links_count(fixture.a.links), 0);
}

static void pauses_of_this_process_end_no_link(void **state)
{
	int64_t now;

	(void)state;
	fixture.b.hold = true;
	call(&fixture.b.addr, 1, "/1", 0, NULL);
	run_until(&fixture.b.calls, 1);
	now = fixture.a.links->ticked_us;
	links_tick(fixture.a.links, now + 60 * USEC_PER_SEC);
	assert_int_equal(fixture.reported, 0);
	answer(&fixture.b, fixture.b.held[0], "/1");
	run_until(&fixture.reported, 1);
	assert_int_equal(fixture.reports[0].status, LINK_ANSWERED);
}

static void idle_links_close_without_losing_a_call(void **state)
{
	struct stream *s;

	(void)state;
	open_link();
	fixture.b.hold = true;
	tick_for(&fixture.a, 62 * USEC_PER_SEC);
	assert_true(link_of(&fixture.a)->closing);
	/* A call started now uses another link. */
	call(&fixture.b.addr, 1, "/1", 0, NULL);
	run_until(&fixture.b.calls, 1);
	s = stream_find(fixture.b.links, fixture.b.held[0]);
	assert_true(s->link != link_of(&fixture.b));
	answer(&fixture.b, fixture.b.held[0], "/1");
	run_until(&fixture.reported, 1);
	tick_for(&fixture.b, USEC_PER_SEC);
	assert_int_equal(links_count(fixture.b.links), 1);
}

#define TEST(f) cmocka_unit_test_setup_teardown(f, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(bodies_are_delivered_in_both_directions),
		TEST(refusals_carry_no_message),
		TEST(answers_match_their_calls_in_any_order),
		TEST(large_answers_do_not_delay_small_ones),
		TEST(nodes_can_call_themselves_and_each_other),
		TEST(cancelled_calls_are_reported_and_never_answered),
		TEST(links_with_a_wrong_secret_are_refused),
		TEST(unreachable_peers_are_backed_off),
		TEST(lost_links_are_reported_on_both_sides),
		TEST(bodies_past_the_limit_are_refused),
		TEST(calls_past_the_incoming_byte_limit_are_refused),
		TEST(answers_past_the_queue_limit_are_not_reported_done),
		TEST(control_messages_carry_their_sender),
		TEST(forged_datagrams_are_counted_and_dropped),
		TEST(unauthenticated_connections_are_closed),
		TEST(unresponsive_peers_are_reported_not_sent),
		TEST(reflected_and_relayed_hellos_are_refused),
		TEST(replayed_and_changed_bytes_are_refused),
		TEST(protocol_errors_end_the_link),
		TEST(invalid_bodies_and_credits_end_the_link),
		TEST(unresponsive_peers_lose_their_calls_within_3_s),
		TEST(unacknowledged_control_messages_end_the_link),
		TEST(pauses_of_this_process_end_no_link),
		TEST(idle_links_close_without_losing_a_call),
		cmocka_unit_test(invalid_lengths_are_refused_before_allocation),
		cmocka_unit_test(tampered_frames_are_refused),
	};

	if (sodium_init() < 0)
		return 1;
	return cmocka_run_group_tests(tests, NULL, NULL);
}
