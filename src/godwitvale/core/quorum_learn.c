/* How a voter learns a shard's state before it votes under a new view. */
#include "godwitvale/core/quorum_private.h"

/// Adds a configuration to those that the learner has to ask.
///
/// @param learner  the learner
/// @param config   copied; ignored where known already or empty
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
		learner->overflow = true;
}

/// Drops the configurations that the newest active one makes needless.
///
/// @param shard  the shard
static void
prune_configs(struct quorum_shard *shard)
{
	struct quorum_learner *learner = &shard->learner;
	uint64_t newest = quorum_newest_active(shard);
	unsigned n = 0;

	for (unsigned i = 0; i < learner->n_configs; i++) {
		if (learner->configs[i].revision >= newest)
			learner->configs[n++] = learner->configs[i];
	}
	learner->n_configs = n;
}

/// Starts to learn a shard's state under the current view.
///
/// @param shard  of which this instance is a voter
/// @param now    current time
void
quorum_learn_start(struct quorum_shard *shard, usec_t now)
{
	struct quorum *quorum = shard->quorum;
	struct quorum_learner *learner = &shard->learner;
	unsigned batch = quorum->n_starting++ / QUORUM_LEARN_BATCH;

	learner->running = true;
	learner->failures = 0;
	learner->ends_at = 0;
	learner->overflow = false;
	learner->n_configs = 0;
	learner->probe_next = shard->index;
	learner->answers = quorum_answers_new();
	learner->probes = quorum_answers_new();
	if (shard->ready_revision != 0)
		add_config(learner, &shard->active);
	for (unsigned i = 0; i < shard->n_later; i++)
		add_config(learner, &shard->later[i]);
	quorum_timer_set(
	    quorum, &shard->timer, now + batch * QUORUM_LEARN_PAUSE);
}

/// Ends learning, with or without success.
///
/// @param shard  the shard
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

/// Lets the instance vote, once it has learnt enough.
///
/// @param shard  the shard
/// @param now    current time
/// @return true where it is ready now
static bool
try_finish(struct quorum_shard *shard, usec_t now)
{
	const GPtrArray *answers = shard->learner.answers;

	if (!quorum_knows_enough(shard, now))
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
	shard->active = shard->config;
	quorum_prune_later(shard, shard->ready_revision);
	quorum_learn_stop(shard);
	return true;
}

/// Adds the voters of a configuration that have not answered to a list.
///
/// @param shard    the shard
/// @param config   the configuration
/// @param targets  of node_id; each is added once
static void
add_targets(const struct quorum_shard *shard,
    const struct quorum_config *config, GArray *targets)
{
	for (unsigned i = 0; i < config->n_voters; i++) {
		node_id id = config->voters[i];
		const struct quorum_answer *answer =
		    quorum_answer_find(shard->learner.answers, id);
		bool known = id == shard->quorum->options.self ||
		    (answer != NULL && answer->complete);

		for (guint j = 0; j < targets->len && !known; j++)
			known = g_array_index(targets, node_id, j) == id;
		if (!known)
			g_array_append_val(targets, id);
	}
}

/// Asks all voters that are concerned, and have not answered, for the state.
///
/// @param shard  the shard
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
	    .ready_revision = quorum_newest_active(shard),
	    .n_known_voters = shard->config.n_voters,
	};

	for (unsigned i = 0; i < shard->config.n_voters; i++)
		message.known_voters[i] = shard->config.voters[i];
	add_targets(shard, &shard->config, targets);
	for (unsigned i = 0; i < learner->n_configs; i++)
		add_targets(shard, &learner->configs[i], targets);
	for (guint i = 0; i < learner->probes->len; i++) {
		const struct quorum_answer *probe =
		    g_ptr_array_index(learner->probes, i);
		struct quorum_config single = {
		    .n_voters = 1,
		    .voters = {probe->from},
		};

		if (probe->ready_revision != 0)
			add_targets(shard, &single, targets);
	}
	for (guint i = 0; i < targets->len; i++)
		quorum_send(
		    quorum, g_array_index(targets, node_id, i), &message);
	g_array_free(targets, TRUE);
}

/// Probes instances that left the list lately: where views follow each other
/// quickly they alone may know of the last active one.
///
/// @param quorum   the learner's instance
/// @param now      current time
/// @param message  the PROBE
static void
probe_delisted(
    struct quorum *quorum, usec_t now, const struct quorum_message *message)
{
	GHashTableIter iter;
	gpointer key;
	unsigned n = 0;

