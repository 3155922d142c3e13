/* Counts the work in flight at each upstream, by instance and in total. */
#include "godwitvale/core/loads.h"

#include <stdbool.h>

struct loads {
	GHashTable *sums;  /// hash of an upstream's id -> struct load_sum *
	GHashTable *peers; /// hash of a peer's name -> GArray * of load_entry
};

/// Work in flight at one upstream.
struct load_sum {
	uint64_t upstream;
	struct load own;   /// work of this instance
	struct load peers; /// sum of the work that the peers report
	bool unreported;   /// `own` changed after the last report that lists it
};

/// Adds a load to another one, or subtracts it.
///
/// @param sign  1 to add, -1 to subtract
static void
add_load(struct load *load, const struct load *delta, int sign)
{
	load->requests += sign * delta->requests;
	load->tokens += sign * delta->tokens;
	load->prompt_tokens += sign * delta->prompt_tokens;
}

/// Checks whether a load is zero.
static bool
load_is_zero(const struct load *load)
{
	return load->requests == 0 && load->tokens == 0 &&
	    load->prompt_tokens == 0;
}

/// Frees a peer's load entries (GArray *).
static void
free_peer_entries(void *data)
{
	g_array_unref(data);
}

/// Creates an empty table of loads.
///
/// @return the table; free with loads_free()
struct loads *
loads_new(void)
{
	struct loads *loads = g_new0(struct loads, 1);

	loads->sums =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	loads->peers = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, g_free, free_peer_entries);
	return loads;
}

/// Frees a table of loads.
///
/// @param loads  table to free, not NULL
void
loads_free(struct loads *loads)
{
	g_hash_table_unref(loads->sums);
	g_hash_table_unref(loads->peers);
	g_free(loads);
}

/// Returns the load sum of an upstream; creates it if there is none.
static struct load_sum *
ensure_upstream_sum(struct loads *loads, uint64_t upstream)
{
	struct load_sum *sum = g_hash_table_lookup(loads->sums, &upstream);

	if (sum != NULL)
		return sum;
	sum = g_new0(struct load_sum, 1);
	sum->upstream = upstream;
	g_hash_table_insert(loads->sums, &sum->upstream, sum);
	return sum;
}

/// Removes the load sum of an upstream if it is zero and has no unreported
/// change.
static void
remove_sum_if_empty(struct loads *loads, struct load_sum *sum)
{
	if (!sum->unreported && load_is_zero(&sum->own) &&
	    load_is_zero(&sum->peers))
		g_hash_table_remove(loads->sums, &sum->upstream);
}

/// Adds to this instance's own work in flight at an upstream.
///
/// @param loads     loads of all upstreams
/// @param upstream  hash of the upstream's id
/// @param delta     load to add; its fields are negative when work has ended
void
loads_add_own(struct loads *loads, uint64_t upstream, const struct load *delta)
{
	struct load_sum *sum = ensure_upstream_sum(loads, upstream);

	add_load(&sum->own, delta, 1);
	sum->unreported = true;
}

/// Removes all work that a peer has reported.
///
/// @param loads  loads of all upstreams
/// @param peer   hash of the peer's name
void
loads_remove_peer(struct loads *loads, uint64_t peer)
{
	GArray *entries = g_hash_table_lookup(loads->peers, &peer);

	for (guint i = 0; entries != NULL && i < entries->len; i++) {
		const struct load_entry *entry =
		    &g_array_index(entries, struct load_entry, i);
		struct load_sum *sum =
		    ensure_upstream_sum(loads, entry->upstream);

		add_load(&sum->peers, &entry->load, -1);
		remove_sum_if_empty(loads, sum);
	}
	g_hash_table_remove(loads->peers, &peer);
}

/// Replaces all work that a peer has reported.
///
/// @param loads      loads of all upstreams
/// @param peer       hash of the peer's name
/// @param entries    the peer's work, one entry for each upstream
/// @param n_entries  number of entries
void
loads_set_peer(struct loads *loads, uint64_t peer,
    const struct load_entry *entries, size_t n_entries)
{
	GArray *copy = g_array_new(false, false, sizeof(struct load_entry));

	loads_remove_peer(loads, peer);
	g_array_append_vals(copy, entries, (guint)n_entries);
	for (size_t i = 0; i < n_entries; i++)
		add_load(
		    &ensure_upstream_sum(loads, entries[i].upstream)->peers,
		    &entries[i].load, 1);
	g_hash_table_insert(loads->peers, g_memdup2(&peer, sizeof(peer)), copy);
}

