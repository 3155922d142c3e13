/*
 * Sends the state of a shard to the learners of other instances, and sends the
 * records of this voter to the other voters when this instance leaves.
 */
#include "godwitvale/core/quorum_private.h"

/// Checks whether this instance has no unexpired vote in a shard: the current
/// process was never ready to vote, and all votes of earlier processes of this
/// instance have expired.
///
/// @param shard  shard of this instance
/// @param now    current time, in microseconds
/// @return true if this instance has no unexpired vote
bool
quorum_prior_votes_expired(const struct quorum_shard *shard, usec_t now)
{
	const struct quorum *quorum = shard->quorum;

	return shard->ready_revision == 0 &&
	    now >= quorum->options.started_at + quorum->state_lifetime;
}

/// Removes the pending configurations that are older than an active
/// configuration, whose voters have learnt their state. Does nothing if this
/// instance does not know the active configuration's voters, because this
/// instance's answers must direct learners to these voters instead.
///
/// @param shard     shard of this instance
/// @param revision  revision of the active configuration
void
quorum_prune_pending_configs(struct quorum_shard *shard, uint64_t revision)
{
	bool known = revision <= shard->ready_revision;
	unsigned n = 0;

	for (unsigned i = 0; i < shard->n_pending_configs; i++)
		known |= shard->pending_configs[i].revision == revision;
	for (unsigned i = 0; known && i < shard->n_pending_configs; i++) {
		if (shard->pending_configs[i].revision >= revision &&
		    shard->pending_configs[i].revision > shard->ready_revision)
			shard->pending_configs[n++] = shard->pending_configs[i];
	}
	if (known)
		shard->n_pending_configs = n;
}

/// Records the configuration of a learner that sent a SEAL as pending, because
/// this configuration may become active.
///
/// @param shard    shard of the SEAL
/// @param message  SEAL message; contains the voters of the configuration
/// @return false if there is no room for the configuration; the SEAL must then
///     not be answered
static bool
add_pending_config(
    struct quorum_shard *shard, const struct quorum_message *message)
{
	struct quorum_config *config;

	quorum_prune_pending_configs(shard, message->ready_revision);
	if (message->revision <= shard->ready_revision)
		return true;
	for (unsigned i = 0; i < shard->n_pending_configs; i++) {
		if (shard->pending_configs[i].revision == message->revision)
			return true;
	}
	if (shard->n_pending_configs == QUORUM_CONFIGS_MAX)
		return false;
	config = &shard->pending_configs[shard->n_pending_configs++];
	config->revision = message->revision;
	config->n_voters = message->n_known_voters;
	for (unsigned i = 0; i < config->n_voters; i++)
		config->voters[i] = message->known_voters[i];
	return true;
}

/// Fills in the known configuration of one page of an answer. The pages contain
/// the active configuration, if there is one, and then one pending
/// configuration each; further pages contain none.
///
/// @param shard    shard of this instance
/// @param page     index of the page, from 0
/// @param message  page to fill in
static void
fill_known_config(const struct quorum_shard *shard, uint32_t page,
    struct quorum_message *message)
{
	const struct quorum_config *config = NULL;

	if (shard->ready_revision != 0) {
		if (page == 0)
			config = &shard->active_config;
		else if (page - 1 < shard->n_pending_configs)
			config = &shard->pending_configs[page - 1];
	} else if (page < shard->n_pending_configs) {
		config = &shard->pending_configs[page];
	}
	if (config == NULL)
		return;
	message->known_revision = config->revision;
	message->n_known_voters = config->n_voters;
	for (unsigned i = 0; i < config->n_voters; i++)
		message->known_voters[i] = config->voters[i];
}

/// Sends the known configurations and the records of a shard to an instance, in
/// as many pages as needed.
///
/// @param shard  shard of this instance
/// @param now    current time, in microseconds
/// @param to     receiving instance
/// @param type   STATE, HANDOVER, or PROBE_REPLY, which contains no records
/// @param nonce  nonce of the SEAL or PROBE to answer; 0 for a HANDOVER
static void
send_state_pages(struct quorum_shard *shard, usec_t now, node_id to,
    enum quorum_message_type type, uint64_t nonce)
{
	struct quorum *quorum = shard->quorum;
	GArray *records =
	    g_array_new(FALSE, FALSE, sizeof(struct quorum_record));
	uint32_t n_configs =
	    shard->n_pending_configs + (shard->ready_revision != 0 ? 1 : 0);
	struct quorum_message message = {
	    .type = type,
	    .revision = quorum->view.revision,
	    .shard = shard->index,
	    .nonce = nonce,
	    .sequence = ++quorum->serial,
	    .ready = quorum_shard_is_ready(shard),
	    .ready_revision = shard->ready_revision,
	    .floor_revision = quorum->floor_revision,
	    .prior_votes_expired = quorum_prior_votes_expired(shard, now),
	};

