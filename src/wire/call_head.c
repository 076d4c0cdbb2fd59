#include "wire/wire_impl.h"

#define CALL_HEAD_FIELDS 14
#define CALL_HEAD_TRIAL_FIELDS 1 /* absent in older versions */
#define CALL_HEAD_HOME_FIELDS 1	 /* absent if the account has no home */

/* Writes the home regions of the root's account as a list of hashes. */
static void write_home(struct writer *w, const struct home *h)
{
	uint8_t i;

	write_array(w, h->count);
	for (i = 0; i < h->count; i++)
		write_uint(w, h->regions[i]);
}

static void read_home(struct reader *r, struct home *h)
{
	struct reader list;
	size_t i;

	h->count = (uint8_t)reader_list(r, &list, REGIONS_MAX);
	h->bounded = true;
	for (i = 0; i < h->count; i++)
		h->regions[i] = read_uint(&list, UINT64_MAX);
	r->failed |= list.failed;
}

/* Writes the head of a call as one array. */
void write_call_head(struct writer *w, const struct call_head *h)
{
	int i;

	write_array(w, CALL_HEAD_FIELDS + CALL_HEAD_TRIAL_FIELDS +
			       (h->account_home.bounded ? CALL_HEAD_HOME_FIELDS
							: 0));
	write_text(w, h->request);
	write_text(w, h->root);
	write_text(w, h->service);
	write_text(w, h->route);
	write_text(w, h->account);
	write_addr(w, &h->upstream);
	write_uint(w, h->cls);
	write_uint(w, h->admit_hash);
	write_uint(w, h->deadline_ms);
	write_uint(w, h->allowance);
	write_uint(w, h->depth);
	write_uint(w, h->attempt);
	write_bool(w, h->once);
	write_array(w, SHED_CLASSES);
	for (i = 0; i < SHED_CLASSES; i++)
		write_uint(w, h->shed_unreported[i]);
	write_bool(w, h->trial);
	if (h->account_home.bounded)
		write_home(w, &h->account_home);
}

/* Decodes the output of write_call_head. */
void read_call_head(struct reader *r, struct call_head *h)
{
	struct reader sub, unreported;
	int i;

	reader_array(r, &sub, CALL_HEAD_FIELDS);
	read_text(&sub, h->request, sizeof(h->request));
	read_text(&sub, h->root, sizeof(h->root));
	read_text(&sub, h->service, sizeof(h->service));
	read_text(&sub, h->route, sizeof(h->route));
	read_text(&sub, h->account, sizeof(h->account));
	read_addr(&sub, &h->upstream);
	h->cls = (enum shed_class)read_uint(&sub, SHED_CLASSES - 1);
	h->admit_hash = (uint16_t)read_uint(&sub, UINT16_MAX);
	h->deadline_ms = (uint32_t)read_uint(&sub, UINT32_MAX);
	h->allowance = (uint8_t)read_uint(&sub, UINT8_MAX);
	h->depth = (uint8_t)read_uint(&sub, UINT8_MAX);
	h->attempt = (uint8_t)read_uint(&sub, UINT8_MAX);
	h->once = read_bool(&sub);
	reader_array(&sub, &unreported, SHED_CLASSES);
	for (i = 0; i < SHED_CLASSES; i++)
		h->shed_unreported[i] =
			(uint32_t)read_uint(&unreported, UINT32_MAX);
	if (!sub.failed && sub.n >= CALL_HEAD_FIELDS + CALL_HEAD_TRIAL_FIELDS)
		h->trial = read_bool(&sub);
	if (!sub.failed && sub.n >= CALL_HEAD_FIELDS + CALL_HEAD_TRIAL_FIELDS +
					    CALL_HEAD_HOME_FIELDS)
		read_home(&sub, &h->account_home);
	r->failed |= sub.failed || unreported.failed;
}
