#include "wire/wire_impl.h"

#include <stdlib.h>
#include <string.h>

#define ENVELOPE_FIELDS 5 /* kind, from, incarnation, number, content */
/* Store era and its age; absent in messages of older versions. */
#define ENVELOPE_ERA_FIELDS 2
/* A question follows; it is absent in messages of older versions. */
#define PULL_FIELDS 1
#define NOTE_FIELDS 3
/* The question and the evacuations, in that order. */
#define NOTE_EVACUATIONS_FIELDS (NOTE_FIELDS + 2)

static void write_digests(struct writer *w, const uint64_t *digests)
{
	int i;

	write_array(w, MEMBERS_DIGESTS);
	for (i = 0; i < MEMBERS_DIGESTS; i++)
		write_uint(w, digests[i]);
}

static void write_note(struct writer *w, const struct peer_msg *m)
{
	write_array(w, m->note.evacuations.known ? NOTE_EVACUATIONS_FIELDS
						 : NOTE_FIELDS + 1);
	write_uint(w, m->note.number);
	write_uint(w, m->note.age_ms < 0 ? 0 : m->note.age_ms);
	write_bytes(w, m->note.text.data, m->note.text.len);
	write_uint(w, m->note.question);
	if (m->note.evacuations.known)
		write_evacuations(w, &m->note.evacuations);
}

static void write_content(struct writer *w, const struct peer_msg *m)
{
	switch (m->kind) {
	case PEER_PROBE:
	case PEER_PROBE_ACK:
	case PEER_PROBE_REQUEST:
		write_array(w, 3);
		write_uint(w, m->probe.sequence);
		write_addr(w, &m->probe.target);
		write_members(w, m->probe.changes, m->probe.change_count);
		break;
	case PEER_MEMBERS_PULL:
		write_digests(w, m->members_pull.digests);
		break;
	case PEER_MEMBERS:
		write_array(w, 2);
		write_members(w, m->members.items, m->members.n);
		write_bool(w, m->members.more);
		break;
	case PEER_NOTES_PULL:
		write_array(w, PULL_FIELDS + 1);
		write_uint(w, m->notes_pull.after);
		write_uint(w, m->notes_pull.question);
		break;
	case PEER_NOTE:
		write_note(w, m);
		break;
	case PEER_SNAPSHOT:
		write_array(w, 4);
		write_uint(w, m->snapshot.number);
		write_uint(w, m->snapshot.part);
		write_uint(w, m->snapshot.parts);
		write_bytes(w, m->snapshot.bytes.data, m->snapshot.bytes.len);
		break;
	case PEER_LOAN_REQUEST:
		write_loan_request(w, &m->loan_request);
		break;
	case PEER_LOAN_GRANT:
		write_loan_grant(w, &m->loan_grant);
		break;
	case PEER_LOAN_SPENT:
		write_loan_request(w, &m->loan_spent);
		break;
	case PEER_QUERY:
	case PEER_QUERY_RESPONSE:
		write_array(w, 2);
		write_uint(w, m->query.id);
		write_bytes(w, m->query.text.data, m->query.text.len);
		break;
	case PEER_STANDBY:
		write_standby(w, &m->standby);
		break;
	case PEER_POISON:
		write_poison_facts(w, m->poison.items, m->poison.n);
		break;
	}
}

/* Writes a message: an array of the envelope fields and the content. */
void write_peer_msg(struct writer *w, const struct peer_msg *m)
{
	write_array(w, ENVELOPE_FIELDS + ENVELOPE_ERA_FIELDS);
	write_uint(w, m->kind);
	write_addr(w, &m->from);
	write_uint(w, m->incarnation);
	write_uint(w, m->config_number);
	write_content(w, m);
	write_uint(w, (uint64_t)m->store_era);
	write_uint(w, (uint64_t)m->store_era_age_ms);
}

static void read_probe(struct reader *r, struct peer_msg *m)
{
	struct reader sub;

	reader_array(r, &sub, 3);
	m->probe.sequence = read_uint(&sub, UINT64_MAX);
	read_addr(&sub, &m->probe.target);
	m->probe.change_count = read_members(&sub, &m->probe.changes);
	r->failed |= sub.failed;
}

static void read_digests(struct reader *r, struct peer_msg *m)
{
	struct reader list;
	int i;

	reader_array(r, &list, MEMBERS_DIGESTS);
	for (i = 0; i < MEMBERS_DIGESTS; i++)
		m->members_pull.digests[i] = read_uint(&list, UINT64_MAX);
	r->failed |= list.failed;
}

static void read_member_list(struct reader *r, struct peer_msg *m)
{
	struct reader sub;

	reader_array(r, &sub, 2);
	m->members.n = read_members(&sub, &m->members.items);
	m->members.more = read_bool(&sub);
	r->failed |= sub.failed;
}

static void read_note(struct reader *r, struct peer_msg *m)
{
	struct reader sub;

	reader_array(r, &sub, NOTE_FIELDS);
	m->note.number = read_uint(&sub, UINT64_MAX);
	m->note.age_ms = (int64_t)read_uint(&sub, INT64_MAX);
	read_buffer(&sub, &m->note.text, PEER_BYTES_MAX);
	if (sub.n > NOTE_FIELDS)
		m->note.question = read_uint(&sub, UINT64_MAX);
	if (sub.n >= NOTE_EVACUATIONS_FIELDS)
		read_evacuations(&sub, &m->note.evacuations);
	r->failed |= sub.failed;
}

