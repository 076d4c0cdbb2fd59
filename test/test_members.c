#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>
#include <gsl/gsl_rng.h>
#include <sodium.h>
#include <utlist.h>

#include "control/members/members_impl.h"

#define NODES_MAX 64
#define STEP_US (10 * USEC_PER_MSEC)
#define TICK_US (50 * USEC_PER_MSEC)
#define SEAL_BYTES 40 /* nonce and tag of a datagram */

struct packet {
	struct packet *prev;
	struct packet *next;
	int64_t due_us;
	int to;
	struct buffer bytes;
};

struct node {
	struct members *m;
	struct store *store;
	struct addr addr;
	int data_centre;
	bool paused;
	uint64_t incarnation;
	bool saw_local_death;
	struct departure heard; /* told by an earlier process of this node */
};

/* A simulated network with faults, in one process. */
static struct {
	struct node nodes[NODES_MAX];
	int n;
	int data_centres;
	bool cut[NODES_MAX][NODES_MAX]; /* from, to */
	double loss, duplicate;
	int64_t delay_us;
	struct packet *packets;
	struct memory_store *store;
	gsl_rng *rng;
	int64_t now;
} sim;

static int index_of(const struct addr *a)
{
	return a->port - 1000;
}

static void enqueue_packet(int to, const struct buffer *bytes)
{
	struct packet *p = calloc(1, sizeof(*p));

	p->to = to;
	p->due_us = sim.now + USEC_PER_MSEC +
		    (int64_t)(gsl_rng_uniform(sim.rng) * (double)sim.delay_us);
	buffer_append(&p->bytes, bytes->data, bytes->len, SIZE_MAX);
	DL_APPEND(sim.packets, p);
}

static int transmit(struct node *from, const struct addr *to,
		    struct peer_msg *msg, size_t limit, double loss)
{
	struct buffer bytes = {0};
	int target = index_of(to), rc = -1;

	msg->from = from->addr;
	msg->incarnation = from->incarnation;
	assert_int_equal(peer_msg_encode(msg, &bytes), 0);
	assert_true(bytes.len <= limit);
	if (target >= 0 && target < sim.n) {
		rc = 0;
		if (!sim.cut[from - sim.nodes][target] &&
		    gsl_rng_uniform(sim.rng) >= loss) {
			enqueue_packet(target, &bytes);
			if (gsl_rng_uniform(sim.rng) < sim.duplicate)
				enqueue_packet(target, &bytes);
		}
	}
	buffer_free(&bytes);
	return rc;
}

static int send_link(void *ctx, const struct addr *to, struct peer_msg *msg,
		     int64_t now)
{
	(void)now;
	return transmit(ctx, to, msg, FRAME_MAX, 0);
}

static int send_datagram(void *ctx, const struct addr *to, struct peer_msg *msg)
{
	return transmit(ctx, to, msg, DATAGRAM_MAX - SEAL_BYTES, sim.loss);
}

static void changed(void *ctx, const struct member_info *info, int64_t now)
{
	struct node *node = ctx;
	const struct node *other = &sim.nodes[index_of(&info->node_addr)];

	(void)now;
	if (info->state == MEMBER_DEAD && other->m &&
	    other->data_centre == node->data_centre)
		node->saw_local_death = true;
}

static void departed(void *ctx, const struct departure *d, size_t n,
		     int64_t now)
{
	struct node *node = ctx;

	assert_int_equal(n, 1);
	node->heard = *d;
	members_set_departures(node->m, d, n, now);
}

