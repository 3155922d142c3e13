/*
 * Public functions of the quorum module: construction, view changes, timers,
 * and the queues of messages and actions. The protocol itself is implemented
 * in the other quorum_*.c files.
 */
#include "godwitvale/core/quorum_private.h"

#include <string.h>

#include "godwitvale/core/hash.h"

#define DEFAULT_VOTERS 5
#define DEFAULT_SHARDS 64

/// Draws a random nonce.
///
/// @param quorum  quorum state whose options hold the random number generator
/// @return 64 random bits, never 0
uint64_t
quorum_random_nonce(struct quorum *quorum)
{
	uint64_t high = g_rand_int(quorum->options.random);
	uint64_t value = high << 32 | g_rand_int(quorum->options.random);

	return value == 0 ? 1 : value;
}

/// Adds random jitter to a delay, so that instances do not act at the same
/// moment.
///
/// @param quorum  quorum state whose options hold the random number generator
/// @param span    delay in microseconds
/// @return a random delay between 1 and 1.5 times `span`, in microseconds
usec_t
quorum_add_jitter(struct quorum *quorum, usec_t span)
{
	return (usec_t)((double)span *
	    g_rand_double_range(quorum->options.random, 1.0, 1.5));
}

/// Checks whether a deliberately broken variant is enabled.
///
/// @param quorum  quorum state of this instance
/// @param flag    one flag of enum quorum_naive
/// @return true if the variant is enabled
bool
quorum_is_naive(const struct quorum *quorum, enum quorum_naive flag)
{
	return (quorum->options.naive & flag) != 0;
}

/// Finds the shard of a key.
///
/// @param quorum  quorum state that owns the shards
/// @param key     key whose low hash bits select the shard
/// @return the shard, owned by `quorum`
struct quorum_shard *
quorum_key_shard(const struct quorum *quorum, const struct quorum_key *key)
{
	return &quorum->shards[key->low & (quorum->options.n_shards - 1)];
}

/// Queues an action for the embedding program.
///
/// @param quorum  quorum state that owns the queue
/// @param type    type of the action
/// @return the action, for the caller to fill in immediately
struct quorum_action *
quorum_queue_action(struct quorum *quorum, enum quorum_action_type type)
{
	struct quorum_action *action = g_new0(struct quorum_action, 1);

	action->type = type;
	g_queue_push_tail(&quorum->actions, action);
	return action;
}

/// Sends a message to an instance: queues a SEND action, or, if the receiver is
/// this instance itself, adds the message to the loopback queue.
///
/// @param quorum   quorum state of the sender
/// @param to       receiving instance
/// @param message  copied; sender_boot_id is filled in
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
		    quorum_queue_action(quorum, QUORUM_ACTION_SEND);

		action->to = to;
		action->message = *message;
		copy = &action->message;
	}
	copy->sender_boot_id = quorum->options.boot_id;
}

/// Asks the embedding program to read the membership list, unless it has been
/// asked before and has passed no view to quorum_set_view() since.
///
/// @param quorum  quorum state of this instance
void
quorum_request_list(struct quorum *quorum)
{
	if (quorum->list_requested)
		return;
	quorum->list_requested = true;
	quorum_queue_action(quorum, QUORUM_ACTION_REFRESH_LIST);
}

/// Passes a message to the function that handles messages of its type. Ignores
/// a message whose shard, number of records or number of voters is out of
/// range.
///
/// @param quorum   quorum state of the receiver
/// @param now      current time, in microseconds
/// @param from     sending instance
/// @param message  message to handle
static void
dispatch_message(struct quorum *quorum, usec_t now, node_id from,
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
		quorum_voter_handle_message(quorum, now, from, message);
		break;
	case QUORUM_VOTE:
		quorum_claim_handle_answer(quorum, now, from, message);
		quorum_register_op_handle_answer(quorum, now, from, message);
		break;
	case QUORUM_REJECT:
		if (message->reason == QUORUM_REASON_OLD_VIEW)
			quorum_request_list(quorum);
		quorum_claim_handle_answer(quorum, now, from, message);
		break;
	case QUORUM_VALUE:
		quorum_register_op_handle_answer(quorum, now, from, message);
		break;
	case QUORUM_SEAL:
	case QUORUM_PROBE:
	case QUORUM_HANDOVER:
		quorum_seal_handle_message(quorum, now, from, message);
		break;
	case QUORUM_STATE:
	case QUORUM_PROBE_REPLY:
		quorum_learn_handle_page(quorum, now, from, message);
		break;
	default:
		break;
	}
}

