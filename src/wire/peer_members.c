#include "wire/wire_impl.h"

#include <stdlib.h>
#include <string.h>

#define MEMBER_FIELDS 9
#define UPSTREAM_FIELDS 5
#define UPSTREAM_COLD_FIELDS 1 /* absent in older versions */
#define MEMBER_DEPARTURES 1    /* absent in older versions, or if empty */
#define DEPARTURE_FIELDS 3
#define MEMBERS_MAX 1024 /* in one message */

#define TEXT_HEADER_SIZE 2 /* of a text shorter than NAME_SIZE or an address */
#define MEMBER_FIXED_SIZE 20   /* heads, incarnation, version, state */
#define UPSTREAM_FIXED_SIZE 17 /* head, slots, connections, state, cold */
#define DEPARTURE_SIZE 28      /* head and three numbers */

/* Returns an upper bound of the bytes that write_member writes. */
size_t member_info_wire_size(const struct member_info *m)
{
	size_t i, n = MEMBER_FIXED_SIZE + 5 * TEXT_HEADER_SIZE;

	n += strlen(m->host) + strlen(m->data_centre) + strlen(m->region);
	n += addr_size(&m->node_addr) + addr_size(&m->admin);
	for (i = 0; i < m->upstream_count; i++)
		n += UPSTREAM_FIXED_SIZE + 2 * TEXT_HEADER_SIZE +
		     strlen(m->upstreams[i].service) +
		     addr_size(&m->upstreams[i].addr);
	if (m->departure_count)
		n += 1 + m->departure_count * (size_t)DEPARTURE_SIZE;
	return n;
}

static void write_upstream(struct writer *w, const struct upstream_info *u)
{
	write_array(w, UPSTREAM_FIELDS + UPSTREAM_COLD_FIELDS);
	write_text(w, u->service);
	write_addr(w, &u->addr);
	write_uint(w, u->slots);
	write_uint(w, u->connections);
	write_uint(w, u->state);
	write_uint(w, u->cold_ms);
}

static void write_departures(struct writer *w, const struct member_info *m)
{
	const struct departure *d = m->departures;

	write_array(w, m->departure_count);
	for (; d < m->departures + m->departure_count; d++) {
		write_array(w, DEPARTURE_FIELDS);
		write_uint(w, d->instance);
		write_uint(w, (uint64_t)d->started_ms);
		write_uint(w, d->sequence);
	}
}

static void write_member(struct writer *w, const struct member_info *m)
{
	size_t i;

	write_array(w, MEMBER_FIELDS +
			       (m->departure_count ? MEMBER_DEPARTURES : 0));
	write_text(w, m->host);
	write_text(w, m->data_centre);
	write_text(w, m->region);
	write_addr(w, &m->node_addr);
	write_addr(w, &m->admin);
	write_uint(w, m->incarnation);
	write_uint(w, m->version);
	write_uint(w, m->state);
	write_array(w, m->upstream_count);
	for (i = 0; i < m->upstream_count; i++)
		write_upstream(w, &m->upstreams[i]);
	if (m->departure_count)
		write_departures(w, m);
}

/* Writes a list of members. */
void write_members(struct writer *w, const struct member_info *m, size_t n)
{
	size_t i;

	if (n > MEMBERS_MAX) {
		w->failed = true;
		return;
	}
	write_array(w, n);
	for (i = 0; i < n; i++)
		write_member(w, &m[i]);
}

static void read_upstream(struct reader *r, struct upstream_info *u)
{
	struct reader sub;

	reader_array(r, &sub, UPSTREAM_FIELDS);
	read_text(&sub, u->service, sizeof(u->service));
	read_addr(&sub, &u->addr);
	u->slots = (uint32_t)read_uint(&sub, UINT32_MAX);
	u->connections = (uint32_t)read_uint(&sub, UINT32_MAX);
	u->state = (enum upstream_state)read_uint(&sub, UPSTREAM_GONE);
	if (!sub.failed && sub.n >= UPSTREAM_FIELDS + UPSTREAM_COLD_FIELDS)
		u->cold_ms = (uint32_t)read_uint(&sub, UINT32_MAX);
	r->failed |= sub.failed;
}

static void read_departures(struct reader *r, struct member_info *m)
{
	struct reader list, sub;
	size_t i, n = reader_list(r, &list, DEPARTURES_MAX);

	for (i = 0; i < n; i++) {
		reader_array(&list, &sub, DEPARTURE_FIELDS);
		m->departures[i].instance = read_uint(&sub, UINT64_MAX);
		m->departures[i].started_ms =
			(int64_t)read_uint(&sub, INT64_MAX);
		m->departures[i].sequence = read_uint(&sub, UINT64_MAX);
		r->failed |= sub.failed;
	}
	m->departure_count = (uint8_t)n;
	r->failed |= list.failed;
}

static void read_member(struct reader *r, struct member_info *m)
{
	struct reader sub, list;
	size_t i, n;

	reader_array(r, &sub, MEMBER_FIELDS);
	read_text(&sub, m->host, sizeof(m->host));
	read_text(&sub, m->data_centre, sizeof(m->data_centre));
	read_text(&sub, m->region, sizeof(m->region));
	read_addr(&sub, &m->node_addr);
	read_addr(&sub, &m->admin);
	m->incarnation = read_uint(&sub, UINT64_MAX);
	m->version = (uint32_t)read_uint(&sub, UINT32_MAX);
	m->state = (enum member_state)read_uint(&sub, MEMBER_DEAD);
	n = reader_list(&sub, &list, UPSTREAMS_PER_HOST_MAX);
	for (i = 0; i < n; i++)
		read_upstream(&list, &m->upstreams[i]);
	m->upstream_count = (uint8_t)n;
	if (!sub.failed && sub.n >= MEMBER_FIELDS + MEMBER_DEPARTURES)
		read_departures(&sub, m);
	r->failed |= sub.failed || list.failed;
}

/* Reads a list of members into an allocated array; returns their number. */
size_t read_members(struct reader *r, struct member_info **m)
{
	struct reader list;
	size_t i, n = reader_list(r, &list, MEMBERS_MAX);

	*m = NULL;
	if (!n)
		return 0;
	*m = calloc(n, sizeof(**m));
	if (!*m) {
		r->failed = true;
		return 0;
	}
	for (i = 0; i < n; i++)
		read_member(&list, &(*m)[i]);
	r->failed |= list.failed;
	return n;
}
