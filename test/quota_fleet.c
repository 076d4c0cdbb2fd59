#include "quota_fleet.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#define MAX_WAIT_US (20 * USEC_PER_MSEC)
#define ACCOUNT "aral"

struct fleet_datagram {
	struct peer_msg msg;
	size_t to;
	int64_t at_us;
	struct fleet_datagram *next;
};

struct fleet_waiting {
	size_t node;
	struct fleet_account *account;
	int64_t deadline_us;
	struct fleet_waiting *prev, *next;
};

struct wake_target {
	struct fleet *fleet;
	size_t node;
};

static struct wake_target wake_targets[FLEET_MAX];

/* Returns whether datagrams from node a reach node b. */
bool fleet_reachable(const struct fleet *f, size_t a, size_t b)
{
	bool a_partitioned =
		a % f->o.data_centres == f->partitioned_data_centre;
	bool b_partitioned =
		b % f->o.data_centres == f->partitioned_data_centre;

	return a_partitioned == b_partitioned;
}

static void enqueue_datagram(struct fleet *f, size_t from, size_t to,
			     const struct peer_msg *msg)
{
	struct fleet_datagram *d = calloc(1, sizeof(*d));
	size_t n = f->o.data_centres;

	d->msg = *msg;
	d->to = to;
	d->at_us = f->now + f->o.delay_us +
		   (int64_t)(gsl_rng_uniform(f->rng) * (double)f->o.delay_us);
	if (from % n != to % n)
		d->at_us += f->o.crossing_us;
	LL_PREPEND(f->in_flight, d);
}

static int send(void *ctx, const struct addr *to, struct peer_msg *msg)
{
	struct wake_target *t = ctx;
	struct fleet *f = t->fleet;
	size_t i;

	msg->from = f->nodes[t->node].addr;
	f->nodes[t->node].datagrams++;
	for (i = 0; i < f->o.nodes; i++) {
		if (!addr_equal(&f->nodes[i].addr, to) ||
		    !fleet_reachable(f, t->node, i) ||
		    gsl_rng_uniform(f->rng) < f->o.loss)
			continue;
		enqueue_datagram(f, t->node, i, msg);
		if (gsl_rng_uniform(f->rng) < f->o.duplicate)
			enqueue_datagram(f, t->node, i, msg);
	}
	return 0;
}

static void record_taken(struct fleet *f, struct fleet_account *a)
{
	double passed = (double)(f->now - a->reference_us) / USEC_PER_SEC;

	a->reference_level += a->rate * passed;
	if (a->reference_level > a->burst)
		a->reference_level = a->burst;
	a->reference_us = f->now;
	a->reference_level -= 1;
	if (a->reference_level < f->lowest_level)
		f->lowest_level = a->reference_level;
	a->taken++;
	f->taken++;
}

static enum quota_verdict try_take(struct fleet *f, struct fleet_account *a,
				   size_t node, bool first)
{
	int64_t retry;
	enum quota_verdict v = quota_take(f->nodes[node].quota, a->name, first,
					  f->now, &retry);

	if (v == QUOTA_TAKEN)
		record_taken(f, a);
	return v;
}

static void retry_waiting(struct fleet *f, size_t node)
{
	struct fleet_waiting *w, *next;

	DL_FOREACH_SAFE(f->waiting, w, next)
	{
		if (w->node != node)
			continue;
		if (try_take(f, w->account, node, false) == QUOTA_WAIT &&
		    f->now < w->deadline_us)
			continue;
		DL_DELETE(f->waiting, w);
		free(w);
	}
}

static void wake(void *ctx, const char *account, int64_t now)
{
	struct wake_target *t = ctx;

	(void)account;
	(void)now;
	retry_waiting(t->fleet, t->node);
}

static void store_replaced(void *ctx, int64_t now)
{
	struct fleet_node *n = ctx;

	quota_store_replaced(n->quota, now);
}

static void start_node(struct fleet *f, size_t i)
{
	struct fleet_node *n = &f->nodes[i];
	struct quota_options o = {.store = n->store,
				  .members = &f->views[i],
				  .self = n->addr,
				  .seed = f->o.seed + i,
				  .hold_us = f->o.hold_us,
				  .groups = f->o.groups,
				  .data_centres = (uint32_t)f->o.data_centres,
				  .data_centre = n->info.data_centre,
				  .ctx = &wake_targets[i],
				  .wake = wake};

	o.io.ctx = &wake_targets[i];
	o.io.datagram = send;
	o.incarnation = ++n->incarnation;
	n->info.incarnation = n->incarnation;
	n->quota = quota_new(&o, f->now);
	assert(n->quota);
	quota_config(n->quota, f->config, f->now);
	store_on_replaced(n->store, n, store_replaced);
	n->dead = false;
}

