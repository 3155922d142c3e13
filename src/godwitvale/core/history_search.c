/* Searches the oldest revision in the store's history. */
#include "godwitvale/core/history_search.h"

#include "godwitvale/core/store_revision.h"

/// Begins a search.
///
/// @param search        set
/// @param watched_from  revision at which the present watch began
void
history_search_begin(struct history_search *search, uint64_t watched_from)
{
	*search = (struct history_search){
	    .kept = store_revision_number(watched_from),
	    .watched_from = watched_from,
	};
}

/// @param search  a search
/// @return the revision to ask the store for next; 0: `kept` is the oldest one
uint64_t
history_search_next(const struct history_search *search)
{
	return search->kept <= search->lost + 1
	    ? 0
	    : search->lost + (search->kept - search->lost) / 2;
}

/// Notes that the store has told what follows a revision.
///
/// @param search        changed
/// @param revision      number of the revision that it was asked for
/// @param watched_from  where the present watch began, which the answer reaches
void
history_search_note_kept(
    struct history_search *search, uint64_t revision, uint64_t watched_from)
{
	search->kept = revision;
	search->watched_from = watched_from;
}

/// Notes that the store's history doesn't go back to a revision.
///
/// @param search    changed
/// @param revision  number of the revision that it was asked for
void
history_search_note_lost(struct history_search *search, uint64_t revision)
{
	search->lost = revision;
}

/// Checks whether the search and a watch together leave nothing out. A watch
/// that was interrupted since the store's last answer begins later, and what
/// changed in between is in neither.
///
/// @param search        a search
/// @param watched_from  where the present watch began
/// @return whether the watch goes on from what the store has told
bool
history_search_reaches(
    const struct history_search *search, uint64_t watched_from)
{
	return search->watched_from != 0 &&
	    search->watched_from == watched_from;
}
