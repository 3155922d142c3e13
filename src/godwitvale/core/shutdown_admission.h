/*
 * Decides which requests an instance still sends to upstreams while it shuts
 * down.
 *
 * Load pattern: for some seconds after SIGTERM the load balancer still sends
 * new callers to this instance, and callers with open connections keep sending
 * requests. The process ends when its grace period is over, and cuts what still
 * runs then. When a request that isn't certain to end before is refused at
 * once, another instance serves it. A crowded engine that is on time may take
 * several times as long as an idle one, so usual times say nothing. What a
 * route allows an engine that is on time bounds only requests that come early:
 * if the engine is late, these are cut near the end of the grace period, when
 * the balancer's callers have long been elsewhere. Of those that come later on
 * kept connections, only the time limit is certain.
 */
#ifndef GODWITVALE_CORE_SHUTDOWN_ADMISSION_H
#define GODWITVALE_CORE_SHUTDOWN_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

#include "godwitvale/core/time_defs.h"

/// What the longest duration of a request depends on.
struct shutdown_work {
	/// time until its final answer is due, whatever the upstream does
	usec_t time_limit;
	usec_t leaving_span; /// from SIGTERM to its arrival
	/// number of events at most, if it is a generation; 0: unknown
	uint32_t max_events;
	usec_t first_event_limit; /// until the first event; with `max_events`
	usec_t event_gap;         /// longest pause between two; 0: unknown
};

bool shutdown_admission_accepts(
    const struct shutdown_work *work, usec_t time_left);

#endif
