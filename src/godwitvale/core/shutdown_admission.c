/* Decides which requests are still sent to upstreams during a shutdown. */
#include "godwitvale/core/shutdown_admission.h"

#include <glib.h>

/// A sound upstream may fall silent for this long, once.
#define SHUTDOWN_SILENCE_SPAN (1200 * USEC_PER_MSEC)
/// Time from SIGTERM in which callers may not know of it: until then, requests
/// are taken if an upstream that is on time can serve them.
#define SHUTDOWN_EARLY_SPAN (3 * USEC_PER_SEC)
/// Time for the end of an answer to reach its caller.
#define SHUTDOWN_DELIVERY_SPAN (100 * USEC_PER_MSEC)

/// @return the longest time that a request may take
static usec_t
find_longest_span(const struct shutdown_work *work)
{
	usec_t longest;

	if (work->max_events == 0 || work->event_gap == 0 ||
	    work->leaving_span > SHUTDOWN_EARLY_SPAN)
		return work->time_limit;
	longest = work->first_event_limit + SHUTDOWN_SILENCE_SPAN +
	    (work->max_events - 1) * work->event_gap;
	return MIN(longest, work->time_limit);
}

/// Checks whether a request is certain to end before this process does: by its
/// time limit or, if it came early, by the longest times that its route allows
/// an upstream.
///
/// @param work       what determines the duration of the request
/// @param time_left  time until this process ends
/// @return false when the request must be refused immediately
bool
shutdown_admission_accepts(const struct shutdown_work *work, usec_t time_left)
{
	return time_left > find_longest_span(work) + SHUTDOWN_DELIVERY_SPAN;
}
