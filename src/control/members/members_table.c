#include "control/members/members_impl.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Returns the record of a member, self included, or NULL. */
/* NOLINTNEXTLINE(readability-function-size): the macro of uthash is long */
struct member *member_find(const struct members *m,
			   const struct addr *node_addr)
{
	struct member *b;

	HASH_FIND(hh, m->by_addr, node_addr, sizeof(*node_addr), b);
	return b;
}

/* NOLINTNEXTLINE(readability-function-size): the macro of uthash is long */
static void table_put(struct members *m, struct member *b)
{
	HASH_ADD(hh, m->by_addr, info.node_addr, sizeof(b->info.node_addr), b);
}

static bool is_gone(const struct member *b)
{
	return b->info.state == MEMBER_DEAD || b->info.state == MEMBER_LEFT;
}

/*
 * Dead and left members count as absent, so that digests match between nodes
 * that remove them at different times. Suspicion does not change the digest,
 * as it is temporary.
 */
static void update_digest(struct members *m, struct member *b)
{
	uint64_t *digest = &m->digests[b->hash % MEMBERS_DIGESTS];

	*digest ^= b->digest;
	b->digest = 0;
	if (!is_gone(b))
		b->digest = pair_hash(b->hash, pair_hash(b->info.incarnation,
							 b->info.version));
	*digest ^= b->digest;
}

static struct member_set *status_set(struct members *m, const struct member *b)
{
	if (b == m->self)
		return NULL;
	if (is_gone(b))
		return &m->gone;
	if (b->info.state != MEMBER_ALIVE)
		return NULL;
	return b->data_centre == m->self->data_centre ? &m->local : &m->remote;
}

static void update_status_set(struct members *m, struct member *b)
{
	struct member_set *wanted = status_set(m, b);

	if (b->sets[SET_STATUS] == wanted)
		return;
	set_remove(b, SET_STATUS);
	if (wanted)
		set_add(wanted, b, SET_STATUS);
}

/* Inserts a new member at a random position in the rest of this round. */
static void start_probing(struct members *m, struct member *b)
{
	uint32_t left;

	if (set_add(&m->probes, b, SET_PROBES) < 0)
		return;
	if (m->probe_cursor >= m->probes.n)
		return;
	left = m->probes.n - m->probe_cursor;
	set_swap(&m->probes, m->probes.n - 1,
		 m->probe_cursor + (uint32_t)gsl_rng_uniform_int(m->rng, left),
		 SET_PROBES);
}

static void update_probing(struct members *m, struct member *b)
{
	bool wanted = b != m->self && !is_gone(b);

	if (wanted && !b->sets[SET_PROBES])
		start_probing(m, b);
	else if (!wanted)
		set_remove(b, SET_PROBES);
}

static void update_suspicion(struct members *m, struct member *b)
{
	bool suspect = b->info.state == MEMBER_SUSPECT;

	if (b->suspect == suspect)
		return;
	if (suspect)
		DL_APPEND2(m->suspects, b, suspect_prev, suspect_next);
	else
		DL_DELETE2(m->suspects, b, suspect_prev, suspect_next);
	b->suspect = suspect;
}

static void log_member(const struct member *b, enum member_state before)
{
	static const char *const names[] = {"alive", "suspect", "leaving",
					    "left", "dead"};
	char addr[ADDR_TEXT_SIZE];
	struct log_line line;

	if (!log_enabled(LOG_INFO))
		return;
	addr_format(&b->info.node_addr, addr);
	log_start(&line, LOG_INFO, "member");
	log_str(&line, "host", b->info.host);
	log_str(&line, "data_centre", b->info.data_centre);
	log_str(&line, "peer", addr);
	log_str(&line, "state", names[b->info.state]);
	log_str(&line, "before", names[before]);
	log_int(&line, "version", b->info.version);
	log_emit(&line);
}

/* Replaces a member's record, gossips it and calls options.changed. */
void member_update(struct members *m, struct member *b,
		   const struct member_info *info, int64_t now)
{
	struct member_info old = b->info;
	enum member_state before = old.state;

	m->counts[before]--;
	m->counts[info->state]++;
	if (before != info->state)
		b->state_since_us = now;
	b->info = *info;
	member_keep_departures(b, &old);
	b->data_centre = name_hash(info->data_centre);
	update_digest(m, b);
	update_status_set(m, b);
	update_probing(m, b);
	update_suspicion(m, b);
	gossip_enqueue(m, b);
	if (before != info->state)
		log_member(b, before);
	if (m->options.changed)
		m->options.changed(m->options.ctx, &b->info, now);
}

/* Adds an unknown member; NULL when out of memory or at MEMBERS_KNOWN_MAX. */
struct member *member_add(struct members *m, const struct member_info *info,
			  int64_t now)
{
	struct member *b;

	if (HASH_COUNT(m->by_addr) >= MEMBERS_KNOWN_MAX)
		return NULL;
	b = calloc(1, sizeof(*b));
	if (!b)
		return NULL;
	if (!m->self)
		m->self = b;
	b->info = *info;
	b->state_since_us = now;
	b->hash = XXH3_64bits(&info->node_addr, sizeof(info->node_addr));
	table_put(m, b);
	DL_APPEND2(m->buckets[b->hash % MEMBERS_DIGESTS], b, bucket_prev,
		   bucket_next);
	m->counts[info->state]++;
	member_update(m, b, info, now);
	return b;
}

/* NOLINTNEXTLINE(readability-function-size): the macro of uthash is long */
static void table_delete(struct members *m, struct member *b)
{
	HASH_DELETE(hh, m->by_addr, b);
}

/* Removes a member without notifying anyone. */
void member_remove(struct members *m, struct member *b)
{
	struct member **bucket = &m->buckets[b->hash % MEMBERS_DIGESTS];

	m->digests[b->hash % MEMBERS_DIGESTS] ^= b->digest;
	m->counts[b->info.state]--;
	DL_DELETE2(*bucket, b, bucket_prev, bucket_next);
	gossip_dequeue(m, b);
	if (b->suspect)
		DL_DELETE2(m->suspects, b, suspect_prev, suspect_next);
	set_remove(b, SET_STATUS);
	set_remove(b, SET_PROBES);
	table_delete(m, b);
	free(b->former);
	free(b);
}
