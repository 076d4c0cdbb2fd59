#include "control/explain/explain_impl.h"

#include <stdlib.h>
#include <string.h>

struct explain {
	struct decision *ring;
	struct record_index by_root;
	struct record_index by_request; /* sub-calls only */
	struct counts *counts;
	uint32_t size;
	uint64_t added; /* records since the start */
};

static int record_index_init(struct record_index *idx, uint32_t size)
{
	idx->heads = calloc(size, sizeof(*idx->heads));
	idx->prev = calloc(size, sizeof(*idx->prev));
	return idx->heads && idx->prev ? 0 : -1;
}

static void record_index_free(struct record_index *idx)
{
	free(idx->heads);
	free(idx->prev);
}

static void record_index_add(struct record_index *idx, uint32_t size,
			     const char *id, uint64_t sequence)
{
	uint64_t *head = &idx->heads[name_hash(id) % size];

	idx->prev[sequence % size] = *head;
	*head = sequence + 1;
}

/* Keeps the last ring_size decisions; NULL when out of memory. */
struct explain *explain_new(uint32_t ring_size)
{
	struct explain *e = calloc(1, sizeof(*e));

	if (!e)
		return NULL;
	e->size = ring_size;
	e->ring = calloc(ring_size, sizeof(*e->ring));
	e->counts = counts_new();
	if (e->ring && e->counts &&
	    !record_index_init(&e->by_request, ring_size) &&
	    !record_index_init(&e->by_root, ring_size))
		return e;
	explain_free(e);
	return NULL;
}

void explain_free(struct explain *e)
{
	record_index_free(&e->by_request);
	record_index_free(&e->by_root);
	if (e->counts)
		counts_free(e->counts);
	free(e->ring);
	free(e);
}

/*
 * Returns the bytes that records, indexes and counts take when full. Each of
 * the two indexes has two numbers per record.
 */
size_t explain_bytes(const struct explain *e)
{
	return sizeof(*e) + counts_bytes() +
	       (size_t)e->size * (sizeof(*e->ring) + 4 * sizeof(uint64_t));
}

/* Returns the name of a decision, as logs and answers give it. */
const char *decision_name(enum decision_kind kind)
{
	switch (kind) {
	case DECISION_ADMITTED:
		return "admitted";
	case DECISION_REFUSED:
		return "refused";
	case DECISION_PLACED:
		return "placed";
	case DECISION_RETRIED:
		return "retried";
	case DECISION_QUEUED:
		return "queued";
	case DECISION_RUN:
		return "run";
	case DECISION_DROPPED:
		return "dropped";
	case DECISION_ANSWERED:
		return "answered";
	case DECISION_CANCELLED:
		return "cancelled";
	case DECISION_OBSERVED:
		return "observed";
	}
	return "unknown";
}

static void log_decision(const struct decision *d)
{
	struct log_line line;

	log_start(&line, LOG_INFO, decision_name(d->kind));
	log_str(&line, "request", d->request);
	if (strcmp(d->request, d->root))
		log_str(&line, "root", d->root);
	log_str(&line, "account", d->account);
	log_str(&line, "route", d->route);
	log_str(&line, "service", d->service);
	if (d->peer[0])
		log_str(&line, "peer", d->peer);
	if (d->reason != REASON_NONE)
		log_str(&line, "reason", reason_code(d->reason));
	if (d->status)
		log_int(&line, "status", d->status);
	if (d->attempt)
		log_int(&line, "attempt", d->attempt);
	if (d->inputs[0])
		log_str(&line, "inputs", d->inputs);
	log_int(&line, "took_us", d->took_us);
	log_emit(&line);
}

/* Records, counts and logs one decision; the oldest record is evicted. */
void explain_add(struct explain *e, const struct decision *d)
{
	uint64_t sequence = e->added++;

	e->ring[sequence % e->size] = *d;
	record_index_add(&e->by_root, e->size, d->root, sequence);
	if (strcmp(d->request, d->root) != 0)
		record_index_add(&e->by_request, e->size, d->request, sequence);
	counts_add(e->counts, d);
	if (log_enabled(LOG_INFO))
		log_decision(d);
}

/*
 * Returns the newest record in the list of an id's hash, as sequence number
 * plus one, or 0 when there is none in the ring.
 */
static uint64_t record_index_first(const struct explain *e,
				   const struct record_index *idx,
				   const char *id)
{
	uint64_t s = idx->heads[name_hash(id) % e->size];

	return s && s - 1 + e->size >= e->added ? s : 0;
}

static uint64_t record_index_next(const struct explain *e,
				  const struct record_index *idx, uint64_t s)
{
	s = idx->prev[(s - 1) % e->size];
	return s && s - 1 + e->size >= e->added ? s : 0;
}

/*
 * Copies up to max records, newest first, of a request or, if id is that of a
 * root, of all requests of its chain on this node. Returns their number.
 */
size_t explain_find(const struct explain *e, const char *id,
		    struct decision *out, size_t max)
{
	const struct decision *d;
	size_t n = 0;
	uint64_t s;

	for (s = record_index_first(e, &e->by_root, id); s && n < max;
	     s = record_index_next(e, &e->by_root, s)) {
		d = &e->ring[(s - 1) % e->size];
		if (!strcmp(d->root, id))
			out[n++] = *d;
	}
	for (s = record_index_first(e, &e->by_request, id); s && n < max;
	     s = record_index_next(e, &e->by_request, s)) {
		d = &e->ring[(s - 1) % e->size];
		if (!strcmp(d->request, id) && strcmp(d->root, id) != 0)
			out[n++] = *d;
	}
	return n;
}

/* Returns the wall time of the oldest record in the ring, 0 if empty. */
int64_t explain_oldest_us(const struct explain *e)
{
	if (!e->added)
		return 0;
	return e->ring[e->added > e->size ? e->added % e->size : 0].wall_us;
}

/* Lists the counts as spans; see counts_spans. */
size_t explain_spans(const struct explain *e, const char *account,
		     int64_t since_min, struct explain_span *out, size_t max)
{
	return counts_spans(e->counts, account, since_min, out, max);
}
