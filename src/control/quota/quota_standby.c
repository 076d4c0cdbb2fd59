#include "control/quota/quota_impl.h"

#include <stdio.h>
#include <string.h>

#define BEAT_PERIOD_US (100 * USEC_PER_MSEC)
/*
 * A holder without an acknowledgement stops spending after this time. Shorter
 * leases end when a busy process stalls.
 */
#define LEASE_US (400 * USEC_PER_MSEC)
/*
 * Time without a beat after which the standby takes the slice: the lease, a
 * twentieth for clock drift, and the time until the holder's loans expire.
 */
#define TAKE_AFTER_US (LEASE_US + LEASE_US / 20 + LOAN_LIFETIME_US)
#define TAKE_RETRY_US (200 * USEC_PER_MSEC)
/* A candidate that acknowledged within this time may become the standby. */
#define RESPONSIVE_US (3 * BEAT_PERIOD_US)
/* Period of beats to a candidate that does not answer. */
#define PROBE_PERIOD_US (200 * USEC_PER_MSEC)
/* Bounds the writes of a holder whose standby is lost again and again. */
#define UNGUARDED_US (5 * USEC_PER_SEC)
/* Another node of the data centre holds the group this long after a beat. */
#define OTHER_HOLDER_US USEC_PER_SEC
/* A lower time in a beat after that is of a host that was started again. */
#define BEAT_MAX_DELAY_US (20 * USEC_PER_SEC)
#define CALL_TIMEOUT_US (2 * USEC_PER_SEC)

static void send(struct quota *q, const struct addr *to, struct peer_msg *msg)
{
	msg->from = q->o.self;
	q->o.io.datagram(q->o.io.ctx, to, msg);
}

static void log_standby(const char *event, const struct account_group *g,
			const struct addr *peer)
{
	struct log_line line;
	char text[ADDR_TEXT_SIZE];

	log_start(&line, LOG_NOTICE, event);
	log_str(&line, "holding", g->name);
	addr_format(peer, text);
	log_str(&line, "peer", text);
	snprintf(text, sizeof(text), "%.4f", (double)g->share / SHARE_ALL);
	log_str(&line, "share", text);
	log_emit(&line);
}

/*
 * Returns true if the standby may have taken the slice, because it did not
 * acknowledge a beat for the time of a lease.
 */
bool standby_lease_lost(const struct account_group *g, int64_t now)
{
	return g->lease.guarded && now >= g->lease.until_us;
}

/*
 * Ends the guard if the slice was written or read under another revision that
 * does not name the standby, which therefore can no longer take it.
 */
void standby_slice_changed(struct account_group *g)
{
	struct standby_lease *l = &g->lease;
	bool named = g->slice.has_standby &&
		     addr_equal(&g->slice.standby, &l->standby);

	if (l->guarded && (named || l->revision == g->slice.mod_revision)) {
		l->revision = g->slice.mod_revision;
		if (l->lost)
			g->slice.incarnation = 0;
		return;
	}
	l->guarded = false;
	l->lost = false;
	l->next_beat_us = 0;
}

/* Returns true while another node of the data centre says it holds a slice. */
bool standby_other_holds(const struct account_group *g, int64_t now)
{
	return now < g->other_holder_until_us;
}

static void send_beat(struct quota *q, struct account_group *g,
		      const struct addr *to, bool consent, int64_t now)
{
	struct peer_msg msg = {.kind = PEER_STANDBY};

	msg.standby.step = STANDBY_BEAT;
	copy_name(msg.standby.group, sizeof(msg.standby.group), g->name);
	msg.standby.sent_us = (uint64_t)now;
	msg.standby.revision = (uint64_t)g->slice.mod_revision;
	msg.standby.share = g->slice.share;
	msg.standby.consent = consent;
	send(q, to, &msg);
}

static bool may_consent(const struct quota *q, const struct account_group *g,
			int64_t now)
{
	return !q->leaving && g->slice.mod_revision &&
	       g->share == g->slice.share &&
	       g->slice.incarnation == q->o.incarnation && !g->writing &&
	       now >= g->lease.unguarded_until_us;
}

