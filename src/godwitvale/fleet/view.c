/* The local copy of the configuration, upstreams and evacuated zones. */
#include "godwitvale/fleet/view.h"

#include <string.h>

#include "godwitvale/ops/log.h"

/// Time without a confirmation from any source after which the store counts as
/// lost. Instances that read the store get several answers a second.
#define VIEW_STORE_LOST_TIMEOUT (1500 * USEC_PER_MSEC)

/// An evacuation that a restored store lacks stays in force for this long,
/// unless the operators write it again or end it before.
#define VIEW_EVACUATION_HOLD (30 * USEC_PER_SEC)

/// State of one scope of the store.
struct scope_state {
	uint64_t revision;   /// of the store; 0: nothing received yet
	usec_t confirmed_at; /// last time a source reported the revision
	/// the same, but for snapshots of other instances, whose data may be
	/// old
	usec_t read_at;
	/// all items that were there at this time or later are, or were, known;
	/// USEC_NEVER: nothing received yet
	usec_t watched_since;
	uint64_t watched_from; /// revision at that time
	GHashTable *items;     /// label -> struct site_item *, latest version
};

struct view {
	struct view_options options;
	struct scope_state scopes[2]; /// by enum site_scope
	struct deployment *deployment;
	struct directory *directory;
	GHashTable *evacuated; /// zone name -> struct zone_state *
	bool store_lost;
	bool has_seen_restore; /// a later era has followed an earlier one
};

/// State of a zone that is or was evacuated.
struct zone_state {
	bool evacuated;
	usec_t returned_at; /// end of the last evacuation; 0: none ended
	/// when the evacuation ends unless it is written again, because a
	/// restored store lacks it; 0: the store has it
	usec_t held_until;
};

/// Directory callback: passes a change to the listener.
static void
on_directory_change(void *owner, enum directory_change change,
    const struct upstream_record *record)
{
	struct view *view = owner;

	view->options.vtable->upstream_changed(
	    view->options.owner, change, record);
}

/// Creates an empty view.
///
/// @param options  copied; what the fields point to must outlive the view
/// @return the view; free with view_free()
struct view *
view_new(const struct view_options *options)
{
	struct view *view = g_new0(struct view, 1);

	view->options = *options;
	view->directory = directory_new(on_directory_change, view);
	view->evacuated =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	for (size_t i = 0; i < G_N_ELEMENTS(view->scopes); i++) {
		view->scopes[i].watched_since = USEC_NEVER;
		view->scopes[i].items = g_hash_table_new_full(
		    g_str_hash, g_str_equal, g_free, site_item_free);
	}
	return view;
}

/// Frees a view, its directory and its items.
///
/// @param view  not NULL
void
view_free(struct view *view)
{
	directory_free(view->directory);
	deployment_unref(view->deployment);
	g_hash_table_unref(view->evacuated);
	for (size_t i = 0; i < G_N_ELEMENTS(view->scopes); i++)
		g_hash_table_unref(view->scopes[i].items);
	g_free(view);
}

/// Passes a saved entry to the directory once more. One that can't be read was
/// logged when it came.
static void
put_saved_entry(struct view *view, usec_t now, const struct site_item *item)
{
	gsize len;
	const char *text = g_bytes_get_data(item->value, &len);
	struct upstream_entry *entry =
	    view->options.site->read_upstream(item->name, text, len, NULL);

	if (entry != NULL)
		directory_put_unused_entry(
		    view->directory, now, entry, item->revision);
	site_entry_free(entry);
}

/// Passes the entries without a record to the directory once more, after the
/// configuration has changed or entries were deleted: another entry had their
/// address, and may no longer have the better claim to it.
static void
put_unused_entries(struct view *view, usec_t now)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, view->scopes[SITE_SCOPE_UPSTREAMS].items);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct site_item *item = value;

		if (directory_find(view->directory, item->name) == NULL)
			put_saved_entry(view, now, item);
	}
}

