/*
 * The quorum part's surface: construction, views, time, and the queues of
 * messages and actions. What they lead to is decided in the other modules.
 */
#include "godwitvale/core/quorum_private.h"

#include <string.h>

#include "godwitvale/core/hash.h"

#define DEFAULT_VOTERS 5
#define DEFAULT_SHARDS 64

/// Draws a random number.
///
/// @param quorum  holds the generator
/// @return 64 random bits, never 0
uint64_t
quorum_random(struct quorum *quorum)
{
	uint64_t high = g_rand_int(quorum->options.random);
	uint64_t value = high << 32 | g_rand_int(quorum->options.random);

	return value == 0 ? 1 : value;
}

/// Spreads a span, so that instances do not act in step.
///
/// @param quorum  holds the generator
/// @param span    the span
/// @return between one and one and a half times the span
usec_t
quorum_jitter(struct quorum *quorum, usec_t span)
{
	return (usec_t)((double)span *
	    g_rand_double_range(quorum->options.random, 1.0, 1.5));
}

/// Tells whether a broken variant is switched on.
///
/// @param quorum  the instance's part
/// @param flag    the variant
/// @return true where it is
bool
quorum_is_naive(const struct quorum *quorum, enum quorum_naive flag)
{
	return (quorum->options.naive & flag) != 0;
}

/// Finds the shard of a key.
///
/// @param quorum  the instance's part
/// @param key     the key
/// @return its shard
struct quorum_shard *
quorum_key_shard(const struct quorum *quorum, const struct quorum_key *key)
{
	return &quorum->shards[key->low & (quorum->options.n_shards - 1)];
}

/// Queues an action for the embedding program.
///
/// @param quorum  the instance's part
/// @param type    its type
/// @return the action, to be filled in at once
struct quorum_action *
quorum_emit(struct quorum *quorum, enum quorum_action_type type)
{
	struct quorum_action *action = g_new0(struct quorum_action, 1);

	action->type = type;
	g_queue_push_tail(&quorum->actions, action);
	return action;
}

/// Sends a message, to the instance itself without the network.
///
/// @param quorum   the sender
/// @param to       the receiver
/// @param message  copied; sender_boot is filled in
void
quorum_send(
    struct quorum *quorum, node_id to, const struct quorum_message *message)
{
	struct quorum_message *copy;

	if (to == quorum->options.self) {
		copy = g_memdup2(message, sizeof(*message));
		g_queue_push_tail(&quorum->loopback, copy);
	} else {
		struct quorum_action *action =
		    quorum_emit(quorum, QUORUM_ACTION_SEND);

		action->to = to;
		action->message = *message;
		copy = &action->message;
	}
	copy->sender_boot = quorum->options.boot;
}

/// Asks the embedding program for a newer membership list, once until one
/// comes.
///
/// @param quorum  the instance's part
void
quorum_want_list(struct quorum *quorum)
{
	if (quorum->list_wanted)
		return;
	quorum->list_wanted = true;
	quorum_emit(quorum, QUORUM_ACTION_LIST);
}

/// Hands a message to the module that takes its type.
///
/// @param quorum   the receiver
/// @param now      current time
/// @param from     the sender
/// @param message  the message
static void
dispatch(struct quorum *quorum, usec_t now, node_id from,
    const struct quorum_message *message)
{
	if (message->shard >= quorum->options.n_shards ||
	    message->n_records > QUORUM_PAGE_RECORDS ||
	    message->n_known_voters > QUORUM_VOTERS_MAX)
		return;
	switch (message->type) {
	case QUORUM_CLAIM:
	case QUORUM_ABANDON:
	case QUORUM_OUTCOME:
	case QUORUM_READ:
		quorum_voter_receive(quorum, now, from, message);
		break;
	case QUORUM_VOTE:
		quorum_claim_receive(quorum, now, from, message);
		quorum_task_receive(quorum, now, from, message);
		break;
	case QUORUM_REJECT:
		if (message->reason == QUORUM_REASON_OLD_VIEW)
			quorum_want_list(quorum);
		quorum_claim_receive(quorum, now, from, message);
		break;
	case QUORUM_VALUE:
		quorum_task_receive(quorum, now, from, message);
		break;
	case QUORUM_SEAL:
	case QUORUM_PROBE:
	case QUORUM_HANDOVER:
		quorum_seal_receive(quorum, now, from, message);
		break;
	case QUORUM_STATE:
	case QUORUM_PROBE_REPLY:
		quorum_learn_receive(quorum, now, from, message);
		break;
	default:
		break;
	}
}

