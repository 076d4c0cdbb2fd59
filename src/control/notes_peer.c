/*
 * Notes between nodes: a new one is pushed to a few members at once, and
 * whoever sees a higher number than its own pulls what it lacks.
 */
#include "control/notes_impl.h"

#include <string.h>

#define PUSH_NEAR 4 /* members of the own data centre */
#define PUSH_FAR 2  /* members of others, from a node that reads the store */
/* A confirmation is passed on when it is newer by so much. */
#define TOLD_STEP_US (400 * USEC_PER_MSEC)
#define ECHO_NEAR 4 /* members that hear of the number a little later */
#define ECHO_US (150 * USEC_PER_MSEC)
#define BATCH_NOTES 64
#define BATCH_BYTES (256 * 1024)
#define PULL_RETRY_US (250 * USEC_PER_MSEC)
#define REFUSED_RETRY_US (5 * USEC_PER_SEC)
#define CONFIRM_US (10 * USEC_PER_SEC)
#define CUT_OFF_US (30 * USEC_PER_SEC) /* then ask elsewhere too */
#define AGE_MAX_MS (INT64_C(100) * 365 * 86400 * 1000)

static int64_t age_ms(const struct notes *n, int64_t now)
{
	int64_t age = notes_stale_us(n, now) / USEC_PER_MSEC;

	return age < AGE_MAX_MS ? age : AGE_MAX_MS;
}

/* Tells a peer our number and how old that knowledge is. */
void send_state(struct notes *n, const struct addr *to, bool on_link,
		int64_t now)
{
	struct peer_msg msg = {.kind = PEER_NOTE};

	msg.note.number = notes_number(n);
	msg.note.age_ms = age_ms(n, now);
	if (on_link)
		n->o.io.send(n->o.io.ctx, to, &msg, now);
	else
		n->o.io.datagram(n->o.io.ctx, to, &msg);
}

static void fill_note(struct notes *n, struct peer_msg *msg,
		      const struct kept_note *k, int64_t now)
{
	memset(msg, 0, sizeof(*msg));
	msg->kind = PEER_NOTE;
	msg->note.number = k->number;
	msg->note.age_ms = age_ms(n, now);
	msg->note.text.data = (uint8_t *)k->text;
	msg->note.text.len = k->len;
}

static void push_to(struct notes *n, const struct member_info *m,
		    const struct kept_note *k, int64_t now)
{
	struct peer_msg msg;

	if (!m)
		return;
	fill_note(n, &msg, k, now);
	if (k->len > DATAGRAM_MAX ||
	    n->o.io.datagram(n->o.io.ctx, &m->nodes, &msg) < 0)
		send_state(n, &m->nodes, false, now);
}

/* Passes on a note that was just applied. */
void peer_push(struct notes *n, const struct kept_note *k, int64_t now)
{
	int far = n->chosen || n->appends ? PUSH_FAR : 0;
	int i;

	for (i = 0; i < PUSH_NEAR; i++)
		push_to(n, members_random(n->o.members, false), k, now);
	for (i = 0; i < far; i++)
		push_to(n, members_random(n->o.members, true), k, now);
	if (!n->echo_us)
		n->echo_us = now + ECHO_US;
}

/* Tells members the number of a new document; those behind will pull it. */
void peer_push_number(struct notes *n, int64_t now)
{
	const struct member_info *m;
	int i;

	for (i = 0; i < PUSH_NEAR + (n->chosen ? PUSH_FAR : 0); i++) {
		m = members_random(n->o.members, i >= PUSH_NEAR);
		if (m)
			send_state(n, &m->nodes, false, now);
	}
	if (!n->echo_us)
		n->echo_us = now + ECHO_US;
}

/* Random pushes miss a few members, and some are lost: tells the number. */
static void echo(struct notes *n, int64_t now)
{
	const struct member_info *m;
	int i;

	n->echo_us = 0;
	for (i = 0; i < ECHO_NEAR; i++) {
		m = members_random(n->o.members, false);
		if (m)
			send_state(n, &m->nodes, false, now);
	}
}

static void pull_from(struct notes *n, const struct addr *to, int64_t now)
{
	struct peer_msg msg = {.kind = PEER_NOTES_PULL};

	msg.notes_pull.after = notes_number(n);
	n->pulled_after = notes_number(n);
	n->pull_us = now + PULL_RETRY_US;
	if (n->refused == notes_number(n) + 1)
		n->pull_us = now + REFUSED_RETRY_US;
	n->o.io.datagram(n->o.io.ctx, to, &msg);
}

