#include "wire/wire_impl.h"

#define FACTS_FIELDS 6

/* Writes a list of facts about requests. */
void write_poison_facts(struct writer *w, const struct poison_facts *f,
			size_t n)
{
	size_t i;
	int j;

	write_array(w, n);
	for (i = 0; i < n; i++) {
		write_array(w, FACTS_FIELDS);
		write_uint(w, f[i].id.low);
		write_uint(w, f[i].id.high);
		write_uint(w, f[i].epoch);
		write_array(w, f[i].end_count);
		for (j = 0; j < f[i].end_count; j++)
			write_uint(w, f[i].ends[j]);
		write_bool(w, f[i].tried);
		write_text(w, f[i].service);
	}
}

static void read_facts(struct reader *r, struct poison_facts *f)
{
	struct reader sub, ends;
	size_t i;

	reader_array(r, &sub, FACTS_FIELDS);
	f->id.low = read_uint(&sub, UINT64_MAX);
	f->id.high = read_uint(&sub, UINT64_MAX);
	f->epoch = read_uint(&sub, UINT64_MAX);
	f->end_count = (uint8_t)reader_list(&sub, &ends, POISON_ENDS_MAX);
	for (i = 0; i < f->end_count; i++)
		f->ends[i] = read_uint(&ends, UINT64_MAX);
	f->tried = read_bool(&sub);
	read_text(&sub, f->service, sizeof(f->service));
	r->failed |= sub.failed || ends.failed;
}

/* Reads at most POISON_FACTS_MAX facts; returns their number. */
size_t read_poison_facts(struct reader *r,
			 struct poison_facts f[POISON_FACTS_MAX])
{
	struct reader list;
	size_t i, n = reader_list(r, &list, POISON_FACTS_MAX);

	for (i = 0; i < n; i++)
		read_facts(&list, &f[i]);
	r->failed |= list.failed;
	return list.failed ? 0 : n;
}
