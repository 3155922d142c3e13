/* The queue of requests that wait for room. */
#include "godwitvale/core/wait_queue.h"

#include <glib.h>

struct wait_queue {
	GSequence *entries; /// struct wait_entry *, in order
	GHashTable *places; /// request -> GSequenceIter *
	bool running;
};

/// Orders entries: the more urgent first, then the earlier deadline.
static gint
compare(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct wait_entry *left = a;
	const struct wait_entry *right = b;

	(void)data;
	if (left->priority != right->priority)
		return left->priority < right->priority ? -1 : 1;
	if (left->deadline != right->deadline)
		return left->deadline < right->deadline ? -1 : 1;
	return 0;
}

/// Makes an empty queue.
///
/// @return the queue; free with wait_queue_free()
struct wait_queue *
wait_queue_new(void)
{
	struct wait_queue *queue = g_new0(struct wait_queue, 1);

	queue->entries = g_sequence_new(g_free);
	queue->places = g_hash_table_new(NULL, NULL);
	return queue;
}

/// Frees a queue; requests in it are the caller's.
///
/// @param queue  the queue
void
wait_queue_free(struct wait_queue *queue)
{
	g_sequence_free(queue->entries);
	g_hash_table_unref(queue->places);
	g_free(queue);
}

/// Adds a request.
///
/// @param queue  the queue
/// @param entry  copied
void
wait_queue_add(struct wait_queue *queue, const struct wait_entry *entry)
{
	struct wait_entry *copy = g_memdup2(entry, sizeof(*entry));

	g_hash_table_insert(queue->places, entry->request,
	    g_sequence_insert_sorted(queue->entries, copy, compare, NULL));
}

/// Removes a request, if it waits.
///
/// @param queue    the queue
/// @param request  the request
void
wait_queue_remove(struct wait_queue *queue, const void *request)
{
	GSequenceIter *place = g_hash_table_lookup(queue->places, request);

	if (place == NULL)
		return;
	g_hash_table_remove(queue->places, request);
	g_sequence_remove(place);
}

/// Tries to place those that wait, in order. Once one of a service finds no
/// room, the rest of that service waits on.
///
/// @param queue    the queue
/// @param attempt  tries to place one
/// @param owner    passed to it
void
wait_queue_run(struct wait_queue *queue, wait_attempt attempt, void *owner)
{
	GHashTable *full;
	GPtrArray *requests;

	if (queue->running || g_hash_table_size(queue->places) == 0)
		return;
	queue->running = true;
	full = g_hash_table_new(g_int64_hash, g_int64_equal);
	requests = g_ptr_array_new_with_free_func(g_free);
	for (GSequenceIter *i = g_sequence_get_begin_iter(queue->entries);
	     !g_sequence_iter_is_end(i); i = g_sequence_iter_next(i))
		g_ptr_array_add(requests,
		    g_memdup2(g_sequence_get(i), sizeof(struct wait_entry)));
	for (guint i = 0; i < requests->len; i++) {
		struct wait_entry *entry = requests->pdata[i];

		if (g_hash_table_contains(full, &entry->service) ||
		    !g_hash_table_contains(queue->places, entry->request))
			continue;
		if (!attempt(owner, entry->request))
			g_hash_table_add(full, &entry->service);
	}
	g_hash_table_unref(full);
	g_ptr_array_unref(requests);
	queue->running = false;
}

/// @param queue  the queue
/// @return how many wait
unsigned
wait_queue_length(const struct wait_queue *queue)
{
	return g_hash_table_size(queue->places);
}