static void pull_random(struct notes *n, bool elsewhere, int64_t now)
{
	const struct member_info *m = members_random(n->o.members, elsewhere);

	if (!m)
		m = members_random(n->o.members, !elsewhere);
	if (m)
		pull_from(n, &m->nodes, now);
	else
		n->pull_us = now + PULL_RETRY_US;
}

/* A node that reads the store knows; the others ask somebody now and then. */
static void ask_confirmation(struct notes *n, int64_t now)
{
	bool cut_off = notes_stale_us(n, now) > CUT_OFF_US;

	n->confirm_us =
		now + CONFIRM_US / 2 + (int64_t)(notes_random(n) % CONFIRM_US);
	if (!n->watch || cut_off)
		pull_random(n, cut_off && n->rounds++ % 2, now);
}

/*
 * Passes a newer confirmation on, so that a data centre needs few readers of
 * the store. Each node tells a few, whatever the number of nodes.
 */
static void tell_confirmation(struct notes *n, int64_t now)
{
	if (!n->confirmed || n->confirmed_us - n->told_us < TOLD_STEP_US)
		return;
	n->told_us = n->confirmed_us;
	peer_push_number(n, now);
}

/* Pulls what is missing, first from whoever told of it. */
void peer_tick(struct notes *n, int64_t now)
{
	bool behind = n->wanted > notes_number(n);

	if (n->o.source == SOURCE_DOCUMENT)
		tell_confirmation(n, now);

	if (n->echo_us && now >= n->echo_us)
		echo(n, now);
	if (now < n->pull_us)
		return;
	if (behind && n->rounds++ % 3 == 0 && addr_is_set(&n->wanted_from))
		pull_from(n, &n->wanted_from, now);
	else if (behind || !notes_number(n))
		pull_random(n, n->rounds % 3 == 2, now);
	else if (now >= n->confirm_us)
		ask_confirmation(n, now);
}

/* A peer's message carried its number; the next tick pulls. */
void notes_heard(struct notes *n, const struct addr *peer, uint64_t number,
		 int64_t now)
{
	(void)now;
	if (number <= n->wanted && n->wanted > notes_number(n))
		return;
	if (number <= notes_number(n))
		return;
	n->wanted = number > n->wanted ? number : n->wanted;
	n->wanted_from = *peer;
	n->rounds = 0;
}

static void serve_pull(struct notes *n, const struct peer_msg *in, int64_t now)
{
	uint64_t number = in->notes_pull.after + 1;
	const struct kept_note *k;
	struct peer_msg msg;
	size_t bytes = 0;
	int count = 0;

	if (number > notes_number(n)) {
		send_state(n, &in->from, false, now);
		return;
	}
	for (; count < BATCH_NOTES && bytes < BATCH_BYTES; count++, number++) {
		k = number <= notes_number(n) ? kept_get(n, number) : NULL;
		if (!k || k->len > NOTE_PEER_MAX)
			break;
		fill_note(n, &msg, k, now);
		if (n->o.io.send(n->o.io.ctx, &in->from, &msg, now) < 0)
			return;
		bytes += k->len;
	}
	if (count)
		send_state(n, &in->from, true, now);
	else
		transfer_start(n, &in->from, now);
}

static void receive_note(struct notes *n, const struct peer_msg *msg,
			 int64_t now)
{
	int64_t age = msg->note.age_ms;

	if (msg->note.text.len)
		notes_arrived(n, msg->note.number,
			      (const char *)msg->note.text.data,
			      msg->note.text.len, now);
	notes_heard(n, &msg->from, msg->config_number, now);
	/* The end of a batch that brought something: go on at once. */
	if (!msg->note.text.len && notes_number(n) != n->pulled_after)
		n->pull_us = now;
	if (age >= 0 && age < AGE_MAX_MS &&
	    msg->config_number == notes_number(n))
		notes_confirm(n, now - age * USEC_PER_MSEC);
}

/* Takes in a message of another node's notes controller. */
void notes_receive(struct notes *n, const struct peer_msg *msg, int64_t now)
{
	switch (msg->kind) {
	case PEER_NOTES_PULL:
		serve_pull(n, msg, now);
		break;
	case PEER_NOTE:
		receive_note(n, msg, now);
		break;
	case PEER_SNAPSHOT:
		assembly_receive(n, msg, now);
		break;
	default:
		break;
	}
}

/* Frees what is being sent and received. */
void peer_free(struct notes *n)
{
	buffer_free(&n->packed);
	buffer_free(&n->assembly.bytes);
}
