/* Compares the starts that engines report with those in the directory. */
#include "godwitvale/entry/version_check.h"

#include "godwitvale/entry/entry_metrics.h"
#include "godwitvale/entry/resumption.h"
#include "godwitvale/ops/log.h"

/// A view that was confirmed within this time is taken for the present. It is
/// confirmed several times a second while the store answers.
#define VERSION_CHECK_VIEW_AGE (900 * USEC_PER_MSEC)
/// Time that an engine has to report.
#define VERSION_CHECK_TIMEOUT (400 * USEC_PER_MSEC)

struct version_checks {
	struct entry *entry;
	/// Start of the engine, by the hash of its id, where it is later than
	/// the one in the directory: uint64_t *.
	GHashTable *later_starts;
	/// struct confirmation *, by the hash of the engine's id
	GHashTable *confirmations;
};

/// A report that named the start of an engine that the directory has.
struct confirmation {
	uint64_t incarnation_key;
	usec_t asked_at;
};

/// @param entry  not owned; must outlive the checks
/// @return checks without a finding; free with version_checks_free()
struct version_checks *
version_checks_new(struct entry *entry)
{
	struct version_checks *checks = g_new0(struct version_checks, 1);

	checks->entry = entry;
	checks->later_starts =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	checks->confirmations =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	return checks;
}

/// Frees the checks.
///
/// @param checks  not NULL
void
version_checks_free(struct version_checks *checks)
{
	g_hash_table_unref(checks->later_starts);
	g_hash_table_unref(checks->confirmations);
	g_free(checks);
}

/// Forgets an engine that has left the directory.
///
/// @param checks  findings to update
/// @param key     hash of the engine's id
void
version_checks_forget(struct version_checks *checks, uint64_t key)
{
	g_hash_table_remove(checks->later_starts, &key);
	g_hash_table_remove(checks->confirmations, &key);
}

/// Notes that an engine is the process that the directory describes, and that
/// it was when the requests were sent to it that it still answers.
static void
confirm(struct version_checks *checks, const struct upstream_record *record,
    usec_t asked_at)
{
	const struct confirmation confirmation = {
	    .incarnation_key = record->incarnation_key,
	    .asked_at = asked_at,
	};
	GHashTableIter iter;
	void *key;

	g_hash_table_replace(checks->confirmations,
	    g_memdup2(&record->key, sizeof(record->key)),
	    g_memdup2(&confirmation, sizeof(confirmation)));
	g_hash_table_iter_init(&iter, checks->entry->requests);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct entry_request *request = key;

		if (request->exchange != NULL && !request->is_forwarding &&
		    request->target.incarnation_key ==
			record->incarnation_key &&
		    request->sent_at <= asked_at)
			request->is_confirmed = true;
	}
}

/// Checks whether a reported start is the known one. Where either isn't named,
/// nothing speaks against it.
static bool
is_start(uint64_t reported, uint64_t known)
{
	return reported == known || reported == 0 || known == 0;
}

/// Notes what an engine has reported of its start.
///
/// @param checks    findings to update
/// @param id        id of the engine
/// @param report    its report
/// @param asked_at  when it was asked
void
version_checks_note_report(struct version_checks *checks, const char *id,
    const struct site_report *report, usec_t asked_at)
{
	const struct upstream_record *record =
	    directory_find(view_directory(checks->entry->view), id);
	uint64_t known;

	if (record == NULL)
		return;
	known = record->entry.incarnation;
	if (is_start(report->incarnation, known))
		confirm(checks, record, asked_at);
	if (report->incarnation == 0)
		return;
	if (known == 0 || report->incarnation <= known) {
		g_hash_table_remove(checks->later_starts, &record->key);
		return;
	}
	g_hash_table_remove(checks->confirmations, &record->key);
	if (version_checks_is_doubtful(checks, record))
		return;
	g_hash_table_replace(checks->later_starts,
	    g_memdup2(&record->key, sizeof(record->key)),
	    g_memdup2(&report->incarnation, sizeof(report->incarnation)));
	series_add(
	    &entry_metric_upstream_changes, "upstream-reborn-unseen", NULL, 1);
	log_event(LOG_LEVEL_WARN, "upstream-reborn-unseen",
	    "upstream=%s known_start=%" G_GUINT64_FORMAT
	    " reported_start=%" G_GUINT64_FORMAT
	    " view_age_ms=%" G_GINT64_FORMAT " outcome=version-unknown",
	    id, known, report->incarnation,
	    (g_get_monotonic_time() -
		view_read_at(checks->entry->view, SITE_SCOPE_UPSTREAMS)) /
		USEC_PER_MSEC);
	resumption_doubt_upstream(checks->entry->resumption, record);
}

/// @param checks  findings to query
/// @param record  directory record of an engine
/// @return whether the engine has started again since, so that its software
///         version isn't known
bool
version_checks_is_doubtful(
    const struct version_checks *checks, const struct upstream_record *record)
{
	const uint64_t *start =
	    g_hash_table_lookup(checks->later_starts, &record->key);

	return start != NULL && *start > record->entry.incarnation;
}

