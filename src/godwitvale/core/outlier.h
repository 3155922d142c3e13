/*
 * Outlier ejection: an upstream that fails its requests gets no requests for a
 * while. After that it is on trial: placement prefers other upstreams until it
 * serves a request again.
 *
 * Load pattern: some upstreams of a service reset connections, garble answers
 * or hang while their own health check succeeds. The errors that a healthy
 * upstream returns are a small, steady share of its answers and don't eject
 * it.
 */
#ifndef GODWITVALE_CORE_OUTLIER_H
#define GODWITVALE_CORE_OUTLIER_H

#include <stdbool.h>

#include "godwitvale/core/time_defs.h"

/// Result of one request.
enum outlier_result {
	OUTLIER_SERVED = 1,
	OUTLIER_ERROR,       /// a complete answer that reports an error
	OUTLIER_BROKEN,      /// no answer in time, or a cut or garbled one
	OUTLIER_UNREACHABLE, /// the upstream accepts no connections
};

/// Recent results of one upstream; embedded by value.
struct outlier {
	double error_share; /// moving average of failures, newest weighs most
	unsigned n_results; /// since the last ejection
	unsigned consecutive_broken; /// broken answers or failed connections
	unsigned ejections;          /// consecutive; 0 after a served trial
	usec_t ejected_until;        /// 0 if never ejected
	bool on_trial; /// was ejected and has not served a request since
};

bool outlier_record_result(
    struct outlier *outlier, usec_t now, enum outlier_result result);
bool outlier_is_ejected(const struct outlier *outlier, usec_t now);
bool outlier_is_on_trial(const struct outlier *outlier, usec_t now);

#endif
