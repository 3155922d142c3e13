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
 * kept connections, only the time limit is certain. The same holds for what
 * other instances forward: they know that this one leaves, and can ask another.
 *
 * A process that is busy notices SIGTERM late, but the grace period runs from
 * the signal. All times are therefore counted from a time at which the signal
 * certainly had not come yet, and a request counts from its last byte: it is
 * never taken for earlier than it was.
 */
#ifndef GODWITVALE_CORE_SHUTDOWN_ADMISSION_H
#define GODWITVALE_CORE_SHUTDOWN_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

#include "godwitvale/core/time_defs.h"

/// Times of a shutdown.
struct shutdown_schedule {
	/// callers may not know of the shutdown when they send a request that
	/// is received whole by then
	usec_t early_until;
	usec_t ends_at; /// the process ends at this time at the latest
};

/// What the longest duration of a request depends on.
struct shutdown_work {
	usec_t received_at; /// when its last byte was read
	usec_t deadline;    /// of its final answer, whatever the upstream does
	bool is_forwarded;  /// another instance has received it from its caller
	/// number of events at most, if it is a generation; 0: unknown
	uint32_t max_events;
	usec_t first_event_limit; /// until the first event; with `max_events`
	usec_t event_gap;         /// longest pause between two; 0: unknown
};

struct shutdown_schedule shutdown_schedule_make(
    usec_t not_before, usec_t grace);
bool shutdown_admission_accepts(const struct shutdown_schedule *schedule,
    const struct shutdown_work *work, usec_t now);

#endif
