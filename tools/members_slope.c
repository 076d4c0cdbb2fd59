/*
 * Measures what membership costs: messages and bytes for each member of
 * small groups in one process, and memory and processor time of one member
 * that knows as many others as are planned for. Time is passed in, so a
 * minute of the group takes less than a minute.
 */
#include <malloc.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <utlist.h>

#include "control/control.h"

#define STEP_US (10 * USEC_PER_MSEC)
#define TICK_US (50 * USEC_PER_MSEC)
#define DELAY_US 1500
#define SEAL_BYTES 40	/* nonce and tag of a datagram */
#define UDP_IP_BYTES 28 /* headers below a datagram */
#define START_US (1000 * USEC_PER_SEC)
#define SETTLE_S 60
#define MEASURED_S 120
#define CHANGES 24 /* in the measured time, in one group */
#define GROUP_MAX 256
#define DATA_CENTRES 7
#define PLANNED_NODES 12000
#define PLANNED_CHANGES_S 0.3 /* 3,900 restarts a day, each told six times */
#define DIFFERING_BUCKETS 4
#define PIECE 250

struct packet {
	struct packet *prev;
	struct packet *next;
	int64_t due_us;
	size_t to;
	struct buffer bytes;
};

struct node {
	struct members *m;
	struct addr addr;
};

static struct {
	struct node nodes[GROUP_MAX];
	size_t n;
	struct packet *packets;
	uint64_t messages;
	uint64_t bytes;
	int64_t now;
} group;

static void print_measure(const char *name, double value, const char *unit,
			  size_t n)
{
	printf("measure=%s value=%.4g unit=%s n=%zu\n", name, value, unit, n);
	fflush(stdout);
}

static void member_addr(struct addr *a, size_t i)
{
	char text[ADDR_TEXT_SIZE];

	snprintf(text, sizeof(text), "10.%zu.%zu.%zu:7000", i / 62500,
		 i / 250 % 250, i % 250 + 1);
	addr_parse(a, text);
}

static void describe(struct member_info *info, size_t i)
{
	struct upstream_info *u = &info->upstreams[0];

	memset(info, 0, sizeof(*info));
	member_addr(&info->node_addr, i);
	info->admin = info->node_addr;
	info->admin.port++;
	info->incarnation = 1700000000000000 + i;
	info->version = 1;
	snprintf(info->host, NAME_SIZE, "host-%zu", i);
	snprintf(info->data_centre, NAME_SIZE, "data-centre-%zu",
		 i % DATA_CENTRES);
	snprintf(info->region, NAME_SIZE, "region-%zu", i % 3);
	snprintf(u->service, NAME_SIZE, "service-%zu", i % 330);
	u->addr = info->node_addr;
	u->slots = 90;
	u->connections = 650;
	info->upstream_count = 1;
}

static size_t index_of(const struct addr *a)
{
	size_t i;

	for (i = 0; i < group.n; i++)
		if (addr_equal(&group.nodes[i].addr, a))
			return i;
	abort();
}

static int post(struct node *from, const struct addr *to, struct peer_msg *msg,
		size_t overhead)
{
	struct packet *p = calloc(1, sizeof(*p));

	if (!p)
		abort();
	msg->from = from->addr;
	if (peer_msg_encode(msg, &p->bytes) < 0)
		abort();
	p->to = index_of(to);
	p->due_us = group.now + DELAY_US;
	group.messages++;
	group.bytes += p->bytes.len + overhead;
	DL_APPEND(group.packets, p);
	return 0;
}

static int group_send(void *ctx, const struct addr *to, struct peer_msg *msg,
		      int64_t now)
{
	(void)now;
	return post(ctx, to, msg, SEAL_BYTES);
}

static int group_datagram(void *ctx, const struct addr *to,
			  struct peer_msg *msg)
{
	return post(ctx, to, msg, SEAL_BYTES + UDP_IP_BYTES);
}

static void deliver(void)
{
	struct packet *p;
	struct peer_msg msg;

	while ((p = group.packets) && p->due_us <= group.now) {
		DL_DELETE(group.packets, p);
		if (group.nodes[p->to].m &&
		    !peer_msg_decode(&msg, p->bytes.data, p->bytes.len, NULL)) {
			members_receive(group.nodes[p->to].m, &msg, group.now);
			peer_msg_free(&msg);
		}
		buffer_free(&p->bytes);
		free(p);
	}
}

static void drop_packets(void)
{
	struct packet *p;

	while ((p = group.packets)) {
		DL_DELETE(group.packets, p);
		buffer_free(&p->bytes);
		free(p);
	}
}

