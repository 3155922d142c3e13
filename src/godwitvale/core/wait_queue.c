/* Queues requests that wait for capacity, by priority and deadline. */
#include "godwitvale/core/wait_queue.h"

#include <glib.h>

#include "godwitvale/core/hash.h"

struct wait_queue {
	/// struct wait_queue_entry *, ordered by priority and deadline
	GSequence *entries;
	GHashTable *positions; /// request -> GSequenceIter *
	bool is_processing;    /// wait_queue_process() is running
};

/// Compares two entries by priority, then by deadline.
static gint
compare_entries(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct wait_queue_entry *left = a;
	const struct wait_queue_entry *right = b;

	(void)data;
	if (left->priority != right->priority)
		return left->priority < right->priority ? -1 : 1;
	if (left->deadline != right->deadline)
		return left->deadline < right->deadline ? -1 : 1;
	return 0;
}

/// Creates an empty queue.
///
/// @return the queue; free with wait_queue_free()
struct wait_queue *
wait_queue_new(void)
{
	struct wait_queue *queue = g_new0(struct wait_queue, 1);

	queue->entries = g_sequence_new(g_free);
	queue->positions = g_hash_table_new(NULL, NULL);
	return queue;
}

/// Frees a queue, but not the requests in it.
///
/// @param queue  queue to free, not NULL
void
wait_queue_free(struct wait_queue *queue)
{
	g_sequence_free(queue->entries);
	g_hash_table_unref(queue->positions);
	g_free(queue);
}

/// Adds a request.
///
/// @param queue  queue to add to
/// @param entry  request, with its service, priority and deadline; copied
void
wait_queue_add(struct wait_queue *queue, const struct wait_queue_entry *entry)
{
	struct wait_queue_entry *copy = g_memdup2(entry, sizeof(*entry));

	g_hash_table_insert(queue->positions, entry->request,
	    g_sequence_insert_sorted(
		queue->entries, copy, compare_entries, NULL));
}

/// Removes a request, if it is in the queue.
///
/// @param queue    queue to remove from
/// @param request  field `request` of the entry that was added
void
wait_queue_remove(struct wait_queue *queue, const void *request)
{
	GSequenceIter *position =
	    g_hash_table_lookup(queue->positions, request);

	if (position == NULL)
		return;
	g_hash_table_remove(queue->positions, request);
	g_sequence_remove(position);
}

/// Copies the entries, in their order.
///
/// @return struct wait_queue_entry *
static GPtrArray *
copy_entries(struct wait_queue *queue)
{
	GPtrArray *copies = g_ptr_array_new_with_free_func(g_free);

	for (GSequenceIter *i = g_sequence_get_begin_iter(queue->entries);
	     !g_sequence_iter_is_end(i); i = g_sequence_iter_next(i))
		g_ptr_array_add(copies,
		    g_memdup2(
			g_sequence_get(i), sizeof(struct wait_queue_entry)));
	return copies;
}

/// @return hash of the upstreams and the group of an entry
static uint64_t
group_key(const struct wait_queue_entry *entry)
{
	return hash_pair(entry->upstreams, entry->group);
}

/// Adds a key to a set.
static void
add_key(GHashTable *set, uint64_t key)
{
	g_hash_table_add(set, g_memdup2(&key, sizeof(key)));
}

/// Checks whether an earlier entry for the same upstreams, or one of the same
/// group for them, has found no capacity.
static bool
is_blocked(GHashTable *full, const struct wait_queue_entry *entry)
{
	uint64_t key = group_key(entry);

	return g_hash_table_contains(full, &entry->upstreams) ||
	    g_hash_table_contains(full, &key);
}

/// Tries to place the waiting requests, by priority and deadline. Once a
/// request finds no capacity, the other requests for the same upstreams, or
/// those of its group for them, keep waiting. Does nothing when `attempt` calls
/// it.
///
/// @param queue    queue to process; `attempt` may add and remove requests
/// @param attempt  tries to place one request
/// @param owner    passed to `attempt`
void
wait_queue_process(
    struct wait_queue *queue, wait_queue_attempt attempt, void *owner)
{
	GHashTable *full;
	GPtrArray *snapshot;

	if (queue->is_processing || g_hash_table_size(queue->positions) == 0)
		return;
	queue->is_processing = true;
	full = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	snapshot = copy_entries(queue);
	for (guint i = 0; i < snapshot->len; i++) {
		const struct wait_queue_entry *entry = snapshot->pdata[i];
		enum wait_queue_result result;

		if (is_blocked(full, entry) ||
		    !g_hash_table_contains(queue->positions, entry->request))
			continue;
		result = attempt(owner, entry->request);
		if (result == WAIT_QUEUE_FULL)
			add_key(full, entry->upstreams);
		else if (result == WAIT_QUEUE_GROUP_FULL)
			add_key(full, group_key(entry));
	}
	g_hash_table_unref(full);
	g_ptr_array_unref(snapshot);
	queue->is_processing = false;
}

/// @param queue  queue to count
/// @return number of waiting requests
unsigned
wait_queue_length(const struct wait_queue *queue)
{
	return g_hash_table_size(queue->positions);
}