static void node_start(int i, bool use_store, const struct addr *seeds,
		       size_t seed_count)
{
	struct node *node = &sim.nodes[i];
	struct members_options o = {
		.seeds = seeds,
		.seed_count = seed_count,
		.io = {node, send_link, send_datagram},
		.seed = (uint64_t)i + 1,
		.ctx = node,
		.changed = changed,
		.departed = departed,
	};

	addr_parse(&node->addr, "10.0.0.1:0");
	node->addr.port = (uint16_t)(1000 + i);
	node->data_centre = i % sim.data_centres;
	node->paused = false;
	node->incarnation = (uint64_t)sim.now;
	o.self.node_addr = node->addr;
	o.self.incarnation = node->incarnation;
	snprintf(o.self.host, NAME_SIZE, "host-%d", i);
	snprintf(o.self.data_centre, NAME_SIZE, "dc-%d", node->data_centre);
	o.self.upstream_count = 1;
	snprintf(o.self.upstreams[0].service, NAME_SIZE, "history");
	if (use_store) {
		node->store = store_open_memory(sim.store);
		o.store = node->store;
	}
	node->m = members_new(&o, sim.now);
	assert_non_null(node->m);
}

/* Ends a node as a crash does: no other node is notified. */
static void node_kill(int i)
{
	members_free(sim.nodes[i].m);
	sim.nodes[i].m = NULL;
	store_close(sim.nodes[i].store);
	sim.nodes[i].store = NULL;
}

static void deliver(struct packet *p)
{
	struct node *node = &sim.nodes[p->to];
	struct peer_msg msg;

	DL_DELETE(sim.packets, p);
	assert_int_equal(
		peer_msg_decode(&msg, p->bytes.data, p->bytes.len, NULL), 0);
	if (node->m)
		members_receive(node->m, &msg, sim.now);
	peer_msg_free(&msg);
	buffer_free(&p->bytes);
	free(p);
}

static void step(void)
{
	struct packet *p, *next;
	int i;

	sim.now += STEP_US;
	for (p = sim.packets; p; p = next) {
		next = p->next;
		if (p->due_us <= sim.now && !sim.nodes[p->to].paused)
			deliver(p);
	}
	for (i = 0; i < sim.n; i++) {
		struct node *node = &sim.nodes[i];

		if (!node->m || node->paused ||
		    (sim.now / STEP_US + i) % (TICK_US / STEP_US))
			continue;
		if (node->store)
			store_tick(node->store, sim.now);
		members_tick(node->m, sim.now);
	}
}

static void run(double seconds)
{
	int64_t until = sim.now + (int64_t)(seconds * USEC_PER_SEC);

	while (sim.now < until)
		step();
}

static enum member_state state_at(int at, int of)
{
	const struct member_info *info =
		members_find(sim.nodes[at].m, &sim.nodes[of].addr);

	return info ? info->state : MEMBER_LEFT;
}

/* Whether every running node sees exactly the running nodes as alive. */
static bool views_agree(void)
{
	int i, j;

	for (i = 0; i < sim.n; i++)
		for (j = 0; sim.nodes[i].m && j < sim.n; j++)
			if ((state_at(i, j) == MEMBER_ALIVE) !=
			    (sim.nodes[j].m != NULL))
				return false;
	return true;
}

static bool all_see(int of, enum member_state state)
{
	int i;

	for (i = 0; i < sim.n; i++)
		if (i != of && sim.nodes[i].m && state_at(i, of) != state)
			return false;
	return true;
}

/* Runs until the condition holds; fails if that takes max_s seconds. */
#define RUN_UNTIL(condition, max_s)                                        \
	do {                                                               \
		int64_t start_ = sim.now;                                  \
		while (!(condition) &&                                     \
		       sim.now - start_ < (int64_t)((max_s)*USEC_PER_SEC)) \
			step();                                            \
		print_message("%d members: %s after %.2f s\n", sim.n,      \
			      #condition,                                  \
			      (double)(sim.now - start_) / USEC_PER_SEC);  \
		assert_true(condition);                                    \
	} while (0)