static void step(void)
{
	size_t i;

	group.now += STEP_US;
	deliver();
	for (i = 0; i < group.n; i++)
		if (group.nodes[i].m &&
		    (group.now / STEP_US + (int64_t)i) % (TICK_US / STEP_US) ==
			    0)
			members_tick(group.nodes[i].m, group.now);
}

static void run_for(double seconds)
{
	int64_t until = group.now + (int64_t)(seconds * USEC_PER_SEC);

	while (group.now < until)
		step();
}

static void group_start(size_t n)
{
	size_t i;

	memset(&group, 0, sizeof(group));
	group.n = n;
	group.now = START_US;
	for (i = 0; i < n; i++) {
		struct node *e = &group.nodes[i];
		struct members_options o = {
			.io = {e, group_send, group_datagram},
			.seed = i + 1,
			.seed_count = 1,
			.seeds = &group.nodes[0].addr,
		};

		describe(&o.self, i);
		e->addr = o.self.node_addr;
		e->m = members_new(&o, group.now);
	}
}

static void group_end(void)
{
	size_t i;

	for (i = 0; i < group.n; i++)
		members_free(group.nodes[i].m);
	drop_packets();
}

static bool all_know(const struct member_info *self)
{
	size_t i;

	for (i = 0; i < group.n; i++) {
		const struct member_info *b =
			members_find(group.nodes[i].m, &self->node_addr);

		if (!b || b->version != self->version)
			return false;
	}
	return true;
}

/* Changes an upstream of one member; returns the seconds until all know. */
static double change(size_t i)
{
	struct members *m = group.nodes[i].m;
	struct upstream_info u = members_self(m)->upstreams[0];
	int64_t start = group.now;

	u.slots++;
	members_set_upstreams(m, &u, 1, group.now);
	while (!all_know(members_self(m)) && group.now - start < START_US)
		step();
	return (double)(group.now - start) / USEC_PER_SEC;
}

static bool is_lost(size_t i)
{
	return i % DATA_CENTRES == 0;
}

static bool all_know_the_lost(void)
{
	size_t i, lost = (group.n + DATA_CENTRES - 1) / DATA_CENTRES;

	for (i = 0; i < group.n; i++)
		if (group.nodes[i].m &&
		    members_count(group.nodes[i].m, MEMBER_DEAD) < lost)
			return false;
	return true;
}

/* A whole data centre fails at once. */
static void measure_loss(size_t n)
{
	int64_t start;
	double seconds;
	size_t i;

	group_start(n);
	run_for(SETTLE_S);
	for (i = 0; i < n; i++) {
		if (!is_lost(i))
			continue;
		members_free(group.nodes[i].m);
		group.nodes[i].m = NULL;
	}
	group.bytes = 0;
	start = group.now;
	while (!all_know_the_lost() && group.now - start < START_US)
		step();
	seconds = (double)(group.now - start) / USEC_PER_SEC;
	print_measure("data_centre_dead_known_s", seconds, "s", n);
	print_measure("data_centre_dead_bytes_s",
		      (double)group.bytes / (double)n / seconds, "B/s", n);
	group_end();
}

static void measure_group(size_t n)
{
	double quiet_bytes, known_s = 0, slowest_s = 0;
	uint64_t before;
	int i;

	group_start(n);
	run_for(SETTLE_S);
	group.messages = 0;
	before = group.bytes;
	run_for(MEASURED_S);
	quiet_bytes = (double)(group.bytes - before);
	print_measure("member_messages_s",
		      (double)group.messages / (double)n / MEASURED_S, "1/s",
		      n);
	print_measure("member_bytes_s", quiet_bytes / (double)n / MEASURED_S,
		      "B/s", n);
	before = group.bytes;
	for (i = 0; i < CHANGES; i++) {
		int64_t start = group.now;
		double s = change((size_t)i % n);

		known_s += s;
		slowest_s = s > slowest_s ? s : slowest_s;
		while (group.now - start < MEASURED_S / CHANGES * USEC_PER_SEC)
			step();
	}
	print_measure("member_bytes_per_change",
		      ((double)(group.bytes - before) - quiet_bytes) /
			      (double)n / CHANGES,
		      "B", n);
	print_measure("change_known_mean_s", known_s / CHANGES, "s", n);
	print_measure("change_known_max_s", slowest_s, "s", n);
	group_end();
}

/* One member among many: whom it probes answers at once. */
static struct {
	struct members *m;
	struct peer_msg ack;
	bool acked;
	struct peer_msg pull; /* the newest that it sent */
	uint64_t bytes;
	int64_t now;
} one;

static const uint8_t secret[SECRET_SIZE] = {1};

