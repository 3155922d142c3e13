/* Chooses the hub of this instance. */
#include "godwitvale/core/hub_choice.h"

#include "godwitvale/core/hash.h"

/// Mixed into the hashes by which members are ranked as hubs.
#define RANK_SEED 0x6875622d72616e6bULL
/// Missed heartbeats after which a member counts as silent in the judgement of
/// a hub's reach.
#define SILENT_HEARTBEATS 3

/// A member that may serve as a hub.
struct candidate {
	uint64_t name_hash;
	uint64_t rank;
	bool has_fast_link;
};

/// Checks whether a hub has failed recently.
static bool
has_failed(const struct hub_choice *choice, uint64_t name_hash, usec_t now)
{
	for (size_t i = 0; i < HUB_FAILED_MAX; i++)
		if (choice->failed[i].name_hash == name_hash &&
		    now < choice->failed[i].until)
			return true;
	return false;
}

/// Appends a candidate.
static void
append_candidate(GArray *candidates, uint64_t name_hash, uint64_t link_mbps)
{
	const struct candidate candidate = {
	    .name_hash = name_hash,
	    .rank = hash_pair(RANK_SEED, name_hash),
	    .has_fast_link = link_mbps >= HUB_FAST_LINK_MBPS,
	};

	g_array_append_val(candidates, candidate);
}

/// Checks whether a member may serve as a hub of a zone.
static bool
can_serve(const struct member *member, uint64_t zone)
{
	return member->zone == zone && !member->leaving &&
	    (member->features & MEMBER_FEATURE_HUBS) != 0;
}

/// Lists the instances of this zone that may serve as hubs.
static GArray *
list_candidates(const struct hub_choice *choice,
    const struct membership *membership, const struct hub_self *self,
    usec_t now)
{
	GArray *candidates =
	    g_array_new(false, false, sizeof(struct candidate));
	GPtrArray *members = membership_list(membership);

	for (guint i = 0; i < members->len; i++) {
		const struct member *member = members->pdata[i];

		if (can_serve(member, self->zone) &&
		    !has_failed(choice, member->name_hash, now))
			append_candidate(
			    candidates, member->name_hash, member->link_mbps);
	}
	if (!self->leaving)
		append_candidate(candidates, self->name_hash, self->link_mbps);
	g_ptr_array_unref(members);
	return candidates;
}

/// Orders candidates: fast links first, then by rank.
static gint
compare_candidates(gconstpointer left, gconstpointer right)
{
	const struct candidate *first = left;
	const struct candidate *second = right;

	if (first->has_fast_link != second->has_fast_link)
		return first->has_fast_link ? -1 : 1;
	if (first->rank == second->rank)
		return 0;
	return first->rank > second->rank ? -1 : 1;
}

/// Picks this instance's hub among the first candidates, by rendezvous hash.
///
/// @return hash of its name; 0 if there are no candidates
static uint64_t
pick_hub(GArray *candidates, uint64_t own_hash)
{
	guint n_hubs =
	    (candidates->len + HUB_SUBSCRIBERS - 1) / HUB_SUBSCRIBERS;
	uint64_t picked = 0;
	uint64_t highest = 0;

	g_array_sort(candidates, compare_candidates);
	for (guint i = 0; i < n_hubs; i++) {
		const struct candidate *candidate =
		    &g_array_index(candidates, struct candidate, i);
		uint64_t score = hash_pair(candidate->name_hash, own_hash);

		if (candidate->name_hash == own_hash)
			return own_hash;
		if (picked == 0 || score > highest) {
			picked = candidate->name_hash;
			highest = score;
		}
	}
	return picked;
}

/// Remembers that the current hub has failed.
static void
note_failed(struct hub_choice *choice, usec_t now)
{
	choice->failed[choice->n_failures % HUB_FAILED_MAX] =
	    (struct hub_failed){choice->hub, now + HUB_FAILED_SPAN};
	choice->n_failures++;
}

/// Checks whether most members are silent, although the hub is heard. The
/// answer is given once in HUB_FAILED_SPAN, as it may not be the hub's fault.
static bool
is_cut_off(
    struct hub_choice *choice, const struct membership *membership, usec_t now)
{
	unsigned n_members = membership_size(membership) - 1;

	if (now < choice->rejudged_at ||
	    2 * membership_count_silent(membership, now, SILENT_HEARTBEATS) <=
		n_members)
		return false;
	choice->rejudged_at = now + HUB_FAILED_SPAN;
	return true;
}

/// Checks whether the current hub can be used on.
static enum hub_change
judge_hub(struct hub_choice *choice, const struct membership *membership,
    const struct hub_self *self, usec_t now)
{
	if (choice->hub == 0 || choice->hub == self->name_hash)
		return HUB_KEPT;
	if (now >= choice->silent_at)
		return HUB_SILENT;
	return is_cut_off(choice, membership, now) ? HUB_CUT_OFF : HUB_KEPT;
}

/// Chooses the hub anew. An instance that is a hub of others is its own.
///
/// @param choice      updated
/// @param membership  the other instances
/// @param self        this instance
/// @param now         current time
/// @return whether the hub has changed, and why
enum hub_change
hub_choice_update(struct hub_choice *choice,
    const struct membership *membership, const struct hub_self *self,
    usec_t now)
{
	enum hub_change reason = judge_hub(choice, membership, self, now);
	uint64_t hub = self->name_hash;

	if (reason != HUB_KEPT)
		note_failed(choice, now);
	if (!self->has_subscribers) {
		GArray *candidates =
		    list_candidates(choice, membership, self, now);

		hub = pick_hub(candidates, self->name_hash);
		g_array_unref(candidates);
	}
	if (hub == 0)
		hub = self->name_hash;
	if (hub == choice->hub)
		return HUB_KEPT;
	choice->hub = hub;
	choice->silent_at = now + HUB_SILENCE_MAX;
	return reason == HUB_KEPT ? HUB_CHOSEN : reason;
}

/// Notes that a hub has sent something.
///
/// @param choice     updated if it is the chosen one
/// @param name_hash  hash of the hub's name
/// @param now        current time
void
hub_choice_note_heard(struct hub_choice *choice, uint64_t name_hash, usec_t now)
{
	if (name_hash == choice->hub)
		choice->silent_at = now + HUB_SILENCE_MAX;
}