/// Delivers the messages that the instance sent to itself.
///
/// @param quorum  the instance's part
/// @param now     current time
void
quorum_drain(struct quorum *quorum, usec_t now)
{
	struct quorum_message *message;

	while ((message = g_queue_pop_head(&quorum->loopback)) != NULL) {
		dispatch(quorum, now, quorum->options.self, message);
		g_free(message);
	}
}

/// Frees a task out of the table of tasks.
///
/// @param data  a struct quorum_task
static void
free_task(gpointer data)
{
	quorum_task_free(data);
}

/// Sets up one shard.
///
/// @param quorum  the instance's part
/// @param index   the shard's number
static void
init_shard(struct quorum *quorum, uint32_t index)
{
	struct quorum_shard *shard = &quorum->shards[index];

	shard->quorum = quorum;
	shard->index = index;
	shard->entries = quorum_entries_new();
	shard->timer.kind = QUORUM_TIMER_SHARD;
	shard->timer.owner = shard;
}

/// Makes the quorum part of one instance.
///
/// @param options  copied; `random` stays the caller's
/// @return the part; free with quorum_free()
struct quorum *
quorum_new(const struct quorum_options *options)
{
	struct quorum *quorum = g_new0(struct quorum, 1);
	struct quorum_options *own = &quorum->options;

	*own = *options;
	if (own->n_voters == 0)
		own->n_voters = DEFAULT_VOTERS;
	if (own->n_shards == 0)
		own->n_shards = DEFAULT_SHARDS;
	g_assert(own->self != 0 && own->random != NULL);
	g_assert(own->n_voters <= QUORUM_VOTERS_MAX);
	g_assert((own->n_shards & (own->n_shards - 1)) == 0);
	g_assert(own->claim_timeout > 0 && own->resend_interval > 0);
	quorum->floor_revision = UINT64_MAX;
	quorum->gate = own->started_at +
	    usec_with_drift(MAX(own->claim_timeout, own->list_lag));
	quorum->lost_span = usec_with_drift(own->resend_window + own->list_lag +
	    own->list_freshness + own->claim_timeout);
	quorum->delisted =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	quorum->claims = g_ptr_array_new();
	quorum->free_claims = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	quorum->claim_nonces = g_hash_table_new(g_int64_hash, g_int64_equal);
	quorum->tasks =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_task);
	quorum->timers = g_sequence_new(NULL);
	g_queue_init(&quorum->actions);
	g_queue_init(&quorum->loopback);
	quorum->shards = g_new0(struct quorum_shard, own->n_shards);
	for (uint32_t i = 0; i < own->n_shards; i++)
		init_shard(quorum, i);
	quorum->sweep.kind = QUORUM_TIMER_SWEEP;
	quorum_timer_set(
	    quorum, &quorum->sweep, own->started_at + QUORUM_SWEEP_INTERVAL);
	return quorum;
}

/// Frees the part and all that it holds.
///
/// @param quorum  may be NULL
void
quorum_free(struct quorum *quorum)
{
	if (quorum == NULL)
		return;
	for (guint i = 0; i < quorum->claims->len; i++) {
		struct quorum_claim *claim =
		    g_ptr_array_index(quorum->claims, i);

		if (claim != NULL)
			quorum_claim_free(quorum, claim);
	}
	g_hash_table_destroy(quorum->tasks);
	for (uint32_t i = 0; i < quorum->options.n_shards; i++) {
		quorum_learn_stop(&quorum->shards[i]);
		g_hash_table_destroy(quorum->shards[i].entries);
	}
	g_free(quorum->shards);
	g_hash_table_destroy(quorum->claim_nonces);
	g_hash_table_destroy(quorum->delisted);
	g_array_free(quorum->free_claims, TRUE);
	g_ptr_array_free(quorum->claims, TRUE);
	quorum_timer_clear(&quorum->sweep);
	g_sequence_free(quorum->timers);
	g_queue_clear_full(&quorum->actions, g_free);
	g_queue_clear_full(&quorum->loopback, g_free);
	quorum_view_clear(&quorum->view);
	quorum_view_clear(&quorum->previous);
	g_free(quorum);
}

