#include "node/node.h"

#include <stdlib.h>
#include <string.h>

#include "node/known_cold.h"

#define UPSTREAMS_MAX 65536

/*
 * Upstreams of one service that this node calls, in its own data centre and
 * in the others.
 */
#define LOCAL_SUBSET_MAX 24
#define REMOTE_SUBSET_MAX 8

struct service_entry {
	char name[NAME_SIZE];
	uint64_t *handles; /* own data centre first, then by rendezvous hash */
	size_t count;
	size_t size;
	UT_hash_handle hh;
};

/* The upstreams that a member announced. */
struct member_entry {
	struct addr member;
	uint64_t handles[UPSTREAMS_PER_HOST_MAX];
	size_t count;
	UT_hash_handle hh;
};

struct directory {
	struct node *node;
	struct service_entry *services;
	struct member_entry *members;
};

/* Returns an empty directory, or NULL when out of memory. */
struct directory *directory_new(struct node *n)
{
	struct directory *d = calloc(1, sizeof(*d));

	if (!d)
		return NULL;
	d->node = n;
	table_init(&n->upstreams, sizeof(struct known_upstream), UPSTREAMS_MAX);
	return d;
}

/* Frees the directory and its table of upstreams. */
void directory_free(struct directory *d)
{
	struct service_entry *s = d->services, *s_next;
	struct member_entry *m = d->members, *m_next;

	HASH_CLEAR(hh, d->services);
	for (; s; s = s_next) {
		s_next = s->hh.next;
		free(s->handles);
		free(s);
	}
	HASH_CLEAR(hh, d->members);
	for (; m; m = m_next) {
		m_next = m->hh.next;
		free(m);
	}
	table_free(&d->node->upstreams);
	free(d);
}

/* Returns the upstream with this handle, or NULL if it was removed. */
struct known_upstream *directory_get(struct directory *d, uint64_t handle)
{
	return table_get(&d->node->upstreams, handle);
}

/* Rendezvous hash of this node and an upstream. */
static uint64_t rank(const struct directory *d, const struct known_upstream *u)
{
	char self[ADDR_TEXT_SIZE], other[ADDR_TEXT_SIZE];

	addr_format(&d->node->self, self);
	addr_format(&u->info.addr, other);
	return pair_hash(name_hash(self), name_hash(other));
}

static bool precedes(const struct directory *d, const struct known_upstream *a,
		     const struct known_upstream *b)
{
	if (a->same_data_centre != b->same_data_centre)
		return a->same_data_centre;
	return rank(d, a) < rank(d, b);
}

static struct service_entry *service_entry(struct directory *d,
					   const char *name)
{
	struct service_entry *s;

	HASH_FIND_STR(d->services, name, s);
	if (s)
		return s;
	s = calloc(1, sizeof(*s));
	if (!s || copy_name(s->name, sizeof(s->name), name) < 0) {
		free(s);
		return NULL;
	}
	HASH_ADD_STR(d->services, name, s);
	return s;
}

static int service_insert(struct directory *d, uint64_t handle)
{
	struct known_upstream *u = directory_get(d, handle);
	struct service_entry *s = service_entry(d, u->info.service);
	uint64_t *p;
	size_t at;

	if (!s)
		return -1;
	if (s->count == s->size) {
		p = realloc(s->handles, (s->size + 8) * sizeof(*p));
		if (!p)
			return -1;
		s->handles = p;
		s->size += 8;
	}
	for (at = s->count; at > 0; at--) {
		if (!precedes(d, u, directory_get(d, s->handles[at - 1])))
			break;
		s->handles[at] = s->handles[at - 1];
	}
	s->handles[at] = handle;
	s->count++;
	return 0;
}

static void service_remove(struct directory *d, uint64_t handle)
{
	struct known_upstream *u = directory_get(d, handle);
	struct service_entry *s = service_entry(d, u->info.service);
	size_t i;

	for (i = 0; s && i < s->count; i++) {
		if (s->handles[i] != handle)
			continue;
		memmove(s->handles + i, s->handles + i + 1,
			(s->count - i - 1) * sizeof(*s->handles));
		s->count--;
		break;
	}
	table_remove(&d->node->upstreams, handle);
}

static bool member_serves(const struct member_info *m)
{
	return m->state == MEMBER_ALIVE || m->state == MEMBER_SUSPECT ||
	       m->state == MEMBER_LEAVING;
}

