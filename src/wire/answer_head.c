#include "wire/wire_impl.h"

#define ANSWER_HEAD_FIELDS 11
/* Absent in older versions. */
#define ANSWER_HEAD_RATE_FIELDS 1
#define ANSWER_HEAD_END_FIELDS 2

/* Writes the head of an answer as one array. */
void write_answer_head(struct writer *w, const struct answer_head *h)
{
	int i;

	write_array(w, ANSWER_HEAD_FIELDS + ANSWER_HEAD_RATE_FIELDS +
			       ANSWER_HEAD_END_FIELDS);
	write_uint(w, h->outcome);
	write_uint(w, h->reason);
	write_uint(w, h->allowance_left);
	write_uint(w, h->runs);
	write_array(w, SHED_CLASSES);
	for (i = 0; i < SHED_CLASSES; i++)
		write_uint(w, h->admission.admitted[i]);
	write_uint(w, h->queue_us);
	write_uint(w, h->service_us);
	write_uint(w, h->in_flight);
	write_uint(w, h->retry_after_ms);
	write_bool(w, h->leaving);
	write_uint(w, h->bottleneck);
	write_uint(w, h->rate_milli);
	write_uint(w, h->ended_incarnation);
	write_uint(w, h->ended_calls);
}

/*
 * Maps reasons unknown to this version to REASON_UPSTREAM_FAILED, so that nodes
 * of different versions interoperate. An unknown outcome, in contrast, makes
 * the answer malformed.
 */
static enum reason known_reason(uint64_t v)
{
	return v < REASON_COUNT ? (enum reason)v : REASON_UPSTREAM_FAILED;
}

/* Decodes the output of write_answer_head. */
void read_answer_head(struct reader *r, struct answer_head *h)
{
	struct reader sub, admitted;
	int i;

	reader_array(r, &sub, ANSWER_HEAD_FIELDS);
	h->outcome = (enum outcome)read_uint(&sub, OUTCOME_UNKNOWN);
	h->reason = known_reason(read_uint(&sub, UINT8_MAX));
	h->allowance_left = (uint8_t)read_uint(&sub, UINT8_MAX);
	h->runs = (uint16_t)read_uint(&sub, UINT16_MAX);
	reader_array(&sub, &admitted, SHED_CLASSES);
	for (i = 0; i < SHED_CLASSES; i++)
		h->admission.admitted[i] =
			(uint16_t)read_uint(&admitted, ADMIT_ALL);
	h->queue_us = (uint32_t)read_uint(&sub, UINT32_MAX);
	h->service_us = (uint32_t)read_uint(&sub, UINT32_MAX);
	h->in_flight = (uint32_t)read_uint(&sub, UINT32_MAX);
	h->retry_after_ms = (uint32_t)read_uint(&sub, UINT32_MAX);
	h->leaving = read_bool(&sub);
	h->bottleneck = read_uint(&sub, UINT64_MAX);
	if (!sub.failed &&
	    sub.n >= ANSWER_HEAD_FIELDS + ANSWER_HEAD_RATE_FIELDS)
		h->rate_milli = (uint32_t)read_uint(&sub, UINT32_MAX);
	if (!sub.failed && sub.n >= ANSWER_HEAD_FIELDS +
					    ANSWER_HEAD_RATE_FIELDS +
					    ANSWER_HEAD_END_FIELDS) {
		h->ended_incarnation = read_uint(&sub, UINT64_MAX);
		h->ended_calls = (uint32_t)read_uint(&sub, UINT32_MAX);
	}
	r->failed |= sub.failed || admitted.failed;
}
