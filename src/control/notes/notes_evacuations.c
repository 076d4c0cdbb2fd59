/* The evacuations that are read, watched and sent together with the document. */
#include "control/notes/notes_impl.h"

static int64_t proof_us(const struct notes *n)
{
	return n->confirmed ? n->confirmed_us : INT64_MIN;
}

/* When an order that the store has just told of counts as learnt. */
int64_t note_evacuations_learnt_us(const struct notes *n, int64_t now)
{
	return evacuation_learnt_us(
		proof_us(n), 0, evacuations_bound_us(n->o.evacuations), now);
}

/* Whether this node must know the evacuations and does not yet. */
bool note_evacuations_missing(const struct notes *n)
{
	return n->o.evacuations && !evacuations_set(n->o.evacuations)->known;
}

void note_evacuations_write(const struct notes *n, struct peer_msg *msg,
			    int64_t now)
{
	if (n->o.evacuations)
		evacuations_report(n->o.evacuations, &msg->note.evacuations,
				   now);
}

/*
 * Takes over what a peer knows of evacuations, and announces news. Returns
 * whether the message may prove that this node's state is the newest: that of a
 * peer that knows nothing of evacuations may not.
 */
bool note_evacuations_receive(struct notes *n, const struct peer_msg *msg,
			      int64_t now)
{
	if (!n->o.evacuations)
		return true;
	if (!msg->note.evacuations.known)
		return false;
	if (evacuations_receive(n->o.evacuations, &msg->note.evacuations,
				proof_us(n), now))
		peer_announce_number(n, now);
	return true;
}

/* Handles a watch event of any key. */
void note_evacuations_changed(struct notes *n, const struct store_entry *e,
			      int64_t now)
{
	int64_t age_us, era = store_era(n->o.store, now, &age_us);

	if (n->o.evacuations &&
	    evacuations_watched(n->o.evacuations, e, era,
				note_evacuations_learnt_us(n, now), now))
		peer_announce_number(n, now);
}