/// Delivers the messages that the instance sent to itself.
///
/// @param quorum  quorum state that owns the loopback queue
/// @param now     current time, in microseconds
void
quorum_deliver_loopback(struct quorum *quorum, usec_t now)
{
	struct quorum_message *message;

	while ((message = g_queue_pop_head(&quorum->loopback)) != NULL) {
		dispatch_message(quorum, now, quorum->options.self, message);
		g_free(message);
	}
}

/// Frees a register operation when its hash table entry is removed.
///
/// @param data  a struct quorum_register_op
static void
free_register_op(gpointer data)
{
	quorum_register_op_free(data);
}

/// Initialises one shard.
///
/// @param quorum  quorum state that owns the shard
/// @param index   index of the shard, below n_shards
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

/// Creates the quorum state of one instance.
///
/// @param options  copied; `random` remains owned by the caller
/// @return the quorum state; free with quorum_free()
struct quorum *
quorum_new(const struct quorum_options *options)
{
	struct quorum *quorum = g_new0(struct quorum, 1);
	struct quorum_options *own_options = &quorum->options;

	*own_options = *options;
	if (own_options->n_voters == 0)
		own_options->n_voters = DEFAULT_VOTERS;
	if (own_options->n_shards == 0)
		own_options->n_shards = DEFAULT_SHARDS;
	g_assert(own_options->self != 0 && own_options->random != NULL);
	g_assert(own_options->n_voters <= QUORUM_VOTERS_MAX);
	g_assert((own_options->n_shards & (own_options->n_shards - 1)) == 0);
	g_assert(
	    own_options->claim_timeout > 0 && own_options->resend_interval > 0);
	quorum->floor_revision = UINT64_MAX;
	quorum->voting_starts_at = own_options->started_at +
	    usec_with_drift(
		MAX(own_options->claim_timeout, own_options->list_lag));
	quorum->state_lifetime =
	    usec_with_drift(own_options->resend_window + own_options->list_lag +
		own_options->list_freshness + own_options->claim_timeout);
	quorum->delisted_since =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	quorum->claims = g_ptr_array_new();
	quorum->free_claims = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	quorum->claims_by_nonce = g_hash_table_new(g_int64_hash, g_int64_equal);
	quorum->register_ops = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, free_register_op);
	quorum->timers = g_sequence_new(NULL);
	g_queue_init(&quorum->actions);
	g_queue_init(&quorum->loopback);
	quorum->shards = g_new0(struct quorum_shard, own_options->n_shards);
	for (uint32_t i = 0; i < own_options->n_shards; i++)
		init_shard(quorum, i);
	quorum->sweep_timer.kind = QUORUM_TIMER_SWEEP;
	quorum_timer_set(quorum, &quorum->sweep_timer,
	    own_options->started_at + QUORUM_SWEEP_INTERVAL);
	return quorum;
}

/// Frees the quorum state and everything that it owns.
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
	g_hash_table_destroy(quorum->register_ops);
	for (uint32_t i = 0; i < quorum->options.n_shards; i++) {
		quorum_learn_stop(&quorum->shards[i]);
		g_hash_table_destroy(quorum->shards[i].entries);
	}
	g_free(quorum->shards);
	g_hash_table_destroy(quorum->claims_by_nonce);
	g_hash_table_destroy(quorum->delisted_since);
	g_array_free(quorum->free_claims, TRUE);
	g_ptr_array_free(quorum->claims, TRUE);
	quorum_timer_clear(&quorum->sweep_timer);
	g_sequence_free(quorum->timers);
	g_queue_clear_full(&quorum->actions, g_free);
	g_queue_clear_full(&quorum->loopback, g_free);
	quorum_view_clear(&quorum->view);
	quorum_view_clear(&quorum->previous_view);
	g_free(quorum);
}

