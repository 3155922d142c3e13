/* Counts the places of an upstream that belong to one instance. */
#include "godwitvale/core/place_share.h"

#include <glib.h>

/// @param share  the upstream and this instance
/// @return number of places that belong to this instance; the places of all
///         instances with the same view of the fleet add up to the capacity
unsigned
place_share_count_own(const struct place_share *share)
{
	unsigned n = share->n_instances;
	unsigned first = (unsigned)(share->upstream % n);
	unsigned distance = (share->position + n - first) % n;

	return share->capacity / n + (distance < share->capacity % n);
}

/// Checks whether this instance may send one more request to an upstream.
///
/// @param share  the upstream and this instance
/// @return whether there is room for it, most likely, whatever other instances
///         do meanwhile
bool
place_share_allows(const struct place_share *share)
{
	if (share->own_requests < place_share_count_own(share))
		return true;
	return share->all_requests == 0;
}
