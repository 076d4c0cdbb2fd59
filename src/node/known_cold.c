/* What this node knows of cold upstreams, on any host. */
#include "node/known_cold.h"

#include <stdlib.h>

/* A refusal tells that an upstream is cold, but not for how long. */
#define REFUSED_COLD_US USEC_PER_SEC
#define LIST_MAX 64

/* The end of the longest cold period of a service's upstreams. */
struct cold_service {
	uint64_t service;
	char name[NAME_SIZE];
	int64_t until_us;
	UT_hash_handle hh;
};

static void note_service(struct node *n, const struct known_upstream *u)
{
	uint64_t service = name_hash(u->info.service);
	struct cold_service *s;

	HASH_FIND(hh, n->cold_services, &service, sizeof(service), s);
	if (!s) {
		s = calloc(1, sizeof(*s));
		if (!s)
			return;
		s->service = service;
		copy_name(s->name, sizeof(s->name), u->info.service);
		HASH_ADD(hh, n->cold_services, service, sizeof(service), s);
	}
	if (u->cold_until_us > s->until_us)
		s->until_us = u->cold_until_us;
}

void known_cold_free(struct node *n)
{
	struct cold_service *s = n->cold_services, *next;

	HASH_CLEAR(hh, n->cold_services);
	for (; s; s = next) {
		next = s->hh.next;
		free(s);
	}
}

static bool is_cold(const struct known_upstream *u, void *ctx)
{
	return u->cold_until_us > *(int64_t *)ctx;
}

static bool is_warm(const struct known_upstream *u, void *ctx)
{
	return !is_cold(u, ctx);
}

static size_t
count(struct node *n, const char *service,
      bool (*permitted)(const struct known_upstream *u, void *ctx), int64_t now)
{
	uint64_t handles[LIST_MAX];

	return directory_list(n->directory, service, permitted, &now, handles,
			      LIST_MAX);
}

bool known_cold_warm_exists(struct node *n, const char *service, int64_t now)
{
	return count(n, service, is_warm, now) > 0;
}

/*
 * Ends a cold period. What the upstream reported in it no longer holds, and
 * its service admits more: all of it once the last upstream is warm.
 */
static void end_period(struct node *n, struct known_upstream *u, int64_t now)
{
	size_t cold;

	u->cold_until_us = 0;
	u->load.rate = 0;
	u->load.shed_share = 0;
	u->load.queue_us = 0;
	cold = count(n, u->info.service, is_cold, now);
	cutoffs_reopen(n->cutoffs, name_hash(u->info.service),
		       1 / (1 + (double)cold), now);
}

static void begin_period(struct node *n, struct known_upstream *u,
			 int64_t until_us, int64_t now)
{
	if (!u->cold_until_us)
		cold_share_init(&u->cold_share, node_random(n), now);
	u->cold_until_us = until_us;
	note_service(n, u);
}

void known_cold_heard(struct node *n, struct known_upstream *u,
		      uint32_t cold_ms, int64_t now)
{
	if (cold_ms == u->info.cold_ms)
		return;
	u->info.cold_ms = cold_ms;
	if (cold_ms)
		begin_period(n, u, now + cold_ms * USEC_PER_MSEC, now);
	else if (u->cold_until_us)
		end_period(n, u, now);
}

void known_cold_refused(struct node *n, struct known_upstream *u, int64_t now)
{
	if (!u->cold_until_us)
		begin_period(n, u, now + REFUSED_COLD_US, now);
}

bool known_cold_is(struct node *n, struct known_upstream *u, int64_t now)
{
	if (!u->cold_until_us)
		return false;
	if (now < u->cold_until_us)
		return true;
	end_period(n, u, now);
	return false;
}

void known_cold_candidate(struct node *n, const struct request *r,
			  struct known_upstream *u, struct balance_candidate *c,
			  int64_t now)
{
	size_t members = members_count(n->members, MEMBER_ALIVE);
	const struct service *s;

	if (!known_cold_is(n, u, now))
		return;
	s = config_service(r->config, r->service);
	if (!s)
		return;
	c->cold_rate = s->cold_per_s;
	c->cold_due =
		!r->attempt && !r->reroutes &&
		cold_share_due(&u->cold_share,
			       s->cold_per_s / (double)(members ? members : 1),
			       now);
}

bool known_cold_hides_cutoff(struct node *n, struct known_upstream *u,
			     const struct answer_head *head, int64_t now)
{
	return head->bottleneck == name_hash(u->info.service) &&
	       (head->reason == REASON_COLD || known_cold_is(n, u, now)) &&
	       known_cold_warm_exists(n, u->info.service, now);
}

bool known_cold_may_reroute(struct node *n, const struct request *r,
			    int64_t now)
{
	return r->depth || known_cold_warm_exists(n, r->service, now);
}

uint32_t known_cold_retry_after_ms(struct node *n, uint64_t service,
				   int64_t now)
{
	const struct service *config = NULL;
	const struct cold_service *s;

	HASH_FIND(hh, n->cold_services, &service, sizeof(service), s);
	if (!s || now >= s->until_us || known_cold_warm_exists(n, s->name, now))
		return 0;
	if (n->config)
		config = config_service(n->config, s->name);
	return cold_retry_after_ms(s->until_us - now,
				   config ? config->cold_start_us : 0,
				   node_random(n));
}