/// Makes a configuration current if its version is newer than that of the
/// current configuration. A deleted or unreadable configuration leaves the
/// current one unchanged.
///
/// @return whether it is current now
static bool
apply_config(struct view *view, usec_t now, const struct site_item *item)
{
	GError *error = NULL;
	gsize len;
	const char *text;
	struct deployment *deployment;

	if (item->value == NULL) {
		log_event(LOG_LEVEL_WARN, "config-deleted",
		    "revision=%" G_GUINT64_FORMAT " outcome=kept",
		    store_revision_number(item->revision));
		return false;
	}
	text = g_bytes_get_data(item->value, &len);
	deployment =
	    view->options.site->read_config(text, len, item->revision, &error);
	if (deployment == NULL) {
		log_event(LOG_LEVEL_ERROR, "config-unreadable",
		    "revision=%" G_GUINT64_FORMAT " reason=\"%s\" outcome=kept",
		    store_revision_number(item->revision), error->message);
		g_error_free(error);
		return false;
	}
	if (view->deployment != NULL &&
	    deployment->version <= view->deployment->version) {
		deployment_unref(deployment);
		return false;
	}
	deployment_unref(view->deployment);
	view->deployment = deployment;
	log_event(LOG_LEVEL_INFO, "config-in-force",
	    "version=%" G_GUINT64_FORMAT " revision=%" G_GUINT64_FORMAT
	    " routes=%u organisations=%u",
	    deployment->version, store_revision_number(deployment->revision),
	    deployment->routes->len, deployment->organisations->len);
	directory_set_deployment(view->directory, deployment);
	view->options.vtable->config_changed(view->options.owner, deployment);
	put_unused_entries(view, now);
	return true;
}

/// Records that a zone is evacuated, or that its evacuation has ended.
static void
apply_evacuation(
    struct view *view, usec_t now, const char *name, bool evacuated)
{
	struct zone_state *zone = g_hash_table_lookup(view->evacuated, name);

	if (zone == NULL) {
		if (!evacuated)
			return;
		zone = g_new0(struct zone_state, 1);
		g_hash_table_insert(view->evacuated, g_strdup(name), zone);
	}
	zone->held_until = 0;
	if (zone->evacuated == evacuated)
		return;
	zone->evacuated = evacuated;
	if (!evacuated)
		zone->returned_at = now;
	log_event(LOG_LEVEL_INFO,
	    evacuated ? "zone-evacuated" : "zone-returned", "zone=%s", name);
	view->options.vtable->zone_changed(
	    view->options.owner, name, evacuated);
}

/// Passes an upstream's entry, or its deletion, to the directory.
///
/// @return whether the item is newer than what was known
static bool
apply_upstream(struct view *view, usec_t now, const struct site_item *item)
{
	GError *error = NULL;
	gsize len;
	const char *text;
	struct upstream_entry *entry;
	bool accepted;

	if (item->value == NULL) {
		directory_delete_entry(
		    view->directory, now, item->name, item->revision);
		return true;
	}
	text = g_bytes_get_data(item->value, &len);
	entry =
	    view->options.site->read_upstream(item->name, text, len, &error);
	if (entry == NULL) {
		log_event(LOG_LEVEL_WARN, "upstream-entry-unreadable",
		    "upstream=%s revision=%" G_GUINT64_FORMAT
		    " reason=\"%s\" outcome=not-used",
		    item->name, store_revision_number(item->revision),
		    error->message);
		g_error_free(error);
		directory_put_unreadable_entry(
		    view->directory, now, item->name, item->revision);
		return true;
	}
	view->options.vtable->entry_read(view->options.owner, entry);
	accepted =
	    directory_put_entry(view->directory, now, entry, item->revision);
	site_entry_free(entry);
	return accepted;
}

/// Creates the label that identifies an item. Items from peers have no store
/// key, so the label consists of kind and name.
static char *
make_label(const struct site_item *item)
{
	return g_strdup_printf("%d/%s", item->kind, item->name);
}

/// Checks whether an item was read before a restore of the store that another
/// revision follows. Configurations and upstreams of two eras are put in order
/// by what they say.
static bool
is_of_earlier_era(const struct site_item *item, uint64_t revision)
{
	return store_revision_era(item->revision) <
	    store_revision_era(revision);
}

/// Checks whether the saved version of an item is as new or newer.
static bool
is_saved(const struct scope_state *state, const struct site_item *item)
{
	char *label = make_label(item);
	const struct site_item *saved =
	    g_hash_table_lookup(state->items, label);

	g_free(label);
	if (saved == NULL)
		return false;
	if (item->kind != SITE_ITEM_EVACUATION &&
	    is_of_earlier_era(item, saved->revision))
		return false;
	return saved->revision >= item->revision;
}

