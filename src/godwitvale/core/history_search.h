/*
 * Searches the oldest revision that the store's history goes back to, by
 * bisection. Whether it goes back to a revision is all that the store tells.
 */
#ifndef GODWITVALE_CORE_HISTORY_SEARCH_H
#define GODWITVALE_CORE_HISTORY_SEARCH_H

#include <stdbool.h>
#include <stdint.h>

/// A search. Both bounds are numbers of revisions.
struct history_search {
	uint64_t lost; /// the history doesn't go back to it
	uint64_t kept; /// the history goes back to it
	/// revision at which the watch began that goes on from what the store
	/// has told; 0: nothing was asked
	uint64_t watched_from;
};

void history_search_begin(struct history_search *search, uint64_t watched_from);
uint64_t history_search_next(const struct history_search *search);
void history_search_note_kept(
    struct history_search *search, uint64_t revision, uint64_t watched_from);
void history_search_note_lost(struct history_search *search, uint64_t revision);
bool history_search_reaches(
    const struct history_search *search, uint64_t watched_from);

#endif
