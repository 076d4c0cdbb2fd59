#include "control/quota/quota_impl.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

/* After this time without a response the request goes to the next owner. */
#define LOAN_REQUEST_TIMEOUT_US (4 * USEC_PER_MSEC)
#define LOAN_CROSSING_TIMEOUT_US (7 * USEC_PER_MSEC)
#define LOANS_OUT_INITIAL 4
/* Smallest loan, for bursts below one token: the borrower adds loans up. */
#define LOAN_TOKENS_MIN 0.05
#define LOAN_BACKOFF_MIN_US (10 * USEC_PER_MSEC)
#define LOAN_BACKOFF_MAX_US (100 * USEC_PER_MSEC)
/*
 * Over the limit nearly every round ends without a token; gathering fractions
 * in each of them doubled the messages.
 */
#define GATHER_PERIOD_US USEC_PER_SEC

static void send(struct quota *q, const struct addr *to, struct peer_msg *msg)
{
	msg->from = q->o.self;
	q->o.io.datagram(q->o.io.ctx, to, msg);
}

#define BILLIONTHS_PER_TOKEN 1e9
#define BILLIONTHS_PER_UNIT 1000000u /* of a unit on the wire */

/* Splits tokens, rounded down to billionths, as messages carry them. */
static uint32_t tokens_to_wire(double tokens, uint32_t *rest)
{
	uint64_t n = (uint64_t)(tokens * BILLIONTHS_PER_TOKEN);

	*rest = (uint32_t)(n % BILLIONTHS_PER_UNIT);
	return (uint32_t)(n / BILLIONTHS_PER_UNIT);
}

static double tokens_from_wire(uint32_t units, uint32_t rest)
{
	return units / WIRE_UNITS_PER_TOKEN + rest / BILLIONTHS_PER_TOKEN;
}

static void send_spent(struct quota *q, const char *account,
		       const struct addr *to, uint64_t id, double returned)
{
	struct peer_msg msg = {.kind = PEER_LOAN_SPENT};

	msg.loan_spent.id = id;
	copy_name(msg.loan_spent.account, sizeof(msg.loan_spent.account),
		  account);
	msg.loan_spent.returned =
		tokens_to_wire(returned, &msg.loan_spent.rest);
	send(q, to, &msg);
}

/* Reports a loan as spent to its lender, so that it can lend again. */
void loans_report_spent(struct quota *q, struct quota_account *a,
			const struct loan_in *loan)
{
	send_spent(q, a->name, &loan->lender, loan->id, 0);
}

/* Adds the account to the list that quota_tick processes. */
void loans_list_add(struct quota *q, struct quota_account *a)
{
	if (a->in_loan_list)
		return;
	a->in_loan_list = true;
	DL_APPEND(q->loan_accounts, a);
}

/* Returns the tokens that this node can spend now, or 1 if it has more. */
static double tokens_here(const struct quota_account *a)
{
	double sum = a->level;
	size_t i;

	for (i = 0; i < a->loans_in_count; i++)
		sum += a->loans_in[i].tokens_left;
	return sum < 1 ? sum : 1;
}

/* Returns how many tokens to request from the next owner. */
static double tokens_wanted(const struct quota_account *a)
{
	double want = a->waiting + quota_prefetch_target(a);

	if (want < 1)
		want = 1;
	want -= a->borrowed_in_round;
	return a->group->multi_account ? want : ceil(want);
}

/*
 * Returns the time after which the newest request counts as lost. A loan from
 * another data centre takes up to 3 ms in the network alone.
 */
static int64_t request_timeout(const struct quota_account *a)
{
	const struct account_group *g = a->group;

	if (g->multi_account &&
	    (a->gathering || (a->next_owner < g->owner_count &&
			      !g->owners[a->next_owner].same_data_centre)))
		return LOAN_CROSSING_TIMEOUT_US;
	return LOAN_REQUEST_TIMEOUT_US;
}

/* Returns the node of a data centre that loan requests go to. */
const struct addr *loans_owner_node(const struct owner *o)
{
	return o->asks_second ? &o->second : &o->node;
}

