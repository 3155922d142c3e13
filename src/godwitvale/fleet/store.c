/* Reads the platform's store with lists and watches. */
#include "godwitvale/fleet/store.h"

#include "godwitvale/core/backoff.h"
#include "godwitvale/fleet/store_check.h"
#include "godwitvale/http/fetch.h"
#include "godwitvale/ops/log.h"

/// Longest time for which the store may delay its answer to a watch for the
/// operator's changes. A dead connection is noticed after this time, or when
/// the store answers a call for upstreams after one has failed; until then
/// other instances report the changes.
#define STORE_OPERATOR_WAIT (15 * USEC_PER_SEC)
/// Longest time for which the store may delay its answer to a watch for changes
/// of upstreams.
#define STORE_UPSTREAM_WAIT (500 * USEC_PER_MSEC)
/// Pause between two watches for changes of upstreams. Related changes occur
/// within this time, so that one call returns all of them.
#define STORE_FIRST_READER_PAUSE (20 * USEC_PER_MSEC)
/// The same pause for the second reader, which is a backup for the first, and
/// for an instance that reads because no reader confirms its data.
#define STORE_SECOND_READER_PAUSE (250 * USEC_PER_MSEC)
/// The same pause when the last changes were not significant, for example in a
/// store in which every heartbeat of an upstream is a change.
#define STORE_IDLE_PAUSE (200 * USEC_PER_MSEC)
/// An instance whose last call for a scope failed tries again this often while
/// the readers provide the data.
#define STORE_UNREACHABLE_INTERVAL (5 * USEC_PER_SEC)
/// Maximum random delay until an instance reads changes that a reader could not
/// pass on.
#define STORE_CHANGE_SPREAD (200 * USEC_PER_MSEC)
/// Timeout of a call, in addition to the wait that the call asks for.
#define STORE_ANSWER_TIMEOUT (1 * USEC_PER_SEC)
/// After a failure calls don't ask the store to wait, so that its recovery is
/// noticed soon. Their timeout grows by this step with each consecutive
/// failure, up to STORE_RETRY_TIMEOUT_MAX.
#define STORE_RETRY_TIMEOUT_STEP (400 * USEC_PER_MSEC)
#define STORE_RETRY_TIMEOUT_MAX (1200 * USEC_PER_MSEC)
/// An instance that isn't a reader reads the upstreams itself when its data is
/// older than this, because no reader has confirmed it since.
#define STORE_PEER_DATA_MAX_AGE (1000 * USEC_PER_MSEC)
/// Minimum time until an instance that gets its data from the readers checks
/// again whether they still confirm it.
#define STORE_PEER_DATA_CHECK_MIN (20 * USEC_PER_MSEC)

/// After a restore of the store all instances read it anew. Their lists are
/// spread over this time for each instance of the fleet.
#define STORE_RESTORE_SPREAD_PER_INSTANCE (2 * USEC_PER_MSEC)
/// Delay until a call is repeated whose answer is of an earlier era.
#define STORE_OLD_ERA_PAUSE (100 * USEC_PER_MSEC)

/// Reads one scope of the store.
struct scope_reader {
	struct store *store;
	enum site_scope scope;
	struct fetch *fetch;
	usec_t started_at; /// of the current call
	guint timer;
	struct backoff backoff;
	bool has_list;     /// a full list was read since the last lost history
	bool is_list_call; /// the current call reads a list
	uint64_t watch_after; /// revision after which the current watch starts
	GPtrArray *pages;     /// struct site_reply *, of an incomplete list
	bool must_read; /// there are changes that the readers don't pass on
	/// the current call watches the operator's changes, too
	bool covers_operator;
	usec_t failed_at; /// end of the last call that failed
	bool reachable;   /// the last call succeeded
};

struct store {
	struct store_options options;
	struct scope_reader readers[2]; /// by enum site_scope
	uint64_t calls;                 /// started so far
	usec_t failed_at; /// end of the last call of any scope that failed
	uint64_t era;     /// latest era of the store that is known; 0: none
};

static void start_call(struct scope_reader *reader);

/// @return name of a scope in the log
static const char *
scope_name(enum site_scope scope)
{
	return scope == SITE_SCOPE_UPSTREAMS ? "upstreams" : "operator";
}

