/* Weighs the crashes that count against prompt segments. */
#include <glib.h>

#include "godwitvale/core/quarantine_private.h"
#include "godwitvale/core/recent_times.h"

/// Crashes of different engines, all after an answer had begun, that suffice
/// against a segment no engine has answered, if no other segment explains them
/// as well.
#define QUARANTINE_CRASHES_UNKNOWN 2
/// The same if another segment was at them, or if some of them came before an
/// answer had begun: requests that only waited there may have segments in
/// common, too.
#define QUARANTINE_CRASHES_UNKNOWN_EARLY 3
/// Crashes that suffice while no answer is known at all, unless
/// QUARANTINE_CRASHES_UNKNOWN applies: a segment can't be told from one that
/// all requests share.
#define QUARANTINE_CRASHES_BEFORE_ANSWERS 6
/// Crashes of different engines that count against a segment that was safe
/// before.
#define QUARANTINE_CRASHES_KNOWN 4
/// Crashes that suffice even if they are all of one engine, or if another
/// segment explains them as well.
#define QUARANTINE_CRASHES_ANY 4
/// Crashes closer to each other count as one: when a machine or a zone fails,
/// many engines end at the same moment.
#define QUARANTINE_CRASH_SPACING (250 * USEC_PER_MSEC)
/// Reports on one engine that are closer to each other are of the same crash:
/// times that other instances report are late by the transit of their messages.
/// A crashed engine isn't back within this time.
#define QUARANTINE_SAME_SPAN (500 * USEC_PER_MSEC)
/// Time in which the reports of other instances arrive on the same crash.
#define QUARANTINE_REPORT_SPAN (100 * USEC_PER_MSEC)

/// Checks whether a rule that doesn't name a segment explains a crash. Such
/// a crash isn't evidence against that segment.
static bool
is_explained_otherwise(const struct quarantine *quarantine,
    const struct quarantine_crash *crash, uint64_t segment)
{
	for (size_t i = 0; i < quarantine->n_rules; i++) {
		const struct segment_set *named =
		    &quarantine->rules[i].segments;

		if (segment_set_contains(&crash->segments, named) &&
		    !segment_set_has(named, segment))
			return true;
	}
	return false;
}

/// Checks whether a segment that no engine has answered is in a crash and in
/// another one as well.
static bool
has_recurring_unknown(
    const struct quarantine *quarantine, const struct quarantine_crash *crash)
{
	for (unsigned s = 0; s < crash->segments.n; s++) {
		uint64_t segment = crash->segments.ids[s];

		if (recent_times_get(quarantine->safe, segment) != 0)
			continue;
		for (size_t i = 0; i < quarantine->n_crashes; i++)
			if (&quarantine->crashes[i] != crash &&
			    segment_set_has(
				&quarantine->crashes[i].segments, segment))
				return true;
	}
	return false;
}

/// Checks whether two reports are of the same crash of an engine.
bool
quarantine_is_same_crash(
    const struct quarantine_crash *a, const struct quarantine_crash *b)
{
	return a->upstream == b->upstream &&
	    ABS(a->at - b->at) < QUARANTINE_SAME_SPAN;
}

/// Checks whether a crash is reported before a place in the list, under a
/// request with a segment.
static bool
is_counted_before(
    const struct quarantine *quarantine, size_t place, uint64_t segment)
{
	const struct quarantine_crash *crash = &quarantine->crashes[place];

	for (size_t i = 0; i < place; i++)
		if (quarantine_is_same_crash(&quarantine->crashes[i], crash) &&
		    segment_set_has(&quarantine->crashes[i].segments, segment))
			return true;
	return false;
}

/// Counts the crashes with a segment since it was last answered. Reports of
/// several requests in one crash count once.
unsigned
quarantine_count_crashes(const struct quarantine *quarantine, uint64_t segment)
{
	usec_t safe_at = recent_times_get(quarantine->safe, segment);
	unsigned n = 0;

	for (size_t i = 0; i < quarantine->n_crashes; i++)
		n += quarantine->crashes[i].at > safe_at &&
		    segment_set_has(
			&quarantine->crashes[i].segments, segment) &&
		    !is_counted_before(quarantine, i, segment);
	return n;
}

/// Checks whether a request whose answer had begun explains a crash better than
/// a segment of one whose answer hadn't: it has another segment that recurs in
/// as many crashes. A request that was there by chance has none.
static bool
is_explained_by_begun(const struct quarantine *quarantine,
    const struct quarantine_crash *early, uint64_t segment)
{
	/* The last report of the other segment may be under way. */
	unsigned n_required =
	    MAX(3, quarantine_count_crashes(quarantine, segment)) - 1;

	for (size_t i = 0; i < quarantine->n_crashes; i++) {
		const struct quarantine_crash *crash = &quarantine->crashes[i];

		if (crash->is_early || !quarantine_is_same_crash(crash, early))
			continue;
		for (unsigned s = 0; s < crash->segments.n; s++)
			if (crash->segments.ids[s] != segment &&
			    quarantine_count_crashes(quarantine,
				crash->segments.ids[s]) >= n_required)
				return true;
	}
	return false;
}