/* Turns to the data centre's other node that may hold the slice. */
static void ask_other(struct owner *o)
{
	if (o->has_second)
		o->asks_second = !o->asks_second;
}

static void send_request(struct quota *q, struct quota_account *a,
			 const struct addr *to, double want, int64_t now)
{
	struct peer_msg msg = {.kind = PEER_LOAN_REQUEST};
	struct sent_request *request =
		&a->requests[a->requests_sent++ % LOAN_REQUESTS_KEPT];

	request->id = q->next_id++;
	request->sent_us = now;
	request->limits_hash = a->limits_hash;
	request->answered = false;
	msg.loan_request.id = request->id;
	msg.loan_request.limits_hash = a->limits_hash;
	copy_name(msg.loan_request.account, sizeof(msg.loan_request.account),
		  a->name);
	msg.loan_request.tokens = tokens_to_wire(want, &msg.loan_request.rest);
	send(q, to, &msg);
	counter_add(COUNTER_LOANS_REQUESTED, 1);
}

/*
 * Returns what is borrowed and does not make a whole token, so that other
 * nodes can use it. Loans of account groups only: only these have fractions.
 */
void loans_return_fractions(struct quota *q, struct quota_account *a)
{
	struct loan_in *loan;
	double sum = a->level;
	size_t i;

	if (!a->group->multi_account || a->requesting || !a->loans_in_count)
		return;
	for (i = 0; i < a->loans_in_count; i++)
		sum += a->loans_in[i].tokens_left;
	if (sum >= 1 - 1e-9)
		return;
	for (i = 0; i < a->loans_in_count; i++) {
		loan = &a->loans_in[i];
		send_spent(q, a->name, &loan->lender, loan->id,
			   loan->tokens_left);
	}
	a->loans_in_count = 0;
}

/* Returns true if what the owners had left made a token together. */
static bool token_elsewhere(const struct quota_account *a)
{
	double sum = tokens_here(a);
	size_t i;

	for (i = 0; i < a->group->owner_count; i++)
		sum += a->left_at_owner[i];
	return sum >= 1;
}

/* Returns why the latest round of loan requests brought no token. */
enum quota_lack loans_lack(const struct quota_account *a)
{
	const struct sent_request *last;

	if (!a->group->multi_account || !a->requests_sent)
		return QUOTA_LACK_UNKNOWN;
	last = &a->requests[(a->requests_sent - 1) % LOAN_REQUESTS_KEPT];
	if (a->unanswered || (a->requesting && !last->answered))
		return QUOTA_LACK_ANSWER;
	return token_elsewhere(a) ? QUOTA_LACK_ELSEWHERE : QUOTA_LACK_TOKENS;
}

static void end_round(struct quota *q, struct quota_account *a, int64_t now)
{
	a->requesting = false;
	a->waiting = 0;
	loans_return_fractions(q, a);
	if (a->borrowed_in_round > 0)
		a->backoff_us = LOAN_BACKOFF_MIN_US;
	else
		a->backoff_us = a->backoff_us * 2 < LOAN_BACKOFF_MAX_US
					? a->backoff_us * 2
					: LOAN_BACKOFF_MAX_US;
	if (a->backoff_us < LOAN_BACKOFF_MIN_US)
		a->backoff_us = LOAN_BACKOFF_MIN_US;
	a->backoff_until_us =
		now + (a->borrowed_in_round > 0 ? 0 : a->backoff_us);
}

/*
 * If no owner had a whole token, but what they have left makes one together
 * with what is here, requests the fractions from all of them at once.
 */
static bool gather_fractions(struct quota *q, struct quota_account *a,
			     int64_t now)
{
	double missing = 1 - tokens_here(a), want;
	size_t i;

	if (!a->group->multi_account || a->gathering || missing <= 0 ||
	    now - a->gathered_us < GATHER_PERIOD_US || !token_elsewhere(a))
		return false;
	a->gathering = true;
	a->gathered_us = now;
	a->gathers_pending = 0;
	for (i = 0; i < a->group->owner_count; i++) {
		want = a->left_at_owner[i];
		if (want > missing)
			want = missing;
		if (want < LOAN_TOKENS_MIN)
			continue;
		missing -= want;
		a->gathers_pending++;
		send_request(q, a, loans_owner_node(&a->group->owners[i]), want,
			     now);
	}
	return true;
}

