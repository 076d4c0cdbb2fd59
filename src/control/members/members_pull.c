#include "control/members/members_impl.h"

#include <stdlib.h>
#include <string.h>

#define PULL_PERIOD_US (10 * USEC_PER_SEC)
#define STARTUP_US (10 * USEC_PER_SEC) /* others may be joining too */
#define STARTUP_PULL_PERIOD_US USEC_PER_SEC
#define REMOTE_PULL_EVERY 3 /* one pull in 3 is from another data centre */
#define CHUNK_BYTES (32 * 1024)
#define CHUNK_MEMBERS 256
#define RESPONSE_BYTES (32 * 1024) /* unless the requester is joining */

/* Requests from one node the members that differ from those known here. */
void members_pull(struct members *m, const struct addr *from, int64_t now)
{
	struct peer_msg msg = {.kind = PEER_MEMBERS_PULL};

	memcpy(msg.members_pull.digests, m->digests, sizeof(m->digests));
	m->options.io.send(m->options.io.ctx, from, &msg, now);
}

/*
 * Pulls from a random member every period, one time in REMOTE_PULL_EVERY from
 * another data centre.
 */
void members_pull_tick(struct members *m, int64_t now)
{
	const struct member_info *peer;

	if (now < m->pull_due_us)
		return;
	m->pull_due_us =
		now + (now - m->started_us < STARTUP_US ? STARTUP_PULL_PERIOD_US
							: PULL_PERIOD_US);
	peer = members_random(m, ++m->pulls % REMOTE_PULL_EVERY == 0);
	if (!peer)
		peer = members_random(m, m->pulls % REMOTE_PULL_EVERY != 0);
	if (peer)
		members_pull(m, &peer->node_addr, now);
}

/* A response to a pull, sent in chunks. */
struct pull_response {
	struct members *m;
	const struct peer_msg *request;
	struct member_info *items;
	size_t n;
	size_t bytes;	   /* in this chunk */
	size_t bytes_left; /* of the response's limit */
	int64_t now;
};

static void send_chunk(struct pull_response *response, bool more)
{
	struct control_io *io = &response->m->options.io;
	struct peer_msg msg = {.kind = PEER_MEMBERS};

	msg.members.items = response->items;
	msg.members.n = response->n;
	msg.members.more = more;
	io->send(io->ctx, &response->request->from, &msg, response->now);
	response->n = 0;
	response->bytes = 0;
}

static void add_record(struct pull_response *response,
		       const struct member_info *info)
{
	size_t bytes = member_info_wire_size(info);

	if (bytes > response->bytes_left)
		return;
	if (response->n == CHUNK_MEMBERS ||
	    response->bytes + bytes > CHUNK_BYTES)
		send_chunk(response, true);
	response->items[response->n++] = *info;
	response->bytes += bytes;
	response->bytes_left -= bytes;
}

static void add_member(struct pull_response *response, const struct member *b)
{
	struct member_info info;

	member_describe(b, &info);
	add_record(response, &info);
}

static bool is_gone(const struct member *b)
{
	return b->info.state == MEMBER_DEAD || b->info.state == MEMBER_LEFT;
}

/*
 * Adds the gone or the other members of all buckets that differ. Starts at a
 * random bucket, so that repeated responses of limited size cover all buckets.
 */
static void add_differing(struct pull_response *response, bool gone)
{
	const uint64_t *theirs = response->request->members_pull.digests;
	uint32_t start = (uint32_t)gsl_rng_uniform_int(response->m->rng,
						       MEMBERS_DIGESTS);
	const struct member *b;
	uint32_t i, bucket;

	for (i = 0; i < MEMBERS_DIGESTS; i++) {
		bucket = (start + i) % MEMBERS_DIGESTS;
		if (response->m->digests[bucket] == theirs[bucket])
			continue;
		for (b = response->m->buckets[bucket]; b; b = b->bucket_next)
			if (is_gone(b) == gone)
				add_member(response, b);
	}
}

/* Adds the departures that an earlier process of the requester told. */
static void add_requester(struct pull_response *response)
{
	const struct member *b =
		member_find(response->m, &response->request->from);

	if (b && member_has_former(b))
		add_record(response, b->former);
	else if (b && b->info.departure_count &&
		 b->info.incarnation != response->request->incarnation)
		add_record(response, &b->info);
}

/*
 * Whether the requester is joining. It knows few members, so most of its
 * buckets are empty; it gets all members, without the limit of RESPONSE_BYTES.
 */
static bool is_joining(const struct peer_msg *pull)
{
	int i, empty = 0;

	for (i = 0; i < MEMBERS_DIGESTS; i++)
		empty += !pull->members_pull.digests[i];
	return empty > MEMBERS_DIGESTS / 2;
}

/*
 * Responds with the members of buckets whose digests differ, up to a limit.
 * Claims come first, because they stop work from being sent to dead members.
 */
void members_pull_receive(struct members *m, const struct peer_msg *msg,
			  int64_t now)
{
	struct pull_response response = {.m = m, .request = msg, .now = now};

	response.items = calloc(CHUNK_MEMBERS, sizeof(*response.items));
	if (!response.items)
		return;
	response.bytes_left = is_joining(msg) ? SIZE_MAX : RESPONSE_BYTES;
	add_requester(&response);
	add_differing(&response, true);
	add_differing(&response, false);
	if (response.n)
		send_chunk(&response, false);
	free(response.items);
}
