/* Answers to voters that learn a shard's state, and the handover on leaving. */
#include "godwitvale/core/quorum_private.h"

/// Tells whether all that former lives of this instance promised for a shard
/// has lapsed, while this life has promised nothing.
///
/// @param shard  the shard
/// @param now    current time
/// @return true where it has
bool
quorum_is_lapsed(const struct quorum_shard *shard, usec_t now)
{
	const struct quorum *quorum = shard->quorum;

	return shard->ready_revision == 0 &&
	    now >= quorum->options.started_at + quorum->lost_span;
}

/// Forgets configurations that a newer active one makes needless. That one
/// must be known here, as it is what leads others past the forgotten ones.
///
/// @param shard     the shard
/// @param revision  of a configuration that was active
void
quorum_prune_later(struct quorum_shard *shard, uint64_t revision)
{
	bool known = revision <= shard->ready_revision;
	unsigned n = 0;

	for (unsigned i = 0; i < shard->n_later; i++)
		known |= shard->later[i].revision == revision;
	for (unsigned i = 0; known && i < shard->n_later; i++) {
		if (shard->later[i].revision >= revision &&
		    shard->later[i].revision > shard->ready_revision)
			shard->later[n++] = shard->later[i];
	}
	if (known)
		shard->n_later = n;
}

/// Notes that a configuration asks for the state, and so may become active.
///
/// @param shard    the shard
/// @param message  its SEAL
/// @return false where there is no room; the SEAL must not be answered then
static bool
note_later(struct quorum_shard *shard, const struct quorum_message *message)
{
	struct quorum_config *config;

	quorum_prune_later(shard, message->ready_revision);
	if (message->revision <= shard->ready_revision)
		return true;
	for (unsigned i = 0; i < shard->n_later; i++) {
		if (shard->later[i].revision == message->revision)
			return true;
	}
	if (shard->n_later == QUORUM_CONFIGS_MAX)
		return false;
	config = &shard->later[shard->n_later++];
	config->revision = message->revision;
	config->n_voters = message->n_known_voters;
	for (unsigned i = 0; i < config->n_voters; i++)
		config->voters[i] = message->known_voters[i];
	return true;
}

/// Fills in the configuration that one page of an answer carries.
///
/// @param shard    the shard
/// @param page     the page's number
/// @param message  filled in
static void
add_known_config(const struct quorum_shard *shard, uint32_t page,
    struct quorum_message *message)
{
	const struct quorum_config *config = NULL;

	if (shard->ready_revision != 0) {
		if (page == 0)
			config = &shard->active;
		else if (page - 1 < shard->n_later)
			config = &shard->later[page - 1];
	} else if (page < shard->n_later) {
		config = &shard->later[page];
	}
	if (config == NULL)
		return;
	message->known_revision = config->revision;
	message->n_known_voters = config->n_voters;
	for (unsigned i = 0; i < config->n_voters; i++)
		message->known_voters[i] = config->voters[i];
}

/// Sends what is known of a shard, in as many pages as it takes.
///
/// @param shard  the shard
/// @param now    current time
/// @param to     the receiver
/// @param type   STATE and HANDOVER carry records, PROBE_REPLY none
/// @param nonce  of the question
static void
send_pages(struct quorum_shard *shard, usec_t now, node_id to,
    enum quorum_message_type type, uint64_t nonce)
{
	struct quorum *quorum = shard->quorum;
	GArray *records =
	    g_array_new(FALSE, FALSE, sizeof(struct quorum_record));
	uint32_t n_configs =
	    shard->n_later + (shard->ready_revision != 0 ? 1 : 0);
	struct quorum_message message = {
	    .type = type,
	    .revision = quorum->view.revision,
	    .shard = shard->index,
	    .nonce = nonce,
	    .round = ++quorum->serial,
	    .ready = quorum_shard_ready(shard),
	    .ready_revision = shard->ready_revision,
	    .floor_revision = quorum->floor_revision,
	    .lapsed = quorum_is_lapsed(shard, now),
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
		add_known_config(shard, page, &message);
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

/// Seals a shard for a newer view and answers with its state.
///
/// @param shard    the shard
/// @param now      current time
/// @param from     the voter that learns
/// @param message  its SEAL
static void
receive_seal(struct quorum_shard *shard, usec_t now, node_id from,
    const struct quorum_message *message)
{
	struct quorum *quorum = shard->quorum;
	uint64_t revision = message->revision;

	if (revision < quorum->view.revision || revision < shard->sealed) {
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
		quorum_want_list(quorum);
	if (!note_later(shard, message))
		return;
	shard->sealed = MAX(shard->sealed, revision);
	send_pages(shard, now, from, QUORUM_STATE, message->nonce);
}

/// Adds the records of a voter that leaves.
///
/// @param shard    the shard
/// @param now      current time
/// @param message  one page
static void
receive_handover(struct quorum_shard *shard, usec_t now,
    const struct quorum_message *message)
{
	if (!shard->voter)
		return;
	for (uint32_t i = 0; i < message->n_records; i++)
		quorum_record_merge(shard, now, &message->records[i]);
}

/// Takes a question of a voter that learns, or a handover.
///
/// @param quorum   the receiver
/// @param now      current time
/// @param from     the sender
/// @param message  the message
void
quorum_seal_receive(struct quorum *quorum, usec_t now, node_id from,
    const struct quorum_message *message)
{
	struct quorum_shard *shard = &quorum->shards[message->shard];

	switch (message->type) {
	case QUORUM_SEAL:
		receive_seal(shard, now, from, message);
		break;
	case QUORUM_PROBE:
		if (message->revision > quorum->view.revision)
			quorum_want_list(quorum);
		send_pages(
		    shard, now, from, QUORUM_PROBE_REPLY, message->nonce);
		break;
	case QUORUM_HANDOVER:
		receive_handover(shard, now, message);
		break;
	default:
		break;
	}
}

/// Sends the state of all shards to their other voters.
///
/// @param quorum  the part of an instance that leaves
/// @param now     current time
void
quorum_hand_over(struct quorum *quorum, usec_t now)
{
	quorum->n_handovers++;
	for (uint32_t i = 0; i < quorum->options.n_shards; i++) {
		struct quorum_shard *shard = &quorum->shards[i];
		const struct quorum_config *config = &shard->config;

		if (g_hash_table_size(shard->entries) == 0)
			continue;
		for (unsigned j = 0; j < config->n_voters; j++) {
			if (config->voters[j] != quorum->options.self)
				send_pages(shard, now, config->voters[j],
				    QUORUM_HANDOVER, 0);
		}
	}
}
