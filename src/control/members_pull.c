#include "control/members_impl.h"

#include <stdlib.h>
#include <string.h>

#define PULL_PERIOD_US (10 * USEC_PER_SEC)
#define YOUNG_US (10 * USEC_PER_SEC) /* while others join as well */
#define YOUNG_PERIOD_US USEC_PER_SEC
#define ELSEWHERE_EVERY 3 /* of the pulls, one goes to another data centre */
#define PIECE_BYTES (32 * 1024)
#define PIECE_MEMBERS 256
#define ANSWER_BYTES (32 * 1024) /* to one that knows most members */

/* Asks one node for what differs from the members known here. */
void members_pull(struct members *m, const struct addr *from, int64_t now)
{
	struct peer_msg msg = {.kind = PEER_MEMBERS_PULL};

	memcpy(msg.members_pull.digests, m->digests, sizeof(m->digests));
	m->options.io.send(m->options.io.ctx, from, &msg, now);
}

/* Pulls from a random member every period, now and then from elsewhere. */
void members_pull_tick(struct members *m, int64_t now)
{
	const struct member_info *peer;

	if (now < m->pull_due_us)
		return;
	m->pull_due_us =
		now + (now - m->started_us < YOUNG_US ? YOUNG_PERIOD_US
						      : PULL_PERIOD_US);
	peer = members_random(m, ++m->pulls % ELSEWHERE_EVERY == 0);
	if (!peer)
		peer = members_random(m, m->pulls % ELSEWHERE_EVERY != 0);
	if (peer)
		members_pull(m, &peer->nodes, now);
}

/* Members on their way into one answer. */
struct answer {
	struct members *m;
	const struct peer_msg *pull;
	struct member_info *items;
	size_t n;
	size_t bytes; /* in this piece */
	size_t left;  /* bytes that the whole answer may still take */
	int64_t now;
};

static void send_piece(struct answer *a, bool more)
{
	struct control_io *io = &a->m->options.io;
	struct peer_msg msg = {.kind = PEER_MEMBERS};

	msg.members.items = a->items;
	msg.members.n = a->n;
	msg.members.more = more;
	io->send(io->ctx, &a->pull->from, &msg, a->now);
	a->n = 0;
	a->bytes = 0;
}

static void add(struct answer *a, const struct member *b)
{
	struct member_info info;
	size_t bytes;

	member_describe(b, &info);
	bytes = member_info_wire_size(&info);
	if (bytes > a->left)
		return;
	if (a->n == PIECE_MEMBERS || a->bytes + bytes > PIECE_BYTES)
		send_piece(a, true);
	a->items[a->n++] = info;
	a->bytes += bytes;
	a->left -= bytes;
}

static bool is_gone(const struct member *b)
{
	return b->info.state == MEMBER_DEAD || b->info.state == MEMBER_LEFT;
}

/* From a random bucket on, so that a bounded answer tells all in time. */
static void add_differing(struct answer *a, bool gone)
{
	const uint64_t *theirs = a->pull->members_pull.digests;
	uint32_t start =
		(uint32_t)gsl_rng_uniform_int(a->m->rng, MEMBERS_DIGESTS);
	const struct member *b;
	uint32_t i, bucket;

	for (i = 0; i < MEMBERS_DIGESTS; i++) {
		bucket = (start + i) % MEMBERS_DIGESTS;
		if (a->m->digests[bucket] == theirs[bucket])
			continue;
		for (b = a->m->buckets[bucket]; b; b = b->bucket_next)
			if (is_gone(b) == gone)
				add(a, b);
	}
}

/* One that joins knows next to nobody, and gets everyone at once. */
static bool is_joining(const struct peer_msg *pull)
{
	int i, empty = 0;

	for (i = 0; i < MEMBERS_DIGESTS; i++)
		empty += !pull->members_pull.digests[i];
	return empty > MEMBERS_DIGESTS / 2;
}

/*
 * Answers with the members of buckets whose digests differ, up to a bound:
 * claims first, because they are what takes work away from the dead.
 */
void members_answer_pull(struct members *m, const struct peer_msg *msg,
			 int64_t now)
{
	struct answer a = {.m = m, .pull = msg, .now = now};

	a.items = calloc(PIECE_MEMBERS, sizeof(*a.items));
	if (!a.items)
		return;
	a.left = is_joining(msg) ? SIZE_MAX : ANSWER_BYTES;
	add_differing(&a, true);
	add_differing(&a, false);
	if (a.n)
		send_piece(&a, false);
	free(a.items);
}
