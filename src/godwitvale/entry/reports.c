/* Reports of engines, while the store is away. */
#include "godwitvale/entry/reports.h"

#include <string.h>

#include "godwitvale/entry/entry_request.h"
#include "godwitvale/http/fetch.h"
#include "godwitvale/ops/log.h"

/// The store's view is this old before engines are asked: it is told several
/// times a second otherwise.
#define REPORTS_BLIND_SPAN (900 * USEC_PER_MSEC)
/// The same while this instance can't read the store itself, so that only
/// the others could tell.
#define REPORTS_CUT_SPAN (300 * USEC_PER_MSEC)
/// Interval at which an engine is asked.
#define REPORTS_INTERVAL (150 * USEC_PER_MSEC)
/// A report tells the state of some hundred milliseconds ago: an engine that
/// has just begun to leave is asked when that is after this long.
#define REPORTS_LAG_MS 650
/// For the answer to one question.
#define REPORTS_ANSWER_SPAN (400 * USEC_PER_MSEC)

struct reports {
	struct entry *entry;
	GHashTable *questions; /// struct question * as a set
	usec_t next_at;
};

/// One question to one engine.
struct question {
	struct reports *reports;
	char *id;
	char *address;
	struct fetch *fetch;
	guint timer;
};

/// Frees a question.
static void
question_free(void *data)
{
	struct question *question = data;

	g_clear_pointer(&question->fetch, fetch_cancel);
	if (question->timer != 0)
		g_source_remove(question->timer);
	g_free(question->address);
	g_free(question->id);
	g_free(question);
}

/// Makes the reading of reports.
///
/// @param entry  the instance
/// @return the reading; free with reports_free()
struct reports *
reports_new(struct entry *entry)
{
	struct reports *reports = g_new0(struct reports, 1);

	reports->entry = entry;
	reports->questions =
	    g_hash_table_new_full(NULL, NULL, question_free, NULL);
	return reports;
}

/// Stops it.
///
/// @param reports  the reading
void
reports_free(struct reports *reports)
{
	g_hash_table_unref(reports->questions);
	g_free(reports);
}

/// Fetch callback: an engine has reported, or not.
static void
on_report(void *owner, const struct fetch_response *answer)
{
	struct question *question = owner;
	struct entry *entry = question->reports->entry;
	const struct upstream_record *record;
	struct site_report report;

	question->fetch = NULL;
	record = directory_find(view_directory(entry->view), question->id);
	if (answer->status == 200 && record != NULL &&
	    entry->site->read_report(answer->body, answer->len, &report) &&
	    report.leaving) {
		if (dispatch_set_leaving(entry->dispatch, question->id))
			log_event(LOG_LEVEL_INFO, "upstream-reports-leaving",
			    "upstream=%s gone_in_ms=%" G_GINT64_FORMAT,
			    question->id, report.leaves_in / USEC_PER_MSEC);
		entry_request_handle_leaving_upstream(entry, question->id,
		    report.leaves_in < 0
			? 0
			: g_get_monotonic_time() + report.leaves_in);
	}
	g_hash_table_remove(question->reports->questions, question);
}

/// Makes a question.
static struct question *
question_new(struct reports *reports, const char *id, const char *address)
{
	struct question *question = g_new0(struct question, 1);

	question->reports = reports;
	question->id = g_strdup(id);
	question->address = g_strdup(address);
	g_hash_table_add(reports->questions, question);
	return question;
}

/// Asks a question.
static void
ask(struct question *question)
{
	struct entry *entry = question->reports->entry;
	const struct fetch_options options = {
	    .pool = entry->pool,
	    .address = question->address,
	    .method = "GET",
	    .target = entry->site->report_target,
	    .deadline = g_get_monotonic_time() + REPORTS_ANSWER_SPAN,
	    .handler = on_report,
	    .owner = question,
	};

	question->fetch = fetch_start(&options);
}

/// Loop callback: a report can tell of the leaving by now.
static gboolean
on_lag_over(gpointer data)
{
	struct question *question = data;

	question->timer = 0;
	ask(question);
	return G_SOURCE_REMOVE;
}

/// Asks an engine that has just begun to leave when it will be gone, as soon
/// as its report can tell.
///
/// @param reports  the reading
/// @param id       the engine's
/// @param address  IP:PORT
void
reports_ask_later(struct reports *reports, const char *id, const char *address)
{
	struct question *question = question_new(reports, id, address);

	question->timer = g_timeout_add(REPORTS_LAG_MS, on_lag_over, question);
}

/// Asks the engines that run generations of this instance, if nobody else
/// can tell who leaves: all of them while the store is away, afterwards those
/// whose entries are missing.
///
/// @param reports  the reading
/// @param now      time
void
reports_tick(struct reports *reports, usec_t now)
{
	struct entry *entry = reports->entry;
	usec_t patience = store_is_reachable(entry->store) ? REPORTS_BLIND_SPAN
							   : REPORTS_CUT_SPAN;
	bool blind = now >
	    view_confirmed_at(entry->view, SITE_SCOPE_UPSTREAMS) + patience;
	GHashTable *engines;
	GHashTableIter iter;
	void *id;
	void *address;

	if (now < reports->next_at ||
	    view_revision(entry->view, SITE_SCOPE_UPSTREAMS) == 0)
		return;
	reports->next_at = now + REPORTS_INTERVAL;
	engines = entry_request_list_engines(entry, !blind);
	g_hash_table_iter_init(&iter, engines);
	while (g_hash_table_iter_next(&iter, &id, &address))
		ask(question_new(reports, id, address));
	g_hash_table_unref(engines);
}
