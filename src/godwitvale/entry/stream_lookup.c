/*
 * Search for the software version of a stream that a caller takes up.
 *
 * If an instance remembers the stream, it goes on at its version. If nobody
 * does, it goes on if its service has had one version for as long as it may
 * last. That is certain if this instance, or another one that answers, has
 * watched the upstreams for so long, or if the store's history tells so; and if
 * the store itself, asked since the caller came, names no other version.
 */
#include "godwitvale/entry/stream_lookup.h"

#include "godwitvale/core/hash.h"
#include "godwitvale/entry/entry_metrics.h"
#include "godwitvale/entry/entry_request_defs.h"
#include "godwitvale/entry/resumption.h"
#include "godwitvale/entry/upstream_history.h"
#include "godwitvale/fleet/store_check.h"
#include "godwitvale/ops/log.h"

/// How long other instances have to answer for a stream.
#define STREAM_LOOKUP_TIMEOUT (200 * USEC_PER_MSEC)
/// Time after which they are asked again, as datagrams may be lost.
#define STREAM_LOOKUP_ASK_AGAIN_DELAY (60 * USEC_PER_MSEC)
/// Time from a caller's first attempt until it arrives here.
#define STREAM_LOOKUP_TRANSIT_SPAN (1 * USEC_PER_SEC)
/// An upstream may begin streams for this long after its entry is gone: it
/// still serves, and some instances haven't heard of it yet.
#define STREAM_LOOKUP_UNLISTED_SPAN (5 * USEC_PER_SEC)

struct stream_lookups {
	struct entry *entry;
	usec_t running_since;
	GHashTable *searching; /// set of struct entry_request *
	/// longest time that a caller waits from its first attempt on, by the
	/// hash of the route's name (uint64_t *, usec_t *)
	GHashTable *limits;
	struct store_check *check;
	struct upstream_history *history;
};

/// What the store has said since a caller came.
enum lookup_check {
	LOOKUP_CHECK_NONE,    /// it wasn't asked
	LOOKUP_CHECK_HISTORY, /// its history is read first
	LOOKUP_CHECK_WANTED,
	LOOKUP_CHECK_MADE,
	LOOKUP_CHECK_FAILED,
};

/// Answer of another instance.
struct lookup_answer {
	uint64_t instance; /// hash of its name
	struct version_witness witness;
};

/// Search for the version of a stream that a caller takes up.
struct stream_lookup {
	struct stream_question question;   /// its stream is 0 if none is named
	uint64_t asked[STREAM_SYNC_ASKED]; /// hashes of instances' names
	size_t n_asked;
	GArray *answers; /// struct lookup_answer
	usec_t started_at;
	usec_t deadline;
	usec_t ask_again_at;
	enum lookup_check check;
};

static void on_check_done(void *owner, const struct store_check_result *result);

static const struct store_check_vtable check_vtable = {
    .done = on_check_done,
};

static void on_history_read(void *owner, bool is_read);

static const struct upstream_history_vtable history_vtable = {
    .done = on_history_read,
};

/// Creates the searches of an instance.
///
/// @param entry  the instance; its view, pool and settings are set
/// @return the searches; free with stream_lookups_free()
struct stream_lookups *
stream_lookups_new(struct entry *entry)
{
	struct stream_lookups *lookups = g_new0(struct stream_lookups, 1);
	const struct store_check_options options = {
	    .vtable = &check_vtable,
	    .owner = lookups,
	    .site = entry->site,
	    .view = entry->view,
	    .pool = entry->pool,
	    .address = entry->settings->store,
	};
	const struct upstream_history_options history = {
	    .vtable = &history_vtable,
	    .owner = lookups,
	    .entry = entry,
	};

	lookups->entry = entry;
	lookups->running_since = g_get_monotonic_time();
	lookups->searching = g_hash_table_new(NULL, NULL);
	lookups->limits =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	lookups->check = store_check_new(&options);
	lookups->history = upstream_history_new(&history);
	return lookups;
}

