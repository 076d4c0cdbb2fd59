/*
 * Gossip of notes between nodes. A node pushes each note that it applies to a
 * few random members; a node that learns of a higher number than its own pulls
 * the missing notes.
 */
#include "control/notes/notes_impl.h"

#include <string.h>

#define PUSH_LOCAL 4  /* members of the own data centre */
#define PUSH_REMOTE 2 /* members of others, from a node that reads the store */
/* Minimum advance of confirmed_us before it is announced again. */
#define CONFIRM_ADVANCE_MIN_US (400 * USEC_PER_MSEC)
/* Shortest time between questions for a proof. */
#define ASK_INTERVAL_US (100 * USEC_PER_MSEC)
#define REANNOUNCE_LOCAL 4 /* members of the own data centre */
#define REANNOUNCE_DELAY_US (150 * USEC_PER_MSEC)
#define PULL_BATCH_NOTES 64
#define PULL_BATCH_BYTES (256 * 1024)
#define PULL_RETRY_US (250 * USEC_PER_MSEC)
#define REJECTED_RETRY_US (5 * USEC_PER_SEC)
#define CONFIRM_INTERVAL_US (10 * USEC_PER_SEC)
#define CONFIRM_INTERVAL_STALE_US (5 * USEC_PER_SEC)
/* Older confirmations are requested from other data centres too. */
#define CONFIRM_STALE_US (30 * USEC_PER_SEC)
#define AGE_MAX_MS (INT64_C(100) * 365 * 86400 * 1000)

static int64_t age_ms(const struct notes *n, int64_t now)
{
	int64_t age = notes_stale_us(n, now) / USEC_PER_MSEC;

	return age < AGE_MAX_MS ? age : AGE_MAX_MS;
}

/*
 * Sends our number and the age of its confirmation to a peer, as the answer to
 * its question, or 0.
 */
void send_number(struct notes *n, const struct addr *to, bool on_link,
		 uint64_t question, int64_t now)
{
	struct peer_msg msg = {.kind = PEER_NOTE};

	msg.note.question = question;
	msg.note.number = notes_number(n);
	msg.note.age_ms = age_ms(n, now);
	note_evacuations_write(n, &msg, now);
	/* The names of many evacuated data centres may not fit a datagram. */
	if (on_link || (n->o.io.datagram(n->o.io.ctx, to, &msg) < 0 &&
			msg.note.evacuations.n))
		n->o.io.send(n->o.io.ctx, to, &msg, now);
}

static void fill_note(struct notes *n, struct peer_msg *msg,
		      const struct cached_note *note, int64_t now)
{
	memset(msg, 0, sizeof(*msg));
	msg->kind = PEER_NOTE;
	msg->note.number = note->number;
	msg->note.age_ms = age_ms(n, now);
	note_evacuations_write(n, msg, now);
	msg->note.text.data = (uint8_t *)note->text;
	msg->note.text.len = note->len;
}

static void push_to(struct notes *n, const struct member_info *m,
		    const struct cached_note *note, int64_t now)
{
	struct peer_msg msg;

	if (!m)
		return;
	fill_note(n, &msg, note, now);
	if (note->len > DATAGRAM_MAX ||
	    n->o.io.datagram(n->o.io.ctx, &m->node_addr, &msg) < 0)
		send_number(n, &m->node_addr, false, 0, now);
}

/* Pushes a note that was just applied to random members. */
void peer_push(struct notes *n, const struct cached_note *note, int64_t now)
{
	int remote = n->is_reader || n->appends ? PUSH_REMOTE : 0;
	int i;

	for (i = 0; i < PUSH_LOCAL; i++)
		push_to(n, members_random(n->o.members, false), note, now);
	for (i = 0; i < remote; i++)
		push_to(n, members_random(n->o.members, true), note, now);
	if (!n->reannounce_us)
		n->reannounce_us = now + REANNOUNCE_DELAY_US;
}