static void sim_start(int n, int data_centres, bool use_store)
{
	struct addr seed;
	int i;

	memset(&sim, 0, sizeof(sim));
	log_set_level(LOG_CRIT);
	sim.n = n;
	sim.data_centres = data_centres;
	sim.now = 1000 * USEC_PER_SEC;
	sim.rng = gsl_rng_alloc(gsl_rng_taus2);
	gsl_rng_set(sim.rng, 42);
	if (use_store)
		sim.store = memory_store_new();
	addr_parse(&seed, "10.0.0.1:1000");
	for (i = 0; i < n; i++)
		node_start(i, use_store, &seed, use_store ? 0 : 1);
}

static void sim_end(void)
{
	struct packet *p;
	int i;

	for (i = 0; i < sim.n; i++)
		if (sim.nodes[i].m)
			node_kill(i);
	while ((p = sim.packets)) {
		DL_DELETE(sim.packets, p);
		buffer_free(&p->bytes);
		free(p);
	}
	if (sim.store)
		memory_store_free(sim.store);
	gsl_rng_free(sim.rng);
}

/* Counts members in a state, summed over the views of all running nodes. */
static size_t count_in_state(enum member_state state)
{
	size_t n = 0;
	int i;

	for (i = 0; i < sim.n; i++)
		if (sim.nodes[i].m)
			n += members_count(sim.nodes[i].m, state);
	return n;
}

static void nodes_join_from_settings(void **state)
{
	static const int sizes[] = {3, 12, 60};
	size_t i;

	(void)state;
	for (i = 0; i < 3; i++) {
		sim_start(sizes[i], 3, false);
		RUN_UNTIL(views_agree(), 30);
		sim_end();
	}
}

static void on_seeds_listed(void *ctx, uint64_t tag,
			    const struct store_result *r, int64_t now)
{
	size_t i, *n = ctx;

	(void)tag;
	(void)now;
	assert_int_equal(r->outcome, STORE_DONE);
	assert_true(r->n <= 3);
	for (*n = 0, i = 0; i < r->n; i++) {
		char text[ADDR_TEXT_SIZE] = "";
		struct addr a;

		memcpy(text, r->entries[i].value, r->entries[i].len);
		assert_int_equal(addr_parse(&a, text), 0);
		*n += sim.nodes[index_of(&a)].m != NULL;
	}
}

/* Counts the store's seeds of a data centre whose node is running. */
static size_t count_stored_seeds(int data_centre)
{
	struct store *reader = store_open_memory(sim.store);
	struct store_op op = {.kind = STORE_LIST};
	size_t n = SIZE_MAX;
	struct store_done done = {.ctx = &n, .fn = on_seeds_listed};
	char prefix[STORE_KEY_SIZE];

	snprintf(prefix, sizeof(prefix), "seeds/dc-%d/", data_centre);
	op.list.prefix = prefix;
	op.list.limit = NODES_MAX;
	store_submit(reader, &op, &done, sim.now);
	store_tick(reader, sim.now);
	store_close(reader);
	return n;
}

/* Counts nodes whose own state is that they hold a seed lease. */
static int count_seed_leases(void)
{
	int i, n = 0;

	for (i = 0; i < sim.n; i++)
		n += sim.nodes[i].m &&
		     sim.nodes[i].m->seed_lease->state == SEED_HELD;
	return n;
}

static void nodes_join_from_the_store(void **state)
{
	static const struct store_faults down = {.down = true};
	struct addr none = {{0}, 0};
	int dc;

	(void)state;
	sim_start(12, 3, true);
	RUN_UNTIL(views_agree(), 60);
	run(60);
	for (dc = 0; dc < 3; dc++)
		assert_int_equal(count_stored_seeds(dc), 3);
	/* The seed lease of a dead node is acquired by another. */
	node_kill(0);
	RUN_UNTIL(count_stored_seeds(0) == 3 && all_see(0, MEMBER_DEAD), 90);
	/*
	 * While a node cannot reach the store, no member is declared dead, and
	 * the seed leases persist.
	 */
	store_set_faults(sim.nodes[1].store, &down);
	run(15);
	assert_int_equal(count_in_state(MEMBER_DEAD), 11);
	/* A node that starts without a store or seeds knows only itself. */
	sim.n = 13;
	node_start(12, false, &none, 0);
	run(5);
	assert_int_equal(members_count(sim.nodes[12].m, MEMBER_ALIVE), 1);
	sim_end();
}

