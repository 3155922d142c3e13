/*
 * Software versions of streams: remembers which version began each stream, asks
 * other instances for a stream that a caller takes up here, and checks that
 * each answer is of the stream's version.
 */
#include "godwitvale/entry/resumption.h"

#include <string.h>

#include "godwitvale/core/hash.h"
#include "godwitvale/core/version_history.h"
#include "godwitvale/entry/entry.h"
#include "godwitvale/entry/entry_metrics.h"
#include "godwitvale/entry/entry_request_defs.h"
#include "godwitvale/ops/log.h"

/// How long other instances have to answer for a stream.
#define RESUMPTION_LOOKUP_TIMEOUT (200 * USEC_PER_MSEC)
/// Time after which they are asked again, as datagrams may be lost.
#define RESUMPTION_ASK_AGAIN_DELAY (60 * USEC_PER_MSEC)
/// A stream that nobody remembers may be as old as this.
#define RESUMPTION_HISTORY_SPAN (60 * USEC_PER_SEC)
/// A stream is remembered for this long after its caller's time limit.
#define RESUMPTION_EXPIRY_MARGIN (5 * USEC_PER_SEC)
/// If what this instance knows of the upstreams is older than this, it may have
/// missed another version, as it is cut off.
#define RESUMPTION_VIEW_AGE_MAX (3 * USEC_PER_SEC)
/// Interval at which the versions of all upstreams are noted.
#define RESUMPTION_NOTE_INTERVAL (1 * USEC_PER_SEC)
/// Maximum number of streams that are remembered.
#define RESUMPTION_STREAMS_MAX 32768

struct resumption {
	struct entry *entry;
	struct stream_versions *versions;
	struct version_history *history;
	GHashTable *looking_up; /// set of struct entry_request *
	usec_t next_note_at;    /// when the versions in use are noted again
};

