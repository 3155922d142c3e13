/*
 * Slow start of one upstream: limits the upstream's concurrent requests by the
 * time since its start, and detects from its load reports that it has restarted
 * and is cold again.
 */
#ifndef GODWITVALE_CORE_WARMUP_H
#define GODWITVALE_CORE_WARMUP_H

#include <stdbool.h>
#include <stdint.h>

#include "godwitvale/core/time_defs.h"

/// Limits and times of the warm-up of one upstream.
struct warmup_options {
	uint32_t cold_limit; /// maximum concurrent requests right after a start
	uint32_t max_running; /// maximum concurrent requests when warm
	usec_t warm_span;     /// from a start until the upstream is warm
	/// from the request of a load report until the upstream counts as cold
	/// if no newer report arrives
	usec_t silence_span;
};

/// The part of a load report that concerns the upstream's start.
struct warmup_report {
	/// when this instance requested the report, on the local clock
	usec_t requested_at;
	uint64_t start_epoch; /// identifies the upstream's start
	usec_t uptime;        /// time since the upstream's start
	uint32_t running;     /// requests at the upstream, from all instances
	/// requests of this instance that the upstream should be running
	uint32_t expected_running;
};

/// Warm-up state of one upstream; embedded by value.
struct warmup {
	struct warmup_options options;
	/// a report has arrived since the last call of warmup_mark_silent()
	bool is_reporting;
	uint64_t epoch;     /// start epoch in the last report
	usec_t last_uptime; /// uptime in the last report, at least 1; 0: none
	/// latest possible time of the upstream's start, on the local clock
	usec_t cold_since;
	/// when the upstream counts as cold if no report arrives before
	usec_t report_deadline;
};

void warmup_init(struct warmup *warmup, const struct warmup_options *options);
bool warmup_handle_report(
    struct warmup *warmup, usec_t now, const struct warmup_report *report);
void warmup_mark_silent(struct warmup *warmup);
uint32_t warmup_limit(const struct warmup *warmup, usec_t now);
bool warmup_is_cold(const struct warmup *warmup, usec_t now);

#endif
