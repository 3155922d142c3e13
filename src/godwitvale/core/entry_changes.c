/* Judges what changes of upstreams' entries tell of past versions. */
#include "godwitvale/core/entry_changes.h"

/// From an upstream's start to its first entry.
#define ENTRY_CHANGES_FIRST_WRITE_SPAN (1 * USEC_PER_SEC)
/// The pace of heartbeats over a time may differ from their pace since the
/// upstream's start by one part in this number.
#define ENTRY_CHANGES_PACE_TOLERANCE 10

struct entry_changes {
	uint64_t from;
	GArray *list; /// struct entry_change, by revision
	/// newest entry of each upstream (struct entry_change *), or its first
	/// change if none was written, by the hash of its id
	GHashTable *newest;
	/// revision from which on all versions are known
	uint64_t known_from;
	GArray *ages; /// usec_t of each change, once they were judged
};

/// @return a change in the list
static struct entry_change *
get_change(const struct entry_changes *changes, guint i)
{
	return &g_array_index(changes->list, struct entry_change, i);
}

/// Creates an empty list.
///
/// @param from  the changes after this revision will be added; 0: all that the
///              store ever had
/// @return the list; free with entry_changes_free()
struct entry_changes *
entry_changes_new(uint64_t from)
{
	struct entry_changes *changes = g_new0(struct entry_changes, 1);

	changes->from = from;
	changes->known_from = from;
	changes->list = g_array_new(false, false, sizeof(struct entry_change));
	changes->ages = g_array_new(false, false, sizeof(usec_t));
	changes->newest =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	return changes;
}

/// Frees a list.
///
/// @param changes  not NULL
void
entry_changes_free(struct entry_changes *changes)
{
	g_array_unref(changes->list);
	g_array_unref(changes->ages);
	g_hash_table_unref(changes->newest);
	g_free(changes);
}

/// Checks whether the version that an upstream had before its first change in
/// the list is certain: it had none, or the process is the same.
static bool
is_past_certain(const struct entry_change *change)
{
	return change->kind == ENTRY_CHANGE_WRITTEN &&
	    (change->is_created || change->sequence > 1);
}

/// Adds a change. Changes must be added in the order of their revisions.
///
/// @param changes  list to add to
/// @param change   copied
void
entry_changes_add(
    struct entry_changes *changes, const struct entry_change *change)
{
	struct entry_change *copy = g_memdup2(change, sizeof(*change));

	bool is_first =
	    !g_hash_table_contains(changes->newest, &change->upstream);

	if (is_first && changes->from != 0 && !is_past_certain(change))
		changes->known_from = change->revision;
	g_array_append_vals(changes->list, change, 1);
	if (is_first || change->kind == ENTRY_CHANGE_WRITTEN)
		g_hash_table_replace(changes->newest, &copy->upstream, copy);
	else
		g_free(copy);
}

/// Computes when an upstream's entry was written at the latest.
///
/// @param change    an entry that was written
/// @param newest    newest entry of the same upstream
/// @param unix_now  Unix time now
/// @return Unix time by the upstream's clock; `unix_now`: it isn't known
static usec_t
find_latest_time(const struct entry_change *change,
    const struct entry_change *newest, usec_t unix_now)
{
	usec_t born = (usec_t)change->incarnation * USEC_PER_MSEC;
	double share;
	usec_t span;

	if (change->incarnation == 0 || born >= unix_now)
		return unix_now;
	if (change->sequence <= 1)
		return MIN(unix_now, born + ENTRY_CHANGES_FIRST_WRITE_SPAN);
	if (newest->incarnation != change->incarnation ||
	    newest->sequence <= change->sequence)
		return unix_now;
	share = (double)(newest->sequence - change->sequence) /
	    (double)(newest->sequence - 1);
	span = (usec_t)(share * (double)(unix_now - born));
	return unix_now - span + span / ENTRY_CHANGES_PACE_TOLERANCE;
}

/// Highest ages that two different upstreams name.
struct top_ages {
	uint64_t first_upstream;
	usec_t first;
	usec_t second;
};

