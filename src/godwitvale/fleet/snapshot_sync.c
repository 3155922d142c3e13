/* Fetches and applies the snapshot of a member that has newer data. */
#include "godwitvale/fleet/snapshot_sync.h"

#include "godwitvale/fleet/fleet_codec.h"
#include "godwitvale/http/fetch.h"
#include "godwitvale/ops/log.h"

/// Delay until a snapshot is fetched from a peer that has newer data. In normal
/// operation the store delivers the same changes sooner.
#define SNAPSHOT_SYNC_DELAY (300 * USEC_PER_MSEC)
/// Age of the last confirmation of the upstreams from which on a member that
/// knows later changes is asked, after the delay. An instance that reaches the
/// store reads it when this age is 1 s, and needs no snapshot then.
#define SNAPSHOT_SYNC_UNCONFIRMED_AGE (900 * USEC_PER_MSEC)
/// Maximum random extra delay for each instance of the fleet. It makes
/// instances that fall behind at the same time send their requests at different
/// times, so that the later ones find more peers that have the newer data.
#define SNAPSHOT_SYNC_SPREAD_PER_INSTANCE (10 * USEC_PER_MSEC)
/// Limit of that extra delay.
#define SNAPSHOT_SYNC_SPREAD_MAX (1000 * USEC_PER_MSEC)
/// Timeout of the request for a snapshot.
#define SNAPSHOT_SYNC_TIMEOUT (500 * USEC_PER_MSEC)

struct snapshot_sync {
	struct view *view;
	struct pool *pool;
	const struct membership *membership;
	uint16_t control_port;
	/// Time since which a member has had newer data than this instance; 0:
	/// no member has.
	usec_t behind_since;
	usec_t delay; /// from behind_since to the request
	struct fetch *fetch;
};

/// Creates the snapshot synchronisation of this instance.
///
/// @param view          updated from snapshots; must outlive the result
/// @param pool          connections to other instances; must outlive the result
/// @param membership    the other instances; must outlive the result
/// @param control_port  HTTP port, the same at every instance
/// @return the synchronisation; free with snapshot_sync_free()
struct snapshot_sync *
snapshot_sync_new(struct view *view, struct pool *pool,
    const struct membership *membership, uint16_t control_port)
{
	struct snapshot_sync *snapshot_sync = g_new0(struct snapshot_sync, 1);

	snapshot_sync->view = view;
	snapshot_sync->pool = pool;
	snapshot_sync->membership = membership;
	snapshot_sync->control_port = control_port;
	return snapshot_sync;
}

/// Cancels a pending request and frees the synchronisation.
///
/// @param snapshot_sync  not NULL
void
snapshot_sync_free(struct snapshot_sync *snapshot_sync)
{
	g_clear_pointer(&snapshot_sync->fetch, fetch_cancel);
	g_free(snapshot_sync);
}

/// Applies the snapshot of another instance to a view.
///
/// @param view      updated
/// @param now       current time
/// @param snapshot  as it was received
/// @param trailer   of the snapshot; if it names no era, the snapshot is taken
///                  as of the view's own
void
snapshot_sync_apply(struct view *view, usec_t now,
    const fleet_snapshot *snapshot, const struct fleet_trailer *trailer)
{
	uint64_t era =
	    fleet_trailer_names_era(trailer) ? trailer->era : view_era(view);
	GPtrArray *items = fleet_items_to_site(
	    snapshot->items.items_val, snapshot->items.items_len, trailer, era);
	GPtrArray *scope_items[] = {g_ptr_array_new(), g_ptr_array_new()};

	for (guint i = 0; i < items->len; i++) {
		struct site_item *item = items->pdata[i];

		g_ptr_array_add(scope_items[item->kind == SITE_ITEM_UPSTREAM
					? SITE_SCOPE_UPSTREAMS
					: SITE_SCOPE_OPERATOR],
		    item);
	}
	log_event(LOG_LEVEL_INFO, "peer-snapshot",
	    "era=%" G_GUINT64_FORMAT " directory_revision=%" G_GUINT64_FORMAT
	    " operator_revision=%" G_GUINT64_FORMAT " items=%u",
	    era, snapshot->directory_revision, snapshot->operator_revision,
	    items->len);
	view_apply_snapshot(view, now, SITE_SCOPE_UPSTREAMS,
	    scope_items[SITE_SCOPE_UPSTREAMS],
	    store_revision_make(era, snapshot->directory_revision));
	view_apply_snapshot(view, now, SITE_SCOPE_OPERATOR,
	    scope_items[SITE_SCOPE_OPERATOR],
	    store_revision_make(era, snapshot->operator_revision));
	g_ptr_array_unref(scope_items[0]);
	g_ptr_array_unref(scope_items[1]);
	g_ptr_array_unref(items);
}

/// Fetch callback: the request for a snapshot has ended.
static void
on_snapshot(void *owner, const struct fetch_response *answer)
{
	struct snapshot_sync *snapshot_sync = owner;
	struct view *view = snapshot_sync->view;
	usec_t now = g_get_monotonic_time();
	struct fleet_trailer trailer;
	fleet_snapshot snapshot;

	snapshot_sync->fetch = NULL;
	if (answer->status != 200 ||
	    !fleet_snapshot_decode(
		answer->body, answer->len, &snapshot, &trailer)) {
		log_event(LOG_LEVEL_WARN, "peer-snapshot-failed",
		    "status=%u reason=%s", answer->status,
		    answer->failure == NULL ? "unreadable" : answer->failure);
		return;
	}
	if (fleet_trailer_names_era(&trailer) || !view_has_seen_restore(view))
		snapshot_sync_apply(view, now, &snapshot, &trailer);
	else
		log_event(LOG_LEVEL_WARN, "peer-snapshot-failed",
		    "status=%u reason=no-era", answer->status);
	xdr_free((xdrproc_t)xdr_fleet_snapshot, (char *)&snapshot);
}