static void lost_store_responses_leave_one_lease_each(void **state)
{
	static const struct store_faults lossy = {.lose_response = true};
	int i;

	(void)state;
	sim_start(6, 1, true);
	RUN_UNTIL(views_agree(), 60);
	for (i = 0; i < 6; i++)
		store_set_faults(sim.nodes[i].store, &lossy);
	run(60);
	for (i = 0; i < 6; i++)
		store_set_faults(sim.nodes[i].store, &(struct store_faults){0});
	RUN_UNTIL(count_stored_seeds(0) == 3 && count_seed_leases() == 3, 90);
	sim_end();
}

static void faulty_network_causes_no_deaths(void **state)
{
	static const struct {
		const char *name;
		double loss, duplicate;
		int64_t delay_us;
		bool one_way;
	} cases[] = {
		{"loss", 0.1, 0, USEC_PER_MSEC, false},
		{"delay", 0, 0, 200 * USEC_PER_MSEC, false},
		{"doubled", 0, 0.5, 50 * USEC_PER_MSEC, false},
		{"all", 0.05, 0.3, 100 * USEC_PER_MSEC, false},
		{"one way cut", 0, 0, USEC_PER_MSEC, true},
	};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		sim_start(12, 2, false);
		RUN_UNTIL(views_agree(), 30);
		sim.loss = cases[i].loss;
		sim.duplicate = cases[i].duplicate;
		sim.delay_us = cases[i].delay_us;
		sim.cut[3][7] = cases[i].one_way;
		run(120);
		print_message("%s: dead %zu suspect %zu\n", cases[i].name,
			      count_in_state(MEMBER_DEAD),
			      count_in_state(MEMBER_SUSPECT));
		assert_int_equal(count_in_state(MEMBER_DEAD), 0);
		sim.loss = 0;
		sim.cut[3][7] = false;
		RUN_UNTIL(views_agree(), 15);
		sim_end();
	}
}

static void dead_members_are_detected(void **state)
{
	static const int sizes[] = {3, 12, 60};
	size_t i;

	(void)state;
	for (i = 0; i < 3; i++) {
		sim_start(sizes[i], 3, false);
		RUN_UNTIL(views_agree(), 30);
		node_kill(2);
		RUN_UNTIL(all_see(2, MEMBER_DEAD), 20);
		assert_true(views_agree());
		sim_end();
	}
}

static bool all_know_incarnation(int of)
{
	int i;

	for (i = 0; i < sim.n; i++) {
		const struct member_info *info =
			members_find(sim.nodes[i].m, &sim.nodes[of].addr);

		if (!info || info->incarnation != sim.nodes[of].incarnation ||
		    info->state != MEMBER_ALIVE)
			return false;
	}
	return true;
}

static void restart_supersedes_old_process(void **state)
{
	struct addr seed;

	(void)state;
	sim_start(30, 3, false);
	addr_parse(&seed, "10.0.0.1:1001");
	RUN_UNTIL(views_agree(), 30);
	node_kill(2);
	run(0.1);
	node_start(2, false, &seed, 1);
	RUN_UNTIL(all_know_incarnation(2), 5);
	/* Late updates about the former process have no effect. */
	run(30);
	assert_int_equal(count_in_state(MEMBER_DEAD), 0);
	node_kill(2);
	RUN_UNTIL(all_see(2, MEMBER_DEAD), 20);
	node_start(2, false, &seed, 1);
	RUN_UNTIL(all_know_incarnation(2), 5);
	sim_end();
}

