/* Views of the membership list and the voters that follow from them. */
#include "godwitvale/core/quorum_private.h"

#include <string.h>

#include "godwitvale/core/hash.h"

/// A member as a candidate for voter.
struct candidate {
	uint64_t score;
	node_id id;
	uint32_t zone;
	unsigned zone_rank; /// members of its zone that score higher
};

/// Copies a view.
///
/// @param to    cleared first
/// @param from  the view
void
quorum_view_copy(struct view *to, const struct view *from)
{
	quorum_view_clear(to);
	*to = *from;
	to->members =
	    g_memdup2(from->members, from->n_members * sizeof(*from->members));
}

/// Frees what a view holds.
///
/// @param view  may be all zero
void
quorum_view_clear(struct view *view)
{
	g_free(view->members);
	memset(view, 0, sizeof(*view));
}

/// Tells whether an instance is listed.
///
/// @param view  the view
/// @param id    the instance
/// @return true where it is
bool
quorum_view_has(const struct view *view, node_id id)
{
	for (size_t i = 0; i < view->n_members; i++) {
		if (view->members[i].id == id)
			return true;
	}
	return false;
}

/// Orders candidates by score, highest first.
///
/// @param left   a struct candidate
/// @param right  a struct candidate
/// @return as qsort() wants it
static int
compare_scores(const void *left, const void *right)
{
	const struct candidate *a = left, *b = right;

	if (a->score != b->score)
		return a->score < b->score ? 1 : -1;
	return (a->id > b->id) - (a->id < b->id);
}

/// Orders candidates by their rank in their zone, then by score.
///
/// @param left   a struct candidate
/// @param right  a struct candidate
/// @return as qsort() wants it
static int
compare_ranks(const void *left, const void *right)
{
	const struct candidate *a = left, *b = right;

	if (a->zone_rank != b->zone_rank)
		return a->zone_rank > b->zone_rank ? 1 : -1;
	return compare_scores(left, right);
}

/// Lists the members that may vote for a shard, best first.
///
/// @param view        the view
/// @param shard       the shard
/// @param leaving     take the leaving members too
/// @param candidates  room for view->n_members
/// @return how many there are
static size_t
rank_members(const struct view *view, uint32_t shard, bool leaving,
    struct candidate *candidates)
{
	GHashTable *ranks = g_hash_table_new(NULL, NULL);
	size_t n = 0;

	for (size_t i = 0; i < view->n_members; i++) {
		const struct view_member *member = &view->members[i];

		if (member->leaving && !leaving)
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
		    GPOINTER_TO_UINT(g_hash_table_lookup(ranks, zone));

		candidates[i].zone_rank = rank;
		g_hash_table_insert(ranks, zone, GUINT_TO_POINTER(rank + 1));
	}
	g_hash_table_destroy(ranks);
	qsort(candidates, n, sizeof(*candidates), compare_ranks);
	return n;
}

/// Works out the voters of a shard: by rendezvous hash, the best of each zone
/// in turn. Leaving members are taken only where the others are too few for
/// three voters. The number is odd, as an even one tolerates no more losses.
///
/// @param quorum  for the number of voters
/// @param view    the view; revision 0 gives no voters
/// @param shard   the shard
/// @param config  filled in
void
quorum_config_make(const struct quorum *quorum, const struct view *view,
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

/// Works out whom a claim asks. The naive variants ask one instance only.
///
/// @param quorum  the claimant
/// @param key     the key
/// @param config  filled in
void
quorum_config_for_claim(const struct quorum *quorum,
    const struct quorum_key *key, struct quorum_config *config)
{
	*config = quorum_key_shard(quorum, key)->config;
	if (quorum_is_naive(quorum, QUORUM_NAIVE_LOCAL)) {
		config->n_voters = 1;
		config->voters[0] = quorum->options.self;
	}
	if (quorum_is_naive(quorum, QUORUM_NAIVE_OWNER))
		config->n_voters = MIN(config->n_voters, 1);
}

/// Finds an instance among the voters.
///
/// @param config  the voters
/// @param id      the instance
/// @return its index, or -1
int
quorum_config_index(const struct quorum_config *config, node_id id)
{
	for (unsigned i = 0; i < config->n_voters; i++) {
		if (config->voters[i] == id)
			return (int)i;
	}
	return -1;
}

/// Tells how many voters are a majority.
///
/// @param config  the voters
/// @return their number; 1 where there are none, so that none suffice
unsigned
quorum_majority(const struct quorum_config *config)
{
	return config->n_voters / 2 + 1;
}

/// Notes since when instances are no longer listed, after a view change.
///
/// @param quorum  with the previous and the current view
/// @param now     current time
void
quorum_note_delisted(struct quorum *quorum, usec_t now)
{
	for (size_t i = 0; i < quorum->previous.n_members; i++)
		quorum_is_gone(quorum, now, quorum->previous.members[i].id);
	for (size_t i = 0; i < quorum->view.n_members; i++)
		g_hash_table_remove(
		    quorum->delisted, &quorum->view.members[i].id);
}

/// Tells whether an instance has been off the list for so long that what it
/// remembered is of no account. Starts counting where it has not yet.
///
/// @param quorum  the instance's part
/// @param now     current time
/// @param id      the instance asked about
/// @return true where it has
bool
quorum_is_gone(struct quorum *quorum, usec_t now, node_id id)
{
	usec_t *since;

	if (quorum_view_has(&quorum->view, id))
		return false;
	since = g_hash_table_lookup(quorum->delisted, &id);
	if (since == NULL) {
		since = g_new(usec_t, 1);
		*since = now;
		g_hash_table_insert(
		    quorum->delisted, g_memdup2(&id, sizeof(id)), since);
	}
	return now >= *since + quorum->lost_span;
}
