/* Observes crashes under whole requests and applies the quarantine. */
#include "godwitvale/entry/request_guard.h"

#include "godwitvale/entry/entry_metrics.h"
#include "godwitvale/entry/guard_common.h"
#include "godwitvale/entry/segment_guard.h"
#include "godwitvale/ops/log.h"

/// No upstream begins to run a request and crashes within this time from the
/// sending; it was down before.
#define REQUEST_GUARD_MIN_SPAN (1 * USEC_PER_MSEC)
/// An upstream that cuts a connection within this time may have been down
/// before.
#define REQUEST_GUARD_SHORT_SPAN (5 * USEC_PER_MSEC)

/// An engine that crashes under a generation this soon hasn't read its prompt:
/// the generation was there by chance, or waited.
#define REQUEST_GUARD_PROMPT_SPAN (20 * USEC_PER_MSEC)

/// Delay from new evidence until the other instances are told, in milliseconds.
/// A crash is evidence on each of the requests that were there.
#define REQUEST_GUARD_TELL_DELAY_MS 5

struct request_guard {
	struct entry *entry;
	struct crash_suspects *suspects;
	/// Set of upstreams, by the hash of their ids, that have failed and not
	/// answered since.
	GHashTable *down;
	guint sweep_source; /// GLib source id; 0: no sweep is scheduled
	guint tell_source;  /// tells the other instances; 0: not scheduled
};

/// Finds a request that arrives, or is to be sent, among the suspects.
///
/// @return the suspect if it is in quarantine, or NULL
static const struct crash_suspect *
match_request(struct request_guard *guard, const struct entry_request *request)
{
	crash_suspects_set_segments(guard->suspects, request->fingerprint,
	    request->params.segments, request->params.n_segments);
	return crash_suspects_match(
	    guard->suspects, g_get_monotonic_time(), request->fingerprint);
}

/// Guard callback: checks whether a request is in quarantine.
static bool
is_covered(void *owner, const struct entry_request *request)
{
	return request->service != NULL &&
	    match_request(owner, request) != NULL;
}

/// Loop callback: ends the requests that a new quarantine covers.
static gboolean
on_sweep(gpointer data)
{
	struct request_guard *guard = data;

	guard->sweep_source = 0;
	guard_end_covered(
	    guard->entry, is_covered, guard, GUARD_REQUEST_OUTCOME);
	return G_SOURCE_REMOVE;
}

/// Loop callback: the delay after new evidence is over.
static gboolean
on_tell_due(gpointer data)
{
	struct request_guard *guard = data;

	guard->tell_source = 0;
	peers_broadcast(guard->entry->peers, PEERS_SUSPECTS);
	return G_SOURCE_REMOVE;
}

/// Schedules that the other instances are told of new evidence.
static void
schedule_tell(struct request_guard *guard)
{
	if (guard->tell_source == 0)
		guard->tell_source = g_timeout_add(
		    REQUEST_GUARD_TELL_DELAY_MS, on_tell_due, guard);
}

/// Suspects callback: a quarantine has begun or ended.
static void
on_change(void *owner, enum crash_suspect_change change,
    const struct crash_suspect *suspect)
{
	static const char *const names[] = {
	    [CRASH_SUSPECT_QUARANTINED] = "request-quarantined",
	    [CRASH_SUSPECT_LIFTED] = "request-quarantine-lifted",
	    [CRASH_SUSPECT_EXPIRED] = "request-quarantine-expired",
	};
	struct request_guard *guard = owner;
	usec_t now = g_get_monotonic_time();
	usec_t crashed_at = suspect->n_exposures == 0
	    ? now
	    : suspect->exposures[suspect->n_exposures - 1].crashed_at;

	series_add(&entry_metric_quarantine, names[change], NULL, 1);
	log_event(LOG_LEVEL_WARN, names[change],
	    "fingerprint=%016" G_GINT64_MODIFIER
	    "x crashes=%u last_crash_age_ms=%" G_GINT64_FORMAT
	    " known=%d trials=%u trial_in_ms=%" G_GINT64_FORMAT,
	    suspect->fingerprint, suspect->n_exposures,
	    (now - crashed_at) / USEC_PER_MSEC, suspect->answered_at != 0,
	    suspect->n_trials,
	    suspect->trial_at == USEC_NEVER
		? -1
		: MAX(suspect->trial_at - now, 0) / USEC_PER_MSEC);
	if (change == CRASH_SUSPECT_QUARANTINED && guard->sweep_source == 0)
		guard->sweep_source = g_idle_add(on_sweep, guard);
}

