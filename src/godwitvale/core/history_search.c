/* Searches the oldest revision in the store's history. */
#include "godwitvale/core/history_search.h"

/// @param search  a search
/// @return the revision to ask the store for next; 0: `kept` is the oldest one
uint64_t
history_search_next(const struct history_search *search)
{
	return search->kept <= search->lost + 1
	    ? 0
	    : search->lost + (search->kept - search->lost) / 2;
}

/// Notes what the store has answered.
///
/// @param search    changed
/// @param revision  revision that it was asked for
/// @param is_kept   whether its history goes back to it
void
history_search_note(
    struct history_search *search, uint64_t revision, bool is_kept)
{
	if (is_kept)
		search->kept = revision;
	else
		search->lost = revision;
}
