/*
 * Slow start of one upstream: limits its requests by the time since it started,
 * and detects from its load reports that it has restarted and is cold again.
 */
#ifndef GODWITVALE_CORE_WARMUP_H
#define GODWITVALE_CORE_WARMUP_H

#include <stdbool.h>
#include <stdint.h>

#include "godwitvale/core/time_defs.h"

/// How one upstream warms up.
struct warmup_options {
	uint32_t cold_limit;  /// concurrent requests right after a start
	uint32_t max_running; /// concurrent requests when warm
	usec_t warm_span;     /// from a start until the upstream is warm
	usec_t silence_span;  /// after this long without a report, it is cold
};

/// The part of a load report that concerns the upstream's start.
struct warmup_report {
	usec_t requested_at;  /// when the report was requested, on our clock
	uint64_t start_epoch; /// identifies the upstream's start
	usec_t uptime;        /// since that start
	uint32_t running;     /// requests at the upstream, from all instances
	uint32_t expected_running; /// our requests that it should be running
};

/// Warm-up state of one upstream; embedded by value.
struct warmup {
	struct warmup_options options;
	bool is_reporting;  /// has reported and is not silent
	uint64_t epoch;     /// start epoch of the last report
	usec_t last_uptime; /// uptime in the last report, at least 1
	usec_t cold_since;  /// latest possible time of its start, on our clock
	usec_t report_deadline; /// it is cold without a report by then
};

void warmup_init(struct warmup *warmup, const struct warmup_options *options);
bool warmup_handle_report(
    struct warmup *warmup, usec_t now, const struct warmup_report *report);
void warmup_mark_silent(struct warmup *warmup);
uint32_t warmup_limit(const struct warmup *warmup, usec_t now);
bool warmup_is_cold(const struct warmup *warmup, usec_t now);

#endif
