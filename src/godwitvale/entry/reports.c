/* Queries the reports of engines that leave or may be leaving. */
#include "godwitvale/entry/reports.h"

#include <string.h>

#include "godwitvale/entry/departures.h"
#include "godwitvale/entry/entry.h"
#include "godwitvale/entry/entry_request.h"
#include "godwitvale/entry/version_check.h"
#include "godwitvale/http/fetch.h"
#include "godwitvale/ops/log.h"

/// Engines are queried when the view of the upstreams hasn't been confirmed for
/// this long. Normally it is confirmed several times per second.
#define REPORTS_STALE_AFTER (900 * USEC_PER_MSEC)
/// The same while this instance can't read the store itself, so that only other
/// instances can confirm the view.
#define REPORTS_STALE_AFTER_NO_STORE (300 * USEC_PER_MSEC)
/// Interval between two queries to an engine.
#define REPORTS_INTERVAL (150 * USEC_PER_MSEC)
/// Delay before an engine that has just begun to leave is queried, in
/// milliseconds. A report shows the state of some hundred milliseconds ago, so
/// that an earlier report might not show yet that the engine is leaving.
#define REPORTS_DELAY_MS 650
/// Timeout of one query.
#define REPORTS_TIMEOUT (400 * USEC_PER_MSEC)

struct reports {
	struct entry *entry;
	GHashTable *queries; /// set of struct report_query *; owns them
	usec_t next_query_at;
};

/// One query to one engine.
struct report_query {
	struct reports *reports;
	char *id;
	char *address;
	uint64_t incarnation_key; /// of the engine when the query was made
	usec_t asked_at;
	struct fetch *fetch;
	guint timer;
};

/// Frees a query; cancels it if it is pending.
static void
query_free(void *data)
{
	struct report_query *query = data;

	g_clear_pointer(&query->fetch, fetch_cancel);
	if (query->timer != 0)
		g_source_remove(query->timer);
	g_free(query->address);
	g_free(query->id);
	g_free(query);
}

/// Creates the state for querying reports.
///
/// @param entry  not owned; must outlive the reports
/// @return the state; free with reports_free()
struct reports *
reports_new(struct entry *entry)
{
	struct reports *reports = g_new0(struct reports, 1);

	reports->entry = entry;
	reports->queries = g_hash_table_new_full(NULL, NULL, query_free, NULL);
	return reports;
}

/// Frees the reports and cancels their pending queries.
///
/// @param reports  not NULL
void
reports_free(struct reports *reports)
{
	g_hash_table_unref(reports->queries);
	g_free(reports);
}

/// Reads an engine's report, and whether it says beside it that it leaves.
///
/// @param report  filled in
/// @return false if the answer is no report
static bool
read_report(const struct entry *entry, const struct fetch_response *answer,
    struct site_report *report)
{
	struct site_answer info = {.leaving = false};
	bool is_read;

	*report = (struct site_report){.leaves_in = -1};
	if (answer->head != NULL)
		entry->site->read_answer(answer->head, &info);
	is_read = answer->status == 200 &&
	    entry->site->read_report(answer->body, answer->len, report);
	report->leaving = (is_read && report->leaving) || info.leaving;
	return is_read;
}

/// Fetch callback: an engine's report was received, or the query failed.
static void
on_report(void *owner, const struct fetch_response *answer)
{
	struct report_query *query = owner;
	struct entry *entry = query->reports->entry;
	struct site_report report;

	query->fetch = NULL;
	if (read_report(entry, answer, &report))
		version_checks_note_report(
		    entry->version_checks, query->id, &report, query->asked_at);
	if (report.leaving) {
		struct dispatch_target target = {.id = query->id,
		    .address = query->address,
		    .incarnation_key = query->incarnation_key};

		departures_note(entry, &target, "report");
		entry_request_handle_leaving_upstream(entry, query->id,
		    report.leaves_in < 0
			? 0
			: g_get_monotonic_time() + report.leaves_in);
	}
	g_hash_table_remove(query->reports->queries, query);
}

/// Creates a query without starting it.
static struct report_query *
query_new(struct reports *reports, const char *id, const char *address)
{
	struct report_query *query = g_new0(struct report_query, 1);

	query->reports = reports;
	query->id = g_strdup(id);
	query->address = g_strdup(address);
	query->incarnation_key =
	    dispatch_incarnation_key(reports->entry->dispatch, id);
	g_hash_table_add(reports->queries, query);
	return query;
}

/// Starts a query.
static void
query_start(struct report_query *query)
{
	struct entry *entry = query->reports->entry;
	const struct fetch_options options = {
	    .max_body = FETCH_UPSTREAM_BYTES_MAX,
	    .pool = entry->pool,
	    .address = query->address,
	    .method = "GET",
	    .target = entry->site->report_target,
	    .deadline = g_get_monotonic_time() + REPORTS_TIMEOUT,
	    .handler = on_report,
	    .owner = query,
	};

	query->fetch = fetch_start(&options);
	query->asked_at = g_get_monotonic_time();
}

/// Loop callback: REPORTS_DELAY_MS has passed; starts the query.
static gboolean
on_query_due(gpointer data)
{
	struct report_query *query = data;

	query->timer = 0;
	query_start(query);
	return G_SOURCE_REMOVE;
}

/// Schedules a query to an engine that has just begun to leave, to learn when
/// it will be gone.
///
/// @param reports  owns the query
/// @param id       id of the engine
/// @param address  IP:PORT of the engine
void
reports_schedule_query(
    struct reports *reports, const char *id, const char *address)
{
	struct report_query *query = query_new(reports, id, address);

	query->timer = g_timeout_add(REPORTS_DELAY_MS, on_query_due, query);
}

/// Queries the engines that run generations of this instance, unless the store
/// shows which of them are leaving. While the view of the upstreams is stale,
/// queries all of them; otherwise only those whose entries are missing, and
/// those that must confirm which process they are.
///
/// @param reports  owns the queries
/// @param now      monotonic time, in microseconds
void
reports_tick(struct reports *reports, usec_t now)
{
	struct entry *entry = reports->entry;
	usec_t max_age = store_is_reachable(entry->store)
	    ? REPORTS_STALE_AFTER
	    : REPORTS_STALE_AFTER_NO_STORE;
	bool is_stale = now >
	    view_confirmed_at(entry->view, SITE_SCOPE_UPSTREAMS) + max_age;
	GHashTable *engines;
	GHashTableIter iter;
	void *id;
	void *address;

	if (now < reports->next_query_at ||
	    view_revision(entry->view, SITE_SCOPE_UPSTREAMS) == 0)
		return;
	reports->next_query_at = now + REPORTS_INTERVAL;
	engines = entry_request_list_engines(entry, !is_stale);
	g_hash_table_iter_init(&iter, engines);
	while (g_hash_table_iter_next(&iter, &id, &address))
		query_start(query_new(reports, id, address));
	g_hash_table_unref(engines);
}