/// Frees a reply (struct site_reply *).
static void
free_reply(void *data)
{
	site_reply_free(data);
}

/// Loop callback: the next call is due.
static gboolean
on_timer(gpointer data)
{
	struct scope_reader *reader = data;

	reader->timer = 0;
	start_call(reader);
	return G_SOURCE_REMOVE;
}

/// Schedules the next call after a pause, instead of one scheduled earlier.
static void
schedule_call(struct scope_reader *reader, usec_t pause)
{
	if (reader->timer != 0)
		g_source_remove(reader->timer);
	reader->timer =
	    g_timeout_add((guint)(pause / USEC_PER_MSEC), on_timer, reader);
}

/// @return the reader of the other scope
static struct scope_reader *
other_reader(const struct scope_reader *reader)
{
	return &reader->store->readers[reader->scope == SITE_SCOPE_UPSTREAMS
		? SITE_SCOPE_OPERATOR
		: SITE_SCOPE_UPSTREAMS];
}

/// Schedules the next call at the retry time of the backoff.
static void
schedule_retry(struct scope_reader *reader)
{
	schedule_call(
	    reader, MAX(reader->backoff.retry_at - g_get_monotonic_time(), 0));
}

/// Handles a failed call: discards incomplete lists and schedules a retry.
static void
handle_failure(struct scope_reader *reader, const char *reason, unsigned status)
{
	const struct store_options *options = &reader->store->options;
	unsigned n_others_failing = other_reader(reader)->backoff.failures > 0;

	log_event(LOG_LEVEL_WARN, "store-call-failed",
	    "scope=%s reason=\"%s\" status=%u revision=%" G_GUINT64_FORMAT,
	    scope_name(reader->scope), reason, status,
	    store_revision_number(
		view_revision(reader->store->options.view, reader->scope)));
	reader->reachable = false;
	reader->must_read = false;
	reader->failed_at = g_get_monotonic_time();
	reader->store->failed_at = reader->failed_at;
	g_clear_pointer(&reader->pages, g_ptr_array_unref);
	backoff_record_failure(&reader->backoff, g_get_monotonic_time(),
	    options->vtable->fleet_size(options->owner), n_others_failing,
	    g_random_double());
	schedule_retry(reader);
}

/// Brings the retry of a failed call forward, because another call to the store
/// was answered.
///
/// @param jitter  random number from 0 to 1 that spreads the retries of several
///                instances; 0: retry at once
static void
shorten_backoff(struct scope_reader *reader, double jitter)
{
	if (reader->backoff.failures == 0 || reader->timer == 0)
		return;
	backoff_shorten(&reader->backoff, g_get_monotonic_time(), jitter);
	schedule_retry(reader);
}

/// Gives up the current call, if there is one, and starts another one soon: the
/// call may be one that the store never answers, or its answer is of no use.
static void
renew_call(struct scope_reader *reader, const char *reason)
{
	if (reader->fetch == NULL)
		return;
	log_event(LOG_LEVEL_INFO, "store-call-renewed",
	    "scope=%s reason=%s age_ms=%" G_GINT64_FORMAT,
	    scope_name(reader->scope), reason,
	    (g_get_monotonic_time() - reader->started_at) / USEC_PER_MSEC);
	g_clear_pointer(&reader->fetch, fetch_cancel);
	g_clear_pointer(&reader->pages, g_ptr_array_unref);
	schedule_call(reader, 0);
}

/// Handles a successful call. A call of the other scope that was running while
/// the store didn't answer may stay silent although the store is back.
static void
handle_success(struct scope_reader *reader)
{
	struct scope_reader *other = other_reader(reader);

	if (!reader->reachable)
		log_event(LOG_LEVEL_INFO, "store-reachable", "scope=%s",
		    scope_name(reader->scope));
	reader->reachable = true;
	backoff_reset(&reader->backoff);
	shorten_backoff(other, 0);
	if (other->started_at <= reader->store->failed_at)
		renew_call(other, "store-answers-again");
}

