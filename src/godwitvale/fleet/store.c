/* The client of the platform's store. */
#include "godwitvale/fleet/store.h"

#include "godwitvale/core/backoff.h"
#include "godwitvale/http/fetch.h"
#include "godwitvale/ops/log.h"

/// Longest wait of a watch for the operator's changes. A connection that has
/// gone silent is noticed after it; until then other instances tell.
#define STORE_OPERATOR_WAIT (15 * USEC_PER_SEC)
/// Longest wait of a watch for changes of upstreams.
#define STORE_UPSTREAM_WAIT (500 * USEC_PER_MSEC)
/// Pause between two watches for changes of upstreams: changes that belong
/// together come within it, and are taken by one call.
#define STORE_NEWS_PAUSE (20 * USEC_PER_MSEC)
/// The same of the second reader, which is there for when the first is not.
#define STORE_SECOND_PAUSE (250 * USEC_PER_MSEC)
/// The same when the last changes told nothing new, as where every heartbeat
/// of an upstream is a change.
#define STORE_IDLE_PAUSE (200 * USEC_PER_MSEC)
/// An answer is awaited for this long beside the wait that was asked for.
#define STORE_ANSWER_SPAN (1 * USEC_PER_SEC)
/// After a failure the store is asked without a wait, so that its return is
/// noticed soon: the first answer is awaited for this long, each further one
/// for as long again, up to STORE_PROBE_LAST.
#define STORE_PROBE_FIRST (400 * USEC_PER_MSEC)
#define STORE_PROBE_LAST (1200 * USEC_PER_MSEC)
/// An instance that reads nothing for the others reads for itself once
/// nobody has told it anything for this long.
#define STORE_FRESH_SPAN (1000 * USEC_PER_MSEC)
/// Interval at which an instance that is told looks whether it still is.
#define STORE_TOLD_CHECK (100 * USEC_PER_MSEC)

/// The reading of one scope.
struct loop {
	struct store *store;
	enum site_scope scope;
	struct fetch *fetch;
	guint timer;
	struct backoff backoff;
	bool listed;      /// a whole list was read in this process
	bool is_list;     /// the call under way reads a list
	uint64_t after;   /// revision that the watch under way follows
	GPtrArray *pages; /// struct site_reply * of the list under way
	bool reachable;   /// the last call was answered
};

struct store {
	struct store_options options;
	struct loop loops[2]; /// by enum site_scope
	uint64_t calls;
};

static void ask(struct loop *loop);

/// @return a scope's name in the log
static const char *
scope_name(enum site_scope scope)
{
	return scope == SITE_SCOPE_UPSTREAMS ? "upstreams" : "operator";
}

/// Frees a reply.
static void
free_reply(void *data)
{
	site_reply_free(data);
}

/// Loop callback: the pause is over.
static gboolean
on_pause_over(gpointer data)
{
	struct loop *loop = data;

	loop->timer = 0;
	ask(loop);
	return G_SOURCE_REMOVE;
}

/// Asks again after a pause.
static void
ask_after(struct loop *loop, usec_t pause)
{
	if (loop->timer != 0)
		g_source_remove(loop->timer);
	loop->timer =
	    g_timeout_add((guint)(pause / USEC_PER_MSEC), on_pause_over, loop);
}

/// @return the other scope's reading
static struct loop *
other_loop(const struct loop *loop)
{
	return &loop->store->loops[loop->scope == SITE_SCOPE_UPSTREAMS
		? SITE_SCOPE_OPERATOR
		: SITE_SCOPE_UPSTREAMS];
}

/// Asks again when the backoff says so.
static void
ask_when_due(struct loop *loop)
{
	ask_after(
	    loop, MAX(loop->backoff.retry_at - g_get_monotonic_time(), 0));
}

/// Takes it that a call was not answered as it should.
static void
on_failure(struct loop *loop, const char *reason, unsigned status)
{
	const struct store_options *options = &loop->store->options;
	unsigned others_away = other_loop(loop)->backoff.failures > 0;

	log_event(LOG_LEVEL_WARN, "store-call-failed",
	    "scope=%s reason=\"%s\" status=%u revision=%" G_GUINT64_FORMAT,
	    scope_name(loop->scope), reason, status,
	    view_revision(loop->store->options.view, loop->scope));
	loop->reachable = false;
	g_clear_pointer(&loop->pages, g_ptr_array_unref);
	backoff_record_failure(&loop->backoff, g_get_monotonic_time(),
	    options->vtable->fleet_size(options->owner), others_away,
	    g_random_double());
	ask_when_due(loop);
}

