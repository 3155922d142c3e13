/*
 * Outlier ejection: an upstream whose requests fail is ejected and gets no
 * requests for a while. After the ejection the upstream is on trial: placement
 * prefers other upstreams until it serves a request again.
 *
 * Load pattern: some upstreams of a service reset connections, garble answers
 * or hang while their own health check succeeds. The errors that a healthy
 * upstream returns are a small, steady share of its answers and don't cause an
 * ejection.
 */
#ifndef GODWITVALE_CORE_OUTLIER_H
#define GODWITVALE_CORE_OUTLIER_H

#include <stdbool.h>

#include "godwitvale/core/time_defs.h"

/// Result of one request.
enum outlier_result {
	OUTLIER_SERVED = 1,  /// a complete answer that reports no error
	OUTLIER_ERROR,       /// a complete answer that reports an error
	OUTLIER_BROKEN,      /// no answer in time, or a cut or garbled one
	OUTLIER_UNREACHABLE, /// the upstream accepts no connections
};

/// Recent results of one upstream; embedded by value.
struct outlier {
	/// moving average of the share of results other than OUTLIER_SERVED,
	/// from 0 to 1; the newest result has the largest weight
	double error_share;
	unsigned n_results; /// number of results since the last ejection
	/// number of OUTLIER_BROKEN and OUTLIER_UNREACHABLE results in a row
	unsigned consecutive_broken;
	/// number of ejections in a row; 0 after a request was served on trial
	unsigned ejections;
	usec_t ejected_until; /// end of the last ejection; 0: never ejected
	/// the upstream was ejected and has not served a request since then
	bool on_trial;
};

bool outlier_record_result(
    struct outlier *outlier, usec_t now, enum outlier_result result);
bool outlier_is_ejected(const struct outlier *outlier, usec_t now);
bool outlier_is_on_trial(const struct outlier *outlier, usec_t now);

#endif
