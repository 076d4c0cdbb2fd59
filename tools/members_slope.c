/*
 * Measures the cost of membership: messages and bytes per member of small
 * groups in one process, and memory and CPU time of a single member with a
 * table of up to PLANNED_NODES members. Time is simulated, so a minute of a
 * group takes less than a minute.
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
#define NETWORK_DELAY_US 1500
#define SEAL_BYTES 40	/* nonce and tag of a datagram */
#define UDP_IP_BYTES 28 /* UDP and IP headers */
#define START_US (1000 * USEC_PER_SEC)
#define SETTLE_S 60
#define MEASURED_S 120
#define CHANGES 24 /* per group, within MEASURED_S */
#define GROUP_MAX 256
#define DATA_CENTRES 7
#define PLANNED_NODES 12000
#define PLANNED_CHANGES_S 0.3 /* per second: 3,900 restarts a day x 6 updates */
#define DIFFERING_BUCKETS 4   /* digests zeroed in a pull */
#define MEMBERS_PER_MESSAGE 250

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

static void make_member_info(struct member_info *info, size_t i)
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

/* Queues a message; overhead is the number of bytes added on the wire. */
static int enqueue(struct node *from, const struct addr *to,
		   struct peer_msg *msg, size_t overhead)
{
	struct packet *p = calloc(1, sizeof(*p));

	if (!p)
		abort();
	msg->from = from->addr;
	if (peer_msg_encode(msg, &p->bytes) < 0)
		abort();
	p->to = index_of(to);
	p->due_us = group.now + NETWORK_DELAY_US;
	group.messages++;
	group.bytes += p->bytes.len + overhead;
	DL_APPEND(group.packets, p);
	return 0;
}

static int group_send(void *ctx, const struct addr *to, struct peer_msg *msg,
		      int64_t now)
{
	(void)now;
	return enqueue(ctx, to, msg, SEAL_BYTES);
}

static int group_datagram(void *ctx, const struct addr *to,
			  struct peer_msg *msg)
{
	return enqueue(ctx, to, msg, SEAL_BYTES + UDP_IP_BYTES);
}

static void deliver_due(void)
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
	deliver_due();
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
		struct node *node = &group.nodes[i];
		struct members_options o = {
			.io = {node, group_send, group_datagram},
			.seed = i + 1,
			.seed_count = 1,
			.seeds = &group.nodes[0].addr,
		};

		make_member_info(&o.self, i);
		node->addr = o.self.node_addr;
		node->m = members_new(&o, group.now);
	}
}

static void group_end(void)
{
	size_t i;

	for (i = 0; i < group.n; i++)
		members_free(group.nodes[i].m);
	drop_packets();
}

static bool all_have_version(const struct member_info *self)
{
	size_t i;

	for (i = 0; i < group.n; i++) {
		const struct member_info *info =
			members_find(group.nodes[i].m, &self->node_addr);

		if (!info || info->version != self->version)
			return false;
	}
	return true;
}

/*
 * Changes an upstream of member i. Returns the seconds until all members have
 * the new version.
 */
static double measure_change(size_t i)
{
	struct members *m = group.nodes[i].m;
	struct upstream_info u = members_self(m)->upstreams[0];
	int64_t start = group.now;

	u.slots++;
	members_set_upstreams(m, &u, 1, group.now);
	while (!all_have_version(members_self(m)) &&
	       group.now - start < START_US)
		step();
	return (double)(group.now - start) / USEC_PER_SEC;
}

static bool in_failed_data_centre(size_t i)
{
	return i % DATA_CENTRES == 0;
}

static bool all_know_failures(void)
{
	size_t i, failed = (group.n + DATA_CENTRES - 1) / DATA_CENTRES;

	for (i = 0; i < group.n; i++)
		if (group.nodes[i].m &&
		    members_count(group.nodes[i].m, MEMBER_DEAD) < failed)
			return false;
	return true;
}

/*
 * Measures the time until all other members know that every node of one data
 * centre failed at the same time, and the bytes sent per second and member.
 */
static void measure_data_centre_failure(size_t n)
{
	int64_t start;
	double seconds;
	size_t i;

	group_start(n);
	run_for(SETTLE_S);
	for (i = 0; i < n; i++) {
		if (!in_failed_data_centre(i))
			continue;
		members_free(group.nodes[i].m);
		group.nodes[i].m = NULL;
	}
	group.bytes = 0;
	start = group.now;
	while (!all_know_failures() && group.now - start < START_US)
		step();
	seconds = (double)(group.now - start) / USEC_PER_SEC;
	print_measure("data_centre_dead_known_s", seconds, "s", n);
	print_measure("data_centre_dead_bytes_s",
		      (double)group.bytes / (double)n / seconds, "B/s", n);
	group_end();
}

static void measure_group(size_t n)
{
	double idle_bytes, total_s = 0, slowest_s = 0;
	uint64_t before;
	int i;

	group_start(n);
	run_for(SETTLE_S);
	group.messages = 0;
	before = group.bytes;
	run_for(MEASURED_S);
	idle_bytes = (double)(group.bytes - before);
	print_measure("member_messages_s",
		      (double)group.messages / (double)n / MEASURED_S, "1/s",
		      n);
	print_measure("member_bytes_s", idle_bytes / (double)n / MEASURED_S,
		      "B/s", n);
	before = group.bytes;
	for (i = 0; i < CHANGES; i++) {
		int64_t start = group.now;
		double s = measure_change((size_t)i % n);

		total_s += s;
		slowest_s = s > slowest_s ? s : slowest_s;
		while (group.now - start < MEASURED_S / CHANGES * USEC_PER_SEC)
			step();
	}
	print_measure("member_bytes_per_change",
		      ((double)(group.bytes - before) - idle_bytes) /
			      (double)n / CHANGES,
		      "B", n);
	print_measure("change_known_mean_s", total_s / CHANGES, "s", n);
	print_measure("change_known_max_s", slowest_s, "s", n);
	group_end();
}

