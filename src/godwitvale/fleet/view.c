/* What this instance knows of the deployment. */
#include "godwitvale/fleet/view.h"

#include <string.h>

#include "godwitvale/ops/log.h"

/// Silence of every source after which the store counts as away. Readers
/// hear from it several times a second.
#define VIEW_LOST_SPAN (1500 * USEC_PER_MSEC)

/// What is known of one scope.
struct scope {
	uint64_t revision;   /// of the store; 0: nothing was read yet
	usec_t confirmed_at; /// when the revision was last told
	GHashTable *items;   /// label -> struct site_item *, as last read
};

struct view {
	struct view_options options;
	struct scope scopes[2]; /// by enum site_scope
	struct deployment *deployment;
	struct directory *directory;
	GHashTable *evacuated; /// zone -> struct zone *
	bool store_lost;
};

/// A zone that is or was evacuated.
struct zone {
	bool evacuated;
	usec_t returned_at;
};

/// Directory callback: passes a change on.
static void
on_upstream(void *owner, enum directory_change change,
    const struct upstream_record *record)
{
	struct view *view = owner;

	view->options.vtable->upstream(view->options.owner, change, record);
}

/// Makes a view that knows nothing.
///
/// @param options  copied
/// @return the view; free with view_free()
struct view *
view_new(const struct view_options *options)
{
	struct view *view = g_new0(struct view, 1);

	view->options = *options;
	view->directory = directory_new(on_upstream, view);
	view->evacuated =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	for (size_t i = 0; i < G_N_ELEMENTS(view->scopes); i++)
		view->scopes[i].items = g_hash_table_new_full(
		    g_str_hash, g_str_equal, g_free, site_item_free);
	return view;
}

/// Frees a view.
///
/// @param view  the view
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

/// Takes a configuration, unless one as new is in force.
static void
take_config(struct view *view, const struct site_item *item)
{
	GError *error = NULL;
	gsize len;
	const char *text;
	struct deployment *deployment;

	if (item->value == NULL) {
		log_event(LOG_LEVEL_WARN, "config-deleted",
		    "revision=%" G_GUINT64_FORMAT " outcome=kept",
		    item->revision);
		return;
	}
	text = g_bytes_get_data(item->value, &len);
	deployment =
	    view->options.site->read_config(text, len, item->revision, &error);
	if (deployment == NULL) {
		log_event(LOG_LEVEL_ERROR, "config-unreadable",
		    "revision=%" G_GUINT64_FORMAT " reason=\"%s\" outcome=kept",
		    item->revision, error->message);
		g_error_free(error);
		return;
	}
	if (view->deployment != NULL &&
	    deployment->version <= view->deployment->version) {
		deployment_unref(deployment);
		return;
	}
	deployment_unref(view->deployment);
	view->deployment = deployment;
	log_event(LOG_LEVEL_INFO, "config-in-force",
	    "version=%" G_GUINT64_FORMAT " revision=%" G_GUINT64_FORMAT
	    " routes=%u organisations=%u",
	    deployment->version, deployment->revision, deployment->routes->len,
	    deployment->organisations->len);
	view->options.vtable->config(view->options.owner, deployment);
}

/// Takes it that a zone is evacuated, or that it is taken back.
static void
take_evacuation(struct view *view, usec_t now, const char *name, bool evacuated)
{
	struct zone *zone = g_hash_table_lookup(view->evacuated, name);

	if (zone == NULL) {
		if (!evacuated)
			return;
		zone = g_new0(struct zone, 1);
		g_hash_table_insert(view->evacuated, g_strdup(name), zone);
	}
	if (zone->evacuated == evacuated)
		return;
	zone->evacuated = evacuated;
	if (!evacuated)
		zone->returned_at = now;
	log_event(LOG_LEVEL_INFO,
	    evacuated ? "zone-evacuated" : "zone-returned", "zone=%s", name);
	view->options.vtable->zone(view->options.owner, name, evacuated);
}

