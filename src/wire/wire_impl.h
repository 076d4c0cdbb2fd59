/*
 * Reading and writing of msgpack values. After an error a reader or writer
 * stays failed, so callers check once, at the end.
 */
#ifndef WIRE_WIRE_IMPL_H
#define WIRE_WIRE_IMPL_H

#include <msgpack.h>

#include "wire/wire.h"

/* Unknown fields accepted at the end of an array, sent by newer versions. */
#define EXTRA_FIELDS_MAX 8

struct writer {
	msgpack_packer pk;
	struct buffer *out;
	size_t start;
	size_t limit;
	bool failed;
};

void writer_init(struct writer *w, struct buffer *out, size_t limit);
int writer_end(struct writer *w);
void write_array(struct writer *w, size_t n);
void write_uint(struct writer *w, uint64_t v);
void write_bool(struct writer *w, bool v);
void write_text(struct writer *w, const char *s);
void write_bytes(struct writer *w, const void *data, size_t len);
size_t addr_size(const struct addr *a);
void write_addr(struct writer *w, const struct addr *a);

struct reader {
	const msgpack_object *items;
	size_t n;
	size_t next;
	bool failed;
};

int parse_value(msgpack_unpacked *u, const uint8_t *data, size_t len);
void reader_init(struct reader *r, const msgpack_object *o, size_t known);
void reader_array(struct reader *r, struct reader *sub, size_t known);
size_t reader_list(struct reader *r, struct reader *list, size_t max);
uint64_t read_uint(struct reader *r, uint64_t max);
bool read_bool(struct reader *r);
void read_text(struct reader *r, char *to, size_t size);
char *read_text_copy(struct reader *r, size_t max);
const uint8_t *read_bytes(struct reader *r, size_t max, size_t *len);
void read_buffer(struct reader *r, struct buffer *b, size_t max);
void read_addr(struct reader *r, struct addr *a);

void write_call_head(struct writer *w, const struct call_head *h);
void read_call_head(struct reader *r, struct call_head *h);
void write_answer_head(struct writer *w, const struct answer_head *h);
void read_answer_head(struct reader *r, struct answer_head *h);
void write_message(struct writer *w, const struct message *m);
void read_message(struct reader *r, struct message *m);

void write_poison_facts(struct writer *w, const struct poison_facts *f,
			size_t n);
size_t read_poison_facts(struct reader *r,
			 struct poison_facts f[POISON_FACTS_MAX]);

void write_evacuations(struct writer *w, const struct evacuations_info *info);
void read_evacuations(struct reader *r, struct evacuations_info *info);

void write_members(struct writer *w, const struct member_info *m, size_t n);
size_t read_members(struct reader *r, struct member_info **m);
void write_peer_msg(struct writer *w, const struct peer_msg *m);
void read_peer_msg(struct reader *r, struct peer_msg *m);
void write_loan_request(struct writer *w, const struct loan_request *q);
void read_loan_request(struct reader *r, struct loan_request *q);
void write_loan_grant(struct writer *w, const struct loan_grant *g);
void read_loan_grant(struct reader *r, struct loan_grant *g);
void write_standby(struct writer *w, const struct standby_msg *s);
void read_standby(struct reader *r, struct standby_msg *s);

#endif