static void write_accounts(const struct fleet *f, struct buffer *text)
{
	const struct fleet_account *a;
	size_t i;

	for (i = 0; i < f->account_count; i++) {
		a = &f->accounts[i];
		buffer_printf(text,
			      "%s{\"name\":\"%s\",\"rate\":%g,\"burst\":%g}",
			      i ? "," : "", a->name, a->rate, a->burst);
	}
}

static struct config *make_config(const struct fleet *f,
				  const struct config *from, uint64_t number,
				  const char *section)
{
	struct note_faults faults = {0};
	struct buffer text = {0};
	struct config *c;

	buffer_printf(&text, "{\"release\":\"r%u\",\"%s\":{\"accounts\":[",
		      (unsigned)number, section);
	write_accounts(f, &text);
	buffer_printf(&text, "]}}");
	c = config_apply(from, number, (const char *)text.data, text.len, NULL,
			 &faults);
	if (!c && faults.n)
		fprintf(stderr, "%s: %s\n", faults.items[0].path,
			faults.items[0].text);
	assert(c);
	buffer_free(&text);
	return c;
}

static void open_accounts(struct fleet *f)
{
	const struct fleet_account one = {.name = ACCOUNT,
					  .rate = f->o.rate,
					  .burst = f->o.burst,
					  .demand_per_s = f->o.demand_per_s,
					  .data_centre = FLEET_ALL};
	struct fleet_account *a;
	size_t i;

	f->account_count = f->o.accounts ? f->o.account_count : 1;
	memcpy(f->accounts, f->o.accounts ? f->o.accounts : &one,
	       f->account_count * sizeof(one));
	for (i = 0; i < f->account_count; i++) {
		a = &f->accounts[i];
		a->reference_level = a->burst;
		a->reference_us = f->now;
		bucket_init(&a->central_bucket, a->rate, a->burst, a->burst,
			    f->now);
	}
}

/* Opens the fleet and starts all nodes. */
void fleet_open(struct fleet *f, const struct fleet_options *o)
{
	struct config *empty = config_new();
	size_t i;

	memset(f, 0, sizeof(*f));
	f->o = *o;
	f->now = 1000 * USEC_PER_SEC;
	f->partitioned_data_centre = SIZE_MAX;
	f->rng = gsl_rng_alloc(gsl_rng_taus2);
	gsl_rng_set(f->rng, o->seed);
	f->memory = memory_store_new();
	open_accounts(f);
	f->config = make_config(f, empty, 1, "added");
	config_put(empty);
	for (i = 0; i < o->nodes; i++) {
		struct fleet_node *n = &f->nodes[i];
		char text[ADDR_TEXT_SIZE];

		wake_targets[i].fleet = f;
		wake_targets[i].node = i;
		f->views[i].fleet = f;
		f->views[i].node = i;
		f->views[i].counted_us = 0;
		n->index = i;
		snprintf(text, sizeof(text), "10.0.%u.%u:7000",
			 (unsigned)(i % o->data_centres), (unsigned)i);
		addr_parse(&n->addr, text);
		n->info.node_addr = n->addr;
		snprintf(n->info.host, sizeof(n->info.host), "%u", (unsigned)i);
		snprintf(n->info.data_centre, sizeof(n->info.data_centre),
			 "dc%u", (unsigned)(i % o->data_centres));
		n->store = store_open_memory(f->memory);
	}
	for (i = 0; i < o->nodes; i++)
		start_node(f, i);
}

void fleet_close(struct fleet *f)
{
	struct fleet_datagram *d, *d_next;
	struct fleet_waiting *w, *w_next;
	size_t i;

	for (i = 0; i < f->o.nodes; i++) {
		store_close(f->nodes[i].store);
		if (f->nodes[i].quota)
			quota_free(f->nodes[i].quota);
	}
	LL_FOREACH_SAFE(f->in_flight, d, d_next)
	free(d);
	DL_FOREACH_SAFE(f->waiting, w, w_next)
	free(w);
	memory_store_free(f->memory);
	config_put(f->config);
	gsl_rng_free(f->rng);
}

static void deliver(struct fleet *f)
{
	struct fleet_datagram *d, *next, *due = NULL;
	struct fleet_node *n;

	LL_FOREACH_SAFE(f->in_flight, d, next)
	{
		if (d->at_us > f->now)
			continue;
		LL_DELETE(f->in_flight, d);
		LL_PREPEND(due, d);
	}
	while ((d = due)) {
		LL_DELETE(due, d);
		n = &f->nodes[d->to];
		/* Datagrams to a paused process wait in its socket. */
		if (n->paused) {
			d->at_us = f->now + f->o.step_us;
			LL_PREPEND(f->in_flight, d);
			continue;
		}
		if (!n->dead)
			quota_receive(n->quota, &d->msg, f->now);
		free(d);
	}
}