/// Frees the searches of an instance, which has no requests any more.
///
/// @param lookups  not NULL
void
stream_lookups_free(struct stream_lookups *lookups)
{
	store_check_free(lookups->check);
	upstream_history_free(lookups->history);
	g_hash_table_unref(lookups->searching);
	g_hash_table_unref(lookups->limits);
	g_free(lookups);
}

/// Notes how long the caller of a request waits. Later attempts of a caller
/// tell what is left of that time.
///
/// @param request  request whose route is known
void
stream_lookups_note_limit(const struct entry_request *request)
{
	GHashTable *limits = request->entry->stream_lookups->limits;
	uint64_t route = hash_name(request->route->name);
	usec_t *known = g_hash_table_lookup(limits, &route);
	usec_t limit = request->route->timeout;

	if (!resumption_is_needed(request))
		limit = MAX(limit, request->params.timeout);
	if (known == NULL)
		g_hash_table_insert(limits, g_memdup2(&route, sizeof(route)),
		    g_memdup2(&limit, sizeof(limit)));
	else
		*known = MAX(*known, limit);
}

/// Computes the age that a stream has at most. Its caller names how much is
/// left of the time that it waits; one that names more than callers of the
/// route usually have isn't believed.
static usec_t
find_age_limit(const struct entry_request *request)
{
	uint64_t route = hash_name(request->route->name);
	const usec_t *limit =
	    g_hash_table_lookup(request->entry->stream_lookups->limits, &route);
	usec_t left = request->params.timeout;

	return left > 0 && left < *limit ? *limit - left : MAX(*limit, left);
}

/// @return the age that a stream has at most which the caller of a request
///         takes up, plus the time for which its upstream may have served
///         unlisted
static usec_t
find_span(const struct entry_request *request)
{
	return find_age_limit(request) + STREAM_LOOKUP_TRANSIT_SPAN +
	    STREAM_LOOKUP_UNLISTED_SPAN;
}

/// Fills in what this instance can say of the versions of a service.
///
/// @param lookups  of the instance
/// @param service  hash of the service's name
/// @param span     time until now in which a version counts
/// @param witness  filled in
void
stream_lookups_testify(const struct stream_lookups *lookups, uint64_t service,
    usec_t span, struct version_witness *witness)
{
	const struct entry *entry = lookups->entry;
	usec_t since = g_get_monotonic_time() - span;

	*witness = (struct version_witness){
	    .revision = view_revision(entry->view, SITE_SCOPE_UPSTREAMS),
	    .running_since = lookups->running_since,
	};
	witness->watched_since =
	    view_watched_since(entry->view, &witness->watched_from);
	witness->watched_since = MIN(witness->watched_since,
	    upstream_history_known_since(lookups->history));
	witness->only_version = resumption_find_only_version(
	    entry->resumption, service, since, &witness->has_several);
}

/// Asks other instances for the stream that a caller takes up.
static void
ask(struct entry_request *request)
{
	struct stream_lookup *lookup = request->lookup;

	lookup->ask_again_at =
	    g_get_monotonic_time() + STREAM_LOOKUP_ASK_AGAIN_DELAY;
	lookup->n_asked =
	    stream_sync_ask(peers_stream_sync(request->entry->peers),
		&lookup->question, lookup->asked);
}

/// @return the answer of an instance; NULL: there is none
static const struct lookup_answer *
find_answer(const struct stream_lookup *lookup, uint64_t instance)
{
	for (guint i = 0; i < lookup->answers->len; i++) {
		const struct lookup_answer *answer =
		    &g_array_index(lookup->answers, struct lookup_answer, i);

		if (answer->instance == instance)
			return answer;
	}
	return NULL;
}

/// Checks whether all instances that were asked have answered. An instance that
/// knows no other waits, as it may have just started.
///
/// @param since  only instances count that have been running since then
static bool
has_all_answers(const struct stream_lookup *lookup, usec_t since)
{
	for (size_t i = 0; i < lookup->n_asked; i++) {
		const struct lookup_answer *answer =
		    find_answer(lookup, lookup->asked[i]);

		if (answer == NULL || answer->witness.running_since > since)
			return false;
	}
	return lookup->n_asked > 0;
}