static const struct upstream_info *
find_announced(const struct member_info *m, const struct known_upstream *u)
{
	size_t i;

	if (!member_serves(m))
		return NULL;
	for (i = 0; i < m->upstream_count; i++)
		if (addr_equal(&m->upstreams[i].addr, &u->info.addr) &&
		    !strcmp(m->upstreams[i].service, u->info.service))
			return &m->upstreams[i];
	return NULL;
}

/*
 * Updates the known upstreams of a member from its announcement, and removes
 * those that it no longer lists.
 */
static void update_announced(struct directory *d, struct member_entry *e,
			     const struct member_info *m, int64_t now)
{
	const struct upstream_info *info;
	struct known_upstream *u;
	size_t i = 0;

	while (i < e->count) {
		u = directory_get(d, e->handles[i]);
		info = find_announced(m, u);
		if (info && info->state != UPSTREAM_GONE) {
			known_cold_heard(d->node, u, info->cold_ms, now);
			u->info = *info;
			u->region = name_hash(m->region);
			if (m->state == MEMBER_LEAVING)
				u->info.state = UPSTREAM_LEAVING;
			i++;
			continue;
		}
		service_remove(d, e->handles[i]);
		e->handles[i] = e->handles[--e->count];
	}
}

static bool is_known(const struct directory *d, const struct member_entry *e,
		     const struct upstream_info *info)
{
	const struct known_upstream *u;
	size_t i;

	for (i = 0; i < e->count; i++) {
		u = table_get(&d->node->upstreams, e->handles[i]);
		if (addr_equal(&u->info.addr, &info->addr) &&
		    !strcmp(u->info.service, info->service))
			return true;
	}
	return false;
}

static void add_upstream(struct directory *d, struct member_entry *e,
			 const struct member_info *m,
			 const struct upstream_info *info, int64_t now)
{
	struct known_upstream *u;
	uint64_t handle;
	void *item;

	if (e->count == UPSTREAMS_PER_HOST_MAX)
		return;
	handle = table_add(&d->node->upstreams, &item);
	if (!handle)
		return;
	u = item;
	u->member = m->node_addr;
	u->info = *info;
	u->info.cold_ms = 0;
	known_cold_heard(d->node, u, info->cold_ms, now);
	if (m->state == MEMBER_LEAVING)
		u->info.state = UPSTREAM_LEAVING;
	u->data_centre = name_hash(m->data_centre);
	u->region = name_hash(m->region);
	u->same_data_centre =
		!strcmp(m->data_centre, d->node->settings.data_centre);
	if (service_insert(d, handle) < 0) {
		table_remove(&d->node->upstreams, handle);
		return;
	}
	e->handles[e->count++] = handle;
}

/* Updates the upstreams of a member to those that it announces. */
void directory_update(struct directory *d, const struct member_info *m,
		      int64_t now)
{
	struct member_entry *e;
	size_t i;

	HASH_FIND(hh, d->members, &m->node_addr, sizeof(m->node_addr), e);
	if (!e) {
		e = calloc(1, sizeof(*e));
		if (!e)
			return;
		e->member = m->node_addr;
		HASH_ADD(hh, d->members, member, sizeof(e->member), e);
	}
	update_announced(d, e, m, now);
	for (i = 0; member_serves(m) && i < m->upstream_count; i++)
		if (m->upstreams[i].state != UPSTREAM_GONE &&
		    !is_known(d, e, &m->upstreams[i]))
			add_upstream(d, e, m, &m->upstreams[i], now);
	if (!e->count) {
		HASH_DEL(d->members, e);
		free(e);
	}
}

/*
 * Lists upstreams of a service that accept new calls and are permitted, those
 * of the own data centre first. Each node uses a stable subset, also of the other data
 * centres, to limit its number of links.
 */
size_t directory_list(struct directory *d, const char *service,
		      bool (*permitted)(const struct known_upstream *u,
					void *ctx),
		      void *ctx, uint64_t *handles, size_t max)
{
	size_t own = 0, other = 0, n = 0, i;
	const struct known_upstream *u;
	struct service_entry *s;

	HASH_FIND_STR(d->services, service, s);
	for (i = 0; s && i < s->count && n < max; i++) {
		u = directory_get(d, s->handles[i]);
		if (u->info.state != UPSTREAM_READY ||
		    (permitted && !permitted(u, ctx)))
			continue;
		if (u->same_data_centre ? own++ >= LOCAL_SUBSET_MAX
					: other++ >= REMOTE_SUBSET_MAX)
			continue;
		handles[n++] = s->handles[i];
	}
	return n;
}
