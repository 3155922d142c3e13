/*
 * Software versions of streams: remembers which version began each stream, and
 * checks that each answer is of the stream's version.
 */
#include "godwitvale/entry/resumption.h"

#include <string.h>

#include "godwitvale/core/hash.h"
#include "godwitvale/core/version_history.h"
#include "godwitvale/entry/entry.h"
#include "godwitvale/entry/entry_request_defs.h"
#include "godwitvale/entry/stream_lookup.h"
#include "godwitvale/entry/version_check.h"
#include "godwitvale/ops/log.h"

/// A stream is remembered for this long after its caller's time limit.
#define RESUMPTION_EXPIRY_MARGIN (5 * USEC_PER_SEC)
/// Versions are noted for this long after an upstream had them.
#define RESUMPTION_HISTORY_SPAN (10 * 60 * USEC_PER_SEC)
/// Interval at which the versions of all upstreams are noted.
#define RESUMPTION_NOTE_INTERVAL (1 * USEC_PER_SEC)
/// Maximum number of streams that are remembered.
#define RESUMPTION_STREAMS_MAX 32768

struct resumption {
	struct entry *entry;
	struct stream_versions *versions;
	struct version_history *history;
	usec_t next_note_at; /// when the versions in use are noted again
};

/// Creates the state of an instance.
///
/// @param entry  the instance
/// @return the state; free with resumption_free()
struct resumption *
resumption_new(struct entry *entry)
{
	struct resumption *resumption = g_new0(struct resumption, 1);

	resumption->entry = entry;
	resumption->versions = stream_versions_new(RESUMPTION_STREAMS_MAX);
	resumption->history = version_history_new();
	return resumption;
}

/// Frees the state of an instance.
///
/// @param resumption  not NULL
void
resumption_free(struct resumption *resumption)
{
	stream_versions_free(resumption->versions);
	version_history_free(resumption->history);
	g_free(resumption);
}

/// Notes the versions of all upstreams that are known now.
static void
note_versions(struct resumption *resumption, usec_t now)
{
	GPtrArray *records =
	    directory_list_records(view_directory(resumption->entry->view));

	for (guint i = 0; i < records->len; i++) {
		const struct upstream_record *record = records->pdata[i];

		version_history_note(resumption->history, now,
		    hash_name(record->entry.service), record->version_key);
	}
	g_ptr_array_unref(records);
}

/// Notes the versions in use, and forgets what is out of date.
///
/// @param resumption  state of the instance
/// @param now         current time
void
resumption_tick(struct resumption *resumption, usec_t now)
{
	stream_versions_expire(resumption->versions, now);
	if (now < resumption->next_note_at)
		return;
	resumption->next_note_at = now + RESUMPTION_NOTE_INTERVAL;
	note_versions(resumption, now);
	version_history_forget(
	    resumption->history, now - RESUMPTION_HISTORY_SPAN);
}

/// @param resumption  state of the instance
/// @return the versions of streams, owned by the state
struct stream_versions *
resumption_versions(const struct resumption *resumption)
{
	return resumption->versions;
}

/// Finds the only version that a service has had since some time, as far as
/// this instance has seen.
///
/// @param resumption   state of the instance
/// @param service      hash of the service's name
/// @param since        beginning of that time
/// @param has_several  set to whether there were several
/// @return 0: there were several, or none
uint64_t
resumption_find_only_version(const struct resumption *resumption,
    uint64_t service, usec_t since, bool *has_several)
{
	*has_several =
	    version_history_has_several(resumption->history, service, since);
	return version_history_only(resumption->history, service, since);
}

/// Notes the version in an upstream's entry, whether the entry is used or not.
///
/// @param resumption  state of the instance
/// @param entry       entry as it was read
void
resumption_note_entry(
    struct resumption *resumption, const struct upstream_entry *entry)
{
	uint64_t service = hash_name(entry->service);

	version_history_note(resumption->history, g_get_monotonic_time(),
	    service, hash_pair(service, hash_name(entry->software_version)));
}

/// Notes that a service had a version.
///
/// @param resumption   state of the instance
/// @param service      hash of the service's name
/// @param version_key  hash of the service and the version
/// @param seen_at      last time at which an upstream may have had it
void
resumption_note_version(struct resumption *resumption, uint64_t service,
    uint64_t version_key, usec_t seen_at)
{
	version_history_note(
	    resumption->history, seen_at, service, version_key);
}

/// Checks whether the caller of a request may take its stream up again.
static bool
is_resumable(const struct entry_request *request)
{
	return request->route->kind == ROUTE_STREAM &&
	    request->route->resumable && request->params.id != NULL;
}

/// Tells the other instances which version serves a request.
static void
remember(struct entry_request *request, uint64_t version_key, bool has_begun)
{
	usec_t limit = request->params.timeout > 0 ? request->params.timeout
						   : request->route->timeout;
	const struct stream_version record = {
	    .stream = hash_name(request->params.id),
	    .version_key = version_key,
	    .attempt = request->placements,
	    .has_begun = has_begun,
	    .expires_at =
		request->arrived_at + limit + RESUMPTION_EXPIRY_MARGIN,
	};

	stream_sync_remember(peers_stream_sync(request->entry->peers), &record);
}

/// Notes that a request is sent to an upstream, whose answer may begin a
/// stream.
///
/// @param request  request with a target
void
resumption_note_placed(struct entry_request *request)
{
	request->placements++;
	if (!is_resumable(request))
		return;
	stream_lookups_note_limit(request);
	if (!request->has_version)
		remember(request, request->target.version_key, false);
}

