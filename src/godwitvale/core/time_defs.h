/* Defines the type of times and durations, and the bound of clock drift. */
#ifndef GODWITVALE_CORE_TIME_DEFS_H
#define GODWITVALE_CORE_TIME_DEFS_H

#include <stdint.h>

/// A time of the local monotonic clock, or a duration, in microseconds.
typedef int64_t usec_t;

#define USEC_PER_MSEC ((usec_t)1000)
#define USEC_PER_SEC ((usec_t)1000000)
/// A deadline that never expires.
#define USEC_NEVER INT64_MAX

/// Maximum difference between the rates of two clocks, in parts per million.
/// Whoever waits until another machine's lease has expired allows for this
/// drift with usec_with_drift().
#define CLOCK_DRIFT_PPM 1000

/// Extends a duration so that, after it has passed on the local clock, at least
/// `span` has passed on any clock within the drift bound.
static inline usec_t
usec_with_drift(usec_t span)
{
	return span + span * (2 * CLOCK_DRIFT_PPM) / 1000000 + 1;
}

#endif
