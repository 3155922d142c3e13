/*
 * When a refused caller may come back.
 *
 * Load pattern: a burst is refused within a moment. Told the same time, its
 * callers would come back as one burst again, so each is told a time of its
 * own, spread over the span in which work ends and makes room.
 */
#ifndef GODWITVALE_CORE_COMEBACK_H
#define GODWITVALE_CORE_COMEBACK_H

#include "godwitvale/core/time_defs.h"

/// Why a request is refused.
enum comeback_reason {
	COMEBACK_FULL = 1, /// upstreams are full
	COMEBACK_NOBODY,   /// no upstream can be used now
	COMEBACK_LEAVING,  /// this instance leaves, others serve
	COMEBACK_STARTING, /// this instance doesn't know enough yet
};

usec_t comeback_after(enum comeback_reason reason, usec_t target_latency,
    usec_t patience, double chance);

#endif
