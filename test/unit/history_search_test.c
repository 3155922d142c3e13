/* Unit tests of the search for the oldest revision of the store's history. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "godwitvale/core/history_search.h"
#include "godwitvale/core/store_revision.h"

#define ERA 3
#define WATCHED_MAX 40

/// Searches a history that goes back to a revision.
///
/// @return number of calls to the store
static unsigned
search_all(
    struct history_search *search, uint64_t watched_from, uint64_t oldest)
{
	unsigned n_calls = 0;
	uint64_t next;

	history_search_begin(search, watched_from);
	while ((next = history_search_next(search)) != 0) {
		if (next >= oldest)
			history_search_note_kept(search, next, watched_from);
		else
			history_search_note_lost(search, next);
		n_calls++;
	}
	return n_calls;
}

/// Each history is found, with a number of calls that is logarithmic.
static void
oldest_revision_is_found(void **state)
{
	(void)state;
	for (uint64_t from = 1; from <= WATCHED_MAX; from++)
		for (uint64_t oldest = 1; oldest <= from; oldest++) {
			struct history_search search;
			uint64_t watched_from = store_revision_make(ERA, from);

			assert_in_range(
			    search_all(&search, watched_from, oldest), 0, 6);
			assert_int_equal(search.kept, oldest);
			assert_true(
			    history_search_reaches(&search, watched_from));
		}
}

/// The watch was interrupted after the store's last answer. The search counted
/// as joined to the new watch, so that a version that came and went in between
/// was in neither (ORDER).
static void
watch_is_interrupted_before_the_search_ends(void **state)
{
	uint64_t first = store_revision_make(ERA, 20);
	uint64_t second = store_revision_make(ERA, 30);
	struct history_search search;

	(void)state;
	history_search_begin(&search, first);
	history_search_note_kept(&search, 10, first);
	history_search_note_lost(&search, 5);
	assert_false(history_search_reaches(&search, second));
	history_search_note_lost(&search, 9);
	assert_int_equal(history_search_next(&search), 0);
	assert_false(history_search_reaches(&search, second));
	/* A later answer reaches the new watch. */
	history_search_note_kept(&search, 10, second);
	assert_true(history_search_reaches(&search, second));
	assert_false(history_search_reaches(&search, first));
}

/// A search that has failed is joined to no watch, nor to that of no upstreams.
static void
nothing_was_asked(void **state)
{
	struct history_search search = {0};

	(void)state;
	assert_false(history_search_reaches(&search, 0));
	assert_false(history_search_reaches(&search, 1));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(oldest_revision_is_found),
	    cmocka_unit_test(watch_is_interrupted_before_the_search_ends),
	    cmocka_unit_test(nothing_was_asked),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
