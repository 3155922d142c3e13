/* Slow start of an upstream, worked out from its reports alone. */
#include "godwitvale/core/warmup.h"

#include <string.h>

#include <glib.h>

/// So many of our requests gone from one report at once mean a restart that
/// the start epoch did not show.
#define JUMP_RUNNING 4

/// Starts the record of an upstream of which nothing is known yet.
///
/// @param warmup   filled in
/// @param options  limits in requests, spans in microseconds
void
warmup_init(struct warmup *warmup, const struct warmup_options *options)
{
	memset(warmup, 0, sizeof(*warmup));
	warmup->options = *options;
	warmup->silent_after = USEC_NEVER;
}

/// Takes a load report.
///
/// @param warmup  the record
/// @param now     when the report arrived
/// @param report  what it says
/// @return true when it shows that the upstream has started anew
bool
warmup_report(
    struct warmup *warmup, usec_t now, const struct warmup_report *report)
{
	bool first = warmup->last_uptime == 0 && warmup->epoch == 0;
	bool restarted = !first &&
	    (report->start_epoch != warmup->epoch ||
		report->uptime < warmup->last_uptime);
	bool jumped = !first && !restarted && report->running == 0 &&
	    report->expected_running >= JUMP_RUNNING;

	if (first || restarted)
		warmup->cold_from = now - report->uptime;
	else if (jumped)
		warmup->cold_from = now;
	warmup->epoch = report->start_epoch;
	warmup->last_uptime = MAX(report->uptime, 1);
	warmup->known = true;
	warmup->silent_after = report->asked_at + warmup->options.silence_span;
	return restarted || jumped;
}

/// Notes that the upstream does not answer; it is cold until it reports.
///
/// @param warmup  the record
void
warmup_silent(struct warmup *warmup)
{
	warmup->known = false;
}

/// Gives the number of requests that the upstream bears, fleet-wide.
///
/// @param warmup  the record
/// @param now     current time
/// @return requests, from cold_limit up to max_running
uint32_t
warmup_limit(const struct warmup *warmup, usec_t now)
{
	const struct warmup_options *options = &warmup->options;
	usec_t warm_for = now - warmup->cold_from;
	double span = options->max_running - options->cold_limit;

	if (options->cold_limit >= options->max_running)
		return options->max_running;
	if (!warmup->known || now > warmup->silent_after || warm_for < 0)
		return options->cold_limit;
	if (warm_for >= options->warm_span)
		return options->max_running;
	return options->cold_limit +
	    (uint32_t)(span * (double)warm_for / (double)options->warm_span);
}

/// Says whether the upstream bears less than its full load.
///
/// @param warmup  the record
/// @param now     current time
/// @return whether it is cold
bool
warmup_is_cold(const struct warmup *warmup, usec_t now)
{
	return warmup_limit(warmup, now) < warmup->options.max_running;
}
