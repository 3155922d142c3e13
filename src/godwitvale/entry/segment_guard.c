/* Observes crashes of engines and applies the rules of the quarantine. */
#include "godwitvale/entry/segment_guard.h"

#include <string.h>

#include "godwitvale/core/hash.h"
#include "godwitvale/entry/entry_metrics.h"
#include "godwitvale/ops/log.h"

G_STATIC_ASSERT(SITE_SEGMENTS_MAX == QUARANTINE_SEGMENTS_MAX);

/// Timeout of the query that shows whether an engine has crashed.
#define SEGMENT_GUARD_PROBE_TIMEOUT (600 * USEC_PER_MSEC)
/// If the instance that may try a quarantined request gets none within this
/// time, another instance may try one.
#define SEGMENT_GUARD_TRIAL_TURN (5 * USEC_PER_SEC)

struct segment_guard {
	struct entry *entry;
	struct quarantine *quarantine;
	GHashTable *probes; /// set of struct crash_probe *; owns them
	guint sweep_source; /// GLib source id; 0: no sweep is scheduled
};

/// A query to an engine that has cut an answer at its beginning.
struct crash_probe {
	struct segment_guard *guard;
	struct fetch *fetch;
	char *upstream;   /// id of the engine
	char *request_id; /// of the request whose answer was cut
	struct quarantine_crash crash;
};

/// Frees a probe; cancels its query if it is pending.
static void
probe_free(void *data)
{
	struct crash_probe *probe = data;

	g_clear_pointer(&probe->fetch, fetch_cancel);
	g_free(probe->upstream);
	g_free(probe->request_id);
	g_free(probe);
}

/// Checks whether a request must be ended because of a rule: it isn't a
/// trial and the caller has no event of it yet.
static bool
is_to_be_ended(struct segment_guard *guard, const struct entry_request *request)
{
	return !request->is_done && !request->is_trial &&
	    request->events_sent == 0 && request->params.n_segments > 0 &&
	    quarantine_match(guard->quarantine, g_get_monotonic_time(),
		request->params.segments, request->params.n_segments) != NULL;
}

/// Loop callback: ends the requests that a new rule covers, before they
/// crash more engines.
static gboolean
on_sweep(gpointer data)
{
	struct segment_guard *guard = data;
	GList *requests = g_hash_table_get_keys(guard->entry->requests);

	guard->sweep_source = 0;
	for (GList *l = requests; l != NULL; l = l->next)
		entry_request_ref(l->data);
	for (GList *l = requests; l != NULL; l = l->next) {
		struct entry_request *request = l->data;

		if (is_to_be_ended(guard, request))
			entry_request_refuse_quarantined(request);
		entry_request_unref(request);
	}
	g_list_free(requests);
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
	guard->probes = g_hash_table_new_full(NULL, NULL, probe_free, NULL);
	return guard;
}

/// Frees a guard and cancels its queries.
///
/// @param guard  not NULL
void
segment_guard_free(struct segment_guard *guard)
{
	if (guard->sweep_source != 0)
		g_source_remove(guard->sweep_source);
	g_hash_table_unref(guard->probes);
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

/// Checks whether this instance may try a request that a rule covers.
static bool
may_try(const struct segment_guard *guard, const struct quarantine_rule *rule,
    usec_t now)
{
	uint64_t turn;

	if (now < rule->trial_at)
		return false;
	turn = (uint64_t)((now - rule->trial_at) / SEGMENT_GUARD_TRIAL_TURN);
	return membership_task_rank(peers_membership(guard->entry->peers),
		   hash_pair(quarantine_rule_key(rule), turn)) == 0;
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
	    (!request->is_trial && may_try(guard, rule, now));
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

/// Fetch callback: an engine has answered, or failed to answer, after it has
/// cut an answer at its beginning.
static void
on_probe_answered(void *owner, const struct fetch_response *answer)
{
	struct crash_probe *probe = owner;
	struct segment_guard *guard = probe->guard;
	char *segments = entry_request_format_segments(
	    probe->crash.segments.ids, probe->crash.segments.n);
	bool crashed =
	    answer->status == 0 && strcmp(answer->failure, "timeout") != 0;

	probe->fetch = NULL;
	log_event(LOG_LEVEL_WARN, "upstream-cut-at-start",
	    "id=%s upstream=%s segments=%s probe_status=%u probe_failure=%s "
	    "outcome=%s age_ms=%" G_GINT64_FORMAT,
	    probe->request_id, probe->upstream, segments, answer->status,
	    answer->failure == NULL ? "-" : answer->failure,
	    crashed ? "crashed" : "not-crashed",
	    (g_get_monotonic_time() - probe->crash.at) / USEC_PER_MSEC);
	g_free(segments);
	if (crashed) {
		series_add(&entry_metric_crashes, probe->upstream, NULL, 1);
		quarantine_add_crash(
		    guard->quarantine, g_get_monotonic_time(), &probe->crash);
		peers_broadcast(guard->entry->peers, PEERS_EVIDENCE);
	}
	g_hash_table_remove(guard->probes, probe);
}

/// Checks whether the end of an engine would be no surprise.
static bool
is_expected_to_end(const struct entry_request *request)
{
	const struct upstream_record *record = directory_find(
	    view_directory(request->entry->view), request->target.id);

	return record == NULL || record->entry.state != UPSTREAM_READY ||
	    record->missing_deadline != 0 ||
	    dispatch_is_leaving(request->entry->dispatch, &request->target);
}

/// Handles an answer that was cut. If the engine had begun the answer and had
/// sent no event, finds out whether the engine has crashed.
///
/// @param request  request whose attempt has failed
void
segment_guard_note_cut(struct entry_request *request)
{
	struct segment_guard *guard = request->entry->guard;
	const struct site_request *params = &request->params;
	struct fetch_options options = {
	    .max_body = FETCH_UPSTREAM_BYTES_MAX,
	    .pool = request->entry->pool,
	    .address = request->target.address,
	    .method = "GET",
	    .target = request->entry->site->report_target,
	    .deadline = g_get_monotonic_time() + SEGMENT_GUARD_PROBE_TIMEOUT,
	    .handler = on_probe_answered,
	};
	struct crash_probe *probe;

	if (params->n_segments == 0 || params->id == NULL ||
	    !request->answer_began || request->events_of_attempt > 0 ||
	    is_expected_to_end(request))
		return;
	probe = g_new0(struct crash_probe, 1);
	probe->guard = guard;
	probe->upstream = g_strdup(request->target.id);
	probe->request_id = g_strdup(params->id);
	probe->crash = (struct quarantine_crash){
	    .id = hash_pair(request->target.key, hash_name(params->id)),
	    .upstream = request->target.key,
	    .at = g_get_monotonic_time(),
	    .segments = {.n = params->n_segments},
	};
	memcpy(probe->crash.segments.ids, params->segments,
	    params->n_segments * sizeof(params->segments[0]));
	g_hash_table_add(guard->probes, probe);
	options.owner = probe;
	probe->fetch = fetch_start(&options);
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
