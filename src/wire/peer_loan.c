#include "wire/wire_impl.h"

#define LOAN_FIELDS 5
#define LOAN_REST_MAX 999999 /* a thousandth, in billionths */

/* Reads the last field, which messages of older builds lack. */
static uint32_t read_rest(struct reader *r)
{
	return r->n > LOAN_FIELDS ? (uint32_t)read_uint(r, LOAN_REST_MAX) : 0;
}

/* Writes a loan request, or a report of spent tokens, of a borrower. */
void write_loan_request(struct writer *w, const struct loan_request *q)
{
	write_array(w, LOAN_FIELDS + 1);
	write_uint(w, q->id);
	write_text(w, q->account);
	write_uint(w, q->limits_hash);
	write_uint(w, q->tokens);
	write_uint(w, q->returned);
	write_uint(w, q->rest);
}

/* Decodes the output of write_loan_request. */
void read_loan_request(struct reader *r, struct loan_request *q)
{
	struct reader sub;

	reader_array(r, &sub, LOAN_FIELDS);
	q->id = read_uint(&sub, UINT64_MAX);
	read_text(&sub, q->account, sizeof(q->account));
	q->limits_hash = read_uint(&sub, UINT64_MAX);
	q->tokens = (uint32_t)read_uint(&sub, UINT32_MAX);
	q->returned = (uint32_t)read_uint(&sub, UINT32_MAX);
	q->rest = read_rest(&sub);
	r->failed |= sub.failed;
}

/* Writes the lender's response. */
void write_loan_grant(struct writer *w, const struct loan_grant *g)
{
	write_array(w, LOAN_FIELDS + 2);
	write_uint(w, g->id);
	write_text(w, g->account);
	write_uint(w, g->limits_hash);
	write_uint(w, g->tokens);
	write_uint(w, g->remaining);
	write_uint(w, g->rest);
	write_bool(w, g->no_share);
}

/* Decodes the output of write_loan_grant. */
void read_loan_grant(struct reader *r, struct loan_grant *g)
{
	struct reader sub;

	reader_array(r, &sub, LOAN_FIELDS);
	g->id = read_uint(&sub, UINT64_MAX);
	read_text(&sub, g->account, sizeof(g->account));
	g->limits_hash = read_uint(&sub, UINT64_MAX);
	g->tokens = (uint32_t)read_uint(&sub, UINT32_MAX);
	g->remaining = (uint32_t)read_uint(&sub, UINT32_MAX);
	g->rest = read_rest(&sub);
	if (sub.n > LOAN_FIELDS + 1)
		g->no_share = read_bool(&sub);
	r->failed |= sub.failed;
}

#define STANDBY_FIELDS 6

/* Writes a message between the holder of a slice and its standby. */
void write_standby(struct writer *w, const struct standby_msg *s)
{
	write_array(w, STANDBY_FIELDS);
	write_uint(w, s->step);
	write_text(w, s->group);
	write_uint(w, s->sent_us);
	write_uint(w, s->revision);
	write_uint(w, s->share);
	write_bool(w, s->consent);
}

/* Decodes the output of write_standby. */
void read_standby(struct reader *r, struct standby_msg *s)
{
	struct reader sub;

	reader_array(r, &sub, STANDBY_FIELDS);
	s->step = (enum standby_step)read_uint(&sub, STANDBY_RELEASE);
	read_text(&sub, s->group, sizeof(s->group));
	s->sent_us = read_uint(&sub, INT64_MAX);
	s->revision = read_uint(&sub, INT64_MAX);
	s->share = (uint32_t)read_uint(&sub, UINT32_MAX);
	s->consent = read_bool(&sub);
	r->failed |= sub.failed;
}
