#include "wire/wire_impl.h"

#define LOAN_FIELDS 5

/* Writes a loan request, or a report of spent tokens, of a borrower. */
void write_loan_request(struct writer *w, const struct loan_request *q)
{
	write_array(w, LOAN_FIELDS);
	write_uint(w, q->id);
	write_text(w, q->account);
	write_uint(w, q->limits_hash);
	write_uint(w, q->tokens);
	write_uint(w, q->returned);
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
	r->failed |= sub.failed;
}

/* Writes the lender's response. */
void write_loan_grant(struct writer *w, const struct loan_grant *g)
{
	write_array(w, LOAN_FIELDS);
	write_uint(w, g->id);
	write_text(w, g->account);
	write_uint(w, g->limits_hash);
	write_uint(w, g->tokens);
	write_uint(w, g->remaining);
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
	r->failed |= sub.failed;
}
