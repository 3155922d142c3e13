/* The claimant's side: tickets from the claim to the outcome. */
#include "godwitvale/core/quorum_private.h"

#include "godwitvale/core/verdict.h"

/// A ticket is an index into the table of claims, plus 1, below a serial
/// number that tells successive uses of one index apart.
#define TICKET_INDEX_BITS 20
#define TICKET_INDEX_MASK ((1u << TICKET_INDEX_BITS) - 1)

/// Finds a claim by its ticket.
///
/// @param quorum  the claimant
/// @param ticket  the ticket
/// @return the claim, or NULL where it is over
static struct quorum_claim *
find_claim(const struct quorum *quorum, quorum_ticket ticket)
{
	uint32_t index = ticket & TICKET_INDEX_MASK;
	struct quorum_claim *claim;

	if (index == 0 || index > quorum->claims->len)
		return NULL;
	claim = g_ptr_array_index(quorum->claims, index - 1);
	return claim != NULL && claim->ticket == ticket ? claim : NULL;
}

/// Enters a claim into the table.
///
/// @param quorum  the claimant
/// @param claim   gets its ticket
static void
enter_claim(struct quorum *quorum, struct quorum_claim *claim)
{
	uint32_t index;

	if (quorum->free_claims->len > 0) {
		index = g_array_index(quorum->free_claims, uint32_t,
		    quorum->free_claims->len - 1);
		g_array_set_size(
		    quorum->free_claims, quorum->free_claims->len - 1);
	} else {
		index = quorum->claims->len;
		g_ptr_array_add(quorum->claims, NULL);
	}
	g_assert(index < TICKET_INDEX_MASK);
	g_ptr_array_index(quorum->claims, index) = claim;
	claim->ticket = ++quorum->serial << TICKET_INDEX_BITS | (index + 1);
	g_hash_table_insert(quorum->claim_nonces, &claim->nonce, claim);
}

/// Takes a claim out of the table and frees it.
///
/// @param quorum  the claimant
/// @param claim   the claim
void
quorum_claim_free(struct quorum *quorum, struct quorum_claim *claim)
{
	uint32_t index = (claim->ticket & TICKET_INDEX_MASK) - 1;

	quorum_timer_clear(&claim->timer);
	g_hash_table_remove(quorum->claim_nonces, &claim->nonce);
	g_ptr_array_index(quorum->claims, index) = NULL;
	g_array_append_val(quorum->free_claims, index);
	g_free(claim);
}

/// Fills in a message about a claim.
///
/// @param claim    the claim
/// @param type     the message's type
/// @param message  filled in
static void
make_message(const struct quorum_claim *claim, enum quorum_message_type type,
    struct quorum_message *message)
{
	*message = (struct quorum_message){
	    .type = type,
	    .revision = claim->config.revision,
	    .nonce = claim->nonce,
	    .round = claim->round,
	    .key = claim->key,
	    .span = claim->options.lease_term,
	};
}

/// Sends a claim to the voters that have not voted for it.
///
/// @param quorum  the claimant
/// @param claim   the claim
static void
send_claim(struct quorum *quorum, const struct quorum_claim *claim)
{
	struct quorum_message message;

	make_message(claim, QUORUM_CLAIM, &message);
	message.shard = quorum_key_shard(quorum, &claim->key)->index;
	if (claim->state != QUORUM_TICKET_ASKING)
		message.number = claim->number;
	for (unsigned i = 0; i < claim->config.n_voters; i++) {
		if ((claim->voted & 1u << i) == 0)
			quorum_send(quorum, claim->config.voters[i], &message);
	}
}

/// Tells the voters, of the claim's view and of the current one, how the
/// claim ended.
///
/// @param quorum  the claimant
/// @param claim   the claim
static void
send_end(struct quorum *quorum, const struct quorum_claim *claim)
{
	const struct quorum_shard *shard =
	    quorum_key_shard(quorum, &claim->key);
	struct quorum_message message;

	make_message(claim,
	    claim->state == QUORUM_TICKET_REPORTED ? QUORUM_OUTCOME
						   : QUORUM_ABANDON,
	    &message);
	message.shard = shard->index;
	message.verdict = claim->verdict;
	for (unsigned i = 0; i < claim->config.n_voters; i++)
		quorum_send(quorum, claim->config.voters[i], &message);
	for (unsigned i = 0; i < shard->config.n_voters; i++) {
		node_id voter = shard->config.voters[i];

		if (quorum_config_index(&claim->config, voter) < 0)
			quorum_send(quorum, voter, &message);
	}
}

