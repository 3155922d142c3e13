/* Queries upstreams that have cut a connection. */
#include "godwitvale/entry/crash_probe.h"

#include <string.h>

#include "godwitvale/core/crash_doubts.h"
#include "godwitvale/entry/entry_metrics.h"
#include "godwitvale/entry/reach_monitor.h"
#include "godwitvale/entry/request_guard.h"
#include "godwitvale/entry/segment_guard.h"
#include "godwitvale/ops/log.h"

/// Timeout of the query that shows whether an upstream has crashed.
#define CRASH_PROBE_TIMEOUT (600 * USEC_PER_MSEC)

struct crash_probes {
	struct entry *entry;
	GHashTable *pending;         /// set of struct crash_probe *; owns them
	struct crash_doubts *doubts; /// the finished ones that don't count yet
};

/// A query to an upstream.
struct crash_probe {
	struct crash_probes *probes;
	struct fetch *fetch; /// NULL: the upstream has crashed, it seems
	struct crash_report report;
};

/// Frees a probe; cancels its query if it is pending.
static void
probe_free(void *data)
{
	struct crash_probe *probe = data;

	g_clear_pointer(&probe->fetch, fetch_cancel);
	g_free(probe->report.request_id);
	g_free(probe->report.upstream);
	g_free(probe);
}

/// @param entry  instance whose upstreams are queried; not owned
/// @return an empty set of queries; free with crash_probes_free()
struct crash_probes *
crash_probes_new(struct entry *entry)
{
	struct crash_probes *probes = g_new0(struct crash_probes, 1);

	probes->entry = entry;
	probes->pending = g_hash_table_new_full(NULL, NULL, probe_free, NULL);
	probes->doubts = crash_doubts_new();
	return probes;
}

/// Cancels all queries.
///
/// @param probes  not NULL
void
crash_probes_free(struct crash_probes *probes)
{
	g_hash_table_unref(probes->pending);
	crash_doubts_free(probes->doubts);
	g_free(probes);
}

/// Passes a crash to the guards.
static void
count_crash(struct crash_probes *probes, const struct crash_report *report)
{
	series_add(&entry_metric_crashes, report->upstream, NULL, 1);
	segment_guard_add_crash(probes->entry->guard, report);
	/* A segment in quarantine explains the crash. An event clears a whole
	 * request: a stream that has just begun beside a crashing one is
	 * resumed at the next engine at once. */
	if (!report->had_event &&
	    !segment_guard_covers(
		probes->entry->guard, report->segments, report->n_segments))
		request_guard_add_crash(probes->entry->request_guard, report);
}

/// Counts the crashes that are certain by now.
static void
count_confirmed(struct crash_probes *probes)
{
	struct crash_probe *probe;

	while ((probe = crash_doubts_take_confirmed(probes->doubts)) != NULL) {
		count_crash(probes, &probe->report);
		g_hash_table_remove(probes->pending, probe);
	}
}

/// Notes that an upstream has answered: this instance isn't cut off, so that
/// the crashes right before were no cut of its own links.
///
/// @param entry    instance that has the answer
/// @param sent_at  time at which what is answered was sent
void
crash_probes_note_round_trip(struct entry *entry, usec_t sent_at)
{
	crash_doubts_note_answered(entry->crash_probes->doubts, sent_at);
	count_confirmed(entry->crash_probes);
}

/// Drops a crash that can't be told from a cut of this instance's own links.
static void
drop_crash(struct crash_probe *probe, usec_t now)
{
	log_event(LOG_LEVEL_WARN, "crash-unconfirmed",
	    "id=%s upstream=%s age_ms=%" G_GINT64_FORMAT " outcome=dropped",
	    probe->report.request_id, probe->report.upstream,
	    (now - probe->report.cut_at) / USEC_PER_MSEC);
	g_hash_table_remove(probe->probes->pending, probe);
}

/// Drops the crashes that can't be confirmed any more, and has upstreams probed
/// for the others: those that were probed before may have crashed, too.
///
/// @param probes  probes to check
/// @param now     current time
void
crash_probes_tick(struct crash_probes *probes, usec_t now)
{
	struct crash_probe *probe;

	while ((probe = crash_doubts_take_expired(probes->doubts, now)) != NULL)
		drop_crash(probe, now);
	if (crash_doubts_want_probes(probes->doubts, now))
		reach_monitor_verify(probes->entry);
}

/// Keeps a crash until it is certain. This instance's own links may have been
/// cut instead, which probes of other upstreams show.
static void
keep_crash(struct crash_probes *probes, struct crash_probe *probe)
{
	if (!crash_doubts_add(probes->doubts, probe->report.cut_at, probe)) {
		drop_crash(probe, g_get_monotonic_time());
		return;
	}
	reach_monitor_verify(probes->entry);
	count_confirmed(probes);
}

