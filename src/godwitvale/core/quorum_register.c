/*
 * Reads and writes version registers, whose values never decrease. Each read or
 * write is an operation that sends requests to the voters of the register's key
 * until a majority has answered.
 */
#include "godwitvale/core/quorum_private.h"

/// Sends the request of an operation's current round to the voters that have
/// not answered in this round.
///
/// @param quorum  quorum state of the requesting instance
/// @param op      operation with a pending round
static void
send_op_request(struct quorum *quorum, const struct quorum_register_op *op)
{
	struct quorum_message message = {
	    .type = op->writing ? QUORUM_CLAIM : QUORUM_READ,
	    .revision = op->config.revision,
	    .shard = quorum_key_shard(quorum, &op->key)->index,
	    .nonce = op->nonce,
	    .key = op->key,
	    .value = op->writing ? op->value : 0,
	};

	for (unsigned i = 0; i < op->config.n_voters; i++) {
		if ((op->voters_answered & 1u << i) == 0)
			quorum_send(quorum, op->config.voters[i], &message);
	}
}

/// Sends the request of an operation's current round and schedules the next
/// resend. The delay doubles with each resend, up to a limit.
///
/// @param quorum  quorum state of the requesting instance
/// @param now     current time, in microseconds
/// @param op      operation with a pending round
static void
send_and_schedule_resend(
    struct quorum *quorum, usec_t now, struct quorum_register_op *op)
{
	unsigned shift = MIN(op->n_sent, QUORUM_BACKOFF_SHIFT_MAX);
	usec_t due = now +
	    quorum_add_jitter(quorum, quorum->options.resend_interval << shift);

	op->n_sent++;
	send_op_request(quorum, op);
	quorum_timer_set(quorum, &op->timer, MIN(due, op->deadline));
}

/// Starts a round of an operation under the current view. A new nonce ensures
/// that late answers of an earlier round are ignored.
///
/// @param quorum   takes ownership of the operation
/// @param now      current time, in microseconds
/// @param op       operation to start or continue
/// @param writing  true if the round writes op->value to the voters, false if
///     the round reads the register from the voters
static void
start_round(struct quorum *quorum, usec_t now, struct quorum_register_op *op,
    bool writing)
{
	g_hash_table_steal(quorum->register_ops, &op->nonce);
	op->nonce = quorum_random_nonce(quorum);
	g_hash_table_insert(quorum->register_ops, &op->nonce, op);
	op->writing = writing;
	op->voters_answered = 0;
	op->voters_with_value = 0;
	op->n_sent = 0;
	quorum_config_for_key(quorum, &op->key, &op->config);
	send_and_schedule_resend(quorum, now, op);
}

/// Creates an operation on a version register.
///
/// @param key  a QUORUM_VERSION key
/// @return the operation, to be passed to start_round()
static struct quorum_register_op *
new_register_op(const struct quorum_key *key)
{
	struct quorum_register_op *op = g_new0(struct quorum_register_op, 1);

	g_assert(key->kind == QUORUM_VERSION);
	op->key = *key;
	op->deadline = USEC_NEVER;
	op->timer.kind = QUORUM_TIMER_REGISTER_OP;
	op->timer.owner = op;
	return op;
}

/// Frees an operation and clears the operation's timer.
///
/// @param op  operation that is no longer in quorum->register_ops
void
quorum_register_op_free(struct quorum_register_op *op)
{
	quorum_timer_clear(&op->timer);
	g_free(op);
}

/// Ends an operation. If the operation is a read, queues an action with the
/// result.
///
/// @param quorum  quorum state of the requesting instance
/// @param op      operation to end; freed
/// @param type    result of a read: QUORUM_ACTION_VERSION_READ or
///     QUORUM_ACTION_READ_FAILED; ignored for a write
static void
finish_register_op(struct quorum *quorum, struct quorum_register_op *op,
    enum quorum_action_type type)
{
	if (op->is_read) {
		struct quorum_action *action =
		    quorum_queue_action(quorum, type);

		action->key = op->key;
		action->value = op->value;
	}
	g_hash_table_remove(quorum->register_ops, &op->nonce);
}

