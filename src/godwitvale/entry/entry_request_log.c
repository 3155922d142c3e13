/* Log lines and metrics of a request's end, and text of its fields. */
#include "godwitvale/entry/entry_metrics.h"
#include "godwitvale/entry/entry_request_defs.h"
#include "godwitvale/ops/log.h"

/// Formats the ids of prompt segments.
///
/// @param segments    ids
/// @param n_segments  number of ids
/// @return the ids, in hexadecimal and separated by commas, or "-"; owned by
///         the caller
char *
entry_request_format_segments(const uint64_t *segments, unsigned n_segments)
{
	GString *text = g_string_new(n_segments == 0 ? "-" : NULL);

	for (unsigned i = 0; i < n_segments; i++)
		g_string_append_printf(text, "%s%" G_GINT64_MODIFIER "x",
		    i == 0 ? "" : ",", segments[i]);
	return g_string_free(text, false);
}

/// Logs the end of a request.
///
/// @param request  request whose final answer was written or aborted
/// @param status   HTTP status of the answer; 0 if it was aborted
/// @param outcome  one word
void
entry_request_log_end(
    const struct entry_request *request, unsigned status, const char *outcome)
{
	usec_t now = g_get_monotonic_time();

	log_event(status < 500 && status != 0 ? LOG_LEVEL_INFO : LOG_LEVEL_WARN,
	    "request-ended",
	    "id=%s route=%s upstream=%s status=%u outcome=%s verdict=%s "
	    "attempts=%u handovers=%u events=%u last_event=%" G_GINT64_FORMAT
	    " first_ms=%" G_GINT64_FORMAT " gap_ms=%" G_GINT64_FORMAT
	    " total_ms=%" G_GINT64_FORMAT " prompt=%d output=%d hint=%d "
	    "limit=%.2f fingerprint=%016" G_GINT64_MODIFIER
	    "x conn=%" G_GUINT64_FORMAT,
	    request->params.id == NULL ? "-" : request->params.id,
	    request->route == NULL ? "-" : request->route->name,
	    request->target.id == NULL ? "-" : request->target.id, status,
	    outcome, verdict_name(request->verdict), request->attempts,
	    request->handovers, request->events_sent, request->last_event_id,
	    request->first_event_at == 0
		? -1
		: (request->first_event_at - request->arrived_at) /
		    USEC_PER_MSEC,
	    request->longest_gap / USEC_PER_MSEC,
	    (now - request->arrived_at) / USEC_PER_MSEC,
	    request->params.prompt_tokens, request->params.max_output_tokens,
	    request->params.output_hint, request->named_limit,
	    request->fingerprint, request->connection);
}

/// Records the outcome and the times of a request that has ended, as metrics.
///
/// @param request  request whose final answer was written or aborted
/// @param outcome  one word
void
entry_request_record_metrics(
    const struct entry_request *request, const char *outcome)
{
	const char *route =
	    request->route == NULL ? "none" : request->route->name;

	series_add(&entry_metric_requests_ended, route, outcome, 1);
	if (request->service == NULL)
		return;
	series_observe(&entry_metric_request_duration, route, request->service,
	    g_get_monotonic_time() - request->arrived_at);
	if (request->first_event_at != 0)
		series_observe(&entry_metric_first_event, route,
		    request->service,
		    request->first_event_at - request->arrived_at);
	if (request->events_sent > 1)
		series_observe(&entry_metric_event_gap, route, request->service,
		    request->longest_gap);
}