/// Saves an item for snapshots, or removes it when it is deleted.
static void
save_item(struct scope_state *state, const struct site_item *item)
{
	char *label = make_label(item);
	struct site_item *copy;

	if (item->value == NULL) {
		g_hash_table_remove(state->items, label);
		g_free(label);
		return;
	}
	copy = g_new0(struct site_item, 1);
	copy->kind = item->kind;
	copy->name = g_strdup(item->name);
	copy->value = g_bytes_ref(item->value);
	copy->revision = item->revision;
	g_hash_table_replace(state->items, label, copy);
}

/// Applies one item, and saves it unless something newer is known.
static void
apply_item(struct view *view, usec_t now, struct scope_state *state,
    const struct site_item *item)
{
	bool saved = is_saved(state, item);
	bool accepted = false;

	switch (item->kind) {
	case SITE_ITEM_CONFIG:
		accepted = !saved && apply_config(view, now, item);
		break;
	case SITE_ITEM_EVACUATION:
		if (!saved)
			apply_evacuation(
			    view, now, item->name, item->value != NULL);
		accepted = !saved;
		break;
	case SITE_ITEM_UPSTREAM:
		/* A known entry ends a hold. */
		accepted = apply_upstream(view, now, item) && !saved;
		break;
	default:
		break;
	}
	if (accepted)
		save_item(state, item);
}

/// Records that a scope is up to date with a revision. If the store counted as
/// lost, the directory is informed of its return.
static void
confirm_revision(
    struct view *view, usec_t now, enum site_scope scope, uint64_t revision)
{
	struct scope_state *state = &view->scopes[scope];

	state->revision = MAX(state->revision, revision);
	state->confirmed_at = now;
	state->read_at = now;
	if (scope != SITE_SCOPE_UPSTREAMS || !view->store_lost)
		return;
	view->store_lost = false;
	log_event(LOG_LEVEL_INFO, "store-view-regained",
	    "revision=%" G_GUINT64_FORMAT, store_revision_number(revision));
	directory_on_store_regained(view->directory, now);
}

/// Holds an evacuation that a restored store lacks.
static void
hold_evacuation(struct zone_state *zone, usec_t now, const char *name)
{
	zone->held_until = now + VIEW_EVACUATION_HOLD;
	log_event(LOG_LEVEL_WARN, "zone-evacuation-held",
	    "zone=%s reason=store-restored", name);
}

/// Handles an evacuation that the store lacks according to a full list: ends
/// it, or holds it if it was read before a restore.
///
/// @return whether it has ended
static bool
handle_unlisted_evacuation(struct view *view, usec_t now,
    const struct site_item *item, uint64_t as_of, bool is_restored)
{
	struct zone_state *zone =
	    g_hash_table_lookup(view->evacuated, item->name);
	bool is_held = zone != NULL && zone->held_until != 0;

	if (zone != NULL && zone->evacuated && is_of_earlier_era(item, as_of) &&
	    (is_restored || !is_held)) {
		hold_evacuation(zone, now, item->name);
		is_held = true;
	}
	if (!is_held)
		apply_evacuation(view, now, item->name, false);
	return !is_held;
}

/// Ends evacuations and removes saved items that a full list doesn't contain.
/// The configuration stays in any case.
static void
remove_unlisted(struct view *view, usec_t now, enum site_scope scope,
    GHashTable *listed, uint64_t as_of, bool is_restored)
{
	struct scope_state *state = &view->scopes[scope];
	GHashTableIter iter;
	void *label;
	void *value;

	g_hash_table_iter_init(&iter, state->items);
	while (g_hash_table_iter_next(&iter, &label, &value)) {
		struct site_item *item = value;

		if (item->revision > as_of || item->kind == SITE_ITEM_CONFIG ||
		    g_hash_table_contains(listed, label))
			continue;
		if (item->kind == SITE_ITEM_EVACUATION &&
		    !handle_unlisted_evacuation(
			view, now, item, as_of, is_restored))
			continue;
		g_hash_table_iter_remove(&iter);
	}
}

/// Records that a list takes the place of what was known. Items that came and
/// went since then aren't known.
static void
restart_watch(struct scope_state *state, usec_t now, uint64_t as_of)
{
	if (as_of == state->revision && state->watched_since != USEC_NEVER)
		return;
	state->watched_since = now;
	state->watched_from = as_of;
}

