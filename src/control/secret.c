/*
 * The shared secret that encrypts links and datagrams if the settings name
 * none. The first node to start writes it to the store. It changes only if the
 * store lost it and a new node was the first to write another one.
 */
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "control/control.h"

#define SECRET_STORE_KEY "mulberryferry/link-secret"
#define TIMEOUT_US USEC_PER_SEC
#define RETRY_US (300 * USEC_PER_MSEC) /* delay after a failed store call */
/*
 * Time for which a node that does not know the secret leaves it to others to
 * write it, as the store may have lost it and running nodes may use it.
 */
#define PROPOSE_DELAY_US (2 * USEC_PER_SEC)

struct secret {
	struct secret_options o;
	uint8_t value[SECRET_SIZE]; /* proposed, or known */
	bool known;
	bool check_due; /* the store's may be absent or another one */
	bool call_pending;
	int64_t absent_since_us; /* first read that found none; 0: no read */
	int64_t next_us;
};

struct secret *secret_new(const struct secret_options *o)
{
	struct secret *s = calloc(1, sizeof(*s));

	if (!s)
		return NULL;
	s->o = *o;
	randombytes_buf(s->value, sizeof(s->value));
	return s;
}

/* The store must not deliver results to it afterwards. */
void secret_free(struct secret *s)
{
	if (!s)
		return;
	sodium_memzero(s->value, sizeof(s->value));
	free(s);
}

/* Puts the store's value in use, unless it is in use already. */
static void set_known(struct secret *s, const uint8_t *value, int64_t now)
{
	bool changed = s->known && sodium_memcmp(s->value, value, SECRET_SIZE);
	struct log_line line;

	s->check_due = false;
	if (s->known && !changed)
		return;
	s->known = true;
	memmove(s->value, value, SECRET_SIZE);
	log_start(&line, LOG_NOTICE,
		  changed ? "secret-changed" : "secret-known");
	log_emit(&line);
	s->o.on_known(s->o.ctx, s->value, now);
}

static void write_done(void *ctx, uint64_t tag, const struct store_result *r,
		       int64_t now)
{
	struct secret *s = ctx;

	(void)tag;
	s->call_pending = false;
	/* After a conflict, read the secret that another node wrote. */
	s->next_us = now;
	if (r->outcome == STORE_DONE)
		set_known(s, s->value, now);
	else if (r->outcome != STORE_CONFLICT)
		s->next_us = now + RETRY_US;
}

static void write_value(struct secret *s, int64_t now)
{
	struct store_compare absent = {.key = SECRET_STORE_KEY};
	struct store_write write = {
		.key = SECRET_STORE_KEY, .value = s->value, .len = SECRET_SIZE};
	struct store_op op = {.kind = STORE_TXN,
			      .priority = STORE_CLAIM,
			      .timeout_us = TIMEOUT_US};
	struct store_done done = {.ctx = s, .fn = write_done};

	op.txn.compares = &absent;
	op.txn.compare_count = 1;
	op.txn.writes = &write;
	op.txn.write_count = 1;
	s->call_pending = true;
	store_submit(s->o.store, &op, &done, now);
}

static void read_done(void *ctx, uint64_t tag, const struct store_result *r,
		      int64_t now)
{
	struct secret *s = ctx;

	(void)tag;
	s->call_pending = false;
	s->next_us = now + RETRY_US;
	if (r->outcome != STORE_DONE)
		return;
	if (!r->n) {
		if (!s->absent_since_us)
			s->absent_since_us = now;
		if (s->known || now - s->absent_since_us >= PROPOSE_DELAY_US)
			write_value(s, now);
	} else if (r->entries[0].len == SECRET_SIZE) {
		set_known(s, r->entries[0].value, now);
	} else {
		struct error err;

		error_set(&err, ERROR_INPUT, "secret", SECRET_STORE_KEY,
			  "the store holds %zu bytes instead of %d",
			  r->entries[0].len, SECRET_SIZE);
		log_error(LOG_ERR, "secret-refused", &err);
	}
}

/*
 * Has the next tick compare the secret with the store's after the store came
 * back from an older copy.
 */
void secret_store_replaced(struct secret *s, int64_t now)
{
	s->check_due = true;
	s->next_us = now;
}

/*
 * Reads the secret from the store until it is known, and again after the store
 * came back from an older copy; writes one if it is absent.
 */
void secret_tick(struct secret *s, int64_t now)
{
	struct store_op op = {.kind = STORE_GET,
			      .priority = STORE_CLAIM,
			      .timeout_us = TIMEOUT_US,
			      .key = SECRET_STORE_KEY};
	struct store_done done = {.ctx = s, .fn = read_done};

	if ((s->known && !s->check_due) || s->call_pending || now < s->next_us)
		return;
	s->call_pending = true;
	store_submit(s->o.store, &op, &done, now);
}
