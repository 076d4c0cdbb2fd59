/* Transfer of snapshots between nodes, in parts over a link. */
#include "control/notes/notes_impl.h"

#include <string.h>

#define PARTS_PER_TICK 2
#define PACKED_LAG_MAX 200 /* notes; packed again if further behind */
#define PACKED_RETENTION_US (60 * USEC_PER_SEC)
#define PARTS_MAX (SNAPSHOT_BYTES_MAX / PEER_PAYLOAD_MAX)
#define PART_TIMEOUT_US (2 * USEC_PER_SEC)

static bool any_transfer_active(const struct notes *n)
{
	size_t i;

	for (i = 0; i < TRANSFERS_MAX; i++)
		if (n->transfers[i].active)
			return true;
	return false;
}

/*
 * Whether the packed snapshot, with the cached notes that follow it, yields
 * the newest configuration.
 */
static bool packed_is_usable(const struct notes *n)
{
	uint64_t i, number = notes_number(n);

	if (n->o.source == SOURCE_DOCUMENT)
		return n->packed_number == number;
	if (!n->packed_number || number - n->packed_number > PACKED_LAG_MAX)
		return false;
	for (i = n->packed_number + 1; i <= number; i++)
		if (!note_cache_get(n, i) ||
		    note_cache_get(n, i)->len > PEER_PAYLOAD_MAX)
			return false;
	return true;
}

static int ensure_packed(struct notes *n, int64_t now)
{
	if (!packed_is_usable(n)) {
		if (any_transfer_active(n))
			return -1;
		buffer_free(&n->packed);
		n->packed_number = 0;
		if (notes_pack(n, &n->packed) < 0)
			return -1;
		n->packed_number = notes_number(n);
	}
	n->packed_us = now;
	return 0;
}

static bool transfer_is_active(const struct notes *n, const struct addr *to)
{
	size_t i;

	for (i = 0; i < TRANSFERS_MAX; i++)
		if (n->transfers[i].active &&
		    addr_equal(&n->transfers[i].to, to))
			return true;
	return false;
}

/*
 * Starts to send a snapshot. Does nothing if no transfer slot is free or the
 * snapshot can't be packed; the peer then pulls from another node.
 */
void transfer_start(struct notes *n, const struct addr *to, uint64_t question,
		    int64_t now)
{
	struct transfer *t;
	size_t i;

	if (transfer_is_active(n, to) || ensure_packed(n, now) < 0)
		return;
	for (i = 0; i < TRANSFERS_MAX; i++) {
		t = &n->transfers[i];
		if (t->active)
			continue;
		t->to = *to;
		t->question = question;
		t->part = 0;
		t->active = true;
		return;
	}
}

static void send_part(struct notes *n, struct transfer *t, int64_t now)
{
	size_t offset = (size_t)t->part * PEER_PAYLOAD_MAX;
	size_t len = n->packed.len - offset;
	struct peer_msg msg = {.kind = PEER_SNAPSHOT};

	msg.snapshot.number = n->packed_number;
	msg.snapshot.part = t->part;
	msg.snapshot.parts = (uint32_t)((n->packed.len + PEER_PAYLOAD_MAX - 1) /
					PEER_PAYLOAD_MAX);
	msg.snapshot.bytes.data = n->packed.data + offset;
	msg.snapshot.bytes.len =
		len < PEER_PAYLOAD_MAX ? len : PEER_PAYLOAD_MAX;
	if (n->o.io.send(n->o.io.ctx, &t->to, &msg, now) < 0) {
		t->active = false;
		return;
	}
	if (++t->part < msg.snapshot.parts)
		return;
	t->active = false;
	send_number(n, &t->to, true, t->question, now);
}

/* Sends the next parts, and frees an unused packed snapshot. */
void transfer_tick(struct notes *n, int64_t now)
{
	size_t i;
	int j;

	for (i = 0; i < TRANSFERS_MAX; i++)
		for (j = 0; j < PARTS_PER_TICK; j++)
			if (n->transfers[i].active)
				send_part(n, &n->transfers[i], now);
	if (n->packed.data && !any_transfer_active(n) &&
	    now - n->packed_us > PACKED_RETENTION_US) {
		buffer_free(&n->packed);
		n->packed_number = 0;
	}
}

static void reassembly_start(struct reassembly *a, const struct peer_msg *msg)
{
	a->from = msg->from;
	a->number = msg->snapshot.number;
	a->parts = msg->snapshot.parts;
	a->part = 0;
	buffer_free(&a->bytes);
}

/*
 * Adds one part of an incoming snapshot, and puts the snapshot in force when
 * it is complete. A first part replaces any incomplete snapshot; a part out of
 * order is dropped.
 */
void reassembly_receive(struct notes *n, const struct peer_msg *msg,
			int64_t now)
{
	struct reassembly *a = &n->reassembly;
	struct config *c;
	struct error err;

	if (msg->snapshot.number <= notes_number(n) ||
	    msg->snapshot.parts > PARTS_MAX)
		return;
	if (!msg->snapshot.part)
		reassembly_start(a, msg);
	if (!addr_equal(&a->from, &msg->from) ||
	    a->number != msg->snapshot.number ||
	    a->part != msg->snapshot.part || a->parts != msg->snapshot.parts ||
	    buffer_append(&a->bytes, msg->snapshot.bytes.data,
			  msg->snapshot.bytes.len, SNAPSHOT_BYTES_MAX) < 0)
		return;
	n->next_pull_us = now + PART_TIMEOUT_US;
	if (n->o.source == SOURCE_DOCUMENT)
		document_await(n, now);
	if (++a->part < a->parts)
		return;
	c = notes_unpack(n, a->bytes.data, a->bytes.len, &err);
	buffer_free(&a->bytes);
	a->number = 0;
	n->next_pull_us = now;
	if (c)
		notes_set_config(n, c, ROAD_PEER, now);
	else
		log_error(LOG_ERR, "snapshot-refused", &err);
}
