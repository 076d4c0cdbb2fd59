/*
 * Departures in the store: those of a host are one value, under
 * departures/HOST, with a lease that ends when no announcement of the upstreams
 * can be on its way any more.
 */
#include "control/departures/departures_impl.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define PREFIX "departures/"
#define LEASE_TTL_S 600
#define TIMEOUT_US (500 * USEC_PER_MSEC)
#define RETRY_US (500 * USEC_PER_MSEC)

enum step {
	STEP_READ,
	STEP_GRANT,
	STEP_WRITE,
};

static void on_result(void *ctx, uint64_t tag, const struct store_result *r,
		      int64_t now);

void departures_store_init(struct departures *d)
{
	snprintf(d->key, sizeof(d->key), PREFIX "%s", d->o.host);
}

static void submit(struct departures *d, struct store_op *op, enum step step,
		   int64_t now)
{
	struct store_done done = {.ctx = d, .tag = step, .fn = on_result};

	op->priority = STORE_CLAIM;
	op->timeout_us = TIMEOUT_US;
	d->call_pending = true;
	store_submit(d->o.store, op, &done, now);
}

/* One line each: hash of the instance, start, last sequence number. */
static void write_text(const struct departures *d,
		       char text[DEPARTURES_TEXT_SIZE])
{
	const struct departure *p;
	size_t i, len = 0;

	text[0] = 0;
	for (i = 0; i < d->n; i++) {
		p = &d->items[i].departure;
		len += (size_t)snprintf(
			text + len, DEPARTURES_TEXT_SIZE - len,
			"%016" PRIx64 " %" PRId64 " %" PRIu64 "\n", p->instance,
			p->started_ms, p->sequence);
	}
}

/*
 * Reads one line; -1 if another writer wrote something else. sscanf turns a
 * number that is too large into the largest.
 */
static int read_line(const char *line, struct departure *p)
{
	int end = 0;

	if (sscanf(line, "%16" SCNx64 " %19" SCNd64 " %20" SCNu64 "%n",
		   &p->instance, &p->started_ms, &p->sequence, &end) != 3 ||
	    line[end] || p->started_ms < 0 || p->started_ms == INT64_MAX)
		return -1;
	return 0;
}

static void log_malformed(const struct departures *d)
{
	struct log_line line;

	log_start(&line, LOG_WARNING, "departure-refused");
	log_str(&line, "key", d->key);
	log_str(&line, "why", "malformed entry of the store");
	log_emit(&line);
}

/* Takes over what an earlier process of this host wrote. */
static void hear_text(struct departures *d, const struct store_entry *e,
		      int64_t now)
{
	char text[DEPARTURES_TEXT_SIZE], *line, *rest;
	struct departure list[DEPARTURES_MAX];
	size_t n = 0;

	if (e->len >= sizeof(text)) {
		log_malformed(d);
		return;
	}
	memcpy(text, e->value, e->len);
	text[e->len] = 0;
	for (line = strtok_r(text, "\n", &rest); line && n < DEPARTURES_MAX;
	     line = strtok_r(NULL, "\n", &rest))
		if (read_line(line, &list[n]) < 0)
			log_malformed(d);
		else
			n++;
	departures_hear(d, list, n, now);
}

/* Whether the entry holds exactly the departures of the table. */
static bool is_current(const struct departures *d, const struct store_entry *e)
{
	char text[DEPARTURES_TEXT_SIZE];

	write_text(d, text);
	return e ? e->len == strlen(text) && !memcmp(e->value, text, e->len)
		 : !d->n;
}

static void on_read(struct departures *d, const struct store_result *r,
		    int64_t now)
{
	const struct store_entry *e = r->n ? &r->entries[0] : NULL;

	if (r->outcome != STORE_DONE) {
		d->next_us = now + RETRY_US;
		return;
	}
	if (e)
		hear_text(d, e, now);
	d->revision = e ? e->mod_revision : 0;
	d->stored_ticket = is_current(d, e) ? d->last_ticket : 0;
	d->read_due = false;
	d->was_read = true;
}

static void write_value(struct departures *d, int64_t now)
{
	struct store_compare compare = {.key = d->key,
					.mod_revision = d->revision};
	struct store_write write = {
		.key = d->key, .value = d->text, .lease = d->lease};
	struct store_op op = {.kind = STORE_TXN};

	write_text(d, d->text);
	write.len = strlen(d->text);
	d->written_ticket = d->last_ticket;
	op.txn.compares = &compare;
	op.txn.compare_count = 1;
	op.txn.writes = &write;
	op.txn.write_count = 1;
	submit(d, &op, STEP_WRITE, now);
}

static void on_granted(struct departures *d, const struct store_result *r,
		       int64_t now)
{
	if (r->outcome != STORE_DONE) {
		d->next_us = now + RETRY_US;
		return;
	}
	d->lease = r->lease;
	write_value(d, now);
}

static void on_written(struct departures *d, const struct store_result *r,
		       int64_t now)
{
	if (r->outcome == STORE_DONE) {
		d->revision = r->revision;
		d->stored_ticket = d->written_ticket;
		return;
	}
	d->next_us = r->outcome == STORE_CONFLICT ? now : now + RETRY_US;
	/* The key shows whether the write took effect. */
	d->read_due = r->outcome != STORE_NOT_DONE;
}

static void on_result(void *ctx, uint64_t tag, const struct store_result *r,
		      int64_t now)
{
	struct departures *d = ctx;

	d->call_pending = false;
	switch ((enum step)tag) {
	case STEP_READ:
		on_read(d, r, now);
		break;
	case STEP_GRANT:
		on_granted(d, r, now);
		break;
	case STEP_WRITE:
		on_written(d, r, now);
		break;
	}
}

/* Reads the departures of earlier processes, and writes those that changed. */
void departures_store_tick(struct departures *d, int64_t now)
{
	struct store_op op = {.kind = STORE_GET, .key = d->key};

	if (!d->o.store || d->call_pending || now < d->next_us)
		return;
	if (d->read_due) {
		submit(d, &op, STEP_READ, now);
	} else if (d->stored_ticket < d->last_ticket) {
		op = (struct store_op){.kind = STORE_LEASE_GRANT};
		op.lease.ttl_s = LEASE_TTL_S;
		submit(d, &op, STEP_GRANT, now);
	}
}