static void replacement_joins_at_new_address(void **state)
{
	struct addr seed;

	(void)state;
	sim_start(12, 3, false);
	addr_parse(&seed, "10.0.0.1:1000");
	RUN_UNTIL(views_agree(), 30);
	node_kill(5);
	sim.n = 13;
	node_start(12, false, &seed, 1);
	RUN_UNTIL(all_see(5, MEMBER_DEAD) && all_see(12, MEMBER_ALIVE), 20);
	sim_end();
}

static void set_partition(bool on)
{
	int i, j;

	for (i = 0; i < sim.n; i++)
		for (j = 0; j < sim.n; j++)
			sim.cut[i][j] =
				on && (sim.nodes[i].data_centre == 0) !=
					      (sim.nodes[j].data_centre == 0);
}

static bool partition_views_agree(void)
{
	int i, j;

	for (i = 0; i < sim.n; i++)
		for (j = 0; j < sim.n; j++)
			if (state_at(i, j) !=
			    (sim.cut[i][j] ? MEMBER_DEAD : MEMBER_ALIVE))
				return false;
	return true;
}

static void partition_heals_without_false_deaths(void **state)
{
	static const struct {
		int n;
		double cut_s;
	} cases[] = {{6, 30}, {30, 60}, {60, 3600}};
	size_t i;
	int j;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		sim_start(cases[i].n, 3, false);
		RUN_UNTIL(views_agree(), 30);
		set_partition(true);
		RUN_UNTIL(partition_views_agree(), 60);
		run(cases[i].cut_s);
		assert_true(partition_views_agree());
		set_partition(false);
		RUN_UNTIL(views_agree(), 60);
		run(30);
		assert_true(views_agree());
		for (j = 0; j < sim.n; j++)
			assert_false(sim.nodes[j].saw_local_death);
		sim_end();
	}
}

static void paused_node_declares_nobody_dead(void **state)
{
	static const double pauses[] = {3, 15, 60};
	size_t i;
	int j;

	(void)state;
	for (i = 0; i < 3; i++) {
		sim_start(12, 2, false);
		RUN_UNTIL(views_agree(), 30);
		sim.nodes[4].paused = true;
		run(pauses[i]);
		sim.nodes[4].paused = false;
		RUN_UNTIL(views_agree(), 10);
		run(30);
		assert_true(views_agree());
		for (j = 0; j < sim.n; j++)
			if (j != 4)
				assert_int_not_equal(state_at(4, j),
						     MEMBER_DEAD);
		assert_false(sim.nodes[4].saw_local_death);
		sim_end();
	}
}

static bool upstream_leaving_everywhere(int of)
{
	int i;

	for (i = 0; i < sim.n; i++) {
		const struct member_info *info =
			members_find(sim.nodes[i].m, &sim.nodes[of].addr);

		if (!info || info->upstreams[0].state != UPSTREAM_LEAVING)
			return false;
	}
	return true;
}

static void leaving_is_known_within_2_s(void **state)
{
	static const double losses[] = {0, 0.1};
	struct upstream_info u;
	size_t i;

	(void)state;
	for (i = 0; i < 2; i++) {
		sim_start(60, 3, false);
		RUN_UNTIL(views_agree(), 30);
		sim.loss = losses[i];
		u = members_self(sim.nodes[7].m)->upstreams[0];
		u.state = UPSTREAM_LEAVING;
		members_set_upstreams(sim.nodes[7].m, &u, 1, sim.now);
		RUN_UNTIL(upstream_leaving_everywhere(7), 2);
		members_leave(sim.nodes[8].m, sim.now);
		RUN_UNTIL(all_see(8, MEMBER_LEAVING), 2);
		members_left(sim.nodes[8].m, sim.now);
		run(0.05);
		node_kill(8);
		RUN_UNTIL(all_see(8, MEMBER_LEFT), 2);
		sim.loss = 0;
		run(20);
		assert_int_equal(count_in_state(MEMBER_SUSPECT), 0);
		assert_int_equal(count_in_state(MEMBER_DEAD), 0);
		sim_end();
	}
}

