/* Decides which requests an instance accepts while it shuts down. */
#include "godwitvale/core/shutdown_admission.h"

/// Usual time to the first token of a generation on a loaded engine.
#define SHUTDOWN_FIRST_TOKEN_SPAN (800 * USEC_PER_MSEC)
/// Usual time between two tokens of a generation on a loaded engine.
#define SHUTDOWN_TOKEN_SPAN (11 * USEC_PER_MSEC)

/// Checks whether a request ends before this process does, even if the output
/// of a generation has the maximum length.
///
/// @param work       what determines the duration of the request
/// @param time_left  time until this process ends
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