/// Makes a key of what it names.
///
/// @param kind      what the key stands for
/// @param scope     NUL-terminated: an organisation, "slot", "model", ...
/// @param name      bytes that tell keys of one scope apart
/// @param name_len  their number
/// @return the key
struct quorum_key
quorum_key_make(
    enum quorum_kind kind, const char *scope, const void *name, size_t name_len)
{
	uint64_t seed = hash_pair(hash_name(scope), (uint64_t)kind);
	struct quorum_key key = {
	    .high = hash_bytes(name, name_len, seed),
	    .low = hash_bytes(name, name_len, ~seed),
	    .kind = kind,
	};

	return key;
}

/// Moves one shard to the current view.
///
/// @param shard  the shard
/// @param now    current time
/// @param first  this is the first view of the instance's life
static void
move_shard(struct quorum_shard *shard, usec_t now, bool first)
{
	struct quorum *quorum = shard->quorum;
	bool at_once = first ? quorum_is_naive(quorum, QUORUM_NAIVE_BLANK_VOTES)
			     : quorum_is_naive(quorum, QUORUM_NAIVE_NO_SEAL);

	quorum_learn_stop(shard);
	quorum_config_make(quorum, &quorum->view, shard->index, &shard->config);
	shard->voter =
	    quorum_config_index(&shard->config, quorum->options.self) >= 0;
	if (!shard->voter || quorum->leaving)
		return;
	if (at_once) {
		g_hash_table_remove_all(shard->entries);
		shard->ready_revision = shard->config.revision;
		shard->active = shard->config;
		return;
	}
	quorum_learn_start(shard, now);
}

/// Re-issues what is under way under the current view.
///
/// @param quorum  the instance's part
/// @param now     current time
static void
reissue_all(struct quorum *quorum, usec_t now)
{
	GHashTableIter iter;
	gpointer value;

	for (guint i = 0; i < quorum->claims->len; i++) {
		struct quorum_claim *claim =
		    g_ptr_array_index(quorum->claims, i);

		if (claim != NULL)
			quorum_claim_new_view(quorum, now, claim);
	}
	g_hash_table_iter_init(&iter, quorum->tasks);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		quorum_task_new_view(quorum, now, value);
}

/// Takes an answer of the membership list. An older one is ignored; one of
/// the same revision only shows that the list is still current.
///
/// @param quorum  the instance's part
/// @param now     current time
/// @param view    copied; its revision is at least 1
void
quorum_set_view(struct quorum *quorum, usec_t now, const struct view *view)
{
	bool first = quorum->view.revision == 0;

	if (view->revision < quorum->view.revision || view->revision == 0)
		return;
	quorum->list_wanted = false;
	if (quorum->floor_revision == UINT64_MAX &&
	    view->asked_at >= quorum->gate)
		quorum->floor_revision = view->revision;
	if (view->revision == quorum->view.revision) {
		quorum->view.asked_at =
		    MAX(quorum->view.asked_at, view->asked_at);
		return;
	}
	quorum_view_clear(&quorum->previous);
	quorum->previous = quorum->view;
	memset(&quorum->view, 0, sizeof(quorum->view));
	quorum_view_copy(&quorum->view, view);
	quorum_note_delisted(quorum, now);
	quorum->n_starting = 0;
	for (uint32_t i = 0; i < quorum->options.n_shards; i++)
		move_shard(&quorum->shards[i], now, first);
	reissue_all(quorum, now);
	quorum_drain(quorum, now);
}

/// Takes a message of another instance.
///
/// @param quorum   the receiver
/// @param now      current time
/// @param from     the sender
/// @param message  the message
void
quorum_receive(struct quorum *quorum, usec_t now, node_id from,
    const struct quorum_message *message)
{
	dispatch(quorum, now, from, message);
	quorum_drain(quorum, now);
}