/// Creates a key by hashing a name within a scope.
///
/// @param kind      kind of the key, part of the hash
/// @param scope     NUL-terminated namespace: an organisation, "slot", "model",
///     ...
/// @param name      bytes that identify the key within its scope
/// @param name_len  number of bytes in `name`
/// @return the key
struct quorum_key
quorum_key_make(enum quorum_key_kind kind, const char *scope, const void *name,
    size_t name_len)
{
	uint64_t seed = hash_pair(hash_name(scope), (uint64_t)kind);
	struct quorum_key key = {
	    .high = hash_bytes(name, name_len, seed),
	    .low = hash_bytes(name, name_len, ~seed),
	    .kind = kind,
	};

	return key;
}

/// Applies the current view to one shard: computes the voters and, if this
/// instance is a voter, starts learning the shard's state. Two naive
/// variants skip the learning and let this instance vote without records.
///
/// @param shard       shard to update
/// @param now         current time, in microseconds
/// @param first_view  true for the first view since the process started
static void
apply_view_to_shard(struct quorum_shard *shard, usec_t now, bool first_view)
{
	struct quorum *quorum = shard->quorum;
	bool skip_learning = first_view
	    ? quorum_is_naive(quorum, QUORUM_NAIVE_BLANK_VOTES)
	    : quorum_is_naive(quorum, QUORUM_NAIVE_NO_SEAL);

	quorum_learn_stop(shard);
	quorum_config_compute(
	    quorum, &quorum->view, shard->index, &shard->config);
	shard->is_voter =
	    quorum_config_find_voter(&shard->config, quorum->options.self) >= 0;
	if (!shard->is_voter || quorum->leaving)
		return;
	if (skip_learning) {
		g_hash_table_remove_all(shard->entries);
		shard->ready_revision = shard->config.revision;
		shard->active_config = shard->config;
		return;
	}
	quorum_learn_start(shard, now);
}

/// Restarts the pending rounds of all claims and register operations under the
/// current view.
///
/// @param quorum  quorum state of this instance
/// @param now     current time, in microseconds
static void
restart_pending_rounds(struct quorum *quorum, usec_t now)
{
	GHashTableIter iter;
	gpointer value;

	for (guint i = 0; i < quorum->claims->len; i++) {
		struct quorum_claim *claim =
		    g_ptr_array_index(quorum->claims, i);

		if (claim != NULL)
			quorum_claim_restart_round(quorum, now, claim);
	}
	g_hash_table_iter_init(&iter, quorum->register_ops);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		quorum_register_op_restart_round(quorum, now, value);
}

/// Applies a view that the embedding program has read from the membership list.
/// Ignores a view with a lower revision than the current view. A view with the
/// current revision only updates the time of the last read.
///
/// @param quorum  quorum state of this instance
/// @param now     current time, in microseconds
/// @param view    view to copy; ignored if its revision is 0
void
quorum_set_view(struct quorum *quorum, usec_t now, const struct view *view)
{
	bool first_view = quorum->view.revision == 0;

	if (view->revision < quorum->view.revision || view->revision == 0)
		return;
	quorum->list_requested = false;
	if (quorum->floor_revision == UINT64_MAX &&
	    view->requested_at >= quorum->voting_starts_at)
		quorum->floor_revision = view->revision;
	if (view->revision == quorum->view.revision) {
		quorum->view.requested_at =
		    MAX(quorum->view.requested_at, view->requested_at);
		return;
	}
	quorum_view_clear(&quorum->previous_view);
	quorum->previous_view = quorum->view;
	memset(&quorum->view, 0, sizeof(quorum->view));
	quorum_view_copy(&quorum->view, view);
	quorum_update_delisted_times(quorum, now);
	quorum->n_learners_started = 0;
	for (uint32_t i = 0; i < quorum->options.n_shards; i++)
		apply_view_to_shard(&quorum->shards[i], now, first_view);
	restart_pending_rounds(quorum, now);
	quorum_deliver_loopback(quorum, now);
}

/// Handles a message from another instance.
///
/// @param quorum   quorum state of the receiver
/// @param now      current time, in microseconds
/// @param from     sending instance
/// @param message  message to handle
void
quorum_handle_message(struct quorum *quorum, usec_t now, node_id from,
    const struct quorum_message *message)
{
	dispatch_message(quorum, now, from, message);
	quorum_deliver_loopback(quorum, now);
}

