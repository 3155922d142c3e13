/*
 * Claimant side of the protocol: collects votes for claims, renews leases and
 * reports outcomes to the voters.
 */
#include "godwitvale/core/quorum_private.h"

#include "godwitvale/core/verdict.h"

/// The low bits of a ticket hold an index into the table of claims, plus 1.
/// The high bits hold a serial number that distinguishes successive uses of
/// the same index.
#define TICKET_INDEX_BITS 20
#define TICKET_INDEX_MASK ((1u << TICKET_INDEX_BITS) - 1)

/// Finds a claim by its ticket.
///
/// @param quorum  quorum state of the claimant
/// @param ticket  ticket returned by quorum_start_claim()
/// @return the claim, or NULL if it no longer exists
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

/// Adds a claim to the table of claims.
///
/// @param quorum  takes ownership of the claim
/// @param claim   claim to add; the function sets the ticket field
static void
add_claim(struct quorum *quorum, struct quorum_claim *claim)
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
	g_hash_table_insert(quorum->claims_by_nonce, &claim->nonce, claim);
}

/// Removes a claim from the table and frees it.
///
/// @param quorum  quorum state that owns the claim
/// @param claim   claim to free; its ticket becomes invalid
void
quorum_claim_free(struct quorum *quorum, struct quorum_claim *claim)
{
	uint32_t index = (claim->ticket & TICKET_INDEX_MASK) - 1;

	quorum_timer_clear(&claim->timer);
	g_hash_table_remove(quorum->claims_by_nonce, &claim->nonce);
	g_ptr_array_index(quorum->claims, index) = NULL;
	g_array_append_val(quorum->free_claims, index);
	g_free(claim);
}

/// Fills in the fields that all messages about a claim have in common.
///
/// @param claim    source of the view, nonce, round, key and lease term
/// @param type     type of the message
/// @param message  overwritten; the caller sets the shard
static void
init_message(const struct quorum_claim *claim, enum quorum_message_type type,
    struct quorum_message *message)
{
	*message = (struct quorum_message){
	    .type = type,
	    .revision = claim->config.revision,
	    .nonce = claim->nonce,
	    .sequence = claim->round,
	    .key = claim->key,
	    .duration = claim->options.lease_term,
	};
}

/// Sends a claim to the voters that have not voted for it yet.
///
/// @param quorum  quorum state of the claimant
/// @param claim   claim in a voting round
static void
send_claim(struct quorum *quorum, const struct quorum_claim *claim)
{
	struct quorum_message message;

	init_message(claim, QUORUM_CLAIM, &message);
	message.shard = quorum_key_shard(quorum, &claim->key)->index;
	if (claim->state != QUORUM_CLAIM_VOTING)
		message.value = claim->fence;
	for (unsigned i = 0; i < claim->config.n_voters; i++) {
		if ((claim->votes & 1u << i) == 0)
			quorum_send(quorum, claim->config.voters[i], &message);
	}
}

/// Sends the outcome or the abandonment of a claim to the voters under the view
/// of the claim's last voting round and to those under the current view.
///
/// @param quorum  quorum state of the claimant
/// @param claim   claim in state REPORTING or ABANDONED
static void
send_claim_end(struct quorum *quorum, const struct quorum_claim *claim)
{
	const struct quorum_shard *shard =
	    quorum_key_shard(quorum, &claim->key);
	struct quorum_message message;

	init_message(claim,
	    claim->state == QUORUM_CLAIM_REPORTING ? QUORUM_OUTCOME
						   : QUORUM_ABANDON,
	    &message);
	message.shard = shard->index;
	message.verdict = claim->verdict;
	for (unsigned i = 0; i < claim->config.n_voters; i++)
		quorum_send(quorum, claim->config.voters[i], &message);
	for (unsigned i = 0; i < shard->config.n_voters; i++) {
		node_id voter = shard->config.voters[i];

		if (quorum_config_find_voter(&claim->config, voter) < 0)
			quorum_send(quorum, voter, &message);
	}
}

