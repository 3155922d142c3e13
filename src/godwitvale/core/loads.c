/* Sums of the work under way at each upstream. */
#include "godwitvale/core/loads.h"

#include <stdbool.h>

struct loads {
	GHashTable *sums;  /// upstream -> struct sum
	GHashTable *peers; /// peer -> GArray * of struct load_entry
};

/// Work at one upstream.
struct sum {
	uint64_t upstream;
	struct load own;
	struct load peers;
	bool untold; /// own has changed since peers were told
};

/// Adds one load to another, with a sign.
static void
load_add(struct load *load, const struct load *delta, int sign)
{
	load->requests += sign * delta->requests;
	load->tokens += sign * delta->tokens;
	load->prompt += sign * delta->prompt;
}

/// Whether a load is nothing at all.
static bool
load_is_zero(const struct load *load)
{
	return load->requests == 0 && load->tokens == 0 && load->prompt == 0;
}

/// Frees a peer's entries.
static void
entries_free(void *data)
{
	g_array_unref(data);
}

/// Makes empty sums.
///
/// @return the sums; free with loads_free()
struct loads *
loads_new(void)
{
	struct loads *loads = g_new0(struct loads, 1);

	loads->sums =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	loads->peers = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, g_free, entries_free);
	return loads;
}

/// Frees sums.
///
/// @param loads  the sums
void
loads_free(struct loads *loads)
{
	g_hash_table_unref(loads->sums);
	g_hash_table_unref(loads->peers);
	g_free(loads);
}

/// Finds an upstream's sum, making it.
static struct sum *
sum_of(struct loads *loads, uint64_t upstream)
{
	struct sum *sum = g_hash_table_lookup(loads->sums, &upstream);

	if (sum != NULL)
		return sum;
	sum = g_new0(struct sum, 1);
	sum->upstream = upstream;
	g_hash_table_insert(loads->sums, &sum->upstream, sum);
	return sum;
}

/// Forgets a sum in which nothing is left.
static void
prune(struct loads *loads, struct sum *sum)
{
	if (!sum->untold && load_is_zero(&sum->own) &&
	    load_is_zero(&sum->peers))
		g_hash_table_remove(loads->sums, &sum->upstream);
}

/// Adds to this instance's own work.
///
/// @param loads     the sums
/// @param upstream  hash of its id
/// @param delta     what to add; negative where work has ended
void
loads_add(struct loads *loads, uint64_t upstream, const struct load *delta)
{
	struct sum *sum = sum_of(loads, upstream);

	load_add(&sum->own, delta, 1);
	sum->untold = true;
}

/// Forgets what a peer has told.
///
/// @param loads  the sums
/// @param peer   the peer
void
loads_drop_peer(struct loads *loads, uint64_t peer)
{
	GArray *entries = g_hash_table_lookup(loads->peers, &peer);

	for (guint i = 0; entries != NULL && i < entries->len; i++) {
		const struct load_entry *entry =
		    &g_array_index(entries, struct load_entry, i);
		struct sum *sum = sum_of(loads, entry->upstream);

		load_add(&sum->peers, &entry->load, -1);
		prune(loads, sum);
	}
	g_hash_table_remove(loads->peers, &peer);
}

/// Takes a peer's work in place of what it told before.
///
/// @param loads      the sums
/// @param peer       the peer
/// @param entries    its work, an entry an upstream
/// @param n_entries  how many
void
loads_set_peer(struct loads *loads, uint64_t peer,
    const struct load_entry *entries, size_t n_entries)
{
	GArray *copy = g_array_new(false, false, sizeof(struct load_entry));

	loads_drop_peer(loads, peer);
	g_array_append_vals(copy, entries, (guint)n_entries);
	for (size_t i = 0; i < n_entries; i++)
		load_add(&sum_of(loads, entries[i].upstream)->peers,
		    &entries[i].load, 1);
	g_hash_table_insert(loads->peers, g_memdup2(&peer, sizeof(peer)), copy);
}

/// Finds what a peer has told of one upstream, making it.
static struct load_entry *
entry_of(GArray *entries, uint64_t upstream)
{
	const struct load_entry none = {.upstream = upstream};

	for (guint i = 0; i < entries->len; i++) {
		struct load_entry *entry =
		    &g_array_index(entries, struct load_entry, i);

		if (entry->upstream == upstream)
			return entry;
	}
	g_array_append_val(entries, none);
	return &g_array_index(entries, struct load_entry, entries->len - 1);
}

/// Takes a peer's work at some upstreams in place of what it told of them.
///
/// @param loads      the sums
/// @param peer       the peer
/// @param entries    its work, an entry an upstream; zero: it has ended
/// @param n_entries  how many
void
loads_merge_peer(struct loads *loads, uint64_t peer,
    const struct load_entry *entries, size_t n_entries)
{
	GArray *told = g_hash_table_lookup(loads->peers, &peer);

	if (told == NULL) {
		loads_set_peer(loads, peer, entries, n_entries);
		return;
	}
	for (size_t i = 0; i < n_entries; i++) {
		struct load_entry *entry = entry_of(told, entries[i].upstream);
		struct sum *sum = sum_of(loads, entry->upstream);

		load_add(&sum->peers, &entry->load, -1);
		entry->load = entries[i].load;
		load_add(&sum->peers, &entry->load, 1);
		prune(loads, sum);
	}
}

/// @param loads     the sums
/// @param upstream  hash of its id
/// @return this instance's own work there
struct load
loads_own(const struct loads *loads, uint64_t upstream)
{
	const struct sum *sum = g_hash_table_lookup(loads->sums, &upstream);

	return sum == NULL ? (struct load){0} : sum->own;
}

/// @param loads     the sums
/// @param upstream  hash of its id
/// @return the work of all instances there
struct load
loads_total(const struct loads *loads, uint64_t upstream)
{
	const struct sum *sum = g_hash_table_lookup(loads->sums, &upstream);
	struct load total = {0};

	if (sum == NULL)
		return total;
	total = sum->own;
	load_add(&total, &sum->peers, 1);
	return total;
}

/// Lists this instance's own work, to be told to peers in place of what they
/// were told before.
///
/// @param loads    the sums
/// @param entries  filled in
/// @param max      room in it
/// @return how many were filled in
size_t
loads_list_own(struct loads *loads, struct load_entry *entries, size_t max)
{
	size_t n = 0;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, loads->sums);
	while (n < max && g_hash_table_iter_next(&iter, NULL, &value)) {
		struct sum *sum = value;

		sum->untold = false;
		if (!load_is_zero(&sum->own))
			entries[n++] =
			    (struct load_entry){sum->upstream, sum->own};
		else if (load_is_zero(&sum->peers))
			g_hash_table_iter_remove(&iter);
	}
	return n;
}

/// Lists this instance's own work where it has changed since peers were told;
/// zero where it has ended.
///
/// @param loads    the sums
/// @param entries  filled in
/// @param max      room in it
/// @return how many were filled in
size_t
loads_list_changed(struct loads *loads, struct load_entry *entries, size_t max)
{
	size_t n = 0;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, loads->sums);
	while (n < max && g_hash_table_iter_next(&iter, NULL, &value)) {
		struct sum *sum = value;

		if (!sum->untold)
			continue;
		sum->untold = false;
		entries[n++] = (struct load_entry){sum->upstream, sum->own};
		if (load_is_zero(&sum->own) && load_is_zero(&sum->peers))
			g_hash_table_iter_remove(&iter);
	}
	return n;
}