/// Checks whether the target of a request is confirmed as the process that the
/// directory described at the placement.
static bool
is_target_confirmed(const struct entry_request *request)
{
	const struct entry *entry = request->entry;
	const struct confirmation *confirmation = g_hash_table_lookup(
	    entry->version_checks->confirmations, &request->target.key);

	return confirmation != NULL &&
	    confirmation->incarnation_key == request->target.incarnation_key &&
	    pool_connected_since(entry->pool, request->target.address) <=
	    confirmation->asked_at;
}

/// Notes that a request is about to be sent to its target.
///
/// @param request  request with a target, without an exchange
void
version_check_note_sent(struct entry_request *request)
{
	request->is_confirmed =
	    request->checked_key == request->target.incarnation_key ||
	    is_target_confirmed(request);
}

/// Notes that the target of a request has cut its connection, or can't be
/// reached: it may be about to start again.
///
/// @param request  request that was sent to an upstream
void
version_check_note_cut(struct entry_request *request)
{
	request->checked_key = 0;
	g_hash_table_remove(request->entry->version_checks->confirmations,
	    &request->target.key);
}

/// Checks whether a request's stream may go on at another engine, which must
/// then have the version of this one.
///
/// @param request  request whose route is known
bool
version_check_is_asked_for(const struct entry_request *request)
{
	return request->route->is_generation &&
	    request->route->kind == ROUTE_STREAM && request->route->resumable;
}

/// Checks whether the engine of a running stream must be asked for its start,
/// so that the stream may go on elsewhere.
///
/// @param request  request in any state
/// @return false if it is confirmed, or nothing depends on it
bool
version_check_is_open(const struct entry_request *request)
{
	return request->exchange != NULL && !request->is_forwarding &&
	    !request->is_confirmed && version_check_is_asked_for(request);
}

/// Checks whether the target of a request must report before a stream may go on
/// there.
///
/// @param request  request with a target
/// @return false if the stream is new, or the target's version is certain
bool
version_check_is_needed(const struct entry_request *request)
{
	usec_t read_at =
	    view_read_at(request->entry->view, SITE_SCOPE_UPSTREAMS);
	bool is_old = g_get_monotonic_time() > read_at + VERSION_CHECK_VIEW_AGE;

	return request->has_version && request->route->is_generation &&
	    request->checked_key != request->target.incarnation_key &&
	    (is_old || !is_target_confirmed(request));
}

/// Checks whether a report is of the process that the directory describes.
static bool
is_confirmed(
    const struct entry_request *request, const struct site_report *report)
{
	const struct upstream_record *record = directory_find(
	    view_directory(request->entry->view), request->target.id);

	return record != NULL &&
	    (report->incarnation == 0 ||
		report->incarnation == record->entry.incarnation);
}

/// Fetch callback: the target of a request has reported, or has not.
static void
on_report(void *owner, const struct fetch_response *answer)
{
	struct entry_request *request = entry_request_ref(owner);
	struct entry *entry = request->entry;
	struct site_report report = {.leaves_in = -1};
	bool has_report = answer->status == 200 &&
	    entry->site->read_report(answer->body, answer->len, &report);
	bool confirmed = has_report && is_confirmed(request, &report);

	request->version_check = NULL;
	log_event(LOG_LEVEL_INFO, "stream-target-checked",
	    "id=%s upstream=%s status=%u failure=%s "
	    "reported_start=%" G_GUINT64_FORMAT " outcome=%s",
	    request->params.id, request->target.id, answer->status,
	    answer->failure == NULL ? "-" : answer->failure, report.incarnation,
	    confirmed ? "confirmed" : "not-used");
	if (has_report)
		version_checks_note_report(entry->version_checks,
		    request->target.id, &report, request->version_asked_at);
	if (confirmed) {
		request->checked_key = request->target.incarnation_key;
		entry_request_start_attempt(request);
	} else {
		entry_request_add_tried(request, request->target.key);
		entry_request_place(request);
	}
	entry_request_unref(request);
}

/// Asks the target of a request for its report. The request is then sent there,
/// or placed again.
///
/// @param request  request with a target, without an exchange
void
version_check_start(struct entry_request *request)
{
	struct entry *entry = request->entry;
	const struct fetch_options options = {
	    .max_body = FETCH_UPSTREAM_BYTES_MAX,
	    .pool = entry->pool,
	    .address = request->target.address,
	    .method = "GET",
	    .target = entry->site->report_target,
	    .deadline = g_get_monotonic_time() + VERSION_CHECK_TIMEOUT,
	    .handler = on_report,
	    .owner = request,
	};

	entry_request_stop_waiting(request);
	request->version_check = fetch_start(&options);
	request->version_asked_at = g_get_monotonic_time();
}

/// Cancels the check of a request's target, if there is one.
///
/// @param request  request in any state
void
version_check_cancel(struct entry_request *request)
{
	g_clear_pointer(&request->version_check, fetch_cancel);
}
