/*
 * Outlier ejection: an upstream that fails what it is sent gets nothing for a
 * while, and then one request at a time until it serves again.
 *
 * Load pattern: some upstreams of a service reset, garble or hang while their
 * own health says that they are well. Errors that an upstream answers as a
 * matter of course are a small, steady share and eject nobody.
 */
#ifndef GODWITVALE_CORE_OUTLIER_H
#define GODWITVALE_CORE_OUTLIER_H

#include <stdbool.h>

#include "godwitvale/core/time_defs.h"

/// What one request came to.
enum outlier_sign {
	OUTLIER_SERVED = 1,
	OUTLIER_ERROR,  /// an answer that reports an error
	OUTLIER_BROKEN, /// no answer, a broken one, or one that never came
	OUTLIER_GONE,   /// nobody takes connections there
};

/// One upstream's record; embedded by value.
struct outlier {
	double errors; /// share of recent answers, most recent first
	unsigned n_signs;
	unsigned broken;      /// in a row
	unsigned ejections;   /// in a row
	usec_t ejected_until; /// 0: it isn't
	bool on_trial;        /// back from an ejection, not yet served
};

bool outlier_sign(struct outlier *outlier, usec_t now, enum outlier_sign sign);
bool outlier_is_ejected(const struct outlier *outlier, usec_t now);
bool outlier_is_on_trial(const struct outlier *outlier, usec_t now);

#endif
