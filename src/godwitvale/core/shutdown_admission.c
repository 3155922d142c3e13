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
/// The process ends this long before the platform would kill it.
#define SHUTDOWN_MARGIN (300 * USEC_PER_MSEC)
/// The margin is at most this part of the grace period. Early requests whose
/// upstream is late are to be cut in the last sixth of it only.
#define SHUTDOWN_MARGIN_DIVISOR 12

/// Computes the times of a shutdown.
///
/// @param not_before  SIGTERM came later than this
/// @param grace       time from SIGTERM until the platform kills the process
/// @return the times
struct shutdown_schedule
shutdown_schedule_make(usec_t not_before, usec_t grace)
{
	usec_t margin = MIN(SHUTDOWN_MARGIN, grace / SHUTDOWN_MARGIN_DIVISOR);

	return (struct shutdown_schedule){
	    .early_until = not_before + SHUTDOWN_EARLY_SPAN,
	    .ends_at = not_before + grace - margin,
	};
}

/// @return the latest time at which a request may end
static usec_t
find_latest_end(const struct shutdown_schedule *schedule,
    const struct shutdown_work *work, usec_t now)
{
	usec_t latest;

	if (work->max_events == 0 || work->event_gap == 0 ||
	    work->is_forwarded || work->received_at > schedule->early_until)
		return work->deadline;
	latest = now + work->first_event_limit + SHUTDOWN_SILENCE_SPAN +
	    (work->max_events - 1) * work->event_gap;
	return MIN(latest, work->deadline);
}

/// Checks whether a request is certain to end before this process does: by its
/// time limit or, if its caller sent it early, by the longest times that its
/// route allows an upstream.
///
/// @param schedule  times of the shutdown
/// @param work      what determines the end of the request
/// @param now       current time; the request is sent now
/// @return false when the request must be refused immediately
bool
shutdown_admission_accepts(const struct shutdown_schedule *schedule,
    const struct shutdown_work *work, usec_t now)
{
	return find_latest_end(schedule, work, now) <
	    schedule->ends_at - SHUTDOWN_DELIVERY_SPAN;
}
