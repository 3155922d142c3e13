/* Reads what the store's history tells of upstreams. */
#include "godwitvale/entry/upstream_history.h"

#include "godwitvale/core/entry_changes.h"
#include "godwitvale/core/hash.h"
#include "godwitvale/core/history_search.h"
#include "godwitvale/core/store_revision.h"
#include "godwitvale/entry/resumption.h"
#include "godwitvale/fleet/store_check.h"
#include "godwitvale/ops/log.h"

struct upstream_history {
	struct upstream_history_options options;
	struct store_check *check;
	bool is_reading;
	usec_t wanted_since; /// earliest time that is asked for
	/// of no use any more if the watch was interrupted since
	struct history_search search;
	usec_t known_since; /// USEC_NEVER: no earlier than by the watch
};

static void on_check_done(void *owner, const struct store_check_result *result);

static const struct store_check_vtable check_vtable = {
    .done = on_check_done,
};

/// Creates the history of an instance; nothing is read yet.
///
/// @param options  copied
/// @return the history; free with upstream_history_free()
struct upstream_history *
upstream_history_new(const struct upstream_history_options *options)
{
	struct upstream_history *history = g_new0(struct upstream_history, 1);
	const struct entry *entry = options->entry;
	const struct store_check_options check = {
	    .vtable = &check_vtable,
	    .owner = history,
	    .site = entry->site,
	    .view = entry->view,
	    .pool = entry->pool,
	    .address = entry->settings->store,
	};

	history->options = *options;
	history->known_since = USEC_NEVER;
	history->check = store_check_new(&check);
	return history;
}

/// Frees a history, without a callback.
///
/// @param history  not NULL
void
upstream_history_free(struct upstream_history *history)
{
	store_check_free(history->check);
	g_free(history);
}

/// @return where the present watch of the upstreams began
static uint64_t
find_watched_from(const struct upstream_history *history)
{
	uint64_t from;

	view_watched_since(history->options.entry->view, &from);
	return from;
}

/// Checks whether the history was read, and the watch goes on since.
static bool
is_known(const struct upstream_history *history)
{
	return !history->is_reading &&
	    history_search_reaches(
		&history->search, find_watched_from(history));
}

/// @param history  history to query
/// @return whether it was read as far back as the store has it
bool
upstream_history_is_exhausted(const struct upstream_history *history)
{
	return is_known(history) &&
	    (history->known_since == 0 ||
		history_search_next(&history->search) == 0);
}

/// @param history  history to query
/// @return time since which it tells all versions of all services, together
///         with the watch; USEC_NEVER: it tells nothing
usec_t
upstream_history_known_since(const struct upstream_history *history)
{
	return is_known(history) ? history->known_since : USEC_NEVER;
}

/// Ends the reading.
static void
finish(struct upstream_history *history, bool is_read)
{
	usec_t now = g_get_monotonic_time();

	history->is_reading = false;
	if (!is_read)
		history->search.watched_from = 0;
	log_event(LOG_LEVEL_INFO, "upstream-history-read",
	    "oldest=%" G_GUINT64_FORMAT " watched_from=%" G_GUINT64_FORMAT
	    " known_ms=%" G_GINT64_FORMAT " outcome=%s",
	    history->search.kept,
	    store_revision_number(history->search.watched_from),
	    history->known_since == USEC_NEVER
		? 0
		: (now - history->known_since) / USEC_PER_MSEC,
	    is_read ? "read" : "failed");
	history->options.vtable->done(history->options.owner, is_read);
}

/// Converts an item of the store's history.
static struct entry_change
make_change(const struct site *site, const struct site_item *item)
{
	struct entry_change change = {
	    .kind = ENTRY_CHANGE_DELETED,
	    .upstream = hash_name(item->name),
	    .revision = item->revision,
	    .is_created = item->created == item->revision,
	};
	struct upstream_entry *entry;
	gsize len;
	const char *text;

	if (item->value == NULL)
		return change;
	text = g_bytes_get_data(item->value, &len);
	entry = site->read_upstream(item->name, text, len, NULL);
	change.kind = ENTRY_CHANGE_UNREADABLE;
	if (entry == NULL)
		return change;
	change.kind = ENTRY_CHANGE_WRITTEN;
	change.service = hash_name(entry->service);
	change.version_key =
	    hash_pair(change.service, hash_name(entry->software_version));
	change.incarnation = entry->incarnation;
	change.sequence = entry->sequence;
	site_entry_free(entry);
	return change;
}

/// Notes the versions that a part of the history names, and since when it tells
/// all of them.
static void
note_changes(
    struct upstream_history *history, const struct entry_changes *changes)
{
	usec_t now = g_get_monotonic_time();
	usec_t span = entry_changes_known_span(changes);
	GArray *versions = entry_changes_list_versions(changes);

	for (guint i = 0; i < versions->len; i++) {
		const struct entry_version *version =
		    &g_array_index(versions, struct entry_version, i);

		resumption_note_version(history->options.entry->resumption,
		    version->service, version->version_key,
		    now - version->gone_span);
	}
	history->known_since = span == USEC_NEVER ? 0 : now - span;
	g_array_unref(versions);
}

/// Judges the changes after a revision.
static void
judge(struct upstream_history *history, const struct store_check_result *result)
{
	struct entry_changes *changes = entry_changes_new(result->after);

	for (guint i = 0; i < result->items->len; i++) {
		const struct site_item *item = result->items->pdata[i];
		struct entry_change change;

		if (item->kind != SITE_ITEM_UPSTREAM)
			continue;
		change = make_change(history->options.entry->site, item);
		entry_changes_add(changes, &change);
	}
	entry_changes_judge(changes, g_get_real_time());
	note_changes(history, changes);
	entry_changes_free(changes);
}

/// Asks the store for the changes after the next revision, or ends the reading
/// if there is none to ask for, or enough is known.
static void
advance(struct upstream_history *history)
{
	uint64_t next = history_search_next(&history->search);

	if (next == 0 || history->known_since <= history->wanted_since)
		finish(history, true);
	else
		store_check_start(history->check,
		    store_revision_make(
			store_revision_era(find_watched_from(history)), next));
}

/// Checks whether what the store has answered reaches the watch.
static bool
reaches_watch(const struct upstream_history *history,
    const struct store_check_result *result)
{
	return result->as_of >= find_watched_from(history);
}

/// Store callback: a call is over.
static void
on_check_done(void *owner, const struct store_check_result *result)
{
	struct upstream_history *history = owner;
	uint64_t revision = store_revision_number(result->after);

	switch (result->outcome) {
	case STORE_CHECK_MADE:
		if (!reaches_watch(history, result))
			break;
		history_search_note_kept(
		    &history->search, revision, find_watched_from(history));
		judge(history, result);
		advance(history);
		return;
	case STORE_CHECK_HISTORY_LOST:
		history_search_note_lost(&history->search, revision);
		advance(history);
		return;
	default:
		break;
	}
	finish(history, false);
}

/// Reads the history as far back as it is wanted. Does nothing while it is
/// being read.
///
/// @param history  answers by its callback, never before this returns
/// @param since    time since which all versions are to be known
void
upstream_history_read(struct upstream_history *history, usec_t since)
{
	if (history->is_reading) {
		history->wanted_since = MIN(history->wanted_since, since);
		return;
	}
	history->is_reading = true;
	history->wanted_since = since;
	history->known_since = USEC_NEVER;
	history_search_begin(&history->search, find_watched_from(history));
	/* The whole history is best, and costs nothing if it is lost. */
	store_check_start(history->check, 0);
}
