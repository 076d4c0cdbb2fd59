#include "policy/poison.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

/* Requests whose runs ended well lately, by a part of their fingerprints. */
#define WELL_SLOTS 8192 /* a power of two */

#define SUSPECT_RETENTION_US (600 * USEC_PER_SEC)
#define REFUSED_RETENTION_US (24 * 3600 * USEC_PER_SEC)
#define CLEARED_RETENTION_US (60 * USEC_PER_SEC)

/* Software is mended: one run more after this time. */
#define TRIAL_US (600 * USEC_PER_SEC)
/* Where another request explains every end: soon, and not both at once. */
#define DOUBTFUL_TRIAL_US USEC_PER_SEC
#define DOUBTFUL_SPREAD_US (250 * USEC_PER_MSEC)
#define DOUBTFUL_SPREAD_STEPS 4

struct item {
	struct poison_entry entry; /* first: poison_next casts it back */
	UT_hash_handle hh;	   /* key: entry.facts.id */
};

struct poison {
	struct item *items;
	uint32_t max;
	uint64_t changes; /* of evidence; from 1 on */
	uint64_t well[WELL_SLOTS];
};

void fingerprint_format(const struct fingerprint *id,
			char text[FINGERPRINT_TEXT_SIZE])
{
	snprintf(text, FINGERPRINT_TEXT_SIZE, "%016llx%016llx",
		 (unsigned long long)id->high, (unsigned long long)id->low);
}

int fingerprint_parse(struct fingerprint *id, const char *text)
{
	char half[17] = "";

	if (strlen(text) != FINGERPRINT_TEXT_SIZE - 1 ||
	    strspn(text, "0123456789abcdef") != FINGERPRINT_TEXT_SIZE - 1)
		return -1;
	memcpy(half, text, 16);
	id->high = strtoull(half, NULL, 16);
	id->low = strtoull(text + 16, NULL, 16);
	return 0;
}

struct poison *poison_new(uint32_t max)
{
	struct poison *p = calloc(1, sizeof(*p));

	if (p)
		p->max = max;
	return p;
}

static void remove_item(struct poison *p, struct item *it)
{
	HASH_DEL(p->items, it);
	free(it);
}

void poison_free(struct poison *p)
{
	while (p && p->items)
		remove_item(p, p->items);
	free(p);
}

uint32_t poison_count(const struct poison *p)
{
	return HASH_COUNT(p->items);
}

/* NOLINTNEXTLINE(readability-function-size): the macro of uthash is long */
struct poison_entry *poison_find(const struct poison *p,
				 const struct fingerprint *id)
{
	struct item *it;

	HASH_FIND(hh, p->items, id, sizeof(*id), it);
	return it ? &it->entry : NULL;
}

struct poison_entry *poison_next(const struct poison *p,
				 const struct poison_entry *after)
{
	const struct item *it = (const struct item *)after;

	it = it ? it->hh.next : p->items;
	return it ? (struct poison_entry *)&it->entry : NULL;
}

/* Removes the entry with the least evidence, of these the oldest. */
static void make_room(struct poison *p)
{
	struct item *it, *least = p->items;

	for (it = p->items; it; it = it->hh.next)
		if (it->entry.facts.end_count < least->entry.facts.end_count ||
		    (it->entry.facts.end_count ==
			     least->entry.facts.end_count &&
		     it->entry.changed_us < least->entry.changed_us))
			least = it;
	if (least)
		remove_item(p, least);
}

/* NOLINTNEXTLINE(readability-function-size): the macro of uthash is long */
static struct poison_entry *add(struct poison *p, const struct fingerprint *id,
				const char *service, int64_t now)
{
	struct item *it;

	if (poison_count(p) >= p->max)
		make_room(p);
	it = calloc(1, sizeof(*it));
	if (!it)
		return NULL;
	it->entry.facts.id = *id;
	it->entry.changed_us = now;
	copy_name(it->entry.facts.service, sizeof(it->entry.facts.service),
		  service);
	HASH_ADD(hh, p->items, entry.facts.id, sizeof(*id), it);
	return &it->entry;
}

/* Adds an incarnation to a sorted list; false if it is there, or full. */
static bool add_incarnation(struct poison_facts *f, uint64_t incarnation)
{
	uint8_t i = f->end_count;

	while (i && f->ends[i - 1] >= incarnation)
		if (f->ends[--i] == incarnation)
			return false;
	if (f->end_count == POISON_ENDS_MAX)
		return false;
	memmove(f->ends + i + 1, f->ends + i,
		(size_t)(f->end_count - i) * sizeof(*f->ends));
	f->ends[i] = incarnation;
	f->end_count++;
	return true;
}

static bool has_end(const struct poison_facts *f, uint64_t incarnation)
{
	uint8_t i;

	for (i = 0; i < f->end_count; i++)
		if (f->ends[i] == incarnation)
			return true;
	return false;
}

