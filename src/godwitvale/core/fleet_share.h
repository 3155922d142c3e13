/*
 * This instance's share of a rate that binds all instances together: requests
 * to a cold upstream, repeats to a service.
 *
 * Load pattern: a failure makes every instance repeat, or turn to the same
 * cold upstream, in the same second. Each keeps to its part of the rate, so
 * that the sum holds without a message.
 */
#ifndef GODWITVALE_CORE_FLEET_SHARE_H
#define GODWITVALE_CORE_FLEET_SHARE_H

#include <stdbool.h>

#include "godwitvale/core/time_defs.h"

/// One share: a bucket of permits; embedded by value.
struct fleet_share {
	double level;
	double burst; /// permits that can be saved up
	double rate;  /// permits a second
	usec_t at;    /// of the level; 0: never filled
};

void fleet_share_set(
    struct fleet_share *share, usec_t now, double rate, double burst);
void fleet_share_earn(struct fleet_share *share, double permits);
bool fleet_share_has(struct fleet_share *share, usec_t now);
bool fleet_share_take(struct fleet_share *share, usec_t now);
void fleet_share_cold(struct fleet_share *share, usec_t now, double cold_rate,
    double overrun, double slack, unsigned n_instances);
void fleet_share_retries(struct fleet_share *share, usec_t now, double slack,
    usec_t window, unsigned n_instances);

#endif
