/* Holds two generations of keys with their times. */
#include "godwitvale/core/recent_times.h"

#include <glib.h>

struct recent_times {
	size_t generation_size;
	/// Key -> usec_t *.
	GHashTable *newer;
	GHashTable *older;
};

/// @return an empty table of times by key
static GHashTable *
new_generation(void)
{
	return g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, g_free, g_free);
}

/// Creates an empty memory.
///
/// @param generation_size  number of keys in each generation; at least this
///                         many of the latest keys are remembered
/// @return the memory; free with recent_times_free()
struct recent_times *
recent_times_new(size_t generation_size)
{
	struct recent_times *times = g_new0(struct recent_times, 1);

	times->generation_size = generation_size;
	times->newer = new_generation();
	times->older = new_generation();
	return times;
}

/// Frees a memory.
///
/// @param times  not NULL
void
recent_times_free(struct recent_times *times)
{
	g_hash_table_unref(times->newer);
	g_hash_table_unref(times->older);
	g_free(times);
}

/// @param times  memory to search
/// @param key    key to find
/// @return the latest time of the key; 0: none, as far as is remembered
usec_t
recent_times_get(const struct recent_times *times, uint64_t key)
{
	const usec_t *at = g_hash_table_lookup(times->newer, &key);

	if (at == NULL)
		at = g_hash_table_lookup(times->older, &key);
	return at == NULL ? 0 : *at;
}

/// Records a time of a key, unless a later one is known.
///
/// @param times  memory to add to
/// @param key    key to record
/// @param at     the time
void
recent_times_set(struct recent_times *times, uint64_t key, usec_t at)
{
	at = MAX(at, recent_times_get(times, key));
	if (g_hash_table_size(times->newer) >= times->generation_size) {
		g_hash_table_unref(times->older);
		times->older = times->newer;
		times->newer = new_generation();
	}
	g_hash_table_replace(times->newer, g_memdup2(&key, sizeof(key)),
	    g_memdup2(&at, sizeof(at)));
}