/// Checks whether an instance that answered, or this one, knows all upstreams
/// that there were since some time.
static bool
is_covered(const struct stream_lookup *lookup,
    const struct version_witness *own, usec_t since)
{
	if (version_witness_covers(own, own, since))
		return true;
	for (guint i = 0; i < lookup->answers->len; i++)
		if (version_witness_covers(own,
			&g_array_index(lookup->answers, struct lookup_answer, i)
			     .witness,
			since))
			return true;
	return false;
}

/// Checks whether an instance that answered has seen another version.
static bool
is_contradicted(const struct stream_lookup *lookup, uint64_t version)
{
	for (guint i = 0; i < lookup->answers->len; i++)
		if (version_witness_contradicts(
			&g_array_index(lookup->answers, struct lookup_answer, i)
			     .witness,
			version))
			return true;
	return false;
}

/// Starts a check of the store if any search waits for one.
static void
start_check(struct stream_lookups *lookups)
{
	const struct view *view = lookups->entry->view;
	bool is_wanted = false;
	GHashTableIter iter;
	void *key;

	if (store_check_is_running(lookups->check))
		return;
	g_hash_table_iter_init(&iter, lookups->searching);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const struct entry_request *request = key;

		is_wanted |= request->lookup->check == LOOKUP_CHECK_WANTED;
	}
	if (is_wanted)
		store_check_start(
		    lookups->check, view_revision(view, SITE_SCOPE_UPSTREAMS));
}

/// Finds the only version that may have begun a stream that nobody remembers,
/// as far as is known before the store is asked. Where requests of a route are
/// split among services, any of them may have.
///
/// @param needs_history  set to whether that is certain only with the history
///                       of the store
/// @return 0: there are several, or none
static uint64_t
find_candidate(const struct entry_request *request, bool *needs_history)
{
	const struct stream_lookup *lookup = request->lookup;
	struct version_witness own;

	stream_lookups_testify(request->entry->stream_lookups,
	    lookup->question.service, lookup->question.span, &own);
	*needs_history = !is_covered(
	    lookup, &own, lookup->started_at - lookup->question.span);
	if (request->route->shares->len > 1 ||
	    is_contradicted(lookup, own.only_version))
		return 0;
	return own.only_version;
}

/// Asks the store what a search lacks: its history, or what is new.
static void
ask_store(struct entry_request *request, bool needs_history)
{
	struct stream_lookups *lookups = request->entry->stream_lookups;
	struct stream_lookup *lookup = request->lookup;

	lookup->check =
	    needs_history ? LOOKUP_CHECK_HISTORY : LOOKUP_CHECK_WANTED;
	if (needs_history)
		upstream_history_read(lookups->history,
		    lookup->started_at - lookup->question.span);
	else
		start_check(lookups);
}

/// Finds the only version that may have begun a stream that nobody remembers,
/// and asks the store if it hasn't been asked.
///
/// @return 0: there are several, or none, or the store hasn't answered
static uint64_t
find_only_candidate(struct entry_request *request)
{
	struct stream_lookups *lookups = request->entry->stream_lookups;
	struct stream_lookup *lookup = request->lookup;
	bool needs_history;
	uint64_t version = find_candidate(request, &needs_history);

	if (version == 0 || lookup->check == LOOKUP_CHECK_FAILED ||
	    (needs_history && upstream_history_is_exhausted(lookups->history)))
		return 0;
	if (lookup->check == LOOKUP_CHECK_MADE)
		return needs_history ? 0 : version;
	if (lookup->check == LOOKUP_CHECK_NONE)
		ask_store(request, needs_history);
	return 0;
}

/// @return whether a search waits for the store
static bool
waits_for_store(const struct stream_lookup *lookup)
{
	return lookup->check == LOOKUP_CHECK_WANTED ||
	    lookup->check == LOOKUP_CHECK_HISTORY;
}

