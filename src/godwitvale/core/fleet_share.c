/* Token bucket that limits an instance to its share of a fleet-wide rate. */
#include "godwitvale/core/fleet_share.h"

/// Fraction of a limit that the known instances share. The rest is a margin for
/// instances that are not known yet and for requests that arrive in bursts
/// because of network delays.
#define SHARE_UTILISATION 0.8
/// Fraction of an instance's slack (retries allowed in a window) that its
/// bucket holds. The rest is refilled over the window, so that no window can
/// use more than the whole slack.
#define SHARE_BURST_PART 0.5

/// Adds the permits that have accrued since the last refill, or fills the
/// bucket if it was never filled.
static void
refill_permits(struct fleet_share *share, usec_t now)
{
	double accrued;

	if (share->refilled_at == 0) {
		share->permits = share->burst;
		share->refilled_at = now;
		return;
	}
	accrued = share->rate * (double)(now - share->refilled_at) /
	    (double)USEC_PER_SEC;
	share->refilled_at = now;
	share->permits += accrued;
	if (share->permits > share->burst)
		share->permits = share->burst;
}

/// Sets the rate and the capacity of a share.
///
/// @param share  zeroed before its first use
/// @param now    current time
/// @param rate   permits per second
/// @param burst  capacity of the bucket, in permits
void
fleet_share_configure(
    struct fleet_share *share, usec_t now, double rate, double burst)
{
	if (share->rate == rate && share->burst == burst &&
	    share->refilled_at != 0)
		return;
	if (share->refilled_at != 0)
		refill_permits(share, now);
	share->rate = rate;
	share->burst = burst;
	if (share->permits > burst)
		share->permits = burst;
}

/// Adds permits to the bucket, besides the permits that accrue over time.
///
/// @param share    share to add to, up to its capacity
/// @param permits  number of permits; may be a fraction
void
fleet_share_add_permits(struct fleet_share *share, double permits)
{
	share->permits += permits;
	if (share->permits > share->burst)
		share->permits = share->burst;
}

/// @param share  share to check
/// @param now    current time
/// @return whether a permit is available
bool
fleet_share_has_permit(struct fleet_share *share, usec_t now)
{
	refill_permits(share, now);
	return share->permits >= 1;
}

/// Takes a permit.
///
/// @param share  share to take the permit from
/// @param now    current time
/// @return false when no permit is available
bool
fleet_share_take_permit(struct fleet_share *share, usec_t now)
{
	if (!fleet_share_has_permit(share, now))
		return false;
	share->permits -= 1;
	return true;
}

/// Sets this instance's share of the requests that a cold upstream can serve.
///
/// @param share        share of the requests to one upstream
/// @param now          current time
/// @param cold_rate    requests per second that the upstream can serve
/// @param overrun      factor by which all instances together may exceed
///                     `cold_rate` in a burst; 1: not at all
/// @param slack        further requests that such a burst may contain
/// @param n_instances  instances that share the rate, including this one
void
fleet_share_configure_cold(struct fleet_share *share, usec_t now,
    double cold_rate, double overrun, double slack, unsigned n_instances)
{
	double n = n_instances > 0 ? n_instances : 1;
	double burst =
	    SHARE_UTILISATION * ((overrun - 1) * cold_rate + slack) / n;

	fleet_share_configure(share, now, SHARE_UTILISATION * cold_rate / n,
	    burst < 1 ? 1 : burst);
}

/// Sets this instance's share of the retries to one service. For each first
/// attempt, the caller adds permits with fleet_share_add_permits().
///
/// @param share        share of the retries to one service
/// @param now          current time
/// @param slack        retries that all instances together may send in a window
///                     without first attempts
/// @param window       length of the window
/// @param n_instances  instances that share the limit, including this one
void
fleet_share_configure_retries(struct fleet_share *share, usec_t now,
    double slack, usec_t window, unsigned n_instances)
{
	double n = n_instances > 0 ? n_instances : 1;
	double instance_slack = SHARE_UTILISATION * slack / n;
	double seconds = (double)window / (double)USEC_PER_SEC;

	fleet_share_configure(share, now,
	    (1 - SHARE_BURST_PART) * instance_slack / seconds,
	    SHARE_BURST_PART * instance_slack < 1
		? 1
		: SHARE_BURST_PART * instance_slack);
}
