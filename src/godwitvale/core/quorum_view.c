/*
 * Stores views of the membership list, selects the voters of each shard from a
 * view, and tracks the instances that have left the list.
 */
#include "godwitvale/core/quorum_private.h"

#include <string.h>

#include "godwitvale/core/hash.h"

/// A member that may become a voter of a shard.
struct candidate {
	uint64_t score; /// hash of the member and the shard
	node_id id;
	uint32_t zone;
	/// Number of candidates of the same zone with a higher score.
	unsigned zone_rank;
};

/// Copies a view, including the array of members.
///
/// @param to    view to overwrite; the old contents are freed first
/// @param from  view to copy
void
quorum_view_copy(struct view *to, const struct view *from)
{
	quorum_view_clear(to);
	*to = *from;
	to->members =
	    g_memdup2(from->members, from->n_members * sizeof(*from->members));
}

/// Frees the members of a view and sets all fields to 0.
///
/// @param view  view to clear; may be all zero
void
quorum_view_clear(struct view *view)
{
	g_free(view->members);
	memset(view, 0, sizeof(*view));
}

/// Checks whether a view contains an instance.
///
/// @param view  view to search
/// @param id    instance to find
/// @return true if the instance is a member, leaving or not
bool
quorum_view_contains(const struct view *view, node_id id)
{
	for (size_t i = 0; i < view->n_members; i++) {
		if (view->members[i].id == id)
			return true;
	}
	return false;
}

/// Compares candidates by score, highest first.
///
/// @param left   a struct candidate
/// @param right  a struct candidate
/// @return negative, 0 or positive, as qsort() requires
static int
compare_scores(const void *left, const void *right)
{
	const struct candidate *a = left, *b = right;

	if (a->score != b->score)
		return a->score < b->score ? 1 : -1;
	return (a->id > b->id) - (a->id < b->id);
}

/// Compares candidates by their rank within their zone, then by score.
///
/// @param left   a struct candidate
/// @param right  a struct candidate
/// @return negative, 0 or positive, as qsort() requires
static int
compare_ranks(const void *left, const void *right)
{
	const struct candidate *a = left, *b = right;

	if (a->zone_rank != b->zone_rank)
		return a->zone_rank > b->zone_rank ? 1 : -1;
	return compare_scores(left, right);
}

/// Lists the members of a view that may become voters of a shard, in order of
/// preference: by rank within the zone, then by score.
///
/// @param view             view with the members
/// @param shard            index of the shard
/// @param include_leaving  true to include leaving members
/// @param candidates       filled in; must have room for view->n_members
/// @return number of candidates
static size_t
rank_members(const struct view *view, uint32_t shard, bool include_leaving,
    struct candidate *candidates)
{
	GHashTable *ranks_by_zone = g_hash_table_new(NULL, NULL);
	size_t n = 0;

	for (size_t i = 0; i < view->n_members; i++) {
		const struct view_member *member = &view->members[i];

		if (member->leaving && !include_leaving)
			continue;
		candidates[n].score = hash_pair(member->id, shard);
		candidates[n].id = member->id;
		candidates[n].zone = member->zone;
		n++;
	}
	qsort(candidates, n, sizeof(*candidates), compare_scores);
	for (size_t i = 0; i < n; i++) {
		gpointer zone = GUINT_TO_POINTER(candidates[i].zone);
		unsigned rank =
		    GPOINTER_TO_UINT(g_hash_table_lookup(ranks_by_zone, zone));

		candidates[i].zone_rank = rank;
		g_hash_table_insert(
		    ranks_by_zone, zone, GUINT_TO_POINTER(rank + 1));
	}
	g_hash_table_destroy(ranks_by_zone);
	qsort(candidates, n, sizeof(*candidates), compare_ranks);
	return n;
}

