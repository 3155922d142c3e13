/* Searches and changes sets of prompt segments. */
#include "godwitvale/core/segment_set.h"

/// Checks whether a set has a segment.
bool
segment_set_has(const struct segment_set *set, uint64_t segment)
{
	for (unsigned i = 0; i < set->n; i++)
		if (set->ids[i] == segment)
			return true;
	return false;
}

/// Checks whether a set has all segments of another one.
bool
segment_set_contains(
    const struct segment_set *set, const struct segment_set *other)
{
	for (unsigned i = 0; i < other->n; i++)
		if (!segment_set_has(set, other->ids[i]))
			return false;
	return true;
}

/// Builds a set from a list; drops repeated segments and those beyond
/// QUARANTINE_SEGMENTS_MAX.
struct segment_set
segment_set_from_list(const uint64_t *segments, unsigned n_segments)
{
	struct segment_set set = {.n = 0};

	for (unsigned i = 0; i < n_segments && set.n < QUARANTINE_SEGMENTS_MAX;
	     i++)
		if (!segment_set_has(&set, segments[i]))
			set.ids[set.n++] = segments[i];
	return set;
}

/// Removes the segment at an index; the order of the others may change.
void
segment_set_remove_at(struct segment_set *set, unsigned i)
{
	set->ids[i] = set->ids[--set->n];
}