/// Sets a claim's timer to the earliest time at which the claim must be resent,
/// renewed or ended.
///
/// @param quorum  quorum state of the claimant
/// @param claim   owner of the timer
static void
set_timer(struct quorum *quorum, struct quorum_claim *claim)
{
	usec_t due = claim->resend_at;

	switch (claim->state) {
	case QUORUM_CLAIM_VOTING:
	case QUORUM_CLAIM_FENCING:
		due = MIN(due, claim->round_deadline);
		break;
	case QUORUM_CLAIM_RENEWING:
		due = MIN(due, MIN(claim->round_deadline, claim->deadline));
		break;
	case QUORUM_CLAIM_GRANTED:
		due = USEC_NEVER;
		if (claim->key.kind == QUORUM_LEASE)
			due = MIN(claim->deadline,
			    claim->started_at + claim->options.lease_term / 2);
		break;
	default:
		break;
	}
	quorum_timer_set(quorum, &claim->timer, due);
}

/// Starts a voting round of a claim under the current view.
///
/// @param quorum  quorum state of the claimant
/// @param now     current time, in microseconds
/// @param claim   claim to collect votes for
/// @param state   new state of the claim: VOTING, FENCING or RENEWING
static void
start_round(struct quorum *quorum, usec_t now, struct quorum_claim *claim,
    enum quorum_claim_state state)
{
	claim->state = state;
	claim->round++;
	claim->votes = 0;
	claim->rejections = 0;
	quorum_config_for_key(quorum, &claim->key, &claim->config);
	claim->resend_at =
	    now + quorum_add_jitter(quorum, quorum->options.resend_interval);
	send_claim(quorum, claim);
	set_timer(quorum, claim);
}

/// Starts a voting round that renews a lease.
///
/// @param quorum  quorum state of the lease holder
/// @param now     current time, in microseconds; start of the renewed term
/// @param claim   granted claim on a QUORUM_LEASE key
static void
start_renewal(struct quorum *quorum, usec_t now, struct quorum_claim *claim)
{
	claim->started_at = now;
	claim->round_deadline = now + quorum->options.claim_timeout;
	start_round(quorum, now, claim, QUORUM_CLAIM_RENEWING);
}

/// Ends a claim and notifies the voters.
///
/// @param quorum  quorum state of the claimant
/// @param now     current time, in microseconds
/// @param claim   claim to end
/// @param state   new state of the claim: REPORTING or ABANDONED
static void
end_claim(struct quorum *quorum, usec_t now, struct quorum_claim *claim,
    enum quorum_claim_state state)
{
	claim->state = state;
	claim->n_sent = 1;
	claim->resend_at =
	    now + quorum_add_jitter(quorum, quorum->options.resend_interval);
	send_claim_end(quorum, claim);
	set_timer(quorum, claim);
}

/// Returns whether another claimant may have executed the request of a denied
/// claim. The verdict is never NOT_RUN: even if a majority of voters knew of no
/// other claim but voted too late, another claim may still be collecting votes.
///
/// @param claim  denied claim
/// @return at least VERDICT_MAY_HAVE_RUN
static enum verdict
get_denied_verdict(const struct quorum_claim *claim)
{
	return verdict_raise(claim->verdict, VERDICT_MAY_HAVE_RUN);
}

/// Ends a claim that was not granted, and queues a DENIED action.
///
/// @param quorum  quorum state of the claimant
/// @param now     current time, in microseconds
/// @param claim   claim to deny
static void
deny_claim(struct quorum *quorum, usec_t now, struct quorum_claim *claim)
{
	struct quorum_action *action =
	    quorum_queue_action(quorum, QUORUM_ACTION_DENIED);

	action->ticket = claim->ticket;
	action->key = claim->key;
	action->reason = claim->reason == QUORUM_REASON_NONE
	    ? QUORUM_REASON_TIMEOUT
	    : claim->reason;
	action->holder = claim->holder;
	action->verdict = get_denied_verdict(claim);
	action->deadline =
	    MAX(claim->retry_at, now + quorum->options.claim_timeout);
	end_claim(quorum, now, claim, QUORUM_CLAIM_ABANDONED);
}

/// Ends a lease that could not be renewed in time, and queues a LEASE_LOST
/// action.
///
/// @param quorum  quorum state of the former holder
/// @param now     current time, in microseconds
/// @param claim   granted claim on a QUORUM_LEASE key
static void
end_lost_lease(struct quorum *quorum, usec_t now, struct quorum_claim *claim)
{
	struct quorum_action *action =
	    quorum_queue_action(quorum, QUORUM_ACTION_LEASE_LOST);

	action->ticket = claim->ticket;
	action->key = claim->key;
	action->value = claim->fence;
	end_claim(quorum, now, claim, QUORUM_CLAIM_ABANDONED);
}

