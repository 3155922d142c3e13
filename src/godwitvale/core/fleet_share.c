/* Shares of rates that bind all instances together. */
#include "godwitvale/core/fleet_share.h"

/// Part of a bound that is used; the rest allows for instances that are not
/// known yet and for requests that bunch up on their way.
#define SHARE_USED 0.8
/// The slack of a bound counts once in any window: half of it can be saved
/// up, the other half is earned over the window.
#define SHARE_SAVED 0.5

/// Fills a share up to now.
static void
refill(struct fleet_share *share, usec_t now)
{
	double earned;

	if (share->at == 0) {
		share->level = share->burst;
		share->at = now;
		return;
	}
	earned = share->rate * (double)(now - share->at) / (double)USEC_PER_SEC;
	share->at = now;
	share->level += earned;
	if (share->level > share->burst)
		share->level = share->burst;
}

/// Sets what a share is.
///
/// @param share  the share
/// @param now    time
/// @param rate   permits a second
/// @param burst  permits that can be saved up
void
fleet_share_set(
    struct fleet_share *share, usec_t now, double rate, double burst)
{
	if (share->rate == rate && share->burst == burst && share->at != 0)
		return;
	if (share->at != 0)
		refill(share, now);
	share->rate = rate;
	share->burst = burst;
	if (share->level > burst)
		share->level = burst;
}

/// Adds permits beside those earned by time.
///
/// @param share    the share
/// @param permits  how many
void
fleet_share_earn(struct fleet_share *share, double permits)
{
	share->level += permits;
	if (share->level > share->burst)
		share->level = share->burst;
}

/// @param share  the share
/// @param now    time
/// @return whether a permit can be taken
bool
fleet_share_has(struct fleet_share *share, usec_t now)
{
	refill(share, now);
	return share->level >= 1;
}

/// Takes a permit.
///
/// @param share  the share
/// @param now    time
/// @return false when there is none
bool
fleet_share_take(struct fleet_share *share, usec_t now)
{
	if (!fleet_share_has(share, now))
		return false;
	share->level -= 1;
	return true;
}

/// Sets this instance's share of what a cold upstream bears.
///
/// @param share        the share
/// @param now          time
/// @param cold_rate    requests a second that it bears
/// @param overrun      factor by which the sum may exceed that
/// @param slack        requests by which it may, besides
/// @param n_instances  that share it, this one included
void
fleet_share_cold(struct fleet_share *share, usec_t now, double cold_rate,
    double overrun, double slack, unsigned n_instances)
{
	double n = n_instances > 0 ? n_instances : 1;
	double burst = SHARE_USED * ((overrun - 1) * cold_rate + slack) / n;

	fleet_share_set(
	    share, now, SHARE_USED * cold_rate / n, burst < 1 ? 1 : burst);
}

/// Sets this instance's share of the repeats to one service. What first
/// requests earn is added by fleet_share_earn().
///
/// @param share        the share
/// @param now          time
/// @param slack        repeats in a window that no first request must earn
/// @param window       length of the window
/// @param n_instances  that share it, this one included
void
fleet_share_retries(struct fleet_share *share, usec_t now, double slack,
    usec_t window, unsigned n_instances)
{
	double n = n_instances > 0 ? n_instances : 1;
	double part = SHARE_USED * slack / n;
	double seconds = (double)window / (double)USEC_PER_SEC;

	fleet_share_set(share, now, (1 - SHARE_SAVED) * part / seconds,
	    SHARE_SAVED * part < 1 ? 1 : SHARE_SAVED * part);
}