/// Takes an upstream's entry.
static void
take_upstream(struct view *view, usec_t now, const struct site_item *item)
{
	GError *error = NULL;
	gsize len;
	const char *text;
	struct upstream_entry *entry;

	if (item->value == NULL) {
		directory_delete(
		    view->directory, now, item->name, item->revision);
		return;
	}
	text = g_bytes_get_data(item->value, &len);
	entry =
	    view->options.site->read_upstream(item->name, text, len, &error);
	if (entry == NULL) {
		log_event(LOG_LEVEL_WARN, "upstream-entry-unreadable",
		    "upstream=%s revision=%" G_GUINT64_FORMAT
		    " reason=\"%s\" outcome=not-used",
		    item->name, item->revision, error->message);
		g_error_free(error);
		directory_put_unreadable(
		    view->directory, now, item->name, item->revision);
		return;
	}
	directory_put(view->directory, now, entry, item->revision);
	site_entry_free(entry);
}

/// Makes the label of an item: the same whoever has read it.
static char *
label_of(const struct site_item *item)
{
	return g_strdup_printf("%d/%s", item->kind, item->name);
}

/// Keeps an item as it was read, for instances that ask for it.
///
/// @return false when one as new is known
static bool
keep_item(struct scope *scope, const struct site_item *item)
{
	char *label = label_of(item);
	const struct site_item *old = g_hash_table_lookup(scope->items, label);
	struct site_item *copy;

	if (old != NULL && old->revision >= item->revision) {
		g_free(label);
		return false;
	}
	if (item->value == NULL) {
		g_hash_table_remove(scope->items, label);
		g_free(label);
		return true;
	}
	copy = g_new0(struct site_item, 1);
	copy->kind = item->kind;
	copy->name = g_strdup(item->name);
	copy->value = g_bytes_ref(item->value);
	copy->revision = item->revision;
	g_hash_table_replace(scope->items, label, copy);
	return true;
}

/// Takes one item.
static void
take_item(struct view *view, usec_t now, struct scope *scope,
    const struct site_item *item)
{
	if (item->kind == SITE_ITEM_OTHER)
		return;
	if (!keep_item(scope, item) && item->kind != SITE_ITEM_UPSTREAM)
		return;
	switch (item->kind) {
	case SITE_ITEM_CONFIG:
		take_config(view, item);
		break;
	case SITE_ITEM_EVACUATION:
		take_evacuation(view, now, item->name, item->value != NULL);
		break;
	case SITE_ITEM_UPSTREAM:
		take_upstream(view, now, item);
		break;
	default:
		break;
	}
}

/// Takes it that a scope is known up to a revision.
static void
confirm(struct view *view, usec_t now, enum site_scope which, uint64_t revision)
{
	struct scope *scope = &view->scopes[which];

	scope->revision = MAX(scope->revision, revision);
	scope->confirmed_at = now;
	if (which != SITE_SCOPE_UPSTREAMS || !view->store_lost)
		return;
	view->store_lost = false;
	log_event(LOG_LEVEL_INFO, "store-view-regained",
	    "revision=%" G_GUINT64_FORMAT, revision);
	directory_on_store_regained(view->directory, now);
}

/// Takes it that whatever a list doesn't name is missing.
static void
drop_missing(struct view *view, usec_t now, enum site_scope which,
    GHashTable *named, uint64_t as_of)
{
	struct scope *scope = &view->scopes[which];
	GHashTableIter iter;
	void *label;
	void *value;

	g_hash_table_iter_init(&iter, scope->items);
	while (g_hash_table_iter_next(&iter, &label, &value)) {
		struct site_item *item = value;

		if (item->revision > as_of ||
		    g_hash_table_contains(named, label))
			continue;
		if (item->kind == SITE_ITEM_EVACUATION)
			take_evacuation(view, now, item->name, false);
		if (item->kind != SITE_ITEM_CONFIG)
			g_hash_table_iter_remove(&iter);
	}
}

/// Takes a whole list of a scope's items.
///
/// @param view   the view
/// @param now    time
/// @param which  the scope
/// @param items  struct site_item *
/// @param as_of  the store's revision; a list older than what is known is
///               ignored
void
view_take_list(struct view *view, usec_t now, enum site_scope which,
    GPtrArray *items, uint64_t as_of)
{
	struct scope *scope = &view->scopes[which];
	GHashTable *named;

	if (as_of < scope->revision)
		return;
	confirm(view, now, which, as_of);
	named = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	if (which == SITE_SCOPE_UPSTREAMS)
		directory_begin_full_list(view->directory);
	for (guint i = 0; i < items->len; i++) {
		struct site_item *item = items->pdata[i];

		take_item(view, now, scope, item);
		g_hash_table_add(named, label_of(item));
	}
	if (which == SITE_SCOPE_UPSTREAMS)
		directory_end_full_list(view->directory, now, as_of);
	drop_missing(view, now, which, named, as_of);
	g_hash_table_unref(named);
}