/// Handles a page of a list. After the last page the list is applied and the
/// reader starts to watch for changes. A page that doesn't say where the next
/// one begins can't be continued; what the list lacks then isn't known.
static void
handle_page(struct scope_reader *reader, struct site_reply *reply)
{
	struct view *view = reader->store->options.view;
	GPtrArray *items;

	if (reply->has_more && reply->last_key == NULL) {
		site_reply_free(reply);
		handle_failure(reader, "page-without-key", 200);
		return;
	}
	handle_success(reader);
	if (reader->pages == NULL)
		reader->pages = g_ptr_array_new_with_free_func(free_reply);
	g_ptr_array_add(reader->pages, reply);
	if (reply->has_more) {
		start_call(reader);
		return;
	}
	/* The pages are not a consistent snapshot. The watch starts after the
	 * revision of the first page, so it returns all later changes again. */
	items = g_ptr_array_new();
	for (guint i = 0; i < reader->pages->len; i++) {
		struct site_reply *page = reader->pages->pdata[i];

		for (guint j = 0; j < page->items->len; j++)
			g_ptr_array_add(items, page->items->pdata[j]);
	}
	view_apply_list(view, g_get_monotonic_time(), reader->scope, items,
	    ((struct site_reply *)reader->pages->pdata[0])->as_of);
	g_ptr_array_unref(items);
	g_clear_pointer(&reader->pages, g_ptr_array_unref);
	reader->has_list = true;
	start_call(reader);
}

/// Checks whether any of the changes is significant.
static bool
has_significant_change(const struct view *view, const GPtrArray *items)
{
	for (guint i = 0; i < items->len; i++)
		if (view_is_significant_change(view, items->pdata[i]))
			return true;
	return false;
}

/// @return pause before the next watch for changes of upstreams
static usec_t
next_pause(const struct store *store, bool is_significant)
{
	const struct store_options *options = &store->options;

	if (!is_significant)
		return STORE_IDLE_PAUSE;
	return options->vtable->reader_rank(options->owner) == 0
	    ? STORE_FIRST_READER_PAUSE
	    : STORE_SECOND_READER_PAUSE;
}

/// Lists the items of a reply that are of a scope. They stay in the reply.
static GPtrArray *
list_scope_items(const struct site_reply *reply, enum site_scope scope)
{
	GPtrArray *items = g_ptr_array_new();

	for (guint i = 0; i < reply->items->len; i++) {
		const struct site_item *item = reply->items->pdata[i];

		if ((item->kind == SITE_ITEM_UPSTREAM) ==
		    (scope == SITE_SCOPE_UPSTREAMS))
			g_ptr_array_add(items, reply->items->pdata[i]);
	}
	return items;
}

/// Applies the changes of a scope that a watch returned. The listener gets them
/// before the view applies them, because only the old state of the view shows
/// which changes are significant.
static void
apply_scope_changes(struct scope_reader *reader, enum site_scope scope,
    const struct site_reply *reply)
{
	const struct store_options *options = &reader->store->options;
	GPtrArray *items = list_scope_items(reply, scope);

	if (reader->scope == SITE_SCOPE_UPSTREAMS)
		options->vtable->changes_read(options->owner, scope, items,
		    reader->watch_after, reply->as_of);
	view_apply_changes(
	    options->view, g_get_monotonic_time(), scope, items, reply->as_of);
	g_ptr_array_unref(items);
}

/// Handles the changes that a watch returned.
static void
handle_changes(struct scope_reader *reader, struct site_reply *reply)
{
	struct store *store = reader->store;
	bool is_significant =
	    has_significant_change(store->options.view, reply->items);
	bool is_empty = reply->items->len == 0;

	handle_success(reader);
	reader->must_read = false;
	if (reader->covers_operator)
		apply_scope_changes(reader, SITE_SCOPE_OPERATOR, reply);
	apply_scope_changes(reader, reader->scope, reply);
	site_reply_free(reply);
	if (reader->scope == SITE_SCOPE_UPSTREAMS && !is_empty)
		schedule_call(reader, next_pause(store, is_significant));
	else
		start_call(reader);
}

/// Discards what a reader has read of an earlier era, and lists the items anew
/// after a random delay.
static void
restart_reader(struct scope_reader *reader)
{
	const struct store_options *options = &reader->store->options;
	unsigned n_instances = options->vtable->fleet_size(options->owner);

	g_clear_pointer(&reader->fetch, fetch_cancel);
	g_clear_pointer(&reader->pages, g_ptr_array_unref);
	reader->has_list = false;
	schedule_call(reader,
	    (usec_t)(g_random_double() * n_instances *
		(double)STORE_RESTORE_SPREAD_PER_INSTANCE));
}

