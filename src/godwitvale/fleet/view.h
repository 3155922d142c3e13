/*
 * What this instance knows of the deployment: the configuration in force, the
 * directory of upstreams, the evacuated zones. It takes items of the store
 * from whoever has read them, and is never set back to an older state.
 */
#ifndef GODWITVALE_FLEET_VIEW_H
#define GODWITVALE_FLEET_VIEW_H

#include "godwitvale/core/deployment.h"
#include "godwitvale/core/directory.h"
#include "godwitvale/site/site.h"

struct view;

/// Told of what changes.
struct view_vtable {
	void (*config)(void *owner, struct deployment *deployment);
	void (*zone)(void *owner, const char *zone, bool evacuated);
	void (*upstream)(void *owner, enum directory_change change,
	    const struct upstream_record *record);
};

/// How a view is built.
struct view_options {
	const struct view_vtable *vtable;
	void *owner;
	const struct site *site;
};

struct view *view_new(const struct view_options *options);
void view_free(struct view *view);
void view_take_list(struct view *view, usec_t now, enum site_scope scope,
    GPtrArray *items, uint64_t as_of);
void view_take_changes(struct view *view, usec_t now, enum site_scope scope,
    GPtrArray *items, uint64_t as_of);
void view_tick(struct view *view, usec_t now);
void view_distrust(struct view *view);

uint64_t view_revision(const struct view *view, enum site_scope scope);
uint64_t view_config_revision(const struct view *view);
usec_t view_confirmed_at(const struct view *view, enum site_scope scope);
bool view_is_complete(const struct view *view);
struct deployment *view_deployment(const struct view *view);
struct directory *view_directory(const struct view *view);
bool view_is_evacuated(const struct view *view, const char *zone);
usec_t view_returned_at(const struct view *view, const char *zone);
bool view_is_news(const struct view *view, const struct site_item *item);
GPtrArray *view_items(const struct view *view);

#endif