/// Takes changes that follow what is known.
///
/// @param view   the view
/// @param now    time
/// @param which  the scope
/// @param items  struct site_item *, in order
/// @param as_of  the store's revision after them
void
view_take_changes(struct view *view, usec_t now, enum site_scope which,
    GPtrArray *items, uint64_t as_of)
{
	confirm(view, now, which, as_of);
	for (guint i = 0; i < items->len; i++)
		take_item(view, now, &view->scopes[which], items->pdata[i]);
}

/// Notices that no source has been heard for too long, and that entries are
/// missing for good.
///
/// @param view  the view
/// @param now   time
void
view_tick(struct view *view, usec_t now)
{
	const struct scope *scope = &view->scopes[SITE_SCOPE_UPSTREAMS];

	if (!view->store_lost && scope->revision > 0 &&
	    now > scope->confirmed_at + VIEW_LOST_SPAN) {
		view->store_lost = true;
		log_event(LOG_LEVEL_WARN, "store-view-lost",
		    "revision=%" G_GUINT64_FORMAT " age_ms=%" G_GINT64_FORMAT,
		    scope->revision,
		    (now - scope->confirmed_at) / USEC_PER_MSEC);
		directory_on_store_lost(view->directory);
	}
	directory_tick(view->directory, now);
}

/// Takes it that what is known is old: this process stood still.
///
/// @param view  the view
void
view_distrust(struct view *view)
{
	for (size_t i = 0; i < G_N_ELEMENTS(view->scopes); i++)
		view->scopes[i].confirmed_at = 0;
}

/// @param view   the view
/// @param which  the scope
/// @return revision up to which it is known; 0: nothing was read yet
uint64_t
view_revision(const struct view *view, enum site_scope which)
{
	return view->scopes[which].revision;
}

/// @param view  the view
/// @return revision at which the configuration in force was written
uint64_t
view_config_revision(const struct view *view)
{
	return view->deployment == NULL ? 0 : view->deployment->revision;
}

/// @param view   the view
/// @param which  the scope
/// @return when its revision was last told
usec_t
view_confirmed_at(const struct view *view, enum site_scope which)
{
	return view->scopes[which].confirmed_at;
}

/// @param view  the view
/// @return whether requests can be judged and placed
bool
view_is_complete(const struct view *view)
{
	return view->deployment != NULL &&
	    view->scopes[SITE_SCOPE_UPSTREAMS].revision > 0;
}

/// @param view  the view
/// @return the configuration in force, or NULL
struct deployment *
view_deployment(const struct view *view)
{
	return view->deployment;
}

/// @param view  the view
/// @return the directory of upstreams
struct directory *
view_directory(const struct view *view)
{
	return view->directory;
}

/// @param view  the view
/// @param name  a zone's
/// @return whether nothing may be sent there
bool
view_is_evacuated(const struct view *view, const char *name)
{
	const struct zone *zone = g_hash_table_lookup(view->evacuated, name);

	return zone != NULL && zone->evacuated;
}

/// @param view  the view
/// @param name  a zone's
/// @return when it was last taken back; 0: never
usec_t
view_returned_at(const struct view *view, const char *name)
{
	const struct zone *zone = g_hash_table_lookup(view->evacuated, name);

	return zone == NULL ? 0 : zone->returned_at;
}

/// Whether an item changes more than an upstream's count of its own writes,
/// so that other instances must hear of it.
///
/// @param view  the view, before it takes the item
/// @param item  an item
/// @return false when nothing else changes
bool
view_is_news(const struct view *view, const struct site_item *item)
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
	    strcmp(record->entry.service, entry->service) == 0;
	site_entry_free(entry);
	return !same;
}

/// @param view  the view
/// @return all items as last read (struct site_item *), which stay the
///         view's; free with g_ptr_array_unref()
GPtrArray *
view_items(const struct view *view)
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
