/* Observes crashes of engines and applies the rules of the quarantine. */
#include "godwitvale/entry/segment_guard.h"

#include <string.h>

#include "godwitvale/core/hash.h"
#include "godwitvale/entry/entry_metrics.h"
#include "godwitvale/entry/guard_common.h"
#include "godwitvale/ops/log.h"

/// An engine that cuts a connection within this time from the sending, and has
/// not begun to answer, may have been down before.
#define SEGMENT_GUARD_MIN_SPAN (5 * USEC_PER_MSEC)
/// The same for an engine that has failed and not answered since. It is back if
/// it keeps a request for this long.
#define SEGMENT_GUARD_BACK_SPAN (20 * USEC_PER_MSEC)

G_STATIC_ASSERT(SITE_SEGMENTS_MAX == QUARANTINE_SEGMENTS_MAX);

struct segment_guard {
	struct entry *entry;
	struct quarantine *quarantine;
	guint sweep_source; /// GLib source id; 0: no sweep is scheduled
};

/// Checks whether a rule covers a request.
///
/// @param guard       guard with the rules
/// @param segments    segments of the request
/// @param n_segments  number of segments
/// @return whether the request is in quarantine
bool
segment_guard_covers(
    struct segment_guard *guard, const uint64_t *segments, unsigned n_segments)
{
	return n_segments > 0 &&
	    quarantine_match(guard->quarantine, g_get_monotonic_time(),
		segments, n_segments) != NULL;
}

/// Guard callback: checks whether a rule covers a request.
static bool
is_covered(void *owner, const struct entry_request *request)
{
	return segment_guard_covers(
	    owner, request->params.segments, request->params.n_segments);
}

/// Loop callback: ends the requests that a new rule covers.
static gboolean
on_sweep(gpointer data)
{
	struct segment_guard *guard = data;

	guard->sweep_source = 0;
	guard_end_covered(
	    guard->entry, is_covered, guard, GUARD_SEGMENTS_OUTCOME);
	return G_SOURCE_REMOVE;
}

/// Quarantine callback: a rule has changed.
static void
on_rule(void *owner, enum quarantine_change change,
    const struct quarantine_rule *rule)
{
	static const char *const names[] = {
	    [QUARANTINE_FORMED] = "segments-quarantined",
	    [QUARANTINE_NARROWED] = "quarantine-narrowed",
	    [QUARANTINE_LIFTED] = "quarantine-lifted",
	    [QUARANTINE_EXPIRED] = "quarantine-expired",
	};
	struct segment_guard *guard = owner;
	usec_t now = g_get_monotonic_time();
	char *segments =
	    entry_request_format_segments(rule->segments.ids, rule->segments.n);

	series_add(&entry_metric_quarantine, names[change], NULL, 1);
	log_event(LOG_LEVEL_WARN, names[change],
	    "segments=%s crashes=%u last_crash_age_ms=%" G_GINT64_FORMAT
	    " trials=%u trial_in_ms=%" G_GINT64_FORMAT,
	    segments, rule->n_crashes, (now - rule->crashed_at) / USEC_PER_MSEC,
	    rule->n_trials,
	    rule->trial_at == USEC_NEVER
		? -1
		: MAX(rule->trial_at - now, 0) / USEC_PER_MSEC);
	g_free(segments);
	if (guard->sweep_source == 0)
		guard->sweep_source = g_idle_add(on_sweep, guard);
}

/// Creates a guard without evidence.
///
/// @param entry  not owned; must outlive the guard
/// @return the guard; free with segment_guard_free()
struct segment_guard *
segment_guard_new(struct entry *entry)
{
	struct segment_guard *guard = g_new0(struct segment_guard, 1);

	guard->entry = entry;
	guard->quarantine = quarantine_new(on_rule, guard);
	return guard;
}

/// Frees a guard.
///
/// @param guard  not NULL
void
segment_guard_free(struct segment_guard *guard)
{
	if (guard->sweep_source != 0)
		g_source_remove(guard->sweep_source);
	quarantine_free(guard->quarantine);
	g_free(guard);
}

