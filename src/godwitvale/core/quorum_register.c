/*
 * Version registers: values that never decrease, read from and written to a
 * majority of the voters.
 */
#include "godwitvale/core/quorum_private.h"

/// Sends an operation's request to the voters that have not answered it.
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
		if ((op->answered & 1u << i) == 0)
			quorum_send(quorum, op->config.voters[i], &message);
	}
}

/// Sends an operation's request and schedules its next resend. The delay
/// doubles with each attempt, up to a limit.
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

/// Starts a round of an operation under the current view, with a new nonce.
///
/// @param quorum   takes ownership of the operation
/// @param now      current time, in microseconds
/// @param op       operation to start or continue
/// @param writing  true if the round writes the value, false if it reads it
static void
start_round(struct quorum *quorum, usec_t now, struct quorum_register_op *op,
    bool writing)
{
	g_hash_table_steal(quorum->register_ops, &op->nonce);
	op->nonce = quorum_random_nonce(quorum);
	g_hash_table_insert(quorum->register_ops, &op->nonce, op);
	op->writing = writing;
	op->answered = 0;
	op->voters_with_value = 0;
	op->n_sent = 0;
	quorum_config_for_claim(quorum, &op->key, &op->config);
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

/// Frees an operation.
///
/// @param op  operation that is no longer in quorum->register_ops
void
quorum_register_op_free(struct quorum_register_op *op)
{
	quorum_timer_clear(&op->timer);
	g_free(op);
}

/// Ends an operation. If it is a read, queues an action with the result.
///
/// @param quorum  quorum state of the requesting instance
/// @param op      operation to end; freed
/// @param type    QUORUM_ACTION_VERSION_READ or QUORUM_ACTION_READ_FAILED
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

/// Handles a voter's answer to a read or a write of a register.
///
/// @param quorum   quorum state of the requesting instance
/// @param now      current time, in microseconds
/// @param from     answering voter
/// @param message  a VALUE or a VOTE
void
quorum_register_op_receive(struct quorum *quorum, usec_t now, node_id from,
    const struct quorum_message *message)
{
	struct quorum_register_op *op =
	    g_hash_table_lookup(quorum->register_ops, &message->nonce);
	unsigned majority;
	int index;

	if (op == NULL || now >= op->deadline ||
	    message->revision != op->config.revision ||
	    op->writing != (message->type == QUORUM_VOTE))
		return;
	index = quorum_config_index(&op->config, from);
	if (index < 0)
		return;
	op->answered |= 1u << index;
	if (message->value > op->value) {
		op->voters_with_value = 0;
		op->value = op->writing ? op->value : message->value;
	}
	if (message->value == op->value)
		op->voters_with_value |= 1u << index;
	majority = quorum_majority(&op->config);
	if ((unsigned)__builtin_popcount(op->answered) < majority)
		return;
	if (op->writing ||
	    (unsigned)__builtin_popcount(op->voters_with_value) >= majority)
		finish_register_op(quorum, op, QUORUM_ACTION_VERSION_READ);
	else
		start_round(quorum, now, op, true);
}

/// Handles an operation's timer: ends a read whose deadline has passed, and
/// resends any other request.
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

/// Restarts an operation's pending round under the current view.
///
/// @param quorum  quorum state of the requesting instance
/// @param now     current time, in microseconds
/// @param op      operation with a pending round
void
quorum_register_op_restart_round(
    struct quorum *quorum, usec_t now, struct quorum_register_op *op)
{
	op->answered = 0;
	op->voters_with_value = 0;
	op->n_sent = 0;
	quorum_config_for_claim(quorum, &op->key, &op->config);
	send_and_schedule_resend(quorum, now, op);
}

/// Writes a version to a register, and retries until a majority of the voters
/// has stored it. Replaces a pending write of a lower version to the same
/// register.
///
/// @param quorum   quorum state of the writing instance
/// @param now      current time, in microseconds
/// @param key      a QUORUM_VERSION key
/// @param version  value to write; a register never decreases
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
/// within claim_timeout. A value that only some voters have stored is first
/// written to a majority, so that no later read returns a lower value.
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