/// Checks whether the store has an item of a full list. Its own lists have none
/// of an earlier era, but a snapshot has those that its sender holds.
static bool
is_in_store(const struct site_item *item, uint64_t as_of)
{
	return item->kind != SITE_ITEM_EVACUATION ||
	    !is_of_earlier_era(item, as_of);
}

/// Applies a full list of the items in a scope.
///
/// If the list is of a later era than the view, the store was restored from a
/// copy. Nothing that is in force goes back until it is written again: the
/// configuration with the highest version stays, evacuations and upstreams that
/// the copy lacks are held, and upstreams that are known to leave or to be gone
/// aren't revived.
///
/// @param view   updated
/// @param now    current time
/// @param scope  scope of the items
/// @param items  struct site_item *; not kept
/// @param as_of  store revision of the list; a list older than the view is
///               ignored
void
view_apply_list(struct view *view, usec_t now, enum site_scope scope,
    GPtrArray *items, uint64_t as_of)
{
	struct scope_state *state = &view->scopes[scope];
	bool is_restored = state->revision != 0 &&
	    store_revision_era(as_of) > store_revision_era(state->revision);
	GHashTable *listed;

	if (as_of < state->revision)
		return;
	view->has_seen_restore = view->has_seen_restore || is_restored;
	if (is_restored)
		log_event(LOG_LEVEL_WARN, "store-restored",
		    "scope=%d era=%" G_GUINT64_FORMAT
		    " revision=%" G_GUINT64_FORMAT
		    " known_revision=%" G_GUINT64_FORMAT " items=%u",
		    (int)scope, store_revision_era(as_of),
		    store_revision_number(as_of),
		    store_revision_number(state->revision), items->len);
	restart_watch(state, now, as_of);
	confirm_revision(view, now, scope, as_of);
	listed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	if (scope == SITE_SCOPE_UPSTREAMS && is_restored)
		directory_on_store_restored(view->directory, now);
	if (scope == SITE_SCOPE_UPSTREAMS)
		directory_begin_full_list(view->directory);
	for (guint i = 0; i < items->len; i++) {
		struct site_item *item = items->pdata[i];

		apply_item(view, now, state, item);
		if (is_in_store(item, as_of))
			g_hash_table_add(listed, make_label(item));
	}
	if (scope == SITE_SCOPE_UPSTREAMS)
		directory_end_full_list(view->directory, now, as_of);
	remove_unlisted(view, now, scope, listed, as_of, is_restored);
	if (scope == SITE_SCOPE_UPSTREAMS)
		put_unused_entries(view, now);
	g_hash_table_unref(listed);
}

/// Checks whether a change is known and would change nothing. Both readers of
/// the store pass on the same changes.
static bool
is_applied(const struct view *view, enum site_scope scope,
    const struct site_item *item)
{
	const struct upstream_record *record;

	if (item->kind != SITE_ITEM_UPSTREAM ||
	    !is_saved(&view->scopes[scope], item))
		return false;
	record = directory_find(view->directory, item->name);
	/* A known entry ends a hold. */
	return record != NULL && record->missing_deadline == 0;
}

/// Checks whether any of the items is deleted.
static bool
has_deletion(const GPtrArray *items)
{
	for (guint i = 0; i < items->len; i++) {
		const struct site_item *item = items->pdata[i];

		if (item->value == NULL)
			return true;
	}
	return false;
}

/// Applies changes that follow the revision of the view without a gap.
///
/// @param view   updated
/// @param now    current time
/// @param scope  scope of the items
/// @param items  struct site_item *, in the order of the changes; not kept
/// @param as_of  store revision after the changes; changes of another era than
///               that of the view are ignored
void
view_apply_changes(struct view *view, usec_t now, enum site_scope scope,
    GPtrArray *items, uint64_t as_of)
{
	uint64_t known = view->scopes[scope].revision;

	if (known != 0 &&
	    store_revision_era(as_of) != store_revision_era(known))
		return;
	confirm_revision(view, now, scope, as_of);
	for (guint i = 0; i < items->len; i++)
		if (!is_applied(view, scope, items->pdata[i]))
			apply_item(
			    view, now, &view->scopes[scope], items->pdata[i]);
	if (scope == SITE_SCOPE_UPSTREAMS && has_deletion(items))
		put_unused_entries(view, now);
}

