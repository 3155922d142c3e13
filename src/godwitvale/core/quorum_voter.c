/*
 * Voter side of the protocol: votes on claims, records the outcomes of requests
 * and stores the values of version registers.
 */
#include "godwitvale/core/quorum_private.h"

#include "godwitvale/core/verdict.h"

/// Checks whether this instance is ready to vote in a shard under the
/// instance's current view.
///
/// @param shard  shard of this instance
/// @return true if this instance is a voter of the shard and has learnt the
///     shard's state, and the shard is not sealed for a newer view
bool
quorum_shard_is_ready(const struct quorum_shard *shard)
{
	uint64_t revision = shard->config.revision;

	return shard->is_voter && revision != 0 &&
	    shard->ready_revision == revision &&
	    shard->sealed_revision <= revision;
}

/// Returns why this instance must refuse a claim or a read that was sent under
/// a view. Requests a newer membership list if this instance's view is older.
///
/// @param shard     shard of the request's key
/// @param now       current time, in microseconds
/// @param revision  revision of the view under which the request was sent
/// @return the reason; QUORUM_REASON_NONE if this instance may answer
static enum quorum_reason
get_refusal_reason(struct quorum_shard *shard, usec_t now, uint64_t revision)
{
	struct quorum *quorum = shard->quorum;
	const struct view *view = &quorum->view;

	if (quorum_is_naive(quorum, QUORUM_NAIVE_LOCAL) ||
	    quorum_is_naive(quorum, QUORUM_NAIVE_OWNER))
		return QUORUM_REASON_NONE;
	if (revision > view->revision) {
		quorum_request_list(quorum);
		return QUORUM_REASON_NEW_VIEW;
	}
	if (revision < view->revision)
		return QUORUM_REASON_OLD_VIEW;
	if (shard->sealed_revision > revision || quorum->leaving)
		return QUORUM_REASON_SEALED;
	if (now > view->requested_at + quorum->options.list_freshness)
		return QUORUM_REASON_STALE_LIST;
	if (!quorum_shard_is_ready(shard))
		return QUORUM_REASON_NOT_READY;
	return QUORUM_REASON_NONE;
}

/// Finds a recorded claim that conflicts with a given claim.
///
/// @param entry   records of the key
/// @param holder  claimant of the given claim
/// @param nonce   nonce of the given claim
/// @return the first recorded claim with another holder or nonce, or NULL
static struct quorum_recorded_claim *
find_rival(struct quorum_entry *entry, node_id holder, uint64_t nonce)
{
	for (unsigned i = 0; i < entry->n_claims; i++) {
		struct quorum_recorded_claim *recorded = &entry->claims[i];

		if (recorded->holder != holder || recorded->nonce != nonce)
			return recorded;
	}
	return NULL;
}

/// Records a claim for which this instance votes, and raises the key's value to
/// the value of the CLAIM message. For a version register, records only the
/// value.
///
/// @param entry          records of the key, without conflicting claims
/// @param now            current time, in microseconds
/// @param from           claimant or writer
/// @param message        CLAIM message
/// @param resend_window  time in microseconds for which this instance keeps a
///     claim on a QUORUM_ONCE key
static void
record_vote(struct quorum_entry *entry, usec_t now, node_id from,
    const struct quorum_message *message, usec_t resend_window)
{
	usec_t span =
	    entry->key.kind == QUORUM_LEASE ? message->duration : resend_window;

	entry->value = MAX(entry->value, message->value);
	if (entry->key.kind != QUORUM_VERSION)
		quorum_entry_add_claim(
		    entry, from, message->nonce, now + usec_with_drift(span));
}

/// Fills in a REJECT message for a claim on a key that another claim holds or
/// that is contested. On a QUORUM_ONCE key, the rejected claim is a repetition
/// of the request, so the expiry time of the recorded claim is set to at least
/// `resend_window` from now.
///
/// @param rival          recorded claim that holds the key; NULL if the key is
///     contested
/// @param now            current time, in microseconds
/// @param kind           kind of the key
/// @param resend_window  time in microseconds for which this instance keeps a
///     claim on a QUORUM_ONCE key
/// @param reply          REJECT message to fill in
static void
fill_rejection(struct quorum_recorded_claim *rival, usec_t now,
    enum quorum_key_kind kind, usec_t resend_window,
    struct quorum_message *reply)
{
	reply->type = QUORUM_REJECT;
	if (rival == NULL) {
		reply->reason = QUORUM_REASON_CONTESTED;
		reply->verdict = VERDICT_MAY_HAVE_RUN;
		return;
	}
	if (kind == QUORUM_ONCE)
		rival->expires_at = MAX(
		    rival->expires_at, now + usec_with_drift(resend_window));
	reply->reason = QUORUM_REASON_HELD;
	reply->holder = rival->holder;
	reply->value = rival->nonce;
	reply->verdict = rival->verdict;
	reply->duration = rival->expires_at - now;
}

