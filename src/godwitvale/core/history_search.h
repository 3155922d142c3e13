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
};

uint64_t history_search_next(const struct history_search *search);
void history_search_note(
    struct history_search *search, uint64_t revision, bool is_kept);

#endif
