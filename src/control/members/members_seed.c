#include "control/members/members_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * The store holds at most SEEDS_PER_DATA_CENTRE seeds of each data centre,
 * under seeds/DC/INDEX with a lease. The first nodes of a data centre by
 * rendezvous hash acquire them, beginning with the index that is their rank.
 */
#define PREFIX "seeds/"
#define SEEDS_PER_DATA_CENTRE 3
#define LEASE_TTL_S 20
#define KEEP_ALIVE_PERIOD_US (6 * USEC_PER_SEC)
#define RETRY_US (10 * USEC_PER_SEC)
#define FIRST_TRY_US USEC_PER_SEC
/* After the store lost the leases: time in which entries have to be back. */
#define HURRY_US (4 * USEC_PER_SEC)
#define HURRY_RETRY_US (200 * USEC_PER_MSEC)
/* Time between reads of the seeds; doubles while no other member is known. */
#define LIST_MIN_US (250 * USEC_PER_MSEC)
#define LIST_MAX_US (16 * USEC_PER_SEC)
#define STORE_TIMEOUT_US (2 * USEC_PER_SEC)

/* Purpose of a store operation, passed as the tag of its result. */
enum seed_step {
	STEP_LIST,
	STEP_GRANT,
	STEP_PUT,
	STEP_READ_BACK,
	STEP_KEEP_ALIVE,
	STEP_REVOKE,
};

static void on_store_result(void *ctx, uint64_t tag,
			    const struct store_result *r, int64_t now);

static void submit(struct seed_lease *s, struct store_op *op,
		   enum seed_step step, int64_t now)
{
	struct store_done done = {.ctx = s, .tag = step, .fn = on_store_result};

	op->priority = STORE_SEED;
	op->timeout_us = STORE_TIMEOUT_US;
	store_submit(s->store, op, &done, now);
}

static int64_t jittered(const struct members *m, int64_t us)
{
	return us / 2 + (int64_t)(gsl_rng_uniform(m->rng) * (double)us);
}

static void retry_later(struct seed_lease *s, int64_t now)
{
	s->state = SEED_NONE;
	s->due_us = now + jittered(s->members, now < s->hurry_until_us
						       ? HURRY_RETRY_US
						       : RETRY_US);
}

/* Returns -1 if another writer has damaged the entry. */
static int read_entry(const struct store_entry *e, struct addr *a)
{
	char text[ADDR_TEXT_SIZE];

	if (e->len >= sizeof(text))
		return -1;
	memcpy(text, e->value, e->len);
	text[e->len] = 0;
	return addr_parse(a, text);
}

static void add_stored_seed(struct members *m, const struct store_entry *e)
{
	struct addr a;

	if (m->stored_seed_count == STORED_SEEDS_MAX || read_entry(e, &a) < 0 ||
	    addr_equal(&a, &m->self->info.node_addr))
		return;
	m->stored_seeds[m->stored_seed_count++] = a;
}

static bool is_own_entry(const struct seed_lease *s,
			 const struct store_entry *e)
{
	return !strcmp(e->key, s->key) && e->len == strlen(s->value) &&
	       !memcmp(e->value, s->value, e->len);
}

/* Gives up the seed that another writer has overwritten, to write it again. */
static void check_held(struct seed_lease *s, const struct store_entry *e,
		       int64_t now)
{
	if (s->state != SEED_HELD || strcmp(e->key, s->key) ||
	    is_own_entry(s, e))
		return;
	s->state = SEED_NONE;
	s->conflicts = 0;
	s->due_us = now;
}

static void on_listed(struct seed_lease *s, const struct store_result *r,
		      int64_t now)
{
	struct members *m = s->members;
	size_t i;

	if (r->outcome != STORE_DONE)
		return;
	m->stored_seed_count = 0;
	for (i = 0; i < r->n; i++) {
		add_stored_seed(m, &r->entries[i]);
		check_held(s, &r->entries[i], now);
	}
	if (!s->listed)
		s->due_us = now + jittered(m, FIRST_TRY_US);
	s->listed = true;
	if (m->stored_seed_count)
		members_join(m, now);
}

/* Lets the next reads follow one another quickly. */
void seed_lease_met_others(struct seed_lease *s)
{
	s->list_wait_us = LIST_MIN_US;
}

/* Reads the seeds of all data centres from the store, when it is due. */
void seed_lease_list(struct seed_lease *s, int64_t now)
{
	struct store_op op = {.kind = STORE_LIST};

	op.list.prefix = PREFIX;
	op.list.limit = STORED_SEEDS_MAX;
	if (now < s->list_due_us)
		return;
	s->list_due_us = now + jittered(s->members, s->list_wait_us);
	if (s->list_wait_us < LIST_MAX_US)
		s->list_wait_us *= 2;
	submit(s, &op, STEP_LIST, now);
}

static void set_held(struct seed_lease *s, int64_t now)
{
	s->state = SEED_HELD;
	s->due_us = now + KEEP_ALIVE_PERIOD_US;
}

/* After a lost response, the key shows whether the write took effect. */
static void on_read_back(struct seed_lease *s, const struct store_result *r,
			 int64_t now)
{
	if (r->outcome == STORE_DONE && r->n && is_own_entry(s, &r->entries[0]))
		set_held(s, now);
	else
		retry_later(s, now);
}