/// Completes a voting round in which a majority of voters voted for the claim:
/// starts the fencing round, grants the claim, or extends the lease.
///
/// @param quorum  quorum state of the claimant
/// @param now     current time, in microseconds, before the round's deadline
/// @param claim   claim in state VOTING, FENCING or RENEWING
static void
complete_round(struct quorum *quorum, usec_t now, struct quorum_claim *claim)
{
	bool renewed = claim->state == QUORUM_CLAIM_RENEWING;
	usec_t lease_start = claim->started_at;
	struct quorum_action *action;

	if (claim->state == QUORUM_CLAIM_VOTING && claim->options.fenced) {
		claim->fence =
		    MAX(claim->fence, claim->options.fence_floor) + 1;
		start_round(quorum, now, claim, QUORUM_CLAIM_FENCING);
		return;
	}
	if (quorum_is_naive(quorum, QUORUM_NAIVE_LEASE_FROM_ANSWER))
		lease_start = now;
	claim->deadline = claim->key.kind == QUORUM_LEASE
	    ? lease_start + claim->options.lease_term
	    : claim->round_deadline;
	claim->state = QUORUM_CLAIM_GRANTED;
	set_timer(quorum, claim);
	if (renewed)
		return;
	action = quorum_queue_action(quorum, QUORUM_ACTION_GRANTED);
	action->ticket = claim->ticket;
	action->key = claim->key;
	action->value = claim->options.fenced ? claim->fence : 0;
	action->deadline = claim->deadline;
}

/// Checks whether a claim that some voters rejected must be denied before its
/// deadline: the request has already been executed, or too few voters remain
/// for a majority. In the second case, if no other claim has a majority of the
/// votes either and no voter reported a contested key, the claim with the
/// highest nonce continues and the other claimants abandon their claims. Nonces
/// decide, not numbers of votes: claimants learn of votes at different times,
/// and might then all abandon their claims.
///
/// @param claim  claim in state VOTING
/// @return true if the claim must be denied now
static bool
must_deny_claim(const struct quorum_claim *claim)
{
	unsigned majority = quorum_config_majority(&claim->config);
	unsigned n_rejections = (unsigned)__builtin_popcount(claim->rejections);

	if (claim->verdict == VERDICT_RAN)
		return true;
	if (claim->config.n_voters - n_rejections >= majority)
		return false;
	for (unsigned i = 0; i < claim->config.n_voters; i++) {
		unsigned count = 0;

		if ((claim->rejections & 1u << i) == 0)
			continue;
		if (claim->rival_nonces[i] == 0 ||
		    claim->rival_nonces[i] > claim->nonce)
			return true;
		for (unsigned j = 0; j < claim->config.n_voters; j++)
			count += (claim->rejections & 1u << j) != 0 &&
			    claim->rival_nonces[j] == claim->rival_nonces[i];
		if (count >= majority)
			return true;
	}
	return false;
}

/// Handles a voter's rejection of a claim.
///
/// @param quorum   quorum state of the claimant
/// @param now      current time, in microseconds
/// @param claim    rejected claim
/// @param index    index of the voter in claim->config.voters
/// @param message  REJECT message of the voter
static void
handle_rejection(struct quorum *quorum, usec_t now, struct quorum_claim *claim,
    unsigned index, const struct quorum_message *message)
{
	bool key_is_held = message->reason == QUORUM_REASON_HELD ||
	    message->reason == QUORUM_REASON_CONTESTED;

	if (!key_is_held) {
		if (!claim->rival_known)
			claim->reason = message->reason;
		return;
	}
	claim->rival_known = true;
	claim->reason = message->reason;
	if (message->holder != 0)
		claim->holder = message->holder;
	claim->verdict = verdict_raise(claim->verdict, message->verdict);
	if (claim->key.kind == QUORUM_LEASE)
		claim->retry_at = now + usec_with_drift(message->duration);
	claim->rejections |= 1u << index;
	claim->rival_nonces[index] = message->value;
	if (claim->state == QUORUM_CLAIM_VOTING && must_deny_claim(claim))
		deny_claim(quorum, now, claim);
}

