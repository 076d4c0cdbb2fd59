/*
 * Fixture of the claims tests: nodes that share a memory store, and the
 * reports that their requests got. Defines members_find(), so each test
 * program includes it in one file only.
 */
#ifndef TEST_CLAIMS_FIXTURE_H
#define TEST_CLAIMS_FIXTURE_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "control/control.h"

#define NODES 3
#define TICK_US (5 * USEC_PER_MSEC)
#define POLL_US USEC_PER_SEC
#define DEADLINE_MS 500
#define REQUESTS_MAX 4096
#define KEYS 32
#define HOUR_MS (3600 * 1000)

/* Stands in for the member list: one row per node. */
struct members {
	struct member_info rows[NODES];
};

#define NOT_REPORTED ((enum claim_state) - 1)

struct request {
	int node;
	int key;
	int reports;
	enum claim_state state;
	uint64_t claim;
	int status;
	size_t body_len;
	bool ended;
};

static struct {
	struct memory_store *memory;
	struct store *stores[NODES];
	struct claims *claims[NODES];
	struct members members;
	bool paused[NODES];
	bool polls; /* each node calls the store each second */
	int64_t now;
	struct request requests[REQUESTS_MAX];
	int request_count;
	int fresh[KEYS]; /* number of CLAIM_FRESH reports */
	int held[KEYS];	 /* those not released */
	bool finished[KEYS];
	char *json;
} fixture;

const struct member_info *members_find(const struct members *m,
				       const struct addr *node_addr)
{
	int i;

	for (i = 0; i < NODES; i++)
		if (addr_equal(&m->rows[i].node_addr, node_addr))
			return &m->rows[i];
	return NULL;
}

static inline void on_polled(void *ctx, uint64_t tag,
			     const struct store_result *r, int64_t now)
{
	(void)ctx;
	(void)tag;
	(void)r;
	(void)now;
}

static inline void on_replaced(void *ctx, int64_t now)
{
	claims_store_replaced(ctx, now);
}

/* Asks the store for nothing in particular, as other controllers do. */
static inline void poll_store(int i)
{
	struct store_op op = {.kind = STORE_GET, .key = "config"};
	struct store_done done = {.fn = on_polled};

	store_submit(fixture.stores[i], &op, &done, fixture.now);
}

static inline void start_node(int i, uint64_t incarnation)
{
	struct member_info *m = &fixture.members.rows[i];
	struct claims_options o = {.members = &fixture.members,
				   .incarnation = incarnation};
	char text[ADDR_TEXT_SIZE];

	snprintf(text, sizeof(text), "127.0.0.1:%d", 7000 + i);
	addr_parse(&m->node_addr, text);
	m->incarnation = incarnation;
	m->state = MEMBER_ALIVE;
	fixture.stores[i] = store_open_memory(fixture.memory);
	o.store = fixture.stores[i];
	o.self = m->node_addr;
	fixture.claims[i] = claims_new(&o, fixture.now);
	store_on_replaced(fixture.stores[i], fixture.claims[i], on_replaced);
}

/* Ends a node without writing outcomes; its member row stays unchanged. */
static inline void crash_node(int i)
{
	store_close(fixture.stores[i]);
	claims_free(fixture.claims[i]);
	fixture.claims[i] = NULL;
	fixture.stores[i] = NULL;
}

static inline int set_up(void **state)
{
	int i;

	(void)state;
	memset(&fixture, 0, sizeof(fixture));
	fixture.memory = memory_store_new();
	for (i = 0; i < NODES; i++)
		start_node(i, 1);
	/* Past the time in which unknown holders are taken to be alive. */
	fixture.now = 60 * USEC_PER_SEC;
	return 0;
}

static inline int tear_down(void **state)
{
	int i;

	(void)state;
	for (i = 0; i < NODES; i++)
		if (fixture.claims[i])
			crash_node(i);
	memory_store_free(fixture.memory);
	free(fixture.json);
	return 0;
}

/* Advances the clock, ticking every node that runs. */
static inline void run_ms(int64_t ms)
{
	int64_t until = fixture.now + ms * USEC_PER_MSEC;
	int i;

	for (; fixture.now < until; fixture.now += TICK_US)
		for (i = 0; i < NODES; i++) {
			if (!fixture.claims[i] || fixture.paused[i])
				continue;
			if (fixture.polls && fixture.now % POLL_US < TICK_US)
				poll_store(i);
			store_tick(fixture.stores[i], fixture.now);
			claims_tick(fixture.claims[i], fixture.now);
		}
}

static inline void on_state(void *ctx, uint64_t tag, enum claim_state state,
			    uint64_t claim, const struct message *answer,
			    int64_t now)
{
	struct request *r = &fixture.requests[tag];

	(void)ctx;
	(void)now;
	r->reports++;
	r->state = state;
	r->claim = claim;
	r->status = answer ? answer->status : 0;
	r->body_len = answer ? answer->body.len : 0;
	if (state == CLAIM_FRESH) {
		fixture.fresh[r->key]++;
		assert_int_equal(++fixture.held[r->key], 1);
	}
	if (state == CLAIM_DONE)
		assert_true(fixture.finished[r->key]);
}

static inline struct request *begin(int node, int key, uint64_t fingerprint)
{
	struct request *r = &fixture.requests[fixture.request_count];
	struct claim_done done = {.tag = (uint64_t)fixture.request_count++,
				  .fn = on_state};
	char name[16];

	memset(r, 0, sizeof(*r));
	r->state = NOT_REPORTED;
	r->node = node;
	r->key = key;
	snprintf(name, sizeof(name), "key-%d", key);
	claims_begin(fixture.claims[node], "acme", "issue", name, fingerprint,
		     "request-1", fixture.now + DEADLINE_MS * USEC_PER_MSEC,
		     &done, fixture.now);
	return r;
}

static inline void finish(struct request *r, size_t body_len)
{
	struct message m = {.status = 201};
	char *body = calloc(1, body_len + 1);

	fixture.finished[r->key] = true;
	message_add_header(&m, "content-type", "text/plain");
	buffer_append(&m.body, body, body_len, SIZE_MAX);
	claims_finish(fixture.claims[r->node], r->claim, &m, fixture.now);
	message_free(&m);
	free(body);
}

static inline void set_faults(int node, struct store_faults f)
{
	store_set_faults(fixture.stores[node], &f);
}

/* Claims a key, waits past the deadline and returns the reported state. */
static inline enum claim_state repeat(int node, int key)
{
	struct request *r = begin(node, key, 1);

	run_ms(DEADLINE_MS + 10);
	assert_int_equal(r->reports, 1);
	return r->state;
}

enum end {
	END_FINISH,
	END_FINISH_LARGE,
	END_RELEASE,
	END_MARK_UNRESOLVED,
	END_NONE,
};

static inline void end_request(struct request *r, enum end end)
{
	switch (end) {
	case END_FINISH:
		finish(r, 100);
		break;
	case END_FINISH_LARGE:
		finish(r, 100000);
		break;
	case END_RELEASE:
		fixture.held[r->key]--;
		claims_release(fixture.claims[r->node], r->claim, fixture.now);
		break;
	case END_MARK_UNRESOLVED:
		claims_mark_unresolved(fixture.claims[r->node], r->claim,
				       fixture.now);
		break;
	case END_NONE:
		break;
	}
}

#endif
