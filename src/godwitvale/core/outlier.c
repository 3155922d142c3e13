/* Outlier ejection of one upstream. */
#include "godwitvale/core/outlier.h"

/// Weight of the newest answer in the share of errors.
#define OUTLIER_WEIGHT 0.15
/// Share of errors that ejects: well above the steady share that sound
/// upstreams answer, which is up to one in seven.
#define OUTLIER_ERROR_SHARE 0.6
/// Answers that must be known before their share of errors ejects.
#define OUTLIER_ERROR_SIGNS 6
/// Broken answers in a row that eject.
#define OUTLIER_BROKEN_ROW 2
/// The first ejection lasts this long; each further one twice as long.
#define OUTLIER_FIRST_SPAN (1 * USEC_PER_SEC)
/// Ejections last no longer than first span << this.
#define OUTLIER_DOUBLINGS_MAX 3

/// Ejects an upstream.
static void
eject(struct outlier *outlier, usec_t now)
{
	unsigned doublings = outlier->ejections < OUTLIER_DOUBLINGS_MAX
	    ? outlier->ejections
	    : OUTLIER_DOUBLINGS_MAX;

	outlier->ejected_until = now + (OUTLIER_FIRST_SPAN << doublings);
	outlier->ejections++;
	outlier->on_trial = true;
	outlier->broken = 0;
	outlier->errors = 0;
	outlier->n_signs = 0;
}

/// Takes what a request came to.
///
/// @param outlier  the upstream's record
/// @param now      time
/// @param sign     what it came to
/// @return true when that ejects the upstream
bool
outlier_sign(struct outlier *outlier, usec_t now, enum outlier_sign sign)
{
	double error = sign == OUTLIER_SERVED ? 0 : 1;

	if (outlier_is_ejected(outlier, now))
		return false;
	outlier->errors += OUTLIER_WEIGHT * (error - outlier->errors);
	outlier->n_signs++;
	outlier->broken = sign == OUTLIER_BROKEN || sign == OUTLIER_GONE
	    ? outlier->broken + 1
	    : 0;
	if (sign == OUTLIER_SERVED) {
		if (outlier->on_trial)
			outlier->ejections = 0;
		outlier->on_trial = false;
		return false;
	}
	if (sign == OUTLIER_GONE) {
		eject(outlier, now);
		return true;
	}
	if (sign == OUTLIER_BROKEN &&
	    (outlier->on_trial || outlier->broken >= OUTLIER_BROKEN_ROW)) {
		eject(outlier, now);
		return true;
	}
	if (outlier->n_signs >= OUTLIER_ERROR_SIGNS &&
	    outlier->errors >= OUTLIER_ERROR_SHARE) {
		eject(outlier, now);
		return true;
	}
	return false;
}

/// @param outlier  an upstream's record
/// @param now      time
/// @return whether nothing is sent there
bool
outlier_is_ejected(const struct outlier *outlier, usec_t now)
{
	return now < outlier->ejected_until;
}

/// @param outlier  an upstream's record
/// @param now      time
/// @return whether it is back, but has served nothing since
bool
outlier_is_on_trial(const struct outlier *outlier, usec_t now)
{
	return outlier->on_trial && !outlier_is_ejected(outlier, now);
}
