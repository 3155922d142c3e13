/* The voter's side of claims, outcomes and version registers. */
#include "godwitvale/core/quorum_private.h"

#include "godwitvale/core/verdict.h"

/// Tells whether the instance has learnt a shard's state for its view.
///
/// @param shard  the shard
/// @return true where it has, and the view has not been overtaken
bool
quorum_shard_ready(const struct quorum_shard *shard)
{
	uint64_t revision = shard->config.revision;

	return shard->voter && revision != 0 &&
	    shard->ready_revision == revision && shard->sealed <= revision;
}

/// Tells why this instance must not vote or answer under a view.
///
/// @param shard     the shard asked about
/// @param now       current time
/// @param revision  the asker's view
/// @return QUORUM_REASON_NONE where it may
static enum quorum_reason
refusal(struct quorum_shard *shard, usec_t now, uint64_t revision)
{
	struct quorum *quorum = shard->quorum;
	const struct view *view = &quorum->view;

	if (quorum_is_naive(quorum, QUORUM_NAIVE_LOCAL) ||
	    quorum_is_naive(quorum, QUORUM_NAIVE_OWNER))
		return QUORUM_REASON_NONE;
	if (revision > view->revision) {
		quorum_want_list(quorum);
		return QUORUM_REASON_NEW_VIEW;
	}
	if (revision < view->revision)
		return QUORUM_REASON_OLD_VIEW;
	if (shard->sealed > revision || quorum->leaving)
		return QUORUM_REASON_SEALED;
	if (now > view->asked_at + quorum->options.list_freshness)
		return QUORUM_REASON_STALE;
	if (!quorum_shard_ready(shard))
		return QUORUM_REASON_NOT_READY;
	return QUORUM_REASON_NONE;
}

/// Finds the claim that stands in another one's way.
///
/// @param entry   what is remembered of the key
/// @param holder  the claimant
/// @param nonce   its claim
/// @return the first claim of anybody else, or NULL
static struct quorum_holding *
find_rival(struct quorum_entry *entry, node_id holder, uint64_t nonce)
{
	for (unsigned i = 0; i < entry->n_holdings; i++) {
		struct quorum_holding *holding = &entry->holdings[i];

		if (holding->holder != holder || holding->nonce != nonce)
			return holding;
	}
	return NULL;
}

/// Records a claim and fills in the vote for it.
///
/// @param entry    the key's entry, free for this claimant
/// @param now      current time
/// @param from     the claimant
/// @param message  its claim
/// @param window   how long a claim on a QUORUM_ONCE key is remembered
static void
record_vote(struct quorum_entry *entry, usec_t now, node_id from,
    const struct quorum_message *message, usec_t window)
{
	usec_t span = entry->key.kind == QUORUM_LEASE ? message->span : window;

	entry->number = MAX(entry->number, message->number);
	if (entry->key.kind != QUORUM_VERSION)
		quorum_entry_hold(
		    entry, from, message->nonce, now + usec_with_drift(span));
}

/// Fills in why a claim finds its key taken. A repeated request keeps the
/// record alive for another window.
///
/// @param rival  the claim in its way; NULL where the key is contested
/// @param now    current time
/// @param kind   the key's kind
/// @param window how long a claim on a QUORUM_ONCE key is remembered
/// @param reply  filled in
static void
report_rival(struct quorum_holding *rival, usec_t now, enum quorum_kind kind,
    usec_t window, struct quorum_message *reply)
{
	reply->type = QUORUM_REJECT;
	if (rival == NULL) {
		reply->reason = QUORUM_REASON_CONTESTED;
		reply->verdict = VERDICT_MAY_HAVE_RUN;
		return;
	}
	if (kind == QUORUM_ONCE)
		rival->forget_at =
		    MAX(rival->forget_at, now + usec_with_drift(window));
	reply->reason = QUORUM_REASON_HELD;
	reply->holder = rival->holder;
	reply->number = rival->nonce;
	reply->verdict = rival->verdict;
	reply->span = rival->forget_at - now;
}

/// Votes on a claim.
///
/// @param shard    the key's shard
/// @param now      current time
/// @param from     the claimant
/// @param message  its claim
static void
receive_claim(struct quorum_shard *shard, usec_t now, node_id from,
    const struct quorum_message *message)
{
	struct quorum *quorum = shard->quorum;
	usec_t window = quorum->options.resend_window;
	struct quorum_message reply = {
	    .type = QUORUM_VOTE,
	    .revision = message->revision,
	    .shard = message->shard,
	    .nonce = message->nonce,
	    .round = message->round,
	    .key = message->key,
	};
	struct quorum_entry *entry;
	struct quorum_holding *rival;

	reply.reason = refusal(shard, now, message->revision);
	if (reply.reason != QUORUM_REASON_NONE) {
		reply.type = QUORUM_REJECT;
		quorum_send(quorum, from, &reply);
		return;
	}
	entry = quorum_entry_get(shard, &message->key);
	quorum_entry_expire(entry, now);
	rival = find_rival(entry, from, message->nonce);
	if (rival != NULL || entry->contested_until > now) {
		report_rival(rival, now, entry->key.kind, window, &reply);
	} else {
		record_vote(entry, now, from, message, window);
		reply.number = entry->number;
	}
	quorum_send(quorum, from, &reply);
}

/// Records the outcome of a claim.
///
/// @param shard    the key's shard
/// @param now      current time
/// @param from     the claimant
/// @param message  the outcome
static void
receive_outcome(struct quorum_shard *shard, usec_t now, node_id from,
    const struct quorum_message *message)
{
	struct quorum_entry *entry = quorum_entry_get(shard, &message->key);
	struct quorum_holding *holding;

	quorum_entry_expire(entry, now);
	holding = quorum_entry_hold(entry, from, message->nonce,
	    now + usec_with_drift(shard->quorum->options.resend_window));
	if (holding != NULL)
		holding->verdict =
		    verdict_raise(holding->verdict, message->verdict);
}

/// Answers a read of a version register.
///
/// @param shard    the key's shard
/// @param now      current time
/// @param from     the reader
/// @param message  the question
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
	    .number = entry == NULL ? 0 : entry->number,
	};

	reply.reason = refusal(shard, now, message->revision);
	if (reply.reason != QUORUM_REASON_NONE)
		reply.type = QUORUM_REJECT;
	quorum_send(shard->quorum, from, &reply);
}

/// Takes a message to this instance as a voter.
///
/// @param quorum   the voter
/// @param now      current time
/// @param from     the sender
/// @param message  the message
void
quorum_voter_receive(struct quorum *quorum, usec_t now, node_id from,
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
			quorum_entry_abandon(entry, from, message->nonce);
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
