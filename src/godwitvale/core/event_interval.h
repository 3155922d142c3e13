/*
 * Computes the mean interval between the events that an engine's generations
 * emit, and a placement penalty for an engine whose interval is much longer
 * than the mean of all engines of the service.
 *
 * Load pattern: an engine can become slow while its health checks still pass.
 * The intervals between events show this long before the generations end.
 */
#ifndef GODWITVALE_CORE_EVENT_INTERVAL_H
#define GODWITVALE_CORE_EVENT_INTERVAL_H

#include "godwitvale/core/time_defs.h"

/// A moving average of the intervals between consecutive events of a
/// generation; embedded by value.
struct event_interval {
	double mean;        /// microseconds
	unsigned n_samples; /// number of intervals added
};

void event_interval_add(struct event_interval *interval, usec_t span);
double event_interval_penalty(
    const struct event_interval *own, const struct event_interval *all);

#endif