/// Decides how a stream goes on that a caller takes up.
static struct resume_decision
decide(struct entry_request *request)
{
	usec_t now = g_get_monotonic_time();
	struct stream_lookup *lookup = request->lookup;
	struct resume_inputs inputs = {
	    .found = stream_versions_find(
		resumption_versions(request->entry->resumption), now,
		lookup->question.stream),
	    .has_all_answers = has_all_answers(
		lookup, lookup->started_at - lookup->question.span),
	};

	inputs.is_lookup_over =
	    has_all_answers(lookup, USEC_NEVER) || now >= lookup->deadline;
	if (inputs.is_lookup_over && resume_needs_only_version(&inputs)) {
		inputs.only_version = find_only_candidate(request);
		inputs.is_lookup_over = !waits_for_store(lookup);
	}
	return resume_decide(&inputs);
}

/// Logs what is done with a stream that a caller takes up.
static void
log_decision(const struct entry_request *request,
    const struct resume_decision *decision, bool is_remembered)
{
	static const char *const checks[] = {
	    [LOOKUP_CHECK_NONE] = "none",
	    [LOOKUP_CHECK_HISTORY] = "history",
	    [LOOKUP_CHECK_WANTED] = "wanted",
	    [LOOKUP_CHECK_MADE] = "made",
	    [LOOKUP_CHECK_FAILED] = "failed",
	};
	const struct stream_lookup *lookup = request->lookup;
	bool needs_history;
	uint64_t candidate = find_candidate(request, &needs_history);

	series_add(&entry_metric_resumptions, resume_step_name(decision->step),
	    is_remembered ? "remembered" : "not-remembered", 1);
	log_event(LOG_LEVEL_INFO, "stream-taken-up",
	    "id=%s stream=%016" G_GINT64_MODIFIER
	    "x last_event=%" G_GINT64_FORMAT
	    " version_key=%016" G_GINT64_MODIFIER
	    "x remembered=%d asked=%zu answered=%u "
	    "candidate=%016" G_GINT64_MODIFIER "x span_ms=%" G_GINT64_FORMAT
	    " watched=%d store_check=%s "
	    "waited_ms=%" G_GINT64_FORMAT " outcome=%s",
	    request->params.id == NULL ? "-" : request->params.id,
	    lookup->question.stream, request->params.last_event,
	    decision->version_key, is_remembered, lookup->n_asked,
	    lookup->answers->len, candidate,
	    lookup->question.span / USEC_PER_MSEC, !needs_history,
	    checks[lookup->check],
	    (g_get_monotonic_time() - lookup->started_at) / USEC_PER_MSEC,
	    resume_step_name(decision->step));
}

