/* Computes when to retry a failed call to a service that a fleet shares. */
#include "godwitvale/core/backoff.h"

#include <glib.h>

/// Delay after the first failure. It is short because most failures affect
/// only one connection.
#define BACKOFF_FIRST_DELAY (100 * USEC_PER_MSEC)
/// Factor by which the delay grows with each further failure.
#define BACKOFF_GROWTH 4
/// Maximum delay for a small fleet: within two seconds after the service
/// recovers, every instance must know what has changed during the outage.
#define BACKOFF_SMALL_FLEET_DELAY_MAX (500 * USEC_PER_MSEC)
/// Maximum delay for a larger fleet, divided by its number of instances.
/// Together the instances call about twenty times a second, so they notice the
/// recovery as soon as a small fleet does.
#define BACKOFF_DELAY_PER_INSTANCE (60 * USEC_PER_MSEC)
/// Maximum delay for any fleet size.
#define BACKOFF_DELAY_MAX (5 * USEC_PER_SEC)
/// Instances that learn of the service's recovery from another instance retry
/// within this span.
#define BACKOFF_RECOVERY_SPREAD (400 * USEC_PER_MSEC)

/// Resets the backoff after a successful call.
///
/// @param backoff  backoff of the calls
void
backoff_reset(struct backoff *backoff)
{
	*backoff = (struct backoff){0};
}

/// Records a failed call and sets the time of the next one.
///
/// @param backoff           backoff of the calls
/// @param now               current time
/// @param fleet_size        number of instances that make these calls
/// @param n_others_failing  number of other kinds of calls of this instance to
///                          the same service that fail, too; the maximum delay
///                          grows with it, as a call of any kind detects the
///                          recovery
/// @param jitter            random number from 0 to 1 that spreads the calls
void
backoff_record_failure(struct backoff *backoff, usec_t now, unsigned fleet_size,
    unsigned n_others_failing, double jitter)
{
	usec_t delay_max = CLAMP(fleet_size * BACKOFF_DELAY_PER_INSTANCE,
	    BACKOFF_SMALL_FLEET_DELAY_MAX, BACKOFF_DELAY_MAX);

	delay_max = MIN((1 + n_others_failing) * delay_max, BACKOFF_DELAY_MAX);
	backoff->failures++;
	backoff->delay = backoff->delay == 0
	    ? BACKOFF_FIRST_DELAY
	    : MIN(BACKOFF_GROWTH * backoff->delay, delay_max);
	backoff->retry_at = now + (usec_t)((0.5 + jitter / 2) * backoff->delay);
}

/// Brings the next call forward because the service has answered another call.
/// A next call that is due sooner is not delayed.
///
/// @param backoff  backoff of the calls
/// @param now      current time
/// @param jitter   random number from 0 to 1 that spreads the calls
void
backoff_shorten(struct backoff *backoff, usec_t now, double jitter)
{
	usec_t early_retry = now + (usec_t)(jitter * BACKOFF_RECOVERY_SPREAD);

	backoff->retry_at = MIN(backoff->retry_at, early_retry);
}