/// Runs the handler of one timer that is due.
///
/// @param quorum  quorum state that owns the timer
/// @param now     current time, in microseconds
/// @param timer   already removed from the timer queue
static void
run_timer(struct quorum *quorum, usec_t now, struct quorum_timer *timer)
{
	switch (timer->kind) {
	case QUORUM_TIMER_CLAIM:
		quorum_claim_tick(quorum, now, timer->owner);
		break;
	case QUORUM_TIMER_REGISTER_OP:
		quorum_register_op_tick(quorum, now, timer->owner);
		break;
	case QUORUM_TIMER_SHARD:
		quorum_learn_tick(timer->owner, now);
		break;
	case QUORUM_TIMER_SWEEP:
		for (uint32_t i = 0; i < quorum->options.n_shards; i++)
			quorum_shard_remove_expired(&quorum->shards[i], now);
		if (quorum->leaving &&
		    quorum->n_handovers < QUORUM_UNACKED_SENDS)
			quorum_send_handover(quorum, now);
		quorum_timer_set(quorum, timer, now + QUORUM_SWEEP_INTERVAL);
		break;
	}
}

/// Runs all timers that are due.
///
/// @param quorum  quorum state of this instance
/// @param now     current time, in microseconds
void
quorum_tick(struct quorum *quorum, usec_t now)
{
	struct quorum_timer *timer;

	while ((timer = quorum_timer_pop(quorum, now)) != NULL) {
		run_timer(quorum, now, timer);
		quorum_deliver_loopback(quorum, now);
	}
}

/// Returns when quorum_tick() must be called next.
///
/// @param quorum  quorum state of this instance
/// @return time of the earliest timer in microseconds, or USEC_NEVER
usec_t
quorum_next_deadline(const struct quorum *quorum)
{
	return quorum_timer_next_due(quorum);
}

/// Removes the next action from the queue. The embedding program must call this
/// function until it returns false after each call of a function of this module
/// that changes the quorum state.
///
/// @param quorum  quorum state that owns the queue
/// @param action  filled in if the queue is not empty
/// @return false if the queue is empty
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

/// Stops voting permanently and sends the records that this voter has stored to
/// the other voters, as this instance is about to shut down. The claims and
/// leases that this instance holds itself remain in effect.
///
/// @param quorum  quorum state of the leaving instance
/// @param now     current time, in microseconds
void
quorum_leave(struct quorum *quorum, usec_t now)
{
	if (quorum->leaving)
		return;
	quorum->leaving = true;
	for (uint32_t i = 0; i < quorum->options.n_shards; i++)
		quorum_learn_stop(&quorum->shards[i]);
	quorum_send_handover(quorum, now);
	quorum_deliver_loopback(quorum, now);
}

/// Checks whether this instance can vote in all shards of which it is a voter.
///
/// @param quorum  quorum state of this instance
/// @param now     current time, in microseconds
/// @return true if the last read of the membership list is fresh and all these
///     shards are ready
bool
quorum_is_ready(const struct quorum *quorum, usec_t now)
{
	if (quorum->view.revision == 0 || quorum->leaving ||
	    now > quorum->view.requested_at + quorum->options.list_freshness)
		return false;
	for (uint32_t i = 0; i < quorum->options.n_shards; i++) {
		const struct quorum_shard *shard = &quorum->shards[i];

		if (shard->is_voter && !quorum_shard_is_ready(shard))
			return false;
	}
	return true;
}

/// Estimates the memory that the quorum state uses.
///
/// @param quorum  quorum state of this instance
/// @return bytes, without the allocator's overhead
size_t
quorum_memory_bytes(const struct quorum *quorum)
{
	size_t bytes = sizeof(*quorum);

	for (uint32_t i = 0; i < quorum->options.n_shards; i++) {
		bytes += sizeof(struct quorum_shard);
		bytes += g_hash_table_size(quorum->shards[i].entries) *
		    sizeof(struct quorum_entry);
	}
	bytes += g_hash_table_size(quorum->claims_by_nonce) *
	    sizeof(struct quorum_claim);
	bytes += g_hash_table_size(quorum->register_ops) *
	    sizeof(struct quorum_register_op);
	bytes += (quorum->view.n_members + quorum->previous_view.n_members) *
	    sizeof(struct view_member);
	bytes += quorum->actions.length * sizeof(struct quorum_action);
	return bytes;
}