/// Returns a peer's load entry for an upstream; appends an entry with a load of
/// zero if there is none.
static struct load_entry *
ensure_peer_entry(GArray *entries, uint64_t upstream)
{
	const struct load_entry empty = {.upstream = upstream};

	for (guint i = 0; i < entries->len; i++) {
		struct load_entry *entry =
		    &g_array_index(entries, struct load_entry, i);

		if (entry->upstream == upstream)
			return entry;
	}
	g_array_append_val(entries, empty);
	return &g_array_index(entries, struct load_entry, entries->len - 1);
}

/// Replaces the work that a peer has reported for some upstreams and keeps the
/// work that it has reported for all other upstreams.
///
/// @param loads      loads of all upstreams
/// @param peer       hash of the peer's name
/// @param entries    the peer's work, one entry for each upstream; a load of
///                   zero means that the peer has no work there any more
/// @param n_entries  number of entries
void
loads_merge_peer(struct loads *loads, uint64_t peer,
    const struct load_entry *entries, size_t n_entries)
{
	GArray *reported = g_hash_table_lookup(loads->peers, &peer);

	if (reported == NULL) {
		loads_set_peer(loads, peer, entries, n_entries);
		return;
	}
	for (size_t i = 0; i < n_entries; i++) {
		struct load_entry *entry =
		    ensure_peer_entry(reported, entries[i].upstream);
		struct load_sum *sum =
		    ensure_upstream_sum(loads, entry->upstream);

		add_load(&sum->peers, &entry->load, -1);
		entry->load = entries[i].load;
		add_load(&sum->peers, &entry->load, 1);
		remove_sum_if_empty(loads, sum);
	}
}

/// @param loads     loads of all upstreams
/// @param upstream  hash of the upstream's id
/// @return this instance's own work in flight at the upstream
struct load
loads_get_own(const struct loads *loads, uint64_t upstream)
{
	const struct load_sum *sum =
	    g_hash_table_lookup(loads->sums, &upstream);

	return sum == NULL ? (struct load){0} : sum->own;
}

/// @param loads     loads of all upstreams
/// @param upstream  hash of the upstream's id
/// @return the work in flight of all instances at the upstream
struct load
loads_get_total(const struct loads *loads, uint64_t upstream)
{
	const struct load_sum *sum =
	    g_hash_table_lookup(loads->sums, &upstream);
	struct load total = {0};

	if (sum == NULL)
		return total;
	total = sum->own;
	add_load(&total, &sum->peers, 1);
	return total;
}

/// Lists all of this instance's own work, for a report that replaces all of its
/// earlier reports, and marks the listed work as reported.
///
/// @param loads    loads of all upstreams
/// @param entries  array to fill
/// @param max      capacity of `entries`, in entries
/// @return number of entries filled
size_t
loads_list_own(struct loads *loads, struct load_entry *entries, size_t max)
{
	size_t n = 0;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, loads->sums);
	while (n < max && g_hash_table_iter_next(&iter, NULL, &value)) {
		struct load_sum *sum = value;

		sum->unreported = false;
		if (!load_is_zero(&sum->own))
			entries[n++] =
			    (struct load_entry){sum->upstream, sum->own};
		else if (load_is_zero(&sum->peers))
			g_hash_table_iter_remove(&iter);
	}
	return n;
}

/// Lists this instance's own work at the upstreams where that work has changed
/// since it was last listed by this function or by loads_list_own(), and marks
/// it as reported. The load of an upstream where all work has ended is zero.
///
/// @param loads    loads of all upstreams
/// @param entries  array to fill
/// @param max      capacity of `entries`, in entries
/// @return number of entries filled
size_t
loads_list_changed(struct loads *loads, struct load_entry *entries, size_t max)
{
	size_t n = 0;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, loads->sums);
	while (n < max && g_hash_table_iter_next(&iter, NULL, &value)) {
		struct load_sum *sum = value;

		if (!sum->unreported)
			continue;
		sum->unreported = false;
		entries[n++] = (struct load_entry){sum->upstream, sum->own};
		if (load_is_zero(&sum->own) && load_is_zero(&sum->peers))
			g_hash_table_iter_remove(&iter);
	}
	return n;
}
