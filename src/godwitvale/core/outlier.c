/* Decides from the results of an upstream's requests when to eject it. */
#include "godwitvale/core/outlier.h"

/// Weight of the newest result in the moving average of errors.
#define OUTLIER_NEWEST_WEIGHT 0.15
/// Share of errors among an upstream's results that ejects the upstream. It is
/// well above the steady share of a healthy upstream, up to one result in
/// seven.
#define OUTLIER_EJECT_ERROR_SHARE 0.6
/// Minimum number of results before the share of errors can eject an upstream.
#define OUTLIER_RESULTS_MIN 6
/// Consecutive broken answers that eject an upstream.
#define OUTLIER_EJECT_CONSECUTIVE_BROKEN 2
/// Duration of the first ejection; each consecutive one lasts twice as long.
#define OUTLIER_FIRST_EJECTION_SPAN (1 * USEC_PER_SEC)
/// Number of times that OUTLIER_FIRST_EJECTION_SPAN is doubled at most.
#define OUTLIER_DOUBLINGS_MAX 3

/// Ejects an upstream and clears its results.
static void
eject_upstream(struct outlier *outlier, usec_t now)
{
	unsigned doublings = outlier->ejections < OUTLIER_DOUBLINGS_MAX
	    ? outlier->ejections
	    : OUTLIER_DOUBLINGS_MAX;

	outlier->ejected_until =
	    now + (OUTLIER_FIRST_EJECTION_SPAN << doublings);
	outlier->ejections++;
	outlier->on_trial = true;
	outlier->consecutive_broken = 0;
	outlier->error_share = 0;
	outlier->n_results = 0;
}

/// Records the result of a request. The result is ignored while the upstream is
/// ejected.
///
/// @param outlier  recent results of the upstream
/// @param now      current time
/// @param result   result of the request
/// @return true if the result ejects the upstream
bool
outlier_record_result(
    struct outlier *outlier, usec_t now, enum outlier_result result)
{
	double error_sample = result == OUTLIER_SERVED ? 0 : 1;

	if (outlier_is_ejected(outlier, now))
		return false;
	outlier->error_share +=
	    OUTLIER_NEWEST_WEIGHT * (error_sample - outlier->error_share);
	outlier->n_results++;
	outlier->consecutive_broken =
	    result == OUTLIER_BROKEN || result == OUTLIER_UNREACHABLE
	    ? outlier->consecutive_broken + 1
	    : 0;
	if (result == OUTLIER_SERVED) {
		if (outlier->on_trial)
			outlier->ejections = 0;
		outlier->on_trial = false;
		return false;
	}
	if (result == OUTLIER_UNREACHABLE) {
		eject_upstream(outlier, now);
		return true;
	}
	if (result == OUTLIER_BROKEN &&
	    (outlier->on_trial ||
		outlier->consecutive_broken >=
		    OUTLIER_EJECT_CONSECUTIVE_BROKEN)) {
		eject_upstream(outlier, now);
		return true;
	}
	if (outlier->n_results >= OUTLIER_RESULTS_MIN &&
	    outlier->error_share >= OUTLIER_EJECT_ERROR_SHARE) {
		eject_upstream(outlier, now);
		return true;
	}
	return false;
}

/// @param outlier  recent results of an upstream
/// @param now      current time
/// @return whether the upstream is ejected
bool
outlier_is_ejected(const struct outlier *outlier, usec_t now)
{
	return now < outlier->ejected_until;
}

/// @param outlier  recent results of an upstream
/// @param now      current time
/// @return whether the upstream's last ejection is over, but the upstream has
///         served no request since then
bool
outlier_is_on_trial(const struct outlier *outlier, usec_t now)
{
	return outlier->on_trial && !outlier_is_ejected(outlier, now);
}