/// Creates a guard without evidence.
///
/// @param entry  not owned; must outlive the guard
/// @return the guard; free with request_guard_free()
struct request_guard *
request_guard_new(struct entry *entry)
{
	struct request_guard *guard = g_new0(struct request_guard, 1);

	guard->entry = entry;
	guard->suspects = crash_suspects_new(
	    on_change, guard, segment_guard_quarantine(entry->guard));
	guard->down =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	return guard;
}

/// Frees a guard.
///
/// @param guard  not NULL
void
request_guard_free(struct request_guard *guard)
{
	if (guard->sweep_source != 0)
		g_source_remove(guard->sweep_source);
	if (guard->tell_source != 0)
		g_source_remove(guard->tell_source);
	g_hash_table_unref(guard->down);
	crash_suspects_free(guard->suspects);
	g_free(guard);
}

/// @param guard  guard to query
/// @return the evidence, owned by the guard
struct crash_suspects *
request_guard_suspects(struct request_guard *guard)
{
	return guard->suspects;
}

/// Checks whether a request may be sent to an upstream.
///
/// @param request  request that is about to be placed
/// @return false if it is in quarantine
bool
request_guard_admits(struct entry_request *request)
{
	struct request_guard *guard = request->entry->request_guard;
	usec_t now = g_get_monotonic_time();
	const struct crash_suspect *suspect = match_request(guard, request);

	return suspect == NULL ||
	    (!request->is_trial &&
		guard_has_turn(request->entry, suspect->fingerprint,
		    suspect->trial_at, now));
}

/// Notes that an admitted request is sent to an upstream. If it is in
/// quarantine, this is a trial.
///
/// @param request  request that is being sent
void
request_guard_note_sent(struct entry_request *request)
{
	struct request_guard *guard = request->entry->request_guard;
	usec_t now = g_get_monotonic_time();
	const struct crash_suspect *suspect = match_request(guard, request);

	if (suspect == NULL)
		return;
	request->is_trial = true;
	log_event(LOG_LEVEL_WARN, "request-quarantine-trial",
	    "id=%s upstream=%s fingerprint=%016" G_GINT64_MODIFIER
	    "x trials=%u",
	    request->params.id, request->target.id, request->fingerprint,
	    suspect->n_trials);
	crash_suspects_begin_trial(guard->suspects, now, request->fingerprint);
	schedule_tell(guard);
}

/// Notes that an attempt at an upstream has failed.
///
/// @param request  request that was sent there
/// @return whether the upstream had failed before, and not answered since
bool
request_guard_note_failed(const struct entry_request *request)
{
	uint64_t key = request->target.key;

	return !g_hash_table_add(
	    request->entry->request_guard->down, g_memdup2(&key, sizeof(key)));
}

/// Notes that an upstream answers, whatever the answer is.
///
/// @param request  request that is being answered
void
request_guard_note_alive(const struct entry_request *request)
{
	g_hash_table_remove(
	    request->entry->request_guard->down, &request->target.key);
}

/// Forgets an upstream that is gone.
///
/// @param guard  guard to change
/// @param key    hash of the upstream's id
void
request_guard_forget_upstream(struct request_guard *guard, uint64_t key)
{
	g_hash_table_remove(guard->down, &key);
}

/// Notes that an upstream has answered a request without crashing.
///
/// @param request  request that is being answered
void
request_guard_note_answered(struct entry_request *request)
{
	struct request_guard *guard = request->entry->request_guard;

	if (crash_suspects_note_answered(
		guard->suspects, g_get_monotonic_time(), request->fingerprint))
		schedule_tell(guard);
}

/// Adds the crash of an upstream to which a request had been sent.
///
/// @param guard   guard to add to
/// @param report  the request
void
request_guard_add_crash(
    struct request_guard *guard, const struct crash_report *report)
{
	usec_t span = report->cut_at - report->sent_at;
	bool is_short = span < REQUEST_GUARD_SHORT_SPAN;
	bool has_run = report->began && span >= REQUEST_GUARD_PROMPT_SPAN;
	const struct crash_exposure exposure = {
	    .upstream = report->upstream_key,
	    .crashed_at = report->cut_at,
	    .span = span,
	    .is_weak = is_short || (report->is_generation && !has_run),
	};

	if (span < REQUEST_GUARD_MIN_SPAN || (is_short && report->was_down))
		return;
	if (crash_suspects_add(guard->suspects, g_get_monotonic_time(),
		report->fingerprint, &exposure))
		schedule_tell(guard);
	crash_suspects_set_segments(guard->suspects, report->fingerprint,
	    report->segments, report->n_segments);
}

/// Forgets evidence that is of no use any more.
///
/// @param guard  guard to check
/// @param now    current time
void
request_guard_tick(struct request_guard *guard, usec_t now)
{
	crash_suspects_tick(guard->suspects, now);
}