/// Returns the software version of the upstream that answers a request: the one
/// that it had when the request was sent. If its id has another one now, either
/// process may be answering.
///
/// @return 0 if it is unknown
static uint64_t
find_answering_version(const struct entry_request *request)
{
	const struct upstream_record *record = directory_find(
	    view_directory(request->entry->view), request->target.id);

	if (record != NULL &&
	    record->version_key != request->target.version_key)
		return 0;
	return request->target.version_key;
}

/// Checks the first event of an attempt before it is forwarded. The first event
/// of a stream sets the stream's software version, and the other instances are
/// told before the caller has the event.
///
/// @param request  request with an answer
/// @return false if the event is of another version than the stream's earlier
///         ones, or may be
bool
resumption_admits_event(struct entry_request *request)
{
	uint64_t version = find_answering_version(request);

	if (request->has_version &&
	    (version == 0 || version != request->version_key)) {
		log_event(LOG_LEVEL_WARN, "stream-version-differs",
		    "id=%s upstream=%s stream_version=%016" G_GINT64_MODIFIER
		    "x version=%016" G_GINT64_MODIFIER
		    "x last_event=%" G_GINT64_FORMAT " outcome=dropped",
		    request->params.id, request->target.id,
		    request->version_key, version, request->last_event_id);
		return false;
	}
	request->has_version = true;
	request->version_key = version;
	if (is_resumable(request) && request->events_sent == 0)
		remember(request, version, true);
	return true;
}

/// Notes that the stream of a request was broken off. If it has events of an
/// engine that hasn't confirmed which process it is, their version isn't known.
///
/// @param request  request without an exchange
void
resumption_note_broken(struct entry_request *request)
{
	if (request->is_confirmed || request->events_of_attempt == 0 ||
	    !version_check_is_asked_for(request))
		return;
	log_event(LOG_LEVEL_WARN, "stream-version-unconfirmed",
	    "id=%s upstream=%s version=%016" G_GINT64_MODIFIER
	    "x age_ms=%" G_GINT64_FORMAT " outcome=not-resumable",
	    request->params.id == NULL ? "-" : request->params.id,
	    request->target.id, request->target.version_key,
	    (g_get_monotonic_time() - request->sent_at) / USEC_PER_MSEC);
	request->version_key = 0;
	if (is_resumable(request))
		remember(request, 0, true);
}

/// Checks whether a request takes up a stream of which its caller has events.
///
/// @param request  request whose route is known
/// @return whether stream_lookup_start() must place it
bool
resumption_is_needed(const struct entry_request *request)
{
	return request->route->kind == ROUTE_STREAM &&
	    (request->resumed_stream != 0 ||
		request->params.last_event != SITE_NO_EVENT);
}

/// Finds the service of a route that has upstreams of a version.
///
/// @return NULL: none has
static const char *
find_service_of_version(
    const struct entry_request *request, uint64_t version_key)
{
	const struct directory *directory =
	    view_directory(request->entry->view);

	for (guint i = 0; i < request->route->shares->len; i++) {
		const struct route_share *share = &g_array_index(
		    request->route->shares, struct route_share, i);
		const GPtrArray *records =
		    directory_get_service_records(directory, share->service);

		for (guint k = 0; records != NULL && k < records->len; k++) {
			const struct upstream_record *record =
			    records->pdata[k];

			if (record->version_key == version_key)
				return share->service;
		}
	}
	return NULL;
}

/// Places a request whose stream goes on at a known version, at the service
/// that has upstreams of it.
///
/// @param request  request with a version
void
resumption_place_at_version(struct entry_request *request)
{
	const char *service =
	    find_service_of_version(request, request->version_key);

	if (service != NULL)
		request->service = service;
	entry_request_place(request);
}

/// Gives up the version of a stream whose upstream's id was born again with
/// another version: either process may have written its events.
static void
doubt_version(
    struct entry_request *request, const struct upstream_record *record)
{
	log_event(LOG_LEVEL_WARN, "stream-version-doubted",
	    "id=%s upstream=%s version=%016" G_GINT64_MODIFIER
	    "x now=%016" G_GINT64_MODIFIER "x age_ms=%" G_GINT64_FORMAT
	    " outcome=not-resumable",
	    request->params.id == NULL ? "-" : request->params.id,
	    request->target.id, request->target.version_key,
	    record->version_key,
	    (g_get_monotonic_time() - request->sent_at) / USEC_PER_MSEC);
	request->target.version_key = 0;
	if (request->events_of_attempt == 0)
		return;
	request->version_key = 0;
	if (is_resumable(request))
		remember(request, 0, true);
}

/// Gives up the versions of all streams at an upstream that has started again
/// since its entry was read.
///
/// @param resumption  state of the instance
/// @param record      directory record of the upstream
void
resumption_doubt_upstream(
    struct resumption *resumption, const struct upstream_record *record)
{
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, resumption->entry->requests);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct entry_request *request = key;

		if (request->exchange != NULL && request->target.id != NULL &&
		    strcmp(request->target.id, record->entry.id) == 0)
			doubt_version(request, record);
	}
}

/// Handles a change of an upstream in the directory.
///
/// @param resumption  state of the instance
/// @param change      kind of change
/// @param record      directory record of the upstream
void
resumption_on_upstream_change(struct resumption *resumption,
    enum directory_change change, const struct upstream_record *record)
{
	GHashTableIter iter;
	void *key;

	if (change != DIRECTORY_ADDED)
		return;
	g_hash_table_iter_init(&iter, resumption->entry->requests);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct entry_request *request = key;

		if (request->exchange != NULL && request->target.id != NULL &&
		    strcmp(request->target.id, record->entry.id) == 0 &&
		    request->target.version_key != record->version_key)
			doubt_version(request, record);
	}
}