static int one_send(void *ctx, const struct addr *to, struct peer_msg *msg,
		    int64_t now)
{
	struct buffer bytes = {0};

	(void)ctx;
	(void)to;
	(void)now;
	if (peer_msg_encode(msg, &bytes) == 0)
		one.bytes += bytes.len + SEAL_BYTES;
	if (msg->kind == PEER_MEMBERS_PULL)
		one.pull = *msg;
	buffer_free(&bytes);
	return 0;
}

static int one_datagram(void *ctx, const struct addr *to, struct peer_msg *msg)
{
	struct buffer bytes = {0}, sealed = {0};

	(void)ctx;
	if (peer_msg_encode(msg, &bytes) == 0 &&
	    datagram_seal(secret, bytes.data, bytes.len, &sealed) == 0)
		one.bytes += sealed.len + UDP_IP_BYTES;
	buffer_free(&bytes);
	buffer_free(&sealed);
	if (msg->kind != PEER_PROBE)
		return 0;
	one.ack.kind = PEER_PROBE_ACK;
	one.ack.from = *to;
	one.ack.probe.sequence = msg->probe.sequence;
	one.acked = true;
	return 0;
}

/* Hears of n members in pieces, as from a pull. */
static void fill(size_t n)
{
	struct member_info *items = calloc(PIECE, sizeof(*items));
	struct peer_msg msg = {.kind = PEER_MEMBERS};
	size_t i;

	if (!items)
		abort();
	msg.members.items = items;
	for (i = 1; i < n; i++) {
		describe(&items[msg.members.n++], i);
		if (msg.members.n < PIECE && i + 1 < n)
			continue;
		members_receive(one.m, &msg, START_US);
		msg.members.n = 0;
	}
	free(items);
}

/* What others send to one member in each second. */
static void others_act(size_t n, uint32_t *changes)
{
	int64_t second = (one.now - START_US) / USEC_PER_SEC;
	double due =
		(double)second * PLANNED_CHANGES_S * (double)n / PLANNED_NODES;
	struct peer_msg probe = {.kind = PEER_PROBE};
	struct member_info info;

	describe(&info, 1 + (size_t)second % (n - 1));
	probe.from = info.node_addr;
	probe.probe.sequence = (uint64_t)second;
	if (due > *changes) {
		info.version = 2 + ++*changes;
		probe.probe.changes = &info;
		probe.probe.change_count = 1;
	}
	members_receive(one.m, &probe, one.now);
	if (second % 10 || one.pull.kind != PEER_MEMBERS_PULL)
		return;
	/* One that has not heard of a few changes yet asks for them. */
	one.pull.from = probe.from;
	memset(one.pull.members_pull.digests, 0,
	       DIFFERING_BUCKETS * sizeof(uint64_t));
	members_receive(one.m, &one.pull, one.now);
}

static void run_one(size_t n, uint32_t *changes)
{
	int64_t until = one.now + MEASURED_S * USEC_PER_SEC;

	while (one.now < until) {
		one.now += TICK_US;
		members_tick(one.m, one.now);
		if (one.acked)
			members_receive(one.m, &one.ack, one.now);
		one.acked = false;
		if ((one.now - START_US) % USEC_PER_SEC == 0)
			others_act(n, changes);
	}
}

static void measure_one(size_t n)
{
	struct members_options o = {.io = {NULL, one_send, one_datagram},
				    .seed = 1};
	size_t memory = mallinfo2().uordblks;
	uint32_t changes = 0;
	clock_t start;

	memset(&one, 0, sizeof(one));
	one.now = START_US;
	describe(&o.self, 0);
	one.m = members_new(&o, one.now);
	fill(n);
	memory = mallinfo2().uordblks - memory;
	print_measure("members_memory", (double)memory / 1e6, "MB", n);
	run_one(n, &changes);
	one.bytes = 0;
	start = clock();
	run_one(n, &changes);
	print_measure("members_cpu",
		      (double)(clock() - start) / CLOCKS_PER_SEC / MEASURED_S *
			      100,
		      "%", n);
	print_measure("member_sent_bytes_s", (double)one.bytes / MEASURED_S,
		      "B/s", n);
	members_free(one.m);
}

int main(void)
{
	static const size_t groups[] = {8, 16, 32, 64, 128, 256};
	static const size_t tables[] = {1000, 2000, 4000, 8000, 12000};
	size_t i;

	if (sodium_init() < 0)
		return 1;
	log_set_level(LOG_CRIT);
	for (i = 0; i < sizeof(groups) / sizeof(*groups); i++)
		measure_group(groups[i]);
	for (i = 0; i < sizeof(groups) / sizeof(*groups); i++)
		measure_loss(groups[i]);
	for (i = 0; i < sizeof(tables) / sizeof(*tables); i++)
		measure_one(tables[i]);
	return 0;
}