/// Search for the version of a stream that a caller takes up.
struct stream_lookup {
	uint64_t stream; /// hash of the id that the caller names; 0: none
	uint64_t asked[STREAM_SYNC_ASKED]; /// hashes of instances' names
	size_t n_asked;
	GArray *answered;      /// uint64_t, hashes of instances' names
	bool several_versions; /// some instance has seen several
	usec_t started_at;
	usec_t deadline;
	usec_t ask_again_at;
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
	resumption->looking_up = g_hash_table_new(NULL, NULL);
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
	g_hash_table_unref(resumption->looking_up);
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

/// Finds the only version that a service has had for as long as a stream may
/// last, as far as this instance has seen.
///
/// @param service  hash of the service's name
/// @return 0: there were several, or none
static uint64_t
find_only_version(struct resumption *resumption, uint64_t service)
{
	return version_history_only(resumption->history, service,
	    g_get_monotonic_time() - RESUMPTION_HISTORY_SPAN);
}

/// @param resumption  state of the instance
/// @param service     hash of the service's name
/// @return whether the service has had several versions recently
bool
resumption_has_several_versions(struct resumption *resumption, uint64_t service)
{
	return find_only_version(resumption, service) == 0;
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
	if (is_resumable(request) && !request->has_version)
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

/// Checks whether a request takes up a stream of which its caller has events.
///
/// @param request  request whose route is known
/// @return whether resumption_start() must place it
bool
resumption_is_needed(const struct entry_request *request)
{
	return request->route->kind == ROUTE_STREAM &&
	    (request->resumed_stream != 0 ||
		request->params.last_event != SITE_NO_EVENT);
}

/// Asks other instances for the stream that a caller takes up.
static void
ask(struct entry_request *request)
{
	struct stream_lookup *lookup = request->lookup;

	lookup->ask_again_at =
	    g_get_monotonic_time() + RESUMPTION_ASK_AGAIN_DELAY;
	lookup->n_asked =
	    stream_sync_ask(peers_stream_sync(request->entry->peers),
		lookup->stream, hash_name(request->service), lookup->asked);
}

/// Checks whether an instance has answered.
static bool
has_answered(const struct stream_lookup *lookup, uint64_t instance)
{
	for (guint i = 0; i < lookup->answered->len; i++)
		if (g_array_index(lookup->answered, uint64_t, i) == instance)
			return true;
	return false;
}

/// Checks whether all instances that were asked have answered. An instance that
/// knows no other waits, as it may have just started.
static bool
has_all_answers(const struct stream_lookup *lookup)
{
	for (size_t i = 0; i < lookup->n_asked; i++)
		if (!has_answered(lookup, lookup->asked[i]))
			return false;
	return lookup->n_asked > 0;
}

/// @return how old what this instance knows of the upstreams may be
static usec_t
find_view_age(const struct entry_request *request)
{
	return g_get_monotonic_time() -
	    view_read_at(request->entry->view, SITE_SCOPE_UPSTREAMS);
}

/// Finds the only version that may have begun a stream that nobody remembers.
/// Where requests of a route are split among services, any of them may have.
///
/// @return 0: there are several, or none
static uint64_t
find_only_candidate(const struct entry_request *request)
{
	if (request->route->shares->len > 1 ||
	    request->lookup->several_versions ||
	    find_view_age(request) > RESUMPTION_VIEW_AGE_MAX)
		return 0;
	return find_only_version(
	    request->entry->resumption, hash_name(request->service));
}

/// Decides how a stream goes on that a caller takes up.
static struct resume_decision
decide(const struct entry_request *request)
{
	usec_t now = g_get_monotonic_time();
	const struct stream_lookup *lookup = request->lookup;
	struct resume_inputs inputs = {
	    .found = stream_versions_find(
		request->entry->resumption->versions, now, lookup->stream),
	    .has_all_answers = has_all_answers(lookup),
	};

	inputs.is_lookup_over =
	    inputs.has_all_answers || now >= lookup->deadline;
	if (inputs.is_lookup_over)
		inputs.only_version = find_only_candidate(request);
	return resume_decide(&inputs);
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

/// Logs what is done with a stream that a caller takes up.
static void
log_decision(const struct entry_request *request,
    const struct resume_decision *decision, bool is_remembered)
{
	const struct stream_lookup *lookup = request->lookup;

	series_add(&entry_metric_resumptions, resume_step_name(decision->step),
	    is_remembered ? "remembered" : "not-remembered", 1);
	log_event(LOG_LEVEL_INFO, "stream-taken-up",
	    "id=%s stream=%016" G_GINT64_MODIFIER
	    "x last_event=%" G_GINT64_FORMAT
	    " version_key=%016" G_GINT64_MODIFIER
	    "x remembered=%d asked=%zu answered=%u several_versions=%d "
	    "view_age_ms=%" G_GINT64_FORMAT " waited_ms=%" G_GINT64_FORMAT
	    " outcome=%s",
	    request->params.id == NULL ? "-" : request->params.id,
	    lookup->stream, request->params.last_event, decision->version_key,
	    is_remembered, lookup->n_asked, lookup->answered->len,
	    lookup->several_versions, find_view_age(request) / USEC_PER_MSEC,
	    (g_get_monotonic_time() - lookup->started_at) / USEC_PER_MSEC,
	    resume_step_name(decision->step));
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

/// Places or refuses a request that takes up a stream, once enough is known.
/// Asks the other instances again when that is due.
///
/// @param request  request that resumption_start() was called for; the caller
///                 holds a reference
void
resumption_advance(struct entry_request *request)
{
	struct resume_decision decision = decide(request);
	const struct stream_versions *versions =
	    request->entry->resumption->versions;
	usec_t now = g_get_monotonic_time();

	if (decision.step == RESUME_WAIT) {
		if (now >= request->lookup->ask_again_at)
			ask(request);
		entry_request_set_timer(request);
		return;
	}
	log_decision(request, &decision,
	    stream_versions_find(versions, now, request->lookup->stream) !=
		NULL);
	resumption_clear(request);
	if (decision.step == RESUME_REFUSE) {
		entry_request_refuse(
		    request, RETRY_AFTER_NO_UPSTREAM, "stream-unknown");
		return;
	}
	request->has_version = true;
	request->version_key = decision.version_key;
	resumption_place_at_version(request);
}

/// Places a request that takes up a stream, at the version that began it. Asks
/// other instances for the version if this one doesn't remember it.
///
/// @param request  request with a service; the caller holds a reference
void
resumption_start(struct entry_request *request)
{
	struct stream_lookup *lookup = g_new0(struct stream_lookup, 1);
	usec_t now = g_get_monotonic_time();

	lookup->stream = request->resumed_stream;
	lookup->answered = g_array_new(false, false, sizeof(uint64_t));
	lookup->started_at = now;
	lookup->deadline = now + RESUMPTION_LOOKUP_TIMEOUT;
	lookup->ask_again_at = now;
	request->lookup = lookup;
	g_hash_table_add(request->entry->resumption->looking_up, request);
	resumption_advance(request);
}

/// @param request  request in any state
/// @return when to call resumption_advance(); USEC_NEVER: no search is running
usec_t
resumption_wake_time(const struct entry_request *request)
{
	if (request->lookup == NULL)
		return USEC_NEVER;
	return MIN(request->lookup->deadline, request->lookup->ask_again_at);
}

/// Ends the search for the version of a request's stream, if there is one.
///
/// @param request  request in any state
void
resumption_clear(struct entry_request *request)
{
	if (request->lookup == NULL)
		return;
	g_hash_table_remove(request->entry->resumption->looking_up, request);
	g_array_unref(request->lookup->answered);
	g_clear_pointer(&request->lookup, g_free);
}

/// Handles the answer of another instance that was asked for a stream.
///
/// @param resumption        state of the instance
/// @param stream            the stream, as it was asked for
/// @param instance          hash of the name of the other instance
/// @param several_versions  whether it has seen several versions of the service
void
resumption_on_answer(struct resumption *resumption, uint64_t stream,
    uint64_t instance, bool several_versions)
{
	GList *requests = g_hash_table_get_keys(resumption->looking_up);

	for (GList *l = requests; l != NULL; l = l->next) {
		struct entry_request *request = l->data;
		struct stream_lookup *lookup = request->lookup;

		if (lookup->stream != stream || has_answered(lookup, instance))
			continue;
		g_array_append_val(lookup->answered, instance);
		lookup->several_versions |= several_versions;
		entry_request_ref(request);
		resumption_advance(request);
		entry_request_unref(request);
	}
	g_list_free(requests);
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

	version_history_note(resumption->history, g_get_monotonic_time(),
	    hash_name(record->entry.service), record->version_key);
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