/*
 * Sends a beat to the standby. It gives up its right when the candidate is
 * another node that answers, such as a restarted host that ranks higher.
 */
static void beat_standby(struct quota *q, struct account_group *g, int64_t now)
{
	struct standby_lease *l = &g->lease;
	bool replaced = g->has_candidate &&
			!addr_equal(&l->standby, &g->candidate) &&
			addr_equal(&l->probed, &g->candidate) &&
			now - l->candidate_heard_us < RESPONSIVE_US;
	bool consent = !replaced && may_consent(q, g, now);

	if (consent)
		l->consented_us = now;
	send_beat(q, g, &l->standby, consent, now);
}

/*
 * Sends a beat to the standby, and one to the candidate if that is another
 * node: it gets the right to take the slice if there is no standby.
 */
static void beat(struct quota *q, struct account_group *g, int64_t now)
{
	struct standby_lease *l = &g->lease;
	bool responsive = now - l->candidate_heard_us < RESPONSIVE_US;

	l->next_beat_us = now + BEAT_PERIOD_US;
	if (l->guarded)
		beat_standby(q, g, now);
	if (!g->has_candidate ||
	    (l->guarded && addr_equal(&l->standby, &g->candidate)))
		return;
	if (!addr_equal(&l->probed, &g->candidate)) {
		l->probed = g->candidate;
		l->candidate_heard_us = INT64_MIN / 2;
		responsive = false;
	}
	if (!responsive && now < l->next_probe_us)
		return;
	l->next_probe_us = now + PROBE_PERIOD_US;
	if (!l->guarded && responsive && may_consent(q, g, now)) {
		l->guarded = true;
		l->standby = g->candidate;
		l->consented_us = now;
		l->until_us = now + LEASE_US;
		l->revision = g->slice.mod_revision;
		send_beat(q, g, &g->candidate, true, now);
		return;
	}
	send_beat(q, g, &g->candidate, false, now);
}

/* Writes the slice again, after which it may be spent without the standby. */
static void lose_lease(struct account_group *g, int64_t now)
{
	quota_refill_all(g, now);
	g->lease.lost = true;
	g->lease.unguarded_until_us = now + UNGUARDED_US;
	g->slice.incarnation = 0;
	g->next_write_us = now;
	counter_add(COUNTER_LEASES_LOST, 1);
	log_standby("account-lease-lost", g, &g->lease.standby);
}

static void receive_ack(struct account_group *g, const struct peer_msg *msg,
			int64_t now)
{
	struct standby_lease *l = &g->lease;
	int64_t sent_us = (int64_t)msg->standby.sent_us;

	if (sent_us > now)
		return;
	if (addr_equal(&msg->from, &l->probed))
		l->candidate_heard_us = now;
	if (!l->guarded || l->lost || !addr_equal(&msg->from, &l->standby))
		return;
	if (sent_us + LEASE_US > l->until_us)
		l->until_us = sent_us + LEASE_US;
	/* The standby has given up a right that was given before this beat. */
	if (!msg->standby.consent && sent_us > l->consented_us)
		l->guarded = false;
}

static void receive_beat(struct quota *q, struct account_group *g,
			 const struct peer_msg *msg, int64_t now)
{
	struct peer_msg ack = *msg;
	int64_t sent_us = (int64_t)msg->standby.sent_us;

	/* An older beat must not restore a right that was given up since. */
	if (addr_equal(&msg->from, &g->guard.last_from) &&
	    sent_us <= g->guard.last_sent_us &&
	    now - g->guard.last_heard_us < BEAT_MAX_DELAY_US)
		return;
	g->guard.last_from = msg->from;
	g->guard.last_sent_us = sent_us;
	g->guard.last_heard_us = now;
	g->other_holder_until_us = now + OTHER_HOLDER_US;
	if (msg->standby.consent && !q->leaving) {
		g->guard.active = true;
		g->guard.holder = msg->from;
		g->guard.revision = (int64_t)msg->standby.revision;
		g->guard.share = msg->standby.share;
		g->guard.heard_us = now;
	} else if (addr_equal(&msg->from, &g->guard.holder)) {
		g->guard.active = false;
	}
	if (q->leaving)
		return;
	ack.standby.step = STANDBY_ACK;
	send(q, &msg->from, &ack);
}