/// Selects the voters of a shard under a view by rendezvous hashing, taking the
/// remaining member with the highest score from each zone in turn. Leaving
/// members are selected only if fewer than three other members are listed. The
/// number of voters is odd, because an additional voter that makes the number
/// even does not increase the number of failures that the configuration
/// tolerates.
///
/// @param quorum  quorum state whose options hold the maximum number of voters
/// @param view    view with the members; an empty view results in no voters
/// @param shard   index of the shard
/// @param config  configuration to fill in
void
quorum_config_compute(const struct quorum *quorum, const struct view *view,
    uint32_t shard, struct quorum_config *config)
{
	struct candidate *candidates =
	    g_new0(struct candidate, view->n_members + 1);
	size_t n;

	memset(config, 0, sizeof(*config));
	config->revision = view->revision;
	n = rank_members(view, shard, false, candidates);
	if (n < MIN(3, view->n_members))
		n = rank_members(view, shard, true, candidates);
	n = MIN(n, quorum->options.n_voters);
	if (n > 0 && n % 2 == 0)
		n--;
	config->n_voters = (unsigned)n;
	for (size_t i = 0; i < n; i++)
		config->voters[i] = candidates[i].id;
	g_free(candidates);
}

/// Selects the voters that receive a claim or a register operation on a key:
/// the voters of the key's shard under the current view. Two naive variants
/// select only one instance.
///
/// @param quorum  quorum state of the claimant, reader or writer
/// @param key     key that is claimed, read or written
/// @param config  configuration to fill in
void
quorum_config_for_key(const struct quorum *quorum, const struct quorum_key *key,
    struct quorum_config *config)
{
	*config = quorum_key_shard(quorum, key)->config;
	if (quorum_is_naive(quorum, QUORUM_NAIVE_LOCAL)) {
		config->n_voters = 1;
		config->voters[0] = quorum->options.self;
	}
	if (quorum_is_naive(quorum, QUORUM_NAIVE_OWNER))
		config->n_voters = MIN(config->n_voters, 1);
}

/// Finds an instance among the voters of a configuration.
///
/// @param config  configuration to search
/// @param id      instance to find
/// @return index in config->voters; -1 if the instance is not a voter
int
quorum_config_find_voter(const struct quorum_config *config, node_id id)
{
	for (unsigned i = 0; i < config->n_voters; i++) {
		if (config->voters[i] == id)
			return (int)i;
	}
	return -1;
}

/// Returns the number of voters that form a majority of a configuration.
///
/// @param config  configuration with the voters
/// @return number of voters; 1 if the configuration has no voters, so that no
///     majority can be reached
unsigned
quorum_config_majority(const struct quorum_config *config)
{
	return config->n_voters / 2 + 1;
}

/// Updates quorum->delisted_since after a view change: adds the instances that
/// have left the membership list, and removes those that are listed again.
///
/// @param quorum  quorum state with the previous and the current view
/// @param now     current time, in microseconds; recorded as the time at which
///     the instances left
void
quorum_update_delisted_times(struct quorum *quorum, usec_t now)
{
	for (size_t i = 0; i < quorum->previous_view.n_members; i++)
		quorum_is_long_delisted(
		    quorum, now, quorum->previous_view.members[i].id);
	for (size_t i = 0; i < quorum->view.n_members; i++)
		g_hash_table_remove(
		    quorum->delisted_since, &quorum->view.members[i].id);
}

/// Checks whether an instance left the membership list so long ago that all
/// votes of the instance have expired. If this instance has not recorded when
/// an unlisted instance left, the function records `now` as that time.
///
/// @param quorum  quorum state of this instance
/// @param now     current time, in microseconds
/// @param id      instance to check
/// @return true if the instance left at least state_lifetime ago
bool
quorum_is_long_delisted(struct quorum *quorum, usec_t now, node_id id)
{
	usec_t *since;

	if (quorum_view_contains(&quorum->view, id))
		return false;
	since = g_hash_table_lookup(quorum->delisted_since, &id);
	if (since == NULL) {
		since = g_new(usec_t, 1);
		*since = now;
		g_hash_table_insert(
		    quorum->delisted_since, g_memdup2(&id, sizeof(id)), since);
	}
	return now >= *since + quorum->state_lifetime;
}