/// Fetch callback: an upstream has answered, or failed to answer.
static void
on_answered(void *owner, const struct fetch_response *answer)
{
	struct crash_probe *probe = owner;
	struct crash_probes *probes = probe->probes;
	const struct crash_report *report = &probe->report;
	char *segments =
	    entry_request_format_segments(report->segments, report->n_segments);
	bool crashed =
	    answer->status == 0 && strcmp(answer->failure, "timeout") != 0;

	probe->fetch = NULL;
	log_event(LOG_LEVEL_WARN, "upstream-cut-at-start",
	    "id=%s upstream=%s segments=%s probe_status=%u probe_failure=%s "
	    "outcome=%s age_ms=%" G_GINT64_FORMAT " sent_ms=%" G_GINT64_FORMAT
	    " began=%d fingerprint=%016" G_GINT64_MODIFIER "x",
	    report->request_id, report->upstream, segments, answer->status,
	    answer->failure == NULL ? "-" : answer->failure,
	    crashed ? "crashed" : "not-crashed",
	    (g_get_monotonic_time() - report->cut_at) / USEC_PER_MSEC,
	    (report->cut_at - report->sent_at) / USEC_PER_MSEC, report->began,
	    report->fingerprint);
	g_free(segments);
	if (crashed)
		keep_crash(probes, probe);
	else
		g_hash_table_remove(probes->pending, probe);
}

/// Checks whether the end of an upstream would be no surprise.
static bool
is_expected_to_end(const struct entry_request *request)
{
	const struct upstream_record *record = directory_find(
	    view_directory(request->entry->view), request->target.id);

	return record == NULL || record->entry.state != UPSTREAM_READY ||
	    record->missing_deadline != 0 ||
	    dispatch_is_leaving(request->entry->dispatch, &request->target);
}

/// @return target of a GET that the request's upstream answers while it lives
static const char *
find_probe_target(const struct entry_request *request)
{
	const struct service *service =
	    deployment_find_service(request->deployment, request->service);

	if (request->route->is_generation || service == NULL ||
	    service->health_path == NULL)
		return request->entry->site->report_target;
	return service->health_path;
}

/// Checks whether an engine was to begin a request's answer next, of all
/// requests of this instance that it had when it crashed and hadn't begun to
/// answer. One that it had begun to answer may have been there by chance, so it
/// is reported beside this one. Their connections are cut one after the other,
/// so some may still seem to run.
static bool
was_next_to_be_answered(const struct entry_request *request)
{
	const struct entry *entry = request->entry;
	uint64_t key = request->target.key;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, entry->requests);
	while (g_hash_table_iter_next(&iter, &value, NULL)) {
		const struct entry_request *other = value;

		if (other != request && other->exchange != NULL &&
		    other->target.key == key && !other->is_forwarding &&
		    !other->answer_began && other->route->is_generation &&
		    other->sent_at < request->sent_at)
			return false;
	}
	g_hash_table_iter_init(&iter, entry->crash_probes->pending);
	while (g_hash_table_iter_next(&iter, &value, NULL)) {
		const struct crash_report *other =
		    &((const struct crash_probe *)value)->report;

		if (other->upstream_key == key &&
		    request->sent_at < other->cut_at && !other->began &&
		    other->sent_at < request->sent_at)
			return false;
	}
	return true;
}

/// Copies what is known of a request's attempt.
static struct crash_report
make_report(const struct entry_request *request, bool was_down)
{
	const struct site_request *params = &request->params;
	struct crash_report report = {
	    .request_id = g_strdup(params->id),
	    .upstream = g_strdup(request->target.id),
	    .upstream_key = request->target.key,
	    .sent_at = request->sent_at,
	    .cut_at = g_get_monotonic_time(),
	    .fingerprint = request->fingerprint,
	    .n_segments = params->n_segments,
	    .is_generation = request->route->is_generation,
	    .began = request->answer_began,
	    .had_event = request->events_of_attempt > 0,
	    .was_next = request->route->is_generation &&
		was_next_to_be_answered(request),
	    .was_down = was_down,
	};

	memcpy(report.segments, params->segments, sizeof(report.segments));
	return report;
}

/// Handles a request whose connection was cut after it was sent. If its
/// upstream hadn't answered it, finds out whether the upstream has crashed.
///
/// @param request   request whose attempt has failed
/// @param was_down  the upstream had failed before, and not answered since
void
crash_probes_note_cut(struct entry_request *request, bool was_down)
{
	struct entry *entry = request->entry;
	struct fetch_options options = {
	    .max_body = FETCH_UPSTREAM_BYTES_MAX,
	    .pool = entry->pool,
	    .address = request->target.address,
	    .method = "GET",
	    .target = find_probe_target(request),
	    .deadline = g_get_monotonic_time() + CRASH_PROBE_TIMEOUT,
	    .handler = on_answered,
	};
	struct crash_probe *probe;

	if (request->params.id == NULL || request->has_survived ||
	    is_expected_to_end(request))
		return;
	probe = g_new0(struct crash_probe, 1);
	probe->probes = entry->crash_probes;
	probe->report = make_report(request, was_down);
	g_hash_table_add(entry->crash_probes->pending, probe);
	options.owner = probe;
	probe->fetch = fetch_start(&options);
}