/// @param guard  guard to query
/// @return the evidence and the rules, owned by the guard
struct quarantine *
segment_guard_quarantine(struct segment_guard *guard)
{
	return guard->quarantine;
}

/// Checks whether a request may be sent to an engine.
///
/// @param request  request that is about to be placed
/// @return false if it is in quarantine
bool
segment_guard_admits(struct entry_request *request)
{
	struct segment_guard *guard = request->entry->guard;
	const struct site_request *params = &request->params;
	usec_t now = g_get_monotonic_time();
	const struct quarantine_rule *rule;

	if (params->n_segments == 0)
		return true;
	rule = quarantine_match(
	    guard->quarantine, now, params->segments, params->n_segments);
	return rule == NULL ||
	    (!request->is_trial &&
		guard_has_turn(request->entry, quarantine_rule_key(rule),
		    rule->trial_at, now));
}

/// Notes that an admitted request is sent to an engine. If a rule covers it,
/// this is the rule's trial.
///
/// @param request  request that is being sent
void
segment_guard_note_sent(struct entry_request *request)
{
	struct segment_guard *guard = request->entry->guard;
	const struct site_request *params = &request->params;
	usec_t now = g_get_monotonic_time();
	const struct quarantine_rule *rule;
	char *segments;

	if (params->n_segments == 0)
		return;
	rule = quarantine_match(
	    guard->quarantine, now, params->segments, params->n_segments);
	if (rule == NULL)
		return;
	request->is_trial = true;
	segments =
	    entry_request_format_segments(rule->segments.ids, rule->segments.n);
	log_event(LOG_LEVEL_WARN, "quarantine-trial",
	    "id=%s upstream=%s segments=%s trials=%u", request->params.id,
	    request->target.id, segments, rule->n_trials);
	g_free(segments);
	quarantine_begin_trial(
	    guard->quarantine, now, params->segments, params->n_segments);
	peers_broadcast(guard->entry->peers, PEERS_EVIDENCE);
}

/// Notes that an engine has written the first event of an answer without
/// crashing.
///
/// @param request  request that is being answered
void
segment_guard_note_answered(struct entry_request *request)
{
	struct segment_guard *guard = request->entry->guard;
	const struct site_request *params = &request->params;

	if (quarantine_add_safe(guard->quarantine, g_get_monotonic_time(),
		params->segments, params->n_segments))
		peers_broadcast(guard->entry->peers, PEERS_EVIDENCE);
}

/// Checks whether a crash is evidence against the segments of a request.
static bool
counts_against_segments(const struct crash_report *report)
{
	usec_t min_span =
	    report->was_down ? SEGMENT_GUARD_BACK_SPAN : SEGMENT_GUARD_MIN_SPAN;

	if (report->n_segments == 0)
		return false;
	if (report->began)
		return true;
	return report->was_next && report->cut_at - report->sent_at >= min_span;
}

/// Adds the crash of an engine while it began to answer a request, or while
/// this request was the next to be answered.
///
/// @param guard   guard to add to
/// @param report  request that was sent to the engine
void
segment_guard_add_crash(
    struct segment_guard *guard, const struct crash_report *report)
{
	struct quarantine_crash crash = {
	    .id =
		hash_pair(report->upstream_key, hash_name(report->request_id)),
	    .upstream = report->upstream_key,
	    .at = report->cut_at,
	    .is_early = !report->began,
	    .span = report->cut_at - report->sent_at,
	    .segments = {.n = report->n_segments},
	};

	if (!counts_against_segments(report))
		return;
	memcpy(crash.segments.ids, report->segments,
	    report->n_segments * sizeof(report->segments[0]));
	quarantine_add_crash(guard->quarantine, g_get_monotonic_time(), &crash);
	peers_broadcast(guard->entry->peers, PEERS_EVIDENCE);
	if (crash.is_early)
		peers_broadcast(guard->entry->peers, PEERS_EARLY_CRASHES);
}

/// Ends rules that have become idle.
///
/// @param guard  guard to check
/// @param now    current time
void
segment_guard_tick(struct segment_guard *guard, usec_t now)
{
	quarantine_tick(guard->quarantine, now);
}