/* A request of the account arrives at the node. */
void fleet_arrive(struct fleet *f, struct fleet_account *a, size_t node)
{
	struct fleet_waiting *w;

	f->arrived++;
	a->arrived++;
	if (bucket_take(&a->central_bucket, 1, f->now))
		a->central_taken++;
	else
		f->central_refused++;
	if (try_take(f, a, node, true) != QUOTA_WAIT)
		return;
	w = calloc(1, sizeof(*w));
	w->node = node;
	w->account = a;
	w->deadline_us = f->now + MAX_WAIT_US;
	DL_APPEND(f->waiting, w);
}

/* Returns a node that runs, of the account's data centre if it has one. */
static size_t choose_node(struct fleet *f, const struct fleet_account *a)
{
	size_t node;

	do {
		node = gsl_rng_uniform_int(f->rng, f->o.nodes);
		if (a->data_centre != FLEET_ALL)
			node += a->data_centre - node % f->o.data_centres;
	} while (node >= f->o.nodes || f->nodes[node].dead ||
		 f->nodes[node].paused);
	return node;
}

static void generate_arrivals(struct fleet *f, struct fleet_account *a)
{
	double p = a->demand_per_s * (double)f->o.step_us / USEC_PER_SEC;

	while (gsl_rng_uniform(f->rng) < p) {
		p -= 1;
		if (gsl_rng_uniform(f->rng) < f->o.skew) {
			if (!f->nodes[0].dead && !f->nodes[0].paused)
				fleet_arrive(f, a, 0);
			continue;
		}
		fleet_arrive(f, a, choose_node(f, a));
	}
}

static void step(struct fleet *f)
{
	size_t i;

	f->now += f->o.step_us;
	deliver(f);
	for (i = 0; i < f->account_count; i++)
		generate_arrivals(f, &f->accounts[i]);
	for (i = 0; i < f->o.nodes; i++) {
		if (f->nodes[i].paused || f->nodes[i].dead)
			continue;
		if (f->now % (5 * USEC_PER_MSEC) < f->o.step_us) {
			store_tick(f->nodes[i].store, f->now);
			quota_tick(f->nodes[i].quota, f->now);
			retry_waiting(f, i);
		}
	}
}

/* Runs the fleet for us microseconds of virtual time. */
void fleet_run(struct fleet *f, int64_t us)
{
	int64_t end = f->now + us;

	while (f->now < end)
		step(f);
	f->refused = f->arrived - f->taken;
}

/* Applies another rate and burst to every node at once. */
void fleet_set_rate(struct fleet *f, double rate, double burst)
{
	struct config *c;
	size_t i;

	f->accounts[0].rate = rate;
	f->accounts[0].burst = burst;
	c = make_config(f, f->config, 2, "changed");
	config_put(f->config);
	f->config = c;
	for (i = 0; i < f->o.nodes; i++)
		if (!f->nodes[i].dead)
			quota_config(f->nodes[i].quota, c, f->now);
}

/* Starts a new process at the address of a node. */
void fleet_restart(struct fleet *f, size_t node)
{
	fleet_kill(f, node);
	start_node(f, node);
}

/* Kills a process: it returns no slices and sends no messages. */
void fleet_kill(struct fleet *f, size_t node)
{
	struct fleet_node *n = &f->nodes[node];

	store_close(n->store);
	n->store = store_open_memory(f->memory);
	if (n->quota)
		quota_free(n->quota);
	n->quota = NULL;
	n->dead = true;
	n->killed_us = f->now;
}

/* Goes back to the saved store; the nodes learn of it over a second. */
void fleet_restore_store(struct fleet *f, int64_t era)
{
	size_t i;

	if (memory_store_restore(f->memory) < 0)
		abort();
	for (i = 0; i < f->o.nodes; i++) {
		if (f->nodes[i].quota)
			store_learn_era(f->nodes[i].store, era, 0, f->now);
		fleet_run(f, USEC_PER_SEC / (int64_t)f->o.nodes);
	}
}

/* Sets the same faults on every node's store client. */
void fleet_store_faults(struct fleet *f, const struct store_faults *faults)
{
	size_t i;

	for (i = 0; i < f->o.nodes; i++)
		store_set_faults(f->nodes[i].store, faults);
}

/* Resets the counts of arrivals, but not the reference bucket. */
void fleet_reset_counts(struct fleet *f)
{
	f->arrived = 0;
	f->taken = 0;
	f->refused = 0;
	f->central_refused = 0;
}
