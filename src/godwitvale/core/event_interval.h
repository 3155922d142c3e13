/*
 * Mean interval between the events of an engine's generations, compared with
 * that of all engines of its service.
 *
 * Load pattern: an engine can become slow while its health checks still pass.
 * The intervals between events show this long before its generations end.
 */
#ifndef GODWITVALE_CORE_EVENT_INTERVAL_H
#define GODWITVALE_CORE_EVENT_INTERVAL_H

#include "godwitvale/core/time_defs.h"

/// A moving average of the intervals between events; embedded by value.
struct event_interval {
	double mean;        /// microseconds
	unsigned n_samples; /// number of intervals added
};

void event_interval_add(struct event_interval *interval, usec_t span);
double event_interval_penalty(
    const struct event_interval *own, const struct event_interval *all);

#endif