/// Ends held evacuations whose time is over.
static void
end_held_evacuations(struct view *view, usec_t now)
{
	GHashTableIter iter;
	void *name;
	void *value;

	g_hash_table_iter_init(&iter, view->evacuated);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		const struct zone_state *zone = value;
		const struct site_item item = {
		    .kind = SITE_ITEM_EVACUATION, .name = name};

		if (zone->held_until == 0 || now < zone->held_until)
			continue;
		apply_evacuation(view, now, name, false);
		save_item(&view->scopes[SITE_SCOPE_OPERATOR], &item);
	}
}

/// Marks the store as lost after a timeout without confirmation, and removes
/// held upstreams whose deadline has passed, and held evacuations.
///
/// @param view  updated
/// @param now   current time
void
view_tick(struct view *view, usec_t now)
{
	const struct scope_state *state = &view->scopes[SITE_SCOPE_UPSTREAMS];

	if (!view->store_lost && state->revision > 0 &&
	    now > state->confirmed_at + VIEW_STORE_LOST_TIMEOUT) {
		view->store_lost = true;
		log_event(LOG_LEVEL_WARN, "store-view-lost",
		    "revision=%" G_GUINT64_FORMAT " age_ms=%" G_GINT64_FORMAT,
		    store_revision_number(state->revision),
		    (now - state->confirmed_at) / USEC_PER_MSEC);
		directory_on_store_lost(view->directory);
	}
	directory_tick(view->directory, now);
	end_held_evacuations(view, now);
}

/// Marks all data as out of date, after this process was paused. It counts as
/// confirmed again with the next list or change.
///
/// @param view  updated
void
view_mark_stale(struct view *view)
{
	for (size_t i = 0; i < G_N_ELEMENTS(view->scopes); i++) {
		view->scopes[i].confirmed_at = 0;
		view->scopes[i].read_at = 0;
	}
}

/// Applies a full list from the snapshot of another instance, which may not
/// have read the store for long.
///
/// @param view   updated
/// @param now    current time
/// @param scope  scope of the items
/// @param items  struct site_item *
/// @param as_of  store revision of the list
void
view_apply_snapshot(struct view *view, usec_t now, enum site_scope scope,
    GPtrArray *items, uint64_t as_of)
{
	usec_t read_at = view->scopes[scope].read_at;

	view_apply_list(view, now, scope, items, as_of);
	view->scopes[scope].read_at = read_at;
}

/// @param view  view to query
/// @param from  set to the store's revision at the time that is returned
/// @return time since which no upstream has come and gone unseen; USEC_NEVER:
///         no upstreams are known yet
usec_t
view_watched_since(const struct view *view, uint64_t *from)
{
	const struct scope_state *state = &view->scopes[SITE_SCOPE_UPSTREAMS];

	*from = state->watched_from;
	return state->watched_since;
}

/// @param view   view to query
/// @param scope  scope of the items
/// @return when the store, or a reader of it, last said that the data is up to
///         date; 0: never
usec_t
view_read_at(const struct view *view, enum site_scope scope)
{
	return view->scopes[scope].read_at;
}

/// @param view   view to query
/// @param scope  scope of the items
/// @return store revision of the scope's data; 0: nothing received yet
uint64_t
view_revision(const struct view *view, enum site_scope scope)
{
	return view->scopes[scope].revision;
}

/// @param view  view to query
/// @return the era of the store that all of its data has reached
uint64_t
view_era(const struct view *view)
{
	return MIN(
	    store_revision_era(view->scopes[SITE_SCOPE_UPSTREAMS].revision),
	    store_revision_era(view->scopes[SITE_SCOPE_OPERATOR].revision));
}

/// @param view  view to query
/// @return whether the data of all scopes is of the same era of the store
bool
view_is_of_one_era(const struct view *view)
{
	return store_revision_era(
		   view->scopes[SITE_SCOPE_UPSTREAMS].revision) ==
	    store_revision_era(view->scopes[SITE_SCOPE_OPERATOR].revision);
}

/// @param view  view to query
/// @return whether the store was restored since this process started, so that
///         data without an era can't be put in order
bool
view_has_seen_restore(const struct view *view)
{
	return view->has_seen_restore;
}

