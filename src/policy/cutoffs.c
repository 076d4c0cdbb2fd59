#include "policy/policy.h"

#include <math.h>
#include <stdlib.h>
#include <uthash.h>
#include <utlist.h>

#define SMOOTH_US (30 * USEC_PER_MSEC) /* time constant, over gates and steps */
#define HOLD_US (300 * USEC_PER_MSEC)  /* without updates, before reopening */
#define REOPEN_US \
	(1000 * USEC_PER_MSEC) /* from 0 to ADMIT_ALL without updates */

struct cutoff_key {
	uint64_t service;
	uint64_t account;
};

struct cutoff {
	struct cutoff_key key;
	double admitted[SHED_CLASSES];
	int64_t last_update_us;
	bool updated;
	uint32_t unreported[SHED_CLASSES];
	struct cutoff *prev, *next; /* most recently used last */
	UT_hash_handle hh;
};

struct cutoffs {
	uint32_t max;
	struct cutoff *items; /* hash */
	struct cutoff *lru;   /* list */
};

/* Creates a table for at most max pairs; NULL when out of memory. */
struct cutoffs *cutoffs_new(uint32_t max)
{
	struct cutoffs *c = calloc(1, sizeof(*c));

	if (c)
		c->max = max ? max : 1;
	return c;
}

static void remove_cutoff(struct cutoffs *c, struct cutoff *cut)
{
	HASH_DEL(c->items, cut);
	DL_DELETE(c->lru, cut);
	free(cut);
}

/* Frees the table and all pairs. */
void cutoffs_free(struct cutoffs *c)
{
	struct cutoff *cut, *next;

	if (!c)
		return;
	cut = c->lru;
	HASH_CLEAR(hh, c->items);
	for (; cut; cut = next) {
		next = cut->next;
		free(cut);
	}
	free(c);
}

static unsigned key_hash_of(const struct cutoff_key *key)
{
	return (unsigned)pair_hash(key->service, key->account);
}

/* NOLINTNEXTLINE(readability-function-size): the macro of uthash is long */
static void add(struct cutoffs *c, struct cutoff *cut)
{
	HASH_ADD_BYHASHVALUE(hh, c->items, key, sizeof(cut->key),
			     key_hash_of(&cut->key), cut);
	DL_APPEND(c->lru, cut);
}

static struct cutoff *find(struct cutoffs *c, uint64_t service,
			   uint64_t account)
{
	struct cutoff_key key = {service, account};
	struct cutoff *cut;

	HASH_FIND_BYHASHVALUE(hh, c->items, &key, sizeof(key),
			      key_hash_of(&key), cut);
	if (cut && cut->next) {
		DL_DELETE(c->lru, cut);
		DL_APPEND(c->lru, cut);
	}
	return cut;
}

/*
 * Finds or adds the cutoff of a pair. If the table is full, the least recently
 * used one is evicted.
 */
static struct cutoff *get(struct cutoffs *c, uint64_t service, uint64_t account)
{
	struct cutoff *cut = find(c, service, account);
	int cls;

	if (cut)
		return cut;
	if (HASH_COUNT(c->items) >= c->max)
		remove_cutoff(c, c->lru);
	cut = calloc(1, sizeof(*cut));
	if (!cut)
		return NULL;
	cut->key.service = service;
	cut->key.account = account;
	for (cls = 0; cls < SHED_CLASSES; cls++)
		cut->admitted[cls] = ADMIT_ALL;
	add(c, cut);
	return cut;
}

/* Returns the last received share, raised if no update came for HOLD_US. */
static double exact_admitted(const struct cutoff *cut, int cls, int64_t now)
{
	int64_t reopening_us = now - cut->last_update_us - HOLD_US;
	double admitted = cut->admitted[cls];

	if (!cut->updated)
		return ADMIT_ALL;
	if (reopening_us > 0)
		admitted += (double)reopening_us / REOPEN_US * ADMIT_ALL;
	return admitted < ADMIT_ALL ? admitted : ADMIT_ALL;
}

static uint16_t admitted_at(const struct cutoff *cut, int cls, int64_t now)
{
	return (uint16_t)lround(exact_admitted(cut, cls, now));
}

/*
 * Merges the admission reported by an answer. Reports of several gates of one
 * service are smoothed over time, so that the mean of their cutoffs applies.
 */
void cutoffs_merge(struct cutoffs *c, uint64_t service, uint64_t account,
		   const struct admission *a, int64_t now)
{
	struct cutoff *cut = get(c, service, account);
	double gain, old;
	int cls;

	if (!cut)
		return;
	gain = (double)(now - cut->last_update_us);
	gain = cut->updated && gain >= 0 ? gain / (gain + SMOOTH_US) : 1;
	for (cls = 0; cls < SHED_CLASSES; cls++) {
		old = exact_admitted(cut, cls, now);
		cut->admitted[cls] = old + (a->admitted[cls] - old) * gain;
	}
	cut->updated = true;
	cut->last_update_us = now;
}

/* Returns the admitted shares; ADMIT_ALL before the first update. */
struct admission cutoffs_get(struct cutoffs *c, uint64_t service,
			     uint64_t account, int64_t now)
{
	struct cutoff *cut = find(c, service, account);
	struct admission a;
	int cls;

	for (cls = 0; cls < SHED_CLASSES; cls++)
		a.admitted[cls] = cut ? admitted_at(cut, cls, now) : ADMIT_ALL;
	return a;
}

/* Each later answer corrects what was raised. */
void cutoffs_reopen(struct cutoffs *c, uint64_t service, double share,
		    int64_t now)
{
	struct cutoff *cut;
	double old;
	int cls;

	for (cut = c->lru; cut; cut = cut->next) {
		if (cut->key.service != service || !cut->updated)
			continue;
		for (cls = 0; cls < SHED_CLASSES; cls++) {
			old = exact_admitted(cut, cls, now);
			cut->admitted[cls] = old + (ADMIT_ALL - old) * share;
		}
		cut->last_update_us = now;
	}
}

int64_t cutoffs_age_us(struct cutoffs *c, uint64_t service, uint64_t account,
		       int64_t now)
{
	const struct cutoff *cut = find(c, service, account);

	return cut && cut->updated ? now - cut->last_update_us : 0;
}

/* Whether a call is admitted; if not, the caller counts it as shed. */
bool cutoffs_admit(struct cutoffs *c, uint64_t service, uint64_t account,
		   enum shed_class cls, uint16_t admit_hash, int64_t now)
{
	struct cutoff *cut = find(c, service, account);

	return !cut ||
	       admit_hash_passes(admit_hash, admitted_at(cut, cls, now));
}

/* Counts a shed call, for the demand estimate of the gates. */
void cutoffs_count_shed(struct cutoffs *c, uint64_t service, uint64_t account,
			enum shed_class cls, int64_t now)
{
	struct cutoff *cut = get(c, service, account);

	(void)now;
	if (cut)
		cut->unreported[cls]++;
}

/* Takes and clears the counts, to be sent with the next call. */
void cutoffs_take_unreported(struct cutoffs *c, uint64_t service,
			     uint64_t account,
			     uint32_t unreported[SHED_CLASSES])
{
	struct cutoff *cut = find(c, service, account);

	memset(unreported, 0, SHED_CLASSES * sizeof(*unreported));
	if (!cut)
		return;
	memcpy(unreported, cut->unreported, sizeof(cut->unreported));
	memset(cut->unreported, 0, sizeof(cut->unreported));
}