/* Groups that formed separately merge through a configured seed. */
static void separate_groups_merge(void **state)
{
	int i, j;

	(void)state;
	sim_start(12, 2, false);
	for (i = 0; i < 12; i++)
		for (j = 0; j < 12; j++)
			sim.cut[i][j] = i % 2 != j % 2;
	run(60);
	assert_int_equal(members_count(sim.nodes[2].m, MEMBER_ALIVE), 6);
	set_partition(false);
	RUN_UNTIL(views_agree(), 60);
	sim_end();
}

static void k_are_chosen_in_each_data_centre(void **state)
{
	uint64_t topic;
	int i, chosen[2];

	(void)state;
	sim_start(20, 2, false);
	RUN_UNTIL(views_agree(), 30);
	for (topic = 1; topic < 20; topic++) {
		chosen[0] = 0;
		chosen[1] = 0;
		for (i = 0; i < 20; i++)
			if (members_chosen(sim.nodes[i].m, topic, 3))
				chosen[i % 2]++;
		assert_int_equal(chosen[0], 3);
		assert_int_equal(chosen[1], 3);
	}
	for (i = 0; i < 50; i++) {
		assert_string_equal(
			members_random(sim.nodes[0].m, false)->data_centre,
			"dc-0");
		assert_string_equal(
			members_random(sim.nodes[0].m, true)->data_centre,
			"dc-1");
	}
	sim_end();
}

static void restart_with_earlier_clock_supersedes(void **state)
{
	struct addr seed;
	int64_t now;

	(void)state;
	sim_start(6, 1, false);
	addr_parse(&seed, "10.0.0.1:1000");
	RUN_UNTIL(views_agree(), 30);
	node_kill(2);
	run(20);
	now = sim.now;
	sim.now = 5; /* the new process starts with an earlier clock */
	node_start(2, false, &seed, 1);
	sim.now = now;
	RUN_UNTIL(all_see(2, MEMBER_ALIVE), 20);
	sim_end();
}

static bool has_departure(int at, int of)
{
	const struct member_info *info =
		members_find(sim.nodes[at].m, &sim.nodes[of].addr);

	return info && info->departure_count == 1;
}

/*
 * A leave that only other members know, as the store was out, was lost when
 * the process that had acknowledged it was killed: each later process must
 * hear of it, and a confirmation must mean that another member has it.
 */
static void departures_reach_later_processes(void **state)
{
	struct departure d = {77, 1234, DEPARTED_FOR_GOOD};
	struct addr seed;
	uint32_t version;
	int round, i, holders = 0;

	(void)state;
	sim_start(6, 1, false);
	addr_parse(&seed, "10.0.0.1:1000");
	sim.loss = 0.2;
	RUN_UNTIL(views_agree(), 30);
	version = members_set_departures(sim.nodes[2].m, &d, 1, sim.now);
	assert_true(members_confirmed_version(sim.nodes[2].m) < version);
	while (members_confirmed_version(sim.nodes[2].m) < version) {
		members_ask_confirmation(sim.nodes[2].m);
		run(0.1);
	}
	for (i = 0; i < 6; i++)
		holders += i != 2 && has_departure(i, 2);
	assert_true(holders > 0);
	for (round = 0; round < 3; round++) {
		node_kill(2);
		memset(&sim.nodes[2].heard, 0, sizeof(d));
		run(round * 20); /* the last time, it was declared dead */
		node_start(2, false, &seed, 1);
		RUN_UNTIL(sim.nodes[2].heard.instance == d.instance, 5);
		assert_memory_equal(&sim.nodes[2].heard, &d, sizeof(d));
		RUN_UNTIL(has_departure(0, 2) && has_departure(5, 2), 5);
		assert_null(member_find(sim.nodes[0].m, &sim.nodes[2].addr)
				    ->former);
	}
	sim_end();
}