static void read_snapshot(struct reader *r, struct peer_msg *m)
{
	struct reader sub;

	reader_array(r, &sub, 4);
	m->snapshot.number = read_uint(&sub, UINT64_MAX);
	m->snapshot.part = (uint32_t)read_uint(&sub, UINT32_MAX);
	m->snapshot.parts = (uint32_t)read_uint(&sub, UINT32_MAX);
	read_buffer(&sub, &m->snapshot.bytes, PEER_BYTES_MAX);
	r->failed |= sub.failed;
}

static void read_query(struct reader *r, struct peer_msg *m)
{
	struct reader sub;

	reader_array(r, &sub, 2);
	m->query.id = read_uint(&sub, UINT64_MAX);
	read_buffer(&sub, &m->query.text, PEER_BYTES_MAX);
	r->failed |= sub.failed;
}

static void read_notes_pull(struct reader *r, struct peer_msg *m)
{
	struct reader sub;

	reader_array(r, &sub, PULL_FIELDS);
	m->notes_pull.after = read_uint(&sub, UINT64_MAX);
	if (sub.n > PULL_FIELDS)
		m->notes_pull.question = read_uint(&sub, UINT64_MAX);
	r->failed |= sub.failed;
}

static void read_content(struct reader *r, struct peer_msg *m)
{
	switch (m->kind) {
	case PEER_PROBE:
	case PEER_PROBE_ACK:
	case PEER_PROBE_REQUEST:
		read_probe(r, m);
		break;
	case PEER_MEMBERS_PULL:
		read_digests(r, m);
		break;
	case PEER_MEMBERS:
		read_member_list(r, m);
		break;
	case PEER_NOTES_PULL:
		read_notes_pull(r, m);
		break;
	case PEER_NOTE:
		read_note(r, m);
		break;
	case PEER_SNAPSHOT:
		read_snapshot(r, m);
		break;
	case PEER_LOAN_REQUEST:
		read_loan_request(r, &m->loan_request);
		break;
	case PEER_LOAN_GRANT:
		read_loan_grant(r, &m->loan_grant);
		break;
	case PEER_LOAN_SPENT:
		read_loan_request(r, &m->loan_spent);
		break;
	case PEER_QUERY:
	case PEER_QUERY_RESPONSE:
		read_query(r, m);
		break;
	case PEER_STANDBY:
		read_standby(r, &m->standby);
		break;
	case PEER_POISON:
		m->poison.n = read_poison_facts(r, m->poison.items);
		break;
	}
}

/* Reads a message into a zeroed m; an unknown kind is an error. */
void read_peer_msg(struct reader *r, struct peer_msg *m)
{
	struct reader sub;
	uint64_t kind;

	reader_array(r, &sub, ENVELOPE_FIELDS);
	kind = read_uint(&sub, PEER_STANDBY);
	read_addr(&sub, &m->from);
	m->incarnation = read_uint(&sub, UINT64_MAX);
	m->config_number = read_uint(&sub, UINT64_MAX);
	m->kind = (enum peer_msg_kind)kind;
	if (sub.failed || kind < PEER_PROBE)
		sub.failed = true;
	else
		read_content(&sub, m);
	if (!sub.failed && sub.n >= ENVELOPE_FIELDS + ENVELOPE_ERA_FIELDS) {
		m->store_era = (int64_t)read_uint(&sub, INT64_MAX);
		m->store_era_age_ms =
			(int64_t)read_uint(&sub, INT64_MAX / USEC_PER_MSEC);
	}
	r->failed |= sub.failed;
}

/*
 * Appends a message that is not part of a frame. Returns -1 if it would exceed
 * FRAME_MAX bytes or memory is short.
 */
int peer_msg_encode(const struct peer_msg *m, struct buffer *out)
{
	struct writer w;

	writer_init(&w, out, FRAME_MAX);
	write_array(&w, 1);
	write_peer_msg(&w, m);
	return writer_end(&w);
}

/*
 * Decodes a message that is not part of a frame. Returns -1 with err set and
 * nothing to free if it is malformed.
 */
int peer_msg_decode(struct peer_msg *m, const uint8_t *data, size_t len,
		    struct error *err)
{
	msgpack_unpacked u;
	struct reader r;

	memset(m, 0, sizeof(*m));
	if (len > FRAME_MAX || parse_value(&u, data, len) < 0)
		return error_set(
			err, ERROR_INPUT, "peer-msg-decode", NULL,
			"%zu bytes are not exactly one valid msgpack value",
			len);
	reader_init(&r, &u.data, 1);
	read_peer_msg(&r, m);
	msgpack_unpacked_destroy(&u);
	if (!r.failed)
		return 0;
	peer_msg_free(m);
	return error_set(err, ERROR_INPUT, "peer-msg-decode", NULL,
			 "malformed message of kind %d", (int)m->kind);
}

/* Frees the contents of the message, not m itself. */
void peer_msg_free(struct peer_msg *m)
{
	switch (m->kind) {
	case PEER_PROBE:
	case PEER_PROBE_ACK:
	case PEER_PROBE_REQUEST:
		free(m->probe.changes);
		m->probe.changes = NULL;
		m->probe.change_count = 0;
		break;
	case PEER_MEMBERS:
		free(m->members.items);
		m->members.items = NULL;
		m->members.n = 0;
		break;
	case PEER_NOTE:
		buffer_free(&m->note.text);
		break;
	case PEER_SNAPSHOT:
		buffer_free(&m->snapshot.bytes);
		break;
	case PEER_QUERY:
	case PEER_QUERY_RESPONSE:
		buffer_free(&m->query.text);
		break;
	case PEER_MEMBERS_PULL:
	case PEER_NOTES_PULL:
	case PEER_LOAN_REQUEST:
	case PEER_LOAN_GRANT:
	case PEER_LOAN_SPENT:
	case PEER_POISON:
	case PEER_STANDBY:
		break;
	}
}