	g_hash_table_iter_init(&iter, quorum->delisted);
	while (n < QUORUM_PROBE_BATCH &&
	    g_hash_table_iter_next(&iter, &key, NULL)) {
		node_id id = *(node_id *)key;

		if (quorum_is_gone(quorum, now, id))
			continue;
		quorum_send(quorum, id, message);
		n++;
	}
}

/// Asks members at large what they know of the shard: first the voters of
/// the view before, then the list in turn, then those that left it lately.
///
/// @param shard  the shard
/// @param now    current time
static void
send_probes(struct quorum_shard *shard, usec_t now)
{
	struct quorum *quorum = shard->quorum;
	struct quorum_learner *learner = &shard->learner;
	const struct view *view = &quorum->view;
	size_t n = MIN(view->n_members, QUORUM_PROBE_BATCH);
	struct quorum_config before;
	struct quorum_message message = {
	    .type = QUORUM_PROBE,
	    .revision = view->revision,
	    .shard = shard->index,
	    .nonce = learner->nonce,
	};

	quorum_config_make(quorum, &quorum->previous, shard->index, &before);
	for (unsigned i = 0; i < before.n_voters; i++) {
		if (before.voters[i] != quorum->options.self)
			quorum_send(quorum, before.voters[i], &message);
	}
	for (size_t i = 0; i < n; i++) {
		node_id id =
		    view->members[learner->probe_next++ % view->n_members].id;

		if (id != quorum->options.self)
			quorum_send(quorum, id, &message);
	}
	probe_delisted(quorum, now, &message);
}

/// Starts an attempt: what was answered to the one before is of no use, as
/// all answers must fall within one claim_timeout.
///
/// @param shard  the shard
/// @param now    current time
static void
start_attempt(struct quorum_shard *shard, usec_t now)
{
	struct quorum_learner *learner = &shard->learner;

	learner->nonce = quorum_random(shard->quorum);
	learner->ends_at = now + shard->quorum->options.claim_timeout;
	learner->n_resends = 0;
	learner->overflow = false;
	g_ptr_array_set_size(learner->answers, 0);
}

/// Runs what is due for a learner.
///
/// @param shard  the shard
/// @param now    current time
void
quorum_learn_tick(struct quorum_shard *shard, usec_t now)
{
	struct quorum *quorum = shard->quorum;
	struct quorum_learner *learner = &shard->learner;
	usec_t interval = quorum->options.resend_interval;
	unsigned shift;

	if (!learner->running)
		return;
	if (quorum->view.asked_at < quorum->gate) {
		if (now >= quorum->gate)
			quorum_want_list(quorum);
		quorum_timer_set(quorum, &shard->timer,
		    now < quorum->gate ? quorum->gate : now + interval);
		return;
	}
	if (now >= learner->ends_at) {
		if (learner->ends_at != 0)
			learner->failures++;
		start_attempt(shard, now);
	}
	if (try_finish(shard, now))
		return;
	send_seals(shard);
	if (quorum_newest_active(shard) == 0 || learner->failures > 0)
		send_probes(shard, now);
	shift = learner->n_resends++ + learner->failures;
	quorum_timer_set(quorum, &shard->timer,
	    now +
		quorum_jitter(
		    quorum, interval << MIN(shift, QUORUM_BACKOFF_SHIFT_MAX)));
}

/// Takes one page of an answer.
///
/// @param quorum   the learner's instance
/// @param now      current time
/// @param from     the sender
/// @param message  a STATE or a PROBE_REPLY
void
quorum_learn_receive(struct quorum *quorum, usec_t now, node_id from,
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
	    now >= learner->ends_at)
		return;
	if (message->revision > quorum->view.revision)
		quorum_want_list(quorum);
	for (unsigned i = 0; i < config.n_voters; i++)
		config.voters[i] = message->known_voters[i];
	if (config.revision < shard->config.revision)
		add_config(learner, &config);
	answers =
	    message->type == QUORUM_STATE ? learner->answers : learner->probes;
	if (quorum_answer_add_page(answers, from, message) == NULL)
		return;
	prune_configs(shard);
	if (!try_finish(shard, now) && learner->n_configs > n_before)
		send_seals(shard);
}
