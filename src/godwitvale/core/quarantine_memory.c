/* Decides which crashes are remembered. */
#include <string.h>

#include "godwitvale/core/quarantine_private.h"

/// Removes the crash at an index. The others keep their order.
static void
remove_crash(struct quarantine *quarantine, size_t i)
{
	quarantine->n_crashes--;
	memmove(&quarantine->crashes[i], &quarantine->crashes[i + 1],
	    (quarantine->n_crashes - i) * sizeof(quarantine->crashes[0]));
}

/// Checks whether another request whose answer hadn't begun had waited longer
/// in the same crash.
bool
quarantine_has_waited_less(
    const struct quarantine *quarantine, const struct quarantine_crash *early)
{
	for (size_t i = 0; i < quarantine->n_crashes; i++) {
		const struct quarantine_crash *crash = &quarantine->crashes[i];

		if (crash->is_early && quarantine_is_same_crash(crash, early) &&
		    crash->span >= early->span)
			return true;
	}
	return false;
}

/// Removes the reports of requests whose answer hadn't begun in the same crash.
void
quarantine_remove_early(
    struct quarantine *quarantine, const struct quarantine_crash *crash)
{
	for (size_t i = 0; i < quarantine->n_crashes;)
		if (quarantine->crashes[i].is_early &&
		    quarantine_is_same_crash(&quarantine->crashes[i], crash))
			remove_crash(quarantine, i);
		else
			i++;
}

/// Checks whether all segments of a crash were answered since.
bool
quarantine_is_refuted(
    const struct quarantine *quarantine, const struct quarantine_crash *crash)
{
	struct segment_set suspects = crash->segments;

	quarantine_remove_safe(quarantine, &suspects, crash->at);
	return suspects.n == 0;
}

/// Finds the oldest crash of a kind; there is one.
static size_t
find_oldest(const struct quarantine *quarantine, bool is_early)
{
	size_t i = 0;

	while (quarantine->crashes[i].is_early != is_early)
		i++;
	return i;
}

/// Forgets a crash if there is no room for another one: the oldest, but refuted
/// evidence first, and then of the kind that fills more than half of the
/// memory. Reports of many harmless answers under way would displace all early
/// crashes otherwise, of which there is one report each.
void
quarantine_make_room(struct quarantine *quarantine)
{
	size_t n_early = 0;
	size_t oldest;

	if (quarantine->n_crashes < QUARANTINE_CRASHES_MAX)
		return;
	for (size_t i = 0; i < quarantine->n_crashes; i++)
		n_early += quarantine->crashes[i].is_early;
	oldest = find_oldest(quarantine, n_early > QUARANTINE_CRASHES_MAX / 2);
	for (size_t i = quarantine->n_crashes; i > 0; i--)
		if (quarantine_is_refuted(
			quarantine, &quarantine->crashes[i - 1]))
			oldest = i - 1;
	remove_crash(quarantine, oldest);
}

/// Checks whether a crash is older than all that are remembered, and there is
/// no room for it.
bool
quarantine_is_beyond_memory(
    const struct quarantine *quarantine, const struct quarantine_crash *crash)
{
	return quarantine->n_crashes == QUARANTINE_CRASHES_MAX &&
	    crash->at < quarantine->crashes[0].at;
}