/// Handles the news that the store is in a later era: its revisions don't
/// continue those that are known, so all items are listed anew.
///
/// @param store  client that lists the items
/// @param era    an era of the store; one that isn't later than the known one
///               is ignored
void
store_note_era(struct store *store, uint64_t era)
{
	const struct view *view = store->options.view;
	bool is_first = store->era == 0 &&
	    view_revision(view, SITE_SCOPE_UPSTREAMS) == 0 &&
	    view_revision(view, SITE_SCOPE_OPERATOR) == 0;

	if (era <= store->era)
		return;
	log_event(is_first ? LOG_LEVEL_INFO : LOG_LEVEL_WARN,
	    "store-era-changed",
	    "era=%" G_GUINT64_FORMAT " known=%" G_GUINT64_FORMAT " outcome=%s",
	    era, store->era, is_first ? "first" : "list");
	store->era = era;
	for (size_t i = 0; !is_first && i < G_N_ELEMENTS(store->readers); i++)
		restart_reader(&store->readers[i]);
}

/// Checks whether an answer is of the era that is known, which a later one
/// replaces. Otherwise the answer must be discarded; another call is scheduled.
static bool
check_era(struct scope_reader *reader, uint64_t era)
{
	struct store *store = reader->store;

	if (era == 0 || era == store->era)
		return true;
	if (era > store->era) {
		store_note_era(store, era);
		return reader->timer == 0;
	}
	log_event(LOG_LEVEL_WARN, "store-answer-of-old-era",
	    "scope=%s era=%" G_GUINT64_FORMAT " known=%" G_GUINT64_FORMAT
	    " outcome=dropped",
	    scope_name(reader->scope), era, store->era);
	schedule_call(reader, STORE_OLD_ERA_PAUSE);
	return false;
}

/// Discards what a watch continued, as the store doesn't know its changes any
/// more. The items of all scopes that it covers are listed anew.
static void
discard_list(struct scope_reader *reader)
{
	struct scope_reader *other = other_reader(reader);

	reader->has_list = false;
	if (!reader->covers_operator)
		return;
	other->has_list = false;
	if (other->fetch != NULL)
		renew_call(other, "history-lost");
	else if (other->backoff.failures == 0)
		schedule_call(other, 0);
}

/// Handles an answer that was received, but can't be read. If it was a watch's,
/// the same call might get the same answer for as long as the store has these
/// changes, so that the items are listed anew.
static void
handle_unreadable(
    struct scope_reader *reader, const char *reason, unsigned status)
{
	if (!reader->is_list_call)
		discard_list(reader);
	handle_failure(reader, reason, status);
}

/// Fetch callback: a call was answered or has failed.
static void
on_answer(void *owner, const struct fetch_response *answer)
{
	struct scope_reader *reader = owner;
	struct store *store = reader->store;
	GError *error = NULL;
	struct site_reply *reply;

	reader->fetch = NULL;
	if (answer->head != NULL &&
	    !check_era(reader, store->options.site->read_era(answer->head)))
		return;
	if (answer->status != 0 && !reader->is_list_call &&
	    store->options.site->is_history_lost(answer->status)) {
		log_event(LOG_LEVEL_INFO, "store-history-lost",
		    "scope=%s after=%" G_GUINT64_FORMAT " outcome=list",
		    scope_name(reader->scope),
		    store_revision_number(reader->watch_after));
		discard_list(reader);
		start_call(reader);
		return;
	}
	if (answer->is_too_long) {
		handle_unreadable(reader, answer->failure, answer->status);
		return;
	}
	if (answer->status != 200) {
		handle_failure(reader,
		    answer->failure == NULL ? "status" : answer->failure,
		    answer->status);
		return;
	}
	reply =
	    store->options.site->read_reply(answer->body, answer->len, &error);
	if (reply == NULL) {
		handle_unreadable(reader, error->message, answer->status);
		g_error_free(error);
		return;
	}
	store_reply_set_era(reply, store->era);
	if (reader->is_list_call)
		handle_page(reader, reply);
	else
		handle_changes(reader, reply);
}