/*
 * Handles a beat of a holder, or the answer of its standby. Messages about
 * unknown groups are ignored.
 */
void standby_receive(struct quota *q, const struct peer_msg *msg, int64_t now)
{
	struct account_group *g = group_find(q, msg->standby.group);
	struct standby_lease *l;

	if (!g || !g->multi_account)
		return;
	l = &g->lease;
	switch (msg->standby.step) {
	case STANDBY_BEAT:
		receive_beat(q, g, msg, now);
		break;
	case STANDBY_ACK:
		receive_ack(g, msg, now);
		break;
	case STANDBY_RELEASE:
		if (!l->guarded || l->lost ||
		    !addr_equal(&msg->from, &l->standby) ||
		    (int64_t)msg->standby.revision != g->slice.mod_revision)
			break;
		l->guarded = false;
		l->unguarded_until_us = now + UNGUARDED_US;
		break;
	}
}

/*
 * Before a planned stop: gives up the right to take slices, and takes back the
 * right of others, so that the next process on this host takes them over.
 */
void standby_leave(struct quota *q, int64_t now)
{
	struct peer_msg msg = {.kind = PEER_STANDBY};
	struct account_group *g, *next;

	HASH_ITER(hh, q->account_groups, g, next)
	{
		if (g->lease.guarded)
			send_beat(q, g, &g->lease.standby, false, now);
		if (!g->guard.active)
			continue;
		g->guard.active = false;
		msg.standby.step = STANDBY_RELEASE;
		copy_name(msg.standby.group, sizeof(msg.standby.group),
			  g->name);
		msg.standby.revision = (uint64_t)g->guard.revision;
		send(q, &g->guard.holder, &msg);
	}
}

/* Adopts the slice that this node took from the holder. */
static void adopt_taken(struct quota *q, struct account_group *g,
			int64_t revision, int64_t now)
{
	bool had_share = g->share > 0;
	struct quota_account *a;

	quota_refill_all(g, now);
	g->slice.share += g->guard.share;
	g->slice.incarnation = q->o.incarnation;
	g->slice.mod_revision = revision;
	g->slice.has_standby = false;
	g->share = g->slice.share;
	g->desired_share = g->share;
	g->confirmed_us = g->sent_us;
	standby_slice_changed(g);
	for (a = g->accounts; a; a = a->sibling) {
		a->had_tokens = true;
		/* No node has refilled the share since the lease ended. */
		if (!had_share)
			a->refilled_us = g->guard.heard_us + TAKE_AFTER_US;
	}
	quota_refill_all(g, now);
	counter_add(COUNTER_SLICES_TAKEN, 1);
	log_standby("account-share-taken", g, &g->guard.holder);
}

/*
 * After a conflict: goes on if the holder renewed the slice and named this node
 * as its standby. Otherwise the right has ended, or an earlier attempt whose
 * answer was lost has taken the slice.
 */
static void read_slices(struct quota *q, struct account_group *g,
			const struct store_result *r, int64_t now)
{
	struct ledger_record slice = {0}, theirs = {0};
	char key[STORE_KEY_SIZE];
	size_t i;

	ledger_slice_key(q, g->name, key);
	for (i = 0; i < r->n; i++)
		if (!strcmp(r->entries[i].key, key))
			ledger_parse(&slice, &r->entries[i]);
		else
			ledger_parse(&theirs, &r->entries[i]);
	if (theirs.has_standby && addr_equal(&theirs.standby, &q->o.self) &&
	    theirs.mod_revision != g->guard.revision &&
	    slice.mod_revision == g->slice.mod_revision) {
		g->guard.revision = theirs.mod_revision;
		g->guard.share = theirs.share;
		g->guard.next_take_us = now;
		return;
	}
	g->guard.active = false;
	ledger_adopt_slice(q, g, &slice, now);
	g->desired_share = g->share;
	if (g->share)
		g->confirmed_us = g->sent_us;
}

