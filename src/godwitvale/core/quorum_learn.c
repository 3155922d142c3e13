/*
 * Learns the state of a shard from other instances, before this instance votes
 * in the shard under a new view.
 */
#include "godwitvale/core/quorum_private.h"

/// Adds a configuration to the list of configurations to whose voters the
/// learner sends SEALs.
///
/// @param learner  learner of this instance for one shard
/// @param config   configuration to copy; ignored if its revision is already on
///     the list, or if it has no voters
static void
add_config(struct quorum_learner *learner, const struct quorum_config *config)
{
	if (config->revision == 0 || config->n_voters == 0)
		return;
	for (unsigned i = 0; i < learner->n_configs; i++) {
		if (learner->configs[i].revision == config->revision)
			return;
	}
	if (learner->n_configs < QUORUM_CONFIGS_MAX)
		learner->configs[learner->n_configs++] = *config;
	else
		learner->configs_overflowed = true;
}

/// Removes the learner's configurations that are older than the newest known
/// active configuration, whose voters have learnt the state of the older ones.
///
/// @param shard  shard that is learnt
static void
prune_configs(struct quorum_shard *shard)
{
	struct quorum_learner *learner = &shard->learner;
	uint64_t newest = quorum_newest_active_revision(shard);
	unsigned n = 0;

	for (unsigned i = 0; i < learner->n_configs; i++) {
		if (learner->configs[i].revision >= newest)
			learner->configs[n++] = learner->configs[i];
	}
	learner->n_configs = n;
}

/// Starts to learn a shard's state under the current view. The learners of the
/// shards start in batches, with a delay between two batches.
///
/// @param shard  shard of which this instance is a voter
/// @param now    current time, in microseconds
void
quorum_learn_start(struct quorum_shard *shard, usec_t now)
{
	struct quorum *quorum = shard->quorum;
	struct quorum_learner *learner = &shard->learner;
	unsigned batch = quorum->n_learners_started++ / QUORUM_LEARN_BATCH;

	learner->running = true;
	learner->n_failures = 0;
	learner->attempt_deadline = 0;
	learner->configs_overflowed = false;
	learner->n_configs = 0;
	learner->next_probe_index = shard->index;
	learner->answers = quorum_answers_new();
	learner->probes = quorum_answers_new();
	if (shard->ready_revision != 0)
		add_config(learner, &shard->active_config);
	for (unsigned i = 0; i < shard->n_pending_configs; i++)
		add_config(learner, &shard->pending_configs[i]);
	quorum_timer_set(
	    quorum, &shard->timer, now + batch * QUORUM_LEARN_BATCH_INTERVAL);
}

/// Stops the learner of a shard, if it is running, and frees the answers that
/// it has received.
///
/// @param shard  shard of this instance
void
quorum_learn_stop(struct quorum_shard *shard)
{
	struct quorum_learner *learner = &shard->learner;

	quorum_timer_clear(&shard->timer);
	if (!learner->running)
		return;
	learner->running = false;
	g_ptr_array_free(learner->answers, TRUE);
	g_ptr_array_free(learner->probes, TRUE);
	learner->answers = NULL;
	learner->probes = NULL;
}

/// If the learner has received enough answers, merges the records of the
/// answers into the shard and lets this instance vote in the shard.
///
/// @param shard  shard that is learnt
/// @param now    current time, in microseconds
/// @return true if this instance is now ready to vote in the shard
static bool
try_complete_learning(struct quorum_shard *shard, usec_t now)
{
	const GPtrArray *answers = shard->learner.answers;

	if (!quorum_learn_is_complete(shard, now))
		return false;
	for (guint i = 0; i < answers->len; i++) {
		const struct quorum_answer *answer =
		    g_ptr_array_index(answers, i);

		for (guint j = 0; answer->complete && j < answer->records->len;
		     j++)
			quorum_record_merge(shard, now,
			    &g_array_index(
				answer->records, struct quorum_record, j));
	}
	shard->ready_revision = shard->config.revision;
	shard->active_config = shard->config;
	quorum_prune_pending_configs(shard, shard->ready_revision);
	quorum_learn_stop(shard);
	return true;
}