/// Adds a crash to a tally, unless it was too close to the one before. Of two
/// that are, the one whose answer had begun counts.
static void
add_to_tally(struct crash_tally *tally, const struct quarantine_crash *crash)
{
	if (tally->n > 0 &&
	    crash->at <
		tally->crashes[tally->n - 1]->at + QUARANTINE_CRASH_SPACING) {
		if (tally->crashes[tally->n - 1]->is_early)
			tally->crashes[tally->n - 1] = crash;
		return;
	}
	tally->crashes[tally->n++] = crash;
}

/// Counts the different engines that crashed.
///
/// @param begun_only  leaves out crashes before an answer had begun
static size_t
count_upstreams(const struct crash_tally *tally, bool begun_only)
{
	size_t n = 0;

	for (size_t i = 0; i < tally->n; i++) {
		bool counts = !begun_only || !tally->crashes[i]->is_early;

		for (size_t k = 0; counts && k < i; k++)
			counts = tally->crashes[k]->upstream !=
				tally->crashes[i]->upstream ||
			    (begun_only && tally->crashes[k]->is_early);
		n += counts;
	}
	return n;
}

/// Lists the crashes that count against a segment: those since it was last
/// answered that no other rule explains. Against one that was answered before,
/// crashes don't count that a segment which never was may explain.
struct crash_tally
quarantine_tally_crashes(const struct quarantine *quarantine, uint64_t segment)
{
	struct crash_tally tally = {.n = 0};
	usec_t safe_at = recent_times_get(quarantine->safe, segment);

	for (size_t i = 0; i < quarantine->n_crashes; i++) {
		const struct quarantine_crash *crash = &quarantine->crashes[i];

		if (crash->at > safe_at &&
		    segment_set_has(&crash->segments, segment) &&
		    !is_explained_otherwise(quarantine, crash, segment) &&
		    (safe_at == 0 ||
			!has_recurring_unknown(quarantine, crash)) &&
		    !(crash->is_early &&
			is_explained_by_begun(quarantine, crash, segment)))
			add_to_tally(&tally, crash);
	}
	return tally;
}

/// Checks whether a segment was at a crash, in a request without another
/// segment, and wasn't answered since.
static bool
was_beside(const struct quarantine *quarantine,
    const struct quarantine_crash *crash, uint64_t beside, uint64_t segment)
{
	if (recent_times_get(quarantine->safe, beside) > crash->at)
		return false;
	for (size_t i = 0; i < quarantine->n_crashes; i++) {
		const struct quarantine_crash *other = &quarantine->crashes[i];

		if (quarantine_is_same_crash(other, crash) &&
		    segment_set_has(&other->segments, beside) &&
		    !segment_set_has(&other->segments, segment))
			return true;
	}
	return false;
}

/// Checks whether another segment was at the first `n_first` crashes of a
/// tally, in requests without the segment that the tally is of: either may be
/// the cause.
static bool
has_rival(const struct quarantine *quarantine, const struct crash_tally *tally,
    size_t n_first, uint64_t segment)
{
	for (size_t i = 0; i < quarantine->n_crashes; i++) {
		const struct segment_set *set =
		    &quarantine->crashes[i].segments;

		for (unsigned s = 0; s < set->n; s++) {
			size_t n = 0;

			while (n < n_first &&
			    was_beside(quarantine, tally->crashes[n],
				set->ids[s], segment))
				n++;
			if (n == n_first && set->ids[s] != segment)
				return true;
		}
	}
	return false;
}

/// Checks whether a segment was at a crash together with another one.
static bool
was_together(const struct quarantine *quarantine,
    const struct quarantine_crash *crash, uint64_t one, uint64_t other)
{
	for (size_t i = 0; i < quarantine->n_crashes; i++) {
		const struct segment_set *set =
		    &quarantine->crashes[i].segments;

		if (quarantine_is_same_crash(&quarantine->crashes[i], crash) &&
		    segment_set_has(set, one) && segment_set_has(set, other))
			return true;
	}
	return false;
}

/// Checks whether a narrower segment was at the first `n_first` crashes of a
/// tally: one that comes with the segment that the tally is of, which is in
/// requests without it, too.
static bool
has_narrower(const struct quarantine *quarantine,
    const struct crash_tally *tally, size_t n_first, uint64_t segment,
    uint64_t narrower)
{
	bool is_apart = false;

	for (size_t i = 0; i < n_first; i++)
		if (recent_times_get(quarantine->safe, narrower) >
			tally->crashes[i]->at ||
		    !was_together(
			quarantine, tally->crashes[i], segment, narrower))
			return false;
	for (size_t i = 0; i < tally->n; i++)
		is_apart = is_apart ||
		    was_beside(
			quarantine, tally->crashes[i], segment, narrower);
	return is_apart;
}

