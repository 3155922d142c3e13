/* Admission of requests while an instance shuts down. */
#include "godwitvale/core/shutdown_admission.h"

/// Usual time to a generation's first token, and to each further one, on a
/// loaded engine.
#define SHUTDOWN_FIRST_TOKEN_SPAN (800 * USEC_PER_MSEC)
#define SHUTDOWN_TOKEN_SPAN (11 * USEC_PER_MSEC)

/// Checks whether a request ends before the process does, even if its output
/// has the maximum length.
///
/// @param work       what determines the duration of the request
/// @param time_left  time until the process ends
/// @return false when the request must be refused immediately
bool
shutdown_admission_accepts(const struct shutdown_work *work, usec_t time_left)
{
	usec_t longest = work->expected_span;

	if (work->is_generation)
		longest = SHUTDOWN_FIRST_TOKEN_SPAN +
		    work->max_output_tokens * SHUTDOWN_TOKEN_SPAN;
	return time_left > longest;
}