/// Adds the voters of a configuration that have not completely answered a SEAL
/// of the current attempt to the list of instances to send a SEAL to. This
/// instance itself is not added.
///
/// @param shard    shard that is learnt
/// @param config   configuration with the voters
/// @param targets  array of node_id to append to; each instance is added once
static void
add_unanswered_voters(const struct quorum_shard *shard,
    const struct quorum_config *config, GArray *targets)
{
	for (unsigned i = 0; i < config->n_voters; i++) {
		node_id id = config->voters[i];
		const struct quorum_answer *answer =
		    quorum_answer_find(shard->learner.answers, id);
		bool skip = id == shard->quorum->options.self ||
		    (answer != NULL && answer->complete);

		for (guint j = 0; j < targets->len && !skip; j++)
			skip = g_array_index(targets, node_id, j) == id;
		if (!skip)
			g_array_append_val(targets, id);
	}
}

/// Sends a SEAL, which requests the shard's state, to all instances whose state
/// is needed and has not arrived: the voters under the current view, the voters
/// of the known earlier configurations, and the instances that reported in
/// answer to a PROBE that they were ready once.
///
/// @param shard  shard that is learnt
static void
send_seals(struct quorum_shard *shard)
{
	struct quorum *quorum = shard->quorum;
	const struct quorum_learner *learner = &shard->learner;
	GArray *targets = g_array_new(FALSE, FALSE, sizeof(node_id));
	struct quorum_message message = {
	    .type = QUORUM_SEAL,
	    .revision = shard->config.revision,
	    .shard = shard->index,
	    .nonce = learner->nonce,
	    .ready_revision = quorum_newest_active_revision(shard),
	    .n_known_voters = shard->config.n_voters,
	};

	for (unsigned i = 0; i < shard->config.n_voters; i++)
		message.known_voters[i] = shard->config.voters[i];
	add_unanswered_voters(shard, &shard->config, targets);
	for (unsigned i = 0; i < learner->n_configs; i++)
		add_unanswered_voters(shard, &learner->configs[i], targets);
	for (guint i = 0; i < learner->probes->len; i++) {
		const struct quorum_answer *probe =
		    g_ptr_array_index(learner->probes, i);
		struct quorum_config probed_config = {
		    .n_voters = 1,
		    .voters = {probe->from},
		};

		if (probe->ready_revision != 0)
			add_unanswered_voters(shard, &probed_config, targets);
	}
	for (guint i = 0; i < targets->len; i++)
		quorum_send(
		    quorum, g_array_index(targets, node_id, i), &message);
	g_array_free(targets, TRUE);
}

/// Sends a PROBE to instances that left the membership list less than
/// state_lifetime ago. If the list changes quickly, only these instances may
/// know the last active configuration.
///
/// @param quorum   quorum state of the learner
/// @param now      current time, in microseconds
/// @param message  PROBE message to send
static void
probe_delisted_members(
    struct quorum *quorum, usec_t now, const struct quorum_message *message)
{
	GHashTableIter iter;
	gpointer key;
	unsigned n = 0;

	g_hash_table_iter_init(&iter, quorum->delisted_since);
	while (n < QUORUM_PROBE_BATCH &&
	    g_hash_table_iter_next(&iter, &key, NULL)) {
		node_id id = *(node_id *)key;

		if (quorum_is_long_delisted(quorum, now, id))
			continue;
		quorum_send(quorum, id, message);
		n++;
	}
}

/// Sends a PROBE, which requests the configurations of the shard that the
/// receiver knows, to the voters under the previous view, to a batch of listed
/// members, and to instances that left the membership list recently. Each call
/// selects the next batch of listed members.
///
/// @param shard  shard that is learnt
/// @param now    current time, in microseconds
static void
send_probes(struct quorum_shard *shard, usec_t now)
{
	struct quorum *quorum = shard->quorum;
	struct quorum_learner *learner = &shard->learner;
	const struct view *view = &quorum->view;
	size_t n = MIN(view->n_members, QUORUM_PROBE_BATCH);
	struct quorum_config previous_config;
	struct quorum_message message = {
	    .type = QUORUM_PROBE,
	    .revision = view->revision,
	    .shard = shard->index,
	    .nonce = learner->nonce,
	};

	quorum_config_compute(
	    quorum, &quorum->previous_view, shard->index, &previous_config);
	for (unsigned i = 0; i < previous_config.n_voters; i++) {
		if (previous_config.voters[i] != quorum->options.self)
			quorum_send(
			    quorum, previous_config.voters[i], &message);
	}
	for (size_t i = 0; i < n; i++) {
		node_id id =
		    view->members[learner->next_probe_index++ % view->n_members]
			.id;

		if (id != quorum->options.self)
			quorum_send(quorum, id, &message);
	}
	probe_delisted_members(quorum, now, &message);
}