/// Checks whether a watch for the changes of upstreams can return the
/// operator's, too: this instance reads for the others, and has listed the
/// operator's items.
static bool
can_cover_operator(const struct scope_reader *reader)
{
	const struct store *store = reader->store;
	const struct store_options *options = &store->options;

	return reader->scope == SITE_SCOPE_UPSTREAMS &&
	    store->readers[SITE_SCOPE_OPERATOR].has_list &&
	    store_revision_era(view_revision(
		options->view, SITE_SCOPE_OPERATOR)) == store->era &&
	    options->vtable->reader_rank(options->owner) >= 0;
}

/// @return time for which the store may delay its answer to the next watch
static usec_t
get_watch_wait(const struct scope_reader *reader)
{
	const struct store_options *options = &reader->store->options;

	if (reader->backoff.failures > 0)
		return 0;
	/* A call that begins in an outage must not outlive it by much. */
	if (reader->scope == SITE_SCOPE_OPERATOR)
		return other_reader(reader)->backoff.failures > 0
		    ? STORE_UPSTREAM_WAIT
		    : STORE_OPERATOR_WAIT;
	/* Data that no reader confirms must not get older by waiting. */
	return options->vtable->reader_rank(options->owner) >= 0
	    ? STORE_UPSTREAM_WAIT
	    : 0;
}

/// Builds the request target of the next call. Calls list the items until a
/// list is complete; later calls watch for changes.
///
/// @param wait  set to the time for which the store may delay its answer
static char *
build_target(struct scope_reader *reader, usec_t *wait)
{
	const struct site *site = reader->store->options.site;
	const char *after = NULL;

	*wait = 0;
	/* Another instance's snapshot may be of another era. */
	if (store_revision_era(view_revision(reader->store->options.view,
		reader->scope)) != reader->store->era)
		reader->has_list = false;
	reader->is_list_call = !reader->has_list;
	if (reader->is_list_call) {
		if (reader->pages != NULL) {
			const struct site_reply *page =
			    reader->pages->pdata[reader->pages->len - 1];

			after = page->last_key;
		}
		return site->list_target(reader->scope, after, false);
	}
	*wait = get_watch_wait(reader);
	reader->watch_after =
	    view_revision(reader->store->options.view, reader->scope);
	reader->covers_operator = can_cover_operator(reader);
	if (reader->covers_operator)
		reader->watch_after = MIN(reader->watch_after,
		    view_revision(
			reader->store->options.view, SITE_SCOPE_OPERATOR));
	return site->watch_target(
	    reader->covers_operator ? SITE_SCOPE_ALL : reader->scope,
	    store_revision_number(reader->watch_after), *wait);
}

/// Checks whether this scope need not be read: the data was confirmed recently,
/// by other instances that read it on behalf of this one, or by this instance's
/// watch for both scopes.
static bool
is_updated_by_peers(const struct scope_reader *reader)
{
	const struct store_options *options = &reader->store->options;

	if (!reader->has_list || reader->must_read)
		return false;
	if (!reader->reachable &&
	    g_get_monotonic_time() >=
		reader->failed_at + STORE_UNREACHABLE_INTERVAL)
		return false;
	/* A reader's own watch for upstreams covers the operator's scope. */
	if (reader->scope == SITE_SCOPE_UPSTREAMS &&
	    options->vtable->reader_rank(options->owner) >= 0)
		return false;
	return g_get_monotonic_time() <
	    view_confirmed_at(options->view, reader->scope) +
	    STORE_PEER_DATA_MAX_AGE;
}

/// @return time until the data counts as outdated, unless it is confirmed again
static usec_t
time_until_outdated(const struct scope_reader *reader)
{
	usec_t outdated_at =
	    view_confirmed_at(reader->store->options.view, reader->scope) +
	    STORE_PEER_DATA_MAX_AGE;

	return MAX(
	    outdated_at - g_get_monotonic_time(), STORE_PEER_DATA_CHECK_MIN);
}

