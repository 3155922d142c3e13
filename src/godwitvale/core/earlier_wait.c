/* Compares the time that a caller waits with what others on the route do. */
#include "godwitvale/core/earlier_wait.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "godwitvale/core/hash.h"

/// Number of the last requests of a group of callers that are compared, and the
/// number from which on that makes sense.
#define WAITS_SAMPLES 16
#define WAITS_SAMPLES_MIN 4
/// Part of the sorted times below that of a first attempt: most requests are
/// first attempts, and single ones may name any time.
#define WAITS_TYPICAL_PART 0.7
/// Largest number of groups that are known; all are forgotten beyond it.
#define WAITS_GROUPS_MAX 4096

/// The last times that callers have named, of one route or of one organisation
/// on a route.
struct group_waits {
	usec_t timeouts[WAITS_SAMPLES];
	unsigned n; /// in all
};

struct earlier_waits {
	GHashTable *groups; /// hash of the names -> struct group_waits *
};

/// Creates an empty table.
///
/// @return the table; free with earlier_waits_free()
struct earlier_waits *
earlier_waits_new(void)
{
	struct earlier_waits *waits = g_new0(struct earlier_waits, 1);

	waits->groups =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	return waits;
}

/// Frees a table.
///
/// @param waits  not NULL
void
earlier_waits_free(struct earlier_waits *waits)
{
	g_hash_table_unref(waits->groups);
	g_free(waits);
}

/// Returns what is known of a group; adds it if it isn't known.
static struct group_waits *
get_group(struct earlier_waits *waits, uint64_t key)
{
	struct group_waits *group = g_hash_table_lookup(waits->groups, &key);

	if (group != NULL)
		return group;
	if (g_hash_table_size(waits->groups) >= WAITS_GROUPS_MAX)
		g_hash_table_remove_all(waits->groups);
	group = g_new0(struct group_waits, 1);
	g_hash_table_insert(waits->groups, g_memdup2(&key, sizeof(key)), group);
	return group;
}

/// Compares two times, for qsort().
static int
compare_times(const void *left, const void *right)
{
	usec_t a = *(const usec_t *)left;
	usec_t b = *(const usec_t *)right;

	return a < b ? -1 : a > b;
}

/// Notes a time that a caller of a group names.
///
/// @return the time that a first attempt waits; 0: not known yet
static usec_t
note_time(struct group_waits *group, usec_t timeout)
{
	usec_t sorted[WAITS_SAMPLES];
	unsigned n;

	group->timeouts[group->n % WAITS_SAMPLES] = timeout;
	group->n++;
	n = MIN(group->n, WAITS_SAMPLES);
	if (n < WAITS_SAMPLES_MIN)
		return 0;
	memcpy(sorted, group->timeouts, n * sizeof(sorted[0]));
	qsort(sorted, n, sizeof(sorted[0]), compare_times);
	return sorted[(unsigned)(WAITS_TYPICAL_PART * n)];
}

/// Notes the time that the caller of a request waits. Callers of the same
/// organisation are compared, or those of the whole route while too few of the
/// organisation are known.
///
/// @param waits         table to update
/// @param route         hash of the route's name
/// @param organisation  hash of the organisation's name; 0: none
/// @param timeout       time that the caller waits from now on; 0: not given
/// @return estimated time that it has waited for earlier attempts; 0: none
usec_t
earlier_waits_note(struct earlier_waits *waits, uint64_t route,
    uint64_t organisation, usec_t timeout)
{
	usec_t of_route;
	usec_t of_organisation;

	if (timeout <= 0)
		return 0;
	of_route = note_time(get_group(waits, route), timeout);
	of_organisation = note_time(
	    get_group(waits, hash_pair(route, organisation)), timeout);
	return MAX(
	    (of_organisation > 0 ? of_organisation : of_route) - timeout, 0);
}