/// Answers a claim with a vote or a rejection.
///
/// @param shard    shard of the message's key
/// @param now      current time, in microseconds
/// @param from     claimant
/// @param message  CLAIM message
static void
receive_claim(struct quorum_shard *shard, usec_t now, node_id from,
    const struct quorum_message *message)
{
	struct quorum *quorum = shard->quorum;
	usec_t resend_window = quorum->options.resend_window;
	struct quorum_message reply = {
	    .type = QUORUM_VOTE,
	    .revision = message->revision,
	    .shard = message->shard,
	    .nonce = message->nonce,
	    .sequence = message->sequence,
	    .key = message->key,
	};
	struct quorum_entry *entry;
	struct quorum_recorded_claim *rival;

	reply.reason = get_refusal_reason(shard, now, message->revision);
	if (reply.reason != QUORUM_REASON_NONE) {
		reply.type = QUORUM_REJECT;
		quorum_send(quorum, from, &reply);
		return;
	}
	entry = quorum_entry_get_or_create(shard, &message->key);
	quorum_entry_remove_expired(entry, now);
	rival = find_rival(entry, from, message->nonce);
	if (rival != NULL || entry->contested_until > now) {
		fill_rejection(
		    rival, now, entry->key.kind, resend_window, &reply);
	} else {
		record_vote(entry, now, from, message, resend_window);
		reply.value = entry->value;
	}
	quorum_send(quorum, from, &reply);
}

/// Records the outcome of a claim. Adds the claim if this instance has not
/// recorded it.
///
/// @param shard    shard of the message's key
/// @param now      current time, in microseconds
/// @param from     claimant
/// @param message  OUTCOME message
static void
receive_outcome(struct quorum_shard *shard, usec_t now, node_id from,
    const struct quorum_message *message)
{
	struct quorum_entry *entry =
	    quorum_entry_get_or_create(shard, &message->key);
	struct quorum_recorded_claim *recorded;

	quorum_entry_remove_expired(entry, now);
	recorded = quorum_entry_add_claim(entry, from, message->nonce,
	    now + usec_with_drift(shard->quorum->options.resend_window));
	if (recorded != NULL)
		recorded->verdict =
		    verdict_raise(recorded->verdict, message->verdict);
}

/// Answers a read of a version register.
///
/// @param shard    shard of the message's key
/// @param now      current time, in microseconds
/// @param from     reading instance
/// @param message  READ message
static void
receive_read(struct quorum_shard *shard, usec_t now, node_id from,
    const struct quorum_message *message)
{
	const struct quorum_entry *entry =
	    quorum_entry_find(shard, &message->key);
	struct quorum_message reply = {
	    .type = QUORUM_VALUE,
	    .revision = message->revision,
	    .shard = message->shard,
	    .nonce = message->nonce,
	    .key = message->key,
	    .value = entry == NULL ? 0 : entry->value,
	};

	reply.reason = get_refusal_reason(shard, now, message->revision);
	if (reply.reason != QUORUM_REASON_NONE)
		reply.type = QUORUM_REJECT;
	quorum_send(shard->quorum, from, &reply);
}

/// Handles a message that is sent to this instance as a voter.
///
/// @param quorum   quorum state of the voter
/// @param now      current time, in microseconds
/// @param from     sending instance
/// @param message  a CLAIM, ABANDON, OUTCOME or READ
void
quorum_voter_handle_message(struct quorum *quorum, usec_t now, node_id from,
    const struct quorum_message *message)
{
	struct quorum_shard *shard = quorum_key_shard(quorum, &message->key);
	struct quorum_entry *entry;

	if (message->shard != shard->index)
		return;
	switch (message->type) {
	case QUORUM_CLAIM:
		receive_claim(shard, now, from, message);
		break;
	case QUORUM_ABANDON:
		entry = quorum_entry_find(shard, &message->key);
		if (entry != NULL)
			quorum_entry_remove_claim(entry, from, message->nonce);
		break;
	case QUORUM_OUTCOME:
		receive_outcome(shard, now, from, message);
		break;
	case QUORUM_READ:
		receive_read(shard, now, from, message);
		break;
	default:
		break;
	}
}
