#include "wire/wire_impl.h"

#define INFO_FIELDS 3
#define ITEM_FIELDS 2

/* Writes the evacuations that a node knows. */
void write_evacuations(struct writer *w, const struct evacuations_info *info)
{
	size_t i;

	write_array(w, INFO_FIELDS);
	write_uint(w, (uint64_t)info->era);
	write_uint(w, (uint64_t)info->revision);
	write_array(w, info->n);
	for (i = 0; i < info->n; i++) {
		write_array(w, ITEM_FIELDS);
		write_text(w, info->items[i].data_centre);
		write_uint(w, (uint64_t)info->items[i].age_ms);
	}
}

void read_evacuations(struct reader *r, struct evacuations_info *info)
{
	struct reader sub, list, item;
	size_t i;

	reader_array(r, &sub, INFO_FIELDS);
	info->era = (int64_t)read_uint(&sub, INT64_MAX);
	info->revision = (int64_t)read_uint(&sub, INT64_MAX);
	info->n = reader_list(&sub, &list, EVACUATIONS_MAX);
	for (i = 0; i < info->n; i++) {
		reader_array(&list, &item, ITEM_FIELDS);
		read_text(&item, info->items[i].data_centre,
			  sizeof(info->items[i].data_centre));
		info->items[i].age_ms =
			(int64_t)read_uint(&item, INT64_MAX / USEC_PER_MSEC);
		list.failed |= item.failed;
	}
	info->known = !sub.failed && !list.failed;
	r->failed |= !info->known;
}