/*
 * A leave was taken for kept once one member had it: with that one and the
 * process that had acknowledged it killed, the next process believed the
 * others, which had not heard of it.
 */
static void a_guardian_outlasts_some_processes(void **state)
{
	struct departure d = {77, 1234, DEPARTED_FOR_GOOD};
	struct addr seed;
	uint32_t version;
	int round, i, killed;

	(void)state;
	addr_parse(&seed, "10.0.0.1:1000");
	for (round = 0; round < 20; round++) {
		sim_start(12, 1, false);
		sim.now += (round + 1) * 100 * USEC_PER_SEC;
		RUN_UNTIL(views_agree(), 30);
		run(12);
		sim.loss = 0.3;
		version =
			members_set_departures(sim.nodes[2].m, &d, 1, sim.now);
		for (i = 0; members_confirmed_version(sim.nodes[2].m) < version;
		     i++) {
			assert_in_range(i, 0, 100);
			members_ask_confirmation(sim.nodes[2].m);
			run(0.01);
		}
		killed = round % 10;
		for (i = 11; killed; i--)
			if (i != 2) {
				node_kill(i);
				killed--;
			}
		node_kill(2);
		memset(&sim.nodes[2].heard, 0, sizeof(d));
		node_start(2, false, &seed, 1);
		for (i = 0; i < 100 && !members_have_witnesses(sim.nodes[2].m);
		     i++) {
			members_ask_witnesses(sim.nodes[2].m);
			run(0.05);
		}
		if (members_have_witnesses(sim.nodes[2].m))
			assert_memory_equal(&sim.nodes[2].heard, &d, sizeof(d));
		else
			assert_in_range(round % 10, 6, 9);
		sim_end();
	}
}

/* Processes that all started again do not vouch for what was before. */
static void new_processes_are_no_witnesses(void **state)
{
	struct addr seed;
	int i;

	(void)state;
	addr_parse(&seed, "10.0.0.1:1000");
	sim_start(4, 1, false);
	RUN_UNTIL(views_agree(), 30);
	run(20);
	for (i = 0; i < 4; i++)
		node_kill(i);
	for (i = 0; i < 4; i++)
		node_start(i, false, &seed, i ? 1 : 0);
	for (i = 0; i < 100; i++) {
		members_ask_witnesses(sim.nodes[2].m);
		run(0.1);
		assert_false(members_have_witnesses(sim.nodes[2].m));
	}
	node_kill(2);
	run(5);
	node_start(2, false, &seed, 1);
	run(5);
	members_ask_witnesses(sim.nodes[2].m);
	RUN_UNTIL(members_have_witnesses(sim.nodes[2].m), 1);
	sim_end();
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(departures_reach_later_processes),
		cmocka_unit_test(a_guardian_outlasts_some_processes),
		cmocka_unit_test(new_processes_are_no_witnesses),
		cmocka_unit_test(nodes_join_from_settings),
		cmocka_unit_test(nodes_join_from_the_store),
		cmocka_unit_test(lost_store_responses_leave_one_lease_each),
		cmocka_unit_test(faulty_network_causes_no_deaths),
		cmocka_unit_test(dead_members_are_detected),
		cmocka_unit_test(restart_supersedes_old_process),
		cmocka_unit_test(replacement_joins_at_new_address),
		cmocka_unit_test(partition_heals_without_false_deaths),
		cmocka_unit_test(paused_node_declares_nobody_dead),
		cmocka_unit_test(leaving_is_known_within_2_s),
		cmocka_unit_test(separate_groups_merge),
		cmocka_unit_test(k_are_chosen_in_each_data_centre),
		cmocka_unit_test(restart_with_earlier_clock_supersedes),
	};

	if (sodium_init() < 0)
		return 1;
	return cmocka_run_group_tests(tests, NULL, NULL);
}
