/* Judges statements of instances on the versions of a service. */
#include "godwitvale/core/version_witness.h"

#include "godwitvale/core/store_revision.h"

/// Checks whether two instances together know all upstreams that were
/// registered at a time or later: the other has watched since then, and this
/// one has since a revision that the other knows.
///
/// @param own    statement of this instance
/// @param other  statement of another one, or `own`
/// @param since  the time
/// @return false if upstreams may have come and gone unseen
bool
version_witness_covers(const struct version_witness *own,
    const struct version_witness *other, usec_t since)
{
	if (own->watched_since <= since)
		return true;
	return other->watched_since <= since &&
	    own->watched_since != USEC_NEVER &&
	    store_revision_era(own->watched_from) ==
	    store_revision_era(other->revision) &&
	    own->watched_from <= other->revision;
}

/// @param other    statement of another instance
/// @param version  version that may be a service's only one
/// @return whether the other instance knows that the service has had another
bool
version_witness_contradicts(
    const struct version_witness *other, uint64_t version)
{
	return other->has_several ||
	    (other->only_version != 0 && other->only_version != version);
}
