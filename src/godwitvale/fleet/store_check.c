/* Single calls to the platform's store. */
#include "godwitvale/fleet/store_check.h"

#include "godwitvale/http/fetch.h"
#include "godwitvale/ops/log.h"

/// Time that the store has to answer.
#define STORE_CHECK_TIMEOUT (300 * USEC_PER_MSEC)

struct store_check {
	struct store_check_options options;
	struct fetch *fetch; /// NULL: none is running
	uint64_t after;      /// of the running call, as for store_check_start()
	usec_t started_at;   /// of the running call
};

/// Completes the revisions of a reply, of which the adapter reads the numbers.
///
/// @param reply  changed
/// @param era    the store's era
void
store_reply_set_era(struct site_reply *reply, uint64_t era)
{
	reply->as_of = store_revision_make(era, reply->as_of);
	for (guint i = 0; i < reply->items->len; i++) {
		struct site_item *item = reply->items->pdata[i];

		item->revision = store_revision_make(era, item->revision);
		if (item->created != 0)
			item->created = store_revision_make(era, item->created);
	}
}

/// @param options  copied; what the fields point to must outlive the check
/// @return a check that isn't running; free with store_check_free()
struct store_check *
store_check_new(const struct store_check_options *options)
{
	struct store_check *check = g_new0(struct store_check, 1);

	check->options = *options;
	return check;
}

/// Frees a check, without a callback.
///
/// @param check  not NULL
void
store_check_free(struct store_check *check)
{
	g_clear_pointer(&check->fetch, fetch_cancel);
	g_free(check);
}

/// @return the era of the upstreams that are known
static uint64_t
known_era(const struct store_check *check)
{
	return store_revision_era(
	    view_revision(check->options.view, SITE_SCOPE_UPSTREAMS));
}

/// Applies the changes that the view doesn't know.
static void
apply_news(struct store_check *check, const struct site_reply *reply)
{
	struct view *view = check->options.view;
	uint64_t known = view_revision(view, SITE_SCOPE_UPSTREAMS);
	GPtrArray *news = g_ptr_array_new();

	for (guint i = 0; i < reply->items->len; i++) {
		struct site_item *item = reply->items->pdata[i];

		if (item->revision > known)
			g_ptr_array_add(news, item);
	}
	view_apply_changes(view, g_get_monotonic_time(), SITE_SCOPE_UPSTREAMS,
	    news, reply->as_of);
	g_ptr_array_unref(news);
}

/// Reads an answer.
///
/// @param reply  set to what the store says with STORE_CHECK_MADE
static enum store_check_outcome
read_answer(struct store_check *check, const struct fetch_response *answer,
    struct site_reply **reply)
{
	const struct site *site = check->options.site;
	uint64_t era = answer->head == NULL ? 0 : site->read_era(answer->head);

	/* The calls that follow the store notice a new era. */
	if (era != 0 && era != known_era(check))
		return STORE_CHECK_FAILED;
	if (answer->status != 0 && site->is_history_lost(answer->status))
		return STORE_CHECK_HISTORY_LOST;
	if (answer->status != 200)
		return STORE_CHECK_FAILED;
	*reply = site->read_reply(answer->body, answer->len, NULL);
	if (*reply == NULL)
		return STORE_CHECK_FAILED;
	store_reply_set_era(*reply, known_era(check));
	return STORE_CHECK_MADE;
}

/// Fetch callback: the call was answered or has failed.
static void
on_answer(void *owner, const struct fetch_response *answer)
{
	static const char *const names[] = {
	    [STORE_CHECK_MADE] = "made",
	    [STORE_CHECK_HISTORY_LOST] = "history-lost",
	    [STORE_CHECK_FAILED] = "failed",
	};
	struct store_check *check = owner;
	struct site_reply *reply = NULL;
	struct store_check_result result = {
	    .outcome = read_answer(check, answer, &reply),
	    .after = check->after,
	    .started_at = check->started_at,
	};

	check->fetch = NULL;
	log_event(result.outcome == STORE_CHECK_FAILED ? LOG_LEVEL_WARN
						       : LOG_LEVEL_INFO,
	    "store-checked",
	    "status=%u after=%" G_GUINT64_FORMAT " revision=%" G_GUINT64_FORMAT
	    " took_ms=%" G_GINT64_FORMAT " outcome=%s",
	    answer->status, store_revision_number(check->after),
	    reply == NULL ? 0 : store_revision_number(reply->as_of),
	    (g_get_monotonic_time() - check->started_at) / USEC_PER_MSEC,
	    names[result.outcome]);
	if (reply != NULL) {
		apply_news(check, reply);
		result.items = reply->items;
		result.as_of = reply->as_of;
	}
	check->options.vtable->done(check->options.owner, &result);
	g_clear_pointer(&reply, site_reply_free);
}

/// Asks the store what has changed since a revision. Must not be called while a
/// call is running.
///
/// @param check  answers by its callback, never before this returns
/// @param after  a revision that the view knows; 0: all of its history
void
store_check_start(struct store_check *check, uint64_t after)
{
	const struct store_check_options *options = &check->options;
	usec_t now = g_get_monotonic_time();
	char *target = options->site->watch_target(
	    SITE_SCOPE_UPSTREAMS, store_revision_number(after), 0);
	const struct fetch_options fetch = {
	    .max_body = FETCH_BYTES_MAX,
	    .pool = options->pool,
	    .address = options->address,
	    .method = "GET",
	    .target = target,
	    .deadline = now + STORE_CHECK_TIMEOUT,
	    .handler = on_answer,
	    .owner = check,
	};

	g_assert(check->fetch == NULL);
	check->after = after;
	check->started_at = now;
	check->fetch = fetch_start(&fetch);
	g_free(target);
}

/// @param check  check to query
/// @return whether a call is running
bool
store_check_is_running(const struct store_check *check)
{
	return check->fetch != NULL;
}