/// Runs one timer that is due.
///
/// @param quorum  the instance's part
/// @param now     current time
/// @param timer   the timer, taken out already
static void
run_timer(struct quorum *quorum, usec_t now, struct quorum_timer *timer)
{
	switch (timer->kind) {
	case QUORUM_TIMER_TICKET:
		quorum_claim_tick(quorum, now, timer->owner);
		break;
	case QUORUM_TIMER_TASK:
		quorum_task_tick(quorum, now, timer->owner);
		break;
	case QUORUM_TIMER_SHARD:
		quorum_learn_tick(timer->owner, now);
		break;
	case QUORUM_TIMER_SWEEP:
		for (uint32_t i = 0; i < quorum->options.n_shards; i++)
			quorum_shard_sweep(&quorum->shards[i], now);
		if (quorum->leaving && quorum->n_handovers < QUORUM_REPEATS)
			quorum_hand_over(quorum, now);
		quorum_timer_set(quorum, timer, now + QUORUM_SWEEP_INTERVAL);
		break;
	}
}

/// Runs all that is due.
///
/// @param quorum  the instance's part
/// @param now     current time
void
quorum_tick(struct quorum *quorum, usec_t now)
{
	struct quorum_timer *timer;

	while ((timer = quorum_timer_pop(quorum, now)) != NULL) {
		run_timer(quorum, now, timer);
		quorum_drain(quorum, now);
	}
}

/// Tells when quorum_tick() is to be called next.
///
/// @param quorum  the instance's part
/// @return that point in time, or USEC_NEVER
usec_t
quorum_next_deadline(const struct quorum *quorum)
{
	return quorum_timer_next(quorum);
}

/// Takes the next action out of the queue. Call until it returns false after
/// each call that takes the time.
///
/// @param quorum  the instance's part
/// @param action  filled in
/// @return false where there is none
bool
quorum_next_action(struct quorum *quorum, struct quorum_action *action)
{
	struct quorum_action *first = g_queue_pop_head(&quorum->actions);

	if (first == NULL)
		return false;
	*action = *first;
	g_free(first);
	return true;
}

/// Stops voting for good and hands over what is remembered, before the
/// instance goes. Claims and leases of its own go on as before.
///
/// @param quorum  the instance's part
/// @param now     current time
void
quorum_leave(struct quorum *quorum, usec_t now)
{
	if (quorum->leaving)
		return;
	quorum->leaving = true;
	for (uint32_t i = 0; i < quorum->options.n_shards; i++)
		quorum_learn_stop(&quorum->shards[i]);
	quorum_hand_over(quorum, now);
	quorum_drain(quorum, now);
}

/// Tells whether this instance does all its duties as a voter.
///
/// @param quorum  the instance's part
/// @param now     current time
/// @return true where its list is fresh and all its shards are ready
bool
quorum_ready(const struct quorum *quorum, usec_t now)
{
	if (quorum->view.revision == 0 || quorum->leaving ||
	    now > quorum->view.asked_at + quorum->options.list_freshness)
		return false;
	for (uint32_t i = 0; i < quorum->options.n_shards; i++) {
		const struct quorum_shard *shard = &quorum->shards[i];

		if (shard->voter && !quorum_shard_ready(shard))
			return false;
	}
	return true;
}

/// Sums up the memory that the part holds.
///
/// @param quorum  the instance's part
/// @return bytes, without the allocator's overhead
size_t
quorum_memory(const struct quorum *quorum)
{
	size_t bytes = sizeof(*quorum);

	for (uint32_t i = 0; i < quorum->options.n_shards; i++) {
		bytes += sizeof(struct quorum_shard);
		bytes += g_hash_table_size(quorum->shards[i].entries) *
		    sizeof(struct quorum_entry);
	}
	bytes += g_hash_table_size(quorum->claim_nonces) *
	    sizeof(struct quorum_claim);
	bytes += g_hash_table_size(quorum->tasks) * sizeof(struct quorum_task);
	bytes += (quorum->view.n_members + quorum->previous.n_members) *
	    sizeof(struct view_member);
	bytes += quorum->actions.length * sizeof(struct quorum_action);
	return bytes;
}
