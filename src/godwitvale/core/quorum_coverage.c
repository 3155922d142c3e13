/*
 * Decides when a voter that learns a shard's state has received enough answers
 * from other instances to vote in the shard. The reasons for the rules are in
 * docs/design/0002-at-most-once.md.
 */
#include "godwitvale/core/quorum_private.h"

/// Checks whether an answer contains all unexpired votes that its sender has
/// cast under the view of a revision, and whether the sender will cast no more
/// votes under that view.
///
/// @param answer    answer of one instance to a SEAL
/// @param revision  revision of the view
/// @return true if no vote under that view can be missing
static bool
answer_has_all_votes(const struct quorum_answer *answer, uint64_t revision)
{
	return answer->complete && answer->revision >= revision &&
	    (answer->ready_revision != 0 || revision > answer->floor_revision);
}

/// Creates the answer that the learner's own instance would send to the
/// learner.
///
/// @param shard  shard that is learnt
/// @param now    current time, in microseconds
/// @return the answer, without records, as the shard already contains them
static struct quorum_answer
make_own_answer(const struct quorum_shard *shard, usec_t now)
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

/// Checks whether fewer than a majority of a configuration's voters may have
/// unexpired votes. The votes of the other voters have expired, because these
/// voters restarted or left the membership list at least state_lifetime ago and
/// have not become ready since.
///
/// @param shard   shard that is learnt
/// @param now     current time, in microseconds
/// @param config  configuration to check
/// @return true if the voters that may have unexpired votes are no majority
static bool
is_config_expired(
    struct quorum_shard *shard, usec_t now, const struct quorum_config *config)
{
	struct quorum *quorum = shard->quorum;
	unsigned n_unexpired = config->n_voters;

	for (unsigned i = 0; i < config->n_voters; i++) {
		node_id id = config->voters[i];
		const struct quorum_answer *answer =
		    quorum_answer_find(shard->learner.probes, id);

		if (id == quorum->options.self
			? quorum_prior_votes_expired(shard, now)
			: quorum_is_long_delisted(quorum, now, id) ||
			    (answer != NULL && answer->complete &&
				answer->prior_votes_expired))
			n_unexpired--;
	}
	return n_unexpired < quorum_config_majority(config);
}

/// Checks whether a majority of a configuration's voters answered the learner's
/// SEALs. The answers then contain all grants that the configuration made, and
/// the configuration can make no more grants.
///
/// @param shard   shard that is learnt
/// @param now     current time, in microseconds
/// @param config  configuration to check
/// @return true if a majority answered with all their votes
static bool
is_config_covered(
    struct quorum_shard *shard, usec_t now, const struct quorum_config *config)
{
	struct quorum_answer own_answer = make_own_answer(shard, now);
	unsigned n_covered = 0;

	for (unsigned i = 0; i < config->n_voters; i++) {
		node_id id = config->voters[i];
		const struct quorum_answer *answer = id == own_answer.from
		    ? &own_answer
		    : quorum_answer_find(shard->learner.answers, id);

		n_covered += answer != NULL &&
		    answer_has_all_votes(answer, config->revision);
	}
	return n_covered >= quorum_config_majority(config);
}

/// Checks whether the learner knows all unexpired votes that a listed member
/// has cast in the shard.
///
/// @param shard  shard that is learnt
/// @param id     listed member
/// @return true for this instance itself, and for a member whose answer to a
///     PROBE is from the current view and that either has sent the shard's
///     state in answer to a SEAL, or was never ready and reports that the votes
///     of its earlier processes have expired
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

/// Checks whether enough instances answered that the learner must know every
/// configuration that has made unexpired grants. Only then may the learner rely
/// on the expiry of votes instead of the answers of a majority. This instance
/// must also have run for state_lifetime.
///
/// @param shard  shard that is learnt
/// @param now    current time, in microseconds
/// @return true if the instances that may have unknown unexpired votes are
///     fewer than a majority of the shard's voters
static bool
is_fleet_accounted_for(struct quorum_shard *shard, usec_t now)
{
	struct quorum *quorum = shard->quorum;
	unsigned n_unaccounted = 0;
	GHashTableIter iter;
	gpointer id;

	if (now < quorum->options.started_at + quorum->state_lifetime)
		return false;
	for (size_t i = 0; i < quorum->view.n_members; i++)
		n_unaccounted +=
		    !is_member_accounted_for(shard, quorum->view.members[i].id);
	g_hash_table_iter_init(&iter, quorum->delisted_since);
	while (g_hash_table_iter_next(&iter, &id, NULL))
		n_unaccounted +=
		    !quorum_is_long_delisted(quorum, now, *(node_id *)id);
	return n_unaccounted < quorum_config_majority(&shard->config);
}

/// Checks whether the learner may continue without the answers of a majority of
/// a configuration's voters.
///
/// @param shard   shard that is learnt
/// @param now     current time, in microseconds
/// @param config  configuration to check
/// @return true if all grants that the configuration may have made are known or
///     have expired
static bool
may_skip_config(
    struct quorum_shard *shard, usec_t now, const struct quorum_config *config)
{
	return is_config_expired(shard, now, config) &&
	    is_fleet_accounted_for(shard, now);
}

/// Returns the newest revision of the membership list at which this instance,
/// or an instance that answered a SEAL of this learner, was ready to vote in
/// the shard.
///
/// @param shard  shard that is learnt
/// @return the revision; 0 if none of these instances was ever ready
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

/// Checks whether a majority of the shard's voters under the learner's view is
/// already ready to vote under that view. The learner itself does not count.
///
/// @param shard  shard that is learnt
/// @return true if a majority reported that they are ready
static bool
is_majority_ready(const struct quorum_shard *shard)
{
	const struct quorum_config *config = &shard->config;
	unsigned n_ready = 0;

	for (unsigned i = 0; i < config->n_voters; i++) {
		const struct quorum_answer *answer = quorum_answer_find(
		    shard->learner.answers, config->voters[i]);

		n_ready += answer != NULL && answer->complete &&
		    answer->ready_revision == config->revision;
	}
	return n_ready >= quorum_config_majority(config);
}

/// Checks whether the learner has received enough answers for this instance to
/// become ready to vote in the shard.
///
/// @param shard  shard that is learnt
/// @param now    current time, in microseconds
/// @return true if this instance may become ready
bool
quorum_learn_is_complete(struct quorum_shard *shard, usec_t now)
{
	const struct quorum_learner *learner = &shard->learner;
	uint64_t revision = shard->config.revision;
	uint64_t newest = quorum_newest_active_revision(shard);
	bool no_prior_votes;

	if (is_majority_ready(shard))
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
