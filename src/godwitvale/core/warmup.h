/*
 * Slow start of one upstream: how many requests it bears by the time since
 * its start, and the signs that it has turned cold again.
 */
#ifndef GODWITVALE_CORE_WARMUP_H
#define GODWITVALE_CORE_WARMUP_H

#include <stdbool.h>
#include <stdint.h>

#include "godwitvale/core/time_defs.h"

/// How one upstream warms up.
struct warmup_options {
	uint32_t cold_limit;  /// requests it bears right after a start
	uint32_t max_running; /// requests it bears when warm
	usec_t warm_span;
	usec_t silence_span; /// no report for this long counts as cold
};

/// What a report says on the upstream's start.
struct warmup_report {
	usec_t asked_at; /// when it was asked for, on our clock
	uint64_t start_epoch;
	usec_t uptime;
	uint32_t running;
	uint32_t expected_running; /// our requests that it should be running
};

/// State of one upstream's start; embedded by value.
struct warmup {
	struct warmup_options options;
	bool known;          /// a report has come, and it isn't silent
	uint64_t epoch;      /// of the last report
	usec_t last_uptime;  /// as reported
	usec_t cold_from;    /// when it started, on our clock, at the latest
	usec_t silent_after; /// deadline for the next report
};

void warmup_init(struct warmup *warmup, const struct warmup_options *options);
bool warmup_report(
    struct warmup *warmup, usec_t now, const struct warmup_report *report);
void warmup_silent(struct warmup *warmup);
uint32_t warmup_limit(const struct warmup *warmup, usec_t now);
bool warmup_is_cold(const struct warmup *warmup, usec_t now);

#endif
