/*
 * Decides when a voter that learns a shard's state has heard enough to vote.
 * The argument for these rules is in docs/design/0002-at-most-once.md.
 */
#include "godwitvale/core/quorum_private.h"

/// Tells whether nothing that an instance promised in a shard can be missing
/// from what it remembers, up to a revision.
///
/// @param answer    what it answered
/// @param revision  the revision
/// @return true where it remembers all
static bool
covers(const struct quorum_answer *answer, uint64_t revision)
{
	return answer->complete && answer->revision >= revision &&
	    (answer->ready_revision != 0 || revision > answer->floor_revision);
}

/// Describes the learner itself as if it had answered.
///
/// @param shard  the shard
/// @param now    current time
/// @return an answer without records
static struct quorum_answer
own_answer(const struct quorum_shard *shard, usec_t now)
{
	struct quorum_answer answer = {
	    .from = shard->quorum->options.self,
	    .complete = true,
	    .lapsed = quorum_is_lapsed(shard, now),
	    .revision = shard->quorum->view.revision,
	    .ready_revision = shard->ready_revision,
	    .floor_revision = shard->quorum->floor_revision,
	};

	return answer;
}

/// Tells whether so many voters of a configuration have lost their memory,
/// and for so long, that what the others can't know has lapsed.
///
/// @param shard   the shard
/// @param now     current time
/// @param config  the configuration
/// @return true where the rest is no majority
static bool
is_lapsed_config(
    struct quorum_shard *shard, usec_t now, const struct quorum_config *config)
{
	struct quorum *quorum = shard->quorum;
	unsigned n_left = config->n_voters;

	for (unsigned i = 0; i < config->n_voters; i++) {
		node_id id = config->voters[i];
		const struct quorum_answer *answer =
		    quorum_answer_find(shard->learner.probes, id);

		if (id == quorum->options.self
			? quorum_is_lapsed(shard, now)
			: quorum_is_gone(quorum, now, id) ||
			    (answer != NULL && answer->complete &&
				answer->lapsed))
			n_left--;
	}
	return n_left < quorum_majority(config);
}

/// Tells whether a majority of a configuration answered, so that none of its
/// grants can be missing and it will make no more.
///
/// @param shard   the shard
/// @param now     current time
/// @param config  the configuration
/// @return true where one did
static bool
is_covered(
    struct quorum_shard *shard, usec_t now, const struct quorum_config *config)
{
	struct quorum_answer own = own_answer(shard, now);
	unsigned n = 0;

	for (unsigned i = 0; i < config->n_voters; i++) {
		node_id id = config->voters[i];
		const struct quorum_answer *answer = id == own.from
		    ? &own
		    : quorum_answer_find(shard->learner.answers, id);

		n += answer != NULL && covers(answer, config->revision);
	}
	return n >= quorum_majority(config);
}

/// Tells whether one member is accounted for in a census.
///
/// @param shard  the shard
/// @param id     the member
/// @return true where it answered under this view, with its state where it
///     has one, else that all it may ever have promised has lapsed
static bool
is_counted(const struct quorum_shard *shard, node_id id)
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
		return probe->lapsed;
	return state != NULL && state->complete;
}

/// Tells whether so many of all instances answered that no configuration
/// with grants that still count can be unknown. Needed before time alone may
/// replace a majority, and only once this instance has lived that long.
///
/// @param shard  the shard
/// @param now    current time
/// @return true where fewer than a majority of voters are missing
static bool
is_census_done(struct quorum_shard *shard, usec_t now)
{
	struct quorum *quorum = shard->quorum;
	unsigned missing = 0;
	GHashTableIter iter;
	gpointer id;

	if (now < quorum->options.started_at + quorum->lost_span)
		return false;
	for (size_t i = 0; i < quorum->view.n_members; i++)
		missing += !is_counted(shard, quorum->view.members[i].id);
	g_hash_table_iter_init(&iter, quorum->delisted);
	while (g_hash_table_iter_next(&iter, &id, NULL))
		missing += !quorum_is_gone(quorum, now, *(node_id *)id);
	return missing < quorum_majority(&shard->config);
}

/// Tells whether time stands in for a majority of a configuration.
///
/// @param shard   the shard
/// @param now     current time
/// @param config  the configuration
/// @return true where all that it may have granted has lapsed or was heard
static bool
is_waited_out(
    struct quorum_shard *shard, usec_t now, const struct quorum_config *config)
{
	return is_lapsed_config(shard, now, config) &&
	    is_census_done(shard, now);
}

/// Tells which revision is the newest that anybody was ready in.
///
/// @param shard  the shard
/// @return the revision; 0 where none is known
uint64_t
quorum_newest_active(const struct quorum_shard *shard)
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

/// Tells whether a majority of voters of the learner's own view, without
/// itself, is ready in it.
///
/// @param shard  the shard
/// @return true where one is
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

/// Tells whether the learner may become ready with what it heard.
///
/// @param shard  the shard
/// @param now    current time
/// @return true where it may
bool
quorum_knows_enough(struct quorum_shard *shard, usec_t now)
{
	const struct quorum_learner *learner = &shard->learner;
	uint64_t revision = shard->config.revision;
	uint64_t newest = quorum_newest_active(shard);
	bool never_voted;

	if (are_peers_ready(shard))
		return true;
	if (learner->overflow)
		return false;
	never_voted = revision > shard->quorum->floor_revision;
	if ((!never_voted || newest == 0) &&
	    !is_waited_out(shard, now, &shard->config))
		return false;
	for (unsigned i = 0; i < learner->n_configs; i++) {
		const struct quorum_config *config = &learner->configs[i];

		if (config->revision < newest || config->revision >= revision)
			continue;
		if (!is_covered(shard, now, config) &&
		    !is_waited_out(shard, now, config))
			return false;
	}
	return true;
}
