/*
 * The view: this instance's copy of the current configuration, the directory
 * of upstreams and the evacuated zones. It accepts store items from any source,
 * be it the store or another instance, and never returns to an older state.
 */
#ifndef GODWITVALE_FLEET_VIEW_H
#define GODWITVALE_FLEET_VIEW_H

#include "godwitvale/core/deployment.h"
#include "godwitvale/core/directory.h"
#include "godwitvale/core/store_revision.h"
#include "godwitvale/site/site.h"

struct view;

/// Callbacks on changes of the view.
struct view_vtable {
	/// The current configuration has been replaced.
	void (*config_changed)(void *owner, struct deployment *deployment);
	/// A zone is evacuated, or its evacuation has ended.
	void (*zone_changed)(void *owner, const char *zone, bool evacuated);
	/// An upstream's entry was read, whether it is used or not.
	void (*entry_read)(void *owner, const struct upstream_entry *entry);
	/// The directory has changed; `record` is valid during the call only.
	void (*upstream_changed)(void *owner, enum directory_change change,
	    const struct upstream_record *record);
};

/// Options of a view.
struct view_options {
	const struct view_vtable *vtable;
	void *owner; /// passed to the callbacks
	const struct site *site;
};

struct view *view_new(const struct view_options *options);
void view_free(struct view *view);
void view_apply_list(struct view *view, usec_t now, enum site_scope scope,
    GPtrArray *items, uint64_t as_of);
void view_apply_snapshot(struct view *view, usec_t now, enum site_scope scope,
    GPtrArray *items, uint64_t as_of);
usec_t view_read_at(const struct view *view, enum site_scope scope);
usec_t view_watched_since(const struct view *view, uint64_t *from);
void view_apply_changes(struct view *view, usec_t now, enum site_scope scope,
    GPtrArray *items, uint64_t as_of);
void view_tick(struct view *view, usec_t now);
void view_mark_stale(struct view *view);

uint64_t view_revision(const struct view *view, enum site_scope scope);
uint64_t view_era(const struct view *view);
bool view_is_of_one_era(const struct view *view);
bool view_has_seen_restore(const struct view *view);
uint64_t view_config_version(const struct view *view);
uint64_t view_config_revision(const struct view *view);
usec_t view_confirmed_at(const struct view *view, enum site_scope scope);
bool view_is_complete(const struct view *view);
struct deployment *view_deployment(const struct view *view);
struct directory *view_directory(const struct view *view);
bool view_is_zone_evacuated(const struct view *view, const char *zone);
usec_t view_zone_returned_at(const struct view *view, const char *zone);
bool view_is_significant_change(
    const struct view *view, const struct site_item *item);
bool view_has_item(const struct view *view, const struct site_item *item);
GPtrArray *view_list_items(const struct view *view);

#endif