/* Whether another request was running at every end of this one. */
static bool is_doubtful(const struct poison *p, const struct poison_entry *e)
{
	const struct poison_entry *o = NULL;
	uint8_t shared, i;

	while ((o = poison_next(p, o))) {
		if (o == e)
			continue;
		for (i = 0, shared = 0; i < e->facts.end_count; i++)
			shared += has_end(&o->facts, e->facts.ends[i]);
		if (shared == e->facts.end_count)
			return true;
	}
	return false;
}

/* Refuses the request from now on once there is enough evidence. */
static void judge(struct poison *p, struct poison_entry *e, int64_t now)
{
	p->changes++;
	e->changed_us = now;
	e->unsent = true;
	if (e->facts.end_count >= POISON_ENDS && !e->refused_us)
		e->refused_us = now;
}

/* Sets when the request may run once more, from all that is known now. */
static void set_trial(const struct poison *p, struct poison_entry *e)
{
	int64_t wait = TRIAL_US;

	if (e->judged_changes == p->changes)
		return;
	e->judged_changes = p->changes;
	if (is_doubtful(p, e))
		wait = DOUBTFUL_TRIAL_US +
		       DOUBTFUL_SPREAD_US * (int64_t)(e->facts.id.low %
						      DOUBTFUL_SPREAD_STEPS);
	e->trial_us = e->refused_us + wait;
}

static uint64_t *well_slot(struct poison *p, const struct fingerprint *id)
{
	return &p->well[id->low % WELL_SLOTS];
}

bool poison_add_end(struct poison *p, const struct fingerprint *id,
		    const char *service, uint64_t incarnation, int64_t now)
{
	struct poison_entry *e = poison_find(p, id);
	uint64_t *well = well_slot(p, id);

	if (!e && *well == id->high) {
		*well = 0;
		return false;
	}
	if (!e)
		e = add(p, id, service, now);
	if (!e || !add_incarnation(&e->facts, incarnation))
		return false;
	judge(p, e, now);
	return true;
}

static void clear(struct poison *p, struct poison_entry *e, int64_t now)
{
	p->changes++;
	e->facts.epoch++;
	e->facts.end_count = 0;
	e->facts.tried = false;
	e->refused_us = 0;
	e->changed_us = now;
	e->unsent = true;
}

bool poison_run_ended_well(struct poison *p, const struct fingerprint *id,
			   int64_t now)
{
	*well_slot(p, id) = id->high;
	return poison_count(p) && poison_clear(p, id, now);
}

bool poison_clear(struct poison *p, const struct fingerprint *id, int64_t now)
{
	struct poison_entry *e = poison_find(p, id);

	if (!e || !e->facts.end_count)
		return false;
	clear(p, e, now);
	return true;
}

bool poison_merge(struct poison *p, const struct poison_facts *facts,
		  int64_t now)
{
	struct poison_entry *e = poison_find(p, &facts->id);
	bool changed = false;
	uint8_t i;

	if (!e && !facts->end_count)
		return false;
	if (!e)
		e = add(p, &facts->id, facts->service, now);
	if (!e || facts->epoch < e->facts.epoch)
		return false;
	if (facts->epoch > e->facts.epoch) {
		clear(p, e, now);
		e->facts.epoch = facts->epoch;
		changed = true;
	}
	for (i = 0; i < facts->end_count; i++)
		changed |= add_incarnation(&e->facts, facts->ends[i]);
	if (facts->tried && !e->facts.tried) {
		e->facts.tried = true;
		changed = true;
	}
	if (changed)
		judge(p, e, now);
	return changed;
}

enum poison_verdict poison_check(struct poison *p, const struct fingerprint *id,
				 int64_t now)
{
	struct poison_entry *e = poison_find(p, id);

	if (!e || !e->facts.end_count)
		return POISON_NONE;
	if (!e->refused_us)
		return POISON_SUSPECT;
	set_trial(p, e);
	return !e->facts.tried && now >= e->trial_us ? POISON_TRIAL_DUE
						     : POISON_REFUSED;
}

void poison_begin_trial(struct poison *p, const struct fingerprint *id,
			int64_t now)
{
	struct poison_entry *e = poison_find(p, id);

	if (!e || e->facts.tried)
		return;
	e->facts.tried = true;
	e->changed_us = now;
	e->unsent = true;
}

void poison_expire(struct poison *p, int64_t now)
{
	struct item *it, *next;
	int64_t retention;

	for (it = p->items; it; it = next) {
		next = it->hh.next;
		retention = !it->entry.facts.end_count ? CLEARED_RETENTION_US
			    : it->entry.refused_us     ? REFUSED_RETENTION_US
						       : SUSPECT_RETENTION_US;
		if (now - it->entry.changed_us >= retention)
			remove_item(p, it);
	}
}