	if (type != QUORUM_PROBE_REPLY)
		quorum_records_collect(shard, now, records);
	message.n_pages = MAX(1,
	    MAX(n_configs,
		(records->len + QUORUM_PAGE_RECORDS - 1) /
		    QUORUM_PAGE_RECORDS));
	for (uint32_t page = 0; page < message.n_pages; page++) {
		uint32_t first = page * QUORUM_PAGE_RECORDS;

		message.page = page;
		message.known_revision = 0;
		message.n_known_voters = 0;
		fill_known_config(shard, page, &message);
		message.n_records = 0;
		for (uint32_t i = first; i < records->len &&
		     message.n_records < QUORUM_PAGE_RECORDS;
		     i++)
			message.records[message.n_records++] =
			    g_array_index(records, struct quorum_record, i);
		quorum_send(quorum, to, &message);
	}
	g_array_free(records, TRUE);
}

/// Handles a SEAL: stops voting in the shard under views older than the
/// learner's view, and answers with the shard's state. Rejects a SEAL from a
/// view that is older than this instance's view or than the view of an earlier
/// SEAL.
///
/// @param shard    shard of this instance
/// @param now      current time, in microseconds
/// @param from     instance of the learner
/// @param message  SEAL message
static void
receive_seal(struct quorum_shard *shard, usec_t now, node_id from,
    const struct quorum_message *message)
{
	struct quorum *quorum = shard->quorum;
	uint64_t revision = message->revision;

	if (revision < quorum->view.revision ||
	    revision < shard->sealed_revision) {
		struct quorum_message reply = {
		    .type = QUORUM_REJECT,
		    .reason = QUORUM_REASON_OLD_VIEW,
		    .revision = quorum->view.revision,
		    .shard = shard->index,
		    .nonce = message->nonce,
		};

		quorum_send(quorum, from, &reply);
		return;
	}
	if (revision > quorum->view.revision)
		quorum_request_list(quorum);
	if (!add_pending_config(shard, message))
		return;
	shard->sealed_revision = MAX(shard->sealed_revision, revision);
	send_state_pages(shard, now, from, QUORUM_STATE, message->nonce);
}

/// Merges the records of a leaving voter into a shard. Does nothing if this
/// instance is not a voter of the shard.
///
/// @param shard    shard of this instance
/// @param now      current time, in microseconds
/// @param message  one page of a HANDOVER
static void
receive_handover(struct quorum_shard *shard, usec_t now,
    const struct quorum_message *message)
{
	if (!shard->is_voter)
		return;
	for (uint32_t i = 0; i < message->n_records; i++)
		quorum_record_merge(shard, now, &message->records[i]);
}

/// Handles a request of another instance's learner, or a handover of a leaving
/// voter.
///
/// @param quorum   quorum state of the receiver
/// @param now      current time, in microseconds
/// @param from     sending instance
/// @param message  a SEAL, PROBE or HANDOVER
void
quorum_seal_handle_message(struct quorum *quorum, usec_t now, node_id from,
    const struct quorum_message *message)
{
	struct quorum_shard *shard = &quorum->shards[message->shard];

	switch (message->type) {
	case QUORUM_SEAL:
		receive_seal(shard, now, from, message);
		break;
	case QUORUM_PROBE:
		if (message->revision > quorum->view.revision)
			quorum_request_list(quorum);
		send_state_pages(
		    shard, now, from, QUORUM_PROBE_REPLY, message->nonce);
		break;
	case QUORUM_HANDOVER:
		receive_handover(shard, now, message);
		break;
	default:
		break;
	}
}

/// Sends the records of all shards of this instance to the other voters of each
/// shard.
///
/// @param quorum  quorum state of the leaving instance
/// @param now     current time, in microseconds
void
quorum_send_handover(struct quorum *quorum, usec_t now)
{
	quorum->n_handovers++;
	for (uint32_t i = 0; i < quorum->options.n_shards; i++) {
		struct quorum_shard *shard = &quorum->shards[i];
		const struct quorum_config *config = &shard->config;

		if (g_hash_table_size(shard->entries) == 0)
			continue;
		for (unsigned j = 0; j < config->n_voters; j++) {
			if (config->voters[j] != quorum->options.self)
				send_state_pages(shard, now, config->voters[j],
				    QUORUM_HANDOVER, 0);
		}
	}
}
