/* Slow start of an upstream, derived only from its load reports. */
#include "godwitvale/core/warmup.h"

#include <string.h>

#include <glib.h>

/// If a report shows no running requests although at least this many requests
/// of this instance should be running, the upstream has restarted without
/// changing its start epoch.
#define LOST_REQUESTS_MIN 4

/// Initialises the state of an upstream that has not reported its load yet and
/// therefore counts as cold.
///
/// @param warmup   state to initialise
/// @param options  limits in requests, spans in microseconds; copied
void
warmup_init(struct warmup *warmup, const struct warmup_options *options)
{
	memset(warmup, 0, sizeof(*warmup));
	warmup->options = *options;
	warmup->report_deadline = USEC_NEVER;
}

/// Handles a load report of an upstream.
///
/// @param warmup  state to update
/// @param now     when the report arrived
/// @param report  contents of the report
/// @return true if the report shows that the upstream has restarted
bool
warmup_handle_report(
    struct warmup *warmup, usec_t now, const struct warmup_report *report)
{
	bool is_first = warmup->last_uptime == 0 && warmup->epoch == 0;
	bool restarted = !is_first &&
	    (report->start_epoch != warmup->epoch ||
		report->uptime < warmup->last_uptime);
	bool lost_requests = !is_first && !restarted && report->running == 0 &&
	    report->expected_running >= LOST_REQUESTS_MIN;

	if (is_first || restarted)
		warmup->cold_since = now - report->uptime;
	else if (lost_requests)
		warmup->cold_since = now;
	warmup->epoch = report->start_epoch;
	warmup->last_uptime = MAX(report->uptime, 1);
	warmup->is_reporting = true;
	warmup->report_deadline =
	    report->requested_at + warmup->options.silence_span;
	return restarted || lost_requests;
}

/// Notes that the upstream does not answer. The upstream counts as cold until
/// its next load report.
///
/// @param warmup  state to update
void
warmup_mark_silent(struct warmup *warmup)
{
	warmup->is_reporting = false;
}

/// Returns the limit of concurrent requests at the upstream, for all instances
/// together.
///
/// @param warmup  state of the upstream
/// @param now     current time
/// @return number of requests, from `cold_limit` to `max_running`
uint32_t
warmup_limit(const struct warmup *warmup, usec_t now)
{
	const struct warmup_options *options = &warmup->options;
	usec_t elapsed = now - warmup->cold_since;
	double limit_range = options->max_running - options->cold_limit;

	if (options->cold_limit >= options->max_running)
		return options->max_running;
	if (!warmup->is_reporting || now > warmup->report_deadline ||
	    elapsed < 0)
		return options->cold_limit;
	if (elapsed >= options->warm_span)
		return options->max_running;
	return options->cold_limit +
	    (uint32_t)(limit_range * (double)elapsed /
		(double)options->warm_span);
}

/// Checks whether the upstream is limited to fewer requests than when warm.
///
/// @param warmup  state of the upstream
/// @param now     current time
/// @return whether the upstream is cold
bool
warmup_is_cold(const struct warmup *warmup, usec_t now)
{
	return warmup_limit(warmup, now) < warmup->options.max_running;
}
