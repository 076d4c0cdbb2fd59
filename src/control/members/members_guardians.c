/*
 * Guardians: the members that keep what this host has promised, should its
 * process end. They are the same ones for each process of the host, so that the
 * next one knows whom to ask.
 */
#include "control/members/members_impl.h"

#define GUARDIANS_MAX 7
/*
 * A guardian that has run for longer than this process, by this much, has heard
 * what the process before it told lately. What was told earlier contradicts no
 * announcement that is still on its way.
 */
#define WITNESS_AGE_US (6 * USEC_PER_SEC)

struct guardians {
	struct member *items[GUARDIANS_MAX];
	uint64_t ranks[GUARDIANS_MAX];
	int n;
};

/* Inserts a member if it is among the first GUARDIANS_MAX by rank. */
static void consider(struct guardians *g, struct member *b, uint64_t rank)
{
	int i = g->n;

	if (i == GUARDIANS_MAX && rank <= g->ranks[i - 1])
		return;
	if (i < GUARDIANS_MAX)
		g->n++;
	else
		i--;
	for (; i > 0 && g->ranks[i - 1] < rank; i--) {
		g->items[i] = g->items[i - 1];
		g->ranks[i] = g->ranks[i - 1];
	}
	g->items[i] = b;
	g->ranks[i] = rank;
}

/* Chooses the guardians of this host by rendezvous hash. */
static void choose(const struct members *m, struct guardians *g)
{
	struct member *b;
	uint32_t i;

	g->n = 0;
	for (i = 0; i < m->probes.n; i++) {
		b = m->probes.items[i];
		consider(g, b, pair_hash(b->hash, m->self->hash));
	}
}

/*
 * So many guardians vouch for the past, and so many have to confirm what is
 * told: any two such sets have a guardian in common. Few vouch, as many
 * processes may end together; to confirm is asked of all of them at any time.
 */
static int witness_quorum(const struct guardians *g)
{
	return g->n / 4 + 1;
}

static int confirmation_quorum(const struct guardians *g)
{
	return g->n + 1 - witness_quorum(g);
}

/* Returns the newest version that the present process of b has confirmed. */
static uint32_t confirmed_by(const struct member *b)
{
	return b->confirmed_incarnation == b->info.incarnation
		       ? b->confirmed_version
		       : 0;
}

/* Whether a process has run since long before this one. */
static bool is_older(const struct members *m, uint64_t incarnation)
{
	return incarnation + WITNESS_AGE_US <= m->self->info.incarnation;
}

/* Whether b knows, and has told, what the process before this one told. */
static bool is_witness(const struct members *m, const struct member *b)
{
	return b->confirmed_version && is_older(m, b->confirmed_incarnation);
}

/* Sends the record of self to a member, whose ack confirms it. */
static void show_record(struct members *m, struct member *b)
{
	struct shown_record *shown = &m->shown[m->next_shown++ % SHOWN_MAX];

	shown->sequence = ++m->last_sequence;
	shown->version = m->self->info.version;
	gossip_enqueue(m, m->self);
	members_send_changes(m, PEER_PROBE, &b->info.node_addr, shown->sequence,
			     NULL);
}

size_t members_guardian_count(const struct members *m)
{
	return m->probes.n < GUARDIANS_MAX ? m->probes.n : GUARDIANS_MAX;
}

void members_ask_confirmation(struct members *m)
{
	struct guardians g;
	int i;

	choose(m, &g);
	for (i = 0; i < g.n; i++)
		if (confirmed_by(g.items[i]) < m->self->info.version)
			show_record(m, g.items[i]);
}

uint32_t members_confirmed_version(const struct members *m)
{
	uint32_t version, most = 0;
	struct guardians g;
	int i, j, n;

	choose(m, &g);
	for (i = 0; i < g.n; i++) {
		version = confirmed_by(g.items[i]);
		for (j = 0, n = 0; j < g.n; j++)
			n += confirmed_by(g.items[j]) >= version;
		if (n >= confirmation_quorum(&g) && version > most)
			most = version;
	}
	return most;
}

void members_ask_witnesses(struct members *m)
{
	struct guardians g;
	int i;

	choose(m, &g);
	for (i = 0; i < g.n; i++)
		if (!is_witness(m, g.items[i]) &&
		    is_older(m, g.items[i]->info.incarnation))
			show_record(m, g.items[i]);
}

bool members_have_witnesses(const struct members *m)
{
	struct guardians g;
	int i, n = 0;

	if (!m->knows_members)
		return false;
	choose(m, &g);
	for (i = 0; i < g.n; i++)
		n += is_witness(m, g.items[i]);
	return n >= witness_quorum(&g);
}

/* Learns from the ack of a probe what its sender has merged. */
void members_hear_ack(struct members *m, const struct peer_msg *msg)
{
	struct member *b = member_find(m, &msg->from);
	int i;

	m->heard = true;
	for (i = 0; b && i < SHOWN_MAX; i++) {
		if (m->shown[i].sequence != msg->probe.sequence)
			continue;
		if (b->confirmed_incarnation != msg->incarnation ||
		    b->confirmed_version < m->shown[i].version)
			b->confirmed_version = m->shown[i].version;
		b->confirmed_incarnation = msg->incarnation;
	}
}

/* Asks a process that has run for long who the members are. */
static void pull_from_older(struct members *m, int64_t now)
{
	struct guardians g;
	int i;

	choose(m, &g);
	for (i = 0; i < g.n; i++)
		if (g.items[i]->info.state == MEMBER_ALIVE &&
		    is_older(m, g.items[i]->info.incarnation)) {
			members_pull(m, &g.items[i]->info.node_addr, now);
			return;
		}
}

/*
 * Learns who the members are from a process that has run for long enough to
 * know them all; one that has not may know of such a process.
 */
void members_hear_members(struct members *m, const struct peer_msg *msg,
			  int64_t now)
{
	m->heard = true;
	if (m->knows_members || msg->members.more)
		return;
	m->knows_members = is_older(m, msg->incarnation);
	if (!m->knows_members)
		pull_from_older(m, now);
}