/// Adds the age that an upstream names.
static void
top_ages_add(struct top_ages *top, uint64_t upstream, usec_t age)
{
	if (upstream == top->first_upstream) {
		top->first = MAX(top->first, age);
	} else if (age > top->first) {
		top->second = top->first;
		top->first = age;
		top->first_upstream = upstream;
	} else {
		top->second = MAX(top->second, age);
	}
}

/// Computes the ages of all changes, from the newest to the oldest. Each entry
/// bounds the age of what was before it. Must be called after the last change
/// was added, and before the functions below.
///
/// @param changes   list to judge
/// @param unix_now  Unix time now, in microseconds
void
entry_changes_judge(struct entry_changes *changes, usec_t unix_now)
{
	struct top_ages top = {0};

	g_array_set_size(changes->ages, changes->list->len);
	for (guint i = changes->list->len; i > 0; i--) {
		const struct entry_change *change = get_change(changes, i - 1);
		const struct entry_change *newest =
		    g_hash_table_lookup(changes->newest, &change->upstream);

		if (change->kind == ENTRY_CHANGE_WRITTEN)
			top_ages_add(&top, change->upstream,
			    unix_now -
				find_latest_time(change, newest, unix_now));
		g_array_index(changes->ages, usec_t, i - 1) =
		    MAX(0, top.second - ENTRY_CHANGES_CLOCK_SKEW);
	}
}

/// Finds how long ago a revision was at least.
///
/// @param changes   list that was judged
/// @param revision  a revision of the list, or the one that it begins after
/// @return that time; 0: nothing is known of it
usec_t
entry_changes_age(const struct entry_changes *changes, uint64_t revision)
{
	guint low = 0;
	guint high = changes->list->len;

	while (low < high) {
		guint middle = low + (high - low) / 2;

		if (get_change(changes, middle)->revision < revision)
			low = middle + 1;
		else
			high = middle;
	}
	return low < changes->ages->len
	    ? g_array_index(changes->ages, usec_t, low)
	    : 0;
}

/// Computes for how long, until now, all versions of all services are known
/// from the list and from the entries that there are now.
///
/// @param changes  list that was judged
/// @return that time; USEC_NEVER: for all time
usec_t
entry_changes_known_span(const struct entry_changes *changes)
{
	return changes->from == 0
	    ? USEC_NEVER
	    : entry_changes_age(changes, changes->known_from);
}

/// Notes that a version was there until some time ago.
static void
note_version(
    GArray *versions, const struct entry_change *entry, usec_t gone_span)
{
	const struct entry_version added = {
	    entry->service, entry->version_key, gone_span};

	for (guint i = 0; i < versions->len; i++) {
		struct entry_version *version =
		    &g_array_index(versions, struct entry_version, i);

		if (version->version_key != entry->version_key)
			continue;
		version->gone_span = MIN(version->gone_span, gone_span);
		return;
	}
	g_array_append_val(versions, added);
}

/// Lists the versions that the entries in a list name.
///
/// @param changes  list that was judged
/// @return struct entry_version; free with g_array_unref()
GArray *
entry_changes_list_versions(const struct entry_changes *changes)
{
	GArray *versions =
	    g_array_new(false, false, sizeof(struct entry_version));
	/* upstream -> its last entry before the change that is looked at */
	GHashTable *present = g_hash_table_new(g_int64_hash, g_int64_equal);
	GHashTableIter iter;
	void *entry;

	for (guint i = 0; i < changes->list->len; i++) {
		struct entry_change *change = get_change(changes, i);

		entry = g_hash_table_lookup(present, &change->upstream);
		if (entry != NULL)
			note_version(versions, entry,
			    entry_changes_age(changes, change->revision));
		if (change->kind == ENTRY_CHANGE_WRITTEN)
			g_hash_table_replace(
			    present, &change->upstream, change);
		else
			g_hash_table_remove(present, &change->upstream);
	}
	g_hash_table_iter_init(&iter, present);
	while (g_hash_table_iter_next(&iter, NULL, &entry))
		note_version(versions, entry, 0);
	g_hash_table_unref(present);
	return versions;
}