/// Sets a claim's timer to whatever it waits for first.
///
/// @param quorum  the claimant
/// @param claim   the claim
static void
set_timer(struct quorum *quorum, struct quorum_claim *claim)
{
	usec_t due = claim->resend_at;

	switch (claim->state) {
	case QUORUM_TICKET_ASKING:
	case QUORUM_TICKET_FENCING:
		due = MIN(due, claim->round_deadline);
		break;
	case QUORUM_TICKET_RENEWING:
		due = MIN(due, MIN(claim->round_deadline, claim->deadline));
		break;
	case QUORUM_TICKET_GRANTED:
		due = USEC_NEVER;
		if (claim->key.kind == QUORUM_LEASE)
			due = MIN(claim->deadline,
			    claim->asked_at + claim->options.lease_term / 2);
		break;
	default:
		break;
	}
	quorum_timer_set(quorum, &claim->timer, due);
}

/// Starts a round of votes under the current view.
///
/// @param quorum  the claimant
/// @param now     current time
/// @param claim   the claim
/// @param state   ASKING, FENCING or RENEWING
static void
start_round(struct quorum *quorum, usec_t now, struct quorum_claim *claim,
    enum quorum_ticket_state state)
{
	claim->state = state;
	claim->round++;
	claim->voted = 0;
	claim->rejected = 0;
	quorum_config_for_claim(quorum, &claim->key, &claim->config);
	claim->resend_at =
	    now + quorum_jitter(quorum, quorum->options.resend_interval);
	send_claim(quorum, claim);
	set_timer(quorum, claim);
}

/// Starts a round that makes a lease last longer.
///
/// @param quorum  the holder
/// @param now     current time
/// @param claim   the claim
static void
start_renewal(struct quorum *quorum, usec_t now, struct quorum_claim *claim)
{
	claim->asked_at = now;
	claim->round_deadline = now + quorum->options.claim_timeout;
	start_round(quorum, now, claim, QUORUM_TICKET_RENEWING);
}

/// Ends a claim, and tells the voters.
///
/// @param quorum  the claimant
/// @param now     current time
/// @param claim   the claim
/// @param state   REPORTED or DROPPED
static void
end_claim(struct quorum *quorum, usec_t now, struct quorum_claim *claim,
    enum quorum_ticket_state state)
{
	claim->state = state;
	claim->n_sent = 1;
	claim->resend_at =
	    now + quorum_jitter(quorum, quorum->options.resend_interval);
	send_end(quorum, claim);
	set_timer(quorum, claim);
}

/// Says what is known of other runs of a denied key. "Not run" is never known:
/// even a majority that knew no other claim, but voted too late, says nothing
/// of one that is still being asked for.
///
/// @param claim  the claim
/// @return the verdict
static enum verdict
denied_verdict(const struct quorum_claim *claim)
{
	return verdict_raise(claim->verdict, VERDICT_MAY_HAVE_RUN);
}

/// Denies a claim.
///
/// @param quorum  the claimant
/// @param now     current time
/// @param claim   the claim
static void
deny(struct quorum *quorum, usec_t now, struct quorum_claim *claim)
{
	struct quorum_action *action =
	    quorum_emit(quorum, QUORUM_ACTION_DENIED);

	action->ticket = claim->ticket;
	action->key = claim->key;
	action->reason = claim->reason == QUORUM_REASON_NONE
	    ? QUORUM_REASON_TIMEOUT
	    : claim->reason;
	action->holder = claim->holder;
	action->verdict = denied_verdict(claim);
	action->deadline =
	    MAX(claim->retry_at, now + quorum->options.claim_timeout);
	end_claim(quorum, now, claim, QUORUM_TICKET_DROPPED);
}

