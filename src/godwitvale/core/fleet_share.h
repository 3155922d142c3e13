/*
 * Limits an instance to its share of a rate limit that applies to all instances
 * together: for requests to a cold upstream, or for retries to a service.
 *
 * Load pattern: a failure makes all instances retry, or send requests to the
 * same cold upstream, within the same second. Each instance limits itself to
 * its share of the rate, so that the sum stays within the limit without any
 * messages between instances.
 */
#ifndef GODWITVALE_CORE_FLEET_SHARE_H
#define GODWITVALE_CORE_FLEET_SHARE_H

#include <stdbool.h>

#include "godwitvale/core/time_defs.h"

/// An instance's share, as a token bucket of permits, each of which allows one
/// request; embedded by value.
struct fleet_share {
	double permits;     /// permits in the bucket; may be a fraction
	double burst;       /// capacity of the bucket, in permits
	double rate;        /// permits per second
	usec_t refilled_at; /// last refill; 0: the bucket was never filled
};

void fleet_share_configure(
    struct fleet_share *share, usec_t now, double rate, double burst);
void fleet_share_add_permits(struct fleet_share *share, double permits);
bool fleet_share_has_permit(struct fleet_share *share, usec_t now);
bool fleet_share_take_permit(struct fleet_share *share, usec_t now);
void fleet_share_configure_cold(struct fleet_share *share, usec_t now,
    double cold_rate, double overrun, double slack, unsigned n_instances);
void fleet_share_configure_retries(struct fleet_share *share, usec_t now,
    double slack, usec_t window, unsigned n_instances);

#endif
