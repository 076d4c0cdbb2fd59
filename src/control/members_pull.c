#include "control/members_impl.h"

#include <stdlib.h>
#include <string.h>

#define PULL_PERIOD_US (10 * USEC_PER_SEC)
#define YOUNG_US (10 * USEC_PER_SEC) /* while others join as well */
#define YOUNG_PERIOD_US USEC_PER_SEC
#define ELSEWHERE_EVERY 3 /* of the pulls, one goes to another data centre */
#define PIECE_BYTES (32 * 1024)
#define PIECE_MEMBERS 256

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
struct piece {
	struct members *m;
	const struct addr *to;
	struct member_info *items;
	size_t n;
	size_t bytes;
	int64_t now;
};

static void send_piece(struct piece *p, bool more)
{
	struct control_io *io = &p->m->options.io;
	struct peer_msg msg = {.kind = PEER_MEMBERS};

	msg.members.items = p->items;
	msg.members.n = p->n;
	msg.members.more = more;
	io->send(io->ctx, p->to, &msg, p->now);
	p->n = 0;
	p->bytes = 0;
}

static void add_to_piece(struct piece *p, const struct member_info *info)
{
	size_t bytes = member_info_wire_size(info);

	if (p->n == PIECE_MEMBERS || p->bytes + bytes > PIECE_BYTES)
		send_piece(p, true);
	p->items[p->n++] = *info;
	p->bytes += bytes;
}

/* Answers with the members of every bucket whose digest differs. */
void members_answer_pull(struct members *m, const struct peer_msg *msg,
			 int64_t now)
{
	struct piece p = {.m = m, .to = &msg->from, .now = now};
	const struct member *b;
	bool differs = false;
	int i;

	p.items = calloc(PIECE_MEMBERS, sizeof(*p.items));
	if (!p.items)
		return;
	for (i = 0; i < MEMBERS_DIGESTS; i++) {
		if (m->digests[i] == msg->members_pull.digests[i])
			continue;
		differs = true;
		for (b = m->buckets[i]; b; b = b->bucket_next)
			add_to_piece(&p, &b->info);
	}
	if (differs)
		send_piece(&p, false);
	free(p.items);
}