/// @return timeout of the next call, on top of the time for which the call lets
///         the store delay its answer
static usec_t
answer_timeout(const struct scope_reader *reader)
{
	if (reader->backoff.failures == 0)
		return STORE_ANSWER_TIMEOUT;
	return MIN(reader->backoff.failures * STORE_RETRY_TIMEOUT_STEP,
	    STORE_RETRY_TIMEOUT_MAX);
}

/// Starts the next call, unless one is running or other instances provide the
/// data.
static void
start_call(struct scope_reader *reader)
{
	struct store *store = reader->store;
	struct fetch_options options = {
	    .max_body = FETCH_BYTES_MAX,
	    .pool = store->options.pool,
	    .address = store->options.address,
	    .method = "GET",
	    .handler = on_answer,
	    .owner = reader,
	};
	usec_t wait;
	char *target;

	if (reader->fetch != NULL)
		return;
	if (is_updated_by_peers(reader)) {
		schedule_call(reader, time_until_outdated(reader));
		return;
	}
	target = build_target(reader, &wait);
	options.target = target;
	reader->started_at = g_get_monotonic_time();
	options.deadline = reader->started_at + wait + answer_timeout(reader);
	store->calls++;
	reader->fetch = fetch_start(&options);
	g_free(target);
}

/// Reads the operator's changes soon, as a reader has more than it can pass on.
/// A watch that is running should have returned them by then, and is given up.
/// An instance that doesn't reach the store gets them by a snapshot.
///
/// @param store  client that reads them
void
store_read_operator(struct store *store)
{
	struct scope_reader *reader = &store->readers[SITE_SCOPE_OPERATOR];

	if (reader->must_read || !reader->reachable ||
	    (reader->fetch != NULL && reader->is_list_call))
		return;
	renew_call(reader, "changes-announced");
	reader->must_read = true;
	schedule_call(
	    reader, (usec_t)(g_random_double() * (double)STORE_CHANGE_SPREAD));
}

/// Creates a client and starts to read the store.
///
/// @param options  copied; what the fields point to must outlive the client
/// @return the client; free with store_free()
struct store *
store_new(const struct store_options *options)
{
	struct store *store = g_new0(struct store, 1);

	store->options = *options;
	for (size_t i = 0; i < G_N_ELEMENTS(store->readers); i++) {
		store->readers[i].store = store;
		store->readers[i].scope = (enum site_scope)i;
		start_call(&store->readers[i]);
	}
	return store;
}

/// Stops to read the store and frees the client.
///
/// @param store  not NULL
void
store_free(struct store *store)
{
	for (size_t i = 0; i < G_N_ELEMENTS(store->readers); i++) {
		struct scope_reader *reader = &store->readers[i];

		g_clear_pointer(&reader->fetch, fetch_cancel);
		g_clear_pointer(&reader->pages, g_ptr_array_unref);
		if (reader->timer != 0)
			g_source_remove(reader->timer);
	}
	g_free(store);
}

/// @param store  client to query
/// @return whether the last call for the operator's items succeeded and no call
///         for upstreams is failing
bool
store_is_reachable(const struct store *store)
{
	return store->readers[SITE_SCOPE_OPERATOR].reachable &&
	    store->readers[SITE_SCOPE_UPSTREAMS].backoff.failures == 0;
}

/// Cancels all running calls, which closes their connections, and starts new
/// ones. Called when the data may be out of date.
///
/// @param store  client whose calls are restarted
void
store_restart_calls(struct store *store)
{
	for (size_t i = 0; i < G_N_ELEMENTS(store->readers); i++) {
		struct scope_reader *reader = &store->readers[i];

		g_clear_pointer(&reader->fetch, fetch_cancel);
		g_clear_pointer(&reader->pages, g_ptr_array_unref);
		if (reader->timer != 0)
			g_source_remove(reader->timer);
		reader->timer = 0;
		start_call(reader);
	}
}

/// Brings the retries of failed calls forward, because another instance can
/// reach the store again.
///
/// @param store  client whose retries are brought forward
void
store_shorten_backoff(struct store *store)
{
	for (size_t i = 0; i < G_N_ELEMENTS(store->readers); i++)
		shorten_backoff(&store->readers[i], g_random_double());
}

/// @param store  client to query
/// @return number of calls started so far
uint64_t
store_call_count(const struct store *store)
{
	return store->calls;
}
