/*
 * Computes the time after which a caller whose request was refused may retry.
 *
 * Load pattern: a burst of requests is refused at nearly the same moment. If
 * all callers were given the same time, they would return as one burst again.
 * Each caller is therefore given a random time, spread over the span in which
 * running requests end and free capacity.
 */
#ifndef GODWITVALE_CORE_RETRY_AFTER_H
#define GODWITVALE_CORE_RETRY_AFTER_H

#include "godwitvale/core/time_defs.h"

/// Why a request is refused.
enum retry_after_reason {
	RETRY_AFTER_UPSTREAMS_FULL = 1, /// no upstream has capacity
	RETRY_AFTER_NO_UPSTREAM,        /// no upstream is usable at the moment
	/// this instance shuts down; the other instances still serve requests
	RETRY_AFTER_LEAVING,
	/// this instance hasn't read its data from the store yet
	RETRY_AFTER_STARTING,
	/// all upstreams have named limits, which are used up
	RETRY_AFTER_LIMITED,
	/// requests like this one have crashed upstreams
	RETRY_AFTER_QUARANTINED,
};

/// Number of reasons, which begin with 1.
#define RETRY_AFTER_N_REASONS RETRY_AFTER_QUARANTINED

const char *retry_after_reason_name(enum retry_after_reason reason);
usec_t retry_after_scarce_span(usec_t time_left);
usec_t retry_after_spread(usec_t span, double jitter);
usec_t retry_after_span(enum retry_after_reason reason, usec_t target_latency,
    usec_t time_left, double jitter);

#endif