/// Handles a voter's answer to a claim. Answers a late vote for an abandoned
/// claim with an ABANDON, so that the voter removes the claim.
///
/// @param quorum   quorum state of the claimant
/// @param now      current time, in microseconds
/// @param from     answering voter
/// @param message  a VOTE or a REJECT
void
quorum_claim_handle_answer(struct quorum *quorum, usec_t now, node_id from,
    const struct quorum_message *message)
{
	struct quorum_claim *claim =
	    g_hash_table_lookup(quorum->claims_by_nonce, &message->nonce);
	struct quorum_message abandon;
	int index;

	if (claim == NULL)
		return;
	if (claim->state == QUORUM_CLAIM_ABANDONED &&
	    message->type == QUORUM_VOTE) {
		init_message(claim, QUORUM_ABANDON, &abandon);
		abandon.shard = message->shard;
		quorum_send(quorum, from, &abandon);
	}
	if (claim->state != QUORUM_CLAIM_VOTING &&
	    claim->state != QUORUM_CLAIM_FENCING &&
	    claim->state != QUORUM_CLAIM_RENEWING)
		return;
	index = quorum_config_find_voter(&claim->config, from);
	if (index < 0 || message->sequence != claim->round ||
	    message->revision != claim->config.revision)
		return;
	if (message->type == QUORUM_REJECT) {
		handle_rejection(quorum, now, claim, (unsigned)index, message);
		return;
	}
	claim->votes |= 1u << index;
	claim->rejections &= ~(1u << index);
	if (claim->state == QUORUM_CLAIM_VOTING)
		claim->fence = MAX(claim->fence, message->value);
	if ((unsigned)__builtin_popcount(claim->votes) <
	    quorum_config_majority(&claim->config))
		return;
	if (now >= claim->round_deadline ||
	    (claim->state == QUORUM_CLAIM_RENEWING && now >= claim->deadline))
		return;
	complete_round(quorum, now, claim);
}

/// Handles the timer of an ended claim: resends the outcome or the abandonment
/// to the voters, and frees the claim one claim_timeout after the last resend.
/// During this time, late votes for an abandoned claim are still answered.
///
/// @param quorum  quorum state of the claimant
/// @param now     current time, in microseconds
/// @param claim   claim in state REPORTING or ABANDONED; may be freed
static void
tick_ended_claim(struct quorum *quorum, usec_t now, struct quorum_claim *claim)
{
	if (claim->n_sent > QUORUM_UNACKED_SENDS) {
		quorum_claim_free(quorum, claim);
		return;
	}
	claim->resend_at =
	    now + quorum_add_jitter(quorum, quorum->options.resend_interval);
	if (claim->n_sent < QUORUM_UNACKED_SENDS)
		send_claim_end(quorum, claim);
	else
		claim->resend_at = now + quorum->options.claim_timeout;
	claim->n_sent++;
	set_timer(quorum, claim);
}

/// Handles a claim's timer: resends the claim, renews the lease, ends the claim
/// or frees the ended claim, according to the claim's state and deadlines.
///
/// @param quorum  quorum state of the claimant
/// @param now     current time, in microseconds
/// @param claim   owner of the timer; may be freed
void
quorum_claim_tick(struct quorum *quorum, usec_t now, struct quorum_claim *claim)
{
	bool lease_over =
	    claim->key.kind == QUORUM_LEASE && now >= claim->deadline;

	switch (claim->state) {
	case QUORUM_CLAIM_VOTING:
	case QUORUM_CLAIM_FENCING:
		if (now >= claim->round_deadline) {
			deny_claim(quorum, now, claim);
			return;
		}
		break;
	case QUORUM_CLAIM_GRANTED:
	case QUORUM_CLAIM_RENEWING:
		if (lease_over)
			end_lost_lease(quorum, now, claim);
		else if (claim->state == QUORUM_CLAIM_GRANTED ||
		    now >= claim->round_deadline)
			start_renewal(quorum, now, claim);
		if (claim->state != QUORUM_CLAIM_RENEWING ||
		    now < claim->resend_at)
			return;
		break;
	default:
		tick_ended_claim(quorum, now, claim);
		return;
	}
	claim->resend_at =
	    now + quorum_add_jitter(quorum, quorum->options.resend_interval);
	send_claim(quorum, claim);
	set_timer(quorum, claim);
}

