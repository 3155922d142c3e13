/* Compares a request's crashes with the evidence on prompt segments. */
#include "godwitvale/core/crash_causes.h"

#include <glib.h>

/// A segment explains crashes if it was at this many of a request's crashes.
#define CRASH_CAUSES_MIN 2
/// An upstream that has crashed isn't back within this time: connections that
/// it cuts meanwhile are no further crash.
#define CRASH_DOWN_SPAN (500 * USEC_PER_MSEC)
/// When an instance's links or a zone fail, upstreams are lost within this
/// time.
#define CRASH_FAILURE_SPAN (300 * USEC_PER_MSEC)

/// Checks whether an upstream had crashed before a request was sent to it, and
/// can't have been back yet.
///
/// @param exposure    of the request
/// @param upstream    hash of the id of the upstream that had crashed
/// @param crashed_at  time of that crash
/// @return whether the request can't have caused the crash
bool
crash_causes_was_down(
    const struct crash_exposure *exposure, uint64_t upstream, usec_t crashed_at)
{
	usec_t sent_at = exposure->crashed_at - exposure->span;

	return exposure->upstream == upstream &&
	    sent_at > crashed_at + CRASH_TRANSIT &&
	    exposure->crashed_at < crashed_at + CRASH_DOWN_SPAN;
}

/// @return whether two crashes may be of one failure of links or of a zone
static bool
is_close(const struct crash_exposure *left, const struct crash_exposure *right)
{
	return ABS(left->crashed_at - right->crashed_at) <= CRASH_FAILURE_SPAN;
}

/// Checks whether a request was at none of the crashes of an upstream.
static bool
was_elsewhere(const struct crash_suspect *suspect, uint64_t upstream)
{
	for (unsigned i = 0; i < suspect->n_exposures; i++)
		if (suspect->exposures[i].upstream == upstream)
			return false;
	return true;
}

/// Checks whether an upstream where a suspect wasn't crashed at about the time
/// of two crashes of the suspect: a failure of an instance's links, or of a
/// zone, explains all three.
///
/// @param suspect    its crashes
/// @param elsewhere  crash that another request was exposed to
/// @return whether the two crashes may be one event
bool
crash_causes_is_failure_beside(
    const struct crash_suspect *suspect, const struct crash_exposure *elsewhere)
{
	if (!was_elsewhere(suspect, elsewhere->upstream))
		return false;
	for (unsigned i = 1; i < suspect->n_exposures; i++) {
		const struct crash_exposure *first = &suspect->exposures[i - 1];
		const struct crash_exposure *second = &suspect->exposures[i];

		if (is_close(first, second) && is_close(first, elsewhere) &&
		    is_close(second, elsewhere))
			return true;
	}
	return false;
}

/// Checks whether a report is of the crash that a request was exposed to.
static bool
is_same_crash(
    const struct crash_exposure *exposure, const struct quarantine_crash *crash)
{
	return exposure->upstream == crash->upstream &&
	    ABS(exposure->crashed_at - crash->at) < CRASH_SAME_SPAN;
}

/// The reports that a suspect's crashes are compared with.
struct reports {
	const struct quarantine *evidence;
	struct quarantine_crash crashes[QUARANTINE_CRASHES_MAX];
	size_t n;
};

/// Checks whether a segment was at a crash in requests, and wasn't answered
/// since.
static bool
was_segment_at(const struct reports *reports,
    const struct crash_exposure *exposure, uint64_t segment)
{
	if (quarantine_safe_at(reports->evidence, segment) >
	    exposure->crashed_at)
		return false;
	if (exposure->cause == segment)
		return true;
	for (size_t i = 0; i < reports->n; i++)
		if (is_same_crash(exposure, &reports->crashes[i]) &&
		    segment_set_has(&reports->crashes[i].segments, segment))
			return true;
	return false;
}

/// Names a segment as the cause of the crashes that it explains.
static void
apply_segment(const struct reports *reports, struct crash_suspect *suspect,
    uint64_t segment)
{
	bool was_there[CRASH_EXPOSURES_MAX];
	unsigned n = 0;

	for (unsigned i = 0; i < suspect->n_exposures; i++) {
		was_there[i] =
		    was_segment_at(reports, &suspect->exposures[i], segment);
		n += was_there[i];
	}
	if (n < CRASH_CAUSES_MIN)
		return;
	for (unsigned i = 0; i < suspect->n_exposures; i++)
		if (was_there[i])
			suspect->exposures[i].cause = segment;
}

/// Forgets the causes that were answered since, or are the request's own.
static void
drop_causes(const struct quarantine *evidence, struct crash_suspect *suspect)
{
	for (unsigned i = 0; i < suspect->n_exposures; i++) {
		struct crash_exposure *exposure = &suspect->exposures[i];

		if (segment_set_has(&suspect->segments, exposure->cause) ||
		    quarantine_safe_at(evidence, exposure->cause) >
			exposure->crashed_at)
			exposure->cause = 0;
	}
}

/// Names the segments that explain crashes of a suspect. They stay named when
/// the evidence on them is forgotten.
///
/// @param evidence  on prompt segments
/// @param suspect   updates the `cause` of its exposures
void
crash_causes_find(
    const struct quarantine *evidence, struct crash_suspect *suspect)
{
	struct reports reports = {.evidence = evidence};

	drop_causes(evidence, suspect);
	reports.n = quarantine_list_crashes(
	    evidence, reports.crashes, QUARANTINE_CRASHES_MAX);
	for (size_t i = 0; i < reports.n; i++) {
		const struct segment_set *set = &reports.crashes[i].segments;

		for (unsigned s = 0; s < set->n; s++)
			if (!segment_set_has(&suspect->segments, set->ids[s]))
				apply_segment(&reports, suspect, set->ids[s]);
	}
}
