/* What an instance that leaves still takes on. */
#include "godwitvale/core/departure.h"

/// Usual time to a generation's first token, and to each further one, on a
/// loaded engine.
#define DEPARTURE_PROMPT_SPAN (800 * USEC_PER_MSEC)
#define DEPARTURE_TOKEN_SPAN (11 * USEC_PER_MSEC)

/// Tells whether a request is sure to end before the process does, however
/// long its output gets.
///
/// @param work  what it may take
/// @param left  until the process ends
/// @return false when it is to be refused at once
bool
departure_takes(const struct departure_work *work, usec_t left)
{
	usec_t longest = work->usual_span;

	if (work->is_generation)
		longest = DEPARTURE_PROMPT_SPAN +
		    work->max_output * DEPARTURE_TOKEN_SPAN;
	return left > longest;
}
