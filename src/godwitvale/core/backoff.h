/*
 * Computes the retry delays of calls to a service that a whole fleet of
 * instances calls, such as the store.
 *
 * Load pattern: an outage of the store fails the calls of every instance at
 * once. If each instance retried as often as a single client would, the
 * outage would cause more calls than the rest of the day, and these calls would
 * reach the store at the moment of its recovery. So the delays grow with the
 * number of instances, and the first instance that gets an answer causes the
 * other instances to retry soon.
 */
#ifndef GODWITVALE_CORE_BACKOFF_H
#define GODWITVALE_CORE_BACKOFF_H

#include "godwitvale/core/time_defs.h"

/// Backoff of one kind of call; embedded by value. All fields are zero before
/// the first failure and after a success.
struct backoff {
	unsigned failures; /// number of consecutive failed calls
	usec_t delay;      /// from the last failure to the retry, before jitter
	usec_t retry_at;   /// when to retry the call
};

void backoff_reset(struct backoff *backoff);
void backoff_record_failure(struct backoff *backoff, usec_t now,
    unsigned fleet_size, unsigned n_others_failing, double jitter);
void backoff_shorten(struct backoff *backoff, usec_t now, double jitter);

#endif