/// Places or refuses a request that takes up a stream, once enough is known.
/// Asks the other instances again when that is due.
///
/// @param request  request that stream_lookup_start() was called for; the
///                 caller holds a reference
void
stream_lookup_advance(struct entry_request *request)
{
	struct resume_decision decision = decide(request);
	const struct stream_versions *versions =
	    resumption_versions(request->entry->resumption);
	usec_t now = g_get_monotonic_time();

	if (decision.step == RESUME_WAIT) {
		if (now >= request->lookup->ask_again_at &&
		    now < request->lookup->deadline)
			ask(request);
		entry_request_set_timer(request);
		return;
	}
	log_decision(request, &decision,
	    stream_versions_find(
		versions, now, request->lookup->question.stream) != NULL);
	stream_lookup_clear(request);
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
stream_lookup_start(struct entry_request *request)
{
	struct stream_lookup *lookup = g_new0(struct stream_lookup, 1);
	usec_t now = g_get_monotonic_time();

	stream_lookups_note_limit(request);
	lookup->question = (struct stream_question){
	    .stream = request->resumed_stream,
	    .service = hash_name(request->service),
	    .span = find_span(request),
	};
	lookup->answers =
	    g_array_new(false, false, sizeof(struct lookup_answer));
	lookup->started_at = now;
	lookup->deadline = now + STREAM_LOOKUP_TIMEOUT;
	lookup->ask_again_at = now;
	request->lookup = lookup;
	g_hash_table_add(request->entry->stream_lookups->searching, request);
	stream_lookup_advance(request);
}

/// @param request  request in any state
/// @return when to call stream_lookup_advance(); USEC_NEVER: no search is
///         running, or it waits for the store, whose answer has a time limit
usec_t
stream_lookup_wake_time(const struct entry_request *request)
{
	if (request->lookup == NULL || waits_for_store(request->lookup))
		return USEC_NEVER;
	return MIN(request->lookup->deadline, request->lookup->ask_again_at);
}

/// Ends the search for the version of a request's stream, if there is one.
///
/// @param request  request in any state
void
stream_lookup_clear(struct entry_request *request)
{
	if (request->lookup == NULL)
		return;
	g_hash_table_remove(request->entry->stream_lookups->searching, request);
	g_array_unref(request->lookup->answers);
	g_clear_pointer(&request->lookup, g_free);
}

/// Lists the requests whose streams are searched, each with a reference.
static GPtrArray *
list_searching(const struct stream_lookups *lookups)
{
	GPtrArray *requests =
	    g_ptr_array_new_with_free_func((GDestroyNotify)entry_request_unref);
	GHashTableIter iter;
	void *key;

	g_hash_table_iter_init(&iter, lookups->searching);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		g_ptr_array_add(requests, entry_request_ref(key));
	return requests;
}

/// Handles the answer of another instance that was asked for a stream.
///
/// @param lookups   of this instance
/// @param stream    the stream, as it was asked for
/// @param instance  hash of the name of the other instance
/// @param witness   what the other instance says of the service's versions
void
stream_lookups_on_answer(struct stream_lookups *lookups, uint64_t stream,
    uint64_t instance, const struct version_witness *witness)
{
	const struct lookup_answer answer = {instance, *witness};
	GPtrArray *requests = list_searching(lookups);

	for (guint i = 0; i < requests->len; i++) {
		struct entry_request *request = requests->pdata[i];
		struct stream_lookup *lookup = request->lookup;

		if (lookup == NULL || lookup->question.stream != stream ||
		    find_answer(lookup, instance) != NULL)
			continue;
		g_array_append_val(lookup->answers, answer);
		stream_lookup_advance(request);
	}
	g_ptr_array_unref(requests);
}

/// Checks whether a check answers what a search has asked: it was started
/// since.
static bool
is_answered_by(
    const struct stream_lookup *lookup, const struct store_check_result *result)
{
	return lookup != NULL && lookup->check == LOOKUP_CHECK_WANTED &&
	    lookup->started_at <= result->started_at;
}

/// Store callback: a check is over.
static void
on_check_done(void *owner, const struct store_check_result *result)
{
	struct stream_lookups *lookups = owner;
	GPtrArray *requests = list_searching(lookups);

	for (guint i = 0; i < requests->len; i++) {
		struct entry_request *request = requests->pdata[i];
		struct stream_lookup *lookup = request->lookup;

		if (!is_answered_by(lookup, result))
			continue;
		lookup->check = result->outcome == STORE_CHECK_MADE
		    ? LOOKUP_CHECK_MADE
		    : LOOKUP_CHECK_FAILED;
		stream_lookup_advance(request);
	}
	g_ptr_array_unref(requests);
	start_check(lookups);
}

/// History callback: it was read. The searches that wait for it go on, and ask
/// the store what is new since their callers came.
static void
on_history_read(void *owner, bool is_read)
{
	GPtrArray *requests = list_searching(owner);

	for (guint i = 0; i < requests->len; i++) {
		struct entry_request *request = requests->pdata[i];
		struct stream_lookup *lookup = request->lookup;

		if (lookup == NULL || lookup->check != LOOKUP_CHECK_HISTORY)
			continue;
		lookup->check =
		    is_read ? LOOKUP_CHECK_NONE : LOOKUP_CHECK_FAILED;
		stream_lookup_advance(request);
	}
	g_ptr_array_unref(requests);
}