/* Announces our number to random members; those behind pull from us. */
void peer_announce_number(struct notes *n, int64_t now)
{
	const struct member_info *m;
	int i;

	for (i = 0; i < PUSH_LOCAL + (n->is_reader ? PUSH_REMOTE : 0); i++) {
		m = members_random(n->o.members, i >= PUSH_LOCAL);
		if (m)
			send_number(n, &m->node_addr, false, 0, now);
	}
	if (!n->reannounce_us)
		n->reannounce_us = now + REANNOUNCE_DELAY_US;
}

/*
 * Announces our number once more: random pushes miss some members, and
 * datagrams get lost.
 */
static void reannounce(struct notes *n, int64_t now)
{
	const struct member_info *m;
	int i;

	n->reannounce_us = 0;
	for (i = 0; i < REANNOUNCE_LOCAL; i++) {
		m = members_random(n->o.members, false);
		if (m)
			send_number(n, &m->node_addr, false, 0, now);
	}
}

/* Asks a peer for what follows our number, or for the age of its proof. */
static void ask(struct notes *n, const struct addr *to, int64_t now)
{
	uint64_t id = ++n->last_question;
	struct question *q = &n->questions[id % QUESTIONS_MAX];
	struct peer_msg msg = {.kind = PEER_NOTES_PULL};

	q->id = id;
	q->asked_us = now;
	n->asked_us = now;
	msg.notes_pull.after = notes_number(n);
	msg.notes_pull.question = id;
	n->o.io.datagram(n->o.io.ctx, to, &msg);
}

static void pull_from(struct notes *n, const struct addr *to, int64_t now)
{
	n->pulled_after = notes_number(n);
	n->next_pull_us = now + PULL_RETRY_US;
	if (n->rejected_number == notes_number(n) + 1)
		n->next_pull_us = now + REJECTED_RETRY_US;
	ask(n, to, now);
}

static void pull_random(struct notes *n, bool other_data_centre, int64_t now)
{
	const struct member_info *m =
		members_random(n->o.members, other_data_centre);

	if (!m)
		m = members_random(n->o.members, !other_data_centre);
	if (m)
		pull_from(n, &m->node_addr, now);
	else
		n->next_pull_us = now + PULL_RETRY_US;
}

/*
 * Pulls from a random peer to have our number confirmed. A node that watches
 * the store needs that only when its confirmation is too old.
 */
static void request_confirmation(struct notes *n, int64_t now)
{
	bool stale = notes_stale_us(n, now) > CONFIRM_STALE_US;
	int64_t interval =
		stale ? CONFIRM_INTERVAL_STALE_US : CONFIRM_INTERVAL_US;

	n->next_confirm_us = now + interval / 2 +
			     (int64_t)(notes_random(n) % (uint64_t)interval);
	if (!n->watch || stale)
		pull_random(n, stale && n->pull_rounds++ % 2, now);
}

/*
 * Announces a newer confirmation, so that a data centre needs few readers of
 * the store. Each node sends a fixed number of messages, independent of the
 * size of the cluster.
 */
static void announce_confirmation(struct notes *n, int64_t now)
{
	if (!n->confirmed ||
	    n->confirmed_us - n->announced_us < CONFIRM_ADVANCE_MIN_US)
		return;
	n->announced_us = n->confirmed_us;
	peer_announce_number(n, now);
}

/*
 * Sends announcements and pulls that are due. Missing notes are pulled in turn
 * from the node that announced them, a random member of another data centre
 * and one of this data centre.
 */
