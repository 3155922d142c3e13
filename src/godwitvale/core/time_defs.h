/* Points in time and spans, as the core's state machines see them. */
#ifndef GODWITVALE_CORE_TIME_DEFS_H
#define GODWITVALE_CORE_TIME_DEFS_H

#include <stdint.h>

/// A point on the caller's monotonic clock, or a span, in microseconds.
typedef int64_t usec_t;

#define USEC_PER_MSEC ((usec_t)1000)
#define USEC_PER_SEC ((usec_t)1000000)
/// A deadline that never comes.
#define USEC_NEVER INT64_MAX

/// Two clocks that measure the same second differ by at most this many
/// parts per million; all leases allow for it on the side that waits.
#define CLOCK_DRIFT_PPM 1000

/// Stretches a span so that no clock within the drift bound has measured less.
static inline usec_t
usec_with_drift(usec_t span)
{
	return span + span * (2 * CLOCK_DRIFT_PPM) / 1000000 + 1;
}

#endif
