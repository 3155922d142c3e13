/* Notes the departures of upstreams and begins the handovers. */
#include "godwitvale/entry/departures.h"

#include "godwitvale/entry/entry.h"
#include "godwitvale/entry/entry_metrics.h"
#include "godwitvale/entry/entry_request.h"
#include "godwitvale/entry/reports.h"
#include "godwitvale/ops/log.h"

/// Prepares the handover of the generations at an upstream that leaves.
///
/// @param entry    instance with the generations
/// @param id       id of the upstream
/// @param address  IP:PORT of the upstream
/// @param source   who says that it leaves, in one word
void
departures_begin(struct entry *entry, const char *id, const char *address,
    const char *source)
{
	series_add(
	    &entry_metric_upstream_changes, "upstream-says-leaving", NULL, 1);
	log_event(LOG_LEVEL_INFO, "upstream-says-leaving",
	    "upstream=%s address=%s source=%s outcome=not-used", id, address,
	    source);
	g_hash_table_replace(entry->departing, g_strdup(id), g_strdup(address));
	entry_schedule_update(entry);
}

/// Checks whether an upstream is ready as far as the store has told.
static bool
is_ready_in_store(const struct entry *entry, const char *id)
{
	const struct upstream_record *record =
	    directory_find(view_directory(entry->view), id);

	return record != NULL && record->entry.state == UPSTREAM_READY;
}

/// Handles an upstream's statement that it leaves: it gets no new requests. If
/// the store hasn't said the same, its generations are handed over, and the
/// other instances are told.
///
/// @param entry   instance that has heard the statement
/// @param target  the upstream
/// @param source  kind of the answer with the statement, in one word
void
departures_note(struct entry *entry, const struct dispatch_target *target,
    const char *source)
{
	bool is_news = is_ready_in_store(entry, target->id);

	if (target->incarnation_key == 0 ||
	    !upstream_notices_set_leaving(entry->notices,
		target->incarnation_key, g_get_monotonic_time(), is_news) ||
	    !is_news)
		return;
	departures_begin(entry, target->id, target->address, source);
	peers_broadcast(entry->peers, PEERS_DEPARTURES);
}

/// Tells the other instances that an upstream drains, because its entry in the
/// store doesn't say so any more.
///
/// @param entry   instance that knows it
/// @param record  the upstream
void
departures_share(struct entry *entry, const struct upstream_record *record)
{
	if (upstream_notices_set_leaving(entry->notices,
		record->incarnation_key, g_get_monotonic_time(), true))
		peers_broadcast(entry->peers, PEERS_DEPARTURES);
}

/// Hands over the generations of all upstreams that have begun to leave, and
/// has those copied elsewhere whose targets may get no requests any more. Runs
/// only after all pending directory changes were handled, so that no generation
/// is moved to an upstream that is leaving, too.
///
/// @param entry  instance with the generations
void
departures_handle(struct entry *entry)
{
	GHashTableIter iter;
	void *id;
	void *address;

	g_hash_table_iter_init(&iter, entry->departing);
	while (g_hash_table_iter_next(&iter, &id, &address)) {
		if (entry_request_handle_leaving_upstream(entry, id, 0) > 0)
			reports_schedule_query(entry->reports, id, address);
		g_hash_table_iter_remove(&iter);
	}
	entry_request_check_copy_targets(entry);
}