void peer_tick(struct notes *n, int64_t now)
{
	bool behind = n->newest_number > notes_number(n);

	if (n->o.source == SOURCE_DOCUMENT)
		announce_confirmation(n, now);

	if (n->reannounce_us && now >= n->reannounce_us)
		reannounce(n, now);
	if (now < n->next_pull_us)
		return;
	if (behind && n->pull_rounds++ % 3 == 0 && addr_is_set(&n->newest_from))
		pull_from(n, &n->newest_from, now);
	else if (behind || !notes_number(n) || note_evacuations_missing(n))
		pull_random(n, n->pull_rounds % 3 == 2, now);
	else if (now >= n->next_confirm_us)
		request_confirmation(n, now);
}

/*
 * Records the number carried by a peer's message; if it is higher than ours,
 * the next tick pulls.
 */
void notes_number_received(struct notes *n, const struct addr *peer,
			   uint64_t number, int64_t now)
{
	if (!n->heard_us)
		n->heard_us = now;
	n->heard_config |= number != 0;
	if ((number > n->newest_number ||
	     n->newest_number <= notes_number(n)) &&
	    number > notes_number(n)) {
		n->newest_number =
			number > n->newest_number ? number : n->newest_number;
		n->newest_from = *peer;
		n->pull_rounds = 0;
	}
	document_release(n, now);
}

static void serve_pull(struct notes *n, const struct peer_msg *in, int64_t now)
{
	uint64_t number = in->notes_pull.after + 1;
	const struct cached_note *note;
	struct peer_msg msg;
	size_t bytes = 0;
	int count = 0;

	if (number > notes_number(n)) {
		send_number(n, &in->from, false, in->notes_pull.question, now);
		return;
	}
	for (; count < PULL_BATCH_NOTES && bytes < PULL_BATCH_BYTES;
	     count++, number++) {
		note = number <= notes_number(n) ? note_cache_get(n, number)
						 : NULL;
		if (!note || note->len > PEER_PAYLOAD_MAX)
			break;
		fill_note(n, &msg, note, now);
		if (n->o.io.send(n->o.io.ctx, &in->from, &msg, now) < 0)
			return;
		bytes += note->len;
	}
	if (count)
		send_number(n, &in->from, true, in->notes_pull.question, now);
	else
		transfer_start(n, &in->from, in->notes_pull.question, now);
}

/*
 * Takes over the proof that a peer has for our number. The message may have
 * been under way for long, or have waited while this process was paused, so it
 * proves nothing later than its question. One that answers none only shows who
 * is worth asking.
 */
static void receive_proof(struct notes *n, const struct peer_msg *msg,
			  int64_t now)
{
	const struct question *q =
		&n->questions[msg->note.question % QUESTIONS_MAX];
	int64_t age_us = msg->note.age_ms * USEC_PER_MSEC;

	if (msg->note.question && q->id == msg->note.question)
		notes_confirm(n, q->asked_us - age_us);
	else if (now - age_us - n->confirmed_us >= CONFIRM_ADVANCE_MIN_US &&
		 now - n->asked_us >= ASK_INTERVAL_US)
		ask(n, &msg->from, now);
}

static void receive_note(struct notes *n, const struct peer_msg *msg,
			 int64_t now)
{
	bool complete = note_evacuations_receive(n, msg, now);
	int64_t age = msg->note.age_ms;

	if (msg->note.text.len)
		notes_add(n, msg->note.number,
			  (const char *)msg->note.text.data, msg->note.text.len,
			  now);
	notes_number_received(n, &msg->from, msg->config_number, now);
	/* End of a batch that made progress: pull the next one at once. */
	if (!msg->note.text.len && notes_number(n) != n->pulled_after)
		n->next_pull_us = now;
	if (complete && age >= 0 && age < AGE_MAX_MS &&
	    msg->config_number == notes_number(n))
		receive_proof(n, msg, now);
}

/* Handles a message of another node's notes controller. */
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
		reassembly_receive(n, msg, now);
		break;
	default:
		break;
	}
}

/* Frees the outgoing and incoming snapshots. */
void peer_free(struct notes *n)
{
	buffer_free(&n->packed);
	buffer_free(&n->reassembly.bytes);
}