/// Has a failed reading asked again soon: the store answers elsewhere.
static void
hurry_failed(struct loop *loop, double chance)
{
	if (loop->backoff.failures == 0 || loop->timer == 0)
		return;
	backoff_shorten(&loop->backoff, g_get_monotonic_time(), chance);
	ask_when_due(loop);
}

/// Takes it that a call was answered.
static void
on_success(struct loop *loop)
{
	if (!loop->reachable)
		log_event(LOG_LEVEL_INFO, "store-reachable", "scope=%s",
		    scope_name(loop->scope));
	loop->reachable = true;
	backoff_reset(&loop->backoff);
	hurry_failed(other_loop(loop), 0);
}

/// Takes a page of a list; the last one completes it.
static void
take_page(struct loop *loop, struct site_reply *reply)
{
	struct view *view = loop->store->options.view;
	GPtrArray *items;

	if (loop->pages == NULL)
		loop->pages = g_ptr_array_new_with_free_func(free_reply);
	g_ptr_array_add(loop->pages, reply);
	if (reply->has_more && reply->items->len > 0) {
		ask(loop);
		return;
	}
	/* Pages are no snapshot: what changed since the first one comes again
	 * as changes after it. */
	items = g_ptr_array_new();
	for (guint i = 0; i < loop->pages->len; i++) {
		struct site_reply *page = loop->pages->pdata[i];

		for (guint j = 0; j < page->items->len; j++)
			g_ptr_array_add(items, page->items->pdata[j]);
	}
	view_take_list(view, g_get_monotonic_time(), loop->scope, items,
	    ((struct site_reply *)loop->pages->pdata[0])->as_of);
	g_ptr_array_unref(items);
	g_clear_pointer(&loop->pages, g_ptr_array_unref);
	loop->listed = true;
	ask(loop);
}

/// Whether any of the changes tells something new.
static bool
has_any_news(const struct view *view, const GPtrArray *items)
{
	for (guint i = 0; i < items->len; i++)
		if (view_is_news(view, items->pdata[i]))
			return true;
	return false;
}

/// @return the pause before the upstreams' next changes are asked for
static usec_t
pause_of(const struct store *store, bool has_news)
{
	const struct store_options *options = &store->options;

	if (!has_news)
		return STORE_IDLE_PAUSE;
	return options->vtable->reader_rank(options->owner) == 0
	    ? STORE_NEWS_PAUSE
	    : STORE_SECOND_PAUSE;
}

/// Takes the changes that a watch answered.
static void
take_changes(struct loop *loop, struct site_reply *reply)
{
	struct store *store = loop->store;
	bool has_news = has_any_news(store->options.view, reply->items);
	bool is_empty = reply->items->len == 0;

	if (loop->scope == SITE_SCOPE_UPSTREAMS)
		store->options.vtable->news(store->options.owner, reply->items,
		    loop->after, reply->as_of);
	view_take_changes(store->options.view, g_get_monotonic_time(),
	    loop->scope, reply->items, reply->as_of);
	site_reply_free(reply);
	if (loop->scope == SITE_SCOPE_UPSTREAMS && !is_empty)
		ask_after(loop, pause_of(store, has_news));
	else
		ask(loop);
}

/// Fetch callback: the answer to a call.
static void
on_answer(void *owner, const struct fetch_response *answer)
{
	struct loop *loop = owner;
	struct store *store = loop->store;
	GError *error = NULL;
	struct site_reply *reply;

	loop->fetch = NULL;
	if (answer->status != 0 && !loop->is_list &&
	    store->options.site->is_history_lost(answer->status)) {
		log_event(LOG_LEVEL_INFO, "store-history-lost",
		    "scope=%s after=%" G_GUINT64_FORMAT " outcome=list",
		    scope_name(loop->scope), loop->after);
		loop->listed = false;
		ask(loop);
		return;
	}
	if (answer->status != 200) {
		on_failure(loop,
		    answer->failure == NULL ? "status" : answer->failure,
		    answer->status);
		return;
	}
	reply =
	    store->options.site->read_reply(answer->body, answer->len, &error);
	if (reply == NULL) {
		on_failure(loop, error->message, answer->status);
		g_error_free(error);
		return;
	}
	on_success(loop);
	if (loop->is_list)
		take_page(loop, reply);
	else
		take_changes(loop, reply);
}