/// @param view  view to query
/// @return version of the current configuration; 0: there is none
uint64_t
view_config_version(const struct view *view)
{
	return view->deployment == NULL ? 0 : view->deployment->version;
}

/// @param view  view to query
/// @return store revision of the current configuration; 0: there is none
uint64_t
view_config_revision(const struct view *view)
{
	return view->deployment == NULL ? 0 : view->deployment->revision;
}

/// @param view   view to query
/// @param scope  scope of the items
/// @return last time a source reported the scope's revision; 0: never, or the
///         data is marked as out of date
usec_t
view_confirmed_at(const struct view *view, enum site_scope scope)
{
	return view->scopes[scope].confirmed_at;
}

/// @param view  view to query
/// @return whether there is a current configuration and the upstreams are
///         known, so that requests can be admitted and placed
bool
view_is_complete(const struct view *view)
{
	return view->deployment != NULL &&
	    view->scopes[SITE_SCOPE_UPSTREAMS].revision > 0;
}

/// @param view  view to query
/// @return the current configuration, or NULL when there is none
struct deployment *
view_deployment(const struct view *view)
{
	return view->deployment;
}

/// @param view  view to query
/// @return the directory of upstreams
struct directory *
view_directory(const struct view *view)
{
	return view->directory;
}

/// @param view  view to query
/// @param name  name of a zone
/// @return whether the zone is evacuated, so that it gets no new requests
bool
view_is_zone_evacuated(const struct view *view, const char *name)
{
	const struct zone_state *zone =
	    g_hash_table_lookup(view->evacuated, name);

	return zone != NULL && zone->evacuated;
}

/// @param view  view to query
/// @param name  name of a zone
/// @return end of the zone's last evacuation; 0: none has ended
usec_t
view_zone_returned_at(const struct view *view, const char *name)
{
	const struct zone_state *zone =
	    g_hash_table_lookup(view->evacuated, name);

	return zone == NULL ? 0 : zone->returned_at;
}

/// Checks whether an item is a significant change: one that alters more than
/// the sequence number of an upstream's entry. Only significant changes need to
/// be sent to other instances.
///
/// @param view  the view before the item is applied
/// @param item  the new item
/// @return false when nothing but the sequence number changes
bool
view_is_significant_change(
    const struct view *view, const struct site_item *item)
{
	const struct upstream_record *record;
	struct upstream_entry *entry;
	gsize len;
	const char *text;
	bool same;

	if (item->kind != SITE_ITEM_UPSTREAM || item->value == NULL)
		return item->kind != SITE_ITEM_OTHER;
	record = directory_find(view->directory, item->name);
	text = g_bytes_get_data(item->value, &len);
	entry = view->options.site->read_upstream(item->name, text, len, NULL);
	if (record == NULL || entry == NULL) {
		same = record == NULL && entry == NULL;
		site_entry_free(entry);
		return !same;
	}
	same = record->missing_deadline == 0 &&
	    record->entry.state == entry->state &&
	    record->entry.incarnation == entry->incarnation &&
	    record->entry.slots == entry->slots && entry->cold_left == 0 &&
	    record->entry.cold_left == 0 &&
	    strcmp(record->entry.address, entry->address) == 0 &&
	    strcmp(record->entry.service, entry->service) == 0 &&
	    strcmp(record->entry.software_version, entry->software_version) ==
		0;
	site_entry_free(entry);
	return !same;
}

/// @param view  view to query
/// @param item  an item as it was read
/// @return whether the view had the item, or a later version of it, before
bool
view_has_item(const struct view *view, const struct site_item *item)
{
	return is_saved(&view->scopes[item->kind == SITE_ITEM_UPSTREAM
				? SITE_SCOPE_UPSTREAMS
				: SITE_SCOPE_OPERATOR],
	    item);
}

/// @param view  view to query
/// @return latest versions of all items (struct site_item *); free with
///         g_ptr_array_unref(), the items stay owned by the view
GPtrArray *
view_list_items(const struct view *view)
{
	GPtrArray *items = g_ptr_array_new();

	for (size_t i = 0; i < G_N_ELEMENTS(view->scopes); i++) {
		GHashTableIter iter;
		void *value;

		g_hash_table_iter_init(&iter, view->scopes[i].items);
		while (g_hash_table_iter_next(&iter, NULL, &value))
			g_ptr_array_add(items, value);
	}
	return items;
}
