/* When refused callers may come back. */
#include "godwitvale/core/comeback.h"

/// Callers honour a time of up to a third of what they have left.
#define COMEBACK_PATIENCE_PARTS 4
/// An instance that starts knows the deployment within this span.
#define COMEBACK_START_SPAN (300 * USEC_PER_MSEC)
/// An upstream that left is replaced, or one that failed is back, within a
/// few of these.
#define COMEBACK_NOBODY_SPAN (500 * USEC_PER_MSEC)
/// Shortest time that is told: a shorter one is a busy loop of the caller.
#define COMEBACK_SHORTEST (50 * USEC_PER_MSEC)

/// Says when a refused caller may come back.
///
/// @param reason          why it is refused
/// @param target_latency  of its route
/// @param patience        how long the caller still waits
/// @param chance          from 0 to 1
/// @return span from now
usec_t
comeback_after(enum comeback_reason reason, usec_t target_latency,
    usec_t patience, double chance)
{
	usec_t span;
	usec_t longest = patience / COMEBACK_PATIENCE_PARTS;

	switch (reason) {
	case COMEBACK_STARTING:
		span = COMEBACK_START_SPAN;
		break;
	case COMEBACK_LEAVING:
		span = COMEBACK_SHORTEST;
		break;
	case COMEBACK_NOBODY:
		span = COMEBACK_NOBODY_SPAN;
		break;
	default:
		span = target_latency / 2;
		break;
	}
	span = (usec_t)((double)span * (0.5 + chance));
	if (span > longest)
		span = longest;
	return span < COMEBACK_SHORTEST ? COMEBACK_SHORTEST : span;
}