/// Names the call that is due.
static char *
next_target(struct loop *loop, usec_t *wait)
{
	const struct site *site = loop->store->options.site;
	const char *after = NULL;

	*wait = 0;
	loop->is_list = !loop->listed;
	if (loop->is_list) {
		if (loop->pages != NULL) {
			struct site_reply *page =
			    loop->pages->pdata[loop->pages->len - 1];
			struct site_item *item =
			    page->items->pdata[page->items->len - 1];

			after = item->key;
		}
		return site->list_target(loop->scope, after, false);
	}
	if (loop->backoff.failures == 0)
		*wait = loop->scope == SITE_SCOPE_UPSTREAMS
		    ? STORE_UPSTREAM_WAIT
		    : STORE_OPERATOR_WAIT;
	loop->after = view_revision(loop->store->options.view, loop->scope);
	return site->watch_target(loop->scope, loop->after, *wait);
}

/// Whether others read this scope for us and tell us in time.
static bool
is_told(const struct loop *loop)
{
	const struct store_options *options = &loop->store->options;

	if (loop->scope != SITE_SCOPE_UPSTREAMS || !loop->listed)
		return false;
	if (options->vtable->reader_rank(options->owner) >= 0)
		return false;
	return g_get_monotonic_time() <
	    view_confirmed_at(options->view, loop->scope) + STORE_FRESH_SPAN;
}

/// @return how long an answer is awaited beside the wait that is asked for
static usec_t
answer_span(const struct loop *loop)
{
	if (loop->backoff.failures == 0)
		return STORE_ANSWER_SPAN;
	return MIN(
	    loop->backoff.failures * STORE_PROBE_FIRST, STORE_PROBE_LAST);
}

/// Makes the call that is due.
static void
ask(struct loop *loop)
{
	struct store *store = loop->store;
	struct fetch_options options = {
	    .pool = store->options.pool,
	    .address = store->options.address,
	    .method = "GET",
	    .handler = on_answer,
	    .owner = loop,
	};
	usec_t wait;
	char *target;

	if (loop->fetch != NULL)
		return;
	if (is_told(loop)) {
		ask_after(loop, STORE_TOLD_CHECK);
		return;
	}
	target = next_target(loop, &wait);
	options.target = target;
	options.deadline = g_get_monotonic_time() + wait + answer_span(loop);
	store->calls++;
	loop->fetch = fetch_start(&options);
	g_free(target);
}

/// Starts to read the store.
///
/// @param options  copied
/// @return the client; free with store_free()
struct store *
store_new(const struct store_options *options)
{
	struct store *store = g_new0(struct store, 1);

	store->options = *options;
	for (size_t i = 0; i < G_N_ELEMENTS(store->loops); i++) {
		store->loops[i].store = store;
		store->loops[i].scope = (enum site_scope)i;
		ask(&store->loops[i]);
	}
	return store;
}

/// Stops to read the store.
///
/// @param store  the client
void
store_free(struct store *store)
{
	for (size_t i = 0; i < G_N_ELEMENTS(store->loops); i++) {
		struct loop *loop = &store->loops[i];

		g_clear_pointer(&loop->fetch, fetch_cancel);
		g_clear_pointer(&loop->pages, g_ptr_array_unref);
		if (loop->timer != 0)
			g_source_remove(loop->timer);
	}
	g_free(store);
}

/// @param store  the client
/// @return whether the last calls were answered
bool
store_is_reachable(const struct store *store)
{
	return store->loops[SITE_SCOPE_OPERATOR].reachable &&
	    store->loops[SITE_SCOPE_UPSTREAMS].backoff.failures == 0;
}

/// Reads again now, on new connections: what is known may be old.
///
/// @param store  the client
void
store_hurry(struct store *store)
{
	for (size_t i = 0; i < G_N_ELEMENTS(store->loops); i++) {
		struct loop *loop = &store->loops[i];

		g_clear_pointer(&loop->fetch, fetch_cancel);
		g_clear_pointer(&loop->pages, g_ptr_array_unref);
		if (loop->timer != 0)
			g_source_remove(loop->timer);
		loop->timer = 0;
		ask(loop);
	}
}

/// Takes it that another instance reaches the store again.
///
/// @param store  the client
void
store_heard(struct store *store)
{
	for (size_t i = 0; i < G_N_ELEMENTS(store->loops); i++)
		hurry_failed(&store->loops[i], g_random_double());
}

/// @param store  the client
/// @return calls made so far
uint64_t
store_calls(const struct store *store)
{
	return store->calls;
}
