/* Computes retry times for callers whose requests were refused. */
#include "godwitvale/core/retry_after.h"

/// Divisor of the caller's remaining time that gives the maximum retry time.
/// Callers accept a retry time of up to a third of their remaining time.
#define RETRY_AFTER_TIME_LEFT_DIVISOR 4
/// Retry time, before jitter, while this instance starts. It has read the
/// configuration and the upstreams within this span.
#define RETRY_AFTER_START_SPAN (300 * USEC_PER_MSEC)
/// Retry time, before jitter, while no upstream is usable. A lost upstream is
/// replaced, or a failed upstream is back, within a few of these spans.
#define RETRY_AFTER_NO_UPSTREAM_SPAN (500 * USEC_PER_MSEC)
/// Retry time, before jitter, while the limits that all upstreams have named
/// are used up. They are given in requests a second.
#define RETRY_AFTER_LIMITED_SPAN (1 * USEC_PER_SEC)
/// Retry time, before jitter, of a request in quarantine. A quarantine that
/// turns out to be wrong is lifted after about this time.
#define RETRY_AFTER_QUARANTINE_SPAN (30 * USEC_PER_SEC)
/// Callers that are told of the same moment return over this part of the time
/// until then.
#define RETRY_AFTER_SPREAD 0.5
/// Shortest retry time; a shorter one would make callers retry in a busy loop.
#define RETRY_AFTER_MIN (50 * USEC_PER_MSEC)

/// @param reason  why a request is refused
/// @return the reason as one word
const char *
retry_after_reason_name(enum retry_after_reason reason)
{
	static const char *const names[] = {
	    [RETRY_AFTER_UPSTREAMS_FULL] = "full",
	    [RETRY_AFTER_NO_UPSTREAM] = "no-upstream",
	    [RETRY_AFTER_LEAVING] = "leaving",
	    [RETRY_AFTER_STARTING] = "starting",
	    [RETRY_AFTER_LIMITED] = "limited",
	    [RETRY_AFTER_QUARANTINED] = "quarantined",
	};

	return names[reason];
}

/// Computes the time until a retry may be served that was refused because
/// engine memory is scarce. A burst of long generations lasts longer than the
/// target, which the caller has missed in any case, so it returns after a sixth
/// to a quarter of the time left, and the callers of the burst as a ramp.
///
/// @param time_left  time until the caller gives up
/// @return span from now, to be passed to retry_after_spread(), which keeps it
///         within the time that the caller accepts
usec_t
retry_after_scarce_span(usec_t time_left)
{
	return (usec_t)((double)time_left / RETRY_AFTER_TIME_LEFT_DIVISOR /
	    (1 + RETRY_AFTER_SPREAD));
}

/// Spreads callers that are told of the same moment: they return after it, over
/// half the time until then.
///
/// @param span    time until a retry may be served
/// @param jitter  random number from 0 to 1 that spreads the callers
/// @return span from now, at least RETRY_AFTER_MIN and never before that moment
usec_t
retry_after_spread(usec_t span, double jitter)
{
	usec_t spread = (usec_t)((double)span * RETRY_AFTER_SPREAD * jitter);

	return span + spread < RETRY_AFTER_MIN ? RETRY_AFTER_MIN
					       : span + spread;
}

/// Computes the time after which a refused caller may retry.
///
/// @param reason          why the request is refused
/// @param target_latency  target latency of the request's route
/// @param time_left       time until the caller gives up
/// @param jitter          random number from 0 to 1 that spreads the callers
/// @return span from now, at least RETRY_AFTER_MIN
usec_t
retry_after_span(enum retry_after_reason reason, usec_t target_latency,
    usec_t time_left, double jitter)
{
	usec_t span;
	usec_t longest = time_left / RETRY_AFTER_TIME_LEFT_DIVISOR;

	switch (reason) {
	case RETRY_AFTER_STARTING:
		span = RETRY_AFTER_START_SPAN;
		break;
	case RETRY_AFTER_LEAVING:
		span = RETRY_AFTER_MIN;
		break;
	case RETRY_AFTER_QUARANTINED:
		/* Nothing is gained by an earlier return of the caller. */
		return (usec_t)((double)RETRY_AFTER_QUARANTINE_SPAN *
		    (0.5 + jitter));
	case RETRY_AFTER_LIMITED:
		span = RETRY_AFTER_LIMITED_SPAN;
		break;
	case RETRY_AFTER_NO_UPSTREAM:
		span = RETRY_AFTER_NO_UPSTREAM_SPAN;
		break;
	default:
		span = target_latency / 2;
		break;
	}
	span = (usec_t)((double)span * (0.5 + jitter));
	if (span > longest)
		span = longest;
	return span < RETRY_AFTER_MIN ? RETRY_AFTER_MIN : span;
}
