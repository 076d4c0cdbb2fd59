/* The evacuations that a node knows, and the events about them. */
#include "control/evacuations/evacuations.h"

#include <stdlib.h>
#include <string.h>

#include "policy/policy.h"

struct evacuations {
	struct evacuations_options o;
	struct evacuation_set set;
	bool limit_logged;
};

struct evacuations *evacuations_new(const struct evacuations_options *o)
{
	struct evacuations *e = calloc(1, sizeof(*e));

	if (e)
		e->o = *o;
	return e;
}

void evacuations_free(struct evacuations *e)
{
	free(e);
}

const struct evacuation_set *evacuations_set(const struct evacuations *e)
{
	return &e->set;
}

int64_t evacuations_bound_us(const struct evacuations *e)
{
	return e->o.bound_us;
}

static void log_evacuation(const struct evacuations *e, const char *event,
			   const struct evacuation *v,
			   enum evacuation_path path, int64_t now)
{
	static const char *const names[] = {[EVACUATION_READ] = "store-read",
					    [EVACUATION_WATCH] = "store-watch",
					    [EVACUATION_PEER] = "peer"};
	struct log_line line;

	log_start(&line, LOG_NOTICE, event);
	log_str(&line, "data_centre", v->data_centre);
	log_int(&line, "revision", e->set.revision);
	log_str(&line, "path", names[path]);
	log_int(&line, "age_ms", (now - v->learnt_us) / USEC_PER_MSEC);
	log_emit(&line);
}

/* Logs how the set differs from an earlier one; false if it does not. */
static bool log_changes(struct evacuations *e,
			const struct evacuation_set *before,
			enum evacuation_path path, int64_t now)
{
	bool changed = !before->known;
	const struct evacuation *v;
	size_t i;

	for (i = 0; i < e->set.n; i++) {
		v = &e->set.items[i];
		if (evacuation_set_find(before, v->hash))
			continue;
		log_evacuation(e, "evacuation-learnt", v, path, now);
		changed = true;
	}
	for (i = 0; i < before->n; i++) {
		v = &before->items[i];
		if (evacuation_set_find(&e->set, v->hash))
			continue;
		log_evacuation(e, "evacuation-ended", v, path, now);
		changed = true;
		if (e->o.ended)
			e->o.ended(e->o.ctx, v->data_centre, now);
	}
	return changed;
}

/* Returns the data centre that a key names, or NULL if it names none. */
static const char *key_data_centre(const struct evacuations *e, const char *key)
{
	size_t len = strlen(e->o.prefix);

	return strncmp(key, e->o.prefix, len) ? NULL : key + len;
}

void evacuations_collect(const struct evacuations *e, struct evacuation_set *s,
			 const struct store_entry *entry, int64_t learnt_us)
{
	const char *data_centre = key_data_centre(e, entry->key);

	if (data_centre)
		evacuation_set_add(s, data_centre, learnt_us, EVACUATION_READ);
}

static void log_limit(struct evacuations *e)
{
	struct log_line line;

	if (e->set.n < EVACUATIONS_MAX || e->limit_logged)
		return;
	e->limit_logged = true;
	log_start(&line, LOG_ERR, "evacuation-limit");
	log_int(&line, "data_centres", EVACUATIONS_MAX);
	log_emit(&line);
}

bool evacuations_merge(struct evacuations *e, const struct evacuation_set *s,
		       int64_t now)
{
	struct evacuation_set before = e->set;

	if (!evacuation_set_merge(&e->set, s))
		return false;
	log_limit(e);
	return log_changes(e, &before,
			   s->n ? s->items[0].path : EVACUATION_READ, now);
}

bool evacuations_watched(struct evacuations *e, const struct store_entry *entry,
			 int64_t era, int64_t learnt_us, int64_t now)
{
	const char *data_centre = key_data_centre(e, entry->key);
	struct evacuation_set before = e->set;
	struct evacuation order = {.learnt_us = learnt_us,
				   .path = EVACUATION_WATCH};

	if (!data_centre ||
	    copy_name(order.data_centre, sizeof(order.data_centre),
		      data_centre) < 0)
		return false;
	order.hash = name_hash(data_centre);
	if (!evacuation_set_change(&e->set, era, entry->mod_revision, &order,
				   entry->value != NULL))
		return false;
	log_limit(e);
	return log_changes(e, &before, EVACUATION_WATCH, now);
}

bool evacuations_receive(struct evacuations *e,
			 const struct evacuations_info *info, int64_t proof_us,
			 int64_t now)
{
	struct evacuation_set before = e->set;
	struct evacuation_set s = {.known = info->known,
				   .era = info->era,
				   .revision = info->revision};
	int64_t learnt_us;
	size_t i;

	for (i = 0; i < info->n; i++) {
		learnt_us = evacuation_learnt_us(
			proof_us, info->items[i].age_ms * USEC_PER_MSEC,
			e->o.bound_us, now);
		evacuation_set_add(&s, info->items[i].data_centre, learnt_us,
				   EVACUATION_PEER);
	}
	if (!evacuation_set_merge(&e->set, &s))
		return false;
	return log_changes(e, &before, EVACUATION_PEER, now);
}

void evacuations_report(const struct evacuations *e,
			struct evacuations_info *info, int64_t now)
{
	const struct evacuation *v;
	int64_t age_us;
	size_t i;

	info->known = e->set.known;
	info->era = e->set.era;
	info->revision = e->set.revision;
	info->n = e->set.n;
	for (i = 0; i < e->set.n; i++) {
		v = &e->set.items[i];
		age_us = now - v->learnt_us;
		memcpy(info->items[i].data_centre, v->data_centre,
		       sizeof(v->data_centre));
		info->items[i].age_ms = age_us > 0 ? age_us / USEC_PER_MSEC : 0;
	}
}

void evacuations_tick(struct evacuations *e, int64_t now)
{
	struct evacuation *v;
	size_t i;

	for (i = 0; i < e->set.n; i++) {
		v = &e->set.items[i];
		if (v->in_force ||
		    !evacuation_gates_closed(v->learnt_us, e->o.bound_us, now))
			continue;
		v->in_force = true;
		log_evacuation(e, "evacuation-in-force", v, v->path, now);
	}
}