/* Writes the entry if the key has this revision; 0: if it is absent. */
static void put_entry(struct seed_lease *s, int64_t mod_revision, int64_t now)
{
	const char *const reads[] = {s->key};
	struct store_compare compare = {.key = s->key,
					.mod_revision = mod_revision};
	struct store_write write = {.key = s->key,
				    .value = s->value,
				    .len = strlen(s->value),
				    .lease = s->lease};
	struct store_op op = {.kind = STORE_TXN};

	op.txn.compares = &compare;
	op.txn.compare_count = 1;
	op.txn.writes = &write;
	op.txn.write_count = 1;
	op.txn.reads = reads;
	op.txn.read_count = 1;
	submit(s, &op, STEP_PUT, now);
}

static void on_put(struct seed_lease *s, const struct store_result *r,
		   int64_t now)
{
	struct store_op op = {.kind = STORE_GET, .key = s->key};
	struct addr holder;

	if (r->outcome == STORE_DONE) {
		set_held(s, now);
	} else if (r->outcome == STORE_UNKNOWN) {
		submit(s, &op, STEP_READ_BACK, now);
	} else if (r->outcome == STORE_CONFLICT && r->n &&
		   (is_own_entry(s, &r->entries[0]) ||
		    read_entry(&r->entries[0], &holder) < 0)) {
		/* Under a lease that was lost, or damaged: it needs ours. */
		put_entry(s, r->entries[0].mod_revision, now);
	} else {
		/* Ranks change, so this index may be held by another node. */
		s->conflicts++;
		retry_later(s, now);
	}
}

static void on_granted(struct seed_lease *s, const struct store_result *r,
		       int64_t now)
{
	if (r->outcome != STORE_DONE) {
		retry_later(s, now);
		return;
	}
	s->lease = r->lease;
	put_entry(s, 0, now);
}

static void on_keep_alive(struct seed_lease *s, const struct store_result *r,
			  int64_t now)
{
	/* No lease: it has expired, and the store has deleted the key. */
	if (r->outcome == STORE_DONE && !r->lease)
		retry_later(s, now);
	else
		set_held(s, now);
}

static void on_store_result(void *ctx, uint64_t tag,
			    const struct store_result *r, int64_t now)
{
	struct seed_lease *s = ctx;

	if (s->lost && tag != STEP_LIST) {
		s->lost = false;
		retry_later(s, now);
		return;
	}
	switch ((enum seed_step)tag) {
	case STEP_LIST:
		on_listed(s, r, now);
		break;
	case STEP_GRANT:
		on_granted(s, r, now);
		break;
	case STEP_PUT:
		on_put(s, r, now);
		break;
	case STEP_READ_BACK:
		on_read_back(s, r, now);
		break;
	case STEP_KEEP_ALIVE:
		on_keep_alive(s, r, now);
		break;
	case STEP_REVOKE:
		retry_later(s, now);
		break;
	}
}

/* Revokes the seed lease, with which the store deletes the key. */
void seed_lease_release(struct seed_lease *s, int64_t now)
{
	struct store_op op = {.kind = STORE_LEASE_REVOKE};

	if (s->state != SEED_HELD)
		return;
	op.lease.id = s->lease;
	s->state = SEED_PENDING;
	submit(s, &op, STEP_REVOKE, now);
}

static void keep_alive(struct seed_lease *s, int64_t now)
{
	struct store_op op = {.kind = STORE_LEASE_RENEW};

	op.lease.id = s->lease;
	s->state = SEED_PENDING;
	submit(s, &op, STEP_KEEP_ALIVE, now);
}

static void acquire(struct seed_lease *s, int rank, int64_t now)
{
	const struct member_info *self = &s->members->self->info;
	struct store_op op = {.kind = STORE_LEASE_GRANT};

	snprintf(s->key, sizeof(s->key), PREFIX "%s/%d", self->data_centre,
		 (rank + s->conflicts) % SEEDS_PER_DATA_CENTRE);
	addr_format(&self->node_addr, s->value);
	op.lease.ttl_s = LEASE_TTL_S;
	s->state = SEED_PENDING;
	submit(s, &op, STEP_GRANT, now);
}

/* Acquires, keeps alive or revokes this node's seed lease. */
void seed_lease_tick(struct seed_lease *s, int64_t now)
{
	struct members *m = s->members;
	int rank;

	if (s->state == SEED_PENDING || !s->listed || now < s->due_us)
		return;
	rank = members_rank(m, name_hash(PREFIX), SEEDS_PER_DATA_CENTRE);
	if (s->state == SEED_HELD && rank < 0)
		seed_lease_release(s, now);
	else if (s->state == SEED_HELD)
		keep_alive(s, now);
	else if (rank >= 0)
		acquire(s, rank, now);
	else
		s->due_us = now + jittered(m, RETRY_US);
}

/*
 * Acquires the entry again under a new lease: the store may have given the id
 * of the former one to another node.
 */
void seed_lease_store_replaced(struct seed_lease *s, int64_t now)
{
	s->hurry_until_us = now + HURRY_US;
	s->list_due_us = now;
	s->conflicts = 0;
	if (s->state == SEED_PENDING)
		s->lost = true;
	else
		s->state = SEED_NONE;
	s->due_us = now;
}

/* Returns NULL when out of memory. */
struct seed_lease *seed_lease_new(struct members *m)
{
	struct seed_lease *s = calloc(1, sizeof(*s));

	if (!s)
		return NULL;
	s->members = m;
	s->store = m->options.store;
	s->list_wait_us = LIST_MIN_US;
	return s;
}