/// Restarts a claim's pending voting round under the current view, because
/// votes under different views must not be counted together. A claim in the
/// fencing round starts again with the first round.
///
/// @param quorum  quorum state of the claimant
/// @param now     current time, in microseconds
/// @param claim   claim of this instance; unchanged if no round is pending
void
quorum_claim_restart_round(
    struct quorum *quorum, usec_t now, struct quorum_claim *claim)
{
	if (claim->state == QUORUM_CLAIM_RENEWING)
		start_round(quorum, now, claim, QUORUM_CLAIM_RENEWING);
	else if (claim->state == QUORUM_CLAIM_VOTING ||
	    claim->state == QUORUM_CLAIM_FENCING)
		start_round(quorum, now, claim, QUORUM_CLAIM_VOTING);
}

/// Claims a key. A GRANTED or DENIED action follows within claim_timeout.
///
/// @param quorum   quorum state of the claimant
/// @param now      current time, in microseconds; claim_timeout and the lease
///     term start at this time
/// @param key      a QUORUM_ONCE or QUORUM_LEASE key
/// @param options  copied; may be NULL for a QUORUM_ONCE key
/// @return ticket of the claim
quorum_ticket
quorum_start_claim(struct quorum *quorum, usec_t now,
    const struct quorum_key *key, const struct quorum_claim_options *options)
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
	claim->nonce = quorum_random_nonce(quorum);
	claim->timer.kind = QUORUM_TIMER_CLAIM;
	claim->timer.owner = claim;
	claim->started_at = now;
	claim->round_deadline = now + quorum->options.claim_timeout;
	add_claim(quorum, claim);
	ticket = claim->ticket;
	start_round(quorum, now, claim, QUORUM_CLAIM_VOTING);
	quorum_deliver_loopback(quorum, now);
	return ticket;
}

/// Checks whether this instance may still act under a ticket. Callers must call
/// this function immediately before they act, with a newly read time, because
/// the timer that ends the ticket may fire late.
///
/// @param quorum  quorum state of the claimant
/// @param now     current time, in microseconds
/// @param ticket  ticket returned by quorum_start_claim()
/// @return true if the ticket was granted and its deadline has not passed
bool
quorum_may_act(const struct quorum *quorum, usec_t now, quorum_ticket ticket)
{
	const struct quorum_claim *claim = find_claim(quorum, ticket);

	if (claim == NULL ||
	    (claim->state != QUORUM_CLAIM_GRANTED &&
		claim->state != QUORUM_CLAIM_RENEWING))
		return false;
	return now < claim->deadline ||
	    quorum_is_naive(quorum, QUORUM_NAIVE_LATE_TIMER);
}

/// Reports to the voters whether an upstream executed the request of a granted
/// ticket, and ends the ticket.
///
/// @param quorum   quorum state of the claimant
/// @param now      current time, in microseconds
/// @param ticket   ticket of a QUORUM_ONCE key; ignored if it has ended
/// @param verdict  outcome; NOT_RUN lets another claim be granted the key
void
quorum_report_outcome(struct quorum *quorum, usec_t now, quorum_ticket ticket,
    enum verdict verdict)
{
	struct quorum_claim *claim = find_claim(quorum, ticket);

	if (claim == NULL || claim->state != QUORUM_CLAIM_GRANTED ||
	    claim->key.kind != QUORUM_ONCE || verdict == VERDICT_NOT_RUN) {
		quorum_release_claim(quorum, now, ticket);
		return;
	}
	claim->verdict = verdict;
	end_claim(quorum, now, claim, QUORUM_CLAIM_REPORTING);
	quorum_deliver_loopback(quorum, now);
}

/// Ends a ticket that holds a lease, or one whose request was not executed and
/// will not be, and lets another claim be granted the key.
///
/// @param quorum  quorum state of the claimant
/// @param now     current time, in microseconds
/// @param ticket  ticket to end; ignored if it has ended
void
quorum_release_claim(struct quorum *quorum, usec_t now, quorum_ticket ticket)
{
	struct quorum_claim *claim = find_claim(quorum, ticket);

	if (claim == NULL || claim->state == QUORUM_CLAIM_REPORTING ||
	    claim->state == QUORUM_CLAIM_ABANDONED)
		return;
	end_claim(quorum, now, claim, QUORUM_CLAIM_ABANDONED);
	quorum_deliver_loopback(quorum, now);
}