static bool skips_owner(const struct quota *q, const struct quota_account *a)
{
	struct owner *o = &a->group->owners[a->next_owner];

	if (!a->group->share && addr_equal(loans_owner_node(o), &q->o.self))
		ask_other(o);
	return addr_equal(loans_owner_node(o), &q->o.self);
}

/* Sends a request to the next owner, or ends the round if none is left. */
static bool request_next(struct quota *q, struct quota_account *a, int64_t now)
{
	while (a->next_owner < a->group->owner_count && skips_owner(q, a))
		a->next_owner++;
	if (a->next_owner < a->group->owner_count &&
	    a->loans_in_count < LOANS_IN_MAX) {
		send_request(q, a,
			     loans_owner_node(&a->group->owners[a->next_owner]),
			     tokens_wanted(a), now);
		return true;
	}
	if (gather_fractions(q, a, now))
		return true;
	end_round(q, a, now);
	return false;
}

/*
 * Starts a round of loan requests to the owners in turn. Returns false if
 * there is no owner to send one to.
 */
bool loans_start_round(struct quota *q, struct quota_account *a, int64_t now)
{
	if (q->leaving)
		return false;
	owners_update(q, a->group, now);
	a->requesting = true;
	loans_list_add(q, a);
	a->next_owner = 0;
	a->borrowed_in_round = 0;
	a->gathering = false;
	a->unanswered = false;
	a->turned = false;
	memset(a->left_at_owner, 0, sizeof(a->left_at_owner));
	return request_next(q, a, now);
}

static void expire_loans_out(struct quota_account *a, int64_t now)
{
	size_t i = 0;

	while (i < a->loans_out_count) {
		if (a->loans_out[i].expires_us > now) {
			i++;
			continue;
		}
		a->lent -= a->loans_out[i].tokens;
		a->loans_out[i] = a->loans_out[--a->loans_out_count];
	}
	if (!a->loans_out_count)
		a->lent = 0;
}

/* Drops expired loans, both borrowed and lent. */
void loans_expire(struct quota *q, struct quota_account *a, int64_t now)
{
	size_t i = 0;

	(void)q;
	while (i < a->loans_in_count)
		if (a->loans_in[i].expires_us > now)
			i++;
		else
			a->loans_in[i] = a->loans_in[--a->loans_in_count];
	expire_loans_out(a, now);
}

/*
 * Returns unspent tokens shortly before a loan expires, while the lender still
 * counts them as lent.
 */
static void return_unspent(struct quota *q, struct quota_account *a,
			   int64_t now)
{
	struct loan_in *loan;
	size_t i = 0;

	while (i < a->loans_in_count) {
		loan = &a->loans_in[i];
		if (loan->expires_us - now > LOAN_LIFETIME_US / 4) {
			i++;
			continue;
		}
		send_spent(q, a->name, &loan->lender, loan->id,
			   loan->tokens_left);
		*loan = a->loans_in[--a->loans_in_count];
	}
}

/* Advances loans and the round of requests of one account. */
void loans_tick(struct quota *q, struct quota_account *a, int64_t now)
{
	const struct sent_request *last;

	loans_expire(q, a, now);
	return_unspent(q, a, now);
	if (!a->requesting)
		return;
	last = &a->requests[(a->requests_sent - 1) % LOAN_REQUESTS_KEPT];
	if ((last->answered && !a->gathering) ||
	    now - last->sent_us < request_timeout(a))
		return;
	counter_add(COUNTER_LOANS_NO_ANSWER, 1);
	a->unanswered = true;
	if (a->gathering) {
		end_round(q, a, now);
		return;
	}
	if (a->next_owner < a->group->owner_count)
		ask_other(&a->group->owners[a->next_owner]);
	a->next_owner++;
	a->turned = false;
	request_next(q, a, now);
}