/// Checks whether a narrower segment explains the first crashes of a tally.
static bool
is_too_broad(const struct quarantine *quarantine,
    const struct crash_tally *tally, size_t n_first, uint64_t segment)
{
	for (size_t i = 0; i < quarantine->n_crashes; i++) {
		const struct segment_set *set =
		    &quarantine->crashes[i].segments;

		for (unsigned s = 0; s < set->n; s++)
			if (set->ids[s] != segment &&
			    has_narrower(quarantine, tally, n_first, segment,
				set->ids[s]))
				return true;
	}
	return false;
}

/// Checks whether another segment explains the first crashes of a tally as well
/// or better.
static bool
is_matched(const struct quarantine *quarantine, const struct crash_tally *tally,
    size_t n_first, uint64_t segment)
{
	return has_rival(quarantine, tally, n_first, segment) ||
	    is_too_broad(quarantine, tally, n_first, segment);
}

/// Checks whether a rule names a segment.
static bool
is_named(const struct quarantine *quarantine, uint64_t segment)
{
	for (size_t i = 0; i < quarantine->n_rules; i++)
		if (segment_set_has(&quarantine->rules[i].segments, segment))
			return true;
	return false;
}

/// Counts the crashes of a tally that another segment must have been at to
/// explain them. The report that it was at the last one may be under way; the
/// crashes are weighed again later then.
static size_t
count_reported(struct quarantine *quarantine, usec_t now,
    const struct crash_tally *tally, uint64_t segment)
{
	usec_t reported_at =
	    tally->crashes[tally->n - 1]->at + QUARANTINE_REPORT_SPAN;

	if (now >= reported_at || is_named(quarantine, segment))
		return tally->n;
	quarantine->review_at = reported_at;
	return tally->n - 1;
}

/// Checks whether the crashes suffice to count against a segment.
bool
quarantine_is_sufficient(struct quarantine *quarantine, usec_t now,
    const struct crash_tally *tally, uint64_t segment)
{
	size_t n_upstreams = count_upstreams(tally, false);
	size_t n_reported;

	if (recent_times_get(quarantine->safe, segment) != 0) {
		if (n_upstreams < QUARANTINE_CRASHES_KNOWN &&
		    tally->n < QUARANTINE_CRASHES_ANY)
			return false;
		n_reported = count_reported(quarantine, now, tally, segment);
		return !is_too_broad(quarantine, tally, n_reported, segment);
	}
	if (n_upstreams < QUARANTINE_CRASHES_UNKNOWN)
		return tally->n >= (quarantine->has_answers
					   ? QUARANTINE_CRASHES_ANY
					   : QUARANTINE_CRASHES_BEFORE_ANSWERS);
	n_reported = count_reported(quarantine, now, tally, segment);
	if (count_upstreams(tally, true) >= QUARANTINE_CRASHES_UNKNOWN &&
	    !is_matched(quarantine, tally, n_reported, segment))
		return true;
	if (!quarantine->has_answers)
		return tally->n >= QUARANTINE_CRASHES_BEFORE_ANSWERS;
	if (n_upstreams >= QUARANTINE_CRASHES_UNKNOWN_EARLY &&
	    !is_too_broad(quarantine, tally, n_reported, segment))
		return true;
	return tally->n >= QUARANTINE_CRASHES_ANY;
}

/// Removes the segments that were answered after a time.
///
/// @return whether a segment was removed
bool
quarantine_remove_safe(
    const struct quarantine *quarantine, struct segment_set *set, usec_t since)
{
	unsigned n_before = set->n;

	for (unsigned i = 0; i < set->n;)
		if (recent_times_get(quarantine->safe, set->ids[i]) > since)
			segment_set_remove_at(set, i);
		else
			i++;
	return set->n != n_before;
}

/// Returns the segments that all crashes of a tally have in common and
/// that may be the cause.
struct segment_set
quarantine_find_common(
    const struct quarantine *quarantine, const struct crash_tally *tally)
{
	struct segment_set common = tally->crashes[0]->segments;
	struct segment_set unknown;

	for (size_t c = 1; c < tally->n; c++)
		for (unsigned i = 0; i < common.n;)
			if (segment_set_has(
				&tally->crashes[c]->segments, common.ids[i]))
				i++;
			else
				segment_set_remove_at(&common, i);
	quarantine_remove_safe(quarantine, &common, tally->crashes[0]->at);
	/* One that was safe before is named only if there is no other. */
	unknown = common;
	quarantine_remove_safe(quarantine, &unknown, 0);
	return unknown.n > 0 ? unknown : common;
}
