/*
 * Decides when a voter that learns a shard's state has received enough answers
 * to vote. The reasons for these rules are in
 * docs/design/0002-at-most-once.md.
 */
#include "godwitvale/core/quorum_private.h"

/// Checks whether an answer contains all votes that its sender cast in a shard
/// up to a revision.
///
/// @param answer    answer of one instance
/// @param revision  newest revision to check
/// @return true if no vote can be missing
static bool
answer_covers(const struct quorum_answer *answer, uint64_t revision)
{
	return answer->complete && answer->revision >= revision &&
	    (answer->ready_revision != 0 || revision > answer->floor_revision);
}

/// Describes the learner's own state as an answer.
///
/// @param shard  shard that is learnt
/// @param now    current time, in microseconds
/// @return an answer without records
static struct quorum_answer
own_answer(const struct quorum_shard *shard, usec_t now)
{
	struct quorum_answer answer = {
	    .from = shard->quorum->options.self,
	    .complete = true,
	    .prior_votes_expired = quorum_prior_votes_expired(shard, now),
	    .revision = shard->quorum->view.revision,
	    .ready_revision = shard->ready_revision,
	    .floor_revision = shard->quorum->floor_revision,
	};

	return answer;
}

/// Checks whether the voters of a configuration that may still hold state are
/// fewer than a majority. The other voters lost their state or left the list,
/// so long ago that all their votes have expired.
///
/// @param shard   shard that is learnt
/// @param now     current time, in microseconds
/// @param config  configuration to check
/// @return true if fewer than a majority may hold state
static bool
is_config_expired(
    struct quorum_shard *shard, usec_t now, const struct quorum_config *config)
{
	struct quorum *quorum = shard->quorum;
	unsigned n_left = config->n_voters;

	for (unsigned i = 0; i < config->n_voters; i++) {
		node_id id = config->voters[i];
		const struct quorum_answer *answer =
		    quorum_answer_find(shard->learner.probes, id);

		if (id == quorum->options.self
			? quorum_prior_votes_expired(shard, now)
			: quorum_is_long_delisted(quorum, now, id) ||
			    (answer != NULL && answer->complete &&
				answer->prior_votes_expired))
			n_left--;
	}
	return n_left < quorum_majority(config);
}

/// Checks whether a majority of a configuration answered. None of its grants
/// can then be missing, and it makes no more grants.
///
/// @param shard   shard that is learnt
/// @param now     current time, in microseconds
/// @param config  configuration to check
/// @return true if a majority answered
static bool
is_config_covered(
    struct quorum_shard *shard, usec_t now, const struct quorum_config *config)
{
	struct quorum_answer own = own_answer(shard, now);
	unsigned n = 0;

	for (unsigned i = 0; i < config->n_voters; i++) {
		node_id id = config->voters[i];
		const struct quorum_answer *answer = id == own.from
		    ? &own
		    : quorum_answer_find(shard->learner.answers, id);

		n += answer != NULL && answer_covers(answer, config->revision);
	}
	return n >= quorum_majority(config);
}

/// Checks whether no unexpired vote of a listed member can be unknown to the
/// learner.
///
/// @param shard  shard that is learnt
/// @param id     listed member
/// @return true for this instance itself, and for a member that answered under
///     the current view: with the shard's state or, if it has none, that all
///     its earlier votes have expired
static bool
is_member_accounted_for(const struct quorum_shard *shard, node_id id)
{
	const struct quorum_learner *learner = &shard->learner;
	const struct quorum_answer *probe =
	    quorum_answer_find(learner->probes, id);
	const struct quorum_answer *state =
	    quorum_answer_find(learner->answers, id);

	if (id == shard->quorum->options.self)
		return true;
	if (probe == NULL || !probe->complete ||
	    probe->revision != shard->config.revision)
		return false;
	if (probe->ready_revision == 0)
		return probe->prior_votes_expired;
	return state != NULL && state->complete;
}

