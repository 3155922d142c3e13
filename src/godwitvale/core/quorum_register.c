/* Version registers: numbers that only rise, read and written by majority. */
#include "godwitvale/core/quorum_private.h"

/// Sends a task's question to the voters that have not answered it.
///
/// @param quorum  the asker
/// @param task    the task
static void
send_task(struct quorum *quorum, const struct quorum_task *task)
{
	struct quorum_message message = {
	    .type = task->writing ? QUORUM_CLAIM : QUORUM_READ,
	    .revision = task->config.revision,
	    .shard = quorum_key_shard(quorum, &task->key)->index,
	    .nonce = task->nonce,
	    .key = task->key,
	    .number = task->writing ? task->number : 0,
	};

	for (unsigned i = 0; i < task->config.n_voters; i++) {
		if ((task->answered & 1u << i) == 0)
			quorum_send(quorum, task->config.voters[i], &message);
	}
}

/// Sends a task's question, and says when to send it again: less and less
/// often where nobody answers.
///
/// @param quorum  the asker
/// @param now     current time
/// @param task    the task
static void
ask(struct quorum *quorum, usec_t now, struct quorum_task *task)
{
	unsigned shift = MIN(task->n_sent, QUORUM_BACKOFF_SHIFT_MAX);
	usec_t due = now +
	    quorum_jitter(quorum, quorum->options.resend_interval << shift);

	task->n_sent++;
	send_task(quorum, task);
	quorum_timer_set(quorum, &task->timer, MIN(due, task->deadline));
}

/// Starts a task, or one of its rounds, under the current view.
///
/// @param quorum   the asker
/// @param now      current time
/// @param task     the task
/// @param writing  the round writes the number
static void
start_round(
    struct quorum *quorum, usec_t now, struct quorum_task *task, bool writing)
{
	g_hash_table_steal(quorum->tasks, &task->nonce);
	task->nonce = quorum_random(quorum);
	g_hash_table_insert(quorum->tasks, &task->nonce, task);
	task->writing = writing;
	task->answered = 0;
	task->highest = 0;
	task->n_sent = 0;
	quorum_config_for_claim(quorum, &task->key, &task->config);
	ask(quorum, now, task);
}

/// Makes a task.
///
/// @param key  the register
/// @return the task
static struct quorum_task *
new_task(const struct quorum_key *key)
{
	struct quorum_task *task = g_new0(struct quorum_task, 1);

	g_assert(key->kind == QUORUM_VERSION);
	task->key = *key;
	task->deadline = USEC_NEVER;
	task->timer.kind = QUORUM_TIMER_TASK;
	task->timer.owner = task;
	return task;
}

/// Frees a task.
///
/// @param task  the task, out of its table
void
quorum_task_free(struct quorum_task *task)
{
	quorum_timer_clear(&task->timer);
	g_free(task);
}

/// Ends a task, with an answer where it was a read.
///
/// @param quorum  the asker
/// @param task    freed
/// @param type    QUORUM_ACTION_VERSION or QUORUM_ACTION_ISOLATED
static void
finish_task(struct quorum *quorum, struct quorum_task *task,
    enum quorum_action_type type)
{
	if (task->read) {
		struct quorum_action *action = quorum_emit(quorum, type);

		action->key = task->key;
		action->number = task->number;
	}
	g_hash_table_remove(quorum->tasks, &task->nonce);
}

/// Takes a voter's answer to a read or a raise.
///
/// @param quorum   the asker
/// @param now      current time
/// @param from     the voter
/// @param message  a VALUE or a VOTE
void
quorum_task_receive(struct quorum *quorum, usec_t now, node_id from,
    const struct quorum_message *message)
{
	struct quorum_task *task =
	    g_hash_table_lookup(quorum->tasks, &message->nonce);
	unsigned majority;
	int index;

	if (task == NULL || now >= task->deadline ||
	    message->revision != task->config.revision ||
	    task->writing != (message->type == QUORUM_VOTE))
		return;
	index = quorum_config_index(&task->config, from);
	if (index < 0)
		return;
	task->answered |= 1u << index;
	if (message->number > task->number) {
		task->highest = 0;
		task->number = task->writing ? task->number : message->number;
	}
	if (message->number == task->number)
		task->highest |= 1u << index;
	majority = quorum_majority(&task->config);
	if ((unsigned)__builtin_popcount(task->answered) < majority)
		return;
	if (task->writing ||
	    (unsigned)__builtin_popcount(task->highest) >= majority)
		finish_task(quorum, task, QUORUM_ACTION_VERSION);
	else
		start_round(quorum, now, task, true);
}

/// Runs what is due for a task.
///
/// @param quorum  the asker
/// @param now     current time
/// @param task    the task; may be freed
void
quorum_task_tick(struct quorum *quorum, usec_t now, struct quorum_task *task)
{
	if (now >= task->deadline)
		finish_task(quorum, task, QUORUM_ACTION_ISOLATED);
	else
		ask(quorum, now, task);
}

/// Starts a task's round anew under the current view.
///
/// @param quorum  the asker
/// @param now     current time
/// @param task    the task
void
quorum_task_new_view(
    struct quorum *quorum, usec_t now, struct quorum_task *task)
{
	task->answered = 0;
	task->highest = 0;
	task->n_sent = 0;
	quorum_config_for_claim(quorum, &task->key, &task->config);
	ask(quorum, now, task);
}

/// Writes a version, again and again until a majority has it. A raise of the
/// same register that is under way is overtaken.
///
/// @param quorum   the writer
/// @param now      current time
/// @param key      a QUORUM_VERSION key
/// @param version  the number; a register never falls
void
quorum_raise_version(struct quorum *quorum, usec_t now,
    const struct quorum_key *key, uint64_t version)
{
	struct quorum_task *task = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, quorum->tasks);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct quorum_task *other = value;

		if (!other->read && other->key.high == key->high &&
		    other->key.low == key->low)
			task = other;
	}
	if (task == NULL)
		task = new_task(key);
	else if (version <= task->number)
		return;
	task->number = version;
	start_round(quorum, now, task, true);
	quorum_drain(quorum, now);
}

/// Reads a version register. VERSION or ISOLATED follows within
/// claim_timeout. A value that only some voters have is written to a
/// majority first, so that no later read returns less.
///
/// @param quorum  the reader
/// @param now     current time
/// @param key     a QUORUM_VERSION key
void
quorum_read_version(
    struct quorum *quorum, usec_t now, const struct quorum_key *key)
{
	struct quorum_task *task = new_task(key);

	task->read = true;
	task->deadline = now + quorum->options.claim_timeout;
	start_round(quorum, now, task, false);
	quorum_drain(quorum, now);
}