static void take_done(void *ctx, uint64_t tag, const struct store_result *r,
		      int64_t now)
{
	struct quota *q = ctx;
	struct account_group *g = (struct account_group *)(uintptr_t)tag;

	g->writing = false;
	q->writes_pending--;
	g->guard.next_take_us = now + TAKE_RETRY_US;
	switch (r->outcome) {
	case STORE_DONE:
		adopt_taken(q, g, r->revision, now);
		g->guard.active = false;
		break;
	case STORE_CONFLICT:
		read_slices(q, g, r, now);
		break;
	case STORE_NOT_DONE:
	case STORE_UNKNOWN:
		break;
	}
}

/* Moves the holder's whole slice to this node in one transaction. */
static void take(struct quota *q, struct account_group *g, int64_t now)
{
	struct ledger_record slice = {.incarnation = q->o.incarnation};
	char theirs[STORE_KEY_SIZE], ours[STORE_KEY_SIZE],
		text[LEDGER_TEXT_SIZE];
	char holder[ADDR_TEXT_SIZE];
	const char *const reads[] = {theirs, ours};
	struct store_compare compares[] = {
		{.key = theirs, .mod_revision = g->guard.revision},
		{.key = ours, .mod_revision = g->slice.mod_revision}};
	struct store_write writes[] = {{.key = theirs, .remove = true},
				       {.key = ours, .value = text}};
	struct store_op op = {.kind = STORE_TXN,
			      .priority = STORE_QUOTA,
			      .timeout_us = CALL_TIMEOUT_US};
	struct store_done done = {
		.ctx = q, .tag = (uint64_t)(uintptr_t)g, .fn = take_done};

	addr_format(&g->guard.holder, holder);
	ledger_holder_key(holder, g->name, theirs);
	ledger_slice_key(q, g->name, ours);
	slice.share = g->slice.share + g->guard.share;
	ledger_format(&slice, text);
	writes[1].len = strlen(text);
	op.txn.compares = compares;
	op.txn.compare_count = 2;
	op.txn.writes = writes;
	op.txn.write_count = 2;
	op.txn.reads = reads;
	op.txn.read_count = 2;
	g->writing = true;
	g->sent_us = now;
	q->writes_pending++;
	store_submit(q->o.store, &op, &done, now);
}

static void guard_tick(struct quota *q, struct account_group *g, int64_t now)
{
	int64_t silent_us = now - g->guard.heard_us;

	if (!g->guard.active || g->writing || silent_us < TAKE_AFTER_US ||
	    now < g->guard.next_take_us || now < q->ledger_settled_us ||
	    !q->own_slices_listed || q->leaving)
		return;
	/* By now other nodes may have reclaimed a part of the slice. */
	if (silent_us > g->hold_us / 2) {
		g->guard.active = false;
		return;
	}
	take(q, g, now);
}

/*
 * Advances the leases of the slices that this node holds, and takes those that
 * it guards and whose holder is silent.
 */
void standby_tick(struct quota *q, int64_t now)
{
	struct account_group *g, *next;

	if (!q->o.groups || !q->config)
		return;
	HASH_ITER(hh, q->account_groups, g, next)
	{
		guard_tick(q, g, now);
		if (!g->share)
			continue;
		if (standby_lease_lost(g, now) && !g->lease.lost)
			lose_lease(g, now);
		if (now >= g->lease.next_beat_us && !g->lease.lost)
			beat(q, g, now);
	}
}

/*
 * Gives up every right to take a slice: it names a revision of the former
 * history of the store.
 */
void standby_store_replaced(struct quota *q)
{
	struct account_group *g, *next;

	HASH_ITER(hh, q->account_groups, g, next)
	g->guard.active = false;
}