static struct loan_out *find_loan_out(struct quota_account *a,
				      const struct addr *borrower, uint64_t id)
{
	size_t i;

	for (i = 0; i < a->loans_out_count; i++)
		if (a->loans_out[i].id == id &&
		    addr_equal(&a->loans_out[i].borrower, borrower))
			return &a->loans_out[i];
	return NULL;
}

static struct loan_out *add_loan_out(struct quota *q, struct quota_account *a)
{
	size_t size =
		a->loans_out_size ? a->loans_out_size * 2 : LOANS_OUT_INITIAL;
	struct loan_out *p;

	if (a->loans_out_count == LOANS_OUT_MAX)
		return NULL;
	if (a->loans_out_count == a->loans_out_size) {
		p = realloc(a->loans_out, size * sizeof(*p));
		if (!p)
			return NULL;
		a->loans_out = p;
		a->loans_out_size = size;
	}
	loans_list_add(q, a);
	return &a->loans_out[a->loans_out_count++];
}

static double lend(struct quota *q, struct quota_account *a,
		   const struct peer_msg *msg, int64_t now)
{
	double want = tokens_from_wire(msg->loan_request.tokens,
				       msg->loan_request.rest);
	bool last_rest;
	bool whole = a->burst * a->group->limit_fraction >= 1;
	struct loan_out *loan;

	loans_expire(q, a, now);
	quota_refill(a, now);
	loan = find_loan_out(a, &msg->from, msg->loan_request.id);
	if (loan)
		return loan->tokens;
	if (q->leaving || a->withdrawn ||
	    msg->loan_request.limits_hash != a->limits_hash)
		return 0;
	if (want > a->level) {
		/* What was left is requested in units that are rounded up. */
		last_rest =
			want < 1 && want - a->level < 2 / WIRE_UNITS_PER_TOKEN;
		want = a->level;
		/*
		 * The borrower may add the fraction to those of the other data
		 * centres, but a fraction alone would only leave its place.
		 */
		whole = whole &&
			(!a->group->multi_account || (want < 1 && !last_rest));
	} else if (a->group->multi_account) {
		whole = false;
	}
	if (whole)
		want = floor(want + 1e-9);
	want = floor(want * BILLIONTHS_PER_TOKEN) / BILLIONTHS_PER_TOKEN;
	if (want < LOAN_TOKENS_MIN)
		return 0;
	loan = add_loan_out(q, a);
	if (!loan)
		return 0;
	a->level -= want;
	a->lent += want;
	loan->id = msg->loan_request.id;
	loan->borrower = msg->from;
	loan->tokens = want;
	loan->expires_us = now + LOAN_LIFETIME_US;
	counter_add(COUNTER_LOANS_GRANTED, 1);
	return want;
}

static void receive_request(struct quota *q, struct quota_account *a,
			    const struct peer_msg *msg, int64_t now)
{
	struct peer_msg grant = {.kind = PEER_LOAN_GRANT};
	double tokens = lend(q, a, msg, now);

	a->group->active_us = now;
	grant.loan_grant.no_share = !a->group->share;
	grant.loan_grant.id = msg->loan_request.id;
	copy_name(grant.loan_grant.account, sizeof(grant.loan_grant.account),
		  a->name);
	grant.loan_grant.limits_hash = a->limits_hash;
	grant.loan_grant.tokens = tokens_to_wire(
		tokens + 0.1 / BILLIONTHS_PER_TOKEN, &grant.loan_grant.rest);
	grant.loan_grant.remaining =
		a->level > 0 ? (uint32_t)ceil(a->level * WIRE_UNITS_PER_TOKEN)
			     : 0;
	send(q, &msg->from, &grant);
}

static struct sent_request *find_request(struct quota_account *a, uint64_t id)
{
	size_t i;

	for (i = 0; i < LOAN_REQUESTS_KEPT; i++)
		if (a->requests[i].id == id && a->requests[i].sent_us &&
		    !a->requests[i].answered)
			return &a->requests[i];
	return NULL;
}

/*
 * Adds a granted loan. Its lifetime counts from the request, which was sent
 * before the grant, so it ends here before the lender stops counting it.
 */