/* A single member; the members that it probes acknowledge at once. */
static struct {
	struct members *m;
	struct peer_msg ack;
	bool acked;
	struct peer_msg pull; /* last one sent */
	uint64_t bytes;
	int64_t now;
} single;

static const uint8_t secret[SECRET_SIZE] = {1};

static int single_send(void *ctx, const struct addr *to, struct peer_msg *msg,
		       int64_t now)
{
	struct buffer bytes = {0};

	(void)ctx;
	(void)to;
	(void)now;
	if (peer_msg_encode(msg, &bytes) == 0)
		single.bytes += bytes.len + SEAL_BYTES;
	if (msg->kind == PEER_MEMBERS_PULL)
		single.pull = *msg;
	buffer_free(&bytes);
	return 0;
}

static int single_datagram(void *ctx, const struct addr *to,
			   struct peer_msg *msg)
{
	struct buffer bytes = {0}, sealed = {0};

	(void)ctx;
	if (peer_msg_encode(msg, &bytes) == 0 &&
	    datagram_seal(secret, bytes.data, bytes.len, &sealed) == 0)
		single.bytes += sealed.len + UDP_IP_BYTES;
	buffer_free(&bytes);
	buffer_free(&sealed);
	if (msg->kind != PEER_PROBE)
		return 0;
	single.ack.kind = PEER_PROBE_ACK;
	single.ack.from = *to;
	single.ack.probe.sequence = msg->probe.sequence;
	single.acked = true;
	return 0;
}

/* Adds n - 1 other members to the table, in batches as from a pull. */
static void add_members(size_t n)
{
	struct member_info *items = calloc(MEMBERS_PER_MESSAGE, sizeof(*items));
	struct peer_msg msg = {.kind = PEER_MEMBERS};
	size_t i;

	if (!items)
		abort();
	msg.members.items = items;
	for (i = 1; i < n; i++) {
		make_member_info(&items[msg.members.n++], i);
		if (msg.members.n < MEMBERS_PER_MESSAGE && i + 1 < n)
			continue;
		members_receive(single.m, &msg, START_US);
		msg.members.n = 0;
	}
	free(items);
}

/*
 * Sends what other members send to this one in a second: a probe, with a
 * change if one is due, and a pull every 10 s.
 */
static void simulate_peers(size_t n, uint32_t *changes)
{
	int64_t second = (single.now - START_US) / USEC_PER_SEC;
	double due =
		(double)second * PLANNED_CHANGES_S * (double)n / PLANNED_NODES;
	struct peer_msg probe = {.kind = PEER_PROBE};
	struct member_info info;

	make_member_info(&info, 1 + (size_t)second % (n - 1));
	probe.from = info.node_addr;
	probe.probe.sequence = (uint64_t)second;
	if (due > *changes) {
		info.version = 2 + ++*changes;
		probe.probe.changes = &info;
		probe.probe.change_count = 1;
	}
	members_receive(single.m, &probe, single.now);
	if (second % 10 || single.pull.kind != PEER_MEMBERS_PULL)
		return;
	/* The sender of the pull has not received a few changes yet. */
	single.pull.from = probe.from;
	memset(single.pull.members_pull.digests, 0,
	       DIFFERING_BUCKETS * sizeof(uint64_t));
	members_receive(single.m, &single.pull, single.now);
}

static void run_single(size_t n, uint32_t *changes)
{
	int64_t until = single.now + MEASURED_S * USEC_PER_SEC;

	while (single.now < until) {
		single.now += TICK_US;
		members_tick(single.m, single.now);
		if (single.acked)
			members_receive(single.m, &single.ack, single.now);
		single.acked = false;
		if ((single.now - START_US) % USEC_PER_SEC == 0)
			simulate_peers(n, changes);
	}
}

static void measure_single(size_t n)
{
	struct members_options o = {.io = {NULL, single_send, single_datagram},
				    .seed = 1};
	size_t memory = mallinfo2().uordblks;
	uint32_t changes = 0;
	clock_t start;

	memset(&single, 0, sizeof(single));
	single.now = START_US;
	make_member_info(&o.self, 0);
	single.m = members_new(&o, single.now);
	add_members(n);
	memory = mallinfo2().uordblks - memory;
	print_measure("members_memory", (double)memory / 1e6, "MB", n);
	run_single(n, &changes);
	single.bytes = 0;
	start = clock();
	run_single(n, &changes);
	print_measure("members_cpu",
		      (double)(clock() - start) / CLOCKS_PER_SEC / MEASURED_S *
			      100,
		      "%", n);
	print_measure("member_sent_bytes_s", (double)single.bytes / MEASURED_S,
		      "B/s", n);
	members_free(single.m);
}

int main(void)
{
	static const size_t group_sizes[] = {8, 16, 32, 64, 128, 256};
	static const size_t table_sizes[] = {1000, 2000, 4000, 8000, 12000};
	size_t i;

	if (sodium_init() < 0)
		return 1;
	log_set_level(LOG_CRIT);
	for (i = 0; i < sizeof(group_sizes) / sizeof(*group_sizes); i++)
		measure_group(group_sizes[i]);
	for (i = 0; i < sizeof(group_sizes) / sizeof(*group_sizes); i++)
		measure_data_centre_failure(group_sizes[i]);
	for (i = 0; i < sizeof(table_sizes) / sizeof(*table_sizes); i++)
		measure_single(table_sizes[i]);
	return 0;
}