/// Checks whether enough of the fleet answered that no configuration with
/// unexpired grants can be unknown. This is required before expiry may replace
/// the answers of a majority, and it requires that this instance has run for
/// state_lifetime.
///
/// @param shard  shard that is learnt
/// @param now    current time, in microseconds
/// @return true if the instances not accounted for are fewer than a majority of
///     voters
static bool
is_fleet_accounted_for(struct quorum_shard *shard, usec_t now)
{
	struct quorum *quorum = shard->quorum;
	unsigned missing = 0;
	GHashTableIter iter;
	gpointer id;

	if (now < quorum->options.started_at + quorum->state_lifetime)
		return false;
	for (size_t i = 0; i < quorum->view.n_members; i++)
		missing +=
		    !is_member_accounted_for(shard, quorum->view.members[i].id);
	g_hash_table_iter_init(&iter, quorum->delisted_since);
	while (g_hash_table_iter_next(&iter, &id, NULL))
		missing +=
		    !quorum_is_long_delisted(quorum, now, *(node_id *)id);
	return missing < quorum_majority(&shard->config);
}

/// Checks whether expiry replaces the answers of a majority of a configuration.
///
/// @param shard   shard that is learnt
/// @param now     current time, in microseconds
/// @param config  configuration to check
/// @return true if everything that it may have granted is known or has expired
static bool
may_skip_config(
    struct quorum_shard *shard, usec_t now, const struct quorum_config *config)
{
	return is_config_expired(shard, now, config) &&
	    is_fleet_accounted_for(shard, now);
}

/// Returns the newest revision in which this instance or one that answered was
/// ready.
///
/// @param shard  shard that is learnt
/// @return the revision; 0 if none is known
uint64_t
quorum_newest_active_revision(const struct quorum_shard *shard)
{
	const GPtrArray *answers = shard->learner.answers;
	uint64_t newest = shard->ready_revision;

	for (guint i = 0; i < answers->len; i++) {
		const struct quorum_answer *answer =
		    g_ptr_array_index(answers, i);

		if (answer->complete)
			newest = MAX(newest, answer->ready_revision);
	}
	return newest;
}

/// Checks whether a majority of the voters of the learner's own view, not
/// counting the learner, is ready in that view.
///
/// @param shard  shard that is learnt
/// @return true if a majority is ready
static bool
are_peers_ready(const struct quorum_shard *shard)
{
	const struct quorum_config *config = &shard->config;
	unsigned n = 0;

	for (unsigned i = 0; i < config->n_voters; i++) {
		const struct quorum_answer *answer = quorum_answer_find(
		    shard->learner.answers, config->voters[i]);

		n += answer != NULL && answer->complete &&
		    answer->ready_revision == config->revision;
	}
	return n >= quorum_majority(config);
}

/// Checks whether the learner has received enough answers to become ready.
///
/// @param shard  shard that is learnt
/// @param now    current time, in microseconds
/// @return true if the learner may become ready
bool
quorum_learn_is_complete(struct quorum_shard *shard, usec_t now)
{
	const struct quorum_learner *learner = &shard->learner;
	uint64_t revision = shard->config.revision;
	uint64_t newest = quorum_newest_active_revision(shard);
	bool no_prior_votes;

	if (are_peers_ready(shard))
		return true;
	if (learner->configs_overflowed)
		return false;
	no_prior_votes = revision > shard->quorum->floor_revision;
	if ((!no_prior_votes || newest == 0) &&
	    !may_skip_config(shard, now, &shard->config))
		return false;
	for (unsigned i = 0; i < learner->n_configs; i++) {
		const struct quorum_config *config = &learner->configs[i];

		if (config->revision < newest || config->revision >= revision)
			continue;
		if (!is_config_covered(shard, now, config) &&
		    !may_skip_config(shard, now, config))
			return false;
	}
	return true;
}