/// Gives up a lease that could not be renewed in time.
///
/// @param quorum  the holder
/// @param now     current time
/// @param claim   the claim
static void
lose(struct quorum *quorum, usec_t now, struct quorum_claim *claim)
{
	struct quorum_action *action = quorum_emit(quorum, QUORUM_ACTION_LOST);

	action->ticket = claim->ticket;
	action->key = claim->key;
	action->number = claim->number;
	end_claim(quorum, now, claim, QUORUM_TICKET_DROPPED);
}

/// Takes a majority of votes.
///
/// @param quorum  the claimant
/// @param now     current time, before the round's deadline
/// @param claim   the claim
static void
win_round(struct quorum *quorum, usec_t now, struct quorum_claim *claim)
{
	bool renewed = claim->state == QUORUM_TICKET_RENEWING;
	usec_t since = claim->asked_at;
	struct quorum_action *action;

	if (claim->state == QUORUM_TICKET_ASKING && claim->options.fenced) {
		claim->number =
		    MAX(claim->number, claim->options.fence_floor) + 1;
		start_round(quorum, now, claim, QUORUM_TICKET_FENCING);
		return;
	}
	if (quorum_is_naive(quorum, QUORUM_NAIVE_LEASE_FROM_ANSWER))
		since = now;
	claim->deadline = claim->key.kind == QUORUM_LEASE
	    ? since + claim->options.lease_term
	    : claim->round_deadline;
	claim->state = QUORUM_TICKET_GRANTED;
	set_timer(quorum, claim);
	if (renewed)
		return;
	action = quorum_emit(quorum, QUORUM_ACTION_GRANTED);
	action->ticket = claim->ticket;
	action->key = claim->key;
	action->number = claim->options.fenced ? claim->number : 0;
	action->deadline = claim->deadline;
}

/// Decides whether a claim that some voters refused can still win. Where the
/// votes are split so that nobody has a majority, the claim of the highest
/// nonce stays and the others abandon theirs for it. The order must not
/// depend on votes, as claimants hear of them at different times and might
/// all abandon.
///
/// @param claim  the claim
/// @return true where it is to be denied now
static bool
is_lost(const struct quorum_claim *claim)
{
	unsigned majority = quorum_majority(&claim->config);
	unsigned n_held = (unsigned)__builtin_popcount(claim->rejected);

	if (claim->verdict == VERDICT_RAN)
		return true;
	if (claim->config.n_voters - n_held >= majority)
		return false;
	for (unsigned i = 0; i < claim->config.n_voters; i++) {
		unsigned count = 0;

		if ((claim->rejected & 1u << i) == 0)
			continue;
		if (claim->held_nonce[i] == 0 ||
		    claim->held_nonce[i] > claim->nonce)
			return true;
		for (unsigned j = 0; j < claim->config.n_voters; j++)
			count += (claim->rejected & 1u << j) != 0 &&
			    claim->held_nonce[j] == claim->held_nonce[i];
		if (count >= majority)
			return true;
	}
	return false;
}

/// Takes a voter's refusal.
///
/// @param quorum   the claimant
/// @param now      current time
/// @param claim    the claim
/// @param index    the voter's
/// @param message  the refusal
static void
take_rejection(struct quorum *quorum, usec_t now, struct quorum_claim *claim,
    unsigned index, const struct quorum_message *message)
{
	bool held = message->reason == QUORUM_REASON_HELD ||
	    message->reason == QUORUM_REASON_CONTESTED;

	if (!held) {
		if (!claim->known_held)
			claim->reason = message->reason;
		return;
	}
	claim->known_held = true;
	claim->reason = message->reason;
	if (message->holder != 0)
		claim->holder = message->holder;
	claim->verdict = verdict_raise(claim->verdict, message->verdict);
	if (claim->key.kind == QUORUM_LEASE)
		claim->retry_at = now + usec_with_drift(message->span);
	claim->rejected |= 1u << index;
	claim->held_nonce[index] = message->number;
	if (claim->state == QUORUM_TICKET_ASKING && is_lost(claim))
		deny(quorum, now, claim);
}