/// Handles a voter's answer to a read or a write of a register. When a majority
/// has answered, ends the operation, or, after a read that returned different
/// values, starts a round that writes the highest value.
///
/// @param quorum   quorum state of the requesting instance
/// @param now      current time, in microseconds
/// @param from     answering voter
/// @param message  a VALUE or a VOTE
void
quorum_register_op_handle_answer(struct quorum *quorum, usec_t now,
    node_id from, const struct quorum_message *message)
{
	struct quorum_register_op *op =
	    g_hash_table_lookup(quorum->register_ops, &message->nonce);
	unsigned majority;
	int index;

	if (op == NULL || now >= op->deadline ||
	    message->revision != op->config.revision ||
	    op->writing != (message->type == QUORUM_VOTE))
		return;
	index = quorum_config_find_voter(&op->config, from);
	if (index < 0)
		return;
	op->voters_answered |= 1u << index;
	if (message->value > op->value) {
		op->voters_with_value = 0;
		op->value = op->writing ? op->value : message->value;
	}
	if (message->value == op->value)
		op->voters_with_value |= 1u << index;
	majority = quorum_config_majority(&op->config);
	if ((unsigned)__builtin_popcount(op->voters_answered) < majority)
		return;
	if (op->writing ||
	    (unsigned)__builtin_popcount(op->voters_with_value) >= majority)
		finish_register_op(quorum, op, QUORUM_ACTION_VERSION_READ);
	else
		start_round(quorum, now, op, true);
}

/// Handles an operation's timer: ends a read whose deadline has passed, and
/// resends the request of any other operation.
///
/// @param quorum  quorum state of the requesting instance
/// @param now     current time, in microseconds
/// @param op      owner of the timer; may be freed
void
quorum_register_op_tick(
    struct quorum *quorum, usec_t now, struct quorum_register_op *op)
{
	if (now >= op->deadline)
		finish_register_op(quorum, op, QUORUM_ACTION_READ_FAILED);
	else
		send_and_schedule_resend(quorum, now, op);
}

/// Restarts the pending round of an operation under the current view, because
/// answers under different views must not be counted together.
///
/// @param quorum  quorum state of the requesting instance
/// @param now     current time, in microseconds
/// @param op      operation with a pending round
void
quorum_register_op_restart_round(
    struct quorum *quorum, usec_t now, struct quorum_register_op *op)
{
	op->voters_answered = 0;
	op->voters_with_value = 0;
	op->n_sent = 0;
	quorum_config_for_key(quorum, &op->key, &op->config);
	send_and_schedule_resend(quorum, now, op);
}

/// Writes a version to a register, and resends the write until a majority of
/// the voters has stored the version. Replaces a pending write of a lower
/// version to the same register; does nothing if a write of this or a higher
/// version is pending.
///
/// @param quorum   quorum state of the writing instance
/// @param now      current time, in microseconds
/// @param key      a QUORUM_VERSION key
/// @param version  value to write; voters keep a higher value that they have
void
quorum_raise_version(struct quorum *quorum, usec_t now,
    const struct quorum_key *key, uint64_t version)
{
	struct quorum_register_op *op = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, quorum->register_ops);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct quorum_register_op *other = value;

		if (!other->is_read && other->key.high == key->high &&
		    other->key.low == key->low)
			op = other;
	}
	if (op == NULL)
		op = new_register_op(key);
	else if (version <= op->value)
		return;
	op->value = version;
	start_round(quorum, now, op, true);
	quorum_deliver_loopback(quorum, now);
}

/// Reads a version register. A VERSION_READ or READ_FAILED action follows
/// within claim_timeout. If fewer than a majority of the voters have stored the
/// highest value, this function first writes that value to a majority, so that
/// no later read returns a lower value.
///
/// @param quorum  quorum state of the reading instance
/// @param now     current time, in microseconds
/// @param key     a QUORUM_VERSION key
void
quorum_read_version(
    struct quorum *quorum, usec_t now, const struct quorum_key *key)
{
	struct quorum_register_op *op = new_register_op(key);

	op->is_read = true;
	op->deadline = now + quorum->options.claim_timeout;
	start_round(quorum, now, op, false);
	quorum_deliver_loopback(quorum, now);
}