static void add_loan_in(struct quota *q, struct quota_account *a,
			const struct peer_msg *msg,
			const struct sent_request *request, int64_t now)
{
	struct loan_in *loan;

	if ((!msg->loan_grant.tokens && !msg->loan_grant.rest) ||
	    a->loans_in_count == LOANS_IN_MAX ||
	    request->sent_us + LOAN_LIFETIME_US <= now ||
	    request->limits_hash != a->limits_hash)
		return;
	loan = &a->loans_in[a->loans_in_count++];
	loans_list_add(q, a);
	loan->id = request->id;
	loan->lender = msg->from;
	loan->tokens_left =
		tokens_from_wire(msg->loan_grant.tokens, msg->loan_grant.rest);
	loan->expires_us = request->sent_us + LOAN_LIFETIME_US;
	a->borrowed_in_round += loan->tokens_left;
	a->had_tokens = true;
}

/* Continues the round after an owner's answer to the newest request. */
static void answer_received(struct quota *q, struct quota_account *a,
			    const struct peer_msg *msg, int64_t now)
{
	struct owner *owner = &a->group->owners[a->next_owner];

	if (msg->loan_grant.no_share && !a->turned && owner->has_second &&
	    a->next_owner < a->group->owner_count) {
		ask_other(owner);
		a->turned = true;
		request_next(q, a, now);
		return;
	}
	a->left_at_owner[a->next_owner] =
		msg->loan_grant.remaining / WIRE_UNITS_PER_TOKEN;
	if (a->borrowed_in_round >= a->waiting && a->borrowed_in_round > 0) {
		end_round(q, a, now);
		return;
	}
	a->next_owner++;
	a->turned = false;
	request_next(q, a, now);
}

static void receive_grant(struct quota *q, struct quota_account *a,
			  const struct peer_msg *msg, int64_t now)
{
	struct sent_request *request = find_request(a, msg->loan_grant.id);
	bool newest;

	if (!request)
		return;
	request->answered = true;
	if (now - request->sent_us >= request_timeout(a))
		counter_add(COUNTER_LOANS_LATE, 1);
	newest = request ==
		 &a->requests[(a->requests_sent - 1) % LOAN_REQUESTS_KEPT];
	add_loan_in(q, a, msg, request, now);
	if (msg->loan_grant.tokens)
		q->o.wake(q->o.ctx, a->name, now);
	if (!msg->loan_grant.tokens && !msg->loan_grant.rest)
		counter_add(COUNTER_LOANS_NO_TOKENS, 1);
	if (!a->requesting)
		return;
	if (a->gathering) {
		if (!a->gathers_pending || !--a->gathers_pending)
			end_round(q, a, now);
	} else if (newest) {
		answer_received(q, a, msg, now);
	}
}

static void receive_spent(struct quota *q, struct quota_account *a,
			  const struct peer_msg *msg, int64_t now)
{
	struct loan_out *loan;
	double returned = tokens_from_wire(msg->loan_spent.returned,
					   msg->loan_spent.rest);

	loans_expire(q, a, now);
	loan = find_loan_out(a, &msg->from, msg->loan_spent.id);
	if (!loan)
		return;
	quota_refill(a, now);
	a->lent -= loan->tokens;
	a->level += returned < loan->tokens ? returned : loan->tokens;
	*loan = a->loans_out[--a->loans_out_count];
	quota_refill(a, now);
}

/*
 * Handles a loan request, a grant or a report of a spent loan. Messages about
 * unknown accounts are ignored.
 */
void loans_receive(struct quota *q, const struct peer_msg *msg, int64_t now)
{
	struct quota_account *a;

	switch (msg->kind) {
	case PEER_LOAN_REQUEST:
		a = quota_find(q, msg->loan_request.account);
		if (a)
			receive_request(q, a, msg, now);
		break;
	case PEER_LOAN_GRANT:
		a = quota_find(q, msg->loan_grant.account);
		if (a)
			receive_grant(q, a, msg, now);
		break;
	case PEER_LOAN_SPENT:
		a = quota_find(q, msg->loan_spent.account);
		if (a)
			receive_spent(q, a, msg, now);
		break;
	default:
		break;
	}
}