/// Takes a voter's answer to a claim.
///
/// @param quorum   the claimant
/// @param now      current time
/// @param from     the voter
/// @param message  a VOTE or a REJECT
void
quorum_claim_receive(struct quorum *quorum, usec_t now, node_id from,
    const struct quorum_message *message)
{
	struct quorum_claim *claim =
	    g_hash_table_lookup(quorum->claim_nonces, &message->nonce);
	struct quorum_message abandon;
	int index;

	if (claim == NULL)
		return;
	if (claim->state == QUORUM_TICKET_DROPPED &&
	    message->type == QUORUM_VOTE) {
		make_message(claim, QUORUM_ABANDON, &abandon);
		abandon.shard = message->shard;
		quorum_send(quorum, from, &abandon);
	}
	if (claim->state != QUORUM_TICKET_ASKING &&
	    claim->state != QUORUM_TICKET_FENCING &&
	    claim->state != QUORUM_TICKET_RENEWING)
		return;
	index = quorum_config_index(&claim->config, from);
	if (index < 0 || message->round != claim->round ||
	    message->revision != claim->config.revision)
		return;
	if (message->type == QUORUM_REJECT) {
		take_rejection(quorum, now, claim, (unsigned)index, message);
		return;
	}
	claim->voted |= 1u << index;
	claim->rejected &= ~(1u << index);
	if (claim->state == QUORUM_TICKET_ASKING)
		claim->number = MAX(claim->number, message->number);
	if ((unsigned)__builtin_popcount(claim->voted) <
	    quorum_majority(&claim->config))
		return;
	if (now >= claim->round_deadline ||
	    (claim->state == QUORUM_TICKET_RENEWING && now >= claim->deadline))
		return;
	win_round(quorum, now, claim);
}

/// Runs a claim that ended: tells the voters again, then frees it. An
/// abandoned one stays a while to answer votes that come late.
///
/// @param quorum  the claimant
/// @param now     current time
/// @param claim   the claim
static void
tick_ended(struct quorum *quorum, usec_t now, struct quorum_claim *claim)
{
	if (claim->n_sent > QUORUM_REPEATS) {
		quorum_claim_free(quorum, claim);
		return;
	}
	claim->resend_at =
	    now + quorum_jitter(quorum, quorum->options.resend_interval);
	if (claim->n_sent < QUORUM_REPEATS)
		send_end(quorum, claim);
	else
		claim->resend_at = now + quorum->options.claim_timeout;
	claim->n_sent++;
	set_timer(quorum, claim);
}

/// Runs what is due for a claim.
///
/// @param quorum  the claimant
/// @param now     current time
/// @param claim   the claim; may be freed
void
quorum_claim_tick(struct quorum *quorum, usec_t now, struct quorum_claim *claim)
{
	bool lease_over =
	    claim->key.kind == QUORUM_LEASE && now >= claim->deadline;

	switch (claim->state) {
	case QUORUM_TICKET_ASKING:
	case QUORUM_TICKET_FENCING:
		if (now >= claim->round_deadline) {
			deny(quorum, now, claim);
			return;
		}
		break;
	case QUORUM_TICKET_GRANTED:
	case QUORUM_TICKET_RENEWING:
		if (lease_over)
			lose(quorum, now, claim);
		else if (claim->state == QUORUM_TICKET_GRANTED ||
		    now >= claim->round_deadline)
			start_renewal(quorum, now, claim);
		if (claim->state != QUORUM_TICKET_RENEWING ||
		    now < claim->resend_at)
			return;
		break;
	default:
		tick_ended(quorum, now, claim);
		return;
	}
	claim->resend_at =
	    now + quorum_jitter(quorum, quorum->options.resend_interval);
	send_claim(quorum, claim);
	set_timer(quorum, claim);
}