/// Starts a new attempt to learn a shard's state, and discards the answers to
/// the SEALs of the previous attempt, because all these answers must arrive
/// within one claim_timeout.
///
/// @param shard  shard that is learnt
/// @param now    current time, in microseconds
static void
start_attempt(struct quorum_shard *shard, usec_t now)
{
	struct quorum_learner *learner = &shard->learner;

	learner->nonce = quorum_random_nonce(shard->quorum);
	learner->attempt_deadline = now + shard->quorum->options.claim_timeout;
	learner->n_resends = 0;
	learner->configs_overflowed = false;
	g_ptr_array_set_size(learner->answers, 0);
}

/// Handles a learner's timer: starts a new attempt if the deadline of the
/// current attempt has passed, and resends the SEALs and, if needed, the
/// PROBEs. Before voting_starts_at, only waits until the membership list has
/// been read again.
///
/// @param shard  shard whose timer is due
/// @param now    current time, in microseconds
void
quorum_learn_tick(struct quorum_shard *shard, usec_t now)
{
	struct quorum *quorum = shard->quorum;
	struct quorum_learner *learner = &shard->learner;
	usec_t interval = quorum->options.resend_interval;
	unsigned shift;

	if (!learner->running)
		return;
	if (quorum->view.requested_at < quorum->voting_starts_at) {
		if (now >= quorum->voting_starts_at)
			quorum_request_list(quorum);
		quorum_timer_set(quorum, &shard->timer,
		    now < quorum->voting_starts_at ? quorum->voting_starts_at
						   : now + interval);
		return;
	}
	if (now >= learner->attempt_deadline) {
		if (learner->attempt_deadline != 0)
			learner->n_failures++;
		start_attempt(shard, now);
	}
	if (try_complete_learning(shard, now))
		return;
	send_seals(shard);
	if (quorum_newest_active_revision(shard) == 0 ||
	    learner->n_failures > 0)
		send_probes(shard, now);
	shift = learner->n_resends++ + learner->n_failures;
	quorum_timer_set(quorum, &shard->timer,
	    now +
		quorum_add_jitter(
		    quorum, interval << MIN(shift, QUORUM_BACKOFF_SHIFT_MAX)));
}

/// Handles one page of an answer to a SEAL or PROBE of a learner. Ignores pages
/// that do not answer the current attempt.
///
/// @param quorum   quorum state of the learner
/// @param now      current time, in microseconds
/// @param from     sending instance
/// @param message  a STATE or a PROBE_REPLY
void
quorum_learn_handle_page(struct quorum *quorum, usec_t now, node_id from,
    const struct quorum_message *message)
{
	struct quorum_shard *shard = &quorum->shards[message->shard];
	struct quorum_learner *learner = &shard->learner;
	struct quorum_config config = {
	    .revision = message->known_revision,
	    .n_voters = message->n_known_voters,
	};
	unsigned n_before = learner->n_configs;
	GPtrArray *answers;

	if (!learner->running || message->nonce != learner->nonce ||
	    now >= learner->attempt_deadline)
		return;
	if (message->revision > quorum->view.revision)
		quorum_request_list(quorum);
	for (unsigned i = 0; i < config.n_voters; i++)
		config.voters[i] = message->known_voters[i];
	if (config.revision < shard->config.revision)
		add_config(learner, &config);
	answers =
	    message->type == QUORUM_STATE ? learner->answers : learner->probes;
	if (quorum_answer_add_page(answers, from, message) == NULL)
		return;
	prune_configs(shard);
	if (!try_complete_learning(shard, now) && learner->n_configs > n_before)
		send_seals(shard);
}