/// Checks whether a member has a newer configuration than this instance.
/// Members of earlier builds don't report its version.
static bool
has_newer_config(const struct view *view, const struct member *member)
{
	if (member->config_version != 0)
		return member->config_version > view_config_version(view);
	return !view_has_seen_restore(view) &&
	    member->config_revision >
	    store_revision_number(view_config_revision(view));
}

/// Finds a member that knows changes of upstreams which this instance has
/// missed. After a lost datagram the readers' later ones don't follow what this
/// instance knows, so nothing confirms it any more.
///
/// @return a member with the latest revision, or NULL
static const struct member *
find_member_ahead(const struct snapshot_sync *snapshot_sync, usec_t now)
{
	const struct view *view = snapshot_sync->view;
	uint64_t known = view_revision(view, SITE_SCOPE_UPSTREAMS);
	const struct member *newest =
	    membership_find_newest_directory(snapshot_sync->membership);

	if (newest == NULL || known == 0 ||
	    newest->store_era != store_revision_era(known) ||
	    newest->directory_revision <= store_revision_number(known))
		return NULL;
	return now >= view_confirmed_at(view, SITE_SCOPE_UPSTREAMS) +
		    SNAPSHOT_SYNC_UNCONFIRMED_AGE
	    ? newest
	    : NULL;
}

/// Finds a member that has a newer configuration or data of a later era of the
/// store, that has upstreams while this instance has none, or that knows
/// changes of upstreams which this instance has missed.
///
/// @param snapshot_sync  compares the members with its view
/// @param now            current time
/// @return a member with the newest such data, or NULL
const struct member *
snapshot_sync_find_member(const struct snapshot_sync *snapshot_sync, usec_t now)
{
	const struct view *view = snapshot_sync->view;
	const struct member *newest =
	    membership_find_newest_config(snapshot_sync->membership);
	const struct member *latest =
	    membership_find_newest_era(snapshot_sync->membership);

	if (newest == NULL || newest->config_revision == 0)
		return find_member_ahead(snapshot_sync, now);
	if (has_newer_config(view, newest))
		return newest;
	if (latest->store_era > view_era(view) && latest->config_revision != 0)
		return latest;
	if (view_revision(view, SITE_SCOPE_UPSTREAMS) == 0 &&
	    newest->directory_revision > 0)
		return newest;
	return find_member_ahead(snapshot_sync, now);
}

/// Requests a snapshot once a member has had newer data for the whole delay.
///
/// @param snapshot_sync  compares the members with its view
/// @param now            current time
void
snapshot_sync_tick(struct snapshot_sync *snapshot_sync, usec_t now)
{
	const struct member *member =
	    snapshot_sync_find_member(snapshot_sync, now);
	struct fetch_options options = {
	    .max_body = FETCH_BYTES_MAX,
	    .pool = snapshot_sync->pool,
	    .method = "GET",
	    .target = SNAPSHOT_SYNC_TARGET,
	    .deadline = now + SNAPSHOT_SYNC_TIMEOUT,
	    .handler = on_snapshot,
	    .owner = snapshot_sync,
	};
	char *address;

	if (member == NULL) {
		snapshot_sync->behind_since = 0;
		return;
	}
	if (snapshot_sync->behind_since == 0) {
		snapshot_sync->behind_since = now;
		snapshot_sync->delay = SNAPSHOT_SYNC_DELAY +
		    g_random_int_range(0,
			(gint32)MIN(membership_size(snapshot_sync->membership) *
				SNAPSHOT_SYNC_SPREAD_PER_INSTANCE,
			    SNAPSHOT_SYNC_SPREAD_MAX));
	}
	if (snapshot_sync->fetch != NULL ||
	    now < snapshot_sync->behind_since + snapshot_sync->delay)
		return;
	address =
	    g_strdup_printf("%s:%u", member->ip, snapshot_sync->control_port);
	options.address = address;
	snapshot_sync->fetch = fetch_start(&options);
	g_free(address);
}

/// Encodes all items of a view, for an instance that requests a snapshot.
///
/// @param view  not changed
/// @return the bytes, or NULL when the view has no items, they are too large,
/// or
///         they are of different eras of the store
GBytes *
snapshot_sync_encode(const struct view *view)
{
	GPtrArray *items = view_list_items(view);
	GArray *wire = g_array_new(false, false, sizeof(fleet_item));
	fleet_snapshot snapshot = {
	    .directory_revision = store_revision_number(
		view_revision(view, SITE_SCOPE_UPSTREAMS)),
	    .operator_revision =
		store_revision_number(view_revision(view, SITE_SCOPE_OPERATOR)),
	};
	const struct fleet_trailer trailer = {
	    .era = view_era(view),
	    .config_version = view_config_version(view),
	    .features = MEMBER_FEATURES,
	};
	GBytes *bytes = NULL;

	for (guint i = 0; i < items->len; i++) {
		fleet_item item = fleet_item_from_store_item(items->pdata[i]);

		g_array_append_val(wire, item);
	}
	snapshot.items.items_len = wire->len;
	snapshot.items.items_val = (fleet_item *)(void *)wire->data;
	if (wire->len > 0 && view_is_of_one_era(view))
		bytes = fleet_snapshot_encode(&snapshot, &trailer);
	g_array_unref(wire);
	g_ptr_array_unref(items);
	return bytes;
}