/// Re-issues a claim that is under way under the current view. Votes of two
/// views never count together.
///
/// @param quorum  the claimant
/// @param now     current time
/// @param claim   the claim
void
quorum_claim_new_view(
    struct quorum *quorum, usec_t now, struct quorum_claim *claim)
{
	if (claim->state == QUORUM_TICKET_RENEWING)
		start_round(quorum, now, claim, QUORUM_TICKET_RENEWING);
	else if (claim->state == QUORUM_TICKET_ASKING ||
	    claim->state == QUORUM_TICKET_FENCING)
		start_round(quorum, now, claim, QUORUM_TICKET_ASKING);
}

/// Claims a key. GRANTED or DENIED follows within claim_timeout.
///
/// @param quorum   the claimant
/// @param now      current time, from which the claim and its lease count
/// @param key      a QUORUM_ONCE or QUORUM_LEASE key
/// @param options  copied; may be NULL for a QUORUM_ONCE key
/// @return the claim's ticket
quorum_ticket
quorum_claim(struct quorum *quorum, usec_t now, const struct quorum_key *key,
    const struct quorum_claim_options *options)
{
	struct quorum_claim *claim = g_new0(struct quorum_claim, 1);
	quorum_ticket ticket;

	g_assert(key->kind == QUORUM_ONCE || key->kind == QUORUM_LEASE);
	if (options != NULL)
		claim->options = *options;
	g_assert(key->kind != QUORUM_LEASE ||
	    (claim->options.lease_term > 0 &&
		claim->options.lease_term <= quorum->options.resend_window));
	claim->key = *key;
	claim->nonce = quorum_random(quorum);
	claim->timer.kind = QUORUM_TIMER_TICKET;
	claim->timer.owner = claim;
	claim->asked_at = now;
	claim->round_deadline = now + quorum->options.claim_timeout;
	enter_claim(quorum, claim);
	ticket = claim->ticket;
	start_round(quorum, now, claim, QUORUM_TICKET_ASKING);
	quorum_drain(quorum, now);
	return ticket;
}

/// Tells whether the holder of a ticket may act. To be asked right before
/// the act, with the time read at that moment, as a timer may fire late.
///
/// @param quorum  the claimant
/// @param now     current time
/// @param ticket  the ticket
/// @return true where it was granted and its deadline has not come
bool
quorum_may_act(const struct quorum *quorum, usec_t now, quorum_ticket ticket)
{
	const struct quorum_claim *claim = find_claim(quorum, ticket);

	if (claim == NULL ||
	    (claim->state != QUORUM_TICKET_GRANTED &&
		claim->state != QUORUM_TICKET_RENEWING))
		return false;
	return now < claim->deadline ||
	    quorum_is_naive(quorum, QUORUM_NAIVE_LATE_TIMER);
}

/// Reports how the act under a granted ticket ended. The ticket is over.
///
/// @param quorum   the claimant
/// @param now      current time
/// @param ticket   of a QUORUM_ONCE key; one that is over is ignored
/// @param verdict  NOT_RUN frees the key for another claim
void
quorum_finish(struct quorum *quorum, usec_t now, quorum_ticket ticket,
    enum verdict verdict)
{
	struct quorum_claim *claim = find_claim(quorum, ticket);

	if (claim == NULL || claim->state != QUORUM_TICKET_GRANTED ||
	    claim->key.kind != QUORUM_ONCE || verdict == VERDICT_NOT_RUN) {
		quorum_release(quorum, now, ticket);
		return;
	}
	claim->verdict = verdict;
	end_claim(quorum, now, claim, QUORUM_TICKET_REPORTED);
	quorum_drain(quorum, now);
}

/// Gives up a lease, or a ticket under which nothing was done and nothing
/// will be. The ticket is over.
///
/// @param quorum  the claimant
/// @param now     current time
/// @param ticket  the ticket; one that is over is ignored
void
quorum_release(struct quorum *quorum, usec_t now, quorum_ticket ticket)
{
	struct quorum_claim *claim = find_claim(quorum, ticket);

	if (claim == NULL || claim->state == QUORUM_TICKET_REPORTED ||
	    claim->state == QUORUM_TICKET_DROPPED)
		return;
	end_claim(quorum, now, claim, QUORUM_TICKET_DROPPED);
	quorum_drain(quorum, now);
}
