/*
 * Which history of the store this node has seen. A store that is restored from
 * an older copy has lost what was written since, and gives out revisions and
 * leases again: nothing learnt from the former history may be compared with the
 * new one.
 */
#include "store/store_impl.h"

static void log_replaced(const struct history *h, int64_t former_era,
			 int64_t former_revision)
{
	struct log_line line;

	log_start(&line, LOG_WARNING, "store-replaced");
	log_int(&line, "former_era", former_era);
	log_int(&line, "era", h->o.era);
	log_int(&line, "former_revision", former_revision);
	log_int(&line, "revision", h->o.revision);
	log_emit(&line);
}

static void replace(struct history *h, const struct store_origin *o,
		    int64_t now)
{
	struct store_origin former = h->o;

	h->o = *o;
	h->replaced++;
	h->learnt_us = now;
	counter_add(COUNTER_STORE_REPLACED, 1);
	log_replaced(h, former.era, former.revision);
}

/*
 * Compares the origin of an answer with what is known. sent_revision is the
 * newest revision that was known when the call was sent; a linearizable answer
 * with a lower one comes from another history.
 */
enum history_verdict history_check(struct history *h,
				   const struct store_origin *o,
				   int64_t sent_revision, int64_t now)
{
	bool other_cluster =
		o->cluster && h->o.cluster && o->cluster != h->o.cluster;
	bool went_back = !o->era && o->revision && o->revision < sent_revision;

	if (o->era && o->era < h->o.era)
		return HISTORY_FORMER;
	if (other_cluster || went_back || (h->o.era && o->era > h->o.era)) {
		replace(h, o, now);
		return HISTORY_REPLACED;
	}
	if (o->era)
		h->o.era = o->era;
	if (o->cluster)
		h->o.cluster = o->cluster;
	if (o->revision > h->o.revision)
		h->o.revision = o->revision;
	return HISTORY_CURRENT;
}

/*
 * Takes over what a peer knows: its era and for how long it has known it. A
 * process that started after the restore learns so that the era is young.
 */
enum history_verdict history_learn(struct history *h, int64_t era,
				   int64_t age_us, int64_t now)
{
	struct store_origin o = {.era = era};

	if (!era || era < h->o.era)
		return HISTORY_FORMER;
	if (h->o.era && era > h->o.era) {
		replace(h, &o, now);
		return HISTORY_REPLACED;
	}
	h->o.era = era;
	if (!h->replaced && age_us < STORE_SETTLE_US) {
		h->replaced = 1;
		h->learnt_us = now - age_us;
		return HISTORY_REPLACED;
	}
	return HISTORY_CURRENT;
}

/* Records what is known when a call is sent. */
struct history_call history_call(const struct history *h,
				 const struct store_op *op)
{
	struct history_call c = {.kind = op->kind,
				 .history = op->history,
				 .sent_revision = h->o.revision};

	return c;
}

static bool is_read(enum store_op_kind kind)
{
	return kind == STORE_GET || kind == STORE_LIST;
}

/*
 * Compares an answer with the history and turns it into STORE_UNKNOWN if it is
 * of a former history, or if the call compared or wrote under one. Returns true
 * if it shows that the history was replaced; watches then have to end before
 * the replacement is reported and the answer is delivered.
 */
bool history_settle(struct history *h, const struct history_call *c,
		    struct store_result *r, int64_t now)
{
	enum history_verdict verdict;

	if (is_read(c->kind) || c->kind == STORE_TXN)
		r->origin.revision = r->revision;
	verdict = history_check(h, &r->origin, c->sent_revision, now);
	if (r->outcome == STORE_NOT_DONE)
		return verdict == HISTORY_REPLACED;
	if (verdict == HISTORY_FORMER ||
	    (c->history != h->replaced && !is_read(c->kind)))
		result_fail(r, STORE_UNKNOWN, ERROR_STATE, NULL,
			    "the store came back from an older copy");
	return verdict == HISTORY_REPLACED;
}
